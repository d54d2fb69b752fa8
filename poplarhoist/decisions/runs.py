"""Idempotency records on the platform for calls that must run at most once.

A run is one execution of such a service call; its record is stored under ``runs/``. An entry
claims a call by creating its record before it sends anything to an endpoint, and writes the answer
or the failure into the record afterwards. The record holds a nonce, by which an entry recognizes
its own record after a write with an unknown result, such as a timeout, so every write is
idempotent. The final write is retried until it succeeds, the record is found to be deleted,
malformed or another call's, or a drain stops waiting.
"""

from __future__ import annotations

import enum
import hashlib
from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from poplarhoist import wire
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
# Hex digits of a record's path: those of its shard, and all of them.
SHARD_DIGITS = 3
DIGEST_DIGITS = 40
MAX_ANSWER_BYTES = 900_000
MAX_CLAIM_TRIES = 3
BACKOFF_BASE_S = 0.2
BACKOFF_MAX_S = 5.0
DRAIN_TIMEOUT_S = 15.0


class RunStage(enum.StrEnum):
    """Stage of a call according to its record.

    STARTED: the call may have run, and the record's writer may still wait for the answer.
    DONE: the call ran; the answer is recorded unless it was too large.
    NOT_RUN: the call certainly did not run; a resend may run it.
    UNKNOWN: the record's writer does not know whether the call ran.
    """

    STARTED = "started"
    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@frozen
class RunRecord:
    """The record of a call on the platform.

    Attributes
    ----------
    nonce : str
        Unique for each request; chosen by the entry that writes the record.
    holder, boot : str
        Name and boot id of that entry.
    written_at : float
        Wall time of the write in seconds since 1970.
    kept : bool
        Whether ``answer`` holds the answer of a call in stage ``DONE``; False if the answer was
        larger than ``MAX_ANSWER_BYTES``.
    """

    nonce: str
    holder: str
    boot: str
    caller: str
    key: str
    digest: str
    stage: RunStage = RunStage.STARTED
    written_at: float = 0.0
    answer: str = ""
    kept: bool = True


class ClaimResult(enum.Enum):
    """Next step of a call that its record neither refuses nor answers.

    START: the record is claimed, so the call may be sent to an endpoint.
    WAIT: another platform call is under way.
    """

    START = enum.auto()
    WAIT = enum.auto()


@define
class RunClaim:
    """A call that this entry has claimed or tries to claim.

    Attributes
    ----------
    expected_version : int
        Version of the record that the claim replaces; 0 if there was no record.
    version : int
        Version of the claimed record; 0 until the claim is known to have taken effect.
    may_be_claimed : bool
        Whether a claim with an unknown result may have taken effect.
    final_record : RunRecord or None
        Final value of the record, whose write is retried; None until the call ended.
    tries : int
        Writes of the current value so far.
    retry_at : float or None
        When to write ``final_record`` again; None while a write is under way.
    """

    path: str
    record: RunRecord
    expected_version: int = 0
    version: int = 0
    may_be_claimed: bool = False
    final_record: RunRecord | None = None
    tries: int = 0
    retry_at: float | None = None


@define
class ClaimsState:
    """Claims of this entry, by request id.

    Attributes
    ----------
    claims_created : int
        Number of claims so far, used in nonces.
    drain_until : float or None
        When a drain stops waiting for final writes; None if the entry is not draining.
    next_sweep_at : float or None
        When to list a shard of records for expired ones next; None before the first tick.
    """

    claims_by_request: dict[str, RunClaim] = field(factory=dict)
    claims_created: int = 0
    drain_until: float | None = None
    next_sweep_at: float | None = None


def record_path(caller: str, key: str) -> str:
    """Return the path of a call's record, ``runs/<shard>/<digest>``.

    The path is built from a digest, so that callers and keys cannot collide or add separators.
    """
    digest = hashlib.sha256(f"{caller}\0{key}".encode()).hexdigest()[:DIGEST_DIGITS]
    return f"{RUN_PREFIX}{digest[:SHARD_DIGITS]}/{digest[SHARD_DIGITS:]}"


def begin_claim(state: State, request: RequestState, out: list[Effect]) -> None:
    """Start to claim the record of a call, before anything is sent to an endpoint."""
    state.runs.claims_created += 1
    record = RunRecord(
        nonce=f"{state.boot}/{state.runs.claims_created}",
        holder=state.me.name,
        boot=state.boot,
        caller=request.caller,
        key=request.idempotency_key,
        digest=request.content_digest,
        written_at=request.arrived_at + state.wall_offset_s,
    )
    claim = RunClaim(record_path(request.caller, request.idempotency_key), record)
    state.runs.claims_by_request[request.request_id] = claim
    write_claim(claim, request.request_id, out)


def write_claim(claim: RunClaim, request_id: str, out: list[Effect]) -> None:
    """Write the claim, on condition that the record still has the expected version."""
    claim.tries += 1
    purpose = RunCreate(request_id, claim.record.nonce)
    out.append(PlatformPut(claim.path, wire.dump(claim.record), claim.expected_version, purpose))


