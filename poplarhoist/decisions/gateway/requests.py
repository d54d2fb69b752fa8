"""Handles a request from its arrival to its final response: route, dispatch, retry or refuse."""

from __future__ import annotations

from poplarhoist.decisions.common_effects import Count, Observe
from poplarhoist.decisions.gateway import (
    adapter_asks,
    brittle,
    connection_reuse,
    crashes,
    endpoints,
    expected_waits,
    hedging,
    links,
    pauses,
    quotas,
    relays,
    request_limits,
    request_logs,
    retry_budget,
    routing,
    slot_search,
    streams,
    teams,
)
from poplarhoist.decisions.gateway.configuration import choose_service, find_route, find_service
from poplarhoist.decisions.gateway.effects import Dispatch, ForwardFailure, LogRequest, Refuse
from poplarhoist.decisions.gateway.endpoint_state import EndpointState
from poplarhoist.decisions.gateway.events import (
    AttemptEnded,
    EndpointNotice,
    Outcome,
    RequestAbandoned,
    RequestArrived,
    ResponseStarted,
)
from poplarhoist.decisions.gateway.limits import ASK_RETRY_S
from poplarhoist.decisions.gateway.models import Refused
from poplarhoist.decisions.gateway.request_state import RESPONSE_MARGIN_S, RequestState, Stage
from poplarhoist.decisions.gateway.state import GatewayState

# Share of the latency target after which a request is refused if no endpoint is available.
NO_ENDPOINT_WAIT_SHARE = 0.1
# Share of the latency target after which a request is refused if the lead reports no slot for its
# adapter. Only 20% of the requests that still wait at this point get a slot. A caller that is
# refused early can retry, and its retry gets the next slot before others.
NO_SLOT_WAIT_SHARE = 0.25
# The same if the lead of the asked engine does not answer; long enough to ask another lead.
SILENT_LEAD_WAIT_SHARE = 0.75
# Seconds for which a View without a slot for the adapter stays valid; the lead answers each Ask.
NO_SLOT_VIEW_FRESH_S = 2 * ASK_RETRY_S
# Retry hint in seconds: a slot may be free by then, and a restarting endpoint is missing for about
# that long.
RETRY_AFTER_S = 0.5
# Seconds for which a request stays with the engine that it asked, so that two engines that are both
# short of slots do not pass it back and forth.
REROUTE_DELAY_S = 0.2
# Attempts after which a request is given up, including those that no endpoint ran.
MAX_DISPATCHES = 6
# Error statuses of an endpoint after which a repeatable request is sent to another endpoint.
RETRYABLE_STATUSES = frozenset((500, 502, 503, 504))
# Outcomes of attempts that the endpoint has certainly answered.
ANSWERED_OUTCOMES = frozenset((Outcome.DONE, Outcome.FAILED, Outcome.NOT_RUN))
# Outcomes of attempts whose endpoint had no cause, or no time, to answer.
SILENT_OUTCOMES = frozenset((Outcome.STALE, Outcome.BROKEN_OFF))
# Reasons of attempts whose response was past a bound, malformed, or unclear about its end; names of
# exceptions.
BOUND_REASONS = frozenset(("HeadTooLong", "BodyTooLong", "BadHead", "BadFraming"))


