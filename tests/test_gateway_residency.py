"""The books of an engine's places: never more than fit, one order at a time, nothing assumed."""

import pytest
from attrs import evolve

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import messages
from poplarhoist.decisions.gateway.events import OrderStatus
from poplarhoist.decisions.gateway.models import AdapterKey
from poplarhoist.decisions.gateway.residency import slots_taken
from tests.gateway import Gateway, effects_of, engine, only_effect

EIGHT_ADAPTERS = tuple(f"a{number}" for number in range(1, 9))


def leading_gateway(held: tuple[str, ...] = (), **limits) -> Gateway:
    """Return an entry that leads an engine and knows its places."""
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


def test_a_load_names_the_count_of_orders_and_the_epoch():
    gateway = leading_gateway()
    order = only_effect(fx.SendOrder, gateway.receive("other", ask("a1")))
    assert (order.kind, order.key, order.expected_orders, order.epoch) == ("load", key("a1"), 3, 1)


def test_one_order_at_a_time():
    gateway = leading_gateway()
    first = only_effect(fx.SendOrder, gateway.receive("other", ask("a1")))
    assert not effects_of(fx.SendOrder, gateway.receive("other", ask("a2")))
    second = only_effect(fx.SendOrder, gateway.end_order(first, OrderStatus.ACCEPTED))
    assert (second.key, second.expected_orders) == (key("a2"), 4)


@pytest.mark.parametrize(("announced", "asked"), [(0, "b1"), (2, "")])
def test_a_new_lead_touches_no_adapter_that_others_may_use(announced, asked):
    gateway = Gateway(peers=("other",))
    gateway.configure()
    gateway.list_endpoints(engine(1, EIGHT_ADAPTERS))
    gateway.submit(ev.LeadSeen, engine="e1", holder="", epoch=4, revision=7)
    gateway.set_lead("e1", revision=8)
    gateway.report("e1", EIGHT_ADAPTERS, orders=60)
    if announced:
        gateway.submit(ev.VersionSeen, model="base", adapter="a1", version=announced)
    # The other entry does not know yet who leads, and tells the earlier lead what it runs here.
    for _ in range(4):
        if asked:
            gateway.receive("other", ask(asked))
        assert not effects_of(fx.SendOrder, gateway.advance(0.3))
    gateway.receive("other", messages.Use("e1", {"base/a1": 1}, ("base/a1",)))
    effects = gateway.advance(0.5) + gateway.receive("other", ask("b1")) + gateway.advance(0.5)
    assert only_effect(fx.SendOrder, effects).key in [key(name) for name in EIGHT_ADAPTERS[1:]]


@pytest.mark.parametrize(("after_s", "believed"), [(0.2, False), (1.0, True)])
def test_a_report_that_counts_fewer_orders_is_old_or_shows_that_the_books_are_wrong(
    after_s, believed
):
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
    assert [order.expected_orders for order in sent] == ([3] if believed else [])


def test_the_next_place_goes_to_the_more_urgent_and_then_to_who_has_waited_longest():
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


@pytest.mark.parametrize(
    ("tokens", "told"),
    [
        ((3000, 6000, 7000), (False, False, False)),
        ((9000, 15000, 19000, 40000), (True, False, True, True)),
        ((40000, 30000, 19000, 12000, 0), (True, False, True, False, True)),
        ((9000, 0, 9000), (True, True, True)),
    ],
)
def test_a_crowd_and_its_end_are_told_to_all_entries_at_once(tokens, told):
    others = tuple(f"entry-{n}" for n in range(2, 65))
    gateway = leading_gateway()
    for name in others:
        gateway.submit(ev.EntrySeen, name=name, host="10.0.2.1", port=7000, zone="north-a")
    gateway.advance(3.0)
    heard = []
    for waiting in tokens:
        gateway.advance(0.025)
        use = messages.Use("e1", {"base/a1": 1}, (), waiting)
        views = effects_of(fx.SendPeer, gateway.receive("entry-2", use))
        heard.append({view.peer for view in views} >= set(others))
    assert tuple(heard) == told


