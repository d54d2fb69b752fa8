"""Callers of the soak, and what they saw."""

import http.client
import itertools
import random
import threading
import time

from attrs import define

from tests.soak.endpoints import whole
from tests.soak.entries import SoakEntry
from tests.soak.proxy import HOST

KINDS = ("once", "read", "stream", "resume")
# More than all places, so that orders go on.
ADAPTERS = 14
DEADLINE_MS = 4000
# Answers by which an entry promises that a request has not run and never will.
NOT_RUN = frozenset((408, 421, 429, 503))
# Seconds that a caller waits for a byte; longer than any deadline.
PATIENCE_S = 8.0
PAUSE_S = 0.02


@define
class Seen:
    """A request and its answer; ``status`` is 0 where the connection ended without one."""

    request_id: str
    kind: str
    entry: str
    lifetime: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    fault: str = ""


def connect(entry: SoakEntry) -> http.client.HTTPConnection:
    """Return a new connection to an entry."""
    return http.client.HTTPConnection(HOST, entry.port, timeout=PATIENCE_S)


def begin(request_id: str, kind: str, entry: SoakEntry) -> Seen:
    """Return the record of a request that is about to be sent."""
    return Seen(request_id, kind, entry.name, entry.lifetime, time.monotonic())


def ask(connection, seen: Seen, adapter: int = 0) -> Seen:
    """Send a request and judge its answer."""
    request_id, kind = seen.request_id, seen.kind
    headers = {
        "Host": "host.test",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(DEADLINE_MS),
    }
    if kind in ("stream", "resume"):
        headers |= {"X-Model": f"base/a{adapter}", "X-Token-Usage": "100,20"}
    expected = whole(request_id) if "X-Model" in headers else b"done " + request_id.encode()
    try:
        connection.request("POST", f"/{kind}/x", request_id.encode(), headers)
        answer = connection.getresponse()
        data = answer.read()
    except (OSError, http.client.HTTPException):
        seen.ended_at = time.monotonic()
        return seen
    seen.ended_at = time.monotonic()
    seen.status = answer.status
    if answer.status == 200 and data != expected:
        seen.fault = f"MIXED: {data[:60]!r} as the whole answer"
    elif answer.status == 200 and answer.headers["X-Request-Id"] != request_id:
        seen.fault = f"MIXED: the answer to {answer.headers['X-Request-Id']}"
    elif answer.status in NOT_RUN and "X-Response-Seal" in answer.headers:
        seen.fault = f"MIXED: status {answer.status} with a signature"
    return seen


class Callers:
    """Threads that send requests one after another, half of them on connections that they keep."""

    def __init__(self, entries: list[SoakEntry], seed: int, threads: int) -> None:
        self.entries = entries
        self.numbers = itertools.count(1)
        self.seen: list[Seen] = []
        self.ended = threading.Event()
        self.threads = [
            threading.Thread(target=self.call, args=(random.Random(f"{seed}/{n}"), n % 2 == 0))
            for n in range(threads)
        ]

    def start(self) -> None:
        """Begin to send."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Send nothing new, and wait for the last answers."""
        self.ended.set()
        for thread in self.threads:
            thread.join()

    def call(self, chance: random.Random, keeps: bool) -> None:
        """Send requests until the end."""
        connection, entry = None, None
        while not self.ended.is_set():
            if connection is None:
                entry = chance.choice(self.entries)
                connection = connect(entry)
            seen = begin(f"s{next(self.numbers)}", chance.choice(KINDS), entry)
            self.seen.append(seen)
            ask(connection, seen, chance.randrange(ADAPTERS))
            if not keeps or seen.status == 0 or connection.sock is None:
                connection.close()
                connection = None
            time.sleep(PAUSE_S * chance.random())