def on_arrived(state: GatewayState, event: RequestArrived, effects: list) -> None:
    """Find the route of a request and choose its endpoint, or refuse it at once."""
    if state.configuration is None:
        refuse_unadmitted(state, event, Refused.NOT_CONFIGURED, RETRY_AFTER_S, effects)
        return
    route = find_route(state, event.host, event.path)
    if route is None:
        refuse_unadmitted(state, event, Refused.NO_ROUTE, 0.0, effects)
        return
    relay = event.relay
    if relay is not None and state.configuration.version < relay.configuration_version:
        refuse_unadmitted(state, event, Refused.NOT_CONFIGURED, RETRY_AFTER_S, effects)
        return
    team = teams.identify(state, event, route)
    if team is Refused.UNKNOWN_KEY:
        refuse_unadmitted(state, event, team, 0.0, effects)
        return
    service = choose_service(state, route)
    if relay is None:
        retry_budget.record_request(state, service, event.at)
    is_refused = crashes.is_refused(state, event.content_digest, event.prompt, event.at, effects)
    is_trial = is_refused and crashes.begin_trial(
        state, event.content_digest, event.prompt, event.at
    )
    if is_refused and not is_trial:
        retry_after_s = crashes.retry_after_s(state, event.at)
        refuse_unadmitted(state, event, Refused.SUSPECT, retry_after_s, effects, team)
        return
    timeout_s = route.timeout_s
    if event.deadline_s is not None:
        timeout_s = min(timeout_s, event.deadline_s)
    # The retry of a refused caller has less time left than the route allows; the difference is how
    # long the caller has waited already.
    elapsed_s = max(0.0, route.timeout_s - timeout_s)
    request = RequestState(
        request_id=event.request_id,
        caller_id=event.caller_id,
        route=route,
        service=service,
        arrived_at=event.at,
        first_requested_at=event.at - elapsed_s,
        deadline_at=event.at + timeout_s,
        latency_target_at=event.at + min(route.latency_target_s, timeout_s),
        prompt=event.prompt,
        content_digest=event.content_digest,
        is_trial=is_trial,
        last_event_id=event.last_event_id,
        resumed_caller_id=event.resumed_caller_id,
        team=team,
    )
    if relay is not None:
        request.is_relayed = True
        request.possible_runs = relay.possible_runs
        request.software_version = relay.software_version
    state.requests[request.request_id] = request
    if quotas.admit(state, request, event.at, effects) is quotas.Admission.ADMITTED:
        place_request(state, request, event.at, effects)


def refuse_unadmitted(
    state: GatewayState, event: RequestArrived, reason: Refused, retry_after_s, effects, team=None
) -> None:
    """Refuse a request that has no state yet."""
    effects.append(Refuse(event.request_id, reason, False, retry_after_s))
    configuration = state.configuration
    fields = {
        "caller_id": event.caller_id,
        "reason": reason,
        "step": "arrive",
        "host": event.host,
        "path": event.path,
        "configuration": configuration.version if configuration is not None else None,
        "for_entry": event.relay is not None,
        **({"team": team.name} if team is not None else {}),
    }
    effects.append(LogRequest("refused", event.request_id, fields))
    # The second label is the kind of the route, or "arrive" for a request refused on arrival.
    effects.append(Count("refused", (reason.name.lower(), "arrive")))
    teams.count_refusal(state, team, reason, effects)


def place_request(state: GatewayState, request: RequestState, at: float, effects: list) -> None:
    """Send a request to an endpoint, let it wait for its adapter, or refuse it."""
    if at >= request.deadline_at - RESPONSE_MARGIN_S:
        refuse(state, request, Refused.DEADLINE, effects)
        return
    if relay_request(state, request, at, effects):
        return
    placement = streams.check_placement(state, request, at, effects)
    if placement is streams.Placement.WAIT:
        state.waiting.add(request.request_id)
        return
    if placement is streams.Placement.REFUSE:
        # Another try would find the same versions, so there is no hint to come back.
        refuse(state, request, Refused.SOFTWARE_VERSION, effects, retry_after_s=0.0)
        return
    spec = find_service(state, request.service)
    if spec is not None and spec.engine is not None and request.prompt is not None:
        choice = routing.choose_engine(state, request, at)
        if choice is None:
            wait_or_refuse(state, request, at, effects)
        elif choice.has_adapter:
            dispatch(state, request, choice.endpoint, at, effects)
        else:
            state.waiting.add(request.request_id)
            adapter_asks.ask_for_adapter(state, request, choice.endpoint.record.name, at, effects)
        return
    endpoint = routing.choose_plain_endpoint(state, request, at)
    if endpoint is None:
        wait_or_refuse(state, request, at, effects)
    else:
        dispatch(state, request, endpoint, at, effects)


