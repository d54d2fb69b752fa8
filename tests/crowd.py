"""Many clients at once, whose requests are within the limits and often stop short of their end."""

import selectors
import socket
import time
from collections.abc import Callable

from attrs import define, frozen

from tests.standin_server import HOST

MAX_BODY_BYTES = 4194304
MAX_HEAD_BYTES = 16384
HEAD = b"POST %s HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: c%d\r\nX-Deadline-Ms: 6000\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
PIECE_BYTES = 65536


@frozen
class Request:
    """What a client sends.

    Attributes
    ----------
    rest : bytes
        What follows the first lines of the head.
    piece : bytes
        What is repeated after that.
    piece_count : int
        How often.
    end : bytes
        What follows the pieces; empty for a request that stops short of its end.
    path : bytes
        Target of the request.
    """

    rest: bytes
    piece: bytes = b""
    piece_count: int = 0
    end: bytes = b""
    path: bytes = b"/once/x"


def short_lines(end: bytes) -> Request:
    """Return a head of 2,400 lines; it has no end if that is empty."""
    return Request(b"", b"a:b\r\n", 2400, end)


def odd_lines(end: bytes) -> Request:
    """Return a head of lines without a value, or with bytes that are not ASCII."""
    return Request(b"", b"x-:\r\nX_!~:\xe9,\xff\r\n", 800, end)


def body(missing_bytes: int) -> Request:
    """Return a request with the longest body, of which some bytes are missing."""
    rest = b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
    end = b"b" * (PIECE_BYTES - missing_bytes)
    return Request(rest, b"b" * PIECE_BYTES, MAX_BODY_BYTES // PIECE_BYTES - 1, end)


def chunks(chunk_bytes: int, count: int, end: bytes) -> Request:
    """Return a request with a chunked body."""
    return Request(CHUNKED, b"%x\r\n%s\r\n" % (chunk_bytes, b"b" * chunk_bytes), count, end)


@define
class Client:
    """One client and what it has still to send."""

    connection: socket.socket
    request: Request
    number: int
    waiting: memoryview
    pieces_left: int
    end_sent: bool = False

    @classmethod
    def connect(cls, port: int, request: Request, number: int) -> "Client":
        """Connect to an address and prepare the request."""
        connection = socket.create_connection((HOST, port), timeout=10.0)
        connection.setblocking(False)
        head = HEAD % (request.path, number) + request.rest
        return cls(connection, request, number, memoryview(head), request.piece_count)

    def refill(self) -> bool:
        """Prepare what follows; return whether there is anything left to send."""
        if not self.waiting and self.pieces_left:
            # Small pieces are sent together, as a client of many small chunks would buffer them.
            count = min(self.pieces_left, max(1, 4096 // len(self.request.piece)))
            self.waiting = memoryview(self.request.piece * count)
            self.pieces_left -= count
        if not self.waiting and not self.end_sent:
            self.waiting = memoryview(self.request.end)
            self.end_sent = True
        return bool(self.waiting)

    def send(self) -> bool:
        """Send what the connection takes; return whether anything is left to send."""
        try:
            self.waiting = self.waiting[self.connection.send(self.waiting) :]
        except BlockingIOError:
            return True
        except OSError:
            # The entry has closed the connection.
            return False
        return self.refill()


class Crowd:
    """Clients that send at the same time, read nothing, and stay until the crowd is closed."""

    def __init__(self) -> None:
        self.clients: list[Client] = []

    def send(
        self, port: int, requests: list[Request], seconds: float, is_enough: Callable[[], bool]
    ) -> None:
        """Connect one client for each request and let all send what they can in some seconds.

        Parameters
        ----------
        is_enough : callable
            Returns whether to stop earlier, since what was looked for has been seen.
        """
        ends_at = time.monotonic() + seconds
        selector = selectors.DefaultSelector()
        for request in requests:
            try:
                client = Client.connect(port, request, len(self.clients))
            except OSError:
                # The entry takes no more connections.
                continue
            self.clients.append(client)
            selector.register(client.connection, selectors.EVENT_WRITE, client)
        while selector.get_map() and time.monotonic() < ends_at and not is_enough():
            for key, _ in selector.select(0.1):
                if not key.data.send():
                    selector.unregister(key.fileobj)
        selector.close()

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients:
            client.connection.close()
