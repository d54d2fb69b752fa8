"""Orders to engines that do not check epochs: stored before they are sent, harmless when late."""

import pytest

from poplarhoist.decisions import effects as fx
from poplarhoist.replay.simulation import Simulation
from tests.leads import acting_leads, check_at_most_one_lead, lead_of, send_requests, wait_until

ENTRIES = ["entry-1", "entry-2", "entry-3"]


def bench_with_pending_order():
    """Return a bench whose lead is paused just before it sends an order that evicts an adapter.

    The intent is stored, so the order may be sent once the lead resumes. Also returns the names
    of the lead and of the other entries.
    """
    bench = Simulation(entries=3, engines=3, slots=3, checks_fencing=False)
    bench.checks.append(check_at_most_one_lead)
    bench.configure(adapters=12)
    bench.run(4.0)
    lead, _ = lead_of(bench)
    others = [name for name in ENTRIES if name != lead.state.me.name]
    send_requests(bench, others, [f"a{n}" for n in range(9)], 5.0)
    bench.run(2.0)
    lead.pause_before = fx.SendOrder
    bench.ask(others[0], "a9")
    wait_until(bench, lambda: lead.paused)
    return bench, lead.state.me.name, others


def stored_orders(bench):
    """Return the intents of open orders that are stored on the platform."""
    return bench.platform.objects["intents/base"][1]["orders"]


def test_intent_is_stored_before_its_order_is_sent():
    bench = Simulation(entries=2, engines=2, slots=2, checks_fencing=False)
    bench.configure(adapters=8)
    was_stored = []

    def record_if_stored(entry, item):
        if isinstance(item, fx.SendOrder):
            was_stored.append(
                item.order_id in {order["order_id"] for order in stored_orders(bench)}
            )

    bench.hooks.append(record_if_stored)
    bench.run(4.0)
    requests = send_requests(bench, ENTRIES[:2], [f"a{n}" for n in range(8)], 4.0)
    bench.run(5.0)
    assert all(item.completed for item in requests)
    assert was_stored and all(was_stored)
    assert stored_orders(bench) == []


@pytest.mark.parametrize("paused_s", [1.0, 2.9, 6.0, 120.0])
def test_late_order_of_a_paused_lead_affects_only_unused_adapters(paused_s):
    bench, paused_lead, others = bench_with_pending_order()
    order = stored_orders(bench)[0]
    targets = [order[name].split("@")[0] for name in ("replaces", "load")]
    requests = send_requests(bench, others, targets, paused_s, tokens=20)
    bench.resume(paused_lead)
    requests += send_requests(bench, others, targets, 12.0, tokens=20)
    bench.run(20.0)
    assert bench.violations() == []
    assert [item.refusal for item in requests] == [None] * len(requests)
    assert len(acting_leads(bench)) == 1
    assert stored_orders(bench) == []


@pytest.mark.parametrize("how", ["gone", "restarted", "resumed"])
def test_suspension_ends_once_the_sender_of_a_late_order_has_stopped(how):
    bench, paused_lead, others = bench_with_pending_order()
    order = stored_orders(bench)[0]
    wait_until(bench, lambda: acting_leads(bench))
    lead, pool = lead_of_others(bench, paused_lead)
    wait_until(bench, lambda: pool.engines[order["endpoint"]].suspended_refs)
    bench.run(30.0)
    assert pool.engines[order["endpoint"]].suspended_refs
    if how == "resumed":
        bench.resume(paused_lead)
    else:
        bench.kill(paused_lead, listed=how == "restarted")
    if how == "restarted":
        bench.add_entry(paused_lead, bench.entries[paused_lead].state.me.place)
    if how != "resumed":
        bench.run(bench.limits.order_s - 1.0)
        assert pool.engines[order["endpoint"]].suspended_refs
    wait_until(bench, lambda: not pool.engines[order["endpoint"]].suspended_refs, 4.0)
    requests = [bench.ask(name, f"a{n}") for n in range(6) for name in others]
    bench.run(12.0)
    assert all(item.completed for item in requests)
    assert stored_orders(bench) == []


def lead_of_others(bench, paused_lead):
    """Return the entry that leads now, other than the paused lead, and its engine pool."""
    name = acting_leads(bench)[0]
    assert name != paused_lead
    return bench.entries[name], bench.entries[name].state.boards["base"]


@pytest.mark.parametrize(
    ("lost", "late", "late_s"), [(1, 0, 0.0), (3, 0, 0.0), (0, 1, 0.5), (0, 1, 2.5), (0, 2, 4.0)]
)
def test_lost_answers_of_intent_writes_are_resolved_by_reading_back(lost, late, late_s):
    bench = Simulation(entries=3, engines=2, slots=2, checks_fencing=False)
    bench.checks.append(check_at_most_one_lead)
    bench.configure(adapters=8)
    bench.run(4.0)
    send_requests(bench, ENTRIES, ["a0", "a1", "a2", "a3"], 2.0)
    sent = []
    bench.hooks.append(lambda entry, item: append_order_id(sent, item))
    platform = bench.platform
    platform.faulty_prefix = "intents/"
    platform.lose_answers, platform.late_writes, platform.late_s = lost, late, late_s
    requests = send_requests(bench, ENTRIES, ["a4", "a5", "a6", "a7"], 3.0)
    bench.run(15.0)
    assert bench.platform.lose_answers == bench.platform.late_writes == 0
    assert all(item.completed for item in requests)
    assert len(sent) == len(set(sent))
    assert stored_orders(bench) == []


def append_order_id(sent, item):
    """Append the id of an order if an effect sends one."""
    if isinstance(item, fx.SendOrder):
        sent.append(item.order_id)
