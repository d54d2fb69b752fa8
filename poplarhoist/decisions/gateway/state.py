"""State of the gateway's decisions; only the reducer changes it.

All times are monotonic seconds of this process.
"""

import enum
import random
from collections import deque

from attrs import define, field

from poplarhoist.decisions.gateway.crash_suspects import Crash, CrashReport, Verdict
from poplarhoist.decisions.gateway.limits import GatewayLimits
from poplarhoist.decisions.gateway.messages import Use, View
from poplarhoist.decisions.gateway.models import (
    AdapterKey,
    Configuration,
    EndpointRecord,
    Prompt,
    Route,
)
from poplarhoist.decisions.gateway.positions import Position


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


class Stage(enum.StrEnum):
    """Whether a request waits in this entry or runs at an endpoint."""

    WAITING = "waiting"
    RUNNING = "running"


@define
class RequestState:
    """A request that has no final response yet.

    Attributes
    ----------
    caller_id : str
        Id that the caller gave to its attempt; goes into the logs.
    first_requested_at : float
        When the caller first sent the request, estimated from the time that its deadline leaves.
    deadline_at, latency_target_at : float
        When the response must be complete, and when its first byte is due.
    content_digest : str
        Digest of method, path and body; identifies requests that crash endpoints.
    attempt : int
        Number of the latest attempt, from 1; 0 before the first.
    possible_runs : int
        Attempts that may have run at an endpoint.
    endpoint_name : str
        Endpoint of the latest attempt.
    asked_engine, asked_at : str, float
        Engine whose lead was asked to load the adapter, and when; an empty name if none.
    adapter_ready_at : float
        When the adapter is expected at that engine; infinity if unknown.
    caller_disconnected : bool
        Whether the caller has closed its connection while an attempt is running.
    avoided_endpoints : set
        Endpoints that failed the request; they get it again only if there are no others.
    last_event_id, resumed_caller_id : str
        Id of the event after which the caller resumes a stream, and of its attempt that began the
        stream; both empty if the request begins one.
    is_trial : bool
        Whether its next attempt is sent although its content or a part of its prompt is refused.
    attempt_sent_at, attempt_incarnation : float, int
        When the latest attempt was sent, and to which run of its endpoint.
    attempt_started_at : float or None
        When the first byte of the response to the latest attempt arrived; None before.
    attempt_software : str
        Software version of the endpoint of the latest attempt.
    software_version : str or None
        Software version that began the stream, at which alone it may go on; None for any.
    origin_asked_at : float or None
        When other entries were asked where the stream began; None if they were not.
    origin_asked, origin_unknown_to : set
        The entries that were asked, and those of them that do not know.
    is_relayed : bool
        Whether another entry sent the request here, which has no link to its endpoints.
    relay : str
        Entry that passes the latest attempt on; empty if it goes to an endpoint.
    tried_relays : set
        Entries that the request was sent to.
    """

    request_id: str
    caller_id: str
    route: Route
    service: str
    arrived_at: float
    first_requested_at: float
    deadline_at: float
    latency_target_at: float
    prompt: Prompt | None = None
    content_digest: str = ""
    stage: Stage = Stage.WAITING
    attempt: int = 0
    possible_runs: int = 0
    endpoint_name: str = ""
    response_started: bool = False
    response_started_at: float = 0.0
    asked_engine: str = ""
    asked_at: float = float("-inf")
    adapter_ready_at: float = float("inf")
    caller_disconnected: bool = False
    avoided_endpoints: set[str] = field(factory=set)
    last_event_id: str = ""
    resumed_caller_id: str = ""
    is_trial: bool = False
    attempt_sent_at: float = float("-inf")
    attempt_incarnation: int = 0
    attempt_started_at: float | None = None
    attempt_software: str = ""
    software_version: str | None = None
    origin_asked_at: float | None = None
    origin_asked: set[str] = field(factory=set)
    origin_unknown_to: set[str] = field(factory=set)
    is_relayed: bool = False
    relay: str = ""
    tried_relays: set[str] = field(factory=set)

    def begin_attempt(
        self, at: float, endpoint_name: str = "", incarnation: int = 0, software: str = ""
    ) -> None:
        """Begin the next attempt, at a run of an endpoint or, without one, at another entry."""
        self.stage = Stage.RUNNING
        self.attempt += 1
        self.attempt_started_at = None
        self.attempt_sent_at = at
        self.endpoint_name = endpoint_name
        self.attempt_incarnation = incarnation
        self.attempt_software = software


