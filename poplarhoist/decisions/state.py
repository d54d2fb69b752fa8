"""The whole state of the decisions of one entry."""

import enum
import random

from attrs import define, field

from poplarhoist.decisions.admission import AdmissionState
from poplarhoist.decisions.board import Board
from poplarhoist.decisions.cross_region import CrossRegionState
from poplarhoist.decisions.grants import GrantState, Held
from poplarhoist.decisions.holdings import HoldingsState
from poplarhoist.decisions.isolation_queue import IsolationQueues
from poplarhoist.decisions.leadership import LeadershipState
from poplarhoist.decisions.limits import Limits
from poplarhoist.decisions.membership import MembershipState
from poplarhoist.decisions.quarantine import QuarantineState
from poplarhoist.decisions.retries import RetryState
from poplarhoist.decisions.revisions import ConfigState
from poplarhoist.decisions.routing import RoutingState
from poplarhoist.decisions.runs import RunState
from poplarhoist.decisions.suspect_store import SuspectStore
from poplarhoist.models import AdapterRef, Instance, Service


class Stage(enum.StrEnum):
    """Where a request stands.

    RECORDING: its record is being created.
    WAITING: it waits for a grant or for room.
    RUNNING: an attempt is under way.
    BACKOFF: it waits before another attempt.
    CHECKING: it waits to learn whether its endpoint died.
    ISOLATING: it waits to run alone.
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
    ref : AdapterRef or None
        The adapter version fixed at admission; None for a service call.
    attempt : int
        Number of the latest attempt; 0 before the first.
    repeat : bool
        Whether the request may run again after it may have run.
    may_have_run : bool
        Whether an earlier attempt may have run.
    deadline_at, caller_deadline_at : float
        Until when it waits for an adapter, and until when its caller waits at all.
    boot : str
        Boot id of the endpoint at the latest dispatch; empty if not known.
    alone : bool
        Whether the latest attempt runs alone on its endpoint.
    avoid : set
        Endpoints that failed it; others are tried first.
    """

    request_id: str
    caller: str
    priority: int
    arrived_at: float
    deadline_at: float
    ref: AdapterRef | None = None
    base: str = ""
    service: str = ""
    digest: str = ""
    prefix: int = 0
    size: int = 0
    key: str = ""
    repeat: bool = True
    may_have_run: bool = False
    stage: Stage = Stage.WAITING
    attempt: int = 0
    endpoint: str = ""
    caller_deadline_at: float = 0.0
    boot: str = ""
    alone: bool = False
    dispatched_at: float = 0.0
    held: Held | None = None
    avoid: set[str] = field(factory=set)


@define
class State:
    """State of one entry's decisions; only the reducer changes it.

    Attributes
    ----------
    wall_offset_s : float
        Wall time in seconds since 1970 minus the monotonic time of the events.
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
    boards: dict[str, Board] = field(factory=dict)
    grants: GrantState = field(factory=GrantState)
    holdings: HoldingsState = field(factory=HoldingsState)
    admission: AdmissionState = field(factory=AdmissionState)
    crossing: CrossRegionState = field(factory=CrossRegionState)
    routing: RoutingState = field(factory=RoutingState)
    retries: RetryState = field(factory=RetryState)
    quarantine: QuarantineState = field(factory=QuarantineState)
    suspect_store: SuspectStore = field(factory=SuspectStore)
    turns: IsolationQueues = field(factory=IsolationQueues)
    runs: RunState = field(factory=RunState)
    requests: dict[str, RequestState] = field(factory=dict)
    last_event_at: float = float("inf")
    draining: bool = False
    stopped: bool = False
