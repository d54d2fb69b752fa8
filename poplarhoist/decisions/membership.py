"""Who takes part: entries and endpoints, from the platform's list and from what they say."""

from __future__ import annotations

import heapq
from collections import deque
from typing import TYPE_CHECKING

import xxhash
from attrs import define, evolve, field

from poplarhoist.decisions.effects import Count, LogChange, PollEndpoint, SendMessage
from poplarhoist.decisions.events import EndpointReported, PeerSaid
from poplarhoist.decisions.messages import Heartbeat, LeadClaim, Reports
from poplarhoist.models import Endpoint, EndpointReport, Instance, Liveness

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

INSTANCE_PREFIX = "instances/"
ENDPOINT_PREFIX = "endpoints/"
LEAVING_ADVERTISED_S = 5.0
FLAP_DAMPING_MIN_S = 1.0
FLAP_DAMPING_MAX_S = 30.0
FLAP_DAMPING_RESET_S = 60.0
MAX_OLD_BOOTS = 4
EJECTION_S = 30.0


@define
class Peer:
    """Another entry.

    Attributes
    ----------
    heard_at : float
        When its last message arrived; minus infinity before the first.
    sequence : int
        Number of its last batch that was taken.
    notice_at : float or None
        When to tell it of the index in force here; None while it is not behind.
    old_boots : deque
        Boot ids of its earlier processes, whose late messages are dropped.
    silent : bool
        Whether it was heard before but not lately.
    trusted_at : float
        When it counts as live again after it fell silent.
    flap_s : float
        How long it had to be heard the last time before it counted as live again.
    """

    instance: Instance
    heard_at: float = float("-inf")
    boot: str = ""
    sequence: int = 0
    revision: int = 0
    draining: bool = False
    index_notice_at: float | None = None
    old_boots: deque[str] = field(factory=lambda: deque(maxlen=MAX_OLD_BOOTS))
    silent: bool = False
    live_again_at: float = float("-inf")
    flap_damping_s: float = 0.0


@define
class EndpointView:
    """An endpoint and what is known of it.

    Attributes
    ----------
    sampled_at : float
        Latest time at which the last report can have been sampled; minus infinity before it.
    leaving : bool
        Whether the endpoint takes no new work.
    leaving_at : float
        When that was learnt last; a report sampled before it does not revoke it.
    leaving_since : float
        When that was learnt first.
    leaving_told : bool
        Whether a peer told it, who tells the others as well.
    silent_since : float or None
        When polls began to fail; None while they succeed.
    poll_at : float
        When the next poll is due; an earlier entry in the heap is stale.
    out, out_until, out_told : bool, float, bool
        Whether it is taken out of use because of wrong answers, until when, and whether a peer
        told it.
    unsure_since : float or None
        When this entry was paused, if no poll sent since then was answered; None otherwise.
    """

    endpoint: Endpoint
    report: EndpointReport | None = None
    sampled_at: float = float("-inf")
    leaving: bool = False
    leaving_learnt_at: float = float("-inf")
    leaving_since: float = float("-inf")
    leaving_from_peer: bool = False
    silent_since: float | None = None
    next_poll_at: float = 0.0
    ejected: bool = False
    ejected_until: float = 0.0
    ejected_by_peer: bool = False
    unverified_since: float | None = None


@define
class MembershipState:
    """Peers and endpoints by name, and what is due.

    Attributes
    ----------
    cut : bool
        Whether the platform's lists do not reach this entry.
    ask_at : float or None
        When to ask a peer for the lists next; None before the first tick.
    changed_endpoints, joined : set
        Endpoints and peers of which the leads have not yet taken a change.
    """

    peers: dict[str, Peer] = field(factory=dict)
    endpoints: dict[str, EndpointView] = field(factory=dict)
    engines_by_base: dict[str, set[str]] = field(factory=dict)
    services_by_name: dict[str, set[str]] = field(factory=dict)
    poll_heap: list[tuple[float, str]] = field(factory=list)
    next_heartbeat_at: float = 0.0
    changed_endpoints: set[str] = field(factory=set)
    joined_peers: set[str] = field(factory=set)
    unsent_reports: dict[str, tuple[EndpointReport, float]] = field(factory=dict)
    watch_broken: bool = True
    next_members_request_at: float | None = None


