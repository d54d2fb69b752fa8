"""From a request's arrival to its final answer: place, send, try again, refuse."""

from __future__ import annotations

from poplarhoist.decisions.effects import Count, Observe
from poplarhoist.decisions.gateway import adapter_asks, crashes, endpoints, retry_budget, routing
from poplarhoist.decisions.gateway.configuration import (
    choose_service,
    find_route,
    find_service,
)
from poplarhoist.decisions.gateway.effects import Dispatch, ForwardFailure, LogRequest, Refuse
from poplarhoist.decisions.gateway.events import (
    AttemptEnded,
    Outcome,
    RequestArrived,
    ResponseStarted,
)
from poplarhoist.decisions.gateway.limits import ASK_RETRY_S
from poplarhoist.decisions.gateway.models import Refused
from poplarhoist.decisions.gateway.state import (
    EndpointState,
    GatewayState,
    RequestState,
    Stage,
)

# Seconds that an answer needs on its way back; an endpoint gets this much less time.
RESPONSE_MARGIN_S = 0.01
# Share of its objective after which a request is refused for which no endpoint is there, and for
# which no place is in sight: of those that have waited so long one in five still gets a place, and
# a caller who is told early can come back, and then gets the next place before others.
NO_ENDPOINT_WAIT_SHARE = 0.1
FULL_WAIT_SHARE = 0.25
# The same where the lead of the asked engine does not answer; long enough for another to be asked.
UNKNOWN_WAIT_SHARE = 0.75
# Seconds for which a lead's word that there is no place holds; it answers each question.
FULL_VIEW_FRESH_S = 2 * ASK_RETRY_S
# Seconds after which a caller may find a place where there is none now; an endpoint that restarts
# is missed for about that long.
RETRY_AFTER_S = 0.5
# Seconds for which a request stays with the engine that it asked; two engines that are both short
# of places must not pass it to and fro.
RECHOOSE_DELAY_S = 0.2
# Attempts that no endpoint ran, after which a request is given up.
MAX_DISPATCHES = 6
# Failures of the endpoint's own that are tried elsewhere where the request may repeat.
RETRYABLE_STATUSES = frozenset((500, 502, 503, 504))


def on_arrived(state: GatewayState, event: RequestArrived, out: list) -> None:
    """Find the route of a request and place it, or refuse it at once."""
    if state.configuration is None:
        refuse_unadmitted(event, Refused.NOT_CONFIGURED, RETRY_AFTER_S, out)
        return
    route = find_route(state, event.host, event.path)
    if route is None:
        refuse_unadmitted(event, Refused.NO_ROUTE, 0.0, out)
        return
    service = choose_service(state, route)
    retry_budget.record_request(state, service, event.at)
    if crashes.is_refused(state, event.content_digest):
        refuse_unadmitted(event, Refused.SUSPECT, RETRY_AFTER_S, out)
        return
    wait_s = route.timeout_s
    if event.deadline_s is not None:
        wait_s = min(wait_s, event.deadline_s)
    # A caller who was refused before comes back with less time than the route allows.
    passed_s = max(0.0, route.timeout_s - wait_s)
    request = RequestState(
        request_id=event.request_id,
        caller_id=event.caller_id,
        route=route,
        service=service,
        arrived_at=event.at,
        first_requested_at=event.at - passed_s,
        deadline_at=event.at + wait_s,
        latency_target_at=event.at + min(route.latency_target_s, wait_s),
        prompt=event.prompt,
        content_digest=event.content_digest,
    )
    state.requests[request.request_id] = request
    place_request(state, request, event.at, out)


def refuse_unadmitted(event: RequestArrived, reason: Refused, after_s: float, out: list) -> None:
    """Refuse a request that was not admitted."""
    out.append(Refuse(event.request_id, reason, False, after_s))
    fields = {"caller_id": event.caller_id, "reason": reason, "path": event.path}
    out.append(LogRequest("refused", event.request_id, fields))
    out.append(Count("refused", (reason.name.lower(), "arrive")))


