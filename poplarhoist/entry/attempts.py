"""One attempt of a request at an endpoint: sends it, checks the response and forwards it."""

from collections.abc import Iterator
from functools import partial

import eventlet
import orjson
from attrs import define, field
from urllib3 import Timeout
from urllib3.exceptions import HTTPError, ReadTimeoutError

from poplarhoist.decisions import effects as fx
from poplarhoist.decisions.events import Outcome
from poplarhoist.entry.core import Core
from poplarhoist.entry.endpoint_effects import endpoint_url
from poplarhoist.entry.event_stream import EventSplitter, count_events
from poplarhoist.entry.http import (
    READ_CHUNK_BYTES,
    BodyTooLong,
    never_sent,
    read_bounded,
    request_bounded,
    single_use_pool,
)
from poplarhoist.models import AdapterRef, Endpoint
from poplarhoist.settings.models import StreamSettings

DONE_EVENT = b"data: [DONE]\n\n"
# Longest event of a stream; it is passed on when it is whole. Usual events have some 100 bytes.
MAX_EVENT_BYTES = 262_144
# Longest body of a refusal, and of the answer to a cancellation.
MAX_REASON_BYTES = 65_536
EVENT_DATA_PREFIX = b"data:"
MAX_RESUME_ATTEMPTS = 3
FORWARDED_HEADERS = ("content-type",)
REQUEST_MISMATCH = "request"
ADAPTER_MISMATCH = "adapter"


