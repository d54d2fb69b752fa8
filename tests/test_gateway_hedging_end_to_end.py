"""Second attempts beside slow ones, by a real entry between stand-ins."""

import contextlib
import http.client
import select
import socket
import time

import pytest

from tests.platform_site import PlatformSite
from tests.platform_standins import MALFORMED_HEADS, Endpoint, EndpointHandler
from tests.standin_server import HOST

# An attempt counts as slow after half of the latency target while there are few samples.
SLOW_AFTER_S = 0.5
# Seconds that a slow endpoint takes; the deadline is at six seconds.
SLOW_S = 4.0
LONG_BODY = bytes(range(256)) * 2000


class PacedHandler(EndpointHandler):
    """Answers a request when its endpoint's time is over, and notices that it is cut before."""

    def handle_request(self, body: bytes) -> None:
        """Wait, and respond as the endpoint's `action` says, unless the connection is cut."""
        endpoint, request_id = self.standin, self.headers["X-Request-Id"]
        endpoint.record_request(self.command, self.path, {}, body)
        readable, _, _ = select.select([self.connection], [], [], endpoint.delay_s)
        if readable:
            endpoint.cut_at = time.monotonic()
            self.close_connection = True
            return
        seal = {"X_Request_Id": request_id, "X_Response_Seal": "s"}
        if endpoint.action == "breaks":
            self.close_connection = True
        elif endpoint.action == "malformed":
            self.wfile.write(
                MALFORMED_HEADS["name-with-blank"].format(request_id=request_id).encode()
            )
            self.close_connection = True
        elif endpoint.action == "error":
            self.respond(500, b"failed", **seal)
        else:
            data = LONG_BODY if endpoint.action == "long" else endpoint.name.encode()
            self.respond(200, data, **seal)


class PacedEndpoint(Endpoint):
    """An endpoint of the plain service with a time and an action of its own.

    Attributes
    ----------
    cut_at : float
        When the connection of a request was cut before it was answered; 0 if none was.
    """

    handler_class = PacedHandler
    delay_s, action, zone, cut_at = 0.0, "whole", "north-a", 0.0

    def record(self, state: str = "ready") -> dict:
        """Return the endpoint's record for the store, in its own zone."""
        return super().record(state) | {"zone": self.zone}


class HedgeSite(PlatformSite):
    """A site with a near endpoint of the plain service, which gets first attempts, and a far one."""

    def __init__(self, directory, bounds: str) -> None:
        super().__init__(directory)
        self.endpoints["d1"].stop()
        self.first = self.endpoints["d1"] = PacedEndpoint("d1", "desk")
        self.second = self.endpoints["d2"] = PacedEndpoint("d2", "desk")
        self.second.zone = "north-b"
        text = self.settings_path.read_text()
        text = text.replace("stop_s = 8\n", f"stop_s = 8\n{bounds}")
        self.settings_path.write_text(text + '"north-b" = "north"\n')

    def results(self) -> list[str]:
        """Return how second attempts ended, by the log."""
        return [line["result"] for line in self.log_lines("hedge-ended")]


@pytest.fixture
def site(tmp_path, request):
    site = HedgeSite(tmp_path, getattr(request, "param", "hedge_ratio = 1.0\n"))
    try:
        yield site
    finally:
        site.stop()


def send(site, path: str = "/read/x") -> tuple[int, bytes, float]:
    """Send a request; return status, body and the seconds that it took."""
    began_at = time.monotonic()
    status, _, body = site.send_request(path, method="GET")
    return status, body, time.monotonic() - began_at


def test_fast_second_answer_is_given_once_and_the_slow_attempt_is_cut(site):
    site.first.delay_s = SLOW_S
    site.start()
    status, body, took_s = send(site)
    assert (status, body) == (200, b"d2")
    assert SLOW_AFTER_S <= took_s < SLOW_S / 2
    site.wait_until(lambda: site.first.cut_at > 0.0)
    assert len(site.first.requests) == len(site.second.requests) == 1
    site.wait_until(lambda: site.results() == ["won"])
    assert len(site.log_lines("answered")) == 1
    # The endpoint is not avoided after its attempt was cut.
    site.first.delay_s = 0.0
    assert send(site)[1] == b"d1"


def test_first_answer_cuts_the_second_attempt(site):
    site.first.delay_s, site.second.delay_s = 2 * SLOW_AFTER_S, SLOW_S
    site.start()
    assert send(site)[:2] == (200, b"d1")
    site.wait_until(lambda: site.second.cut_at > 0.0)
    site.wait_until(lambda: site.results() == ["lost"])


