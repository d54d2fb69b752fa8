"""The queue of requests that wait for one adapter version.

No operation iterates over the whole queue.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from poplarhoist.decisions.state import RequestState


@define
class WaitQueue:
    """Requests that wait for one adapter version: by priority, then round-robin over callers.

    Attributes
    ----------
    base : str
        Base model of the adapter.
    by_priority : dict
        Request ids by priority and caller; the caller whose turn is next comes first.
    request_ids : set
        Ids of the waiting requests.
    arrival_heap, deadline_heap : list
        Heaps of times and request ids; ids that no longer wait are skipped when popped.
    arrivals_unreported : int
        Requests that arrived since the demand was last sent to the lead, queued or not.
    demand_sent_at : float
        When the demand was last sent to the lead.
    expected_ready_at : float or None
        When the adapter is expected to be ready; None without an estimate.
    estimate_received_at : float
        When that estimate was received from the lead.
    """

    base: str
    by_priority: dict[int, OrderedDict[str, OrderedDict[str, None]]] = field(factory=dict)
    request_ids: set[str] = field(factory=set)
    arrival_heap: list[tuple[float, str]] = field(factory=list)
    deadline_heap: list[tuple[float, str]] = field(factory=list)
    arrivals_unreported: int = 0
    demand_sent_at: float = float("-inf")
    expected_ready_at: float | None = None
    estimate_received_at: float = float("-inf")

    def add(self, request: RequestState, at_front: bool = False) -> None:
        """Add a request; ``at_front`` puts it before the others of its caller."""
        by_caller = self.by_priority.setdefault(request.priority, OrderedDict())
        queue = by_caller.setdefault(request.caller, OrderedDict())
        queue[request.request_id] = None
        if at_front:
            queue.move_to_end(request.request_id, last=False)
        self.request_ids.add(request.request_id)
        heapq.heappush(self.arrival_heap, (request.arrived_at, request.request_id))
        heapq.heappush(self.deadline_heap, (request.wait_deadline_at, request.request_id))

    def peek(self) -> str:
        """Return the id of the next request; the queue must not be empty."""
        by_caller = self.by_priority[max(self.by_priority)]
        return next(iter(next(iter(by_caller.values()))))

    def remove(self, request: RequestState) -> None:
        """Remove a request; if its caller had the turn, the turn passes to the next caller."""
        by_caller = self.by_priority[request.priority]
        had_turn = next(iter(by_caller)) == request.caller
        queue = by_caller[request.caller]
        del queue[request.request_id]
        if not queue:
            del by_caller[request.caller]
        elif had_turn:
            by_caller.move_to_end(request.caller)
        if not by_caller:
            del self.by_priority[request.priority]
        self.request_ids.discard(request.request_id)

    def highest_priority(self) -> int:
        """Return the highest priority of the waiting requests; 0 if none waits."""
        return max(self.by_priority, default=0)

    def oldest_at(self) -> float:
        """Return when the oldest waiting request arrived; infinity if none waits."""
        while self.arrival_heap and self.arrival_heap[0][1] not in self.request_ids:
            heapq.heappop(self.arrival_heap)
        return self.arrival_heap[0][0] if self.arrival_heap else float("inf")

    def pop_late(self, ready_at: float) -> list[str]:
        """Return the ids of the waiting requests whose deadline is before ``ready_at``.

        They stay in the queue, but no later call returns them again.
        """
        late: dict[str, None] = {}
        while self.deadline_heap and self.deadline_heap[0][0] < ready_at:
            _, request_id = heapq.heappop(self.deadline_heap)
            if request_id in self.request_ids:
                late[request_id] = None
        return list(late)
