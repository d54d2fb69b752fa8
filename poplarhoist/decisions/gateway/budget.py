"""The budget for sending requests once more.

Each entry uses its share of what all entries together may spend, so that the bound holds also
while they cannot talk: a ratio of its own requests, and an equal part of the slack.
"""

from __future__ import annotations

from collections import deque

from poplarhoist.decisions.gateway.limits import RETRY_SAFETY
from poplarhoist.decisions.gateway.state import GatewayState, RetryWindow


def window(state: GatewayState, service: str) -> RetryWindow:
    """Return the window of a service."""
    return state.retries.setdefault(service, RetryWindow())


def expire(times: deque[float], oldest: float) -> None:
    """Drop what lies before the window."""
    while times and times[0] < oldest:
        times.popleft()


def note_request(state: GatewayState, service: str, at: float) -> None:
    """Count a request of a caller."""
    requests = window(state, service).requests
    requests.append(at)
    expire(requests, at - state.limits.retry_window_s)


def take(state: GatewayState, service: str, at: float) -> bool:
    """Spend one repeat; return False if none is left in this window."""
    current = window(state, service)
    oldest = at - state.limits.retry_window_s
    expire(current.requests, oldest)
    expire(current.repeats, oldest)
    slack = state.limits.retry_slack / max(1, len(state.entries))
    allowed = RETRY_SAFETY * (state.limits.retry_ratio * len(current.requests) + slack)
    if len(current.repeats) + 1 > allowed:
        return False
    current.repeats.append(at)
    return True
