"""Membership: which entries and endpoints exist and which of them are usable.

The platform lists them. Heartbeats between entries, endpoint reports and failed polls tell which
are live. Each endpoint is polled by one entry, chosen by rendezvous hash among the live ones; that
entry forwards the reports to its peers.
"""

from __future__ import annotations

import heapq
from collections import deque
from typing import TYPE_CHECKING

import xxhash
from attrs import define, evolve, field

from poplarhoist.decisions.effects import Count, LogChange, PollEndpoint, SendMessage
from poplarhoist.decisions.events import EndpointReported, PeerSaid
from poplarhoist.decisions.messages import Heartbeat, LeadClaim, Reports
from poplarhoist.models import Endpoint, EndpointReport, Instance, LifecycleState

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
    """Another entry, as known here.

    Attributes
    ----------
    heard_at : float
        When its last message arrived; minus infinity before the first.
    boot, sequence : str, int
        Boot id and sequence number of the last accepted batch.
    revision : int
        Configuration revision in force at the peer, from its last heartbeat.
    draining : bool
        Whether the peer stated in its last heartbeat that it is stopping.
    index_notice_at : float or None
        When to send it the configuration index in force here; None while it is not behind.
    old_boots : deque
        Boot ids of the peer's earlier processes, whose late messages are dropped.
    silent : bool
        Whether messages have arrived before but none in the last ``peer_timeout_s``. False for a
        peer that was never heard, which ``is_unreachable`` counts as unreachable.
    live_again_at : float
        Time from which it counts as live again after it was silent.
    flap_damping_s : float
        Last flap damping delay: how long the peer had to wait, after it was heard again, before it
        counted as live.
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
    """An endpoint and its state as known here.

    Attributes
    ----------
    report : EndpointReport or None
        Latest report; None before the first.
    sampled_at : float
        Estimated time at which the endpoint took the report. For a report that this entry polled
        it is a lower bound: the time at which the poll was sent, minus the report's age. For a
        report that a peer relayed it is no bound. Minus infinity before the first report.
    leaving : bool
        Whether the endpoint is shutting down and accepts no new work.
    leaving_learnt_at : float
        When this was last learnt; a report sampled before then does not clear ``leaving``.
    leaving_since : float
        When this was first learnt.
    leaving_from_peer : bool
        Whether a peer reported this. That peer tells the other entries as well, so this entry does
        not repeat it in its heartbeats.
    silent_since : float or None
        When polls began to fail; None while they succeed.
    next_poll_at : float
        When the next poll is due; an item of the poll heap with another time is stale.
    ejected, ejected_until : bool, float
        Whether the endpoint is ejected from routing because it gave wrong answers, and until when.
    ejected_by_peer : bool
        Whether a peer reported the wrong answers; this entry does not repeat it in its heartbeats.
    unverified_since : float or None
        Time of the last pause of this entry; None once a poll sent after it was answered.
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
    """Peers and endpoints, and the work due for them.

    Attributes
    ----------
    peers, endpoints : dict
        Other entries and all endpoints, by name.
    engines_by_base, services_by_name : dict
        Endpoint names by base model and by service.
    poll_heap : list
        Heap of the times and endpoint names of due polls; it may hold stale items.
    next_heartbeat_at : float
        When the next heartbeat is due.
    changed_endpoints, joined_peers : set
        Names of endpoints that changed and of peers that joined since the placement module last
        handled them.
    unsent_reports : dict
        Reports polled here that the next heartbeat forwards, each with ``sampled_at``, by endpoint.
    watch_broken : bool
        Whether the platform's watch delivers nothing to this entry; True until it first does.
    next_members_request_at : float or None
        When to ask a peer for the lists of members; None before the first tick.
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
    """Return the names of the live entries, including this one.

    A peer is live if a message of it arrived in the last ``peer_timeout_s`` and its flap damping
    delay is over.
    """
    oldest = at - state.limits.peer_timeout_s
    names = [
        name
        for name, peer in state.members.peers.items()
        if peer.heard_at >= oldest and peer.live_again_at <= at
    ]
    return [*names, state.me.name]


def is_unreachable(state: State, name: str, at: float) -> bool:
    """Return whether a listed peer, not marked as gone, has sent nothing for ``peer_timeout_s``.

    Unlike ``Peer.silent``, this is also True for a peer that was never heard.
    """
    peer = state.members.peers.get(name)
    if peer is None or is_gone(state, name):
        return False
    return at - peer.heard_at > state.limits.peer_timeout_s


def lease_candidates(state: State, at: float) -> list[str]:
    """Return the names of the entries that may acquire a lease: live and not draining."""
    peers = state.members.peers
    return [
        name
        for name in live_entries(state, at)
        if name == state.me.name or not peers[name].draining
    ]


def rendezvous_rank(key: str, names: list[str]) -> list[str]:
    """Order names by their rendezvous hash for a key, the highest first."""
    return sorted(
        names, key=lambda name: xxhash.xxh64_intdigest(f"{key}|{name}".encode()), reverse=True
    )


def is_gone(state: State, name: str) -> bool:
    """Return whether the platform lists an entry as gone or does not list it; False for itself."""
    if name == state.me.name:
        return False
    peer = state.members.peers.get(name)
    return peer is None or peer.instance.state is LifecycleState.GONE


def is_endpoint_usable(state: State, name: str) -> bool:
    """Return whether an endpoint may get new work: not leaving, ejected, silent or unverified."""
    view = state.members.endpoints.get(name)
    if view is None or view.leaving or view.ejected:
        return False
    return view.silent_since is None and view.unverified_since is None


def repoll_all_endpoints(state: State, at: float, out: list[Effect]) -> None:
    """Poll every endpoint after a pause of this entry, as all endpoint state may be stale.

    The messages that queued up during the pause are stale as well. So an endpoint gets no new work
    until it answers a poll that this entry sends now.
    """
    for name, view in state.members.endpoints.items():
        view.unverified_since = at
        out.append(PollEndpoint(name))


def known_boot(state: State, endpoint: str) -> str:
    """Return the boot id in an endpoint's last report; empty if there is no report."""
    view = state.members.endpoints.get(endpoint)
    return view.report.boot if view and view.report else ""


