"""Requests that wait for an adapter.

The queue is bounded, fair between callers, and takes only requests that can be served in time.
The leads are told of the demand, and answer with estimates of when adapters are ready.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions.effects import SendMessage
from poplarhoist.decisions.messages import Demand, DemandItem, Expected
from poplarhoist.decisions.wait_queue import WaitQueue
from poplarhoist.models import AdapterRef, Reason

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import RequestState, State

DEMAND_RESEND_INTERVAL_S = 0.25
ESTIMATE_TTL_S = 2.0


@define
class AdmissionState:
    """Waiting requests of this entry.

    Attributes
    ----------
    queues : dict
        Wait queues by adapter version, also those that are empty but not dropped yet.
    waiting_count : int
        Number of waiting requests over all adapter versions.
    waiting_by_priority : dict
        Ids of the waiting requests by priority, in the order in which they were queued.
    waiting_by_caller : dict
        Number of waiting requests by caller.
    waiting_refs : dict
        Adapter versions with waiting requests.
    deadline_heap : list
        Heap of deadlines and ids of pending requests; outdated items are skipped when popped.
    unreported_refs : dict
        Adapter versions whose demand changed since the lead was last told.
    idle_refs : dict
        Adapter versions without waiting requests whose queue is kept, because its estimate is
        still valid or its demand not reported yet.
    no_lead_since : dict
        When the entry noticed that a base model has no known lead, by base model.
    next_flush_at : float
        When to send the demand to the leads next.
    """

    queues: dict[AdapterRef, WaitQueue] = field(factory=dict)
    waiting_count: int = 0
    waiting_by_priority: dict[int, OrderedDict[str, None]] = field(factory=dict)
    waiting_by_caller: dict[str, int] = field(factory=dict)
    waiting_refs: dict[AdapterRef, None] = field(factory=dict)
    deadline_heap: list[tuple[float, str]] = field(factory=list)
    unreported_refs: dict[AdapterRef, None] = field(factory=dict)
    idle_refs: dict[AdapterRef, None] = field(factory=dict)
    no_lead_since: dict[str, float] = field(factory=dict)
    next_flush_at: float = 0.0


def count_arrival(state: State, request: RequestState) -> None:
    """Count a request as demand for its adapter, whether it is served, queued or refused."""
    queue = get_or_create_queue(state, request)
    queue.arrivals_unreported += 1
    state.admission.unreported_refs[request.ref] = None


def get_or_create_queue(state: State, request: RequestState) -> WaitQueue:
    """Return the queue for a request's adapter version; create it if there is none."""
    queue = state.admission.queues.get(request.ref)
    if queue is None:
        queue = state.admission.queues[request.ref] = WaitQueue(request.base)
    return queue


def rejection_reason(state: State, request: RequestState, at: float) -> Reason | None:
    """Return the reason why a request may not be queued; None if it may.

    A request may be queued beyond the limit if one of lower priority waits, which is then refused
    (see ``select_overflow_victim``).
    """
    preset = state.config.preset
    admission = state.admission
    expected_s = expected_wait_s(state, request, at)
    if expected_s is not None and at + expected_s > request.wait_deadline_at:
        return Reason.NOT_READY_IN_TIME
    if expected_s is None and is_lead_missing(state, request.base, at):
        return Reason.NOT_READY
    by_caller = admission.waiting_by_caller.get(request.caller, 0)
    if by_caller >= max(1.0, preset.queue_limit * state.limits.caller_queue_share):
        return Reason.CALLER_QUEUE_FULL
    if admission.waiting_count < preset.queue_limit:
        return None
    if admission.waiting_by_priority and min(admission.waiting_by_priority) < request.priority:
        return None
    return Reason.QUEUE_FULL


def select_overflow_victim(state: State) -> str | None:
    """Return the request to refuse because the queue is over its limit; None if it is not.

    It is the last one queued of the lowest priority.
    """
    admission = state.admission
    if admission.waiting_count <= state.config.preset.queue_limit:
        return None
    return next(reversed(admission.waiting_by_priority[min(admission.waiting_by_priority)]))


def enqueue(
    state: State, request: RequestState, at: float, out: list[Effect], at_front=False
) -> None:
    """Put a request in the queue for its adapter, and tell the lead of the demand.

    Parameters
    ----------
    at_front : bool
        Whether it goes before the other requests of its caller, as a retry does.
    """
    admission = state.admission
    queue = get_or_create_queue(state, request)
    queue.add(request, at_front)
    admission.waiting_count += 1
    admission.waiting_by_priority.setdefault(request.priority, OrderedDict())[
        request.request_id
    ] = None
    callers = admission.waiting_by_caller
    callers[request.caller] = callers.get(request.caller, 0) + 1
    admission.waiting_refs[request.ref] = None
    admission.unreported_refs[request.ref] = None
    schedule_deadline(state, request)
    if at - queue.demand_sent_at >= DEMAND_RESEND_INTERVAL_S:
        send_demand(state, [request.ref], at, out)


def schedule_deadline(state: State, request: RequestState) -> None:
    """Make ``pop_expired`` return a pending request once its deadline has passed."""
    item = (request.wait_deadline_at, request.request_id)
    heapq.heappush(state.admission.deadline_heap, item)


def dequeue(state: State, request: RequestState) -> None:
    """Remove a request from its queue."""
    admission = state.admission
    queue = admission.queues[request.ref]
    queue.remove(request)
    admission.waiting_count -= 1
    admission.unreported_refs[request.ref] = None
    if not queue.request_ids:
        del admission.waiting_refs[request.ref]
    same_priority = admission.waiting_by_priority[request.priority]
    del same_priority[request.request_id]
    if not same_priority:
        del admission.waiting_by_priority[request.priority]
    callers = admission.waiting_by_caller
    callers[request.caller] -= 1
    if not callers[request.caller]:
        del callers[request.caller]


