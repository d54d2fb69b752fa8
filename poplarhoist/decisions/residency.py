"""Brings the lead's board in line with what engines report and entries hold."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from poplarhoist.decisions import ahead, holdings, intents, membership, orders
from poplarhoist.decisions.board import (
    Board,
    EngineBoard,
    Slot,
    SlotState,
    add_slot,
    drop_slot,
    want,
)
from poplarhoist.decisions.effects import PollEndpoint, SendMessage
from poplarhoist.decisions.evictions import add_victim, refresh
from poplarhoist.decisions.lead_grants import grant_waiting
from poplarhoist.decisions.messages import GatherGrants, GrantPair, HeldGrants
from poplarhoist.models import AdapterRef, EndpointReport

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State


def gather(state: State, board: Board, at: float, out: list[Effect]) -> None:
    """Ask entries that have not answered yet for the grants that they hold."""
    board.ungathered = {name for name in board.ungathered if is_listed(state, name)}
    board.unknown &= board.ungathered
    asked = board.ungathered | intents.unsettled_holders(state, board)
    if not asked or at - board.gather_sent_at < state.limits.recall_again_s:
        return
    board.gather_sent_at = at
    for name in sorted(asked):
        out.append(SendMessage(name, GatherGrants(board.base, board.epoch)))


def is_listed(state: State, name: str) -> bool:
    """Return whether an entry is this one or listed."""
    return name == state.me.name or name in state.members.peers


def take_held(state: State, board: Board, sender: str, message: HeldGrants, at: float) -> None:
    """Take an entry's account of the grants that it holds."""
    add_holder(board, sender, message.pairs, at)
    board.ungathered.discard(sender)
    board.unknown.discard(sender)
    intents.on_held(state, board, sender, message.orders_open, at)


def begin_gather(state: State, board: Board, name: str, at: float) -> None:
    """Begin to ask an entry for its grants; count on those that it told of before."""
    board.known_entries.add(name)
    board.ungathered.add(name)
    pairs = holdings.known_pairs(state, board.base, name)
    if pairs is None:
        board.unknown.add(name)
    else:
        add_holder(board, name, pairs, at)


def add_holder(board: Board, sender: str, pairs: Iterable[GrantPair], at: float) -> None:
    """Note that an entry holds grants that this lead did not give."""
    for pair in sorted(pairs, key=str):
        engine = board.engines.get(pair.endpoint)
        if engine is None:
            continue
        slot = engine.slots.get(pair.ref)
        if slot is not None:
            slot.holders.setdefault(sender, 0)
        elif engine.settled:
            engine.lost_holders.setdefault(pair.ref, {}).setdefault(sender, 0)
        else:
            slot = Slot(pair.ref, SlotState.RESIDENT, at, {sender: 0}, inherited=True)
            add_slot(board, engine, slot)
            add_victim(board, engine, slot)


def add_engine(state: State, board: Board, name: str, at: float) -> EngineBoard:
    """Begin to lead an engine that is listed, or take over a change of it."""
    engine = board.engines.get(name)
    if engine is None:
        engine = board.engines[name] = EngineBoard(name)
        board.unfenced.add(name)
        suspensions = (s for s in board.suspensions.values() if s.endpoint == name)
        engine.suspended = {ref for suspension in suspensions for ref in suspension.refs}
    view = state.members.endpoints[name]
    board.capacity += view.endpoint.slots - engine.capacity
    engine.capacity = view.endpoint.slots
    engine.region = view.endpoint.place.region
    if not view.endpoint.checks_fencing:
        board.intents.needed = True
    available = membership.is_endpoint_usable(state, engine.name)
    if engine.available and not available:
        engine.available = False
        leave(board, engine, at)
    engine.available = available
    if available:
        for ref in engine.slots:
            want(board, ref)
    refresh(state, board, engine, at)
    return engine


