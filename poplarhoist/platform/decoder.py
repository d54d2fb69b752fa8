"""Turns records of the store into events; one that cannot be decoded is logged and yields none."""

from collections.abc import Callable
from datetime import datetime

import structlog
from attrs import frozen

from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.platform import documents
from poplarhoist.platform.documents import DECODE_ERRORS
from poplarhoist.platform.records import Unreadable

# Kinds of records that the platform defines.
CONFIGURATION_KIND = "config"
ENDPOINT_KIND = "servers"
VERSION_KIND = "versions"
# Kinds of records that only the gateway's entries write.
ENTRY_KIND = "poplarhoist-entries"
LEAD_KIND = "poplarhoist-leads"
SOFTWARE_KIND = "poplarhoist-software-versions"
CRASH_KIND = "poplarhoist-crashes"
# Name of the record with the configuration in force.
CURRENT_CONFIGURATION_NAME = "main"
# Records that could not be decoded of which it is remembered that they were logged.
MAX_LOGGED_RECORDS = 1000


@frozen
class Reading:
    """When records were read, and from which generation of the store.

    Attributes
    ----------
    at : float
        Monotonic time in seconds, the time of the events.
    now : datetime
        Wall time in UTC.
    """

    at: float
    now: datetime
    generation: int


@frozen
class Decoded:
    """What records say.

    Attributes
    ----------
    unreadable : frozenset
        Names of the records that could not be decoded.
    """

    events: list[ev.Event]
    unreadable: frozenset[str] = frozenset()


class RecordDecoder:
    """Decodes records of all kinds.

    Attributes
    ----------
    logged_records : dict
        Kind, name and revision of records that could not be decoded, the latest last.
    """

    def __init__(self) -> None:
        self.logged_records: dict[tuple[str, str, int], None] = {}

    def decode_list(self, kind: str, items: list[dict], reading: Reading) -> Decoded:
        """Decode all records of a kind.

        For all but configurations and versions the last event says that the list is complete.
        """
        at = reading.at
        decoded = [self.decode(kind, item, False, reading) for item in items]
        events = [event for part in decoded for event in part.events]
        names = frozenset(item["metadata"]["name"] for item in items)
        if kind == ENDPOINT_KIND:
            events.append(ev.EndpointsListed(at, names))
        elif kind == ENTRY_KIND:
            events.append(ev.EntriesListed(at, names))
        elif kind == LEAD_KIND:
            events.append(ev.LeadsListed(at, reading.generation))
        elif kind == SOFTWARE_KIND:
            events.append(ev.SoftwareRecordsListed(at))
        elif kind == CRASH_KIND:
            events.append(ev.CrashRecordsListed(at, names))
        return Decoded(events, frozenset().union(*(part.unreadable for part in decoded)))

    def decode(self, kind: str, item: dict, is_removed: bool, reading: Reading) -> Decoded:
        """Decode a record or its removal."""
        name = item["metadata"]["name"]
        step = "decode"
        try:
            if isinstance(item.get("spec"), Unreadable):
                step = "parse"
                raise ValueError(item["spec"])
            return Decoded(DECODERS_BY_KIND[kind](reading, name, item, is_removed))
        except DECODE_ERRORS as error:
            self.log_unreadable(kind, item["metadata"], step, error)
            return Decoded(unreadable_events(kind, reading, name, item), frozenset((name,)))

    def log_unreadable(self, kind: str, metadata: dict, step: str, error: Exception) -> None:
        """Log a record that could not be decoded, once for each of its revisions."""
        name = metadata["name"]
        record = kind, name, metadata.get("revision", 0)
        if record in self.logged_records:
            return
        self.logged_records[record] = None
        if len(self.logged_records) > MAX_LOGGED_RECORDS:
            del self.logged_records[next(iter(self.logged_records))]
        log = structlog.get_logger()
        log.warning("record-unreadable", kind=kind, name=name, step=step, detail=repr(error)[:200])


def decode_configuration_event(
    reading: Reading, name: str, item: dict, is_removed: bool
) -> list[ev.Event]:
    """Decode the configuration in force; other records of the kind yield no events."""
    if is_removed or name != CURRENT_CONFIGURATION_NAME:
        return []
    return [ev.ConfigurationSeen(reading.at, documents.decode_configuration(item["spec"]))]


def decode_endpoint_event(
    reading: Reading, name: str, item: dict, is_removed: bool
) -> list[ev.Event]:
    """Decode an endpoint's record or its removal."""
    if is_removed:
        return [ev.EndpointRemoved(reading.at, name)]
    return [ev.EndpointSeen(reading.at, documents.decode_endpoint(name, item["spec"]))]


def decode_version_event(
    reading: Reading, name: str, item: dict, is_removed: bool
) -> list[ev.Event]:
    """Decode the announcement of a version; a removed record does not withdraw it."""
    if is_removed:
        return []
    return [ev.VersionSeen(reading.at, *documents.decode_version_announcement(item["spec"]))]


def decode_entry_event(reading: Reading, name: str, item: dict, is_removed: bool) -> list[ev.Event]:
    """Decode the record of an entry; its removal yields an event without a host."""
    if is_removed:
        return [ev.EntryRecordChanged(reading.at, name)]
    spec = item["spec"]
    # Entries of earlier versions pass nothing on.
    relay_port = spec.get("relay_port")
    return [
        ev.EntryRecordChanged(
            reading.at,
            name,
            documents.to_host(spec["host"]),
            documents.to_port(spec["port"]),
            documents.to_text(spec["zone"]),
            documents.to_port(relay_port) if relay_port else 0,
        )
    ]


def decode_lead_event(reading: Reading, name: str, item: dict, is_removed: bool) -> list[ev.Event]:
    """Decode which entry leads an engine; the removal of a record yields no events."""
    if is_removed:
        return []
    spec, position = item["spec"], Position(reading.generation, item["metadata"]["revision"])
    # A lead that is released has no holder.
    holder = spec["holder"] and documents.to_text(spec["holder"])
    epoch = documents.to_count(spec["epoch"])
    return [ev.LeadSeen(reading.at, name, holder, epoch, position)]


def decode_software_event(
    reading: Reading, name: str, item: dict, is_removed: bool
) -> list[ev.Event]:
    """Decode a software version of a service; the kind is not watched, so that no removal is read."""
    return [ev.SoftwareRecordSeen(reading.at, documents.decode_service_version(item["spec"]))]


def decode_crash_event(reading: Reading, name: str, item: dict, is_removed: bool) -> list[ev.Event]:
    """Decode what crashed endpoints; the kind is not watched, so that no removal is read."""
    crashes = documents.decode_crashes(item["spec"], reading.now)
    return [ev.CrashRecordSeen(reading.at, name, crashes)]


def unreadable_events(kind: str, reading: Reading, name: str, item: dict) -> list[ev.Event]:
    """Return what a record tells that cannot be decoded.

    An engine with such a lead has no lead that is known, and the next one has to replace the record.
    """
    if kind != LEAD_KIND:
        return []
    position = Position(reading.generation, item["metadata"].get("revision", 0))
    return [ev.LeadSeen(reading.at, name, "", 0, position)]


DECODERS_BY_KIND: dict[str, Callable[[Reading, str, dict, bool], list[ev.Event]]] = {
    CONFIGURATION_KIND: decode_configuration_event,
    ENDPOINT_KIND: decode_endpoint_event,
    VERSION_KIND: decode_version_event,
    ENTRY_KIND: decode_entry_event,
    LEAD_KIND: decode_lead_event,
    CRASH_KIND: decode_crash_event,
    SOFTWARE_KIND: decode_software_event,
}
