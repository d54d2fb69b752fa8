"""A request ends once, however it ends, and nothing of it stays in the entry."""

import socket
import time

import pytest

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from tests.gateway import Gateway, effects_of, engine, plain_endpoint
from tests.platform_site import PlatformSite, raw_request
from tests.soak.entries import MUTANT_PROGRAM
from tests.standin_server import HOST

CALLERS = 20
MODEL_LINES = (b"X-Model: base/a1", b"X-Token-Usage: 100,20")


@pytest.mark.parametrize("path", [b"/resume/x", b"/stream/x"])
def test_caller_that_leaves_between_two_attempts_of_a_stream_is_let_go(site, path):
    """Its connection stayed open for good, until the entry had none left for others."""
    endpoint = site.endpoints["e1"]
    endpoint.adapters["a1"] = 1
    site.register_endpoints("e1")
    site.wait_until(lambda: site.log_lines("endpoint-new") != [])
    assert site.send_request(path.decode(), "a1")[0] == 200
    # The entry believes that the engine holds the adapter. The first attempt is answered with 421, and
    # the request waits for the adapter.
    del endpoint.adapters["a1"]
    endpoint.order_faults = ["refused"] * 1000
    before = site.descriptor_count()
    connections = []
    for number in range(CALLERS):
        connection = socket.create_connection((HOST, site.port), timeout=5.0)
        connection.sendall(raw_request("POST", path, f"left-{number}", *MODEL_LINES))
        connections.append(connection)
    time.sleep(0.2)
    assert len([line for line in site.log_lines("again", "waits")]) > 0
    for connection in connections:
        connection.close()
    site.wait_until(lambda: site.descriptor_count() <= before + 2, 8.0)


@pytest.mark.parametrize(
    ("method", "target"),
    [("GE{T", b"/read/x"), ("GET", b"/read/x\x7f"), ("GET", b"/read/\x01x"), ("G@T", b"/once/x")],
)
def test_request_that_cannot_be_sent_to_an_endpoint_is_refused(site, method, target):
    """It was answered with 500 and counted as running for good."""
    with socket.create_connection((HOST, site.port), timeout=5.0) as connection:
        connection.sendall(raw_request(method, target, "c1"))
        assert connection.recv(65536).startswith(b"HTTP/1.1 400 ")
    assert site.send_request("/read/x")[0] == 200


@pytest.mark.parametrize(
    "name", ["X-Note", "User-Agent", "Accept-Encoding", "Accept", "X-Prompt-Prefix"]
)
def test_header_value_that_a_library_uses_is_forwarded(site, name):
    """urllib3 has a mark for headers that it leaves out; any text may be a value."""
    mark = "@@@SKIP_HEADER@@@"
    assert site.send_request("/read/x", **{name.replace("-", "_"): mark})[0] == 200
    (request,) = site.endpoints["d1"].requests
    assert request[2][name.lower()] == mark


# The path of the request, whether its adapter is loaded, and whether it waits.
ABANDONED = {
    "runs": ("/resume/x", True, False),
    "plain-runs": ("/once/x", None, False),
    "waits": ("/resume/x", False, True),
}


@pytest.mark.parametrize("case", ABANDONED.values(), ids=ABANDONED)
def test_abandoned_request_leaves_nothing_behind(case):
    """An exception in the thread that carries it on left it in the state, and its endpoint busy."""
    path, is_loaded, waits = case
    gateway = Gateway()
    gateway.configure()
    held = ("a1",) if is_loaded else ()
    gateway.list_endpoints(engine(1, held=held), plain_endpoint(1))
    adapter = None if is_loaded is None else "a1"
    request_id, effects = gateway.request(path, adapter)
    assert bool(effects_of(fx.Dispatch, effects)) is not waits
    gateway.submit(ev.RequestAbandoned, request_id=request_id)
    state = gateway.state
    assert not state.requests and not state.waiting
    assert not any(endpoint.in_flight for endpoint in state.endpoints.values())
    assert not any(endpoint.in_flight_by_adapter for endpoint in state.endpoints.values())
    assert not any(ask.waiters for ask in state.pending_asks.values())
    # What comes late changes nothing.
    gateway.submit(ev.RequestAbandoned, request_id=request_id)
    assert effects_of(fx.Refuse, gateway.advance(7.0)) == []


FAILING_SEND = """
import poplarhoist.gateway.exchange as exchange
def fail(self):
    raise ValueError("a value that no library takes")
exchange.Exchange.send = fail
"""


def test_exception_in_an_attempt_ends_its_request(tmp_path):
    """The request was never forgotten, and its endpoint looked busier with each."""
    site = PlatformSite(tmp_path)
    try:
        site.start(("-W", "ignore", "-c", MUTANT_PROGRAM.format(FAILING_SEND)))
        for number in range(2):
            assert site.post(f"c{number}", "/once/x", b"") == 502
        site.wait_until(lambda: len(site.log_lines("attempt-ended-by-exception")) == 2, 5.0)
        assert site.log_lines("request-abandoned") == []
    finally:
        site.kill()
        site.log_path.unlink()
        site.stop()
