"""Client of the platform's object store: lists, watches, registration, claims to lead engines."""

import re
from collections.abc import Callable
from urllib.parse import quote, urlencode

import orjson
import structlog
from attrs import define, evolve
from urllib3 import Timeout
from urllib3.exceptions import HTTPError, ProtocolError

from poplarhoist.clock import Clock
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.effects import Claim
from poplarhoist.decisions.gateway.gossip import Freshness
from poplarhoist.decisions.gateway.messages import Crashed
from poplarhoist.decisions.gateway.models import ServiceVersion
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.entry.http import BodyTooLong, StrictPool, never_sent, request_bounded
from poplarhoist.entry.metrics import Metrics
from poplarhoist.gateway.interfaces import OnBegun, RecordsCopy, StoreChanges, WatchSpec
from poplarhoist.gateway.settings import Address
from poplarhoist.gateway.sockets import socket_options
from poplarhoist.platform import documents
from poplarhoist.platform.copies import CopiedKind, latest_position
from poplarhoist.platform.decoder import (
    CONFIGURATION_KIND,
    CRASH_KIND,
    ENDPOINT_KIND,
    ENTRY_KIND,
    LEAD_KIND,
    SOFTWARE_KIND,
    VERSION_KIND,
    Decoded,
    Reading,
    RecordDecoder,
)
from poplarhoist.platform.records import parse_response

# Timeout of a call in seconds. A response takes a few milliseconds, at times a few hundred.
CALL_TIMEOUT_S = 1.5
# The whole response must arrive within this many times the time for its first byte. The store sends
# at most a megabyte at once.
RESPONSE_TIMEOUT_RATIO = 3
MAX_RESPONSE_BYTES = 8388608
# Bytes of responses that are held at once over all calls, and of all pages of a list. All kinds are
# read at once, and the smallest machines have 160 MB.
MAX_HELD_BYTES = 2 * MAX_RESPONSE_BYTES
# Longest pause in seconds within a response: its connection may have gone silent. A watch is not
# restarted once its response has begun.
STALL_S = 2.0
# Seconds that the response to a watch may take beyond the long poll.
LONG_POLL_MARGIN_S = 1.0
# Long poll of a watch of endpoints in seconds. The store may accept a call and never respond while
# the connection stays alive. Long poll, margin and pause together stay below the three seconds
# within which a draining endpoint must be known.
ENDPOINT_LONG_POLL_S = 1.2
# Long polls of watches of the configuration and of versions in seconds. While the store drops its
# history, a watch may miss a change without being ended; the next watch shows it. A configuration
# must be in force within three seconds, a version within five.
CONFIGURATION_LONG_POLL_S = 1.5
VERSION_LONG_POLL_S = 2.5
# Seconds between two watches of endpoints. The platform bills each call, and a draining endpoint
# must be known within three seconds.
ENDPOINT_PAUSE_S = 0.5
# Seconds between two watches of entries and of leads, so that one watch returns several changes.
# Without a pause, each change would cost a call by every entry when all of them start together.
ENTRY_AND_LEAD_PAUSE_S = 0.5
# Seconds between the head and the end of a response from which on the call is logged as slow.
SLOW_BODY_S = 0.5
# Result of a call that its caller has ended, such as a watch that is restarted.
ENDED = "ended"
# Result of a call whose connection ended without a response.
CUT_OFF = "cut off"
# Result of a call whose response is from before the store was restored.
OUTDATED = "from before the store was restored"
CALL_STATUS_BY_CODE = {
    200: ev.CallStatus.OK,
    201: ev.CallStatus.OK,
    409: ev.CallStatus.CONFLICT,
    429: ev.CallStatus.REFUSED,
    503: ev.CallStatus.REFUSED,
}
HISTORY_GONE_CODE = 410
# Header of all responses; its value rises by one each time that the store is restored.
GENERATION_HEADER = "Store-Era"
GENERATION = re.compile(r"[0-9]{1,9}", re.ASCII)
NOT_FOUND_CODE = 404


