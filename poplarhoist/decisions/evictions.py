"""Which adapter version leaves an engine to make room for another."""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist.decisions.board import Board, EngineBoard, Slot, SlotState
from poplarhoist.decisions.effects import PollEndpoint
from poplarhoist.decisions.lead_grants import recall

if TYPE_CHECKING:
    from poplarhoist.decisions.state import State


def make_room(state: State, board: Board, engines: list[EngineBoard], at: float, out) -> None:
    """Begin to drain the least wanted slot of engines that drain none yet."""
    best: tuple[float, EngineBoard, Slot] | None = None
    for engine in engines:
        if any(slot.state is SlotState.DRAINING for slot in engine.slots.values()):
            continue
        for slot in engine.slots.values():
            if slot.state is not SlotState.RESIDENT:
                continue
            loss = expected_loss(board, slot, at)
            if best is None or loss < best[0]:
                best = (loss, engine, slot)
    if best is not None:
        drain_slot(state, board, best[1], best[2], at, out)


def expected_loss(board: Board, slot: Slot, at: float) -> float:
    """Return how much is lost by evicting a slot."""
    demand = board.demand.get(slot.ref)
    if demand is None:
        return 0.0
    return demand.decayed(at) + demand.waiting


def drain_slot(state: State, board: Board, engine: EngineBoard, slot: Slot, at, out) -> None:
    """Recall all grants of a slot, so that it can be evicted."""
    slot.state = SlotState.DRAINING
    slot.since = at
    slot.cleared_at = None
    slot.clean = False
    if slot.holders or board.ungathered:
        recall(board, engine, slot, at, out)
    else:
        slot.cleared_at = at
        out.append(PollEndpoint(engine.name))
