"""The lead's slot table.

Adapter slots are never exceeded, one order is open at a time, and orders can get lost.
"""

import pytest
from attrs import evolve

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import messages
from poplarhoist.decisions.gateway.events import OrderStatus
from poplarhoist.decisions.gateway.models import AdapterKey
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.decisions.gateway.residency import MAX_UNANSWERED_ORDERS, slots_taken
from poplarhoist.decisions.gateway.state import UnansweredLoad
from tests.gateway import Gateway, effects_of, engine, only_effect

EIGHT_ADAPTERS = tuple(f"a{number}" for number in range(1, 9))


def leading_gateway(held: tuple[str, ...] = (), **limits) -> Gateway:
    """Return an entry that leads an engine and has a synced slot table for it."""
    gateway = Gateway(peers=("other",), **limits)
    gateway.configure()
    gateway.list_endpoints(engine(1, held))
    gateway.set_lead("e1")
    gateway.report("e1", held, orders=3)
    return gateway


def ask(adapter: str, **fields) -> messages.Ask:
    values = {"version": 0, "priority": 1} | fields
    return messages.Ask("e1", "base", adapter, **values)


def key(adapter: str) -> AdapterKey:
    return AdapterKey("base", adapter)


def test_load_order_carries_order_count_and_epoch():
    gateway = leading_gateway()
    order = only_effect(fx.SendOrder, gateway.receive("other", ask("a1")))
    assert (order.kind, order.key, order.expected_orders, order.epoch) == ("load", key("a1"), 3, 1)


def test_orders_are_sent_one_at_a_time():
    gateway = leading_gateway()
    first = only_effect(fx.SendOrder, gateway.receive("other", ask("a1")))
    assert not effects_of(fx.SendOrder, gateway.receive("other", ask("a2")))
    second = only_effect(fx.SendOrder, gateway.end_order(first, OrderStatus.ACCEPTED))
    assert (second.key, second.expected_orders) == (key("a2"), 4)


# A new version is announced, or another adapter is requested; 0 and "" stand for neither.
@pytest.mark.parametrize("has_report", [False, True])
def test_new_lead_without_a_report_does_not_say_that_its_engine_holds_nothing(has_report):
    lead = Gateway(peers=("entry-2",))
    lead.configure()
    lead.list_endpoints(engine(1, ("a1",)))
    lead.set_lead("e1")
    if has_report:
        lead.report("e1", ("a2",))
    sent = effects_of(fx.SendPeer, lead.receive("entry-2", messages.Use("e1", {"base/a1": 1})))
    other = Gateway("entry-2", ("entry-1",))
    other.configure()
    other.list_endpoints(engine(1, ("a1",)))
    other.receive("entry-1", only_effect(fx.SendPeer, sent).message)
    adapter = "a2" if has_report else "a1"
    assert effects_of(fx.Dispatch, other.request("/stream/x", adapter)[1])


@pytest.mark.parametrize(("announced_version", "asked_adapter"), [(0, "b1"), (2, "")])
def test_new_lead_evicts_nothing_before_peer_usage_is_known(announced_version, asked_adapter):
    gateway = Gateway(peers=("other",))
    gateway.configure()
    gateway.list_endpoints(engine(1, EIGHT_ADAPTERS))
    gateway.submit(ev.LeadSeen, engine="e1", holder="", epoch=4, position=Position(0, 7))
    gateway.set_lead("e1", revision=8)
    gateway.report("e1", EIGHT_ADAPTERS, orders=60)
    if announced_version:
        gateway.submit(ev.VersionSeen, model="base", adapter="a1", version=announced_version)
    # The other entry does not know the new lead yet and reports its usage to the previous one.
    for _ in range(4):
        if asked_adapter:
            gateway.receive("other", ask(asked_adapter))
        assert not effects_of(fx.SendOrder, gateway.advance(0.3))
    gateway.receive("other", messages.Use("e1", {"base/a1": 1}, ("base/a1",)))
    effects = gateway.advance(0.5) + gateway.receive("other", ask("b1")) + gateway.advance(0.5)
    assert only_effect(fx.SendOrder, effects).key in [key(name) for name in EIGHT_ADAPTERS[1:]]


