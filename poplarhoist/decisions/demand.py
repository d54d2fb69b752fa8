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


def update_demand(board: EnginePool, sender: str, item: DemandItem, at: float) -> None:
    """Update the demand for an adapter version from an entry's report.

    A few idle adapter versions are dropped when a new one is added.
    """
    demand = board.demand.get(item.ref)
    if demand is None:
        drop_idle(board, at)
        demand = board.demand[item.ref] = DemandView(scored_at=at)
    board.demand.move_to_end(item.ref)
    demand.score = demand.decayed_score(at) + item.arrived
    demand.scored_at = at
    if item.waiting:
        demand.waiting_by_entry[sender] = item.waiting
        demand.oldest_arrived_at = min(demand.oldest_arrived_at, at - item.oldest_s)
        demand.priority = max(demand.priority, item.priority)
        board.refs_by_waiting_entry.setdefault(sender, set()).add(item.ref)
    else:
        clear_waiting(board, sender, item.ref)


def clear_waiting(board: EnginePool, sender: str, ref: AdapterRef) -> None:
    """Record that no request waits at an entry for an adapter version."""
    demand = board.demand[ref]
    demand.waiting_by_entry.pop(sender, None)
    board.refs_by_waiting_entry.get(sender, set()).discard(ref)
    if not demand.waiting_by_entry:
        demand.oldest_arrived_at = float("inf")
        demand.priority = 0


def drop_idle(board: EnginePool, at: float) -> None:
    """Drop some adapter versions whose demand has decayed to ``IDLE_SCORE``.

    It checks up to ``IDLE_CHECKS_PER_INSERT`` of the least recently updated ones. Those that are
    on an engine, or wait for a retry of a failed load, are kept.
    """
    for _ in range(min(IDLE_CHECKS_PER_INSERT, len(board.demand))):
        ref, demand = next(iter(board.demand.items()))
        if demand.waiting_by_entry or demand.decayed_score(at) > IDLE_SCORE:
            return
        if ref in board.engines_by_ref or demand.retry_at > at:
            board.demand.move_to_end(ref)
        else:
            del board.demand[ref]


def drop_silent_entries(state: State, board: EnginePool, at: float) -> None:
    """Clear the waiting demand of entries that have been silent for the peer timeout.

    Runs at most once per ``SILENT_ENTRY_CHECK_S``.
    """
    if at - board.silent_entries_checked_at < SILENT_ENTRY_CHECK_S:
        return
    board.silent_entries_checked_at = at
    heard_after = at - state.limits.peer_timeout_s
    for entry in list(board.refs_by_waiting_entry):
        peer = state.members.peers.get(entry)
        if entry == state.me.name or (peer is not None and peer.heard_at >= heard_after):
            continue
        for ref in sorted(board.refs_by_waiting_entry.pop(entry)):
            clear_waiting(board, entry, ref)
            update_pending_load(board, ref)


def grant_or_request_load(
    state: State, board: EnginePool, sender: str, ref: AdapterRef, at, out
) -> None:
    """Grant an entry each engine where the adapter is resident, and request a load if needed.

    Grants are given only if requests wait at the entry.
    """
    if board.demand[ref].waiting_by_entry.get(sender):
        for name in sorted(board.engines_by_ref.get(ref, ())):
            engine = board.engines[name]
            grant_slot(state, board, engine, engine.slots[ref], sender, at, out)
    update_pending_load(board, ref)


def send_expected(state: State, board: EnginePool, sender: str, ref: AdapterRef, at, out) -> None:
    """Send an entry the estimate of when an adapter version is ready, unless it is resident."""
    ready_in_s = estimate_ready_s(state, board, ref, at)
    if ready_in_s is not None:
        out.append(SendMessage(sender, Expected(board.base, board.epoch, ref, ready_in_s)))


def estimate_ready_s(state: State, board: EnginePool, ref: AdapterRef, at: float) -> float | None:
    """Return the expected time until an adapter version is resident, in seconds.

    None if no load of it is queued or under way, as when it is resident.
    """
    demand = board.demand[ref]
    if ref in board.pending_loads:
        loads_before = board.pending_loads.rank(ref)
        ready_in_s = budget.estimate_completion_s(state, board, loads_before, at)
        backoff_s = demand.retry_at - at + budget.load_time_s(state, board)
        return max(ready_in_s, backoff_s)
    for name in board.engines_by_ref.get(ref, ()):
        engine = board.engines[name]
        slot = engine.slots[ref]
        if slot.state is SlotState.LOADING:
            return max(0.0, slot.state_changed_at + budget.load_time_s(state, board) - at)
    return None