def relay_request(state: GatewayState, request: RequestState, at: float, effects: list) -> bool:
    """Send a request to another entry if it needs that and there is one; return whether it went."""
    entry = relays.choose_entry(state, request, at)
    if entry is None:
        return False
    stop_waiting(state, request, at, effects)
    if quotas.admit(state, request, at, effects) is quotas.Admission.ADMITTED:
        relays.start(state, request, entry, request.remaining_s(at), at, effects)
    return True


def wait_or_refuse(state: GatewayState, request: RequestState, at: float, effects: list) -> None:
    """Refuse a request without an endpoint, unless it arrived just now: an endpoint may return.

    It is refused at once if the only reason is that its endpoints take no more requests now, and
    none ends its pause before.
    """
    may_wait_s = request.arrived_at + NO_ENDPOINT_WAIT_SHARE * request.route.latency_target_s - at
    busy = [
        endpoint
        for endpoint in endpoints.service_endpoints(state, request)
        if streams.runs_software(endpoint, request)
        and not endpoints.takes_requests(state, endpoint, at)
    ]
    full = [endpoint for endpoint in busy if brittle.is_full(endpoint)]
    if full:
        # Its place becomes free with any response, or another entry has one.
        brittle.want_places(state, full, request, at, effects)
        waited_s = at - request.arrived_at
        may_wait_s = NO_SLOT_WAIT_SHARE * request.route.latency_target_s - waited_s
    elif busy and not any(pauses.ends_within(endpoint, may_wait_s, at) for endpoint in busy):
        free_in_s = min(endpoints.free_in_s(state, endpoint, at) for endpoint in busy)
        # Spread, so that the callers that are refused now do not come back together.
        retry_after_s = max(RETRY_AFTER_S, free_in_s) * state.random.uniform(1.0, 2.0)
        refuse(state, request, Refused.LIMITED, effects, retry_after_s)
        return
    if may_wait_s > 0.0:
        state.waiting.add(request.request_id)
        return
    if busy:
        retry_after_s = RETRY_AFTER_S * state.random.uniform(1.0, 2.0)
        refuse(state, request, Refused.LIMITED, effects, retry_after_s)
        return
    refuse(state, request, Refused.NO_ENDPOINT, effects)


def dispatch(
    state: GatewayState, request: RequestState, endpoint: EndpointState, at: float, effects: list
) -> None:
    """Send a request to an endpoint."""
    if not request.is_trial and crashes.is_refused(
        state, request.content_digest, request.prompt, at, effects
    ):
        refuse(state, request, Refused.SUSPECT, effects, crashes.retry_after_s(state, at))
        return
    stop_waiting(state, request, at, effects)
    needed_version = routing.newer_version_needed(state, request, endpoint, at)
    if needed_version:
        request.least_version = needed_version
        place_request(state, request, at, effects)
        return
    if quotas.admit(state, request, at, effects) is quotas.Admission.WAITING:
        return
    record = endpoint.record
    request.begin_attempt(at, record.name, record.incarnation, record.software_version)
    request_limits.record_sent(endpoint)
    endpoint.in_flight.add(request.request_id)
    if request.attempt == 1:
        effects.append(Observe("wait_seconds", (request.route.kind,), at - request.arrived_at))
    version = 0
    prompt = request.prompt
    if prompt is not None:
        version = routing.expected_version(state, endpoint, request, at)
        request.attempt_version = version
        routing.record_sent(endpoint, request, at)
        endpoint.in_flight_by_adapter[prompt.key] = (
            endpoint.in_flight_by_adapter.get(prompt.key, 0) + 1
        )
        endpoint.unreported_used.add(prompt.key)
    effects.append(
        Dispatch(
            request_id=request.request_id,
            attempt=request.attempt,
            endpoint=endpoint.record,
            remaining_s=request.remaining_s(at),
            priority=teams.engine_priority(request),
            stream=request.route.kind == "stream",
            version=version,
            team=teams.told_team(state, request),
            may_reuse=connection_reuse.may_reuse(state, request, at),
        )
    )
    fields = {
        **request.log_ids(),
        "attempt": request.attempt,
        "endpoint": endpoint.record.name,
        "incarnation": endpoint.record.incarnation,
        "software": endpoint.record.software_version,
        "content": request.content_digest,
        "limit_per_s": endpoint.limit.requests_per_s,
        "trial": request.is_trial,
        "for_entry": request.is_relayed,
        "waited_s": round(at - request.arrived_at, 4),
        **routing.backlog_log_fields(endpoint, at),
    }
    if prompt is not None:
        fields |= {
            "adapter": str(prompt.key),
            "version": version,
            "tokens": prompt.tokens,
            # Prompt tokens that need prefill.
            "unread": endpoint.prefill_tokens_by_request[request.request_id],
            "segments": [segment.name for segment in prompt.prefix_segments],
        }
    if request.last_event_id:
        fields |= {
            "resumed_caller_id": request.resumed_caller_id,
            "after_event": request.last_event_id,
        }
    effects.append(LogRequest("sent", request.request_id, fields))
    hedging.on_sent(state, request)
    # A trial that fails is not tried at another endpoint.
    request.is_trial = False


