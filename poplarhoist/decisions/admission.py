"""Requests that wait for an adapter: bounded, fair between callers, and only if it pays."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions.effects import SendMessage
from poplarhoist.decisions.messages import Demand, DemandItem, Expected
from poplarhoist.decisions.waiting import WaitQueue
from poplarhoist.models import AdapterRef, Reason

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import RequestState, State

DEMAND_AGAIN_S = 0.25
EXPECTED_VALID_S = 2.0


@define
class AdmissionState:
    """Waiting requests.

    Attributes
    ----------
    waiting : int
        Waiting requests over all adapter versions.
    by_priority : dict
        Their ids by priority, the latest last.
    waiting_refs : dict
        Adapter versions that requests wait for.
    deadlines : list
        Heap of deadlines of requests that do not run.
    dirty : dict
        Adapter versions of which the lead must be told.
    lingering : dict
        Adapter versions without waiting requests whose expected time is still remembered.
    no_lead_since : dict
        Since when no lead of a base model was heard of, by base model.
    """

    queues: dict[AdapterRef, WaitQueue] = field(factory=dict)
    waiting: int = 0
    by_priority: dict[int, OrderedDict[str, None]] = field(factory=dict)
    waiting_by_caller: dict[str, int] = field(factory=dict)
    waiting_refs: dict[AdapterRef, None] = field(factory=dict)
    deadlines: list[tuple[float, str]] = field(factory=list)
    dirty: dict[AdapterRef, None] = field(factory=dict)
    lingering: dict[AdapterRef, None] = field(factory=dict)
    no_lead_since: dict[str, float] = field(factory=dict)
    flush_due: float = 0.0


def note_arrival(state: State, request: RequestState) -> None:
    """Count a request as demand, whether it is served, waits or is refused."""
    queue = queue_of(state, request)
    queue.arrived += 1
    state.admission.dirty[request.ref] = None


def queue_of(state: State, request: RequestState) -> WaitQueue:
    """Return the queue for a request's adapter version, made on first use."""
    queue = state.admission.queues.get(request.ref)
    if queue is None:
        queue = state.admission.queues[request.ref] = WaitQueue(request.base)
    return queue


def why_not_wait(state: State, request: RequestState, at: float) -> Reason | None:
    """Return why a request may not wait; None if it may."""
    preset = state.config.preset
    admission = state.admission
    expected_s = expected_wait_s(state, request, at)
    if expected_s is not None and at + expected_s > request.wait_deadline_at:
        return Reason.NOT_READY_IN_TIME
    if expected_s is None and lead_is_missing(state, request.base, at):
        return Reason.NOT_READY
    by_caller = admission.waiting_by_caller.get(request.caller, 0)
    if by_caller >= max(1.0, preset.queue_limit * state.limits.caller_queue_share):
        return Reason.CALLER_QUEUE_FULL
    if admission.waiting < preset.queue_limit:
        return None
    if admission.by_priority and min(admission.by_priority) < request.priority:
        return None
    return Reason.QUEUE_FULL


def displaced(state: State) -> str | None:
    """Return the waiting request that has to go if the queue is over its limit."""
    admission = state.admission
    if admission.waiting <= state.config.preset.queue_limit:
        return None
    return next(reversed(admission.by_priority[min(admission.by_priority)]))


def wait(state: State, request: RequestState, at: float, out: list[Effect], first=False) -> None:
    """Let a request wait for its adapter and tell the lead."""
    admission = state.admission
    queue = queue_of(state, request)
    queue.add(request, first)
    admission.waiting += 1
    admission.by_priority.setdefault(request.priority, OrderedDict())[request.request_id] = None
    callers = admission.waiting_by_caller
    callers[request.caller] = callers.get(request.caller, 0) + 1
    admission.waiting_refs[request.ref] = None
    admission.dirty[request.ref] = None
    watch_deadline(state, request)
    if at - queue.told_at >= DEMAND_AGAIN_S:
        flush(state, [request.ref], at, out)


def watch_deadline(state: State, request: RequestState) -> None:
    """See to it that a request that does not run is looked at when its deadline passes."""
    item = (request.wait_deadline_at, request.request_id)
    heapq.heappush(state.admission.deadlines, item)


def remove(state: State, request: RequestState) -> None:
    """Take one request out of its queue."""
    admission = state.admission
    queue = admission.queues[request.ref]
    queue.remove(request)
    admission.waiting -= 1
    admission.dirty[request.ref] = None
    if not queue.members:
        del admission.waiting_refs[request.ref]
    same_priority = admission.by_priority[request.priority]
    del same_priority[request.request_id]
    if not same_priority:
        del admission.by_priority[request.priority]
    callers = admission.waiting_by_caller
    callers[request.caller] -= 1
    if not callers[request.caller]:
        del callers[request.caller]


