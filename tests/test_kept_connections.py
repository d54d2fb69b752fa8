"""A response that comes unasked for, late or twice is not taken for the answer to a later call."""

import json
import socket
import threading
import time
from collections.abc import Callable
from types import SimpleNamespace

import pytest
from attrs import frozen

from poplarhoist.clock import SystemClock
from poplarhoist.ctl.session import OperatorSession
from poplarhoist.decisions.effects import SendOrder
from poplarhoist.decisions.events import OrderOutcome
from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.models import AdapterKey, EndpointRecord, RelayTerms
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.entry.endpoint_effects import EndpointEffects
from poplarhoist.entry.peers import PeerTransport
from poplarhoist.entry.platform import HttpPlatform
from poplarhoist.gateway.attempts import CallerRequest
from poplarhoist.gateway.copies import CopyReader
from poplarhoist.gateway.engines import EngineClient
from poplarhoist.gateway.exchange import Exchange
from poplarhoist.gateway.interfaces import RequestHead, WatchSpec
from poplarhoist.models import AdapterRef, Endpoint, EndpointKind, Instance, Place
from poplarhoist.platform.dialect import PlatformDialect
from poplarhoist.platform.store import ObjectStore
from poplarhoist.settings.models import EntrySettings, PlatformSettings

HOST = "127.0.0.1"
PAUSE_S = 0.05


