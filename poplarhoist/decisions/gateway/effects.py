"""Everything that the gateway's decisions ask the shell to do, as data."""

import enum

from attrs import field, frozen

from poplarhoist.decisions.effects import Count, LogChange, Observe, Stop
from poplarhoist.decisions.gateway.messages import Message
from poplarhoist.decisions.gateway.models import AdapterKey, EndpointRecord, Refused


@frozen
class Dispatch:
    """Send a request to an endpoint.

    Attributes
    ----------
    left_s : float
        How long the endpoint may work on it.
    version : int
        Version that the endpoint must have; 0 for any.
    """

    request_id: str
    attempt: int
    endpoint: EndpointRecord
    remaining_s: float
    priority: int
    stream: bool
    version: int = 0


@frozen
class Refuse:
    """Answer a request at once without an endpoint's answer.

    Attributes
    ----------
    ran : bool
        Whether it may have run.
    retry_after_s : float
        When the caller may come back; 0 for no hint.
    """

    request_id: str
    reason: Refused
    ran: bool = False
    retry_after_s: float = 0.0


@frozen
class ForwardFailure:
    """Pass on the endpoint's own failure of the latest attempt."""

    request_id: str


@frozen
class Claim:
    """Write that this entry leads an engine, if the record is still of ``revision``."""

    engine: str
    epoch: int
    revision: int
    holder: str


class OrderKind(enum.StrEnum):
    """What an engine is ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"


@frozen
class SendOrder:
    """Order an engine to load or unload, if it has accepted ``expected`` orders so far."""

    engine: EndpointRecord
    number: int
    kind: OrderKind
    key: AdapterKey
    epoch: int
    expected_orders: int
    version: int = 0


@frozen
class ReadReport:
    """Ask an engine for its report."""

    engine: EndpointRecord


@frozen
class SendPeer:
    """Send a message to another entry."""

    peer: str
    message: Message


@frozen
class RereadChanges:
    """Read the changes of a kind anew, unless those up to a revision have been read soon."""

    kind: str
    revision: int


@frozen
class StopListening:
    """Close idle connections and take no new ones; answer what was read."""


@frozen
class LogRequest:
    """Log a decision that touches a request."""

    decision: str
    request_id: str
    fields: dict[str, object] = field(factory=dict)


Effect = (
    Dispatch
    | Refuse
    | ForwardFailure
    | Claim
    | SendOrder
    | ReadReport
    | SendPeer
    | RereadChanges
    | StopListening
    | LogRequest
    | LogChange
    | Count
    | Observe
    | Stop
)