def next_waiting(state: State, ref: AdapterRef) -> RequestState | None:
    """Return the next request of a queue without removing it; None if no request waits."""
    if ref not in state.admission.waiting_refs:
        return None
    return state.requests[state.admission.queues[ref].peek()]


def expected_wait_s(state: State, request: RequestState, at: float) -> float | None:
    """Return the expected wait for a request's adapter in seconds, by the lead's estimate.

    None if the lead has sent no estimate within ``ESTIMATE_TTL_S``.
    """
    queue = state.admission.queues.get(request.ref)
    if queue is None or queue.expected_ready_at is None:
        return None
    if at - queue.estimate_received_at > ESTIMATE_TTL_S:
        return None
    return max(0.0, queue.expected_ready_at - at)


def on_expected(state: State, message: Expected, at: float) -> list[str]:
    """Store the lead's estimate of when an adapter is ready.

    Returns
    -------
    list of str
        Ids of the waiting requests whose deadline is before that time.
    """
    queue = state.admission.queues.get(message.ref)
    if queue is None:
        return []
    queue.expected_ready_at = at + message.ready_in_s
    queue.estimate_received_at = at
    return queue.pop_late(queue.expected_ready_at)


def pop_expired(state: State, at: float) -> list[RequestState]:
    """Remove and return the pending requests whose deadline has passed, each once."""
    heap = state.admission.deadline_heap
    expired_by_id: dict[str, RequestState] = {}
    while heap and heap[0][0] <= at:
        _, request_id = heapq.heappop(heap)
        request = state.requests.get(request_id)
        # Not pending. Stage cannot be imported here, as state.py imports this module.
        if request is None or request.stage in ("running", "recording"):
            continue
        if request.wait_deadline_at <= at:
            expired_by_id[request_id] = request
    return list(expired_by_id.values())


def update_missing_leads(state: State, at: float) -> None:
    """Update since when each base model has no lead that this entry heard of lately."""
    since = state.admission.no_lead_since
    heard_after = at - state.limits.peer_timeout_s
    for base in state.members.engines_by_base:
        view = state.leadership.leases_by_base.get(base)
        has_lead = view is not None and view.holder and view.lead_heard_at >= heard_after
        # state.boards has the base models that this entry leads itself.
        if has_lead or base in state.boards:
            since.pop(base, None)
        else:
            since.setdefault(base, at)


def is_lead_missing(state: State, base: str, at: float) -> bool:
    """Return whether a base model has had no lead for longer than a change of leads takes."""
    since = state.admission.no_lead_since.get(base)
    return since is not None and at - since >= state.limits.lead_missing_s


def find_without_lead(state: State, at: float) -> list[RequestState]:
    """Return the requests that wait for a grant while no lead can give one, oldest first.

    Requests with a valid estimate are left out, as a lead was heard of recently.
    """
    if not state.admission.no_lead_since:
        return []
    without_lead = []
    for ref in state.admission.waiting_refs:
        queue = state.admission.queues[ref]
        if not is_lead_missing(state, queue.base, at) or ref in state.grants.by_ref:
            continue
        if at - queue.estimate_received_at > ESTIMATE_TTL_S:
            without_lead += [state.requests[request_id] for request_id in queue.request_ids]
    return sorted(without_lead, key=lambda request: request.arrived_at)


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Report changed demand and repeat that of waiting requests; drop idle queues.

    Runs at most once per ``DEMAND_RESEND_INTERVAL_S``.
    """
    admission = state.admission
    if at < admission.next_flush_at:
        return
    admission.next_flush_at = at + DEMAND_RESEND_INTERVAL_S
    update_missing_leads(state, at)
    send_demand(state, list(admission.unreported_refs | admission.waiting_refs), at, out)
    for ref in list(admission.idle_refs):
        drop_queue_if_idle(state, ref, at)


def send_demand(state: State, refs: list[AdapterRef], at: float, out: list[Effect]) -> None:
    """Send the demand for adapter versions to their leads; skip those without a known lead."""
    items_by_base: dict[str, list[DemandItem]] = {}
    for ref in refs:
        queue = state.admission.queues[ref]
        view = state.leadership.leases_by_base.get(queue.base)
        if view is None or not view.holder:
            continue
        items_by_base.setdefault(queue.base, []).append(build_demand_item(ref, queue, at))
        queue.demand_sent_at = at
        queue.arrivals_unreported = 0
        state.admission.unreported_refs.pop(ref, None)
        if not queue.request_ids:
            drop_queue_if_idle(state, ref, at)
    for base, items in items_by_base.items():
        holder = state.leadership.leases_by_base[base].holder
        out.append(SendMessage(holder, Demand(base, tuple(items))))


def drop_queue_if_idle(state: State, ref: AdapterRef, at: float) -> None:
    """Drop an empty queue once its estimate has expired and its demand was reported."""
    admission = state.admission
    queue = admission.queues[ref]
    if queue.request_ids:
        admission.idle_refs.pop(ref, None)
    elif at - queue.estimate_received_at <= ESTIMATE_TTL_S or ref in admission.unreported_refs:
        admission.idle_refs[ref] = None
    else:
        admission.idle_refs.pop(ref, None)
        del admission.queues[ref]


def build_demand_item(ref: AdapterRef, queue: WaitQueue, at: float) -> DemandItem:
    """Build the message part with the demand for one adapter version."""
    oldest_s = max(0.0, at - queue.oldest_at()) if queue.request_ids else 0.0
    waiting = len(queue.request_ids)
    return DemandItem(ref, waiting, oldest_s, queue.arrivals_unreported, queue.highest_priority())