def stop_waiting(state: GatewayState, request: RequestState, at: float, effects: list) -> None:
    """Remove a request from the waiting requests and from its pending Ask."""
    state.waiting.discard(request.request_id)
    if request.asked_engine:
        adapter_asks.withdraw_request(state, request, at, effects)
    request.adapter_ready_at = float("inf")


def release_endpoint(state: GatewayState, request: RequestState) -> EndpointState | None:
    """Remove a request from its endpoint's requests in flight.

    Returns
    -------
    EndpointState or None
        The endpoint of the latest attempt; None if it has been removed.
    """
    endpoint = state.endpoints.get(request.endpoint_name)
    if endpoint is None or request.request_id not in endpoint.in_flight:
        return endpoint
    endpoint.in_flight.discard(request.request_id)
    endpoint.prefill_tokens_by_request.pop(request.request_id, None)
    if request.prompt is not None:
        key = request.prompt.key
        remaining = endpoint.in_flight_by_adapter.get(key, 1) - 1
        if remaining > 0:
            endpoint.in_flight_by_adapter[key] = remaining
        else:
            endpoint.in_flight_by_adapter.pop(key, None)
        endpoint.unreported_used.add(key)
    return endpoint


def refuse(
    state: GatewayState,
    request: RequestState,
    reason: Refused,
    effects: list,
    retry_after_s=RETRY_AFTER_S,
    **more_log_fields: object,
) -> None:
    """Refuse a request with its final response, and forget it.

    A request that may have run gets no retry hint. Further keyword arguments are log fields.
    """
    at = state.last_event_at
    fields = {
        **request.log_ids(),
        "reason": reason,
        "ran": request.possible_runs > 0,
        "attempt": request.attempt,
        "endpoint": request.endpoint_name,
        "asked": request.asked_engine,
        "waited_s": round(at - request.arrived_at, 3),
        **routing.headroom_log_fields(state, request, at),
        **more_log_fields,
    }
    stop_waiting(state, request, at, effects)
    release_endpoint(state, request)
    quotas.refund(state, request)
    state.requests.pop(request.request_id, None)
    ran = request.possible_runs > 0
    effects.append(Refuse(request.request_id, reason, ran, 0.0 if ran else retry_after_s))
    effects.append(LogRequest("refused", request.request_id, fields))
    effects.append(Count("refused", (reason.name.lower(), request.route.kind)))
    teams.count_refusal(state, request.team, reason, effects)


def on_response_started(state: GatewayState, event: ResponseStarted, effects: list) -> None:
    """Record the first byte of a response, and what it says of the endpoint's load and adapters."""
    request = state.requests.get(event.request_id)
    if request is None or not request.select_attempt(event.attempt):
        return
    if request.attempt_started_at is None:
        request.attempt_started_at = event.at
        hedging.record_first_byte(state, request, event.at)
    if not request.response_started:
        request.response_started_at = event.at
    request.response_started = True
    if request.relay:
        return
    links.on_answered(state, request.attempt_sent_at, event.at, effects)
    streams.on_first_bytes(state, request, event.at, effects)
    apply_notice(state, request, event.notice, event.at, effects)
    endpoint = state.endpoints.get(request.endpoint_name)
    if endpoint is None:
        return
    endpoint.prefill_tokens_by_request.pop(request.request_id, None)
    expected_waits.record_load(endpoint, event.notice.load, event.at)
    if request.prompt is not None:
        key = request.prompt.key
        endpoint.unreported_answered.add(key)
        if key.adapter and key not in endpoint.held:
            endpoint.held[key] = 1


