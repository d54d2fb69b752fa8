"""HTTP protocol of the WSGI servers: requests are read strictly, within bounds of time and bytes.

eventlet's own protocol reads lines of chunked bodies without a bound, restarts its timeout with each
byte, and takes lengths and codings that other servers take differently, behind which a request
could be hidden.
"""

import http.client
import re
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus

import eventlet
import eventlet.wsgi
from eventlet.hubs import get_hub
from eventlet.wsgi import (
    STATE_CLOSE,
    STATE_IDLE,
    STATE_REQUEST,
    ChunkReadError,
    HeaderLineTooLong,
    HeadersTooLarge,
    HttpProtocol,
    Input,
)

from poplarhoist.entry.message_grammar import (
    BadFraming,
    BadHead,
    UnsupportedVersion,
    check_request_fields,
    parse_chunk_size,
    parse_field_line,
    parse_request_line,
)

# Bytes of lines that may follow one another: chunk sizes with their extensions, and trailers.
MAX_LINE_BYTES = 16384
# Bytes after which other green threads run, and bytes that a line counts as, since each one costs
# time however short it is. A read of data that is there already lets no others run.
TURN_BYTES = 65536
BYTES_PER_LINE = 2048
# Bytes of a body that are read for the next request on its connection if the application left them.
MAX_DISCARDED_BYTES = 65536
# The time for a body, in times of the socket's timeout. An application that bounds its reads itself, by
# that timeout, can answer first.
BODY_TIMEOUT_RATIO = 2
# Position of the state in what the library keeps of a connection: address, socket, state.
CONNECTION_STATE = 2
# Empty lines before a request that are passed over.
MAX_EMPTY_LINES = 8
# Target in absolute form: the authority, and the rest. One with user information is not accepted.
ABSOLUTE_TARGET = re.compile(r"https?://([^/?#@]+)([/?].*)?", re.ASCII | re.IGNORECASE)
REFUSAL = "HTTP/1.1 {} {}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
LINE_END = b"\r\n"


class Head(http.client.HTTPMessage):
    """The headers of a request; it names no type of content that would make the parser read a body.

    The parser of mail takes the parameters of a multipart type, and raises errors at some.
    """

    def get_content_type(self) -> str:
        """Return the type of a message without parts."""
        return self.get_default_type()


class DroppedBody:
    """Runs through the body of a response without passing it on."""

    def __init__(self, body: Iterable[bytes]) -> None:
        self.body = body

    def __iter__(self) -> Iterator[bytes]:
        """Yield nothing for each part of the body."""
        for _ in self.body:
            yield b""

    def close(self) -> None:
        """Close the body."""
        if hasattr(self.body, "close"):
            self.body.close()