@define
class StreamOrigin:
    """At which software version a stream began.

    Attributes
    ----------
    attempt : int
        Number of the entry's attempt whose first bytes began the stream.
    is_own, is_told : bool
        Whether it began at this entry, and whether the entry has told others.
    """

    software_version: str
    attempt: int
    known_at: float
    service: str
    is_own: bool = False
    is_told: bool = False


@define
class PendingAsk:
    """An Ask to the lead of an engine that is repeated until the lead answers.

    Attributes
    ----------
    waiting_since : float
        When the caller that has waited longest first sent its request.
    attempts : int
        Times the Ask was sent without an answer.
    waiters : set
        Ids of the requests that wait for the adapter.
    """

    engine: str
    key: AdapterKey
    version: int
    priority: int
    waiting_since: float
    sent_at: float
    attempts: int = 1
    waiters: set[str] = field(factory=set)


@define
class LeadRecord:
    """Lead of an engine according to the latest record read from the store.

    Attributes
    ----------
    holder : str
        Entry and its process, separated by `#`; empty if the leadership was released.
    position : Position
        Position of the record, for compare-and-set.
    """

    holder: str
    epoch: int
    position: Position


@define
class EntryState:
    """An entry as registered in the store.

    Attributes
    ----------
    relay_port : int
        Port at which it passes on requests of other entries; 0 if it does not.
    silent_until : float
        Until this time the entry counts as silent, as it did not answer.
    links_lost_until : float
        Until this time the entry counts as having no links to endpoints.
    avoid_until : float
        Until this time it gets no requests to pass on, as no connection to it could be made.
    copies_missed : int
        How often in a row it did not answer when it was asked for a copy of records.
    no_copies_until : float
        Until this time it counts as unable to give copies, for that reason.
    relaying : set
        Ids of this entry's requests that it passes on.
    """

    name: str
    host: str
    port: int
    zone: str = ""
    relay_port: int = 0
    silent_until: float = float("-inf")
    links_lost_until: float = float("-inf")
    avoid_until: float = float("-inf")
    copies_missed: int = 0
    no_copies_until: float = float("-inf")
    relaying: set[str] = field(factory=set)


@define
class LinkState:
    """What this entry knows of its links to endpoints.

    Attributes
    ----------
    reached_at : float
        When the attempt to reach an endpoint began that succeeded and was begun last.
    failed_at : dict
        When the latest failed attempt to reach an endpoint began, by endpoint, of those begun after
        that.
    answered_at : float
        When an endpoint last answered anything.
    unanswered_at : dict
        When the first request since then was sent that ended without any answer, by endpoint.
    lost_since : float or None
        Since when the links to all endpoints count as lost; None while they do not.
    told_at, probed_at : float
        When other entries were last told, and when an endpoint was last probed.
    """

    reached_at: float = float("-inf")
    failed_at: dict[str, float] = field(factory=dict)
    answered_at: float = float("-inf")
    unanswered_at: dict[str, float] = field(factory=dict)
    lost_since: float | None = None
    told_at: float = float("-inf")
    probed_at: float = float("-inf")

    @property
    def is_lost(self) -> bool:
        """Whether the links to all endpoints count as lost."""
        return self.lost_since is not None


@define
class SoftwareRecords:
    """The store's records of services with several software versions, as this entry knows them.

    Attributes
    ----------
    is_listed : bool
        Whether they have been read.
    services : set
        Services that have a record.
    next_write_at : dict
        Earliest time of this entry's next write or removal, by service.
    """

    is_listed: bool = False
    services: set[str] = field(factory=set)
    next_write_at: dict[str, float] = field(factory=dict)