def live_entries(state: State, at: float) -> list[str]:
    """Return the names of the entries heard of lately and steadily, this one among them."""
    oldest = at - state.limits.peer_timeout_s
    names = [
        name
        for name, peer in state.members.peers.items()
        if peer.heard_at >= oldest and peer.live_again_at <= at
    ]
    return [*names, state.me.name]


def is_silent(state: State, name: str, at: float) -> bool:
    """Return whether another entry is listed but was not heard of lately."""
    peer = state.members.peers.get(name)
    if peer is None or is_gone(state, name):
        return False
    return at - peer.heard_at > state.limits.peer_timeout_s


def lease_candidates(state: State, at: float) -> list[str]:
    """Return the entries that may take a lease now."""
    peers = state.members.peers
    return [
        name
        for name in live_entries(state, at)
        if name == state.me.name or not peers[name].draining
    ]


def rendezvous_rank(key: str, names: list[str]) -> list[str]:
    """Order names by rendezvous hash for a key, the best first."""
    return sorted(
        names, key=lambda name: xxhash.xxh64_intdigest(f"{key}|{name}".encode()), reverse=True
    )


def is_gone(state: State, name: str) -> bool:
    """Return whether the platform lists another entry as gone, or not at all."""
    if name == state.me.name:
        return False
    peer = state.members.peers.get(name)
    return peer is None or peer.instance.state is Liveness.GONE


def is_endpoint_usable(state: State, name: str) -> bool:
    """Return whether an endpoint may get new work."""
    view = state.members.endpoints.get(name)
    if view is None or view.leaving or view.ejected:
        return False
    return view.silent_since is None and view.unverified_since is None


def repoll_all_endpoints(state: State, at: float, out: list[Effect]) -> None:
    """Ask every endpoint again after a pause of this entry: what it knows is old.

    Messages that waited meanwhile are old too, so only an own poll sent now tells whether an
    endpoint still takes work.
    """
    for name, view in state.members.endpoints.items():
        view.unverified_since = at
        out.append(PollEndpoint(name))


def known_boot(state: State, endpoint: str) -> str:
    """Return the boot id of an endpoint's last report; empty if there is none."""
    view = state.members.endpoints.get(endpoint)
    return view.report.boot if view and view.report else ""


def schedule_poll(members: MembershipState, name: str, at: float) -> None:
    """Make a poll due in place of any earlier one."""
    members.endpoints[name].next_poll_at = at
    heapq.heappush(members.poll_heap, (at, name))


def mark_leaving(state: State, name: str, source: str, at: float, out: list[Effect]) -> None:
    """Give an endpoint no new work from now on.

    Parameters
    ----------
    source : str
        What tells so: ``platform``, ``report``, ``refusal``, or the name of a peer.
    """
    view = state.members.endpoints.get(name)
    if view is None:
        return
    from_peer = source in state.members.peers
    if not from_peer:
        view.leaving_learnt_at = at
    if view.leaving:
        return
    view.leaving = True
    view.leaving_learnt_at = view.leaving_since = at
    view.leaving_from_peer = from_peer
    state.members.changed_endpoints.add(name)
    out.append(LogChange("endpoint-leaving", {"endpoint": name, "source": source}))


