"""What the gateway needs of the world outside, to be met by one adapter for each platform."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from attrs import frozen

from poplarhoist.decisions.gateway.effects import Claim, Dispatch, SendOrder
from poplarhoist.decisions.gateway.events import CallStatus, Event, OrderStatus
from poplarhoist.decisions.gateway.models import EndpointRecord, EngineReport, Prompt

Headers = list[tuple[str, str]]


@frozen
class CallerHead:
    """What the head of a caller's request says.

    Attributes
    ----------
    forwarded : list
        Headers that go on to the endpoint.
    resume_after : str
        Id of the last event that the caller has; empty if none.
    """

    caller_id: str
    deadline_s: float | None
    prompt: Prompt | None
    forwarded: Headers
    resume_after: str = ""


@frozen
class AnswerHead:
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

    caller_id: str
    not_run: bool
    returned: Headers
    sealed: bool = False
    running: int = -1
    waiting: int = -1


class Dialect(Protocol):
    """Translates between wire and product."""

    ready_path: str

    def read_head(self, headers: Iterable[tuple[str, str]]) -> CallerHead:
        """Read the head of a caller's request."""

    def request_headers(self, head: CallerHead, order: Dispatch, resume_after: str) -> Headers:
        """Return the headers of a request to an endpoint."""

    def read_answer(self, status: int, headers: Iterable[tuple[str, str]]) -> AnswerHead:
        """Read the head of an endpoint's answer."""

    def report_path(self) -> str:
        """Return where an engine reports."""

    def read_report(self, data: bytes) -> EngineReport:
        """Read an engine's report; raises ValueError if it cannot be read."""

    def order_request(self, order: SendOrder, holder: str) -> tuple[str, Headers, bytes]:
        """Return path, headers and body of an order."""

    def order_status(self, status: int) -> OrderStatus:
        """Return what an engine's answer to an order means."""

    def report_headers(self, record: EndpointRecord) -> Headers:
        """Return the headers of a question for a report."""


@frozen
class Following:
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
    pause_s: float = 0.0
    wait_s: float = 20.0
    guard: bool = False
    told: bool = False


@frozen
class Changes:
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
    changed: int = 0
    events: tuple[Event, ...] = ()
    too_old: bool = False


class Store(Protocol):
    """What lasts: configuration, endpoints, versions, entries and leads."""

    followed: tuple[Following, ...]

    def read_all(self, kind: str) -> Changes:
        """Read all records of a kind."""

    def watch(self, following: Following, since: int) -> Changes:
        """Wait for changes of a kind after a revision."""

    def register(self, name: str, zone: str, host: str, port: int) -> CallStatus:
        """Write where this entry takes messages."""

    def unregister(self, name: str) -> CallStatus:
        """Remove this entry's record."""

    def claim(self, claim: Claim) -> tuple[CallStatus, int, Mapping | None]:
        """Write who leads an engine; return the status and the record's revision."""