def leave(board: Board, engine: EngineBoard, at: float) -> None:
    """Load elsewhere what an engine that leaves or is silent held."""
    for ref in engine.slots:
        want(board, ref)
        ahead.recover(board, ref, at)


def forget_engine(board: Board, name: str, at: float) -> None:
    """Drop an engine that is listed no more."""
    engine = board.engines.get(name)
    if engine is None:
        return
    engine.available = False
    for ref in list(engine.slots):
        drop_slot(board, engine, ref)
        ahead.recover(board, ref, at)
    if engine.order is not None:
        board.orders.pop(engine.order.order_id, None)
        intents.close(board, engine.order.order_id)
    board.capacity -= engine.capacity
    del board.engines[name]
    board.unfenced.discard(name)
    board.reserved.discard(name)
    board.ready_free.pop(name, None)
    board.ready_clean.pop(name, None)


def reconcile(state, board: Board, engine: EngineBoard, report, sampled_at, at, out) -> None:
    """Take over an engine's own account of its slots, read here after ``sampled_at``."""
    note_boot(state, board, engine, report, at)
    if not report.running and not report.waiting:
        engine.idle_sampled_at = max(engine.idle_sampled_at, sampled_at)
    if engine.fenced_at is None or sampled_at < engine.fenced_at:
        return
    resident = {AdapterRef.parse(text): running for text, running in report.resident.items()}
    orders.settle_by_report(state, board, engine, resident, sampled_at, at, out)
    freed = intents.settle(board, engine, sampled_at)
    for ref, slot in list(engine.slots.items()):
        check_slot(board, engine, slot, resident.get(ref), sampled_at, at)
    if engine.order is None:
        for ref in sorted(resident.keys() - engine.slots.keys()):
            slot = Slot(ref, SlotState.RESIDENT, at, inherited=True)
            add_slot(board, engine, slot)
            add_victim(board, engine, slot)
    if not engine.settled:
        engine.settled = True
        freed = set(engine.slots)
    for ref in sorted(freed & engine.slots.keys()):
        grant_waiting(state, board, engine, engine.slots[ref], at, out)
    refresh(state, board, engine, at)


def check_slot(board: Board, engine: EngineBoard, slot: Slot, running, sampled_at, at) -> None:
    """Bring one slot in line with a report; ``running`` is None if it is not resident."""
    if sampled_at < slot.since or slot.state in (SlotState.LOADING, SlotState.REPLACING):
        return
    if running is None:
        drop_slot(board, engine, slot.ref)
        ahead.recover(board, slot.ref, at)
    elif slot.state is SlotState.DRAINING and slot.cleared_at is not None:
        slot.clean = sampled_at >= slot.cleared_at and running == 0


def note_boot(state: State, board: Board, engine: EngineBoard, report, at: float) -> None:
    """Forget the slots of an engine that restarted cold."""
    if engine.boot and report.boot != engine.boot:
        orders.drop_order(state, board, engine, at)
        for ref in list(engine.slots):
            drop_slot(board, engine, ref)
            ahead.recover(board, ref, at)
        engine.fenced_at = None
        engine.fence_sent_at = float("-inf")
        engine.settled = False
        engine.idle_sampled_at = float("-inf")
        board.unfenced.add(engine.name)
        refresh(state, board, engine, at)
    engine.boot = report.boot


def take_passed_on(state: State, board: Board, engine: EngineBoard, report: EndpointReport, out):
    """Read an engine's report here when what a peer read does not fit the board."""
    changing = {SlotState.LOADING, SlotState.REPLACING}
    held = {str(ref) for ref, slot in engine.slots.items() if slot.state not in changing}
    busy = {str(ref) for ref, slot in engine.slots.items() if slot.state in changing}
    fits = report.boot == engine.boot and held == report.resident.keys() - busy
    if not fits or (not engine.settled and engine.fenced_at is not None):
        out.append(PollEndpoint(engine.name))
