"""Who takes part: entries and endpoints, from the platform's list and from what they say."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import xxhash
from attrs import define, evolve, field

from poplarhoist import wire
from poplarhoist.decisions.effects import Count, LogChange, PollEndpoint, SendMessage
from poplarhoist.decisions.events import EndpointReported, ObjectChanged, PeerSaid
from poplarhoist.decisions.messages import Heartbeat, LeadClaim, Reports
from poplarhoist.models import Endpoint, EndpointKind, EndpointReport, Instance, Liveness

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

INSTANCE_PREFIX = "instances/"
ENDPOINT_PREFIX = "endpoints/"


@define
class Peer:
    """Another entry.

    Attributes
    ----------
    heard_at : float
        When its last message arrived; minus infinity before the first.
    sequence : int
        Number of its last batch that was taken.
    """

    instance: Instance
    heard_at: float = float("-inf")
    boot: str = ""
    sequence: int = 0
    revision: int = 0
    draining: bool = False


@define
class EndpointView:
    """An endpoint and what is known of it.

    Attributes
    ----------
    sampled_at : float
        Latest time at which the last report can have been sampled; minus infinity before it.
    asked_at : float
        When the poll of the last report that was read here was sent.
    leaving : bool
        Whether the endpoint takes no new work.
    silent_since : float or None
        When polls began to fail; None while they succeed.
    """

    endpoint: Endpoint
    report: EndpointReport | None = None
    sampled_at: float = float("-inf")
    leaving: bool = False
    silent_since: float | None = None


@define
class MembershipState:
    """Peers and endpoints by name, and what is due."""

    peers: dict[str, Peer] = field(factory=dict)
    endpoints: dict[str, EndpointView] = field(factory=dict)
    engines_by_base: dict[str, set[str]] = field(factory=dict)
    services_by_name: dict[str, set[str]] = field(factory=dict)
    poll_due: list[tuple[float, str]] = field(factory=list)
    heartbeat_due: float = 0.0
    fresh_reports: dict[str, tuple[EndpointReport, float]] = field(factory=dict)


def live_entries(state: State, at: float) -> list[str]:
    """Return the names of the entries heard of lately, this one among them."""
    oldest = at - state.limits.peer_timeout_s
    names = [name for name, peer in state.members.peers.items() if peer.heard_at >= oldest]
    return [*names, state.me.name]


def rank(key: str, names: list[str]) -> list[str]:
    """Order names by rendezvous hash for a key, the best first."""
    return sorted(
        names, key=lambda name: xxhash.xxh64_intdigest(f"{key}|{name}".encode()), reverse=True
    )


def usable(state: State, name: str) -> bool:
    """Return whether an endpoint may get new work."""
    view = state.members.endpoints.get(name)
    return view is not None and not view.leaving and view.silent_since is None


def known_boot(state: State, endpoint: str) -> str:
    """Return the boot id of an endpoint's last report; empty if there is none."""
    view = state.members.endpoints.get(endpoint)
    return view.report.boot if view and view.report else ""


def on_object(state: State, event: ObjectChanged, out: list[Effect]) -> None:
    """Take a change of the platform's lists."""
    if event.path.startswith(INSTANCE_PREFIX):
        take_instance(state, event, out)
    elif event.path.startswith(ENDPOINT_PREFIX):
        take_endpoint(state, event, out)


def take_instance(state: State, event: ObjectChanged, out: list[Effect]) -> None:
    """Add, change or remove a peer."""
    name = event.path.removeprefix(INSTANCE_PREFIX)
    if name == state.me.name:
        return
    if event.value is None:
        if state.members.peers.pop(name, None):
            out.append(LogChange("peer-gone", {"peer": name}))
        return
    instance = wire.load(event.value, Instance)
    peer = state.members.peers.get(name)
    if peer is None:
        state.members.peers[name] = Peer(instance)
        out.append(LogChange("peer-listed", {"peer": name}))
    else:
        peer.instance = instance


def take_endpoint(state: State, event: ObjectChanged, out: list[Effect]) -> None:
    """Add, change or remove an endpoint."""
    name = event.path.removeprefix(ENDPOINT_PREFIX)
    members = state.members
    if event.value is None:
        view = members.endpoints.pop(name, None)
        if view is not None:
            index_for(members, view.endpoint).discard(name)
            out.append(LogChange("endpoint-gone", {"endpoint": name}))
        return
    endpoint = wire.load(event.value, Endpoint)
    view = members.endpoints.get(name)
    if view is None:
        view = members.endpoints[name] = EndpointView(endpoint)
        heapq.heappush(members.poll_due, (event.at, name))
        out.append(LogChange("endpoint-listed", {"endpoint": name}))
    view.endpoint = endpoint
    index_for(members, endpoint).add(name)
    if endpoint.state is not Liveness.LIVE:
        mark_leaving(state, name, "platform", out)


