"""The lead's side of grants: who may use which slot, and recalls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist.decisions.board import Board, EngineBoard, Slot, SlotState, current_board
from poplarhoist.decisions.effects import PollEndpoint, SendMessage
from poplarhoist.decisions.messages import Grant, Recall, Returned
from poplarhoist.models import Liveness

if TYPE_CHECKING:
    from poplarhoist.decisions.state import State


def grant(state: State, board: Board, engine: EngineBoard, slot: Slot, entry, at, out) -> bool:
    """Let an entry dispatch to a slot, if it is fit for use; return whether it was."""
    view = state.members.endpoints.get(engine.name)
    if not engine.settled or view is None or view.leaving or engine.reserved_at is not None:
        return False
    if slot.state is SlotState.DRAINING:
        slot.state = SlotState.RESIDENT
        slot.since = at
        slot.cleared_at = None
        slot.clean = False
    if slot.state is not SlotState.RESIDENT:
        return False
    slot.holders.add(entry)
    out.append(SendMessage(entry, Grant(board.base, board.epoch, slot.ref, engine.name)))
    return True


def grant_waiting(state: State, board: Board, engine: EngineBoard, slot: Slot, at, out) -> None:
    """Grant a slot to every entry with requests waiting for it."""
    demand = board.demand.get(slot.ref)
    if demand is None:
        return
    granted = False
    for entry in sorted(demand.waiting_by_entry):
        granted |= grant(state, board, engine, slot, entry, at, out)
    if granted:
        board.wanted.discard(slot.ref)


def recall(board: Board, engine: EngineBoard, slot: Slot, at: float, out) -> None:
    """Ask every holder of a slot to hand its grant back."""
    slot.recalled_at = at
    for holder in sorted(slot.holders):
        message = Recall(board.base, board.epoch, slot.ref, engine.name)
        out.append(SendMessage(holder, message))


def recall_again(state: State, board: Board, engine: EngineBoard, at: float, out) -> None:
    """Repeat recalls that were not answered, and look for reports that are still missing."""
    for slot in engine.slots.values():
        if slot.state is not SlotState.DRAINING or slot.clean:
            continue
        if at - max(slot.recalled_at, slot.since) < state.limits.recall_again_s:
            continue
        gone = gone_holders(state, slot)
        if gone:
            slot.holders -= gone
            engine.returned_at = at
        if slot.holders:
            recall(board, engine, slot, at, out)
            continue
        slot.recalled_at = at
        if slot.cleared_at is None and not board.ungathered:
            slot.cleared_at = at
        out.append(PollEndpoint(engine.name))


def gone_holders(state: State, slot: Slot) -> set[str]:
    """Return the holders of a slot that the platform lists no more."""
    return {name for name in slot.holders if name != state.me.name and is_gone(state, name)}


def is_gone(state: State, name: str) -> bool:
    """Return whether the platform lists an entry as gone, or not at all."""
    peer = state.members.peers.get(name)
    return peer is None or peer.instance.state is Liveness.GONE


def take_return(state: State, sender: str, message: Returned, at: float, out) -> None:
    """Note that an entry handed a grant back."""
    board = current_board(state, message.base, message.epoch)
    engine = board.engines.get(message.endpoint) if board else None
    slot = engine.slots.get(message.ref) if engine else None
    if slot is None:
        return
    slot.holders.discard(sender)
    engine.returned_at = at
    if slot.state is SlotState.DRAINING and not slot.holders and not board.ungathered:
        slot.cleared_at = at
        out.append(PollEndpoint(engine.name))
