"""Keeps brittle endpoints from having to turn requests away, which makes them fall over.

While an endpoint says that it is brittle, each entry has a window of requests that it may have in
flight there. The windows of all entries begin with the endpoint's slots. When the endpoint turns a
request away, the entry tells all others, and each shrinks its window to what it has in flight: that
is what the endpoint had room for. Windows in full use grow by one from time to time, over all
entries rarely enough for the endpoint to bear what that may cost.

Places pass from one window to another, so that it does not matter which entries had requests in
flight as the windows shrank. An entry that lacks places asks the endpoint's keeper, the first entry
of a rendezvous order. The keeper gives some out of its own window; if none is unused there, it asks
all others, who give it those that they do not use. A place is in one window or in a message.
"""

from __future__ import annotations

from poplarhoist.decisions.common_effects import Count, LogChange
from poplarhoist.decisions.gateway import leads
from poplarhoist.decisions.gateway.broadcast import tell_others
from poplarhoist.decisions.gateway.effects import SendPeer
from poplarhoist.decisions.gateway.endpoint_state import BrittleState, EndpointState
from poplarhoist.decisions.gateway.hashing import rendezvous_order
from poplarhoist.decisions.gateway.messages import NoRoom, Places, PlacesWanted
from poplarhoist.decisions.gateway.request_state import RequestState
from poplarhoist.decisions.gateway.state import GatewayState

# Seconds between two growths of a window over all entries, if the endpoint bears one request turned
# away in a second; fewer if it bears more.
GROWTH_INTERVAL_S = 4.0
# Seconds after a request was turned away in which the end of the endpoint's responses is no sign that
# one of its requests crashed it.
BLAME_EXEMPT_S = 1.5
# Seconds between two questions of an entry for places at one endpoint; for so long the keeper
# remembers one.
WANT_INTERVAL_S = 0.25
# Seconds after which a window grows for a question: other endpoints may have had a place till then.
GROW_AFTER_S = 0.12
# Seconds between two questions of a keeper to all others, and seconds for which these give back
# places as soon as they do not use them; a question or two may be lost.
RECALL_INTERVAL_S = 2.0
RECALL_S = 5.0


def on_notice(
    state: GatewayState,
    endpoint: EndpointState,
    bears_per_s: float | None,
    sent_at: float,
    at: float,
    effects: list,
) -> None:
    """Apply how many requests an endpoint bears to turn away in a second; None if it is sound.

    A response to a request that was sent before brittleness was last seen does not end it.
    """
    brittle = endpoint.brittle
    if bears_per_s is not None:
        learn(state, endpoint, bears_per_s, at, at, effects)
        return
    brittle.sound_at = max(brittle.sound_at, sent_at)
    if brittle.bears_per_s is not None and sent_at > brittle.seen_at:
        brittle.bears_per_s = None
        log_change(endpoint, effects)


def learn(
    state: GatewayState,
    endpoint: EndpointState,
    bears_per_s: float,
    seen_at: float,
    at: float,
    effects: list,
) -> None:
    """Apply that an endpoint is brittle, which an answer told some entry at `seen_at`."""
    brittle = endpoint.brittle
    brittle.seen_at = max(brittle.seen_at, seen_at)
    if brittle.bears_per_s == bears_per_s:
        return
    is_new = brittle.bears_per_s is None
    brittle.bears_per_s = bears_per_s
    if is_new:
        brittle.window = max(share_of_slots(state, endpoint), len(endpoint.in_flight))
        brittle.grows_at = at + growth_interval_s(state, endpoint)
    log_change(endpoint, effects)


def on_new_run(
    state: GatewayState,
    endpoint: EndpointState,
    brittle_ones: list[BrittleState],
    at: float,
    effects: list,
) -> None:
    """Take a run that has not answered yet for as brittle as others of its service.

    It may take the place of one that fell over, and all requests that wait would come to it at once.
    """
    if brittle_ones:
        bears_per_s = min(brittle.bears_per_s for brittle in brittle_ones)
        seen_at = max(brittle.seen_at for brittle in brittle_ones)
        learn(state, endpoint, bears_per_s, seen_at, at, effects)


def brittle_in(state: GatewayState, service: str) -> list[BrittleState]:
    """Return what is known of the brittle endpoints of a service."""
    return [
        endpoint.brittle
        for endpoint in state.endpoints.values()
        if endpoint.record.service == service and endpoint.brittle.bears_per_s is not None
    ]


