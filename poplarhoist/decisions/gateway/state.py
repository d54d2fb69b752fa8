"""State of the gateway's decisions; only the reducer changes it.

All times are monotonic seconds of this process.
"""

import random
from collections import deque

from attrs import define, field, frozen

from poplarhoist.decisions.gateway.crash_suspects import Crash, CrashReport, Verdict
from poplarhoist.decisions.gateway.endpoint_state import DepartedRun, EndpointState
from poplarhoist.decisions.gateway.entry_state import EntryState
from poplarhoist.decisions.gateway.hedge_state import HedgeState
from poplarhoist.decisions.gateway.limits import GatewayLimits
from poplarhoist.decisions.gateway.messages import Use
from poplarhoist.decisions.gateway.models import AdapterKey, Configuration, Route, ServiceVersion
from poplarhoist.decisions.gateway.paces import ServicePace
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.decisions.gateway.quota_state import QuotaState
from poplarhoist.decisions.gateway.request_state import RequestState
from poplarhoist.decisions.gateway.team_state import TeamState

# Least seconds for which a stream may be resumed.
VERSION_MEMORY_S = 30.0


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
    """The store's records of software versions, as this entry knows them.

    Attributes
    ----------
    is_listed : bool
        Whether they have been read.
    listed_services : set
        Services that had a record then.
    was_complete : bool
        Whether all versions that endpoints had at some time were recorded.
    needed_at : dict
        When an endpoint last had a recorded version, or this entry learned of the record.
    write_at : dict
        Earliest time of this entry's next write, by version that has no record.
    remove_at : dict
        Earliest time of this entry's next removal, by recorded version without endpoints.
    unrecordable_services : set
        Services whose streams may begin at a version without a record, as the store is unreachable.
    resumable_services : set
        Services with resumable streams; only their versions are recorded.
    memory_s : float
        Seconds for which a stream may be resumed, and a version counts that no endpoint has any more.
    """

    is_listed: bool = False
    listed_services: set[str] = field(factory=set)
    was_complete: bool = False
    needed_at: dict[ServiceVersion, float] = field(factory=dict)
    write_at: dict[ServiceVersion, float] = field(factory=dict)
    remove_at: dict[ServiceVersion, float] = field(factory=dict)
    unrecordable_services: set[str] = field(factory=set)
    resumable_services: set[str] = field(factory=set)
    memory_s: float = VERSION_MEMORY_S


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


@frozen
class BeginDeadline:
    """Until when requests may begin on an older version of an adapter than an announced one."""

    at: float
    key: AdapterKey
    version: int


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
        Software versions of services, by the store's records.
    links : LinkState
        This entry's links to endpoints.
    teams : TeamState
        What is kept of teams beside the configuration.
    quotas : QuotaState
        The quotas of teams.
    hedges : HedgeState
        What is kept for second attempts beside slow ones.
    told_positions_by_kind : dict
        Latest position of a kind of record that another entry has read, by kind and entry.
    departed_software : dict
        When the latest endpoint of a software version was removed, by service and version.
    service_paces : dict
        What was learned of the services whose endpoints tell their pace.
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
    begin_deadlines: list[BeginDeadline] = field(factory=list)
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
    teams: TeamState = field(factory=TeamState)
    service_paces: dict[str, ServicePace] = field(factory=dict)
    quotas: QuotaState = field(factory=QuotaState)
    hedges: HedgeState = field(factory=HedgeState)
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
