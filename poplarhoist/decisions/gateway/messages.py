"""Messages between entries, sent as datagrams; any of them may be lost.

The class and field names are on the wire.
"""

from attrs import field, frozen


@frozen
class Ask:
    """Asks the lead of an engine to load an adapter there; repeated until the lead answers.

    Attributes
    ----------
    version : int
        Lowest version that the requests may use; 0 for any.
    priority : int
        0 is the most urgent.
    absent : bool
        Whether the engine has just said that it does not hold the adapter.
    waited_s : float
        Seconds since the caller that has waited longest first sent its request, including earlier
        attempts that were refused.
    """

    engine: str
    model: str
    adapter: str
    version: int
    priority: int
    absent: bool = False
    waited_s: float = 0.0


@frozen
class AskWithdrawn:
    """Tells the lead of an engine that no request of the sender waits for an adapter there any more."""

    engine: str
    model: str
    adapter: str


@frozen
class View:
    """State of an engine, sent by its lead.

    Attributes
    ----------
    held : dict
        Version by adapter or base model, with the text form of its key.
    coming : dict
        Seconds until the load ends, by adapter that is being loaded.
    running, prefill_tokens : int
        Requests of all entries at the engine, and prompt tokens that wait for prefill.
    room : int
        Headroom of the engine, as `residency.load_headroom` computes it: how many more adapters
        could be loaded now, less the unmet demands; negative if these exceed the free capacity,
        and 0 while the lead may not send orders.
    is_known : bool
        Whether the lead has read a report of the engine; if not, `held` and `coming` say nothing.
    """

    engine: str
    held: dict[str, int]
    coming: dict[str, float]
    running: int
    prefill_tokens: int
    room: int = 0
    is_known: bool = True


@frozen
class Use:
    """What one entry uses at an engine, sent to its lead.

    Attributes
    ----------
    running : dict
        Requests in flight by adapter.
    used, answered : tuple
        Adapters used since the last message, and adapters whose responses started since then.
    prefill_tokens : int
        Prompt tokens of the entry that wait for prefill.
    """

    engine: str
    running: dict[str, int] = field(factory=dict)
    used: tuple[str, ...] = ()
    prefill_tokens: int = 0
    answered: tuple[str, ...] = ()


@frozen
class NotLead:
    """Says that the sender does not lead an engine."""

    engine: str


@frozen
class Crashed:
    """Says that a request was running at an endpoint when the endpoint crashed.

    Attributes
    ----------
    content : str
        Digest of the request's method, path and body.
    incarnation : int
        Which run of the endpoint crashed.
    parts : tuple
        Parts of the request's prompt that may be the cause.
    has_begun, has_delivered : bool
        Whether the head of the response had arrived, and whether a byte of its body had.
    age_s : float
        Seconds since the response broke off.
    sound_ages_s : dict
        Seconds since a response began that went on, by part, of those of which the sender knows.
    """

    content: str
    endpoint: str
    incarnation: int = 0
    parts: tuple[str, ...] = ()
    has_begun: bool = True
    has_delivered: bool = False
    age_s: float = 0.0
    sound_ages_s: dict[str, float] = field(factory=dict)


@frozen
class CrashEvidence:
    """Crashes because of which the sender refuses contents or parts of prompts."""

    crashes: tuple[Crashed, ...]


@frozen
class AskCrashes:
    """Asks for a CrashEvidence; an entry that refuses nothing is silent."""


@frozen
class PartsSound:
    """Says how many seconds ago responses began that went on, by part of their prompts."""

    ages_s: dict[str, float]


@frozen
class RequestLimit:
    """Says how many requests a second an endpoint takes from all entries; None if it has no limit.

    Attributes
    ----------
    incarnation : int
        Run of the endpoint that named the limit.
    """

    endpoint: str
    incarnation: int
    requests_per_s: float | None


@frozen
class EndpointLeaving:
    """Says that an endpoint is stopping, as an answer of this run of it has said."""

    endpoint: str
    incarnation: int


@frozen
class NoRoom:
    """Says that a brittle endpoint turned a request away for want of room.

    Attributes
    ----------
    bears_per_s : float
        Requests that it bears to turn away in a second.
    """

    endpoint: str
    incarnation: int
    bears_per_s: float


