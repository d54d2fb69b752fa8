"""Decides when, where and whether a slow request gets a second attempt beside the running one.

The first whole response counts, and the other attempt is cut. A cut attempt says nothing of its
endpoint. An attempt that fails while the other one runs ends only itself.
"""

from __future__ import annotations

import enum
import math

from poplarhoist.decisions.common_effects import Count
from poplarhoist.decisions.gateway import (
    crashes,
    endpoints,
    links,
    quotas,
    request_limits,
    retry_budget,
    routing,
    teams,
)
from poplarhoist.decisions.gateway.effects import CancelAttempt, Dispatch, Hedge, LogRequest
from poplarhoist.decisions.gateway.endpoint_state import EndpointState
from poplarhoist.decisions.gateway.events import AttemptEnded, Outcome, ResponseChosen
from poplarhoist.decisions.gateway.hedge_state import ParallelAttempt, ServiceHedges
from poplarhoist.decisions.gateway.models import RouteKind
from poplarhoist.decisions.gateway.regions import cross_region_s
from poplarhoist.decisions.gateway.request_state import RequestState, Stage
from poplarhoist.decisions.gateway.state import GatewayState

# Share of first-byte times that are shorter than the time after which an attempt counts as slow.
SLOW_PERCENTILE = 0.95
# First-byte times that are needed for that, and the seconds for which one counts.
MIN_SAMPLES = 20
SAMPLE_S = 30.0
# First-byte times kept for a service; bounds memory and the time to sort them.
MAX_SAMPLES = 1000
# Seconds for which a percentile is used before it is found out again.
PERCENTILE_FRESH_S = 0.25
# Share of the latency target after which an attempt counts as slow if there are too few samples.
TARGET_SHARE = 0.5
# Share of the retry budget that second attempts leave for retries of failed requests.
RESERVED_RETRY_SHARE = 0.5
# Seconds for which an endpoint that reported that it is full is not believed to have a free slot.
# Longer than for a first attempt, as one entry hears from an endpoint only every few seconds.
FULL_REPORT_S = 5.0


class NotSent(enum.StrEnum):
    """Why a second attempt was not sent when it was due.

    STOPPING: this entry is stopping.
    SUSPECT: the request, or one like it, was running when an endpoint crashed.
    DEADLINE: the time left is shorter than a slow attempt takes.
    WAITING: requests for the service wait in this entry.
    RATIO: the share of requests that may get one is used up.
    BUDGET: most of the retry budget is spent.
    NO_ENDPOINT: no other endpoint is usable and known to have a free slot.
    """

    STOPPING = "stopping"
    SUSPECT = "suspect"
    DEADLINE = "deadline"
    WAITING = "waiting"
    RATIO = "ratio"
    BUDGET = "budget"
    NO_ENDPOINT = "no-endpoint"


def is_in_force(state: GatewayState) -> bool:
    """Return whether the settings allow second attempts."""
    return state.limits.hedge_ratio > 0.0


def on_sent(state: GatewayState, request: RequestState) -> None:
    """Record that an attempt was sent to an endpoint, beside which a second one may become due."""
    if not is_in_force(state):
        return
    if request.attempt == 1 and not request.is_relayed:
        add_credit(state, request.service)
    if not request.is_trial and may_be_hedged(request):
        state.hedges.reasons_by_request[request.request_id] = ""


def may_be_hedged(request: RequestState) -> bool:
    """Return whether the kind and the course of a request allow a second attempt beside this one.

    Requests with a prompt are left out: the places of adapters count one run of a request.
    """
    return (
        request.route.kind is RouteKind.REPEATABLE
        and request.possible_runs + 2 <= request.route.max_attempts
        and request.prompt is None
        and not request.is_relayed
        and not request.relay
        and not request.hedge_attempt
        and not request.caller_disconnected
        and request.stage is Stage.RUNNING
        and request.attempt_started_at is None
    )


def add_credit(state: GatewayState, service: str) -> None:
    """Add a request's share of a second attempt.

    Of what is not used, one attempt is kept, or what the requests of the window allow: an entry with
    few requests in a window could never send one otherwise.
    """
    seen = state.hedges.of(service)
    ratio = state.limits.hedge_ratio
    most = max(1.0, ratio * len(retry_budget.retry_window(state, service).requests))
    seen.credit = min(most, seen.credit + ratio)


def record_first_byte(state: GatewayState, request: RequestState, at: float) -> None:
    """Record how long the first byte of a response took, or how long it has not come so far."""
    is_plain = request.prompt is None and request.route.kind is not RouteKind.STREAM
    if not is_in_force(state) or not is_plain or request.relay:
        return
    add_sample(state.hedges.of(request.service), at - request.attempt_sent_at, at)


