"""Effects that the gateway's reducer returns; the I/O layer, `poplarhoist.gateway`, runs them."""

import enum

from attrs import field, frozen

from poplarhoist.decisions.common_effects import Count, LogChange, Observe, Stop
from poplarhoist.decisions.gateway.messages import Crashed, Message
from poplarhoist.decisions.gateway.models import (
    AdapterKey,
    EndpointRecord,
    Refused,
    RelayTerms,
    ServiceVersion,
)
from poplarhoist.decisions.gateway.positions import Position


@frozen
class Dispatch:
    """Send a request to an endpoint.

    Attributes
    ----------
    remaining_s : float
        Seconds that the endpoint may take.
    endpoint : EndpointRecord
        The endpoint, or the entry that passes the request on.
    priority : int
        Priority that an engine is told; 0 is the most urgent.
    version : int
        Version of the adapter that the endpoint must have; 0 for any.
    team : str or None
        Name of the team that an endpoint is told; empty if no team is known. None if teams are not in
        force: the caller's own headers for key and team are forwarded. Otherwise they are not.
    relay : RelayTerms or None
        What the entry must keep to that passes the request on; None if it goes to an endpoint.
    may_reuse : bool
        Whether the request may be sent over a kept connection.
    """

    request_id: str
    attempt: int
    endpoint: EndpointRecord
    remaining_s: float
    priority: int
    stream: bool
    version: int = 0
    relay: RelayTerms | None = None
    team: str | None = None
    may_reuse: bool = False


@frozen
class Hedge:
    """Send a request a second time, beside its running attempt; the first whole response counts."""

    request_id: str
    dispatch: Dispatch


@frozen
class CancelAttempt:
    """Cut one of two attempts that run side by side; nothing of it is used any more."""

    request_id: str
    attempt: int


@frozen
class BreakOffAttempt:
    """End an attempt unless its response has begun; its request goes on without it."""

    request_id: str
    attempt: int


@frozen
class Refuse:
    """Answer a request with an error of the gateway.

    Attributes
    ----------
    ran : bool
        Whether an attempt may have run.
    retry_after_s : float
        Seconds after which the caller may retry; 0 for no hint.
    """

    request_id: str
    reason: Refused
    ran: bool = False
    retry_after_s: float = 0.0


@frozen
class ForwardFailure:
    """Pass on the endpoint's error response to the latest attempt."""

    request_id: str


@frozen
class Claim:
    """Write this entry as the lead of an engine, if the record still has `position`.

    An empty `holder` releases the leadership.
    """

    engine: str
    epoch: int
    position: Position
    holder: str


@frozen
class Register:
    """Write this entry's record to the store, which has lost it."""


@frozen
class WriteSoftwareRecord:
    """Write to the store that endpoints of a service have a software version."""

    service_version: ServiceVersion


@frozen
class RemoveSoftwareRecord:
    """Remove that record from the store, unless an endpoint has the version again."""

    service_version: ServiceVersion


@frozen
class WriteCrashRecord:
    """Write to the store what a content or a part of prompts has crashed; without any, remove it."""

    name: str
    crashes: tuple[Crashed, ...]


class OrderKind(enum.StrEnum):
    """Kinds of orders to engines."""

    LOAD = "load"
    UNLOAD = "unload"


@frozen
class SendOrder:
    """Order an engine to load or unload an adapter or base model.

    Attributes
    ----------
    number : int
        Number within this process, to match the answer.
    epoch : int
        Fencing token; the engine rejects orders with a lower epoch than it has seen.
    expected_orders : int
        Orders that the engine must have accepted so far; otherwise it rejects this one.
    version : int
        Version to load; 0 if the order names none.
    timeout_s : float
        Seconds after which the order counts as unanswered.
    """

    engine: EndpointRecord
    number: int
    kind: OrderKind
    key: AdapterKey
    epoch: int
    expected_orders: int
    version: int = 0
    timeout_s: float = 0.35


@frozen
class ReadReport:
    """Request an engine's report."""

    engine: EndpointRecord


@frozen
class CheckEndpoint:
    """Ask an engine whether it still runs, as responses of it broke off."""

    record: EndpointRecord


@frozen
class ProbeEndpoint:
    """Find out whether an endpoint answers at all.

    Attributes
    ----------
    health_path : str
        Path of its health; empty for an engine, which is asked for its report.
    """

    record: EndpointRecord
    health_path: str = ""


@frozen
class SendPeer:
    """Send a message to an entry."""

    peer: str
    message: Message


@frozen
class RereadChanges:
    """Read the changes of a kind again, unless the watch soon shows them up to `position`."""

    kind: str
    position: Position


@frozen
class StopListening:
    """Close idle connections and accept no new ones; requests that were read are still answered."""


@frozen
class LogRequest:
    """Log a decision about a request."""

    decision: str
    request_id: str
    fields: dict[str, object] = field(factory=dict)


Effect = (
    Dispatch
    | Hedge
    | CancelAttempt
    | BreakOffAttempt
    | Refuse
    | ForwardFailure
    | Claim
    | SendOrder
    | ReadReport
    | CheckEndpoint
    | ProbeEndpoint
    | Register
    | WriteSoftwareRecord
    | RemoveSoftwareRecord
    | WriteCrashRecord
    | SendPeer
    | RereadChanges
    | StopListening
    | LogRequest
    | LogChange
    | Count
    | Observe
    | Stop
)