def index_for(members: MembershipState, endpoint: Endpoint) -> set[str]:
    """Return the set of names that serve the same model or service."""
    if endpoint.kind is EndpointKind.ENGINE:
        return members.engines_by_base.setdefault(endpoint.serves, set())
    return members.services_by_name.setdefault(endpoint.serves, set())


def mark_leaving(state: State, name: str, source: str, out: list[Effect]) -> None:
    """Give an endpoint no new work from now on."""
    view = state.members.endpoints.get(name)
    if view is None or view.leaving:
        return
    view.leaving = True
    out.append(LogChange("endpoint-leaving", {"endpoint": name, "source": source}))


def take_report(state: State, report: EndpointReport, sampled_at: float, out) -> bool:
    """Keep a report if it is newer than the last one; return whether it was kept."""
    view = state.members.endpoints.get(report.endpoint)
    if view is None or sampled_at <= view.sampled_at:
        return False
    restarted = view.report is not None and view.report.boot != report.boot
    view.report = report
    view.sampled_at = sampled_at
    view.silent_since = None
    if report.state is Liveness.LIVE and view.endpoint.state is Liveness.LIVE:
        view.leaving = False
    elif report.state is not Liveness.LIVE:
        mark_leaving(state, report.endpoint, "report", out)
    if restarted:
        out.append(LogChange("endpoint-restarted", {"endpoint": report.endpoint}))
    return True


def on_reported(state: State, event: EndpointReported, out: list[Effect]) -> bool:
    """Take a report that was polled here and keep it for the peers."""
    sampled_at = event.asked_at - event.report.age_s
    if not take_report(state, event.report, sampled_at, out):
        return False
    state.members.fresh_reports[event.report.endpoint] = (event.report, sampled_at)
    return True


def on_silent(state: State, name: str, at: float, out: list[Effect]) -> None:
    """Note that an endpoint does not answer polls."""
    view = state.members.endpoints.get(name)
    if view is None or view.silent_since is not None:
        return
    view.silent_since = at
    out.append(LogChange("endpoint-silent", {"endpoint": name}))


def accept_batch(state: State, event: PeerSaid, out: list[Effect]) -> bool:
    """Return whether a message is in order; messages of an older batch are dropped."""
    peer = state.members.peers.get(event.sender)
    if peer is None:
        out.append(Count("peer_message_dropped", ("unknown-sender",)))
        return False
    if event.boot == peer.boot and event.sequence < peer.sequence:
        out.append(Count("peer_message_dropped", ("out-of-order",)))
        return False
    peer.boot = event.boot
    peer.sequence = event.sequence
    peer.heard_at = event.at
    return True


def on_heartbeat(state: State, sender: str, message: Heartbeat, out: list[Effect]) -> None:
    """Take a peer's sign of life."""
    peer = state.members.peers[sender]
    peer.revision = message.revision
    peer.draining = message.draining
    for name in message.leaving:
        mark_leaving(state, name, sender, out)


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Send heartbeats and poll endpoints that are due."""
    if at >= state.members.heartbeat_due:
        state.members.heartbeat_due = at + state.limits.heartbeat_s
        send_heartbeats(state, at, out)
    poll_due(state, at, out)


def send_heartbeats(state: State, at: float, out: list[Effect]) -> None:
    """Send a heartbeat and fresh reports to every listed peer."""
    members = state.members
    leads = tuple(LeadClaim(base, board.epoch) for base, board in state.boards.items())
    leaving = tuple(name for name, view in members.endpoints.items() if view.leaving)
    beat = Heartbeat(state.config.revision, state.draining, leads, leaving)
    reports = tuple(
        evolve(report, age_s=at - sampled_at)
        for report, sampled_at in members.fresh_reports.values()
    )
    members.fresh_reports.clear()
    for name in members.peers:
        out.append(SendMessage(name, beat))
        if reports:
            out.append(SendMessage(name, Reports(reports)))


def poll_due(state: State, at: float, out: list[Effect]) -> None:
    """Poll the endpoints watched here, and others whose reports are stale."""
    members = state.members
    entries: list[str] | None = None
    while members.poll_due and members.poll_due[0][0] <= at:
        _, name = heapq.heappop(members.poll_due)
        view = members.endpoints.get(name)
        if view is None:
            continue
        entries = entries or live_entries(state, at)
        watched = rank(name, entries)[0] == state.me.name
        if watched or at - view.sampled_at >= state.limits.report_stale_s:
            out.append(PollEndpoint(name))
        heapq.heappush(members.poll_due, (at + state.limits.poll_s, name))
