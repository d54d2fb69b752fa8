"""The reducer: applies an event to the state and returns the effects.

It dispatches each event, platform answer and message to the modules that handle it. Messages that
an entry sends to itself, as the lead of a base model does, are handled within the same step.
"""

from __future__ import annotations

from poplarhoist.decisions import (
    admission,
    grants,
    holdings,
    intents,
    isolation,
    isolation_queue,
    leadership,
    listing,
    load_views,
    membership,
    messages,
    outcomes,
    placement,
    quarantine,
    relay,
    requests,
    revisions,
    run_sweep,
    runs,
    suspect_store,
)
from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import events as ev
from poplarhoist.decisions.effects import Effect
from poplarhoist.decisions.intent_state import prune_and_check_open_orders
from poplarhoist.decisions.state import State

PAUSE_THRESHOLD_S = 1.0


def reduce(state: State, event: ev.Event) -> list[Effect]:
    """Apply an event to the state.

    Leases that have run out are given up before the event is handled, so that no decision is taken
    under an expired lease.

    Parameters
    ----------
    state : State
        Changed in place.
    event : Event
        Its ``at`` must not be earlier than that of the previous event.

    Returns
    -------
    list of Effect
        Effects for the I/O layer to carry out, in this order.
    """
    out: list[Effect] = []
    detect_pause(state, event.at, out)
    leadership.expire_leases(state, event.at, out)
    HANDLERS[type(event)](state, event, out)
    if state.quarantine.newly_quarantined:
        requests.refuse_quarantined(state, event.at, out)
    return deliver_own_messages(state, event.at, out)


def detect_pause(state: State, at: float, out: list[Effect]) -> None:
    """Detect that this entry was paused, and stop relying on state that may be stale since.

    A pause is a gap of at least ``PAUSE_THRESHOLD_S`` between two events. All endpoints are polled
    again. After a pause longer than ``lease_use_s`` all grants are given up as well.
    """
    paused_s = at - state.last_event_at
    state.last_event_at = at
    if paused_s < PAUSE_THRESHOLD_S:
        return
    out.append(fx.LogChange("entry-was-paused", {"seconds": round(paused_s, 3)}))
    membership.repoll_all_endpoints(state, at, out)
    if paused_s > state.limits.lease_use_s:
        # During the pause another entry may have become the lead and recalled the grants.
        grants.return_all(state, out)


def deliver_own_messages(state: State, at: float, out: list[Effect]) -> list[Effect]:
    """Handle messages to this entry itself, and return the effects that are left.

    Handling a message may produce further messages to this entry; they are handled too.
    """
    effects: list[Effect] = []
    while out:
        pending, out = out, []
        for effect in pending:
            if isinstance(effect, fx.SendMessage) and effect.peer == state.me.name:
                handle_message(state, state.me.name, effect.message, at, out)
            else:
                effects.append(effect)
    return effects


def on_tick(state: State, event: ev.Tick, out: list[Effect]) -> None:
    """Run the periodic work of every module."""
    membership.on_tick(state, event.at, out)
    relay.on_tick(state, event.at, out)
    revisions.on_tick(state, event.at, out)
    leadership.on_tick(state, event.at, out)
    placement.on_tick(state, event.at, out)
    grants.on_tick(state, event.at, out)
    holdings.on_tick(state, event.at, out)
    requests.on_tick(state, event.at, out)
    runs.on_tick(state, event.at, out)
    run_sweep.on_tick(state, event.at, out)
    outcomes.on_tick(state, event.at, out)
    isolation.on_tick(state, event.at, out)
    isolation_queue.on_tick(state, event.at, out)
    admission.on_tick(state, event.at, out)
    stop_when_idle(state, event.at, out)


def stop_when_idle(state: State, at: float, out: list[Effect]) -> None:
    """Stop a draining entry once nothing depends on it any more.

    It then has no request and no claim on a run record, leads no base model, holds no grant, and
    has no open order and no lease release under way.
    """
    if not state.draining or state.stopped:
        return
    if state.requests or state.runs.claims_by_request or state.boards or state.grants.by_ref:
        return
    if prune_and_check_open_orders(state.leadership.open_orders, at) or leadership.is_releasing(
        state
    ):
        return
    state.stopped = True
    out.append(fx.Stop())