def apply_notice(
    state: GatewayState, request: RequestState, notice: EndpointNotice, at: float, effects: list
) -> None:
    """Apply what the head of a response says of its endpoint, unless that has restarted since."""
    endpoint = state.find_run(request.endpoint_name, request.attempt_incarnation)
    if endpoint is None:
        return
    pauses.on_notice(endpoint, notice.retry_after_s, at, effects)
    sent_at = request.attempt_sent_at
    request_limits.on_notice(state, endpoint, notice.requests_per_s, sent_at, at, effects)
    brittle.on_notice(state, endpoint, notice.bears_per_s, sent_at, at, effects)
    expected_waits.on_load(state, endpoint, notice.load, at, effects)


def on_attempt_ended(state: GatewayState, event: AttemptEnded, effects: list) -> None:
    """Finish a request, retry it or refuse it."""
    request = state.requests.get(event.request_id)
    if request is None or not request.select_attempt(event.attempt):
        return
    effects.append(Count("attempt_ended", (event.outcome,)))
    if event.reason in BOUND_REASONS:
        effects.append(Count("response_past_bound", (event.reason,)))
    if request.relay:
        on_relay_ended(state, request, event, effects)
        return
    endpoint = release_endpoint(state, request)
    if event.outcome in ANSWERED_OUTCOMES:
        links.on_answered(state, request.attempt_sent_at, event.at, effects)
    elif event.outcome is Outcome.NOT_SENT:
        links.on_failed(state, request.endpoint_name, request.attempt_sent_at, event.at, effects)
    elif request.attempt_started_at is None and event.outcome not in SILENT_OUTCOMES:
        links.on_unanswered(state, request.endpoint_name, request.attempt_sent_at)
    if event.notice is not None:
        apply_notice(state, request, event.notice, event.at, effects)
    if endpoint is not None:
        record_endpoint_result(state, request, endpoint, event, effects)
    if request.caller_disconnected or event.outcome in (Outcome.DONE, Outcome.CANCELLED):
        hedging.on_decided(state, request, event, effects)
        finish(state, request, event, effects)
        return
    if event.outcome not in (Outcome.NOT_SENT, Outcome.NOT_RUN):
        request.possible_runs += 1
    if event.delivered and request.software_version is None:
        request.software_version = request.attempt_software
    if hedging.go_on_with_other(state, request, event, effects):
        return
    if may_retry(state, request, event, effects):
        effects.append(
            LogRequest(
                "again",
                request.request_id,
                {
                    **request.log_ids(),
                    "endpoint": request.endpoint_name,
                    "outcome": event.outcome,
                    "reason": event.reason,
                    **event.body_end.log_fields(),
                },
            )
        )
        request.stage = Stage.WAITING
        request.waits_again_since = event.at
        same_endpoint = connection_reuse.find_endpoint_again(state, request, event)
        if same_endpoint is not None:
            dispatch(state, request, same_endpoint, event.at, effects)
        else:
            place_request(state, request, event.at, effects)
        return
    end_failed_request(state, request, event, effects)


def on_relay_ended(
    state: GatewayState, request: RequestState, event: AttemptEnded, effects: list
) -> None:
    """Finish a request that another entry was to pass on, or refuse it.

    It is sent again only if that entry did not get it.
    """
    entry = relays.release(state, request)
    if request.caller_disconnected or event.outcome in (Outcome.DONE, Outcome.CANCELLED):
        finish(state, request, event, effects)
    elif event.outcome is Outcome.NOT_SENT:
        if entry is not None:
            relays.avoid_temporarily(entry, event.at)
        request.stage = Stage.WAITING
        place_request(state, request, event.at, effects)
    elif event.outcome is Outcome.NOT_RUN:
        retry_after_s = event.notice.retry_after_s if event.notice is not None else None
        refuse(
            state,
            request,
            Refused.RELAY,
            effects,
            RETRY_AFTER_S if retry_after_s is None else retry_after_s,
        )
    else:
        request.possible_runs += 1
        end_failed_request(state, request, event, effects)


