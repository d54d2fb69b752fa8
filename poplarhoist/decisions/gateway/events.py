"""Events that the I/O layer, `poplarhoist.gateway`, feeds to the gateway's reducer.

The time `at` of each event is in monotonic seconds.
"""

import enum

from attrs import field, frozen

from poplarhoist.decisions.gateway.limits import GatewayLimits
from poplarhoist.decisions.gateway.messages import Crashed, Message
from poplarhoist.decisions.gateway.models import (
    Configuration,
    EndpointLoad,
    EndpointRecord,
    EngineReport,
    Prompt,
    RelayTerms,
    ServiceVersion,
)
from poplarhoist.decisions.gateway.positions import Position


@frozen
class Tick:
    """A regular tick; due actions run on it."""

    at: float


@frozen
class ConfigurationSeen:
    """The store holds a configuration."""

    at: float
    configuration: Configuration


@frozen
class EndpointSeen:
    """An endpoint registered or changed its record."""

    at: float
    record: EndpointRecord


@frozen
class EndpointRemoved:
    """An endpoint's record was removed from the store."""

    at: float
    name: str


@frozen
class EndpointsListed:
    """All endpoint records were read; endpoints not in `names` have no record."""

    at: float
    names: frozenset[str]


@frozen
class VersionSeen:
    """A version of an adapter was announced."""

    at: float
    model: str
    adapter: str
    version: int


@frozen
class EntryRecordChanged:
    """An entry registered or changed its record; `host` is empty if the record was removed."""

    at: float
    name: str
    host: str = ""
    port: int = 0
    zone: str = ""
    relay_port: int = 0


@frozen
class LeadSeen:
    """The store's record of the lead of an engine was read."""

    at: float
    engine: str
    holder: str
    epoch: int
    position: Position


@frozen
class EntriesListed:
    """All records of entries were read; entries not in `names` have no record."""

    at: float
    names: frozenset[str]


@frozen
class SoftwareRecordSeen:
    """The store's record of a software version was read."""

    at: float
    service_version: ServiceVersion


@frozen
class SoftwareRecordsListed:
    """All records of software versions were read."""

    at: float


@frozen
class LeadsListed:
    """All lead records of a generation of the store were read."""

    at: float
    generation: int = 0


class CallStatus(enum.StrEnum):
    """How a call to the store ended; after UNKNOWN it may or may not have taken effect."""

    OK = "ok"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@frozen
class ClaimEnded:
    """A claim on the leadership of an engine was answered, or got no answer.

    Attributes
    ----------
    position : Position
        Position of the record that was written.
    """

    at: float
    engine: str
    epoch: int
    status: CallStatus
    position: Position = Position()


@frozen
class RequestArrived:
    """A caller's request was read.

    Attributes
    ----------
    request_id : str
        Unique within this entry.
    caller_id : str
        Id that the caller gave to the attempt; goes into the logs.
    deadline_s : float or None
        Seconds that the caller will wait from now on.
    content_digest : str
        Digest of method, path and body; the same when the same request is sent again.
    last_event_id : str
        Id of the event after which the caller resumes a stream; empty if it begins one.
    resumed_caller_id : str
        Id of the caller's attempt that began the stream; empty if it does not say.
    relay : RelayTerms or None
        What the entry asks for that sent the request here; None if its caller did.
    key_digest : bytes
        Digest of the first key that the caller sent; empty if it sent none that can be a key.
    key_lines : int
        Header lines with a key.
    """

    at: float
    request_id: str
    caller_id: str
    host: str
    path: str
    deadline_s: float | None = None
    prompt: Prompt | None = None
    content_digest: str = ""
    last_event_id: str = ""
    resumed_caller_id: str = ""
    relay: RelayTerms | None = None
    key_digest: bytes = b""
    key_lines: int = 0


class Outcome(enum.StrEnum):
    """How an attempt ended.

    DONE: the complete response of the endpoint was passed on.
    NOT_SENT: no byte reached the endpoint.
    NOT_RUN: the endpoint says that it did not run the request.
    FAILED: the endpoint responded with an error that has not been passed on.
    BROKEN: the connection broke off, or the response did not belong to this request.
    STALE: a kept connection ended before the first byte of the response. The request may have run;
    it says nothing of the endpoint, which may close idle connections at any time.
    TIMED_OUT: the deadline passed.
    BROKEN_OFF: this entry ended it before the first byte of the response. The request may have run; it
    says nothing against the endpoint.
    CANCELLED: the caller disconnected.
    """

    DONE = "done"
    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    FAILED = "failed"
    BROKEN = "broken"
    STALE = "stale-connection"
    TIMED_OUT = "timed-out"
    BROKEN_OFF = "broken-off"
    CANCELLED = "cancelled"


