"""Tells whether this entry has lost its links to all endpoints.

One endpoint that cannot be reached may have crashed. An entry that reaches none of several in a row,
with none reached in between, has lost its own links. It then gives up the leadership of its engines,
tells the other entries, and lets them pass its requests on (`relays`). It probes endpoints until one
can be reached again.

An endpoint is reached once it answers: behind a proxy, and at a host that is frozen, connections are
made over which nothing comes back. Endpoints that are busy may leave requests without an answer for
seconds, so silence alone proves nothing; it makes the entry probe.
"""

from __future__ import annotations

from poplarhoist.decisions.common_effects import Count, LogChange
from poplarhoist.decisions.gateway import leads
from poplarhoist.decisions.gateway.broadcast import tell_others
from poplarhoist.decisions.gateway.configuration import find_service
from poplarhoist.decisions.gateway.effects import ProbeEndpoint
from poplarhoist.decisions.gateway.events import EndpointProbed
from poplarhoist.decisions.gateway.messages import LinksChanged
from poplarhoist.decisions.gateway.request_state import Stage
from poplarhoist.decisions.gateway.state import GatewayState

# Endpoints in a row that are not reached, after which the links count as lost; all of them where
# there are fewer.
LOST_AFTER_ENDPOINTS = 3
# Seconds between two probes.
PROBE_INTERVAL_S = 0.5
# Seconds without an answer of any endpoint, while requests at `SILENT_ENDPOINTS` or more have waited
# as long for one, after which endpoints are probed.
SILENCE_S = 1.0
SILENT_ENDPOINTS = 2
# Seconds for which the links must have been lost before leaderships are given up: long enough for
# two probes, so that crashes of several endpoints at once do not move them.
RELEASE_AFTER_S = 1.0
# Seconds between two messages that the links are lost, and number of these intervals for which one
# counts.
NOTICE_INTERVAL_S = 1.0
NOTICE_INTERVALS = 3.5


def are_lost(state: GatewayState) -> bool:
    """Return whether this entry has lost its links to all endpoints."""
    return state.links.is_lost


def on_answered(state: GatewayState, began_at: float, at: float, effects: list) -> None:
    """Apply that an endpoint has answered what was sent at `began_at`."""
    links = state.links
    links.answered_at = at
    links.unanswered_at.clear()
    links.reached_at = max(links.reached_at, began_at)
    if links.failed_at:
        update(state, at, effects)


def on_unanswered(state: GatewayState, endpoint: str, sent_at: float) -> None:
    """Record that a request sent to an endpoint at `sent_at` has ended without any answer."""
    state.links.unanswered_at.setdefault(endpoint, sent_at)


def on_pause(state: GatewayState, at: float) -> None:
    """Apply that this process was paused: answers may have arrived that it has not read yet."""
    links = state.links
    links.answered_at = at
    links.unanswered_at.clear()
    if not are_lost(state):
        links.reached_at = at
        links.failed_at.clear()


def on_failed(
    state: GatewayState, endpoint: str, began_at: float, at: float, effects: list
) -> None:
    """Apply that an endpoint could not be reached by what was begun at `began_at`."""
    state.links.failed_at[endpoint] = began_at
    update(state, at, effects)


def on_probed(state: GatewayState, event: EndpointProbed, effects: list) -> None:
    """Apply the result of a probe."""
    if event.is_reachable:
        on_answered(state, event.began_at, event.at, effects)
    else:
        on_failed(state, event.name, event.began_at, event.at, effects)


def update(state: GatewayState, at: float, effects: list) -> None:
    """Find out whether the links are lost, from the failures since the latest answer."""
    links = state.links
    links.failed_at = {
        name: began_at
        for name, began_at in links.failed_at.items()
        if began_at > links.reached_at and name in state.endpoints
    }
    is_lost = len(links.failed_at) >= endpoints_needed(state)
    if is_lost == are_lost(state):
        return
    links.lost_since = at if is_lost else None
    links.told_at = at
    tell_others(state, LinksChanged(is_lost), effects)
    change = "links-lost" if is_lost else "links-regained"
    fields = {"failed": sorted(links.failed_at), "silent_s": round(at - links.answered_at, 3)}
    effects.append(LogChange(change, fields))
    effects.append(Count("links_changed", ("lost" if is_lost else "regained",)))
    if not is_lost:
        for endpoint in state.endpoints.values():
            # Its failures were those of the links.
            endpoint.consecutive_failures = 0
            endpoint.avoid_until = float("-inf")


def endpoints_needed(state: GatewayState) -> int:
    """Return how many endpoints in a row must not be reached for the links to count as lost."""
    # A single endpoint that cannot be reached says nothing of this entry's links.
    return max(2, min(LOST_AFTER_ENDPOINTS, len(state.endpoints)))


def are_silent(state: GatewayState, at: float) -> bool:
    """Return whether several endpoints owe an answer and none has given one for `SILENCE_S`."""
    links = state.links
    if at - links.answered_at < SILENCE_S:
        return False
    owing = {name for name, sent_at in links.unanswered_at.items() if at - sent_at >= SILENCE_S}
    for request in state.requests.values():
        is_unanswered = request.stage is Stage.RUNNING and request.attempt_started_at is None
        if is_unanswered and not request.relay and at - request.attempt_sent_at >= SILENCE_S:
            owing.add(request.endpoint_name)
    return len(owing) >= SILENT_ENDPOINTS


def on_slow_tick(state: GatewayState, at: float, effects: list) -> None:
    """Probe endpoints after failures and in silence, and act on lost links."""
    links = state.links
    is_silent = are_silent(state, at)
    if not links.failed_at and not is_silent:
        return
    update(state, at, effects)
    if at - links.probed_at >= PROBE_INTERVAL_S:
        # Once a probe has failed in silence, the others follow together.
        missing = endpoints_needed(state) - len(links.failed_at)
        is_urgent = is_silent and links.failed_at and missing > 0
        probe(state, at, missing if is_urgent else 1, effects)
    if not links.is_lost:
        return
    # Nobody could claim them while the store is away.
    if at - links.lost_since >= RELEASE_AFTER_S and not state.store_unavailable:
        leads.release_all(state, effects)
    if at - links.told_at >= NOTICE_INTERVAL_S * leads.interval_factor(state):
        links.told_at = at
        tell_others(state, LinksChanged(True), effects)


def probe(state: GatewayState, at: float, count: int, effects: list) -> None:
    """Probe endpoints, rather those that have not failed since the latest answer.

    Engines come first: their reports need no slot, so that a busy one answers too.
    """
    links = state.links
    names = sorted(set(state.endpoints) - set(links.failed_at)) or sorted(state.endpoints)
    state.random.shuffle(names)
    names.sort(key=lambda name: not leads.is_engine(state, state.endpoints[name]))
    for name in names[:count]:
        links.probed_at = at
        record = state.endpoints[name].record
        spec = find_service(state, record.service)
        health_path = spec.health_path if spec is not None and spec.engine is None else ""
        effects.append(ProbeEndpoint(record, health_path))


def on_told(state: GatewayState, sender: str, message: LinksChanged, at: float) -> None:
    """Record what another entry says of its links."""
    entry = state.entries.get(sender)
    if entry is not None:
        expiry_s = NOTICE_INTERVAL_S * leads.interval_factor(state) * NOTICE_INTERVALS
        entry.links_lost_until = at + expiry_s if message.is_lost else float("-inf")
