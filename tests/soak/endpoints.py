"""Endpoints that keep book of what reaches them."""

import threading
import time
from collections import Counter

from tests.platform_standins import HOST, Endpoint
from tests.soak.proxy import Proxy

ADAPTER_SLOTS = 3
EVENT_COUNT = 6
EVENT_INTERVAL_S = 0.03
SERVICE_TIME_S = 0.15


def encode_event(request_id: str, number: int) -> bytes:
    """Return an event of a request's stream."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def encode_stream(request_id: str) -> bytes:
    """Return all events of a request's stream."""
    return b"".join(encode_event(request_id, number) for number in range(1, EVENT_COUNT + 1))


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

    event_count = EVENT_COUNT

    def __init__(self, name: str, service: str) -> None:
        self.lock = threading.Lock()
        self.run_counts: Counter[str] = Counter()
        self.deadlines_ms: dict[str, int] = {}
        self.violations: list[str] = []
        self.holder_by_epoch: dict[int, str] = {}
        self.draining_since: float | None = None
        self.late_requests: list[tuple[str, float]] = []
        super().__init__(name, service, EVENT_INTERVAL_S if service == "models" else SERVICE_TIME_S)
        self.proxy = Proxy(self.port)

    def record_request(self, method: str, path: str, headers: dict, body: bytes) -> None:
        """Keep nothing of what arrives; a soak sends too much of it."""

    def record_run(self, request_id: str, headers: dict) -> None:
        """Note that a request runs here."""
        with self.lock:
            self.run_counts[request_id] += 1
            self.deadlines_ms[request_id] = int(headers.get("x-deadline-ms", 0))
            if self.draining_since is not None:
                self.late_requests.append((request_id, time.monotonic() - self.draining_since))

    def stream_event(self, request_id: str, number: int) -> bytes:
        """Return an event that names its request."""
        return encode_event(request_id, number)

    def apply_order(self, order: dict) -> int:
        """Carry out an order, and judge it."""
        with self.lock:
            epoch, holder = order["fenceToken"], order["holder"]
            if epoch < self.epoch:
                return 412
            if self.holder_by_epoch.setdefault(epoch, holder) != holder:
                self.violations.append(f"ONE: epoch {epoch} used by two at {self.name}")
            status = super().apply_order(order)
            if len(self.adapters) > ADAPTER_SLOTS:
                self.violations.append(f"LIMIT: {len(self.adapters)} adapters at {self.name}")
            return status

    def restart(self) -> None:
        """Crash and come back empty, under the same name."""
        with self.lock:
            self.born += 1
            self.order_count = self.epoch = 0
            self.adapters.clear()
            self.holder_by_epoch.clear()
        self.proxy.reset_all_connections()

    def record(self, state: str = "ready") -> dict:
        """Return the endpoint's record; it names the proxy."""
        record = super().record(state)
        return record | {"address": f"{HOST}:{self.proxy.port}"}

    def stop(self) -> None:
        """Stop serving."""
        self.proxy.stop()
        super().stop()
