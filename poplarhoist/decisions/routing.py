"""Which granted endpoint gets a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash
from attrs import define, field

from poplarhoist.decisions import crossing
from poplarhoist.decisions.load_views import LoadView, estimate, load_of
from poplarhoist.decisions.membership import is_endpoint_usable

if TYPE_CHECKING:
    from poplarhoist.decisions.state import RequestState, State

OTHER_ZONE_COST = 0.25
OTHER_REGION_COST = 4.0
QUEUE_FACTOR = 1.25
FILL_TARGET = 0.625
FILL_BELOW = 0.8


@define
class RoutingState:
    """Load by endpoint."""

    loads: dict[str, LoadView] = field(factory=dict)


def distance_cost(state: State, name: str) -> float:
    """Return the cost of the way to an endpoint, in shares of a full batch."""
    place = state.members.endpoints[name].endpoint.place
    if place.region != state.me.place.region:
        return OTHER_REGION_COST
    if place.zone != state.me.place.zone:
        return OTHER_ZONE_COST
    return 0.0


def cost(state: State, name: str) -> float:
    """Return the cost of sending one more request to an endpoint, in shares of a full batch."""
    return batch_share(state, name) + distance_cost(state, name)


def batch_share(state: State, name: str) -> float:
    """Return the load that is expected at an endpoint as a share of its batch."""
    batch = state.members.endpoints[name].endpoint.batch
    return estimate(state, name) / max(1, batch)


def fill_below(state: State) -> float:
    """Return the mean load up to which batches are filled one after the other.

    That pays while the endpoints have little to do on average; how little depends on how much
    the preset weighs full batches against waits.
    """
    preset = state.config.preset
    return FILL_BELOW * preset.batch_weight / (preset.stall_weight + preset.batch_weight)


def has_room(state: State, name: str) -> bool:
    """Return whether an endpoint can take one more request without a long queue."""
    batch = state.members.endpoints[name].endpoint.batch
    return load_of(state, name).total < max(1.0, batch * QUEUE_FACTOR)


def wait_s(state: State, name: str) -> float:
    """Return how long one more request is expected to queue at an endpoint."""
    batch = max(1, state.members.endpoints[name].endpoint.batch)
    behind = max(0.0, estimate(state, name) + 1.0 - batch)
    return behind / batch * load_of(state, name).service_s


def choose(state: State, request: RequestState, at: float) -> str | None:
    """Return the best granted endpoint with room for a request."""
    near, far = [], []
    for name, held in state.grants.by_ref.get(request.ref, {}).items():
        if held.recalled or held.alone or not is_endpoint_usable(state, name):
            continue
        (far if crossing.is_far(state, name) else near).append(name)
    best = pick(state, request, [name for name in near if has_room(state, name)])
    if best is None and far and may_cross(state, request, near, at):
        best = pick(state, request, [name for name in far if has_room(state, name)])
    return best


def may_cross(state: State, request: RequestState, near: list[str], at: float) -> bool:
    """Return whether a request gains enough by crossing to another region to pay for it."""
    if near:
        waited_s = at - request.arrived_at
        gain_s = max(waited_s, min(wait_s(state, name) for name in near))
        if gain_s < state.limits.crossing_price_s:
            return False
    return crossing.has_budget(state, at)


def choose_service(state: State, request: RequestState) -> str | None:
    """Return the best endpoint of a plain service."""
    names = state.members.services_by_name.get(request.service, ())
    return pick(state, request, [name for name in names if is_endpoint_usable(state, name)])


def pick(state: State, request: RequestState, candidates: list[str]) -> str | None:
    """Return the cheapest of some endpoints, one that failed the request only as the last.

    While there is little to do, those that run more are cheaper, up to ``FILL_TARGET``.
    """
    if len(candidates) <= 1:
        return candidates[0] if candidates else None
    names = [name for name in candidates if name not in request.avoided_endpoints] or candidates
    shares = [(batch_share(state, name), name) for name in sorted(names)]
    fills = sum(share for share, _ in shares) < fill_below(state) * len(shares)
    costs = []
    for share, name in shares:
        load = -share if fills and share < FILL_TARGET else share
        costs.append((load + distance_cost(state, name), name))
    lowest = min(costs)[0]
    best = [name for price, name in costs if price == lowest]
    if len(best) == 1:
        return best[0]
    if request.prefix_hash:
        return max(best, key=lambda name: affinity(request.prefix_hash, name))
    return state.random.choice(best)


def affinity(prefix: int, endpoint: str) -> int:
    """Return the rendezvous hash of a prompt's start and an endpoint; the highest is used."""
    return xxhash.xxh64_intdigest(f"{prefix}|{endpoint}".encode())
