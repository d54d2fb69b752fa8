"""Scheduling by the lead of a base model: starts loads and drains, and handles reports.

Every event ends in ``start_loads``. It starts pending loads while the weight store's budget and
the engines allow, drains slots for those that find none, and uses what budget is left for
background loads.
"""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from poplarhoist.decisions import (
    background_loads,
    budget,
    demand,
    evictions,
    intents,
    lead_grants,
    orders,
    reservations,
    residency,
)
from poplarhoist.decisions.engine_pool import (
    EnginePool,
    EngineState,
    Slot,
    current_pool,
    update_pending_load,
)
from poplarhoist.decisions.events import OrderAnswered
from poplarhoist.decisions.messages import Demand, HeldGrants, Returned
from poplarhoist.models import AdapterRef, EndpointReport

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

MAX_CANDIDATES = 16  # engines compared for one load
PENDING_LOOKAHEAD = 8  # pending loads tried until one finds an engine
SLOTS_PER_DRAIN = 4  # one in this many slots may drain for pending loads, but at least one
REGION_MISMATCH_COST = 0.5  # in the unit of EngineState.utilization
BACKGROUND_GAIN_FACTOR = 0.5  # a background load must be worth twice what it replaces
FULL_UTILIZATION = 0.75
BACKGROUND_MIN_GAIN = 1.0  # lower bound of the demand score assumed for a background load


def take_over(state: State, base: str, epoch: int, at: float, out: list[Effect]) -> None:
    """Begin to lead a base model under a new epoch.

    Nothing is granted or loaded on an engine before it is fenced and its residency is known.
    The load budget is also refilled for the time in which no entry led.
    """
    pool = EnginePool(base, epoch, at)
    pool.budget.refilled_at = min(at, state.leadership.leases_by_base[base].no_lead_since)
    state.boards[base] = pool
    for name in sorted(state.members.engines_by_base.get(base, ())):
        residency.add_or_update_engine(state, pool, name, at)
    for name in (state.me.name, *state.members.peers):
        residency.begin_gather(state, pool, name, at)
    advance(state, pool, at, out)


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Apply changes of the member list, then advance every base model that this entry leads."""
    for name in sorted(state.members.changed_endpoints):
        on_endpoint(state, name, at)
    state.members.changed_endpoints.clear()
    for pool in state.boards.values():
        for name in sorted(state.members.joined_peers - pool.asked_entries):
            residency.begin_gather(state, pool, name, at)
        advance(state, pool, at, out)
    state.members.joined_peers.clear()


def on_endpoint(state: State, name: str, at: float) -> None:
    """Update, add or remove an engine after its endpoint was listed, unlisted or changed."""
    view = state.members.endpoints.get(name)
    for pool in state.boards.values():
        if view is None:
            residency.remove_engine(pool, name, at)
        elif name in state.members.engines_by_base.get(pool.base, ()):
            residency.add_or_update_engine(state, pool, name, at)


def advance(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Do everything that is due for one base model, including retries of unanswered messages."""
    residency.gather_grants(state, pool, at, out)
    intents.advance(state, pool, at, out)
    intents.poll_suspended_engines(state, pool, at, out)
    for name in sorted(pool.unfenced_engines):
        orders.send_fence(state, pool, pool.engines[name], at, out)
    lead_grants.retry_recalls(state, pool, at, out)
    reservations.poll_reserved_engines(state, pool, at, out)
    orders.poll_unanswered_orders(state, pool, at, out)
    demand.drop_silent_entries(state, pool, at)
    background_loads.on_config(state, pool)
    retry_due(state, pool, at)
    start_loads(state, pool, at, out)


def retry_due(state: State, pool: EnginePool, at: float) -> None:
    """Make engines and adapter versions whose backoff has ended available for loads again."""
    while pool.engine_retries and pool.engine_retries[0][0] <= at:
        _, name = heapq.heappop(pool.engine_retries)
        if name in pool.engines:
            evictions.update_readiness(state, pool, pool.engines[name], at)
    while pool.load_retries and pool.load_retries[0][0] <= at:
        _, ref = heapq.heappop(pool.load_retries)
        update_pending_load(pool, ref)


def on_held_grants(state: State, sender: str, message: HeldGrants, at: float, out) -> None:
    """Record the grants that an entry holds; the answer to ``GatherGrants``."""
    pool = current_pool(state, message.base, message.epoch)
    if pool is not None:
        residency.record_held_grants(state, pool, sender, message, at)
        start_loads(state, pool, at, out)


