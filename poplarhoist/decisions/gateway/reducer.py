"""The gateway's reducer: takes an event, changes the state, returns the effects."""

from __future__ import annotations

from attrs import evolve

from poplarhoist.decisions.effects import LogChange, Stop
from poplarhoist.decisions.gateway import (
    asking,
    books,
    configuration,
    crashes,
    endpoints,
    leads,
    messages,
    news,
    requests,
)
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.effects import SendPeer, StopListening
from poplarhoist.decisions.gateway.limits import PAUSED_S
from poplarhoist.decisions.gateway.models import AdapterKey
from poplarhoist.decisions.gateway.state import Announced, GatewayState

# Seconds between two rounds of what need not be done with each tick.
SLOW_TICK_S = 0.25
# Seconds for which a stopping entry still accepts connections: the platform asks once a second
# whether it is ready and sends callers until the second refusal.
LEAVE_S = 2.3
# Seconds before the end of the grace period at which the entry stops in any case.
LAST_WORDS_S = 0.6


def reduce(state: GatewayState, event: ev.Event) -> list:
    """Apply an event.

    Parameters
    ----------
    state : GatewayState
        Changed in place.
    event : Event
        What happened; one that is told late counts from when it is told.

    Returns
    -------
    list of Effect
        What the shell is to do, in order.
    """
    out: list = []
    if event.at < state.last_event_at < float("inf"):
        event = evolve(event, at=state.last_event_at)
    note_pause(state, event.at, out)
    HANDLERS[type(event)](state, event, out)
    return deliver_to_self(state, event.at, out)


def note_pause(state: GatewayState, at: float, out: list) -> None:
    """Notice a pause of this process, after which its books may be old."""
    paused_s = at - state.last_event_at
    state.last_event_at = at
    if paused_s < PAUSED_S:
        return
    out.append(LogChange("entry-was-paused", {"seconds": round(paused_s, 3)}))
    for book in state.books.values():
        # Another entry may lead by now; its record arrives with the next watch.
        book.usable_at = max(book.usable_at, at + PAUSED_S)
        books.doubt(book, at, "pause", out)


def deliver_to_self(state: GatewayState, at: float, out: list) -> list:
    """Handle messages to this entry, and those that follow from them."""
    effects: list = []
    while out:
        pending, out = out, []
        for effect in pending:
            if isinstance(effect, SendPeer) and effect.peer == state.me:
                handle_message(state, state.me, effect.message, at, out)
            else:
                effects.append(effect)
    return effects


def handle_message(state: GatewayState, sender: str, message, at: float, out: list) -> None:
    """Hand a message to the policy that it concerns."""
    match message:
        case messages.Ask():
            books.on_ask(state, sender, message, at, out)
        case messages.View():
            place_anew(state, asking.on_view(state, message, at, out), at, out)
        case messages.Use():
            books.on_use(state, sender, message, at, out)
        case messages.NotLead():
            asking.on_not_lead(state, sender, message, at, out)
        case messages.Crashed():
            crashes.note(state, message.content, message.endpoint, out)
        case messages.News():
            news.on_news(message, out)


def place_anew(state: GatewayState, request_ids: set[str], at: float, out: list) -> None:
    """Choose again for requests whose engine cannot get their adapter now."""
    for request_id in sorted(request_ids):
        request = state.requests.get(request_id)
        if request is not None and request_id in state.waiting:
            requests.place_anew(state, request, at, out)


def on_tick(state: GatewayState, event: ev.Tick, out: list) -> None:
    """Let every policy do what is due."""
    at = event.at
    books.on_tick(state, at, out)
    requests.on_tick(state, at, out)
    place_anew(state, asking.on_tick(state, at, out), at, out)
    asking.tell_use(state, at, out)
    stop_when_done(state, at, out)
    if at - state.last_slow_tick_at < SLOW_TICK_S:
        return
    state.last_slow_tick_at = at
    endpoints.on_tick(state, at, out)
    leads.on_tick(state, at, out)


def stop_when_done(state: GatewayState, at: float, out: list) -> None:
    """Take no more connections once nobody is sent here; end when the grace period is over.

    The shell ends earlier once it has answered what was read.
    """
    if state.draining_since is None:
        return
    passed_s = at - state.draining_since
    if passed_s >= LEAVE_S and not state.listening_ended:
        state.listening_ended = True
        out.append(StopListening())
    if passed_s >= state.limits.stop_s - LAST_WORDS_S and not state.stopped:
        state.stopped = True
        out.append(LogChange("entry-out-of-time", {"open": len(state.requests)}))
        out.append(Stop())


def on_peer(state: GatewayState, event: ev.PeerSaid, out: list) -> None:
    """Take a message from another entry."""
    known = state.entries.get(event.sender)
    if known is not None:
        known.silent_until = float("-inf")
    handle_message(state, event.sender, event.message, event.at, out)


def on_version(state: GatewayState, event: ev.VersionSeen, out: list) -> None:
    """Take the announcement of an adapter's version."""
    key = AdapterKey(event.model, event.adapter)
    known = state.versions.get(key)
    if known is not None and known.version >= event.version:
        return
    state.versions[key] = Announced(event.version, event.at)
    out.append(LogChange("version-announced", {"adapter": str(key), "version": event.version}))


def on_store(state: GatewayState, event: ev.StoreReached, out: list) -> None:
    """Take note of the store's loss or return."""
    if event.reached == (not state.store_away):
        return
    state.store_away = not event.reached
    if event.reached:
        state.store_back_at = event.at
    change = "store-regained" if event.reached else "store-lost"
    out.append(LogChange(change, {"reason": event.reason}))


def on_limits(state: GatewayState, event: ev.LimitsChanged, out: list) -> None:
    """Use new settings from now on."""
    state.limits = event.limits
    out.append(LogChange("settings-read", {}))


def on_drain(state: GatewayState, event: ev.DrainAsked, out: list) -> None:
    """Begin a graceful stop: not ready any more, leads handed over."""
    if state.draining_since is not None:
        return
    state.draining_since = event.at
    out.append(LogChange("entry-draining", {"open": len(state.requests)}))
    leads.release_all(state, out)


def ready(state: GatewayState) -> bool:
    """Return whether this entry can serve callers."""
    return state.configuration is not None and state.listed and state.draining_since is None


HANDLERS = {
    ev.Tick: on_tick,
    ev.ConfigurationSeen: configuration.on_seen,
    ev.EndpointSeen: endpoints.on_seen,
    ev.EndpointRemoved: endpoints.on_removed,
    ev.EndpointsListed: endpoints.on_listed,
    ev.VersionSeen: on_version,
    ev.EntrySeen: leads.on_entry,
    ev.EntriesListed: leads.on_entries_listed,
    ev.LeadSeen: leads.on_lead,
    ev.LeadsListed: leads.on_leads_listed,
    ev.ClaimEnded: leads.on_claim,
    ev.StoreReached: on_store,
    ev.ChangesRead: news.on_read,
    ev.RequestArrived: requests.on_arrived,
    ev.AnswerBegan: requests.on_began,
    ev.AttemptEnded: requests.on_ended,
    ev.CallerLeft: lambda state, event, out: requests.on_left(
        state, event.request_id, event.at, out
    ),
    ev.PeerSaid: on_peer,
    ev.OrderEnded: books.on_order,
    ev.ReportRead: books.on_report,
    ev.LimitsChanged: on_limits,
    ev.DrainAsked: on_drain,
}
