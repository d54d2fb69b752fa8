"""Tells whether this entry has lost its links to all endpoints.

One endpoint that cannot be reached may have crashed. An entry that cannot connect to several in a
row, with no connection made in between, has lost its own links. It then gives up the leadership of
its engines, tells the other entries, and lets them pass its requests on (`relays`). It probes
endpoints until one can be reached again.
"""

from __future__ import annotations

from poplarhoist.decisions.common_effects import Count, LogChange
from poplarhoist.decisions.gateway import leads
from poplarhoist.decisions.gateway.broadcast import tell_others
from poplarhoist.decisions.gateway.effects import ProbeEndpoint
from poplarhoist.decisions.gateway.events import EndpointProbed
from poplarhoist.decisions.gateway.messages import LinksChanged
from poplarhoist.decisions.gateway.state import GatewayState

# Endpoints in a row to which no connection can be made, after which the links count as lost; all of
# them where there are fewer.
LOST_AFTER_ENDPOINTS = 3
# Seconds between two probes.
PROBE_INTERVAL_S = 0.5
# Seconds for which the links must have been lost before leaderships are given up: long enough for
# two probes, so that crashes of several endpoints at once do not move them.
RELEASE_AFTER_S = 1.0
# Seconds between two messages that the links are lost, and number of these intervals for which one
# counts.
NOTICE_INTERVAL_S = 1.0
NOTICE_INTERVALS = 3.5


def are_lost(state: GatewayState) -> bool:
    """Return whether this entry has lost its links to all endpoints."""
    return state.links.lost_since is not None


def on_connected(state: GatewayState, began_at: float, at: float, effects: list) -> None:
    """Apply that a connection to an endpoint, begun at `began_at`, was made."""
    links = state.links
    links.connected_at = max(links.connected_at, began_at)
    if links.failed_at:
        update(state, at, effects)


def on_failed(
    state: GatewayState, endpoint: str, began_at: float, at: float, effects: list
) -> None:
    """Apply that a connection to an endpoint, begun at `began_at`, could not be made."""
    state.links.failed_at[endpoint] = began_at
    update(state, at, effects)


def on_probed(state: GatewayState, event: EndpointProbed, effects: list) -> None:
    """Apply the result of a probe."""
    if event.is_reachable:
        on_connected(state, event.began_at, event.at, effects)
    else:
        on_failed(state, event.name, event.began_at, event.at, effects)


def update(state: GatewayState, at: float, effects: list) -> None:
    """Find out whether the links are lost, from the failures since the latest connection."""
    links = state.links
    links.failed_at = {
        name: began_at
        for name, began_at in links.failed_at.items()
        if began_at > links.connected_at and name in state.endpoints
    }
    # A single endpoint that cannot be reached says nothing of this entry's links.
    needed = max(2, min(LOST_AFTER_ENDPOINTS, len(state.endpoints)))
    is_lost = len(links.failed_at) >= needed
    if is_lost == are_lost(state):
        return
    links.lost_since = at if is_lost else None
    links.told_at = at
    tell_others(state, LinksChanged(is_lost), effects)
    change = "links-lost" if is_lost else "links-regained"
    effects.append(LogChange(change, {"failed": sorted(links.failed_at)}))
    effects.append(Count("links_changed", ("lost" if is_lost else "regained",)))
    if not is_lost:
        for endpoint in state.endpoints.values():
            # Its failures were those of the links.
            endpoint.consecutive_failures = 0
            endpoint.avoid_until = float("-inf")


def on_slow_tick(state: GatewayState, at: float, effects: list) -> None:
    """Probe endpoints after failures, and act on lost links."""
    links = state.links
    if not links.failed_at:
        return
    update(state, at, effects)
    if at - links.probed_at >= PROBE_INTERVAL_S:
        probe(state, at, effects)
    if links.lost_since is None:
        return
    # Nobody could claim them while the store is away.
    if at - links.lost_since >= RELEASE_AFTER_S and not state.store_unavailable:
        leads.release_all(state, effects)
    if at - links.told_at >= NOTICE_INTERVAL_S * leads.interval_factor(state):
        links.told_at = at
        tell_others(state, LinksChanged(True), effects)


def probe(state: GatewayState, at: float, effects: list) -> None:
    """Probe an endpoint, rather one that has not failed since the latest connection."""
    links = state.links
    names = sorted(set(state.endpoints) - set(links.failed_at)) or sorted(state.endpoints)
    if names:
        links.probed_at = at
        effects.append(ProbeEndpoint(state.endpoints[state.random.choice(names)].record))


def on_told(state: GatewayState, sender: str, message: LinksChanged, at: float) -> None:
    """Record what another entry says of its links."""
    entry = state.entries.get(sender)
    if entry is not None:
        expiry_s = NOTICE_INTERVAL_S * leads.interval_factor(state) * NOTICE_INTERVALS
        entry.links_lost_until = at + expiry_s if message.is_lost else float("-inf")
