"""Grants under late and repeated messages, and with dead, silent and restarted holders."""

import pytest

from poplarhoist.decisions import messages
from poplarhoist.decisions.engine_pool import SlotState
from poplarhoist.decisions.events import PeerSaid
from poplarhoist.decisions.evictions import drain_slot
from poplarhoist.decisions.reducer import handle_message
from poplarhoist.models import AdapterRef
from poplarhoist.replay.simulation import Simulation
from tests.leads import (
    call_and_run_effects,
    check_at_most_one_lead,
    lead_of,
    send_requests,
    wait_until,
)

ENTRIES = ["entry-1", "entry-2", "entry-3"]
REF = AdapterRef("a0", 1)


def bench_with_grant(tokens=1):
    """Return a bench, its lead and engine pool, the slot of a0 and an entry that was granted it."""
    bench = Simulation(entries=3, engines=1, slots=2)
    bench.checks.append(check_at_most_one_lead)
    bench.configure(adapters=6)
    bench.run(4.0)
    lead, pool = lead_of(bench)
    holder = next(name for name in ENTRIES if name != lead.state.me.name)
    request = bench.ask(holder, "a0", tokens=tokens)
    wait_until(bench, lambda: request.dispatched_endpoints)
    bench.run(0.1)
    engine = pool.engines["engine-1"]
    return bench, lead, pool, engine.slots[REF], bench.entries[holder]


def held_pairs(entry):
    """Return the grants that an entry holds, as pairs of adapter version and endpoint."""
    return {
        (str(ref), endpoint)
        for ref, by_endpoint in entry.state.grants.by_ref.items()
        for endpoint in by_endpoint
    }


def deliver(bench, entry, sender, message):
    """Deliver a message to an entry; return the messages that it sends in response."""
    out = []
    handle_message(entry.state, sender.state.me.name, message, bench.clock.seconds, out)
    return [effect.message for effect in out if hasattr(effect, "message")]


def make_message(kind, pool, number, **more):
    """Return a message of some kind about a0 on engine-1."""
    return kind("base", pool.epoch, REF, "engine-1", number, **more)


def test_repeated_grant_is_dropped_after_its_return():
    bench, lead, pool, slot, holder = bench_with_grant()
    number = slot.holders[holder.state.me.name]
    grant = make_message(messages.Grant, pool, number)
    recall = make_message(messages.Recall, pool, number)
    assert deliver(bench, holder, lead, recall) == [make_message(messages.Returned, pool, number)]
    deliver(bench, holder, lead, grant)
    assert held_pairs(holder) == set()
    deliver(bench, holder, lead, make_message(messages.Grant, pool, number + 1, boot="earlier"))
    assert held_pairs(holder) == set()
    deliver(bench, holder, lead, make_message(messages.Grant, pool, number + 1))
    assert held_pairs(holder) == {("a0@1", "engine-1")}


@pytest.mark.parametrize(("numbers_behind", "held"), [(0, False), (1, True), (2, True)])
def test_late_return_does_not_release_a_newer_grant(numbers_behind, held):
    bench, lead, pool, slot, holder = bench_with_grant()
    name = holder.state.me.name
    number = slot.holders[name]
    deliver(bench, lead, holder, make_message(messages.Returned, pool, number - numbers_behind))
    assert (name in slot.holders) is held


def test_lead_keeps_the_holder_when_recall_and_new_grant_cross():
    bench, lead, pool, slot, holder = bench_with_grant()
    call_and_run_effects(bench, lead, drain_slot, lead.state, pool, pool.engines["engine-1"], slot)
    name, sequence = holder.state.me.name, holder.sequence_by_peer[lead.state.me.name]
    demand = messages.Demand("base", (messages.DemandItem(REF, 1, 0.1, 1),))
    bench.submit(lead, lambda at: PeerSaid(at, name, holder.state.boot, sequence, demand))
    assert slot.state is SlotState.RESIDENT
    bench.run(0.2)
    assert holder.state.me.name in slot.holders
    assert held_pairs(holder) == {("a0@1", "engine-1")}


def drain_slot_of_a0(bench, lead, pool, slot):
    """Make the lead drain the slot of a0."""
    call_and_run_effects(bench, lead, drain_slot, lead.state, pool, pool.engines["engine-1"], slot)


def test_dead_holder_is_released_after_it_is_unlisted_and_the_engine_is_idle():
    bench, lead, pool, slot, holder = bench_with_grant(tokens=200)
    bench.platform.list_lag_s = 2.0
    bench.kill(holder.state.me.name)
    drain_slot_of_a0(bench, lead, pool, slot)
    bench.run(1.9)
    assert slot.holders and not slot.evictable
    bench.run(0.2)
    drain_slot_of_a0(bench, lead, pool, slot)
    bench.run(1.0)
    assert not slot.holders and not slot.evictable
    wait_until(bench, lambda: slot.evictable, 8.0)
    assert not bench.engines["engine-1"].running


