"""Endpoints that keep book of what reaches them."""

import threading
import time
from collections import Counter

from tests.platform_standins import Endpoint, EndpointHandler
from tests.soak.proxy import Proxy

PLACES = 3
EVENTS = 6
PIECE_S = 0.03
WORK_S = 0.15


def piece(request_id: str, number: int) -> bytes:
    """Return an event of a request's stream."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def whole(request_id: str) -> bytes:
    """Return all events of a request's stream."""
    return b"".join(piece(request_id, number) for number in range(1, EVENTS + 1))


class SoakHandler(EndpointHandler):
    """Serves every request that it may, and notes it."""

    def serve(self, body: bytes) -> None:
        """Serve a caller's request."""
        endpoint = self.site
        headers = {name.lower(): value for name, value in self.headers.items()}
        request_id = headers.get("x-request-id", "")
        if headers.get("x-target-instance") != endpoint.name:
            self.answer(421, X_Instance_Id=endpoint.name)
            return
        model, _, adapter = headers.get("x-model", "").partition("/")
        if adapter and not endpoint.holds(adapter, headers.get("x-expect-version")):
            self.answer(421)
            return
        endpoint.note_run(request_id, int(headers.get("x-deadline-ms", 0)))
        if model:
            self.stream(request_id, int(headers.get("last-event-id", 0)), "")
            return
        time.sleep(WORK_S)
        self.answer(200, b"done " + body, X_Request_Id=request_id, X_Response_Seal="s")

    def stream(self, request_id: str, after: int, fault: str) -> None:
        """Send the events of a stream after one of them."""
        self.send_response_only(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("X-Request-Id", request_id)
        self.send_header("X-Response-Seal", f"seal-{self.site.name}")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(after + 1, EVENTS + 1):
            self.chunk(piece(request_id, number))
            time.sleep(PIECE_S)
        self.wfile.write(b"0\r\n\r\n")


class SoakEndpoint(Endpoint):
    """An endpoint behind a proxy.

    Attributes
    ----------
    runs : Counter
        Runs by request.
    broken : list
        Promises that its callers broke, as text.
    holders : dict
        Holder by epoch, of this run of the endpoint.
    """

    handler = SoakHandler

    def __init__(self, name: str, service: str) -> None:
        self.lock = threading.Lock()
        self.runs: Counter[str] = Counter()
        self.deadlines_ms: dict[str, int] = {}
        self.broken: list[str] = []
        self.holders: dict[int, str] = {}
        self.left_at: float | None = None
        self.late: list[tuple[str, float]] = []
        super().__init__(name, service)
        self.proxy = Proxy(self.port)

    def note_run(self, request_id: str, deadline_ms: int) -> None:
        """Note that a request runs here."""
        with self.lock:
            self.runs[request_id] += 1
            self.deadlines_ms[request_id] = deadline_ms
            if self.left_at is not None:
                self.late.append((request_id, time.monotonic() - self.left_at))

    def take_order(self, order: dict) -> int:
        """Carry out an order, and judge it."""
        with self.lock:
            epoch, holder = order["fenceToken"], order["holder"]
            if epoch < self.epoch:
                return 412
            if self.holders.setdefault(epoch, holder) != holder:
                self.broken.append(f"ONE: epoch {epoch} used by two at {self.name}")
            status = super().take_order(order)
            if len(self.adapters) > PLACES:
                self.broken.append(f"LIMIT: {len(self.adapters)} adapters at {self.name}")
            return status

    def restart(self) -> None:
        """Crash and come back empty, under the same name."""
        with self.lock:
            self.born += 1
            self.orders = self.epoch = 0
            self.adapters.clear()
            self.holders.clear()
        self.proxy.reset_all()

    def record(self, state: str = "ready") -> dict:
        """Return the endpoint's record; it names the proxy."""
        record = super().record(state)
        return record | {"address": f"127.0.0.1:{self.proxy.port}"}

    def stop(self) -> None:
        """Stop serving."""
        self.proxy.stop()
        super().stop()
