"""Exceptions in the entry's own code are logged, and cost no more than what raised them."""

import eventlet
import eventlet.wsgi
import pytest
import structlog
from eventlet.green.http import client
from structlog.testing import capture_logs

from poplarhoist.clock import SystemClock
from poplarhoist.decisions.common_effects import Count, LogChange
from poplarhoist.decisions.events import Tick
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.entry.metrics import Metrics
from poplarhoist.entry.server_log import ServerLog

HOST = "127.0.0.1"


class ConnectionCut(Exception):
    """The application cuts a connection on purpose."""


def raise_at_once(environ, start_response):
    raise KeyError("missing")


def raise_within_body(environ, start_response):
    start_response("200 OK", [])
    yield b"first"
    raise KeyError("missing")


def cut_connection(environ, start_response):
    raise ConnectionCut


def lose_connection(environ, start_response):
    raise BrokenPipeError


def respond(environ, start_response):
    start_response("200 OK", [])
    return [b"whole"]


def call(app) -> int | None:
    """Serve one request; return its status, None if the response broke off."""
    listener = eventlet.listen((HOST, 0))
    log = ServerLog(structlog.get_logger(), expected=(ConnectionCut,))
    options = {"log": log, "log_format": ServerLog.LINE_FORMAT, "debug": False}
    server = eventlet.spawn(
        eventlet.wsgi.server, listener, app, minimum_chunk_size=1, keepalive=False, **options
    )

    try:
        connection = client.HTTPConnection(HOST, listener.getsockname()[1], timeout=5)
        connection.request("GET", "/")
        response = connection.getresponse()
        response.read()
        return response.status
    except client.IncompleteRead:
        return None
    finally:
        server.kill()


@pytest.mark.parametrize(
    ("app", "status", "events"),
    [
        (raise_at_once, 500, ["request-failed"]),
        (raise_within_body, None, ["request-failed"]),
        (cut_connection, 500, []),
        (lose_connection, 500, []),
        (respond, 200, []),
    ],
)
def test_exception_that_leaves_an_application_is_logged(app, status, events):
    with capture_logs() as lines:
        assert call(app) == status
    assert [line["event"] for line in lines] == events
    assert all("missing" in line["error"] for line in lines)


@pytest.mark.parametrize(
    "failing",
    [Count("no-such-counter"), Count("lead_silent", ("too", "many")), object()],
    ids=["undeclared", "labels", "no-handler"],
)
def test_effects_after_one_that_fails_are_carried_out(failing):
    effects = [failing, Count("lead_silent"), LogChange("after", {})]
    metrics = Metrics()
    with capture_logs() as lines:
        loop = DecisionLoop(
            None, SystemClock(), metrics, "entry-1", lambda state, event: effects, ()
        )
        loop.submit(None)
    assert [line["event"] for line in lines] == ["effect-failed", "after"]
    assert lines[0]["effect"] == type(failing).__name__
    assert metrics.registry.get_sample_value("poplarhoist_lead_silent_total") == 1


def test_ticks_go_on_after_one_that_failed():
    ticks = []

    def reduce(state, event):
        ticks.append(event)
        if len(ticks) == 1:
            raise KeyError("missing")
        raise SystemExit

    with capture_logs() as lines:
        loop = DecisionLoop(None, SystemClock(), Metrics(), "entry-1", reduce, ())
        with pytest.raises(SystemExit):
            loop.run_ticks(Tick, 0.0)
    assert [line["event"] for line in lines] == ["tick-failed"]
    assert len(ticks) == 2
