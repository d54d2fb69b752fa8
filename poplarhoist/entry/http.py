"""Connections and pools for calls to the platform, peers and endpoints; urllib3 does not retry.

Their responses are strict: the end of a connection within a line of a response is an error, and so
are an end before the request was taken, a reset, a malformed head, and lengths that are unclear.
"""

import fcntl
import io
import re
import socket
import sys
import termios
from http import HTTPStatus
from http.client import (
    HTTPException,
    HTTPMessage,
    HTTPResponse,
    RemoteDisconnected,
)

import eventlet
import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NameResolutionError,
    NewConnectionError,
    ProtocolError,
)

from poplarhoist.entry.response_head import (
    BadFraming,
    BadHead,
    check_framing,
    parse_field_line,
    parse_status_line,
)

MAX_POOL_AGE_S = 5.0
CONNECTIONS_PER_HOST = 16
READ_CHUNK_BYTES = 65536
# Bytes of lines that may follow one another: those of a head with all interim heads before it, of a
# chunk size, or of trailers. http.client alone reads such lines without end.
MAX_LINE_BYTES = 65536
# Seconds within which a reset may follow the end of a connection.
LATE_RESET_S = 0.05
# Lines that end a head.
EMPTY_LINES = (b"\r\n", b"\n")
# The size of a chunk; more digits than any sound response needs are refused.
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,15}")


class HeadTooLong(HTTPException):
    """The lines of a head, a chunk size or trailers do not end within `MAX_LINE_BYTES`."""


class BodyTooLong(ProtocolError):
    """A body, or a part of it that must be held as a whole, does not end within its bound."""


class SocketReader(io.RawIOBase):
    """Reads from a socket; an end of the connection that is no close in order raises an error.

    eventlet's sockets return a reset as the end of the data, like a close in order. A server that fails
    while it is sent a request may end its side in order; the reset follows when it closes with a part
    of the request unread, or gets the rest of it.

    Attributes
    ----------
    awaits_reset : bool
        Whether a reset that follows the end of the connection is to be waited for.
    received_bytes : int
        Bytes read so far.
    is_stopped : bool
        Whether nothing more is to be read, so that only what is buffered above is left.
    """

    def __init__(self, sock) -> None:
        self.sock = sock
        self.raw = sock.makefile("rb", buffering=0)
        self.received_bytes = 0
        self.awaits_reset = False
        self.is_stopped = False

    def readable(self) -> bool:
        """Return that this object can be read from."""
        return True

    def readinto(self, buffer) -> int | None:
        """Read into a buffer; return the number of bytes, 0 at the end of the connection.

        Once it is stopped it returns None, which stands for "nothing now".

        Raises
        ------
        ConnectionAbortedError
            If the connection ended before the other side had received the request.
        ConnectionResetError
            If the connection ended with a reset.
        """
        if self.is_stopped:
            return None
        count = self.raw.readinto(buffer)
        self.received_bytes += count or 0
        if count:
            return count
        if self.awaits_reset and count == 0:
            eventlet.sleep(LATE_RESET_S)
        # Asked first: finding out about a reset ends the sending side, which counts as a byte.
        unacknowledged = unacknowledged_bytes(self.sock)
        if was_reset(self.sock):
            raise ConnectionResetError("connection was reset")
        if unacknowledged:
            raise ConnectionAbortedError("connection ended before the request was received")
        return count

    def close(self) -> None:
        """Close the file of the socket; the socket closes with its last file."""
        self.raw.close()
        super().close()


class ResponseReader(io.BufferedReader):
    """Reads a response; a line that the end of the connection cuts short raises an error.

    http.client takes such a line for a whole one, so that a head without its last headers, and a
    chunk size without its last digits, would be taken for complete.

    Attributes
    ----------
    line_bytes : int
        Bytes of lines since data was last read that is no line.
    leftover_bytes : int
        Bytes that had been read from the connection when the response was closed, and belong to
        nothing before.
    """

    line_bytes = 0
    leftover_bytes = 0

    def read(self, size: int = -1) -> bytes:
        """Return `size` bytes, or fewer at the end; all that are left if it is negative."""
        self.line_bytes = 0
        return super().read(size)

    def read1(self, size: int = -1) -> bytes:
        """Return at most `size` bytes, with one read of the socket at most."""
        self.line_bytes = 0
        return super().read1(size)

    def readline(self, size: int = -1) -> bytes:
        """Return the next line, or the first `size` bytes of it.

        Raises
        ------
        RemoteDisconnected
            If the connection ends before the line does.
        HeadTooLong
            If too many bytes of lines have followed one another.
        """
        line = super().readline(size)
        self.line_bytes += len(line)
        if self.line_bytes > MAX_LINE_BYTES:
            raise HeadTooLong(f"more than {MAX_LINE_BYTES} bytes of lines")
        if not line.endswith(b"\n") and (size < 0 or len(line) < size):
            raise RemoteDisconnected("connection ended within a line of the response")
        return line

    def close(self) -> None:
        """Close the reader, and count what it has read beyond the response."""
        if not self.closed:
            self.raw.is_stopped = True
            self.leftover_bytes = len(self.peek())
        super().close()


