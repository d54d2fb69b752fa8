"""Empties an engine, so that one request can run alone on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist.decisions.board import Board, EngineBoard, Slot, SlotState, want
from poplarhoist.decisions.effects import PollEndpoint
from poplarhoist.decisions.evictions import drain_slot, keep_slot, refresh, worth
from poplarhoist.decisions.lead_grants import grant_waiting, release_gone
from poplarhoist.decisions.orders import send_load
from poplarhoist.models import AdapterRef

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State


def reserve(state: State, board: Board, engine: EngineBoard, at: float, out: list[Effect]) -> None:
    """Recall every grant of an engine's slots; grant nothing on it until it is released.

    Only ``load_reserved`` loads anything on it meanwhile. Reserving it again does nothing.
    """
    if engine.reserved_at is not None:
        return
    engine.reserved_at = at
    board.reserved.add(engine.name)
    refresh(state, board, engine, at)
    for slot in list(engine.slots.values()):
        slot.promised = False
        if slot.state is SlotState.RESIDENT:
            drain_slot(state, board, engine, slot, at, out)
        want(board, slot.ref)
    out.append(PollEndpoint(engine.name))


def is_empty(board: Board, engine: EngineBoard) -> bool:
    """Return whether nothing runs on a reserved engine, nor can until it is released.

    Nobody holds a grant on it, and a report sampled after the last one was handed back shows
    nothing running or waiting.
    """
    if engine.reserved_at is None or board.unknown or not engine.settled:
        return False
    if any(slot.holders for slot in engine.slots.values()):
        return False
    return engine.idle_sampled_at >= max(engine.reserved_at, engine.returned_at)


def load_reserved(
    state: State, board: Board, engine: EngineBoard, ref: AdapterRef, at: float, out: list[Effect]
) -> bool:
    """Load an adapter version on a reserved and empty engine; return whether it is resident.

    Call it again, at each tick or report, until it returns True.
    """
    slot = engine.slots.get(ref)
    if slot is not None:
        return slot.state in (SlotState.RESIDENT, SlotState.DRAINING)
    if engine.order is not None or at < engine.retry_at or not is_empty(board, engine):
        return False
    if ref in engine.suspended:
        return False
    view = state.members.endpoints.get(engine.name)
    if view is None:
        return False
    victim = None
    if len(engine.slots) >= view.endpoint.slots:
        victim = least_wanted(board, engine, at)
        if victim is None:
            return False
    send_load(state, board, engine, ref, victim, at, out)
    return False


def least_wanted(board: Board, engine: EngineBoard, at: float) -> Slot | None:
    """Return the slot of an engine that is missed least."""
    changing = (SlotState.LOADING, SlotState.REPLACING)
    slots = engine.slots.values()
    found = [s for s in slots if s.state not in changing and s.ref not in engine.suspended]
    return min(found, key=lambda slot: worth(board, slot), default=None)


def release(state: State, board: Board, engine: EngineBoard, at: float, out: list[Effect]) -> None:
    """Use an engine again for everybody, and grant what entries wait for."""
    if engine.reserved_at is None:
        return
    engine.reserved_at = None
    board.reserved.discard(engine.name)
    for slot in list(engine.slots.values()):
        if slot.state is SlotState.DRAINING:
            keep_slot(board, engine, slot, at)
        grant_waiting(state, board, engine, slot, at, out)
    refresh(state, board, engine, at)


def poll(state: State, board: Board, at: float, out: list[Effect]) -> None:
    """Ask reserved engines that are not empty yet for reports."""
    for name in sorted(board.reserved):
        engine = board.engines[name]
        if is_empty(board, engine) or at - engine.asked_at < state.limits.recall_again_s:
            continue
        engine.asked_at = at
        for slot in engine.slots.values():
            release_gone(state, engine, slot, at)
        out.append(PollEndpoint(name))
