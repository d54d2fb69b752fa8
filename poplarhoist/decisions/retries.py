"""Whether a request may be tried again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from poplarhoist.decisions.state import RequestState, State


@define
class RetryState:
    """The retry budget: a share of fresh requests, and a burst on top.

    Attributes
    ----------
    credit : float
        Retries allowed now.
    """

    credit: float = 10.0


def note_fresh(state: State) -> None:
    """Earn retry credit by a fresh request."""
    limits = state.limits
    state.retries.credit = min(limits.retry_burst, state.retries.credit + limits.retry_share)


def take_credit(state: State) -> bool:
    """Spend credit for one retry; return False if there is none."""
    if state.retries.credit < 1.0:
        return False
    state.retries.credit -= 1.0
    return True


def attempts_left(state: State, request: RequestState) -> bool:
    """Return whether a request has attempts left."""
    return request.attempt < state.limits.attempts
