"""Keeps brittle endpoints from having to turn requests away, which makes them fall over.

While an endpoint says that it is brittle, each entry has a window of requests that it may have in
flight there. The windows of all entries begin with the endpoint's slots. When the endpoint turns a
request away, the entry tells all others, and each shrinks its window to what it has in flight: that
is what the endpoint had room for. Windows in full use grow by one from time to time, over all
entries rarely enough for the endpoint to bear what that may cost.
"""

from __future__ import annotations

from poplarhoist.decisions.common_effects import Count, LogChange
from poplarhoist.decisions.gateway.broadcast import tell_others
from poplarhoist.decisions.gateway.hashing import rendezvous_order
from poplarhoist.decisions.gateway.messages import NoRoom
from poplarhoist.decisions.gateway.state import BrittleState, EndpointState, GatewayState

# Seconds between two growths of a window over all entries, if the endpoint bears one request turned
# away in a second; fewer if it bears more.
GROWTH_INTERVAL_S = 4.0
# Seconds after a request was turned away in which the end of the endpoint's responses is no sign that
# one of its requests crashed it.
BLAME_EXEMPT_S = 1.5


def on_notice(
    state: GatewayState,
    endpoint: EndpointState,
    bears_per_s: float | None,
    sent_at: float,
    at: float,
    effects: list,
) -> None:
    """Apply how many requests an endpoint bears to turn away in a second; None if it is sound.

    A response to a request that was sent before brittleness was last seen does not end it.
    """
    brittle = endpoint.brittle
    if bears_per_s is not None:
        learn(state, endpoint, bears_per_s, at, at, effects)
        return
    if brittle.bears_per_s is not None and sent_at > brittle.seen_at:
        brittle.bears_per_s = None
        log_change(endpoint, effects)


def learn(
    state: GatewayState,
    endpoint: EndpointState,
    bears_per_s: float,
    seen_at: float,
    at: float,
    effects: list,
) -> None:
    """Apply that an endpoint is brittle, which an answer told some entry at `seen_at`."""
    brittle = endpoint.brittle
    brittle.seen_at = max(brittle.seen_at, seen_at)
    if brittle.bears_per_s == bears_per_s:
        return
    is_new = brittle.bears_per_s is None
    brittle.bears_per_s = bears_per_s
    if is_new:
        brittle.window = max(share_of_slots(state, endpoint), len(endpoint.in_flight))
        brittle.grows_at = at + growth_interval_s(state, endpoint)
    log_change(endpoint, effects)


def on_new_run(
    state: GatewayState,
    endpoint: EndpointState,
    brittle_ones: list[BrittleState],
    at: float,
    effects: list,
) -> None:
    """Take a run that has not answered yet for as brittle as others of its service.

    It may take the place of one that fell over, and all requests that wait would come to it at once.
    """
    if brittle_ones:
        bears_per_s = min(brittle.bears_per_s for brittle in brittle_ones)
        seen_at = max(brittle.seen_at for brittle in brittle_ones)
        learn(state, endpoint, bears_per_s, seen_at, at, effects)


def brittle_in(state: GatewayState, service: str) -> list[BrittleState]:
    """Return what is known of the brittle endpoints of a service."""
    return [
        endpoint.brittle
        for endpoint in state.endpoints.values()
        if endpoint.record.service == service and endpoint.brittle.bears_per_s is not None
    ]


def log_change(endpoint: EndpointState, effects: list) -> None:
    """Log that an endpoint became brittle or sound, or bears another number."""
    brittle = endpoint.brittle
    fields = {"endpoint": endpoint.record.name, "bears_per_s": brittle.bears_per_s}
    effects.append(LogChange("endpoint-brittle", fields | {"window": brittle.window}))
    change = "ended" if brittle.bears_per_s is None else "named"
    effects.append(Count("endpoint_brittle", (change,)))


def share_of_slots(state: GatewayState, endpoint: EndpointState) -> int:
    """Return this entry's part of an endpoint's slots, one at least.

    With more entries than slots the parts add up to more than the slots. So many requests at once
    come only under a load at which one is soon turned away, and the windows shrink.
    """
    record = endpoint.record
    entries = rendezvous_order(record.name, state.entries or (state.name,))
    part, left = divmod(record.max_concurrent_requests, len(entries))
    return max(1, part + (state.name in entries[:left]))


def on_turned_away(state: GatewayState, endpoint: EndpointState, at: float, effects: list) -> None:
    """Apply that a brittle endpoint had no room for a request, and tell the others."""
    brittle = endpoint.brittle
    if brittle.bears_per_s is None:
        return
    shrink(state, endpoint, at, effects)
    record = endpoint.record
    tell_others(state, NoRoom(record.name, record.incarnation, brittle.bears_per_s), effects)


def on_told(state: GatewayState, message: NoRoom, at: float, effects: list) -> None:
    """Apply that a brittle endpoint had no room for a request of another entry."""
    endpoint = state.find_run(message.endpoint, message.incarnation)
    if endpoint is None:
        return
    on_notice(state, endpoint, message.bears_per_s, at, at, effects)
    shrink(state, endpoint, at, effects)


def shrink(state: GatewayState, endpoint: EndpointState, at: float, effects: list) -> None:
    """Shrink the window to what this entry has in flight."""
    brittle = endpoint.brittle
    brittle.window = len(endpoint.in_flight)
    brittle.turned_away_at = at
    brittle.grows_at = at + growth_interval_s(state, endpoint)
    fields = {"endpoint": endpoint.record.name, "window": brittle.window}
    effects.append(LogChange("endpoint-full", fields))


def growth_interval_s(state: GatewayState, endpoint: EndpointState) -> float:
    """Return the seconds until the window may grow; infinity if no request may be turned away."""
    bears_per_s = endpoint.brittle.bears_per_s
    if bears_per_s < 1.0:
        return float("inf")
    entries = max(1, len(state.entries))
    return GROWTH_INTERVAL_S / bears_per_s * entries * state.random.uniform(0.5, 1.5)


def may_send(state: GatewayState, endpoint: EndpointState, at: float) -> bool:
    """Return whether an endpoint has room for another request of this entry, as far as is known."""
    brittle = endpoint.brittle
    if brittle.bears_per_s is None or len(endpoint.in_flight) < brittle.window:
        return True
    if at < brittle.grows_at:
        return False
    brittle.window += 1
    brittle.grows_at = at + growth_interval_s(state, endpoint)
    return True


def is_full(endpoint: EndpointState) -> bool:
    """Return whether an endpoint is brittle and has as many requests of this entry as it may."""
    brittle = endpoint.brittle
    return brittle.bears_per_s is not None and len(endpoint.in_flight) >= brittle.window


def explains_fall(endpoint: EndpointState, at: float) -> bool:
    """Return whether a brittle endpoint has just turned requests away, and may fall over for it."""
    brittle = endpoint.brittle
    return brittle.bears_per_s is not None and at - brittle.turned_away_at <= BLAME_EXEMPT_S