def add_sample(seen: ServiceHedges, seconds: float, at: float) -> None:
    """Add a time to the recent ones."""
    seen.first_byte_times.append((at, seconds))
    if len(seen.first_byte_times) > MAX_SAMPLES:
        seen.first_byte_times.popleft()


def delay_s(state: GatewayState, request: RequestState, at: float) -> float:
    """Return the seconds after which an attempt of a request counts as slow."""
    seen = state.hedges.of(request.service)
    if at - seen.percentile_at >= PERCENTILE_FRESH_S:
        seen.percentile_at = at
        seen.percentile_s = find_percentile_s(seen, at)
    if seen.percentile_s is not None:
        return seen.percentile_s
    return TARGET_SHARE * request.route.latency_target_s


def find_percentile_s(seen: ServiceHedges, at: float) -> float | None:
    """Return the percentile of the recent times; None if there are too few. Old ones are dropped."""
    times = seen.first_byte_times
    while times and at - times[0][0] > SAMPLE_S:
        times.popleft()
    if len(times) < MIN_SAMPLES:
        return None
    ordered = sorted(seconds for _, seconds in times)
    return ordered[math.ceil(SLOW_PERCENTILE * len(ordered)) - 1]


def on_tick(state: GatewayState, at: float, effects: list) -> None:
    """Send the second attempts that are due and allowed."""
    reasons = state.hedges.reasons_by_request
    for request_id in list(reasons):
        request = state.requests.get(request_id)
        if request is None or not may_be_hedged(request) or not is_in_force(state):
            del reasons[request_id]
            continue
        slow_after_s = delay_s(state, request, at)
        if at - request.attempt_sent_at <= slow_after_s:
            continue
        reason = why_not(state, request, slow_after_s, at, effects)
        endpoint = choose_endpoint(state, request, at) if reason is None else None
        if (
            endpoint is not None
            and quotas.may_repeat(state, request, at, effects)
            and retry_budget.try_spend_retry(state, request.service, at)
        ):
            del reasons[request_id]
            send(state, request, endpoint, slow_after_s, at, effects)
            continue
        if not reasons[request_id]:
            # Counted once for a request; it may still get one when the reason is gone.
            reasons[request_id] = reason or NotSent.NO_ENDPOINT
            effects.append(Count("hedge_not_sent", (reasons[request_id],)))


def why_not(
    state: GatewayState, request: RequestState, slow_after_s: float, at: float, effects: list
) -> NotSent | None:
    """Return why a second attempt that is due is not sent anywhere; None if it may be."""
    if state.draining_since is not None:
        return NotSent.STOPPING
    content = request.content_digest
    if crashes.is_refused(state, content, request.prompt, at, effects) or any(
        report.content == content for report in state.crash_reports
    ):
        return NotSent.SUSPECT
    if request.remaining_s(at) <= slow_after_s:
        return NotSent.DEADLINE
    waiting = (state.requests.get(request_id) for request_id in state.waiting)
    if any(other is not None and other.service == request.service for other in waiting):
        return NotSent.WAITING
    if state.hedges.of(request.service).credit < 1.0 - 1e-9:
        return NotSent.RATIO
    if not retry_budget.may_spend_retry(state, request.service, at, RESERVED_RETRY_SHARE):
        return NotSent.BUDGET
    return None


def choose_endpoint(state: GatewayState, request: RequestState, at: float) -> EndpointState | None:
    """Return the endpoint of a second attempt; None if there is none.

    Of those in another availability zone than the first attempt's, the least loaded is taken, then of
    those in its own zone. One in another region comes last, as the way there takes long.
    """
    first = state.endpoints.get(request.endpoint_name)
    if first is None or links.are_lost(state):
        return None
    usable = [
        endpoint
        for endpoint in endpoints.usable_endpoints(state, request, at)
        if endpoint is not first
        and endpoint.record.name not in request.avoided_endpoints
        and endpoint.avoid_until <= at
        and has_free_slot(state, endpoint, at)
    ]
    near = [one for one in usable if not cross_region_s(state, one.record.zone)]
    other_zone = [one for one in near if one.record.zone != first.record.zone]
    for candidates in (other_zone, near, usable):
        if candidates:
            return routing.choose_plain_endpoint(state, request, at, candidates)
    return None


