"""Write-ahead intents: orders to engines that do not check epochs are stored before they are sent.

One object per base model on the platform lists every such order that may be under way. A new
lead reads it and rewrites it under its own epoch, so that a late write of an earlier lead fails
on the object's version. It then suspends the adapter versions that the listed orders may still
load or evict, until their sender can no longer send them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist import wire
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
from poplarhoist.decisions.engine_pool import EnginePool, EngineState, Order, current_pool
from poplarhoist.decisions.events import CallStatus, OrderAnswered, OrderOutcome, PlatformAnswered
from poplarhoist.decisions.intent_state import Intent, OpenOrder, Suspension
from poplarhoist.decisions.membership import is_gone
from poplarhoist.models import AdapterRef

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

INTENT_PREFIX = "intents/"
RETRY_S = 0.25
CALL_TIMEOUT_S = 5.0


def checks_fencing(state: State, engine: EngineState) -> bool:
    """Return whether an engine itself refuses orders of earlier epochs; True if not listed."""
    view = state.members.endpoints.get(engine.name)
    return view is None or view.endpoint.checks_fencing


def queue_order(state: State, pool: EnginePool, order: Order, at: float, out: list[Effect]) -> None:
    """Queue an order to be sent as soon as its intent is stored."""
    pool.intents.open_by_id[order.order_id] = Intent(
        order.order_id,
        order.endpoint,
        pool.epoch,
        str(order.ref),
        str(order.replaces) if order.replaces else "",
        state.me.name,
        state.boot,
    )
    pool.intents.queued_order_ids.append(order.order_id)
    advance(state, pool, at, out)


def close_intent(pool: EnginePool, order_id: str) -> None:
    """Remove the intent of an order that ended; the stored object is rewritten later."""
    intents = pool.intents
    if intents.open_by_id.pop(order_id, None) is not None:
        intents.dirty = True
    if order_id in intents.queued_order_ids:
        intents.queued_order_ids.remove(order_id)


def advance(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Read or write the stored object if that is due and no call is under way.

    A call without an answer after ``CALL_TIMEOUT_S`` is followed by a read, which shows whether
    a write took effect.
    """
    intents = pool.intents
    if not intents.needed or at < intents.next_call_at:
        return
    if intents.call_since is not None and at - intents.call_since < CALL_TIMEOUT_S:
        return
    if not intents.was_read or intents.call_since is not None:
        read_intents(pool, at, out)
    elif intents.first_written_at is None or intents.queued_order_ids or intents.dirty:
        write_intents(state, pool, at, out)


