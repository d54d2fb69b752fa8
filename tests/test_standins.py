"""The stand-ins and their fault switches, in the test process."""

import eventlet
import pytest
from eventlet.greenpool import GreenPool
from werkzeug.test import Client

from poplarhoist.clock import SystemClock
from poplarhoist.models import Endpoint, EndpointKind, Place
from poplarhoist.replay.clock import VirtualClock
from poplarhoist.settings.models import (
    EntrySettings,
    InterfaceSettings,
    PlatformSettings,
    Site,
    StoreSettings,
)
from poplarhoist.standins.engine import POISON_PROMPT, EngineStandin
from poplarhoist.standins.platform import PlatformStandin
from poplarhoist.standins.service import ServiceStandin
from poplarhoist.standins.store import WeightStore
from poplarhoist.standins.web import App, ConnectionCut, Listener, cut_connection, json_response

PLACE = Place("r1", "r1-a")
TEST_TIMEOUT_S = 10.0


class FakeWeightSource:
    """Returns weights at once, or after ``released`` is sent if a test replaces it."""

    def __init__(self) -> None:
        self.released = eventlet.event.Event()
        self.released.send()
        self.refs: list[str] = []

    def fetch(self, ref: str) -> bool:
        self.refs.append(ref)
        self.released.wait()
        return True


class EngineHarness:
    """A stand-in engine with a virtual clock, and a client of it."""

    def __init__(self, slots: int = 2, batch: int = 2, checks_fencing: bool = True) -> None:
        endpoint = Endpoint(
            "e", EndpointKind.ENGINE, "base", PLACE, "127.0.0.1", 1, slots, batch, checks_fencing
        )
        self.clock = VirtualClock()
        self.standin = EngineStandin(endpoint, FakeWeightSource(), self.clock, step_s=0.001)
        self.client = Client(self.standin.app)
        self.thread = eventlet.spawn(self.standin.batcher.run)
        self.request_count = 0

    def send_order(self, kind: str, ref: str = "a@1", epoch: int = 1, replaces: str | None = None):
        data = {"kind": kind, "ref": ref, "epoch": epoch, "replaces": replaces}
        return self.client.post("/orders", json=data).json

    def complete(self, ref: str = "a@1", tokens: int = 3, priority: int = 0, **body):
        self.request_count += 1
        headers = {
            "X-Adapter": ref,
            "X-Request-Id": f"r{self.request_count}",
            "X-Stream-Id": f"s{self.request_count}",
            "X-Priority": str(priority),
        }
        data = {"model": "a", "prompt": "x", "max_tokens": tokens, **body}
        return self.client.post("/v1/completions", json=data, headers=headers)

    def control(self, **faults) -> None:
        assert self.client.post("/control", json=faults).status_code == 200

    def completion_text(self, response) -> str:
        return response.json["choices"][0]["text"]


@pytest.fixture(autouse=True)
def time_limit():
    with eventlet.Timeout(TEST_TIMEOUT_S):
        yield


@pytest.fixture
def engine():
    engine = EngineHarness()
    assert engine.send_order("load")["outcome"] == "done"
    yield engine
    engine.thread.kill()


@pytest.mark.parametrize(
    ("faults", "same_request", "same_adapter"),
    [
        ({}, True, True),
        ({"wrong_request": 1}, False, True),
        ({"wrong_adapter": 1}, True, False),
        ({"crossed": 1}, False, True),
    ],
)
def test_response_headers_name_the_request_and_the_adapter(
    engine, faults, same_request, same_adapter
):
    engine.complete()
    engine.control(**faults)
    response = engine.complete()
    assert engine.completion_text(response) == " a@1:0 a@1:1 a@1:2"
    assert (response.headers["X-Request-Id"] == "r2") is same_request
    assert (response.headers["X-Adapter"] == "a@1") is same_adapter
    assert engine.complete().headers["X-Request-Id"] == "r3"


@pytest.mark.parametrize(
    ("faults", "body"),
    [({"down": True}, {}), ({}, {"prompt": POISON_PROMPT}), ({"down": True}, {"stream": True})],
)
def test_a_lost_response_cuts_the_connection(engine, faults, body):
    engine.control(**faults)
    with pytest.raises(ConnectionCut):
        engine.complete(**body)


