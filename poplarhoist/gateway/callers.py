"""The WSGI application that serves callers.

It reads a request, submits it to the decision loop, carries out the effects for it (dispatch to an
endpoint, refusal) and returns the response.
"""

import itertools
import math
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus

import orjson
import xxhash
from eventlet.queue import LightQueue

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.models import CallerLimits, Refused, RelayTerms
from poplarhoist.entry.caller_watch import CallerWatch
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.gateway import relay_headers
from poplarhoist.gateway.attempts import AttemptResult, CallerRequest
from poplarhoist.gateway.connections import ConnectionPool
from poplarhoist.gateway.error_responses import JSON_CONTENT_TYPE, json_error, status_line
from poplarhoist.gateway.exchange import Exchange
from poplarhoist.gateway.guarded_protocol import PROTOCOL_KEY
from poplarhoist.gateway.hedged_attempts import HedgedAttempt, HedgeRunner
from poplarhoist.gateway.interfaces import Dialect, Headers, RequestHead
from poplarhoist.gateway.request_reading import BadRequest, read_body
from poplarhoist.gateway.room import ROOM_KEY, UNBOUNDED
from poplarhoist.gateway.streamed_body import StreamedBody

# Statuses for requests that did not run; 503 for reasons not listed here.
STATUS_BY_REASON = {
    Refused.NO_ROUTE: HTTPStatus.NOT_FOUND,
    Refused.UNKNOWN_KEY: HTTPStatus.UNAUTHORIZED,
    Refused.QUOTA: HTTPStatus.TOO_MANY_REQUESTS,
    Refused.DEADLINE: HTTPStatus.SERVICE_UNAVAILABLE,
}
# Statuses with which a caller is told when to come back.
RETRY_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
# Statuses for requests that may have run at an endpoint; 502 for reasons not listed here.
STATUS_BY_REASON_AFTER_RUN = {Refused.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT}
# Outcomes in which the endpoint sent a whole response.
ANSWERED_OUTCOMES = (ev.Outcome.DONE, ev.Outcome.FAILED)


