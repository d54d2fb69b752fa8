"""Three real entries, of which two lose their links to all endpoints for some seconds."""

import http.client
import itertools
import signal
import socket
import threading
import time
from collections import Counter

import pytest
from attrs import frozen

from tests.platform_site import PlatformEntry
from tests.platform_standins import BASE_MODEL, CountingEndpoint, configuration
from tests.platform_store import Store
from tests.soak.links import CUT_KINDS, Link, StoreView
from tests.standin_server import HOST

# The users' bounds: seconds after the beginning of a cut from which on they count, failures of first
# attempts that are allowed at the entries that are cut off, and the least they must serve compared
# with the others.
COUNTED_AFTER_S = 4.0
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 0.02
LEAST_RATIO = 2 / 3
CUT_S = 9.0
HEALED_S = 4.0
# Seconds after the end of a cut within which entries use their own links again.
BACK_WITHIN_S = 2.0
REQUEST_INTERVAL_S = 0.04
CUT_ENTRIES = ("entry-2", "entry-3")


@frozen
class Result:
    """A caller's request: when it was sent, to which entry, and the status; 0 if it broke off."""

    sent_at: float
    entry: str
    request_id: str
    status: int


class CutSite:
    """Entries, each with its own links to all endpoints, and callers of all entries in turn."""

    def __init__(self, directory) -> None:
        self.store = Store()
        self.runs_by_id: Counter = Counter()
        services = {"e1": "models", "e2": "models", "d1": "desk", "d2": "desk"}
        self.endpoints = [CountingEndpoint(name, service) for name, service in services.items()]
        for endpoint in self.endpoints:
            endpoint.runs_by_id = self.runs_by_id
            endpoint.adapters = {"a1": 1}
            self.store.put("servers", endpoint.name, endpoint.record())
        self.store.put("config", "main", configuration())
        self.links: dict[str, dict[int, Link]] = {}
        self.views = []
        self.entries = []
        for name in ("entry-1", *CUT_ENTRIES):
            self.links[name] = {endpoint.port: Link(endpoint.port) for endpoint in self.endpoints}
            self.views.append(StoreView(self.store, self.links[name]))
            self.entries.append(PlatformEntry(name, directory, self.views[-1].port))
        self.numbers = itertools.count(1)
        self.results: list[Result] = []

    def start(self) -> None:
        """Start the entries and wait until all are ready and have led their engines."""
        for entry in self.entries:
            entry.launch()
        deadline_at = time.monotonic() + 20.0
        while any(entry.get_status() != 200 for entry in self.entries):
            assert time.monotonic() < deadline_at, self.entries[0].log_path.read_text()[-2000:]
            time.sleep(0.05)
        time.sleep(2.0)

    def for_links(self, action) -> None:
        """Do something to all links of the entries that are cut off."""
        for name in CUT_ENTRIES:
            for link in self.links[name].values():
                action(link)

    def send(self, number: int) -> None:
        """Send a request of one of three kinds and keep its result."""
        entry = self.entries[number % len(self.entries)]
        path, body = (("/stream/x", b"s"), ("/once/x", b"o"), ("/read/x", b"r"))[number // 3 % 3]
        request_id, sent_at = f"c{number}", time.monotonic()
        adapter = "a1" if path == "/stream/x" else ""
        status = entry.post(request_id, path, body, adapter, deadline_ms=3000)
        self.results.append(Result(sent_at, entry.name, request_id, status))

    def send_regularly(self, seconds: float) -> None:
        """Send requests to all entries in turn, and wait for their ends."""
        threads = []
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            threads.append(threading.Thread(target=self.send, args=(next(self.numbers),)))
            threads[-1].start()
            time.sleep(REQUEST_INTERVAL_S)
        for thread in threads:
            thread.join()

    def stop(self) -> None:
        """Stop everything."""
        for entry in self.entries:
            entry.kill()
        for server in (*self.endpoints, *self.views, self.store):
            server.stop()
        for links in self.links.values():
            for link in links.values():
                link.stop()
        for entry in self.entries:
            entry.check_no_faults()


@pytest.fixture
def site(tmp_path):
    site = CutSite(tmp_path)
    try:
        site.start()
        yield site
    finally:
        site.stop()


def served_share(results: list[Result]) -> float:
    """Return the share of requests that got a success."""
    return sum(result.status == 200 for result in results) / len(results)


# What becomes of new connections over a cut link, and of open ones.
@pytest.mark.parametrize("how", CUT_KINDS)
def test_callers_of_entries_without_links_to_endpoints_are_served_by_way_of_others(site, how):
    site.send_regularly(1.0)
    cut_at = time.monotonic()
    site.for_links(lambda link: link.cut(how))
    site.send_regularly(CUT_S)
    counted = [result for result in site.results if result.sent_at > cut_at + COUNTED_AFTER_S]
    cut_off = [result for result in counted if result.entry in CUT_ENTRIES]
    others = [result for result in counted if result.entry not in CUT_ENTRIES]
    failures = Counter(result.status for result in cut_off if result.status != 200)
    assert served_share(cut_off) >= LEAST_RATIO * served_share(others), failures
    assert failures.total() <= ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * len(cut_off), failures
    site.for_links(Link.heal)
    healed_at = time.monotonic()
    site.send_regularly(HEALED_S)
    late = [result for result in site.results if result.sent_at > healed_at + BACK_WITHIN_S]
    assert served_share(late) >= 0.95
    refused = {result.request_id for result in site.results if result.status == 503}
    assert not [request_id for request_id in refused if site.runs_by_id[request_id]]
    assert not [request_id for request_id, runs in site.runs_by_id.items() if runs > 2]
    for result in site.results:
        number = int(result.request_id[1:])
        assert number // 3 % 3 == 2 or site.runs_by_id[result.request_id] <= 1


def cut_and_wait(site) -> None:
    """Refuse connections over the links of the entries that are cut off, and let them find out."""
    site.for_links(lambda link: link.cut("refuse"))
    site.send_regularly(1.0)
    site.results.clear()


def test_caller_cannot_set_what_entries_tell_one_another(site):
    cut_and_wait(site)
    connection = http.client.HTTPConnection(HOST, site.entries[1].port, timeout=10)
    headers = {"Host": "host.test", "X-Request-Id": "forged", "X-Model": f"{BASE_MODEL}/a1"}
    forged = {"Relay-Configuration": "99", "Relay-Possible-Runs": "9", "Relay-Software": "v9"}
    connection.request("POST", "/resume/x", b"", headers | forged)
    response = connection.getresponse()
    response.read()
    assert response.status == 200
    assert not [name for name in response.headers if name.lower().startswith("relay-")]
    connection.close()


def test_caller_that_leaves_a_cut_off_entry_ends_the_work_of_its_endpoint(site):
    cut_and_wait(site)
    for endpoint in site.endpoints:
        endpoint.service_time_s = 0.2
    left_at = time.monotonic()
    with socket.create_connection((HOST, site.entries[1].port), timeout=5) as caller:
        head = "POST /stream/x HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: left\r\n"
        caller.sendall(f"{head}X-Model: {BASE_MODEL}/a1\r\nContent-Length: 0\r\n\r\n".encode())
        assert b" 200 " in caller.recv(65536)
        left_at = time.monotonic()
    aborted = [endpoint.aborted_request_ids for endpoint in site.endpoints]
    while not any("left" in request_ids for request_ids in aborted):
        # The stand-in notices the end of a connection with its next event but one.
        assert time.monotonic() < left_at + 0.5 + 2 * 0.2
        time.sleep(0.02)


def test_entry_that_stops_completes_what_it_passes_on_and_refuses_nothing_as_possibly_run(site):
    cut_and_wait(site)
    for endpoint in site.endpoints:
        endpoint.service_time_s = 0.3
    before = threading.Thread(target=site.send_regularly, args=(1.0,))
    before.start()
    time.sleep(0.8)
    site.entries[0].send_signal(signal.SIGTERM)
    before.join()
    site.entries[0].process.wait(timeout=10.0)
    in_flight = [result for result in site.results if result.entry in CUT_ENTRIES]
    assert {result.status for result in in_flight} <= {200, 503}
    assert served_share(in_flight) >= LEAST_RATIO
    site.results.clear()
    started_at = time.monotonic()
    site.send(3001)
    assert [result.status for result in site.results] == [503]
    assert time.monotonic() - started_at < 1.0
    assert not [result for result in site.results if site.runs_by_id[result.request_id]]


def test_requests_of_a_cut_off_entry_are_not_repeated_when_the_helper_is_killed(site):
    cut_and_wait(site)
    for endpoint in site.endpoints:
        endpoint.service_time_s = 0.3
    before = threading.Thread(target=site.send_regularly, args=(1.0,))
    before.start()
    time.sleep(0.6)
    site.entries[0].kill()
    before.join()
    assert not [request_id for request_id, runs in site.runs_by_id.items() if runs > 1]
    refused = [result.request_id for result in site.results if result.status == 503]
    assert not [request_id for request_id in refused if site.runs_by_id[request_id]]