@define
class CrashRecords:
    """The store's records of what crashes endpoints, as this entry knows them.

    Attributes
    ----------
    is_listed : bool
        Whether they have been read.
    crash_counts : dict
        Number of crashes in a record, by its name.
    next_write_at : dict
        Earliest time of this entry's next write or removal, by name.
    """

    is_listed: bool = False
    crash_counts: dict[str, int] = field(factory=dict)
    next_write_at: dict[str, float] = field(factory=dict)


@define
class HeldAdapter:
    """An adapter that an engine holds, in the lead's table.

    Attributes
    ----------
    used_until : float
        Until when it counts as used: its latest use, or a time in the future while it is reserved
        for requests that asked for it.
    expected_loaded_at : float
        When its load was expected to end; for an adapter first seen in a report, the time of that
        report.
    late_count : int
        How often it was found to be still loading after that time.
    observed : bool
        Whether the engine has reported it or answered a request with it.
    """

    version: int
    used_until: float
    expected_loaded_at: float
    late_count: int = 0
    observed: bool = False


@define
class LoadingAdapter:
    """An adapter that an engine is loading, in the lead's table.

    Attributes
    ----------
    expected_at : float
        When the load should end.
    late_count : int
        How often the load was found to be late.
    """

    version: int
    expected_at: float
    late_count: int = 0


@define
class UnansweredLoad:
    """A load order without an answer; the engine may still carry it out.

    Attributes
    ----------
    expected_orders : int
        Order count that the order requires; a higher count at the engine rules it out.
    expires_at : float
        From this time on the order can no longer take effect.
    """

    key: AdapterKey
    expected_orders: int
    expires_at: float


@define
class OpenOrder:
    """The order that was sent to an engine and has no answer yet.

    Attributes
    ----------
    number : int
        Number within this process, to match the answer.
    is_load : bool
        Whether it is a load; otherwise an unload.
    expected_orders : int
        Orders that the engine must have accepted before this one.
    """

    number: int
    is_load: bool
    key: AdapterKey
    version: int
    expected_orders: int


@define
class AdapterDemand:
    """An adapter that entries have asked a lead to load.

    Attributes
    ----------
    priority : int
        Most urgent priority among the asks; 0 is the most urgent.
    waiting_since : float
        When the caller that has waited longest first sent its request.
    last_asked_at : float
        When the latest Ask arrived.
    entries : set
        Entries that asked; they are informed about the engine.
    """

    version: int
    priority: int
    waiting_since: float
    last_asked_at: float
    entries: set[str] = field(factory=set)