def test_unreachable_listed_holder_blocks_only_its_slots():
    bench, lead, pool, slot, holder = bench_with_grant()
    other = next(e for e in bench.entries.values() if e is not lead and e is not holder)
    bench.ask(other.state.me.name, "a1")
    bench.run(1.0)
    bench.pause(holder.state.me.name)
    requests = [bench.ask(other.state.me.name, f"a{n}") for n in range(2, 6)]
    bench.run(8.0)
    assert all(item.completed for item in requests)
    assert bench.engines["engine-1"].slots["a0@1"] == "resident"
    assert holder.state.me.name in slot.holders


def test_new_lead_knows_the_grants_of_an_unreachable_entry():
    bench, lead, pool, slot, holder = bench_with_grant()
    other = next(e for e in bench.entries.values() if e is not lead and e is not holder)
    bench.ask(other.state.me.name, "a1")
    bench.run(1.0)
    bench.pause(holder.state.me.name)
    bench.kill(lead.state.me.name)
    bench.run(5.0)
    requests = [bench.ask(other.state.me.name, f"a{n}") for n in range(2, 6)]
    bench.run(9.0)
    assert all(item.completed for item in requests)
    assert bench.engines["engine-1"].slots["a0@1"] == "resident"


def test_restarted_holder_loses_the_grants_of_its_earlier_run():
    bench, lead, pool, slot, holder = bench_with_grant(tokens=100)
    name, place = holder.state.me.name, holder.state.me.place
    bench.kill(name, listed=True)
    bench.add_entry(name, place)
    bench.run(0.5)
    drain_slot_of_a0(bench, lead, pool, slot)
    bench.run(1.0)
    assert not slot.holders and not slot.evictable
    wait_until(bench, lambda: slot.evictable, 8.0)
    assert not bench.engines["engine-1"].running


def test_holders_are_remembered_across_an_engine_restart():
    bench, lead, pool, slot, holder = bench_with_grant()
    name = holder.state.me.name
    bench.pause(name)
    bench.engines["engine-1"].crash()
    bench.run(4.0)
    assert REF not in pool.engines["engine-1"].slots
    request = bench.ask(lead.state.me.name, "a0")
    bench.run(2.0)
    assert request.completed
    assert name in pool.engines["engine-1"].slots[REF].holders


def test_draining_entry_serves_waiting_requests_and_returns_all_grants():
    bench, lead, pool, slot, holder = bench_with_grant()
    name = holder.state.me.name
    requests = [bench.ask(name, f"a{n % 6}", tokens=30) for n in range(18)]
    bench.run(0.1)
    bench.drain(name)
    wait_until(bench, lambda: holder.stopped, 15.0)
    assert all(item.completed for item in requests)
    bench.run(1.0)
    held = {entry for each in pool.engines["engine-1"].slots.values() for entry in each.holders}
    assert name not in held
    assert held_pairs(holder) == set()


def possible_faults(bench):
    """Return functions that each cause a fault; they take the name of an entry."""
    return [
        bench.pause,
        lambda name: bench.engines["engine-1"].crash(),
        lambda name: setattr(bench.platform, "lose_answers", 2),
        lambda name: setattr(bench.platform, "outage", True),
        lambda name: bench.partitioned_pairs.add(frozenset((name, "entry-2"))),
    ]


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_random_faults_violate_no_invariant(checks_fencing):
    bench = Simulation(entries=3, engines=3, slots=2, checks_fencing=checks_fencing, seed=7)
    bench.checks.append(check_at_most_one_lead)
    bench.configure(adapters=12)
    bench.run(4.0)
    faults = possible_faults(bench)
    for number in range(20):
        bench.random.choice(faults)(bench.random.choice(ENTRIES))
        live = [name for name in ENTRIES if not bench.entries[name].paused]
        send_requests(bench, live, [f"a{n}" for n in range(12)], 2.5, 0.05, tokens=20)
        bench.platform.outage = False
        bench.partitioned_pairs.clear()
        for name in ENTRIES:
            if bench.entries[name].paused and (number % 2 or len(live) < 2):
                bench.resume(name)
    bench.run(15.0)
    requests = [bench.ask(name, f"a{n}") for n in range(12) for name in ENTRIES]
    bench.run(12.0)
    assert all(item.completed for item in requests)
