"""Serves one request as the decisions direct: runs attempts, then responds or refuses."""

import base64
from collections.abc import Iterator
from itertools import chain

import eventlet
import orjson
from werkzeug.wrappers import Request, Response

from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import events as ev
from poplarhoist.entry import problems
from poplarhoist.entry.attempts import Attempt, AttemptResult, CallerRequest
from poplarhoist.entry.caller_watch import CallerWatch
from poplarhoist.entry.core import Core
from poplarhoist.models import Ran, Reason, Refusal
from poplarhoist.settings.models import Site

ANSWERED_OUTCOMES = (ev.Outcome.COMPLETED, ev.Outcome.FAILED)
STREAM_TIMEOUT_REFUSAL = Refusal(Reason.DEADLINE, Ran.UNKNOWN, "stream")


class RequestHandler:
    """Serves the requests of callers; one instance serves all requests."""

    def __init__(self, core: Core, site: Site) -> None:
        self.core = core
        self.site = site

    def run(
        self, caller_request: CallerRequest, event: ev.RequestArrived, request: Request
    ) -> Response:
        """Submit the arrival of a request and carry out its effects until there is a response.

        Parameters
        ----------
        request : Request
            Its WSGI environment gives the caller's connection, which is watched meanwhile.
        """
        mailbox = self.core.open_mailbox(caller_request.request_id)
        caller_watch = CallerWatch(
            request.environ, lambda: self.on_caller_disconnected(caller_request)
        )
        keep_mailbox = False
        try:
            self.core.submit(event)
            while True:
                effect = mailbox.get()
                if isinstance(effect, fx.Refuse):
                    return problems.refusal_response(caller_request.request_id, effect.refusal)
                if isinstance(effect, fx.ReplayAnswer):
                    return replay_response(effect.recorded_answer)
                response = self.run_attempt(caller_request, effect)
                if response is not None:
                    keep_mailbox = response.is_streamed
                    return response
        finally:
            caller_watch.stop()
            if not keep_mailbox:
                self.core.close_mailbox(caller_request.request_id)

    def on_caller_disconnected(self, caller_request: CallerRequest) -> None:
        """Submit that the caller disconnected, and cancel the active attempt of a completion."""
        self.core.submit(ev.CallerLeft(self.core.event_time(), caller_request.request_id))
        if (
            caller_request.active_attempt is not None
            and caller_request.active_attempt.dispatch.ref is not None
        ):
            eventlet.spawn_n(caller_request.active_attempt.cancel)

    def run_attempt(self, caller_request: CallerRequest, dispatch: fx.Dispatch) -> Response | None:
        """Run one attempt and submit its outcome.

        Returns
        -------
        Response or None
            The response for the caller; None if the decisions choose between a retry and a refusal.
        """
        attempt = Attempt(self.core, self.site.streams, caller_request, dispatch)
        caller_request.active_attempt = attempt
        try:
            if caller_request.is_streamed:
                response = self.start_stream(caller_request, attempt)
                if response is not None:
                    return response
            else:
                attempt.run()
        except Exception:
            # The decisions must learn that the attempt ended; the log has the traceback.
            self.core.log.exception("attempt-failed", endpoint=dispatch.endpoint)
            attempt.record_failure("error")
        finally:
            caller_request.active_attempt = None
        attempt.close()
        result = attempt.result
        self.submit_attempt_ended(dispatch, result)
        if result.outcome in ANSWERED_OUTCOMES:
            return Response(result.body, result.status, result.headers)
        if result.outcome is ev.Outcome.CANCELLED:
            return problems.refusal_response(
                caller_request.request_id, Refusal(Reason.CALLER_LEFT, Ran.UNKNOWN)
            )
        return None

    def start_stream(self, caller_request: CallerRequest, attempt: Attempt) -> Response | None:
        """Return the streamed response once its first events have arrived.

        Returns None if the attempt ended without an event; its result then says why.
        """
        upstream = attempt.start()
        if upstream is None:
            return None
        if attempt.result.outcome is not ev.Outcome.COMPLETED:
            attempt.read_body(upstream)
            return None
        events = attempt.iter_events(upstream)
        first_events = next(events, None)
        if first_events is None:
            return None
        body = self.iter_stream(caller_request, attempt, chain((first_events,), events))
        return Response(body, attempt.result.status, attempt.result.headers)

    def iter_stream(
        self, caller_request: CallerRequest, attempt: Attempt, events: Iterator[bytes]
    ) -> Iterator[bytes]:
        """Yield the events of a stream to the caller and submit how the attempt ended.

        A stream that is longer than ``StreamSettings.whole_s`` ends with an error event and counts
        as cancelled. The same outcome is submitted if the caller disconnects.
        """
        end_submitted = False
        deadline_at = self.core.event_time() + self.site.streams.whole_s
        try:
            for data in events:
                yield data
                if self.core.event_time() > deadline_at:
                    yield problems.error_event(caller_request.request_id, STREAM_TIMEOUT_REFUSAL)
                    return
            self.submit_attempt_ended(attempt.dispatch, attempt.result)
            end_submitted = True
            if attempt.result.outcome is not ev.Outcome.COMPLETED:
                yield self.final_error_event(caller_request)
        finally:
            if not end_submitted:
                attempt.result.outcome = ev.Outcome.CANCELLED
                self.submit_attempt_ended(attempt.dispatch, attempt.result)
                eventlet.spawn_n(attempt.cancel)
            self.core.close_mailbox(caller_request.request_id)
            attempt.close()

    def final_error_event(self, caller_request: CallerRequest) -> bytes:
        """Return the error event for a caller that received part of its response.

        Waits for the refusal that the decisions emit for the broken attempt.
        """
        mailbox = self.core.mailboxes[caller_request.request_id]
        effect = mailbox.get()
        refusal = effect.refusal if isinstance(effect, fx.Refuse) else None
        return problems.error_event(caller_request.request_id, refusal)

    def submit_attempt_ended(self, dispatch: fx.Dispatch, result: AttemptResult) -> None:
        """Submit the end of an attempt; the answer of a service call goes with it for its record."""
        recorded_answer = ""
        if dispatch.ref is None and result.outcome in ANSWERED_OUTCOMES:
            recorded_answer = encode_recorded_answer(result)
        event = ev.AttemptEnded(
            at=self.core.event_time(),
            request_id=dispatch.request_id,
            attempt=dispatch.attempt,
            endpoint=dispatch.endpoint,
            outcome=result.outcome,
            delivered=result.delivered,
            reason=result.reason,
            answer_bytes=result.answer_bytes,
            recorded_answer=recorded_answer,
        )
        self.core.submit(event)


def encode_recorded_answer(result: AttemptResult) -> str:
    """Return a service's answer as JSON text, with the body in base64."""
    body = base64.b64encode(result.body).decode()
    return orjson.dumps([result.status, result.headers, body]).decode()


def replay_response(recorded_answer: str) -> Response:
    """Return the response for a recorded answer, marked as a replay."""
    status, headers, body = orjson.loads(recorded_answer)
    return Response(base64.b64decode(body), status, {**headers, "X-Replayed": "true"})
