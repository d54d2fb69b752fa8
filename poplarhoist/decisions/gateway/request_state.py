"""State of a request that has no final response yet; only the reducer changes it.

All times are monotonic seconds of this process.
"""

import enum

from attrs import define, field

from poplarhoist.decisions.gateway.hedge_state import ParallelAttempt
from poplarhoist.decisions.gateway.models import Prompt, Route, Team
from poplarhoist.decisions.gateway.paces import Forecast

# Seconds that a response needs on its way back; an endpoint gets this much less time.
RESPONSE_MARGIN_S = 0.01


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
        Number of the latest attempt, from 1; 0 before the first. Of two that run side by side, it and
        the other fields of an attempt belong to the one that was heard from last.
    possible_runs : int
        Attempts that may have run at an endpoint.
    endpoint_name : str
        Endpoint of the latest attempt.
    asked_engine, asked_at : str, float
        Engine whose lead was asked to load the adapter, and when; an empty name if none.
    asked_engines : set
        Engines that were asked to load the adapter so far.
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
    waits_again_since : float
        When its latest attempt ended after which it was to be sent again.
    attempt_sent_at, attempt_incarnation : float, int
        When the latest attempt was sent, and to which run of its endpoint.
    attempt_started_at : float or None
        When the first byte of the response to the latest attempt arrived; None before.
    attempt_software : str
        Software version of the endpoint of the latest attempt.
    attempt_version : int
        Version of the adapter without which the engine does not run the latest attempt; 0 for any.
    least_version : int
        Version of the adapter that the request needs, besides those required of all; 0 for any.
    forecast : Forecast or None
        What is expected of the latest attempt; None unless its engine tells its pace.
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
    team : Team or None
        Team of the caller; None if teams were not in force when the request arrived, or if the route
        is anonymous and the caller sent no known key.
    hedge_attempt : int
        Number of the second attempt that was sent beside a slow one; 0 if none was.
    hedge : ParallelAttempt or None
        The other one of two attempts that run side by side; None if there is only one.
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
    waits_again_since: float = float("-inf")
    attempt_sent_at: float = float("-inf")
    attempt_incarnation: int = 0
    attempt_started_at: float | None = None
    attempt_software: str = ""
    attempt_version: int = 0
    least_version: int = 0
    forecast: Forecast | None = None
    software_version: str | None = None
    origin_asked_at: float | None = None
    origin_asked: set[str] = field(factory=set)
    origin_unknown_to: set[str] = field(factory=set)
    is_relayed: bool = False
    relay: str = ""
    tried_relays: set[str] = field(factory=set)
    asked_engines: set[str] = field(factory=set)
    team: Team | None = None
    hedge_attempt: int = 0
    hedge: ParallelAttempt | None = None

    def log_ids(self) -> dict[str, object]:
        """Return the log fields that tell whose request it is."""
        ids: dict[str, object] = {"caller_id": self.caller_id}
        return ids if self.team is None else ids | {"team": self.team.name}

    def begin_attempt(
        self, at: float, endpoint_name: str = "", incarnation: int = 0, software: str = ""
    ) -> None:
        """Begin the next attempt, at a run of an endpoint or, without one, at another entry."""
        self.stage = Stage.RUNNING
        self.attempt = max(self.attempt, self.hedge_attempt) + 1
        self.attempt_started_at = None
        self.attempt_version = 0
        self.forecast = None
        self.attempt_sent_at = at
        self.endpoint_name = endpoint_name
        self.attempt_incarnation = incarnation
        self.attempt_software = software

    def select_attempt(self, attempt: int) -> bool:
        """Let the fields of an attempt describe this one; return whether it runs.

        Of two attempts that run side by side, the other one is kept in `hedge`.
        """
        if attempt == self.attempt:
            return True
        other = self.hedge
        if other is None or other.attempt != attempt:
            return False
        self.hedge = ParallelAttempt(
            self.attempt,
            self.endpoint_name,
            self.attempt_incarnation,
            self.attempt_software,
            self.attempt_sent_at,
            self.attempt_started_at,
        )
        self.attempt = other.attempt
        self.endpoint_name = other.endpoint_name
        self.attempt_incarnation = other.incarnation
        self.attempt_software = other.software
        self.attempt_sent_at = other.sent_at
        self.attempt_started_at = other.started_at
        return True

    def remaining_s(self, at: float) -> float:
        """Return the seconds that an endpoint, or the entry that passes it on, may take."""
        return max(RESPONSE_MARGIN_S, self.deadline_at - at - RESPONSE_MARGIN_S)