class StrictResponse(HTTPResponse):
    """A response that is read through `ResponseReader`, and whose head and lengths are checked.

    http.client reads heads with a parser for mail, which ends them at the first line that is no field.
    It takes all that `int` accepts for a length or a size, and a length that is none for a body that
    ends with the connection. So a response could be cut, or parts of its framing be taken for its body,
    without a trace.

    Attributes
    ----------
    source, reader : SocketReader, ResponseReader
        Tell how much was received, also once the response is closed.
    follows_body : bool
        Whether the request had a body, which the other side may have left unread.
    """

    def __init__(self, sock, *args, follows_body: bool = False, **options) -> None:
        super().__init__(sock, *args, **options)
        self.follows_body = follows_body
        self.fp.close()
        self.source = SocketReader(sock)
        self.fp = self.reader = ResponseReader(self.source)

    def begin(self) -> None:
        """Read the head, and interim ones before it, unless that was done before.

        Replaces a method of http.client.

        Raises
        ------
        BadHead
            If the head is malformed.
        BadFraming
            If it does not say clearly where the body ends.
        """
        if self.headers is not None:
            return
        status_line = parse_status_line(self.read_line())
        while status_line.status < HTTPStatus.OK:
            if status_line.status == HTTPStatus.SWITCHING_PROTOCOLS:
                # No request asks for another protocol, so what follows cannot be understood.
                raise BadHead("switch to another protocol")
            self.read_fields()
            status_line = parse_status_line(self.read_line())
        headers = self.read_fields()
        check_framing(headers)
        self.version, self.reason = status_line.version, status_line.reason
        self.code = self.status = status_line.status
        self.headers = self.msg = headers
        self.chunked = "Transfer-Encoding" in headers
        self.chunk_left = None
        length = headers.get("Content-Length")
        self.length = int(length) if length is not None else None
        if self.has_no_body():
            self.length = 0
        ends_with_connection = not self.chunked and self.length is None
        self.will_close = ends_with_connection or self._check_close()
        self.source.awaits_reset = ends_with_connection and self.follows_body

    def read_line(self) -> bytes:
        """Read a line, with its end."""
        return self.fp.readline(MAX_LINE_BYTES + 1)

    def read_fields(self) -> HTTPMessage:
        """Read field lines up to the empty line that ends them.

        Raises
        ------
        BadHead
            If a line is no field.
        """
        fields = HTTPMessage()
        while (line := self.read_line()) not in EMPTY_LINES:
            name, value = parse_field_line(line)
            fields[name] = value
        return fields

    def has_no_body(self) -> bool:
        """Return whether there is no body, whatever the head says of its length."""
        is_bodyless = self.status in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
        return is_bodyless or self._method == "HEAD"

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left of a chunk; those of the next one at its end, None after the last.

        Replaces a method of http.client, which checks neither sizes nor the ends of chunks.

        Raises
        ------
        BadFraming
            If there is no size of a chunk, or no end, where there has to be one.
        BadHead
            If a trailer is malformed.
        """
        if self.chunk_left:
            return self.chunk_left
        if self.chunk_left is not None and self._safe_read(2) != b"\r\n":
            raise BadFraming("chunk without an end")
        size = self.read_line().partition(b";")[0].strip()
        if not CHUNK_SIZE.fullmatch(size):
            raise BadFraming(f"chunk size {size[:20]!r}")
        self.chunk_left = int(size, 16) or None
        if self.chunk_left is None:
            # Trailers say nothing that is used, but a malformed one leaves the end of the body unclear.
            self.read_fields()
            self._close_conn()
        return self.chunk_left


class StrictConnection(HTTPConnection):
    """A connection whose responses are strict.

    Attributes
    ----------
    has_sent_body : bool
        Whether the latest request had a body.
    """

    has_sent_body = False

    def request(self, method: str, url: str, body=None, *args, **options) -> None:
        """Send a request as the base class does, and remember whether it has a body."""
        self.has_sent_body = bool(body)
        super().request(method, url, body, *args, **options)

    def response_class(self, sock: socket.socket, *args, **options) -> StrictResponse:
        """Create the response that is read next."""
        return StrictResponse(sock, *args, follows_body=self.has_sent_body, **options)


class StrictPool(HTTPConnectionPool):
    """A pool of strict connections to one host."""

    ConnectionCls = StrictConnection


def create_pool_manager(**options) -> urllib3.PoolManager:
    """Return pools of strict connections; they do not retry."""
    manager = urllib3.PoolManager(retries=False, **options)
    manager.pool_classes_by_scheme = manager.pool_classes_by_scheme | {"http": StrictPool}
    return manager


def single_use_pool(**options) -> urllib3.PoolManager:
    """Return a pool for one request over a new connection."""
    return create_pool_manager(num_pools=1, maxsize=1, **options)


def unacknowledged_bytes(sock) -> int:
    """Return how many of the bytes sent the other side has not acknowledged.

    It is 0 if the system does not tell, or if the connection is closed here.
    """
    try:
        return int.from_bytes(fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)), sys.byteorder)
    except (OSError, ValueError):
        return 0


def was_reset(sock) -> bool:
    """Return whether a connection that has ended was reset.

    After a reset the socket has no peer, so reading the peer's address or shutting down the write
    side fails. After a close by the other side both succeed. The request was sent completely, so
    the write side is not needed.
    """
    try:
        sock.getpeername()
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        return True
    return False


class ShortLivedPool:
    """Connection pool that is replaced every ``MAX_POOL_AGE_S`` and after each failed request.

    An old kept-alive connection may be dead without notice.
    """

    def __init__(self, clock) -> None:
        self.clock = clock
        self.pool = self.create_pool()
        self.renewed_at = clock.monotonic()

    def create_pool(self) -> urllib3.PoolManager:
        """Return an empty pool that neither retries nor follows redirects."""
        return create_pool_manager(num_pools=1024, maxsize=CONNECTIONS_PER_HOST, block=False)

    def renew(self) -> None:
        """Use new connections from now on; requests in flight keep theirs."""
        self.pool = self.create_pool()
        self.renewed_at = self.clock.monotonic()

    def request(
        self, method: str, url: str, total_s: float, max_bytes: int, **options
    ) -> tuple[int, bytes]:
        """Make a call as `request_bounded` does; return its status and body.

        Raises
        ------
        urllib3.exceptions.HTTPError
            If no response arrives, or one that takes longer or is longer; the pool is replaced
            then.
        """
        if self.clock.monotonic() - self.renewed_at > MAX_POOL_AGE_S:
            self.renew()
        timeout = urllib3.Timeout(total=total_s)
        try:
            return request_bounded(
                self.pool, method, url, total_s, max_bytes, timeout=timeout, **options
            )
        except HTTPError:
            self.renew()
            raise


def is_connection_refused(error: HTTPError) -> bool:
    """Return whether the host answered but no process listens on the port."""
    return isinstance(error, NewConnectionError) and isinstance(
        error.__cause__, ConnectionRefusedError
    )


def never_sent(error: HTTPError) -> bool:
    """Return whether a failed request was certainly not sent to the server."""
    return isinstance(error, NewConnectionError | ConnectTimeoutError | NameResolutionError)


def read_bounded(response, max_bytes: int, on_bytes=None) -> bytes:
    """Read the body of a response and close it, or return its connection to its pool.

    Parameters
    ----------
    on_bytes : callable or None
        Is called with the number of bytes of each part of the body that has arrived.

    Raises
    ------
    urllib3.exceptions.HTTPError
        If the body breaks off or is longer than `max_bytes`.
    """
    body = bytearray()
    try:
        while len(body) <= max_bytes and (data := response.read1(READ_CHUNK_BYTES)):
            body += data
            if on_bytes is not None:
                on_bytes(len(data))
            # A read of data that is there already lets neither timers nor other threads run.
            eventlet.sleep(0)
    finally:
        if response.closed:
            response.release_conn()
        else:
            response.close()
    if len(body) > max_bytes:
        raise BodyTooLong(f"body longer than {max_bytes} bytes")
    return bytes(body)


def request_bounded(
    pool,
    method: str,
    url: str,
    total_s: float,
    max_bytes: int,
    on_head=None,
    on_bytes=None,
    stall_s: float | None = None,
    **options,
) -> tuple[int, bytes]:
    """Make a call whose whole response must arrive in time; return its status and body.

    Parameters
    ----------
    on_head : callable or None
        Is called with the headers of the response as soon as they have arrived.
    on_bytes : callable or None
        As in `read_bounded`.
    stall_s : float or None
        Longest pause in seconds within the body; None for the timeout of the pool, which has to
        allow for the wait before the head.
    total_s : float
        Seconds for the whole exchange. The timeout of a pool holds for each read only.
    max_bytes : int
        Longest body.

    Raises
    ------
    urllib3.exceptions.HTTPError
        If no response arrives, or one that takes longer or is longer.
    """
    error = ProtocolError("no whole response in time")
    with eventlet.Timeout(total_s, error):
        response = pool.request(
            method, url, preload_content=False, redirect=False, retries=False, **options
        )
        if on_head is not None:
            on_head(response.headers)
        connection = response.connection
        if stall_s is not None and connection is not None and connection.sock is not None:
            # The next call over this connection sets its own timeout.
            connection.sock.settimeout(stall_s)
        return response.status, read_bounded(response, max_bytes, on_bytes)


def request_once(
    method: str,
    url: str,
    total_s: float,
    max_bytes: int,
    on_head=None,
    socket_options=(),
    **options,
) -> tuple[int, bytes]:
    """Make a call as `request_bounded` does, over a connection that is closed after it.

    What the other side sends later cannot be taken for the response to another call. Without a
    `timeout` in the options, connecting and each read may take as long as the whole.

    Raises
    ------
    urllib3.exceptions.HTTPError
        If no response arrives, or one that takes longer or is longer.
    """
    pool = single_use_pool(socket_options=socket_options)
    try:
        options.setdefault("timeout", urllib3.Timeout(total=total_s))
        return request_bounded(pool, method, url, total_s, max_bytes, on_head, **options)
    finally:
        pool.clear()
