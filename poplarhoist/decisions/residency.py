"""Keeps the lead's slots in line with the engines' reports and the grants that entries hold."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from poplarhoist.decisions import background_loads, holdings, intents, membership, orders
from poplarhoist.decisions.effects import PollEndpoint, SendMessage
from poplarhoist.decisions.engine_pool import (
    EnginePool,
    EngineState,
    Slot,
    SlotState,
    add_slot,
    drop_slot,
    update_pending_load,
)
from poplarhoist.decisions.evictions import add_victim, update_readiness
from poplarhoist.decisions.lead_grants import grant_to_waiting
from poplarhoist.decisions.messages import GatherGrants, GrantPair, HeldGrants
from poplarhoist.models import AdapterRef, EndpointReport

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State


def gather_grants(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Ask entries that have not answered this lead yet for the grants that they hold.

    The question is repeated at most once per ``recall_again_s``. Senders of suspended orders are
    asked again too, since the answer tells whether an order of theirs is still open.
    """
    pool.unreported_entries = {name for name in pool.unreported_entries if is_listed(state, name)}
    pool.entries_with_unknown_grants &= pool.unreported_entries
    asked = pool.unreported_entries | intents.senders_with_open_orders(state, pool)
    if not asked or at - pool.gather_sent_at < state.limits.recall_resend_interval_s:
        return
    pool.gather_sent_at = at
    for name in sorted(asked):
        out.append(SendMessage(name, GatherGrants(pool.base, pool.epoch)))


def is_listed(state: State, name: str) -> bool:
    """Return whether an entry is this one or a listed peer."""
    return name == state.me.name or name in state.members.peers


def record_held_grants(
    state: State, pool: EnginePool, sender: str, message: HeldGrants, at: float
) -> None:
    """Record the grants that an entry reports.

    The message also tells whether orders that the entry sent as an earlier lead may still take
    effect, which ends suspensions.
    """
    record_held_pairs(pool, sender, message.pairs, at)
    pool.unreported_entries.discard(sender)
    pool.entries_with_unknown_grants.discard(sender)
    intents.update_suspensions_of_sender(state, pool, sender, message.orders_open, at)


def begin_gather(state: State, pool: EnginePool, name: str, at: float) -> None:
    """Mark an entry to be asked for its grants.

    Until it answers, it is taken to hold the grants of its last ``Holdings`` messages. If those
    are not known, it may hold a grant for any slot.
    """
    pool.asked_entries.add(name)
    pool.unreported_entries.add(name)
    pairs = holdings.known_pairs(state, pool.base, name)
    if pairs is None:
        pool.entries_with_unknown_grants.add(name)
    else:
        record_held_pairs(pool, name, pairs, at)


def record_held_pairs(pool: EnginePool, sender: str, pairs: Iterable[GrantPair], at: float) -> None:
    """Record that an entry holds grants that this lead did not give.

    A slot that is not known yet is added if the engine is not synced; a later report confirms
    or removes it. A synced engine no longer holds such an adapter version, and the grant is kept
    in ``holders_by_lost_ref`` until it is returned.
    """
    for pair in sorted(pairs, key=str):
        engine = pool.engines.get(pair.endpoint)
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
            add_slot(pool, engine, slot)
            add_victim(pool, engine, slot)


def add_or_update_engine(state: State, pool: EnginePool, name: str, at: float) -> EngineState:
    """Add a listed engine to the pool, or update its capacity, region and availability.

    The adapter versions of an engine that becomes unavailable are queued to be loaded on other
    engines if they are in demand.
    """
    engine = pool.engines.get(name)
    if engine is None:
        engine = pool.engines[name] = EngineState(name)
        pool.unfenced_engines.add(name)
        suspensions = (s for s in pool.suspensions.values() if s.endpoint == name)
        engine.suspended_refs = {ref for suspension in suspensions for ref in suspension.refs}
    view = state.members.endpoints[name]
    pool.capacity += view.endpoint.slots - engine.capacity
    engine.capacity = view.endpoint.slots
    engine.region = view.endpoint.place.region
    if not view.endpoint.checks_fencing:
        pool.intents.needed = True
    available = membership.is_endpoint_usable(state, engine.name)
    if engine.available and not available:
        engine.available = False
        reload_elsewhere(pool, engine, at)
    engine.available = available
    if available:
        for ref in engine.slots:
            update_pending_load(pool, ref)
    update_readiness(state, pool, engine, at)
    return engine


def reload_elsewhere(pool: EnginePool, engine: EngineState, at: float) -> None:
    """Queue loads of the adapter versions of an engine that is leaving or silent."""
    for ref in engine.slots:
        update_pending_load(pool, ref)
        background_loads.queue_recovery(pool, ref, at)