def on_demand(state: State, sender: str, message: Demand, at: float, out: list[Effect]) -> None:
    """Record an entry's demand, grant what is resident and queue loads for the rest.

    The entry is told when each adapter version that its requests wait for should be resident.
    """
    pool = state.boards.get(message.base)
    if pool is None:
        return
    for item in message.items:
        demand.update_demand(pool, sender, item, at)
        demand.grant_or_request_load(state, pool, sender, item.ref, at, out)
        background_loads.update_replica_load(pool, item.ref, at)
    start_loads(state, pool, at, out)
    for item in message.items:
        if item.waiting:
            demand.send_expected(state, pool, sender, item.ref, at, out)


def on_returned(state: State, sender: str, message: Returned, at: float, out) -> None:
    """Record that an entry returned a grant."""
    lead_grants.on_returned(state, sender, message, at, out)


def on_report(
    state: State,
    report: EndpointReport,
    sampled_at: float,
    at: float,
    out: list[Effect],
    polled: bool = True,
) -> None:
    """Update an engine's utilization and slots by its report.

    Parameters
    ----------
    sampled_at : float
        Estimated time at which the engine took the report; see ``EndpointView.sampled_at``.
    polled : bool
        Whether this entry polled the report itself. Only then is ``sampled_at`` a lower bound, so
        a report that a peer relayed changes no slots; it can only cause a poll.
    """
    for pool in state.boards.values():
        engine = pool.engines.get(report.endpoint)
        if engine is None:
            continue
        view = state.members.endpoints[engine.name]
        engine.utilization = (report.running + report.waiting) / max(1, view.endpoint.batch)
        if polled:
            residency.reconcile(state, pool, engine, report, sampled_at, at, out)
            start_loads(state, pool, at, out)
        else:
            residency.check_relayed_report(state, pool, engine, report, out)


def on_order_answered(state: State, event: OrderAnswered, out: list[Effect]) -> None:
    """Record the end of an order's call, and finish the order unless its epoch is over."""
    intents.record_call_end(state, event)
    for pool in state.boards.values():
        order = pool.orders.get(event.order_id)
        if order is not None:
            orders.finish_order(state, pool, order, event, out)
            start_loads(state, pool, event.at, out)
            return


