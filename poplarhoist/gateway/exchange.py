"""One attempt to run a request at an endpoint, over a new connection or a kept one.

A response names the request that it answers, so that a late one to an earlier request on a kept
connection is not mistaken for the response to this one.
"""

from collections.abc import Iterator
from http.client import HTTPException

import eventlet
from urllib3 import HTTPHeaderDict
from urllib3.exceptions import HTTPError, NewConnectionError, ProtocolError
from urllib3.util import SKIP_HEADER

from poplarhoist.decisions.gateway.effects import Dispatch
from poplarhoist.decisions.gateway.events import (
    BodyEnd,
    EndpointNotice,
    EndpointSaidLeaving,
    Framing,
    Outcome,
    ResponseStarted,
)
from poplarhoist.decisions.gateway.memory_budget import Kind
from poplarhoist.entry.event_stream import (
    ContinuationCheck,
    EventSplitter,
    NoContinuation,
    find_last_event_id,
)
from poplarhoist.entry.http import READ_CHUNK_BYTES, BodyTooLong
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.gateway import relay_headers
from poplarhoist.gateway.attempt_connection import AttemptConnection
from poplarhoist.gateway.attempts import AttemptResult, CallerRequest
from poplarhoist.gateway.connections import ConnectionPool
from poplarhoist.gateway.interfaces import Dialect, ResponseHead

# Bytes of a response that are held before any are passed on: a plain body, a failure, or one event.
# 64 of them at once take a quarter of what an entry may grow by. What has been passed on cannot be
# sent again to another endpoint, and usual bodies have less than a hundredth of this.
MAX_HELD_BYTES = 262144
# Bytes of a long body that are passed on at once; callers that do not read hold that much.
PASSED_ON_BYTES = 16384
EVENT_STREAM_TYPE = "text/event-stream"
# Headers that urllib3 would add where the caller sent none.
SUPPRESSED_HEADERS = ("User-Agent", "Accept-Encoding")