@pytest.mark.parametrize(("after_s", "is_applied"), [(0.2, False), (1.0, True)])
def test_report_with_lower_order_count_is_applied_only_when_not_outdated(after_s, is_applied):
    gateway = leading_gateway(EIGHT_ADAPTERS)
    gateway.advance(1.0)
    unload = only_effect(fx.SendOrder, gateway.receive("other", ask("b1")))
    load = only_effect(fx.SendOrder, gateway.end_order(unload, OrderStatus.DONE))
    gateway.end_order(load, OrderStatus.MISMATCH)
    gateway.advance(after_s)
    gateway.receive("other", ask("b1"))
    gateway.report("e1", EIGHT_ADAPTERS[1:], orders=3)
    gateway.advance(0.05)
    sent = [
        order for order in effects_of(fx.SendOrder, gateway.effects) if order.number > load.number
    ]
    assert [order.expected_orders for order in sent] == ([3] if is_applied else [])


def test_next_slot_goes_by_priority_then_waiting_time():
    gateway = leading_gateway(EIGHT_ADAPTERS)
    gateway.advance(1.0)
    in_use = messages.Use("e1", {f"base/{name}": 1 for name in EIGHT_ADAPTERS})
    gateway.receive("other", in_use)
    for name, priority, waited_s in (("b1", 1, 0.0), ("b2", 1, 2.0), ("b3", 0, 0.0)):
        gateway.receive("other", ask(name, priority=priority, waited_s=waited_s))
    loaded = []
    orders = effects_of(
        fx.SendOrder, gateway.receive("other", messages.Use("e1")) + gateway.advance(0.4)
    )
    while orders:
        order = orders[0]
        status = OrderStatus.DONE if order.kind == "unload" else OrderStatus.ACCEPTED
        if order.kind == "load":
            loaded.append(order.key)
        orders = effects_of(fx.SendOrder, gateway.end_order(order, status))
    assert loaded == [key("b3"), key("b2"), key("b1")]


# Number of entries, prompt tokens that wait one after the other, and which of them all are told of.
# With very many entries, one long prompt at a time is not told to all: that was most of their messages.
@pytest.mark.parametrize(
    ("entries", "tokens", "is_broadcast"),
    [
        (9, (3000, 6000, 7000), (False, False, False)),
        (9, (9000, 15000, 19000, 40000), (True, False, True, True)),
        (9, (40000, 30000, 19000, 12000, 0), (True, False, True, False, True)),
        (9, (9000, 0, 9000), (True, True, True)),
        (64, (3000, 6000, 7000), (False, False, False)),
        (64, (9000, 15000, 19000, 40000), (True, False, True, True)),
        (64, (40000, 30000, 19000, 12000, 0), (True, False, True, False, True)),
        (64, (9000, 0, 9000), (True, True, True)),
        (195, (15000, 0, 15000), (False, False, False)),
        (195, (17000, 35000, 70000, 30000), (True, True, True, True)),
    ],
)
def test_backlog_start_growth_and_end_are_broadcast(entries, tokens, is_broadcast):
    others = tuple(f"entry-{n}" for n in range(2, entries + 1))
    gateway = leading_gateway()
    for name in others:
        gateway.submit(ev.EntryRecordChanged, name=name, host="10.0.2.1", port=7000, zone="north-a")
    gateway.advance(3.0)
    heard = []
    for waiting in tokens:
        gateway.advance(0.025)
        use = messages.Use("e1", {"base/a1": 1}, (), waiting)
        views = effects_of(fx.SendPeer, gateway.receive("entry-2", use))
        heard.append({view.peer for view in views} >= set(others))
    assert tuple(heard) == is_broadcast