def accept_report(state: State, report: EndpointReport, sampled_at: float, out) -> bool:
    """Keep a report if it is newer than the last one; return whether it was kept."""
    view = state.members.endpoints.get(report.endpoint)
    if view is None or sampled_at <= view.sampled_at:
        return False
    restarted = view.report is not None and view.report.boot != report.boot
    view.report = report
    view.sampled_at = sampled_at
    if view.silent_since is not None or view.leaving:
        state.members.changed_endpoints.add(report.endpoint)
    if report.state is not Liveness.LIVE:
        mark_leaving(state, report.endpoint, "report", sampled_at, out)
    elif view.endpoint.state is Liveness.LIVE and sampled_at > view.leaving_learnt_at:
        view.leaving = False
    if restarted:
        out.append(LogChange("endpoint-restarted", {"endpoint": report.endpoint}))
    return True


def on_endpoint_reported(state: State, event: EndpointReported, out: list[Effect]) -> bool:
    """Take a report that was polled here and keep it for the peers."""
    sampled_at = event.polled_at - event.report.age_s
    clear_silence(state, event, out)
    view = state.members.endpoints.get(event.report.endpoint)
    if (
        view is not None
        and view.unverified_since is not None
        and event.polled_at >= view.unverified_since
    ):
        view.unverified_since = None
    if not accept_report(state, event.report, sampled_at, out):
        return False
    state.members.unsent_reports[event.report.endpoint] = (event.report, sampled_at)
    return True


def clear_silence(state: State, event: EndpointReported, out: list[Effect]) -> None:
    """Note that an endpoint answers polls from here."""
    view = state.members.endpoints.get(event.report.endpoint)
    if view is None or view.silent_since is None or event.polled_at < view.silent_since:
        return
    view.silent_since = None
    state.members.changed_endpoints.add(event.report.endpoint)
    out.append(LogChange("endpoint-answers", {"endpoint": event.report.endpoint}))


def on_endpoint_silent(state: State, name: str, at: float, out: list[Effect]) -> None:
    """Note that an endpoint does not answer polls."""
    view = state.members.endpoints.get(name)
    if view is None or view.silent_since is not None:
        return
    view.silent_since = at
    state.members.changed_endpoints.add(name)
    out.append(LogChange("endpoint-silent", {"endpoint": name}))


def eject_endpoint(state: State, name: str, cause: str, at: float, out: list[Effect]) -> None:
    """Take an endpoint that gives wrong answers out of use for a while."""
    view = state.members.endpoints.get(name)
    if view is None:
        return
    view.ejected_until = at + EJECTION_S
    out.append(Count("endpoint_taken_out", ("peer" if cause in state.members.peers else cause,)))
    if not view.ejected:
        view.ejected = True
        view.ejected_by_peer = cause in state.members.peers
        state.members.changed_endpoints.add(name)
        out.append(LogChange("endpoint-taken-out", {"endpoint": name, "cause": cause}))


def end_ejection(state: State, view: EndpointView, at: float, out: list[Effect]) -> None:
    """Use an endpoint again whose time out of use is over."""
    if view.ejected and at >= view.ejected_until:
        view.ejected = False
        state.members.changed_endpoints.add(view.endpoint.name)
        out.append(LogChange("endpoint-put-back", {"endpoint": view.endpoint.name}))


def accept_batch(state: State, event: PeerSaid, out: list[Effect]) -> bool:
    """Return whether a message is in order; messages of an older batch are dropped."""
    peer = state.members.peers.get(event.sender)
    if peer is None:
        out.append(Count("peer_message_dropped", ("unknown-sender",)))
        return False
    if event.boot == peer.boot and event.sequence < peer.sequence:
        out.append(Count("peer_message_dropped", ("out-of-order",)))
        return False
    if event.boot in peer.old_boots:
        out.append(Count("peer_message_dropped", ("old-boot",)))
        return False
    if peer.boot and peer.boot != event.boot:
        peer.old_boots.append(peer.boot)
        out.append(LogChange("peer-restarted", {"peer": event.sender}))
    apply_flap_damping(peer, event.at, out)
    peer.boot = event.boot
    peer.sequence = event.sequence
    peer.heard_at = event.at
    return True


