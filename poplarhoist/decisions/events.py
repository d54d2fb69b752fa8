"""Events: the input of the reducer.

Each event has ``at``, the time at which it is applied, in seconds of this entry's monotonic
clock. All other times in events are on the same clock.
"""

import enum

from attrs import frozen

from poplarhoist.decisions.effects import Purpose
from poplarhoist.decisions.messages import Message
from poplarhoist.models import EndpointReport


class CallStatus(enum.StrEnum):
    """Result of a call to the platform.

    Attributes
    ----------
    NOT_FOUND
        The object does not exist.
    CONFLICT
        The object does not have the version that the write expected; nothing was written.
    REFUSED
        The call failed and certainly had no effect.
    UNKNOWN
        The call failed without an answer, so a write may or may not have taken effect.
    """

    OK = "ok"
    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Outcome(enum.StrEnum):
    """Result of one attempt to run a request on an endpoint.

    Attributes
    ----------
    COMPLETED
        The whole answer was forwarded to the caller.
    NOT_SENT
        No byte of the request reached the endpoint.
    REFUSED
        The endpoint replied that it did not run the request.
    FAILED
        The endpoint answered with an error of its own, which was forwarded to the caller.
    BROKEN
        The endpoint stopped answering and may have started to run the request.
    WRONG
        The answer belonged to another request, adapter or version.
    CANCELLED
        The caller closed its connection.
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
    """Periodic timer event, on which the modules of ``decisions`` run their periodic work."""

    at: float


@frozen
class RequestArrived:
    """A caller's request, with its whole body, has been read.

    Attributes
    ----------
    token_sha256 : str
        SHA-256 digest of the caller's token; empty if the caller sent no token.
    target : str
        Model name as the caller wrote it, or the name of a service.
    deadline_s : float
        How long the caller waits for the first byte of the answer, in seconds.
    content_digest : str
        Digest of the request's content; a repeated request has the same digest.
    prefix_hash : int
        Hash of the start of the prompt, for prefix affinity; 0 for none.
    body_bytes : int
        Size of the request body in bytes.
    is_service : bool
        Whether the request is for a plain service and not for a model.
    method, path : str
        HTTP method and path of a service call.
    idempotency_key : str
        Key of a service call that must not run twice; empty if the caller sent none.
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
    """The caller closed its connection before the request had its final answer."""

    at: float
    request_id: str


@frozen
class AttemptEnded:
    """An attempt to run a request on an endpoint ended.

    Attributes
    ----------
    attempt : int
        Number of the attempt, as in the ``Dispatch`` effect that started it.
    delivered : bool
        Whether at least one byte of the answer was sent to the caller.
    reason : str
        Reason that the endpoint gave for a refusal, such as ``adapter-not-resident`` or
        ``leaving``; for other failures what went wrong.
    answer_bytes : int
        Size of the answer in bytes.
    recorded_answer : str
        The answer in the form in which it is stored, for a call that must not run twice.
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
    """A call to the platform ended.

    Attributes
    ----------
    purpose : Purpose
        Purpose of the effect that started the call; it selects the handler.
    version : int
        Version of the object that was read or written.
    value : object
        What a read returned, as plain data.
    """

    at: float
    purpose: Purpose
    status: CallStatus
    version: int = 0
    value: object = None


@frozen
class ObjectChanged:
    """The platform's watch or its initial listing reported an object.

    Attributes
    ----------
    value : object
        The object as plain data; None if the object was deleted.
    """

    at: float
    path: str
    version: int
    value: object = None


@frozen
class WatchBroken:
    """The platform's watch ended; the I/O layer reconnects it or reads a new listing."""

    at: float


@frozen
class PeerSaid:
    """A message arrived from another entry.

    Attributes
    ----------
    boot : str
        Boot id of the sending process.
    sequence : int
        Sequence number of the batch that contained the message.
    """

    at: float
    sender: str
    boot: str
    sequence: int
    message: Message


@frozen
class PeerSilent:
    """A batch of messages to another entry could not be delivered."""

    at: float
    peer: str


@frozen
class EndpointReported:
    """An endpoint answered a poll.

    Attributes
    ----------
    polled_at : float
        When the poll was sent.
    """

    at: float
    polled_at: float
    report: EndpointReport


@frozen
class EndpointSilent:
    """An endpoint did not answer a poll.

    Attributes
    ----------
    connection_refused : bool
        Whether the endpoint's host refused the connection, which means that no process listens
        on the port.
    """

    at: float
    endpoint: str
    connection_refused: bool = False


class OrderOutcome(enum.StrEnum):
    """Result of an order to an endpoint.

    Attributes
    ----------
    FENCED
        The endpoint has seen a later epoch and rejected the order.
    REFUSED
        The endpoint declined the order, or the order was not sent at all.
    FAILED
        The endpoint tried to load the adapter version and could not, so the weight store may be
        at fault.
    UNKNOWN
        The call ended without an answer; the order may still take effect.
    """

    DONE = "done"
    FENCED = "fenced"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"


@frozen
class OrderAnswered:
    """The call that sent an order to an endpoint ended."""

    at: float
    endpoint: str
    order_id: str
    outcome: OrderOutcome
    reason: str = ""


@frozen
class DrainAsked:
    """A graceful stop of this entry was requested."""

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
