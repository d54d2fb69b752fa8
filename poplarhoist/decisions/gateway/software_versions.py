"""Which software versions the endpoints of a service run, or ran lately.

An entry remembers the versions that it has seen. One that has just started knows only those that are
left; so the store has a record of each service with several versions, which entries read at their
start. It is written when a second version appears, and removed once a single one has been left for
`VERSION_MEMORY_S`.
"""

from __future__ import annotations

from poplarhoist.decisions.common_effects import LogChange
from poplarhoist.decisions.gateway.broadcast import is_one_of
from poplarhoist.decisions.gateway.effects import WriteSoftwareRecord
from poplarhoist.decisions.gateway.events import (
    CallStatus,
    SoftwareRecordsListed,
    SoftwareRecordWritten,
)
from poplarhoist.decisions.gateway.models import EndpointRecord
from poplarhoist.decisions.gateway.state import GatewayState

# Seconds for which a version counts that no endpoint runs any more: a stream that it began may be
# resumed as long. Twice the longest timeout of the sites' routes.
VERSION_MEMORY_S = 30.0
# Entries that write and remove the record of a service, so that one of them may end before it does.
WRITERS = 3
# Seconds until a write that failed is repeated.
WRITE_RETRY_S = 1.0


def record_departure(state: GatewayState, record: EndpointRecord, at: float) -> None:
    """Record that an endpoint no longer runs the software version of its record."""
    departed = state.departed_software.setdefault(record.service, {})
    departed[record.software_version] = at


def known_versions(state: GatewayState, at: float) -> dict[str, set[str]]:
    """Return the versions of each service that it has, or had within `VERSION_MEMORY_S`.

    Only those are known that this entry has seen.
    """
    versions: dict[str, set[str]] = {}
    for endpoint in state.endpoints.values():
        record = endpoint.record
        versions.setdefault(record.service, set()).add(record.software_version)
    for service, departed in state.departed_software.items():
        for version, seen_at in departed.items():
            if at - seen_at <= VERSION_MEMORY_S:
                versions.setdefault(service, set()).add(version)
    return versions


def has_several(state: GatewayState, service: str, at: float) -> bool:
    """Return whether a service has several versions that count, as far as this entry has seen."""
    return len(known_versions(state, at).get(service, ())) > 1


def started_lately(state: GatewayState, at: float) -> bool:
    """Return whether a version that counts may have gone before this entry started."""
    return at - state.started_at <= VERSION_MEMORY_S


def may_have_several(state: GatewayState, service: str, at: float) -> bool:
    """Return whether a service has several versions that count, also such as this entry never saw."""
    if has_several(state, service, at):
        return True
    records = state.software_records
    return started_lately(state, at) and (not records.is_listed or service in records.services)


def on_listed(state: GatewayState, event: SoftwareRecordsListed, effects: list) -> None:
    """Apply which services have a record."""
    state.software_records.is_listed = True
    state.software_records.services |= event.services


def on_store_restored(state: GatewayState) -> None:
    """Apply that the store may have lost records; those that are missing are written again."""
    state.software_records.is_listed = False
    state.software_records.services.clear()


def on_written(state: GatewayState, event: SoftwareRecordWritten, effects: list) -> None:
    """Apply that a record was written or removed; a failed write is repeated."""
    if event.status is not CallStatus.OK:
        return
    if event.versions:
        state.software_records.services.add(event.service)
    else:
        state.software_records.services.discard(event.service)
    fields = {"service": event.service, "versions": list(event.versions)}
    effects.append(LogChange("software-recorded", fields))


def on_tick(
    state: GatewayState, versions_by_service: dict[str, set[str]], at: float, effects: list
) -> None:
    """Write the records of services that have several versions, and remove those of others."""
    records = state.software_records
    if state.store_unavailable or not records.is_listed:
        return
    mixed = {service for service, versions in versions_by_service.items() if len(versions) > 1}
    # Services that have no record but several versions, or the other way round.
    for service in sorted(mixed ^ records.services):
        if at < records.next_write_at.get(service, float("-inf")):
            continue
        if service not in mixed and started_lately(state, at):
            continue
        if is_one_of(state, service, WRITERS):
            records.next_write_at[service] = at + WRITE_RETRY_S
            kept = tuple(sorted(versions_by_service[service])) if service in mixed else ()
            effects.append(WriteSoftwareRecord(service, kept))
