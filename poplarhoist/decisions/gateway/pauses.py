"""Sends nothing to endpoints that turned a request away and said for how long."""

from __future__ import annotations

from poplarhoist.decisions.common_effects import Count, LogChange
from poplarhoist.decisions.gateway.endpoint_state import EndpointState

# Longest pause in seconds. An endpoint that names an absurd time is asked again after that.
MAX_PAUSE_S = 60.0


def on_notice(
    endpoint: EndpointState, retry_after_s: float | None, at: float, effects: list
) -> None:
    """Begin a pause, or prolong it, if an endpoint asks for one."""
    if retry_after_s is None:
        return
    until = at + min(MAX_PAUSE_S, retry_after_s)
    if until <= endpoint.paused_until:
        return
    endpoint.paused_until = until
    fields = {"endpoint": endpoint.record.name, "seconds": round(until - at, 3)}
    effects.append(LogChange("endpoint-paused", fields))
    effects.append(Count("endpoint_taken_out", ("retry-after",)))


def free_in_s(endpoint: EndpointState, at: float) -> float:
    """Return the seconds until an endpoint may get requests again; 0 if it may now."""
    return max(0.0, endpoint.paused_until - at)


def ends_within(endpoint: EndpointState, seconds: float, at: float) -> bool:
    """Return whether an endpoint is in a pause that ends within some seconds."""
    return 0.0 < free_in_s(endpoint, at) <= seconds
