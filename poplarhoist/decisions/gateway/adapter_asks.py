"""Asks the leads of engines to load adapters, and reports this entry's usage to them."""

from __future__ import annotations

from poplarhoist.decisions.common_effects import Count
from poplarhoist.decisions.gateway import endpoints, leads, slot_search, teams
from poplarhoist.decisions.gateway.adapter_versions import required_version
from poplarhoist.decisions.gateway.effects import LogRequest, SendPeer
from poplarhoist.decisions.gateway.endpoint_state import EndpointState
from poplarhoist.decisions.gateway.leads import interval_factor
from poplarhoist.decisions.gateway.limits import (
    ASK_ATTEMPTS,
    ASK_RETRY_S,
    SILENT_PEER_BACKOFF_S,
    USAGE_INTERVAL_S,
)
from poplarhoist.decisions.gateway.messages import Ask, NotLead, Use, View
from poplarhoist.decisions.gateway.models import AdapterKey
from poplarhoist.decisions.gateway.request_state import RequestState
from poplarhoist.decisions.gateway.state import GatewayState, PendingAsk

# Seconds for which an Ask repeats an engine's answer that it lacks the adapter.
ABSENT_FRESH_S = 1.0
# Seconds added to the time at which an adapter is expected; a request that arrives too early is
# rejected by the engine and costs a retry.
READY_MARGIN_S = 0.01
# Seconds for which no new adapter is requested at an engine whose lead does not answer.
SILENT_LEAD_PAUSE_S = 1.0


def ask_for_adapter(
    state: GatewayState, request: RequestState, engine: str, at: float, effects: list
) -> None:
    """Ask for a request's adapter at an engine, and let the request wait for it.

    Requests for the same adapter at the same engine share one Ask.
    """
    key = request.prompt.key
    request.asked_engine = engine
    request.asked_engines.add(engine)
    request.asked_at = at
    request.adapter_ready_at = float("inf")
    existing = state.pending_asks.get((engine, key))
    if existing is not None:
        existing.waiters.add(request.request_id)
        existing.waiting_since = min(existing.waiting_since, request.first_requested_at)
        existing.version = max(existing.version, required_version(state, request, at))
        if request.team is not None:
            # Otherwise a request of an urgent team would wait as long as those that asked before it.
            existing.priority = min(existing.priority, teams.ask_priority(request))
        endpoint = state.endpoints[engine]
        update_ready_times(state, existing, endpoint, at)
        return
    version = required_version(state, request, at)
    priority, since = teams.ask_priority(request), request.first_requested_at
    pending = PendingAsk(engine, key, version, priority, since, at)
    pending.waiters.add(request.request_id)
    state.pending_asks[engine, key] = pending
    effects.append(
        LogRequest(
            "waits",
            request.request_id,
            {
                **request.log_ids(),
                "adapter": str(key),
                "version": version,
                "engine": engine,
                "lead": leads.lead_of(state, engine),
            },
        )
    )
    send_ask(state, pending, at, effects)


def send_ask(state: GatewayState, pending: PendingAsk, at: float, effects: list) -> None:
    """Send an Ask to the lead of its engine; without a reachable lead, claim the engine instead."""
    pending.sent_at = at
    lead = leads.lead_of(state, pending.engine)
    if not lead or leads.is_silent(state, lead, at):
        leads.claim(state, pending.engine, at, effects)
        return
    endpoint = state.endpoints.get(pending.engine)
    absent_at = endpoint.absent_at.get(pending.key, float("-inf")) if endpoint else float("-inf")
    key = pending.key
    message = Ask(
        pending.engine,
        key.model,
        key.adapter,
        pending.version,
        pending.priority,
        at - absent_at < ABSENT_FRESH_S,
        at - pending.waiting_since,
    )
    effects.append(SendPeer(lead, message))


def withdraw_request(state: GatewayState, request: RequestState, at: float, effects: list) -> None:
    """Remove a request from its pending Ask, which ends with its last request."""
    pending = state.pending_asks.get((request.asked_engine, request.prompt.key))
    if pending is not None:
        pending.waiters.discard(request.request_id)
        if not pending.waiters:
            del state.pending_asks[pending.engine, pending.key]
            if request.adapter_ready_at == float("inf"):
                slot_search.withdraw_ask(state, pending, at, effects)
    request.asked_engine = ""
    request.adapter_ready_at = float("inf")


def on_lead_view(state: GatewayState, message: View, at: float, effects: list) -> set[str]:
    """Apply a View from the lead of an engine.

    Returns
    -------
    set of str
        Requests that should be routed again, as the engine has more demands than slots.
    """
    endpoint = state.endpoints.get(message.engine)
    if endpoint is None:
        return set()
    endpoint.lead_view = message
    endpoint.lead_view_at = at
    if message.is_known:
        held = {AdapterKey.parse(text): version for text, version in message.held.items()}
        endpoints.set_held(endpoint, held)
    to_reroute: set[str] = set()
    for pending in [ask for ask in state.pending_asks.values() if ask.engine == message.engine]:
        if not update_ready_times(state, pending, endpoint, at) and message.room < 0:
            to_reroute |= pending.waiters
    return to_reroute


