"""Callers of the soak, and the records of their requests."""

import http.client
import itertools
import random
import threading
import time

from attrs import define

from tests.soak.endpoints import RESUMED_SUFFIX, SOFTWARE_VERSIONS, encode_stream
from tests.soak.entries import SoakEntry
from tests.soak.proxy import HOST

REQUEST_KINDS = ("once", "read", "stream", "resume")
# More than all adapter slots together, so that leads keep sending load and unload orders.
ADAPTER_COUNT = 14
DEADLINE_MS = 4000
# Statuses by which an entry guarantees that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Seconds for which a caller waits for the next byte, and for all; longer than any deadline.
RESPONSE_TIMEOUT_S = 8.0
MAX_PAUSE_S = 0.02


@define
class RequestRecord:
    """A request and its response.

    Attributes
    ----------
    kind : str
        A value of ``REQUEST_KINDS``: the first segment of the path.
    incarnation : int
        Incarnation of the entry when the request was sent.
    sent_at, ended_at : float
        Times on the monotonic clock; ``ended_at`` is 0 while the request is open.
    status : int
        Status code; 0 if the connection ended without a complete response.
    violation : str
        What is wrong with the response; empty if nothing is.
    resumes : RequestRecord or None
        The request whose broken stream this one takes up.
    events : bytes
        Whole events of a stream received by this request and those that it takes up.
    """

    request_id: str
    kind: str
    entry: str
    incarnation: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    violation: str = ""
    resumes: "RequestRecord | None" = None
    events: bytes = b""

    def first(self) -> "RequestRecord":
        """Return the request that began the stream."""
        return self.resumes.first() if self.resumes is not None else self


def connect(entry: SoakEntry) -> http.client.HTTPConnection:
    """Return a new connection to an entry; it is opened by the first request."""
    return http.client.HTTPConnection(HOST, entry.port, timeout=RESPONSE_TIMEOUT_S)


def start_record(
    request_id: str, kind: str, entry: SoakEntry, resumes: RequestRecord | None = None
) -> RequestRecord:
    """Create the record of a request that is about to be sent."""
    return RequestRecord(
        request_id, kind, entry.name, entry.incarnation, time.monotonic(), resumes=resumes
    )


def may_be_resumed(record: RequestRecord) -> bool:
    """Return whether a request is a stream that broke off after an event and may be taken up."""
    return record.kind == "resume" and record.status == 0 and record.events != b""


def send_request(connection, record: RequestRecord, adapter: int = 0) -> RequestRecord:
    """Send a request, check the response and complete the record."""
    request_id, kind = record.request_id, record.kind
    headers = {
        "Host": "host.test",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(DEADLINE_MS),
    }
    is_stream = kind in ("stream", "resume")
    first_id = record.first().request_id
    if is_stream:
        headers |= {"X-Model": f"base/a{adapter}", "X-Token-Usage": "100,20"}
        expected_bodies = [encode_stream(first_id, software) for software in SOFTWARE_VERSIONS]
    else:
        expected_bodies = [b"done " + request_id.encode()]
    if record.resumes is not None:
        record.events = record.resumes.events
        last_event_id = record.events.rpartition(b"id: ")[2].partition(b"\n")[0].decode()
        headers |= {"Last-Event-Id": last_event_id, "Resumes": first_id}
    body = bytearray(record.events)
    try:
        connection.request("POST", f"/{kind}/x", first_id.encode(), headers)
        response = connection.getresponse()
        while data := response.read1():
            body += data
            if time.monotonic() > record.sent_at + RESPONSE_TIMEOUT_S:
                raise TimeoutError("response goes on")
            if is_stream and response.status == 200:
                record.events = bytes(body[: body.rfind(b"\n\n") + 2]) if b"\n\n" in body else b""
        # Ends the response, so that the connection can be used again.
        response.read()
    except (OSError, http.client.HTTPException):
        record.ended_at = time.monotonic()
        if not any(expected.startswith(record.events) for expected in expected_bodies):
            record.violation = f"ORDER: {record.events[-120:]!r} in a stream"
        return record
    record.ended_at = time.monotonic()
    record.status = response.status
    if response.status == 200 and body not in expected_bodies:
        record.violation = f"MIXED: {body[-120:]!r} as the complete response"
    elif response.status == 200 and response.headers["X-Request-Id"] != request_id:
        record.violation = f"MIXED: the response to {response.headers['X-Request-Id']}"
    elif response.status in NOT_RUN_STATUSES and "X-Response-Seal" in response.headers:
        record.violation = f"MIXED: status {response.status} with a signature"
    return record


class LoadGenerator:
    """Threads that each send one request after another.

    Half of them keep their connections; the others open a connection for each request.

    Attributes
    ----------
    records : list
        Records of all requests, in the order in which they began.
    """

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
        """Start all threads."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending requests, and wait until the open ones have ended."""
        self.stop_requested.set()
        for thread in self.threads:
            thread.join()

    def run_caller(self, rng: random.Random, keeps_connections: bool) -> None:
        """Send requests to random entries until a stop is requested."""
        connection, entry = None, None
        while not self.stop_requested.is_set():
            if connection is None:
                entry = rng.choice(self.entries)
                connection = connect(entry)
            record = start_record(
                f"s{next(self.request_numbers)}", rng.choice(REQUEST_KINDS), entry
            )
            self.records.append(record)
            adapter = rng.randrange(ADAPTER_COUNT)
            send_request(connection, record, adapter)
            if may_be_resumed(record):
                connection.close()
                entry = rng.choice(self.entries)
                connection = connect(entry)
                record = start_record(
                    record.request_id + RESUMED_SUFFIX, record.kind, entry, record
                )
                self.records.append(record)
                send_request(connection, record, adapter)
            if not keeps_connections or record.status == 0 or connection.sock is None:
                connection.close()
                connection = None
            time.sleep(MAX_PAUSE_S * rng.random())
