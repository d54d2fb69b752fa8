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
from poplarhoist.gateway.interfaces import AnswerHead, CallerHead, Dialect, Headers
from poplarhoist.gateway.sockets import socket_options

# Seconds for a connection; one lost packet is sent again after one second.
CONNECT_S = 1.2
# Seconds for which sent bytes may stay without acknowledgement before an endpoint counts as gone.
SILENT_S = 2.0
READ_BYTES = 65536
EVENT_END = b"\n\n"
ID_FIELD = b"id:"
SKIPPED = ("User-Agent", "Accept-Encoding")


@define
class CallerRequest:
    """A caller's request as it goes to endpoints."""

    request_id: str
    method: str
    target: str
    body: bytes
    head: CallerHead
    resumable: bool = False
    last_event: str = ""
    delivered: bool = False
    running: "Exchange | None" = None


@define
class Result:
    """How an attempt ended, and the answer if it was not streamed."""

    outcome: Outcome
    reason: str = ""
    status: int = 0
    headers: Headers = field(factory=list)
    body: bytes = b""
    refused: bool = False


class Exchange:
    """Sends a request to an endpoint and reads its answer."""

    def __init__(
        self, core: DecisionLoop, dialect: Dialect, request: CallerRequest, order: Dispatch
    ):
        self.core = core
        self.dialect = dialect
        self.request = request
        self.order = order
        self.ends_at = core.at() + order.remaining_s
        self.result = Result(Outcome.BROKEN)
        self.answer: AnswerHead | None = None
        self.response = None
        self.connection = HTTPConnection(
            order.endpoint.host,
            order.endpoint.port,
            timeout=min(CONNECT_S, order.remaining_s),
            socket_options=socket_options(SILENT_S),
        )
        self.sock: socket.socket | None = None
        self.peer: socket.socket | None = None
        self.cancelled = False
        self.began = False

    def left_s(self) -> float:
        """Return the seconds until the answer must be there."""
        return max(0.001, self.ends_at - self.core.at())

    def begin(self) -> bool:
        """Send the request and judge the head of the answer; return whether it has a body."""
        if not self.connect():
            return False
        try:
            self.send()
            self.response = self.read_head()
        except (HTTPError, OSError) as error:
            self.broke(error)
            return False
        return self.judge()

    def connect(self) -> bool:
        """Connect; return whether that worked."""
        try:
            self.connection.connect()
        except (HTTPError, OSError) as error:
            outcome = Outcome.CANCELLED if self.cancelled else Outcome.NOT_SENT
            refused = isinstance(error, NewConnectionError) and isinstance(
                error.__cause__, ConnectionError
            )
            self.result = Result(outcome, type(error).__name__, refused=refused)
            return False
        # The connection gives its socket to an answer that ends with it.
        self.sock = self.connection.sock
        self.allow_time()
        return True

    def send(self) -> None:
        """Send head and body."""
        headers = HTTPHeaderDict()
        after = self.request.last_event
        for name, value in self.dialect.request_headers(self.request.head, self.order, after):
            headers.add(name, value)
        for name in SKIPPED:
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
        self.allow_time()
        return self.connection.getresponse()

    def allow_time(self) -> None:
        """Let the next read last until the answer must be there; silence alone ends nothing."""
        # The connection sets its own timeout on the socket before it reads a head.
        self.connection.timeout = self.left_s()
        self.sock.settimeout(self.connection.timeout)

    def broke(self, error: Exception) -> None:
        """Note that the endpoint's answer did not arrive, or not whole."""
        if self.cancelled:
            outcome = Outcome.CANCELLED
        elif self.core.at() >= self.ends_at - 0.005:
            outcome = Outcome.TIMED_OUT
        else:
            outcome = Outcome.BROKEN
        self.result = Result(outcome, type(error).__name__)

    def judge(self) -> bool:
        """Judge the head of an answer; return whether its body is to be read."""
        status = self.response.status
        self.answer = self.dialect.read_answer(status, self.response.headers.items())
        if self.answer.not_run:
            self.result = Result(Outcome.NOT_RUN, f"status {status}", status)
            return False
        if self.answer.caller_id != self.request.head.caller_id:
            self.result = Result(Outcome.BROKEN, "answer to another request", status)
            return False
        if 200 <= status < 300 and not self.answer.sealed:
            self.result = Result(Outcome.BROKEN, "answer without signature", status)
            return False
        if not self.response.chunked and "content-length" not in self.response.headers:
            # Only the end of the connection ends this answer; its socket is closed by then.
            self.peer = socket.socket(fileno=os.dup(self.sock.fileno()))
        outcome = Outcome.DONE if status < 500 else Outcome.FAILED
        self.result = Result(outcome, "", status, self.answer.returned)
        return True

    def note_began(self) -> None:
        """Tell the decisions of the first byte."""
        if self.began:
            return
        self.began = True
        event = ResponseStarted(
            self.core.at(),
            self.order.request_id,
            self.order.attempt,
            self.answer.running,
            self.answer.waiting,
        )
        self.core.submit(event)

    def read_whole(self) -> None:
        """Read the whole body of an answer."""
        chunks = []
        try:
            while data := self.read_some():
                chunks.append(data)
        except (HTTPError, OSError) as error:
            self.broke(error)
            return
        self.result.body = b"".join(chunks)

    def read_some(self) -> bytes:
        """Read what has arrived of the body; empty at its end."""
        self.allow_time()
        if self.request.method == "HEAD":
            return b""
        data = self.response.read1(READ_BYTES, decode_content=False)
        if not data and self.peer is not None and was_reset(self.peer):
            raise ConnectionResetError
        self.note_began()
        return data

    def pieces(self) -> Iterator[bytes]:
        """Yield a streamed body as it arrives; only whole events where it can be resumed."""
        rest = b""
        try:
            while data := self.read_some():
                if not self.request.resumable:
                    yield data
                    continue
                rest += data
                end = rest.rfind(EVENT_END) + len(EVENT_END)
                if end < len(EVENT_END):
                    continue
                whole, rest = rest[:end], rest[end:]
                self.request.last_event = last_id(whole) or self.request.last_event
                yield whole
        except (HTTPError, OSError) as error:
            self.broke(error)
            return
        if rest:
            self.broke(EOFError())

    def cancel(self) -> None:
        """Break the connection, so that the endpoint stops its work.

        Whoever reads the answer finds its end and closes; two green threads must not close it.
        """
        self.cancelled = True
        self.break_off()

    def break_off(self) -> None:
        """End the connection in both directions."""
        if self.sock is not None:
            # Fails where the other side was first.
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Drop the connection."""
        self.break_off()
        if self.peer is not None:
            self.peer.close()
        if self.response is not None:
            self.response.close()
        self.connection.close()


def was_reset(peer: socket.socket) -> bool:
    """Return whether a connection that ended was reset; eventlet reads both as its end.

    A connection that was reset has no peer any more; one that the other side closed still has.
    """
    try:
        peer.getpeername()
        peer.shutdown(socket.SHUT_WR)
    except OSError:
        return True
    return False


def last_id(events: bytes) -> str:
    """Return the id of the last of some events; empty if none has one."""
    for line in reversed(events.split(b"\n")):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
