"""Endpoints of the soak, which record requests and orders and detect violations."""

import random
import threading
import time
from collections import Counter

from tests.platform_standins import MALFORMED_LINES, STREAM_FAULTS, Endpoint
from tests.soak.proxy import Proxy, ProxyFault
from tests.standin_server import HOST

ADAPTER_SLOTS = 3
EVENT_COUNT = 6
EVENT_INTERVAL_S = 0.03
SERVICE_TIME_S = 0.15


# Software versions of the engines, side by side: two engines have the first, one the second.
SOFTWARE_VERSIONS = ("v1", "v2", "v1")
# End of the id of a request that takes up the stream of another one.
RESUMED_SUFFIX = "-resumed"
# Share of the streams that an engine breaks off while there are faults.
TORN_SHARE = 0.5
# Share of all responses that do not end while there are faults.
ENDLESS_SHARE = 0.02
# Share of all responses with a malformed line in their head, or behind their last chunk, while there are
# faults.
MALFORMED_SHARE = 0.05
MALFORMED_FAULTS = sorted((*MALFORMED_LINES, *(f"trailer-{name}" for name in MALFORMED_LINES)))


def encode_event(request_id: str, number: int, software: str) -> bytes:
    """Encode one event of a request's stream as server-sent event.

    A request that takes up a stream names the request that began it.
    """
    first_id = request_id.removesuffix(RESUMED_SUFFIX)
    return f"id: {number}\ndata: {first_id} {software} {number}\n\n".encode()


def encode_stream(request_id: str, software: str) -> bytes:
    """Encode the complete stream of a request."""
    numbers = range(1, EVENT_COUNT + 1)
    return b"".join(encode_event(request_id, number, software) for number in numbers)


class SoakEndpoint(Endpoint):
    """An endpoint behind a proxy.

    Attributes
    ----------
    run_counts : Counter
        How often each request ran here.
    deadlines_ms : dict
        Deadline in milliseconds that came with each request; 0 if there was none.
    violations : list
        Violations by the senders of orders, as text.
    holder_by_epoch : dict
        Holder of the lease by epoch, as given in orders; cleared by a restart.
    draining_since : float or None
        Monotonic time at which its record was changed to draining; None if it does not drain.
    late_requests : list
        Requests that ran after ``draining_since``, with the delay in seconds.
    arrivals, turned_away : list
        Id and time of each request that arrived; of those that were turned away also the time until
        which no others were wanted.
    tears_streams : bool
        Whether some streams break off, and some responses are malformed or do not end.
    rng : Random
        Draws which streams break off and how.
    line_rng : Random
        Draws which responses are malformed, so that a seed keeps its other faults.
    """

    event_count = EVENT_COUNT

    def __init__(self, name: str, service: str, seed: str, software: str = "v1") -> None:
        self.rng = random.Random(f"{seed}/{name}")
        self.line_rng = random.Random(f"{seed}/{name}/lines")
        self.stream_framing = self.rng.choice(("chunked", "length", "connection"))
        self.software_version = software
        self.tears_streams = False
        self.lock = threading.Lock()
        self.run_counts: Counter[str] = Counter()
        self.deadlines_ms: dict[str, int] = {}
        self.violations: list[str] = []
        self.holder_by_epoch: dict[int, str] = {}
        self.draining_since: float | None = None
        self.late_requests: list[tuple[str, float]] = []
        self.arrivals: list[tuple[str, float]] = []
        self.turned_away: list[tuple[str, float, float]] = []
        super().__init__(name, service, EVENT_INTERVAL_S if service == "models" else SERVICE_TIME_S)
        self.proxy = Proxy(self.port)

    def record_request(self, method: str, path: str, headers: dict, body: bytes) -> None:
        """Record when a request arrived, and no more of it."""
        self.arrivals.append((headers.get("x-request-id", ""), time.monotonic()))

    def record_turned_away(self, request_id: str, seconds: float) -> None:
        """Record a request that was turned away, and until when no others are wanted."""
        if self.proxy.fault is not ProxyFault.NONE:
            # The answer may not arrive.
            return
        now = time.monotonic()
        with self.lock:
            self.turned_away.append((request_id, now, now + seconds))

    def record_run(self, request_id: str, headers: dict) -> None:
        """Record that a request runs here."""
        with self.lock:
            self.run_counts[request_id] += 1
            self.deadlines_ms[request_id] = int(headers.get("x-deadline-ms", 0))
            if self.draining_since is not None:
                self.late_requests.append((request_id, time.monotonic() - self.draining_since))

    def next_fault(self, request_id: str) -> str:
        """Return what is wrong with the response to a request; empty if it is sound."""
        with self.lock:
            if self.tears_streams and self.line_rng.random() < MALFORMED_SHARE:
                return self.line_rng.choice(MALFORMED_FAULTS)
            if self.tears_streams and self.rng.random() < ENDLESS_SHARE:
                return "endless"
            if not self.tears_streams or self.rng.random() >= TORN_SHARE:
                return ""
            faults = sorted(STREAM_FAULTS)
            if self.stream_framing == "connection":
                # Closed in order between two events, such a stream is a complete one.
                faults.remove("cut")
            return self.rng.choice(faults)

    def stream_event(self, request_id: str, number: int) -> bytes:
        """Return an event that tells the request and the software, so that mixtures are detected."""
        return encode_event(request_id, number, self.software_version)

    def apply_order(self, order: dict) -> int:
        """Carry out an order and check it.

        An epoch used by two holders, or more adapters than slots, is a violation.
        """
        with self.lock:
            epoch, holder = order["fenceToken"], order["holder"]
            if epoch < self.epoch:
                return 412
            if self.holder_by_epoch.setdefault(epoch, holder) != holder:
                self.violations.append(f"ONE: epoch {epoch} used by two holders at {self.name}")
            status = super().apply_order(order)
            if len(self.adapters) > ADAPTER_SLOTS:
                self.violations.append(
                    f"LIMIT: {len(self.adapters)} adapters loaded at {self.name}"
                )
            return status

    def restart(self) -> None:
        """Restart without adapters under the same name, and reset all connections."""
        with self.lock:
            self.incarnation += 1
            self.order_count = self.epoch = 0
            self.adapters.clear()
            self.holder_by_epoch.clear()
            # The new run takes requests, and what the earlier one said does not hold for it.
            now = time.monotonic()
            self.busy_until = float("-inf")
            self.turned_away = [
                (request_id, at, min(until, now)) for request_id, at, until in self.turned_away
            ]
        self.proxy.reset_all_connections()

    def record(self, state: str = "ready") -> dict:
        """Return the endpoint's record for the store, with the address of the proxy."""
        record = super().record(state)
        return record | {"address": f"{HOST}:{self.proxy.port}"}

    def stop(self) -> None:
        """Stop the proxy and the endpoint."""
        self.proxy.stop()
        super().stop()