@pytest.mark.parametrize(
    ("seen_by", "makes_way"),
    [
        # The engine would say that an adapter on its way is unloaded already, and load on.
        (None, False),
        ("report", True),
        ("answer", True),
    ],
)
def test_what_may_still_be_on_its_way_does_not_make_way(seen_by, makes_way):
    gateway = leading_gateway(EIGHT_ADAPTERS[:7])
    gateway.advance(1.0)
    in_use = messages.Use("e1", {f"base/{name}": 1 for name in EIGHT_ADAPTERS[:7]})
    gateway.receive("other", in_use)
    load = only_effect(fx.SendOrder, gateway.receive("other", ask("a8")))
    gateway.end_order(load, OrderStatus.ACCEPTED)
    # It should be there after a quarter of a second, and who asked for it has gone.
    gateway.advance(0.8)
    gateway.receive("other", in_use)
    gateway.receive("other", ask("b1"))
    gateway.advance(0.1)
    if seen_by == "report":
        gateway.report("e1", EIGHT_ADAPTERS, orders=4)
    elif seen_by == "answer":
        gateway.receive("other", evolve(in_use, answered=("base/a8",)))
    gateway.advance(0.1)
    orders = [
        order for order in effects_of(fx.SendOrder, gateway.effects) if order.number > load.number
    ]
    assert [(order.kind, order.key) for order in orders] == [("unload", key("a8"))] * makes_way


@pytest.mark.parametrize("announced", [2])
def test_what_may_still_be_on_its_way_is_not_replaced(announced):
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


def test_the_report_is_read_when_a_place_is_wanted_and_adapters_are_not_known_to_be_there():
    gateway = leading_gateway(EIGHT_ADAPTERS[:7])
    load = only_effect(fx.SendOrder, gateway.receive("other", ask("a8")))
    gateway.end_order(load, OrderStatus.ACCEPTED)
    gateway.advance(0.8)
    gateway.receive("other", messages.Use("e1", {f"base/{name}": 1 for name in EIGHT_ADAPTERS[:7]}))
    assert not effects_of(fx.ReadReport, gateway.advance(0.4))
    gateway.receive("other", messages.Use("e1", {f"base/{name}": 1 for name in EIGHT_ADAPTERS[:7]}))
    gateway.receive("other", ask("b1"))
    assert effects_of(fx.ReadReport, gateway.advance(0.4))


def test_an_idle_adapter_makes_way_the_least_recently_used_first():
    gateway = leading_gateway(EIGHT_ADAPTERS)
    gateway.advance(1.0)
    use = messages.Use("e1", {"base/a1": 1}, ("base/a1", "base/a2"))
    gateway.receive("other", use)
    gateway.advance(0.5)
    unload = only_effect(fx.SendOrder, gateway.receive("other", ask("b1")))
    assert (unload.kind, unload.key) == ("unload", key("a3"))
    load = only_effect(fx.SendOrder, gateway.end_order(unload, OrderStatus.DONE))
    assert (load.kind, load.key, load.expected_orders) == ("load", key("b1"), 4)


def test_what_is_in_use_anywhere_stays():
    gateway = leading_gateway(EIGHT_ADAPTERS)
    gateway.advance(1.0)
    running = {f"base/{name}": 1 for name in EIGHT_ADAPTERS}
    gateway.receive("other", messages.Use("e1", running, tuple(running)))
    gateway.advance(0.5)
    effects = gateway.receive("other", ask("b1"))
    assert not effects_of(fx.SendOrder, effects)
    view = [e.message for e in effects_of(fx.SendPeer, effects) if e.peer == "other"][-1]
    assert view.room < 0


def test_an_adapter_that_nobody_waits_for_any_more_is_not_loaded():
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


def test_an_adapter_stays_for_the_entry_that_asked_for_it():
    gateway = leading_gateway(EIGHT_ADAPTERS[:7])
    gateway.advance(1.0)
    load = only_effect(fx.SendOrder, gateway.receive("other", ask("b1")))
    gateway.end_order(load, OrderStatus.ACCEPTED)
    gateway.advance(0.5)
    effects = gateway.receive("other", ask("b2"))
    assert only_effect(fx.SendOrder, effects).key != key("b1")


