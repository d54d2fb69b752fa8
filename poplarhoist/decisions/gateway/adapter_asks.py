"""Asks the leads of engines for adapters, and tells them what is used."""

from __future__ import annotations

from poplarhoist.decisions.effects import Count
from poplarhoist.decisions.gateway import endpoints, leads
from poplarhoist.decisions.gateway.effects import LogRequest, SendPeer
from poplarhoist.decisions.gateway.leads import interval_factor
from poplarhoist.decisions.gateway.limits import (
    ASK_ATTEMPTS,
    ASK_RETRY_S,
    SILENT_PEER_BACKOFF_S,
    USAGE_INTERVAL_S,
)
from poplarhoist.decisions.gateway.messages import Ask, NotLead, Use, View
from poplarhoist.decisions.gateway.models import AdapterKey
from poplarhoist.decisions.gateway.routing import required_version
from poplarhoist.decisions.gateway.state import (
    EndpointState,
    GatewayState,
    PendingAsk,
    RequestState,
)

# Seconds for which an engine's word that it lacks an adapter goes into a question.
ABSENT_FRESH_S = 1.0
# Seconds added to the time at which an adapter is expected; a request that comes too early is
# turned away by the engine and costs a repeat.
READY_MARGIN_S = 0.01
# Seconds for which an engine whose lead does not answer gets no new adapters from here.
SILENT_LEAD_PAUSE_S = 1.0


def ask_for_adapter(
    state: GatewayState, request: RequestState, engine: str, at: float, out: list
) -> None:
    """Ask for a request's adapter at an engine; the request waits."""
    key = request.prompt.key
    request.asked_engine = engine
    request.asked_at = at
    request.adapter_ready_at = float("inf")
    known = state.pending_asks.get((engine, key))
    if known is not None:
        known.waiters.add(request.request_id)
        known.waiting_since = min(known.waiting_since, request.first_requested_at)
        known.version = max(known.version, required_version(state, key, at))
        view = state.endpoints[engine]
        update_ready_times(state, known, view, at)
        return
    version = required_version(state, key, at)
    priority, since = request.route.priority, request.first_requested_at
    question = PendingAsk(engine, key, version, priority, since, at)
    question.waiters.add(request.request_id)
    state.pending_asks[engine, key] = question
    out.append(
        LogRequest(
            "waits",
            request.request_id,
            {
                "caller_id": request.caller_id,
                "adapter": str(key),
                "version": version,
                "engine": engine,
                "lead": leads.lead_of(state, engine),
            },
        )
    )
    send_ask(state, question, at, out)


def send_ask(state: GatewayState, question: PendingAsk, at: float, out: list) -> None:
    """Send a question to the lead of its engine, or see to it that there is one."""
    question.sent_at = at
    lead = leads.lead_of(state, question.engine)
    if not lead or leads.is_silent(state, lead, at):
        leads.claim(state, question.engine, at, out)
        return
    view = state.endpoints.get(question.engine)
    absent_at = view.absent_at.get(question.key, float("-inf")) if view else float("-inf")
    key = question.key
    message = Ask(
        question.engine,
        key.model,
        key.adapter,
        question.version,
        question.priority,
        at - absent_at < ABSENT_FRESH_S,
        at - question.waiting_since,
    )
    out.append(SendPeer(lead, message))


def withdraw_request(state: GatewayState, request: RequestState) -> None:
    """Take a request out of its question."""
    question = state.pending_asks.get((request.asked_engine, request.prompt.key))
    if question is not None:
        question.waiters.discard(request.request_id)
        if not question.waiters:
            del state.pending_asks[question.engine, question.key]
    request.asked_engine = ""
    request.adapter_ready_at = float("inf")


def on_lead_view(state: GatewayState, message: View, at: float, out: list) -> set[str]:
    """Take the word of an engine's lead; return the requests to be placed anew."""
    view = state.endpoints.get(message.engine)
    if view is None:
        return set()
    view.lead_view = message
    view.lead_view_at = at
    endpoints.set_held(
        view, {AdapterKey.parse(text): version for text, version in message.held.items()}
    )
    anew: set[str] = set()
    for question in [q for q in state.pending_asks.values() if q.engine == message.engine]:
        if not update_ready_times(state, question, view, at) and message.room < 0:
            anew |= question.waiters
    return anew


