"""The retry budget of each service.

The budget applies to all entries together. Each entry spends only its own part, a ratio of its own
requests plus an equal part of the slack, so that the limit holds even while entries cannot reach
each other. An entry that does not see all others divides the slack by too small a number of
entries; RETRY_BUDGET_SAFETY_FACTOR covers that.
"""

from __future__ import annotations

from collections import deque

from poplarhoist.decisions.gateway.limits import RETRY_BUDGET_SAFETY_FACTOR
from poplarhoist.decisions.gateway.state import GatewayState, RetryWindow


def retry_window(state: GatewayState, service: str) -> RetryWindow:
    """Return the retry window of a service, created on first use."""
    return state.retry_windows.setdefault(service, RetryWindow())


def drop_expired(times: deque[float], oldest: float) -> None:
    """Remove the times before the start of the window."""
    while times and times[0] < oldest:
        times.popleft()


def record_request(state: GatewayState, service: str, at: float) -> None:
    """Count a request of a caller toward the service's retry budget."""
    requests = retry_window(state, service).requests
    requests.append(at)
    drop_expired(requests, at - state.limits.retry_window_s)


def may_spend_retry(
    state: GatewayState, service: str, at: float, reserved_share: float = 0.0
) -> bool:
    """Return whether a retry is left of this entry's part in the current window.

    Parameters
    ----------
    reserved_share : float
        Share of that part, from 0 to 1, that is to be left for others.
    """
    window = retry_window(state, service)
    oldest = at - state.limits.retry_window_s
    drop_expired(window.requests, oldest)
    drop_expired(window.retries, oldest)
    slack = state.limits.retry_slack / max(1, len(state.entries))
    allowed = RETRY_BUDGET_SAFETY_FACTOR * (state.limits.retry_ratio * len(window.requests) + slack)
    return len(window.retries) + 1 <= allowed * (1.0 - reserved_share)


def try_spend_retry(state: GatewayState, service: str, at: float) -> bool:
    """Spend one retry; return False if this entry's part is used up in the current window."""
    if not may_spend_retry(state, service, at):
        return False
    retry_window(state, service).retries.append(at)
    return True