@pytest.mark.parametrize("late", [True, False])
def test_a_load_without_an_answer_keeps_its_place_until_it_can_no_longer_arrive(late):
    gateway = leading_gateway(EIGHT_ADAPTERS[:6])
    gateway.advance(1.0)
    lost = only_effect(fx.SendOrder, gateway.receive("other", ask("b1")))
    gateway.end_order(lost, OrderStatus.UNKNOWN)
    book = gateway.state.slot_tables["e1"]
    assert not book.synced
    assert slots_taken(book) == 7
    gateway.advance(0.5)
    if late:
        gateway.report("e1", (*EIGHT_ADAPTERS[:6], "b1"), orders=4)
        assert slots_taken(book) == 7
        assert key("b1") in book.held
    else:
        gateway.report("e1", EIGHT_ADAPTERS[:6], orders=3)
        # It may still be carried out: the place stays taken, and the same order is sent again.
        assert slots_taken(book) == 7
        again = effects_of(fx.SendOrder, gateway.effects)[-1]
        assert (again.key, again.expected_orders) == (key("b1"), 3)
        gateway.end_order(again, OrderStatus.ACCEPTED)
        assert slots_taken(book) == 7


def test_never_more_than_fit_whatever_becomes_of_the_orders():
    """Plays loads whose orders are lost, late, refused or taken, against an engine's true count."""
    for seed in range(40):
        gateway = leading_gateway()
        gateway.state.random.seed(seed)
        draw = gateway.state.random
        truth, orders, late = set(), 3, []
        for number in range(150):
            effects = gateway.receive("other", ask(f"x{draw.randrange(30)}")) + gateway.advance(0.3)
            for order in effects_of(fx.SendOrder, effects):
                status = draw.choice(
                    [OrderStatus.ACCEPTED] * 5 + [OrderStatus.UNKNOWN, OrderStatus.MISMATCH]
                )
                if status is OrderStatus.UNKNOWN and draw.random() < 0.5:
                    late.append((number + draw.randrange(1, 30), order))
                if status in (OrderStatus.ACCEPTED, OrderStatus.UNKNOWN) and not any(
                    item[1] is order for item in late
                ):
                    orders = apply_order(order, truth, orders)
                gateway.end_order(order, status)
            for item in [item for item in late if item[0] <= number]:
                late.remove(item)
                orders = apply_order(item[1], truth, orders)
            assert len(truth) <= 8, (seed, number)
            if effects_of(fx.ReadReport, effects):
                gateway.report("e1", tuple(sorted(truth)), orders=orders)


def apply_order(order: fx.SendOrder, truth: set[str], orders: int) -> int:
    """Do what an engine does with an order; return its count of orders."""
    if order.expected_orders != orders:
        return orders
    if order.kind == "load":
        truth.add(order.key.adapter)
    else:
        truth.discard(order.key.adapter)
    return orders + 1


def test_a_restart_under_the_same_name_empties_the_books_but_not_what_is_on_its_way():
    gateway = leading_gateway(EIGHT_ADAPTERS[:2])
    lost = only_effect(fx.SendOrder, gateway.receive("other", ask("b1")))
    gateway.end_order(lost, OrderStatus.UNKNOWN)
    gateway.advance(0.5)
    gateway.report("e1", (), orders=0, incarnation=2)
    book = gateway.state.slot_tables["e1"]
    assert set(book.held) == set()
    assert slots_taken(book) >= 1


def test_an_engine_without_its_base_model_gets_that_first():
    gateway = leading_gateway()
    book = gateway.state.slot_tables["e1"]
    gateway.report("e1", (), incarnation=2, with_model=False)
    order = [o for o in effects_of(fx.SendOrder, gateway.effects) if o.key.adapter == ""][-1]
    assert order.kind == "load"
    assert book.base_models == set()