def update_ready_times(
    state: GatewayState, question: PendingAsk, view: EndpointState, at: float
) -> bool:
    """Tell those who wait when their adapter is there; return whether that is known."""
    message = view.lead_view
    if message is None or at - view.lead_view_at > ASK_RETRY_S:
        return False
    text = str(question.key)
    held = message.held.get(text)
    if held is not None and held >= question.version:
        wait_s = 0.0
    elif text in message.coming:
        wait_s = message.coming[text] + READY_MARGIN_S
    else:
        return False
    for request_id in question.waiters:
        request = state.requests.get(request_id)
        if request is not None:
            request.adapter_ready_at = min(request.adapter_ready_at, view.lead_view_at + wait_s)
    return True


def on_not_lead(state: GatewayState, sender: str, message: NotLead, at: float, out: list) -> None:
    """Learn that an entry does not lead an engine, though the store's record may name it."""
    if leads.lead_of(state, message.engine) == sender:
        leads.claim(state, message.engine, at, out)


def on_tick(state: GatewayState, at: float, out: list) -> set[str]:
    """Ask again; return the requests to be placed anew as their engine's lead is silent."""
    anew: set[str] = set()
    for question in list(state.pending_asks.values()):
        waits = [state.requests.get(request_id) for request_id in question.waiters]
        if all(request is None or request.adapter_ready_at < float("inf") for request in waits):
            continue
        if at - question.sent_at < ASK_RETRY_S:
            continue
        question.attempts += 1
        if question.attempts > ASK_ATTEMPTS:
            handle_silent_lead(state, question, at, out)
            anew |= question.waiters
            continue
        send_ask(state, question, at, out)
    return anew


def handle_silent_lead(state: GatewayState, question: PendingAsk, at: float, out: list) -> None:
    """Take the lead of an engine for silent."""
    question.attempts = 0
    view = state.endpoints.get(question.engine)
    told_at = float("-inf")
    if view is not None:
        view.no_asks_until = at + SILENT_LEAD_PAUSE_S
        told_at = view.lead_view_at
    lead = leads.lead_of(state, question.engine)
    known = state.entries.get(lead)
    if known is not None and lead != state.name and at - told_at > ASK_RETRY_S * ASK_ATTEMPTS:
        known.silent_until = at + SILENT_PEER_BACKOFF_S
        leads.log_silent(lead, question.engine, at, view, out)
        out.append(Count("lead_silent"))
    send_ask(state, question, at, out)


def send_usage(state: GatewayState, at: float, out: list) -> None:
    """Tell the leads what this entry has at their engines, where it changed."""
    pace_s = USAGE_INTERVAL_S * interval_factor(state)
    for name, view in state.endpoints.items():
        told = view.sent_usage is not None and view.sent_usage.running
        # Most endpoints have nothing of this entry; with many of them this check is what counts.
        if (
            not (
                view.in_flight_by_adapter
                or view.unreported_used
                or view.unreported_answered
                or told
            )
            or at - view.usage_sent_at < pace_s
        ):
            continue
        lead = leads.lead_of(state, name)
        if not lead:
            continue
        current = build_usage(name, view)
        view.sent_usage = current
        view.usage_sent_at = at
        view.unreported_used.clear()
        view.unreported_answered.clear()
        out.append(SendPeer(lead, current))


def build_usage(name: str, view: EndpointState) -> Use:
    """Return what this entry has at an engine."""
    running = {str(key): count for key, count in view.in_flight_by_adapter.items()}
    used = tuple(sorted(str(key) for key in view.unreported_used))
    answered = tuple(sorted(str(key) for key in view.unreported_answered))
    return Use(name, running, used, sum(view.prefill_tokens_by_request.values()), answered)
