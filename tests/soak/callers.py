"""Callers of the soak, and what they saw."""

import http.client
import itertools
import random
import threading
import time

from attrs import define

from tests.soak.endpoints import encode_stream
from tests.soak.entries import SoakEntry
from tests.soak.proxy import HOST

REQUEST_KINDS = ("once", "read", "stream", "resume")
# More than all places, so that orders go on.
ADAPTER_COUNT = 14
DEADLINE_MS = 4000
# Answers by which an entry promises that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Seconds that a caller waits for a byte; longer than any deadline.
RESPONSE_TIMEOUT_S = 8.0
MAX_PAUSE_S = 0.02


@define
class RequestRecord:
    """A request and its answer; ``status`` is 0 where the connection ended without one."""

    request_id: str
    kind: str
    entry: str
    incarnation: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    violation: str = ""


def connect(entry: SoakEntry) -> http.client.HTTPConnection:
    """Return a new connection to an entry."""
    return http.client.HTTPConnection(HOST, entry.port, timeout=RESPONSE_TIMEOUT_S)


def start_record(request_id: str, kind: str, entry: SoakEntry) -> RequestRecord:
    """Return the record of a request that is about to be sent."""
    return RequestRecord(request_id, kind, entry.name, entry.incarnation, time.monotonic())


def send_request(connection, record: RequestRecord, adapter: int = 0) -> RequestRecord:
    """Send a request and judge its answer."""
    request_id, kind = record.request_id, record.kind
    headers = {
        "Host": "host.test",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(DEADLINE_MS),
    }
    if kind in ("stream", "resume"):
        headers |= {"X-Model": f"base/a{adapter}", "X-Token-Usage": "100,20"}
    expected_body = (
        encode_stream(request_id) if "X-Model" in headers else b"done " + request_id.encode()
    )
    try:
        connection.request("POST", f"/{kind}/x", request_id.encode(), headers)
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException):
        record.ended_at = time.monotonic()
        return record
    record.ended_at = time.monotonic()
    record.status = response.status
    if response.status == 200 and body != expected_body:
        record.violation = f"MIXED: {body[:60]!r} as the whole answer"
    elif response.status == 200 and response.headers["X-Request-Id"] != request_id:
        record.violation = f"MIXED: the answer to {response.headers['X-Request-Id']}"
    elif response.status in NOT_RUN_STATUSES and "X-Response-Seal" in response.headers:
        record.violation = f"MIXED: status {response.status} with a signature"
    return record


class LoadGenerator:
    """Threads that send requests one after another, half of them on connections that they keep."""

    def __init__(self, entries: list[SoakEntry], seed: int, thread_count: int) -> None:
        self.entries = entries
        self.request_numbers = itertools.count(1)
        self.records: list[RequestRecord] = []
        self.stop_requested = threading.Event()
        self.threads = [
            threading.Thread(
                target=self.run_caller, args=(random.Random(f"{seed}/{n}"), n % 2 == 0)
            )
            for n in range(thread_count)
        ]

    def start(self) -> None:
        """Begin to send."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Send nothing new, and wait for the last answers."""
        self.stop_requested.set()
        for thread in self.threads:
            thread.join()

    def run_caller(self, rng: random.Random, keeps_connections: bool) -> None:
        """Send requests until the end."""
        connection, entry = None, None
        while not self.stop_requested.is_set():
            if connection is None:
                entry = rng.choice(self.entries)
                connection = connect(entry)
            record = start_record(
                f"s{next(self.request_numbers)}", rng.choice(REQUEST_KINDS), entry
            )
            self.records.append(record)
            send_request(connection, record, rng.randrange(ADAPTER_COUNT))
            if not keeps_connections or record.status == 0 or connection.sock is None:
                connection.close()
                connection = None
            time.sleep(MAX_PAUSE_S * rng.random())