class StrictInput(Input):
    """Reads the body of a request.

    Parameters
    ----------
    library_input : Input
        The input that the library has made for the request.
    timeout_s : float or None
        Seconds for the whole body; None for no bound.

    Attributes
    ----------
    ends_at : float
        Monotonic time until which the body may be read.
    line_bytes : int
        Bytes of lines since data was last read.
    turn_bytes : int
        Bytes read since other green threads last ran, with `BYTES_PER_LINE` for each line.
    has_failed : bool
        Whether reading has failed, so that what follows cannot be understood.
    on_bytes : callable or None
        Is called with the bytes read of the body, now and then.
    """

    def __init__(self, library_input: Input, timeout_s: float | None) -> None:
        super().__init__(
            library_input.rfile,
            library_input.content_length,
            library_input.get_socket(),
            library_input.wfile,
            library_input.wfile_line,
            library_input.chunked_input,
        )
        self.ends_at = float("inf") if timeout_s is None else get_hub().clock() + timeout_s
        self.line_bytes = 0
        self.turn_bytes = 0
        self.has_failed = False
        self.on_bytes: Callable[[int], None] | None = None

    def read(self, length: int | None = None) -> bytes:
        """Return `length` bytes of the body, or all that are left.

        Raises
        ------
        TimeoutError
            If the body does not arrive in time.
        eventlet.wsgi.ChunkReadError
            If a chunked body is malformed.
        """
        return self.read_in_time(super().read, length)

    def read_piece(self, length: int) -> bytes:
        """Return the next bytes of the body, `length` at most; none at its end.

        Of a body with a length, these are the bytes that have arrived.

        Raises
        ------
        TimeoutError, eventlet.wsgi.ChunkReadError
            As `read`.
        """
        if self.chunked_input:
            return self.read(length)
        data = self.read_in_time(self._do_read, self.rfile.read1, length)
        if self.on_bytes is not None:
            self.on_bytes(len(data))
        # A read of data that is there already lets no other green threads run.
        eventlet.sleep(0)
        return data

    def read_in_time(self, reader: Callable[..., bytes], *args: object) -> bytes:
        """Return what a function reads, within the time that is left for the body."""
        left_s = self.ends_at - get_hub().clock()
        timeout_s = None if left_s == float("inf") else max(0.0, left_s)
        try:
            with eventlet.Timeout(timeout_s, TimeoutError("request body not received in time")):
                return reader(*args)
        except Exception:
            self.has_failed = True
            raise

    def discard(self, buffer_size: int = MAX_DISCARDED_BYTES) -> None:
        """Read what is left of the body, so that its connection can be used again.

        Raises
        ------
        eventlet.wsgi.ChunkReadError
            If that is too much, or cannot be read.
        """
        if self.has_failed:
            raise ChunkReadError("rest of a body that could not be read")
        if len(self.read(buffer_size)) >= buffer_size:
            raise ChunkReadError(f"more than {buffer_size} bytes of a body were left")

    def _chunked_read(self, rfile, length=None, use_readline=False) -> bytes:
        """Read from a chunked body; replaces a method of the library, which checks little.

        Raises
        ------
        eventlet.wsgi.ChunkReadError
            If there is no size of a chunk, or no end, where there has to be one, or if the body
            breaks off.
        """
        if self.should_send_hundred_continue:
            self.send_hundred_continue_response()
            self.is_hundred_continue_response_sent = True
        reader = rfile.readline if use_readline else rfile.read1
        wanted = float("inf") if length is None or length < 0 else length
        body = bytearray()
        while wanted > 0 and self.chunk_length != 0:
            left = self.chunk_length - self.position
            if left <= 0:
                self.begin_chunk(rfile)
                continue
            data = reader(int(min(left, wanted, TURN_BYTES)))
            if not data:
                raise ChunkReadError("body ended within a chunk")
            self.take_turn(len(data))
            self.line_bytes = 0
            body += data
            if self.on_bytes is not None:
                self.on_bytes(len(data))
            self.position += len(data)
            wanted -= len(data)
            if self.position == self.chunk_length and self.read_line(rfile) != LINE_END:
                raise ChunkReadError("chunk without an end")
            if use_readline and data.endswith(b"\n"):
                break
        return bytes(body)

    def begin_chunk(self, rfile) -> None:
        """Read the size of the next chunk, and the trailers after the last one."""
        try:
            self.chunk_length, self.position = parse_chunk_size(self.read_line(rfile)), 0
            while self.chunk_length == 0 and (line := self.read_line(rfile)) != LINE_END:
                # Trailers are not used, but a malformed one leaves the end of the body unclear.
                parse_field_line(line)
        except (BadFraming, BadHead) as error:
            raise ChunkReadError(str(error)) from error

    def read_line(self, rfile) -> bytes:
        """Return the next line of the framing, with its end."""
        line = rfile.readline(MAX_LINE_BYTES + 1 - self.line_bytes)
        self.line_bytes += len(line)
        self.take_turn(BYTES_PER_LINE)
        if self.line_bytes > MAX_LINE_BYTES:
            raise ChunkReadError(f"more than {MAX_LINE_BYTES} bytes of lines")
        if not line.endswith(LINE_END):
            raise ChunkReadError("line without an end")
        return line

    def take_turn(self, count: int) -> None:
        """Let other green threads run after each `TURN_BYTES` bytes."""
        self.turn_bytes += count
        if self.turn_bytes >= TURN_BYTES:
            self.turn_bytes = 0
            eventlet.sleep(0)
            if self.on_bytes is not None:
                self.on_bytes(0)


