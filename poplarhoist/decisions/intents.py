"""Intents: orders to engines that do not check epochs are written down before they are sent.

One object a base model names every such order that may be under way. A new lead reads it and
writes it again under its own epoch, so that no late write of an earlier lead succeeds. Then it
leaves alone what the orders in it may still load or evict, until their sender has ended them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist import wire
from poplarhoist.decisions.board import EnginePool, EngineState, Order, current_pool
from poplarhoist.decisions.effects import (
    Count,
    IntentsRead,
    IntentWrite,
    OrderKind,
    PlatformGet,
    PlatformPut,
    PollEndpoint,
    SendOrder,
)
from poplarhoist.decisions.events import CallStatus, OrderAnswered, OrderOutcome, PlatformAnswered
from poplarhoist.decisions.intentbook import Intent, OpenOrder, Suspension
from poplarhoist.decisions.membership import is_gone
from poplarhoist.models import AdapterRef

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

INTENT_PREFIX = "intents/"
RETRY_S = 0.25
CALL_TIMEOUT_S = 5.0


def checks_fencing(state: State, engine: EngineState) -> bool:
    """Return whether an engine refuses orders of earlier leads by itself."""
    view = state.members.endpoints.get(engine.name)
    return view is None or view.endpoint.checks_fencing


def queue_order(
    state: State, board: EnginePool, order: Order, at: float, out: list[Effect]
) -> None:
    """Send an order as soon as it is written down."""
    board.intents.open_by_id[order.order_id] = Intent(
        order.order_id,
        order.endpoint,
        board.epoch,
        str(order.ref),
        str(order.replaces) if order.replaces else "",
        state.me.name,
        state.boot,
    )
    board.intents.queued_order_ids.append(order.order_id)
    advance(state, board, at, out)


def close_intent(board: EnginePool, order_id: str) -> None:
    """Note that an order is no longer under way; the object is cleaned later."""
    book = board.intents
    if book.open_by_id.pop(order_id, None) is not None:
        book.dirty = True
    if order_id in book.queued_order_ids:
        book.queued_order_ids.remove(order_id)


def advance(state: State, board: EnginePool, at: float, out: list[Effect]) -> None:
    """Read or write the object if that is due and no call is under way."""
    book = board.intents
    if not book.needed or at < book.next_call_at:
        return
    if book.call_since is not None and at - book.call_since < CALL_TIMEOUT_S:
        return
    if not book.was_read or book.call_since is not None:
        read_intents(board, at, out)
    elif book.first_written_at is None or book.queued_order_ids or book.dirty:
        write_intents(state, board, at, out)


def read_intents(board: EnginePool, at: float, out: list[Effect]) -> None:
    """Read the object."""
    board.intents.call_since = at
    purpose = IntentsRead(board.base, board.epoch)
    out.append(PlatformGet(INTENT_PREFIX + board.base, purpose))


def write_intents(state: State, board: EnginePool, at: float, out: list[Effect]) -> None:
    """Write all open intents; orders decided meanwhile go into the next write."""
    book = board.intents
    book.write_count += 1
    nonce = f"{state.boot}/{board.epoch}/{book.write_count}"
    book.order_ids_by_nonce[nonce] = list(book.queued_order_ids)
    book.call_since = at
    book.dirty = False
    orders = [wire.dump(intent) for intent in book.open_by_id.values()]
    value = {"epoch": board.epoch, "nonce": nonce, "orders": orders}
    purpose = IntentWrite(board.base, board.epoch, nonce)
    out.append(PlatformPut(INTENT_PREFIX + board.base, value, book.version, purpose))


def on_written(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Send the orders that are now written down, or find out whether they are."""
    board = current_pool(state, event.purpose.base, event.purpose.epoch)
    if board is None:
        return
    book = board.intents
    book.call_since = None
    if event.status is CallStatus.OK:
        book.version = event.version
        on_write_applied(state, board, event.purpose.nonce, event.at, out)
    elif event.status is CallStatus.REFUSED:
        out.append(Count("intent_write_failed", (event.status,)))
        book.order_ids_by_nonce.pop(event.purpose.nonce, None)
        book.dirty = True
        book.next_call_at = event.at + RETRY_S
    else:
        out.append(Count("intent_write_failed", (event.status,)))
        book.dirty = True
        read_intents(board, event.at, out)
        return
    advance(state, board, event.at, out)