def next_waiting(state: State, ref: AdapterRef) -> RequestState | None:
    """Return the next request that waits for an adapter version; it stays in the queue."""
    if ref not in state.admission.waiting_refs:
        return None
    return state.requests[state.admission.queues[ref].peek()]


def expected_wait_s(state: State, request: RequestState, at: float) -> float | None:
    """Return the expected wait for a request's adapter, or None if unknown."""
    queue = state.admission.queues.get(request.ref)
    if queue is None or queue.expected_at is None:
        return None
    if at - queue.expected_told_at > EXPECTED_VALID_S:
        return None
    return max(0.0, queue.expected_at - at)


def on_expected(state: State, message: Expected, at: float) -> list[str]:
    """Take the lead's estimate; return the requests for which it comes too late."""
    queue = state.admission.queues.get(message.ref)
    if queue is None:
        return []
    queue.expected_at = at + message.ready_in_s
    queue.expected_told_at = at
    return queue.take_late(queue.expected_at)


def expired(state: State, at: float) -> list[RequestState]:
    """Return the requests that do not run and whose deadline has passed, each once."""
    heap = state.admission.deadlines
    found: dict[str, RequestState] = {}
    while heap and heap[0][0] <= at:
        _, request_id = heapq.heappop(heap)
        request = state.requests.get(request_id)
        if request is None or request.stage in ("running", "recording"):
            continue
        if request.wait_deadline_at <= at:
            found[request_id] = request
    return list(found.values())


def note_leads(state: State, at: float) -> None:
    """Note which base models have no lead that was heard of lately."""
    since = state.admission.no_lead_since
    oldest = at - state.limits.peer_timeout_s
    for base in state.members.engines_by_base:
        view = state.leadership.leases_by_base.get(base)
        heard = view is not None and view.holder and view.lead_heard_at >= oldest
        if heard or base in state.boards:
            since.pop(base, None)
        else:
            since.setdefault(base, at)


def lead_is_missing(state: State, base: str, at: float) -> bool:
    """Return whether no lead was heard of for longer than a change of leads takes."""
    since = state.admission.no_lead_since.get(base)
    return since is not None and at - since >= state.limits.lead_missing_s


def without_lead(state: State, at: float) -> list[RequestState]:
    """Return the requests that wait for a grant which no lead is there to give."""
    if not state.admission.no_lead_since:
        return []
    found = []
    for ref in state.admission.waiting_refs:
        queue = state.admission.queues[ref]
        if not lead_is_missing(state, queue.base, at) or ref in state.grants.by_ref:
            continue
        if at - queue.expected_told_at > EXPECTED_VALID_S:
            found += [state.requests[request_id] for request_id in queue.members]
    return sorted(found, key=lambda request: request.arrived_at)


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Tell the leads of demand that changed, and again of what still waits."""
    admission = state.admission
    if at < admission.flush_due:
        return
    admission.flush_due = at + DEMAND_AGAIN_S
    note_leads(state, at)
    flush(state, list(admission.dirty | admission.waiting_refs), at, out)
    for ref in list(admission.lingering):
        drop_if_idle(state, ref, at)


def flush(state: State, refs: list[AdapterRef], at: float, out: list[Effect]) -> None:
    """Tell the leads of the demand for some adapter versions."""
    items_by_base: dict[str, list[DemandItem]] = {}
    for ref in refs:
        queue = state.admission.queues[ref]
        view = state.leadership.leases_by_base.get(queue.base)
        if view is None or not view.holder:
            continue
        items_by_base.setdefault(queue.base, []).append(demand_item(ref, queue, at))
        queue.told_at = at
        queue.arrived = 0
        state.admission.dirty.pop(ref, None)
        if not queue.members:
            drop_if_idle(state, ref, at)
    for base, items in items_by_base.items():
        holder = state.leadership.leases_by_base[base].holder
        out.append(SendMessage(holder, Demand(base, tuple(items))))


def drop_if_idle(state: State, ref: AdapterRef, at: float) -> None:
    """Forget an adapter version that nothing waits for once its expected time is stale."""
    admission = state.admission
    queue = admission.queues[ref]
    if queue.members:
        admission.lingering.pop(ref, None)
    elif at - queue.expected_told_at <= EXPECTED_VALID_S or ref in admission.dirty:
        admission.lingering[ref] = None
    else:
        admission.lingering.pop(ref, None)
        del admission.queues[ref]


def demand_item(ref: AdapterRef, queue: WaitQueue, at: float) -> DemandItem:
    """Describe the demand for one adapter version."""
    oldest_s = max(0.0, at - queue.oldest_at()) if queue.members else 0.0
    waiting = len(queue.members)
    return DemandItem(ref, waiting, oldest_s, queue.arrived, queue.top_priority())