@pytest.mark.parametrize(
    ("observed_by", "is_evicted"),
    [
        # The engine would answer that an adapter still loading is already unloaded, and complete
        # the load.
        (None, False),
        ("report", True),
        ("answer", True),
    ],
)
def test_adapter_that_may_still_be_loading_is_not_evicted(observed_by, is_evicted):
    gateway = leading_gateway(EIGHT_ADAPTERS[:7])
    gateway.advance(1.0)
    in_use = messages.Use("e1", {f"base/{name}": 1 for name in EIGHT_ADAPTERS[:7]})
    gateway.receive("other", in_use)
    load = only_effect(fx.SendOrder, gateway.receive("other", ask("a8")))
    gateway.end_order(load, OrderStatus.ACCEPTED)
    # The load should have ended after 0.25 s, and the caller that asked for it has disconnected.
    gateway.advance(0.8)
    gateway.receive("other", in_use)
    gateway.receive("other", ask("b1"))
    gateway.advance(0.1)
    if observed_by == "report":
        gateway.report("e1", EIGHT_ADAPTERS, orders=4)
    elif observed_by == "answer":
        gateway.receive("other", evolve(in_use, answered=("base/a8",)))
    gateway.advance(0.1)
    orders = [
        order for order in effects_of(fx.SendOrder, gateway.effects) if order.number > load.number
    ]
    assert [(order.kind, order.key) for order in orders] == [("unload", key("a8"))] * is_evicted


@pytest.mark.parametrize("announced", [2])
def test_adapter_that_may_still_be_loading_is_not_replaced(announced):
    gateway = leading_gateway(EIGHT_ADAPTERS[:7])
    load = only_effect(fx.SendOrder, gateway.receive("other", ask("a8", version=1)))
    gateway.end_order(load, OrderStatus.ACCEPTED)
    gateway.advance(0.8)
    gateway.submit(ev.VersionSeen, model="base", adapter="a8", version=announced)
    gateway.receive("other", ask("a8", version=announced))
    assert not effects_of(fx.SendOrder, gateway.advance(0.3))
    gateway.report("e1", EIGHT_ADAPTERS, orders=4)
    gateway.receive("other", ask("a8", version=announced))
    gateway.advance(0.1)
    order = effects_of(fx.SendOrder, gateway.effects)[-1]
    assert (order.kind, order.key, order.version) == ("load", key("a8"), announced)


def test_report_is_read_when_a_slot_is_needed_and_loads_are_unobserved():
    gateway = leading_gateway(EIGHT_ADAPTERS[:7])
    load = only_effect(fx.SendOrder, gateway.receive("other", ask("a8")))
    gateway.end_order(load, OrderStatus.ACCEPTED)
    gateway.advance(0.8)
    gateway.receive("other", messages.Use("e1", {f"base/{name}": 1 for name in EIGHT_ADAPTERS[:7]}))
    assert not effects_of(fx.ReadReport, gateway.advance(0.4))
    gateway.receive("other", messages.Use("e1", {f"base/{name}": 1 for name in EIGHT_ADAPTERS[:7]}))
    gateway.receive("other", ask("b1"))
    assert effects_of(fx.ReadReport, gateway.advance(0.4))


def test_least_recently_used_idle_adapter_is_evicted():
    gateway = leading_gateway(EIGHT_ADAPTERS)
    gateway.advance(1.0)
    use = messages.Use("e1", {"base/a1": 1}, ("base/a1", "base/a2"))
    gateway.receive("other", use)
    gateway.advance(0.5)
    unload = only_effect(fx.SendOrder, gateway.receive("other", ask("b1")))
    assert (unload.kind, unload.key) == ("unload", key("a3"))
    load = only_effect(fx.SendOrder, gateway.end_order(unload, OrderStatus.DONE))
    assert (load.kind, load.key, load.expected_orders) == ("load", key("b1"), 4)


