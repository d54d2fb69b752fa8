"""Whether and when a request may be tried again.

Retries spend a budget that fresh requests earn, so that losing many endpoints at once cannot
multiply the traffic. Retries are spread in time the more of the budget is spent.
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
    """Why a request is tried again."""

    LEAVING = "leaving"
    NOT_RESIDENT = "adapter-not-resident"
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    ENDPOINT_LOST = "endpoint-lost"
    WRONG_ANSWER = "wrong-answer"


# A refusal of these kinds takes the endpoint or the grant out of use, so it cannot recur.
UNBUDGETED_CAUSES = frozenset((RetryCause.LEAVING, RetryCause.NOT_RESIDENT))
REFUSAL_CAUSES = (RetryCause.LEAVING, RetryCause.NOT_RESIDENT)
CAUSE_BY_OUTCOME = {
    Outcome.NOT_SENT: RetryCause.NOT_SENT,
    Outcome.REFUSED: RetryCause.REFUSED,
    Outcome.BROKEN: RetryCause.ENDPOINT_LOST,
    Outcome.WRONG: RetryCause.WRONG_ANSWER,
}


@define
class RetryState:
    """The retry budget, and retries that wait for their time.

    Attributes
    ----------
    debt : float
        Retries spent that fresh requests have not yet earned back.
    due : list
        Heap of times at which a request is tried again, with the number of its last attempt.
    """

    spent: float = 0.0
    due_heap: list[tuple[float, str, int]] = field(factory=list)


def retry_cause(event: AttemptEnded) -> RetryCause:
    """Return why an attempt has to be repeated."""
    if event.outcome is Outcome.REFUSED and event.reason in REFUSAL_CAUSES:
        return RetryCause(event.reason)
    return CAUSE_BY_OUTCOME[event.outcome]


def earn_budget(state: State) -> None:
    """Earn retry credit by a fresh request."""
    state.retries.spent = max(0.0, state.retries.spent - state.limits.retry_share)


def try_spend_budget(state: State, cause: RetryCause) -> bool:
    """Spend credit for one retry; return False if there is none."""
    if cause in UNBUDGETED_CAUSES:
        return True
    if state.retries.spent + 1.0 > state.limits.retry_burst:
        return False
    state.retries.spent += 1.0
    return True


def retry_delay_s(state: State, request: RequestState, cause: RetryCause) -> float:
    """Return the seconds to wait before a retry, jittered.

    A lost endpoint costs a longer wait the more retries there are. An adapter that is missing
    a second time is waited for until the lead has had a report of it.
    """
    jitter = state.random.random()
    if cause is RetryCause.NOT_RESIDENT and request.attempt > 1:
        return state.limits.heartbeat_s * (1.0 + jitter)
    if cause in UNBUDGETED_CAUSES:
        return 0.0
    share = max(0.0, state.retries.spent - 1.0) / state.limits.retry_burst
    return jitter * share * MAX_RETRY_JITTER_S


def schedule_retry(state: State, request: RequestState, due_at: float) -> None:
    """Remember a request that is tried again later."""
    heapq.heappush(state.retries.due_heap, (due_at, request.request_id, request.attempt))


def pop_due(state: State, at: float) -> list[tuple[str, int]]:
    """Return the requests whose time has come, with the number of their last attempt."""
    heap = state.retries.due_heap
    due = []
    while heap and heap[0][0] <= at:
        _, request_id, attempt = heapq.heappop(heap)
        due.append((request_id, attempt))
    return due


def has_attempts_left(state: State, request: RequestState) -> bool:
    """Return whether a request has attempts left."""
    return request.attempt < state.limits.attempts
