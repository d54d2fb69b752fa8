"""Calls of the gateway to engines, over real connections."""

import socket

import pytest

from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.effects import (
    CheckEndpoint,
    OrderKind,
    ReadReport,
    SendOrder,
)
from poplarhoist.decisions.gateway.models import AdapterKey
from poplarhoist.gateway.engines import EngineClient
from poplarhoist.platform.dialect import PlatformDialect
from tests.gateway import engine
from tests.platform_standins import MALFORMED_HEADS, Endpoint, EndpointHandler
from tests.ports import free_ports
from tests.standin_server import HOST


class EventRecorder:
    """Stands in for the decision loop; keeps the events that are submitted."""

    def __init__(self) -> None:
        self.events: list[ev.Event] = []

    def set_handler(self, effect_type: type, handler) -> None:
        """Do nothing: the tests call the client themselves."""

    def event_time(self) -> float:
        return 1.0

    def submit(self, event: ev.Event) -> None:
        self.events.append(event)


@pytest.fixture
def endpoint():
    standin = Endpoint("e1", "models")
    yield standin
    standin.stop()


class LeavingReport(Endpoint):
    """An engine whose report alone says that it is stopping."""

    def report(self) -> dict:
        return super().report() | {"state": "draining"}


def send_order(client: EngineClient, record) -> None:
    client.send_order(SendOrder(record, 1, OrderKind.LOAD, AdapterKey("base", "a1"), 1, 0))


def read_report(client: EngineClient, record) -> None:
    client.read_report(ReadReport(record))


def check_engine(client: EngineClient, record) -> None:
    client.check(CheckEndpoint(record))


# The call, how the engine answers it, and how often it is told that the engine leaves.
@pytest.mark.parametrize(
    ("call", "engine_class", "says_leaving", "times_told"),
    [
        (send_order, Endpoint, True, 1),
        (read_report, Endpoint, True, 1),
        (check_engine, Endpoint, True, 1),
        (read_report, LeavingReport, False, 1),
        (check_engine, LeavingReport, False, 1),
        (send_order, Endpoint, False, 0),
        (read_report, Endpoint, False, 0),
        (check_engine, Endpoint, False, 0),
    ],
)
@pytest.mark.parametrize("order_fault", ["", "refused"])
def test_engine_that_leaves_says_so_in_answers_of_any_kind(
    call, engine_class, says_leaving, times_told, order_fault
):
    standin = engine_class("e1", "models")
    standin.says_leaving = says_leaving
    standin.order_faults = [order_fault]
    recorder = EventRecorder()
    record = engine(1, host=HOST, port=standin.port, incarnation=7)
    call(EngineClient(recorder, PlatformDialect(), "entry-1"), record)
    standin.stop()
    told = [event for event in recorder.events if isinstance(event, ev.EndpointSaidLeaving)]
    assert told == [ev.EndpointSaidLeaving(1.0, "e1", 7)] * times_told


class UnparsableHandler(EndpointHandler):
    """Answers every call with a head that cannot be parsed."""

    def send_head(self) -> None:
        """Send the head."""
        self.read_body()
        self.wfile.write(MALFORMED_HEADS["name-with-blank"].format(request_id="r1").encode())
        self.close_connection = True

    do_GET = do_POST = send_head


class UnparsableEndpoint(Endpoint):
    """An engine that sends such heads."""

    handler_class = UnparsableHandler


@pytest.mark.parametrize("call", [send_order, read_report, check_engine])
def test_call_ends_if_the_head_of_its_answer_cannot_be_parsed(call):
    """Its lead would wait for the end of an order forever."""
    standin = UnparsableEndpoint("e1", "models")
    recorder = EventRecorder()
    record = engine(1, host=HOST, port=standin.port, incarnation=7)
    call(EngineClient(recorder, PlatformDialect(), "entry-1"), record)
    standin.stop()
    assert len(recorder.events) == 1


def check(port: int, incarnation: int = 1) -> bool:
    recorder = EventRecorder()
    client = EngineClient(recorder, PlatformDialect(), "entry-1")
    client.check(CheckEndpoint(engine(1, host=HOST, port=port, incarnation=incarnation)))
    (event,) = recorder.events
    assert isinstance(event, ev.EndpointChecked)
    return event.has_crashed


# The start that the record names, that of the report (0 if unknown), and whether it has crashed.
@pytest.mark.parametrize(
    ("recorded", "reported", "has_crashed"),
    [(1, 1, False), (1, 2, True), (0, 2, False), (1, 0, False), (0, 0, False)],
)
def test_engine_that_answers_has_crashed_only_if_it_started_again(
    endpoint, recorded, reported, has_crashed
):
    endpoint.incarnation = reported
    assert check(endpoint.port, recorded) is has_crashed


def test_engine_whose_address_refuses_connections_has_crashed():
    assert check(free_ports(1)[0])


def test_engine_that_does_not_answer_is_not_known_to_have_crashed():
    with socket.create_server((HOST, 0)) as listener:
        assert not check(listener.getsockname()[1])
