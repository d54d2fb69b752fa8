"""Chooses and drains the slots to evict, and tracks which engines can load now.

A slot is evicted in two steps: its grants are recalled while it drains, and a later load
replaces it once a report shows that no request uses it any more.
"""

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
from poplarhoist.decisions.membership import is_unreachable
from poplarhoist.decisions.messages import Recall

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State
    from poplarhoist.models import AdapterRef

MAX_SPARE_SLOTS = 6  # spare slots are kept free or draining, ready for future loads
SLOTS_PER_SPARE_SLOT = 8  # one spare slot per 8 slots, between 1 and MAX_SPARE_SLOTS
MAX_DRAINS_PER_ENGINE = 2
MIN_RESIDENCE_S = 0.5  # a slot is not drained sooner after its load; see also can_drain
MAX_VICTIMS_EXAMINED = 32


def eviction_cost(pool: EnginePool, slot: Slot) -> float:
    """Return the base-2 logarithm of the demand that evicting a slot loses.

    The demand for an adapter version is divided by its number of replicas. Minus infinity if
    there is no demand.
    """
    demand = pool.demand.get(slot.ref)
    if demand is None:
        return float("-inf")
    replicas = len(pool.engines_by_ref.get(slot.ref, ()))
    return demand.log_score() - math.log2(max(1, replicas))


def add_victim(pool: EnginePool, engine: EngineState, slot: Slot) -> None:
    """Add a resident slot and its replicas on other engines to the victim heap.

    The replicas are added too, since one more replica lowers the eviction cost of each.
    """
    key = eviction_cost(pool, slot)
    for name in sorted(pool.engines_by_ref.get(slot.ref, ())):
        push_victim(pool, key, name, slot.ref)


def push_victim(pool: EnginePool, key: float, name: str, ref: AdapterRef) -> None:
    """Push a slot to the victim heap unless it is there with the same or a lower key.

    A key that has grown since is corrected when the slot is popped.
    """
    pair = (name, ref)
    if pool.victim_keys.get(pair, float("inf")) > key:
        pool.victim_keys[pair] = key
        heapq.heappush(pool.victim_heap, (key, name, ref))


def is_ready_to_load(state: State, engine: EngineState, at: float) -> bool:
    """Return whether an engine accepts an order now, whatever its slots."""
    if not engine.in_service or not engine.synced or engine.order is not None:
        return False
    return at >= engine.retry_at


def update_readiness(state: State, pool: EnginePool, engine: EngineState, at: float) -> None:
    """Add an engine to, or remove it from, the sets of engines that can load now."""
    pool.engines_with_free_slot.pop(engine.name, None)
    pool.engines_with_evictable_slot.pop(engine.name, None)
    if not is_ready_to_load(state, engine, at):
        return
    if len(engine.slots) < engine.capacity:
        pool.engines_with_free_slot[engine.name] = None
    elif evictable_slot(pool, engine) is not None:
        pool.engines_with_evictable_slot[engine.name] = None


def evictable_slot(pool: EnginePool, engine: EngineState) -> Slot | None:
    """Return the evictable slot of an engine that costs least to evict; None if it has none."""
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
    """Drain the slots that cost least to evict until enough drain for pending loads.

    Slots that already drain, but not for a pending load, are taken first.

    Parameters
    ----------
    needed : int
        Number of slots that are to drain for pending loads.
    """
    missing = needed - count_slots_needed_for_loads(pool)
    pairs = [pair for pair in sorted(pool.draining_slots) if is_on_schedulable_engine(pool, pair)]
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
    """Return how many slots drain for pending loads."""
    pairs = (pair for pair in pool.draining_slots if is_on_schedulable_engine(pool, pair))
    return sum(slot_of(pool, pair).needed_for_load for pair in pairs)