def schedule_poll(members: MembershipState, name: str, at: float) -> None:
    """Schedule the next poll of an endpoint; it replaces the one scheduled before."""
    members.endpoints[name].next_poll_at = at
    heapq.heappush(members.poll_heap, (at, name))


def mark_leaving(state: State, name: str, source: str, at: float, out: list[Effect]) -> None:
    """Mark an endpoint as leaving, so that it gets no new work.

    Parameters
    ----------
    source : str
        Where this was learnt: ``platform``, ``report``, ``refusal`` or the name of a peer.
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
    """Store a report if it was sampled after the stored one.

    A report in state ``LIVE`` clears ``leaving`` if it was sampled after ``leaving_learnt_at`` and
    the platform lists the endpoint as live.

    Returns
    -------
    bool
        Whether the report was stored.
    """
    view = state.members.endpoints.get(report.endpoint)
    if view is None or sampled_at <= view.sampled_at:
        return False
    restarted = view.report is not None and view.report.boot != report.boot
    view.report = report
    view.sampled_at = sampled_at
    if view.silent_since is not None or view.leaving:
        state.members.changed_endpoints.add(report.endpoint)
    if report.state is not LifecycleState.LIVE:
        mark_leaving(state, report.endpoint, "report", sampled_at, out)
    elif view.endpoint.state is LifecycleState.LIVE and sampled_at > view.leaving_learnt_at:
        view.leaving = False
    if restarted:
        out.append(LogChange("endpoint-restarted", {"endpoint": report.endpoint}))
    return True


def on_endpoint_reported(state: State, event: EndpointReported, out: list[Effect]) -> bool:
    """Store a report that this entry polled and queue it for the peers.

    Returns whether the report was sampled after the stored one, as ``accept_report`` does.
    """
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
    """End the silence of an endpoint that answered a poll of this entry.

    Only a poll that was sent after the silence began counts.
    """
    view = state.members.endpoints.get(event.report.endpoint)
    if view is None or view.silent_since is None or event.polled_at < view.silent_since:
        return
    view.silent_since = None
    state.members.changed_endpoints.add(event.report.endpoint)
    out.append(LogChange("endpoint-answers", {"endpoint": event.report.endpoint}))


def on_endpoint_silent(state: State, name: str, at: float, out: list[Effect]) -> None:
    """Mark an endpoint that a poll or request did not reach as silent: it gets no new work."""
    view = state.members.endpoints.get(name)
    if view is None or view.silent_since is not None:
        return
    view.silent_since = at
    state.members.changed_endpoints.add(name)
    out.append(LogChange("endpoint-silent", {"endpoint": name}))


def eject_endpoint(state: State, name: str, cause: str, at: float, out: list[Effect]) -> None:
    """Eject an endpoint that gave a wrong answer from routing for ``EJECTION_S``.

    Parameters
    ----------
    cause : str
        What was wrong with the answer, or the name of the peer that reported the endpoint.
    """
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
    """Return an endpoint to routing once its ejection is over."""
    if view.ejected and at >= view.ejected_until:
        view.ejected = False
        state.members.changed_endpoints.add(view.endpoint.name)
        out.append(LogChange("endpoint-put-back", {"endpoint": view.endpoint.name}))


def accept_message(state: State, event: PeerSaid, out: list[Effect]) -> bool:
    """Check the sender, boot id and sequence number of a message, and record them.

    Returns
    -------
    bool
        False if the message has to be dropped: the sender is not listed, the batch is older than
        one already accepted, or the sending process has been replaced by a later one.
    """
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
    """Delay the time at which a peer that was silent counts as live again.

    The delay doubles with each silence, from ``FLAP_DAMPING_MIN_S`` to ``FLAP_DAMPING_MAX_S``. It
    starts anew if the previous delay ended more than ``FLAP_DAMPING_RESET_S`` ago.
    """
    if not peer.silent:
        return
    peer.silent = False
    if at - peer.live_again_at > FLAP_DAMPING_RESET_S:
        peer.flap_damping_s = 0.0
    peer.flap_damping_s = min(FLAP_DAMPING_MAX_S, max(FLAP_DAMPING_MIN_S, 2 * peer.flap_damping_s))
    peer.live_again_at = at + peer.flap_damping_s
    out.append(LogChange("peer-heard-again", {"peer": peer.instance.name}))


def detect_silent_peers(state: State, at: float, out: list[Effect]) -> None:
    """Mark the peers from which nothing has arrived for ``peer_timeout_s``."""
    for name, peer in state.members.peers.items():
        heard = peer.heard_at > float("-inf")
        if heard and not peer.silent and at - peer.heard_at > state.limits.peer_timeout_s:
            peer.silent = True
            out.append(LogChange("peer-silent", {"peer": name}))


def on_heartbeat(
    state: State, sender: str, message: Heartbeat, at: float, out: list[Effect]
) -> None:
    """Record a peer's state, and mark the endpoints that it reports as leaving or distrusted."""
    peer = state.members.peers[sender]
    peer.revision = message.revision
    peer.draining = message.draining
    for name in message.leaving:
        mark_leaving(state, name, sender, at, out)
    for name in message.distrusted:
        if name in state.members.endpoints and not state.members.endpoints[name].ejected:
            eject_endpoint(state, name, sender, at, out)


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Send heartbeats and endpoint polls as they are due."""
    if at >= state.members.next_heartbeat_at:
        state.members.next_heartbeat_at = at + state.limits.heartbeat_s
        detect_silent_peers(state, at, out)
        send_heartbeats(state, at, out)
    poll_due_endpoints(state, at, out)


def build_lead_claim(state: State, base: str) -> LeadClaim:
    """Return the heartbeat's statement about a base model that this entry leads."""
    pool = state.boards[base]
    version = state.leadership.leases_by_base[base].version
    return LeadClaim(base, pool.epoch, pool.needs_store_share, version)


