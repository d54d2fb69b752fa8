"""Messages between entries.

Messages travel in batches that carry the sender's boot id and a sequence number. A receiver drops a
batch that is older than the last one it accepted, so the messages of one sender are handled in
order or not at all. Every message is idempotent and may be sent again.
"""

import enum

from attrs import field, frozen

from poplarhoist.models import AdapterRef, ConfigIndex, Endpoint, EndpointReport, Instance


@frozen
class LeadClaim:
    """States in a heartbeat that the sender leads a base model.

    Attributes
    ----------
    epoch : int
        Epoch of the lease.
    loading : bool
        Whether the lead needs a share of the weight store's load rate now.
    version : int
        Version of the lease object after the sender's last write.
    """

    base: str
    epoch: int
    loading: bool = False
    version: int = 0


@frozen
class Heartbeat:
    """Periodic liveness message to every listed peer.

    Attributes
    ----------
    revision : int
        Configuration revision in force at the sender.
    draining : bool
        Whether the sender is stopping and takes no lease any more.
    leads : tuple
        Base models that the sender leads.
    leaving : tuple
        Names of endpoints that the sender itself has lately found to be leaving. Names that it
        only learnt from peers are left out, so that a name does not circulate indefinitely.
    holdings : dict
        Number of the sender's last ``Holdings`` message by base model.
    distrusted : tuple
        Names of endpoints that the sender ejected because they gave wrong answers to the sender
        itself, not to a peer.
    """

    revision: int
    draining: bool = False
    leads: tuple[LeadClaim, ...] = ()
    leaving: tuple[str, ...] = ()
    holdings: dict[str, int] = field(factory=dict)
    distrusted: tuple[str, ...] = ()


@frozen
class Reports:
    """Endpoint reports that the sender polled; ``age_s`` of each is its age at sending."""

    reports: tuple[EndpointReport, ...]


@frozen
class DemandItem:
    """Demand for one adapter version at the sender.

    Attributes
    ----------
    waiting : int
        Number of requests that wait for the adapter version now.
    oldest_s : float
        Age of the oldest waiting request in seconds.
    arrived : int
        Number of requests that arrived since the sender last reported this adapter version.
    priority : int
        Highest priority of the waiting requests.
    """

    ref: AdapterRef
    waiting: int
    oldest_s: float
    arrived: int
    priority: int = 0


@frozen
class Demand:
    """Reports the demand of the sender's callers to the lead of a base model."""

    base: str
    items: tuple[DemandItem, ...]


@frozen
class Expected:
    """The lead's estimate of the time until an adapter version is ready, in seconds."""

    base: str
    epoch: int
    ref: AdapterRef
    ready_in_s: float


@frozen
class Grant:
    """Permits the receiver to dispatch requests for an adapter version to an endpoint.

    Attributes
    ----------
    number : int
        Increases with each grant of an epoch, so that the receiver detects late and repeated
        messages.
    boot : str
        Boot id of the intended receiver; empty for any.
    """

    base: str
    epoch: int
    ref: AdapterRef
    endpoint: str
    number: int = 0
    boot: str = ""


@frozen
class Recall:
    """Asks the receiver to return a grant as soon as no request is in flight under it."""

    base: str
    epoch: int
    ref: AdapterRef
    endpoint: str
    number: int = 0


@frozen
class Returned:
    """Returns a grant to the lead: the sender has no request in flight under it."""

    base: str
    epoch: int
    ref: AdapterRef
    endpoint: str
    number: int = 0


@frozen
class LeadReleased:
    """Announces that the sender released a base model's lease, so that others may acquire it."""

    base: str
    epoch: int


@frozen
class GatherGrants:
    """Asks for all grants that the receiver holds; a new lead sends it to every entry."""

    base: str
    epoch: int


@frozen
class GrantPair:
    """An adapter version and an endpoint on which a grant permits it to run."""

    ref: AdapterRef
    endpoint: str


@frozen
class HeldGrants:
    """Answers ``GatherGrants`` with all grants that the sender holds.

    Attributes
    ----------
    orders_open : bool
        Whether an order that the sender gave as an earlier lead may still take effect.
    """

    base: str
    epoch: int
    pairs: tuple[GrantPair, ...]
    orders_open: bool = False


@frozen
class Holdings:
    """Replicates the sender's grants to an entry that may become the next lead.

    Attributes
    ----------
    number : int
        Increases by one with each message for a base model, so that the receiver notices a lost
        message.
    full : bool
        Whether ``added`` is a full snapshot; otherwise ``added`` and ``removed`` are the changes
        since the previous message.
    """

    base: str
    number: int
    full: bool
    added: tuple[GrantPair, ...] = ()
    removed: tuple[GrantPair, ...] = ()


@frozen
class SuspectNotice:
    """Reports that requests with some content were running when endpoints crashed.

    Attributes
    ----------
    digest : str
        Digest of the request content.
    deaths : tuple
        Endpoint processes that crashed, each as ``endpoint/boot``.
    convicted : bool
        Whether the content is quarantined, that is refused from now on.
    """

    digest: str
    deaths: tuple[str, ...]
    convicted: bool = False


@frozen
class KnownSuspects:
    """Sends an entry, such as one that has just started, all suspect and quarantined contents."""

    notices: tuple[SuspectNotice, ...]


class TrialState(enum.StrEnum):
    """State of the trial of a suspect, in which it runs alone on an endpoint.

    Attributes
    ----------
    OPEN
        The suspect is running.
    INCONCLUSIVE
        The trial ended without showing whether the suspect is harmful.
    CLEARED
        The suspect completed, so it is no longer one.
    """

    OPEN = "open"
    INCONCLUSIVE = "over"
    CLEARED = "cleared"


@frozen
class TrialNotice:
    """Reports the state of a suspect's trial.

    Attributes
    ----------
    digest : str
        Digest of the request content.
    trial : str
        Endpoint process on which the suspect runs, as ``endpoint/boot``.
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
        Time until the request's deadline in seconds.
    running_on : str
        Endpoint on which the suspect already runs alone; empty while it waits.
    """

    base: str
    request_id: str
    digest: str
    ref: AdapterRef
    left_s: float
    running_on: str = ""


@frozen
class IsolationGrant:
    """Permits the receiver to run a suspect alone on an endpoint that was drained for it.

    Attributes
    ----------
    grant : Grant
        Grant under which the suspect runs.
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
    """Tells the lead that a suspect no longer waits or runs at the sender.

    Attributes
    ----------
    clean : bool
        Whether the endpoint is known to have finished the request. If not, the request may still
        run there.
    """

    base: str
    request_id: str
    clean: bool = False


@frozen
class IndexNotice:
    """Sends the configuration index in force at the sender to a peer that has a lower one."""

    index: ConfigIndex


@frozen
class PageWanted:
    """Asks a peer for a configuration page that the platform has not delivered."""

    digest: str


@frozen
class PageCopy:
    """Answers ``PageWanted`` with the page's text."""

    digest: str
    text: str


@frozen
class MembersWanted:
    """Asks a peer for the lists of entries and endpoints while the platform is unreachable."""


@frozen
class MembersCopy:
    """Answers ``MembersWanted`` with the entries and endpoints that the sender knows."""

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
