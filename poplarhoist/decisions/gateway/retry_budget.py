"""The budget for sending requests once more.

Each entry uses its share of what all entries together may spend, so that the bound holds also
while they cannot talk: a ratio of its own requests, and an equal part of the slack.
"""

from __future__ import annotations

from collections import deque

from poplarhoist.decisions.gateway.limits import RETRY_BUDGET_SHARE
from poplarhoist.decisions.gateway.state import GatewayState, RetryWindow


def retry_window(state: GatewayState, service: str) -> RetryWindow:
    """Return the window of a service."""
    return state.retry_windows.setdefault(service, RetryWindow())


def drop_expired(times: deque[float], oldest: float) -> None:
    """Drop what lies before the window."""
    while times and times[0] < oldest:
        times.popleft()


def record_request(state: GatewayState, service: str, at: float) -> None:
    """Count a request of a caller."""
    requests = retry_window(state, service).requests
    requests.append(at)
    drop_expired(requests, at - state.limits.retry_window_s)


def try_spend_retry(state: GatewayState, service: str, at: float) -> bool:
    """Spend one repeat; return False if none is left in this window."""
    window = retry_window(state, service)
    oldest = at - state.limits.retry_window_s
    drop_expired(window.requests, oldest)
    drop_expired(window.retries, oldest)
    slack = state.limits.retry_slack / max(1, len(state.entries))
    allowed = RETRY_BUDGET_SHARE * (state.limits.retry_ratio * len(window.requests) + slack)
    if len(window.retries) + 1 > allowed:
        return False
    window.retries.append(at)
    return True
