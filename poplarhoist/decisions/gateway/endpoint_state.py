"""What an entry knows about an endpoint; only the reducer changes it.

All times are monotonic seconds of this process.
"""

from attrs import define, field

from poplarhoist.decisions.gateway.messages import Use, View
from poplarhoist.decisions.gateway.models import AdapterKey, EndpointRecord
from poplarhoist.decisions.gateway.paces import PaceState


@define
class LimitState:
    """What this entry knows of the limit that an endpoint names, and of its own part of it.

    Attributes
    ----------
    requests_per_s : float or None
        Requests a second that the endpoint takes from all entries; None if it has no limit.
    seen_at, news_at : float
        When a response of this entry's last told the limit or that there is none, and when any
        entry's did.
    told_at, rounds_left : float, int
        When this entry last told the others, and how often it still tells them that the limit was
        lifted.
    tokens, refilled_at : float
        Requests that this entry may send now, and when that was computed.
    """

    requests_per_s: float | None = None
    seen_at: float = float("-inf")
    news_at: float = float("-inf")
    told_at: float = float("-inf")
    rounds_left: int = 0
    tokens: float = 0.0
    refilled_at: float = float("-inf")


@define
class BrittleState:
    """Whether an endpoint is brittle, and what this entry may send there then.

    Attributes
    ----------
    bears_per_s : float or None
        Requests that it bears to turn away in a second; None while it is not brittle.
    seen_at : float
        When an answer last told that.
    sound_at : float
        When a request was last sent whose answer told that the endpoint is sound.
    window : int
        Requests that this entry may have in flight there.
    grows_at : float
        From this time on the window may grow by one.
    turned_away_at : float
        When it last turned a request of any entry away.
    wanted_at : float
        When this entry last asked for places there.
    wishes : dict
        At the keeper of its places: how many other entries want, and when they asked, by entry.
    recalled_at : float
        At the keeper: when it last asked all others for places that they do not use.
    recalled_until : float
        Until this time this entry gives back places that it does not use.
    """

    bears_per_s: float | None = None
    seen_at: float = float("-inf")
    sound_at: float = float("-inf")
    window: int = 0
    grows_at: float = float("-inf")
    turned_away_at: float = float("-inf")
    wanted_at: float = float("-inf")
    wishes: dict[str, tuple[int, float]] = field(factory=dict)
    recalled_at: float = float("-inf")
    recalled_until: float = float("-inf")


@define
class EndpointState:
    """What this entry knows about an endpoint.

    Attributes
    ----------
    seen_at : float
        When this entry first read the endpoint's record; no decision reads it.
    held : dict
        Version by base model and adapter that the engine is believed to hold.
    missing_until : float or None
        When the endpoint is dropped whose record disappeared while the store was unavailable or had
        just returned; infinity until the store returns, None if the record exists.
    reported_load, load_reported_at : int, float
        Running and waiting requests that the endpoint's latest response reported, and when.
    avoid_until, consecutive_failures : float, int
        Until this time it gets requests only if no other endpoint can take them; failed connection
        attempts in a row.
    error_rate : float
        Moving average of its failed responses, from 0 to 1.
    lead_view, lead_view_at : View or None, float
        Latest View message from the lead of the engine, and when it arrived.
    in_flight : set
        Ids of this entry's requests at the endpoint.
    prefill_tokens_by_request : dict
        Prompt tokens that wait for prefill, for each of this entry's requests there without a first
        byte.
    segment_sent_at : dict
        When a prefix segment was last sent there, by adapter and name of the segment.
    in_flight_by_adapter : dict
        Number of this entry's requests there by adapter.
    unreported_used, unreported_answered : set
        Adapters that were used, and adapters whose responses started, since the last Use message.
    sent_usage, usage_sent_at : Use or None, float
        Latest Use message to the lead, and when it was sent.
    no_asks_until : float
        Until this time no new adapter is requested there, as the engine's lead does not answer.
    absent_at : dict
        When the engine last said that it does not hold an adapter, by adapter.
    warm_adapters : dict
        Adapters that the engine has held, most recent last; its warm cache keeps the latest.
    limit : LimitState
        Limit on its requests that the endpoint names.
    brittle : BrittleState
        Whether it falls over if it turns requests away, and the room there.
    pace : PaceState
        How long work takes there, if it tells that.
    is_leaving : bool
        Whether this run of the endpoint is stopping and takes no new requests.
    paused_until : float
        Until this time the endpoint wants no requests from this entry.
    checked_at : float
        When the engine was last asked whether it still runs.
    """

    record: EndpointRecord
    seen_at: float
    held: dict[AdapterKey, int] = field(factory=dict)
    missing_until: float | None = None
    reported_load: int = 0
    load_reported_at: float = float("-inf")
    avoid_until: float = float("-inf")
    consecutive_failures: int = 0
    error_rate: float = 0.0
    lead_view: View | None = None
    lead_view_at: float = float("-inf")
    in_flight: set[str] = field(factory=set)
    prefill_tokens_by_request: dict[str, int] = field(factory=dict)
    segment_sent_at: dict[tuple[AdapterKey, str], float] = field(factory=dict)
    in_flight_by_adapter: dict[AdapterKey, int] = field(factory=dict)
    unreported_used: set[AdapterKey] = field(factory=set)
    unreported_answered: set[AdapterKey] = field(factory=set)
    sent_usage: Use | None = None
    usage_sent_at: float = float("-inf")
    no_asks_until: float = float("-inf")
    absent_at: dict[AdapterKey, float] = field(factory=dict)
    warm_adapters: dict[AdapterKey, None] = field(factory=dict)
    limit: LimitState = field(factory=LimitState)
    brittle: BrittleState = field(factory=BrittleState)
    pace: PaceState = field(factory=PaceState)
    is_leaving: bool = False
    paused_until: float = float("-inf")
    checked_at: float = float("-inf")


@define
class DepartedRun:
    """A run of an endpoint whose record was removed, and what it had asked for.

    Attributes
    ----------
    removed_at, removed_in : float, int
        When the record was removed, and in which generation of the store.
    restored_record, restored_at : EndpointRecord or None, float
        The record, while the store may have it again only because it was restored, and when this
        entry read it.
    """

    limit: LimitState
    brittle: BrittleState
    paused_until: float
    removed_at: float
    removed_in: int = 0
    restored_record: EndpointRecord | None = None
    restored_at: float = float("-inf")
