"""Queues background loads: replicas, recovery of lost adapters and warm-up.

They start only when no load is pending.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist.decisions.engine_pool import EnginePool, SlotState, is_served, is_usable
from poplarhoist.models import AdapterRef, VersionState

if TYPE_CHECKING:
    from poplarhoist.decisions.state import State

RECOVERY_MIN_SCORE = 1.0  # demand score; colder adapters are loaded when requests come
REPLICA_MIN_WAIT_S = 0.3
REPLICA_MIN_UTILIZATION = 0.9

# First part of the queue key: kinds of background loads, the most urgent first.
REPLICA_RANK = 0.0
RECOVERY_RANK = 1.0
WARM_UP_RANK = 2.0


def queue_recovery(pool: EnginePool, ref: AdapterRef, at: float) -> None:
    """Queue a load of an adapter version that an engine lost, if it is in demand.

    The adapter version with the highest score is recovered first.
    """
    score = pool.score(ref, at)
    if score >= RECOVERY_MIN_SCORE and not is_served(pool, ref) and ref not in pool.pending_loads:
        pool.background_loads.put(ref, (RECOVERY_RANK, -score))


def update_replica_load(pool: EnginePool, ref: AdapterRef, at: float) -> None:
    """Queue or unqueue a replica of an adapter version that requests wait for.

    A replica is needed if the oldest request has waited ``REPLICA_MIN_WAIT_S`` although engines
    hold the adapter version: all of them are at ``REPLICA_MIN_UTILIZATION`` or more, and none
    is loading it.
    """
    demand = pool.demand[ref]
    if not demand.waiting_by_entry or at - demand.oldest_arrived_at < REPLICA_MIN_WAIT_S:
        if pool.background_loads.keys_by_ref.get(ref, (WARM_UP_RANK,))[0] == REPLICA_RANK:
            pool.background_loads.discard(ref)
        return
    if ref in pool.pending_loads:
        return
    for name in pool.engines_by_ref.get(ref, ()):
        engine = pool.engines[name]
        slot = engine.slots[ref]
        if not is_usable(engine, slot):
            continue
        if slot.state is SlotState.LOADING or engine.utilization < REPLICA_MIN_UTILIZATION:
            return
    pool.background_loads.put(ref, (REPLICA_RANK, demand.oldest_arrived_at))


def on_config(state: State, pool: EnginePool) -> None:
    """Queue warm-ups after a new configuration revision.

    Warmed up are new current versions of adapters that engines hold in an older version, and
    the preset's warm adapters if the preset itself is new.
    """
    config = state.config
    if config.index is None or pool.warm_revision == config.revision:
        return
    pool.warm_revision = config.revision
    if pool.warm_preset != config.index.preset:
        pool.warm_preset = config.index.preset
        for name in config.preset.warm:
            queue_warm_up(state, pool, name)
    for name in config.changed_adapters:
        adapter = config.adapters_by_name.get(name)
        if adapter is not None and has_older_version(pool, name, adapter.current):
            queue_warm_up(state, pool, name)


def has_older_version(pool: EnginePool, name: str, current: int) -> bool:
    """Return whether any engine has a slot for a version before the current one."""
    return any(AdapterRef(name, number) in pool.engines_by_ref for number in range(1, current))


def queue_warm_up(state: State, pool: EnginePool, name: str) -> None:
    """Queue a load of the current version of an adapter.

    Does nothing if it belongs to another base model, is not published, or is served or queued.
    """
    adapter = state.config.adapters_by_name.get(name)
    if adapter is None or adapter.base != pool.base:
        return
    if adapter.versions.get(str(adapter.current)) is not VersionState.PUBLISHED:
        return
    ref = AdapterRef(name, adapter.current)
    if (
        not is_served(pool, ref)
        and ref not in pool.pending_loads
        and ref not in pool.background_loads
    ):
        pool.background_loads.put(ref, (WARM_UP_RANK, float(len(pool.background_loads))))
