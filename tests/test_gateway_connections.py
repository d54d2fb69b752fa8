"""Kept connections to endpoints, over real sockets to small stand-ins."""

import errno
import json
import socket
import struct
import threading
import time

import eventlet.green.socket
import pytest
import urllib3.util.connection
from attrs import evolve

from poplarhoist.decisions.gateway import connection_reuse
from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.effects import ReadReport
from poplarhoist.decisions.gateway.events import Outcome
from poplarhoist.decisions.gateway.reducer import reduce
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.entry.metrics import Metrics
from poplarhoist.gateway.attempts import CallerRequest
from poplarhoist.gateway.connections import ConnectionPool, parse_idle_limit_s
from poplarhoist.gateway.engines import EngineClient
from poplarhoist.gateway.exchange import Exchange
from poplarhoist.gateway.interfaces import RequestHead
from poplarhoist.platform.dialect import PlatformDialect
from tests.gateway import Gateway, plain_endpoint
from tests.platform_site import FIRST_START, PlatformSite
from tests.standin_server import HOST

# Seconds until what the server has sent can be read here, with ample room.
ARRIVAL_S = 0.05
REPORT = {"seq": 0, "born": 1, "models": [], "state": "ready"}


def response(request_id: str, *lines: str, status: int = 200, body: bytes = b"done") -> bytes:
    """Return a whole response with a length, unless one of the lines marks another end."""
    head = [f"HTTP/1.1 {status} X", f"X-Request-Id: {request_id}", "X-Response-Seal: s", *lines]
    if not any(line.startswith(("Transfer", "X-Unframed")) for line in lines):
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*head, "", ""]).encode() + body


CHUNKED = ("Transfer-Encoding: chunked",)
# Responses to a request, by what it does next.
RESPONSES = {
    "chunked": lambda name: response(name, *CHUNKED, body=b"4\r\ndone\r\n0\r\n\r\n"),
    "closing": lambda name: response(name, "Connection: Close"),
    "closing-second": lambda name: response(name, "Connection: keep-alive", "Connection: close"),
    "unframed": lambda name: response(name, "X-Unframed: 1"),
    "old-version": lambda name: response(name, "Connection: keep-alive").replace(b"1.1", b"1.0", 1),
    "idle-1": lambda name: response(name, "Keep-Alive: timeout=1"),
    "idle-3": lambda name: response(name, "Keep-Alive: max=9, timeout=3"),
    "leaving": lambda name: response(name, "Server-Leaving: 1"),
    "twice": lambda name: response(name) * 2,
    "one-byte-more": lambda name: response(name) + b"\n",
    "other-id": lambda name: response("other"),
    "refused": lambda name: response(name, status=413),
    "continue-first": lambda name: b"HTTP/1.1 100 Continue\r\n\r\n" + response(name),
    "report": lambda name: response("", body=json.dumps(REPORT).encode()),
    "no-report": lambda name: response("c0"),
    "busy-report": lambda name: response("", status=503),
    "malformed": lambda name: response(name, "X Bad: 1", *CHUNKED, body=b"4\r\ndone\r\n0\r\n\r\n"),
    "malformed-report": lambda name: response("", "X Bad: 1", body=json.dumps(REPORT).encode()),
}