class Exchange(AttemptConnection):
    """Sends a request to an endpoint, or an entry that passes it on, and reads the response.

    Attributes
    ----------
    result : AttemptResult
        BROKEN until the response head is accepted; a later failure replaces it.
    response_started : bool
        Whether ResponseStarted was submitted.
    received_bytes, partial_event_bytes : int
        Bytes of the body read so far, and those of them at the end that are no whole event.
    connection_reset : bool
        Whether the endpoint reset the connection.
    """

    def __init__(
        self,
        decision_loop: DecisionLoop,
        dialect: Dialect,
        request: CallerRequest,
        dispatch: Dispatch,
        pool: ConnectionPool | None = None,
    ):
        super().__init__(decision_loop, dispatch, pool)
        self.dialect = dialect
        self.request = request
        self.result = AttemptResult(Outcome.BROKEN)
        self.response_head: ResponseHead | None = None
        self.response_started = False
        self.received_bytes = 0
        self.partial_event_bytes = 0
        self.connection_reset = False

    def start(self) -> bool:
        """Send the request and check the response head; return whether the body is to be read."""
        if not self.connect():
            return False
        try:
            self.send()
            self.response = self.read_head()
        except (HTTPError, OSError) as error:
            self.record_failure(error)
            return False
        return self.check_response_head()

    def connect(self) -> bool:
        """Connect; on failure set the result to NOT_SENT or CANCELLED and return False.

        The caller may leave while the connection is made, which can take long, or the attempt be broken
        off. The request must not be sent then.
        """
        try:
            if not self.cancelled:
                self.open(self.request.head.caller_request_id)
        except (HTTPError, OSError) as error:
            outcome = Outcome.CANCELLED if self.cancelled else Outcome.NOT_SENT
            refused = isinstance(error, NewConnectionError) and isinstance(
                error.__cause__, ConnectionError
            )
            self.result = AttemptResult(outcome, type(error).__name__, connection_refused=refused)
            return False
        if self.cancelled:
            self.result = AttemptResult(Outcome.CANCELLED, "caller left")
            return False
        if self.broken_off:
            self.result = AttemptResult(Outcome.NOT_SENT, "broken off")
            return False
        self.begin()
        return True

    def send(self) -> None:
        """Send request head and body.

        GET, HEAD and DELETE without a body are sent without a Content-Length.
        """
        headers = HTTPHeaderDict()
        pairs = self.dialect.build_request_headers(
            self.request.head, self.dispatch, self.request.last_event_id
        )
        if self.dispatch.relay is not None:
            # A caller must not be able to set what entries tell one another.
            pairs = relay_headers.without_relay_headers(pairs)
            pairs += relay_headers.build_request_headers(self.dispatch.relay)
        for name, value in pairs:
            headers.add(name, value)
        for name in SUPPRESSED_HEADERS:
            if name not in headers:
                headers[name] = SKIP_HEADER
        body = self.request.body
        if not body and self.request.method in ("GET", "HEAD", "DELETE"):
            body = None
        self.connection.request(
            self.request.method,
            self.request.target,
            body=body,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )

    def read_head(self):
        """Read the response head.

        Raises
        ------
        urllib3.exceptions.ProtocolError
            If what arrives is no response head.
        OSError
            If the connection fails, or does not deliver the head in time.
        """
        self.set_read_timeout()
        try:
            return self.connection.getresponse()
        except HTTPException as error:
            raise ProtocolError("no response head", error) from error

    def record_failure(self, error: Exception) -> None:
        """Set the result of an attempt whose response did not arrive completely.

        The outcome is CANCELLED if the caller disconnected, else BROKEN_OFF if this entry ended the
        attempt, TIMED_OUT if at most 5 ms remain until the deadline, STALE if a kept connection ended
        before it brought a byte, else BROKEN.
        """
        if self.cancelled:
            outcome = Outcome.CANCELLED
        elif self.broken_off:
            outcome = Outcome.BROKEN_OFF
        elif self.expired or self.decision_loop.event_time() >= self.deadline_at - 0.005:
            outcome = Outcome.TIMED_OUT
        else:
            outcome = Outcome.STALE if self.is_unanswered_reuse() else Outcome.BROKEN
        # urllib3 wraps the error that tells how the connection failed.
        cause = error.__cause__ or error
        is_own_end = outcome in (Outcome.CANCELLED, Outcome.BROKEN_OFF)
        if not is_own_end and self.is_unanswered_reuse():
            # The kernel's own timeout of unacknowledged bytes raises TimeoutError, too.
            is_silent = outcome is Outcome.TIMED_OUT or isinstance(cause, TimeoutError)
            self.report_reuse_failed(is_silent)
        self.connection_reset = type(cause) is ConnectionResetError
        self.result = AttemptResult(outcome, type(cause).__name__)

    def check_response_head(self) -> bool:
        """Set the result by the response head; return whether the body is to be read.

        A response that names another request id counts as BROKEN, also if it says that the request did
        not run; only a refusal may name none. A successful response without a seal counts as BROKEN,
        too. Status 500 and above counts as FAILED, and so does the response of an entry that was to
        pass the request on, unless that says that the request did not run.
        """
        status = self.response.status
        self.response_head = self.dialect.parse_response_head(status, self.response.headers.items())
        if self.response_head.is_leaving and (run := self.responding_run()) is not None:
            # Told at once: the body may take long, or never come.
            self.decision_loop.submit(EndpointSaidLeaving(self.decision_loop.event_time(), *run))
        refusal = self.relay_refusal()
        if refusal is not None:
            outcome = Outcome.FAILED
            if refusal == relay_headers.Refusal.NOT_RUN:
                outcome = Outcome.NOT_RUN
            headers = relay_headers.without_relay_headers(self.response_head.returned_headers)
            self.result = AttemptResult(outcome, f"refused with {status}", status, headers)
            return outcome is Outcome.FAILED
        told_id, own_id = self.response_head.caller_request_id, self.request.head.caller_request_id
        if self.response_head.not_run and told_id in ("", own_id):
            self.result = AttemptResult(Outcome.NOT_RUN, f"status {status}", status)
            return False
        if told_id != own_id:
            self.result = AttemptResult(Outcome.BROKEN, "response to another request", status)
            return False
        if 200 <= status < 300 and not self.response_head.has_seal:
            self.result = AttemptResult(Outcome.BROKEN, "response without a seal", status)
            return False
        outcome = Outcome.DONE if status < 500 else Outcome.FAILED
        headers = self.response_head.returned_headers
        if self.dispatch.relay is not None:
            headers = relay_headers.without_relay_headers(headers)
        self.result = AttemptResult(outcome, "", status, headers)
        return True

    def responding_run(self) -> tuple[str, int] | None:
        """Return name and incarnation of the endpoint that responds; None if it is not known."""
        if self.dispatch.relay is not None:
            text = self.response.headers.get(relay_headers.ENDPOINT_HEADER)
            return relay_headers.parse_endpoint_header(text)
        return self.dispatch.endpoint.name, self.dispatch.endpoint.incarnation

    def relay_refusal(self) -> str | None:
        """Return how the entry that was to pass the request on ended it; None if it did not."""
        if self.dispatch.relay is None:
            return None
        return self.response.headers.get(relay_headers.REFUSAL_HEADER)

    def submit_response_started(self) -> None:
        """Submit the arrival of the first byte, once."""
        if self.response_started:
            return
        self.response_started = True
        event = ResponseStarted(
            self.decision_loop.event_time(),
            self.dispatch.request_id,
            self.dispatch.attempt,
            self.response_head.notice,
        )
        self.decision_loop.submit(event)

    def read_body(self) -> None:
        """Read the whole response body into the result; on a failure set the result instead.

        A body of more than `MAX_HELD_BYTES` is a failure, and so is one for which there is no room.
        """
        if self.read_beginning():
            self.record_failure(BodyTooLong("body too long"))

    def read_beginning(self) -> bool:
        """Read the response body into the result, up to a little more than `MAX_HELD_BYTES`.

        It is less if there is no room for more.

        Returns
        -------
        bool
            Whether there may be more. On a failure the result is set, and there is no more.
        """
        body = bytearray()
        room = self.request.room
        # What an earlier attempt has left is no longer held.
        room.give_back(Kind.RESPONSE)
        try:
            while len(body) <= MAX_HELD_BYTES:
                data = self.read_available()
                if not data:
                    self.result.body = bytes(body)
                    return False
                body += data
                # The buffer and the body of the result, for a moment.
                if not room.try_take(Kind.RESPONSE, 2 * len(data)):
                    break
        except (HTTPError, OSError) as error:
            self.record_failure(error)
            return False
        self.result.body = bytes(body)
        return True

    def iter_plain(self) -> Iterator[bytes]:
        """Yield what was read of a long body, and then the rest as it arrives.

        A failure ends the iteration and sets the result.
        """
        beginning, self.result.body = self.result.body, b""
        # Whoever writes a part copies it to frame it.
        for start in range(0, len(beginning), PASSED_ON_BYTES):
            yield beginning[start : start + PASSED_ON_BYTES]
        del beginning
        self.request.room.give_back(Kind.RESPONSE)
        try:
            while data := self.read_available(PASSED_ON_BYTES):
                yield data
        except (HTTPError, OSError) as error:
            self.record_failure(error)

    def read_available(self, max_bytes: int = READ_CHUNK_BYTES) -> bytes:
        """Wait for the next bytes of the body and return them; empty at the end."""
        self.set_read_timeout()
        if self.request.method == "HEAD":
            return b""
        data = self.response.read1(max_bytes, decode_content=False)
        if self.expired:
            raise TimeoutError("deadline passed")
        if self.broken_off:
            raise ConnectionAbortedError("attempt broken off")
        # A read of data that is there already does not let other green threads run.
        eventlet.sleep(0)
        self.received_bytes += len(data)
        self.submit_response_started()
        return data

    def iter_chunks(self) -> Iterator[bytes]:
        """Yield a streamed body as it arrives, a stream of events in whole events.

        A failure ends the iteration and sets the result. A stream that ends inside an event was cut
        short, also if its connection was closed in order, and so was one that has neither an event
        nor an end of its own. What is to continue a stream, and does not, is not passed on.
        """
        events = EventSplitter()
        is_event_stream = self.is_event_stream()
        if self.request.delivered and not is_event_stream:
            self.record_failure(NoContinuation("no events"))
            return
        last_event_id = self.request.last_event_id
        continuation = ContinuationCheck(last_event_id) if last_event_id else None
        try:
            while data := self.read_available():
                if not is_event_stream:
                    yield data
                    continue
                whole_events = events.feed(data)
                self.partial_event_bytes = len(events.partial_event)
                if self.partial_event_bytes > MAX_HELD_BYTES:
                    raise BodyTooLong("event too long")
                self.count_partial_event()
                if whole_events:
                    if continuation is not None:
                        continuation.feed(whole_events)
                    self.request.last_event_id = (
                        find_last_event_id(whole_events) or self.request.last_event_id
                    )
                    yield whole_events
        except (HTTPError, OSError, NoContinuation) as error:
            self.record_failure(error)
            return
        has_no_end = is_event_stream and self.framing() is Framing.CONNECTION
        if events.partial_event or (has_no_end and not self.received_bytes):
            self.record_failure(EOFError())

    def count_partial_event(self) -> None:
        """Count what is held of an event that is not whole, if it is long.

        Raises
        ------
        BodyTooLong
            If there is no room for it.
        """
        if self.partial_event_bytes <= READ_CHUNK_BYTES:
            return
        self.request.room.give_back(Kind.RESPONSE)
        if not self.request.room.try_take(Kind.RESPONSE, self.partial_event_bytes):
            raise BodyTooLong("no room for the event")

    def is_event_stream(self) -> bool:
        """Return whether the body consists of events; it does unless its content type differs."""
        content_type = self.response.headers.get("content-type", EVENT_STREAM_TYPE)
        return content_type.partition(";")[0].strip().lower() == EVENT_STREAM_TYPE

    def framing(self) -> Framing:
        """Return what marks the end of the response body."""
        if self.response is None:
            return Framing.NONE
        if self.response.chunked:
            return Framing.CHUNKED
        if "content-length" in self.response.headers:
            return Framing.LENGTH
        return Framing.CONNECTION

    def untold_notice(self) -> EndpointNotice | None:
        """Return what the head says of the endpoint, unless ResponseStarted has told it."""
        if self.response_head is None or self.response_started:
            return None
        return self.response_head.notice

    def body_end(self) -> BodyEnd:
        """Return how far the body of the response was read."""
        return BodyEnd(
            self.framing(),
            self.received_bytes,
            self.partial_event_bytes,
            self.connection_reset,
            self.is_reused,
        )

    def close(self) -> None:
        """Keep the connection, or close it and the response; called by the thread that reads."""
        if self.is_given_back:
            return
        if self.expiry is not None:
            self.expiry.cancel()
            self.expiry = None
        is_answer = self.result.outcome in (Outcome.DONE, Outcome.FAILED)
        request_id = self.request.head.caller_request_id
        if not self.give_back(is_answer, bool(self.request.body), request_id):
            self.disconnect()
