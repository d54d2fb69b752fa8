"""Everything that the reducer learns, as data.

Times are seconds of the monotonic clock of this entry.
"""

import enum

from attrs import frozen

from poplarhoist.decisions.effects import Purpose
from poplarhoist.decisions.messages import Message
from poplarhoist.models import EndpointReport


class CallStatus(enum.StrEnum):
    """How a call to the platform ended.

    ``REFUSED`` means that it certainly had no effect; ``UNKNOWN`` that it may have had one.
    """

    OK = "ok"
    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Outcome(enum.StrEnum):
    """How an attempt at an endpoint ended.

    COMPLETED: the whole answer was passed on.
    NOT_SENT: no byte of the request reached the endpoint.
    REFUSED: the endpoint said that it did not run the request.
    FAILED: the endpoint answered with an error of its own, which was passed on.
    BROKEN: the endpoint stopped answering after it may have started.
    WRONG: the answer was for another request, adapter or version.
    CANCELLED: the caller went away.
    """

    COMPLETED = "completed"
    NOT_SENT = "not-sent"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"
    WRONG = "wrong"
    CANCELLED = "cancelled"


@frozen
class Tick:
    """Time has passed."""

    at: float


@frozen
class RequestArrived:
    """A caller's request was read whole.

    Attributes
    ----------
    token_sha256 : str
        Digest of the caller's token; empty if it sent none.
    target : str
        Model name as the caller wrote it, or the name of a service.
    deadline_s : float
        Seconds that the caller is ready to wait for the first byte.
    digest : str
        Digest of the content, equal for a request that is sent again.
    prefix : int
        Hash of the start of the prompt, for prefix affinity.
    size : int
        Bytes of the body.
    """

    at: float
    request_id: str
    token_sha256: str
    target: str
    deadline_s: float
    content_digest: str = ""
    prefix_hash: int = 0
    body_bytes: int = 0
    is_service: bool = False
    method: str = "POST"
    path: str = ""
    idempotency_key: str = ""


@frozen
class CallerLeft:
    """The caller of a request closed its connection."""

    at: float
    request_id: str


@frozen
class AttemptEnded:
    """An attempt at an endpoint ended.

    Attributes
    ----------
    delivered : bool
        Whether the caller has had any byte of the answer.
    reason : str
        The endpoint's word for a refusal, such as ``adapter-not-resident`` or ``leaving``.
    size : int
        Bytes of the answer.
    record : str
        The answer as it is to be recorded, for a call that must not repeat.
    """

    at: float
    request_id: str
    attempt: int
    endpoint: str
    outcome: Outcome
    delivered: bool = False
    reason: str = ""
    answer_bytes: int = 0
    recorded_answer: str = ""


@frozen
class PlatformAnswered:
    """A call to the platform ended; ``purpose`` is that of the effect that asked for it."""

    at: float
    purpose: Purpose
    status: CallStatus
    version: int = 0
    value: object = None


@frozen
class ObjectChanged:
    """The platform's watch or first listing told of an object; ``value`` None means deleted."""

    at: float
    path: str
    version: int
    value: object = None


@frozen
class WatchBroken:
    """The watch ended and a new listing is under way."""

    at: float


@frozen
class PeerSaid:
    """A message arrived from another entry."""

    at: float
    sender: str
    boot: str
    sequence: int
    message: Message


@frozen
class PeerSilent:
    """A batch to another entry could not be delivered."""

    at: float
    peer: str


@frozen
class EndpointReported:
    """An endpoint answered a poll that was sent at ``asked_at``."""

    at: float
    polled_at: float
    report: EndpointReport


@frozen
class EndpointSilent:
    """An endpoint did not answer a poll.

    Attributes
    ----------
    refused : bool
        Whether its host refused the connection, as nothing listens there.
    """

    at: float
    endpoint: str
    connection_refused: bool = False


class OrderOutcome(enum.StrEnum):
    """How an order to an endpoint ended; ``UNKNOWN`` may still take effect."""

    DONE = "done"
    FENCED = "fenced"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"


@frozen
class OrderAnswered:
    """An order to an endpoint ended."""

    at: float
    endpoint: str
    order_id: str
    outcome: OrderOutcome
    reason: str = ""


@frozen
class DrainAsked:
    """This entry is to stop gracefully."""

    at: float


Event = (
    Tick
    | RequestArrived
    | CallerLeft
    | AttemptEnded
    | PlatformAnswered
    | ObjectChanged
    | WatchBroken
    | PeerSaid
    | PeerSilent
    | EndpointReported
    | EndpointSilent
    | OrderAnswered
    | DrainAsked
)
