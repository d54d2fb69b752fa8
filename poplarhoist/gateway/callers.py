"""The WSGI application for callers: reads requests, follows the decisions, passes answers on."""

import itertools
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus

import eventlet
import orjson
import xxhash
from eventlet.queue import LightQueue

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.configuration import find_route
from poplarhoist.decisions.gateway.models import CallerLimits, Refused
from poplarhoist.entry.caller_watch import CallerWatch
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.gateway.exchange import CallerRequest, Exchange
from poplarhoist.gateway.interfaces import Dialect

PROTOCOL_KEY = "poplarhoist.protocol"
JSON_CONTENT_TYPE = ("Content-Type", "application/json")
# Seconds that a body may take to arrive.
BODY_TIMEOUT_S = 10.0
STATUS_BY_REASON = {
    Refused.NO_ROUTE: HTTPStatus.NOT_FOUND,
    Refused.DEADLINE: HTTPStatus.SERVICE_UNAVAILABLE,
}
STATUS_BY_REASON_AFTER_RUN = {Refused.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT}
ANSWERED_OUTCOMES = (ev.Outcome.DONE, ev.Outcome.FAILED)


class StreamBroken(Exception):
    """A streamed answer cannot be finished; its connection must end without its last chunk."""


class CallerApplication:
    """Serves callers."""

    def __init__(self, core: DecisionLoop, dialect: Dialect) -> None:
        self.core = core
        self.dialect = dialect
        self.request_numbers = itertools.count(1)

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request."""
        protocol = environ[PROTOCOL_KEY]
        if self.core.state.draining_since is not None:
            protocol.close_connection = 1
        try:
            body = read_body(environ, self.limits())
        except BadBody as error:
            protocol.close_connection = 1
            return json_error(start_response, error.status, str(error))
        target = protocol.path
        head = self.dialect.parse_request_head(environ["headers_raw"])
        path = target.partition("?")[0]
        method = environ["REQUEST_METHOD"]
        digest = xxhash.xxh3_64_hexdigest(b"\n".join((method.encode(), target.encode(), body)))
        request = CallerRequest(
            request_id=f"{next(self.request_numbers)}",
            method=method,
            target=target,
            body=body,
            head=head,
            last_event_id=head.last_event_id,
        )
        event = ev.RequestArrived(
            at=self.core.event_time(),
            request_id=request.request_id,
            caller_id=head.caller_request_id,
            host=environ.get("HTTP_HOST", ""),
            path=path,
            deadline_s=head.deadline_s,
            prompt=head.prompt,
            content_digest=digest,
        )
        return RequestHandler(self, environ, start_response, request).run(event)

    def limits(self) -> CallerLimits:
        """Return what callers may send."""
        configuration = self.core.state.configuration
        return configuration.limits if configuration is not None else CallerLimits()


class RequestHandler:
    """Follows the decisions for one request until it has its answer."""

    def __init__(self, app: CallerApplication, environ, start_response, request) -> None:
        self.core = app.core
        self.dialect = app.dialect
        self.start_response = start_response
        self.environ = environ
        self.request: CallerRequest = request
        self.mailbox: LightQueue = self.core.open_mailbox(request.request_id)
        self.caller_disconnected = False
        self.last_failure = None
        self.caller_watch = CallerWatch(environ, self.on_caller_disconnected)

    def run(self, event: ev.RequestArrived) -> Iterable[bytes]:
        """Return the answer."""
        route = find_route(self.core.state, event.host, event.path)
        self.request.resumable = route is not None and route.resumable
        streams = False
        try:
            self.core.submit(event)
            while True:
                effect = self.mailbox.get()
                if effect is None:
                    return self.end_without_response()
                if isinstance(effect, fx.Refuse):
                    return self.refuse(effect)
                if isinstance(effect, fx.ForwardFailure):
                    return self.respond(self.last_failure)
                first, rest = None, None
                if effect.stream:
                    exchange, first, rest = self.start_stream(effect)
                else:
                    exchange = self.run_exchange(effect)
                if first is not None:
                    streams = True
                    return StreamedBody(self, exchange, first, rest)
                self.submit_attempt_ended(exchange)
                if exchange.result.outcome is ev.Outcome.DONE:
                    return self.respond(exchange.result)
                self.last_failure = exchange.result
        finally:
            if not streams:
                self.finish()

    def run_exchange(self, effect: fx.Dispatch) -> Exchange:
        """Run an attempt whose answer is read whole."""
        exchange = self.new_exchange(effect)
        try:
            if exchange.start():
                exchange.read_body()
        finally:
            exchange.close()
            self.request.active_exchange = None
        return exchange

    def new_exchange(self, effect: fx.Dispatch) -> Exchange:
        """Begin an attempt."""
        exchange = Exchange(self.core, self.dialect, self.request, effect)
        exchange.cancelled = self.caller_disconnected
        self.request.active_exchange = exchange
        return exchange

    def start_stream(self, effect: fx.Dispatch) -> tuple[Exchange, bytes | None, Iterator | None]:
        """Run an attempt until the first piece of its answer is here."""
        exchange = self.new_exchange(effect)
        if not exchange.start():
            exchange.close()
            return exchange, None, None
        if exchange.result.status != HTTPStatus.OK:
            exchange.read_body()
            exchange.close()
            return exchange, None, None
        pieces = exchange.iter_chunks()
        first = next(pieces, None)
        if first is None:
            exchange.close()
        return exchange, first, pieces

    def respond(self, result) -> list[bytes]:
        """Return an endpoint's answer."""
        headers = [h for h in result.headers if h[0].lower() != "content-length"]
        if self.request.method == "HEAD":
            headers = result.headers
        self.start_response(status_line(result.status), headers)
        return [result.body]

    def refuse(self, effect: fx.Refuse) -> list[bytes]:
        """Return a final answer of the gateway's own."""
        if effect.ran:
            status = STATUS_BY_REASON_AFTER_RUN.get(effect.reason, HTTPStatus.BAD_GATEWAY)
        else:
            status = STATUS_BY_REASON.get(effect.reason, HTTPStatus.SERVICE_UNAVAILABLE)
        headers = [JSON_CONTENT_TYPE]
        if effect.retry_after_s and status == HTTPStatus.SERVICE_UNAVAILABLE:
            headers.append(("Retry-After", f"{effect.retry_after_s:.2f}"))
        if status == HTTPStatus.NOT_FOUND:
            return json_error(self.start_response, status, effect.reason)
        self.start_response(status_line(status), headers)
        return [orjson.dumps({"error": effect.reason, "ran": effect.ran})]

    def end_without_response(self) -> list[bytes]:
        """End without an answer; the caller left."""
        self.environ[PROTOCOL_KEY].close_connection = 1
        self.start_response(status_line(HTTPStatus.BAD_GATEWAY), [])
        return [b""]

    def submit_attempt_ended(self, exchange: Exchange) -> None:
        """Tell the decisions how an attempt ended."""
        result = exchange.result
        if exchange.cancelled and result.outcome not in ANSWERED_OUTCOMES:
            result.outcome = ev.Outcome.CANCELLED
        event = ev.AttemptEnded(
            at=self.core.event_time(),
            request_id=self.request.request_id,
            attempt=exchange.dispatch.attempt,
            outcome=result.outcome,
            status=result.status,
            delivered=self.request.delivered,
            connection_refused=result.connection_refused,
            reason=result.reason,
        )
        self.core.submit(event)
        if self.caller_disconnected or result.outcome is ev.Outcome.CANCELLED:
            self.mailbox.put(None)

    def on_caller_disconnected(self) -> None:
        """Stop what is done for a caller that went away."""
        self.caller_disconnected = True
        self.core.submit(ev.CallerDisconnected(self.core.event_time(), self.request.request_id))
        if self.request.active_exchange is not None:
            self.request.active_exchange.cancel()
        else:
            self.mailbox.put(None)

    def finish(self) -> None:
        """Stop watching; the server may read from the connection again."""
        self.caller_watch.stop()
        self.core.close_mailbox(self.request.request_id)