def read_back(claim: RunClaim, request_id: str, out: list[Effect]) -> None:
    """Read the record after a claim with an unknown result, or a conflict without a value."""
    out.append(PlatformGet(claim.path, RunRead(request_id, claim.record.nonce)))


def on_claimed(
    state: State, request: RequestState, event: PlatformAnswered, out: list[Effect]
) -> ClaimResult | Reason | ReplayAnswer:
    """Decide how a call continues after the write of its claim ended.

    Returns
    -------
    ClaimResult or Reason or ReplayAnswer
        Whether to start or wait, the reason for a refusal, or the recorded answer to replay.
    """
    claim = state.runs.claims_by_request[request.request_id]
    if event.status is CallStatus.OK:
        claim.version = event.version
        return ClaimResult.START
    if event.status is CallStatus.REFUSED:
        return Reason.RUN_NOT_RECORDED
    if event.status is CallStatus.CONFLICT and event.value is not None:
        return evaluate_record(state, request, claim, event, out)
    claim.may_be_claimed = claim.may_be_claimed or event.status is CallStatus.UNKNOWN
    read_back(claim, request.request_id, out)
    return ClaimResult.WAIT


def on_read(
    state: State, request: RequestState, event: PlatformAnswered, out: list[Effect]
) -> ClaimResult | Reason | ReplayAnswer:
    """Decide how a call continues after its record was read back; returns as ``on_claimed``."""
    claim = state.runs.claims_by_request[request.request_id]
    if event.status is CallStatus.OK:
        return evaluate_record(state, request, claim, event, out)
    if event.status is CallStatus.REFUSED or claim.tries >= MAX_CLAIM_TRIES:
        return Reason.RUN_NOT_RECORDED
    if event.status is CallStatus.NOT_FOUND:
        claim.expected_version = 0
    # The earlier claim may still take effect. At most one of these conditional writes succeeds,
    # and the nonce that they share identifies the record as this call's.
    write_claim(claim, request.request_id, out)
    return ClaimResult.WAIT


def evaluate_record(
    state: State, request: RequestState, claim: RunClaim, event: PlatformAnswered, out: list[Effect]
) -> ClaimResult | Reason | ReplayAnswer:
    """Decide how a call continues, given the record that the platform holds.

    The record may be this claim, or belong to an earlier call with the same idempotency key.
    """
    existing = parse_record(event.value)
    if existing is None:
        out.append(Count("run_record_malformed", ()))
        return drop_claim(state, request, Reason.RUN_UNKNOWN)
    if existing.nonce == claim.record.nonce:
        claim.version = event.version
        return ClaimResult.START
    if existing.digest != claim.record.digest:
        return drop_claim(state, request, Reason.KEY_REUSED)
    if existing.stage is RunStage.NOT_RUN:
        return take_over(claim, request, event.version, out)
    if existing.stage is RunStage.DONE:
        # The claim is dropped in both cases; the reason is used only if no answer was kept.
        refusal_reason = drop_claim(state, request, Reason.ANSWER_NOT_KEPT)
        return (
            ReplayAnswer(request.request_id, existing.answer) if existing.kept else refusal_reason
        )
    in_progress = existing.stage is RunStage.STARTED and is_holder_alive(state, existing, event.at)
    reason = Reason.RUN_IN_PROGRESS if in_progress else Reason.RUN_UNKNOWN
    return drop_claim(state, request, reason)


def parse_record(value: object) -> RunRecord | None:
    """Parse a record; return None if it is malformed."""
    try:
        return wire.load(value, RunRecord)
    except Exception:
        # cattrs raises exception groups of many kinds; each means that the record is malformed.
        return None


def drop_claim(state: State, request: RequestState, reason: Reason) -> Reason:
    """Forget a claim that lost to another record, and return ``reason`` unchanged."""
    state.runs.claims_by_request.pop(request.request_id, None)
    return reason


def take_over(
    claim: RunClaim, request: RequestState, version: int, out: list[Effect]
) -> ClaimResult | Reason:
    """Claim the existing record of a call that certainly did not run."""
    if claim.tries >= MAX_CLAIM_TRIES:
        return Reason.RUN_NOT_RECORDED
    claim.expected_version = version
    write_claim(claim, request.request_id, out)
    return ClaimResult.WAIT


def is_holder_alive(state: State, record: RunRecord, at: float) -> bool:
    """Return whether the process that wrote a record may still work on its call.

    This entry must still have the claim. Another entry must run under the same boot id and have
    been heard within the peer timeout.
    """
    if record.holder == state.me.name:
        nonces = (claim.record.nonce for claim in state.runs.claims_by_request.values())
        return record.boot == state.boot and record.nonce in nonces
    peer = state.members.peers.get(record.holder)
    if peer is None or peer.boot != record.boot:
        return False
    return at - peer.heard_at <= state.limits.peer_timeout_s


def ran_for_reason(reason: Reason) -> Ran:
    """Return whether the call ran, for a refusal because of its record."""
    if reason is Reason.ANSWER_NOT_KEPT:
        return Ran.YES
    if reason in (Reason.RUN_IN_PROGRESS, Reason.RUN_UNKNOWN):
        return Ran.UNKNOWN
    return Ran.NO


