"""Turns the paces of endpoints into expected waits, and chooses plain endpoints by them.

Many entries choose from old information: whoever chose the endpoint with the shortest expected wait
would choose the same one as the others. Each entry therefore draws an endpoint at random, the more
likely the shorter its expected wait is, so that all entries together spread their requests by it.
"""

from __future__ import annotations

import math

from poplarhoist.decisions.common_effects import Count, LogChange, Observe
from poplarhoist.decisions.gateway import paces
from poplarhoist.decisions.gateway.configuration import find_service
from poplarhoist.decisions.gateway.endpoint_state import EndpointState
from poplarhoist.decisions.gateway.events import AttemptEnded, Outcome
from poplarhoist.decisions.gateway.models import EndpointLoad
from poplarhoist.decisions.gateway.paces import ServicePace
from poplarhoist.decisions.gateway.regions import cross_region_s
from poplarhoist.decisions.gateway.request_state import RequestState
from poplarhoist.decisions.gateway.state import GatewayState

# Seconds in which a told load comes near to the usual one: some work times of a plain service.
LOAD_FADES_S = 0.5
# Exponent of the expected wait in the likelihood of an endpoint.
SHARPNESS = 5.0
# Seconds added to the wait for an endpoint with an error rate of 1.
ERROR_WAIT_S = 1.2
# Wait added for an endpoint of another zone of the region, in usual work times: bytes between zones
# are billed.
CROSS_ZONE_WORK = 0.2
# Shortest expected wait in seconds, so that likelihoods are finite.
MIN_WAIT_S = 0.001


def service_pace(state: GatewayState, endpoint: EndpointState) -> ServicePace:
    """Return what was learned of an endpoint's service, created on first use."""
    return state.service_paces.setdefault(endpoint.record.service, ServicePace())


def record_load(endpoint: EndpointState, load: EndpointLoad, at: float) -> None:
    """Record how many requests an endpoint has, if it says so."""
    if load.running >= 0:
        endpoint.reported_load = load.running + max(0, load.waiting)
        endpoint.load_reported_at = at


def on_load(
    state: GatewayState, endpoint: EndpointState, load: EndpointLoad, at: float, effects: list
) -> None:
    """Apply what a response of the present run of an endpoint says of its load and pace."""
    if load.pace is None and not endpoint.pace.is_told:
        return
    record = endpoint.record
    if not endpoint.pace.is_told:
        effects.append(LogChange("endpoint-pace", {"endpoint": record.name, "pace": load.pace}))
    paces.on_load(endpoint.pace, service_pace(state, endpoint), load, at)
    record_load(endpoint, load, at)
    spec = find_service(state, record.service)
    kind = "engine" if spec is not None and spec.engine is not None else "plain"
    effects.append(Observe("endpoint_pace", (kind,), paces.factor(endpoint.pace, at)))
    if paces.is_full(endpoint.pace, at):
        effects.append(Count("endpoint_told_full", (kind,)))


def on_result(
    state: GatewayState, request: RequestState, endpoint: EndpointState, event: AttemptEnded
) -> None:
    """Learn from the result of an attempt how long work takes at its endpoint.

    Only successful responses tell it, and those that did not begin before they were ended: they took
    at least that long. Failures may be quick.
    """
    pace = endpoint.pace
    if not pace.is_told or request.attempt_incarnation != endpoint.record.incarnation:
        return
    if event.outcome is Outcome.NOT_RUN and event.status == 503 and event.notice is not None:
        paces.on_turned_away(pace, event.notice.load, event.at)
    started_at = request.attempt_started_at
    if started_at is None and event.outcome in (Outcome.TIMED_OUT, Outcome.BROKEN_OFF):
        started_at = event.at
    elif event.outcome is not Outcome.DONE or not 200 <= event.status < 300:
        return
    if started_at is None:
        return
    crossing_s = cross_region_s(state, endpoint.record.zone)
    result_s = max(MIN_WAIT_S, started_at - request.attempt_sent_at - crossing_s)
    if request.forecast is not None:
        paces.record_engine_result(pace, request.forecast, result_s, event.at)
    elif request.prompt is None:
        paces.record_plain_result(pace, result_s, event.at)


def expected_load(state: GatewayState, endpoint: EndpointState, at: float) -> float:
    """Return the expected requests of each slot of a plain endpoint, from its old report.

    What it told fades to the usual load of its service. Own requests that it did not know of then
    are added.
    """
    pace = endpoint.pace
    usual = service_pace(state, endpoint).load.estimate(at, 0.0, 1.0)
    slots = pace.slots or endpoint.record.max_concurrent_requests or 1
    told = endpoint.reported_load / slots
    fresh = math.exp(min(0.0, endpoint.load_reported_at - at) / LOAD_FADES_S)
    requests = (state.requests.get(request_id) for request_id in endpoint.in_flight)
    own = sum(
        request is not None and request.attempt_sent_at > endpoint.load_reported_at
        for request in requests
    )
    return usual + (told - usual) * fresh + own / slots


def plain_wait_s(state: GatewayState, endpoint: EndpointState, at: float) -> float:
    """Return the expected seconds to the first byte at a plain endpoint.

    They include penalties for its error rate, and for crossing to its zone.
    """
    usual_s = service_pace(state, endpoint).usual_work_s()
    work_s = usual_s * paces.factor(endpoint.pace, at)
    crossing_s = cross_region_s(state, endpoint.record.zone)
    if endpoint.record.zone != state.zone and not crossing_s:
        crossing_s = CROSS_ZONE_WORK * usual_s
    wait_s = work_s * (1.0 + expected_load(state, endpoint, at))
    return max(MIN_WAIT_S, wait_s) + crossing_s + endpoint.error_rate * ERROR_WAIT_S


def choose_plain(state: GatewayState, endpoints: list[EndpointState], at: float) -> EndpointState:
    """Choose among plain endpoints of which some have told their pace.

    Those that are full are left out while others have room.
    """
    candidates = [
        endpoint for endpoint in endpoints if not paces.is_full(endpoint.pace, at)
    ] or endpoints
    waits = [plain_wait_s(state, endpoint, at) for endpoint in candidates]
    shortest = min(waits)
    weights = [(shortest / wait) ** SHARPNESS for wait in waits]
    return state.random.choices(candidates, weights)[0]