def answer(status: int, data: object = None, **headers: str) -> bytes:
    """Return a response with a JSON body."""
    body = b"" if data is None else json.dumps(data).encode()
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class RepeatingServer:
    """Answers calls in turn, the last answer to all further ones; each comes once more on its connection.

    Attributes
    ----------
    when : str
        When it comes: "at-once", "while-idle" or "during-next", before that call's own answer.
    """

    def __init__(self, answers: list[bytes], when: str) -> None:
        self.answers, self.when = list(answers), when
        self.last_answer = answers[-1]
        self.listener = socket.create_server((HOST, 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: socket.socket) -> None:
        """Answer the calls of a connection until its other side closes it."""
        last = b""
        try:
            while self.read_request(connection):
                if self.when == "during-next" and last:
                    connection.sendall(last)
                    time.sleep(PAUSE_S)
                last = self.answers.pop(0) if self.answers else self.last_answer
                connection.sendall(last * 2 if self.when == "at-once" else last)
                if self.when == "while-idle":
                    time.sleep(PAUSE_S)
                    connection.sendall(last)
        except OSError:
            pass
        finally:
            connection.close()

    def read_request(self, connection: socket.socket) -> bool:
        """Read a request; return whether there was one."""
        data = b""
        while b"\r\n\r\n" not in data:
            part = connection.recv(65536)
            if not part:
                return False
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        lengths = [line for line in head.lower().split(b"\r\n") if b"content-length" in line]
        left = int(lengths[0].partition(b":")[2]) - len(body) if lengths else 0
        while left > 0:
            left -= len(connection.recv(left))
        return True


@frozen
class Case:
    """Two calls over what one client keeps, their answers, and what the second may come to."""

    connect: Callable[[int], Callable[[int], object]]
    answers: tuple[bytes, bytes]
    results: tuple[object, ...]


def item(name: str, revision: int, **spec: object) -> dict:
    """Return a record of the store."""
    return {"metadata": {"name": name, "revision": revision}, "spec": spec}


def events(*items: dict) -> dict:
    """Return what a watch responds."""
    changes = [{"object": record, "tombstone": True} for record in items]
    return {"events": changes, "currentRev": items[-1]["metadata"]["revision"]}


def claim(port: int):
    store = ObjectStore(f"{HOST}:{port}", SystemClock())
    return lambda number: store.claim(fx.Claim("e1", number + 1, Position(), "me"))[:2]


def read_all(port: int):
    store = ObjectStore(f"{HOST}:{port}", SystemClock())

    def call(number: int):
        changes = store.read_all(("poplarhoist-entries", "servers")[number])
        return changes.status, [event.names for event in changes.events]

    return call


def watch(*kinds: str):
    def connect(port: int):
        store = ObjectStore(f"{HOST}:{port}", SystemClock())

        def call(number: int):
            spec = WatchSpec(kinds[number], long_poll_s=0.5)
            changes = store.watch(spec, Position(0, (4, 7)[number]), True)
            return changes.status, [event.name for event in changes.events]

        return call

    return connect


def loop(submitted: list) -> SimpleNamespace:
    """Return what clients use of a decision loop."""
    return SimpleNamespace(
        clock=SystemClock(),
        set_handler=lambda *args: None,
        submit=submitted.append,
        event_time=time.monotonic,
        log=SimpleNamespace(info=lambda *args, **fields: None),
    )


def record_at(port: int) -> EndpointRecord:
    return EndpointRecord("e1", "models", HOST, port, "north-a", 8)


def order(port: int):
    submitted: list = []
    client = EngineClient(loop(submitted), PlatformDialect(), "me")

    def call(number: int):
        key = AdapterKey("base", "a1")
        client.send_order(fx.SendOrder(record_at(port), number, fx.OrderKind.LOAD, key, 1, 0))
        return submitted[-1].status

    return call


def report(port: int):
    client = EngineClient(loop([]), PlatformDialect(), "me")
    return lambda number: client.request(record_at(port), "GET", "/api/report", [], None)


def copy(port: int):
    reader = CopyReader(loop([]), SimpleNamespace(generation=1), "config")
    peer = SimpleNamespace(name="entry-2", host=HOST, port=port, copies_missed=0)
    return lambda number: reader.request_copy(peer, {"after": 0, "generation": 1}).position.revision


def request(port: int, relay: RelayTerms | None = None, body: bytes = b""):
    def call(number: int):
        request = CallerRequest("1", "POST", "/x", body, RequestHead("c1", None, None, []))
        dispatch = fx.Dispatch("1", number, record_at(port), 5.0, 0, False, relay=relay)
        exchange = Exchange(loop([]), PlatformDialect(), request, dispatch)
        if exchange.start():
            exchange.read_body()
        exchange.close()
        return exchange.result.outcome

    return call


def platform(method: str, *arguments: object):
    def connect(port: int):
        client = HttpPlatform(PlatformSettings(HOST, port, timeout_s=2.0, watch_s=0.5))

        def call(number: int):
            result = getattr(client, method)(*arguments)
            return result.status, getattr(result, "version", getattr(result, "revision", 0))

        return call

    return connect


def poll(port: int):
    effects = EndpointEffects(loop([]))
    endpoint = Endpoint("e1", EndpointKind.ENGINE, "base", Place("r1", "r1-a"), HOST, port)
    return lambda number: effects.fetch_report(endpoint).running


def order_own(port: int):
    endpoint = Endpoint("e1", EndpointKind.ENGINE, "base", Place("r1", "r1-a"), HOST, port)
    members = SimpleNamespace(endpoints={"e1": SimpleNamespace(endpoint=endpoint)})
    core = loop([])
    core.state = SimpleNamespace(members=members, limits=SimpleNamespace(order_s=1.0))
    effects = EndpointEffects(core)
    sent = SendOrder("e1", "o1", "load", 1, AdapterRef("a1", 1))
    return lambda number: effects.send_order(sent)[0]


def post(port: int):
    """Two batches, of which the peer accepts the first."""
    transport = PeerTransport(loop([]), "key")
    peer = Instance("entry-2", Place("r1", "r1-a"), HOST, port)
    return lambda number: transport.post_batch(peer, b"{}", number)


def operate(port: int):
    session = OperatorSession.__new__(OperatorSession)
    session.site = SimpleNamespace(interfaces=SimpleNamespace(operator_key="k"))
    entry = EntrySettings("entry-1", "r1", "r1-a", HOST, port)
    return lambda number: session.call_entry(entry, "GET", "/x")["number"]


def report_of(running: int) -> bytes:
    """Return the report of an endpoint of the own interface."""
    state = {"endpoint": "e1", "boot": "b", "age_s": 0.0, "state": "live", "running": running}
    return answer(200, state)


OK, UNKNOWN = ev.CallStatus.OK, ev.CallStatus.UNKNOWN
DRAINED = answer(200, events(item("d1", 5), item("d2", 7)))
LISTINGS = {
    key: tuple(answer(200, {"revision": revision, key: []}) for revision in (7, 8))
    for key in ("objects", "changes")
}
CASES = {
    "store-claim-refused": Case(
        claim, (answer(503), answer(200, item("e1", 9))), ((OK, Position(0, 9)),)
    ),
    "store-claim-written": Case(
        claim,
        (answer(200, item("e1", 8)), answer(409, item("e1", 9, holder="x", epoch=3))),
        ((ev.CallStatus.CONFLICT, Position(0, 9)),),
    ),
    "store-list": Case(
        read_all,
        (
            answer(200, {"items": [], "currentRev": 5}),
            answer(200, {"items": [item("d1", 2)], "currentRev": 5}),
        ),
        ((OK, [frozenset({"d1"})]),),
    ),
    "store-watch-of-another-kind": Case(
        watch("poplarhoist-entries", "servers"),
        (DRAINED, answer(200, events(item("d3", 8)))),
        ((OK, ["d3"]),),
    ),
    "store-watch": Case(
        watch("servers", "servers"),
        (DRAINED, answer(200, events(item("d3", 8)))),
        ((OK, ["d3"]), (UNKNOWN, [])),
    ),
    "platform-put": Case(
        platform("put", "x", 1, 0), (answer(503), answer(200, {"version": 4})), ((OK, 4),)
    ),
    "platform-get": Case(
        platform("get", "x"),
        (answer(200, {"version": 3, "value": 1}), answer(200, {"version": 4, "value": 2})),
        ((OK, 4),),
    ),
    "platform-list": Case(platform("list", ("x",)), LISTINGS["objects"], ((OK, 8),)),
    "platform-watch": Case(platform("watch", ("x",), 5), LISTINGS["changes"], ((OK, 8),)),
    "poll": Case(poll, (report_of(1), report_of(2)), (2,)),
    "order": Case(
        order_own,
        (answer(200, {"outcome": "refused"}), answer(200, {"outcome": "done"})),
        (OrderOutcome.DONE,),
    ),
    "peer": Case(post, (answer(200, X_Peer_Batch="0"), answer(400)), (False,)),
    "operator": Case(operate, (answer(200, {"number": 1}), answer(200, {"number": 2})), (2,)),
    "engine-order": Case(order, (answer(409), answer(200)), (ev.OrderStatus.DONE,)),
    "engine-report": Case(report, (answer(200, 1), answer(200, 2)), ((200, b"2"),)),
    "copy": Case(copy, (answer(200, 1, Copy_Revision="1"), answer(204, Copy_Revision="2")), (2,)),
    "request-passed-on": Case(
        lambda port: request(port, RelayTerms(1)),
        (
            answer(503, Relay_Refusal="not-run"),
            answer(200, 1, X_Request_Id="c1", X_Response_Seal="s"),
        ),
        (ev.Outcome.DONE,),
    ),
    "request": Case(
        request,
        (
            answer(503, X_Not_Executed="1", X_Request_Id="c1"),
            answer(200, 1, X_Request_Id="c1", X_Response_Seal="s"),
        ),
        (ev.Outcome.DONE,),
    ),
    "request-refusal-of-another": Case(
        request, (answer(503, X_Not_Executed="1", X_Request_Id="c9"),) * 2, (ev.Outcome.BROKEN,)
    ),
}


@pytest.mark.parametrize("when", ["at-once", "while-idle", "during-next"])
@pytest.mark.parametrize("name", CASES)
def test_response_that_comes_twice_is_not_taken_for_the_next_one(name, when):
    """A claim that was written counted as refused, and the records of one kind as those of another."""
    case = CASES[name]
    server = RepeatingServer(case.answers, when)
    try:
        call = case.connect(server.port)
        call(0)
        # The answer that nobody asked for is there when the next call begins.
        time.sleep(3 * PAUSE_S if when == "while-idle" else 0.0)
        assert call(1) in case.results
    finally:
        server.listener.close()
