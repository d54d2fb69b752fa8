"""Messages between entries.

Batches carry a boot id and a sequence number. A receiver drops a batch that is older than the
last one it took, so messages of one sender are handled in order or not at all. Each message
may be sent again without harm.
"""

import enum

from attrs import field, frozen

from poplarhoist.models import AdapterRef, Endpoint, EndpointReport, Index, Instance


@frozen
class LeadClaim:
    """Says that the sender leads a base model under an epoch.

    Attributes
    ----------
    loading : bool
        Whether the base model needs a share of the weight store now.
    version : int
        Version of the lease object as the sender last wrote it.
    """

    base: str
    epoch: int
    loading: bool = False
    version: int = 0


@frozen
class Heartbeat:
    """Regular sign of life.

    Attributes
    ----------
    revision : int
        Configuration revision in force at the sender.
    leads : tuple
        Base models that the sender leads.
    leaving : tuple
        Names of endpoints that the sender itself saw leaving lately.
    holdings : dict
        Number of the sender's last ``Holdings`` by base model.
    distrusted : tuple
        Names of endpoints that gave the sender itself wrong answers lately.
    """

    revision: int
    draining: bool = False
    leads: tuple[LeadClaim, ...] = ()
    leaving: tuple[str, ...] = ()
    holdings: dict[str, int] = field(factory=dict)
    distrusted: tuple[str, ...] = ()


@frozen
class Reports:
    """Endpoint reports that the sender read, with their age at sending."""

    reports: tuple[EndpointReport, ...]


@frozen
class DemandItem:
    """Demand for one adapter version at the sender.

    Attributes
    ----------
    waiting : int
        Requests waiting for it now.
    oldest_s : float
        Age of the oldest waiting request in seconds.
    arrived : int
        Requests that arrived since the sender's last report of it.
    priority : int
        Highest priority among those waiting.
    """

    ref: AdapterRef
    waiting: int
    oldest_s: float
    arrived: int
    priority: int = 0


@frozen
class Demand:
    """Tells the lead of a base model what the sender's callers ask for."""

    base: str
    items: tuple[DemandItem, ...]


@frozen
class Expected:
    """The lead's estimate of when an adapter version is ready."""

    base: str
    epoch: int
    ref: AdapterRef
    ready_in_s: float


@frozen
class Grant:
    """Lets the receiver dispatch an adapter version to an endpoint.

    Attributes
    ----------
    number : int
        Grows with each grant of one epoch, so that late or repeated messages are told apart.
    boot : str
        Boot id of the receiver that is meant.
    """

    base: str
    epoch: int
    ref: AdapterRef
    endpoint: str
    number: int = 0
    boot: str = ""


@frozen
class Recall:
    """Asks the receiver to hand a grant back once nothing is in flight under it."""

    base: str
    epoch: int
    ref: AdapterRef
    endpoint: str
    number: int = 0


@frozen
class Returned:
    """Hands a grant back: the sender has nothing in flight under it."""

    base: str
    epoch: int
    ref: AdapterRef
    endpoint: str
    number: int = 0


@frozen
class LeadReleased:
    """Says that the sender gave up a base model's lease, which is free to take."""

    base: str
    epoch: int


@frozen
class GatherGrants:
    """A new lead asks for the grants that the receiver holds."""

    base: str
    epoch: int


@frozen
class GrantPair:
    """An adapter version on an endpoint."""

    ref: AdapterRef
    endpoint: str


@frozen
class HeldGrants:
    """Answers GatherGrants with all grants that the sender holds.

    Attributes
    ----------
    orders_open : bool
        Whether an order that the sender sent as an earlier lead may still be under way.
    """

    base: str
    epoch: int
    pairs: tuple[GrantPair, ...]
    orders_open: bool = False


@frozen
class Holdings:
    """Tells an entry that may lead next of the grants that the sender holds.

    Attributes
    ----------
    number : int
        Grows by one with each message of a base model, so that a missed one is noticed.
    full : bool
        Whether ``added`` names all pairs; else it names those since the last message.
    """

    base: str
    number: int
    full: bool
    added: tuple[GrantPair, ...] = ()
    removed: tuple[GrantPair, ...] = ()


@frozen
class SuspectNotice:
    """Tells of a request that was running when endpoints died.

    Attributes
    ----------
    deaths : tuple
        Endpoint and boot id of each death, as ``endpoint/boot``.
    """

    digest: str
    deaths: tuple[str, ...]
    convicted: bool = False


@frozen
class KnownSuspects:
    """Tells an entry that was just started of all suspects and convictions."""

    notices: tuple[SuspectNotice, ...]


class TrialState(enum.StrEnum):
    """Where the run of a suspect alone on an endpoint stands; ``OVER`` is without a verdict."""

    OPEN = "open"
    INCONCLUSIVE = "over"
    CLEARED = "cleared"


@frozen
class TrialNotice:
    """Tells of a suspect that runs alone.

    Attributes
    ----------
    trial : str
        Endpoint and boot id, as ``endpoint/boot``.
    """

    digest: str
    trial: str
    state: TrialState


@frozen
class IsolationWanted:
    """Asks the lead for an endpoint on which a suspect can run alone.

    Attributes
    ----------
    left_s : float
        Seconds until the request is no longer wanted.
    running_on : str
        Endpoint on which it runs alone already; empty while it waits.
    """

    base: str
    request_id: str
    digest: str
    ref: AdapterRef
    left_s: float
    running_on: str = ""


@frozen
class IsolationGrant:
    """Lets the receiver run a suspect alone on an endpoint that was emptied for it.

    Attributes
    ----------
    grant : Grant
        The grant under which it runs.
    boot : str
        Boot id of the endpoint.
    """

    base: str
    epoch: int
    request_id: str
    grant: Grant
    boot: str


@frozen
class IsolationDone:
    """Says that a suspect neither waits nor runs any more at the sender.

    Attributes
    ----------
    clean : bool
        Whether the endpoint has ended the request too, so that nothing is left of it there.
    """

    base: str
    request_id: str
    clean: bool = False


@frozen
class IndexNotice:
    """Passes on the highest configuration index that the sender has in force."""

    index: Index


@frozen
class PageWanted:
    """Asks a peer for a configuration page that the platform does not give."""

    digest: str


@frozen
class PageCopy:
    """Answers PageWanted with the page's text."""

    digest: str
    text: str


@frozen
class MembersWanted:
    """Asks a peer for the lists that the platform does not give."""


@frozen
class MembersCopy:
    """Answers MembersWanted with the entries and endpoints that the sender knows."""

    instances: tuple[Instance, ...]
    endpoints: tuple[Endpoint, ...]


Message = (
    Heartbeat
    | Reports
    | Demand
    | Expected
    | Grant
    | Recall
    | Returned
    | LeadReleased
    | GatherGrants
    | HeldGrants
    | Holdings
    | SuspectNotice
    | KnownSuspects
    | TrialNotice
    | IsolationWanted
    | IsolationGrant
    | IsolationDone
    | IndexNotice
    | PageWanted
    | PageCopy
    | MembersWanted
    | MembersCopy
)
