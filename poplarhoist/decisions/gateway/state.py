"""The whole state of the gateway's decisions; only the reducer changes it."""

import enum
import random
from collections import deque

from attrs import define, field

from poplarhoist.decisions.gateway.limits import GatewayLimits
from poplarhoist.decisions.gateway.messages import Use, View
from poplarhoist.decisions.gateway.models import (
    AdapterKey,
    Configuration,
    EndpointRecord,
    Prompt,
    Route,
)


@define
class EndpointState:
    """What this entry knows of an endpoint.

    Attributes
    ----------
    missing_since : float or None
        When its record went missing while the store was not reliable.
    told_load, told_at : int, float
        Requests there, as told with an answer, and when.
    avoid_until, failures : float, int
        Until when it gets no request if others can; failures in a row.
    error_rate : float
        Moving share of failures of its own.
    view, view_at : View or None, float
        The latest message of its lead.
    no_orders_until : float
        Until when no new adapter is asked for there, as its lead does not answer.
    absent_at : dict
        When the engine last said that it does not have an adapter.
    warm : dict
        Adapters that the engine is known to have had, latest last.
    running : set
        This entry's requests there.
    unread_tokens : dict
        Prompt tokens not yet read, by this entry's requests there.
    parts : dict
        When a prompt part was last sent there, by model, adapter and part.
    """

    record: EndpointRecord
    seen_at: float
    held: dict[AdapterKey, int] = field(factory=dict)
    missing_since: float | None = None
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


class Stage(enum.StrEnum):
    """Where a request stands."""

    WAITING = "waiting"
    RUNNING = "running"


@define
class RequestState:
    """A request without a final answer.

    Attributes
    ----------
    first_asked_at : float
        When its caller first asked, as far as the time tells that the caller has left.
    limit_at, objective_at : float
        When it must have its final answer, and when its first byte should be there.
    asked, asked_at : str, float
        Engine that is to get its adapter, and since when.
    ready_at : float
        When that adapter is expected there.
    runs : int
        Attempts that may have run.
    avoid : set
        Endpoints that failed it.
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


@define
class PendingAsk:
    """A question to the lead of an engine about one adapter, not yet answered."""

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
    """Who leads an engine, as the store last told."""

    holder: str
    epoch: int
    revision: int


@define
class EntryView:
    """Another entry."""

    name: str
    host: str
    port: int
    zone: str = ""
    silent_until: float = float("-inf")


@define
class HeldAdapter:
    """An adapter at an engine that this entry leads.

    Attributes
    ----------
    used_at, since : float
        When it was last used, and since when it should be there.
    tries : int
        How often it was found to be on its way still.
    seen : bool
        Whether the engine has reported it, or answered a request with it.
    """

    version: int
    last_used_at: float
    loaded_at: float
    late_count: int = 0
    observed: bool = False


@define
class LoadingAdapter:
    """An adapter on its way to an engine."""

    version: int
    expected_at: float
    late_count: int = 0


@define
class UnansweredLoad:
    """An order without an answer that may yet be carried out."""

    key: AdapterKey
    expected_orders: int
    expires_at: float


@define
class OpenOrder:
    """An order that was sent and has no answer."""

    number: int
    is_load: bool
    key: AdapterKey
    version: int
    expected_orders: int


@define
class AdapterDemand:
    """An adapter that entries ask for."""

    version: int
    priority: int
    waiting_since: float
    last_asked_at: float
    entries: set[str] = field(factory=set)


@define
class SlotTable:
    """What the lead of an engine knows of its places.

    Attributes
    ----------
    usable_at : float
        Not before that time may this entry give orders.
    uses_known_at : float
        From then on the other entries have told this one what they have at the engine.
    synced : bool
        Whether a report was read since the lead began, or the last doubt arose.
    orders : int
        Orders that the engine has accepted.
    order_taken_at : float
        When it took the latest of them.
    leaving : dict
        Adapters that make way once their runs have ended.
    warm : dict
        Adapters that the engine had, latest last.
    uses : dict
        Latest message about the use by entry, and when it came.
    """

    engine: str
    epoch: int
    orders_allowed_at: float
    peer_usage_known_at: float
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
    broadcast_at: float = float("-inf")
    broadcast_tokens: int = 0


@define
class RetryWindow:
    """Requests and repeats of one service in the current window."""

    requests: deque[float] = field(factory=deque)
    retries: deque[float] = field(factory=deque)


@define
class AnnouncedVersion:
    """A version of an adapter and when this entry learnt of it."""

    version: int
    announced_at: float


@define
class GatewayState:
    """State of one entry's gateway decisions.

    Attributes
    ----------
    me, boot : str
        Name of this entry, and what tells its processes apart.
    regions : dict
        Region by availability zone.
    store_lost_at, store_back_at : float
        When the store was last lost, and when it was last back.
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
    rankings: dict[tuple[str, AdapterKey], tuple[str, ...]] = field(factory=dict)
    endpoints_listed: bool = False
    entries_listed: bool = False
    leads_listed: bool = False
    announced_versions: dict[AdapterKey, AnnouncedVersion] = field(factory=dict)
    entries: dict[str, EntryView] = field(factory=dict)
    leads: dict[str, LeadRecord] = field(factory=dict)
    pending_claims: dict[str, tuple[int, float]] = field(factory=dict)
    next_claim_at: dict[str, float] = field(factory=dict)
    slot_tables: dict[str, SlotTable] = field(factory=dict)
    last_order_number: int = 0
    pending_asks: dict[tuple[str, AdapterKey], PendingAsk] = field(factory=dict)
    requests: dict[str, RequestState] = field(factory=dict)
    waiting: set[str] = field(factory=set)
    retry_windows: dict[str, RetryWindow] = field(factory=dict)
    broken_responses_by_endpoint: dict[str, list[tuple[float, str]]] = field(factory=dict)
    crashed_endpoints_by_content: dict[str, set[str]] = field(factory=dict)
    started_at: float = 0.0
    last_event_at: float = float("inf")
    last_slow_tick_at: float = float("-inf")
    store_unavailable: bool = False
    store_restored_at: float = float("-inf")
    draining_since: float | None = None
    stopped_listening: bool = False
    stopped: bool = False
