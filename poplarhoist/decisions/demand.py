"""The lead's view of the demand of all entries, and its estimates of when adapters are ready."""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist.decisions import budget
from poplarhoist.decisions.effects import SendMessage
from poplarhoist.decisions.engine_pool import DemandView, EnginePool, SlotState, update_pending_load
from poplarhoist.decisions.lead_grants import grant_slot
from poplarhoist.decisions.messages import DemandItem, Expected
from poplarhoist.models import AdapterRef

if TYPE_CHECKING:
    from poplarhoist.decisions.state import State

IDLE_SCORE = 0.01
IDLE_CHECKS_PER_INSERT = 2
SILENT_ENTRY_CHECK_S = 0.5


def update_demand(pool: EnginePool, sender: str, item: DemandItem, at: float) -> None:
    """Update the demand for an adapter version from an entry's report.

    A few idle adapter versions are dropped when a new one is added.
    """
    demand = pool.demand.get(item.ref)
    if demand is None:
        drop_idle(pool, at)
        demand = pool.demand[item.ref] = DemandView(scored_at=at)
    pool.demand.move_to_end(item.ref)
    demand.score = demand.decayed_score(at) + item.arrived
    demand.scored_at = at
    if item.waiting:
        demand.waiting_by_entry[sender] = item.waiting
        demand.oldest_arrived_at = min(demand.oldest_arrived_at, at - item.oldest_s)
        demand.priority = max(demand.priority, item.priority)
        pool.refs_by_waiting_entry.setdefault(sender, set()).add(item.ref)
    else:
        clear_waiting(pool, sender, item.ref)


def clear_waiting(pool: EnginePool, sender: str, ref: AdapterRef) -> None:
    """Record that no request waits at an entry for an adapter version."""
    demand = pool.demand[ref]
    demand.waiting_by_entry.pop(sender, None)
    pool.refs_by_waiting_entry.get(sender, set()).discard(ref)
    if not demand.waiting_by_entry:
        demand.oldest_arrived_at = float("inf")
        demand.priority = 0


def drop_idle(pool: EnginePool, at: float) -> None:
    """Drop some adapter versions whose demand has decayed to ``IDLE_SCORE``.

    It checks up to ``IDLE_CHECKS_PER_INSERT`` of the least recently updated ones. Those that are
    on an engine, or wait for a retry of a failed load, are kept.
    """
    for _ in range(min(IDLE_CHECKS_PER_INSERT, len(pool.demand))):
        ref, demand = next(iter(pool.demand.items()))
        if demand.waiting_by_entry or demand.decayed_score(at) > IDLE_SCORE:
            return
        if ref in pool.engines_by_ref or demand.retry_at > at:
            pool.demand.move_to_end(ref)
        else:
            del pool.demand[ref]


def drop_silent_entries(state: State, pool: EnginePool, at: float) -> None:
    """Clear the waiting demand of entries that have been silent for the peer timeout.

    Runs at most once per ``SILENT_ENTRY_CHECK_S``.
    """
    if at - pool.silent_entries_checked_at < SILENT_ENTRY_CHECK_S:
        return
    pool.silent_entries_checked_at = at
    heard_after = at - state.limits.peer_timeout_s
    for entry in list(pool.refs_by_waiting_entry):
        peer = state.members.peers.get(entry)
        if entry == state.me.name or (peer is not None and peer.heard_at >= heard_after):
            continue
        for ref in sorted(pool.refs_by_waiting_entry.pop(entry)):
            clear_waiting(pool, entry, ref)
            update_pending_load(pool, ref)


def grant_or_request_load(
    state: State, pool: EnginePool, sender: str, ref: AdapterRef, at, out
) -> None:
    """Grant an entry each engine where the adapter is resident, and request a load if needed.

    Grants are given only if requests wait at the entry.
    """
    if pool.demand[ref].waiting_by_entry.get(sender):
        for name in sorted(pool.engines_by_ref.get(ref, ())):
            engine = pool.engines[name]
            grant_slot(state, pool, engine, engine.slots[ref], sender, at, out)
    update_pending_load(pool, ref)


def send_expected(state: State, pool: EnginePool, sender: str, ref: AdapterRef, at, out) -> None:
    """Send an entry the estimate of when an adapter version is ready, unless it is resident."""
    ready_in_s = estimate_ready_s(state, pool, ref, at)
    if ready_in_s is not None:
        out.append(SendMessage(sender, Expected(pool.base, pool.epoch, ref, ready_in_s)))


def estimate_ready_s(state: State, pool: EnginePool, ref: AdapterRef, at: float) -> float | None:
    """Return the expected time until an adapter version is resident, in seconds.

    None if no load of it is queued or under way, as when it is resident.
    """
    demand = pool.demand[ref]
    if ref in pool.pending_loads:
        loads_before = pool.pending_loads.rank(ref)
        ready_in_s = budget.estimate_completion_s(state, pool, loads_before, at)
        backoff_s = demand.retry_at - at + budget.load_time_s(state, pool)
        return max(ready_in_s, backoff_s)
    for name in pool.engines_by_ref.get(ref, ()):
        engine = pool.engines[name]
        slot = engine.slots[ref]
        if slot.state is SlotState.LOADING:
            return max(0.0, slot.state_changed_at + budget.load_time_s(state, pool) - at)
    return None