def start_loads(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Start as many loads as the store and the engines allow, pending ones first.

    Slots are drained for pending loads that found no engine. Only when none is pending, slots
    that were drained for them are reused, background loads start and idle slots are drained.
    """
    budget.refill(state, pool, at)
    blocked = False
    while pool.pending_loads and budget.may_load(state, pool, at):
        if not process_next_pending_load(state, pool, at, out):
            blocked = True
            break
        pool.blocked_since = None
    update_blocked_since(pool, blocked, at)
    if pool.pending_loads:
        evictions.drain_for_pending_loads(state, pool, slots_needed(state, pool, at), at, out)
        return
    reuse_unneeded_slots(state, pool, at, out)
    start_background_loads(state, pool, at, out)
    evictions.drain_idle_slots(state, pool, at, out)


def process_next_pending_load(state: State, pool: EnginePool, at: float, out: list[Effect]) -> bool:
    """Process one of the first pending loads; return whether it left the queue.

    Usually the load is started. It leaves the queue without being started if its adapter version
    is in backoff, or if a slot that drains for pending loads still holds the adapter version and
    can be used again. If n slots drain for pending loads, only the first n pending loads may reuse
    one, so that a later load does not take a slot from an earlier one.
    """
    needed_count = evictions.count_slots_needed_for_loads(pool)
    for rank, ref in enumerate(list(itertools.islice(pool.pending_loads, PENDING_LOOKAHEAD))):
        if pool.demand[ref].retry_at > at:
            pool.pending_loads.discard(ref)
            heapq.heappush(pool.load_retries, (pool.demand[ref].retry_at, ref))
            return True
        if rank < needed_count and evictions.reuse_draining_slot(state, pool, ref, at, out):
            return True
        target = choose_engine(state, pool, ref, at)
        if target is not None:
            orders.send_load(state, pool, target[0], ref, target[1], at, out)
            return True
    return False


def slots_needed(state: State, pool: EnginePool, at: float) -> int:
    """Return how many slots must be drained for pending loads; negative if too many are free."""
    limit = budget.in_flight_limit(state, pool, at)
    share = max(1, pool.capacity // SLOTS_PER_DRAIN)
    return min(len(pool.pending_loads), limit, share) - len(pool.engines_with_free_slot)


def update_blocked_since(pool: EnginePool, blocked: bool, at: float) -> None:
    """Set or clear the time since which no engine can take any of the first pending loads."""
    if not blocked:
        pool.blocked_since = None
    elif pool.blocked_since is None:
        pool.blocked_since = at


def reuse_unneeded_slots(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Make slots usable again that were drained for loads that no longer are pending."""
    for pair in sorted(pool.draining_slots):
        slot = evictions.slot_of(pool, pair)
        if slot.needed_for_load and evictions.is_on_schedulable_engine(pool, pair):
            slot.needed_for_load = False
            lead_grants.grant_to_waiting(state, pool, pool.engines[pair[0]], slot, at, out)


def choose_engine(
    state: State, pool: EnginePool, ref: AdapterRef, at: float
) -> tuple[EngineState, Slot | None] | None:
    """Return the engine to load an adapter version on, and the slot to replace.

    The slot is None if the engine has a free one, which is preferred over replacing. The result
    is None if none of the first ``MAX_CANDIDATES`` engines can load it now.
    """
    region = demand_region(state, pool, ref)
    for ready in (pool.engines_with_free_slot, pool.engines_with_evictable_slot):
        names = list(itertools.islice(ready, MAX_CANDIDATES))
        engines = [pool.engines[name] for name in names if can_load(state, pool, name, ref, at)]
        engines.sort(
            key=lambda e: placement_cost(state, e) + REGION_MISMATCH_COST * (e.region != region)
        )
        for engine in engines:
            if len(engine.slots) < engine.capacity:
                return engine, None
            victim = evictions.evictable_slot(pool, engine)
            if victim is not None:
                return engine, victim
    return None


def placement_cost(state: State, engine: EngineState) -> float:
    """Return the cost of placing a load on an engine; lower is better.

    The least utilized engine is preferred, or the most utilized one below ``FULL_UTILIZATION``
    if the preset weighs full batches more than stalls.
    """
    if engine.utilization >= FULL_UTILIZATION:
        return 1.0 + engine.utilization
    preset = state.config.preset
    if preset.batch_weight > preset.stall_weight:
        return -engine.utilization
    return engine.utilization


def can_load(state: State, pool: EnginePool, name: str, ref: AdapterRef, at: float) -> bool:
    """Return whether an engine can be ordered to load an adapter version now."""
    engine = pool.engines[name]
    if ref in engine.slots or ref in engine.suspended_refs:
        return False
    return evictions.is_ready_to_load(state, engine, at)


def demand_region(state: State, pool: EnginePool, ref: AdapterRef) -> str:
    """Return the region of the entry where most requests wait; this entry's if none wait."""
    view = pool.demand.get(ref)
    if view is None or not view.waiting_by_entry:
        return state.me.place.region
    entry = max(sorted(view.waiting_by_entry), key=view.waiting_by_entry.__getitem__)
    peer = state.members.peers.get(entry)
    return peer.instance.place.region if peer else state.me.place.region


def start_background_loads(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Start background loads with the budget that pending loads leave.

    Recoveries and warm-ups also need the prefetch budget, ``LoadBudget.prefetch_tokens``; replicas
    do not, as requests wait for them.
    Recoveries whose demand has decayed meanwhile are dropped.
    """
    while (
        pool.background_loads and budget.may_load(state, pool, at) and not pool.budget.is_store_down
    ):
        ref = pool.background_loads.first()
        rank = pool.background_loads.keys_by_ref[ref][0]
        if (
            rank == background_loads.RECOVERY_RANK
            and pool.score(ref, at) < background_loads.RECOVERY_MIN_SCORE
        ):
            pool.background_loads.discard(ref)
            continue
        if rank != background_loads.REPLICA_RANK and pool.budget.prefetch_tokens < 1.0:
            return
        target = choose_engine(state, pool, ref, at)
        if target is None:
            if rank == background_loads.REPLICA_RANK:
                evictions.drain_for_replica(state, pool, ref, at, out)
            return
        engine, victim = target
        if victim is not None and not is_worth_replacing(pool, ref, victim, at):
            return
        spare = rank != background_loads.REPLICA_RANK
        orders.send_load(state, pool, engine, ref, victim, at, out, uses_prefetch_budget=spare)


def is_worth_replacing(pool: EnginePool, ref: AdapterRef, victim: Slot, at: float) -> bool:
    """Return whether a background load is worth clearly more than the slot that it replaces."""
    gain = max(BACKGROUND_MIN_GAIN, pool.score(ref, at))
    return pool.score(victim.ref, at) < gain * BACKGROUND_GAIN_FACTOR
