"""Keeps to the limits that endpoints in need name for the requests of all entries together."""

from __future__ import annotations

from poplarhoist.decisions.effects import LogChange
from poplarhoist.decisions.gateway.events import EndpointNotice
from poplarhoist.decisions.gateway.state import EndpointState, GatewayState


def on_notice(
    state: GatewayState, endpoint: EndpointState, notice: EndpointNotice, effects: list
) -> None:
    """Log a limit that an endpoint names, changes or lifts."""
    if notice.requests_per_s != endpoint.requests_per_s:
        fields = {"endpoint": endpoint.record.name, "requests_per_s": notice.requests_per_s}
        effects.append(LogChange("endpoint-limit", fields))
        endpoint.requests_per_s = notice.requests_per_s
