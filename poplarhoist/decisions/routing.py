"""Which granted endpoint gets a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions.membership import usable

if TYPE_CHECKING:
    from poplarhoist.decisions.state import RequestState, State
    from poplarhoist.models import Endpoint, EndpointReport

OTHER_ZONE_COST = 0.25
OTHER_REGION_COST = 4.0
QUEUE_FACTOR = 1.25


@define
class LoadView:
    """Load of an endpoint as this entry sees it.

    Attributes
    ----------
    mine : int
        Attempts of this entry that run there.
    others : int
        Requests of other entries at the last report.
    """

    mine: int = 0
    others: int = 0

    @property
    def total(self) -> int:
        """Requests that are expected to be there now."""
        return self.mine + self.others


@define
class RoutingState:
    """Load by endpoint."""

    loads: dict[str, LoadView] = field(factory=dict)


def load_of(state: State, endpoint: str) -> LoadView:
    """Return the load of an endpoint, made on first use."""
    load = state.routing.loads.get(endpoint)
    if load is None:
        load = state.routing.loads[endpoint] = LoadView()
    return load


def on_report(state: State, report: EndpointReport) -> None:
    """Correct the load of an endpoint by its report."""
    load = load_of(state, report.endpoint)
    load.others = max(0, report.running + report.waiting - load.mine)


def distance_cost(state: State, endpoint: Endpoint) -> float:
    """Return the cost of the way to an endpoint, in shares of a full batch."""
    if endpoint.place.region != state.me.place.region:
        return OTHER_REGION_COST
    if endpoint.place.zone != state.me.place.zone:
        return OTHER_ZONE_COST
    return 0.0


def cost(state: State, name: str) -> float:
    """Return the cost of sending one more request to an endpoint."""
    endpoint = state.members.endpoints[name].endpoint
    load = load_of(state, name).total / max(1, endpoint.batch)
    return load + distance_cost(state, endpoint)


def has_room(state: State, name: str) -> bool:
    """Return whether an endpoint can take one more request without a long queue."""
    batch = state.members.endpoints[name].endpoint.batch
    return load_of(state, name).total < max(1.0, batch * QUEUE_FACTOR)


def choose(state: State, request: RequestState) -> str | None:
    """Return the best granted endpoint with room for a request."""
    candidates = []
    for name, held in state.grants.by_ref.get(request.ref, {}).items():
        if held.recalled or held.alone or not usable(state, name):
            continue
        if has_room(state, name):
            candidates.append(name)
    return pick(state, request, candidates)


def choose_service(state: State, request: RequestState) -> str | None:
    """Return the best endpoint of a plain service."""
    names = state.members.services_by_name.get(request.service, ())
    return pick(state, request, [name for name in names if usable(state, name)])


def pick(state: State, request: RequestState, candidates: list[str]) -> str | None:
    """Return the cheapest of some endpoints, one that failed the request only as the last."""
    if not candidates:
        return None
    return min(sorted(candidates), key=lambda name: (name in request.avoid, cost(state, name)))