def apply_flap_damping(peer: Peer, at: float, out: list[Effect]) -> None:
    """Let a peer that was silent count as live again, later the more often this happens."""
    if not peer.silent:
        return
    peer.silent = False
    if at - peer.live_again_at > FLAP_DAMPING_RESET_S:
        peer.flap_damping_s = 0.0
    peer.flap_damping_s = min(FLAP_DAMPING_MAX_S, max(FLAP_DAMPING_MIN_S, 2 * peer.flap_damping_s))
    peer.live_again_at = at + peer.flap_damping_s
    out.append(LogChange("peer-heard-again", {"peer": peer.instance.name}))


def detect_silent_peers(state: State, at: float, out: list[Effect]) -> None:
    """Note which peers were not heard lately."""
    for name, peer in state.members.peers.items():
        heard = peer.heard_at > float("-inf")
        if heard and not peer.silent and at - peer.heard_at > state.limits.peer_timeout_s:
            peer.silent = True
            out.append(LogChange("peer-silent", {"peer": name}))


def on_heartbeat(
    state: State, sender: str, message: Heartbeat, at: float, out: list[Effect]
) -> None:
    """Take a peer's sign of life."""
    peer = state.members.peers[sender]
    peer.revision = message.revision
    peer.draining = message.draining
    for name in message.leaving:
        mark_leaving(state, name, sender, at, out)
    for name in message.distrusted:
        if name in state.members.endpoints and not state.members.endpoints[name].ejected:
            eject_endpoint(state, name, sender, at, out)


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Send heartbeats and poll endpoints that are due."""
    if at >= state.members.next_heartbeat_at:
        state.members.next_heartbeat_at = at + state.limits.heartbeat_s
        detect_silent_peers(state, at, out)
        send_heartbeats(state, at, out)
    poll_due_endpoints(state, at, out)


def build_lead_claim(state: State, base: str) -> LeadClaim:
    """Return what to say of a base model that this entry leads."""
    board = state.boards[base]
    version = state.leadership.leases_by_base[base].version
    return LeadClaim(base, board.epoch, board.needs_store_share, version)


def send_heartbeats(state: State, at: float, out: list[Effect]) -> None:
    """Send a heartbeat and fresh reports to every listed peer."""
    members = state.members
    leads = tuple(build_lead_claim(state, base) for base in state.boards)
    leaving = tuple(
        name
        for name, view in members.endpoints.items()
        if view.leaving
        and not view.leaving_from_peer
        and at - view.leaving_since <= LEAVING_ADVERTISED_S
    )
    distrusted = tuple(
        name
        for name, view in members.endpoints.items()
        if view.ejected and not view.ejected_by_peer
    )
    holdings_numbers = {base: told.number for base, told in state.holdings.sent_by_base.items()}
    heartbeat = Heartbeat(
        state.config.revision, state.draining, leads, leaving, holdings_numbers, distrusted
    )
    reports = tuple(
        evolve(report, age_s=at - sampled_at)
        for report, sampled_at in members.unsent_reports.values()
    )
    members.unsent_reports.clear()
    for name in members.peers:
        out.append(SendMessage(name, heartbeat))
        if reports:
            out.append(SendMessage(name, Reports(reports)))


def poll_due_endpoints(state: State, at: float, out: list[Effect]) -> None:
    """Poll the endpoints watched here, and others whose reports are stale."""
    members = state.members
    entries: list[str] | None = None
    while members.poll_heap and members.poll_heap[0][0] <= at:
        due, name = heapq.heappop(members.poll_heap)
        view = members.endpoints.get(name)
        if view is None or view.next_poll_at != due:
            continue
        entries = entries or live_entries(state, at)
        unverified = view.silent_since is not None or view.unverified_since is not None
        polled_here = rendezvous_rank(name, entries)[0] == state.me.name
        end_ejection(state, view, at, out)
        stale = at - view.sampled_at >= state.limits.report_stale_s
        if polled_here or stale or unverified:
            out.append(PollEndpoint(name))
        schedule_poll(members, name, at + state.limits.poll_s)