def remove_engine(pool: EnginePool, name: str, at: float) -> None:
    """Remove an engine that is no longer listed, with its slots and its order."""
    engine = pool.engines.get(name)
    if engine is None:
        return
    engine.available = False
    for ref in list(engine.slots):
        drop_slot(pool, engine, ref)
        background_loads.queue_recovery(pool, ref, at)
    if engine.order is not None:
        pool.orders.pop(engine.order.order_id, None)
        intents.close_intent(pool, engine.order.order_id)
    pool.capacity -= engine.capacity
    del pool.engines[name]
    pool.unfenced_engines.discard(name)
    pool.reserved_engines.discard(name)
    pool.engines_with_free_slot.pop(name, None)
    pool.engines_with_evictable_slot.pop(name, None)


def reconcile(state, pool: EnginePool, engine: EngineState, report, sampled_at, at, out) -> None:
    """Update an engine's slots, order and suspensions by a report that this entry polled.

    Reports from before the engine was fenced are used only to detect a restart and idleness. An
    order of an earlier lead could still change the slots after them.

    Parameters
    ----------
    sampled_at : float
        Earliest time at which the engine can have taken the report, since this entry polled it.
    """
    detect_restart(state, pool, engine, report, at)
    if not report.running and not report.waiting:
        engine.idle_sampled_at = max(engine.idle_sampled_at, sampled_at)
    if engine.fenced_at is None or sampled_at < engine.fenced_at:
        return
    resident = {AdapterRef.parse(text): running for text, running in report.resident.items()}
    orders.resolve_order_by_report(state, pool, engine, resident, sampled_at, at, out)
    grantable_refs = intents.end_suspensions(pool, engine, sampled_at)
    for ref, slot in list(engine.slots.items()):
        check_slot(pool, engine, slot, resident.get(ref), sampled_at, at)
    if engine.order is None:
        for ref in sorted(resident.keys() - engine.slots.keys()):
            slot = Slot(ref, SlotState.RESIDENT, at, may_have_unknown_holders=True)
            add_slot(pool, engine, slot)
            add_victim(pool, engine, slot)
    if not engine.synced:
        engine.synced = True
        grantable_refs = set(engine.slots)
    for ref in sorted(grantable_refs & engine.slots.keys()):
        grant_to_waiting(state, pool, engine, engine.slots[ref], at, out)
    update_readiness(state, pool, engine, at)


def check_slot(pool: EnginePool, engine: EngineState, slot: Slot, running, sampled_at, at) -> None:
    """Update one slot by a report, unless the report is older than the slot's state.

    Parameters
    ----------
    running : int or None
        Requests that run on the adapter version; None if the engine does not hold it.
    """
    if sampled_at < slot.state_changed_at or slot.state in (SlotState.LOADING, SlotState.REPLACING):
        return
    if running is None:
        drop_slot(pool, engine, slot.ref)
        background_loads.queue_recovery(pool, slot.ref, at)
    elif slot.state is SlotState.DRAINING and slot.grants_released_at is not None:
        slot.evictable = sampled_at >= slot.grants_released_at and running == 0


def detect_restart(state: State, pool: EnginePool, engine: EngineState, report, at: float) -> None:
    """Drop the slots and the order of an engine whose boot id changed: it lost its adapters.

    It has to be fenced again, since it does not remember the epoch.
    """
    if engine.boot and report.boot != engine.boot:
        orders.abandon_order(state, pool, engine, at)
        for ref in list(engine.slots):
            drop_slot(pool, engine, ref)
            background_loads.queue_recovery(pool, ref, at)
        engine.fenced_at = None
        engine.fence_sent_at = float("-inf")
        engine.synced = False
        engine.idle_sampled_at = float("-inf")
        pool.unfenced_engines.add(engine.name)
        update_readiness(state, pool, engine, at)
    engine.boot = report.boot


def check_relayed_report(
    state: State, pool: EnginePool, engine: EngineState, report: EndpointReport, out
):
    """Poll an engine if a report that a peer relayed differs from the known slots.

    Slots with a load under way are not compared. The engine is also polled if it is fenced but
    not synced yet.
    """
    changing = {SlotState.LOADING, SlotState.REPLACING}
    held = {str(ref) for ref, slot in engine.slots.items() if slot.state not in changing}
    busy = {str(ref) for ref, slot in engine.slots.items() if slot.state in changing}
    fits = report.boot == engine.boot and held == report.resident.keys() - busy
    if not fits or (not engine.synced and engine.fenced_at is not None):
        out.append(PollEndpoint(engine.name))