class StrictProtocol(HttpProtocol):
    """Reads requests strictly; the head, and the whole body, have to arrive in time.

    A connection whose request line and headers take too long is closed. The server's own timeout
    restarts with each byte, so a caller that sends single bytes slowly would keep its connection
    open indefinitely.
    """

    head_timeout = None

    def head_timeout_s(self) -> float | None:
        """Return the seconds within which a head must arrive after its first byte."""
        return self.server.socket_timeout

    def body_timeout_s(self) -> float | None:
        """Return the seconds within which a body must arrive after its head."""
        timeout_s = self.server.socket_timeout
        return None if timeout_s is None else BODY_TIMEOUT_RATIO * timeout_s

    def handle_one_request(self) -> None:
        """Read and answer one request."""
        try:
            super().handle_one_request()
        finally:
            self.cancel_head_timeout()

    def _read_request_line(self) -> bytes | str:
        """Wait for a request and return its first line that is not empty."""
        line = self.read_line()
        for _ in range(MAX_EMPTY_LINES):
            if line != LINE_END:
                break
            self.cancel_head_timeout()
            if self.conn_state[CONNECTION_STATE] == STATE_REQUEST:
                self.conn_state[CONNECTION_STATE] = STATE_IDLE
            line = self.read_line()
        return line if line != LINE_END else ""

    def read_line(self) -> bytes | str:
        """Wait for a line and return it; the time for the head that it begins starts."""
        if self.server.keepalive and not isinstance(self.server.keepalive, bool):
            self.connection.settimeout(self.server.keepalive)
        try:
            self.rfile.peek(1)
        except (OSError, ValueError):
            # The connection was idle for too long, or is closed.
            self.close_connection = 1
            return ""
        if self.conn_state[CONNECTION_STATE] == STATE_CLOSE:
            # A stopping server has shut the idle connection down, so that no response could be sent.
            # The bytes arrived before that; their request must not run.
            self.close_connection = 1
            return ""
        if not self.begin_head():
            self.close_connection = 1
            return ""
        self.conn_state[CONNECTION_STATE] = STATE_REQUEST
        error = TimeoutError("timeout reading the request head")
        self.head_timeout = eventlet.Timeout(self.head_timeout_s(), error)
        line = super()._read_request_line()
        if len(line) >= self.server.url_length_limit:
            self.refuse(HTTPStatus.REQUEST_URI_TOO_LONG, "request line too long")
            return ""
        return line

    def begin_head(self) -> bool:
        """Return whether the request may be read whose first bytes have arrived."""
        return True

    def parse_request(self) -> bool:
        """Read and parse the head; refuse the request and return False if it cannot be read.

        Replaces a method of the library, which reads field lines with a parser for mail. That parser
        ends lines at a carriage return and the head at the first line that is no field, so that the
        rest of the head, and a length in it, were lost.
        """
        self.requestline = str(self.raw_requestline, "iso-8859-1").rstrip("\r\n")
        self.command, self.request_version = None, self.default_request_version
        self.close_connection = True
        try:
            self.on_head_line(self.raw_requestline)
            request_line = parse_request_line(self.raw_requestline)
            headers = self.read_fields()
            check_request_fields(request_line.version, headers)
        except HeaderLineTooLong:
            self.refuse(HTTPStatus.BAD_REQUEST, "Header Line Too Long", "Header Line Too Long")
            return False
        except HeadersTooLarge:
            self.refuse(HTTPStatus.BAD_REQUEST, "Headers Too Large", "Headers Too Large")
            return False
        except UnsupportedVersion as error:
            self.refuse(HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, str(error))
            return False
        except (BadFraming, BadHead) as error:
            self.refuse(HTTPStatus.BAD_REQUEST, str(error))
            return False
        self.command, self.path = request_line.method, request_line.target
        self.request_version, self.headers = request_line.version, headers
        self.close_connection = self.has_last_request()
        self.resolve_absolute_target()
        return True

    def read_fields(self) -> Head:
        """Read field lines up to the empty line that ends them.

        Raises
        ------
        BadHead
            If a line is no field, or the connection ends before the head does.
        eventlet.wsgi.HeaderLineTooLong, eventlet.wsgi.HeadersTooLarge
            If the lines are too long.
        """
        fields = Head()
        while True:
            line = self.rfile.readline()
            self.on_head_line(line)
            if line == LINE_END:
                return fields
            if not line.endswith(LINE_END):
                problem = "without a carriage return" if line.endswith(b"\n") else "that breaks off"
                raise BadHead(f"line of the head {problem}")
            name, value = parse_field_line(line)
            fields[name] = value

    def on_head_line(self, line: bytes) -> None:
        """Take note of a line of the head; it is empty at the end of the connection."""

    def has_last_request(self) -> bool:
        """Return whether the connection is to be closed after this request."""
        values = self.headers.get_all("Connection", ())
        options = {option.strip(" \t").lower() for text in values for option in text.split(",")}
        is_kept_open = self.request_version != "HTTP/1.0" or "keep-alive" in options
        return "close" in options or not is_kept_open

    def resolve_absolute_target(self) -> None:
        """Take host and path from a target in absolute form, as RFC 9112, section 3.2.2, requires."""
        target = ABSOLUTE_TARGET.fullmatch(self.path)
        if target is None:
            return
        authority, rest = target.groups(default="")
        del self.headers["Host"]
        self.headers["Host"] = authority
        self.path = rest if rest.startswith("/") else f"/{rest}"

    def refuse(self, status: HTTPStatus, problem: str, phrase: str = "") -> None:
        """Answer a request whose head cannot be read, and close the connection after it."""
        self.on_unreadable(status, problem)
        self.wfile.write(REFUSAL.format(status.value, phrase or status.phrase).encode())
        self.close_connection = 1

    def on_unreadable(self, status: HTTPStatus, problem: str) -> None:
        """Log a request whose head cannot be read."""
        caller = self.client_address[0]
        self.server.log.error(f"{problem[:200]}, refused with {status.value}, from {caller}")

    def get_environ(self) -> dict:
        """Return the WSGI environ of a request, with a strict input."""
        environ = super().get_environ()
        strict_input = StrictInput(environ["eventlet.input"], self.body_timeout_s())
        environ["wsgi.input"] = environ["eventlet.input"] = strict_input
        return environ

    def handle_one_response(self) -> None:
        """Answer a request whose head has arrived; an answer to HEAD has no body.

        The library writes what the application returns, which would stand before the next answer.
        """
        self.cancel_head_timeout()
        if self.command == "HEAD":
            application = self.application
            self.application = lambda environ, start_response: DroppedBody(
                application(environ, start_response)
            )
        super().handle_one_response()

    def cancel_head_timeout(self) -> None:
        """End the time for the head."""
        if self.head_timeout is not None:
            self.head_timeout.cancel()
            self.head_timeout = None
