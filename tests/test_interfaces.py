"""The HTTP interfaces of an entry: status codes and problem documents for valid and random input."""

import json
import random
import socket
import time

import orjson
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from werkzeug.test import Client

from poplarhoist import wire
from poplarhoist.clock import SystemClock
from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import relay
from poplarhoist.decisions.events import PeerSaid
from poplarhoist.decisions.pages import INDEX_PATH, PAGE_PREFIX
from poplarhoist.decisions.reducer import reduce
from poplarhoist.decisions.state import State
from poplarhoist.entry.application import EntryApplication
from poplarhoist.entry.callers import MAX_IDEMPOTENCY_KEY_CHARACTERS
from poplarhoist.entry.core import Core
from poplarhoist.entry.metrics import Metrics
from poplarhoist.entry.peers import BATCH_HEADER, PEER_KEY_HEADER, PeerTransport
from poplarhoist.models import Instance, Place
from poplarhoist.replay.simulation import TOKEN, Simulation
from poplarhoist.settings.models import InterfaceSettings, PlatformSettings, Site
from tests.site import HTTP_CLIENT, RunningSite, SiteFile, wait_until
from tests.site import TOKEN as SITE_TOKEN

PEER_KEY, OPERATOR_KEY = "peer-key", "operator-key"
BODY_BYTES = 5000
PLACE = Place("r1", "r1-a")
ME, PEER = Instance("entry-9", PLACE, "-", 1), Instance("entry-1", PLACE, "-", 1)
BEARER_HEADERS = {"Authorization": f"Bearer {TOKEN}"}


def make_client() -> tuple[Client, State]:
    """Return a client of an entry that knows a caller and a peer, and the entry's state."""
    bench = Simulation(entries=1, engines=1)
    bench.configure()
    state = State(ME, "boot", random.Random(0), services={})
    relay.seed_peers(state, [PEER])
    objects = bench.platform.objects
    reduce(state, bench.change_event_factory(INDEX_PATH, *objects[INDEX_PATH])(1.0))
    for path, (_, text) in objects.items():
        if path.startswith(PAGE_PREFIX):
            page_copy = {"type": "PageCopy", "digest": path.removeprefix(PAGE_PREFIX), "text": text}
            event = {"at": 1.0, "sender": "entry-1", "boot": "b", "sequence": 1}
            message = wire.load_messages([page_copy])[0]
            reduce(state, PeerSaid(**event, message=message))
    interfaces = InterfaceSettings(PEER_KEY, OPERATOR_KEY, body_bytes=BODY_BYTES)
    site = Site("test", PlatformSettings("-", 1), interfaces, ())
    core = Core(state, SystemClock(), Metrics())
    for kind in (*core.handlers, *IGNORED_EFFECTS):
        core.handlers.setdefault(kind, lambda effect: None)
    return Client(EntryApplication(core, site, PeerTransport(core, PEER_KEY))), state


IGNORED_EFFECTS = (fx.PlatformGet, fx.PlatformPut, fx.PollEndpoint, fx.SendOrder, fx.PlatformList)
CLIENT, STATE = make_client()


def snapshot() -> tuple:
    config, members = STATE.config, STATE.members
    queued = dict(STATE.requests), dict(STATE.runs.claims_by_request), STATE.admission.waiting_count
    return config.index, set(members.peers), set(members.endpoints), queued, STATE.draining


def is_clear_answer(answer) -> bool:
    """Return whether an error response is a problem document without internal details."""
    if answer.status_code < 400:
        return True
    problem = orjson.loads(answer.data)
    status_matches = problem["status"] == answer.status_code and problem["ran"] == "no"
    return status_matches and b"Traceback" not in answer.data and answer.status_code != 500


