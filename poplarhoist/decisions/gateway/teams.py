"""Finds the team of a request by its key, and orders requests by team and route."""

from __future__ import annotations

from attrs import evolve

from poplarhoist.decisions.common_effects import Count
from poplarhoist.decisions.gateway.events import RequestArrived
from poplarhoist.decisions.gateway.models import Refused, Route, Team
from poplarhoist.decisions.gateway.request_state import RequestState
from poplarhoist.decisions.gateway.state import GatewayState

# Priorities that engines tell apart among the routes of a team with a priority, and the last of their
# ten priorities.
ROUTE_PRIORITIES = 3
LAST_ENGINE_PRIORITY = 9
# Distance of two teams' priorities in the single number of an Ask; routes have lower ones. Requests
# without a team's priority have the numbers that entries of earlier releases send.
ASK_TEAM_STEP = 1000


def identify(state: GatewayState, event: RequestArrived, route: Route) -> Team | None | Refused:
    """Return the team of a request that arrives, by the configuration in force.

    Returns
    -------
    Team, None or Refused
        None if teams are not in force, or if the route is anonymous and no known key was sent.
        `Refused.UNKNOWN_KEY` if the route needs a key.
    """
    if event.relay is not None:
        return relayed_team(state, event.relay.team)
    directory = state.configuration.teams
    if directory is None:
        return None
    # With several keys it is unclear whose the request is.
    team = directory.by_digest.get(event.key_digest) if event.key_lines == 1 else None
    if team is None and not route.anonymous:
        return Refused.UNKNOWN_KEY
    return team


def relayed_team(state: GatewayState, name: str) -> Team | None:
    """Return the team that the entry which sent a request has found, without a quota.

    That entry has checked key and quota. Its configuration may be another one than that of this
    entry, so that the team may be unknown here.
    """
    if not name:
        return None
    directory = state.configuration.teams
    known = directory.by_name.get(name) if directory is not None else None
    return Team(name) if known is None else evolve(known, quota=None)


def told_team(state: GatewayState, request: RequestState) -> str | None:
    """Return the name of the team that an endpoint is told, as `Dispatch.team` says."""
    if request.team is not None:
        return request.team.name
    return "" if state.configuration.teams is not None else None


def urgency(request: RequestState) -> tuple[int, int]:
    """Return the priority of the team, 0 if it has none, and that of the route; the least is first.

    Engines get the same numbers for requests of a team with priority 0 and for those without one.
    """
    team_priority = request.team.priority if request.team is not None else None
    return team_priority or 0, request.route.priority


def engine_priority(request: RequestState) -> int:
    """Return the priority that engines get; 0 is the most urgent."""
    if request.team is None or request.team.priority is None:
        return request.route.priority
    team_priority, route_priority = urgency(request)
    route_part = min(ROUTE_PRIORITIES - 1, route_priority)
    return min(LAST_ENGINE_PRIORITY, ROUTE_PRIORITIES * team_priority + route_part)


def ask_priority(request: RequestState) -> int:
    """Return the priority of an Ask, which orders requests as `urgency` does."""
    if request.team is None or request.team.priority is None:
        return request.route.priority
    team_priority, route_priority = urgency(request)
    return ASK_TEAM_STEP * team_priority + min(ASK_TEAM_STEP - 1, route_priority)


def waiting_order(state: GatewayState, request_id: str) -> tuple:
    """Return the key by which waiting requests are ordered: the most urgent and oldest first."""
    request = state.requests.get(request_id)
    if request is None:
        return (0, 0, 0.0, request_id)
    return (*urgency(request), request.first_requested_at, request_id)


def count_refusal(state: GatewayState, team: Team | None, reason: Refused, effects: list) -> None:
    """Count the refusal of a request of a known team."""
    if team is not None:
        effects.append(Count("team_refused", (state.teams.label(team.name), reason.name.lower())))
