"""The gateway's reducer: applies an event to the state and returns the effects."""

from __future__ import annotations

from attrs import evolve

from poplarhoist.decisions.common_effects import LogChange, Stop
from poplarhoist.decisions.gateway import (
    adapter_asks,
    adapter_versions,
    brittle,
    configuration,
    copies,
    crash_records,
    crashes,
    endpoints,
    gossip,
    hedging,
    leads,
    links,
    messages,
    quota_keeper,
    quota_roles,
    quotas,
    request_limits,
    requests,
    residency,
    slot_search,
    software_versions,
    streams,
)
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.effects import SendPeer, StopListening
from poplarhoist.decisions.gateway.limits import PAUSE_THRESHOLD_S
from poplarhoist.decisions.gateway.state import GatewayState

# Seconds between two runs of the checks that need not run on every tick.
SLOW_TICK_INTERVAL_S = 0.25
# Seconds for which a stopping entry still accepts connections: the platform polls the readiness
# once per second and sends callers until the second negative answer.
LISTEN_GRACE_S = 2.3
# Seconds before the end of the grace period at which the entry stops in any case.
STOP_MARGIN_S = 0.6


def reduce(state: GatewayState, event: ev.Event) -> list:
    """Apply an event.

    Parameters
    ----------
    state : GatewayState
        Changed in place.
    event : Event
        An event that arrives late is applied at the time of the latest event.

    Returns
    -------
    list of Effect
        Effects for the I/O layer to carry out, in this order.
    """
    effects: list = []
    if event.at < state.last_event_at < float("inf"):
        event = evolve(event, at=state.last_event_at)
    detect_pause(state, event.at, effects)
    HANDLERS[type(event)](state, event, effects)
    return deliver_own_messages(state, event.at, effects)


def detect_pause(state: GatewayState, at: float, effects: list) -> None:
    """Detect a pause of this process, after which its slot tables may be outdated."""
    pause_s = at - state.last_event_at
    state.last_event_at = at
    if pause_s < PAUSE_THRESHOLD_S:
        return
    effects.append(LogChange("entry-was-paused", {"seconds": round(pause_s, 3)}))
    links.on_pause(state, at)
    quota_keeper.on_pause(state, pause_s, at)
    for table in state.slot_tables.values():
        # Another entry may lead by now. Its record arrives with the next read of a watch, so orders
        # wait for another PAUSE_THRESHOLD_S.
        table.orders_allowed_at = max(table.orders_allowed_at, at + PAUSE_THRESHOLD_S)
        residency.mark_unsynced(table, at, "pause", effects)


def deliver_own_messages(state: GatewayState, at: float, effects: list) -> list:
    """Apply messages that this entry sends to itself, and the messages that follow from them.

    Returns
    -------
    list of Effect
        The effects without those messages.
    """
    remaining: list = []
    while effects:
        pending, effects = effects, []
        for effect in pending:
            if isinstance(effect, SendPeer) and effect.peer == state.name:
                handle_message(state, state.name, effect.message, at, effects)
            else:
                remaining.append(effect)
    return remaining


def handle_message(state: GatewayState, sender: str, message, at: float, effects: list) -> None:
    """Apply a message of an entry, also of this one."""
    match message:
        case messages.Ask():
            residency.on_ask(state, sender, message, at, effects)
        case messages.AskWithdrawn():
            slot_search.on_withdrawn(state, sender, message)
        case messages.View():
            reroute_requests(
                state, adapter_asks.on_lead_view(state, message, at, effects), at, effects
            )
        case messages.Use():
            residency.on_usage(state, sender, message, at, effects)
        case messages.NotLead():
            adapter_asks.on_not_lead(state, sender, message, at, effects)
        case messages.Crashed():
            crashes.on_crashed(state, message, at, effects)
        case messages.CrashEvidence():
            crashes.on_evidence(state, message, at, effects)
        case messages.AskCrashes():
            crashes.send_evidence(state, sender, at, effects)
        case messages.PartsSound():
            crashes.on_parts_sound(state, message, at)
        case messages.RequestLimit():
            request_limits.on_told(state, message, at, effects)
        case messages.EndpointLeaving():
            endpoints.on_told_leaving(state, message, at, effects)
        case messages.NoRoom():
            brittle.on_told(state, message, at, effects)
        case messages.PlacesWanted():
            brittle.on_wanted(state, sender, message, at, effects)
        case messages.Places():
            brittle.on_places(state, message, at, effects)
        case messages.LinksChanged():
            links.on_told(state, sender, message, at)
        case messages.News():
            gossip.on_news(state, sender, message, effects)
        case messages.StreamBegan():
            streams.on_stream_began(state, message, at)
        case messages.SoftwareRecorded():
            software_versions.on_told(state, sender, message, at)
        case messages.AskStreamOrigin():
            streams.on_ask(state, sender, message, effects)
        case messages.StreamUnknown():
            streams.on_unknown(state, sender, message)
        case messages.QuotaAsk():
            quota_keeper.on_ask(state, sender, message, at, effects)
        case messages.QuotaGrant():
            settle(state, quotas.on_grant(state, sender, message, at, effects), at, effects)
        case messages.QuotaHandover():
            quota_keeper.on_handover(state, sender, message, at, effects)
        case messages.QuotaClaim():
            quota_keeper.on_claim(state, sender, message, at, effects)
        case messages.QuotaProbe():
            quota_roles.on_probe(state, sender, effects)
        case messages.QuotaEcho():
            quota_roles.on_echo(state, sender, message, at)


