"""Which software versions the endpoints of a service run, or ran lately.

An entry remembers the versions that it has seen. One that has just started knows only those that are
left, and what entries see may be seconds old. So no resumable stream begins at a version before the
store has a record of it: entries that start read these records and find each version at which a
stream may have begun. A record is removed once no endpoint has run its version for as long as a
stream may be resumed.
"""

from __future__ import annotations

from collections.abc import Iterable

from poplarhoist.decisions.common_effects import LogChange
from poplarhoist.decisions.gateway.broadcast import is_one_of, tell_others
from poplarhoist.decisions.gateway.effects import RemoveSoftwareRecord, WriteSoftwareRecord
from poplarhoist.decisions.gateway.endpoint_state import EndpointState
from poplarhoist.decisions.gateway.events import (
    CallStatus,
    SoftwareRecordRemoved,
    SoftwareRecordSeen,
    SoftwareRecordsListed,
    SoftwareRecordWritten,
)
from poplarhoist.decisions.gateway.messages import SoftwareRecorded
from poplarhoist.decisions.gateway.models import EndpointRecord, ServiceVersion
from poplarhoist.decisions.gateway.request_state import RequestState
from poplarhoist.decisions.gateway.state import GatewayState

# A stream may be resumed for this many times the timeout of its route: while it runs, and while its
# caller tries again.
MEMORY_TIMEOUTS = 2.0
# Entries that write and remove a record, so that one of them may end before it does.
WRITERS = 3
# Seconds after which other entries write a record too. They may know of a version before the writers.
OTHERS_WRITE_AFTER_S = 1.0
# Seconds until a call that failed is repeated.
WRITE_RETRY_S = 1.0
# Seconds after its start from which on an entry is ready also without records.
LONGEST_START_S = 5.0
# Seconds for which a version without an endpoint counts as recorded. Far less than the time until its
# record may be removed, as entries learn of endpoints seconds apart.
HELD_WITHOUT_ENDPOINT_S = 10.0


def on_configuration(state: GatewayState, at: float, effects: list) -> None:
    """Apply which services have resumable streams, and how long these may be resumed."""
    records = state.software_records
    routes = [route for route in state.configuration.routes if route.resumable]
    records.resumable_services = {target.service for route in routes for target in route.targets}
    # Streams of an earlier configuration may still be resumed.
    records.memory_s = max(
        [records.memory_s, *(MEMORY_TIMEOUTS * route.timeout_s for route in routes)]
    )
    write_missing(state, at, effects)


def on_endpoint_seen(state: GatewayState, record: EndpointRecord, at: float, effects: list) -> None:
    """Write the record of an endpoint's version at once if it has none: streams wait for it."""
    if record.service_version not in state.software_records.needed_at:
        write_missing(state, at, effects)


def record_departure(state: GatewayState, record: EndpointRecord, at: float) -> None:
    """Record that an endpoint no longer runs the software version of its record."""
    departed = state.departed_software.setdefault(record.service, {})
    departed[record.software_version] = at


def served_versions(state: GatewayState) -> set[ServiceVersion]:
    """Return the versions that endpoints of a service have, as far as this entry has seen."""
    return {endpoint.record.service_version for endpoint in state.endpoints.values()}


def known_versions(state: GatewayState, at: float) -> dict[str, set[str]]:
    """Return the versions of each service that it has, or had while streams may be resumed.

    Only those are known that this entry has seen, or was told that they are recorded.
    """
    versions: dict[str, set[str]] = {}
    for served in served_versions(state):
        versions.setdefault(served.service, set()).add(served.version)
    for service, departed in state.departed_software.items():
        for version, seen_at in departed.items():
            if at - seen_at <= state.software_records.memory_s:
                versions.setdefault(service, set()).add(version)
    return versions


def has_several(state: GatewayState, service: str, at: float) -> bool:
    """Return whether a service has several versions that count, as far as this entry knows."""
    return len(known_versions(state, at).get(service, ())) > 1


def started_lately(state: GatewayState, at: float) -> bool:
    """Return whether a version that counts may have gone before this entry started."""
    return at - state.started_at <= state.software_records.memory_s


def may_have_several(state: GatewayState, service: str, at: float) -> bool:
    """Return whether a service has several versions that count, also such as this entry never saw.

    A service without a record may have streams that began at entries of earlier releases, which write
    none.
    """
    if has_several(state, service, at):
        return True
    if not started_lately(state, at):
        return False
    records = state.software_records
    if not records.is_listed:
        return True
    return service not in records.listed_services and not state.is_first_start


def has_been_complete(state: GatewayState) -> bool:
    """Return whether this entry can begin streams, or has waited long enough for that.

    It does once there was a record of each version that it has seen, or if the store is unreachable.
    """
    records = state.software_records
    if records.is_listed and not records.was_complete:
        served = recordable(state, served_versions(state))
        records.was_complete = served <= records.needed_at.keys()
    waited_s = state.last_event_at - state.started_at
    return records.was_complete or state.store_unavailable or waited_s > LONGEST_START_S


def may_run(state: GatewayState, endpoint: EndpointState, request: RequestState) -> bool:
    """Return whether a request may run at an endpoint, as far as records are concerned.

    A resumable stream needs one of the endpoint's software version, unless it is known where the
    stream began.
    """
    if not request.route.resumable or request.software_version is not None:
        return True
    record, records = endpoint.record, state.software_records
    return (
        record.service_version in records.needed_at
        or record.service in records.unrecordable_services
    )


