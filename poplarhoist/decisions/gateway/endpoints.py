"""Which endpoints there are and which of them may get requests."""

from __future__ import annotations

from collections.abc import Iterable

from poplarhoist.decisions.effects import LogChange
from poplarhoist.decisions.gateway import crashes
from poplarhoist.decisions.gateway.events import EndpointRemoved, EndpointSeen, EndpointsListed
from poplarhoist.decisions.gateway.limits import (
    AVOID_BACKOFF_S,
    MAX_AVOID_BACKOFF_S,
    MAX_WARM_ADAPTERS,
    REREGISTRATION_S,
)
from poplarhoist.decisions.gateway.models import AdapterKey, EndpointRecord
from poplarhoist.decisions.gateway.state import EndpointState, GatewayState

# Seconds for which the lead's word on an engine's adapters goes before the engine's record,
# which is written once in a heartbeat interval and read some hundred milliseconds later.
LEAD_VIEW_FRESH_S = 2.5
# Weight of the latest result in the moving share of failures; some ten results decide.
ERROR_RATE_WEIGHT = 0.1


def on_seen(state: GatewayState, event: EndpointSeen, out: list) -> None:
    """Take a new or changed record."""
    record = event.record
    view = state.endpoints.get(record.name)
    if view is None:
        view = EndpointState(record, event.at, held=dict(record.held or {}))
        state.endpoints[record.name] = view
        rebuild_service_index(state)
        log_endpoint("endpoint-new", record, out)
        return
    before = view.record
    view.record = record
    view.missing_since = None
    if record.incarnation != before.incarnation:
        crashes.on_endpoint_crashed(state, record.name, event.at, out)
        reset_endpoint(view)
        log_endpoint("endpoint-restarted", record, out)
    if record.draining and not before.draining:
        log_endpoint("endpoint-leaving", record, out)
    if (before.service, before.draining) != (record.service, record.draining):
        rebuild_service_index(state)
    if event.at - view.lead_view_at > LEAD_VIEW_FRESH_S:
        set_held(view, dict(record.held or {}))
    else:
        record_warm(view.warm_adapters, record.held or {})


def on_removed(state: GatewayState, event: EndpointRemoved, out: list) -> None:
    """Drop an endpoint, or wait for it if the store itself was away."""
    view = state.endpoints.get(event.name)
    if view is None:
        return
    if state.store_unavailable or event.at - state.store_restored_at < REREGISTRATION_S:
        if view.missing_since is None:
            view.missing_since = event.at
            log_endpoint("endpoint-missing", view.record, out)
        return
    remove_endpoint(state, event.name, event.at, out)


def on_listed(state: GatewayState, event: EndpointsListed, out: list) -> None:
    """Take the whole list of records."""
    for name in [name for name in state.endpoints if name not in event.names]:
        on_removed(state, EndpointRemoved(event.at, name), out)
    if not state.endpoints_listed:
        state.endpoints_listed = True
        out.append(LogChange("endpoints-listed", {"count": len(event.names)}))


def on_tick(state: GatewayState, at: float, out: list) -> None:
    """Drop endpoints that stayed missing after the store's return."""
    if state.store_unavailable:
        return
    for name, view in list(state.endpoints.items()):
        if view.missing_since is None:
            continue
        if at - max(view.missing_since, state.store_restored_at) >= REREGISTRATION_S:
            remove_endpoint(state, name, at, out)


def set_held(view: EndpointState, held: dict[AdapterKey, int]) -> None:
    """Take what an engine holds, and remember that it has had it."""
    view.held = held
    record_warm(view.warm_adapters, held)


def record_warm(warm: dict[AdapterKey, None], held: Iterable[AdapterKey]) -> None:
    """Remember what an engine has had, latest last; it keeps the latest in its memory."""
    for key in held:
        warm.pop(key, None)
        warm[key] = None
    while len(warm) > MAX_WARM_ADAPTERS:
        del warm[next(iter(warm))]


def remove_endpoint(state: GatewayState, name: str, at: float, out: list) -> None:
    """Forget an endpoint; requests under way there go on."""
    view = state.endpoints.pop(name)
    crashes.on_endpoint_crashed(state, name, at, out)
    state.slot_tables.pop(name, None)
    for asked in [asked for asked in state.pending_asks if asked[0] == name]:
        del state.pending_asks[asked]
    rebuild_service_index(state)
    log_endpoint("endpoint-gone", view.record, out)


def reset_endpoint(view: EndpointState) -> None:
    """Forget what held for an earlier run of an endpoint."""
    view.held = dict(view.record.held or {})
    view.lead_view = None
    view.lead_view_at = float("-inf")
    view.segment_sent_at.clear()
    view.warm_adapters.clear()
    view.consecutive_failures = 0
    view.error_rate = 0.0


def rebuild_service_index(state: GatewayState) -> None:
    """Sort the endpoints that may get requests by service."""
    groups: dict[str, list[str]] = {}
    for name, view in state.endpoints.items():
        if not view.record.draining:
            groups.setdefault(view.record.service, []).append(name)
    for names in groups.values():
        names.sort()
    state.endpoints_by_service = groups
    state.rankings.clear()


def log_endpoint(change: str, record: EndpointRecord, out: list) -> None:
    """Log what became of an endpoint."""
    fields = {"endpoint": record.name, "service": record.service, "zone": record.zone}
    out.append(LogChange(change, fields))


def usable_endpoints(
    state: GatewayState, service: str, avoid: set[str], at: float
) -> list[EndpointState]:
    """Return the endpoints of a service, those in trouble or to avoid only if there are no others."""
    views = [state.endpoints[name] for name in state.endpoints_by_service.get(service, ())]
    fresh = [view for view in views if view.record.name not in avoid] or views
    sound = [view for view in fresh if view.avoid_until <= at]
    return sound or fresh


def avoid_temporarily(view: EndpointState, at: float) -> None:
    """Avoid an endpoint for a while, longer with each failure in a row."""
    view.consecutive_failures += 1
    view.avoid_until = at + min(MAX_AVOID_BACKOFF_S, AVOID_BACKOFF_S * view.consecutive_failures)


def record_result(view: EndpointState, failed: bool) -> None:
    """Count an answer of an endpoint."""
    view.error_rate += ERROR_RATE_WEIGHT * (float(failed) - view.error_rate)
    if not failed:
        view.consecutive_failures = 0


def record_absent(view: EndpointState, key: AdapterKey, at: float) -> None:
    """Note that an engine said that it does not have an adapter."""
    view.held.pop(key, None)
    view.absent_at[key] = at
