"""Copies long records of the store from other entries, and offers them this entry's."""

from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qs, urlencode

import eventlet
from attrs import define, evolve, field
from urllib3 import Timeout
from urllib3.exceptions import HTTPError

from poplarhoist.decisions.gateway import copies
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.entry_state import EntryState
from poplarhoist.decisions.gateway.events import CallStatus
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.decisions.gateway.state import GatewayState
from poplarhoist.entry.http import request_once
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.gateway.interfaces import RecordsCopy, Store, StoreChanges
from poplarhoist.gateway.sockets import socket_options

# Path at the inner port of an entry, followed by the kind of record.
COPIES_PATH = "/copies/"
REVISION_HEADER = "Copy-Revision"
# Entries of earlier releases neither send nor read it.
GENERATION_HEADER = "Copy-Generation"
# Seconds for the first byte of a copy, and for the whole.
FIRST_BYTE_S = 1.0
# The same of a reader that is asked whether there is anything new. With the pause before, a change that
# nobody told of is read from the store within the three seconds after which it must be in force.
ASK_TIMEOUT_S = 0.4
WHOLE_S = 3.0
MAX_COPY_BYTES = 4194304
MAX_DIGITS = 20
# Seconds between two questions to readers whether there is anything new; half as much at least.
ASK_INTERVAL_S = 2.4
# Seconds between two entries that are asked for a first copy.
FIRST_COPY_INTERVAL_S = 0.25
# Longest wait in seconds, after the start, for the list of entries, which tells who reads long records.
ENTRIES_WAIT_S = 1.0
ENTRIES_POLL_S = 0.02
# Names the digest of known versions in the query of an entry that wants only others.
VERSIONS_QUERY = "versions"
# Adds to a copy what has changed since; returns None if that is not possible.
Complete = Callable[[StoreChanges], StoreChanges | None]