def on_seen(state: GatewayState, event: SoftwareRecordSeen, effects: list) -> None:
    """Apply a record."""
    hold_recorded(state, event.service_version, event.at)


def on_listed(state: GatewayState, event: SoftwareRecordsListed, effects: list) -> None:
    """Apply that all records were read."""
    records = state.software_records
    records.is_listed = True
    records.listed_services = {recorded.service for recorded in records.needed_at}
    write_missing(state, event.at, effects)


def on_told(state: GatewayState, sender: str, message: SoftwareRecorded, at: float) -> None:
    """Apply that another entry has written a record."""
    if sender in state.entries and message.service in state.software_records.resumable_services:
        hold_recorded(state, ServiceVersion(message.service, message.version), at)


def on_store_restored(state: GatewayState) -> None:
    """Apply that the store may have lost records; those that are missing are written again."""
    records = state.software_records
    records.is_listed = False
    records.needed_at.clear()
    records.remove_at.clear()


def on_written(state: GatewayState, event: SoftwareRecordWritten, effects: list) -> None:
    """Apply that a record was written, and tell the others; a failed write is repeated."""
    if event.status is not CallStatus.OK:
        return
    recorded = event.service_version
    hold_recorded(state, recorded, event.at)
    tell_others(state, SoftwareRecorded(recorded.service, recorded.version), effects)
    effects.append(LogChange("software-recorded", recorded.log_fields()))


def on_removed(state: GatewayState, event: SoftwareRecordRemoved, effects: list) -> None:
    """Apply that a record was removed, or not as its version is in use again."""
    records = state.software_records
    if event.status is CallStatus.OK:
        records.remove_at.pop(event.service_version, None)
        effects.append(LogChange("software-record-removed", event.service_version.log_fields()))
    elif event.status is CallStatus.CONFLICT and event.service_version in records.remove_at:
        records.remove_at[event.service_version] = event.at + records.memory_s


def hold_recorded(state: GatewayState, recorded: ServiceVersion, at: float) -> None:
    """Record that the store has a record of a version.

    One without an endpoint counts as one that left just now: it may have left before this entry
    started, or this entry may see its endpoints later.
    """
    records = state.software_records
    records.needed_at[recorded] = at
    records.remove_at.pop(recorded, None)
    if recorded not in served_versions(state):
        departed = state.departed_software.setdefault(recorded.service, {})
        departed[recorded.version] = at


def on_tick(state: GatewayState, at: float, effects: list) -> None:
    """Write the records of versions that have none, and remove those that nobody needs."""
    records = state.software_records
    served = recordable(state, served_versions(state))
    records.unrecordable_services.clear()
    if state.store_unavailable:
        # A service whose endpoints all have versions without a record serves on. Their records are
        # written once the store is back, so a stream is joined only if its version is gone by then
        # and all entries have ended.
        recorded_services = {version.service for version in served & records.needed_at.keys()}
        records.unrecordable_services |= {version.service for version in served}
        records.unrecordable_services -= recorded_services
        return
    if not records.is_listed or not state.endpoints_listed:
        return
    hold_served(state, served, at)
    write_missing(state, at, effects)
    remove_unneeded(state, at, effects)


def recordable(state: GatewayState, versions: Iterable[ServiceVersion]) -> set[ServiceVersion]:
    """Return those of some versions whose services have resumable streams."""
    services = state.software_records.resumable_services
    return {version for version in versions if version.service in services}


def counted_versions(state: GatewayState, at: float) -> set[ServiceVersion]:
    """Return the versions that count and whose services have resumable streams."""
    versions_by_service = known_versions(state, at)
    return recordable(
        state,
        (
            ServiceVersion(service, version)
            for service, versions in versions_by_service.items()
            for version in versions
        ),
    )


def hold_served(state: GatewayState, served: set[ServiceVersion], at: float) -> None:
    """Hold the records of versions that endpoints run; those of others are to be removed later."""
    records = state.software_records
    for version, needed_at in list(records.needed_at.items()):
        if version in served:
            records.needed_at[version] = at
        elif at - needed_at > HELD_WITHOUT_ENDPOINT_S:
            del records.needed_at[version]
            records.remove_at[version] = needed_at + records.memory_s


def write_missing(state: GatewayState, at: float, effects: list) -> None:
    """Write the records of versions that have none; entries that are no writers wait for these.

    Those of versions that have left are missing only if the store was restored.
    """
    records = state.software_records
    if not records.is_listed or state.store_unavailable:
        return
    served = recordable(state, served_versions(state))
    departed = counted_versions(state, at) - records.remove_at.keys()
    missing = (served | departed) - records.needed_at.keys()
    for version in [version for version in records.write_at if version not in missing]:
        del records.write_at[version]
    for version in sorted(missing):
        if version not in records.write_at:
            is_writer = is_one_of(state, version.name, WRITERS)
            records.write_at[version] = at + (0.0 if is_writer else OTHERS_WRITE_AFTER_S)
        if at >= records.write_at[version]:
            records.write_at[version] = at + WRITE_RETRY_S
            records.remove_at.pop(version, None)
            effects.append(WriteSoftwareRecord(version))


def remove_unneeded(state: GatewayState, at: float, effects: list) -> None:
    """Remove records whose versions no longer count."""
    records = state.software_records
    counted = counted_versions(state, at)
    for version, remove_at in sorted(records.remove_at.items()):
        if at < remove_at or version in counted:
            continue
        if is_one_of(state, version.name, WRITERS):
            records.remove_at[version] = at + WRITE_RETRY_S
            effects.append(RemoveSoftwareRecord(version))
        else:
            del records.remove_at[version]
