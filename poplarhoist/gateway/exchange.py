"""One attempt of a request at an endpoint, over a connection of its own.

A connection of its own makes sure that "not sent" can be told from "may have run", and that no
late answer to another request is taken for this one's.
"""

import contextlib
import os
import socket
from collections.abc import Iterator

from attrs import define, field
from urllib3 import HTTPHeaderDict
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, NewConnectionError
from urllib3.util import SKIP_HEADER

from poplarhoist.decisions.gateway.effects import Dispatch
from poplarhoist.decisions.gateway.events import Outcome, ResponseStarted
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.gateway.interfaces import Dialect, Headers, RequestHead, ResponseHead
from poplarhoist.gateway.sockets import socket_options

# Seconds for a connection; one lost packet is sent again after one second.
CONNECT_TIMEOUT_S = 1.2
# Seconds for which sent bytes may stay without acknowledgement before an endpoint counts as gone.
TCP_USER_TIMEOUT_S = 2.0
READ_CHUNK_BYTES = 65536
EVENT_END = b"\n\n"
ID_FIELD = b"id:"
SUPPRESSED_HEADERS = ("User-Agent", "Accept-Encoding")


@define
class CallerRequest:
    """A caller's request as it goes to endpoints."""

    request_id: str
    method: str
    target: str
    body: bytes
    head: RequestHead
    resumable: bool = False
    last_event_id: str = ""
    delivered: bool = False
    active_exchange: "Exchange | None" = None


@define
class AttemptResult:
    """How an attempt ended, and the answer if it was not streamed."""

    outcome: Outcome
    reason: str = ""
    status: int = 0
    headers: Headers = field(factory=list)
    body: bytes = b""
    connection_refused: bool = False