@define
class CopyReader:
    """Copies records of a kind from other entries.

    Attributes
    ----------
    kind : str
        Kind of record.
    told : Event
        Sent when another entry tells of a change; replaced by a new one then.
    """

    decision_loop: DecisionLoop
    store: Store
    kind: str
    told: eventlet.event.Event = field(factory=eventlet.event.Event)

    @property
    def state(self) -> GatewayState:
        """State of the decisions."""
        return self.decision_loop.state

    def at(self) -> float:
        """Return the monotonic time in seconds."""
        return self.decision_loop.event_time()

    def reads_itself(self) -> bool:
        """Return whether this entry reads the records from the store."""
        return copies.reads_itself(self.state, self.kind, self.at())

    def wake(self) -> None:
        """End the wait for a change, as another entry has told of one."""
        self.told.send()
        self.told = eventlet.event.Event()

    def copy_from_told(self, known: Position) -> tuple[StoreChanges | None, bool]:
        """Copy records from an entry that is known to be ahead.

        Returns
        -------
        StoreChanges or None
            None if there is no such copy.
        bool
            Whether an entry was not reachable; no other one is tried then, as each costs time.
        """
        tried: set[str] = set()
        while True:
            source = copies.choose_source(self.state, self.kind, known, self.at(), tried)
            if source is None:
                return None, False
            tried.add(source.name)
            changes = self.fetch(source, known)
            if changes is not None and changes.last_change > known:
                return changes, False
            if not self.is_answering(source):
                return None, True

    def wait_for_change(self, known: Position) -> StoreChanges | None:
        """Wait until another entry has newer records, and copy them.

        Returns
        -------
        StoreChanges or None
            No events if there is nothing new; None if no reader of this region answers.
        """
        changes, was_unreachable = self.copy_from_told(known)
        if changes is None and not was_unreachable:
            wait_s = ASK_INTERVAL_S * (0.5 + 0.5 * self.state.random.random())
            with eventlet.Timeout(wait_s, False):
                self.told.wait()
            changes, _ = self.copy_from_told(known)
        return changes or self.ask_readers(known)

    def ask_readers(self, known: Position) -> StoreChanges | None:
        """Copy newer records from a reader; no events if it has none, None if there is no answer.

        A reader that does not answer costs time, in which a change may come late. So the store is read
        then, and another reader is asked the next time.
        """
        for reader in copies.readers_to_ask(self.state, self.kind, self.at()):
            changes = self.fetch(reader, known, ASK_TIMEOUT_S)
            if changes is not None or not self.is_answering(reader):
                return changes
        return None

    def is_answering(self, peer: EntryState) -> bool:
        """Return whether an entry answered when it was last asked for a copy."""
        return peer.copies_missed == 0

    def look_for_first_copy(self, complete: Complete) -> StoreChanges | None:
        """Copy all records from any entry of this region; None if there is no copy for a while.

        Parameters
        ----------
        complete : callable
            Adds to a copy what has changed since it was up to date.
        """
        started_at = self.at()
        while self.at() - started_at < copies.copy_wait_s(self.state, self.kind, self.at()):
            peer = copies.choose_any_peer(self.state, self.kind, self.at())
            copied = self.fetch(peer, Position()) if peer is not None else None
            if copied is not None and copied.last_change.revision:
                changes = complete(copied)
                if changes is not None:
                    return changes
            eventlet.sleep(FIRST_COPY_INTERVAL_S * (0.5 + self.state.random.random()))
        return None

    def start_asking(self, delay_s: float) -> eventlet.event.Event:
        """Ask other entries in the background whether they know more than was read from the store.

        Parameters
        ----------
        delay_s : float
            Longest pause before that.

        Returns
        -------
        Event
            Sent when enough have answered, or all were asked.
        """
        is_done = eventlet.event.Event()
        eventlet.spawn_n(self.ask_for_later_versions, delay_s, is_done)
        return is_done

    def ask_for_later_versions(self, delay_s: float, is_done: eventlet.event.Event) -> None:
        """Ask other entries, one by one; a restored store may have earlier versions than they have."""
        try:
            self.wait_for_entries()
            eventlet.sleep(delay_s * self.state.random.random())
            answered = 0
            for peer in copies.peers_to_ask_for_versions(self.state):
                answered += self.adopt_from(peer)
                if answered == copies.ANSWERS_ABOUT_VERSIONS:
                    return
        finally:
            is_done.send()

    def wait_for_entries(self) -> None:
        """Wait for the list of entries, for a while."""
        ends_at = self.at() + ENTRIES_WAIT_S
        while not self.state.entries_listed and self.at() < ends_at:
            eventlet.sleep(ENTRIES_POLL_S)

    def adopt_from(self, peer: EntryState) -> bool:
        """Take what another entry knows later versions of; return whether it could tell."""
        query = {VERSIONS_QUERY: self.store.versions_digest(self.kind)}
        copy = self.request_copy(peer, query | position_query(Position()), ASK_TIMEOUT_S)
        if copy is None or not copy.data:
            return copy is not None
        try:
            events = self.store.adopt_copy(self.kind, copy)
        except ValueError as error:
            # Another entry may have a sound copy.
            self.log_failure(peer, error)
            return False
        for event in events:
            fields = {"peer": peer.name, "detail": str(event)[:200]}
            self.decision_loop.log.info("later-version-copied", kind=self.kind, **fields)
            self.decision_loop.submit(event)
        return True

    def fetch(
        self, source: EntryState, known: Position, timeout_s: float = FIRST_BYTE_S
    ) -> StoreChanges | None:
        """Copy records from an entry.

        Parameters
        ----------
        timeout_s : float
            Seconds for the connection, and for the first byte of the response.

        Returns
        -------
        StoreChanges or None
            No events if the entry has no newer records; None if it does not answer, cannot tell, or
            answers with something else than a copy.
        """
        copy = self.request_copy(source, position_query(known), timeout_s)
        if copy is None:
            return None
        if not copy.data:
            return StoreChanges(CallStatus.OK, max(known, copy.position), is_from_store=False)
        try:
            changes = self.store.read_copy(self.kind, copy)
        except (ValueError, KeyError, TypeError) as error:
            # The next entry, or the store, is asked instead.
            self.log_failure(source, error)
            return None
        fields = {"revision": changes.last_change.revision, "bytes": len(copy.data)}
        self.decision_loop.log.info("records-copied", kind=self.kind, peer=source.name, **fields)
        return changes

    def request_copy(
        self, source: EntryState, query: dict[str, int | str], timeout_s: float = FIRST_BYTE_S
    ) -> RecordsCopy | None:
        """Request a copy, which is empty if there is nothing newer; None if there is none."""
        url = f"http://{source.host}:{source.port}{COPIES_PATH}{self.kind}?{urlencode(query)}"
        headers: dict[str, str] = {}
        try:
            status, data = request_once(
                "GET",
                url,
                WHOLE_S,
                MAX_COPY_BYTES,
                headers.update,
                socket_options(WHOLE_S),
                timeout=Timeout(connect=timeout_s, read=timeout_s),
            )
            self.submit_asked(source, True)
            if status not in (HTTPStatus.OK, HTTPStatus.NO_CONTENT):
                raise ValueError(f"status {status}")
            known_generation = query["generation"] or self.store.generation
            generation = int(headers.get(GENERATION_HEADER, known_generation))
            position = Position(generation, int(headers[REVISION_HEADER]))
        except HTTPError as error:
            # The next entry, or the store, is asked instead.
            self.log_failure(source, error)
            self.submit_asked(source, False)
            return None
        except (ValueError, KeyError, TypeError) as error:
            # As above; the entry is alive.
            self.log_failure(source, error)
            return None
        return RecordsCopy(position, data if status == HTTPStatus.OK else b"")

    def submit_asked(self, peer: EntryState, is_reachable: bool) -> None:
        """Submit whether an entry answered."""
        if not is_reachable or not self.is_answering(peer):
            self.decision_loop.submit(ev.CopyAsked(self.at(), peer.name, is_reachable))

    def log_failure(self, source: EntryState, error: Exception) -> None:
        """Log why an entry has given no copy."""
        detail = f"{type(error).__name__}: {error}"[:200]
        self.decision_loop.log.info("copy-failed", kind=self.kind, peer=source.name, detail=detail)