def place_request(state: GatewayState, request: RequestState, at: float, out: list) -> None:
    """Send a request to an endpoint, let it wait for its adapter, or refuse it."""
    if at >= request.deadline_at - RESPONSE_MARGIN_S:
        refuse(state, request, Refused.DEADLINE, out)
        return
    spec = find_service(state, request.service)
    if spec is not None and spec.engine is not None and request.prompt is not None:
        choice = routing.choose_engine(state, request, at)
        if choice is None:
            wait_or_refuse(state, request, at, out)
        elif choice.has_adapter:
            dispatch(state, request, choice.endpoint, at, out)
        else:
            state.waiting.add(request.request_id)
            adapter_asks.ask_for_adapter(state, request, choice.endpoint.record.name, at, out)
        return
    view = routing.choose_plain_endpoint(state, request, at)
    if view is None:
        wait_or_refuse(state, request, at, out)
    else:
        dispatch(state, request, view, at, out)


def wait_or_refuse(state: GatewayState, request: RequestState, at: float, out: list) -> None:
    """Refuse a request for which no endpoint is there, unless one was lost just now."""
    waited_s = at - request.arrived_at
    if waited_s < NO_ENDPOINT_WAIT_SHARE * request.route.latency_target_s:
        state.waiting.add(request.request_id)
        return
    refuse(state, request, Refused.NO_ENDPOINT, out)


def dispatch(
    state: GatewayState, request: RequestState, view: EndpointState, at: float, out: list
) -> None:
    """Send a request to an endpoint."""
    stop_waiting(state, request)
    request.stage = Stage.RUNNING
    request.attempt += 1
    request.endpoint_name = view.record.name
    view.in_flight.add(request.request_id)
    if request.attempt == 1:
        out.append(Observe("wait_seconds", (request.route.kind,), at - request.arrived_at))
    version = 0
    prompt = request.prompt
    if prompt is not None:
        version = routing.required_version(state, prompt.key, at)
        view.prefill_tokens_by_request[request.request_id] = routing.uncached_prompt_tokens(
            view, prompt, at
        )
        routing.record_sent_segments(view, prompt, at)
        view.in_flight_by_adapter[prompt.key] = view.in_flight_by_adapter.get(prompt.key, 0) + 1
        view.unreported_used.add(prompt.key)
    out.append(
        Dispatch(
            request_id=request.request_id,
            attempt=request.attempt,
            endpoint=view.record,
            remaining_s=max(RESPONSE_MARGIN_S, request.deadline_at - at - RESPONSE_MARGIN_S),
            priority=request.route.priority,
            stream=request.route.kind == "stream",
            version=version,
        )
    )
    fields = {
        "caller_id": request.caller_id,
        "attempt": request.attempt,
        "endpoint": view.record.name,
        "waited_s": round(at - request.arrived_at, 4),
        "backlog_s": round(routing.backlog_s(view, at), 4),
        "view_age_s": round(min(at - view.lead_view_at, 999.0), 2),
    }
    if prompt is not None:
        fields |= {
            "adapter": str(prompt.key),
            "version": version,
            "tokens": prompt.tokens,
            "unread": view.prefill_tokens_by_request[request.request_id],
        }
    out.append(LogRequest("sent", request.request_id, fields))


def stop_waiting(state: GatewayState, request: RequestState) -> None:
    """Take a request out of what waits."""
    state.waiting.discard(request.request_id)
    if request.asked_engine:
        adapter_asks.withdraw_request(state, request)
    request.adapter_ready_at = float("inf")


def release_endpoint(state: GatewayState, request: RequestState) -> EndpointState | None:
    """Take a request off its endpoint's books."""
    view = state.endpoints.get(request.endpoint_name)
    if view is None or request.request_id not in view.in_flight:
        return view
    view.in_flight.discard(request.request_id)
    view.prefill_tokens_by_request.pop(request.request_id, None)
    if request.prompt is not None:
        key = request.prompt.key
        left = view.in_flight_by_adapter.get(key, 1) - 1
        if left > 0:
            view.in_flight_by_adapter[key] = left
        else:
            view.in_flight_by_adapter.pop(key, None)
        view.unreported_used.add(key)
    return view