def settle(state: GatewayState, decisions: list[quotas.Decision], at: float, effects: list) -> None:
    """Place or refuse requests that have waited for tokens of their teams."""
    for decision in decisions:
        request = decision.request
        if decision.refusal is None:
            requests.place_request(state, request, at, effects)
        else:
            requests.refuse(state, request, decision.refusal, effects, decision.retry_after_s)


def reroute_requests(state: GatewayState, request_ids: set[str], at: float, effects: list) -> None:
    """Route waiting requests again whose engine cannot load their adapter now."""
    for request_id in sorted(request_ids):
        request = state.requests.get(request_id)
        if request is not None and request_id in state.waiting:
            requests.reroute_request(state, request, at, effects)


def on_tick(state: GatewayState, event: ev.Tick, effects: list) -> None:
    """Run the periodic work of all modules; endpoints and leads are checked less often."""
    at = event.at
    crashes.on_tick(state, at, effects)
    residency.on_tick(state, at, effects)
    settle(state, quotas.on_tick(state, at, effects), at, effects)
    requests.on_tick(state, at, effects)
    adapter_versions.on_tick(state, at, effects)
    hedging.on_tick(state, at, effects)
    brittle.on_tick(state, at, effects)
    reroute_requests(state, adapter_asks.on_tick(state, at, effects), at, effects)
    adapter_asks.send_usage(state, at, effects)
    stop_when_done(state, at, effects)
    if at - state.last_slow_tick_at < SLOW_TICK_INTERVAL_S:
        return
    state.last_slow_tick_at = at
    endpoints.on_tick(state, at, effects)
    versions_by_service = software_versions.known_versions(state, at)
    streams.on_tick(state, versions_by_service, at, effects)
    software_versions.on_tick(state, at, effects)
    crashes.on_slow_tick(state, at, effects)
    crash_records.on_tick(state, at, effects)
    request_limits.on_slow_tick(state, at, leads.interval_factor(state), effects)
    links.on_slow_tick(state, at, effects)
    quotas.on_slow_tick(state, at, effects)
    leads.on_tick(state, at, effects)


def stop_when_done(state: GatewayState, at: float, effects: list) -> None:
    """Stop listening once the platform sends no more callers; stop at the end of the grace period.

    The I/O layer ends the process earlier, once every request that was read has its response.
    """
    if state.draining_since is None:
        return
    elapsed_s = at - state.draining_since
    if elapsed_s >= LISTEN_GRACE_S and not state.stopped_listening:
        state.stopped_listening = True
        effects.append(StopListening())
    if elapsed_s >= state.limits.stop_grace_s - STOP_MARGIN_S and not state.stopped:
        state.stopped = True
        effects.append(LogChange("entry-out-of-time", {"open": len(state.requests)}))
        effects.append(Stop())


def on_peer_message(state: GatewayState, event: ev.PeerMessageReceived, effects: list) -> None:
    """Apply a message from another entry, which is thus not silent any more."""
    peer = state.entries.get(event.sender)
    if peer is not None:
        peer.silent_until = peer.no_copies_until = float("-inf")
    handle_message(state, event.sender, event.message, event.at, effects)


def on_configuration(state: GatewayState, event: ev.ConfigurationSeen, effects: list) -> None:
    """Apply a newer configuration, the quotas of its teams, and what streams it lets resume."""
    before = state.configuration
    configuration.on_seen(state, event, effects)
    if state.configuration is not before:
        directory = state.configuration.teams
        teams = list(directory.by_name.values()) if directory is not None else []
        quota_keeper.on_teams(state, teams, event.at)
        software_versions.on_configuration(state, event.at, effects)


