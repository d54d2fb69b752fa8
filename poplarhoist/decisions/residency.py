"""Brings the lead's board in line with what engines report and entries hold."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from poplarhoist.decisions import ahead, holdings, intents, membership, orders
from poplarhoist.decisions.board import (
    EnginePool,
    EngineState,
    Slot,
    SlotState,
    add_slot,
    drop_slot,
    update_pending_load,
)
from poplarhoist.decisions.effects import PollEndpoint, SendMessage
from poplarhoist.decisions.evictions import add_victim, update_readiness
from poplarhoist.decisions.lead_grants import grant_to_waiting
from poplarhoist.decisions.messages import GatherGrants, GrantPair, HeldGrants
from poplarhoist.models import AdapterRef, EndpointReport

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State


def gather_grants(state: State, board: EnginePool, at: float, out: list[Effect]) -> None:
    """Ask entries that have not answered yet for the grants that they hold."""
    board.unreported_entries = {name for name in board.unreported_entries if is_listed(state, name)}
    board.entries_with_unknown_grants &= board.unreported_entries
    asked = board.unreported_entries | intents.senders_with_open_orders(state, board)
    if not asked or at - board.gather_sent_at < state.limits.recall_again_s:
        return
    board.gather_sent_at = at
    for name in sorted(asked):
        out.append(SendMessage(name, GatherGrants(board.base, board.epoch)))


def is_listed(state: State, name: str) -> bool:
    """Return whether an entry is this one or listed."""
    return name == state.me.name or name in state.members.peers


def record_held_grants(
    state: State, board: EnginePool, sender: str, message: HeldGrants, at: float
) -> None:
    """Take an entry's account of the grants that it holds."""
    record_held_pairs(board, sender, message.pairs, at)
    board.unreported_entries.discard(sender)
    board.entries_with_unknown_grants.discard(sender)
    intents.record_sender_orders(state, board, sender, message.orders_open, at)


def begin_gather(state: State, board: EnginePool, name: str, at: float) -> None:
    """Begin to ask an entry for its grants; count on those that it told of before."""
    board.asked_entries.add(name)
    board.unreported_entries.add(name)
    pairs = holdings.known_pairs(state, board.base, name)
    if pairs is None:
        board.entries_with_unknown_grants.add(name)
    else:
        record_held_pairs(board, name, pairs, at)


def record_held_pairs(
    board: EnginePool, sender: str, pairs: Iterable[GrantPair], at: float
) -> None:
    """Note that an entry holds grants that this lead did not give."""
    for pair in sorted(pairs, key=str):
        engine = board.engines.get(pair.endpoint)
        if engine is None:
            continue
        slot = engine.slots.get(pair.ref)
        if slot is not None:
            slot.holders.setdefault(sender, 0)
        elif engine.synced:
            engine.holders_by_lost_ref.setdefault(pair.ref, {}).setdefault(sender, 0)
        else:
            slot = Slot(
                pair.ref, SlotState.RESIDENT, at, {sender: 0}, may_have_unknown_holders=True
            )
            add_slot(board, engine, slot)
            add_victim(board, engine, slot)


def add_or_update_engine(state: State, board: EnginePool, name: str, at: float) -> EngineState:
    """Begin to lead an engine that is listed, or take over a change of it."""
    engine = board.engines.get(name)
    if engine is None:
        engine = board.engines[name] = EngineState(name)
        board.unfenced_engines.add(name)
        suspensions = (s for s in board.suspensions.values() if s.endpoint == name)
        engine.suspended_refs = {ref for suspension in suspensions for ref in suspension.refs}
    view = state.members.endpoints[name]
    board.capacity += view.endpoint.slots - engine.capacity
    engine.capacity = view.endpoint.slots
    engine.region = view.endpoint.place.region
    if not view.endpoint.checks_fencing:
        board.intents.needed = True
    available = membership.usable(state, engine.name)
    if engine.available and not available:
        engine.available = False
        reload_elsewhere(board, engine, at)
    engine.available = available
    if available:
        for ref in engine.slots:
            update_pending_load(board, ref)
    update_readiness(state, board, engine, at)
    return engine


