"""What the lead of a base model decides: loads, evictions and who may use what."""

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

MAX_CANDIDATES = 16
PENDING_LOOKAHEAD = 8
SLOTS_PER_DRAIN = 4
REGION_MISMATCH_COST = 0.5
BACKGROUND_GAIN_FACTOR = 0.5
FULL_UTILIZATION = 0.75
BACKGROUND_MIN_GAIN = 1.0


def take_over(state: State, base: str, epoch: int, at: float, out: list[Effect]) -> None:
    """Begin to lead a base model: gather grants and residency first."""
    pool = EnginePool(base, epoch, at)
    pool.budget.refilled_at = min(at, state.leadership.leases_by_base[base].no_lead_since)
    state.boards[base] = pool
    for name in sorted(state.members.engines_by_base.get(base, ())):
        residency.add_or_update_engine(state, pool, name, at)
    for name in (state.me.name, *state.members.peers):
        residency.begin_gather(state, pool, name, at)
    advance(state, pool, at, out)


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Do what is due on each board."""
    for name in sorted(state.members.changed_endpoints):
        on_endpoint(state, name, at)
    state.members.changed_endpoints.clear()
    for pool in state.boards.values():
        for name in sorted(state.members.joined_peers - pool.asked_entries):
            residency.begin_gather(state, pool, name, at)
        advance(state, pool, at, out)
    state.members.joined_peers.clear()


def on_endpoint(state: State, name: str, at: float) -> None:
    """Take a change of what is known of an endpoint."""
    view = state.members.endpoints.get(name)
    for pool in state.boards.values():
        if view is None:
            residency.remove_engine(pool, name, at)
        elif name in state.members.engines_by_base.get(pool.base, ()):
            residency.add_or_update_engine(state, pool, name, at)


def advance(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Gather, fence, settle lost orders and place loads."""
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
    """Look again at engines and loads of which the backoff has ended."""
    while pool.engine_retries and pool.engine_retries[0][0] <= at:
        _, name = heapq.heappop(pool.engine_retries)
        if name in pool.engines:
            evictions.update_readiness(state, pool, pool.engines[name], at)
    while pool.load_retries and pool.load_retries[0][0] <= at:
        _, ref = heapq.heappop(pool.load_retries)
        update_pending_load(pool, ref)


def on_held_grants(state: State, sender: str, message: HeldGrants, at: float, out) -> None:
    """Take an entry's account of the grants that it holds."""
    pool = current_pool(state, message.base, message.epoch)
    if pool is not None:
        residency.record_held_grants(state, pool, sender, message, at)
        start_loads(state, pool, at, out)


def on_demand(state: State, sender: str, message: Demand, at: float, out: list[Effect]) -> None:
    """Take an entry's demand; grant what is resident, estimate the rest."""
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
    """Note that an entry handed a grant back."""
    lead_grants.on_returned(state, sender, message, at, out)


def on_report(
    state: State,
    report: EndpointReport,
    sampled_at: float,
    at: float,
    out: list[Effect],
    polled: bool = True,
) -> None:
    """Bring the board in line with what an engine reports.

    Parameters
    ----------
    polled : bool
        Whether the report was read here: only then it is certain that it was sampled after
        ``sampled_at``.
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
    """Take the outcome of an order."""
    intents.record_call_end(state, event)
    for pool in state.boards.values():
        order = pool.orders.get(event.order_id)
        if order is not None:
            orders.finish_order(state, pool, order, event, out)
            start_loads(state, pool, event.at, out)
            return


def start_loads(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Start as many loads as the store and the engines allow, those waited for first."""
    budget.refill(state, pool, at)
    blocked = False
    while pool.pending_loads and budget.may_load(state, pool, at):
        if not start_next_load(state, pool, at, out):
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


def start_next_load(state: State, pool: EnginePool, at: float, out: list[Effect]) -> bool:
    """Start the first load that finds an engine; return whether anything was done."""
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
    """Return how many slots are to be drained for loads that requests wait for."""
    limit = budget.in_flight_limit(state, pool, at)
    share = max(1, pool.capacity // SLOTS_PER_DRAIN)
    return min(len(pool.pending_loads), limit, share) - len(pool.engines_with_free_slot)


def update_blocked_since(pool: EnginePool, blocked: bool, at: float) -> None:
    """Keep since when no engine can take the load that goes first."""
    if not blocked:
        pool.blocked_since = None
    elif pool.blocked_since is None:
        pool.blocked_since = at


def reuse_unneeded_slots(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Use slots again that were to make room for loads which nobody waits for any more."""
    for pair in sorted(pool.draining_slots):
        slot = evictions.slot_of(pool, pair)
        if slot.needed_for_load and evictions.makes_room_for_loads(pool, pair):
            slot.needed_for_load = False
            lead_grants.grant_to_waiting(state, pool, pool.engines[pair[0]], slot, at, out)


def choose_engine(
    state: State, pool: EnginePool, ref: AdapterRef, at: float
) -> tuple[EngineState, Slot | None] | None:
    """Return the engine to load an adapter version on, and the slot to replace."""
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
    """Return what counts against an engine: its load, or the lack of it if batches weigh more."""
    if engine.utilization >= FULL_UTILIZATION:
        return 1.0 + engine.utilization
    preset = state.config.preset
    if preset.batch_weight > preset.stall_weight:
        return -engine.utilization
    return engine.utilization


def can_load(state: State, pool: EnginePool, name: str, ref: AdapterRef, at: float) -> bool:
    """Return whether an engine may load an adapter version now."""
    engine = pool.engines[name]
    if ref in engine.slots or ref in engine.suspended_refs:
        return False
    return evictions.is_ready_to_load(state, engine, at)


def demand_region(state: State, pool: EnginePool, ref: AdapterRef) -> str:
    """Return the region where most requests wait for an adapter version."""
    view = pool.demand.get(ref)
    if view is None or not view.waiting_by_entry:
        return state.me.place.region
    entry = max(sorted(view.waiting_by_entry), key=view.waiting_by_entry.__getitem__)
    peer = state.members.peers.get(entry)
    return peer.instance.place.region if peer else state.me.place.region


def start_background_loads(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Start loads that nobody waits for, with the budget that others leave."""
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
        orders.send_load(state, pool, engine, ref, victim, at, out, uses_spare_budget=spare)


def is_worth_replacing(pool: EnginePool, ref: AdapterRef, victim: Slot, at: float) -> bool:
    """Return whether a load that nobody waits for is worth more than what it replaces."""
    gain = max(BACKGROUND_MIN_GAIN, pool.score(ref, at))
    return pool.score(victim.ref, at) < gain * BACKGROUND_GAIN_FACTOR
