"""What the gateway needs of the world outside, to be met by one adapter for each platform."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from attrs import frozen

from poplarhoist.decisions.gateway.effects import Claim, Dispatch, SendOrder
from poplarhoist.decisions.gateway.events import CallStatus, Event, OrderStatus
from poplarhoist.decisions.gateway.models import EndpointRecord, EngineReport, Prompt

Headers = list[tuple[str, str]]


@frozen
class RequestHead:
    """What the head of a caller's request says.

    Attributes
    ----------
    forwarded : list
        Headers that go on to the endpoint.
    resume_after : str
        Id of the last event that the caller has; empty if none.
    """

    caller_request_id: str
    deadline_s: float | None
    prompt: Prompt | None
    forwarded_headers: Headers
    last_event_id: str = ""


@frozen
class ResponseHead:
    """What the head of an endpoint's answer says.

    Attributes
    ----------
    caller_id : str
        The request that it answers, as the endpoint tells.
    not_run : bool
        Whether the endpoint says that it did not run the request.
    returned : list
        Headers that go back to the caller.
    running, waiting : int
        Load of the endpoint; -1 if not told.
    """

    caller_request_id: str
    not_run: bool
    returned_headers: Headers
    has_seal: bool = False
    running: int = -1
    waiting: int = -1


class Dialect(Protocol):
    """Translates between wire and product."""

    ready_path: str

    def parse_request_head(self, headers: Iterable[tuple[str, str]]) -> RequestHead:
        """Read the head of a caller's request."""

    def build_request_headers(
        self, head: RequestHead, dispatch: Dispatch, last_event_id: str
    ) -> Headers:
        """Return the headers of a request to an endpoint."""

    def parse_response_head(self, status: int, headers: Iterable[tuple[str, str]]) -> ResponseHead:
        """Read the head of an endpoint's answer."""

    def report_path(self) -> str:
        """Return where an engine reports."""

    def decode_report(self, data: bytes) -> EngineReport:
        """Read an engine's report; raises ValueError if it cannot be read."""

    def build_order_request(self, order: SendOrder, holder: str) -> tuple[str, Headers, bytes]:
        """Return path, headers and body of an order."""

    def order_status_of(self, status: int) -> OrderStatus:
        """Return what an engine's answer to an order means."""

    def build_report_headers(self, record: EndpointRecord) -> Headers:
        """Return the headers of a question for a report."""


@frozen
class WatchSpec:
    """One kind of record that is followed in the store.

    Attributes
    ----------
    fresh : bool
        Whether reads must be up to date; others are cheaper.
    pause_s : float
        Pause between two reads of changes.
    wait_s : float
        How long the store may wait for a change before it answers.
    guard : bool
        Whether a read of this kind that fails shows that reads of the others may hang too. While
        the store is away only this kind is tried.
    told : bool
        Whether entries tell one another of changes, so that many of them may wait longer.
    """

    kind: str
    fresh: bool = True
    pause_between_watches_s: float = 0.0
    long_poll_s: float = 20.0
    probes_store: bool = False
    notifies_peers: bool = False


@frozen
class StoreChanges:
    """Records read from the store, as events.

    Attributes
    ----------
    status : CallStatus
        REFUSED if the store turned the call away, UNKNOWN if it did not answer.
    revision : int
        Revision of the store to follow from.
    changed : int
        Latest revision among the records.
    """

    status: CallStatus
    revision: int = 0
    last_change_revision: int = 0
    events: tuple[Event, ...] = ()
    history_gone: bool = False


class Store(Protocol):
    """What lasts: configuration, endpoints, versions, entries and leads."""

    watch_specs: tuple[WatchSpec, ...]

    def read_all(self, kind: str) -> StoreChanges:
        """Read all records of a kind."""

    def watch(self, spec: WatchSpec, since: int) -> StoreChanges:
        """Wait for changes of a kind after a revision."""

    def register(self, name: str, zone: str, host: str, port: int) -> CallStatus:
        """Write where this entry takes messages."""

    def unregister(self, name: str) -> CallStatus:
        """Remove this entry's record."""

    def claim(self, claim: Claim) -> tuple[CallStatus, int, Mapping | None]:
        """Write who leads an engine; return the status and the record's revision."""
