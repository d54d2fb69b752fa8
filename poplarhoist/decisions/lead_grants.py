"""The lead's side of grants: who may use which slot, and recalls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist.decisions import evictions
from poplarhoist.decisions.board import (
    Board,
    EngineBoard,
    Slot,
    SlotState,
    current_board,
    is_cleared,
    is_usable,
    want,
)
from poplarhoist.decisions.effects import PollEndpoint, SendMessage
from poplarhoist.decisions.membership import is_gone, is_silent
from poplarhoist.decisions.messages import Grant, Returned

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State
    from poplarhoist.models import AdapterRef

GRANT_AGAIN_S = 1.0


def grant(state: State, board: Board, engine: EngineBoard, slot: Slot, entry, at, out) -> bool:
    """Let an entry dispatch to a slot, if it is fit for use; return whether it was."""
    if not engine.settled or not is_usable(engine, slot):
        return False
    if slot.state is SlotState.DRAINING:
        evictions.keep_slot(board, engine, slot, at)
        evictions.refresh(state, board, engine, at)
    if slot.state is not SlotState.RESIDENT:
        return False
    if entry in slot.holders and at - slot.granted_at < GRANT_AGAIN_S:
        return True
    slot.granted_at = at
    out.append(SendMessage(entry, make_grant(state, board, engine, slot.ref, entry)))
    return True


def make_grant(state: State, board: Board, engine: EngineBoard, ref: AdapterRef, entry: str):
    """Note an entry as a holder of a slot, and return the grant for it."""
    board.grant_count += 1
    engine.slots[ref].holders[entry] = board.grant_count
    peer = state.members.peers.get(entry)
    boot = peer.boot if peer else state.boot
    return Grant(board.base, board.epoch, ref, engine.name, board.grant_count, boot)


def grant_waiting(state: State, board: Board, engine: EngineBoard, slot: Slot, at, out) -> None:
    """Grant a slot to every entry with requests waiting for it."""
    demand = board.demand.get(slot.ref)
    if demand is None:
        return
    for entry in sorted(demand.waiting_by_entry):
        grant(state, board, engine, slot, entry, at, out)
    want(board, slot.ref)


def recall_again(state: State, board: Board, at: float, out: list[Effect]) -> None:
    """Repeat recalls that were not answered, and ask for reports that are still missing."""
    for name, ref in sorted(board.draining):
        engine = board.engines[name]
        slot = engine.slots[ref]
        if slot.clean or at - max(slot.recalled_at, slot.since) < state.limits.recall_again_s:
            continue
        slot.recalled_at = at
        release_gone(state, engine, slot, at)
        if engine.reserved_at is None and any(is_silent(state, n, at) for n in slot.holders):
            evictions.keep_slot(board, engine, slot, at)
            grant_waiting(state, board, engine, slot, at, out)
            continue
        if slot.cleared_at is None and is_cleared(board, slot):
            slot.cleared_at = at
        if slot.cleared_at is not None:
            out.append(PollEndpoint(engine.name))
        else:
            evictions.recall(board, engine, slot, at, out)


def release_gone(state: State, engine: EngineBoard, slot: Slot, at: float) -> None:
    """Take grants back from holders that the platform lists no more."""
    for name in [name for name in slot.holders if is_gone(state, name)]:
        del slot.holders[name]
        engine.returned_at = at


def take_return(state: State, sender: str, message: Returned, at: float, out) -> None:
    """Note that an entry handed a grant back, unless a later grant is on its way to it."""
    board = current_board(state, message.base, message.epoch)
    engine = board.engines.get(message.endpoint) if board else None
    if engine is None:
        return
    slot = engine.slots.get(message.ref)
    holders = slot.holders if slot else engine.lost_holders.get(message.ref, {})
    if sender not in holders or message.number < holders[sender]:
        return
    del holders[sender]
    engine.returned_at = at
    if slot is None:
        if not holders:
            del engine.lost_holders[message.ref]
        return
    if slot.state is SlotState.DRAINING and slot.cleared_at is None and is_cleared(board, slot):
        slot.cleared_at = at
        out.append(PollEndpoint(engine.name))