def record_answer(state: State, request_id: str, answer: str, at: float, out: list[Effect]) -> None:
    """Record the answer of a call; one larger than ``MAX_ANSWER_BYTES`` is left out."""
    claim = state.runs.claims_by_request.get(request_id)
    if claim is None:
        return
    kept = len(answer.encode()) <= MAX_ANSWER_BYTES
    if not kept:
        out.append(Count("run_answer_not_kept", ()))
    record = evolve(claim.record, stage=RunStage.DONE, answer=answer if kept else "", kept=kept)
    write_final_record(state, request_id, record, at, out)


def record_refusal(state: State, request_id: str, ran: Ran, at: float, out: list[Effect]) -> None:
    """Record that a refused call did not run, or that this is unknown.

    Nothing is written if the claim certainly did not take effect.
    """
    claim = state.runs.claims_by_request.get(request_id)
    if claim is None:
        return
    if not claim.version and not claim.may_be_claimed:
        del state.runs.claims_by_request[request_id]
        return
    stage = RunStage.NOT_RUN if ran is Ran.NO else RunStage.UNKNOWN
    write_final_record(state, request_id, evolve(claim.record, stage=stage), at, out)


def write_final_record(
    state: State, request_id: str, record: RunRecord, at: float, out: list[Effect]
) -> None:
    """Set the final value of a record and write it."""
    claim = state.runs.claims_by_request[request_id]
    claim.final_record = evolve(record, written_at=at + state.wall_offset_s)
    claim.tries = 0
    send_final_record(claim, request_id, out)


def send_final_record(claim: RunClaim, request_id: str, out: list[Effect]) -> None:
    """Write the final value of a record over its latest known version."""
    claim.retry_at = None
    claim.tries += 1
    expect = claim.version or claim.expected_version
    purpose = RunFinish(request_id, claim.record.nonce)
    out.append(PlatformPut(claim.path, wire.dump(claim.final_record), expect, purpose))


def on_final_record_answered(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Complete a claim whose final write succeeded; otherwise retry or abandon the write."""
    request_id = event.purpose.request_id
    claim = state.runs.claims_by_request.get(request_id)
    if claim is None or claim.final_record is None:
        return
    if event.status is CallStatus.OK:
        complete_claim(state, request_id, out)
    elif event.status is CallStatus.CONFLICT and event.value is not None:
        on_final_record_conflict(state, request_id, event, out)
    elif event.status is CallStatus.CONFLICT:
        abandon_record(state, request_id, out)
    else:
        claim.retry_at = event.at + backoff_s(state, claim.tries)


def on_final_record_conflict(
    state: State, request_id: str, event: PlatformAnswered, out: list[Effect]
) -> None:
    """Resolve a conflict of a final write with another version of the record.

    A record with another nonce belongs to another call. One with the same nonce and stage is an
    earlier final write of this claim whose result was unknown.
    """
    claim = state.runs.claims_by_request[request_id]
    existing = parse_record(event.value)
    if existing is None or existing.nonce != claim.record.nonce:
        abandon_record(state, request_id, out)
    elif existing.stage is claim.final_record.stage:
        complete_claim(state, request_id, out)
    else:
        claim.version = event.version
        send_final_record(claim, request_id, out)


def complete_claim(state: State, request_id: str, out: list[Effect]) -> None:
    """Forget a claim whose final value is on the platform."""
    claim = state.runs.claims_by_request.pop(request_id)
    out.append(Count("run_recorded", (claim.final_record.stage,)))


def abandon_record(state: State, request_id: str, out: list[Effect]) -> None:
    """Forget a claim whose final value cannot be written, and count the loss."""
    claim = state.runs.claims_by_request.pop(request_id)
    out.append(Count("run_record_lost", (claim.final_record.stage,)))


def backoff_s(state: State, tries: int) -> float:
    """Return the exponential backoff before the next try, with jitter, in seconds."""
    max_delay_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** min(tries, 10))
    return max_delay_s * (0.5 + 0.5 * state.random.random())


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Retry final writes that are due; a drain waits for them at most ``DRAIN_TIMEOUT_S``."""
    runs = state.runs
    if state.draining and runs.drain_until is None:
        runs.drain_until = at + DRAIN_TIMEOUT_S
    timed_out = runs.drain_until is not None and at >= runs.drain_until
    for request_id, claim in list(runs.claims_by_request.items()):
        if claim.final_record is None:
            continue
        if timed_out:
            abandon_record(state, request_id, out)
        elif claim.retry_at is not None and at >= claim.retry_at:
            send_final_record(claim, request_id, out)


def find_expired_claims(state: State, at: float) -> list[RequestState]:
    """Return the requests whose deadline passed before their claim is known to have succeeded."""
    expired = []
    for request_id, claim in state.runs.claims_by_request.items():
        request = state.requests.get(request_id)
        if request is None or claim.version or claim.final_record is not None:
            continue
        if at >= request.wait_deadline_at:
            expired.append(request)
    return expired
