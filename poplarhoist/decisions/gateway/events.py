"""Everything that happens to the gateway, as data; ``at`` is monotonic seconds."""

import enum

from attrs import field, frozen

from poplarhoist.decisions.gateway.limits import GatewayLimits
from poplarhoist.decisions.gateway.messages import Message
from poplarhoist.decisions.gateway.models import (
    Configuration,
    EndpointRecord,
    EngineReport,
    Prompt,
)


@frozen
class Tick:
    """Time has passed."""

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
    """An endpoint's record was removed."""

    at: float
    name: str


@frozen
class EndpointsListed:
    """All records were read anew; endpoints not named have none."""

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
class EntrySeen:
    """An entry registered; ``host`` is empty once it left."""

    at: float
    name: str
    host: str = ""
    port: int = 0
    zone: str = ""


@frozen
class LeadSeen:
    """Who leads an engine, as the store has it."""

    at: float
    engine: str
    holder: str
    epoch: int
    revision: int


@frozen
class EntriesListed:
    """All records of entries were read anew; entries not named have none."""

    at: float
    names: frozenset[str]


@frozen
class LeadsListed:
    """All records of leads were read."""

    at: float


class CallStatus(enum.StrEnum):
    """How a call ended; UNKNOWN leaves open whether it took effect."""

    OK = "ok"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@frozen
class ClaimEnded:
    """A claim of the lead of an engine was answered, or not."""

    at: float
    engine: str
    epoch: int
    status: CallStatus
    revision: int = 0


@frozen
class RequestArrived:
    """A caller's request was read.

    Attributes
    ----------
    request_id : str
        Unique within this entry.
    caller_id : str
        Id that the caller gave the attempt; goes into the logs.
    deadline_s : float or None
        How long the caller waits from now on.
    content : str
        Digest of method, path and body; the same for the same request sent again.
    """

    at: float
    request_id: str
    caller_id: str
    host: str
    path: str
    deadline_s: float | None = None
    prompt: Prompt | None = None
    content_digest: str = ""


class Outcome(enum.StrEnum):
    """How an attempt ended.

    DONE: the endpoint's whole answer was passed on.
    NOT_SENT: no byte reached the endpoint.
    NOT_RUN: the endpoint says that it did not run the request.
    FAILED: the endpoint answered with a failure of its own, not yet passed on.
    BROKEN: the connection ended, or the answer was no answer to this request.
    TIMED_OUT: the time for the answer is over.
    CANCELLED: the caller left.
    """

    DONE = "done"
    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    FAILED = "failed"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


@frozen
class ResponseStarted:
    """The first byte of an answer is here.

    Attributes
    ----------
    running, waiting : int
        Requests at the endpoint as it told with the answer; -1 if it did not.
    """

    at: float
    request_id: str
    attempt: int
    running: int = -1
    waiting: int = -1


@frozen
class AttemptEnded:
    """An attempt is over.

    Attributes
    ----------
    status : int
        The endpoint's status code; 0 if there was none.
    delivered : bool
        Whether the caller has had a part of the answer.
    refused : bool
        Whether the endpoint's address refused the connection.
    """

    at: float
    request_id: str
    attempt: int
    outcome: Outcome
    status: int = 0
    delivered: bool = False
    connection_refused: bool = False
    reason: str = ""


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

    DONE: it holds already, or was carried out at once.
    ACCEPTED: it is being carried out.
    MISMATCH: another order is under way, or the count of orders differs.
    FENCED: the engine has seen a higher epoch.
    GONE: another engine has the address.
    REFUSED: not done, for another reason.
    UNKNOWN: no answer; it may be carried out later.
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
    """An order was answered, or not."""

    at: float
    engine: str
    number: int
    status: OrderStatus


@frozen
class ReportReceived:
    """An engine's report was read; None if it did not answer."""

    at: float
    requested_at: float
    engine: str
    report: EngineReport | None


@frozen
class StoreAvailabilityChanged:
    """The store answers again, or does not."""

    at: float
    available: bool
    reason: str = ""


@frozen
class StoreChangesRead:
    """A watch of the store showed changed records of a kind, up to a revision."""

    at: float
    kind: str
    revision: int


@frozen
class LimitsChanged:
    """The settings were read again."""

    at: float
    limits: GatewayLimits


@frozen
class DrainRequested:
    """The entry is to stop."""

    at: float


Event = (
    Tick
    | ConfigurationSeen
    | EndpointSeen
    | EndpointRemoved
    | EndpointsListed
    | VersionSeen
    | EntrySeen
    | EntriesListed
    | LeadSeen
    | LeadsListed
    | ClaimEnded
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | CallerDisconnected
    | PeerMessageReceived
    | OrderEnded
    | ReportReceived
    | StoreAvailabilityChanged
    | StoreChangesRead
    | LimitsChanged
    | DrainRequested
)
