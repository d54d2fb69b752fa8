"""Admission: which requests wait, for how long and in what order, and the demand sent to leads."""

import pytest
from attrs import evolve

from poplarhoist.decisions import effects as fx
from poplarhoist.decisions.limits import Limits
from poplarhoist.decisions.messages import Demand
from poplarhoist.decisions.state import RequestState
from poplarhoist.decisions.wait_queue import WaitQueue
from poplarhoist.entry.platform import token_digest
from poplarhoist.models import AdapterRef, Caller, Preset, Ran, Reason
from poplarhoist.replay.simulation import Simulation

REFUSAL_DELAY_S = 0.1


def make_site(preset=None, callers=(), **options):
    bench = Simulation(**{"entries": 3, "engines": 3, **options})
    bench.configure(adapters=40, preset=preset)
    if callers:

        def add(draft):
            for name, priority in callers:
                draft.put_caller(Caller(name, token_digest(name), priority))

        bench.publisher().apply_change(add)
    bench.run(5.0)
    return bench


def find_lead(bench):
    return next(e for e in bench.entries.values() if e.alive and e.state.boards)


def lead_demand(bench, adapter):
    return find_lead(bench).state.boards["base"].demand[AdapterRef(adapter, 1)]


def test_requests_that_cannot_meet_their_deadline_are_refused_at_once():
    limits = evolve(Limits(), store_loads_per_s=0.5)
    bench = make_site(limits=limits)
    early = [bench.ask("entry-1", f"a{number}", deadline_s=60.0) for number in range(4)]
    bench.run(0.2)
    urgent = [bench.ask("entry-2", f"a{number}", deadline_s=2.0) for number in range(20, 24)]
    bench.run(REFUSAL_DELAY_S)
    assert [item.refusal.reason for item in urgent] == [Reason.NOT_READY_IN_TIME] * 4
    assert all(item.refusal.retry_after_s > 2.0 for item in urgent)
    assert all(item.refusal.ran is Ran.NO for item in urgent)
    again = bench.ask("entry-2", "a23", deadline_s=2.0)
    assert again.refusal.reason is Reason.NOT_READY_IN_TIME
    bench.run(10.0)
    assert [item.refusal for item in early] == [None] * 4


def test_many_requests_for_one_cold_adapter_cause_one_demand_and_one_load():
    bench = make_site(entries=6, engines=6, batch=64)
    demand_senders = []
    bench.hooks.append(
        lambda entry, item: (
            demand_senders.append(entry.state.me.name)
            if isinstance(item, fx.SendMessage) and isinstance(item.message, Demand)
            else None
        )
    )
    loads = bench.store.loads
    asked = [bench.ask(f"entry-{number % 6 + 1}", "a7") for number in range(300)]
    assert len(demand_senders) <= 6
    bench.run(5.0)
    assert all(item.completed for item in asked)
    assert bench.store.loads == loads + 1


@pytest.mark.parametrize(
    ("asked_after_outage_s", "max_wait_s"), [(0.0, Limits().lead_missing_s), (20.0, 0.0)]
)
def test_cold_requests_are_refused_while_no_lead_exists(asked_after_outage_s, max_wait_s):
    bench = make_site()
    bench.ask("entry-1", "a0"), bench.ask("entry-2", "a0"), bench.ask("entry-3", "a0")
    bench.run(2.0)
    name = find_lead(bench).state.me.name
    bench.platform.outage = True
    bench.kill(name, listed=True)
    bench.run(asked_after_outage_s)
    other = next(name for name, entry in bench.entries.items() if entry.alive)
    cold = bench.ask(other, "a9", deadline_s=60.0)
    bench.run(20.0)
    assert (cold.refusal.reason, cold.refusal.ran) == (Reason.NOT_READY, Ran.NO)
    # An entry notices the loss of the lead only after peer_timeout_s; a request that arrives after
    # the lead has been missing long enough is refused at once.
    slack_s = bench.limits.peer_timeout_s + 1.0
    assert cold.ended_at - cold.sent_at <= max_wait_s + (slack_s if max_wait_s else 0.0)


def test_resident_adapters_are_served_without_lead_and_platform():
    bench = make_site()
    bench.ask("entry-1", "a0"), bench.ask("entry-2", "a0"), bench.ask("entry-3", "a0")
    bench.run(2.0)
    bench.platform.outage = True
    bench.kill(find_lead(bench).state.me.name, listed=True)
    bench.run(10.0)
    living = [name for name, entry in bench.entries.items() if entry.alive]
    asked = [bench.ask(name, "a0") for name in living]
    bench.run(2.0)
    assert all(item.completed for item in asked)


def test_a_cold_request_waits_for_a_change_of_leads():
    bench = make_site()
    name = find_lead(bench).state.me.name
    bench.kill(name)
    other = next(name for name, entry in bench.entries.items() if entry.alive)
    cold = bench.ask(other, "a9", deadline_s=30.0)
    bench.run(15.0)
    assert cold.completed
    assert cold.ended_at - cold.sent_at <= bench.limits.lead_missing_s + 1.0


