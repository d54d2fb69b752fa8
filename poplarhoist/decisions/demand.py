"""Demand for adapter versions over all entries, and when each is expected to be ready."""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist.decisions.board import Board, DemandView, want
from poplarhoist.decisions.lead_grants import grant
from poplarhoist.decisions.messages import DemandItem
from poplarhoist.models import AdapterRef

if TYPE_CHECKING:
    from poplarhoist.decisions.state import State


def take_demand(board: Board, sender: str, item: DemandItem, at: float) -> None:
    """Add an entry's demand to what is known."""
    demand = board.demand.setdefault(item.ref, DemandView(scored_at=at))
    demand.score = demand.decayed(at) + item.arrived
    demand.scored_at = at
    demand.priority = max(demand.priority, item.priority)
    if item.waiting:
        demand.waiting_by_entry[sender] = item.waiting
        demand.oldest_at = min(demand.oldest_at, at - item.oldest_s)
        return
    demand.waiting_by_entry.pop(sender, None)
    if not demand.waiting_by_entry:
        demand.oldest_at = float("inf")
        demand.priority = 0


def grant_or_want(state: State, board: Board, sender: str, ref: AdapterRef, at, out) -> None:
    """Grant an entry every engine that holds the adapter version, or want a load."""
    demand = board.demand[ref]
    if not demand.waiting_by_entry.get(sender):
        if not demand.waiting_by_entry:
            board.wanted.discard(ref)
        return
    granted = False
    for name in sorted(board.engines_by_ref.get(ref, ())):
        engine = board.engines[name]
        granted |= grant(state, board, engine, engine.slots[ref], sender, at, out)
    if not granted:
        want(board, ref)


def expected_ready_s(state: State, board: Board, ref: AdapterRef, at: float) -> float:
    """Estimate how long it takes until an adapter version is resident."""
    mine = order_key(board, ref, at)
    ahead = sum(1 for other in board.wanted if order_key(board, other, at) > mine)
    rate = state.limits.store_loads_per_s
    return max(0.0, ahead + 1 - board.tokens) / rate + state.limits.load_s


def order_key(board: Board, ref: AdapterRef, at: float) -> tuple[float, float]:
    """Return the rank of a wanted load; the highest goes first."""
    demand = board.demand[ref]
    age_s = max(0.0, at - demand.oldest_at)
    return (demand.priority, demand.waiting * (1.0 + age_s))
