"""What an entry believes of the load of each endpoint between two of its reports."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from poplarhoist.decisions.state import State
    from poplarhoist.models import EndpointReport

CHANGES_KEPT = 512
SERVICE_S = 1.0
SERVICE_SMOOTHING = 0.1


@define
class LoadView:
    """Load of an endpoint as this entry sees it.

    Attributes
    ----------
    mine : int
        Attempts of this entry that run there.
    mine_then, others_then : int
        Attempts of this entry and requests of others when the last report was sampled.
    changes : deque
        Times at which ``mine`` changed since then, with its new value.
    service_s : float
        Smoothed time that an attempt takes there.
    """

    mine: int = 0
    mine_then: int = 0
    others_then: int = 0
    changes: deque[tuple[float, int]] = field(factory=lambda: deque(maxlen=CHANGES_KEPT))
    service_s: float = SERVICE_S

    @property
    def total(self) -> int:
        """Requests there if the others' have not changed since the last report."""
        return self.mine + self.others_then

    def estimate(self, others: int) -> float:
        """Return the requests there if other entries have done as this one since the report.

        Entries see the same reports, so without this they all pick the same endpoint.

        Parameters
        ----------
        others : int
            Number of other entries.
        """
        change = self.mine - self.mine_then
        return max(self.mine, self.total + others * change)


def load_of(state: State, endpoint: str) -> LoadView:
    """Return the load of an endpoint, made on first use."""
    load = state.routing.loads.get(endpoint)
    if load is None:
        load = state.routing.loads[endpoint] = LoadView()
    return load


def on_report(state: State, report: EndpointReport, sampled_at: float) -> None:
    """Correct the load of an endpoint by a report, as of the time of its sample."""
    load = load_of(state, report.endpoint)
    while load.changes and load.changes[0][0] <= sampled_at:
        load.mine_then = load.changes.popleft()[1]
    load.others_then = max(0, report.running + report.waiting - load.mine_then)


def started(state: State, endpoint: str, at: float) -> None:
    """Count an attempt that starts at an endpoint."""
    load = load_of(state, endpoint)
    load.mine += 1
    load.changes.append((at, load.mine))


def finished(state: State, endpoint: str, took_s: float, at: float) -> None:
    """Count an attempt that ended at an endpoint."""
    load = load_of(state, endpoint)
    load.mine = max(0, load.mine - 1)
    load.changes.append((at, load.mine))
    load.service_s += SERVICE_SMOOTHING * (took_s - load.service_s)


def estimate(state: State, endpoint: str) -> float:
    """Return how many requests are expected at an endpoint now."""
    return load_of(state, endpoint).estimate(len(state.members.peers))
