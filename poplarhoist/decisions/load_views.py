"""Estimates the load of each endpoint between two of its reports."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from poplarhoist.decisions.state import State
    from poplarhoist.models import EndpointReport

MAX_CHANGES = 512
INITIAL_SERVICE_TIME_S = 1.0
SERVICE_TIME_SMOOTHING = 0.1


@define
class LoadView:
    """Load of an endpoint as this entry sees it.

    Attributes
    ----------
    own : int
        Attempts of this entry that run there now.
    own_at_report, others_at_report : int
        Attempts of this entry, and requests of other entries, when the last report was sampled.
    own_changes : deque
        Changes of ``own`` since that sample: time and new value.
    service_time_s : float
        Exponentially smoothed duration of an attempt there, in seconds.
    """

    own: int = 0
    own_at_report: int = 0
    others_at_report: int = 0
    own_changes: deque[tuple[float, int]] = field(factory=lambda: deque(maxlen=MAX_CHANGES))
    service_time_s: float = INITIAL_SERVICE_TIME_S

    @property
    def total(self) -> int:
        """Requests there, assuming that those of other entries did not change since the report."""
        return self.own + self.others_at_report

    def estimate(self, other_entries: int) -> float:
        """Return the requests there, assuming that other entries added as many as this one.

        Entries see the same reports, so without this assumption they would all select the same
        endpoint until the next report.

        Parameters
        ----------
        other_entries : int
            Number of other entries.
        """
        change = self.own - self.own_at_report
        return max(self.own, self.total + other_entries * change)


def get_or_create_load(state: State, endpoint: str) -> LoadView:
    """Return the load of an endpoint; create it if there is none."""
    load = state.routing.loads_by_endpoint.get(endpoint)
    if load is None:
        load = state.routing.loads_by_endpoint[endpoint] = LoadView()
    return load


def on_report(state: State, report: EndpointReport, sampled_at: float) -> None:
    """Update the load of an endpoint from a report that was sampled at ``sampled_at``.

    The attempts of this entry at that time are subtracted, so that they do not count twice.
    """
    load = get_or_create_load(state, report.endpoint)
    while load.own_changes and load.own_changes[0][0] <= sampled_at:
        load.own_at_report = load.own_changes.popleft()[1]
    load.others_at_report = max(0, report.running + report.waiting - load.own_at_report)


def on_attempt_started(state: State, endpoint: str, at: float) -> None:
    """Count an attempt that starts at an endpoint."""
    load = get_or_create_load(state, endpoint)
    load.own += 1
    load.own_changes.append((at, load.own))


def on_attempt_ended(state: State, endpoint: str, took_s: float, at: float) -> None:
    """Count an attempt that ended at an endpoint after ``took_s`` seconds."""
    load = get_or_create_load(state, endpoint)
    load.own = max(0, load.own - 1)
    load.own_changes.append((at, load.own))
    load.service_time_s += SERVICE_TIME_SMOOTHING * (took_s - load.service_time_s)


def estimate_load(state: State, endpoint: str) -> float:
    """Return the estimated number of requests at an endpoint now."""
    return get_or_create_load(state, endpoint).estimate(len(state.members.peers))