# How the attempt ends that is over first; the other one answers.
@pytest.mark.parametrize("action", ["breaks", "error", "malformed"])
@pytest.mark.parametrize("failing", ["first", "second"])
def test_attempt_that_fails_ends_only_itself(site, action, failing):
    failing_one, other = site.first, site.second
    if failing == "second":
        failing_one, other = other, failing_one
    failing_one.action, other.delay_s = action, 3 * SLOW_AFTER_S
    site.first.delay_s = max(site.first.delay_s, 2 * SLOW_AFTER_S)
    site.start()
    assert send(site)[:2] == (200, other.name.encode())
    assert len(site.first.requests) == len(site.second.requests) == 1
    site.wait_until(lambda: len(site.log_lines("attempt-failed")) == 1)


@pytest.mark.parametrize("action, status", [("breaks", 502), ("error", 500), ("malformed", 502)])
def test_request_ends_with_the_failure_of_the_last_of_both(site, action, status):
    site.first.action = site.second.action = action
    site.first.delay_s, site.second.delay_s = 2 * SLOW_AFTER_S, 3 * SLOW_AFTER_S
    site.start()
    assert send(site)[0] == status
    assert len(site.first.requests) == len(site.second.requests) == 1


@pytest.mark.parametrize("name", ["first", "second"])
def test_long_response_of_either_attempt_arrives_whole_and_the_other_is_cut(site, name):
    site.first.delay_s, site.second.delay_s = SLOW_S, SLOW_S
    winner = getattr(site, name)
    winner.delay_s, winner.action = 2 * SLOW_AFTER_S, "long"
    site.start()
    assert send(site)[:2] == (200, LONG_BODY)
    loser = site.second if name == "first" else site.first
    site.wait_until(lambda: loser.cut_at > 0.0)
    site.wait_until(lambda: site.results() == ["won" if name == "second" else "lost"])


def test_caller_that_leaves_cuts_both_attempts(site):
    site.first.delay_s = site.second.delay_s = SLOW_S
    site.start()
    connection = http.client.HTTPConnection(HOST, site.port, timeout=10)
    headers = {"Host": "host.test", "X-Request-Id": "c1", "X-Deadline-Ms": "6000"}
    connection.request("GET", "/read/x", headers=headers)
    site.wait_until(lambda: len(site.second.requests) == 1)
    connection.close()
    site.wait_until(lambda: site.first.cut_at > 0.0 and site.second.cut_at > 0.0, SLOW_S / 2)
    site.wait_until(lambda: site.results() == ["left"])


@contextlib.contextmanager
def unconnectable(endpoint):
    """Give an endpoint an address at which connections are not accepted, so that making one takes long."""
    listener = socket.create_server((HOST, 0), backlog=0)
    fillers = [socket.socket() for _ in range(3)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
    endpoint.port, own_port = listener.getsockname()[1], endpoint.port
    try:
        yield listener
    finally:
        endpoint.port = own_port
        for opened in (listener, *fillers):
            opened.close()


def test_first_attempt_that_cannot_connect_does_not_delay_the_second_answer(site):
    with unconnectable(site.first):
        site.start()
        status, body, took_s = send(site)
        assert (status, body) == (200, b"d2")
        assert took_s < 1.1


def test_second_attempt_that_still_connects_is_not_sent_after_the_first_answer(site):
    site.first.delay_s = 1.5 * SLOW_AFTER_S
    with unconnectable(site.second) as listener:
        site.start()
        assert send(site)[:2] == (200, b"d1")
        site.wait_until(lambda: site.results() == ["lost"])
        # Whatever connects now, also the attempt that tries again after a second, sends nothing.
        listener.settimeout(1.5)
        received, accepted = b"", []
        with contextlib.suppress(TimeoutError):
            while True:
                accepted.append(listener.accept()[0])
        for connection in accepted:
            connection.setblocking(False)
            with contextlib.suppress(OSError):
                received += connection.recv(1000)
            connection.close()
        assert received == b""


# Never for requests that must run at most once, and not without the setting.
@pytest.mark.parametrize(
    "site, path", [("hedge_ratio = 1.0\n", "/once/x"), ("", "/read/x")], indirect=["site"]
)
def test_slow_request_gets_no_second_attempt(site, path):
    site.first.delay_s = 3 * SLOW_AFTER_S
    site.start()
    assert send(site, path)[:2] == (200, b"d1")
    assert not site.second.requests
    assert not site.log_lines("hedged", "hedge-ended")


def test_connection_of_a_cut_attempt_is_not_kept(site):
    text = site.settings_path.read_text()
    site.settings_path.write_text('contracts = ["pool"]\n' + text)
    site.first.delay_s = SLOW_S
    site.start()
    assert send(site)[1] == b"d2"
    site.first.delay_s = 0.0
    for _ in range(3):
        assert send(site)[1] == b"d1"
    addresses = [address for path, address in site.first.connections if path == "/read/x"]
    assert addresses[0] not in addresses[1:]
    assert len(set(addresses[1:])) == 1