@pytest.mark.parametrize(
    ("control", "ref", "reason"),
    [
        ({"state": "leaving"}, "a@1", "leaving"),
        ({"restart": True}, "a@1", "adapter-not-resident"),
        ({}, "b@1", "adapter-not-resident"),
    ],
)
def test_a_refused_request_does_not_run(engine, control, ref, reason):
    engine.control(**control)
    response = engine.complete(ref)
    assert (response.headers["X-Ran"], response.json["reason"]) == ("no", reason)
    assert engine.standin.batcher.generated_tokens == 0


@pytest.mark.parametrize(("checks_fencing", "outcome"), [(True, "fenced"), (False, "done")])
def test_fencing_of_an_order_with_an_old_epoch(checks_fencing, outcome):
    engine = EngineHarness(checks_fencing=checks_fencing)
    assert engine.send_order("fence", epoch=5)["outcome"] == "done"
    assert engine.send_order("load", epoch=4)["outcome"] == outcome
    assert engine.send_order("load", "b@1", epoch=5)["outcome"] == "done"


@pytest.mark.parametrize(
    ("faults", "outcome", "resident"),
    [
        ({}, "done", {"a@1", "b@1"}),
        ({"fail_loads": 1}, "failed", {"a@1"}),
        ({"lose_orders": 1}, None, {"a@1", "b@1"}),
    ],
)
def test_load_outcomes(engine, faults, outcome, resident):
    engine.control(**faults)
    if outcome is None:
        with pytest.raises(ConnectionCut):
            engine.send_order("load", "b@1")
    else:
        assert engine.send_order("load", "b@1")["outcome"] == outcome
    assert set(engine.standin.slots) == resident


def test_slots_are_limited_and_an_eviction_in_use_is_recorded(engine):
    engine.send_order("load", "b@1")
    assert engine.send_order("load", "c@1") == {"outcome": "refused", "reason": "no slot"}
    assert engine.send_order("load", "c@1", replaces="b@1")["outcome"] == "done"
    assert engine.standin.violations == []
    pending = eventlet.spawn(engine.complete, tokens=1000)
    while not engine.standin.batcher.running:
        eventlet.sleep(0.001)
    assert engine.send_order("evict")["outcome"] == "done"
    assert engine.standin.violations == ["evicted a@1 in use by r1"]
    with pytest.raises(ConnectionCut):
        pending.wait()


def test_a_restart_during_a_load_cuts_the_connection(engine):
    store = engine.standin.store
    store.released = eventlet.event.Event()
    pending = eventlet.spawn(engine.send_order, "load", "b@1")
    while "b@1" not in store.refs:
        eventlet.sleep(0.001)
    engine.control(restart=True)
    store.released.send()
    with pytest.raises(ConnectionCut):
        pending.wait()
    assert (engine.standin.slots, engine.standin.epoch) == ({}, 0)


def test_higher_priority_runs_first_and_steps_are_shared(engine):
    pool = GreenPool()
    ended = []
    for number, priority in enumerate((0, 0, 0, 5)):
        tokens = 40 if number < 2 else 1
        response = pool.spawn(engine.complete, tokens=tokens, priority=priority)
        response.link(lambda thread, n=number: ended.append(n))
        while engine.request_count <= number:
            eventlet.sleep(0)
    pool.waitall()
    batcher = engine.standin.batcher
    assert ended.index(3) < ended.index(2)
    assert batcher.generated_tokens == 82
    assert batcher.steps <= 42


def test_a_stream_can_be_resumed_and_cancelled(engine):
    events = engine.complete(tokens=4, stream=True).text.split("\n\n")
    resumed = engine.client.get("/v1/streams/s1?offset=2").text.split("\n\n")
    assert resumed == events[2:]
    assert engine.client.delete("/v1/streams/s1").json == {"cancelled": True}
    assert engine.client.get("/v1/streams/s1").status_code == 404


def test_a_stream_continues_on_another_engine_from_its_kv_cache(engine):
    other = EngineHarness()
    other.send_order("load")
    pending = eventlet.spawn(engine.complete, tokens=20)
    while engine.standin.batcher.generated_tokens < 3:
        eventlet.sleep(0.001)
    cache = engine.client.get("/kv/s1").json
    assert other.client.post("/kv", json=cache).json == {"stream_id": "s1"}
    whole = other.client.get("/v1/streams/s1?offset=0").text
    assert [f" a@1:{n}" in whole for n in range(20)] == [True] * 20
    assert other.standin.batcher.generated_tokens <= 17
    assert engine.completion_text(pending.wait()).split()[-1] == "a@1:19"
    assert engine.client.get("/kv/s1").status_code == 404


