"""Responses of which a part does not end until the caller closes, of an endpoint or a bare server."""

import contextlib
import socket
import threading
import time

from tests.platform_standins import Endpoint, EndpointHandler
from tests.standin_server import HOST

# Seconds after which it stops in any case.
MAX_DURATION_S = 20.0
HEAD = "HTTP/1.1 {status} OK\r\nX-Request-Id: {request_id}\r\nX-Response-Seal: s\r\nX-Adapter: a1@1\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
EVENTS = "Content-Type: text/event-stream\r\n"
# What a response begins with, and the piece that it repeats, by the part that does not end.
PARTS = {
    "informational": ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    "header": (HEAD + "X-Long: ", "x"),
    "headers": (HEAD, "X-More: 1\r\n"),
    "body": (HEAD + "\r\n", "x"),
    "chunks": (HEAD + CHUNKED, "4\r\nplan\r\n"),
    "chunk-extension": (HEAD + CHUNKED + "4;x=", "x"),
    "trailers": (HEAD + CHUNKED + "0\r\n", "X-More: 1\r\n"),
    "event": (HEAD + EVENTS + "\r\nid: 1\ndata: ", "x"),
    "chunked-event": (HEAD + EVENTS + CHUNKED, "4\r\nplan\r\n"),
    "events": (HEAD + EVENTS + "\r\n", "id: 1\ndata: x\n\n"),
}
# Parts of responses to streams.
EVENT_PARTS = ("event", "chunked-event", "events")
# Id of the request that the responses of `EndlessServer` name.
REQUEST_ID = "r1"


def encode_part(part: str, piece_bytes: int, status: int, request_id: str) -> tuple[bytes, bytes]:
    """Return what a response begins with, and what it repeats, of about so many bytes."""
    begin, piece = PARTS[part]
    repeats = max(1, piece_bytes // len(piece))
    return begin.format(status=status, request_id=request_id).encode(), piece.encode() * repeats


class EndlessServer:
    """Answers each connection with a response of which a part does not end.

    Attributes
    ----------
    closed_at : list
        When its writes failed, on the monotonic clock.
    """

    def __init__(self, part: str, piece_bytes: int, pause_s: float) -> None:
        self.begin, self.data = encode_part(part, piece_bytes, 200, REQUEST_ID)
        self.pause_s = pause_s
        self.closed_at: list[float] = []
        self.listener = socket.create_server((HOST, 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        """Accept connections until the listener is closed."""
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(target=self.send, args=(connection,), daemon=True).start()

    def send(self, connection: socket.socket) -> None:
        """Send until the other side closes."""
        with contextlib.suppress(OSError), connection:
            connection.recv(65536)
            connection.sendall(self.begin)
            while True:
                connection.sendall(self.data)
                time.sleep(self.pause_s)
        self.closed_at.append(time.monotonic())


class EndlessHandler(EndpointHandler):
    """Sends the beginning of a response, and then one piece again and again."""

    def handle_request(self, body: bytes) -> None:
        """Send until the caller closes."""
        endpoint = self.standin
        begin, data = encode_part(
            endpoint.part, endpoint.piece_bytes, endpoint.status, self.headers["X-Request-Id"]
        )
        self.close_connection = True
        ends_at = time.monotonic() + MAX_DURATION_S
        endpoint.begun_at.append(time.monotonic())
        endpoint.begun.release()
        with contextlib.suppress(OSError):
            self.wfile.write(begin)
            while time.monotonic() < ends_at:
                self.wfile.write(data)
                time.sleep(endpoint.pause_s)
        endpoint.closed_at.append(time.monotonic())


class EndlessEndpoint(Endpoint):
    """An endpoint of a service of its own that never ends a response.

    Attributes
    ----------
    part : str
        Key of `PARTS`.
    piece_bytes, pause_s : int, float
        Bytes that it sends at once, and seconds between two pieces.
    begun : Semaphore
        Released at the beginning of each response.
    begun_at, closed_at : list
        When responses began, and when their callers closed, on the monotonic clock.
    """

    handler_class = EndlessHandler

    def __init__(
        self, name: str, part: str, piece_bytes: int, pause_s: float, status: int = 200
    ) -> None:
        self.part = part
        self.piece_bytes = piece_bytes
        self.pause_s = pause_s
        self.status = status
        self.begun = threading.Semaphore(0)
        self.begun_at: list[float] = []
        self.closed_at: list[float] = []
        super().__init__(name, name)
