"""The one reducer: takes an event, changes the state, returns the effects.

Messages to this entry itself are handled within the same step.
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
from poplarhoist.decisions.intentbook import orders_open
from poplarhoist.decisions.state import State

PAUSED_S = 1.0


def reduce(state: State, event: ev.Event) -> list[Effect]:
    """Apply an event.

    Parameters
    ----------
    state : State
        Changed in place.
    event : Event
        What happened; its ``at`` never goes back.

    Returns
    -------
    list of Effect
        What the shell is to do, in order.
    """
    out: list[Effect] = []
    note_time(state, event.at, out)
    leadership.expire(state, event.at, out)
    HANDLERS[type(event)](state, event, out)
    if state.quarantine.newly_quarantined:
        requests.refuse_quarantined(state, event.at, out)
    return deliver_to_self(state, event.at, out)


def note_time(state: State, at: float, out: list[Effect]) -> None:
    """Notice a pause of this entry, after which much of what it knows may be old."""
    paused_s = at - state.last_event_at
    state.last_event_at = at
    if paused_s < PAUSED_S:
        return
    out.append(fx.LogChange("entry-was-paused", {"seconds": round(paused_s, 3)}))
    membership.ask_all(state, at, out)
    if paused_s > state.limits.lease_use_s:
        # A lead that nobody told of may have recalled grants meanwhile.
        grants.give_up_all(state, out)


def deliver_to_self(state: State, at: float, out: list[Effect]) -> list[Effect]:
    """Handle messages to this entry, and those that follow from them."""
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
    """Let every policy do what is due."""
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
    """Stop a draining entry once nothing is left to do."""
    if not state.draining or state.stopped:
        return
    if state.requests or state.runs.claims_by_request or state.boards or state.grants.by_ref:
        return
    if orders_open(state.leadership.open_orders, at) or leadership.releasing(state):
        return
    state.stopped = True
    out.append(fx.Stop())


def on_object(state: State, event: ev.ObjectChanged, out: list[Effect]) -> None:
    """Take a change of an object on the platform."""
    revisions.on_object(state, event, out)
    listing.on_object(state, event, out)
    quarantine.on_object_changed(state, event, out)


def on_platform(state: State, event: ev.PlatformAnswered, out: list[Effect]) -> None:
    """Take the end of a call to the platform."""
    handler = ANSWERS.get(type(event.purpose))
    if handler is not None:
        handler(state, event, out)


def on_peer(state: State, event: ev.PeerSaid, out: list[Effect]) -> None:
    """Take a message from another entry."""
    peer = state.members.peers.get(event.sender)
    started = peer is not None and peer.boot != event.boot
    oldest = event.at - state.limits.peer_timeout_s
    returned = peer is not None and not started and peer.heard_at < oldest
    if membership.accept_batch(state, event, out):
        if started:
            quarantine.notify_new_entry(state, event.sender, event.at, out)
        elif returned:
            quarantine.send_all_suspects(state, event.sender, out)
        handle_message(state, event.sender, event.message, event.at, out)


def handle_message(state: State, sender: str, message, at: float, out: list[Effect]) -> None:
    """Hand a message to the policy that it concerns."""
    match message:
        case messages.Heartbeat():
            membership.on_heartbeat(state, sender, message, at, out)
            holdings.on_marks(state, sender, message.holdings)
            revisions.on_peer_revision(state, sender, message.revision, at, out)
            for claim in message.leads:
                leadership.on_claim(state, sender, claim, at, out)
        case messages.Reports():
            for report in message.reports:
                take_report(state, report, at - report.age_s, at, out)
        case messages.Demand():
            placement.on_demand(state, sender, message, at, out)
        case messages.Expected():
            if leadership.note_epoch(state, message.base, message.epoch, sender, at, out):
                request_ids = admission.on_expected(state, message, at)
                requests.refuse_late(state, request_ids, at, out)
        case messages.Grant():
            if leadership.note_epoch(state, message.base, message.epoch, sender, at, out):
                grants.take(state, message, at, out)
                requests.dispatch_waiting(state, message.ref, at, out)
        case messages.Recall():
            if leadership.note_epoch(state, message.base, message.epoch, sender, at, out):
                grants.recall(state, sender, message, out)
        case messages.Returned():
            placement.on_returned(state, sender, message, at, out)
        case messages.LeadReleased():
            leadership.on_lead_released(state, sender, message, at)
        case messages.GatherGrants():
            if leadership.note_epoch(state, message.base, message.epoch, sender, at, out):
                grants.gather(state, sender, message, at, out)
                isolation.notify_new_lead(state, message.base, at, out)
        case messages.HeldGrants():
            placement.on_held(state, sender, message, at, out)
        case messages.Holdings():
            holdings.on_message(state, sender, message)
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
            if leadership.note_epoch(state, message.base, message.epoch, sender, at, out):
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


def on_reported(state: State, event: ev.EndpointReported, out: list[Effect]) -> None:
    """Take a report that was polled here."""
    boot = membership.known_boot(state, event.report.endpoint)
    newer = membership.on_reported(state, event, out)
    if newer:
        sampled_at = event.asked_at - event.report.age_s
        spread_report(state, event.report, boot, sampled_at, event.at, out, True)
    outcomes.on_poll_answered(state, event.report, newer, event.asked_at, event.at, out)


def take_report(state: State, report, sampled_at: float, at: float, out: list[Effect]) -> None:
    """Take a report that a peer passed on."""
    boot = membership.known_boot(state, report.endpoint)
    if membership.take_report(state, report, sampled_at, out):
        spread_report(state, report, boot, sampled_at, at, out, False)
        outcomes.on_poll_answered(state, report, True, float("-inf"), at, out)


def spread_report(state: State, report, boot: str, sampled_at, at, out, polled: bool) -> None:
    """Tell the policies of a report that is newer than the last."""
    if boot and boot != report.boot:
        grants.drop_endpoint(state, report.endpoint, out)
    load_views.on_report(state, report, sampled_at)
    placement.on_report(state, report, sampled_at, at, out, polled)
    requests.dispatch_to_endpoint(state, report.endpoint, at, out)


def on_endpoint_silent(state: State, event: ev.EndpointSilent, out: list[Effect]) -> None:
    """Take note of an endpoint that does not answer."""
    membership.on_silent(state, event.endpoint, event.at, out)
    if event.refused:
        outcomes.on_poll_refused(state, event.endpoint, event.at, out)


def on_drain(state: State, event: ev.DrainAsked, out: list[Effect]) -> None:
    """Begin a graceful stop: no new requests, leads and idle grants handed over."""
    if state.draining:
        return
    state.draining = True
    out.append(fx.LogChange("entry-draining", {}))
    leadership.hand_over(state, event.at, out)
    grants.hand_back_unneeded(state, out)


def ignore(state: State, event: ev.Event, out: list[Effect]) -> None:
    """Do nothing."""


ANSWERS = {
    fx.LeaseRead: leadership.on_read,
    fx.LeaseWrite: leadership.on_write,
    fx.LeaseRelease: leadership.on_released,
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
    ev.PlatformAnswered: on_platform,
    ev.ObjectChanged: on_object,
    ev.WatchBroken: lambda state, event, out: relay.on_watch_broken(state, out),
    ev.PeerSaid: on_peer,
    ev.PeerSilent: ignore,
    ev.EndpointReported: on_reported,
    ev.EndpointSilent: on_endpoint_silent,
    ev.OrderAnswered: placement.on_order,
    ev.DrainAsked: on_drain,
}