TEXT = st.text(max_size=40)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | TEXT,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(TEXT, inner, max_size=4),
    max_leaves=12,
)
ASCII = st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=300)
BODIES = st.one_of(
    st.binary(max_size=BODY_BYTES + 200),
    JSON.map(lambda data: json.dumps(data).encode()),
    st.builds(
        lambda model, data: json.dumps({**data, "model": model}).encode(),
        TEXT,
        st.dictionaries(TEXT, JSON, max_size=3),
    ),
)
PATHS = st.one_of(
    st.sampled_from(["/v1/completions", "/v1/chat/completions", "/v1/models", "/admin/status"]),
    st.text(max_size=30).map(lambda text: "/services/" + text),
    st.text(max_size=30).map(lambda text: "/" + text),
)
METHODS = st.sampled_from(["GET", "POST", "PUT", "DELETE", "HEAD", "OPTIONS", "BREW"])
HEADERS = st.fixed_dictionaries(
    {},
    optional={
        "Authorization": st.one_of(ASCII, st.just(f"Bearer {TOKEN}")),
        "X-Deadline-Seconds": st.one_of(ASCII, st.floats().map(str)),
        "Idempotency-Key": ASCII,
        "Content-Type": ASCII,
    },
)
FUZZ_SETTINGS = settings(max_examples=150, deadline=None, suppress_health_check=list(HealthCheck))


@FUZZ_SETTINGS
@given(METHODS, PATHS, HEADERS, BODIES)
def test_any_caller_request_gets_a_clear_answer(method, path, headers, body):
    before = snapshot()
    answer = CLIENT.open(path, method=method, headers=headers, data=body)
    assert answer.status_code not in (200, 202) or path in ("/healthz", "/readyz", "/v1/models")
    assert method == "HEAD" or is_clear_answer(answer)
    assert snapshot() == before


KINDS = st.sampled_from(["Heartbeat", "Grant", "PageCopy", "IndexNotice", "MembersCopy", "x"])
BATCHES = st.one_of(
    BODIES,
    st.builds(
        lambda sender, sequence, kind, fields: json.dumps(
            {
                "sender": sender,
                "boot": "b",
                "sequence": sequence,
                "messages": [{**fields, "type": kind}],
            }
        ).encode(),
        st.sampled_from(["entry-7", "", "entry-9"]) | TEXT.map(lambda text: "x" + text),
        JSON,
        KINDS,
        st.dictionaries(TEXT, JSON, max_size=4),
    ),
)


@FUZZ_SETTINGS
@given(BATCHES, st.booleans())
def test_any_peer_request_gets_a_clear_answer(body, has_key):
    before = snapshot()
    headers = {PEER_KEY_HEADER: PEER_KEY if has_key else "another"}
    answer = CLIENT.post("/peer", headers=headers, data=body)
    assert answer.status_code in ((200, 400, 413) if has_key else (401,))
    assert is_clear_answer(answer)
    if answer.status_code == 200:
        assert answer.headers[BATCH_HEADER] == str(int(json.loads(body)["sequence"]))
    assert snapshot() == before


@pytest.mark.parametrize(
    ("method", "path", "headers", "body", "status"),
    [
        ("GET", "/healthz", {}, None, 200),
        ("GET", "/readyz", {}, None, 200),
        ("GET", "/metrics", {}, None, 200),
        ("GET", "/v1/models", BEARER_HEADERS, None, 200),
        ("GET", "/v1/models", {"Authorization": "Bearer x"}, None, 401),
        ("GET", "/admin/status", {}, None, 401),
        ("GET", "/admin/status", {"Authorization": f"Bearer {OPERATOR_KEY}"}, None, 200),
        ("POST", "/admin/drain", BEARER_HEADERS, None, 401),
        ("POST", "/peer", {PEER_KEY_HEADER: OPERATOR_KEY}, b"{}", 401),
        ("POST", "/v1/completions", BEARER_HEADERS, b"{", 400),
        ("POST", "/v1/completions", BEARER_HEADERS, b'{"model": 7}', 400),
        ("POST", "/v1/completions", BEARER_HEADERS, b" " * (BODY_BYTES + 1), 413),
        ("POST", "/v1/completions", {}, b'{"model": "a1"}', 401),
        ("POST", "/v1/completions", BEARER_HEADERS, b'{"model": "nothing"}', 404),
        (
            "POST",
            "/v1/completions",
            BEARER_HEADERS | {"X-Deadline-Seconds": "nan"},
            b'{"model": ""}',
            400,
        ),
        ("POST", "/services/booking/a/%2e%2e/b", BEARER_HEADERS, b"", 400),
        ("POST", "/services/booking/../b", BEARER_HEADERS, b"", 400),
        ("POST", "/services/x/y", BEARER_HEADERS | {"Idempotency-Key": "k" * 256}, b"", 400),
        ("POST", "/services/x/y", BEARER_HEADERS | {"Idempotency-Key": "k"}, b"", 404),
        ("GET", "/nothing", {}, None, 404),
        ("BREW", "/v1/models", {}, None, 405),
    ],
)
def test_status_of_each_route(method, path, headers, body, status):
    answer = CLIENT.open(path, method=method, headers=headers, data=body)
    assert answer.status_code == status, answer.data
    assert is_clear_answer(answer)


