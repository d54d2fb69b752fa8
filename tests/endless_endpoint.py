"""An endpoint whose responses have a part that does not end, until the caller closes."""

import contextlib
import threading
import time

from tests.platform_standins import Endpoint, EndpointHandler

# Seconds after which it stops in any case.
MAX_DURATION_S = 20.0
HEAD = "HTTP/1.1 {status} OK\r\nX-Request-Id: {request_id}\r\nX-Response-Seal: s\r\n"
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


class EndlessHandler(EndpointHandler):
    """Sends the beginning of a response, and then one piece again and again."""

    def handle_request(self, body: bytes) -> None:
        """Send until the caller closes."""
        endpoint = self.standin
        begin, piece = PARTS[endpoint.part]
        begin = begin.format(status=endpoint.status, request_id=self.headers["X-Request-Id"])
        data = piece.encode()
        data *= max(1, endpoint.piece_bytes // len(data))
        self.close_connection = True
        ends_at = time.monotonic() + MAX_DURATION_S
        endpoint.begun_at.append(time.monotonic())
        endpoint.begun.release()
        with contextlib.suppress(OSError):
            self.wfile.write(begin.encode())
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
