"""Orders of the lead to engines, and how each of them ended."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from poplarhoist.decisions import budget, intents
from poplarhoist.decisions.board import (
    DemandView,
    EnginePool,
    EngineState,
    Order,
    Slot,
    SlotState,
    add_slot,
    drop_slot,
)
from poplarhoist.decisions.effects import Count, OrderKind, PollEndpoint
from poplarhoist.decisions.events import OrderAnswered, OrderOutcome
from poplarhoist.decisions.evictions import add_victim, update_readiness
from poplarhoist.decisions.lead_grants import grant_to_waiting
from poplarhoist.models import AdapterRef

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

LOAD_BACKOFF_S = 1.0
LOAD_BACKOFF_MAX_S = 30.0
ENGINE_FAILURE_THRESHOLD = 3
ADAPTER_FAILURE_THRESHOLD = 2


def send_fence(state: State, board: EnginePool, engine: EngineState, at: float, out) -> None:
    """Tell an engine the epoch, so that it refuses orders of earlier leads."""
    if not engine.available or at - engine.fence_sent_at < state.limits.order_s:
        return
    if not intents.checks_fencing(state, engine):
        if board.intents.first_written_at is not None:
            engine.fenced_at = at
            board.unfenced_engines.discard(engine.name)
            out.append(PollEndpoint(engine.name))
        return
    engine.fence_sent_at = at
    order = make_order(board, engine, OrderKind.FENCE, None, None, at)
    intents.send_order(state, board, order, at, out)


def make_order(board: EnginePool, engine: EngineState, kind, ref, replaces, at: float) -> Order:
    """Return an order that is remembered until its outcome is known."""
    board.order_count += 1
    order_id = f"{board.base}/{board.epoch}/{board.order_count}"
    order = Order(order_id, engine.name, kind, ref, replaces, at)
    board.orders[order_id] = order
    return order


def send_load(
    state: State,
    board: EnginePool,
    engine: EngineState,
    ref: AdapterRef,
    victim: Slot | None,
    at: float,
    out: list[Effect],
    uses_spare_budget: bool = False,
) -> None:
    """Order a load, in place of a victim if one is given."""
    budget.spend(board, uses_spare_budget)
    board.pending_loads.discard(ref)
    board.background_loads.discard(ref)
    replaces = None
    if victim is not None:
        victim.state = SlotState.REPLACING
        victim.state_changed_at = at
        replaces = victim.ref
        board.draining_slots.discard((engine.name, victim.ref))
    add_slot(board, engine, Slot(ref, SlotState.LOADING, at))
    order = make_order(board, engine, OrderKind.LOAD, ref, replaces, at)
    engine.order = order
    update_readiness(state, board, engine, at)
    if intents.checks_fencing(state, engine):
        intents.send_order(state, board, order, at, out)
    else:
        intents.queue_order(state, board, order, at, out)


def finish_order(state: State, board: EnginePool, order: Order, event: OrderAnswered, out) -> None:
    """Bring the board in line with the outcome of an order."""
    engine = board.engines.get(order.endpoint)
    if order.kind is OrderKind.FENCE:
        board.orders.pop(order.order_id)
        if engine is not None and event.outcome is OrderOutcome.DONE:
            engine.fenced_at = event.at
            board.unfenced_engines.discard(engine.name)
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
        budget.note_loaded(board, event.at - order.sent_at)
    close_load(state, board, order, worked, store_failed, event.at, out)


def close_load(
    state, board: EnginePool, order: Order, loaded: bool, store_failed: bool, at, out
) -> None:
    """End a load that succeeded or failed."""
    board.orders.pop(order.order_id, None)
    intents.close_intent(board, order.order_id)
    engine = board.engines.get(order.endpoint)
    if engine is None or engine.order is not order:
        return
    engine.order = None
    slot = engine.slots.get(order.ref)
    if order.replaces is not None:
        drop_slot(board, engine, order.replaces)
    if loaded and slot is not None:
        slot.state = SlotState.RESIDENT
        slot.state_changed_at = slot.loaded_at = at
        engine.failures = 0
        board.demand.setdefault(order.ref, DemandView(scored_at=at)).failures = 0
        add_victim(board, engine, slot)
        grant_to_waiting(state, board, engine, slot, at, out)
    else:
        back_off(state, board, engine, order.ref, store_failed, at)
    update_readiness(state, board, engine, at)


def back_off(
    state: State, board: EnginePool, engine: EngineState, ref, store_failed: bool, at
) -> None:
    """Wait before the next try: for the adapter, the engine or the store, as it seems."""
    if store_failed:
        budget.note_failed(board, engine.name, str(ref), at)
    demand = board.demand.setdefault(ref, DemandView(scored_at=at))
    if not board.budget.store_down:
        demand.failures += 1
        engine.failures += 1
    if not board.budget.store_down and demand.failures >= ADAPTER_FAILURE_THRESHOLD:
        demand.retry_at = at + backoff_s(demand.failures - ADAPTER_FAILURE_THRESHOLD + 1)
    engine.retry_at = at + state.limits.load_s
    if engine.failures >= ENGINE_FAILURE_THRESHOLD:
        engine.retry_at = at + backoff_s(engine.failures - ENGINE_FAILURE_THRESHOLD + 1)
    heapq.heappush(board.engine_retries, (engine.retry_at, engine.name))
    drop_slot(board, engine, ref)


def backoff_s(failures: int) -> float:
    """Return the wait after some failures in a row."""
    return min(LOAD_BACKOFF_MAX_S, LOAD_BACKOFF_S * 2.0 ** min(failures - 1, 10))


def poll_unanswered_orders(state: State, board: EnginePool, at: float, out: list[Effect]) -> None:
    """Settle orders without an answer by a report that was sampled after their longest time."""
    for order in list(board.orders.values()):
        if at <= order.may_apply_until:
            continue
        engine = board.engines.get(order.endpoint)
        if engine is None or order.kind is OrderKind.FENCE:
            board.orders.pop(order.order_id)
            intents.close_intent(board, order.order_id)
        elif at - engine.polled_at >= state.limits.recall_again_s:
            engine.polled_at = at
            out.append(PollEndpoint(engine.name))


def resolve_order_by_report(
    state, board: EnginePool, engine: EngineState, resident, sampled_at, at, out
):
    """End an order without an answer by a report of which the residency is certain."""
    order = engine.order
    if order is None or sampled_at <= order.may_apply_until:
        return
    loaded = order.ref in resident
    if not order.call_ended and not loaded:
        intents.suspend_order(state, board, order, at)
    if order.replaces is not None and order.replaces in resident and not loaded:
        restore_victim(board, engine, order, at)
    close_load(state, board, order, loaded, False, at, out)


def restore_victim(board: EnginePool, engine: EngineState, order: Order, at: float) -> None:
    """Use a slot again that an order did not replace after all."""
    slot = engine.slots.get(order.replaces)
    if slot is None:
        return
    slot.state = SlotState.RESIDENT
    slot.state_changed_at = at
    slot.needed_for_load = slot.evictable = False
    slot.grants_released_at = None
    order.replaces = None
    add_victim(board, engine, slot)


def abandon_order(state: State, board: EnginePool, engine: EngineState, at: float) -> None:
    """Give up on the order to an engine that restarted."""
    order = engine.order
    if order is None:
        return
    engine.order = None
    board.orders.pop(order.order_id, None)
    intents.suspend_order(state, board, order, at)
