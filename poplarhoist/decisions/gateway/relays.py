"""Lets other entries pass on requests whose endpoints this entry cannot reach.

The other entry handles the request as one of its own callers': it chooses the endpoint and keeps to
limits, pauses, deadlines and the retry budget. So this entry sends a request to another one at most
once, unless no connection was made, and never after that entry may have sent it to an endpoint.
"""

from __future__ import annotations

from poplarhoist.decisions.common_effects import Count
from poplarhoist.decisions.gateway import endpoints, links, teams
from poplarhoist.decisions.gateway.broadcast import other_entries
from poplarhoist.decisions.gateway.effects import Dispatch, LogRequest, RelayTerms
from poplarhoist.decisions.gateway.entry_state import EntryState
from poplarhoist.decisions.gateway.models import EndpointRecord
from poplarhoist.decisions.gateway.request_state import RequestState
from poplarhoist.decisions.gateway.state import GatewayState

# Seconds for which an entry to which no connection could be made gets no requests.
AVOID_ENTRY_S = 2.0


def choose_entry(state: GatewayState, request: RequestState, at: float) -> EntryState | None:
    """Return the entry that should pass a request on; None if it needs none, or there is none.

    Entries of this region come first, then those that pass on the fewest requests of this entry.
    """
    if request.is_relayed or not needs_relay(state, request, at):
        return None
    usable = [
        entry
        for entry in (state.entries[name] for name in other_entries(state))
        if entry.relay_port
        and entry.name not in request.tried_relays
        and max(entry.silent_until, entry.links_lost_until, entry.avoid_until) <= at
    ]
    region = state.regions.get(state.zone)
    return min(
        usable,
        key=lambda entry: (
            state.regions.get(entry.zone) != region,
            len(entry.relaying),
            state.random.random(),
        ),
        default=None,
    )


def needs_relay(state: GatewayState, request: RequestState, at: float) -> bool:
    """Return whether this entry has no link to any endpoint that may get a request now."""
    if links.are_lost(state):
        return True
    candidates = [
        endpoint
        for endpoint in endpoints.service_endpoints(state, request)
        if endpoints.may_get(state, endpoint, request, at)
    ]
    return bool(candidates) and all(endpoint.avoid_until > at for endpoint in candidates)


def start(
    state: GatewayState,
    request: RequestState,
    entry: EntryState,
    remaining_s: float,
    at: float,
    effects: list,
) -> None:
    """Send a request to another entry."""
    request.begin_attempt(at)
    request.relay = entry.name
    request.tried_relays.add(entry.name)
    entry.relaying.add(request.request_id)
    effects.append(
        Dispatch(
            request_id=request.request_id,
            attempt=request.attempt,
            endpoint=EndpointRecord(
                entry.name, request.service, entry.host, entry.relay_port, entry.zone, 0
            ),
            remaining_s=remaining_s,
            priority=teams.engine_priority(request),
            stream=request.route.kind == "stream",
            relay=RelayTerms(
                state.configuration.version,
                request.possible_runs,
                request.software_version,
                request.team.name if request.team is not None else "",
            ),
            team=teams.told_team(state, request),
        )
    )
    fields = {
        **request.log_ids(),
        "attempt": request.attempt,
        "peer": entry.name,
        "links_lost": links.are_lost(state),
    }
    effects.append(LogRequest("relayed", request.request_id, fields))
    effects.append(Count("relayed", ()))


def release(state: GatewayState, request: RequestState) -> EntryState | None:
    """Record that an entry no longer passes a request on; return it, or None if it has left."""
    entry = state.entries.get(request.relay)
    request.relay = ""
    if entry is not None:
        entry.relaying.discard(request.request_id)
    return entry


def avoid_temporarily(entry: EntryState, at: float) -> None:
    """Send nothing to an entry for a while, as no connection to it could be made."""
    entry.avoid_until = at + AVOID_ENTRY_S
