"""The life cycle of a request: admission, waiting, dispatch to an endpoint, and refusal.

``outcomes`` handles the end of an attempt and starts the next one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist.decisions import (
    admission,
    cross_region,
    grants,
    isolation,
    load_views,
    membership,
    quarantine,
    retries,
    routing,
    runs,
)
from poplarhoist.decisions.effects import Count, Dispatch, Refuse, ReplayAnswer
from poplarhoist.decisions.events import PlatformAnswered, RequestArrived
from poplarhoist.decisions.state import RequestState, Stage
from poplarhoist.models import (
    AdapterRef,
    Caller,
    Ran,
    Reason,
    Refusal,
    Route,
    VersionState,
)

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

RETRY_AFTER_UNAVAILABLE_S = 1.0
MIN_RETRY_AFTER_S = 1.0
RETRY_AFTER_RECORD_S = 2.0
PENDING_STAGES = (Stage.WAITING, Stage.BACKOFF, Stage.CHECKING, Stage.ISOLATING)


class Denied(Exception):
    """A request is refused at admission, before any attempt.

    Attributes
    ----------
    reason : Reason
        Reason that the caller is given.
    retry_after_s : float
        Seconds after which the caller may retry; 0 if a retry would be refused as well.
    """

    def __init__(self, reason: Reason, retry_after_s: float = 0.0) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.retry_after_s = retry_after_s


def on_arrived(state: State, event: RequestArrived, out: list[Effect]) -> None:
    """Admit a request and start it, or refuse it.

    A non-idempotent call is held in stage ``RECORDING`` until its record is claimed.
    """
    try:
        request = admit(state, event)
    except Denied as denied:
        refusal = Refusal(denied.reason, Ran.NO, "admit", "", denied.retry_after_s)
        emit_refusal(out, event.request_id, refusal)
        return
    state.requests[event.request_id] = request
    retries.earn_budget(state)
    if request.ref is not None:
        admission.count_arrival(state, request)
    if request.idempotency_key and not request.repeatable:
        request.stage = Stage.RECORDING
        runs.begin_claim(state, request, out)
        return
    start(state, request, event.at, out)


def admit(state: State, event: RequestArrived) -> RequestState:
    """Authenticate the caller, resolve the target and create the request's state.

    Raises
    ------
    Denied
        If the entry has no configuration yet or is draining, the caller is unknown or may not
        use the adapter, the target does not exist, or the request content is quarantined.
    """
    if state.config.index is None:
        raise Denied(Reason.NOT_READY, RETRY_AFTER_UNAVAILABLE_S)
    if state.draining:
        raise Denied(Reason.LEAVING, RETRY_AFTER_UNAVAILABLE_S)
    caller = state.config.callers_by_digest.get(event.token_sha256)
    if caller is None:
        raise Denied(Reason.UNKNOWN_CALLER)
    if quarantine.is_quarantined(state, event.content_digest):
        raise Denied(Reason.QUARANTINED)
    request = RequestState(
        request_id=event.request_id,
        caller=caller.name,
        priority=caller.priority,
        arrived_at=event.at,
        wait_deadline_at=event.at + min(event.deadline_s, state.config.preset.max_wait_s),
        caller_deadline_at=event.at + event.deadline_s,
        content_digest=event.content_digest,
        prefix_hash=event.prefix_hash,
        body_bytes=event.body_bytes,
    )
    if event.is_service:
        admit_service(state, request, event)
    else:
        admit_model(state, request, event, caller)
    return request


def admit_service(state: State, request: RequestState, event: RequestArrived) -> None:
    """Fill in the fields of a call of a plain service.

    Raises
    ------
    Denied
        If the service is unknown, or the call is not idempotent and has no idempotency key.
    """
    service = state.services.get(event.target)
    if service is None:
        raise Denied(Reason.UNKNOWN_SERVICE)
    request.service = service.name
    request.repeatable = may_repeat(service.routes, event.method, event.path)
    request.idempotency_key = event.idempotency_key
    if not request.repeatable and not event.idempotency_key:
        raise Denied(Reason.KEY_MISSING)


def may_repeat(routes: tuple[Route, ...], method: str, path: str) -> bool:
    """Return whether a call is idempotent by its route; False if no route matches it."""
    for route in routes:
        if route.method == method and path.startswith(route.path):
            return route.repeat
    return False


def admit_model(state: State, request: RequestState, event: RequestArrived, caller: Caller) -> None:
    """Fill in the fields of a model call, and fix its adapter version.

    Raises
    ------
    Denied
        If the adapter is unknown, its version is not published, or the caller may not use it.
    """
    name, separator, version = event.target.partition("@")
    adapter = state.config.adapters_by_name.get(name)
    if adapter is None:
        raise Denied(Reason.UNKNOWN_ADAPTER)
    if "*" not in adapter.callers and caller.name not in adapter.callers:
        raise Denied(Reason.CALLER_NOT_ALLOWED)
    number = version if separator else str(adapter.current)
    if adapter.versions.get(number) is not VersionState.PUBLISHED:
        raise Denied(Reason.UNKNOWN_VERSION)
    request.ref = AdapterRef(name, int(number))
    request.base = adapter.base


def start(state: State, request: RequestState, at: float, out: list[Effect]) -> None:
    """Dispatch a request, queue it, hold it for isolation, or refuse it.

    Called for the first attempt and for each retry.
    """
    if quarantine.is_quarantined(state, request.content_digest):
        refuse_request(state, request, Reason.QUARANTINED, "route", at, out)
        return
    if request.service:
        endpoint = routing.select_service_endpoint(state, request)
        if endpoint is None:
            refuse_request(state, request, Reason.NO_ENDPOINT, "route", at, out)
            return
        dispatch(state, request, endpoint, at, out)
        return
    if quarantine.is_suspect(state, request.content_digest):
        isolation.hold_for_isolation(state, request, at, out)
        return
    endpoint = routing.select_endpoint(state, request, at)
    if endpoint is not None:
        dispatch(state, request, endpoint, at, out)
        return
    enqueue_or_refuse(state, request, at, out)


def enqueue_or_refuse(state: State, request: RequestState, at: float, out: list[Effect]) -> None:
    """Queue a request, or refuse it if it could not be served in time or the queue is full.

    If the queue exceeds its limit, a request of the lowest priority is refused instead.
    """
    reason = admission.rejection_reason(state, request, at)
    if reason is not None:
        refuse_request(state, request, reason, "admit", at, out)
        return
    request.stage = Stage.WAITING
    admission.enqueue(state, request, at, out, at_front=request.attempt > 0)
    victim = admission.select_overflow_victim(state)
    if victim is not None:
        refuse_pending(state, state.requests[victim], Reason.QUEUE_FULL, at, out)


def refuse_pending(state: State, request: RequestState, reason: Reason, at: float, out) -> None:
    """Refuse a request that has no attempt under way, and remove it from its queue."""
    cancel_wait(state, request, out)
    refuse_request(state, request, reason, "wait", at, out)


def dispatch(
    state: State,
    request: RequestState,
    endpoint: str,
    at: float,
    out: list[Effect],
    alone: bool = False,
) -> None:
    """Send a request to an endpoint.

    Parameters
    ----------
    alone : bool
        Whether the endpoint was drained so that this request runs alone there.
    """
    request.stage = Stage.RUNNING
    request.attempt += 1
    request.endpoint = endpoint
    request.dispatched_at = at
    request.endpoint_boot = membership.known_boot(state, endpoint)
    request.alone = alone
    load_views.on_attempt_started(state, endpoint, at)
    cross_region.charge(state, endpoint, request.body_bytes, "out", out)
    if request.ref is not None:
        request.held_grant = grants.find(state, request.ref, endpoint)
        grants.start_attempt(request.held_grant, at)
    identity = (request.request_id, request.attempt, endpoint)
    out.append(Dispatch(*identity, request.ref, request.priority, alone))


def dispatch_waiting(state: State, ref: AdapterRef, at: float, out: list[Effect]) -> None:
    """Dispatch waiting requests of an adapter version while an endpoint has capacity."""
    while dispatch_next(state, ref, at, out):
        pass


def dispatch_next(state: State, ref: AdapterRef, at: float, out: list[Effect]) -> bool:
    """Dispatch the next waiting request of an adapter version, or isolate it if it is a suspect.

    Returns
    -------
    bool
        Whether a request left the queue.
    """
    request = admission.next_waiting(state, ref)
    if request is None:
        return False
    if quarantine.is_suspect(state, request.content_digest):
        admission.dequeue(state, request)
        isolation.hold_for_isolation(state, request, at, out)
        return True
    endpoint = routing.select_endpoint(state, request, at)
    if endpoint is None:
        return False
    admission.dequeue(state, request)
    dispatch(state, request, endpoint, at, out)
    return True


def dispatch_all_waiting(state: State, at: float, out: list[Effect]) -> None:
    """Dispatch waiting requests of all adapter versions that this entry has grants for.

    Called at each tick, because an endpoint may gain capacity without an event at this entry.
    """
    for ref in list(state.admission.waiting_refs):
        if ref in state.grants.by_ref:
            dispatch_waiting(state, ref, at, out)


def release_attempt(state: State, request: RequestState, at: float, out: list[Effect]) -> None:
    """Release the endpoint load and the grant that an ended attempt held."""
    took_s = at - request.dispatched_at
    load_views.on_attempt_ended(state, request.endpoint, took_s, at)
    if request.held_grant is not None:
        grants.end_attempt(state, request.held_grant, at, out)
        request.held_grant = None


def dispatch_to_endpoint(state: State, endpoint: str, at: float, out: list[Effect]) -> None:
    """Fill an endpoint's free capacity with requests that wait for adapters granted there.

    The adapter version with the highest waiting priority comes first, then the one with the
    oldest waiting request.
    """
    queues = state.admission.queues
    granted = state.grants.refs_by_endpoint.get(endpoint, ())
    refs = [ref for ref in granted if ref in state.admission.waiting_refs]
    while refs and endpoint in state.members.endpoints and routing.has_capacity(state, endpoint):
        ref = min(refs, key=lambda ref: (-queues[ref].highest_priority(), queues[ref].oldest_at()))
        if not dispatch_next(state, ref, at, out) or ref not in state.admission.waiting_refs:
            refs.remove(ref)


def refuse_request(
    state: State,
    request: RequestState,
    reason: Reason,
    step: str,
    at: float,
    out: list[Effect],
    retry_after_s: float | None = None,
    ran: Ran = Ran.NO,
) -> None:
    """Remove a request and send its caller the final refusal.

    Parameters
    ----------
    step : str
        Step at which it is refused, for the refusal and the metric.
    retry_after_s : float or None
        Seconds after which the caller may retry; None means the expected wait for the adapter,
        at least ``MIN_RETRY_AFTER_S``.
    ran : Ran
        Whether the call ran, as its record says. An earlier attempt of this request that may
        have run overrides it with ``UNKNOWN``.
    """
    state.requests.pop(request.request_id, None)
    if retry_after_s is None:
        expected_s = admission.expected_wait_s(state, request, at)
        retry_after_s = max(expected_s or 0.0, MIN_RETRY_AFTER_S)
    if request.may_have_run:
        ran = Ran.UNKNOWN
    runs.record_refusal(state, request.request_id, ran, at, out)
    emit_refusal(
        out, request.request_id, Refusal(reason, ran, step, request.endpoint, retry_after_s)
    )


def emit_refusal(out: list[Effect], request_id: str, refusal: Refusal) -> None:
    """Emit a refusal and count its reason."""
    out.append(Count("refused", (refusal.reason, refusal.step)))
    out.append(Refuse(request_id, refusal))


def on_caller_left(state: State, request_id: str, at: float, out: list[Effect]) -> None:
    """Drop a request whose caller disconnected while no attempt was under way.

    A running attempt reports the disconnect itself, with outcome ``CANCELLED``.
    """
    request = state.requests.get(request_id)
    if request is not None and request.stage in PENDING_STAGES:
        refuse_pending(state, request, Reason.CALLER_LEFT, at, out)


def cancel_wait(state: State, request: RequestState, out: list[Effect]) -> None:
    """Remove a request from the wait queue or from the lead's isolation queue."""
    if request.stage == Stage.WAITING:
        admission.dequeue(state, request)
    elif request.stage == Stage.ISOLATING:
        isolation.end_isolation(state, request, out)


