"""Follows the decisions for one request: attempts, the answer, or the refusal."""

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
    """Serves the requests of callers."""

    def __init__(self, core: Core, site: Site) -> None:
        self.core = core
        self.site = site

    def run(
        self, caller_request: CallerRequest, event: ev.RequestArrived, request: Request
    ) -> Response:
        """Follow the decisions for a request until it has its answer."""
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
        """Stop what is done for a caller that went away."""
        self.core.submit(ev.CallerLeft(self.core.event_time(), caller_request.request_id))
        if (
            caller_request.active_attempt is not None
            and caller_request.active_attempt.dispatch.ref is not None
        ):
            eventlet.spawn_n(caller_request.active_attempt.cancel)

    def run_attempt(self, caller_request: CallerRequest, dispatch: fx.Dispatch) -> Response | None:
        """Run one attempt; None if the decisions are to be asked again."""
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
            # The decisions must learn of the end in any case; operators get the cause.
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
        """Return a streamed answer once something of it is here; None if nothing came."""
        upstream = attempt.start()
        if upstream is None:
            return None
        if attempt.result.outcome is not ev.Outcome.COMPLETED:
            attempt.read_body(upstream)
            return None
        events = attempt.iter_events(upstream)
        first = next(events, None)
        if first is None:
            return None
        body = self.iter_stream(caller_request, attempt, chain((first,), events))
        return Response(body, attempt.result.status, attempt.result.headers)

    def iter_stream(
        self, caller_request: CallerRequest, attempt: Attempt, events: Iterator[bytes]
    ) -> Iterator[bytes]:
        """Pass a streamed answer on and tell the decisions how it ended."""
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
        """Return the error event for a caller that has had a part of its answer."""
        mailbox = self.core.mailboxes[caller_request.request_id]
        effect = mailbox.get()
        refusal = effect.refusal if isinstance(effect, fx.Refuse) else None
        return problems.error_event(caller_request.request_id, refusal)

    def submit_attempt_ended(self, dispatch: fx.Dispatch, result: AttemptResult) -> None:
        """Tell the decisions how an attempt ended."""
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
    """Return an answer in the form in which it is recorded."""
    body = base64.b64encode(result.body).decode()
    return orjson.dumps([result.status, result.headers, body]).decode()


def replay_response(recorded_answer: str) -> Response:
    """Return a recorded answer."""
    status, headers, body = orjson.loads(recorded_answer)
    return Response(base64.b64decode(body), status, {**headers, "X-Replayed": "true"})