def update_ready_times(
    state: GatewayState, pending: PendingAsk, endpoint: EndpointState, at: float
) -> bool:
    """Set when the adapter of a pending Ask is ready, for all requests that wait for it.

    Returns
    -------
    bool
        Whether the lead's latest View is fresh and lists the adapter as held or loading.
    """
    lead_view = endpoint.lead_view
    if lead_view is None or at - endpoint.lead_view_at > ASK_RETRY_S:
        return False
    key_text = str(pending.key)
    held = lead_view.held.get(key_text)
    if held is not None and held >= pending.version:
        wait_s = 0.0
    elif key_text in lead_view.coming:
        wait_s = lead_view.coming[key_text] + READY_MARGIN_S
    else:
        return False
    for request_id in pending.waiters:
        request = state.requests.get(request_id)
        if request is not None:
            request.adapter_ready_at = min(request.adapter_ready_at, endpoint.lead_view_at + wait_s)
    return True


def on_not_lead(
    state: GatewayState, sender: str, message: NotLead, at: float, effects: list
) -> None:
    """Claim an engine whose lead, according to the store's record, says that it is not the lead."""
    if leads.lead_of(state, message.engine) == sender:
        leads.claim(state, message.engine, at, effects)


def on_tick(state: GatewayState, at: float, effects: list) -> set[str]:
    """Repeat unanswered asks.

    Returns
    -------
    set of str
        Requests that should be routed again, as the lead of their engine is silent.
    """
    to_reroute: set[str] = set()
    for pending in list(state.pending_asks.values()):
        requests = [state.requests.get(request_id) for request_id in pending.waiters]
        if all(request is None or request.adapter_ready_at < float("inf") for request in requests):
            continue
        if at - pending.sent_at < ASK_RETRY_S:
            continue
        pending.attempts += 1
        if pending.attempts > ASK_ATTEMPTS:
            handle_silent_lead(state, pending, at, effects)
            to_reroute |= pending.waiters
            continue
        send_ask(state, pending, at, effects)
    return to_reroute


def handle_silent_lead(state: GatewayState, pending: PendingAsk, at: float, effects: list) -> None:
    """Handle an Ask that stayed unanswered after `ASK_ATTEMPTS`.

    No new adapter is requested at the engine for `SILENT_LEAD_PAUSE_S`. If no View for the engine
    arrived lately either, its lead is marked as silent for `SILENT_PEER_BACKOFF_S`. Then the Ask is
    sent again, or the engine is claimed if its lead is silent.
    """
    pending.attempts = 0
    endpoint = state.endpoints.get(pending.engine)
    lead_view_at = float("-inf")
    if endpoint is not None:
        endpoint.no_asks_until = at + SILENT_LEAD_PAUSE_S
        lead_view_at = endpoint.lead_view_at
    lead = leads.lead_of(state, pending.engine)
    lead_entry = state.entries.get(lead)
    if (
        lead_entry is not None
        and lead != state.name
        and at - lead_view_at > ASK_RETRY_S * ASK_ATTEMPTS
    ):
        lead_entry.silent_until = at + SILENT_PEER_BACKOFF_S
        leads.log_silent(lead, pending.engine, at, endpoint, effects)
        effects.append(Count("lead_silent"))
    send_ask(state, pending, at, effects)


def send_usage(state: GatewayState, at: float, effects: list) -> None:
    """Report this entry's usage to the leads of the engines where there is something to report."""
    interval_s = USAGE_INTERVAL_S * interval_factor(state)
    for name, endpoint in state.endpoints.items():
        had_in_flight = endpoint.sent_usage is not None and endpoint.sent_usage.running
        # With many endpoints most have no requests of this entry, so this check decides the cost of
        # the loop.
        if (
            not (
                endpoint.in_flight_by_adapter
                or endpoint.unreported_used
                or endpoint.unreported_answered
                or had_in_flight
            )
            or at - endpoint.usage_sent_at < interval_s
        ):
            continue
        lead = leads.lead_of(state, name)
        if not lead:
            continue
        usage = build_usage(name, endpoint)
        endpoint.sent_usage = usage
        endpoint.usage_sent_at = at
        endpoint.unreported_used.clear()
        endpoint.unreported_answered.clear()
        effects.append(SendPeer(lead, usage))


def build_usage(name: str, endpoint: EndpointState) -> Use:
    """Build the Use message for an engine."""
    running = {str(key): count for key, count in endpoint.in_flight_by_adapter.items()}
    used = tuple(sorted(str(key) for key in endpoint.unreported_used))
    answered = tuple(sorted(str(key) for key in endpoint.unreported_answered))
    return Use(name, running, used, sum(endpoint.prefill_tokens_by_request.values()), answered)
