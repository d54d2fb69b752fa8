"""Responses that are read strictly, so that none is taken for whole that is not.

The end of a connection within a line is an error, and so are an end before the request was taken, a
reset, a malformed head, and lengths that are unclear.
"""

import fcntl
import io
import socket
import sys
import termios
from http import HTTPStatus
from http.client import HTTPException, HTTPMessage, HTTPResponse, RemoteDisconnected

import eventlet

from poplarhoist.entry.message_grammar import (
    BadFraming,
    BadHead,
    check_framing,
    parse_chunk_size,
    parse_field_line,
    parse_status_line,
)

# Bytes of lines that may follow one another: those of a head with all interim heads before it, of a
# chunk size, or of trailers. http.client alone reads such lines without end.
MAX_LINE_BYTES = 65536
# Seconds within which a reset may follow the end of a connection.
LATE_RESET_S = 0.05
# State of a connection that only the other side has ended; a constant of Linux.
TCP_CLOSE_WAIT = 8
# Lines that end a head.
EMPTY_LINES = (b"\r\n", b"\n")


class HeadTooLong(HTTPException):
    """The lines of a head, a chunk size or trailers do not end within `MAX_LINE_BYTES`."""


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
        if count != 0:
            return count
        if self.awaits_reset:
            eventlet.sleep(LATE_RESET_S)
        # Asked first: finding out about a reset ends this side.
        unacknowledged = unacknowledged_bytes(self.sock)
        if was_reset(self.sock):
            raise ConnectionResetError("connection was reset")
        if unacknowledged:
            raise ConnectionAbortedError("connection ended before the request was received")
        return 0

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
        self.chunk_left = parse_chunk_size(self.read_line()) or None
        if self.chunk_left is None:
            # Trailers say nothing that is used, but a malformed one leaves the end of the body unclear.
            self.read_fields()
            self._close_conn()
        return self.chunk_left


def unacknowledged_bytes(sock) -> int:
    """Return how many of the bytes sent were not acknowledged when the other side ended the connection.

    It is 0 if the system does not tell, and if this side has ended the connection too, as that counts as
    a byte itself.
    """
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        if state != TCP_CLOSE_WAIT:
            return 0
        return int.from_bytes(fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)), sys.byteorder)
    except (OSError, ValueError, IndexError):
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