def refuse_quarantined(state: State, at: float, out: list[Effect]) -> None:
    """Refuse the pending requests whose content was quarantined since the last call."""
    digests = set(state.quarantine.newly_quarantined)
    state.quarantine.newly_quarantined.clear()
    for request in list(state.requests.values()):
        if request.content_digest in digests and request.stage in PENDING_STAGES:
            refuse_pending(state, request, Reason.QUARANTINED, at, out)


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Refuse requests that waited too long or have no lead, and dispatch the others.

    A request past its deadline whose record is not claimed yet is refused too.
    """
    for request in runs.find_expired_claims(state, at):
        refuse_request(
            state, request, Reason.RUN_NOT_RECORDED, "record", at, out, RETRY_AFTER_RECORD_S
        )
    for request in admission.pop_expired(state, at):
        refuse_pending(state, request, Reason.DEADLINE, at, out)
    for request in admission.find_without_lead(state, at):
        refuse_pending(state, request, Reason.NOT_READY, at, out)
    dispatch_all_waiting(state, at, out)


def refuse_late(state: State, request_ids: list[str], at: float, out: list[Effect]) -> None:
    """Refuse waiting requests whose adapter is expected only after their deadline."""
    for request_id in request_ids:
        refuse_pending(state, state.requests[request_id], Reason.NOT_READY_IN_TIME, at, out)


def on_run_claimed(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Continue a call after the write that claims its record ended."""
    request = find_recording_request(state, event)
    if request is not None:
        resume_after_claim(
            state, request, runs.on_claimed(state, request, event, out), event.at, out
        )


def on_run_read(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Continue a call whose record was read back after a claim without a known result."""
    request = find_recording_request(state, event)
    if request is not None:
        resume_after_claim(state, request, runs.on_read(state, request, event, out), event.at, out)


def find_recording_request(state: State, event: PlatformAnswered) -> RequestState | None:
    """Return the request that an answer about a record is for; None if it no longer waits."""
    request = state.requests.get(event.purpose.request_id)
    if request is None or request.stage is not Stage.RECORDING:
        return None
    return request


def resume_after_claim(state: State, request: RequestState, result, at: float, out) -> None:
    """Start, replay or refuse a call according to the result of its claim."""
    if result is runs.ClaimResult.WAIT:
        return
    if isinstance(result, ReplayAnswer):
        del state.requests[request.request_id]
        out.append(result)
    elif result is not runs.ClaimResult.START:
        ran = runs.ran_for_reason(result)
        refuse_request(state, request, result, "record", at, out, RETRY_AFTER_RECORD_S, ran)
    elif at >= request.wait_deadline_at:
        refuse_request(state, request, Reason.DEADLINE, "record", at, out)
    else:
        start(state, request, at, out)
