"""Grants that this entry holds: permissions to dispatch an adapter version to an endpoint."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions import holdings
from poplarhoist.decisions.effects import Count, SendMessage
from poplarhoist.decisions.intent_state import prune_and_check_open_orders
from poplarhoist.decisions.messages import GatherGrants, Grant, GrantPair, HeldGrants, Returned
from poplarhoist.models import AdapterRef

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State


@define(eq=False)
class GrantRecord:
    """A grant that this entry holds.

    Attributes
    ----------
    epoch : int
        Epoch of the lead that gave the grant, or of a later lead that it was reported to.
    used_at : float
        When an attempt last started or ended under it; before the first attempt, the time of the
        grant.
    number : int
        Number of the latest grant message under ``epoch``; 0 if that lead did not give it.
    in_flight : int
        Number of attempts that run under it.
    recalled : bool
        Whether it is returned as soon as no attempt is in flight; no new one starts.
    alone : bool
        Whether it is for one request that runs alone on the endpoint.
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
    """Grants that this entry holds.

    Attributes
    ----------
    by_ref : dict
        Grants by adapter version and endpoint.
    refs_by_endpoint : dict
        Adapter versions granted on each endpoint.
    latest_by_base : dict
        Epoch and number of the latest grant message of each base model.
    idle_checks : list
        Heap of times at which a grant is checked for being idle.
    """

    by_ref: dict[AdapterRef, dict[str, GrantRecord]] = field(factory=dict)
    refs_by_endpoint: dict[str, set[AdapterRef]] = field(factory=dict)
    latest_by_base: dict[str, tuple[int, int]] = field(factory=dict)
    idle_checks: list[tuple[float, AdapterRef, str]] = field(factory=list)


def find(state: State, ref: AdapterRef, endpoint: str) -> GrantRecord | None:
    """Return the grant for an adapter version on an endpoint, or None if it is not held."""
    return state.grants.by_ref.get(ref, {}).get(endpoint)


def accept(state: State, message: Grant, at: float, out: list[Effect]) -> None:
    """Hold a grant that the lead gave, unless the message is late or repeated.

    A message for an earlier run of this entry, or not newer than the latest of its base model,
    is counted and dropped: the grant may have been returned since.
    """
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


def add_grant(state: State, message: Grant, at: float) -> GrantRecord:
    """Add a grant, schedule its idle check and record the change for the next holdings message."""
    held = GrantRecord(message.base, message.epoch, message.ref, message.endpoint, at)
    state.grants.by_ref.setdefault(message.ref, {})[message.endpoint] = held
    state.grants.refs_by_endpoint.setdefault(message.endpoint, set()).add(message.ref)
    due = at + state.limits.grant_idle_s
    heapq.heappush(state.grants.idle_checks, (due, message.ref, message.endpoint))
    holdings.record_change(state, held.base, GrantPair(held.ref, held.endpoint), True)
    return held


def drop(state: State, held: GrantRecord) -> None:
    """Remove a grant without telling the lead; does nothing if it was removed or replaced."""
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


def return_grant(state: State, held: GrantRecord, out: list[Effect]) -> None:
    """Remove a grant and return it to the current lead, if one is known.

    A grant of an earlier epoch is returned with number 0, as the current lead did not give it.
    """
    drop(state, held)
    view = state.leadership.leases_by_base.get(held.base)
    if view is None or not view.holder:
        return
    number = held.number if held.epoch == view.epoch else 0
    message = Returned(held.base, view.epoch, held.ref, held.endpoint, number)
    out.append(SendMessage(view.holder, message))


def on_recall(state: State, sender: str, message, out: list[Effect]) -> None:
    """Return a recalled grant now, or once no attempt is in flight under it.

    A grant that is not held is returned too: the earlier return may have been lost.
    """
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


def start_attempt(held: GrantRecord, at: float) -> None:
    """Record that an attempt starts under a grant."""
    held.in_flight += 1
    held.used_at = at


def end_attempt(state: State, held: GrantRecord, at: float, out: list[Effect]) -> None:
    """Record that an attempt ended under a grant.

    After the last one, a recalled grant is returned, and so is one for a request that runs
    alone.
    """
    held.in_flight -= 1
    held.used_at = at
    if (
        (held.recalled or held.alone)
        and held.in_flight == 0
        and find(state, held.ref, held.endpoint) is held
    ):
        return_grant(state, held, out)


def drop_endpoint_grants(state: State, endpoint: str, out: list[Effect]) -> None:
    """Drop all grants on an endpoint that restarted and lost its adapters.

    The lead is not told. It counts this entry as a holder until it recalls the grants; recalls
    of grants that are not held are answered too.
    """
    for ref in list(state.grants.refs_by_endpoint.get(endpoint, ())):
        held = find(state, ref, endpoint)
        if held is not None:
            drop(state, held)
            out.append(Count("grant_dropped", ("endpoint-restarted",)))


def on_gather(state: State, sender: str, message: GatherGrants, at: float, out) -> None:
    """Report all grants for a base model to its new lead.

    The answer also tells whether orders that this entry sent as an earlier lead may still take
    effect.
    """
    pairs = []
    for ref, by_endpoint in state.grants.by_ref.items():
        for endpoint, held in by_endpoint.items():
            if held.base == message.base:
                adopt_epoch(held, message.epoch)
                pairs.append(GrantPair(ref, endpoint))
    still_open = prune_and_check_open_orders(state.leadership.open_orders, at, message.base)
    answer = HeldGrants(message.base, message.epoch, tuple(pairs), still_open)
    out.append(SendMessage(sender, answer))


def adopt_epoch(held: GrantRecord, epoch: int) -> None:
    """Move a grant to a new lead's epoch.

    A pending recall by the earlier lead is cancelled, since the new lead does not know of it.
    """
    if held.epoch < epoch:
        held.epoch = epoch
        held.number = 0
        held.recalled = False


def return_all(state: State, out: list[Effect]) -> None:
    """Return every grant; those in use are returned once no attempt is in flight."""
    for by_endpoint in list(state.grants.by_ref.values()):
        for held in list(by_endpoint.values()):
            if held.in_flight:
                held.recalled = True
            else:
                return_grant(state, held, out)


def return_unneeded(state: State, out: list[Effect]) -> None:
    """Return grants that no request waits for; those in use once no attempt is in flight."""
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
    """Return grants that were not used for ``grant_idle_s`` seconds.

    While this entry drains, every grant that no request waits for is returned.
    """
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