@pytest.mark.parametrize(
    ("in_use", "idle_s", "expected"),
    [(False, 0.5, [("load", 2)]), (False, 4.0, [("unload", 0)]), (True, 0.5, [])],
)
def test_a_newer_version_replaces_the_old_one_once_that_is_idle(in_use, idle_s, expected):
    gateway = leading_gateway(("a1",))
    gateway.receive("other", messages.Use("e1", {"base/a1": 1} if in_use else {}, ("base/a1",)))
    gateway.advance(idle_s)
    gateway.submit(ev.VersionSeen, model="base", adapter="a1", version=2)
    gateway.advance(0.5)
    orders = effects_of(fx.SendOrder, gateway.effects)
    assert [(order.kind, order.version) for order in orders] == expected


def test_a_wanted_newer_version_waits_for_the_runs_of_the_old_one_and_holds_nothing_up():
    gateway = leading_gateway(("a1",))
    gateway.receive("other", messages.Use("e1", {"base/a1": 1}, ("base/a1",)))
    gateway.submit(ev.VersionSeen, model="base", adapter="a1", version=2)
    assert not effects_of(fx.SendOrder, gateway.receive("other", ask("a1", version=2)))
    order = only_effect(fx.SendOrder, gateway.receive("other", ask("b1")))
    assert order.key == key("b1")
    gateway.end_order(order, OrderStatus.ACCEPTED)
    effects = gateway.receive("other", messages.Use("e1", {}, ("base/a1",)))
    assert [(o.key, o.version) for o in effects_of(fx.SendOrder, effects)] == [(key("a1"), 2)]


def test_an_order_that_is_turned_away_leaves_the_other_adapters_alone():
    gateway = leading_gateway(EIGHT_ADAPTERS)
    gateway.advance(1.0)
    first = only_effect(fx.SendOrder, gateway.receive("other", ask("b1")))
    second = only_effect(fx.SendOrder, gateway.end_order(first, OrderStatus.MISMATCH))
    assert second.key != first.key
    assert not effects_of(fx.SendOrder, gateway.end_order(second, OrderStatus.MISMATCH))
    book = gateway.state.slot_tables["e1"]
    assert set(book.held) == {key(name) for name in EIGHT_ADAPTERS}
    assert not book.synced


def test_a_request_does_not_begin_on_an_old_version_after_a_while():
    gateway = leading_gateway(("a1",))
    gateway.submit(ev.VersionSeen, model="base", adapter="a1", version=2)
    assert only_effect(fx.Dispatch, gateway.request("/stream/x", "a1")[1]).version == 0
    gateway.at += 2.5
    assert not effects_of(fx.Dispatch, gateway.request("/stream/x", "a1")[1])


def test_a_refusal_for_an_old_epoch_ends_the_lead():
    gateway = leading_gateway()
    order = only_effect(fx.SendOrder, gateway.receive("other", ask("a1")))
    gateway.end_order(order, OrderStatus.FENCED)
    assert "e1" not in gateway.state.slot_tables
    assert not effects_of(fx.SendOrder, gateway.receive("other", ask("a2")))


def test_a_request_goes_out_when_its_adapter_is_there_and_not_before():
    gateway = leading_gateway()
    _, effects = gateway.request("/stream/x", "a1")
    order = only_effect(fx.SendOrder, effects)
    gateway.end_order(order, OrderStatus.ACCEPTED)
    assert not effects_of(fx.Dispatch, gateway.advance(0.2))
    dispatch = only_effect(fx.Dispatch, gateway.advance(0.2))
    assert dispatch.endpoint.name == "e1"


def test_an_adapter_that_comes_later_than_expected_is_waited_for_again():
    gateway = leading_gateway()
    _, effects = gateway.request("/stream/x", "a1")
    gateway.end_order(only_effect(fx.SendOrder, effects), OrderStatus.ACCEPTED)
    dispatch = only_effect(fx.Dispatch, gateway.advance(0.4))
    assert not effects_of(fx.Dispatch, gateway.end_attempt(dispatch, ev.Outcome.NOT_RUN))
    second = only_effect(fx.Dispatch, gateway.advance(0.2))
    assert second.attempt == 2