def test_models_and_metrics_list_adapters_and_counters():
    models = orjson.loads(CLIENT.get("/v1/models", headers=BEARER_HEADERS).data)["data"]
    assert {model["id"] for model in models} == {f"a{number}" for number in range(8)}
    CLIENT.post("/v1/completions", headers=BEARER_HEADERS, data=b'{"model": "nothing"}')
    text = CLIENT.get("/metrics").data.decode()
    assert 'poplarhoist_refused_total{reason="unknown-adapter",step="admit"}' in text
    assert "poplarhoist_revision 1.0" in text


def test_entry_without_a_revision_is_not_ready():
    index, STATE.config.index = STATE.config.index, None
    try:
        answer = CLIENT.get("/readyz")
    finally:
        STATE.config.index = index
    assert answer.status_code == 503


HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"


@pytest.mark.parametrize(
    ("parts", "answer"),
    [
        ([b"POST /v1/comp"], b""),
        ([HEAD] + [b"X-%d: y\r\n" % number for number in range(30)], b""),
        ([HEAD + b"Content-Length: 100\r\n\r\n"] + [b"x"] * 30, b"408 REQUEST TIMEOUT"),
        ([HEAD + b"X: " + b"y" * 10_000 + b"\r\n\r\n"], b"400 Header Line Too Long"),
        ([b"GET /" + b"y" * 20_000 + b" HTTP/1.1\r\n\r\n"], b"414"),
    ],
)
def test_connections_of_slow_and_oversized_requests_are_closed(slow_site, parts, answer):
    """The entry must close the connection in time and then serve other requests."""
    started = time.monotonic()
    with socket.create_connection(
        ("127.0.0.1", slow_site.file.entry_ports["entry-1"])
    ) as connection:
        connection.settimeout(15.0)
        received = b""
        for part in parts:
            try:
                connection.sendall(part)
                connection.settimeout(0.2)
                received += connection.recv(4096)
            except TimeoutError:
                continue
            except OSError:
                break
            break
        connection.settimeout(15.0)
        try:
            while part := connection.recv(4096):
                received += part
        except ConnectionResetError:
            pass
    assert answer in received
    assert time.monotonic() - started < 10.0
    wait_until(lambda: slow_site.send_request("entry-1", "/healthz", method="GET").status == 200)


@pytest.fixture(scope="module")
def slow_site(tmp_path_factory):
    site = RunningSite(SiteFile(tmp_path_factory.mktemp("slow") / "s.toml", entries=1, read_s=1.0))
    try:
        site.start()
        yield site
    finally:
        site.stop()


def test_chunked_body_is_read_completely(slow_site):
    chunks = iter([b'{"crew"', b": 1}"])
    port = slow_site.file.entry_ports["entry-1"]
    url = f"http://127.0.0.1:{port}/services/booking/book"
    headers = {"Authorization": f"Bearer {SITE_TOKEN}", "Idempotency-Key": "k"}
    answer = HTTP_CLIENT.request("POST", url, body=chunks, headers=headers)
    assert answer.status == 201, answer.data
    long_key = headers | {"Idempotency-Key": "k" * MAX_IDEMPOTENCY_KEY_CHARACTERS}
    assert HTTP_CLIENT.request("POST", url, body=b"{}", headers=long_key).status == 201
