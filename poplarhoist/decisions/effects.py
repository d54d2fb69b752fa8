"""Effects: the output of the reducer, which the I/O layer ``poplarhoist.entry`` carries out.

A platform effect has a purpose: data that comes back in the ``PlatformAnswered`` event. It selects
the handler of the answer and carries its context.
"""

import enum

from attrs import frozen

from poplarhoist.decisions.common_effects import Count, LogChange, Observe, Stop
from poplarhoist.decisions.messages import Message
from poplarhoist.models import AdapterRef, Refusal


@frozen
class LeaseRead:
    """Purpose: read the lease of a base model; ``sent_at`` is when the call was sent."""

    base: str
    sent_at: float


@frozen
class LeaseWrite:
    """Purpose: acquire or renew the lease of a base model.

    Attributes
    ----------
    nonce : str
        Unique id of the write, also stored in the lease. A later read shows by it whether the
        write took effect.
    sent_at : float
        When the call was sent; the lease term is counted from this time.
    """

    base: str
    epoch: int
    nonce: str
    sent_at: float


@frozen
class LeaseRelease:
    """Purpose: release the lease of a base model, so that others may acquire it at once."""

    base: str


@frozen
class IntentWrite:
    """Purpose: record the orders of a base model on the platform before they are sent."""

    base: str
    epoch: int
    nonce: str


@frozen
class IntentsRead:
    """Purpose: read the orders that earlier leads of a base model recorded."""

    base: str
    epoch: int


@frozen
class PageRead:
    """Purpose: read a configuration page; ``digest`` is that of its text."""

    digest: str


@frozen
class RunCreate:
    """Purpose: create the record of a call that must not run twice, before it is dispatched."""

    request_id: str
    nonce: str


@frozen
class RunRead:
    """Purpose: read the record of a call that must not run twice."""

    request_id: str
    nonce: str


@frozen
class RunFinish:
    """Purpose: store the result in the record of a call that must not run twice."""

    request_id: str
    nonce: str


@frozen
class RunSweep:
    """Purpose: one step of the removal of old call records.

    Attributes
    ----------
    path : str
        Record that is read or deleted; empty for the step that lists records.
    deleted : bool
        Whether the step deletes the record at ``path``.
    """

    path: str = ""
    deleted: bool = False


@frozen
class SuspectWrite:
    """Purpose: store or delete the record of a suspect request content."""

    digest: str


Purpose = (
    LeaseRead
    | LeaseWrite
    | LeaseRelease
    | IntentWrite
    | IntentsRead
    | PageRead
    | RunCreate
    | RunRead
    | RunFinish
    | RunSweep
    | SuspectWrite
)


@frozen
class PlatformGet:
    """Read an object of the platform."""

    path: str
    purpose: Purpose


@frozen
class PlatformList:
    """Read all platform objects whose path starts with a prefix."""

    prefix: str
    purpose: Purpose


@frozen
class PlatformPut:
    """Write an object of the platform, with compare-and-swap on its version.

    Attributes
    ----------
    expected_version : int
        The write takes effect only if the object has this version; 0 means that the object must
        not exist yet.
    """

    path: str
    value: object
    expected_version: int
    purpose: Purpose


@frozen
class PlatformDelete:
    """Delete an object of the platform, only if it has ``expected_version``."""

    path: str
    expected_version: int
    purpose: Purpose


@frozen
class Dispatch:
    """Send a request to an endpoint.

    Attributes
    ----------
    attempt : int
        Number of the attempt; the ``AttemptEnded`` event returns it.
    ref : AdapterRef or None
        Adapter version to run; None for a call of a plain service.
    alone : bool
        Whether the endpoint was drained for this request, which then runs there by itself.
    """

    request_id: str
    attempt: int
    endpoint: str
    ref: AdapterRef | None = None
    priority: int = 0
    alone: bool = False


@frozen
class Refuse:
    """Answer a request with a refusal and end it."""

    request_id: str
    refusal: Refusal


@frozen
class ReplayAnswer:
    """Answer a request with the stored answer of an earlier run with the same idempotency key."""

    request_id: str
    recorded_answer: str


@frozen
class SendMessage:
    """Send a message to an entry; the reducer itself handles those to its own entry."""

    peer: str
    message: Message


@frozen
class PollEndpoint:
    """Poll an endpoint for its report."""

    endpoint: str


class OrderKind(enum.StrEnum):
    """What an order asks an endpoint to do.

    Attributes
    ----------
    FENCE
        Only makes the lead's epoch known, so that the endpoint rejects orders of earlier epochs.
    """

    FENCE = "fence"
    LOAD = "load"
    EVICT = "evict"


@frozen
class SendOrder:
    """Send an order to an endpoint.

    Attributes
    ----------
    epoch : int
        Epoch of the lead that gives the order; the endpoint uses it as the fencing token.
    ref : AdapterRef or None
        Adapter version to load or evict; None for ``FENCE``.
    replaces : AdapterRef or None
        Adapter version that a load evicts to free its slot; None if a slot is free.
    """

    endpoint: str
    order_id: str
    kind: OrderKind
    epoch: int
    ref: AdapterRef | None = None
    replaces: AdapterRef | None = None


Effect = (
    PlatformGet
    | PlatformList
    | PlatformPut
    | PlatformDelete
    | Dispatch
    | Refuse
    | ReplayAnswer
    | SendMessage
    | PollEndpoint
    | SendOrder
    | Count
    | Observe
    | LogChange
    | Stop
)