def drain_idle_slots(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Drain some slots for which no entry holds a grant, so that the next load can start at once.

    Free slots and slots that drain already count towards the number that is kept ready.
    """
    draining = sum(1 for pair in pool.draining_slots if is_on_schedulable_engine(pool, pair))
    target_count = min(MAX_SPARE_SLOTS, max(1, pool.capacity // SLOTS_PER_SPARE_SLOT))
    missing = target_count - draining - len(pool.engines_with_free_slot)
    for _ in range(missing):
        found = find_victim(state, pool, at, idle_only=True)
        if found is None:
            return
        drain_slot(state, pool, *found, at, out)


def drain_for_replica(state: State, pool: EnginePool, ref, at: float, out: list[Effect]) -> None:
    """Drain the cheapest slot for one more replica of an adapter version.

    It is drained only if its own adapter version has less demand than each replica would have
    after adding one.
    Does nothing while any slot drains, or if the cheapest slot holds an adapter version that
    requests wait for.
    """
    if any(is_on_schedulable_engine(pool, pair) for pair in pool.draining_slots):
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
    """Mark a draining slot as needed for a pending load.

    Requests for the adapter version in the slot may then need a load themselves.
    """
    slot.needed_for_load = True
    update_pending_load(pool, slot.ref)


def is_on_schedulable_engine(pool: EnginePool, pair) -> bool:
    """Return whether a draining slot is on an engine that can be given loads.

    The engine must be in service, so not reserved, and synced.
    """
    engine = pool.engines[pair[0]]
    return engine.in_service and engine.synced


def slot_of(pool: EnginePool, pair) -> Slot:
    """Return the slot of an engine name and adapter version that are in ``draining_slots``."""
    name, ref = pair
    return pool.engines[name].slots[ref]


def find_victim(
    state: State,
    pool: EnginePool,
    at: float,
    idle_only: bool = False,
    excluded_ref: AdapterRef | None = None,
) -> tuple[EngineState, Slot] | None:
    """Return the resident slot that costs least to evict and can be drained now.

    The slot is taken out of the victim heap; one that is not drained must be added again. None
    if there is none among the first ``MAX_VICTIMS_EXAMINED``.

    Parameters
    ----------
    idle_only : bool
        Whether to consider only slots for which no entry holds a grant.
    excluded_ref : AdapterRef or None
        Engines that hold this adapter version are skipped.
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
    """Return whether requests for a resident adapter version come before every pending load.

    Its slot is then not drained for them. False if no load is pending.
    """
    demand = pool.demand.get(ref)
    first = pool.pending_loads.first()
    if demand is None or first is None or not demand.waiting_by_entry:
        return False
    return demand.load_queue_key() <= pool.pending_loads.keys_by_ref[first]


def can_drain(state: State, engine: EngineState, slot: Slot, at: float) -> bool:
    """Return whether a slot can be drained now.

    A slot is not drained while an entry that holds a grant for it is silent, since that entry
    could not return the grant. On an engine in backoff, drains may start ``MIN_RESIDENCE_S`` before
    the backoff ends, so that a slot may be free when loads are allowed again.
    """
    if not engine.in_service or not engine.synced or slot.ref in engine.suspended_refs:
        return False
    if at - slot.loaded_at < MIN_RESIDENCE_S or at < engine.retry_at - MIN_RESIDENCE_S:
        return False
    if any(is_unreachable(state, name, at) for name in slot.holders):
        return False
    draining = sum(1 for other in engine.slots.values() if other.state is SlotState.DRAINING)
    return draining < MAX_DRAINS_PER_ENGINE


def drain_slot(state: State, pool: EnginePool, engine: EngineState, slot: Slot, at, out) -> None:
    """Begin to drain a slot: recall its grants, or poll its engine if no entry holds one."""
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
    """Reuse a slot that still holds an adapter version but drains for pending loads.

    Returns whether such a slot was found and granted to the entries where requests wait, so that
    no load is needed.
    """
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
    """Make a draining slot resident again.

    Recalls may already have been sent to its holders, so ``granted_at`` is reset to let grants be
    sent again without waiting for ``REGRANT_INTERVAL_S``.
    """
    slot.state = SlotState.RESIDENT
    slot.granted_at = float("-inf")
    slot.state_changed_at = at
    slot.grants_released_at = None
    slot.evictable = False
    slot.needed_for_load = False
    pool.draining_slots.discard((engine.name, slot.ref))
    add_victim(pool, engine, slot)


def recall_grants(pool: EnginePool, engine: EngineState, slot: Slot, at: float, out) -> None:
    """Ask every holder of a slot to return its grant."""
    slot.last_drain_action_at = at
    for holder, number in sorted(slot.holders.items()):
        message = Recall(pool.base, pool.epoch, slot.ref, engine.name, number)
        out.append(SendMessage(holder, message))