@define
class SlotTable:
    """The lead's table of the adapter slots of one engine.

    Attributes
    ----------
    orders_allowed_at : float
        Before this time the lead sends no orders.
    peer_usage_known_at : float
        By this time the other entries have reported to this lead what they use at the engine.
    has_report : bool
        Whether a report was applied since the leadership began.
    synced : bool
        Whether a report was applied since the leadership began or the table was last marked as
        unsynced.
    report_due_at, report_requested_at : float
        Earliest time of the next report, and when the latest one was requested.
    incarnation : int
        Incarnation of the engine in its latest report.
    accepted_orders : int
        Orders that this incarnation of the engine has accepted.
    last_order_accepted_at : float
        When it accepted the latest of them.
    base_models : set
        Base models that the engine holds.
    base_model_expected_at : float
        When the base model that was ordered last should be in a report.
    unloading : dict
        Adapters that are unloaded once their running requests have ended, and when that was
        ordered.
    warm_adapters : dict
        Adapters that the engine has held, most recent last.
    usage_by_entry : dict
        Latest Use message by entry, and when it arrived.
    open_order : OpenOrder or None
        The one order without an answer.
    no_slot_since : float or None
        Since when a requested adapter has found neither a free slot nor an idle adapter to evict.
    consecutive_mismatches : int
        MISMATCH answers to unload orders in a row.
    unanswered_orders : list
        Orders without an answer since the engine last answered one or reported.
    broadcast_at, broadcast_tokens : float, int
        When the latest View was sent to all entries, and the waiting prompt tokens in it.
    """

    engine: str
    epoch: int
    orders_allowed_at: float
    peer_usage_known_at: float
    has_report: bool = False
    synced: bool = False
    report_due_at: float = 0.0
    report_requested_at: float = float("-inf")
    incarnation: int = 0
    accepted_orders: int = 0
    last_order_accepted_at: float = float("-inf")
    base_models: set[str] = field(factory=set)
    base_model_expected_at: float = float("-inf")
    held: dict[AdapterKey, HeldAdapter] = field(factory=dict)
    loading: dict[AdapterKey, LoadingAdapter] = field(factory=dict)
    unloading: dict[AdapterKey, float] = field(factory=dict)
    unanswered_loads: list[UnansweredLoad] = field(factory=list)
    warm_adapters: dict[AdapterKey, None] = field(factory=dict)
    demands: dict[AdapterKey, AdapterDemand] = field(factory=dict)
    usage_by_entry: dict[str, tuple[Use, float]] = field(factory=dict)
    open_order: OpenOrder | None = None
    no_slot_since: float | None = None
    consecutive_mismatches: int = 0
    unanswered_orders: list[OpenOrder] = field(factory=list)
    broadcast_at: float = float("-inf")
    broadcast_tokens: int = 0


@define
class RetryWindow:
    """Times of the requests and retries of one service in the current window."""

    requests: deque[float] = field(factory=deque)
    retries: deque[float] = field(factory=deque)


@define
class AnnouncedVersion:
    """The latest announced version of an adapter, and when this entry read the announcement.

    Attributes
    ----------
    earlier : AnnouncedVersion or None
        The version announced before; None if it is no longer needed, as this one is required.
    """

    version: int
    announced_at: float
    earlier: "AnnouncedVersion | None" = None


