"""Tracks the endpoints and selects those that may get requests."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from poplarhoist.decisions.common_effects import LogChange
from poplarhoist.decisions.gateway import (
    brittle,
    crashes,
    pauses,
    request_limits,
    software_versions,
    streams,
)
from poplarhoist.decisions.gateway.broadcast import tell_others
from poplarhoist.decisions.gateway.endpoint_state import (
    BrittleState,
    DepartedRun,
    EndpointState,
    LimitState,
)
from poplarhoist.decisions.gateway.events import (
    EndpointRemoved,
    EndpointSaidLeaving,
    EndpointSeen,
    EndpointsListed,
)
from poplarhoist.decisions.gateway.limits import (
    AVOID_BACKOFF_S,
    MAX_AVOID_BACKOFF_S,
    MAX_WARM_ADAPTERS,
    REREGISTRATION_S,
)
from poplarhoist.decisions.gateway.messages import EndpointLeaving
from poplarhoist.decisions.gateway.models import AdapterKey, EndpointRecord
from poplarhoist.decisions.gateway.paces import PaceState
from poplarhoist.decisions.gateway.request_state import RequestState
from poplarhoist.decisions.gateway.state import GatewayState

# Seconds for which the lead's View of an engine's adapters takes precedence over the engine's
# record, which is written once per heartbeat interval and read some hundred milliseconds later.
LEAD_VIEW_FRESH_S = 2.5
# Seconds for which a run is remembered whose record is gone. One that is stopping ends within
# seconds, at times many.
RUN_MEMORY_S = 600.0
# Seconds after which a record of the restored store is that of a running endpoint, although the
# endpoint had left before: records expire after three heartbeats, which are a second or two apart.
RESTORED_RECORD_S = 10.0
# Weight of the latest result in the moving error rate; about the last ten results count.
ERROR_RATE_WEIGHT = 0.1


def on_seen(state: GatewayState, event: EndpointSeen, effects: list) -> None:
    """Apply a new or changed record of an endpoint."""
    record = event.record
    # A run of unknown start cannot be told from the next one.
    if record.draining and record.incarnation:
        remember_leaving(state, record.name, record.incarnation, event.at)
    endpoint = state.endpoints.get(record.name)
    if endpoint is None:
        if is_only_restored(state, record, event.at):
            log_endpoint("endpoint-not-back", record, effects)
            return
        endpoint = EndpointState(record, event.at, held=dict(record.held or {}))
        brittle_ones = brittle.brittle_in(state, record.service)
        state.endpoints[record.name] = endpoint
        log_endpoint("endpoint-new", record, effects)
        if not restore_run(state, endpoint):
            brittle.on_new_run(state, endpoint, brittle_ones, event.at, effects)
        endpoint.is_leaving = is_known_leaving(state, record)
        if endpoint.is_leaving:
            log_endpoint("endpoint-leaving", record, effects, source="record")
        rebuild_service_index(state)
        software_versions.on_endpoint_seen(state, record, event.at, effects)
        return
    previous, was_leaving = endpoint.record, endpoint.is_leaving
    endpoint.record = record
    endpoint.missing_until = None
    if record.incarnation != previous.incarnation:
        crashes.on_endpoint_crashed(state, previous, event.at, effects)
        brittle_ones = brittle.brittle_in(state, record.service)
        reset_endpoint(endpoint)
        log_endpoint("endpoint-restarted", record, effects)
        brittle.on_new_run(state, endpoint, brittle_ones, event.at, effects)
    endpoint.is_leaving = is_known_leaving(state, record)
    if record.software_version != previous.software_version:
        software_versions.record_departure(state, previous, event.at)
        software_versions.on_endpoint_seen(state, record, event.at, effects)
    if endpoint.is_leaving and not was_leaving:
        log_endpoint("endpoint-leaving", record, effects, source="record")
    if (previous.service, was_leaving) != (record.service, endpoint.is_leaving):
        rebuild_service_index(state)
    if event.at - endpoint.lead_view_at > LEAD_VIEW_FRESH_S:
        set_held(endpoint, dict(record.held or {}))
    else:
        record_warm(endpoint.warm_adapters, record.held or {})


def on_said_leaving(state: GatewayState, event: EndpointSaidLeaving, effects: list) -> None:
    """Apply that an answer says that its endpoint is stopping, and tell the others if it is new."""
    if set_leaving(state, event.name, event.incarnation, "answer", event.at, effects):
        tell_others(state, EndpointLeaving(event.name, event.incarnation), effects)


def on_told_leaving(
    state: GatewayState, message: EndpointLeaving, at: float, effects: list
) -> None:
    """Apply that another entry has got such an answer."""
    set_leaving(state, message.endpoint, message.incarnation, "entry", at, effects)


def set_leaving(
    state: GatewayState, name: str, incarnation: int, source: str, at: float, effects: list
) -> bool:
    """Record that a run of an endpoint has said that it is stopping; return whether that is new.

    Its record may say so already. The source, an answer of the endpoint or another entry, is logged.
    """
    is_new = remember_leaving(state, name, incarnation, at)
    endpoint = state.find_run(name, incarnation)
    if endpoint is not None and not endpoint.is_leaving:
        endpoint.is_leaving = True
        log_endpoint("endpoint-leaving", endpoint.record, effects, source=source)
        rebuild_service_index(state)
    return is_new


def remember_leaving(state: GatewayState, name: str, incarnation: int, at: float) -> bool:
    """Remember that a run of an endpoint is stopping; return whether that is new.

    It outlives the record of the run: that may expire and come back, and an earlier one may be read
    later.
    """
    is_new = (name, incarnation) not in state.leaving_runs
    state.leaving_runs.setdefault((name, incarnation), at)
    return is_new


def is_known_leaving(state: GatewayState, record: EndpointRecord) -> bool:
    """Return whether the run that a record describes is stopping."""
    return record.draining or (record.name, record.incarnation) in state.leaving_runs


def is_only_restored(state: GatewayState, record: EndpointRecord, at: float) -> bool:
    """Return whether the store may have a record again only because it was restored.

    The run had left before. If it is back, it writes a record that differs, or keeps this one for
    `RESTORED_RECORD_S`.
    """
    departed = state.departed_runs.get((record.name, record.incarnation))
    if departed is None:
        return False
    if departed.removed_in != state.store_generation:
        departed.removed_in = state.store_generation
        departed.restored_record, departed.restored_at = record, at
    return departed.restored_record == record


def forget_restored(state: GatewayState, names: Collection[str]) -> None:
    """Apply that the restored store no longer has the records of runs that had left."""
    for (name, _), departed in state.departed_runs.items():
        if name in names:
            departed.restored_record = None


def accept_restored(state: GatewayState, at: float, effects: list) -> None:
    """Use endpoints whose restored records did not expire."""
    for departed in list(state.departed_runs.values()):
        record = departed.restored_record
        if record is not None and at - departed.restored_at >= RESTORED_RECORD_S:
            departed.restored_record = None
            on_seen(state, EndpointSeen(at, record), effects)


def restore_run(state: GatewayState, endpoint: EndpointState) -> bool:
    """Restore what a run had asked for before its record was removed; return whether it is the same."""
    record = endpoint.record
    departed = state.departed_runs.pop((record.name, record.incarnation), None)
    if departed is None:
        return False
    endpoint.limit = departed.limit
    endpoint.brittle = departed.brittle
    endpoint.paused_until = departed.paused_until
    return True


def forget_ended_runs(state: GatewayState, at: float) -> None:
    """Forget runs that have ended by now."""
    for run, learned_at in list(state.leaving_runs.items()):
        if at - learned_at <= RUN_MEMORY_S:
            break
        if state.find_run(*run) is None:
            del state.leaving_runs[run]
    for run, departed in list(state.departed_runs.items()):
        if at - departed.removed_at <= RUN_MEMORY_S:
            break
        del state.departed_runs[run]


def on_removed(state: GatewayState, event: EndpointRemoved, effects: list) -> None:
    """Remove an endpoint whose record is gone.

    During a store outage and for `REREGISTRATION_S` after it the endpoint is kept and marked as
    missing; `on_tick` removes it if it does not register again in time. Later outages only stop that
    time; they do not begin it anew.
    """
    endpoint = state.endpoints.get(event.name)
    if endpoint is None:
        forget_restored(state, {event.name})
        return
    if state.store_unavailable or event.at - state.store_returned_at < REREGISTRATION_S:
        if endpoint.missing_until is None:
            returned_at = float("inf") if state.store_unavailable else event.at
            endpoint.missing_until = returned_at + REREGISTRATION_S
            log_endpoint("endpoint-missing", endpoint.record, effects)
        return
    remove_endpoint(state, event.name, event.at, effects)


def on_listed(state: GatewayState, event: EndpointsListed, effects: list) -> None:
    """Apply the complete list of records: endpoints not in it are treated as removed."""
    for name in [name for name in state.endpoints if name not in event.names]:
        on_removed(state, EndpointRemoved(event.at, name), effects)
    forget_restored(state, {name for name, _ in state.departed_runs} - event.names)
    if not state.endpoints_listed:
        state.endpoints_listed = True
        effects.append(LogChange("endpoints-listed", {"count": len(event.names)}))


def on_store_returned(state: GatewayState, at: float) -> None:
    """Give missing endpoints the time that is left to them to register again."""
    for endpoint in state.endpoints.values():
        if endpoint.missing_until == float("inf"):
            endpoint.missing_until = at + REREGISTRATION_S
        elif endpoint.missing_until is not None:
            endpoint.missing_until += at - state.store_lost_at


def on_tick(state: GatewayState, at: float, effects: list) -> None:
    """Drop endpoints that are still missing when they had time to register again."""
    forget_ended_runs(state, at)
    if state.store_unavailable:
        return
    accept_restored(state, at, effects)
    for name, endpoint in list(state.endpoints.items()):
        if endpoint.missing_until is not None and at >= endpoint.missing_until:
            remove_endpoint(state, name, at, effects)


def set_held(endpoint: EndpointState, held: dict[AdapterKey, int]) -> None:
    """Replace the adapters that an engine is believed to hold, and record them as warm."""
    endpoint.held = held
    record_warm(endpoint.warm_adapters, held)


def record_warm(warm: dict[AdapterKey, None], held: Iterable[AdapterKey]) -> None:
    """Record adapters as held most recently; beyond `MAX_WARM_ADAPTERS` the oldest are dropped."""
    for key in held:
        warm.pop(key, None)
        warm[key] = None
    while len(warm) > MAX_WARM_ADAPTERS:
        del warm[next(iter(warm))]


def remove_endpoint(state: GatewayState, name: str, at: float, effects: list) -> None:
    """Remove an endpoint, its slot table and its pending asks; requests in flight continue."""
    endpoint = state.endpoints.pop(name)
    state.leaving_runs.pop((name, 0), None)
    if endpoint.record.incarnation:
        run = name, endpoint.record.incarnation
        state.departed_runs[run] = DepartedRun(
            endpoint.limit, endpoint.brittle, endpoint.paused_until, at, state.store_generation
        )
    software_versions.record_departure(state, endpoint.record, at)
    crashes.on_endpoint_crashed(state, endpoint.record, at, effects)
    state.slot_tables.pop(name, None)
    for ask_key in [ask_key for ask_key in state.pending_asks if ask_key[0] == name]:
        del state.pending_asks[ask_key]
    rebuild_service_index(state)
    log_endpoint("endpoint-gone", endpoint.record, effects)


def reset_endpoint(endpoint: EndpointState) -> None:
    """Discard what was known about an earlier incarnation of an endpoint."""
    endpoint.held = dict(endpoint.record.held or {})
    endpoint.lead_view = None
    endpoint.lead_view_at = float("-inf")
    endpoint.segment_sent_at.clear()
    endpoint.warm_adapters.clear()
    endpoint.consecutive_failures = 0
    endpoint.error_rate = 0.0
    endpoint.limit = LimitState()
    endpoint.brittle = BrittleState()
    endpoint.pace = PaceState()
    endpoint.paused_until = float("-inf")


def rebuild_service_index(state: GatewayState) -> None:
    """Index the endpoints that may get requests by service, and drop the cached rankings."""
    names_by_service: dict[str, list[str]] = {}
    for name, endpoint in state.endpoints.items():
        if not endpoint.is_leaving:
            names_by_service.setdefault(endpoint.record.service, []).append(name)
    for names in names_by_service.values():
        names.sort()
    state.endpoints_by_service = names_by_service
    state.rankings.clear()


def log_endpoint(change: str, record: EndpointRecord, effects: list, **more_fields: object) -> None:
    """Log a change of an endpoint; keyword arguments are further fields."""
    fields = {
        "endpoint": record.name,
        "service": record.service,
        "zone": record.zone,
        "software": record.software_version,
        "incarnation": record.incarnation,
        **more_fields,
    }
    effects.append(LogChange(change, fields))


def usable_endpoints(state: GatewayState, request: RequestState, at: float) -> list[EndpointState]:
    """Return the endpoints of a request's service that may get it.

    Endpoints that failed the request and those with recent connection failures are left out, unless
    no others remain.
    """
    candidates = [
        endpoint
        for endpoint in service_endpoints(state, request)
        if may_get(state, endpoint, request, at)
    ]
    untried = [
        endpoint for endpoint in candidates if endpoint.record.name not in request.avoided_endpoints
    ] or candidates
    healthy = [endpoint for endpoint in untried if endpoint.avoid_until <= at]
    return healthy or untried


def service_endpoints(state: GatewayState, request: RequestState) -> list[EndpointState]:
    """Return the endpoints of a request's service that are not stopping."""
    return [state.endpoints[name] for name in state.endpoints_by_service.get(request.service, ())]