@frozen
class EndpointNotice:
    """What the head of a response says of its endpoint.

    Attributes
    ----------
    requests_per_s : float or None
        Requests a second that the endpoint takes from all entries together; None if it names no
        limit.
    retry_after_s : float or None
        Seconds for which the endpoint wants no requests from this entry; None if it does not say.
    bears_per_s : float or None
        Requests that the endpoint, which is brittle, bears to turn away in a second; None if it is
        not.
    load : EndpointLoad
        What the endpoint says of its load.
    """

    requests_per_s: float | None = None
    retry_after_s: float | None = None
    bears_per_s: float | None = None
    load: EndpointLoad = EndpointLoad()


@frozen
class EndpointSaidLeaving:
    """An answer of an endpoint, of any kind, says that the endpoint is stopping.

    Attributes
    ----------
    incarnation : int
        Run of the endpoint that was asked.
    """

    at: float
    name: str
    incarnation: int


@frozen
class ResponseStarted:
    """The first byte of a response arrived.

    Attributes
    ----------
    notice : EndpointNotice
        What the head of the response says of the endpoint.
    """

    at: float
    request_id: str
    attempt: int
    notice: EndpointNotice = EndpointNotice()


@frozen
class ResponseChosen:
    """A response too long to be held is passed on as it arrives, so no other one may be."""

    at: float
    request_id: str
    attempt: int


class Framing(enum.StrEnum):
    """What marks the end of a response body.

    NONE: no response head was read.
    LENGTH: the Content-Length.
    CHUNKED: the final chunk.
    CONNECTION: the end of the connection, as the response has neither.
    """

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"


@frozen
class BodyEnd:
    """How far the body of a response was read; for the logs.

    Attributes
    ----------
    received_bytes : int
        Bytes of the body that were read.
    partial_event_bytes : int
        Bytes of an event that had not ended when the reading stopped.
    connection_reset : bool
        Whether the endpoint reset the connection.
    connection_reused : bool
        Whether the attempt was sent over a kept connection.
    """

    framing: Framing = Framing.NONE
    received_bytes: int = 0
    partial_event_bytes: int = 0
    connection_reset: bool = False
    connection_reused: bool = False

    def log_fields(self) -> dict[str, object]:
        """Return the log fields that tell how the body ended."""
        return {
            "framing": self.framing,
            "body_bytes": self.received_bytes,
            "partial_event_bytes": self.partial_event_bytes,
            "connection_reset": self.connection_reset,
            "reused": self.connection_reused,
        }


@frozen
class RequestAbandoned:
    """A request ended without any of its usual ends, such as by an exception."""

    at: float
    request_id: str


@frozen
class AttemptEnded:
    """An attempt ended.

    Attributes
    ----------
    status : int
        Status code of the endpoint; 0 if there was none.
    delivered : bool
        Whether the caller has received a part of the response.
    connection_refused : bool
        Whether the endpoint's address refused the connection.
    body_end : BodyEnd
        How far the body of the response was read.
    notice : EndpointNotice or None
        What the head of the response says of the endpoint; None if there was no head, or if
        ResponseStarted has told it.
    """

    at: float
    request_id: str
    attempt: int
    outcome: Outcome
    status: int = 0
    delivered: bool = False
    connection_refused: bool = False
    reason: str = ""
    body_end: BodyEnd = BodyEnd()
    notice: EndpointNotice | None = None

    @property
    def says_busy(self) -> bool:
        """Whether an endpoint that did not run the request says that it has no time or room."""
        notice = self.notice
        return notice is not None and (
            notice.retry_after_s is not None or notice.bears_per_s is not None
        )


@frozen
class CallerDisconnected:
    """A caller closed its connection."""

    at: float
    request_id: str


@frozen
class PeerMessageReceived:
    """A message of another entry arrived."""

    at: float
    sender: str
    message: Message = field()