def refuse(
    state: GatewayState, request: RequestState, reason: Refused, out: list, after_s=RETRY_AFTER_S
) -> None:
    """Give a request its final answer."""
    at = state.last_event_at
    fields = {
        "caller_id": request.caller_id,
        "reason": reason,
        "ran": request.possible_runs > 0,
        "attempt": request.attempt,
        "endpoint": request.endpoint_name,
        "asked": request.asked_engine,
        "waited_s": round(at - request.arrived_at, 3),
        **routing.headroom_log_fields(state, request, at),
    }
    stop_waiting(state, request)
    release_endpoint(state, request)
    state.requests.pop(request.request_id, None)
    ran = request.possible_runs > 0
    out.append(Refuse(request.request_id, reason, ran, 0.0 if ran else after_s))
    out.append(LogRequest("refused", request.request_id, fields))
    out.append(Count("refused", (reason.name.lower(), request.route.kind)))


def on_response_started(state: GatewayState, event: ResponseStarted, out: list) -> None:
    """Take note of the first byte of an answer."""
    request = state.requests.get(event.request_id)
    if request is None or request.attempt != event.attempt:
        return
    if not request.response_started:
        request.response_started_at = event.at
    request.response_started = True
    view = state.endpoints.get(request.endpoint_name)
    if view is None:
        return
    view.prefill_tokens_by_request.pop(request.request_id, None)
    if event.running >= 0:
        view.reported_load = event.running + max(0, event.waiting)
        view.load_reported_at = event.at
    if request.prompt is not None:
        key = request.prompt.key
        view.unreported_answered.add(key)
        if key.adapter and key not in view.held:
            view.held[key] = 1


def on_attempt_ended(state: GatewayState, event: AttemptEnded, out: list) -> None:
    """Finish a request, try it again or refuse it."""
    request = state.requests.get(event.request_id)
    if request is None or request.attempt != event.attempt:
        return
    view = release_endpoint(state, request)
    out.append(Count("attempt_ended", (event.outcome,)))
    if view is not None:
        record_endpoint_result(state, request, view, event, out)
    if request.caller_disconnected or event.outcome in (Outcome.DONE, Outcome.CANCELLED):
        finish(state, request, event, out)
        return
    if event.outcome not in (Outcome.NOT_SENT, Outcome.NOT_RUN):
        request.possible_runs += 1
    if may_retry(state, request, event):
        out.append(
            LogRequest(
                "again",
                request.request_id,
                {
                    "caller_id": request.caller_id,
                    "endpoint": request.endpoint_name,
                    "outcome": event.outcome,
                    "reason": event.reason,
                },
            )
        )
        request.stage = Stage.WAITING
        place_request(state, request, event.at, out)
        return
    end_failed_request(state, request, event, out)


def record_endpoint_result(
    state, request, view: EndpointState, event: AttemptEnded, out: list
) -> None:
    """Learn from the end of an attempt how an endpoint does."""
    key = request.prompt.key if request.prompt is not None else None
    match event.outcome:
        case Outcome.DONE:
            endpoints.record_result(view, False)
        case Outcome.FAILED:
            endpoints.record_result(view, True)
            request.avoided_endpoints.add(request.endpoint_name)
        case Outcome.NOT_SENT:
            endpoints.avoid_temporarily(view, event.at)
            request.avoided_endpoints.add(request.endpoint_name)
            if event.connection_refused:
                crashes.on_endpoint_crashed(state, request.endpoint_name, event.at, out)
        case Outcome.BROKEN:
            endpoints.record_result(view, True)
            request.avoided_endpoints.add(request.endpoint_name)
            crashes.record_broken_response(
                state, request.content_digest, request.endpoint_name, event.at
            )
        case Outcome.NOT_RUN if key is not None and key.adapter:
            endpoints.record_absent(view, key, event.at)
        case Outcome.NOT_RUN:
            request.avoided_endpoints.add(request.endpoint_name)


def may_retry(state: GatewayState, request: RequestState, event: AttemptEnded) -> bool:
    """Return whether a request may be sent again, and spend the budget for it."""
    if event.at >= request.deadline_at - RESPONSE_MARGIN_S or request.attempt >= MAX_DISPATCHES:
        return False
    if event.outcome is Outcome.TIMED_OUT:
        return False
    if request.possible_runs:
        if not request.route.repeatable or request.possible_runs >= request.route.max_attempts:
            return False
        if event.outcome is Outcome.FAILED and event.status not in RETRYABLE_STATUSES:
            return False
    if event.delivered and not request.route.resumable:
        return False
    if crashes.is_refused(state, request.content_digest):
        return False
    return retry_budget.try_spend_retry(state, request.service, event.at)


