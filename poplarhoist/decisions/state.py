"""The complete decision state of one entry."""

import enum
import random

from attrs import define, field

from poplarhoist.decisions.admission import AdmissionState
from poplarhoist.decisions.cross_region import CrossRegionState
from poplarhoist.decisions.engine_pool import EnginePool
from poplarhoist.decisions.grants import GrantRecord, GrantState
from poplarhoist.decisions.holdings import HoldingsState
from poplarhoist.decisions.isolation_queue import IsolationQueues
from poplarhoist.decisions.leadership import LeadershipState
from poplarhoist.decisions.limits import Limits
from poplarhoist.decisions.membership import MembershipState
from poplarhoist.decisions.quarantine import QuarantineState
from poplarhoist.decisions.retries import RetryState
from poplarhoist.decisions.revisions import ConfigState
from poplarhoist.decisions.routing import RoutingState
from poplarhoist.decisions.runs import ClaimsState
from poplarhoist.decisions.suspect_store import SuspectStore
from poplarhoist.models import AdapterRef, Instance, Service


class Stage(enum.StrEnum):
    """Stage of a request that has no final answer yet.

    Attributes
    ----------
    RECORDING
        The record that keeps the call from running twice is being created on the platform.
    WAITING
        It waits for a grant or for free capacity on an endpoint.
    RUNNING
        An attempt is in flight.
    BACKOFF
        It waits for the delay before the next attempt.
    CHECKING
        Its last attempt broke off, and it waits until it is known whether the endpoint died.
    ISOLATING
        It is suspected of crashing endpoints and waits for one on which it can run alone.
    """

    RECORDING = "recording"
    WAITING = "waiting"
    RUNNING = "running"
    BACKOFF = "backoff"
    CHECKING = "checking"
    ISOLATING = "isolating"


@define
class RequestState:
    """A request that has no final answer yet.

    Attributes
    ----------
    caller : str
        Name of the caller.
    wait_deadline_at : float
        Until when the request may wait to be dispatched.
    caller_deadline_at : float
        Until when the caller waits for the first byte of the answer.
    ref : AdapterRef or None
        Adapter version, fixed at admission; None for a service call.
    base : str
        Base model of the adapter; empty for a service call.
    service : str
        Name of the service; empty for a model call.
    content_digest : str
        Digest of the request's content.
    prefix_hash : int
        Hash of the start of the prompt; 0 for none.
    body_bytes : int
        Size of the request body in bytes.
    idempotency_key : str
        Key of a service call that must not run twice.
    repeatable : bool
        Whether the request may run again although an earlier attempt may have run.
    may_have_run : bool
        Whether an earlier attempt may have run.
    attempt : int
        Number of the latest attempt; 0 before the first.
    endpoint, endpoint_boot : str
        Endpoint of the latest attempt, and its boot id at dispatch; empty if not known.
    alone : bool
        Whether the latest attempt runs alone on its endpoint.
    held_grant : GrantRecord or None
        Grant under which the attempt in flight runs; None for a service call.
    avoided_endpoints : set
        Endpoints on which an attempt failed; routing prefers others.
    """

    request_id: str
    caller: str
    priority: int
    arrived_at: float
    wait_deadline_at: float
    ref: AdapterRef | None = None
    base: str = ""
    service: str = ""
    content_digest: str = ""
    prefix_hash: int = 0
    body_bytes: int = 0
    idempotency_key: str = ""
    repeatable: bool = True
    may_have_run: bool = False
    stage: Stage = Stage.WAITING
    attempt: int = 0
    endpoint: str = ""
    caller_deadline_at: float = 0.0
    endpoint_boot: str = ""
    alone: bool = False
    dispatched_at: float = 0.0
    held_grant: GrantRecord | None = None
    avoided_endpoints: set[str] = field(factory=set)


@define
class State:
    """Decision state of one entry; only the reducer changes it.

    The report of ``poplarhoist-load slopes`` prints the size of each field under the field's name.

    Attributes
    ----------
    me, boot : Instance, str
        This entry, and the boot id of its process.
    random : Random
        Source of jitter and random choices; seeded in tests and simulations.
    wall_offset_s : float
        Wall time in seconds since 1970 minus the monotonic time of the events.
    services : dict
        Plain services by name.
    boards : dict
        State of the lead for each base model that this entry leads now.
    crossing : CrossRegionState
        Token bucket of bytes that may be sent to other regions.
    turns : IsolationQueues
        Queues of suspects that wait to run alone, by base model.
    requests : dict
        Requests without a final answer, by request id.
    last_event_at : float
        When the previous event was applied; infinity before the first.
    draining, stopped : bool
        Whether a graceful stop has begun, and whether it is complete.
    """

    me: Instance
    boot: str
    random: random.Random
    wall_offset_s: float = 0.0
    limits: Limits = field(factory=Limits)
    services: dict[str, Service] = field(factory=dict)
    config: ConfigState = field(factory=ConfigState)
    members: MembershipState = field(factory=MembershipState)
    leadership: LeadershipState = field(factory=LeadershipState)
    boards: dict[str, EnginePool] = field(factory=dict)
    grants: GrantState = field(factory=GrantState)
    holdings: HoldingsState = field(factory=HoldingsState)
    admission: AdmissionState = field(factory=AdmissionState)
    crossing: CrossRegionState = field(factory=CrossRegionState)
    routing: RoutingState = field(factory=RoutingState)
    retries: RetryState = field(factory=RetryState)
    quarantine: QuarantineState = field(factory=QuarantineState)
    suspect_store: SuspectStore = field(factory=SuspectStore)
    turns: IsolationQueues = field(factory=IsolationQueues)
    runs: ClaimsState = field(factory=ClaimsState)
    requests: dict[str, RequestState] = field(factory=dict)
    last_event_at: float = float("inf")
    draining: bool = False
    stopped: bool = False
