"""Which adapter versions leave engines to make room, and which engines may load now."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from poplarhoist.decisions import lead_grants
from poplarhoist.decisions.effects import PollEndpoint, SendMessage
from poplarhoist.decisions.engine_pool import (
    EnginePool,
    EngineState,
    Slot,
    SlotState,
    has_no_holders,
    is_usable,
    update_pending_load,
)
from poplarhoist.decisions.membership import is_silent
from poplarhoist.decisions.messages import Recall

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State
    from poplarhoist.models import AdapterRef

MAX_IDLE_DRAINS = 6
SLOTS_PER_IDLE_DRAIN = 8
MAX_DRAINS_PER_ENGINE = 2
MIN_RESIDENCE_S = 0.5
MAX_VICTIMS_EXAMINED = 32


def eviction_cost(pool: EnginePool, slot: Slot) -> float:
    """Return how much is lost by evicting a slot, as a logarithm; replicas share their demand."""
    demand = pool.demand.get(slot.ref)
    if demand is None:
        return float("-inf")
    replicas = len(pool.engines_by_ref.get(slot.ref, ()))
    return demand.log_score() - math.log2(max(1, replicas))


def add_victim(pool: EnginePool, engine: EngineState, slot: Slot) -> None:
    """Let a resident slot be found when room is needed."""
    key = eviction_cost(pool, slot)
    for name in sorted(pool.engines_by_ref.get(slot.ref, ())):
        push_victim(pool, key, name, slot.ref)


def push_victim(pool: EnginePool, key: float, name: str, ref: AdapterRef) -> None:
    """Put a slot into the heap, once; a key that has grown is corrected when it comes up."""
    pair = (name, ref)
    if pool.victim_keys.get(pair, float("inf")) > key:
        pool.victim_keys[pair] = key
        heapq.heappush(pool.victim_heap, (key, name, ref))


def is_ready_to_load(state: State, engine: EngineState, at: float) -> bool:
    """Return whether an engine may be ordered to load now."""
    if not engine.in_service or not engine.synced or engine.order is not None:
        return False
    return at >= engine.retry_at


def update_readiness(state: State, pool: EnginePool, engine: EngineState, at: float) -> None:
    """Bring the lists of engines that may load in line with an engine."""
    pool.engines_with_free_slot.pop(engine.name, None)
    pool.engines_with_evictable_slot.pop(engine.name, None)
    if not is_ready_to_load(state, engine, at):
        return
    if len(engine.slots) < engine.capacity:
        pool.engines_with_free_slot[engine.name] = None
    elif evictable_slot(pool, engine) is not None:
        pool.engines_with_evictable_slot[engine.name] = None


def evictable_slot(pool: EnginePool, engine: EngineState) -> Slot | None:
    """Return the slot of an engine that can be replaced at once and is missed least."""
    found = [
        slot
        for slot in engine.slots.values()
        if slot.state is SlotState.DRAINING
        and slot.evictable
        and slot.ref not in engine.suspended_refs
    ]
    return min(found, key=lambda slot: eviction_cost(pool, slot), default=None)


def drain_for_pending_loads(
    state: State, pool: EnginePool, needed: int, at: float, out: list[Effect]
) -> None:
    """Drain the slots that are missed least until enough are draining.

    Parameters
    ----------
    needed : int
        Slots for loads that requests wait for; some more are drained ahead of need.
    """
    missing = needed - count_slots_needed_for_loads(pool)
    pairs = [pair for pair in sorted(pool.draining_slots) if makes_room_for_loads(pool, pair)]
    slots = [slot_of(pool, pair) for pair in pairs]
    free = (
        slot
        for slot in slots
        if not slot.needed_for_load and not outranks_pending_loads(pool, slot.ref)
    )
    reusable = sorted(free, key=lambda s: eviction_cost(pool, s))
    for slot in reusable[: max(0, missing)]:
        mark_needed_for_load(pool, slot)
        missing -= 1
    while missing > 0:
        found = find_victim(state, pool, at)
        if found is None:
            return
        engine, slot = found
        drain_slot(state, pool, engine, slot, at, out)
        mark_needed_for_load(pool, slot)
        missing -= 1


def count_slots_needed_for_loads(pool: EnginePool) -> int:
    """Return how many slots drain for loads that requests wait for."""
    pairs = (pair for pair in pool.draining_slots if makes_room_for_loads(pool, pair))
    return sum(slot_of(pool, pair).needed_for_load for pair in pairs)


def drain_idle_slots(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Drain some slots that nobody holds, so that the next load finds one at once."""
    draining = sum(1 for pair in pool.draining_slots if makes_room_for_loads(pool, pair))
    wanted = min(MAX_IDLE_DRAINS, max(1, pool.capacity // SLOTS_PER_IDLE_DRAIN))
    missing = wanted - draining - len(pool.engines_with_free_slot)
    for _ in range(missing):
        found = find_victim(state, pool, at, idle_only=True)
        if found is None:
            return
        drain_slot(state, pool, *found, at, out)


def drain_for_replica(state: State, pool: EnginePool, ref, at: float, out: list[Effect]) -> None:
    """Drain a slot for a further replica if it is worth less than the replica would be."""
    if any(makes_room_for_loads(pool, pair) for pair in pool.draining_slots):
        return
    found = find_victim(state, pool, at, excluded_ref=ref)
    if found is None:
        return
    engine, slot = found
    replicas = len(pool.engines_by_ref.get(ref, ()))
    demand = pool.demand.get(slot.ref)
    in_demand = demand is not None and demand.waiting > 0
    useless = ref in engine.slots or in_demand
    if not useless and pool.score(slot.ref, at) < pool.score(ref, at) / (replicas + 1):
        drain_slot(state, pool, engine, slot, at, out)
    else:
        add_victim(pool, engine, slot)


def mark_needed_for_load(pool: EnginePool, slot: Slot) -> None:
    """Keep a draining slot for a load that requests wait for."""
    slot.needed_for_load = True
    update_pending_load(pool, slot.ref)


def makes_room_for_loads(pool: EnginePool, pair) -> bool:
    """Return whether a draining slot makes room for ordinary loads."""
    engine = pool.engines[pair[0]]
    return engine.in_service and engine.synced


def slot_of(pool: EnginePool, pair) -> Slot:
    """Return the slot of a draining pair."""
    name, ref = pair
    return pool.engines[name].slots[ref]


def find_victim(
    state: State,
    pool: EnginePool,
    at: float,
    idle_only: bool = False,
    excluded_ref: AdapterRef | None = None,
) -> tuple[EngineState, Slot] | None:
    """Return the resident slot that is missed least, on an engine that can drain one.

    Parameters
    ----------
    idle : bool
        Whether only slots that nobody holds will do.
    spare : AdapterRef or None
        Engines that hold this adapter version are passed over.
    """
    put_back = []
    found = None
    while pool.victim_heap and found is None and len(put_back) < MAX_VICTIMS_EXAMINED:
        key, name, ref = heapq.heappop(pool.victim_heap)
        if pool.victim_keys.get((name, ref)) != key:
            continue
        del pool.victim_keys[(name, ref)]
        engine = pool.engines.get(name)
        slot = engine.slots.get(ref) if engine else None
        if slot is None or slot.state is not SlotState.RESIDENT:
            continue
        current = eviction_cost(pool, slot)
        if current > key:
            push_victim(pool, current, name, ref)
        elif (
            outranks_pending_loads(pool, ref)
            or excluded_ref in engine.slots
            or (idle_only and not has_no_holders(pool, slot))
        ):
            put_back.append((current, name, ref))
        elif can_drain(state, engine, slot, at):
            found = (engine, slot)
        else:
            put_back.append((current, name, ref))
    for current, name, ref in put_back:
        push_victim(pool, current, name, ref)
    return found


def outranks_pending_loads(pool: EnginePool, ref: AdapterRef) -> bool:
    """Return whether requests wait for a resident adapter since before any wanted load's."""
    demand = pool.demand.get(ref)
    first = pool.pending_loads.first()
    if demand is None or first is None or not demand.waiting_by_entry:
        return False
    return demand.load_queue_key() <= pool.pending_loads.keys_by_ref[first]


def can_drain(state: State, engine: EngineState, slot: Slot, at: float) -> bool:
    """Return whether a slot may be drained now."""
    if not engine.in_service or not engine.synced or slot.ref in engine.suspended_refs:
        return False
    if at - slot.loaded_at < MIN_RESIDENCE_S or at < engine.retry_at - MIN_RESIDENCE_S:
        return False
    if any(is_silent(state, name, at) for name in slot.holders):
        return False
    draining = sum(1 for other in engine.slots.values() if other.state is SlotState.DRAINING)
    return draining < MAX_DRAINS_PER_ENGINE


def drain_slot(state: State, pool: EnginePool, engine: EngineState, slot: Slot, at, out) -> None:
    """Recall all grants of a slot, so that it can be evicted."""
    slot.state = SlotState.DRAINING
    slot.state_changed_at = at
    slot.grants_released_at = None
    slot.evictable = False
    slot.needed_for_load = False
    pool.draining_slots.add((engine.name, slot.ref))
    if has_no_holders(pool, slot):
        slot.grants_released_at = at
        out.append(PollEndpoint(engine.name))
    else:
        recall_grants(pool, engine, slot, at, out)


def reuse_draining_slot(state: State, pool: EnginePool, ref, at: float, out: list[Effect]) -> bool:
    """Use a draining slot of a wanted adapter version again instead of loading it elsewhere."""
    for name in sorted(pool.engines_by_ref.get(ref, ())):
        engine = pool.engines[name]
        slot = engine.slots[ref]
        if slot.state is not SlotState.DRAINING or not slot.needed_for_load:
            continue
        slot.needed_for_load = False
        if engine.synced and is_usable(engine, slot):
            lead_grants.grant_to_waiting(state, pool, engine, slot, at, out)
            return True
    return False


def cancel_drain(pool: EnginePool, engine: EngineState, slot: Slot, at: float) -> None:
    """Use a draining slot again; its recalled holders need new grants."""
    slot.state = SlotState.RESIDENT
    slot.granted_at = float("-inf")
    slot.state_changed_at = at
    slot.grants_released_at = None
    slot.evictable = False
    slot.needed_for_load = False
    pool.draining_slots.discard((engine.name, slot.ref))
    add_victim(pool, engine, slot)


def recall_grants(pool: EnginePool, engine: EngineState, slot: Slot, at: float, out) -> None:
    """Ask every holder of a slot to hand its grant back."""
    slot.recalled_at = at
    for holder, number in sorted(slot.holders.items()):
        message = Recall(pool.base, pool.epoch, slot.ref, engine.name, number)
        out.append(SendMessage(holder, message))
