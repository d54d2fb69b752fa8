"""Explains what would become of a request now, by a dry run on a copy of the state."""

from __future__ import annotations

import copy
import enum

from attrs import frozen

from poplarhoist.decisions import admission, grants, membership, routing
from poplarhoist.decisions import effects as fx
from poplarhoist.decisions.events import RequestArrived
from poplarhoist.decisions.reducer import reduce
from poplarhoist.decisions.state import State
from poplarhoist.models import AdapterRef, Endpoint

EXPLAIN_REQUEST_ID = "explain"


class Verdict(enum.StrEnum):
    """What becomes of a request."""

    DISPATCHED = "dispatched"
    WAITS = "waits"
    REFUSED = "refused"


@frozen
class Question:
    """A hypothetical request.

    Attributes
    ----------
    model : str
        Model name as a caller would write it: an adapter's name, or ``name@version``.
    caller : str
        Name of the caller.
    deadline_s : float
        Seconds that the caller would wait for the first byte.
    """

    model: str
    caller: str
    deadline_s: float


@frozen
class Candidate:
    """An engine of the adapter's base model.

    Attributes
    ----------
    resident : bool
        Whether its last report names the adapter version as resident.
    granted : bool
        Whether this entry holds a grant for the adapter version there that is not recalled.
    usable : bool
        Whether it may get new work.
    room : bool
        Whether it can take one more request without a long queue.
    load : float
        Estimated requests there as a share of its batch.
    wait_s : float
        Expected queueing time of one more request, in seconds.
    """

    endpoint: str
    zone: str
    resident: bool
    granted: bool
    usable: bool
    room: bool
    load: float
    wait_s: float


@frozen
class Explanation:
    """What would become of a request now, and why.

    Attributes
    ----------
    entry : str
        Entry that answers.
    revision : int
        Configuration revision in force there.
    reason : str
        Reason of the refusal; empty if it is not refused.
    retry_after_s : float
        Seconds after which the caller may retry a refused request.
    endpoint : str
        Endpoint that it is sent to; empty if it is not dispatched.
    ref, base : str
        Adapter version and base model; empty if they cannot be resolved.
    lead : str
        Entry that is the lead for the base model; empty if none is known.
    waiting : int
        Requests that wait for the adapter version at this entry.
    ready_in_s : float or None
        Expected wait for the adapter in seconds; None without a valid estimate from the lead.
    candidates : tuple
        Engines of the base model, by name.
    """

    entry: str
    revision: int
    preset: str
    verdict: Verdict
    reason: str = ""
    retry_after_s: float = 0.0
    endpoint: str = ""
    ref: str = ""
    base: str = ""
    lead: str = ""
    waiting: int = 0
    ready_in_s: float | None = None
    candidates: tuple[Candidate, ...] = ()


def explain(state: State, question: Question, at: float) -> Explanation:
    """Return what would become of a request that arrived now.

    Parameters
    ----------
    state : State
        State of this entry; it is copied, not changed.
    """
    copied_state = copy_state(state)
    event = RequestArrived(
        at=at,
        request_id=EXPLAIN_REQUEST_ID,
        token_sha256=find_token_digest(copied_state, question.caller),
        target=question.model,
        deadline_s=question.deadline_s,
    )
    effects = reduce(copied_state, event)
    common = {
        "entry": state.me.name,
        "revision": state.config.revision,
        "preset": state.config.preset.name,
    }
    for effect in effects:
        if isinstance(effect, fx.Refuse) and effect.request_id == EXPLAIN_REQUEST_ID:
            refusal = effect.refusal
            common |= {"reason": refusal.reason, "retry_after_s": refusal.retry_after_s}
            return Explanation(
                verdict=Verdict.REFUSED, **common, **describe_adapter(state, question)
            )
    request = copied_state.requests[EXPLAIN_REQUEST_ID]
    dispatched = any(
        isinstance(e, fx.Dispatch) and e.request_id == EXPLAIN_REQUEST_ID for e in effects
    )
    verdict = Verdict.DISPATCHED if dispatched else Verdict.WAITS
    return Explanation(
        verdict=verdict,
        endpoint=request.endpoint,
        ready_in_s=admission.expected_wait_s(copied_state, request, at),
        **common,
        **describe_adapter(state, question),
    )


def copy_state(state: State) -> State:
    """Return a deep copy that shares the configuration and services, as no request changes them."""
    memo = {id(state.config): state.config, id(state.services): state.services}
    return copy.deepcopy(state, memo)


def find_token_digest(state: State, caller: str) -> str:
    """Return the digest of a caller's token; empty if the caller is unknown."""
    for digest, known in state.config.callers_by_digest.items():
        if known.name == caller:
            return digest
    return ""


def describe_adapter(state: State, question: Question) -> dict[str, object]:
    """Return the fields of an explanation about the adapter that a request names.

    Empty if the adapter is unknown, and only the base model if the version is unknown.
    """
    name, separator, version = question.model.partition("@")
    adapter = state.config.adapters_by_name.get(name)
    if adapter is None:
        return {}
    number = version if separator else str(adapter.current)
    if number not in adapter.versions:
        return {"base": adapter.base}
    ref = AdapterRef(name, int(number))
    view = state.leadership.leases_by_base.get(adapter.base)
    queue = state.admission.queues.get(ref)
    engines = sorted(state.members.engines_by_base.get(adapter.base, ()))
    return {
        "base": adapter.base,
        "ref": str(ref),
        "lead": view.holder if view else "",
        "waiting": len(queue.request_ids) if queue else 0,
        "candidates": tuple(describe_candidate(state, ref, name) for name in engines),
    }


def describe_candidate(state: State, ref: AdapterRef, name: str) -> Candidate:
    """Describe an engine as a candidate for an adapter version."""
    view = state.members.endpoints[name]
    endpoint: Endpoint = view.endpoint
    held = grants.find(state, ref, name)
    return Candidate(
        endpoint=name,
        zone=endpoint.place.zone,
        resident=view.report is not None and str(ref) in view.report.resident,
        granted=held is not None and not held.recalled,
        usable=membership.is_endpoint_usable(state, name),
        room=routing.has_capacity(state, name),
        load=round(routing.batch_utilization(state, name), 3),
        wait_s=round(routing.expected_queue_s(state, name), 3),
    )