def log_change(endpoint: EndpointState, effects: list) -> None:
    """Log that an endpoint became brittle or sound, or bears another number."""
    brittle = endpoint.brittle
    fields = {"endpoint": endpoint.record.name, "bears_per_s": brittle.bears_per_s}
    effects.append(LogChange("endpoint-brittle", fields | {"window": brittle.window}))
    change = "ended" if brittle.bears_per_s is None else "named"
    effects.append(Count("endpoint_brittle", (change,)))


def share_of_slots(state: GatewayState, endpoint: EndpointState) -> int:
    """Return this entry's part of an endpoint's slots; 0 for some if there are more entries."""
    record = endpoint.record
    entries = rendezvous_order(record.name, state.entries or (state.name,))
    part, left = divmod(record.max_concurrent_requests, len(entries))
    return part + (state.name in entries[:left])


def on_turned_away(state: GatewayState, endpoint: EndpointState, at: float, effects: list) -> None:
    """Apply that a brittle endpoint had no room for a request, and tell the others."""
    brittle = endpoint.brittle
    if brittle.bears_per_s is None:
        return
    shrink(state, endpoint, at, effects)
    record = endpoint.record
    tell_others(state, NoRoom(record.name, record.incarnation, brittle.bears_per_s), effects)


def on_told(state: GatewayState, message: NoRoom, at: float, effects: list) -> None:
    """Apply that a brittle endpoint had no room for a request of another entry."""
    endpoint = state.find_run(message.endpoint, message.incarnation)
    if endpoint is None:
        return
    on_notice(state, endpoint, message.bears_per_s, at, at, effects)
    shrink(state, endpoint, at, effects)


def shrink(state: GatewayState, endpoint: EndpointState, at: float, effects: list) -> None:
    """Shrink the window to what this entry has in flight."""
    brittle = endpoint.brittle
    brittle.window = len(endpoint.in_flight)
    brittle.turned_away_at = at
    brittle.grows_at = at + growth_interval_s(state, endpoint)
    fields = {"endpoint": endpoint.record.name, "window": brittle.window}
    effects.append(LogChange("endpoint-full", fields))


def growth_interval_s(state: GatewayState, endpoint: EndpointState) -> float:
    """Return the seconds until the window may grow; infinity if no request may be turned away."""
    bears_per_s = endpoint.brittle.bears_per_s
    if bears_per_s < 1.0:
        return float("inf")
    # Half of the growth is the keeper's, which knows what is wanted; half is that of all others,
    # so that windows grow also where no keeper answers.
    others = max(1, len(state.entries) - 1)
    parts = 2.0 * (1 if keeper_of(state, endpoint, state.last_event_at) == state.name else others)
    return GROWTH_INTERVAL_S / bears_per_s * parts * state.random.uniform(0.5, 1.5)


def may_send(state: GatewayState, endpoint: EndpointState, at: float) -> bool:
    """Return whether an endpoint has room for another request of this entry, as far as is known."""
    brittle = endpoint.brittle
    if brittle.bears_per_s is None or len(endpoint.in_flight) < brittle.window:
        return True
    if at < brittle.grows_at:
        return False
    brittle.window += 1
    brittle.grows_at = at + growth_interval_s(state, endpoint)
    return True


def is_full(endpoint: EndpointState) -> bool:
    """Return whether an endpoint is brittle and has as many requests of this entry as it may."""
    brittle = endpoint.brittle
    return brittle.bears_per_s is not None and len(endpoint.in_flight) >= brittle.window


def explains_fall(endpoint: EndpointState, at: float) -> bool:
    """Return whether a brittle endpoint has just turned requests away, and may fall over for it."""
    brittle = endpoint.brittle
    return brittle.bears_per_s is not None and at - brittle.turned_away_at <= BLAME_EXEMPT_S


def keeper_of(state: GatewayState, endpoint: EndpointState, at: float) -> str:
    """Return the entry that is asked for places at an endpoint."""
    order = rendezvous_order(endpoint.record.name, {state.name, *state.entries})
    return next(entry for entry in order if not leads.is_silent(state, entry, at))


