"""Whether and when a request may be retried.

Retries spend a retry budget that new requests earn, so that the loss of many endpoints at once
cannot multiply the traffic. The more of the budget is spent, the longer retries are delayed.
"""

from __future__ import annotations

import enum
import heapq
from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions.events import AttemptEnded, Outcome

if TYPE_CHECKING:
    from poplarhoist.decisions.state import RequestState, State

MAX_RETRY_JITTER_S = 1.0


class RetryCause(enum.StrEnum):
    """Why a request is retried."""

    LEAVING = "leaving"
    NOT_RESIDENT = "adapter-not-resident"
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    ENDPOINT_LOST = "endpoint-lost"
    WRONG_ANSWER = "wrong-answer"


# After LEAVING or NOT_RESIDENT this entry stops using the endpoint or the grant, so the refusal
# cannot recur there and these retries need no budget.
UNBUDGETED_CAUSES = frozenset((RetryCause.LEAVING, RetryCause.NOT_RESIDENT))
# Refusals whose reason is itself the cause of the retry.
REFUSAL_CAUSES = (RetryCause.LEAVING, RetryCause.NOT_RESIDENT)
CAUSE_BY_OUTCOME = {
    Outcome.NOT_SENT: RetryCause.NOT_SENT,
    Outcome.REFUSED: RetryCause.REFUSED,
    Outcome.BROKEN: RetryCause.ENDPOINT_LOST,
    Outcome.WRONG: RetryCause.WRONG_ANSWER,
}


@define
class RetryState:
    """The retry budget and the scheduled retries.

    Attributes
    ----------
    spent : float
        Retries spent that new requests have not earned back yet.
    due_heap : list
        Heap of scheduled retries: time, request id and number of the request's last attempt.
    """

    spent: float = 0.0
    due_heap: list[tuple[float, str, int]] = field(factory=list)


def retry_cause(event: AttemptEnded) -> RetryCause:
    """Return why a request is retried after an unsuccessful attempt."""
    if event.outcome is Outcome.REFUSED and event.reason in REFUSAL_CAUSES:
        return RetryCause(event.reason)
    return CAUSE_BY_OUTCOME[event.outcome]


def earn_budget(state: State) -> None:
    """Earn back a share of a retry for a new request."""
    state.retries.spent = max(0.0, state.retries.spent - state.limits.retry_share)


def try_spend_budget(state: State, cause: RetryCause) -> bool:
    """Spend the budget for one retry; return False if it is exhausted.

    Causes in ``UNBUDGETED_CAUSES`` spend nothing and always return True.
    """
    if cause in UNBUDGETED_CAUSES:
        return True
    if state.retries.spent + 1.0 > state.limits.retry_burst:
        return False
    state.retries.spent += 1.0
    return True


def retry_delay_s(state: State, request: RequestState, cause: RetryCause) -> float:
    """Return the jittered delay before a retry, in seconds.

    For budgeted causes, the maximum delay grows with the spent share of the budget, up to
    ``MAX_RETRY_JITTER_S``. If an adapter is not resident at an attempt after the first, the delay
    is one to two heartbeats, so that the lead first receives a report of the endpoint, which shows
    that the adapter is not resident there.
    """
    jitter = state.random.random()
    if cause is RetryCause.NOT_RESIDENT and request.attempt > 1:
        return state.limits.heartbeat_s * (1.0 + jitter)
    if cause in UNBUDGETED_CAUSES:
        return 0.0
    share = max(0.0, state.retries.spent - 1.0) / state.limits.retry_burst
    return jitter * share * MAX_RETRY_JITTER_S


def schedule_retry(state: State, request: RequestState, due_at: float) -> None:
    """Schedule a retry of a request."""
    heapq.heappush(state.retries.due_heap, (due_at, request.request_id, request.attempt))


def pop_due(state: State, at: float) -> list[tuple[str, int]]:
    """Remove and return the retries that are due: request id and number of the last attempt."""
    heap = state.retries.due_heap
    due = []
    while heap and heap[0][0] <= at:
        _, request_id, attempt = heapq.heappop(heap)
        due.append((request_id, attempt))
    return due


def has_attempts_left(state: State, request: RequestState) -> bool:
    """Return whether a request has made fewer attempts than the limit."""
    return request.attempt < state.limits.attempts