@define
class ResponseProgress:
    """How far the response to a call has been read.

    Attributes
    ----------
    on_begun : OnBegun or None
        Is called when the head has arrived.
    head_at : float or None
        When its head arrived; None before.
    received_bytes : int
        Bytes of its body so far.
    on_received : callable or None
        Is called with the number of bytes of each part of the body.
    generation_text : str or None
        What the head says of the generation of the store.
    """

    clock: Clock
    on_begun: OnBegun | None = None
    head_at: float | None = None
    received_bytes: int = 0
    on_received: Callable[[int], None] | None = None
    generation_text: str | None = None

    def on_head(self, headers) -> None:
        """Record the arrival of the head."""
        self.head_at = self.clock.monotonic()
        self.generation_text = headers.get(GENERATION_HEADER)
        if self.on_begun is not None:
            self.on_begun()

    def on_bytes(self, count: int) -> None:
        """Record the arrival of a part of the body."""
        self.received_bytes += count
        if self.on_received is not None:
            self.on_received(count)

    def body_s(self) -> float:
        """Return the seconds since the head arrived; 0 if it did not."""
        return 0.0 if self.head_at is None else self.clock.monotonic() - self.head_at


@define
class HeldBytes:
    """Counts the bytes of a response among those that its store holds."""

    store: "ObjectStore"
    count: int = 0

    def add(self, count: int) -> None:
        """Count a part of the body that has arrived.

        Raises
        ------
        BodyTooLong
            If all responses together are too long.
        """
        self.count += count
        self.store.held_bytes += count
        if self.store.held_bytes > MAX_HELD_BYTES:
            raise BodyTooLong(f"responses longer than {MAX_HELD_BYTES} bytes")

    def give_back(self) -> None:
        """Stop counting the response."""
        self.store.held_bytes -= self.count
        self.count = 0


