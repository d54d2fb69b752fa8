"""Which base model an engine should load, and how many adapters fit beside those that it holds.

The platform places base models at the start of a site. From then on an engine holds what it is ordered
to hold; it crashes if it is ordered to load more than its memory takes. So a lead orders a base
model only for an engine that holds none, as after a restart, or that has room for one which no other
engine holds.
"""

from __future__ import annotations

from poplarhoist.decisions.gateway.endpoint_state import EndpointState
from poplarhoist.decisions.gateway.hashing import rendezvous_weight
from poplarhoist.decisions.gateway.models import AdapterKey, EngineProfile
from poplarhoist.decisions.gateway.state import GatewayState


def model_size_mb(profile: EngineProfile, name: str) -> float:
    """Return the size of a base model; that of the largest for one that is not configured."""
    if name in profile.models_by_name:
        return profile.models_by_name[name].size_mb
    return max((model.size_mb for model in profile.models_by_name.values()), default=0.0)


def adapter_size_mb(profile: EngineProfile) -> float:
    """Return the size of the largest adapter."""
    models = profile.models_by_name.values()
    return max((model.adapter_size_mb for model in models), default=0.0)


def adapter_capacity(profile: EngineProfile, held_models: set[str]) -> int:
    """Return how many adapters an engine that holds these base models may hold at once."""
    size_mb = adapter_size_mb(profile)
    if size_mb <= 0.0:
        return profile.adapter_slots
    return max(0, min(profile.adapter_slots, int(free_mb(profile, held_models) // size_mb)))


def free_mb(profile: EngineProfile, held_models: set[str]) -> float:
    """Return the memory of an engine in megabytes that these base models leave free."""
    return profile.memory_mb - sum(model_size_mb(profile, name) for name in held_models)


def has_room(profile: EngineProfile, name: str, held_models: set[str], adapters: int) -> bool:
    """Return whether a base model fits beside other base models and a number of adapters."""
    needed_mb = model_size_mb(profile, name) + adapters * adapter_size_mb(profile)
    return needed_mb <= free_mb(profile, held_models)


def choose_model(
    state: GatewayState, engine: str, profile: EngineProfile, held_models: set[str], adapters: int
) -> str | None:
    """Return the base model that an engine should load now; None for none.

    Parameters
    ----------
    held_models : set
        Base models that the engine holds.
    adapters : int
        Adapters that it holds or may hold.
    """
    fitting = [
        name
        for name in profile.models_by_name
        if name not in held_models and has_room(profile, name, held_models, adapters)
    ]
    # Asked for at each tick, and mostly nothing fits.
    if not fitting:
        return None
    others = other_engines(state, engine)
    holders_by_model = {
        name: sum(AdapterKey(name) in other.held for other in others) for name in fitting
    }
    if held_models:
        fitting = [
            name
            for name in fitting
            if not holders_by_model[name] and is_first_with_room(engine, profile, name, others)
        ]
    return min(
        fitting,
        key=lambda name: (holders_by_model[name], -rendezvous_weight(name, engine)),
        default=None,
    )


def other_engines(state: GatewayState, engine: str) -> list[EndpointState]:
    """Return the other engines of an engine's service that are not stopping."""
    names = state.endpoints_by_service.get(state.endpoints[engine].record.service, ())
    return [state.endpoints[name] for name in names if name != engine]


def is_first_with_room(
    engine: str, profile: EngineProfile, name: str, others: list[EndpointState]
) -> bool:
    """Return whether no other engine with room for a base model precedes this one in its ranking.

    So the leads of several engines do not all load it.
    """
    weight = rendezvous_weight(name, engine)
    return not any(
        rendezvous_weight(name, other.record.name) > weight
        and has_room(
            profile,
            name,
            {key.model for key in other.held if not key.adapter},
            sum(bool(key.adapter) for key in other.held),
        )
        for other in others
    )