@pytest.mark.parametrize(
    ("sent", "reasons"),
    [
        ([("loud", 9)], {("loud", Reason.CALLER_QUEUE_FULL): 5}),
        ([("loud", 4), ("other", 4)], {}),
        ([("loud", 4), ("other", 4), ("third", 2)], {("third", Reason.QUEUE_FULL): 2}),
        ([("loud", 4), ("other", 4), ("urgent", 2)], {("other", Reason.QUEUE_FULL): 2}),
        ([("urgent", 4), ("other", 4), ("third", 1)], {("third", Reason.QUEUE_FULL): 1}),
    ],
)
def test_queue_limits_per_caller_and_by_priority(sent, reasons):
    callers = [("loud", 0), ("other", 0), ("third", 0), ("urgent", 5)]
    bench = make_site(Preset("ordinary", queue_limit=8), callers, entries=1, engines=1)
    bench.store.slowdown = 8.0
    asked = []
    for caller, count in sent:
        asked += [(caller, bench.ask("entry-1", "a1", token=caller)) for _ in range(count)]
    refusal_counts = {}
    for caller, item in asked:
        if item.refusal is not None:
            key = (caller, item.refusal.reason)
            refusal_counts[key] = refusal_counts.get(key, 0) + 1
    assert refusal_counts == reasons
    bench.run(20.0)
    assert all(item.completed or item.refusal for _, item in asked)


def test_a_busy_caller_does_not_delay_the_others():
    callers = [("loud", 0), ("quiet", 0), ("urgent", 5)]
    bench = make_site(callers=callers, entries=1, engines=1, batch=2)
    loud = [bench.ask("entry-1", "a1", tokens=20, token="loud") for _ in range(40)]
    quiet = [bench.ask("entry-1", "a1", tokens=20, token="quiet") for _ in range(3)]
    urgent = [bench.ask("entry-1", "a1", tokens=20, token="urgent") for _ in range(3)]
    bench.run(60.0)
    ordered = sorted(
        (item for item in (*loud, *quiet, *urgent) if item.dispatched_at is not None),
        key=lambda item: item.dispatched_at,
    )
    assert {item.request_id for item in urgent} <= {item.request_id for item in ordered[:4]}
    assert {item.request_id for item in quiet} <= {item.request_id for item in ordered[:12]}


def test_adapters_share_a_full_engine_in_order_of_arrival():
    bench = make_site(entries=1, engines=1, batch=2)
    for name in ("a1", "a2"):
        bench.ask("entry-1", name)
    bench.run(5.0)
    first = [bench.ask("entry-1", "a1", tokens=10) for _ in range(30)]
    bench.run(0.1)
    second = bench.ask("entry-1", "a2", tokens=10)
    bench.run(0.1)
    late = [bench.ask("entry-1", "a1", tokens=10) for _ in range(30)]
    bench.run(30.0)
    assert second.dispatched_at < min(item.dispatched_at for item in late if item.dispatched_at)
    assert second.dispatched_at >= max(item.dispatched_at for item in first if item.dispatched_at)


def test_demand_of_refused_requests_is_reported_to_the_lead():
    bench = make_site(Preset("ordinary", queue_limit=0))
    asked = [bench.ask("entry-1", "a5") for _ in range(10)]
    assert {item.refusal.reason for item in asked} <= {Reason.QUEUE_FULL, Reason.CALLER_QUEUE_FULL}
    bench.run(1.0)
    assert lead_demand(bench, "a5").score > 5.0
    assert lead_demand(bench, "a5").waiting == 0


def test_requests_that_wait_for_a_full_engine_are_reported_and_expire():
    bench = make_site(entries=1, engines=1, batch=2)
    running = [bench.ask("entry-1", "a1", tokens=400) for _ in range(2)]
    bench.run(2.0)
    waiting = [bench.ask("entry-1", "a1", deadline_s=3.0) for _ in range(4)]
    bench.run(1.0)
    held_back = [item for item in waiting if not item.dispatched_endpoints]
    assert lead_demand(bench, "a1").waiting == len(held_back) > 0
    bench.run(2.2)
    assert [item.refusal.reason for item in held_back] == [Reason.DEADLINE] * len(held_back)
    bench.run(20.0)
    assert all(item.completed for item in running)


def test_queues_of_idle_adapters_are_dropped():
    bench = make_site()
    for number in range(40):
        bench.ask("entry-1", f"a{number}", deadline_s=1.0)
    bench.run(30.0)
    state = bench.entries["entry-1"].state
    assert (state.admission.queues, state.admission.waiting_count) == ({}, 0)
    assert (state.admission.waiting_by_caller, state.admission.waiting_by_priority) == ({}, {})


def test_wait_queue_order_by_priority_then_caller():
    queue = WaitQueue("base")
    sent = [("a", 0), ("a", 0), ("a", 0), ("b", 0), ("b", 0), ("c", 3), ("a", 3)]
    by_id = {}
    for number, (caller, priority) in enumerate(sent):
        request = RequestState(str(number), caller, priority, float(number), 10.0 - number)
        by_id[request.request_id] = request
        queue.add(request)
    queue.remove(by_id["1"])
    assert queue.oldest_at() == 0.0
    assert queue.pop_late(5.5) == ["6", "5"]
    order = []
    while queue.request_ids:
        request = by_id[queue.peek()]
        order.append(request.request_id)
        queue.remove(request)
    assert order == ["5", "6", "3", "0", "4", "2"]
    assert (queue.by_priority, queue.oldest_at()) == ({}, float("inf"))