@frozen
class PlacesWanted:
    """Asks for places at a brittle endpoint, as `brittle.py` describes.

    An entry that needs some asks the keeper. The keeper, if it has none, asks all others for those
    that they do not use.

    Attributes
    ----------
    bears_per_s : float
        Requests that the endpoint bears to turn away in a second.
    age_s : float
        Seconds since an answer told that.
    count : int
        Requests of the sender, or for a keeper of other entries, that need a place.
    """

    endpoint: str
    incarnation: int
    bears_per_s: float
    age_s: float
    count: int


@frozen
class Places:
    """Gives places at a brittle endpoint; those that are lost on the way are gone.

    Attributes
    ----------
    count : int
        Requests that the receiver may have in flight there in place of the sender.
    """

    endpoint: str
    incarnation: int
    count: int


@frozen
class LinksChanged:
    """Says whether the sender has lost its links to all endpoints; repeated while it has."""

    is_lost: bool


@frozen
class News:
    """Says that records of a kind changed in the store, up to a revision.

    Attributes
    ----------
    generation : int or None
        Generation of the store that gave the revision out; None if the sender does not say.
    """

    kind: str
    revision: int
    generation: int | None = None


@frozen
class StreamBegan:
    """Says at which software version a stream began.

    Attributes
    ----------
    caller_id : str
        Id of the caller's attempt that began the stream.
    attempt : int
        Number of the entry's attempt; a later one replaces an earlier one.
    """

    caller_id: str
    attempt: int
    software: str
    service: str


@frozen
class SoftwareRecorded:
    """Says that the store has a record of a software version; others need not write it then."""

    service: str
    version: str


@frozen
class AskStreamOrigin:
    """Asks at which software version a stream began.

    The answer is StreamBegan or StreamUnknown; entries of earlier releases are silent instead of the
    latter.
    """

    caller_id: str


@frozen
class StreamUnknown:
    """Says that the sender was not told where a stream began."""

    caller_id: str


@frozen
class QuotaAsk:
    """Asks the keeper of a team, or its secondary, for tokens of requests that wait.

    It is repeated with the same number while it has no answer.

    Attributes
    ----------
    tokens, priorities : tuple
        Tokens and priority of each request that waits, the most urgent and oldest first.
    attempt : int
        How often it was sent, with this time.
    returned : float
        Tokens that the sender was granted and that expired unused.
    """

    team: str
    number: int
    tokens: tuple[float, ...]
    priorities: tuple[int, ...]
    attempt: int = 1
    returned: float = 0.0


@frozen
class QuotaGrant:
    """Answers a QuotaAsk.

    Attributes
    ----------
    attempt : int
        Attempt of the ask for which the tokens were granted.
    tokens, ahead : float
        Tokens granted for the first requests of the ask, and ahead of further ones.
    valid_s, ahead_valid_s : float
        Seconds after that attempt was sent in which they are to be used.
    retry_after_s : float
        Seconds after which there will be tokens for the first request that got none; 0 if all did.
    is_keeper : bool
        Whether the sender grants by the whole quota. If not, it is the secondary, or it does not
        grant now, and the team may not have used its quota.
    other : str
        Entry that may grant by the whole quota, if the sender does not; empty if it knows none.
    """

    team: str
    number: int
    attempt: int
    tokens: float
    valid_s: float
    retry_after_s: float
    is_keeper: bool
    ahead: float = 0.0
    ahead_valid_s: float = 0.0
    other: str = ""


@frozen
class QuotaHandover:
    """Gives the bucket of a team to its new keeper; the sender grants no more of it.

    Attributes
    ----------
    level : float
        Tokens in the bucket.
    granted : tuple
        Seconds until tokens that the sender granted expire, negative if they have, and their number.
    """

    team: str
    level: float
    granted: tuple[tuple[float, float], ...]


@frozen
class QuotaClaim:
    """Says that the sender is the keeper of a team; repeated to entries that may not know it."""

    team: str


@frozen
class QuotaProbe:
    """Asks for a QuotaEcho; sent by keepers that cannot read the list of entries."""


@frozen
class QuotaEcho:
    """Says whether the sender knows the receiver as a registered entry."""

    is_listed: bool


Message = (
    Ask
    | AskWithdrawn
    | View
    | Use
    | NotLead
    | Crashed
    | CrashEvidence
    | AskCrashes
    | PartsSound
    | RequestLimit
    | EndpointLeaving
    | LinksChanged
    | NoRoom
    | Places
    | PlacesWanted
    | News
    | StreamBegan
    | SoftwareRecorded
    | AskStreamOrigin
    | StreamUnknown
    | QuotaAsk
    | QuotaGrant
    | QuotaHandover
    | QuotaClaim
    | QuotaProbe
    | QuotaEcho
)
