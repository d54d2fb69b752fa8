"""Requests that wait for an adapter: bounded, fair between callers, and only if it pays."""

from __future__ import annotations

import heapq
from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions.effects import SendMessage
from poplarhoist.decisions.messages import Demand, DemandItem, Expected
from poplarhoist.models import AdapterRef

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import RequestState, State

DEMAND_AGAIN_S = 0.25
EXPECTED_VALID_S = 2.0


@define
class WaitQueue:
    """Requests that wait for one adapter version, by priority and caller in turn."""

    base: str
    by_priority: dict[int, dict[str, deque[str]]] = field(factory=dict)
    arrived: int = 0
    told_at: float = float("-inf")
    expected_at: float | None = None
    expected_told_at: float = float("-inf")

    def add(self, priority: int, caller: str, request_id: str, first: bool = False) -> None:
        """Put a request in the queue."""
        queue = self.by_priority.setdefault(priority, {}).setdefault(caller, deque())
        if first:
            queue.appendleft(request_id)
        else:
            queue.append(request_id)

    def pop(self) -> str | None:
        """Take the next request: highest priority, then callers in turn."""
        if not self.by_priority:
            return None
        priority = max(self.by_priority)
        by_caller = self.by_priority[priority]
        caller = next(iter(by_caller))
        queue = by_caller.pop(caller)
        request_id = queue.popleft()
        if queue:
            by_caller[caller] = queue
        elif not by_caller:
            del self.by_priority[priority]
        return request_id

    def remove(self, priority: int, caller: str, request_id: str) -> None:
        """Take a request out of the queue."""
        by_caller = self.by_priority.get(priority, {})
        queue = by_caller.get(caller)
        if queue is None or request_id not in queue:
            return
        queue.remove(request_id)
        if not queue:
            del by_caller[caller]
        if not by_caller:
            del self.by_priority[priority]

    def request_ids(self) -> list[str]:
        """Return all waiting requests."""
        return [
            request_id
            for by_caller in self.by_priority.values()
            for queue in by_caller.values()
            for request_id in queue
        ]


@define
class AdmissionState:
    """Waiting requests.

    Attributes
    ----------
    dirty : set
        Adapter versions of which the lead must be told.
    """

    queues: dict[AdapterRef, WaitQueue] = field(factory=dict)
    waiting: int = 0
    waiting_by_caller: dict[str, int] = field(factory=dict)
    deadlines: list[tuple[float, str]] = field(factory=list)
    dirty: set[AdapterRef] = field(factory=set)
    flush_due: float = 0.0


def note_arrival(state: State, request: RequestState) -> None:
    """Count a request as demand, whether it is served, waits or is refused."""
    queue = queue_of(state, request)
    queue.arrived += 1
    state.admission.dirty.add(request.ref)


def queue_of(state: State, request: RequestState) -> WaitQueue:
    """Return the queue for a request's adapter version, made on first use."""
    queue = state.admission.queues.get(request.ref)
    if queue is None:
        queue = state.admission.queues[request.ref] = WaitQueue(request.base)
    return queue


def wait(state: State, request: RequestState, at: float, out: list[Effect], first=False) -> None:
    """Let a request wait for its adapter and tell the lead."""
    admission = state.admission
    queue = queue_of(state, request)
    queue.add(request.priority, request.caller, request.request_id, first)
    admission.waiting += 1
    callers = admission.waiting_by_caller
    callers[request.caller] = callers.get(request.caller, 0) + 1
    watch_deadline(state, request)
    admission.dirty.add(request.ref)
    if at - queue.told_at >= DEMAND_AGAIN_S:
        flush(state, [request.ref], at, out)


def watch_deadline(state: State, request: RequestState) -> None:
    """See to it that a request that does not run is looked at when its deadline passes."""
    item = (request.deadline_at, request.request_id)
    heapq.heappush(state.admission.deadlines, item)


def left_queue(state: State, request: RequestState) -> None:
    """Count a request that waits no more."""
    admission = state.admission
    admission.waiting -= 1
    admission.dirty.add(request.ref)
    callers = admission.waiting_by_caller
    callers[request.caller] -= 1
    if not callers[request.caller]:
        del callers[request.caller]


def take_next(state: State, ref: AdapterRef) -> RequestState | None:
    """Take the next request that waits for an adapter version."""
    queue = state.admission.queues.get(ref)
    request_id = queue.pop() if queue else None
    if request_id is None:
        return None
    request = state.requests[request_id]
    left_queue(state, request)
    return request


def remove(state: State, request: RequestState) -> None:
    """Take one request out of its queue."""
    queue_of(state, request).remove(request.priority, request.caller, request.request_id)
    left_queue(state, request)


def expected_wait_s(state: State, request: RequestState, at: float) -> float | None:
    """Return the expected wait for a request's adapter, or None if unknown."""
    queue = state.admission.queues.get(request.ref)
    if queue is None or queue.expected_at is None:
        return None
    if at - queue.expected_told_at > EXPECTED_VALID_S:
        return None
    return max(0.0, queue.expected_at - at)


def on_expected(state: State, message: Expected, at: float) -> list[str]:
    """Take the lead's estimate; return the waiting requests that it concerns."""
    queue = state.admission.queues.get(message.ref)
    if queue is None:
        return []
    queue.expected_at = at + message.ready_in_s
    queue.expected_told_at = at
    return queue.request_ids()


def expired(state: State, at: float) -> list[RequestState]:
    """Return the requests that do not run and whose deadline has passed, each once."""
    heap = state.admission.deadlines
    found: dict[str, RequestState] = {}
    while heap and heap[0][0] <= at:
        _, request_id = heapq.heappop(heap)
        request = state.requests.get(request_id)
        if request is not None and request.stage not in ("running", "recording"):
            found[request_id] = request
    return list(found.values())


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Tell the leads of demand that changed, and again of what still waits."""
    admission = state.admission
    if at < admission.flush_due:
        return
    admission.flush_due = at + DEMAND_AGAIN_S
    waiting = [ref for ref, queue in admission.queues.items() if queue.by_priority]
    flush(state, sorted(admission.dirty.union(waiting)), at, out)


def flush(state: State, refs: list[AdapterRef], at: float, out: list[Effect]) -> None:
    """Tell the leads of the demand for some adapter versions."""
    items_by_base: dict[str, list[DemandItem]] = {}
    for ref in refs:
        queue = state.admission.queues[ref]
        view = state.leadership.by_base.get(queue.base)
        if view is None or not view.holder:
            continue
        items_by_base.setdefault(queue.base, []).append(demand_item(state, ref, queue, at))
        queue.told_at = at
        queue.arrived = 0
        state.admission.dirty.discard(ref)
        if not queue.by_priority:
            del state.admission.queues[ref]
    for base, items in items_by_base.items():
        holder = state.leadership.by_base[base].holder
        out.append(SendMessage(holder, Demand(base, tuple(items))))


def demand_item(state: State, ref: AdapterRef, queue: WaitQueue, at: float) -> DemandItem:
    """Describe the demand for one adapter version."""
    requests = [state.requests[request_id] for request_id in queue.request_ids()]
    oldest_s = max((at - request.arrived_at for request in requests), default=0.0)
    priority = max((request.priority for request in requests), default=0)
    return DemandItem(ref, len(requests), oldest_s, queue.arrived, priority)