class OrderStatus(enum.StrEnum):
    """How an order to an engine ended.

    DONE: already fulfilled, or carried out at once.
    ACCEPTED: being carried out.
    MISMATCH: another order is under way, or the order count differs from the expected one.
    FENCED: the engine has seen a higher epoch.
    GONE: another engine has the address.
    REFUSED: not done, for another reason.
    UNKNOWN: no answer; the order may still be carried out.
    """

    DONE = "done"
    ACCEPTED = "accepted"
    MISMATCH = "mismatch"
    FENCED = "fenced"
    GONE = "gone"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@frozen
class OrderEnded:
    """An order was answered, or got no answer."""

    at: float
    engine: str
    number: int
    status: OrderStatus


@frozen
class ReportReceived:
    """An engine's report was read; `report` is None if the engine did not answer."""

    at: float
    requested_at: float
    engine: str
    report: EngineReport | None


@frozen
class EndpointChecked:
    """An engine was asked whether it still runs.

    Attributes
    ----------
    record : EndpointRecord
        The engine as it was asked.
    has_crashed : bool
        Whether its address refuses connections or belongs to another run; False if it is not known.
    """

    at: float
    record: EndpointRecord
    has_crashed: bool


@frozen
class SoftwareRecordWritten:
    """The record of a software version was written, or exists already."""

    at: float
    service_version: ServiceVersion
    status: CallStatus


@frozen
class SoftwareRecordRemoved:
    """The record of a software version was removed, or is gone already.

    The status is CONFLICT if an endpoint has that version again.
    """

    at: float
    service_version: ServiceVersion
    status: CallStatus


@frozen
class CrashRecordSeen:
    """The store's record of a content, or of a part of prompts, that crashes endpoints was read.

    Attributes
    ----------
    crashes : tuple
        Its crashes, with their age at the time of the event.
    """

    at: float
    name: str
    crashes: tuple[Crashed, ...]


@frozen
class CrashRecordsListed:
    """All records of what crashes endpoints were read."""

    at: float
    names: frozenset[str]


@frozen
class CrashRecordWritten:
    """A record of what crashes endpoints was written, or removed if `crash_count` is 0."""

    at: float
    name: str
    crash_count: int
    status: CallStatus


@frozen
class EndpointProbed:
    """An endpoint was probed.

    Attributes
    ----------
    began_at : float
        When the probe began.
    is_reachable : bool
        Whether the endpoint answered, whatever the answer.
    """

    at: float
    name: str
    began_at: float
    is_reachable: bool


@frozen
class CopyAsked:
    """Another entry was asked for a copy of records.

    Attributes
    ----------
    is_reachable : bool
        Whether it answered, whatever the answer.
    """

    at: float
    peer: str
    is_reachable: bool


@frozen
class StoreAvailabilityChanged:
    """The store answers again, or no longer answers."""

    at: float
    available: bool
    reason: str = ""


@frozen
class StoreGenerationSeen:
    """A response of the store shows a generation that this entry did not know.

    Unless it is the first one, the store was restored: it has lost what was written lately.
    """

    at: float
    generation: int


@frozen
class StoreChangesRead:
    """A watch of the store returned changed records of a kind, up to a position."""

    at: float
    kind: str
    position: Position


@frozen
class LimitsChanged:
    """The settings were read again."""

    at: float
    limits: GatewayLimits


@frozen
class DrainRequested:
    """The entry was told to stop."""

    at: float


Event = (
    Tick
    | ConfigurationSeen
    | EndpointSeen
    | EndpointRemoved
    | EndpointsListed
    | EndpointSaidLeaving
    | VersionSeen
    | EntryRecordChanged
    | EntriesListed
    | LeadSeen
    | LeadsListed
    | ClaimEnded
    | RequestArrived
    | ResponseStarted
    | ResponseChosen
    | AttemptEnded
    | RequestAbandoned
    | CallerDisconnected
    | PeerMessageReceived
    | OrderEnded
    | ReportReceived
    | EndpointChecked
    | EndpointProbed
    | SoftwareRecordSeen
    | SoftwareRecordsListed
    | SoftwareRecordWritten
    | SoftwareRecordRemoved
    | CrashRecordSeen
    | CrashRecordsListed
    | CrashRecordWritten
    | StoreAvailabilityChanged
    | StoreGenerationSeen
    | StoreChangesRead
    | LimitsChanged
    | DrainRequested
)