def test_adapters_in_use_by_any_entry_are_not_evicted():
    gateway = leading_gateway(EIGHT_ADAPTERS)
    gateway.advance(1.0)
    running = {f"base/{name}": 1 for name in EIGHT_ADAPTERS}
    gateway.receive("other", messages.Use("e1", running, tuple(running)))
    gateway.advance(0.5)
    effects = gateway.receive("other", ask("b1"))
    assert not effects_of(fx.SendOrder, effects)
    view = [e.message for e in effects_of(fx.SendPeer, effects) if e.peer == "other"][-1]
    assert view.room < 0


def test_expired_demand_is_not_loaded():
    gateway = leading_gateway(EIGHT_ADAPTERS)
    running = {f"base/{name}": 1 for name in EIGHT_ADAPTERS}
    gateway.receive("other", messages.Use("e1", running, tuple(running)))
    gateway.receive("other", ask("b1"))
    gateway.receive("third", ask("b2"))
    for _ in range(5):
        gateway.advance(0.2)
        gateway.receive("third", ask("b2"))
    gateway.receive("other", messages.Use("e1", {}, tuple(running)))
    unload = only_effect(fx.SendOrder, gateway.advance(0.3))
    load = only_effect(fx.SendOrder, gateway.end_order(unload, OrderStatus.DONE))
    assert load.key == key("b2")
    assert not effects_of(fx.SendOrder, gateway.end_order(load, OrderStatus.ACCEPTED))


def test_loaded_adapter_is_kept_for_the_entry_that_asked():
    gateway = leading_gateway(EIGHT_ADAPTERS[:7])
    gateway.advance(1.0)
    load = only_effect(fx.SendOrder, gateway.receive("other", ask("b1")))
    gateway.end_order(load, OrderStatus.ACCEPTED)
    gateway.advance(0.5)
    effects = gateway.receive("other", ask("b2"))
    assert only_effect(fx.SendOrder, effects).key != key("b1")


# How the engine answers the repeated order and, if that says that the earlier one was carried out,
# the order after it; and whether the earlier one may still be carried out then.
@pytest.mark.parametrize(
    ("answers", "is_synced", "may_still_come"),
    [
        ([OrderStatus.ACCEPTED], True, False),
        ([OrderStatus.MISMATCH], True, True),
        ([OrderStatus.MISMATCH, OrderStatus.ACCEPTED], True, False),
        ([OrderStatus.MISMATCH, OrderStatus.MISMATCH], False, True),
    ],
)
def test_unanswered_load_keeps_its_slot_until_an_answer_rules_it_out(
    answers, is_synced, may_still_come
):
    gateway = leading_gateway(EIGHT_ADAPTERS[:6])
    gateway.advance(1.0)
    lost = only_effect(fx.SendOrder, gateway.receive("other", ask("b1")))
    gateway.receive("other", ask("b2"))
    # It may have been carried out or be carried out later, so the same order is sent again.
    order = only_effect(fx.SendOrder, gateway.end_order(lost, OrderStatus.UNKNOWN))
    assert (order.key, order.expected_orders) == (key("b1"), 3)
    table = gateway.state.slot_tables["e1"]
    assert slots_taken(table) == 7
    for number, answer in enumerate(answers):
        effects = gateway.end_order(order, answer)
        if number < len(answers) - 1:
            order = only_effect(fx.SendOrder, effects)
            assert (order.key, order.expected_orders) == (key("b2"), 4)
    assert table.synced is is_synced
    assert [unanswered.key for unanswered in table.unanswered_loads] == [key("b1")] * may_still_come
    assert slots_taken(table) >= 7