def on_read(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Take the object: an own write whose answer was lost, or an earlier lead's intents."""
    board = current_pool(state, event.purpose.base, event.purpose.epoch)
    if board is None:
        return
    book = board.intents
    book.call_since = None
    if event.status is CallStatus.NOT_FOUND:
        book.version = 0
        book.was_read = True
    elif event.status is CallStatus.OK:
        apply_stored_intents(state, board, event, out)
    if event.status not in (CallStatus.OK, CallStatus.NOT_FOUND) or not book.was_read:
        book.next_call_at = event.at + RETRY_S
    advance(state, board, event.at, out)


def apply_stored_intents(
    state: State, board: EnginePool, event: PlatformAnswered, out: list[Effect]
) -> None:
    """Bring the book in line with the object as it was read."""
    book = board.intents
    value = event.value
    if value["epoch"] > board.epoch:
        # A later lead has the object; the lease of this one runs out by itself.
        book.was_read = False
        return
    book.version = event.version
    book.was_read = True
    if value["nonce"] in book.order_ids_by_nonce:
        on_write_applied(state, board, value["nonce"], event.at, out)
    elif value["epoch"] < board.epoch:
        for data in value["orders"]:
            adopt_intent(state, board, wire.load(data, Intent))


def adopt_intent(state: State, board: EnginePool, intent: Intent) -> None:
    """Leave alone what an order of an earlier lead may still load or evict."""
    if intent.order_id in board.suspensions:
        return
    board.intents.open_by_id[intent.order_id] = intent
    refs = frozenset(AdapterRef.parse(text) for text in (intent.load, intent.replaces) if text)
    suspend(board, Suspension(intent.order_id, intent.endpoint, refs, intent.holder, intent.boot))


def suspend(board: EnginePool, suspension: Suspension) -> None:
    """Begin to leave adapter versions on an engine alone."""
    board.suspensions[suspension.order_id] = suspension
    engine = board.engines.get(suspension.endpoint)
    if engine is not None:
        engine.suspended_refs |= suspension.refs


def on_write_applied(
    state: State, board: EnginePool, nonce: str, at: float, out: list[Effect]
) -> None:
    """Send the orders that a write has put down."""
    book = board.intents
    order_ids = book.order_ids_by_nonce[nonce]
    book.order_ids_by_nonce.clear()
    if book.first_written_at is None:
        book.first_written_at = at
        mark_engines_fenced(state, board, at, out)
    for order_id in order_ids:
        if order_id not in book.queued_order_ids:
            continue
        book.queued_order_ids.remove(order_id)
        order = board.orders.get(order_id)
        if order is not None:
            send_order(state, board, order, at, out)


def mark_engines_fenced(state: State, board: EnginePool, at: float, out: list[Effect]) -> None:
    """Treat engines that do not check epochs as fenced: every earlier order is known."""
    for name in list(board.unfenced_engines):
        engine = board.engines[name]
        if not checks_fencing(state, engine):
            engine.fenced_at = at
            board.unfenced_engines.discard(name)
            out.append(PollEndpoint(name))


def send_order(state: State, board: EnginePool, order: Order, at: float, out: list[Effect]) -> None:
    """Send an order."""
    order.sent = True
    order.sent_at = at
    order.may_apply_until = at + state.limits.order_s
    state.leadership.open_orders[order.order_id] = OpenOrder(board.base)
    out.append(
        SendOrder(
            order.endpoint, order.order_id, order.kind, board.epoch, order.ref, order.replaces
        )
    )


def suspend_order(state: State, board: EnginePool, order: Order, at: float) -> None:
    """Leave alone what an own order may still do that was given up on."""
    if order.kind is not OrderKind.LOAD or not order.sent:
        close_intent(board, order.order_id)
        return
    refs = frozenset(ref for ref in (order.ref, order.replaces) if ref is not None)
    suspension = Suspension(order.order_id, order.endpoint, refs, state.me.name, state.boot)
    if order.call_ended:
        suspension.may_apply_until = at + state.limits.order_s
    suspend(board, suspension)


def record_call_end(state: State, event: OrderAnswered) -> None:
    """Note until when an order may still take effect of which the call has ended."""
    lost = event.outcome is OrderOutcome.UNKNOWN
    may_apply_until = event.at + state.limits.order_s if lost else event.at
    order = state.leadership.open_orders.get(event.order_id)
    if order is not None:
        order.may_apply_until = may_apply_until
    for board in state.boards.values():
        suspension = board.suspensions.get(event.order_id)
        if suspension is not None:
            suspension.may_apply_until = may_apply_until


def record_sender_orders(
    state: State, board: EnginePool, sender: str, orders_open: bool, at: float
) -> None:
    """Note that an entry says whether orders of its own are still under way."""
    peer = state.members.peers.get(sender)
    boot = peer.boot if peer else ""
    for suspension in board.suspensions.values():
        if (
            suspension.sender != sender
            or suspension.may_apply_until is not None
            or sender == state.me.name
        ):
            continue
        if boot != suspension.sender_boot:
            suspension.may_apply_until = at + state.limits.order_s
        elif not orders_open:
            suspension.may_apply_until = at


def senders_with_open_orders(state: State, board: EnginePool) -> set[str]:
    """Return the listed entries that have not ended their orders yet."""
    names = {
        suspension.sender
        for suspension in board.suspensions.values()
        if suspension.may_apply_until is None
    }
    return {name for name in names if name in state.members.peers}


def poll_suspended_engines(state: State, board: EnginePool, at: float, out: list[Effect]) -> None:
    """Note senders that the platform lists as gone, and poll engines that are to be settled."""
    for suspension in list(board.suspensions.values()):
        if suspension.may_apply_until is None and has_sender_stopped(state, suspension):
            suspension.may_apply_until = at + state.limits.order_s
        if suspension.may_apply_until is None or at <= suspension.may_apply_until:
            continue
        engine = board.engines.get(suspension.endpoint)
        if engine is None:
            del board.suspensions[suspension.order_id]
            close_intent(board, suspension.order_id)
        elif at - engine.polled_at >= state.limits.recall_again_s:
            engine.polled_at = at
            out.append(PollEndpoint(engine.name))


def has_sender_stopped(state: State, suspension: Suspension) -> bool:
    """Return whether the sender of an order can no longer send it, though it may be late."""
    if suspension.sender != state.me.name:
        return is_gone(state, suspension.sender)
    return (
        suspension.sender_boot != state.boot
        or suspension.order_id not in state.leadership.open_orders
    )


def end_suspensions(board: EnginePool, engine: EngineState, sampled_at: float) -> set[AdapterRef]:
    """End suspensions by a report; return the adapter versions that are free again."""
    ended = [
        suspension
        for suspension in board.suspensions.values()
        if suspension.endpoint == engine.name
        and suspension.may_apply_until is not None
        and sampled_at > suspension.may_apply_until
    ]
    if not ended:
        return set()
    before = set(engine.suspended_refs)
    for suspension in ended:
        del board.suspensions[suspension.order_id]
        close_intent(board, suspension.order_id)
    engine.suspended_refs = {
        ref
        for suspension in board.suspensions.values()
        if suspension.endpoint == engine.name
        for ref in suspension.refs
    }
    return before - engine.suspended_refs
