"""Orders of the lead to engines, and how each of them ended."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from poplarhoist.decisions import budget, intents
from poplarhoist.decisions.board import (
    Board,
    DemandView,
    EngineBoard,
    Order,
    Slot,
    SlotState,
    add_slot,
    drop_slot,
)
from poplarhoist.decisions.effects import Count, OrderKind, PollEndpoint
from poplarhoist.decisions.events import OrderAnswered, OrderOutcome
from poplarhoist.decisions.evictions import add_victim, refresh
from poplarhoist.decisions.lead_grants import grant_waiting
from poplarhoist.models import AdapterRef

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

LOAD_BACKOFF_S = 1.0
LOAD_BACKOFF_MAX_S = 30.0
ENGINE_FAILURES = 3
ADAPTER_FAILURES = 2


def fence(state: State, board: Board, engine: EngineBoard, at: float, out) -> None:
    """Tell an engine the epoch, so that it refuses orders of earlier leads."""
    if not engine.available or at - engine.fence_sent_at < state.limits.order_s:
        return
    if not intents.checks_fencing(state, engine):
        if board.intents.known_at is not None:
            engine.fenced_at = at
            board.unfenced.discard(engine.name)
            out.append(PollEndpoint(engine.name))
        return
    engine.fence_sent_at = at
    order = make_order(board, engine, OrderKind.FENCE, None, None, at)
    intents.emit(state, board, order, at, out)


def make_order(board: Board, engine: EngineBoard, kind, ref, replaces, at: float) -> Order:
    """Return an order that is remembered until its outcome is known."""
    board.order_count += 1
    order_id = f"{board.base}/{board.epoch}/{board.order_count}"
    order = Order(order_id, engine.name, kind, ref, replaces, at)
    board.orders[order_id] = order
    return order


def send_load(
    state: State,
    board: Board,
    engine: EngineBoard,
    ref: AdapterRef,
    victim: Slot | None,
    at: float,
    out: list[Effect],
    ahead: bool = False,
) -> None:
    """Order a load, in place of a victim if one is given."""
    budget.spend(board, ahead)
    board.wanted.discard(ref)
    board.ahead.discard(ref)
    replaces = None
    if victim is not None:
        victim.state = SlotState.REPLACING
        victim.since = at
        replaces = victim.ref
        board.draining.discard((engine.name, victim.ref))
    add_slot(board, engine, Slot(ref, SlotState.LOADING, at))
    order = make_order(board, engine, OrderKind.LOAD, ref, replaces, at)
    engine.order = order
    refresh(state, board, engine, at)
    if intents.checks_fencing(state, engine):
        intents.emit(state, board, order, at, out)
    else:
        intents.queue(state, board, order, at, out)


def finish_order(state: State, board: Board, order: Order, event: OrderAnswered, out) -> None:
    """Bring the board in line with the outcome of an order."""
    engine = board.engines.get(order.endpoint)
    if order.kind is OrderKind.FENCE:
        board.orders.pop(order.order_id)
        if engine is not None and event.outcome is OrderOutcome.DONE:
            engine.fenced_at = event.at
            board.unfenced.discard(engine.name)
            out.append(PollEndpoint(engine.name))
        return
    out.append(Count("load_ended", (event.outcome,)))
    order.answered = True
    if event.outcome is OrderOutcome.UNKNOWN:
        order.settle_at = event.at + state.limits.order_s
        out.append(PollEndpoint(order.endpoint))
        return
    worked = event.outcome is OrderOutcome.DONE
    store_failed = event.outcome is OrderOutcome.FAILED
    if worked:
        budget.record_success(board, event.at - order.sent_at)
    close_load(state, board, order, worked, store_failed, event.at, out)


def close_load(state, board: Board, order: Order, loaded: bool, failed: bool, at, out) -> None:
    """End a load that succeeded or failed."""
    board.orders.pop(order.order_id, None)
    intents.close(board, order.order_id)
    engine = board.engines.get(order.endpoint)
    if engine is None or engine.order is not order:
        return
    engine.order = None
    slot = engine.slots.get(order.ref)
    if order.replaces is not None:
        drop_slot(board, engine, order.replaces)
    if loaded and slot is not None:
        slot.state = SlotState.RESIDENT
        slot.since = slot.loaded_at = at
        engine.failures = 0
        board.demand.setdefault(order.ref, DemandView(scored_at=at)).failures = 0
        add_victim(board, engine, slot)
        grant_waiting(state, board, engine, slot, at, out)
    else:
        after_failure(state, board, engine, order.ref, failed, at)
    refresh(state, board, engine, at)


def after_failure(state: State, board: Board, engine: EngineBoard, ref, failed: bool, at) -> None:
    """Wait before the next try: for the adapter, the engine or the store, as it seems."""
    if failed:
        budget.record_failure(board, engine.name, str(ref), at)
    demand = board.demand.setdefault(ref, DemandView(scored_at=at))
    if not board.budget.is_store_down:
        demand.failures += 1
        engine.failures += 1
    if not board.budget.is_store_down and demand.failures >= ADAPTER_FAILURES:
        demand.retry_at = at + backoff_s(demand.failures - ADAPTER_FAILURES + 1)
    engine.retry_at = at + state.limits.load_s
    if engine.failures >= ENGINE_FAILURES:
        engine.retry_at = at + backoff_s(engine.failures - ENGINE_FAILURES + 1)
    heapq.heappush(board.due, (engine.retry_at, engine.name))
    drop_slot(board, engine, ref)


def backoff_s(failures: int) -> float:
    """Return the wait after some failures in a row."""
    return min(LOAD_BACKOFF_MAX_S, LOAD_BACKOFF_S * 2.0 ** min(failures - 1, 10))


def settle_lost_orders(state: State, board: Board, at: float, out: list[Effect]) -> None:
    """Settle orders without an answer by a report that was sampled after their longest time."""
    for order in list(board.orders.values()):
        if at <= order.settle_at:
            continue
        engine = board.engines.get(order.endpoint)
        if engine is None or order.kind is OrderKind.FENCE:
            board.orders.pop(order.order_id)
            intents.close(board, order.order_id)
        elif at - engine.asked_at >= state.limits.recall_again_s:
            engine.asked_at = at
            out.append(PollEndpoint(engine.name))


def settle_by_report(state, board: Board, engine: EngineBoard, resident, sampled_at, at, out):
    """End an order without an answer by a report of which the residency is certain."""
    order = engine.order
    if order is None or sampled_at <= order.settle_at:
        return
    loaded = order.ref in resident
    if not order.answered and not loaded:
        intents.suspend_order(state, board, order, at)
    if order.replaces is not None and order.replaces in resident and not loaded:
        keep_victim(board, engine, order, at)
    close_load(state, board, order, loaded, False, at, out)


def keep_victim(board: Board, engine: EngineBoard, order: Order, at: float) -> None:
    """Use a slot again that an order did not replace after all."""
    slot = engine.slots.get(order.replaces)
    if slot is None:
        return
    slot.state = SlotState.RESIDENT
    slot.since = at
    slot.promised = slot.clean = False
    slot.cleared_at = None
    order.replaces = None
    add_victim(board, engine, slot)


def drop_order(state: State, board: Board, engine: EngineBoard, at: float) -> None:
    """Give up on the order to an engine that restarted."""
    order = engine.order
    if order is None:
        return
    engine.order = None
    board.orders.pop(order.order_id, None)
    intents.suspend_order(state, board, order, at)
