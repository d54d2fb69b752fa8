"""Calls that must not repeat: a create-only record before the run, the answer after it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions.effects import (
    Count,
    PlatformGet,
    PlatformPut,
    ReplayAnswer,
    RunCreate,
    RunFinish,
    RunRead,
)
from poplarhoist.decisions.events import CallStatus, PlatformAnswered
from poplarhoist.models import Ran, Reason

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import RequestState, State

RUN_PREFIX = "runs/"
STARTED = "started"
DONE = "done"


@define
class Run:
    """A record that this entry created.

    Attributes
    ----------
    version : int
        Version of the record; 0 until it is known to be created.
    """

    path: str
    nonce: str
    digest: str
    version: int = 0
    finish: dict[str, object] | None = None


@define
class RunState:
    """Records by request."""

    by_request: dict[str, Run] = field(factory=dict)
    created: int = 0


def begin(state: State, request: RequestState, out: list[Effect]) -> None:
    """Create the record of a call, before anything is sent to an endpoint."""
    state.runs.created += 1
    nonce = f"{state.boot}/{state.runs.created}"
    path = f"{RUN_PREFIX}{request.caller}/{request.key}"
    run = Run(path, nonce, request.digest)
    state.runs.by_request[request.request_id] = run
    value = record(state, run, STARTED, "")
    out.append(PlatformPut(path, value, 0, RunCreate(request.request_id, nonce)))


def record(state: State, run: Run, stage: str, answer: str) -> dict[str, object]:
    """Return the record's value."""
    return {
        "nonce": run.nonce,
        "holder": state.me.name,
        "digest": run.digest,
        "stage": stage,
        "answer": answer,
    }


def on_created(state: State, event: PlatformAnswered, out: list[Effect]) -> tuple[bool, Reason]:
    """Return whether the run may start, or else why the request is refused."""
    run = state.runs.by_request[event.purpose.request_id]
    if event.status is CallStatus.OK:
        run.version = event.version
        return True, Reason.RUN_NOT_RECORDED
    if event.status is CallStatus.REFUSED:
        del state.runs.by_request[event.purpose.request_id]
        return False, Reason.RUN_NOT_RECORDED
    out.append(PlatformGet(run.path, RunRead(event.purpose.request_id, run.nonce)))
    return False, Reason.RUN_IN_PROGRESS


def judge_record(state: State, request: RequestState, event: PlatformAnswered, out) -> object:
    """Compare a record that was read back with this call.

    Returns
    -------
    bool or Reason or ReplayAnswer
        True if the record is this call's own, an effect if the answer is recorded, or the
        reason for a refusal.
    """
    run = state.runs.by_request[request.request_id]
    if event.status is not CallStatus.OK:
        return Reason.RUN_NOT_RECORDED
    value = event.value
    if value["nonce"] == run.nonce:
        run.version = event.version
        return True
    if value["digest"] != run.digest:
        return Reason.KEY_REUSED
    if value["stage"] == DONE:
        return ReplayAnswer(request.request_id, value["answer"])
    holder = value["holder"]
    if holder == state.me.name or holder in state.members.peers:
        return Reason.RUN_IN_PROGRESS
    return Reason.RUN_UNKNOWN


def ran_of(reason: Reason) -> Ran:
    """Return what is known of the execution for a refusal by the record."""
    if reason in (Reason.RUN_IN_PROGRESS, Reason.RUN_UNKNOWN):
        return Ran.UNKNOWN
    return Ran.NO


def finish(state: State, request_id: str, answer: str, out: list[Effect]) -> None:
    """Record the answer of a call."""
    run = state.runs.by_request.get(request_id)
    if run is None:
        return
    run.finish = record(state, run, DONE, answer)
    out.append(Count("run_recorded", ()))
    purpose = RunFinish(request_id, run.nonce)
    out.append(PlatformPut(run.path, run.finish, run.version, purpose))


def on_finished(state: State, event: PlatformAnswered) -> None:
    """Forget a call whose answer is recorded."""
    if event.status in (CallStatus.OK, CallStatus.CONFLICT):
        state.runs.by_request.pop(event.purpose.request_id, None)