def test_order_that_may_still_be_carried_out_keeps_its_slot_after_a_report():
    gateway = leading_gateway(EIGHT_ADAPTERS[:6])
    gateway.advance(1.0)
    order = only_effect(fx.SendOrder, gateway.receive("other", ask("b1")))
    for answer in (OrderStatus.UNKNOWN, OrderStatus.MISMATCH):
        order = effects_of(fx.SendOrder, gateway.end_order(order, answer) + [order])[0]
    table = gateway.state.slot_tables["e1"]
    gateway.advance(0.5)
    gateway.report("e1", EIGHT_ADAPTERS[:6], orders=3)
    assert slots_taken(table) == 7


# Epoch of the lead, whether engines check epochs, seconds of its leadership, and whether an order of
# an earlier lead cannot be what the engine has carried out.
@pytest.mark.parametrize(
    ("epoch", "checks_epochs", "seconds", "is_certain"),
    [(1, False, 1.0, True), (2, False, 1.0, False), (2, True, 1.0, False), (2, False, 13.0, True)],
)
def test_late_order_of_an_earlier_lead_is_not_taken_for_an_own_one(
    epoch, checks_epochs, seconds, is_certain
):
    gateway = leading_gateway(EIGHT_ADAPTERS[:6], engines_check_epochs=checks_epochs)
    table = gateway.state.slot_tables["e1"]
    table.epoch = epoch
    gateway.advance(seconds)
    lost = only_effect(fx.SendOrder, gateway.receive("other", ask("b1")))
    again = only_effect(fx.SendOrder, gateway.end_order(lost, OrderStatus.UNKNOWN))
    gateway.end_order(again, OrderStatus.MISMATCH)
    assert (table.accepted_orders, table.synced) == ((4, True) if is_certain else (3, False))


def test_engine_that_leaves_all_orders_unanswered_gets_the_next_after_a_report():
    gateway = leading_gateway(EIGHT_ADAPTERS[:6])
    gateway.advance(1.0)
    order = only_effect(fx.SendOrder, gateway.receive("other", ask("b1")))
    for _ in range(MAX_UNANSWERED_ORDERS - 1):
        order = only_effect(fx.SendOrder, gateway.end_order(order, OrderStatus.UNKNOWN))
    assert not effects_of(fx.SendOrder, gateway.end_order(order, OrderStatus.UNKNOWN))
    assert not gateway.state.slot_tables["e1"].synced


def test_answer_that_an_order_was_done_already_does_not_rule_out_an_unanswered_load():
    gateway = leading_gateway(EIGHT_ADAPTERS)
    gateway.advance(1.0)
    table = gateway.state.slot_tables["e1"]
    table.unanswered_loads.append(UnansweredLoad(key("b2"), 3, gateway.at + 10.0))
    unload = only_effect(fx.SendOrder, gateway.receive("other", ask("b1")))
    gateway.end_order(unload, OrderStatus.DONE)
    assert [unanswered.key for unanswered in table.unanswered_loads] == [key("b2")]


def test_slots_never_overflow_under_lost_and_late_orders():
    """Simulates an engine whose orders are lost, late, rejected or accepted.

    `held` and `order_count` are the engine's adapters and its count of accepted orders.
    """
    for seed in range(40):
        gateway = leading_gateway()
        gateway.state.random.seed(seed)
        rng = gateway.state.random
        held, order_count, late = set(), 3, []
        for number in range(150):
            effects = gateway.receive("other", ask(f"x{rng.randrange(30)}")) + gateway.advance(0.3)
            for order in effects_of(fx.SendOrder, effects):
                status = rng.choice(
                    [OrderStatus.ACCEPTED] * 5 + [OrderStatus.UNKNOWN, OrderStatus.MISMATCH]
                )
                if status is OrderStatus.UNKNOWN and rng.random() < 0.5:
                    late.append((number + rng.randrange(1, 30), order))
                if status in (OrderStatus.ACCEPTED, OrderStatus.UNKNOWN) and not any(
                    item[1] is order for item in late
                ):
                    order_count = apply_order(order, held, order_count)
                gateway.end_order(order, status)
            for item in [item for item in late if item[0] <= number]:
                late.remove(item)
                order_count = apply_order(item[1], held, order_count)
            assert len(held) <= 8, (seed, number)
            if effects_of(fx.ReadReport, effects):
                gateway.report("e1", tuple(sorted(held)), orders=order_count)