@define
class CallerRequest:
    """A caller's request in the form in which it is sent to an endpoint.

    Attributes
    ----------
    path : str
        Path and query at the endpoint.
    headers : dict
        Headers that are forwarded; the attempt adds its own.
    is_streamed : bool
        Whether the response is forwarded event by event.
    requested_model : str
        Model name as the caller sent it; empty for a service call.
    active_attempt : Attempt or None
        The attempt in progress; None between attempts.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    headers: dict[str, str] = field(factory=dict)
    is_streamed: bool = False
    requested_model: str = ""
    active_attempt: "Attempt | None" = None


@define
class AttemptResult:
    """Outcome of an attempt, with the response if it was not streamed.

    Attributes
    ----------
    reason : str
        Why the attempt did not complete: the endpoint's reason, the kind of mismatch, or the class
        name of the error.
    status : int
        HTTP status of the endpoint's response; 0 if there was none.
    headers : dict
        Headers that are forwarded to the caller.
    body : bytes
        Body of a response that was not streamed.
    delivered : bool
        Whether any byte of a streamed response was passed to the caller.
    answer_bytes : int
        Size of the body, or of the events forwarded so far.
    """

    outcome: Outcome
    reason: str = ""
    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""
    delivered: bool = False
    answer_bytes: int = 0


class WrongAnswer(Exception):
    """A response belongs to another request, adapter or version."""


class ResponseOverdue(HTTPError):
    """A response lasts longer than ``StreamSettings.whole_s``."""


class StreamStalled(HTTPError):
    """A stream sent no data for longer than ``StreamSettings.gap_s``."""


class Attempt:
    """Sends one request to one endpoint over a new connection.

    A kept-alive connection may be dead without notice. If a request was written to it, "not sent"
    could not be told apart from "may have run".

    Attributes
    ----------
    overdue_at : float
        Monotonic time at which the attempt ends, whatever still arrives.
    stream_id : str
        Id by which the endpoint resumes or cancels the stream.
    received_events : int
        Complete events received so far; the offset from which the stream is resumed.
    interruptions : int
        Connections lost since the last complete event.
    is_cancelled : bool
        Whether the attempt was cancelled; it is not resumed afterwards.
    """

    def __init__(
        self,
        core: Core,
        settings: StreamSettings,
        caller_request: CallerRequest,
        dispatch: fx.Dispatch,
    ):
        self.core = core
        self.settings = settings
        self.caller_request = caller_request
        self.dispatch = dispatch
        view = core.state.members.endpoints.get(dispatch.endpoint)
        self.endpoint: Endpoint | None = view.endpoint if view else None
        self.stream_id = f"{caller_request.request_id}.{dispatch.attempt}"
        self.pool = single_use_pool()
        self.result = AttemptResult(Outcome.BROKEN)
        self.overdue_at = core.event_time() + settings.whole_s
        self.received_events = 0
        self.interruptions = 0
        self.is_cancelled = False

    def build_request_headers(self) -> dict[str, str]:
        """Return the forwarded headers and those that identify the attempt."""
        headers = {
            **self.caller_request.headers,
            "X-Request-Id": self.caller_request.request_id,
            "X-Stream-Id": self.stream_id,
            "X-Priority": str(self.dispatch.priority),
            "Connection": "close",
        }
        if self.dispatch.ref is not None:
            headers["X-Adapter"] = str(self.dispatch.ref)
        return headers

    def open_response(self, method: str, path: str, body: bytes | None, read_timeout_s: float):
        """Send a request and return its response with the body unread.

        Raises
        ------
        urllib3.exceptions.HTTPError
            If the response head is not whole after ``read_timeout_s``, which also limits each
            later read from the connection.
        """
        url = endpoint_url(self.endpoint) + path
        error = ReadTimeoutError(self.pool, url, "response head not received in time")
        with eventlet.Timeout(self.settings.connect_s + read_timeout_s, error):
            return self.pool.request(
                method,
                url,
                body=body,
                headers=self.build_request_headers(),
                preload_content=False,
                redirect=False,
                timeout=Timeout(connect=self.settings.connect_s, read=read_timeout_s),
            )

    def run(self) -> AttemptResult:
        """Run a request that is not streamed and return its result."""
        response = self.start()
        if response is not None:
            self.read_body(response)
        return self.result

    def read_body(self, response) -> None:
        """Read the body of a response that is not streamed into the result, after checking it."""
        try:
            with eventlet.Timeout(self.remaining_s(), ResponseOverdue()):
                body = read_bounded(response, self.settings.answer_bytes)
            if self.result.outcome is Outcome.COMPLETED:
                self.check_body(body)
        except WrongAnswer as error:
            self.result = AttemptResult(Outcome.WRONG, str(error))
        except (HTTPError, orjson.JSONDecodeError) as error:
            self.record_failure(type(error).__name__)
        else:
            self.result.body = body
            self.result.answer_bytes = len(body)

    def remaining_s(self) -> float:
        """Return the seconds until the attempt is overdue; at least one millisecond."""
        return max(0.001, self.overdue_at - self.core.event_time())

    def start(self):
        """Send the request and check the response head.

        Returns
        -------
        response or None
            The response with its body unread; None if the attempt has ended, with its outcome in
            ``result``.
        """
        if self.endpoint is None:
            self.result = AttemptResult(Outcome.NOT_SENT, "gone")
            return None
        try:
            response = self.send()
        except HTTPError as error:
            if never_sent(error):
                self.result = AttemptResult(Outcome.NOT_SENT, "connect")
            else:
                self.record_failure(type(error).__name__)
            return None
        if response is None:
            return None
        if response.headers.get("X-Ran") == "no":
            with eventlet.Timeout(self.remaining_s(), ResponseOverdue()):
                reason = read_refusal_reason(response)
            self.result = AttemptResult(Outcome.REFUSED, reason)
            return None
        try:
            self.check_response_head(response)
        except WrongAnswer as error:
            response.close()
            self.result = AttemptResult(Outcome.WRONG, str(error))
            return None
        outcome = Outcome.COMPLETED if response.status < 400 else Outcome.FAILED
        self.result = AttemptResult(
            outcome, status=response.status, headers=forwarded_headers(response)
        )
        return response

    def send(self):
        """Send the request and return its response with the body unread.

        A stream whose connection is silent for ``gap_s`` is opened again by its id, for about
        ``first_byte_s`` in total. None is returned if that fails too.
        """
        caller_request = self.caller_request
        if not caller_request.is_streamed:
            return self.open_response(
                caller_request.method,
                caller_request.path,
                caller_request.body,
                self.settings.first_byte_s,
            )
        try:
            return self.open_response(
                caller_request.method, caller_request.path, caller_request.body, self.settings.gap_s
            )
        except ReadTimeoutError as error:
            max_attempts = max(1, round(self.settings.first_byte_s / self.settings.gap_s))
            return self.resume(type(error).__name__, max_attempts)

    def record_failure(self, reason: str) -> None:
        """Set the outcome to broken, or to cancelled if the attempt was cancelled."""
        outcome = Outcome.CANCELLED if self.is_cancelled else Outcome.BROKEN
        self.result = AttemptResult(outcome, reason, delivered=self.result.delivered)

    def check_response_head(self, response) -> None:
        """Check that the response headers name this request, adapter and version.

        Raises
        ------
        WrongAnswer
            If they name another one.
        """
        if response.headers.get("X-Request-Id") != self.caller_request.request_id:
            raise WrongAnswer(REQUEST_MISMATCH)
        ref = self.dispatch.ref
        if ref is not None and response.headers.get("X-Adapter") != str(ref):
            raise WrongAnswer(ADAPTER_MISMATCH)

    def check_body(self, body: bytes) -> None:
        """Check that the body of a completion is valid JSON and names the expected model.

        Bodies of service calls are not checked.

        Raises
        ------
        WrongAnswer
            If it names another model.
        orjson.JSONDecodeError
            If it is truncated.
        """
        ref = self.dispatch.ref
        if ref is None:
            return
        data = orjson.loads(body)
        if not is_expected_model(data, ref, self.caller_request.requested_model):
            raise WrongAnswer(ADAPTER_MISMATCH)

    def iter_events(self, response) -> Iterator[bytes]:
        """Yield complete events up to the final one; resume over new connections if one breaks.

        The outcome in ``result`` tells whether the stream ended early.
        """
        while response is not None:
            try:
                for data in self.iter_connection_events(response):
                    yield data
                    if data.endswith(DONE_EVENT):
                        return
                reason = "ended early"
            except WrongAnswer as error:
                response.close()
                self.result = AttemptResult(
                    Outcome.WRONG, str(error), delivered=self.result.delivered
                )
                return
            except (BodyTooLong, ResponseOverdue) as error:
                # Resumed, the stream would go on like this.
                response.close()
                self.record_failure(type(error).__name__)
                return
            except HTTPError as error:
                reason = type(error).__name__
            response.close()
            self.interruptions += 1
            response = self.resume(reason, MAX_RESUME_ATTEMPTS)

    def iter_connection_events(self, response) -> Iterator[bytes]:
        """Yield the complete events of one connection and count them.

        An incomplete event at the end of the connection is dropped: the resumed stream sends it
        again.
        """
        events = EventSplitter()
        first_event_checked = False
        read = partial(response.read1, READ_CHUNK_BYTES, decode_content=False)
        chunks = iter(read, b"")
        while chunk := self.next_chunk(chunks):
            data = events.feed(chunk)
            if len(events.partial_event) > MAX_EVENT_BYTES:
                raise BodyTooLong(f"event longer than {MAX_EVENT_BYTES} bytes")
            # A read of data that is there already does not let other green threads run.
            eventlet.sleep(0)
            if not data:
                continue
            if not first_event_checked:
                self.check_first_event(data)
                first_event_checked = True
            self.received_events += count_events(data)
            self.interruptions = 0
            self.result.answer_bytes += len(data)
            self.result.delivered = True
            yield data

    def check_first_event(self, data: bytes) -> None:
        """Check that the first event of a connection names the expected model.

        Events of services and events that are not JSON data are not checked.

        Raises
        ------
        WrongAnswer
            If it names another model.
        """
        first_event = data.splitlines()[0]
        if self.dispatch.ref is None or not first_event.startswith(EVENT_DATA_PREFIX):
            return
        try:
            event = orjson.loads(first_event.removeprefix(EVENT_DATA_PREFIX))
        except orjson.JSONDecodeError:
            return
        if not is_expected_model(event, self.dispatch.ref, self.caller_request.requested_model):
            raise WrongAnswer(ADAPTER_MISMATCH)

    def next_chunk(self, chunks: Iterator[bytes]) -> bytes:
        """Return the next chunk of a response; empty at its end.

        Raises
        ------
        StreamStalled
            If nothing arrives within ``gap_s``.
        ResponseOverdue
            If the attempt is overdue.
        """
        remaining_s = self.overdue_at - self.core.event_time()
        if remaining_s <= 0.0:
            raise ResponseOverdue
        error = ResponseOverdue() if remaining_s < self.settings.gap_s else StreamStalled()
        with eventlet.Timeout(min(remaining_s, self.settings.gap_s), error):
            return next(chunks, b"")

    def resume(self, reason: str, max_attempts: int):
        """Open the stream again after the last complete event.

        Returns None and records ``reason`` as the failure if the attempt was cancelled, if the
        endpoint cannot resume the stream, if ``max_attempts`` connections fail, or if more than
        ``MAX_RESUME_ATTEMPTS`` connections in a row broke without a complete event.
        """
        path = f"/v1/streams/{self.stream_id}?offset={self.received_events}"
        for _ in range(max_attempts if self.interruptions <= MAX_RESUME_ATTEMPTS else 0):
            if self.is_cancelled:
                break
            try:
                response = self.open_response("GET", path, None, self.settings.gap_s)
                if response.status == 200:
                    self.check_response_head(response)
                    self.core.metrics.count("stream_resumed", ("yes",))
                    return response
                break
            except WrongAnswer:
                break
            except HTTPError:
                continue
        self.core.metrics.count("stream_resumed", ("no",))
        self.record_failure(reason)
        return None

    def cancel(self) -> None:
        """Cancel the stream at the endpoint; does nothing for a service call.

        If the call fails, the endpoint ends the stream by itself.
        """
        self.is_cancelled = True
        if self.endpoint is None or self.dispatch.ref is None:
            return
        pool = single_use_pool()
        url = f"{endpoint_url(self.endpoint)}/v1/streams/{self.stream_id}"
        timeout = Timeout(connect=self.settings.connect_s, read=self.settings.gap_s)
        total_s = self.settings.connect_s + self.settings.gap_s
        headers = self.build_request_headers()
        try:
            request_bounded(
                pool, "DELETE", url, total_s, MAX_REASON_BYTES, headers=headers, timeout=timeout
            )
        except HTTPError:
            self.core.metrics.count("cancel_failed")
        finally:
            pool.clear()

    def close(self) -> None:
        """Close the connection."""
        self.pool.clear()


def is_expected_model(data: object, ref: AdapterRef, requested_model: str) -> bool:
    """Return whether a response names the adapter, its version or the requested model.

    A response without a model name is accepted.
    """
    if not isinstance(data, dict):
        return False
    return data.get("model") in (None, str(ref), ref.adapter, requested_model)


def read_refusal_reason(response) -> str:
    """Return the endpoint's reason for a refusal; ``refused`` if the body cannot be read."""
    try:
        return str(orjson.loads(read_bounded(response, MAX_REASON_BYTES))["reason"])
    except (HTTPError, ValueError, KeyError, TypeError):
        return "refused"


def forwarded_headers(response) -> dict[str, str]:
    """Return the response headers that are forwarded to the caller."""
    return {name: response.headers[name] for name in FORWARDED_HEADERS if name in response.headers}