@define
class GatewayState:
    """State of one entry's gateway decisions.

    Attributes
    ----------
    name, boot_id : str
        Name of this entry, and the id of this process.
    regions : dict
        Region by availability zone.
    leaving_runs : dict
        Runs of endpoints that are stopping, whether they have a record or not, and when this entry
        learned of it; by name and incarnation, oldest first.
    departed_runs : dict
        Runs of endpoints whose record was removed; by name and incarnation, oldest first.
    rankings : dict
        Cached rendezvous rankings of engines, by service and adapter.
    endpoints_listed, entries_listed : bool
        Whether all records of that kind have been read at least once.
    leads_listed : bool
        Whether all lead records of the store's latest generation have been read.
    pending_claims : dict
        Epoch and time of this entry's unanswered claims, by engine.
    next_claim_at : dict
        Earliest time of this entry's next claim, by engine.
    slot_tables : dict
        Slot tables of the engines that this entry leads.
    last_order_number : int
        Number of the latest order of this process.
    pending_asks : dict
        Unanswered asks by engine and adapter.
    waiting : set
        Ids of the requests that wait for an endpoint or an adapter.
    retry_windows : dict
        Retry windows by service.
    broken_responses_by_crash : dict
        Responses that broke off at a run of an endpoint that is not known to have crashed.
    crash_reports : list
        Responses that broke off in a crash, of all entries.
    sound_at_by_part : dict
        When the latest response began that went on, by part of its prompt, least recent first.
    sound_notices_due : dict
        When this entry tells the others that a part is sound.
    crash_verdict, crash_verdict_due : Verdict, bool
        What is refused for its crashes, and whether that must be found out anew.
    crash_trials : dict
        Trials that this entry has sent for a refused part or content, and when the last one; by part,
        and by `crash_suspects.content_key`.
    crashes_asked_at, crashes_repeated_at : float
        When others were last asked for crashes, and when some were last told what is refused.
    stream_origins : dict
        Where streams began, by the id of the caller's attempt, least recent first.
    crash_records : CrashRecords
        The store's records of what crashes endpoints.
    software_records : SoftwareRecords
        Services with several software versions, by the store's records.
    links : LinkState
        This entry's links to endpoints.
    told_positions_by_kind : dict
        Latest position of a kind of record that another entry has read, by kind and entry.
    departed_software : dict
        When the latest endpoint of a software version was removed, by service and version.
    last_event_at : float
        Time of the latest event; infinity before the first.
    store_lost_at : float
        When the store last stopped answering.
    store_unavailable, store_returned_at : bool, float
        Whether the store does not answer, and when it last answered again.
    store_generation, store_generation_seen_at : int, float
        Latest generation of the store, 0 if it is not known, and when this process learned of it;
        infinitely long ago if no entry can have led before that.
    is_first_start : bool
        Whether the whole site starts for the first time.
    """

    name: str
    boot_id: str
    zone: str
    regions: dict[str, str]
    random: random.Random
    limits: GatewayLimits = field(factory=GatewayLimits)
    configuration: Configuration | None = None
    routes_by_host: dict[str, list[Route]] = field(factory=dict)
    endpoints: dict[str, EndpointState] = field(factory=dict)
    endpoints_by_service: dict[str, list[str]] = field(factory=dict)
    leaving_runs: dict[tuple[str, int], float] = field(factory=dict)
    departed_runs: dict[tuple[str, int], DepartedRun] = field(factory=dict)
    rankings: dict[tuple[str, AdapterKey], tuple[str, ...]] = field(factory=dict)
    endpoints_listed: bool = False
    entries_listed: bool = False
    leads_listed: bool = False
    announced_versions: dict[AdapterKey, AnnouncedVersion] = field(factory=dict)
    entries: dict[str, EntryState] = field(factory=dict)
    leads: dict[str, LeadRecord] = field(factory=dict)
    pending_claims: dict[str, tuple[int, float]] = field(factory=dict)
    next_claim_at: dict[str, float] = field(factory=dict)
    slot_tables: dict[str, SlotTable] = field(factory=dict)
    last_order_number: int = 0
    pending_asks: dict[tuple[str, AdapterKey], PendingAsk] = field(factory=dict)
    requests: dict[str, RequestState] = field(factory=dict)
    waiting: set[str] = field(factory=set)
    retry_windows: dict[str, RetryWindow] = field(factory=dict)
    broken_responses_by_crash: dict[Crash, list[CrashReport]] = field(factory=dict)
    crash_reports: list[CrashReport] = field(factory=list)
    sound_at_by_part: dict[str, float] = field(factory=dict)
    sound_notices_due: dict[str, float] = field(factory=dict)
    crash_verdict: Verdict = field(factory=Verdict)
    crash_verdict_due: bool = False
    crash_trials: dict[str, tuple[int, float]] = field(factory=dict)
    crashes_asked_at: float = float("-inf")
    crashes_repeated_at: float = float("-inf")
    stream_origins: dict[str, StreamOrigin] = field(factory=dict)
    told_positions_by_kind: dict[str, dict[str, Position]] = field(factory=dict)
    departed_software: dict[str, dict[str, float]] = field(factory=dict)
    crash_records: CrashRecords = field(factory=CrashRecords)
    software_records: SoftwareRecords = field(factory=SoftwareRecords)
    links: LinkState = field(factory=LinkState)
    is_first_start: bool = False
    started_at: float = 0.0
    last_event_at: float = float("inf")
    last_slow_tick_at: float = float("-inf")
    store_lost_at: float = float("-inf")
    store_unavailable: bool = False
    store_returned_at: float = float("-inf")
    store_generation: int = 0
    store_generation_seen_at: float = float("-inf")
    draining_since: float | None = None
    stopped_listening: bool = False
    stopped: bool = False

    def find_run(self, name: str, incarnation: int) -> EndpointState | None:
        """Return an endpoint if it is in this run of it; None if it is gone or has restarted."""
        endpoint = self.endpoints.get(name)
        is_run = endpoint is not None and endpoint.record.incarnation == incarnation
        return endpoint if is_run else None