class StreamedBody:
    """A streamed answer, continued at another endpoint where that is allowed."""

    def __init__(
        self, handler: RequestHandler, exchange: Exchange, first: bytes, rest: Iterator
    ) -> None:
        self.handler = handler
        self.exchange: Exchange | None = exchange
        self.chunks = itertools.chain((first,), rest)
        headers = [h for h in exchange.result.headers if h[0].lower() != "content-length"]
        handler.start_response(status_line(exchange.result.status), headers)

    def __iter__(self) -> Iterator[bytes]:
        """Yield the answer's pieces.

        Raises
        ------
        StreamBroken
            If the answer cannot be finished.
        """
        while True:
            for data in self.chunks:
                self.handler.request.delivered = True
                yield data
            exchange, self.exchange = self.exchange, None
            exchange.close()
            self.handler.submit_attempt_ended(exchange)
            if exchange.result.outcome is ev.Outcome.DONE:
                return
            self.resume()

    def resume(self) -> None:
        """Continue at the endpoint that the decisions name next."""
        handler = self.handler
        while True:
            effect = handler.mailbox.get()
            if not isinstance(effect, fx.Dispatch):
                raise StreamBroken
            exchange, first, rest = handler.start_stream(effect)
            if first is not None:
                self.exchange = exchange
                self.chunks = itertools.chain((first,), rest)
                return
            if exchange.result.outcome is ev.Outcome.DONE:
                # An answer without events is no continuation.
                exchange.result.outcome = ev.Outcome.BROKEN
            handler.submit_attempt_ended(exchange)

    def close(self) -> None:
        """End the attempt if the caller went away in the middle."""
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.cancelled = True
            exchange.close()
            exchange.result.outcome = ev.Outcome.CANCELLED
            self.handler.submit_attempt_ended(exchange)
        self.handler.finish()


