"""Isolation of suspects at this entry.

A suspect waits until the lead has drained an endpoint for it, and then runs alone there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist.decisions import admission, grants, quarantine, requests
from poplarhoist.decisions.effects import Count, SendMessage
from poplarhoist.decisions.events import Outcome
from poplarhoist.decisions.leadership import known_lead
from poplarhoist.decisions.messages import (
    Grant,
    IsolationDone,
    IsolationGrant,
    IsolationWanted,
    Returned,
    TrialState,
)
from poplarhoist.decisions.state import RequestState, Stage
from poplarhoist.models import Reason

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

ISOLATION_WANTED_RESEND_INTERVAL_S = 0.5


def hold_for_isolation(state: State, request: RequestState, at: float, out: list[Effect]) -> None:
    """Hold a request until it can run alone, or refuse it if too many are held already.

    Its deadline becomes the caller's own, without the limit ``Preset.max_wait_s``.
    """
    if len(state.quarantine.isolated_requests) >= state.config.preset.queue_limit:
        requests.refuse_request(state, request, Reason.QUEUE_FULL, "isolate", at, out)
        return
    request.stage = Stage.ISOLATING
    request.wait_deadline_at = request.caller_deadline_at
    admission.schedule_deadline(state, request)
    state.quarantine.isolated_requests[request.request_id] = at
    out.append(Count("isolation", ("wanted",)))
    send_isolation_wanted(state, request, at, out)


def send_isolation_wanted(
    state: State, request: RequestState, at: float, out: list[Effect]
) -> None:
    """Tell the lead that a request waits for isolation, or on which endpoint it runs alone."""
    state.quarantine.isolated_requests[request.request_id] = at
    lead = known_lead(state, request.base)
    if not lead:
        return
    message = IsolationWanted(
        request.base,
        request.request_id,
        request.content_digest,
        request.ref,
        request.wait_deadline_at - at,
        request.endpoint if request.alone else "",
    )
    out.append(SendMessage(lead, message))


def on_isolation_grant(state: State, sender: str, message: IsolationGrant, at: float, out) -> None:
    """Run a request alone on the granted endpoint, or hand the grant back if it is not needed."""
    request = state.requests.get(message.request_id)
    waits = request is not None and request.stage == Stage.ISOLATING
    if not waits and (request is None or not request.alone):
        grant = message.grant
        pair = (grant.ref, grant.endpoint)
        answer = Returned(grant.base, grant.epoch, *pair, grant.number)
        out.append(SendMessage(sender, answer))
        out.append(SendMessage(sender, IsolationDone(message.base, message.request_id)))
        return
    held = accept_grant(state, message.grant, at, out)
    if held is not None and waits:
        out.append(Count("isolation", ("granted",)))
        requests.dispatch(state, request, held.endpoint, at, out, alone=True)
        request.endpoint_boot = message.boot


def accept_grant(
    state: State, grant: Grant, at: float, out: list[Effect]
) -> grants.GrantRecord | None:
    """Hold a grant for one request only.

    Returns
    -------
    HeldGrant or None
        The grant; None if its message was late or repeated.
    """
    grants.accept(state, grant, at, out)
    held = grants.find(state, grant.ref, grant.endpoint)
    if held is None or (held.epoch, held.number) != (grant.epoch, grant.number):
        return None
    held.alone = True
    return held


def on_attempt_ended(
    state: State, request: RequestState, outcome: Outcome, out: list[Effect]
) -> None:
    """Handle the end of an isolated attempt; an answer clears the request content.

    After a broken attempt the isolated run stays open in ``QuarantineState.trials`` until the
    death check is resolved.
    """
    boot_key = f"{request.endpoint}/{request.endpoint_boot}"
    request.alone = False
    if outcome in (Outcome.COMPLETED, Outcome.FAILED):
        out.append(Count("isolation", ("cleared",)))
        quarantine.close_trial(state, request.content_digest, boot_key, TrialState.CLEARED, out)
    elif outcome is not Outcome.BROKEN:
        quarantine.close_trial(
            state, request.content_digest, boot_key, TrialState.INCONCLUSIVE, out
        )
    clean = outcome not in (Outcome.BROKEN, Outcome.CANCELLED)
    end_isolation(state, request, out, clean)


def end_isolation(
    state: State, request: RequestState, out: list[Effect], clean: bool = False
) -> None:
    """Tell the lead that a request neither waits for isolation nor runs alone any more.

    Parameters
    ----------
    clean : bool
        Whether the endpoint has ended the request too, so that nothing of it is left there.
    """
    if state.quarantine.isolated_requests.pop(request.request_id, None) is None:
        return
    lead = known_lead(state, request.base)
    if lead:
        out.append(SendMessage(lead, IsolationDone(request.base, request.request_id, clean)))


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Repeat the messages to the leads, and start requests that are no suspects any more."""
    for request_id, reported_at in list(state.quarantine.isolated_requests.items()):
        request = state.requests.get(request_id)
        if request is None:
            del state.quarantine.isolated_requests[request_id]
        elif request.stage == Stage.ISOLATING and not quarantine.is_suspect(
            state, request.content_digest
        ):
            end_isolation(state, request, out)
            requests.start(state, request, at, out)
        elif at - reported_at >= ISOLATION_WANTED_RESEND_INTERVAL_S:
            send_isolation_wanted(state, request, at, out)


def notify_new_lead(state: State, base: str, at: float, out: list[Effect]) -> None:
    """Tell a new lead at once of the requests that wait for isolation or run alone."""
    for request_id in list(state.quarantine.isolated_requests):
        request = state.requests.get(request_id)
        if request is not None and request.base == base:
            send_isolation_wanted(state, request, at, out)
