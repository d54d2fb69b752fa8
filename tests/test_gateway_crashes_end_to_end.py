"""Three real entries before engines that crash under a part of prompts, or name limits."""

import itertools
import threading
import time

import pytest

from tests.platform_site import PlatformEntry
from tests.platform_standins import Endpoint, EndpointHandler, configuration
from tests.platform_store import Store
from tests.soak.proxy import Proxy, ProxyFault
from tests.standin_server import HOST

ENGINE_COUNT = 4
EVENT_INTERVAL_S = 0.05
RESTART_S = 1.5
CRASHING_PART = "bad"
# The users' bounds: crashes and seconds after which a part is known, and requests that may still come.
KNOWN_AFTER_CRASHES = 5
KNOWN_AFTER_S = 4.0
MAX_LATE_REQUESTS = 3
# The users' bounds on requests beyond a limit, in any window from KNOWN_AFTER_S on.
WINDOW_S = 4.0
LIMIT_PER_S = 1.0
MAX_REQUESTS_PER_WINDOW = 1.5 * WINDOW_S * LIMIT_PER_S + 5
# Seconds for which requests come while an engine names its limit.
LIMITED_S = 14.0


class FragileHandler(EndpointHandler):
    """Begins a response to a request with the crashing part, and lets the engine crash."""

    def handle_request(self, body: bytes) -> None:
        """Serve a caller's request."""
        engine = self.standin
        engine.arrived_at.append(time.monotonic())
        names = [item.partition(":")[0] for item in self.headers["X-Prompt-Prefix"].split(",")]
        if CRASHING_PART not in names[:-1]:
            super().handle_request(body)
            return
        engine.reached_at.append(time.monotonic())
        self.send_response_only(200)
        self.send_header("X-Request-Id", self.headers["X-Request-Id"])
        self.send_header("X-Response-Seal", "s")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        time.sleep(EVENT_INTERVAL_S)
        engine.crash()
        self.close_connection = True

    def send_header(self, keyword: str, value: str) -> None:
        """Send a header; each response names the limit of its engine."""
        super().send_header(keyword, value)
        if keyword == "X-Request-Id" and self.standin.requests_per_s is not None:
            super().send_header("Server-Limit", str(self.standin.requests_per_s))


class FragileEngine(Endpoint):
    """An engine behind a proxy, which refuses connections while it restarts.

    Attributes
    ----------
    arrived_at, reached_at, crashed_at : list
        When requests came, when those with the crashing part did, and when it crashed.
    """

    handler_class = FragileHandler

    def __init__(self, name: str, store: Store) -> None:
        self.store = store
        self.requests_per_s: float | None = None
        self.arrived_at: list[float] = []
        self.reached_at: list[float] = []
        self.crashed_at: list[float] = []
        super().__init__(name, "models", EVENT_INTERVAL_S)
        self.adapters = {"a1": 1}
        self.proxy = Proxy(self.port)

    def record(self, state: str = "ready") -> dict:
        """Return the record, with the address of the proxy."""
        return super().record(state) | {"address": f"{HOST}:{self.proxy.port}"}

    def crash(self) -> None:
        """Reset all connections, refuse new ones for a while, and register as a new run."""
        self.crashed_at.append(time.monotonic())
        self.proxy.fault = ProxyFault.REFUSE
        self.proxy.reset_all_connections()
        threading.Timer(RESTART_S, self.restart).start()

    def restart(self) -> None:
        """Accept connections again and register."""
        self.incarnation += 1
        self.proxy.fault = ProxyFault.NONE
        self.store.put("servers", self.name, self.record())

    def stop(self) -> None:
        """Stop the proxy and the engine."""
        self.proxy.stop()
        super().stop()


class FragileSite:
    """Entries as real processes, with callers that send to all of them in turn."""

    def __init__(self, directory) -> None:
        self.store = Store()
        self.engines = [FragileEngine(f"e{n}", self.store) for n in range(1, ENGINE_COUNT + 1)]
        self.entries = [PlatformEntry(f"entry-{n}", directory, self.store.port) for n in (1, 2, 3)]
        self.numbers = itertools.count(1)
        for engine in self.engines:
            self.store.put("servers", engine.name, engine.record())
        self.store.put("config", "main", configuration())
        for entry in self.entries:
            entry.launch()
        deadline_at = time.monotonic() + 20.0
        while any(entry.get_status() != 200 for entry in self.entries):
            assert time.monotonic() < deadline_at, self.entries[0].log_path.read_text()[-2000:]
            time.sleep(0.05)

    def send(self, *parts: str) -> int:
        """Send a request with these parts and one of its own; return the status, 0 if it broke."""
        number = next(self.numbers)
        entry = self.entries[number % len(self.entries)]
        prefix = ",".join(f"{part}:20" for part in (*parts, f"own-{number}"))
        return entry.send_stream(f"c{number}", prefix)

    def send_regularly(self, seconds: float, interval_s: float, *parts: str) -> list[int]:
        """Send requests from threads; return their statuses."""
        statuses: list[int] = []
        threads = []
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            thread = threading.Thread(target=lambda: statuses.append(self.send(*parts)))
            thread.start()
            threads.append(thread)
            time.sleep(interval_s)
        for thread in threads:
            thread.join()
        return statuses

    def stop(self) -> None:
        """Stop everything."""
        for entry in self.entries:
            entry.kill()
        for engine in self.engines:
            engine.stop()
        self.store.stop()
        for entry in self.entries:
            entry.check_no_faults()


@pytest.fixture
def site(tmp_path):
    site = FragileSite(tmp_path)
    try:
        yield site
    finally:
        site.stop()


def test_entries_refuse_a_part_that_crashes_engines_and_serve_the_others(site):
    crashing_statuses = []
    site.send_regularly(2.0, 0.1, "shared")
    crashing = threading.Thread(
        target=lambda: crashing_statuses.extend(site.send_regularly(14.0, 0.25, "shared", "bad"))
    )
    crashing.start()
    site.send_regularly(9.0, 0.1, "shared")
    statuses = site.send_regularly(5.0, 0.1, "shared")
    crashing.join()
    crashed_at = sorted(at for engine in site.engines for at in engine.crashed_at)
    reached_at = [at for engine in site.engines for at in engine.reached_at]
    known_at = crashed_at[min(len(crashed_at), KNOWN_AFTER_CRASHES) - 1] + KNOWN_AFTER_S
    assert len(crashed_at) >= 3
    assert sum(at > known_at for at in reached_at) <= MAX_LATE_REQUESTS, len(crashed_at)
    assert statuses.count(200) >= 0.9 * len(statuses)
    # Once the part is known, its requests are refused as not run.
    assert crashing_statuses.count(503) >= 0.5 * len(crashing_statuses)
    assert 500 not in crashing_statuses + statuses


def test_entries_together_keep_to_the_limit_of_an_engine(site):
    limited = site.engines[0]
    limited.requests_per_s = LIMIT_PER_S
    named_at = time.monotonic()
    # So many that the limited engine is the least busy one whenever it takes another request.
    statuses = site.send_regularly(LIMITED_S, 0.02, "shared")
    times = [at for at in limited.arrived_at if at > named_at + KNOWN_AFTER_S]
    most = max((sum(at <= other < at + WINDOW_S for other in times) for at in times), default=0)
    assert most <= MAX_REQUESTS_PER_WINDOW
    assert len(times) >= 0.5 * LIMIT_PER_S * (LIMITED_S - KNOWN_AFTER_S)
    assert set(statuses) == {200}