def record_endpoint_result(
    state, request, endpoint: EndpointState, event: AttemptEnded, effects: list
) -> None:
    """Update the state of an endpoint by the result of an attempt.

    An endpoint that failed, could not be reached, broke off, did not run the request or did not begin
    it in time is avoided by the request from now on. After NOT_RUN of a request with an adapter, only
    the adapter is recorded as absent.
    """
    expected_waits.on_result(state, request, endpoint, event)
    key = request.prompt.key if request.prompt is not None else None
    is_turned_away = event.outcome is Outcome.NOT_RUN and event.status == 503
    if is_turned_away:
        brittle.on_turned_away(state, endpoint, event.at, effects)
    match event.outcome:
        case Outcome.DONE:
            endpoints.record_result(endpoint, False)
            crashes.on_answered(state, request, event.at)
        case Outcome.FAILED:
            endpoints.record_result(endpoint, True)
            request.avoided_endpoints.add(request.endpoint_name)
        case Outcome.NOT_SENT:
            endpoints.avoid_temporarily(endpoint, event.at)
            request.avoided_endpoints.add(request.endpoint_name)
            if event.connection_refused:
                crashes.on_endpoint_crashed(state, endpoint.record, event.at, effects)
        case Outcome.BROKEN:
            endpoints.record_result(endpoint, True)
            request.avoided_endpoints.add(request.endpoint_name)
            if not brittle.explains_fall(endpoint, event.at):
                crashes.on_attempt_broken(state, request, endpoint, event, effects)
        case Outcome.BROKEN_OFF:
            # It is slow, or has a long queue.
            request.avoided_endpoints.add(request.endpoint_name)
        case Outcome.NOT_RUN if is_turned_away and event.says_busy:
            # It is busy, which says nothing of its adapters.
            request.avoided_endpoints.add(request.endpoint_name)
        case Outcome.NOT_RUN if key is not None and key.adapter:
            endpoints.record_absent(endpoint, key, event.at)
        case Outcome.NOT_RUN:
            request.avoided_endpoints.add(request.endpoint_name)


def may_retry(
    state: GatewayState, request: RequestState, event: AttemptEnded, effects: list
) -> bool:
    """Return whether a request may be sent again.

    If so, a retry is spent from the budget, unless nothing has reached the endpoint.
    """
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
    if crashes.is_refused(state, request.content_digest, request.prompt, event.at, effects):
        return False
    if event.outcome is Outcome.NOT_SENT:
        return True
    return retry_budget.try_spend_retry(state, request.service, event.at)


def end_failed_request(
    state: GatewayState, request: RequestState, event: AttemptEnded, effects: list
) -> None:
    """End a request whose last attempt failed: pass on the endpoint's error, or refuse it."""
    if event.outcome is Outcome.FAILED:
        state.requests.pop(request.request_id, None)
        effects.append(ForwardFailure(request.request_id))
        request_logs.log_end(request, event, effects)
        return
    reason = Refused.DEADLINE if event.outcome is Outcome.TIMED_OUT else Refused.LOST
    if event.outcome in (Outcome.NOT_RUN, Outcome.NOT_SENT):
        # Stands for every limit of `may_retry`, not only for the retry budget.
        reason = Refused.RETRY_BUDGET
    refuse(
        state,
        request,
        reason,
        effects,
        outcome=event.outcome,
        cause=event.reason,
        **event.body_end.log_fields(),
    )


def finish(state: GatewayState, request: RequestState, event: AttemptEnded, effects: list) -> None:
    """Forget a request that has its response, or whose caller disconnected."""
    state.requests.pop(request.request_id, None)
    request_logs.log_end(request, event, effects)


