"""Byte budget for traffic to other regions.

The link to other regions is paid for and narrow, so the live entries share its rate equally.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from poplarhoist.decisions.effects import Count
from poplarhoist.decisions.membership import live_entries

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

BURST_S = 1.0
SHARE_REFRESH_S = 1.0


@define
class CrossRegionState:
    """A token bucket of bytes, held in ``State.crossing``.

    Attributes
    ----------
    tokens : float
        Bytes that may be sent now. Negative after large answers, whose size is known only when
        they have been received.
    share_bytes_per_s : float
        This entry's share of the link's rate.
    share_updated_at : float
        When that share was last computed from the number of live entries.
    """

    tokens: float = 0.0
    refilled_at: float = float("-inf")
    share_bytes_per_s: float = 0.0
    share_updated_at: float = float("-inf")


def is_cross_region(state: State, endpoint: str) -> bool:
    """Return whether an endpoint is in another region."""
    place = state.members.endpoints[endpoint].endpoint.place
    return place.region != state.me.place.region


def has_budget(state: State, at: float) -> bool:
    """Refill the bucket, and return whether a request may be sent to another region now."""
    bucket = state.crossing
    if at - bucket.share_updated_at >= SHARE_REFRESH_S:
        bucket.share_updated_at = at
        entries = len(live_entries(state, at))
        bucket.share_bytes_per_s = state.limits.crossing_bytes_per_s / entries
    capacity = bucket.share_bytes_per_s * BURST_S
    earned = (at - bucket.refilled_at) * bucket.share_bytes_per_s
    bucket.tokens = min(capacity, bucket.tokens + earned)
    bucket.refilled_at = at
    return bucket.tokens > 0.0


def charge(state: State, endpoint: str, size: int, direction: str, out: list[Effect]) -> None:
    """Charge bytes sent to or received from an endpoint, if it is in another region.

    Parameters
    ----------
    size : int
        Number of bytes.
    direction : str
        Label of the metric: ``out`` for requests, ``in`` for answers.
    """
    if not size or endpoint not in state.members.endpoints or not is_cross_region(state, endpoint):
        return
    state.crossing.tokens -= size
    out.append(Count("crossing_bytes", (direction,), size))