def want_places(
    state: GatewayState,
    full: list[EndpointState],
    request: RequestState,
    at: float,
    effects: list,
) -> None:
    """Ask for places at one of the endpoints whose windows are full, if that was not done lately.

    One is asked for at a time, as places that come too many would be missing elsewhere.
    """
    due = [endpoint for endpoint in full if at - endpoint.brittle.wanted_at >= WANT_INTERVAL_S]
    if not due:
        return
    key = request.prompt.key if request.prompt is not None else None
    endpoint = min(due, key=lambda option: (key not in option.held, state.random.random()))
    waiting = (state.requests.get(request_id) for request_id in state.waiting)
    others = sum(
        other is not None and other is not request and other.service == request.service
        for other in waiting
    )
    endpoint.brittle.wanted_at = at
    keeper = keeper_of(state, endpoint, at)
    effects.append(SendPeer(keeper, places_wanted(endpoint, 1 + others, at)))


def places_wanted(endpoint: EndpointState, count: int, at: float) -> PlacesWanted:
    """Return the message that asks for places at an endpoint."""
    record, brittle = endpoint.record, endpoint.brittle
    age_s = round(at - brittle.seen_at, 3)
    return PlacesWanted(record.name, record.incarnation, brittle.bears_per_s, age_s, count)


def on_wanted(
    state: GatewayState, sender: str, message: PlacesWanted, at: float, effects: list
) -> None:
    """Lend places to another entry as the keeper, or else give back those that are not used.

    What the other entry knows may be older than an answer that has told that the endpoint is sound.
    Then it gets what it wants, and learns the same.
    """
    endpoint = state.find_run(message.endpoint, message.incarnation)
    if endpoint is None:
        return
    is_keeper = keeper_of(state, endpoint, at) == state.name
    seen_at = at - message.age_s
    if endpoint.brittle.bears_per_s is None and seen_at <= endpoint.brittle.sound_at:
        if is_keeper:
            give(endpoint, sender, message.count, effects)
        return
    learn(state, endpoint, message.bears_per_s, seen_at, at, effects)
    if is_keeper:
        endpoint.brittle.wishes.pop(sender, None)
        endpoint.brittle.wishes[sender] = message.count, at
        lend(state, endpoint, at, effects)
    else:
        endpoint.brittle.recalled_until = at + RECALL_S
        give_back(state, endpoint, at, effects)


def on_places(state: GatewayState, message: Places, at: float, effects: list) -> None:
    """Add places that another entry has given."""
    endpoint = state.find_run(message.endpoint, message.incarnation)
    if endpoint is not None and endpoint.brittle.bears_per_s is not None:
        endpoint.brittle.window += message.count
        lend(state, endpoint, at, effects)


def on_tick(state: GatewayState, at: float, effects: list) -> None:
    """Lend or give back places that requests of this entry have left and no other has taken."""
    for endpoint in state.endpoints.values():
        if endpoint.brittle.bears_per_s is None:
            continue
        lend(state, endpoint, at, effects)
        if at < endpoint.brittle.recalled_until:
            give_back(state, endpoint, at, effects)


def lend(state: GatewayState, endpoint: EndpointState, at: float, effects: list) -> None:
    """Give unused places to entries that want some, to the latest first.

    Its requests can wait longest yet; those of the others may be refused as a place arrives.
    """
    brittle = endpoint.brittle
    for entry, (count, asked_at) in reversed(list(brittle.wishes.items())):
        if at - asked_at > WANT_INTERVAL_S:
            del brittle.wishes[entry]
        elif unused(endpoint) > 0 or (
            at - asked_at >= GROW_AFTER_S and may_send(state, endpoint, at)
        ):
            del brittle.wishes[entry]
            give(endpoint, entry, min(count, unused(endpoint)), effects)
    if brittle.wishes and at - brittle.recalled_at >= RECALL_INTERVAL_S:
        brittle.recalled_at = at
        wanted = sum(count for count, _ in brittle.wishes.values())
        tell_others(state, places_wanted(endpoint, wanted, at), effects)


def give_back(state: GatewayState, endpoint: EndpointState, at: float, effects: list) -> None:
    """Give the places that this entry does not use to the keeper."""
    if unused(endpoint) <= 0:
        return
    keeper = keeper_of(state, endpoint, at)
    if keeper != state.name:
        give(endpoint, keeper, unused(endpoint), effects)


def unused(endpoint: EndpointState) -> int:
    """Return how many places of this entry's window are not in use."""
    return endpoint.brittle.window - len(endpoint.in_flight)


def give(endpoint: EndpointState, entry: str, count: int, effects: list) -> None:
    """Give places to an entry."""
    record = endpoint.record
    endpoint.brittle.window -= count
    effects.append(SendPeer(entry, Places(record.name, record.incarnation, count)))