def end_failed_request(
    state: GatewayState, request: RequestState, event: AttemptEnded, out: list
) -> None:
    """Give the final answer of a request whose last attempt failed."""
    if event.outcome is Outcome.FAILED:
        state.requests.pop(request.request_id, None)
        out.append(ForwardFailure(request.request_id))
        log_end(request, event, out)
        return
    reason = Refused.DEADLINE if event.outcome is Outcome.TIMED_OUT else Refused.LOST
    if event.outcome in (Outcome.NOT_RUN, Outcome.NOT_SENT):
        reason = Refused.RETRY_BUDGET
    refuse(state, request, reason, out)


def finish(state: GatewayState, request: RequestState, event: AttemptEnded, out: list) -> None:
    """Forget a request that has its answer, or whose caller left."""
    state.requests.pop(request.request_id, None)
    log_end(request, event, out)


def log_end(request: RequestState, event: AttemptEnded, out: list) -> None:
    """Log the end of a request."""
    fields = {
        "caller_id": request.caller_id,
        "endpoint": request.endpoint_name,
        "outcome": event.outcome,
        "status": event.status,
        "took_s": round(event.at - request.arrived_at, 4),
        "first_s": (
            round(request.response_started_at - request.arrived_at, 4)
            if request.response_started
            else None
        ),
        "attempt": request.attempt,
        "late": request.response_started
        and request.response_started_at > request.latency_target_at,
    }
    out.append(LogRequest("answered", request.request_id, fields))
    kind = request.route.kind
    out.append(Observe("request_seconds", (kind, event.outcome), event.at - request.arrived_at))
    if request.response_started:
        first_s = request.response_started_at - request.arrived_at
        out.append(Observe("first_byte_seconds", (kind,), first_s))


def on_caller_disconnected(state: GatewayState, request_id: str, at: float, out: list) -> None:
    """Forget a request whose caller left; the shell cancels its attempt."""
    request = state.requests.get(request_id)
    if request is None:
        return
    request.caller_disconnected = True
    if request.stage is Stage.WAITING:
        stop_waiting(state, request)
        state.requests.pop(request_id, None)
    out.append(LogRequest("caller-left", request_id, {"caller_id": request.caller_id}))


def on_tick(state: GatewayState, at: float, out: list) -> None:
    """Send what its adapter is ready for, and place anew what waited long enough."""
    for request_id in sorted(state.waiting):
        request = state.requests.get(request_id)
        if request is None:
            state.waiting.discard(request_id)
        elif at >= request.deadline_at - RESPONSE_MARGIN_S:
            refuse(state, request, Refused.DEADLINE, out)
        elif (
            request.asked_engine
            and request.adapter_ready_at == float("inf")
            and has_waited_too_long(state, request, at)
        ):
            refuse(state, request, Refused.NO_PLACE, out)
        elif request.asked_engine:
            if at >= request.adapter_ready_at:
                view = state.endpoints.get(request.asked_engine)
                if view is None:
                    rechoose_engine(state, request, at, out)
                else:
                    dispatch(state, request, view, at, out)
        else:
            place_request(state, request, at, out)


def has_waited_too_long(state: GatewayState, request: RequestState, at: float) -> bool:
    """Return whether a request has waited so long for a place that its caller had better know."""
    view = state.endpoints.get(request.asked_engine)
    # If nobody has said that there is no place, the lead may be gone, and another one take over.
    told = view is not None and at - view.lead_view_at <= FULL_VIEW_FRESH_S
    share = FULL_WAIT_SHARE if told else UNKNOWN_WAIT_SHARE
    return at - request.arrived_at >= share * request.route.latency_target_s


def rechoose_engine(state: GatewayState, request: RequestState, at: float, out: list) -> None:
    """Choose again for a request whose engine is gone or full, if there is a better one."""
    if request.asked_engine in state.endpoints:
        if at - request.asked_at < RECHOOSE_DELAY_S:
            return
        choice = routing.choose_engine(state, request, at)
        if choice is None:
            return
        same = choice.endpoint.record.name == request.asked_engine
        if not choice.has_adapter and (
            same or not routing.has_headroom(state, choice.endpoint, at)
        ):
            return
    adapter_asks.withdraw_request(state, request)
    place_request(state, request, at, out)
