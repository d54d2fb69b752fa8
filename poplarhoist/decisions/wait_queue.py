"""The queue of requests that wait for one adapter version; no operation walks through it."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from poplarhoist.decisions.state import RequestState


@define
class WaitQueue:
    """Requests that wait for one adapter version, by priority and caller in turn.

    Attributes
    ----------
    members : set
        Ids of the waiting requests.
    arrivals, deadlines : list
        Heaps of times and request ids; ids that are no members are skipped.
    arrived : int
        Requests that arrived since the lead was last told.
    told_at : float
        When the lead was last told.
    expected_at, expected_told_at : float or None, float
        When the lead expects the adapter version to be ready, and when it said so.
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
        """Put a request in the queue; ``first`` puts it before others of its caller."""
        by_caller = self.by_priority.setdefault(request.priority, OrderedDict())
        queue = by_caller.setdefault(request.caller, OrderedDict())
        queue[request.request_id] = None
        if at_front:
            queue.move_to_end(request.request_id, last=False)
        self.request_ids.add(request.request_id)
        heapq.heappush(self.arrival_heap, (request.arrived_at, request.request_id))
        heapq.heappush(self.deadline_heap, (request.deadline_at, request.request_id))

    def peek(self) -> str:
        """Return the next request: highest priority, then callers in turn."""
        by_caller = self.by_priority[max(self.by_priority)]
        return next(iter(next(iter(by_caller.values()))))

    def remove(self, request: RequestState) -> None:
        """Take a request out; the turn goes to the next caller if it was this one's."""
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
        """Return the highest priority of the waiting requests; 0 if there is none."""
        return max(self.by_priority, default=0)

    def oldest_at(self) -> float:
        """Return when the oldest waiting request arrived; infinity if there is none."""
        while self.arrival_heap and self.arrival_heap[0][1] not in self.request_ids:
            heapq.heappop(self.arrival_heap)
        return self.arrival_heap[0][0] if self.arrival_heap else float("inf")

    def pop_late(self, ready_at: float) -> list[str]:
        """Return the waiting requests whose deadline is before the adapter is ready."""
        late: dict[str, None] = {}
        while self.deadline_heap and self.deadline_heap[0][0] < ready_at:
            _, request_id = heapq.heappop(self.deadline_heap)
            if request_id in self.request_ids:
                late[request_id] = None
        return list(late)
