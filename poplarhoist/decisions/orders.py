"""Orders of the lead to engines, and how each of them ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

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
from poplarhoist.decisions.effects import Count, OrderKind, PollEndpoint, SendOrder
from poplarhoist.decisions.events import OrderAnswered, OrderOutcome
from poplarhoist.decisions.lead_grants import grant_waiting

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

LOAD_BACKOFF_S = 1.0
LOAD_BACKOFF_MAX_S = 30.0


def fence(state: State, board: Board, engine: EngineBoard, at: float, out) -> None:
    """Tell an engine the epoch, so that it refuses orders of earlier leads."""
    if engine.fenced_at is not None or at - engine.fence_sent_at < state.limits.order_s:
        return
    engine.fence_sent_at = at
    send_order(state, board, engine, OrderKind.FENCE, None, None, at, out)


def send_order(state, board, engine, kind, ref, replaces, at, out) -> None:
    """Send an order and remember it until its outcome is known."""
    board.order_count += 1
    order_id = f"{board.base}/{board.epoch}/{board.order_count}"
    order = Order(order_id, engine.name, kind, ref, replaces, at)
    board.orders[order_id] = order
    state.leadership.open_orders[order_id] = board.base
    if kind is OrderKind.LOAD:
        engine.order = order
    out.append(SendOrder(engine.name, order_id, kind, board.epoch, ref, replaces))


def send_load(state, board, engine, ref, victim: Slot | None, at, out) -> None:
    """Order a load, in place of a victim if one is given."""
    board.tokens -= 1.0
    board.wanted.discard(ref)
    replaces = None
    if victim is not None:
        victim.state = SlotState.REPLACING
        victim.since = at
        replaces = victim.ref
    add_slot(board, engine, Slot(ref, SlotState.LOADING, at))
    send_order(state, board, engine, OrderKind.LOAD, ref, replaces, at, out)


def finish_order(state: State, board: Board, order: Order, event: OrderAnswered, out) -> None:
    """Bring the board in line with the outcome of an order."""
    engine = board.engines.get(order.endpoint)
    if engine is None:
        board.orders.pop(order.order_id)
        return
    if order.kind is OrderKind.FENCE:
        board.orders.pop(order.order_id)
        if event.outcome is OrderOutcome.DONE:
            engine.fenced_at = event.at
            out.append(PollEndpoint(engine.name))
        return
    out.append(Count("load_ended", (event.outcome,)))
    if event.outcome is OrderOutcome.UNKNOWN:
        order.lost = True
        out.append(PollEndpoint(engine.name))
        return
    close_load(state, board, engine, order, event.outcome is OrderOutcome.DONE, event.at, out)


def close_load(state, board, engine, order: Order, loaded: bool, at, out) -> None:
    """End a load that succeeded or failed."""
    board.orders.pop(order.order_id, None)
    state.leadership.open_orders.pop(order.order_id, None)
    engine.order = None
    demand = board.demand.setdefault(order.ref, DemandView(scored_at=at))
    slot = engine.slots.get(order.ref)
    if order.replaces is not None:
        drop_slot(board, engine, order.replaces)
    if loaded and slot is not None:
        slot.state = SlotState.RESIDENT
        slot.since = at
        demand.failures = 0
        grant_waiting(state, board, engine, slot, at, out)
        return
    drop_slot(board, engine, order.ref)
    demand.failures += 1
    backoff_s = min(LOAD_BACKOFF_MAX_S, LOAD_BACKOFF_S * 2 ** (demand.failures - 1))
    demand.retry_at = at + backoff_s
    engine.retry_at = at + state.limits.load_s


def settle_lost_orders(state: State, board: Board, at: float, out: list[Effect]) -> None:
    """Settle orders without an answer by a report that was sampled after their longest time."""
    for order in list(board.orders.values()):
        if at - order.sent_at < state.limits.order_s:
            continue
        engine = board.engines.get(order.endpoint)
        view = state.members.endpoints.get(order.endpoint)
        if engine is None or order.kind is OrderKind.FENCE:
            board.orders.pop(order.order_id)
            continue
        if view is None or view.sampled_at < order.sent_at + state.limits.order_s:
            continue
        loaded = view.report is not None and str(order.ref) in view.report.resident
        close_load(state, board, engine, order, loaded, at, out)