def has_free_slot(state: GatewayState, endpoint: EndpointState, at: float) -> bool:
    """Return whether an endpoint has a free slot by what is known.

    Other entries are assumed to send it requests too, as for a first attempt.
    """
    # An endpoint that registered no number of slots has at least one.
    slots = max(1, endpoint.record.max_concurrent_requests)
    if len(endpoint.in_flight) * max(1, min(len(state.entries), 3)) >= slots:
        return False
    is_known = at - endpoint.load_reported_at < FULL_REPORT_S
    return not is_known or endpoint.reported_load < slots


def send(
    state: GatewayState,
    request: RequestState,
    endpoint: EndpointState,
    slow_after_s: float,
    at: float,
    effects: list,
) -> None:
    """Send a second attempt."""
    record = endpoint.record
    request.hedge_attempt = request.attempt + 1
    request.hedge = ParallelAttempt(
        request.hedge_attempt, record.name, record.incarnation, record.software_version, at
    )
    state.hedges.of(request.service).credit -= 1.0
    request_limits.record_sent(endpoint)
    endpoint.in_flight.add(request.request_id)
    dispatch = Dispatch(
        request_id=request.request_id,
        attempt=request.hedge_attempt,
        endpoint=record,
        remaining_s=request.remaining_s(at),
        priority=teams.engine_priority(request),
        stream=False,
        team=teams.told_team(state, request),
    )
    effects.append(Hedge(request.request_id, dispatch))
    fields = {
        **request.log_ids(),
        "attempt": request.hedge_attempt,
        "endpoint": record.name,
        "incarnation": record.incarnation,
        "beside": request.endpoint_name,
        "after_s": round(at - request.attempt_sent_at, 4),
        "slow_after_s": round(slow_after_s, 4),
    }
    effects.append(LogRequest("hedged", request.request_id, fields))
    effects.append(Count("hedge_sent"))


def on_decided(
    state: GatewayState, request: RequestState, event: AttemptEnded, effects: list
) -> None:
    """Cut the other attempt of a request that has its response, or whose caller left."""
    is_answered = event.outcome is Outcome.DONE
    cut_other(state, request, event.at, "lost" if is_answered else "left", effects)
    if request.attempt == request.hedge_attempt:
        log_ended(request, "won" if is_answered else "left", effects)


def on_response_chosen(state: GatewayState, event: ResponseChosen, effects: list) -> None:
    """Cut the other attempt, as the long response of this one is passed on from now on."""
    request = state.requests.get(event.request_id)
    if request is not None and request.select_attempt(event.attempt):
        cut_other(state, request, event.at, "lost", effects)


def cut_other(
    state: GatewayState, request: RequestState, at: float, result: str, effects: list
) -> None:
    """Cut the attempt that runs beside the current one, if any, and give its place back.

    It is no failure of its endpoint. The time that it had lasted counts among the first-byte times
    if it had none, as it would have taken longer: otherwise the percentile would sink with each
    second attempt.
    """
    other, request.hedge = request.hedge, None
    if other is None:
        return
    endpoint = state.endpoints.get(other.endpoint_name)
    if endpoint is not None:
        endpoint.in_flight.discard(request.request_id)
    if other.started_at is None and is_in_force(state):
        add_sample(state.hedges.of(request.service), at - other.sent_at, at)
    if request.attempt_started_at is not None:
        request.response_started_at = request.attempt_started_at
    effects.append(CancelAttempt(request.request_id, other.attempt))
    effects.append(Count("hedge_extra_seconds", (), at - other.sent_at))
    if other.attempt == request.hedge_attempt:
        log_ended(request, result, effects)


def go_on_with_other(
    state: GatewayState, request: RequestState, event: AttemptEnded, effects: list
) -> bool:
    """Let the other attempt go on after this one has failed; return False if there is none."""
    is_hedge = event.attempt == request.hedge_attempt
    if is_hedge:
        log_ended(request, "failed", effects)
    other = request.hedge
    if other is None:
        return False
    if is_hedge:
        effects.append(Count("hedge_extra_seconds", (), event.at - request.attempt_sent_at))
    fields = {
        **request.log_ids(),
        "attempt": event.attempt,
        "endpoint": request.endpoint_name,
        "outcome": event.outcome,
        "reason": event.reason,
        "goes_on_at": other.endpoint_name,
        **event.body_end.log_fields(),
    }
    effects.append(LogRequest("attempt-failed", request.request_id, fields))
    request.select_attempt(other.attempt)
    request.hedge = None
    return True


def log_ended(request: RequestState, result: str, effects: list) -> None:
    """Log and count how a second attempt ended: won, lost, failed, or left by the caller."""
    fields = {**request.log_ids(), "attempt": request.hedge_attempt, "result": result}
    effects.append(LogRequest("hedge-ended", request.request_id, fields))
    effects.append(Count("hedge_ended", (result,)))
