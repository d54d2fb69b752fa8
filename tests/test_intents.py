"""Orders to engines that do not check epochs: written down first, harmless when late."""

import pytest

from poplarhoist.decisions import effects as fx
from poplarhoist.replay.bench import Bench
from tests.leads import acting_leads, check_at_most_one_lead, lead_of, send_requests, wait_until

ENTRIES = ["entry-1", "entry-2", "entry-3"]


def bench_with_late_order():
    """Return a bench whose lead is paused right before it sends an order that evicts."""
    bench = Bench(entries=3, engines=3, slots=3, checks_fencing=False)
    bench.checks.append(check_at_most_one_lead)
    bench.configure(adapters=12)
    bench.run(4.0)
    lead, _ = lead_of(bench)
    others = [name for name in ENTRIES if name != lead.state.me.name]
    send_requests(bench, others, [f"a{n}" for n in range(9)], 5.0)
    bench.run(2.0)
    lead.pause_at = fx.SendOrder
    bench.ask(others[0], "a9")
    wait_until(bench, lambda: lead.paused)
    return bench, lead.state.me.name, others


def written(bench):
    """Return the orders that the platform's object names as open."""
    return bench.platform.objects["intents/base"][1]["orders"]


def test_an_order_is_written_down_before_it_is_sent():
    bench = Bench(entries=2, engines=2, slots=2, checks_fencing=False)
    bench.configure(adapters=8)
    seen = []

    def note(entry, item):
        if isinstance(item, fx.SendOrder):
            seen.append(item.order_id in {order["order_id"] for order in written(bench)})

    bench.hooks.append(note)
    bench.run(4.0)
    asked = send_requests(bench, ENTRIES[:2], [f"a{n}" for n in range(8)], 4.0)
    bench.run(5.0)
    assert all(item.completed for item in asked)
    assert seen and all(seen)
    assert written(bench) == []


@pytest.mark.parametrize("paused_s", [1.0, 2.9, 6.0, 120.0])
def test_a_late_order_of_a_paused_lead_hits_only_what_nobody_uses(paused_s):
    bench, old, others = bench_with_late_order()
    order = written(bench)[0]
    targets = [order[name].split("@")[0] for name in ("replaces", "load")]
    asked = send_requests(bench, others, targets, paused_s, tokens=20)
    bench.resume(old)
    asked += send_requests(bench, others, targets, 12.0, tokens=20)
    bench.run(20.0)
    assert bench.violations() == []
    assert [item.refusal for item in asked] == [None] * len(asked)
    assert len(acting_leads(bench)) == 1
    assert written(bench) == []


@pytest.mark.parametrize("how", ["gone", "restarted", "resumed"])
def test_what_a_late_order_may_hit_is_used_again_once_its_sender_has_ended_it(how):
    bench, old, others = bench_with_late_order()
    order = written(bench)[0]
    wait_until(bench, lambda: acting_leads(bench))
    lead, pool = lead_of_others(bench, old)
    wait_until(bench, lambda: pool.engines[order["endpoint"]].suspended_refs)
    bench.run(30.0)
    assert pool.engines[order["endpoint"]].suspended_refs
    if how == "resumed":
        bench.resume(old)
    else:
        bench.kill(old, listed=how == "restarted")
    if how == "restarted":
        bench.add_entry(old, bench.entries[old].state.me.place)
    if how != "resumed":
        bench.run(bench.limits.order_s - 1.0)
        assert pool.engines[order["endpoint"]].suspended_refs
    wait_until(bench, lambda: not pool.engines[order["endpoint"]].suspended_refs, 4.0)
    asked = [bench.ask(name, f"a{n}") for n in range(6) for name in others]
    bench.run(12.0)
    assert all(item.completed for item in asked)
    assert written(bench) == []


def lead_of_others(bench, old):
    """Return the entry that leads now, and its board; an earlier one is paused."""
    name = acting_leads(bench)[0]
    assert name != old
    return bench.entries[name], bench.entries[name].state.boards["base"]


@pytest.mark.parametrize(
    ("lost", "late", "late_s"), [(1, 0, 0.0), (3, 0, 0.0), (0, 1, 0.5), (0, 1, 2.5), (0, 2, 4.0)]
)
def test_lost_answers_of_intent_writes_are_settled_by_reading_back(lost, late, late_s):
    bench = Bench(entries=3, engines=2, slots=2, checks_fencing=False)
    bench.checks.append(check_at_most_one_lead)
    bench.configure(adapters=8)
    bench.run(4.0)
    send_requests(bench, ENTRIES, ["a0", "a1", "a2", "a3"], 2.0)
    sent = []
    bench.hooks.append(lambda entry, item: append_order_id(sent, item))
    platform = bench.platform
    platform.faulty_path = "intents/"
    platform.lose_answers, platform.late_writes, platform.late_s = lost, late, late_s
    asked = send_requests(bench, ENTRIES, ["a4", "a5", "a6", "a7"], 3.0)
    bench.run(15.0)
    assert bench.platform.lose_answers == bench.platform.late_writes == 0
    assert all(item.completed for item in asked)
    assert len(sent) == len(set(sent))
    assert written(bench) == []


def append_order_id(sent, item):
    """Note the id of an order that is sent."""
    if isinstance(item, fx.SendOrder):
        sent.append(item.order_id)
