"""Selects the endpoint for a request, by load, distance and prompt prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash
from attrs import define, field

from poplarhoist.decisions import cross_region
from poplarhoist.decisions.load_views import LoadView, estimate_load, get_or_create_load
from poplarhoist.decisions.membership import is_endpoint_usable

if TYPE_CHECKING:
    from poplarhoist.decisions.state import RequestState, State

# Costs and FILL_* limits are shares of a full batch.
OTHER_ZONE_COST = 0.25
OTHER_REGION_COST = 4.0
MAX_LOAD_FACTOR = 1.25
FILL_TARGET = 0.625
FILL_LOAD_LIMIT = 0.8


@define
class RoutingState:
    """The load of each endpoint as this entry sees it."""

    loads_by_endpoint: dict[str, LoadView] = field(factory=dict)


def distance_cost(state: State, name: str) -> float:
    """Return the cost of the distance to an endpoint, as a share of a full batch."""
    place = state.members.endpoints[name].endpoint.place
    if place.region != state.me.place.region:
        return OTHER_REGION_COST
    if place.zone != state.me.place.zone:
        return OTHER_ZONE_COST
    return 0.0


def cost(state: State, name: str) -> float:
    """Return the cost of a request to an endpoint, load plus distance, as a share of its batch."""
    return batch_utilization(state, name) + distance_cost(state, name)


def batch_utilization(state: State, name: str) -> float:
    """Return the estimated load of an endpoint as a share of its batch; may exceed 1."""
    batch = state.members.endpoints[name].endpoint.batch
    return estimate_load(state, name) / max(1, batch)


def fill_load_limit(state: State) -> float:
    """Return the mean batch utilization below which batches are filled one after the other.

    Packing requests onto few endpoints gives fuller batches while the endpoints have little to
    do on average; at a high mean load it would only add waits. The limit grows with the preset's
    weight of full batches relative to its weight of waits.
    """
    preset = state.config.preset
    return FILL_LOAD_LIMIT * preset.batch_weight / (preset.stall_weight + preset.batch_weight)


def has_capacity(state: State, name: str) -> bool:
    """Return whether an endpoint's load is below ``MAX_LOAD_FACTOR`` times its batch.

    Above that, one more request would wait in a long queue.
    """
    batch = state.members.endpoints[name].endpoint.batch
    return get_or_create_load(state, name).total < max(1.0, batch * MAX_LOAD_FACTOR)


def expected_queue_s(state: State, name: str) -> float:
    """Return the expected queueing time of one more request at an endpoint, in seconds."""
    batch = max(1, state.members.endpoints[name].endpoint.batch)
    queued = max(0.0, estimate_load(state, name) + 1.0 - batch)
    return queued / batch * get_or_create_load(state, name).service_time_s


def select_endpoint(state: State, request: RequestState, at: float) -> str | None:
    """Return the best granted endpoint with capacity for a request; None if there is none.

    Endpoints in other regions are considered only if none in this region has capacity.
    """
    same_region, other_region = [], []
    for name, held in state.grants.by_ref.get(request.ref, {}).items():
        if held.recalled or held.alone or not is_endpoint_usable(state, name):
            continue
        (other_region if cross_region.is_cross_region(state, name) else same_region).append(name)
    best = select_cheapest(
        state, request, [name for name in same_region if has_capacity(state, name)]
    )
    if best is None and other_region and may_cross_region(state, request, same_region, at):
        best = select_cheapest(
            state, request, [name for name in other_region if has_capacity(state, name)]
        )
    return best


def may_cross_region(
    state: State, request: RequestState, same_region: list[str], at: float
) -> bool:
    """Return whether a request may be sent to another region.

    The byte budget must not be exhausted. If this entry has grants for endpoints in this region,
    the request must also have waited, or expect to queue in this region, at least
    ``Limits.crossing_price_s``.
    """
    if same_region:
        waited_s = at - request.arrived_at
        wait_s = max(waited_s, min(expected_queue_s(state, name) for name in same_region))
        if wait_s < state.limits.crossing_price_s:
            return False
    return cross_region.has_budget(state, at)


def select_service_endpoint(state: State, request: RequestState) -> str | None:
    """Return the best endpoint of a plain service; None if none is usable."""
    names = state.members.services_by_name.get(request.service, ())
    return select_cheapest(
        state, request, [name for name in names if is_endpoint_usable(state, name)]
    )


def select_cheapest(state: State, request: RequestState, candidates: list[str]) -> str | None:
    """Return the cheapest of some endpoints; None if there are no candidates.

    An endpoint that failed the request is taken only if there is no other. While the mean load is
    low, endpoints with more load are cheaper, up to ``FILL_TARGET`` of their batch. Ties are
    broken by the hash of the prompt prefix, or at random if the request has none.
    """
    if len(candidates) <= 1:
        return candidates[0] if candidates else None
    names = [name for name in candidates if name not in request.avoided_endpoints] or candidates
    shares = [(batch_utilization(state, name), name) for name in sorted(names)]
    is_filling = sum(share for share, _ in shares) < fill_load_limit(state) * len(shares)
    costs = []
    for share, name in shares:
        load_cost = -share if is_filling and share < FILL_TARGET else share
        costs.append((load_cost + distance_cost(state, name), name))
    lowest = min(costs)[0]
    best = [name for total_cost, name in costs if total_cost == lowest]
    if len(best) == 1:
        return best[0]
    if request.prefix_hash:
        return max(best, key=lambda name: rendezvous_hash(request.prefix_hash, name))
    return state.random.choice(best)


def rendezvous_hash(prefix: int, endpoint: str) -> int:
    """Return the rendezvous hash of a prompt prefix and an endpoint; the highest one wins."""
    return xxhash.xxh64_intdigest(f"{prefix}|{endpoint}".encode())
