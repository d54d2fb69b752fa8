"""Selects the adapters to evict at an engine, and those to replace by a newer version."""

from __future__ import annotations

from poplarhoist.decisions.gateway.effects import OrderKind
from poplarhoist.decisions.gateway.limits import MIN_IDLE_S, USAGE_STALE_S
from poplarhoist.decisions.gateway.models import AdapterKey
from poplarhoist.decisions.gateway.state import GatewayState, HeldAdapter, SlotTable

# Seconds after the expected end of a load by which it has certainly ended. The weight store takes
# 0.25 s for a load while few run at once, and six times as long with four loads at each engine.
MAX_LOAD_OVERRUN_S = 1.5
# Seconds since its last use within which an outdated adapter is reloaded instead of unloaded.
RECENT_USE_S = 3.0


def in_flight_requests(state: GatewayState, table: SlotTable, key: AdapterKey, at: float) -> int:
    """Return the requests of all entries for an adapter at an engine, as far as this lead knows."""
    key_text = str(key)
    count = state.endpoints[table.engine].in_flight_by_adapter.get(key, 0)
    for entry, (usage, received_at) in table.usage_by_entry.items():
        if entry != state.name and at - received_at < USAGE_STALE_S:
            count += usage.running.get(key_text, 0)
    return count


def is_load_complete(held: HeldAdapter, at: float) -> bool:
    """Return whether an adapter can no longer be loading.

    If told to unload an adapter that is still loading, an engine answers DONE but completes the
    load, so the slot does not become free.
    """
    return held.observed or at - held.expected_loaded_at >= MAX_LOAD_OVERRUN_S


def idle_adapters(state: GatewayState, table: SlotTable, at: float) -> list[AdapterKey]:
    """Return the adapters that could be evicted now, least recently used first."""
    candidates = [
        (held.used_until, key)
        for key, held in table.held.items()
        if key not in table.demands
        and is_load_complete(held, at)
        and at - held.used_until >= MIN_IDLE_S
        and in_flight_requests(state, table, key, at) == 0
    ]
    return [key for _, key in sorted(candidates)]


def select_victim(state: GatewayState, table: SlotTable, at: float) -> AdapterKey | None:
    """Return the idle adapter that was used least recently; None if no adapter is idle."""
    return next(iter(idle_adapters(state, table, at)), None)


def select_outdated_adapter_order(state: GatewayState, table: SlotTable, at: float):
    """Return the next order for an idle adapter that is held in an outdated version.

    Returns
    -------
    tuple of OrderKind, AdapterKey and int, or None
        Load of the announced version, if the adapter was used within `RECENT_USE_S`; otherwise
        unload, with version 0. None if no held adapter is outdated and idle.
    """
    for key, held in table.held.items():
        announced = state.announced_versions.get(key)
        if announced is None or held.version >= announced.version:
            continue
        if (
            in_flight_requests(state, table, key, at)
            or at - held.used_until < MIN_IDLE_S
            or not is_load_complete(held, at)
        ):
            # The engine would wait for the running requests and take no other order in the
            # meantime.
            continue
        if at - held.used_until < RECENT_USE_S:
            return OrderKind.LOAD, key, announced.version
        return OrderKind.UNLOAD, key, 0
    return None