class BadBody(Exception):
    """A request's body cannot be taken."""

    def __init__(self, status: HTTPStatus, message: str) -> None:
        super().__init__(message)
        self.status = status


def read_body(environ: dict, limits: CallerLimits) -> bytes:
    """Return the whole body of a request.

    Raises
    ------
    BadBody
        If it is too large, too slow or broken off.
    """
    length = environ.get("CONTENT_LENGTH") or ""
    if length.isdigit() and int(length) > limits.max_body_bytes:
        raise BadBody(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
    source = environ["wsgi.input"]
    late = BadBody(HTTPStatus.REQUEST_TIMEOUT, "body too slow")
    try:
        with eventlet.Timeout(BODY_TIMEOUT_S, late):
            body = source.read(limits.max_body_bytes + 1) if has_body(environ) else b""
    except (OSError, ValueError) as error:
        raise BadBody(HTTPStatus.BAD_REQUEST, f"body broke off: {error}") from error
    if len(body) > limits.max_body_bytes:
        raise BadBody(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
    if length.isdigit() and len(body) != int(length):
        raise BadBody(HTTPStatus.BAD_REQUEST, "body shorter than announced")
    return body


def has_body(environ: dict) -> bool:
    """Return whether a request announces a body."""
    return bool(environ.get("CONTENT_LENGTH")) or "HTTP_TRANSFER_ENCODING" in environ


def json_error(start_response: Callable, status: int, message: str) -> list[bytes]:
    """Answer with an error of the gateway's own."""
    start_response(status_line(status), [JSON_CONTENT_TYPE])
    return [orjson.dumps({"error": message})]


def status_line(status: int) -> str:
    """Return code and phrase of a status."""
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"