class Exchange:
    """Sends a request to an endpoint and reads its answer."""

    def __init__(
        self, core: DecisionLoop, dialect: Dialect, request: CallerRequest, dispatch: Dispatch
    ):
        self.core = core
        self.dialect = dialect
        self.request = request
        self.dispatch = dispatch
        self.deadline_at = core.event_time() + dispatch.remaining_s
        self.result = AttemptResult(Outcome.BROKEN)
        self.response_head: ResponseHead | None = None
        self.response = None
        self.connection = HTTPConnection(
            dispatch.endpoint.host,
            dispatch.endpoint.port,
            timeout=min(CONNECT_TIMEOUT_S, dispatch.remaining_s),
            socket_options=socket_options(TCP_USER_TIMEOUT_S),
        )
        self.sock: socket.socket | None = None
        self.duplicate_sock: socket.socket | None = None
        self.cancelled = False
        self.response_started = False

    def remaining_s(self) -> float:
        """Return the seconds until the answer must be there."""
        return max(0.001, self.deadline_at - self.core.event_time())

    def start(self) -> bool:
        """Send the request and judge the head of the answer; return whether it has a body."""
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
        """Connect; return whether that worked."""
        try:
            self.connection.connect()
        except (HTTPError, OSError) as error:
            outcome = Outcome.CANCELLED if self.cancelled else Outcome.NOT_SENT
            refused = isinstance(error, NewConnectionError) and isinstance(
                error.__cause__, ConnectionError
            )
            self.result = AttemptResult(outcome, type(error).__name__, connection_refused=refused)
            return False
        # The connection gives its socket to an answer that ends with it.
        self.sock = self.connection.sock
        self.set_read_timeout()
        return True

    def send(self) -> None:
        """Send head and body."""
        headers = HTTPHeaderDict()
        after = self.request.last_event_id
        for name, value in self.dialect.build_request_headers(
            self.request.head, self.dispatch, after
        ):
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
        """Read the head of the answer."""
        self.set_read_timeout()
        return self.connection.getresponse()

    def set_read_timeout(self) -> None:
        """Let the next read last until the answer must be there; silence alone ends nothing."""
        # The connection sets its own timeout on the socket before it reads a head.
        self.connection.timeout = self.remaining_s()
        self.sock.settimeout(self.connection.timeout)

    def record_failure(self, error: Exception) -> None:
        """Note that the endpoint's answer did not arrive, or not whole."""
        if self.cancelled:
            outcome = Outcome.CANCELLED
        elif self.core.event_time() >= self.deadline_at - 0.005:
            outcome = Outcome.TIMED_OUT
        else:
            outcome = Outcome.BROKEN
        self.result = AttemptResult(outcome, type(error).__name__)

    def check_response_head(self) -> bool:
        """Judge the head of an answer; return whether its body is to be read."""
        status = self.response.status
        self.response_head = self.dialect.parse_response_head(status, self.response.headers.items())
        if self.response_head.not_run:
            self.result = AttemptResult(Outcome.NOT_RUN, f"status {status}", status)
            return False
        if self.response_head.caller_request_id != self.request.head.caller_request_id:
            self.result = AttemptResult(Outcome.BROKEN, "answer to another request", status)
            return False
        if 200 <= status < 300 and not self.response_head.has_seal:
            self.result = AttemptResult(Outcome.BROKEN, "answer without signature", status)
            return False
        if not self.response.chunked and "content-length" not in self.response.headers:
            # Only the end of the connection ends this answer; its socket is closed by then.
            self.duplicate_sock = socket.socket(fileno=os.dup(self.sock.fileno()))
        outcome = Outcome.DONE if status < 500 else Outcome.FAILED
        self.result = AttemptResult(outcome, "", status, self.response_head.returned_headers)
        return True

    def submit_response_started(self) -> None:
        """Tell the decisions of the first byte."""
        if self.response_started:
            return
        self.response_started = True
        event = ResponseStarted(
            self.core.event_time(),
            self.dispatch.request_id,
            self.dispatch.attempt,
            self.response_head.running,
            self.response_head.waiting,
        )
        self.core.submit(event)

    def read_body(self) -> None:
        """Read the whole body of an answer."""
        chunks = []
        try:
            while data := self.read_available():
                chunks.append(data)
        except (HTTPError, OSError) as error:
            self.record_failure(error)
            return
        self.result.body = b"".join(chunks)

    def read_available(self) -> bytes:
        """Read what has arrived of the body; empty at its end."""
        self.set_read_timeout()
        if self.request.method == "HEAD":
            return b""
        data = self.response.read1(READ_CHUNK_BYTES, decode_content=False)
        if not data and self.duplicate_sock is not None and was_reset(self.duplicate_sock):
            raise ConnectionResetError
        self.submit_response_started()
        return data

    def iter_chunks(self) -> Iterator[bytes]:
        """Yield a streamed body as it arrives; only whole events where it can be resumed."""
        rest = b""
        try:
            while data := self.read_available():
                if not self.request.resumable:
                    yield data
                    continue
                rest += data
                end = rest.rfind(EVENT_END) + len(EVENT_END)
                if end < len(EVENT_END):
                    continue
                whole, rest = rest[:end], rest[end:]
                self.request.last_event_id = find_last_event_id(whole) or self.request.last_event_id
                yield whole
        except (HTTPError, OSError) as error:
            self.record_failure(error)
            return
        if rest:
            self.record_failure(EOFError())

    def cancel(self) -> None:
        """Break the connection, so that the endpoint stops its work.

        Whoever reads the answer finds its end and closes; two green threads must not close it.
        """
        self.cancelled = True
        self.shutdown_socket()

    def shutdown_socket(self) -> None:
        """End the connection in both directions."""
        if self.sock is not None:
            # Fails where the other side was first.
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Drop the connection."""
        self.shutdown_socket()
        if self.duplicate_sock is not None:
            self.duplicate_sock.close()
        if self.response is not None:
            self.response.close()
        self.connection.close()


def was_reset(sock: socket.socket) -> bool:
    """Return whether a connection that ended was reset; eventlet reads both as its end.

    A connection that was reset has no peer any more; one that the other side closed still has.
    """
    try:
        sock.getpeername()
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        return True
    return False


def find_last_event_id(events: bytes) -> str:
    """Return the id of the last of some events; empty if none has one."""
    for line in reversed(events.split(b"\n")):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