def on_object_changed(state: State, event: ev.ObjectChanged, out: list[Effect]) -> None:
    """Pass a changed platform object to the modules that watch it."""
    revisions.on_object_changed(state, event, out)
    listing.on_object_changed(state, event, out)
    quarantine.on_object_changed(state, event, out)


def on_platform_answered(state: State, event: ev.PlatformAnswered, out: list[Effect]) -> None:
    """Pass the answer of a platform call to the handler of its purpose."""
    handler = ANSWER_HANDLERS.get(type(event.purpose))
    if handler is not None:
        handler(state, event, out)


def on_peer_message(state: State, event: ev.PeerSaid, out: list[Effect]) -> None:
    """Handle a message from another entry, unless its batch is out of order.

    The quarantine module then sends the suspects again to a peer that has restarted or was silent
    for longer than ``peer_timeout_s``, as that peer may have missed suspect notices.
    """
    peer = state.members.peers.get(event.sender)
    is_new_process = peer is not None and peer.boot != event.boot
    silent_before = event.at - state.limits.peer_timeout_s
    was_silent = peer is not None and not is_new_process and peer.heard_at < silent_before
    if membership.accept_message(state, event, out):
        if is_new_process:
            quarantine.notify_new_entry(state, event.sender, event.at, out)
        elif was_silent:
            quarantine.send_all_suspects(state, event.sender, out)
        handle_message(state, event.sender, event.message, event.at, out)


def handle_message(state: State, sender: str, message, at: float, out: list[Effect]) -> None:
    """Pass a message to the module that handles its type.

    Messages that carry a lead's epoch are dropped if a later epoch is known.
    """
    match message:
        case messages.Heartbeat():
            membership.on_heartbeat(state, sender, message, at, out)
            holdings.on_heartbeat(state, sender, message.holdings)
            revisions.on_peer_revision(state, sender, message.revision, at, out)
            for claim in message.leads:
                leadership.on_lead_claim(state, sender, claim, at, out)
        case messages.Reports():
            for report in message.reports:
                on_peer_report(state, report, at - report.age_s, at, out)
        case messages.Demand():
            placement.on_demand(state, sender, message, at, out)
        case messages.Expected():
            if leadership.accept_epoch(state, message.base, message.epoch, sender, at, out):
                request_ids = admission.on_expected(state, message, at)
                requests.refuse_late(state, request_ids, at, out)
        case messages.Grant():
            if leadership.accept_epoch(state, message.base, message.epoch, sender, at, out):
                grants.accept(state, message, at, out)
                requests.dispatch_waiting(state, message.ref, at, out)
        case messages.Recall():
            if leadership.accept_epoch(state, message.base, message.epoch, sender, at, out):
                grants.on_recall(state, sender, message, out)
        case messages.Returned():
            placement.on_returned(state, sender, message, at, out)
        case messages.LeadReleased():
            leadership.on_lead_released(state, sender, message, at)
        case messages.GatherGrants():
            if leadership.accept_epoch(state, message.base, message.epoch, sender, at, out):
                grants.on_gather(state, sender, message, at, out)
                isolation.notify_new_lead(state, message.base, at, out)
        case messages.HeldGrants():
            placement.on_held_grants(state, sender, message, at, out)
        case messages.Holdings():
            holdings.on_holdings(state, sender, message)
        case messages.SuspectNotice():
            quarantine.on_suspect_notice(state, message, at, out)
        case messages.KnownSuspects():
            for notice in message.notices:
                quarantine.on_suspect_notice(state, notice, at, out)
        case messages.TrialNotice():
            quarantine.on_trial_notice(state, message, at)
        case messages.IsolationWanted():
            isolation_queue.on_isolation_wanted(state, sender, message, at, out)
        case messages.IsolationGrant():
            if leadership.accept_epoch(state, message.base, message.epoch, sender, at, out):
                isolation.on_isolation_grant(state, sender, message, at, out)
        case messages.IsolationDone():
            isolation_queue.on_isolation_done(state, sender, message, at, out)
        case messages.IndexNotice():
            revisions.on_index_notice(state, sender, message, at, out)
        case messages.PageWanted():
            revisions.on_page_wanted(state, sender, message, out)
        case messages.PageCopy():
            revisions.on_page_copy(state, message, at, out)
        case messages.MembersWanted():
            relay.on_members_wanted(state, sender, out)
        case messages.MembersCopy():
            relay.on_members_copy(state, message, at, out)