def on_abandoned(state: GatewayState, event: RequestAbandoned, effects: list) -> None:
    """Forget a request that nobody carries on, with all that it holds here."""
    request = state.requests.get(event.request_id)
    if request is None:
        return
    stop_waiting(state, request, event.at, effects)
    hedging.cut_other(state, request, event.at, "left", effects)
    if request.relay:
        relays.release(state, request)
    release_endpoint(state, request)
    if request.stage is Stage.WAITING:
        quotas.refund(state, request)
    state.requests.pop(request.request_id, None)
    fields = {**request.log_ids(), "endpoint": request.endpoint_name, "stage": request.stage}
    effects.append(LogRequest("request-abandoned", request.request_id, fields))


def on_caller_disconnected(state: GatewayState, request_id: str, at: float, effects: list) -> None:
    """Forget a waiting request whose caller disconnected.

    The I/O layer cancels a running attempt.
    """
    request = state.requests.get(request_id)
    if request is None:
        return
    request.caller_disconnected = True
    if request.stage is Stage.WAITING:
        stop_waiting(state, request, at, effects)
        quotas.refund(state, request)
        state.requests.pop(request_id, None)
    effects.append(LogRequest("caller-left", request_id, request.log_ids()))


def on_tick(state: GatewayState, at: float, effects: list) -> None:
    """Dispatch requests whose adapter is ready, and retry or refuse those that wait."""
    for request_id in sorted(state.waiting, key=lambda name: teams.waiting_order(state, name)):
        request = state.requests.get(request_id)
        if request is None:
            state.waiting.discard(request_id)
        elif at >= request.deadline_at - RESPONSE_MARGIN_S:
            refuse(state, request, Refused.DEADLINE, effects)
        elif links.are_lost(state) and relay_request(state, request, at, effects):
            continue
        elif (
            request.asked_engine
            and request.adapter_ready_at == float("inf")
            and has_waited_too_long(state, request, at)
        ):
            refuse(state, request, Refused.NO_PLACE, effects)
        elif request.asked_engine:
            if at >= request.adapter_ready_at:
                endpoint = state.endpoints.get(request.asked_engine)
                if endpoint is None or not endpoints.may_get(state, endpoint, request, at):
                    reroute_request(state, request, at, effects)
                else:
                    dispatch(state, request, endpoint, at, effects)
        else:
            place_request(state, request, at, effects)


def has_waited_too_long(state: GatewayState, request: RequestState, at: float) -> bool:
    """Return whether a request has waited so long for a slot that its caller should retry.

    One that may have run cannot come back, so that what it has waited counts from its last attempt.
    """
    endpoint = state.endpoints.get(request.asked_engine)
    # Without a fresh View the lead may be gone and another entry may take over, and a lead that has
    # read no report yet does not know of any slot, so wait longer.
    view = endpoint.lead_view if endpoint is not None else None
    says_no_slot = (
        view is not None and view.is_known and at - endpoint.lead_view_at <= NO_SLOT_VIEW_FRESH_S
    )
    share = NO_SLOT_WAIT_SHARE if says_no_slot else SILENT_LEAD_WAIT_SHARE
    waiting_since = request.waits_again_since if request.possible_runs else request.arrived_at
    return at - waiting_since >= share * request.route.latency_target_s


def reroute_request(state: GatewayState, request: RequestState, at: float, effects: list) -> None:
    """Move a waiting request away from an engine that is gone or full.

    The request stays with an engine that is full if no other engine holds the adapter or has
    headroom.
    """
    endpoint = state.endpoints.get(request.asked_engine)
    if endpoint is not None and endpoints.may_get(state, endpoint, request, at):
        choice = routing.choose_engine(state, request, at)
        if choice is None:
            return
        has_just_asked = at - request.asked_at < REROUTE_DELAY_S
        if has_just_asked and not slot_search.may_move_at_once(state, request, choice):
            return
        same_engine = choice.endpoint.record.name == request.asked_engine
        if not choice.has_adapter and (
            same_engine or not routing.has_headroom(state, choice.endpoint, at)
        ):
            return
    adapter_asks.withdraw_request(state, request, at, effects)
    place_request(state, request, at, effects)
