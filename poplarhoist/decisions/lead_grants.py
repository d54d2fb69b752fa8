"""The lead's side of grants: giving, recalling and taking back; ``grants`` has the entry's side."""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist.decisions import evictions
from poplarhoist.decisions.effects import PollEndpoint, SendMessage
from poplarhoist.decisions.engine_pool import (
    EnginePool,
    EngineState,
    Slot,
    SlotState,
    current_pool,
    has_no_holders,
    is_usable,
    update_pending_load,
)
from poplarhoist.decisions.membership import is_gone, is_unreachable
from poplarhoist.decisions.messages import Grant, Returned

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State
    from poplarhoist.models import AdapterRef

REGRANT_INTERVAL_S = 1.0  # minimum interval between repeated grants of a slot to a holder


def grant_slot(
    state: State, pool: EnginePool, engine: EngineState, slot: Slot, entry, at, out
) -> bool:
    """Grant a slot to an entry if the slot is resident and usable.

    Returns whether the entry holds the grant, also if no message had to be sent.
    The drain of a draining slot is cancelled. A grant that the entry already holds is sent again
    only after ``REGRANT_INTERVAL_S``, in case the message was lost.
    """
    if not engine.synced or not is_usable(engine, slot):
        return False
    if slot.state is SlotState.DRAINING:
        evictions.cancel_drain(pool, engine, slot, at)
        evictions.update_readiness(state, pool, engine, at)
    if slot.state is not SlotState.RESIDENT:
        return False
    if entry in slot.holders and at - slot.granted_at < REGRANT_INTERVAL_S:
        return True
    slot.granted_at = at
    out.append(SendMessage(entry, make_grant(state, pool, engine, slot.ref, entry)))
    return True


def make_grant(state: State, pool: EnginePool, engine: EngineState, ref: AdapterRef, entry: str):
    """Record an entry as a holder of a slot, and return the grant message for it.

    The message has the boot id of the entry, so that a restarted entry drops it.
    """
    pool.grant_count += 1
    engine.slots[ref].holders[entry] = pool.grant_count
    peer = state.members.peers.get(entry)
    boot = peer.boot if peer else state.boot
    return Grant(pool.base, pool.epoch, ref, engine.name, pool.grant_count, boot)


def grant_to_waiting(
    state: State, pool: EnginePool, engine: EngineState, slot: Slot, at, out
) -> None:
    """Grant a slot to every entry where requests wait for its adapter version."""
    demand = pool.demand.get(slot.ref)
    if demand is None:
        return
    for entry in sorted(demand.waiting_by_entry):
        grant_slot(state, pool, engine, slot, entry, at, out)
    update_pending_load(pool, slot.ref)


def retry_recalls(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Repeat unanswered recalls of draining slots, and poll engines for slots without holders.

    A drain is cancelled while a holder is silent, unless the engine is reserved.
    """
    for name, ref in sorted(pool.draining_slots):
        engine = pool.engines[name]
        slot = engine.slots[ref]
        if (
            slot.evictable
            or at - max(slot.last_drain_action_at, slot.state_changed_at)
            < state.limits.recall_resend_interval_s
        ):
            continue
        slot.last_drain_action_at = at
        release_departed_holders(state, engine, slot, at)
        if engine.reserved_at is None and any(is_unreachable(state, n, at) for n in slot.holders):
            evictions.cancel_drain(pool, engine, slot, at)
            grant_to_waiting(state, pool, engine, slot, at, out)
            continue
        if slot.grants_released_at is None and has_no_holders(pool, slot):
            slot.grants_released_at = at
        if slot.grants_released_at is not None:
            out.append(PollEndpoint(engine.name))
        else:
            evictions.recall_grants(pool, engine, slot, at, out)


def release_departed_holders(state: State, engine: EngineState, slot: Slot, at: float) -> None:
    """Remove holders that the platform lists as gone, or no longer lists."""
    for name in [name for name in slot.holders if is_gone(state, name)]:
        del slot.holders[name]
        engine.grant_returned_at = at


def on_returned(state: State, sender: str, message: Returned, at: float, out) -> None:
    """Record that an entry returned a grant.

    Ignored if a later grant was sent to the entry meanwhile. When the last holder of a draining
    slot returned its grant, the engine is polled to see whether the slot is idle.
    """
    pool = current_pool(state, message.base, message.epoch)
    engine = pool.engines.get(message.endpoint) if pool else None
    if engine is None:
        return
    slot = engine.slots.get(message.ref)
    holders = slot.holders if slot else engine.holders_by_lost_ref.get(message.ref, {})
    if sender not in holders or message.number < holders[sender]:
        return
    del holders[sender]
    engine.grant_returned_at = at
    if slot is None:
        if not holders:
            del engine.holders_by_lost_ref[message.ref]
        return
    if (
        slot.state is SlotState.DRAINING
        and slot.grants_released_at is None
        and has_no_holders(pool, slot)
    ):
        slot.grants_released_at = at
        out.append(PollEndpoint(engine.name))
