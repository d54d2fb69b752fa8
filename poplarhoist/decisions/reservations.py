"""Reserves an engine and empties it, so that one request can run alone on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist.decisions.effects import PollEndpoint
from poplarhoist.decisions.engine_pool import (
    EnginePool,
    EngineState,
    Slot,
    SlotState,
    update_pending_load,
)
from poplarhoist.decisions.evictions import (
    cancel_drain,
    drain_slot,
    eviction_cost,
    update_readiness,
)
from poplarhoist.decisions.lead_grants import grant_to_waiting, release_departed_holders
from poplarhoist.decisions.orders import send_load
from poplarhoist.models import AdapterRef

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State


def reserve(
    state: State, pool: EnginePool, engine: EngineState, at: float, out: list[Effect]
) -> None:
    """Reserve an engine: recall all grants of its slots and give none until it is released.

    Only ``load_reserved`` loads anything on it meanwhile. The adapter versions that requests wait
    for are queued to be loaded on other engines. Reserving it again does nothing.
    """
    if engine.reserved_at is not None:
        return
    engine.reserved_at = at
    pool.reserved_engines.add(engine.name)
    update_readiness(state, pool, engine, at)
    for slot in list(engine.slots.values()):
        slot.needed_for_load = False
        if slot.state is SlotState.RESIDENT:
            drain_slot(state, pool, engine, slot, at, out)
        update_pending_load(pool, slot.ref)
    out.append(PollEndpoint(engine.name))


def is_empty(pool: EnginePool, engine: EngineState) -> bool:
    """Return whether nothing runs on a reserved engine, nor can until it is released.

    No entry holds a grant on it, the grants of every entry are known, and a report sampled after
    the last grant was returned shows no request running or waiting.
    """
    if engine.reserved_at is None or pool.entries_with_unknown_grants or not engine.synced:
        return False
    if any(slot.holders for slot in engine.slots.values()):
        return False
    return engine.idle_sampled_at >= max(engine.reserved_at, engine.grant_returned_at)


def load_reserved(
    state: State,
    pool: EnginePool,
    engine: EngineState,
    ref: AdapterRef,
    at: float,
    out: list[Effect],
) -> bool:
    """Load an adapter version on a reserved and empty engine; return whether it is resident.

    To be called at each tick or report until it returns True; it orders one load at a time.
    """
    slot = engine.slots.get(ref)
    if slot is not None:
        return slot.state in (SlotState.RESIDENT, SlotState.DRAINING)
    if engine.order is not None or at < engine.retry_at or not is_empty(pool, engine):
        return False
    if ref in engine.suspended_refs:
        return False
    view = state.members.endpoints.get(engine.name)
    if view is None:
        return False
    victim = None
    if len(engine.slots) >= view.endpoint.slots:
        victim = cheapest_slot_to_evict(pool, engine, at)
        if victim is None:
            return False
    send_load(state, pool, engine, ref, victim, at, out)
    return False


def cheapest_slot_to_evict(pool: EnginePool, engine: EngineState, at: float) -> Slot | None:
    """Return the slot of an engine that costs least to evict, or None if none can be evicted.

    Slots with a load under way and suspended ones cannot.
    """
    changing = (SlotState.LOADING, SlotState.REPLACING)
    slots = engine.slots.values()
    found = [s for s in slots if s.state not in changing and s.ref not in engine.suspended_refs]
    return min(found, key=lambda slot: eviction_cost(pool, slot), default=None)


def release(
    state: State, pool: EnginePool, engine: EngineState, at: float, out: list[Effect]
) -> None:
    """End a reservation: cancel the drains and grant the slots that requests wait for.

    Does nothing if the engine is not reserved.
    """
    if engine.reserved_at is None:
        return
    engine.reserved_at = None
    pool.reserved_engines.discard(engine.name)
    for slot in list(engine.slots.values()):
        if slot.state is SlotState.DRAINING:
            cancel_drain(pool, engine, slot, at)
        grant_to_waiting(state, pool, engine, slot, at, out)
    update_readiness(state, pool, engine, at)


def poll_reserved_engines(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Poll reserved engines that are not empty yet, after removing holders that are gone.

    Each engine is polled at most once per ``recall_again_s``.
    """
    for name in sorted(pool.reserved_engines):
        engine = pool.engines[name]
        if is_empty(pool, engine) or at - engine.polled_at < state.limits.recall_resend_interval_s:
            continue
        engine.polled_at = at
        for slot in engine.slots.values():
            release_departed_holders(state, engine, slot, at)
        out.append(PollEndpoint(name))