def on_endpoint_reported(state: State, event: ev.EndpointReported, out: list[Effect]) -> None:
    """Handle an endpoint report that this entry polled itself."""
    boot = membership.known_boot(state, event.report.endpoint)
    is_newer = membership.on_endpoint_reported(state, event, out)
    if is_newer:
        sampled_at = event.polled_at - event.report.age_s
        apply_report(state, event.report, boot, sampled_at, event.at, out, True)
    outcomes.on_poll_answered(state, event.report, is_newer, event.polled_at, event.at, out)


def on_peer_report(state: State, report, sampled_at: float, at: float, out: list[Effect]) -> None:
    """Handle an endpoint report that a peer polled and forwarded."""
    boot = membership.known_boot(state, report.endpoint)
    if membership.accept_report(state, report, sampled_at, out):
        apply_report(state, report, boot, sampled_at, at, out, False)
        outcomes.on_poll_answered(state, report, True, float("-inf"), at, out)


def apply_report(state: State, report, boot: str, sampled_at, at, out, polled_here: bool) -> None:
    """Apply a report that is newer than the previous one to grants, load, placement and queues.

    ``boot`` is the endpoint's boot id before the report; if it differs from that of the report, the
    endpoint has restarted and the grants for it are dropped.
    """
    if boot and boot != report.boot:
        grants.drop_endpoint_grants(state, report.endpoint, out)
    load_views.on_report(state, report, sampled_at)
    placement.on_report(state, report, sampled_at, at, out, polled_here)
    requests.dispatch_to_endpoint(state, report.endpoint, at, out)


def on_endpoint_silent(state: State, event: ev.EndpointSilent, out: list[Effect]) -> None:
    """Handle an endpoint that did not answer a poll."""
    membership.on_endpoint_silent(state, event.endpoint, event.at, out)
    if event.connection_refused:
        outcomes.on_poll_refused(state, event.endpoint, event.at, out)


def on_drain_asked(state: State, event: ev.DrainAsked, out: list[Effect]) -> None:
    """Begin a graceful stop: refuse new requests, release all leases and return idle grants."""
    if state.draining:
        return
    state.draining = True
    out.append(fx.LogChange("entry-draining", {}))
    leadership.release_all_leases(state, event.at, out)
    grants.return_unneeded(state, out)


def ignore(state: State, event: ev.Event, out: list[Effect]) -> None:
    """Handle an event that needs no decision."""


ANSWER_HANDLERS = {
    fx.LeaseRead: leadership.on_lease_read,
    fx.LeaseWrite: leadership.on_lease_written,
    fx.LeaseRelease: leadership.on_release_answered,
    fx.IntentWrite: intents.on_written,
    fx.IntentsRead: intents.on_read,
    fx.SuspectWrite: lambda state, event, out: suspect_store.on_written(state, event),
    fx.PageRead: revisions.on_page_read,
    fx.RunCreate: requests.on_run_claimed,
    fx.RunRead: requests.on_run_read,
    fx.RunFinish: runs.on_final_record_answered,
    fx.RunSweep: run_sweep.on_sweep_answered,
}

HANDLERS = {
    ev.Tick: on_tick,
    ev.RequestArrived: requests.on_arrived,
    ev.CallerLeft: lambda state, event, out: requests.on_caller_left(
        state, event.request_id, event.at, out
    ),
    ev.AttemptEnded: outcomes.on_attempt_ended,
    ev.PlatformAnswered: on_platform_answered,
    ev.ObjectChanged: on_object_changed,
    ev.WatchBroken: lambda state, event, out: relay.on_watch_broken(state, out),
    ev.PeerSaid: on_peer_message,
    ev.PeerSilent: ignore,
    ev.EndpointReported: on_endpoint_reported,
    ev.EndpointSilent: on_endpoint_silent,
    ev.OrderAnswered: placement.on_order_answered,
    ev.DrainAsked: on_drain_asked,
}