def read_intents(pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Read the stored object."""
    pool.intents.call_since = at
    purpose = IntentsRead(pool.base, pool.epoch)
    out.append(PlatformGet(INTENT_PREFIX + pool.base, purpose))


def write_intents(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Store all open intents; orders that are created meanwhile go into the next write."""
    intents = pool.intents
    intents.write_count += 1
    nonce = f"{state.boot}/{pool.epoch}/{intents.write_count}"
    intents.order_ids_by_nonce[nonce] = list(intents.queued_order_ids)
    intents.call_since = at
    intents.dirty = False
    orders = [wire.dump(intent) for intent in intents.open_by_id.values()]
    value = {"epoch": pool.epoch, "nonce": nonce, "orders": orders}
    purpose = IntentWrite(pool.base, pool.epoch, nonce)
    out.append(PlatformPut(INTENT_PREFIX + pool.base, value, intents.version, purpose))


def on_written(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Handle the end of a write: send its orders, write again, or read back if it is unclear.

    A refused write had no effect. After any other failure it may have taken effect, or may do so
    late.
    """
    pool = current_pool(state, event.purpose.base, event.purpose.epoch)
    if pool is None:
        return
    intents = pool.intents
    intents.call_since = None
    if event.status is CallStatus.OK:
        intents.version = event.version
        on_write_applied(state, pool, event.purpose.nonce, event.at, out)
    elif event.status is CallStatus.REFUSED:
        out.append(Count("intent_write_failed", (event.status,)))
        intents.order_ids_by_nonce.pop(event.purpose.nonce, None)
        intents.dirty = True
        intents.next_call_at = event.at + RETRY_S
    else:
        out.append(Count("intent_write_failed", (event.status,)))
        intents.dirty = True
        read_intents(pool, event.at, out)
        return
    advance(state, pool, event.at, out)


def on_read(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Handle the end of a read; a failed read is repeated after ``RETRY_S``."""
    pool = current_pool(state, event.purpose.base, event.purpose.epoch)
    if pool is None:
        return
    intents = pool.intents
    intents.call_since = None
    if event.status is CallStatus.NOT_FOUND:
        intents.version = 0
        intents.was_read = True
    elif event.status is CallStatus.OK:
        apply_stored_intents(state, pool, event, out)
    if event.status not in (CallStatus.OK, CallStatus.NOT_FOUND) or not intents.was_read:
        intents.next_call_at = event.at + RETRY_S
    advance(state, pool, event.at, out)


def apply_stored_intents(
    state: State, pool: EnginePool, event: PlatformAnswered, out: list[Effect]
) -> None:
    """Apply the stored object as it was read.

    It shows either a write of this lead whose answer was lost, or the intents of an earlier one.
    """
    intents = pool.intents
    value = event.value
    if value["epoch"] > pool.epoch:
        # A later lead has written the object. The lease of this lead expires by itself.
        intents.was_read = False
        return
    intents.version = event.version
    intents.was_read = True
    if value["nonce"] in intents.order_ids_by_nonce:
        on_write_applied(state, pool, value["nonce"], event.at, out)
    elif value["epoch"] < pool.epoch:
        for data in value["orders"]:
            adopt_intent(state, pool, wire.load(data, Intent))


def adopt_intent(state: State, pool: EnginePool, intent: Intent) -> None:
    """Take over an intent of an earlier lead and suspend what its order may load or evict."""
    if intent.order_id in pool.suspensions:
        return
    pool.intents.open_by_id[intent.order_id] = intent
    refs = frozenset(AdapterRef.parse(text) for text in (intent.load, intent.replaces) if text)
    suspend(pool, Suspension(intent.order_id, intent.endpoint, refs, intent.holder, intent.boot))


def suspend(pool: EnginePool, suspension: Suspension) -> None:
    """Suspend adapter versions on an engine: no grants, loads or evictions of them until it ends.

    The engine may be unknown yet; it then gets its suspensions when it is added.
    """
    pool.suspensions[suspension.order_id] = suspension
    engine = pool.engines.get(suspension.endpoint)
    if engine is not None:
        engine.suspended_refs |= suspension.refs


def on_write_applied(
    state: State, pool: EnginePool, nonce: str, at: float, out: list[Effect]
) -> None:
    """Send the orders whose intents a write has stored; the first write also fences engines.

    Orders that were closed while the write was under way are not sent.
    """
    intents = pool.intents
    order_ids = intents.order_ids_by_nonce[nonce]
    intents.order_ids_by_nonce.clear()
    if intents.first_written_at is None:
        intents.first_written_at = at
        mark_engines_fenced(state, pool, at, out)
    for order_id in order_ids:
        if order_id not in intents.queued_order_ids:
            continue
        intents.queued_order_ids.remove(order_id)
        order = pool.orders.get(order_id)
        if order is not None:
            send_order(state, pool, order, at, out)


def mark_engines_fenced(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Mark engines that do not check epochs as fenced.

    Every order of an earlier lead to them is known now and suspended, and no other can be sent,
    as its intent can no longer be stored.
    """
    for name in list(pool.unfenced_engines):
        engine = pool.engines[name]
        if not checks_fencing(state, engine):
            engine.fenced_at = at
            pool.unfenced_engines.discard(name)
            out.append(PollEndpoint(name))


def send_order(state: State, pool: EnginePool, order: Order, at: float, out: list[Effect]) -> None:
    """Send an order to its engine, and note the latest time at which it may be applied."""
    order.sent = True
    order.sent_at = at
    order.may_apply_until = at + state.limits.order_s
    state.leadership.open_orders[order.order_id] = OpenOrder(pool.base)
    out.append(
        SendOrder(order.endpoint, order.order_id, order.kind, pool.epoch, order.ref, order.replaces)
    )


def suspend_order(state: State, pool: EnginePool, order: Order, at: float) -> None:
    """Suspend what an abandoned order of this entry may still load or evict.

    The intent of a fence, or of an order that was never sent, is closed at once.
    """
    if order.kind is not OrderKind.LOAD or not order.sent:
        close_intent(pool, order.order_id)
        return
    refs = frozenset(ref for ref in (order.ref, order.replaces) if ref is not None)
    suspension = Suspension(order.order_id, order.endpoint, refs, state.me.name, state.boot)
    if order.call_ended:
        suspension.may_apply_until = at + state.limits.order_s
    suspend(pool, suspension)


def record_call_end(state: State, event: OrderAnswered) -> None:
    """Record until when an order whose call ended may still be applied.

    This includes orders sent under an earlier epoch of this entry. An order with an unknown outcome
    may be applied for another ``order_s`` seconds.
    """
    lost = event.outcome is OrderOutcome.UNKNOWN
    may_apply_until = event.at + state.limits.order_s if lost else event.at
    order = state.leadership.open_orders.get(event.order_id)
    if order is not None:
        order.may_apply_until = may_apply_until
    for pool in state.boards.values():
        suspension = pool.suspensions.get(event.order_id)
        if suspension is not None:
            suspension.may_apply_until = may_apply_until


def update_suspensions_of_sender(
    state: State, pool: EnginePool, sender: str, orders_open: bool, at: float
) -> None:
    """Set when the suspended orders that a peer sent as an earlier lead can no longer be applied.

    They cannot be applied any more if the peer reports that none is open. A peer that restarted
    sends nothing more of its earlier run, but what it sent may still be applied for ``order_s``
    seconds.
    """
    peer = state.members.peers.get(sender)
    boot = peer.boot if peer else ""
    for suspension in pool.suspensions.values():
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


def senders_with_open_orders(state: State, pool: EnginePool) -> set[str]:
    """Return the listed entries that may still send an order that is suspended."""
    names = {
        suspension.sender
        for suspension in pool.suspensions.values()
        if suspension.may_apply_until is None
    }
    return {name for name in names if name in state.members.peers}


def poll_suspended_engines(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Poll engines whose suspensions can end, at most once per ``recall_again_s`` each.

    A suspension can end ``order_s`` seconds after its sender is gone. It ends with the next
    report of the engine, or at once if the engine is no longer in the pool.
    """
    for suspension in list(pool.suspensions.values()):
        if suspension.may_apply_until is None and has_sender_stopped(state, suspension):
            suspension.may_apply_until = at + state.limits.order_s
        if suspension.may_apply_until is None or at <= suspension.may_apply_until:
            continue
        engine = pool.engines.get(suspension.endpoint)
        if engine is None:
            del pool.suspensions[suspension.order_id]
            close_intent(pool, suspension.order_id)
        elif at - engine.polled_at >= state.limits.recall_resend_interval_s:
            engine.polled_at = at
            out.append(PollEndpoint(engine.name))


def has_sender_stopped(state: State, suspension: Suspension) -> bool:
    """Return whether the sender of an order can no longer send it.

    What it sent before may still be applied for ``order_s`` seconds.
    """
    if suspension.sender != state.me.name:
        return is_gone(state, suspension.sender)
    return (
        suspension.sender_boot != state.boot
        or suspension.order_id not in state.leadership.open_orders
    )


def end_suspensions(pool: EnginePool, engine: EngineState, sampled_at: float) -> set[AdapterRef]:
    """End the suspensions of orders that could no longer be applied when a report was sampled.

    Returns the adapter versions on the engine that no other order suspends.
    """
    ended = [
        suspension
        for suspension in pool.suspensions.values()
        if suspension.endpoint == engine.name
        and suspension.may_apply_until is not None
        and sampled_at > suspension.may_apply_until
    ]
    if not ended:
        return set()
    before = set(engine.suspended_refs)
    for suspension in ended:
        del pool.suspensions[suspension.order_id]
        close_intent(pool, suspension.order_id)
    engine.suspended_refs = {
        ref
        for suspension in pool.suspensions.values()
        if suspension.endpoint == engine.name
        for ref in suspension.refs
    }
    return before - engine.suspended_refs
