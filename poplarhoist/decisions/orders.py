"""Orders of the lead to engines: fences and loads, their outcomes and the backoff after failures.

The outcome of an order whose answer is lost is read from a report that the engine samples after
the latest time at which it may apply the order.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from poplarhoist.decisions import budget, intents
from poplarhoist.decisions.effects import Count, OrderKind, PollEndpoint
from poplarhoist.decisions.engine_pool import (
    DemandView,
    EnginePool,
    EngineState,
    Order,
    Slot,
    SlotState,
    add_slot,
    drop_slot,
)
from poplarhoist.decisions.events import OrderAnswered, OrderOutcome
from poplarhoist.decisions.evictions import add_victim, update_readiness
from poplarhoist.decisions.lead_grants import grant_to_waiting
from poplarhoist.models import AdapterRef

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

LOAD_BACKOFF_S = 1.0
LOAD_BACKOFF_MAX_S = 30.0
ENGINE_FAILURE_THRESHOLD = 3  # failures in a row before an engine backs off
ADAPTER_FAILURE_THRESHOLD = 2  # failures in a row before an adapter version backs off


def send_fence(state: State, pool: EnginePool, engine: EngineState, at: float, out) -> None:
    """Fence an engine: tell it the epoch, so that it refuses orders of earlier leads.

    An engine that does not check epochs counts as fenced once this lead has rewritten the stored
    intents.
    """
    if not engine.available or at - engine.fence_sent_at < state.limits.order_s:
        return
    if not intents.checks_fencing(state, engine):
        if pool.intents.first_written_at is not None:
            engine.fenced_at = at
            pool.unfenced_engines.discard(engine.name)
            out.append(PollEndpoint(engine.name))
        return
    engine.fence_sent_at = at
    order = make_order(pool, engine, OrderKind.FENCE, None, None, at)
    intents.send_order(state, pool, order, at, out)


def make_order(pool: EnginePool, engine: EngineState, kind, ref, replaces, at: float) -> Order:
    """Create an order and add it to the pool's open orders."""
    pool.order_count += 1
    order_id = f"{pool.base}/{pool.epoch}/{pool.order_count}"
    order = Order(order_id, engine.name, kind, ref, replaces, at)
    pool.orders[order_id] = order
    return order


def send_load(
    state: State,
    pool: EnginePool,
    engine: EngineState,
    ref: AdapterRef,
    victim: Slot | None,
    at: float,
    out: list[Effect],
    uses_prefetch_budget: bool = False,
) -> None:
    """Order a load and charge it to the budget.

    An engine that does not check epochs gets the order after its intent is stored.

    Parameters
    ----------
    victim : Slot or None
        Slot to replace; None to use a free slot.
    uses_prefetch_budget : bool
        Whether the load is charged to the prefetch budget too.
    """
    budget.spend(pool, uses_prefetch_budget)
    pool.pending_loads.discard(ref)
    pool.background_loads.discard(ref)
    replaces = None
    if victim is not None:
        victim.state = SlotState.REPLACING
        victim.state_changed_at = at
        replaces = victim.ref
        pool.draining_slots.discard((engine.name, victim.ref))
    add_slot(pool, engine, Slot(ref, SlotState.LOADING, at))
    order = make_order(pool, engine, OrderKind.LOAD, ref, replaces, at)
    engine.order = order
    update_readiness(state, pool, engine, at)
    if intents.checks_fencing(state, engine):
        intents.send_order(state, pool, order, at, out)
    else:
        intents.queue_order(state, pool, order, at, out)


def finish_order(state: State, pool: EnginePool, order: Order, event: OrderAnswered, out) -> None:
    """Apply the outcome of an order.

    An order with an unknown outcome stays open, and its engine is polled.
    """
    engine = pool.engines.get(order.endpoint)
    if order.kind is OrderKind.FENCE:
        pool.orders.pop(order.order_id)
        if engine is not None and event.outcome is OrderOutcome.DONE:
            engine.fenced_at = event.at
            pool.unfenced_engines.discard(engine.name)
            out.append(PollEndpoint(engine.name))
        return
    out.append(Count("load_ended", (event.outcome,)))
    order.call_ended = True
    if event.outcome is OrderOutcome.UNKNOWN:
        order.may_apply_until = event.at + state.limits.order_s
        out.append(PollEndpoint(order.endpoint))
        return
    worked = event.outcome is OrderOutcome.DONE
    store_failed = event.outcome is OrderOutcome.FAILED
    if worked:
        budget.record_success(pool, event.at - order.sent_at)
    close_load(state, pool, order, worked, store_failed, event.at, out)