class CallerApplication:
    """The WSGI application for callers.

    Attributes
    ----------
    decision_loop : DecisionLoop
        Takes the events of all requests and returns their effects.
    request_numbers : iterator
        Source of the request ids, which are unique within this process.
    is_relay : bool
        Whether the requests come from other entries, which have no links to endpoints.
    """

    request_numbers = itertools.count(1)

    def __init__(
        self,
        decision_loop: DecisionLoop,
        dialect: Dialect,
        is_relay: bool = False,
        pool: ConnectionPool | None = None,
        hedge_runner: HedgeRunner | None = None,
    ) -> None:
        self.pool = pool
        self.hedge_runner = hedge_runner
        self.decision_loop = decision_loop
        self.dialect = dialect
        self.is_relay = is_relay

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Read one request and return its response body.

        A body that cannot be read is answered with an error, and the connection is closed, since
        the rest of the body may still be on it. While the entry drains, every response closes its
        connection.
        """
        protocol = environ[PROTOCOL_KEY]
        if self.decision_loop.state.draining_since is not None:
            protocol.close_connection = 1
        try:
            header_pairs, relay = self.split_relay_headers(environ["headers_raw"])
            head = self.parse_head(header_pairs)
            body = read_body(environ, self.limits())
        except BadRequest as error:
            protocol.close_connection = 1
            headers = [relay_headers.build_refusal_header(False)] if self.is_relay else []
            if error.retry_after_s is not None:
                headers.append(("Retry-After", f"{error.retry_after_s:.2f}"))
                return json_error(start_response, error.status, str(error), headers, ran=False)
            status = error.status
            is_configured = self.decision_loop.state.configuration is not None
            if status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE and not is_configured:
                # The configuration may allow it.
                status = HTTPStatus.SERVICE_UNAVAILABLE
            self.record_unreadable(status, error.step, str(error), environ["REMOTE_ADDR"])
            return json_error(start_response, status, str(error), headers)
        target = protocol.path
        path = target.partition("?")[0]
        method = environ["REQUEST_METHOD"]
        digest = xxhash.xxh3_64(b"\n".join((method.encode(), target.encode(), b"")))
        # The body is not copied.
        digest.update(body)
        request = CallerRequest(
            request_id=f"{next(self.request_numbers)}",
            method=method,
            target=target,
            body=body,
            head=head,
            last_event_id=head.last_event_id,
            room=environ.get(ROOM_KEY, UNBOUNDED),
        )
        event = ev.RequestArrived(
            at=self.decision_loop.event_time(),
            request_id=request.request_id,
            caller_id=head.caller_request_id,
            host=environ.get("HTTP_HOST", ""),
            path=path,
            deadline_s=head.deadline_s,
            prompt=head.prompt,
            content_digest=digest.hexdigest(),
            last_event_id=head.last_event_id,
            resumed_caller_id=head.resumed_caller_id,
            relay=relay,
            key_digest=head.key_digest,
            key_lines=head.key_lines,
        )
        return RequestHandler(self, environ, start_response, request).run(event)

    def split_relay_headers(self, pairs: Headers) -> tuple[Headers, RelayTerms | None]:
        """Return a caller's headers, and what the entry asks for that sent the request, if one did.

        Raises
        ------
        BadRequest
            If the request should come from an entry and does not.
        """
        if not self.is_relay:
            return pairs, None
        try:
            terms = relay_headers.parse_request_headers(pairs)
        except ValueError as error:
            message = f"no request of another entry: {error}"
            raise BadRequest(HTTPStatus.BAD_REQUEST, message, "relay") from error
        return relay_headers.without_relay_headers(pairs), terms

    def parse_head(self, pairs: Headers) -> RequestHead:
        """Return the parsed head of a request.

        Raises
        ------
        BadRequest
            If it is unclear.
        """
        try:
            return self.dialect.parse_request_head(pairs)
        except ValueError as error:
            raise BadRequest(HTTPStatus.BAD_REQUEST, str(error), "head") from error

    def record_unreadable(self, status: HTTPStatus, step: str, problem: str, caller: str) -> None:
        """Log and count a request that cannot be read.

        Parameters
        ----------
        step : str
            What could not be read: "head", "body", or "relay" for what entries tell one another.
        caller : str
            Address of the other side.
        """
        self.decision_loop.metrics.count("request_unreadable", (str(int(status)),))
        self.decision_loop.log.warning(
            "request-not-read", step=step, status=int(status), detail=problem[:200], caller=caller
        )

    def limits(self) -> CallerLimits:
        """Return the limits on requests; the defaults while there is no configuration."""
        configuration = self.decision_loop.state.configuration
        return configuration.limits if configuration is not None else CallerLimits()


class RequestHandler:
    """Carries out the effects for one request until it has a response.

    Attributes
    ----------
    mailbox : LightQueue
        Effects for this request; None means that the caller disconnected.
    caller_disconnected : bool
        Whether the caller closed its connection before the response was complete.
    last_failure : AttemptResult or None
        Result of the latest failed attempt, which ForwardFailure returns to the caller.
    last_exchange : Exchange or None
        The latest attempt.
    caller_watch : CallerWatch
        Calls `on_caller_disconnected` when the caller closes its connection.
    hedge : HedgedAttempt or None
        The second attempt beside the latest one.
    is_relay : bool
        Whether the caller is another entry.
    """

    def __init__(self, app: CallerApplication, environ, start_response, request) -> None:
        self.decision_loop = app.decision_loop
        self.pool = app.pool
        self.hedge_runner = app.hedge_runner
        self.hedge: HedgedAttempt | None = None
        self.dialect = app.dialect
        self.is_relay = app.is_relay
        self.start_response = start_response
        self.environ = environ
        self.request: CallerRequest = request
        self.mailbox: LightQueue = self.decision_loop.open_mailbox(request.request_id)
        self.caller_disconnected = False
        self.last_failure = None
        self.last_exchange: Exchange | None = None
        self.caller_watch = CallerWatch(environ, self.on_caller_disconnected)

    def run(self, event: ev.RequestArrived) -> Iterable[bytes]:
        """Submit the request and carry out its effects; return the response body."""
        is_streamed = False
        if self.hedge_runner is not None:
            self.hedge_runner.add(self)
        try:
            self.decision_loop.submit(event)
            while True:
                effect = self.mailbox.get()
                if effect is None:
                    return self.end_without_response()
                if isinstance(effect, fx.Refuse):
                    return self.refuse(effect)
                if isinstance(effect, fx.ForwardFailure):
                    return self.respond(self.last_failure)
                self.hedge = None
                exchange, first_chunk, chunks = self.run_attempt(effect)
                has_ended = False
                if self.hedge is not None:
                    exchange, first_chunk, chunks, has_ended = self.hedge.settle(
                        exchange, first_chunk, chunks
                    )
                    self.last_exchange = exchange
                if first_chunk is not None:
                    is_streamed = True
                    return StreamedBody(self, exchange, first_chunk, chunks)
                if not has_ended:
                    self.submit_attempt_ended(exchange)
                if exchange.result.outcome is ev.Outcome.DONE:
                    return self.respond(exchange.result)
                self.last_failure = exchange.result
        finally:
            if not is_streamed:
                self.finish()

    def run_attempt(
        self, effect: fx.Dispatch
    ) -> tuple[Exchange, bytes | None, Iterator[bytes] | None]:
        """Run an attempt as `start_plain` or `start_stream` does; any exception counts as a failure.

        Without the end of its attempt the request would never end in the decision loop.
        """
        try:
            return self.start_stream(effect) if effect.stream else self.start_plain(effect)
        except Exception as error:
            exchange = self.last_exchange
            self.decision_loop.log.exception(
                "attempt-ended-by-exception",
                caller_id=self.request.head.caller_request_id,
                attempt=effect.attempt,
            )
            self.end_exchange(exchange)
            exchange.result = AttemptResult(ev.Outcome.BROKEN, type(error).__name__)
            return exchange, None, None

    def end_exchange(self, exchange: Exchange) -> None:
        """Close the exchange of an attempt; a caller that leaves from now on cancels nothing of it."""
        exchange.close()
        if self.request.active_exchange is exchange:
            self.request.active_exchange = None

    def start_plain(self, effect: fx.Dispatch) -> tuple[Exchange, bytes | None, Iterator | None]:
        """Run an attempt and read the whole response body, unless it is too long to be held.

        Returns
        -------
        tuple
            As of `start_stream`; the first chunk is None unless a long body is to be passed on.
        """
        exchange = self.new_exchange(effect)
        first_chunk = chunks = None
        try:
            if exchange.start():
                if exchange.result.outcome is ev.Outcome.FAILED:
                    exchange.read_body()
                elif exchange.read_beginning():
                    chunks = exchange.iter_plain()
                    first_chunk = next(chunks)
        finally:
            if first_chunk is None:
                self.end_exchange(exchange)
        return exchange, first_chunk, chunks

    def new_exchange(self, effect: fx.Dispatch) -> Exchange:
        """Create the exchange of an attempt and make it the one that a disconnect cancels."""
        exchange = Exchange(self.decision_loop, self.dialect, self.request, effect, self.pool)
        exchange.cancelled = self.caller_disconnected
        self.last_exchange = exchange
        self.request.active_exchange = exchange
        return exchange

    def start_stream(self, effect: fx.Dispatch) -> tuple[Exchange, bytes | None, Iterator | None]:
        """Run an attempt until the first chunk of a streamed response arrives.

        Returns
        -------
        tuple
            The exchange, its first chunk, and an iterator over the rest. The first chunk is None
            if there is nothing to stream: the attempt failed, the status was not 200 (the body was
            read whole), or the body was empty. The exchange is closed in that case.
        """
        exchange = self.new_exchange(effect)
        if not exchange.start():
            self.end_exchange(exchange)
            return exchange, None, None
        if exchange.result.status != HTTPStatus.OK:
            exchange.read_body()
            self.end_exchange(exchange)
            return exchange, None, None
        chunks = exchange.iter_chunks()
        first_chunk = next(chunks, None)
        if first_chunk is None:
            self.end_exchange(exchange)
        return exchange, first_chunk, chunks

    def endpoint_headers(self, exchange: Exchange | None) -> Headers:
        """Return the headers that tell another entry which endpoint responds."""
        if not self.is_relay or exchange is None:
            return []
        record = exchange.dispatch.endpoint
        return [relay_headers.build_endpoint_header(record.name, record.incarnation)]

    def respond(self, result) -> list[bytes]:
        """Return an endpoint's response.

        The WSGI server computes the Content-Length. For HEAD the body is empty, so the endpoint's
        own header is passed on.
        """
        headers = [h for h in result.headers if h[0].lower() != "content-length"]
        if self.request.method == "HEAD":
            headers = result.headers
        headers = headers + self.endpoint_headers(self.last_exchange)
        self.start_response(status_line(result.status), headers)
        return [result.body]

    def refuse(self, effect: fx.Refuse) -> list[bytes]:
        """Return an error response of the gateway.

        Retry-After is sent only with 503 and 429, in seconds with two decimals. With 429 it is rounded
        up, as a caller that comes back before finds its quota still used up.
        """
        if effect.ran:
            status = STATUS_BY_REASON_AFTER_RUN.get(effect.reason, HTTPStatus.BAD_GATEWAY)
        else:
            status = STATUS_BY_REASON.get(effect.reason, HTTPStatus.SERVICE_UNAVAILABLE)
        headers = [JSON_CONTENT_TYPE]
        if effect.retry_after_s and status in RETRY_STATUSES:
            retry_after_s = effect.retry_after_s
            if status == HTTPStatus.TOO_MANY_REQUESTS:
                retry_after_s = math.ceil(retry_after_s * 100) / 100
            headers.append(("Retry-After", f"{retry_after_s:.2f}"))
        if self.is_relay:
            headers.append(relay_headers.build_refusal_header(effect.ran))
        elif status == HTTPStatus.NOT_FOUND:
            return json_error(self.start_response, status, effect.reason)
        self.start_response(status_line(status), headers)
        return [orjson.dumps({"error": effect.reason, "ran": effect.ran})]

    def end_without_response(self) -> list[bytes]:
        """Close the connection of a caller that disconnected.

        WSGI requires a response, so one with status 502 is started, which nobody receives.
        """
        self.environ[PROTOCOL_KEY].close_connection = 1
        self.start_response(status_line(HTTPStatus.BAD_GATEWAY), [])
        return [b""]

    def submit_attempt_ended(self, exchange: Exchange) -> None:
        """Submit the result of an attempt.

        An attempt that was cancelled before the endpoint sent a whole response counts as cancelled.
        """
        result = exchange.result
        if exchange.cancelled and result.outcome not in ANSWERED_OUTCOMES:
            result.outcome = ev.Outcome.CANCELLED
        event = ev.AttemptEnded(
            at=self.decision_loop.event_time(),
            request_id=self.request.request_id,
            attempt=exchange.dispatch.attempt,
            outcome=result.outcome,
            status=result.status,
            delivered=self.request.delivered,
            connection_refused=result.connection_refused,
            reason=result.reason,
            body_end=exchange.body_end(),
            notice=exchange.untold_notice(),
        )
        self.decision_loop.submit(event)
        if self.caller_disconnected or result.outcome is ev.Outcome.CANCELLED:
            self.mailbox.put(None)

    def on_caller_disconnected(self) -> None:
        """Submit that the caller disconnected, and cancel the attempt in flight.

        Without an attempt in flight, the handler that waits at the mailbox is woken up.
        """
        self.caller_disconnected = True
        self.decision_loop.submit(
            ev.CallerDisconnected(self.decision_loop.event_time(), self.request.request_id)
        )
        if self.hedge is not None:
            self.hedge.cancel()
        if self.request.active_exchange is not None:
            self.request.active_exchange.cancel()
        else:
            self.mailbox.put(None)

    def finish(self) -> None:
        """Stop the disconnect watch, drop the mailbox, and let the decision loop forget the request.

        The server may read the next request from the connection only after the watch has stopped.
        """
        self.caller_watch.stop()
        if self.request.request_id in self.decision_loop.state.requests:
            self.decision_loop.submit(
                ev.RequestAbandoned(self.decision_loop.event_time(), self.request.request_id)
            )
        if self.hedge_runner is not None:
            self.hedge_runner.remove(self.request.request_id)
        self.decision_loop.close_mailbox(self.request.request_id)
        # Not only when the garbage collector finds the circles of references.
        self.request.body = b""
        self.request.active_exchange = self.last_exchange = self.last_failure = None
