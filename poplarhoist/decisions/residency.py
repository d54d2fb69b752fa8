"""Brings the lead's board in line with what engines report and entries hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist.decisions.board import Board, EngineBoard, Slot, SlotState, add_slot, drop_slot
from poplarhoist.decisions.effects import SendMessage
from poplarhoist.decisions.lead_grants import grant_waiting
from poplarhoist.decisions.messages import GatherGrants, HeldGrants
from poplarhoist.models import AdapterRef, EndpointReport

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State


def gather(state: State, board: Board, at: float, out: list[Effect]) -> None:
    """Ask entries that have not answered yet for the grants that they hold."""
    board.ungathered &= {state.me.name, *state.members.peers}
    if not board.ungathered or at - board.gather_sent_at < state.limits.recall_again_s:
        return
    board.gather_sent_at = at
    for name in sorted(board.ungathered):
        out.append(SendMessage(name, GatherGrants(board.base, board.epoch)))


def take_held(state: State, board: Board, sender: str, message: HeldGrants, at: float) -> None:
    """Take an entry's account of the grants that it holds."""
    for pair in message.pairs:
        engine = board.engines.setdefault(pair.endpoint, EngineBoard(pair.endpoint))
        slot = engine.slots.get(pair.ref)
        if slot is None:
            slot = Slot(pair.ref, SlotState.RESIDENT, at)
            add_slot(board, engine, slot)
        slot.holders.add(sender)
    board.ungathered.discard(sender)


def reconcile(state, board, engine, report: EndpointReport, sampled_at, at, out) -> None:
    """Take over an engine's own account of its slots."""
    if engine.boot and report.boot != engine.boot:
        restart(board, engine)
    engine.boot = report.boot
    if not report.running and not report.waiting:
        engine.idle_sampled_at = max(engine.idle_sampled_at, sampled_at)
    if engine.fenced_at is None or sampled_at <= engine.fenced_at:
        return
    resident = {AdapterRef.parse(text): running for text, running in report.resident.items()}
    for ref, slot in list(engine.slots.items()):
        if sampled_at <= slot.since or slot.state in (SlotState.LOADING, SlotState.REPLACING):
            continue
        if ref not in resident:
            drop_slot(board, engine, ref)
        elif slot.state is SlotState.DRAINING and slot.cleared_at is not None:
            slot.clean = sampled_at > slot.cleared_at and resident[ref] == 0
    if engine.order is None:
        for ref in resident.keys() - engine.slots.keys():
            add_slot(board, engine, Slot(ref, SlotState.RESIDENT, at))
    settle(state, board, engine, at, out)


def restart(board: Board, engine: EngineBoard) -> None:
    """Forget the slots of an engine that restarted cold."""
    for ref in list(engine.slots):
        drop_slot(board, engine, ref)
    if engine.order is not None:
        board.orders.pop(engine.order.order_id, None)
        engine.order = None
    engine.fenced_at = None
    engine.fence_sent_at = float("-inf")
    engine.settled = False
    engine.idle_sampled_at = float("-inf")


def settle(state: State, board: Board, engine: EngineBoard, at: float, out) -> None:
    """Begin to use an engine of which the residency is now known."""
    if engine.settled:
        return
    engine.settled = True
    for slot in list(engine.slots.values()):
        grant_waiting(state, board, engine, slot, at, out)