def reload_elsewhere(board: EnginePool, engine: EngineState, at: float) -> None:
    """Load elsewhere what an engine that leaves or is silent held."""
    for ref in engine.slots:
        update_pending_load(board, ref)
        ahead.queue_recovery(board, ref, at)


def remove_engine(board: EnginePool, name: str, at: float) -> None:
    """Drop an engine that is listed no more."""
    engine = board.engines.get(name)
    if engine is None:
        return
    engine.available = False
    for ref in list(engine.slots):
        drop_slot(board, engine, ref)
        ahead.queue_recovery(board, ref, at)
    if engine.order is not None:
        board.orders.pop(engine.order.order_id, None)
        intents.close_intent(board, engine.order.order_id)
    board.capacity -= engine.capacity
    del board.engines[name]
    board.unfenced_engines.discard(name)
    board.reserved_engines.discard(name)
    board.engines_with_free_slot.pop(name, None)
    board.engines_with_evictable_slot.pop(name, None)


def reconcile(state, board: EnginePool, engine: EngineState, report, sampled_at, at, out) -> None:
    """Take over an engine's own account of its slots, read here after ``sampled_at``."""
    detect_restart(state, board, engine, report, at)
    if not report.running and not report.waiting:
        engine.idle_sampled_at = max(engine.idle_sampled_at, sampled_at)
    if engine.fenced_at is None or sampled_at < engine.fenced_at:
        return
    resident = {AdapterRef.parse(text): running for text, running in report.resident.items()}
    orders.resolve_order_by_report(state, board, engine, resident, sampled_at, at, out)
    freed = intents.end_suspensions(board, engine, sampled_at)
    for ref, slot in list(engine.slots.items()):
        check_slot(board, engine, slot, resident.get(ref), sampled_at, at)
    if engine.order is None:
        for ref in sorted(resident.keys() - engine.slots.keys()):
            slot = Slot(ref, SlotState.RESIDENT, at, may_have_unknown_holders=True)
            add_slot(board, engine, slot)
            add_victim(board, engine, slot)
    if not engine.synced:
        engine.synced = True
        freed = set(engine.slots)
    for ref in sorted(freed & engine.slots.keys()):
        grant_to_waiting(state, board, engine, engine.slots[ref], at, out)
    update_readiness(state, board, engine, at)


def check_slot(board: EnginePool, engine: EngineState, slot: Slot, running, sampled_at, at) -> None:
    """Bring one slot in line with a report; ``running`` is None if it is not resident."""
    if sampled_at < slot.state_changed_at or slot.state in (SlotState.LOADING, SlotState.REPLACING):
        return
    if running is None:
        drop_slot(board, engine, slot.ref)
        ahead.queue_recovery(board, slot.ref, at)
    elif slot.state is SlotState.DRAINING and slot.grants_released_at is not None:
        slot.evictable = sampled_at >= slot.grants_released_at and running == 0


def detect_restart(state: State, board: EnginePool, engine: EngineState, report, at: float) -> None:
    """Forget the slots of an engine that restarted cold."""
    if engine.boot and report.boot != engine.boot:
        orders.abandon_order(state, board, engine, at)
        for ref in list(engine.slots):
            drop_slot(board, engine, ref)
            ahead.queue_recovery(board, ref, at)
        engine.fenced_at = None
        engine.fence_sent_at = float("-inf")
        engine.synced = False
        engine.idle_sampled_at = float("-inf")
        board.unfenced_engines.add(engine.name)
        update_readiness(state, board, engine, at)
    engine.boot = report.boot


def check_relayed_report(
    state: State, board: EnginePool, engine: EngineState, report: EndpointReport, out
):
    """Read an engine's report here when what a peer read does not fit the board."""
    changing = {SlotState.LOADING, SlotState.REPLACING}
    held = {str(ref) for ref, slot in engine.slots.items() if slot.state not in changing}
    busy = {str(ref) for ref, slot in engine.slots.items() if slot.state in changing}
    fits = report.boot == engine.boot and held == report.resident.keys() - busy
    if not fits or (not engine.synced and engine.fenced_at is not None):
        out.append(PollEndpoint(engine.name))
