"""Grants held by this entry: leave to dispatch an adapter version to an endpoint."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions import holdings
from poplarhoist.decisions.effects import Count, SendMessage
from poplarhoist.decisions.intentbook import has_open_orders
from poplarhoist.decisions.messages import GatherGrants, Grant, GrantPair, HeldGrants, Returned
from poplarhoist.models import AdapterRef

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State


@define(eq=False)
class HeldGrant:
    """A grant that this entry holds.

    Attributes
    ----------
    number : int
        Number of the lead's latest grant under ``epoch``; 0 if that lead only heard of it.
    in_flight : int
        Attempts that run under it.
    recalled : bool
        Whether it is handed back as soon as nothing is in flight.
    alone : bool
        Whether it is for one request that runs alone.
    """

    base: str
    epoch: int
    ref: AdapterRef
    endpoint: str
    used_at: float
    number: int = 0
    in_flight: int = 0
    recalled: bool = False
    alone: bool = False


@define
class GrantState:
    """Grants by adapter version and endpoint.

    Attributes
    ----------
    by_endpoint : dict
        Adapter versions granted, by endpoint.
    latest : dict
        Epoch and number of the latest grant of each base model.
    idle_due : list
        Heap of times at which a grant may have become idle.
    """

    by_ref: dict[AdapterRef, dict[str, HeldGrant]] = field(factory=dict)
    refs_by_endpoint: dict[str, set[AdapterRef]] = field(factory=dict)
    latest_by_base: dict[str, tuple[int, int]] = field(factory=dict)
    idle_checks: list[tuple[float, AdapterRef, str]] = field(factory=list)


def find(state: State, ref: AdapterRef, endpoint: str) -> HeldGrant | None:
    """Return the grant for a pair, if held."""
    return state.grants.by_ref.get(ref, {}).get(endpoint)


def accept(state: State, message: Grant, at: float, out: list[Effect]) -> None:
    """Hold a grant that the lead gave, unless the message is late or repeated."""
    latest = state.grants.latest_by_base.get(message.base, (0, 0))
    if message.boot not in ("", state.boot):
        out.append(Count("grant_dropped", ("for-other-boot",)))
        return
    if (message.epoch, message.number) <= latest:
        out.append(Count("grant_dropped", ("repeated",)))
        return
    state.grants.latest_by_base[message.base] = (message.epoch, message.number)
    held = find(state, message.ref, message.endpoint)
    if held is None:
        held = add_grant(state, message, at)
    held.epoch = message.epoch
    held.number = message.number
    held.recalled = False


def add_grant(state: State, message: Grant, at: float) -> HeldGrant:
    """Begin to hold a grant."""
    held = HeldGrant(message.base, message.epoch, message.ref, message.endpoint, at)
    state.grants.by_ref.setdefault(message.ref, {})[message.endpoint] = held
    state.grants.refs_by_endpoint.setdefault(message.endpoint, set()).add(message.ref)
    due = at + state.limits.grant_idle_s
    heapq.heappush(state.grants.idle_checks, (due, message.ref, message.endpoint))
    holdings.record_change(state, held.base, GrantPair(held.ref, held.endpoint), True)
    return held


def drop(state: State, held: HeldGrant) -> None:
    """Stop holding a grant."""
    by_endpoint = state.grants.by_ref.get(held.ref, {})
    if by_endpoint.get(held.endpoint) is not held:
        return
    del by_endpoint[held.endpoint]
    if not by_endpoint:
        del state.grants.by_ref[held.ref]
    holdings.record_change(state, held.base, GrantPair(held.ref, held.endpoint), False)
    refs = state.grants.refs_by_endpoint[held.endpoint]
    refs.discard(held.ref)
    if not refs:
        del state.grants.refs_by_endpoint[held.endpoint]


def return_grant(state: State, held: HeldGrant, out: list[Effect]) -> None:
    """Give a grant back to the lead."""
    drop(state, held)
    view = state.leadership.leases_by_base.get(held.base)
    if view is None or not view.holder:
        return
    number = held.number if held.epoch == view.epoch else 0
    message = Returned(held.base, view.epoch, held.ref, held.endpoint, number)
    out.append(SendMessage(view.holder, message))


def on_recall(state: State, sender: str, message, out: list[Effect]) -> None:
    """Hand a grant back now, or once nothing is in flight under it."""
    held = find(state, message.ref, message.endpoint)
    if held is None:
        answer = Returned(
            message.base, message.epoch, message.ref, message.endpoint, message.number
        )
        out.append(SendMessage(sender, answer))
    elif held.in_flight:
        held.recalled = True
    else:
        return_grant(state, held, out)


def start_attempt(held: HeldGrant, at: float) -> None:
    """Count an attempt that starts under a grant."""
    held.in_flight += 1
    held.used_at = at


def end_attempt(state: State, held: HeldGrant, at: float, out: list[Effect]) -> None:
    """Count an attempt that ended under a grant."""
    held.in_flight -= 1
    held.used_at = at
    if (
        (held.recalled or held.alone)
        and held.in_flight == 0
        and find(state, held.ref, held.endpoint) is held
    ):
        return_grant(state, held, out)


def drop_endpoint_grants(state: State, endpoint: str, out: list[Effect]) -> None:
    """Drop all grants on an endpoint that restarted and lost its adapters."""
    for ref in list(state.grants.refs_by_endpoint.get(endpoint, ())):
        held = find(state, ref, endpoint)
        if held is not None:
            drop(state, held)
            out.append(Count("grant_dropped", ("endpoint-restarted",)))


def on_gather(state: State, sender: str, message: GatherGrants, at: float, out) -> None:
    """Tell a new lead of all grants held for its base model."""
    pairs = []
    for ref, by_endpoint in state.grants.by_ref.items():
        for endpoint, held in by_endpoint.items():
            if held.base == message.base:
                adopt_epoch(held, message.epoch)
                pairs.append(GrantPair(ref, endpoint))
    still_open = has_open_orders(state.leadership.open_orders, at, message.base)
    answer = HeldGrants(message.base, message.epoch, tuple(pairs), still_open)
    out.append(SendMessage(sender, answer))


def adopt_epoch(held: HeldGrant, epoch: int) -> None:
    """Hold a grant under a new lead, which knows of no recall by the earlier one."""
    if held.epoch < epoch:
        held.epoch = epoch
        held.number = 0
        held.recalled = False


def return_all(state: State, out: list[Effect]) -> None:
    """Hand every grant back, those in use once nothing is in flight under them."""
    for by_endpoint in list(state.grants.by_ref.values()):
        for held in list(by_endpoint.values()):
            if held.in_flight:
                held.recalled = True
            else:
                return_grant(state, held, out)


def return_unneeded(state: State, out: list[Effect]) -> None:
    """Hand back grants that no request waits for, those in use once nothing is in flight."""
    for ref, by_endpoint in list(state.grants.by_ref.items()):
        queue = state.admission.queues.get(ref)
        if queue is not None and queue.by_priority:
            continue
        for held in list(by_endpoint.values()):
            if held.in_flight:
                held.recalled = True
            else:
                return_grant(state, held, out)


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Hand back grants that were not used for a while; while draining, all that are idle."""
    if state.draining:
        return_unneeded(state, out)
    grants = state.grants
    while grants.idle_checks and grants.idle_checks[0][0] <= at:
        _, ref, endpoint = heapq.heappop(grants.idle_checks)
        held = find(state, ref, endpoint)
        if held is None:
            continue
        idle_at = held.used_at + state.limits.grant_idle_s
        if held.in_flight == 0 and at >= idle_at:
            return_grant(state, held, out)
        else:
            heapq.heappush(grants.idle_checks, (max(idle_at, at + 1.0), ref, endpoint))
