"""What the lead of a base model decides: loads, evictions and who may use what."""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist.decisions import lead_grants
from poplarhoist.decisions.board import (
    Board,
    EngineBoard,
    SlotState,
    current_board,
    forget_engine,
)
from poplarhoist.decisions.demand import expected_ready_s, grant_or_want, order_key, take_demand
from poplarhoist.decisions.effects import OrderKind, SendMessage
from poplarhoist.decisions.events import OrderAnswered, OrderOutcome
from poplarhoist.decisions.evictions import make_room
from poplarhoist.decisions.lead_grants import recall_again
from poplarhoist.decisions.messages import Demand, Expected, HeldGrants, Returned
from poplarhoist.decisions.orders import fence, finish_order, send_load, settle_lost_orders
from poplarhoist.decisions.residency import gather, reconcile, take_held
from poplarhoist.models import AdapterRef, EndpointReport

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State


def take_over(state: State, base: str, epoch: int, at: float, out: list[Effect]) -> None:
    """Begin to lead a base model: gather grants and residency first."""
    board = Board(base, epoch, at, tokens_at=at)
    board.ungathered = {state.me.name, *state.members.peers}
    state.boards[base] = board
    advance(state, board, at, out)


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Do what is due on each board."""
    for board in state.boards.values():
        advance(state, board, at, out)


def advance(state: State, board: Board, at: float, out: list[Effect]) -> None:
    """Gather, fence, settle lost orders and place loads."""
    gather(state, board, at, out)
    for name in state.members.engines_by_base.get(board.base, ()):
        engine = board.engines.get(name)
        if engine is None:
            engine = board.engines[name] = EngineBoard(name)
        fence(state, board, engine, at, out)
        recall_again(state, board, engine, at, out)
    for name in list(board.engines.keys() - state.members.engines_by_base.get(board.base, set())):
        forget_engine(board, name)
    settle_lost_orders(state, board, at, out)
    pump(state, board, at, out)


def on_held(state: State, sender: str, message: HeldGrants, at: float, out) -> None:
    """Take an entry's account of the grants that it holds."""
    board = current_board(state, message.base, message.epoch)
    if board is not None:
        take_held(state, board, sender, message, at)
        pump(state, board, at, out)


def on_demand(state: State, sender: str, message: Demand, at: float, out: list[Effect]) -> None:
    """Take an entry's demand; grant what is resident, estimate the rest."""
    board = state.boards.get(message.base)
    if board is None:
        return
    for item in message.items:
        take_demand(board, sender, item, at)
        grant_or_want(state, board, sender, item.ref, at, out)
    pump(state, board, at, out)
    for item in message.items:
        if item.waiting and item.ref in board.wanted:
            ready_in_s = expected_ready_s(state, board, item.ref, at)
            answer = Expected(board.base, board.epoch, item.ref, ready_in_s)
            out.append(SendMessage(sender, answer))


def on_returned(state: State, sender: str, message: Returned, at: float, out) -> None:
    """Note that an entry handed a grant back."""
    lead_grants.take_return(state, sender, message, at, out)


def on_report(state: State, report: EndpointReport, sampled_at: float, at: float, out) -> None:
    """Bring the board in line with what an engine reports."""
    for board in state.boards.values():
        engine = board.engines.get(report.endpoint)
        if engine is not None:
            reconcile(state, board, engine, report, sampled_at, at, out)
            pump(state, board, at, out)


def on_order(state: State, event: OrderAnswered, out: list[Effect]) -> None:
    """Take the outcome of an order."""
    if event.outcome is not OrderOutcome.UNKNOWN:
        state.leadership.open_orders.pop(event.order_id, None)
    for board in state.boards.values():
        order = board.orders.get(event.order_id)
        if order is not None:
            finish_order(state, board, order, event, out)
            pump(state, board, event.at, out)
            return


def refill(state: State, board: Board, at: float) -> None:
    """Add to the loads allowed by the store's rate."""
    limits = state.limits
    board.tokens += (at - board.tokens_at) * limits.store_loads_per_s
    board.tokens = min(board.tokens, max(1.0, limits.store_loads_per_s / 2))
    board.tokens_at = at


def pump(state: State, board: Board, at: float, out: list[Effect]) -> None:
    """Start as many wanted loads as the store and the engines allow."""
    refill(state, board, at)
    ranked = sorted(board.wanted, key=lambda ref: order_key(board, ref, at), reverse=True)
    for ref in ranked:
        loads = sum(1 for order in board.orders.values() if order.kind is OrderKind.LOAD)
        if board.tokens < 1.0 or loads >= state.limits.store_in_flight:
            return
        if board.demand[ref].retry_at > at:
            continue
        place(state, board, ref, at, out)


def place(state: State, board: Board, ref: AdapterRef, at: float, out: list[Effect]) -> None:
    """Load an adapter version where there is room, or begin to make room."""
    ready = [e for e in board.engines.values() if can_load(state, e, at)]
    for engine in sorted(ready, key=lambda e: len(e.slots)):
        view = state.members.endpoints[engine.name]
        if len(engine.slots) < view.endpoint.slots:
            send_load(state, board, engine, ref, None, at, out)
            return
    for engine in ready:
        for slot in engine.slots.values():
            if slot.state is SlotState.DRAINING and slot.clean:
                send_load(state, board, engine, ref, slot, at, out)
                return
    make_room(state, board, ready, at, out)


def can_load(state: State, engine: EngineBoard, at: float) -> bool:
    """Return whether an engine may be ordered to load now."""
    view = state.members.endpoints.get(engine.name)
    if view is None or view.leaving or view.silent_since is not None:
        return False
    if engine.reserved_at is not None:
        return False
    return engine.settled and engine.order is None and at >= engine.retry_at