def send_heartbeats(state: State, at: float, out: list[Effect]) -> None:
    """Send a heartbeat, and the reports polled since the last one, to every listed peer.

    A leaving endpoint is named for ``LEAVING_ADVERTISED_S`` only, so heartbeats do not grow with
    endpoints that have left.
    """
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
    holdings_numbers = {base: sent.number for base, sent in state.holdings.sent_by_base.items()}
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
    """Send the polls that are due.

    An endpoint is polled if it is assigned to this entry by rendezvous hash, its report is older
    than ``report_stale_s``, or this entry does not know whether it is reachable. The end of an
    ejection is also checked here.
    """
    members = state.members
    entries: list[str] | None = None
    while members.poll_heap and members.poll_heap[0][0] <= at:
        due, name = heapq.heappop(members.poll_heap)
        view = members.endpoints.get(name)
        if view is None or view.next_poll_at != due:
            continue
        entries = entries or live_entries(state, at)
        reachability_unknown = view.silent_since is not None or view.unverified_since is not None
        polled_here = rendezvous_rank(name, entries)[0] == state.me.name
        end_ejection(state, view, at, out)
        stale = at - view.sampled_at >= state.limits.report_stale_s
        if polled_here or stale or reachability_unknown:
            out.append(PollEndpoint(name))
        schedule_poll(members, name, at + state.limits.poll_s)
