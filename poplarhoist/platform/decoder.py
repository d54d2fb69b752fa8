"""Turns records of the store into events; one that cannot be decoded is logged and yields none."""

from collections.abc import Callable

import structlog

from poplarhoist.clock import Clock
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
SOFTWARE_KIND = "poplarhoist-software"
CRASH_KIND = "poplarhoist-crashes"
# Name of the record with the configuration in force.
CURRENT_CONFIGURATION_NAME = "main"
# Records that could not be decoded of which it is remembered that they were logged.
MAX_LOGGED_RECORDS = 1000


class RecordDecoder:
    """Decodes records of all kinds.

    Attributes
    ----------
    clock : Clock
        Tells how old the crashes in a record are.
    logged_records : dict
        Kind, name and revision of records that could not be decoded, the latest last.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.logged_records: dict[tuple[str, str, int], None] = {}

    def decode_list(
        self, kind: str, items: list[dict], at: float, generation: int
    ) -> list[ev.Event]:
        """Decode all records of a kind, as a generation of the store has them.

        For all but configurations and versions the last event says that the list is complete.
        """
        events = [
            event for item in items for event in self.decode(kind, item, False, at, generation)
        ]
        names = frozenset(item["metadata"]["name"] for item in items)
        if kind == ENDPOINT_KIND:
            events.append(ev.EndpointsListed(at, names))
        elif kind == ENTRY_KIND:
            events.append(ev.EntriesListed(at, names))
        elif kind == LEAD_KIND:
            events.append(ev.LeadsListed(at, generation))
        elif kind == SOFTWARE_KIND:
            events.append(ev.SoftwareRecordsListed(at, names))
        elif kind == CRASH_KIND:
            events.append(ev.CrashRecordsListed(at, names))
        return events

    def decode(
        self, kind: str, item: dict, is_removed: bool, at: float, generation: int
    ) -> list[ev.Event]:
        """Decode a record or its removal."""
        name = item["metadata"]["name"]
        step = "decode"
        try:
            if isinstance(item.get("spec"), Unreadable):
                step = "parse"
                raise ValueError(item["spec"])
            if kind == LEAD_KIND:
                return decode_lead_event(at, name, item, is_removed, generation)
            if kind == CRASH_KIND:
                crashes = documents.decode_crashes(item["spec"], self.clock.now())
                return [ev.CrashRecordSeen(at, name, crashes)]
            return DECODERS_BY_KIND[kind](at, name, item, is_removed)
        except DECODE_ERRORS as error:
            self.log_unreadable(kind, item["metadata"], step, error)
            return unreadable_events(kind, at, name, item, generation)

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
    at: float, name: str, item: dict, is_removed: bool
) -> list[ev.Event]:
    """Decode the configuration in force; other records of the kind yield no events."""
    if is_removed or name != CURRENT_CONFIGURATION_NAME:
        return []
    return [ev.ConfigurationSeen(at, documents.decode_configuration(item["spec"]))]


def decode_endpoint_event(at: float, name: str, item: dict, is_removed: bool) -> list[ev.Event]:
    """Decode an endpoint's record or its removal."""
    if is_removed:
        return [ev.EndpointRemoved(at, name)]
    return [ev.EndpointSeen(at, documents.decode_endpoint(name, item["spec"]))]


def decode_version_event(at: float, name: str, item: dict, is_removed: bool) -> list[ev.Event]:
    """Decode the announcement of a version; a removed record does not withdraw it."""
    if is_removed:
        return []
    return [ev.VersionSeen(at, *documents.decode_version_announcement(item["spec"]))]


def decode_entry_event(at: float, name: str, item: dict, is_removed: bool) -> list[ev.Event]:
    """Decode the record of an entry; its removal yields an event without a host."""
    if is_removed:
        return [ev.EntryRecordChanged(at, name)]
    spec = item["spec"]
    # Entries of earlier versions pass nothing on.
    relay_port = spec.get("relay_port")
    return [
        ev.EntryRecordChanged(
            at,
            name,
            documents.to_host(spec["host"]),
            documents.to_port(spec["port"]),
            documents.to_text(spec["zone"]),
            documents.to_port(relay_port) if relay_port else 0,
        )
    ]


def decode_lead_event(
    at: float, name: str, item: dict, is_removed: bool, generation: int
) -> list[ev.Event]:
    """Decode which entry leads an engine; the removal of a record yields no events."""
    if is_removed:
        return []
    spec, position = item["spec"], Position(generation, item["metadata"]["revision"])
    # A lead that is released has no holder.
    holder = spec["holder"] and documents.to_text(spec["holder"])
    return [ev.LeadSeen(at, name, holder, documents.to_count(spec["epoch"]), position)]


def unreadable_events(
    kind: str, at: float, name: str, item: dict, generation: int
) -> list[ev.Event]:
    """Return what a record tells that cannot be decoded.

    An engine with such a lead has no lead that is known, and the next one has to replace the record.
    """
    if kind != LEAD_KIND:
        return []
    position = Position(generation, item["metadata"].get("revision", 0))
    return [ev.LeadSeen(at, name, "", 0, position)]


DECODERS_BY_KIND: dict[str, Callable[[float, str, dict, bool], list[ev.Event]]] = {
    CONFIGURATION_KIND: decode_configuration_event,
    ENDPOINT_KIND: decode_endpoint_event,
    VERSION_KIND: decode_version_event,
    ENTRY_KIND: decode_entry_event,
    # The list of names tells all.
    SOFTWARE_KIND: lambda at, name, item, is_removed: [],
}