def apply_order(order: fx.SendOrder, held: set[str], order_count: int) -> int:
    """Apply an order as an engine does; return the engine's order count."""
    if order.expected_orders != order_count:
        return order_count
    if order.kind == "load":
        held.add(order.key.adapter)
    else:
        held.discard(order.key.adapter)
    return order_count + 1


def test_engine_restart_clears_the_table_except_unanswered_loads():
    gateway = leading_gateway(EIGHT_ADAPTERS[:2])
    order = only_effect(fx.SendOrder, gateway.receive("other", ask("b1")))
    for _ in range(MAX_UNANSWERED_ORDERS):
        order = (effects_of(fx.SendOrder, gateway.end_order(order, OrderStatus.UNKNOWN)) or [None])[
            0
        ]
    gateway.advance(0.5)
    gateway.report("e1", (), orders=0, incarnation=2)
    table = gateway.state.slot_tables["e1"]
    assert set(table.held) == set()
    assert slots_taken(table) >= 1


def test_missing_base_model_is_loaded_first():
    gateway = leading_gateway()
    table = gateway.state.slot_tables["e1"]
    gateway.report("e1", (), incarnation=2, with_model=False)
    order = [o for o in effects_of(fx.SendOrder, gateway.effects) if o.key.adapter == ""][-1]
    assert order.kind == "load"
    assert table.base_models == set()


@pytest.mark.parametrize(
    ("in_use", "idle_s", "expected"),
    [(False, 0.5, [("load", 2)]), (False, 4.0, [("unload", 0)]), (True, 0.5, [])],
)
def test_newer_version_replaces_an_idle_old_one(in_use, idle_s, expected):
    gateway = leading_gateway(("a1",))
    gateway.receive("other", messages.Use("e1", {"base/a1": 1} if in_use else {}, ("base/a1",)))
    gateway.advance(idle_s)
    gateway.submit(ev.VersionSeen, model="base", adapter="a1", version=2)
    gateway.advance(0.5)
    orders = effects_of(fx.SendOrder, gateway.effects)
    assert [(order.kind, order.version) for order in orders] == expected


def test_newer_version_waits_for_requests_on_the_old_one_without_blocking_other_loads():
    gateway = leading_gateway(("a1",))
    gateway.receive("other", messages.Use("e1", {"base/a1": 1}, ("base/a1",)))
    gateway.submit(ev.VersionSeen, model="base", adapter="a1", version=2)
    assert not effects_of(fx.SendOrder, gateway.receive("other", ask("a1", version=2)))
    order = only_effect(fx.SendOrder, gateway.receive("other", ask("b1")))
    assert order.key == key("b1")
    gateway.end_order(order, OrderStatus.ACCEPTED)
    effects = gateway.receive("other", messages.Use("e1", {}, ("base/a1",)))
    assert [(o.key, o.version) for o in effects_of(fx.SendOrder, effects)] == [(key("a1"), 2)]


def test_rejected_unloads_do_not_evict_all_adapters():
    gateway = leading_gateway(EIGHT_ADAPTERS)
    gateway.advance(1.0)
    first = only_effect(fx.SendOrder, gateway.receive("other", ask("b1")))
    second = only_effect(fx.SendOrder, gateway.end_order(first, OrderStatus.MISMATCH))
    assert second.key != first.key
    assert not effects_of(fx.SendOrder, gateway.end_order(second, OrderStatus.MISMATCH))
    table = gateway.state.slot_tables["e1"]
    assert set(table.held) == {key(name) for name in EIGHT_ADAPTERS}
    assert not table.synced