def position_query(known: Position) -> dict[str, int]:
    """Return the query for what is newer than a position."""
    return {"after": known.revision, "generation": known.generation}


def respond_with_copy(state: GatewayState, store: Store, environ: dict, start_response):
    """Return this entry's records of a kind to another entry.

    The status is 204 if none is newer, or if this entry knows the versions that the other one names.
    It is 503 if this entry cannot tell: it has not read them yet, the store is away, or it does not
    read the store itself. Others may take it for a reader, as each finds out by itself which are gone.
    """
    kind = environ["PATH_INFO"].removeprefix(COPIES_PATH)
    query = parse_qs(environ.get("QUERY_STRING", ""))
    after = query.get("after", [""])[0]
    generation = query.get("generation", [str(store.generation)])[0]
    if not all(text.isdecimal() and len(text) <= MAX_DIGITS for text in (after, generation)):
        start_response("400 Bad Request", [])
        return [b""]
    copy = store.copy(kind, Position(int(generation), int(after)))
    if copy is None or (not copy.data and not copies.is_up_to_date(state, kind)):
        start_response("503 Service Unavailable", [])
        return [b""]
    if VERSIONS_QUERY in query and query[VERSIONS_QUERY] == [store.versions_digest(kind)]:
        copy = evolve(copy, data=b"")
    headers = [
        ("Content-Type", "application/octet-stream"),
        (REVISION_HEADER, str(copy.position.revision)),
        (GENERATION_HEADER, str(copy.position.generation)),
    ]
    start_response("200 OK" if copy.data else "204 No Content", headers)
    return [copy.data]
