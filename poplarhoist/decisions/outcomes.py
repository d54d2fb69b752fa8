"""Handles the end of an attempt: the answer, a retry or the final refusal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist.decisions import (
    admission,
    cross_region,
    grants,
    isolation,
    membership,
    quarantine,
    requests,
    retries,
    runs,
)
from poplarhoist.decisions.effects import Count, PollEndpoint
from poplarhoist.decisions.events import AttemptEnded, Outcome
from poplarhoist.decisions.quarantine import DeathCheck
from poplarhoist.decisions.retries import RetryCause
from poplarhoist.decisions.state import RequestState, Stage
from poplarhoist.models import Ran, Reason

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

ANSWERED_OUTCOMES = (Outcome.COMPLETED, Outcome.FAILED)
WRONG_ADAPTER_REASON = "adapter"
MAY_HAVE_RUN_OUTCOMES = (Outcome.BROKEN, Outcome.WRONG)


def on_attempt_ended(state: State, event: AttemptEnded, out: list[Effect]) -> None:
    """Complete, retry or refuse a request whose attempt ended; ignore an outdated attempt."""
    request = state.requests.get(event.request_id)
    if request is None or request.attempt != event.attempt or request.stage != Stage.RUNNING:
        return
    requests.release_attempt(state, request, event.at, out)
    cross_region.charge(state, event.endpoint, event.answer_bytes, "in", out)
    out.append(Count("attempt_ended", (event.outcome,)))
    if event.outcome is Outcome.BROKEN:
        quarantine.start_death_check(state, request, event.endpoint, event.at, out)
    if request.alone:
        isolation.on_attempt_ended(state, request, event.outcome, out)
    if event.outcome in ANSWERED_OUTCOMES or event.outcome is Outcome.CANCELLED:
        if event.outcome in ANSWERED_OUTCOMES:
            runs.record_answer(state, request.request_id, event.recorded_answer, event.at, out)
        else:
            runs.record_refusal(state, request.request_id, Ran.UNKNOWN, event.at, out)
        del state.requests[event.request_id]
    elif event.outcome in MAY_HAVE_RUN_OUTCOMES:
        handle_may_have_run(state, request, event, out)
    else:
        handle_not_run(state, request, event, out)
    requests.dispatch_to_endpoint(state, event.endpoint, event.at, out)


def handle_not_run(state: State, request: RequestState, event: AttemptEnded, out) -> None:
    """Retry a request that the endpoint did not run.

    The entry stops using the endpoint or grant that caused the failure.

    An endpoint that leaves or cannot be reached is marked so. A grant for an adapter that is
    not resident is handed back.
    """
    cause = retries.retry_cause(event)
    if cause is RetryCause.LEAVING:
        membership.mark_leaving(state, event.endpoint, "refusal", event.at, out)
    elif cause is RetryCause.NOT_RESIDENT:
        return_grant(state, request, event, out)
        out.append(PollEndpoint(event.endpoint))
    elif cause is RetryCause.NOT_SENT:
        membership.on_endpoint_silent(state, event.endpoint, event.at, out)
        out.append(PollEndpoint(event.endpoint))
    request.avoided_endpoints.add(event.endpoint)
    retry(state, request, cause, event.at, out)


def return_grant(state: State, request: RequestState, event: AttemptEnded, out) -> None:
    """Hand back the grant for an adapter that is not resident on the endpoint.

    While other attempts run under the grant, it is only marked as recalled.
    """
    held = grants.find(state, request.ref, event.endpoint)
    if held is None:
        return
    if held.in_flight:
        held.recalled = True
    else:
        grants.return_grant(state, held, out)


def handle_may_have_run(state: State, request: RequestState, event: AttemptEnded, out) -> None:
    """Retry a request that may have run, if it may run again and nothing was delivered.

    After a broken connection, the retry waits until it is known whether the endpoint died.
    """
    request.may_have_run = True
    if event.outcome is Outcome.WRONG and event.reason == WRONG_ADAPTER_REASON:
        membership.eject_endpoint(state, event.endpoint, event.reason, event.at, out)
    if event.delivered or not request.repeatable:
        reason = Reason.ENDPOINT_LOST if event.outcome is Outcome.BROKEN else Reason.WRONG_ANSWER
        requests.refuse_request(state, request, reason, "answer", event.at, out)
        return
    if quarantine.is_quarantined(state, request.content_digest):
        requests.refuse_request(state, request, Reason.QUARANTINED, "retry", event.at, out)
        return
    request.avoided_endpoints.add(event.endpoint)
    if event.outcome is Outcome.WRONG or not request.content_digest:
        retry(state, request, retries.retry_cause(event), event.at, out)
        return
    request.stage = Stage.CHECKING
    admission.schedule_deadline(state, request)


def on_poll_answered(state: State, report, newer: bool, asked_at: float, at: float, out) -> None:
    """Resume requests whose death check is resolved by an endpoint's answer to a poll.

    Parameters
    ----------
    newer : bool
        Whether the report is the latest one known of this endpoint.
    asked_at : float
        When the poll was sent; minus infinity if a peer polled.
    """
    resolved = quarantine.on_poll_answered(state, report, newer, asked_at, at, out)
    resume_checked(state, resolved, at, out)


def on_poll_refused(state: State, endpoint: str, at: float, out: list[Effect]) -> None:
    """Resume requests whose endpoint refused a connection, which shows that it died."""
    resume_checked(state, quarantine.on_poll_refused(state, endpoint, at, out), at, out)


def resume_checked(state: State, resolved: list[DeathCheck], at: float, out: list[Effect]) -> None:
    """Refuse requests whose content is quarantined, and retry the others."""
    for check in resolved:
        request = state.requests.get(check.request_id)
        if request is None or request.attempt != check.attempt or request.stage != Stage.CHECKING:
            continue
        if quarantine.is_quarantined(state, check.digest):
            requests.refuse_request(state, request, Reason.QUARANTINED, "retry", at, out)
        else:
            retry(state, request, RetryCause.ENDPOINT_LOST, at, out)


def retry(state: State, request: RequestState, cause: RetryCause, at: float, out) -> None:
    """Start another attempt now or after a delay, or refuse the request.

    It is refused if it has no attempts or time left, or the retry budget is spent.
    """
    if not retries.has_attempts_left(state, request) or at >= request.wait_deadline_at:
        requests.refuse_request(state, request, Reason.ENDPOINT_LOST, "retry", at, out)
        return
    if not retries.try_spend_budget(state, cause):
        requests.refuse_request(state, request, Reason.RETRY_BUDGET, "retry", at, out)
        return
    out.append(Count("retry", (cause,)))
    due_at = at + retries.retry_delay_s(state, request, cause)
    if due_at == at:
        requests.start(state, request, at, out)
        return
    if due_at >= request.wait_deadline_at:
        requests.refuse_request(state, request, Reason.ENDPOINT_LOST, "retry", at, out)
        return
    request.stage = Stage.BACKOFF
    retries.schedule_retry(state, request, due_at)
    admission.schedule_deadline(state, request)


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Resume requests whose death check timed out, and start the retries that are due."""
    resume_checked(state, quarantine.on_tick(state, at, out), at, out)
    for request_id, attempt in retries.pop_due(state, at):
        request = state.requests.get(request_id)
        if request is None or request.attempt != attempt or request.stage != Stage.BACKOFF:
            continue
        requests.start(state, request, at, out)
