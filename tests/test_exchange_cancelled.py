"""Attempts whose caller leaves before they are sent."""

import time
from types import SimpleNamespace

import pytest

from poplarhoist.decisions.gateway.effects import Dispatch
from poplarhoist.decisions.gateway.events import Outcome
from poplarhoist.decisions.gateway.models import EndpointRecord
from poplarhoist.gateway.attempts import CallerRequest
from poplarhoist.gateway.exchange import Exchange
from poplarhoist.gateway.interfaces import RequestHead
from poplarhoist.platform.dialect import PlatformDialect
from tests.platform_standins import Endpoint
from tests.standin_server import HOST


@pytest.fixture
def endpoint():
    endpoint = Endpoint("d1", "desk")
    yield endpoint
    endpoint.stop()


@pytest.mark.parametrize("leaves", ["before", "during", "never"])
def test_request_whose_caller_left_while_its_connection_was_made_is_not_sent(
    endpoint, leaves, monkeypatch
):
    """It was sent and run once the connection was made, 0.6 to 0.8 s after its caller had left."""
    record = EndpointRecord("d1", "desk", HOST, endpoint.port, "north-a", 8)
    head = RequestHead("c1", None, None, [("X-Request-Id", "c1")])
    request = CallerRequest("1", "POST", "/once/x", b"", head)
    loop = SimpleNamespace(event_time=time.monotonic, submit=lambda event: None)
    exchange = Exchange(loop, PlatformDialect(), request, Dispatch("1", 1, record, 5.0, 0, False))
    connect = exchange.connection.connect

    def connect_slowly() -> None:
        connect()
        if leaves == "during":
            exchange.cancel()

    monkeypatch.setattr(exchange.connection, "connect", connect_slowly)
    if leaves == "before":
        exchange.cancel()
    started = exchange.start()
    exchange.close()
    time.sleep(0.2)
    assert started == (leaves == "never")
    assert len(endpoint.requests) == (1 if leaves == "never" else 0)
    if leaves != "never":
        assert exchange.result.outcome is Outcome.CANCELLED