def on_store(state: GatewayState, event: ev.StoreAvailabilityChanged, effects: list) -> None:
    """Record that the store was lost or has returned."""
    if event.available == (not state.store_unavailable):
        return
    state.store_unavailable = not event.available
    if event.available:
        state.store_returned_at = event.at
        endpoints.on_store_returned(state, event.at)
    else:
        state.store_lost_at = event.at
    change = "store-regained" if event.available else "store-lost"
    effects.append(LogChange(change, {"reason": event.reason}))


def on_generation(state: GatewayState, event: ev.StoreGenerationSeen, effects: list) -> None:
    """Apply that the store was restored: it may have lost anything that was written lately.

    The records of each kind are read again. What is known that no later record can withdraw stays
    in force, and endpoints have time to register again.
    """
    if event.generation <= state.store_generation:
        return
    previous, state.store_generation = state.store_generation, event.generation
    if previous or not state.is_first_start:
        state.store_generation_seen_at = event.at
    if not previous:
        return
    state.store_returned_at = event.at
    leads.on_store_restored(state, effects)
    software_versions.on_store_restored(state)
    effects.append(
        LogChange("store-restored", {"generation": event.generation, "before": previous})
    )


def on_limits(state: GatewayState, event: ev.LimitsChanged, effects: list) -> None:
    """Apply new settings from now on."""
    state.limits = event.limits
    quota_keeper.apply_terms(state, event.at)
    effects.append(LogChange("settings-read", {}))


def on_drain(state: GatewayState, event: ev.DrainRequested, effects: list) -> None:
    """Begin a graceful stop: the entry is no longer ready, and leads no engines any more."""
    if state.draining_since is not None:
        return
    state.draining_since = event.at
    effects.append(LogChange("entry-draining", {"open": len(state.requests)}))
    leads.release_all(state, effects)


def is_serving(state: GatewayState) -> bool:
    """Return whether this entry is ready for callers.

    Without the records of software versions it begins no resumable streams.
    """
    return (
        state.configuration is not None
        and state.endpoints_listed
        and state.draining_since is None
        and software_versions.has_been_complete(state)
    )


HANDLERS = {
    ev.Tick: on_tick,
    ev.ConfigurationSeen: on_configuration,
    ev.EndpointSeen: endpoints.on_seen,
    ev.EndpointRemoved: endpoints.on_removed,
    ev.EndpointsListed: endpoints.on_listed,
    ev.EndpointSaidLeaving: endpoints.on_said_leaving,
    ev.VersionSeen: adapter_versions.on_version,
    ev.EntryRecordChanged: leads.on_entry,
    ev.EntriesListed: leads.on_entries_listed,
    ev.LeadSeen: leads.on_lead,
    ev.LeadsListed: leads.on_leads_listed,
    ev.ClaimEnded: leads.on_claim,
    ev.StoreAvailabilityChanged: on_store,
    ev.StoreGenerationSeen: on_generation,
    ev.StoreChangesRead: gossip.on_changes_read,
    ev.RequestArrived: requests.on_arrived,
    ev.ResponseStarted: requests.on_response_started,
    ev.ResponseChosen: hedging.on_response_chosen,
    ev.AttemptEnded: requests.on_attempt_ended,
    ev.RequestAbandoned: requests.on_abandoned,
    ev.CallerDisconnected: lambda state, event, out: requests.on_caller_disconnected(
        state, event.request_id, event.at, out
    ),
    ev.PeerMessageReceived: on_peer_message,
    ev.OrderEnded: residency.on_order_ended,
    ev.ReportReceived: residency.on_report,
    ev.EndpointChecked: crashes.on_checked,
    ev.EndpointProbed: links.on_probed,
    ev.CopyAsked: copies.on_asked,
    ev.SoftwareRecordSeen: software_versions.on_seen,
    ev.SoftwareRecordsListed: software_versions.on_listed,
    ev.SoftwareRecordWritten: software_versions.on_written,
    ev.SoftwareRecordRemoved: software_versions.on_removed,
    ev.CrashRecordSeen: crash_records.on_seen,
    ev.CrashRecordsListed: crash_records.on_listed,
    ev.CrashRecordWritten: crash_records.on_written,
    ev.LimitsChanged: on_limits,
    ev.DrainRequested: on_drain,
}
