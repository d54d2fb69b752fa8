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
from poplarhoist.entry.attempts import Attempt, Result, Work
from poplarhoist.entry.core import Core
from poplarhoist.entry.presence import CallerWatch
from poplarhoist.models import Ran, Reason, Refusal
from poplarhoist.settings.models import Site

ANSWERED = (ev.Outcome.COMPLETED, ev.Outcome.FAILED)
STREAM_OVER = Refusal(Reason.DEADLINE, Ran.UNKNOWN, "stream")


class Serving:
    """Serves the requests of callers."""

    def __init__(self, core: Core, site: Site) -> None:
        self.core = core
        self.site = site

    def run(self, work: Work, event: ev.RequestArrived, request: Request) -> Response:
        """Follow the decisions for a request until it has its answer."""
        mailbox = self.core.open(work.request_id)
        watch = CallerWatch(request.environ, lambda: self.caller_left(work))
        keep = False
        try:
            self.core.submit(event)
            while True:
                effect = mailbox.get()
                if isinstance(effect, fx.Refuse):
                    return problems.response(work.request_id, effect.refusal)
                if isinstance(effect, fx.ReplayAnswer):
                    return replayed(effect.recorded_answer)
                response = self.attempt(work, effect)
                if response is not None:
                    keep = response.is_streamed
                    return response
        finally:
            watch.stop()
            if not keep:
                self.core.close(work.request_id)

    def caller_left(self, work: Work) -> None:
        """Stop what is done for a caller that went away."""
        self.core.submit(ev.CallerLeft(self.core.at(), work.request_id))
        if work.running is not None and work.running.effect.ref is not None:
            eventlet.spawn_n(work.running.cancel)

    def attempt(self, work: Work, effect: fx.Dispatch) -> Response | None:
        """Run one attempt; None if the decisions are to be asked again."""
        attempt = Attempt(self.core, self.site.streams, work, effect)
        work.running = attempt
        try:
            if work.stream:
                response = self.first_events(work, attempt)
                if response is not None:
                    return response
            else:
                attempt.whole()
        except Exception:
            # The decisions must learn of the end in any case; operators get the cause.
            self.core.log.exception("attempt-failed", endpoint=effect.endpoint)
            attempt.broken("error")
        finally:
            work.running = None
        attempt.close()
        result = attempt.result
        self.end(effect, result)
        if result.outcome in ANSWERED:
            return Response(result.body, result.status, result.headers)
        if result.outcome is ev.Outcome.CANCELLED:
            return problems.response(work.request_id, Refusal(Reason.CALLER_LEFT, Ran.UNKNOWN))
        return None

    def first_events(self, work: Work, attempt: Attempt) -> Response | None:
        """Return a streamed answer once something of it is here; None if nothing came."""
        upstream = attempt.begin()
        if upstream is None:
            return None
        if attempt.result.outcome is not ev.Outcome.COMPLETED:
            attempt.read_whole(upstream)
            return None
        events = attempt.events(upstream)
        first = next(events, None)
        if first is None:
            return None
        body = self.stream(work, attempt, chain((first,), events))
        return Response(body, attempt.result.status, attempt.result.headers)

    def stream(self, work: Work, attempt: Attempt, events: Iterator[bytes]) -> Iterator[bytes]:
        """Pass a streamed answer on and tell the decisions how it ended."""
        ended = False
        ends_at = self.core.at() + self.site.streams.whole_s
        try:
            for data in events:
                yield data
                if self.core.at() > ends_at:
                    yield problems.event(work.request_id, STREAM_OVER)
                    return
            self.end(attempt.effect, attempt.result)
            ended = True
            if attempt.result.outcome is not ev.Outcome.COMPLETED:
                yield self.last_words(work)
        finally:
            if not ended:
                attempt.result.outcome = ev.Outcome.CANCELLED
                self.end(attempt.effect, attempt.result)
                eventlet.spawn_n(attempt.cancel)
            self.core.close(work.request_id)
            attempt.close()

    def last_words(self, work: Work) -> bytes:
        """Return the error event for a caller that has had a part of its answer."""
        mailbox = self.core.mailboxes[work.request_id]
        effect = mailbox.get()
        refusal = effect.refusal if isinstance(effect, fx.Refuse) else None
        return problems.event(work.request_id, refusal)

    def end(self, effect: fx.Dispatch, result: Result) -> None:
        """Tell the decisions how an attempt ended."""
        record = ""
        if effect.ref is None and result.outcome in ANSWERED:
            record = to_record(result)
        event = ev.AttemptEnded(
            at=self.core.at(),
            request_id=effect.request_id,
            attempt=effect.attempt,
            endpoint=effect.endpoint,
            outcome=result.outcome,
            delivered=result.delivered,
            reason=result.reason,
            answer_bytes=result.size,
            recorded_answer=record,
        )
        self.core.submit(event)


def to_record(result: Result) -> str:
    """Return an answer in the form in which it is recorded."""
    body = base64.b64encode(result.body).decode()
    return orjson.dumps([result.status, result.headers, body]).decode()


def replayed(record: str) -> Response:
    """Return a recorded answer."""
    status, headers, body = orjson.loads(record)
    return Response(base64.b64decode(body), status, {**headers, "X-Replayed": "true"})