def test_announced_version_is_required_after_a_while():
    gateway = leading_gateway(("a1",))
    gateway.submit(ev.VersionSeen, model="base", adapter="a1", version=2)
    assert only_effect(fx.Dispatch, gateway.request("/stream/x", "a1")[1]).version == 0
    gateway.at += 2.5
    assert not effects_of(fx.Dispatch, gateway.request("/stream/x", "a1")[1])


# Seconds between announcements of versions 2 to 6; the deadline of a version is five seconds.
@pytest.mark.parametrize("interval_s", [0.1, 0.5, 1.9, 2.1, 4.8])
def test_newer_announcement_does_not_withdraw_an_earlier_one(interval_s):
    """Engines with an older version got requests for it again for two seconds."""
    gateway = leading_gateway(("a1",))
    announced_at = {}
    for version in range(2, 7):
        gateway.submit(ev.VersionSeen, model="base", adapter="a1", version=version)
        announced_at[version] = gateway.at
        ends_at = gateway.at + (interval_s if version < 6 else 6.0)
        while gateway.at < ends_at:
            dispatched = effects_of(fx.Dispatch, gateway.request("/stream/x", "a1")[1])
            is_allowed = all(gateway.at - at < 5.0 for at in announced_at.values())
            assert is_allowed or not dispatched
            gateway.at += 0.1
    assert not dispatched
    assert gateway.state.announced_versions[key("a1")].version == 6


def test_announcements_that_are_no_longer_needed_are_forgotten():
    """A version a second would otherwise keep all announcements of a day."""
    gateway = leading_gateway(("a1",))
    for version in range(2, 200):
        gateway.submit(ev.VersionSeen, model="base", adapter="a1", version=version)
        gateway.at += 1.0
    announced, count = gateway.state.announced_versions[key("a1")], 0
    while announced is not None:
        announced, count = announced.earlier, count + 1
    assert count <= 4


@pytest.mark.parametrize(("held", "expected"), [(1, None), (2, 2), (3, 3)])
def test_request_names_the_version_that_its_engine_holds_if_that_is_newer(held, expected):
    """The engine turns a request away that names an older version than it has."""
    gateway = leading_gateway(("a1",))
    for version in (2, 3):
        gateway.submit(ev.VersionSeen, model="base", adapter="a1", version=version)
        gateway.at += 1.9 if version == 3 else 2.1
    gateway.state.endpoints["e1"].held[key("a1")] = held
    dispatched = effects_of(fx.Dispatch, gateway.request("/stream/x", "a1")[1])
    assert [dispatch.version for dispatch in dispatched] == ([expected] if expected else [])


def test_fenced_order_ends_the_leadership():
    gateway = leading_gateway()
    order = only_effect(fx.SendOrder, gateway.receive("other", ask("a1")))
    gateway.end_order(order, OrderStatus.FENCED)
    assert "e1" not in gateway.state.slot_tables
    assert not effects_of(fx.SendOrder, gateway.receive("other", ask("a2")))


def test_request_is_dispatched_when_its_adapter_is_loaded():
    gateway = leading_gateway()
    _, effects = gateway.request("/stream/x", "a1")
    order = only_effect(fx.SendOrder, effects)
    gateway.end_order(order, OrderStatus.ACCEPTED)
    assert not effects_of(fx.Dispatch, gateway.advance(0.2))
    dispatch = only_effect(fx.Dispatch, gateway.advance(0.2))
    assert dispatch.endpoint.name == "e1"


def test_request_waits_again_for_a_late_load():
    gateway = leading_gateway()
    _, effects = gateway.request("/stream/x", "a1")
    gateway.end_order(only_effect(fx.SendOrder, effects), OrderStatus.ACCEPTED)
    dispatch = only_effect(fx.Dispatch, gateway.advance(0.4))
    assert not effects_of(fx.Dispatch, gateway.end_attempt(dispatch, ev.Outcome.NOT_RUN))
    second = only_effect(fx.Dispatch, gateway.advance(0.2))
    assert second.attempt == 2
