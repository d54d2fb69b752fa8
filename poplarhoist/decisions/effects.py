"""Everything that the reducer asks the shell to do, as data."""

import enum

from attrs import field, frozen

from poplarhoist.decisions.messages import Message
from poplarhoist.models import AdapterRef, Refusal


@frozen
class LeaseRead:
    """Purpose: read the lease of a base model."""

    base: str
    sent_at: float


@frozen
class LeaseWrite:
    """Purpose: take or renew the lease of a base model."""

    base: str
    epoch: int
    nonce: str
    sent_at: float


@frozen
class LeaseRelease:
    """Purpose: release the lease of a base model for others to take."""

    base: str


@frozen
class IntentWrite:
    """Purpose: write down orders of a base model before they are sent."""

    base: str
    epoch: int
    nonce: str


@frozen
class IntentsRead:
    """Purpose: read the intents of earlier leads."""

    base: str
    epoch: int


@frozen
class PageRead:
    """Purpose: read a configuration page of an index."""

    digest: str


@frozen
class RunCreate:
    """Purpose: record that a call that must not repeat is started."""

    request_id: str
    nonce: str


@frozen
class RunRead:
    """Purpose: read the record of a call that must not repeat."""

    request_id: str
    nonce: str


@frozen
class RunFinish:
    """Purpose: record how a call that must not repeat ended."""

    request_id: str
    nonce: str


@frozen
class RunSweep:
    """Purpose: list a shard of records, or read or delete the old one at ``path``."""

    path: str = ""
    deleted: bool = False


@frozen
class SuspectWrite:
    """Purpose: write down or delete what is known of a suspect."""

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
    """Read an object."""

    path: str
    purpose: Purpose


@frozen
class PlatformList:
    """Read all objects below a prefix."""

    prefix: str
    purpose: Purpose


@frozen
class PlatformPut:
    """Write an object if its version is still ``expect``; 0 means create only."""

    path: str
    value: object
    expected_version: int
    purpose: Purpose


@frozen
class PlatformDelete:
    """Delete an object if its version is still ``expect``."""

    path: str
    expected_version: int
    purpose: Purpose


@frozen
class Dispatch:
    """Send a request to an endpoint.

    Attributes
    ----------
    alone : bool
        Whether the endpoint was emptied for this request.
    """

    request_id: str
    attempt: int
    endpoint: str
    ref: AdapterRef | None = None
    priority: int = 0
    alone: bool = False


@frozen
class Refuse:
    """Answer a request with a refusal, at once."""

    request_id: str
    refusal: Refusal


@frozen
class ReplayAnswer:
    """Answer a request with the recorded answer of its first run."""

    request_id: str
    recorded_answer: str


@frozen
class SendMessage:
    """Send a message to another entry."""

    peer: str
    message: Message


@frozen
class PollEndpoint:
    """Read an endpoint's report."""

    endpoint: str


class OrderKind(enum.StrEnum):
    """What an endpoint is ordered to do; ``FENCE`` only tells it the epoch."""

    FENCE = "fence"
    LOAD = "load"
    EVICT = "evict"


@frozen
class SendOrder:
    """Order an endpoint to load an adapter version, in place of another one if named."""

    endpoint: str
    order_id: str
    kind: OrderKind
    epoch: int
    ref: AdapterRef | None = None
    replaces: AdapterRef | None = None


@frozen
class Count:
    """Add to a counter; labels are ordered as the counter declares them."""

    counter: str
    labels: tuple[str, ...] = ()
    amount: float = 1.0


@frozen
class Observe:
    """Add a duration in seconds to a histogram; labels are ordered as it declares them."""

    histogram: str
    labels: tuple[str, ...]
    seconds: float


@frozen
class LogChange:
    """Log a change of state."""

    change: str
    fields: dict[str, object] = field(factory=dict)


@frozen
class Stop:
    """Everything is handed over and finished: the entry may exit."""


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