class ScriptedServer:
    """Does with the requests of each connection what a script says, and answers all others.

    Attributes
    ----------
    scripts : list
        Actions by connection, in order: a key of `RESPONSES`, "end", "reset" or "silent" instead of
        a response, or "late", "end-idle", "reset-idle" after it.
    served : list
        Number of the connection, and the target, of each request.
    """

    def __init__(self, *scripts: str, default: str = "") -> None:
        self.scripts = [script.split() for script in scripts]
        self.default = default
        self.served: list[tuple[int, str]] = []
        self.ended: list[int] = []
        self.count = 0
        self.listener = socket.create_server((HOST, 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        try:
            while True:
                connection, _ = self.listener.accept()
                script = self.scripts.pop(0) if self.scripts else []
                self.count += 1
                args = (connection, self.count, script)
                threading.Thread(target=self.serve, args=args, daemon=True).start()
        except OSError:
            return

    def serve(self, connection: socket.socket, number: int, script: list[str]) -> None:
        try:
            with connection, connection.makefile("rb") as reader:
                while line := reader.readline():
                    headers = {}
                    while (header := reader.readline().decode().rstrip()) != "":
                        name, _, value = header.partition(": ")
                        headers[name.lower()] = value
                    reader.read(int(headers.get("content-length", 0)))
                    self.served.append((number, line.decode().split()[1]))
                    action = script.pop(0) if script else self.default
                    if not self.act(connection, action, headers.get("x-request-id", "")):
                        return
        except OSError:
            pass
        finally:
            self.ended.append(number)

    def act(self, connection: socket.socket, action: str, request_id: str) -> bool:
        """Carry out an action; return whether the connection stays open."""
        if action == "silent":
            return True
        if not action.startswith(("end", "reset")) or action.endswith("-idle"):
            build = RESPONSES.get(action, response)
            connection.sendall(build(request_id))
        if action.startswith("reset"):
            time.sleep(ARRIVAL_S / 5)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if action == "late":
            time.sleep(ARRIVAL_S / 5)
            connection.sendall(response(request_id))
        return not action.startswith(("end", "reset", "unframed", "old", "closing"))


class Clock:
    """The monotonic clock, which a test can advance."""

    ahead_s = 0.0

    def monotonic(self) -> float:
        return time.monotonic() + self.ahead_s


class Caller:
    """Sends requests and reads reports through one pool, of one entry."""

    def __init__(self, port: int, max_connections: int = 100) -> None:
        self.record = plain_endpoint(1, host=HOST, port=port)
        gateway = Gateway(keep_connections=True)
        gateway.configure()
        gateway.list_endpoints(self.record)
        services = gateway.state.configuration.services_by_name
        services["desk"] = evolve(services["desk"], max_connections=max_connections)
        self.clock, self.metrics = Clock(), Metrics()
        effects = (fx.Dispatch, fx.Refuse, fx.ForwardFailure)
        self.loop = DecisionLoop(gateway.state, self.clock, self.metrics, "e", reduce, effects)
        self.pool = ConnectionPool(self.loop)
        self.events: list = []
        self.numbers = 0

    def begin(self, may_reuse: bool = True, deadline_s: float = 5.0, **changes) -> Exchange:
        """Return an exchange that is not started; keyword arguments change its request."""
        self.numbers += 1
        fields = {"method": "POST", "body": b"", "caller_id": f"c{self.numbers}"} | changes
        caller_id = fields.pop("caller_id")
        head = RequestHead(caller_id, None, None, [("X-Request-Id", caller_id)])
        request = CallerRequest(str(self.numbers), target=f"/{caller_id}", head=head, **fields)
        record = (
            self.loop.state.endpoints["d1"].record if self.loop.state.endpoints else self.record
        )
        dispatch = fx.Dispatch("1", 1, record, deadline_s, 0, False, may_reuse=may_reuse)
        return Exchange(self.loop, PlatformDialect(), request, dispatch, self.pool)

    def send(self, may_reuse: bool = True, **changes) -> tuple[Outcome, bool]:
        """Send a request; return its outcome, and whether its connection was reused."""
        exchange = self.begin(may_reuse, **changes)
        if exchange.start():
            exchange.read_body()
        exchange.close()
        time.sleep(ARRIVAL_S)
        return exchange.result.outcome, exchange.is_reused

    def read_report(self) -> bool:
        """Read a report; return whether there was one."""
        reports: list = []
        self.loop.submit = reports.append
        client = EngineClient(self.loop, PlatformDialect(), "e", self.pool)
        client.read_report(ReadReport(self.record))
        del self.loop.submit
        return reports[-1].report is not None

    def counted(self, name: str, label: str) -> float:
        """Return a counter."""
        return self.metrics.totals_by_first_label(name).get(label, 0.0)


@pytest.fixture(autouse=True)
def green_sockets(monkeypatch):
    """Connect by green sockets, as entries do; theirs report a reset as an end, for example."""
    monkeypatch.setattr(urllib3.util.connection, "socket", eventlet.green.socket)


DONE_NEW, DONE_REUSED = (Outcome.DONE, False), (Outcome.DONE, True)


@pytest.mark.parametrize("action", ["", "chunked", "idle-3", "continue-first"])
def test_whole_responses_leave_their_connection_to_the_next_request(action):
    """Each request opened a connection, which is billed."""
    server = ScriptedServer(f"{action or 'plain'} plain plain")
    caller = Caller(server.port)
    results = [caller.send(method=method, body=b"x") for method in ("POST", "GET", "PUT")]
    assert results == [DONE_NEW, DONE_REUSED, DONE_REUSED]
    assert server.count == 1
    assert caller.counted("connection_opened", "request") == 1
    assert caller.counted("connection_reused", "request") == 2


# What the server does with the first request, changes of the request, and the reason.
@pytest.mark.parametrize(
    ("action", "changes", "reason"),
    [
        ("closing", {}, "closing"),
        ("closing-second", {}, "closing"),
        ("old-version", {}, "closing"),
        ("unframed", {}, "not-whole"),
        ("", {"method": "HEAD"}, "not-whole"),
        ("idle-1", {}, "idle"),
        ("leaving", {}, "leaving"),
        ("twice", {}, "leftover"),
        ("one-byte-more", {}, "leftover"),
        ("refused", {"body": b"x"}, "unread-body"),
        ("late", {}, "early-bytes"),
        ("end-idle", {}, "ended"),
        ("reset-idle", {}, "ended"),
    ],
)
def test_connection_that_is_not_clean_is_closed_before_the_next_request(action, changes, reason):
    """The next request would be lost with it, or get what is left of the one before."""
    server = ScriptedServer(action)
    caller = Caller(server.port)
    outcome, _ = caller.send(**changes)
    assert outcome is Outcome.DONE
    assert caller.send() == DONE_NEW
    assert server.count == 2
    # The endpoint that leaves still does so after the second request.
    assert caller.counted("connection_dropped", reason) == (2 if action == "leaving" else 1)


def test_request_that_must_run_at_most_once_always_opens_a_connection():
    """A failure to connect is the only proof that it has not run."""
    server = ScriptedServer()
    caller = Caller(server.port)
    results = [caller.send(may_reuse) for may_reuse in (False, False, True, False)]
    assert results == [DONE_NEW, DONE_NEW, DONE_REUSED, DONE_NEW]
    assert server.count == 3


@pytest.mark.parametrize("action", ["end", "reset"])
def test_kept_connection_that_ends_instead_of_answering_is_stale(action):
    """As broken, it would count against an endpoint that only closed an idle connection."""
    server = ScriptedServer("plain", f"plain {action}")
    caller = Caller(server.port)
    first, second = caller.begin(), caller.begin()
    for exchange in (first, second):
        assert exchange.start()
    for exchange in (first, second):
        exchange.read_body()
        exchange.close()
    assert caller.pool.count_idle() == 2
    assert caller.send() == (Outcome.STALE, True)
    # The other one may be in the same state.
    assert caller.pool.count_idle() == 0
    assert caller.counted("connection_dropped", "stale") == 2
    assert caller.send() == DONE_NEW


def test_malformed_head_on_a_kept_connection_is_broken_not_stale():
    """The request may have run, so it must not go on as one that the endpoint never saw."""
    server = ScriptedServer("chunked malformed")
    caller = Caller(server.port)
    assert caller.send() == (Outcome.DONE, False)
    assert caller.send() == (Outcome.BROKEN, True)
    assert caller.pool.count_idle() == 0


@pytest.mark.parametrize("action", ["end", "reset"])
def test_new_connection_that_ends_instead_of_answering_is_broken(action):
    """The endpoint accepted it just now: this is how a crash shows."""
    assert Caller(ScriptedServer(action).port).send() == (Outcome.BROKEN, False)


def test_late_response_to_another_request_is_not_passed_on():
    """It stands where the response is expected, if it comes between check and request."""
    server = ScriptedServer("plain other-id")
    caller = Caller(server.port)
    caller.send()
    assert caller.send() == (Outcome.BROKEN, True)
    assert caller.send() == DONE_NEW


def test_request_with_the_id_of_an_earlier_one_opens_a_connection():
    """A late response to the earlier one would be taken for its own."""
    server = ScriptedServer()
    caller = Caller(server.port)
    caller.send(caller_id="same")
    assert caller.send(caller_id="same") == DONE_NEW


@pytest.mark.parametrize(("action", "limit_s"), [("", 4.0), ("idle-3", 2.0)])
def test_idle_connection_is_closed_before_the_limit_of_its_endpoint(action, limit_s):
    """A request sent as the endpoint closes it would be lost."""
    server = ScriptedServer(f"{action or 'plain'} {action or 'plain'}")
    caller = Caller(server.port)
    caller.send()
    caller.clock.ahead_s += limit_s - 0.5
    assert caller.send() == DONE_REUSED
    caller.clock.ahead_s += limit_s
    caller.pool.sweep()
    time.sleep(ARRIVAL_S)
    assert server.ended == [1]
    assert caller.counted("connection_dropped", "idle") == 1


@pytest.mark.parametrize(("max_connections", "kept"), [(100, 5), (6, 3), (0, 1)])
def test_idle_connections_have_a_limit_and_the_newest_is_used_first(max_connections, kept):
    """Idle connections of all entries could take what an endpoint has for requests."""
    server = ScriptedServer()
    caller = Caller(server.port, max_connections)
    exchanges = [caller.begin() for _ in range(5)]
    for exchange in exchanges:
        assert exchange.start()
    for exchange in exchanges:
        exchange.read_body()
        exchange.close()
    assert caller.pool.count_idle() == kept
    last = exchanges[-1].connection
    again = caller.begin()
    assert again.start()
    assert again.connection is last
    again.cancel()
    again.close()


def test_idle_connections_to_all_endpoints_have_a_limit(monkeypatch):
    """Their descriptors would be missing for callers."""
    monkeypatch.setattr(connection_reuse, "MAX_IDLE_CONNECTIONS", 2)
    test_idle_connections_have_a_limit_and_the_newest_is_used_first(100, 2)


@pytest.mark.parametrize(
    ("kind", "fields"),
    [
        (ev.EndpointRemoved, {"name": "d1"}),
        (ev.EndpointSaidLeaving, {"name": "d1", "incarnation": 1}),
        (ev.EndpointSeen, {"record": plain_endpoint(1, incarnation=2)}),
        (ev.DrainRequested, {}),
    ],
)
def test_connections_of_a_run_that_ended_are_closed(kind, fields):
    """They would hold up an endpoint that stops, and lead to a process that is gone."""
    server = ScriptedServer()
    caller = Caller(server.port)
    caller.send()
    caller.loop.submit(kind(at=caller.clock.monotonic(), **fields))
    caller.pool.sweep()
    time.sleep(ARRIVAL_S)
    assert (caller.pool.count_idle(), server.ended) == (0, [1])


def test_silent_connection_ends_at_the_deadline_and_closes_the_others():
    """Each request would wait at another dead connection."""
    server = ScriptedServer("plain", "plain silent")
    caller = Caller(server.port)
    exchanges = [caller.begin(), caller.begin()]
    for exchange in exchanges:
        exchange.start()
    for exchange in exchanges:
        exchange.read_body()
        exchange.close()
    began_at = time.monotonic()
    assert caller.send(deadline_s=0.4) == (Outcome.TIMED_OUT, True)
    assert 0.4 <= time.monotonic() - began_at < 0.8
    assert caller.pool.count_idle() == 0
    assert caller.counted("connection_dropped", "silent") == 2
    assert caller.send() == DONE_NEW


def test_silent_connection_that_the_kernel_gives_up_is_stale(monkeypatch):
    """Its request is to be sent again, as nothing is known of the endpoint."""
    server = ScriptedServer("plain silent")
    caller = Caller(server.port)
    caller.send()

    def time_out(exchange):
        raise TimeoutError(errno.ETIMEDOUT, "Connection timed out")

    monkeypatch.setattr(Exchange, "read_head", time_out)
    assert caller.send() == (Outcome.STALE, True)
    assert caller.counted("connection_dropped", "silent") == 1


def test_kept_connection_has_less_time_unacknowledged_than_the_deadline():
    server = ScriptedServer("plain silent")
    caller = Caller(server.port)
    caller.send()
    exchange = caller.begin(deadline_s=1.0)
    assert exchange.connect()
    option = exchange.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert 400 <= option <= 500
    assert exchange.sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
    exchange.close()


def test_cancelled_exchange_gives_no_connection_back():
    """Its response would be the next request's."""
    server = ScriptedServer()
    caller = Caller(server.port)
    exchange = caller.begin()
    assert exchange.start()
    exchange.cancel()
    exchange.read_body()
    exchange.close()
    assert caller.pool.count_idle() == 0


def test_late_cancellation_does_not_cut_the_next_exchange():
    """A caller that closes after its response would cut another caller's request."""
    server = ScriptedServer()
    caller = Caller(server.port)
    first = caller.begin()
    assert first.start()
    first.read_body()
    first.close()
    second = caller.begin()
    assert second.start() and second.is_reused
    first.cancel()
    first.expire()
    first.close()
    second.read_body()
    second.close()
    assert second.result.outcome is Outcome.DONE


def test_two_exchanges_never_share_a_connection():
    """The bytes of two requests, or of two responses, would be mixed."""
    server = ScriptedServer()
    caller = Caller(server.port)
    caller.send()
    first, second = caller.begin(), caller.begin()
    assert first.start() and second.start()
    assert (first.is_reused, second.is_reused) == (True, False)
    assert first.connection is not second.connection


def test_switched_off_pool_closes_what_it_has_and_keeps_nothing():
    """The settings can be read again while the entry runs."""
    server = ScriptedServer()
    caller = Caller(server.port)
    caller.send()
    caller.loop.state.limits = evolve(caller.loop.state.limits, keep_connections=False)
    caller.pool.sweep()
    assert caller.pool.count_idle() == 0
    assert [caller.send(), caller.send()] == [DONE_NEW, DONE_NEW]
    assert caller.pool.count_idle() == 0


def test_reports_share_a_connection():
    server = ScriptedServer(default="report")
    caller = Caller(server.port)
    assert [caller.read_report() for _ in range(3)] == [True] * 3
    assert server.count == 1
    assert caller.counted("connection_reused", "report") == 2


@pytest.mark.parametrize(
    "action", ["end", "reset", "no-report", "busy-report", "silent", "malformed-report"]
)
def test_report_over_a_connection_that_fails_is_read_again_over_a_new_one(action):
    """The lead would hold the engine's adapters in doubt because of an idle connection."""
    server = ScriptedServer(f"report {action}", default="report")
    caller = Caller(server.port)
    assert caller.read_report()
    began_at = time.monotonic()
    assert caller.read_report()
    assert time.monotonic() - began_at < 0.35
    assert [number for number, _ in server.served] == [1, 1, 2]


@pytest.mark.parametrize("action", ["report-twice", "other-run"])
def test_report_that_leaves_something_or_is_of_another_run_frees_no_connection(action, monkeypatch):
    """A report has no id: a second one would be taken for the answer to the next call."""
    report = json.dumps(REPORT | ({"born": 7} if action == "other-run" else {})).encode()
    times = 2 if action == "report-twice" else 1
    monkeypatch.setitem(RESPONSES, action, lambda name: response("", body=report) * times)
    server = ScriptedServer(action, default="report")
    caller = Caller(server.port)
    assert caller.read_report()
    assert caller.pool.count_idle() == 0


@pytest.mark.parametrize(
    ("values", "seconds"),
    [
        ([], None),
        (["max=5"], None),
        (["timeout=5"], 5),
        (["max=100, Timeout = 7"], 7),
        (["timeout=9", "timeout=3"], 3),
        (["timeout=x"], 0),
        (["timeout=-1"], 0),
        (['timeout="4"'], 4),
    ],
)
def test_idle_limit_is_read_from_any_form_of_its_header(values, seconds):
    """A limit that cannot be read must not count as none."""
    assert parse_idle_limit_s(values) == seconds


@pytest.mark.parametrize("is_on", [True, False])
def test_entry_keeps_connections_only_if_its_settings_say_so(tmp_path, is_on):
    """A site that has not asked for it is served as before: over new connections."""
    site = PlatformSite(tmp_path)
    if is_on:
        text = site.settings_path.read_text()
        site.settings_path.write_text(
            text.replace(FIRST_START, FIRST_START + 'contracts = ["x", "pool"]\n')
        )
    try:
        site.endpoints["e1"].adapters = {"a1": 1}
        site.start()
        for number in range(4):
            assert site.post(f"r{number}", "/read/x", b"x") == 200
            assert site.post(f"o{number}", "/once/x", b"x") == 200
            assert site.post(f"s{number}", "/resume/x", b"x", "a1") == 200
        # Must be loaded first, after which the engine's report is read. Meanwhile it may be refused.
        for adapter in ("b0", "b1"):
            site.wait_until(lambda name=adapter: site.post("t", "/resume/x", b"x", name) == 200)
    finally:
        site.stop()
    reusing_paths = set()
    for name in ("e1", "e2", "d1"):
        addresses = set()
        for path, address in site.endpoints[name].connections:
            if address in addresses:
                reusing_paths.add(path)
            addresses.add(address)
    assert reusing_paths == ({"/read/x", "/resume/x", "/api/report"} if is_on else set())
    reused = [line["reused"] for line in site.log_lines("answered")]
    assert any(reused) == is_on