def test_prefix_cache_evicts_and_its_events_are_delayed_with_gaps(engine):
    engine.standin.cache.max_blocks = 3
    engine.control(cache_lag_s=5.0, cache_gap_every=2)
    engine.complete(prompt="p" * 1024)
    engine.complete(prompt="p" * 512)
    assert len(engine.standin.cache.blocks) == 3
    assert engine.client.get("/cache/events").json == []
    engine.clock.sleep(5.0)
    sequences = [event["sequence"] for event in engine.client.get("/cache/events?since=1").json]
    assert sequences
    assert all(sequence % 2 for sequence in sequences)


def test_a_cached_prefix_saves_prefill_steps(engine):
    engine.complete(prompt="p" * 1024, tokens=1)
    first = engine.standin.batcher.steps
    engine.complete(prompt="p" * 1024, tokens=1)
    assert (first, engine.standin.batcher.steps - first) == (5, 1)


def test_reports_are_delayed(engine):
    engine.control(report_lag_s=3.0)
    engine.client.get("/report")
    engine.send_order("load", "b@1")
    engine.clock.sleep(2.0)
    report = engine.client.get("/report").json
    assert (report["resident"], report["age_s"]) == ({"a@1": 0}, 2.0)
    engine.clock.sleep(3.0)
    assert engine.client.get("/report").json["resident"] == {"a@1": 0, "b@1": 0}


@pytest.fixture
def platform():
    site = Site(
        "t",
        PlatformSettings("127.0.0.1", 1),
        InterfaceSettings("peer-key", "operator"),
        (EntrySettings("entry-1", "r1", "r1-a", "127.0.0.1", 2),),
    )
    return Client(PlatformStandin(site, SystemClock()).app)


def put(platform, value, expect: int, path: str = "x"):
    return platform.put(f"/v1/objects/{path}?expect={expect}", json=value)


def test_objects_are_written_by_compare_and_swap(platform):
    version = put(platform, 1, 0).json["version"]
    conflict = put(platform, 2, 0)
    assert (conflict.status_code, conflict.json) == (409, {"version": version, "value": 1})
    later = put(platform, 2, version).json["version"]
    assert platform.get("/v1/objects/x").json == {"version": later, "value": 2}
    assert platform.delete(f"/v1/objects/x?expect={version}").status_code == 409
    assert platform.delete(f"/v1/objects/x?expect={later}").status_code == 200
    assert platform.get("/v1/objects/x").status_code == 404


def test_a_watch_returns_changes_or_410_when_too_old(platform):
    since = platform.get("/v1/list?prefix=x").json["revision"]
    watch = f"/v1/watch?prefix=x&timeout_s=5&since={since}"
    pending = eventlet.spawn(platform.get, watch)
    eventlet.sleep(0)
    put(platform, 1, 0)
    assert [change["path"] for change in pending.wait().json["changes"]] == ["x"]
    version = 0
    for _ in range(5001):
        version = put(platform, 1, version, "y").json["version"]
    assert platform.get(watch).status_code == 410


@pytest.mark.parametrize(
    ("faults", "status", "written"),
    [
        ({"outage": True}, 503, False),
        ({"calls_per_s": 0.001}, 429, False),
        ({"lose_answers": 1}, None, True),
        ({"slow_s": 0.01}, 200, True),
        ({"switch": 1}, 200, True),
    ],
)
def test_write_outcomes(platform, faults, status, written):
    response = platform.post("/control/faults", json=faults)
    assert response.status_code == (400 if "switch" in faults else 200)
    if status is None:
        with pytest.raises(ConnectionCut):
            put(platform, 1, 0)
    else:
        assert put(platform, 1, 0).status_code == status
    off = {"outage": False, "calls_per_s": 0.0}
    platform.post("/control/faults", json=off)
    assert (platform.get("/v1/objects/x").status_code == 200) is written


def test_a_hanging_platform_does_not_respond_until_released(platform):
    platform.post("/control/faults", json={"hang": True})
    pending = eventlet.spawn(put, platform, 1, 0)
    eventlet.sleep(0.02)
    assert not pending.dead
    platform.post("/control/faults", json={"hang": False})
    assert pending.wait().status_code == 200


