"""Loads that no request waits for yet: replicas, lost hot adapters, warm-up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist.decisions.engine_pool import EnginePool, SlotState, is_served, is_usable
from poplarhoist.models import AdapterRef, VersionState

if TYPE_CHECKING:
    from poplarhoist.decisions.state import State

RECOVERY_MIN_SCORE = 1.0
REPLICA_MIN_WAIT_S = 0.3
REPLICA_MIN_UTILIZATION = 0.9
REPLICA_RANK = 0.0
RECOVERY_RANK = 1.0
WARM_UP_RANK = 2.0


def queue_recovery(pool: EnginePool, ref: AdapterRef, at: float) -> None:
    """Load a hot adapter version again that an engine lost."""
    score = pool.score(ref, at)
    if score >= RECOVERY_MIN_SCORE and not is_served(pool, ref) and ref not in pool.pending_loads:
        pool.background_loads.put(ref, (RECOVERY_RANK, -score))


def update_replica_load(pool: EnginePool, ref: AdapterRef, at: float) -> None:
    """Load an adapter version once more if requests wait although engines hold it."""
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
    """Want new versions of adapters in use, and those that the preset keeps warm."""
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
    """Return whether an engine holds the version before the current one."""
    return any(AdapterRef(name, number) in pool.engines_by_ref for number in range(1, current))


def queue_warm_up(state: State, pool: EnginePool, name: str) -> None:
    """Load the current version of an adapter when there is budget to spare."""
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