class ObjectStore:
    """The platform's object store.

    Only watches keep their connection, each kind one of its own. Responses name no call, so that one
    that comes late or twice on a kept connection may be taken for the response to the next call.

    Attributes
    ----------
    metrics : Metrics or None
        Counts calls by operation and status; may be set after construction.
    watch_pools_by_kind : dict
        The kept connections.
    decoder : RecordDecoder
        Turns records into events.
    copied_kinds : dict
        Records that other entries may copy, by kind.
    generation : int
        Latest generation that a response has shown; 0 if none did.
    unclear_generation : str or None
        What a response said last that tells no generation; None if none did.
    held_bytes : int
        Bytes of responses that are being read.
    """

    watch_specs = (
        WatchSpec(
            CONFIGURATION_KIND,
            Freshness.SHARED,
            long_poll_s=CONFIGURATION_LONG_POLL_S,
            notifies_peers=True,
            is_copied=True,
            outlasts_restoration=True,
        ),
        WatchSpec(
            ENDPOINT_KIND,
            Freshness.NONE,
            pause_between_watches_s=ENDPOINT_PAUSE_S,
            long_poll_s=ENDPOINT_LONG_POLL_S,
            probes_store=True,
        ),
        WatchSpec(
            VERSION_KIND,
            Freshness.SHARED,
            long_poll_s=VERSION_LONG_POLL_S,
            notifies_peers=True,
            outlasts_restoration=True,
        ),
        WatchSpec(ENTRY_KIND, Freshness.SHARED, pause_between_watches_s=ENTRY_AND_LEAD_PAUSE_S),
        WatchSpec(LEAD_KIND, Freshness.LEADS, pause_between_watches_s=ENTRY_AND_LEAD_PAUSE_S),
        WatchSpec(SOFTWARE_KIND, only_at_start=True),
        WatchSpec(CRASH_KIND, only_at_start=True),
    )

    def __init__(self, address: str, clock: Clock, metrics: Metrics | None = None) -> None:
        self.clock = clock
        self.address = Address.parse(address)
        self.metrics = metrics
        self.watch_pools_by_kind: dict[str, StrictPool] = {}
        self.decoder = RecordDecoder()
        self.generation = 0
        self.unclear_generation: str | None = None
        self.held_bytes = 0
        self.copied_kinds = {
            spec.kind: CopiedKind(MAX_RESPONSE_BYTES)
            for spec in self.watch_specs
            if spec.is_copied or spec.outlasts_restoration
        }

    def create_pool(self) -> StrictPool:
        """Return a pool that keeps one connection to the store."""
        return StrictPool(
            self.address.host,
            self.address.port,
            maxsize=1,
            block=False,
            socket_options=socket_options(CALL_TIMEOUT_S),
        )

    def watch_pool(self, kind: str) -> StrictPool:
        """Return the pool with the connection for watches of a kind."""
        if kind not in self.watch_pools_by_kind:
            self.watch_pools_by_kind[kind] = self.create_pool()
        return self.watch_pools_by_kind[kind]

    def renew_watch_pool(self, kind: str, since: Position, told: Position) -> None:
        """Close the connection for watches of a kind, as it has shown changes from before `since`.

        They are the response to an earlier watch, and are applied already: later ones may be known.
        """
        log = structlog.get_logger()
        log.warning("watch-response-repeated", kind=kind, since=str(since), told=str(told))
        self.watch_pools_by_kind.pop(kind).close()

    def read_all(self, kind: str) -> StoreChanges:
        """Read all records of a kind, page by page.

        A failed page fails the whole read, and so does a store that is restored meanwhile, a page that
        does not continue the one before, and a list of more than `MAX_HELD_BYTES`. For all but
        configurations and versions the last event says that the list is complete.
        """
        items: list[dict] = []
        position: Position | None = None
        list_bytes = 0
        names: set[str] = set()
        while True:
            progress = ResponseProgress(self.clock)
            query = f"?{urlencode({'after': items[-1]['metadata']['name']})}" if items else ""
            status, data = self.request(
                "list", "GET", f"/api/objects/{kind}{query}", progress=progress
            )
            if status is not ev.CallStatus.OK:
                return StoreChanges(status)
            list_bytes += progress.received_bytes
            page_names = {item["metadata"]["name"] for item in data["items"]}
            if list_bytes > MAX_HELD_BYTES or page_names & names:
                structlog.get_logger().warning("list-without-end", kind=kind, bytes=list_bytes)
                return StoreChanges(ev.CallStatus.UNKNOWN)
            names |= page_names
            # The first page's position, so that changes between the pages are read again.
            position = position or Position(self.generation, data["currentRev"])
            if position.generation != self.generation:
                return StoreChanges(ev.CallStatus.UNKNOWN, history_gone=True)
            items += data["items"]
            if not data.get("truncated") or not data["items"]:
                break
        decoded = self.decoder.decode_list(kind, items, self.reading(position.generation))
        if kind in self.copied_kinds:
            # The earlier one stays in force, and other entries may need it.
            readable = [i for i in items if i["metadata"]["name"] not in decoded.unreadable]
            self.copied_kinds[kind].replace(readable, position)
        return changes_of_list(items, decoded, position)

    def reading(self, generation: int) -> Reading:
        """Return that records of a generation have been read now."""
        return Reading(self.clock.monotonic(), self.clock.now(), generation)

    def copy(self, kind: str, after: Position) -> RecordsCopy | None:
        """Return a copy of all records of a kind, as `Store.copy` says."""
        copied = self.copied_kinds.get(kind)
        return copied.copy(after) if copied is not None else None

    def read_copy(self, kind: str, copy: RecordsCopy) -> StoreChanges:
        """Read a copy that another entry has made, and keep it; raises as `CopiedKind.read`."""
        items = self.copied_kinds[kind].read(copy)
        decoded = self.decoder.decode_list(kind, items, self.reading(copy.position.generation))
        return evolve(changes_of_list(items, decoded, copy.position), is_from_store=False)

    def versions_digest(self, kind: str) -> str:
        """Return a digest of the versions read, as `Store.versions_digest` says."""
        return self.copied_kinds[kind].versions_digest()

    def adopt_copy(self, kind: str, copy: RecordsCopy) -> tuple[ev.Event, ...]:
        """Take later versions from another entry's copy, as `Store.adopt_copy` says."""
        items = self.copied_kinds[kind].adopt(copy)
        return tuple(self.decoder.decode_list(kind, items, self.reading(self.generation)).events)

    def watch(
        self, spec: WatchSpec, since: Position, fresh: bool, on_begun: OnBegun | None = None
    ) -> StoreChanges:
        """Wait for changes of a kind after `since`; no events if the long poll ended.

        Revisions say nothing in another generation than that of `since`, and then the history counts
        as gone. A response with changes from before `since` only is that to an earlier watch.
        """
        if since.generation != self.generation:
            return StoreChanges(ev.CallStatus.UNKNOWN, history_gone=True)
        kind = spec.kind
        query = {"watch": since.revision, "waitMs": int(spec.long_poll_s * 1000)}
        if not fresh:
            query["allowStale"] = 1
        path = f"/api/objects/{kind}?{urlencode(query)}"
        timeout_s = spec.long_poll_s + LONG_POLL_MARGIN_S
        status, body_or_code = self.request(
            "watch",
            "GET",
            path,
            timeout_s=timeout_s,
            on_begun=on_begun,
            kept_pool=self.watch_pool(kind),
        )
        if since.generation != self.generation:
            return StoreChanges(ev.CallStatus.UNKNOWN, history_gone=True)
        if status is not ev.CallStatus.OK:
            return StoreChanges(
                status,
                history_gone=body_or_code == HISTORY_GONE_CODE,
                was_cut_off=body_or_code == CUT_OFF,
            )
        changes = body_or_code["events"]
        last_change = latest_position((change["object"] for change in changes), since.generation)
        position = Position(since.generation, body_or_code["currentRev"])
        if changes and max(last_change, position) <= since:
            self.renew_watch_pool(kind, since, position)
            return StoreChanges(ev.CallStatus.UNKNOWN, was_cut_off=True)
        reading = self.reading(since.generation)
        events: list[ev.Event] = []
        readable = []
        for change in changes:
            is_removed = bool(change.get("tombstone"))
            decoded = self.decoder.decode(kind, change["object"], is_removed, reading)
            events += decoded.events
            if not decoded.unreadable:
                readable.append(change)
        position = max(since, position)
        if kind in self.copied_kinds:
            self.copied_kinds[kind].apply(readable, position)
        return StoreChanges(ev.CallStatus.OK, position, last_change, tuple(events))

    def register(
        self, name: str, zone: str, host: str, port: int, relay_port: int
    ) -> ev.CallStatus:
        """Create or replace the record of this entry: its zone and its addresses for peers."""
        spec = {"host": host, "port": port, "zone": zone, "relay_port": relay_port}
        return self.write_record(ENTRY_KIND, name, spec, None)[0]

    def unregister(self, name: str) -> ev.CallStatus:
        """Remove the record of this entry."""
        return self.request("delete", "DELETE", record_path(ENTRY_KIND, name))[0]

    def claim(self, claim: Claim) -> tuple[ev.CallStatus, Position, ev.LeadSeen | None]:
        """Write which entry leads an engine, as `Store.claim` says."""
        generation = claim.position.generation
        if generation != self.generation:
            return ev.CallStatus.REFUSED, Position(), None
        spec = {"holder": claim.holder, "epoch": claim.epoch}
        status, data = self.write_record(LEAD_KIND, claim.engine, spec, claim.position.revision)
        if generation != self.generation:
            # The record that was replaced may be another one with the same revision.
            return ev.CallStatus.UNKNOWN, Position(), None
        item = data if isinstance(data, dict) else {}
        if "metadata" not in item:
            return status, Position(), None
        position = Position(generation, item["metadata"]["revision"])
        if status is not ev.CallStatus.CONFLICT:
            return status, position, None
        seen = self.decoder.decode(LEAD_KIND, item, False, self.reading(generation)).events
        return status, position, seen[0] if seen else None

    def write_software(self, service_version: ServiceVersion) -> ev.CallStatus:
        """Record that endpoints of a service have a software version; it may be recorded already."""
        spec = documents.encode_service_version(service_version)
        name = documents.software_record_name(service_version)
        generation = self.generation
        status, _ = self.write_record(SOFTWARE_KIND, name, spec, 0)
        if generation != self.generation:
            # The store may have been restored to a copy without it.
            return ev.CallStatus.UNKNOWN
        return ev.CallStatus.OK if status is ev.CallStatus.CONFLICT else status

    def remove_software(self, service_version: ServiceVersion) -> ev.CallStatus:
        """Remove that record, as `Store.remove_software` says."""
        changes = self.read_all(ENDPOINT_KIND)
        if changes.status is not ev.CallStatus.OK:
            return changes.status
        if any(
            isinstance(event, ev.EndpointSeen) and event.record.service_version == service_version
            for event in changes.events
        ):
            return ev.CallStatus.CONFLICT
        return self.remove_record(SOFTWARE_KIND, documents.software_record_name(service_version))

    def write_crashes(self, name: str, crashes: tuple[Crashed, ...]) -> ev.CallStatus:
        """Record what a content or a part of prompts has crashed; without any, remove the record."""
        if not crashes:
            return self.remove_record(CRASH_KIND, name)
        spec = documents.encode_crashes(crashes, self.clock.now())
        return self.write_record(CRASH_KIND, name, spec, None)[0]

    def remove_record(self, kind: str, name: str) -> ev.CallStatus:
        """Remove a record that may be gone already."""
        status, code = self.request("delete", "DELETE", record_path(kind, name))
        is_gone = status is ev.CallStatus.OK or code == NOT_FOUND_CODE
        return ev.CallStatus.OK if is_gone else status

    def write_record(self, kind: str, name: str, spec: dict, revision: int | None):
        """Create or replace a record; return status and response data.

        With revision 0 the record is only created. With None it is created or replaced, whatever
        its revision. With another revision it is replaced only if it still has that revision.
        """
        metadata: dict[str, object] = {"name": name}
        if revision:
            metadata["revision"] = revision
        body = {"metadata": metadata, "spec": spec}
        if not revision:
            status, data = self.request("create", "POST", f"/api/objects/{kind}", body)
            if status is not ev.CallStatus.CONFLICT or revision == 0:
                return status, data
        return self.request("put", "PUT", record_path(kind, name), body)

    def request(
        self,
        operation: str,
        method: str,
        path: str,
        body=None,
        timeout_s: float = CALL_TIMEOUT_S,
        on_begun: OnBegun | None = None,
        kept_pool: StrictPool | None = None,
        progress: ResponseProgress | None = None,
    ):
        """Make a call, count it, and log it if it failed.

        Parameters
        ----------
        kept_pool : StrictPool or None
            Pool with a connection that is kept; None for a connection that is closed after the call.
        progress : ResponseProgress or None
            Tells the caller how much was received.

        Returns
        -------
        tuple
            Status, and the decoded body for OK and CONFLICT. For other statuses the second item is
            the status code, or a text if no usable response arrived. REFUSED means that the store
            certainly did not carry out the call, UNKNOWN that it may have.
        """
        headers = {"Content-Type": "application/json"}
        data = orjson.dumps(body) if body is not None else None
        progress = progress or ResponseProgress(self.clock, on_begun)
        held = HeldBytes(self)
        progress.on_received = held.add
        generation = self.generation
        status, result = ev.CallStatus.UNKNOWN, ENDED
        pool = kept_pool or self.create_pool()
        try:
            code, answer = request_bounded(
                pool,
                method,
                path,
                CALL_TIMEOUT_S + RESPONSE_TIMEOUT_RATIO * timeout_s,
                MAX_RESPONSE_BYTES,
                progress.on_head,
                progress.on_bytes,
                STALL_S,
                body=data,
                headers=headers,
                timeout=Timeout(connect=CALL_TIMEOUT_S, read=timeout_s),
            )
            status = CALL_STATUS_BY_CODE.get(code, ev.CallStatus.UNKNOWN)
            result = code
            if not self.accept_generation(progress.generation_text, generation):
                status, result = ev.CallStatus.UNKNOWN, OUTDATED
            elif status in (ev.CallStatus.OK, ev.CallStatus.CONFLICT):
                parse = parse_response if method == "GET" else orjson.loads
                result = parse(answer) if answer else {}
        except HTTPError as error:
            status = ev.CallStatus.REFUSED if never_sent(error) else ev.CallStatus.UNKNOWN
            result = CUT_OFF if was_cut_off(error) else type(error).__name__
        except ValueError as error:
            status, result = ev.CallStatus.UNKNOWN, f"not JSON: {error}"
        finally:
            held.give_back()
            if kept_pool is None:
                pool.close()
            self.record_call(operation, path, status, result, progress)
        return status, result

    def accept_generation(self, generation_text: str | None, known: int) -> bool:
        """Apply the generation that a response shows; return whether the response may be used.

        One of an earlier generation may not, if a later one was not known when the call began: the
        response was late. A generation that is missing or unreadable, or that has fallen, says
        nothing; it is logged once. The store counts as not restored then, as records that are missing
        would otherwise count as lost.
        """
        text = generation_text or ""
        generation = int(text) if GENERATION.fullmatch(text) else None
        if generation is not None and generation >= self.generation:
            self.generation = generation
            return True
        if generation is not None and known < self.generation:
            return False
        if (self.generation or text) and self.unclear_generation != text:
            self.unclear_generation = text
            log = structlog.get_logger()
            log.warning("store-generation-unclear", told=text[:40], known=self.generation)
        return True

    def record_call(
        self, operation: str, path: str, status, result: object, progress: ResponseProgress
    ) -> None:
        """Count a call and its bytes, and log it if it failed or its response took long to read."""
        if self.metrics is not None:
            kind = f"{operation} {kind_of(path)}"
            self.metrics.count("platform_call", (kind, status))
            self.metrics.count("platform_bytes", (kind,), progress.received_bytes)
        body_s = progress.body_s()
        if status is ev.CallStatus.OK and body_s < SLOW_BODY_S:
            return
        if result is ENDED and progress.head_at is None:
            return
        fields = {"call": operation, "path": path, "bytes": progress.received_bytes}
        log = structlog.get_logger().bind(**fields, body_s=round(body_s, 3))
        if status is ev.CallStatus.OK:
            log.info("store-call-slow")
        else:
            log.warning("store-call-failed", detail=str(result)[:200])


def changes_of_list(items: list[dict], decoded: Decoded, position: Position) -> StoreChanges:
    """Return all records of a kind as changes."""
    last_change = latest_position(items, position.generation)
    return StoreChanges(ev.CallStatus.OK, position, last_change, tuple(decoded.events))


def was_cut_off(error: HTTPError) -> bool:
    """Return whether a connection that was made ended without a response."""
    return isinstance(error, ProtocolError) and any(
        isinstance(cause, ConnectionError) for cause in error.args
    )


def kind_of(path: str) -> str:
    """Return the kind of record in the path of a call, with the mark of reads that may be stale."""
    kind, _, query = path.removeprefix("/api/objects/").partition("?")
    return kind.partition("/")[0] + (" stale" if "allowStale" in query else "")


def record_path(kind: str, name: str) -> str:
    """Return the path of a record; the name is percent-encoded."""
    return f"/api/objects/{kind}/{quote(name, safe='')}"