def close_load(
    state, pool: EnginePool, order: Order, loaded: bool, store_failed: bool, at, out
) -> None:
    """Close a load order and update its engine's slots.

    Parameters
    ----------
    store_failed : bool
        Whether the load failed in a way that may be the weight store's fault.
    """
    pool.orders.pop(order.order_id, None)
    intents.close_intent(pool, order.order_id)
    engine = pool.engines.get(order.endpoint)
    if engine is None or engine.order is not order:
        return
    engine.order = None
    slot = engine.slots.get(order.ref)
    if order.replaces is not None:
        drop_slot(pool, engine, order.replaces)
    if loaded and slot is not None:
        slot.state = SlotState.RESIDENT
        slot.state_changed_at = slot.loaded_at = at
        engine.failures = 0
        pool.demand.setdefault(order.ref, DemandView(scored_at=at)).failures = 0
        add_victim(pool, engine, slot)
        grant_to_waiting(state, pool, engine, slot, at, out)
    else:
        back_off(state, pool, engine, order.ref, store_failed, at)
    update_readiness(state, pool, engine, at)


def back_off(
    state: State, pool: EnginePool, engine: EngineState, ref, store_failed: bool, at
) -> None:
    """Count a failed load against the store, the adapter version and the engine; set backoffs.

    The engine gets no load for ``load_s`` seconds, the expected duration of a load, and for longer
    after several failures in a row. While the store is down, failures count against neither the
    adapter version nor the engine.
    """
    if store_failed:
        budget.record_failure(pool, engine.name, str(ref), at)
    demand = pool.demand.setdefault(ref, DemandView(scored_at=at))
    if not pool.budget.is_store_down:
        demand.failures += 1
        engine.failures += 1
    if not pool.budget.is_store_down and demand.failures >= ADAPTER_FAILURE_THRESHOLD:
        demand.retry_at = at + backoff_s(demand.failures - ADAPTER_FAILURE_THRESHOLD + 1)
    engine.retry_at = at + state.limits.load_s
    if engine.failures >= ENGINE_FAILURE_THRESHOLD:
        engine.retry_at = at + backoff_s(engine.failures - ENGINE_FAILURE_THRESHOLD + 1)
    heapq.heappush(pool.engine_retries, (engine.retry_at, engine.name))
    drop_slot(pool, engine, ref)


def backoff_s(failures: int) -> float:
    """Return the exponential backoff in seconds; ``failures`` must be at least 1."""
    return min(LOAD_BACKOFF_MAX_S, LOAD_BACKOFF_S * 2.0 ** min(failures - 1, 10))


def poll_unanswered_orders(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Poll the engines of open orders that can no longer be applied, to learn their outcome.

    An engine is polled at most once per ``recall_again_s``. Fences, and orders to engines that are
    gone, are dropped instead.
    """
    for order in list(pool.orders.values()):
        if at <= order.may_apply_until:
            continue
        engine = pool.engines.get(order.endpoint)
        if engine is None or order.kind is OrderKind.FENCE:
            pool.orders.pop(order.order_id)
            intents.close_intent(pool, order.order_id)
        elif at - engine.polled_at >= state.limits.recall_resend_interval_s:
            engine.polled_at = at
            out.append(PollEndpoint(engine.name))


def resolve_order_by_report(
    state, pool: EnginePool, engine: EngineState, resident, sampled_at, at, out
):
    """Close an engine's open load order by a report of which adapter versions it holds.

    Only a report sampled after the latest time at which the order could still be applied counts.
    An order whose call has not ended and that was not applied is suspended: it may still be
    sent late.
    """
    order = engine.order
    if order is None or sampled_at <= order.may_apply_until:
        return
    loaded = order.ref in resident
    if not order.call_ended and not loaded:
        intents.suspend_order(state, pool, order, at)
    if order.replaces is not None and order.replaces in resident and not loaded:
        restore_victim(pool, engine, order, at)
    close_load(state, pool, order, loaded, False, at, out)


def restore_victim(pool: EnginePool, engine: EngineState, order: Order, at: float) -> None:
    """Make the slot that a failed load was to replace resident again."""
    slot = engine.slots.get(order.replaces)
    if slot is None:
        return
    slot.state = SlotState.RESIDENT
    slot.state_changed_at = at
    slot.needed_for_load = slot.evictable = False
    slot.grants_released_at = None
    order.replaces = None
    add_victim(pool, engine, slot)


def abandon_order(state: State, pool: EnginePool, engine: EngineState, at: float) -> None:
    """Suspend the open order of an engine that restarted; it may still reach the engine late."""
    order = engine.order
    if order is None:
        return
    engine.order = None
    pool.orders.pop(order.order_id, None)
    intents.suspend_order(state, pool, order, at)