def test_list_changes_are_delayed(platform):
    platform.post("/control/faults", json={"list_lag_s": 0.05})
    platform.post("/control/member", json={"path": "instances/entry-1", "value": None})
    assert platform.get("/v1/objects/instances/entry-1").status_code == 200
    while platform.get("/v1/objects/instances/entry-1").status_code == 200:
        eventlet.sleep(0.01)


@pytest.mark.parametrize(
    ("before", "in_flight", "slow", "wait_s", "load_s"),
    [
        (0, 8, 1.0, 0.0, 0.25),
        (4, 8, 1.0, 1.0, 0.25),
        (0, 16, 1.0, 0.0, 0.5),
        (0, 8, 10.0, 0.0, 2.5),
    ],
)
def test_the_weight_store_limits_its_rate_and_slows_down_under_load(
    before, in_flight, slow, wait_s, load_s
):
    store = WeightStore(StoreSettings(4.0, 8, 0.25), VirtualClock(), slowdown_factor=slow)
    for _ in range(before):
        store.reserve_load()
    store.in_flight = in_flight
    assert (store.reserve_load(), store.load_duration_s()) == (wait_s, load_s)


@pytest.mark.parametrize("fault", [{"store_down": True}, {}])
def test_a_weight_store_outage_fails_loads(platform, fault):
    platform.post("/control/faults", json=fault)
    response = platform.post("/store/load", json={"ref": "a@1"})
    assert response.status_code == (503 if fault else 200)


@pytest.mark.parametrize(
    ("control", "runs", "is_answered"),
    [
        ({}, 1, True),
        ({"lose_answers": 1}, 1, False),
        ({"down": True}, 0, False),
        ({"state": "leaving"}, 0, True),
    ],
)
def test_a_service_counts_runs_by_key(control, runs, is_answered):
    endpoint = Endpoint("s", EndpointKind.SERVICE, "booking", PLACE, "127.0.0.1", 1)
    client = Client(ServiceStandin(endpoint).app)
    client.post("/control", json=control)
    headers = {"Idempotency-Key": "k", "X-Request-Id": "r"}
    if is_answered:
        response = client.post("/call/crews", headers=headers)
        assert (response.headers.get("X-Ran") == "no") is (runs == 0)
    else:
        with pytest.raises(ConnectionCut):
            client.post("/call/crews", headers=headers)
    assert client.get("/control/state").json["runs_by_key"] == ({"k": 1} if runs else {})


class LoopbackServer:
    """An application that listens on loopback; sends raw requests to it."""

    def __init__(self) -> None:
        rules = [("GET", "/ok", self.handle_ok), ("GET", "/lost", self.handle_cut)]
        self.app = App(rules)
        reserved = eventlet.listen(("127.0.0.1", 0))
        self.address = reserved.getsockname()
        reserved.close()
        self.listener = Listener(self.app, *self.address, "engine")
        self.listener.open()

    def handle_ok(self, request):
        return json_response({})

    def handle_cut(self, request):
        cut_connection()

    def connect(self):
        return eventlet.connect(self.address)

    def send(self, connection, path: str, timeout_s: float = 5.0) -> bytes | None:
        """Return the first bytes received; b"" if the connection was closed, None on a timeout."""
        connection.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        with eventlet.Timeout(timeout_s, False):
            return connection.recv(4096)
        return None


def test_a_cut_connection_carries_no_bytes():
    server = LoopbackServer()
    assert server.send(server.connect(), "/lost") == b""
    assert server.send(server.connect(), "/ok").startswith(b"HTTP/1.1 200")


def test_silenced_connections_stall_while_new_ones_work():
    server = LoopbackServer()
    connection = server.connect()
    assert server.send(connection, "/ok")
    server.app.connections.silence_open()
    assert server.send(connection, "/ok", timeout_s=0.2) is None
    assert server.send(server.connect(), "/ok").startswith(b"HTTP/1.1 200")


def test_a_restart_refuses_new_connections_and_cuts_open_ones():
    server = LoopbackServer()
    connection = server.connect()
    assert server.send(connection, "/ok")
    server.listener.restart(0.1)
    assert connection.recv(4096) == b""
    with pytest.raises(ConnectionRefusedError):
        server.connect()
    while not server.listener.is_open:
        eventlet.sleep(0.01)
    assert server.send(server.connect(), "/ok").startswith(b"HTTP/1.1 200")