def may_get(state: GatewayState, endpoint: EndpointState, request: RequestState, at: float) -> bool:
    """Return whether an endpoint may get a request now at all.

    It must run the software version that the request needs, or a recorded one if the request begins
    a stream, and take another request.
    """
    return (
        streams.runs_software(endpoint, request)
        and software_versions.may_run(state, endpoint, request)
        and takes_requests(state, endpoint, at)
    )


def takes_requests(state: GatewayState, endpoint: EndpointState, at: float) -> bool:
    """Return whether an endpoint takes another request of this entry now, by what it has said."""
    if endpoint.is_leaving or pauses.free_in_s(endpoint, at) > 0.0:
        return False
    return request_limits.may_send(state, endpoint, at) and brittle.may_send(state, endpoint, at)


def free_in_s(state: GatewayState, endpoint: EndpointState, at: float) -> float:
    """Return the seconds until an endpoint takes another request of this entry."""
    paused_s = pauses.free_in_s(endpoint, at)
    return max(paused_s, request_limits.free_in_s(state, endpoint, at))


def avoid_temporarily(endpoint: EndpointState, at: float) -> None:
    """Avoid an endpoint for a while, longer with each failed connection attempt in a row."""
    endpoint.consecutive_failures += 1
    endpoint.avoid_until = at + min(
        MAX_AVOID_BACKOFF_S, AVOID_BACKOFF_S * endpoint.consecutive_failures
    )


def record_result(endpoint: EndpointState, failed: bool) -> None:
    """Update the error rate of an endpoint by the result of an attempt."""
    endpoint.error_rate += ERROR_RATE_WEIGHT * (float(failed) - endpoint.error_rate)
    if not failed:
        endpoint.consecutive_failures = 0


def record_absent(endpoint: EndpointState, key: AdapterKey, at: float) -> None:
    """Record that an engine said that it does not hold an adapter."""
    endpoint.held.pop(key, None)
    endpoint.absent_at[key] = at
