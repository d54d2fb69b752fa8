"""A record, report or message that cannot be read costs no other one, whatever it holds."""

import json

import pytest
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st
from structlog.testing import capture_logs

from poplarhoist.clock import SystemClock
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import messages
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.gateway.interfaces import WatchSpec
from poplarhoist.gateway.peers import PeerTransport
from poplarhoist.platform import store as store_module
from poplarhoist.platform.dialect import PlatformDialect
from poplarhoist.platform.store import ObjectStore
from tests.platform_standins import configuration
from tests.test_releases import StubLoop, StubSocket

ENDPOINT = {
    "service": "desk",
    "address": "10.0.0.1:8000",
    "zone": "north-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "born": 1,
}
# A sound record by kind, and the event type that it gives.
SOUND = {
    "servers": (ENDPOINT, ev.EndpointSeen),
    "config": (configuration(), ev.ConfigurationSeen),
    "versions": ({"model": "base", "adapter": "a1", "version": 2}, ev.VersionSeen),
    "poplarhoist-entries": (
        {"host": "10.0.0.1", "port": 7000, "zone": "north-a", "relay_port": 9000},
        ev.EntryRecordChanged,
    ),
    "poplarhoist-leads": ({"holder": "entry-1#b1", "epoch": 4}, ev.LeadSeen),
    "poplarhoist-software-versions": (
        {"service": "models", "version": "v1"},
        ev.SoftwareRecordSeen,
    ),
    "poplarhoist-crashes": (
        {"written_at_s": 1_800_000_000, "crashes": [{"content": "c", "endpoint": "e1"}]},
        ev.CrashRecordSeen,
    ),
}
# JSON texts that stand for a field, or for a whole record.
ODD_TEXTS = {
    "nested-2000": "[" * 2000 + "]" * 2000,
    "nested-100000": '{"a":' * 100_000 + "1" + "}" * 100_000,
    "too-large": "1e400",
    "too-small": "-1e400",
    "5000-digits": "7" * 5000,
    "30-digits": "7" * 30,
    "half-a-surrogate": '"\\ud800"',
    "no-utf8": '"\udcff"',
    "line-end": '"a\\r\\nb"',
    "nul": '"\\u0000"',
    "space": '"a b"',
    "text": '"x"',
    "long-text": '"' + "x" * 100_000 + '"',
    "negative": "-1",
    "fraction": "1.5",
    "null": "null",
    "true": "true",
    "list": "[]",
    "object": "{}",
    "no-finite": "NaN",
}


class StoredTexts:
    """The store's client over responses that a test writes as texts."""

    def __init__(self, monkeypatch) -> None:
        self.store = ObjectStore("127.0.0.1:1", SystemClock())
        self.body = b""
        self.revision = 5
        monkeypatch.setattr(
            store_module, "request_bounded", lambda *args, **options: (200, self.body)
        )

    def read(self, how: str, kind: str, spec_by_name: dict[str, str]) -> tuple:
        """Read records by a list or a watch; return their events."""
        items = [
            f'{{"metadata":{{"name":{json.dumps(name)},"revision":{self.revision}}},"spec":{spec},"status":null}}'
            for name, spec in spec_by_name.items()
        ]
        if how == "list":
            text = f'{{"items":[{",".join(items)}],"truncated":false,"currentRev":9}}'
            self.body = text.encode("utf-8", "surrogateescape")
            return self.store.read_all(kind)
        changes = ",".join(f'{{"tombstone":false,"object":{item}}}' for item in items)
        text = f'{{"events":[{changes}],"currentRev":9}}'
        self.body = text.encode("utf-8", "surrogateescape")
        return self.store.watch(WatchSpec(kind), Position(0, 3), True)


@pytest.fixture
def texts(monkeypatch):
    return StoredTexts(monkeypatch)


def with_field(spec: dict, field: str, text: str) -> str:
    """Return a record with another text in place of a field's value."""
    return json.dumps(spec | {field: "@"}).replace('"@"', text)


ODD_FIELDS = [
    (kind, field)
    for kind, (spec, _) in SOUND.items()
    for field in (*spec, "", "field_that_nobody_reads")
]


@pytest.mark.parametrize("how", ["list", "watch"])
@pytest.mark.parametrize(("kind", "field"), ODD_FIELDS)
def test_odd_record_costs_no_other_one(texts, how, kind, field):
    spec, event_type = SOUND[kind]
    sound = json.dumps(spec)
    for label, text in ODD_TEXTS.items():
        if label == "nested-100000" and field in spec:
            # Takes long, and is no other case than the one nested less deeply.
            continue
        odd = with_field(spec, field, text) if field else text
        names = ("main", "odd", "z") if kind == "config" else ("a", "odd", "z")
        texts.revision += 1
        with capture_logs() as lines:
            changes = texts.read(how, kind, dict(zip(names, (sound, odd, sound), strict=True)))
        assert changes.status is ev.CallStatus.OK, label
        assert changes.position == Position(0, 9), label
        seen = [event for event in changes.events if type(event) is event_type]
        if kind == "poplarhoist-leads":
            # One that cannot be read tells its revision only.
            seen = [event for event in seen if event.holder or event.epoch]
        if kind == "config":
            assert len(seen) == 1, label
            continue
        assert len(seen) in (2, 3), label
        assert [line["name"] for line in lines] == ["odd"] * (3 - len(seen)), label


# Values that a sound writer cannot mean, by field of a record.
BAD_VALUES = [
    *[("servers", "address", f"10.0.0.1:{port}") for port in (0, -1, 65536, 10**30, "", "x")],
    *[
        ("servers", "address", f"{host}:8000")
        for host in ("", "a b", "a\r\nb", "[::1", "x" * 300, "a/b", "a@b", "ü")
    ],
    ("servers", "slots", -1),
    ("servers", "slots", 10**12),
    ("servers", "born", -1),
    ("servers", "service", "a\nb"),
    ("servers", "zone", ""),
    *[("poplarhoist-entries", "port", port) for port in (0, -1, 65536, 10**30, "x")],
    *[("poplarhoist-entries", "relay_port", port) for port in (-1, 65536, 10**30)],
    *[("poplarhoist-entries", "host", host) for host in ("", "a b", "a\r\nb", 7)],
    *[("poplarhoist-leads", "epoch", epoch) for epoch in (-1, 10**30, "x")],
    ("poplarhoist-leads", "holder", 7),
    ("versions", "version", -1),
    ("versions", "model", ""),
    ("versions", "adapter", 7),
]


@pytest.mark.parametrize(("kind", "field", "value"), BAD_VALUES)
def test_record_with_a_value_out_of_range_is_not_used(texts, kind, field, value):
    spec, event_type = SOUND[kind]
    changes = texts.read("list", kind, {"odd": json.dumps(spec | {field: value})})
    seen = [event for event in changes.events if type(event) is event_type]
    assert [event for event in seen if kind != "poplarhoist-leads" or event.holder] == []


def edit(document, path: tuple, value):
    """Return a copy of a JSON document with another value at a path of names and numbers."""
    if not path:
        return value
    first, *rest = path
    changed = edit(document[first] if rest else None, tuple(rest), value)
    if isinstance(document, list):
        return [*document[:first], changed, *document[first + 1 :]]
    return document | {first: changed}


LAST_ROUTE = "routes", 3
TEAM = {"name": "survey", "apiKeys": ["k1"]}
ENGINE = "services", 0, "engine"
# What a part of a configuration cannot be, by its path.
INVALID_PARTS = {
    ("version",): ("9", 9.7, True, -1, 1e30, None),
    ("routes",): (None, {}, "x", [None]),
    (*LAST_ROUTE, "host"): (None, 7),
    (*LAST_ROUTE, "pathPrefix"): (None, 7, ["/read/"], "", "read/", "/read"),
    (*LAST_ROUTE, "timeoutMs"): (None, "6000", 0, -5, True, 1e300),
    (*LAST_ROUTE, "targetLatencyMs"): ("x", -5, True),
    (*LAST_ROUTE, "maxAttempts"): ("3", -5, True, 2.5),
    (*LAST_ROUTE, "priority"): ("3", -5, True, 2.5),
    (*LAST_ROUTE, "resumable"): ("no", 0, []),
    (*LAST_ROUTE, "service"): (None, "", 7, [], {}),
    (*LAST_ROUTE, "split"): (
        "x",
        {},
        [{"service": "desk"}],
        [{"service": [], "weight": 1}],
        [{"service": "desk", "weight": 0}, {"service": "annex", "weight": 0}],
        [{"service": "desk", "weight": 1}, {"service": "annex", "weight": -1}],
    ),
    (*LAST_ROUTE, "anonymous"): ("no", 0, []),
    ("tenants",): (
        *({}, "x", 7, True, [None], [{"name": "survey"}], [{"apiKeys": []}]),
        *(
            [TEAM | {"name": name}]
            for name in (None, 7, "", " a", "a ", "a\nb", "\u00fc", "a" * 513)
        ),
        *([TEAM | {"apiKeys": keys}] for keys in (None, "k1", {}, [None], [7], [["k1"]])),
        *([TEAM | {"apiKeys": [key]}] for key in ("", " k", "k\t", "a\nb", "\u00fc", "k" * 513)),
        *([TEAM | {"priority": value}] for value in ("1", -1, 1.5, True)),
        *([TEAM | {"ratePerS": value}] for value in ("1", -1, -0.5, 1e300, True, [])),
        *([TEAM | {"burst": value}] for value in ("1", -1, 1e300)),
        *([TEAM | {"plainTokens": value}] for value in ("1", -1, 0.5)),
        [TEAM, TEAM | {"name": "crew"}],
        [TEAM, TEAM | {"apiKeys": ["k2"]}],
    ),
    ("services",): (None, {}, "x", [None]),
    ("services", 1, "name"): (None, 7, []),
    ENGINE: (7, [], "x"),
    (*ENGINE, "adapterSlots"): ("8", -1, 2.5),
    (*ENGINE, "weightsMb"): ("x", -1),
    (*ENGINE, "models"): ("x", {}, [{}], [{"name": 7, "weightsMb": 1}]),
    ("limits",): (7, [], "x"),
    ("limits", "maxHeaderBytes"): ("x", -1, True, [], 1.5),
    ("limits", "maxBodyBytes"): ("x", -1, True, [], 1.5),
    ("limits", "headerTimeoutMs"): ("x", -1, 0, True, []),
    ("limits", "idleTimeoutMs"): ("x", -1, 0, True, []),
}
# What it can be, though it is unusual.
VALID_PARTS = {
    ("version",): (2.0, 2**53 - 1),
    ("routes",): ([],),
    (*LAST_ROUTE, "name"): (None, "", 7),
    (*LAST_ROUTE, "pathPrefix"): ("/", "/a/b c/\u00fc/"),
    (*LAST_ROUTE, "routeKind"): ("another", None),
    (*LAST_ROUTE, "timeoutMs"): (0.5, 12000.0),
    (*LAST_ROUTE, "targetLatencyMs"): (None, 0, 0.5),
    (*LAST_ROUTE, "maxAttempts"): (None, 0, 2.0),
    (*LAST_ROUTE, "priority"): (None, 0, 12),
    (*LAST_ROUTE, "split"): (
        None,
        [],
        [{"service": "desk", "weight": 0.5}, {"service": "annex", "weight": 0}],
    ),
    (*LAST_ROUTE, "unknown"): ({"a": [None]},),
    (*LAST_ROUTE, "anonymous"): (None, True, False),
    ("tenants",): (
        *(None, [], [TEAM]),
        *([TEAM | {"apiKeys": keys}] for keys in ([], ["k1", "k1"], ["k, 1"], ["k" * 512])),
        [TEAM | {"priority": None, "unit": [7], "plainTokens": None, "ratePerS": 0, "burst": 0.5}],
    ),
    ("services", 1, "healthPath"): (None, 7),
    ENGINE: (None, {}),
    (*ENGINE, "models"): (None, []),
    ("limits",): (None, {}),
    ("limits", "maxBodyBytes"): (None, 0, 4096.0),
    ("limits", "idleTimeoutMs"): (None, 0.5),
}


@pytest.mark.parametrize("how", ["list", "watch"])
@pytest.mark.parametrize(
    ("path", "value", "is_valid"),
    [
        pytest.param(path, value, is_valid, id=f"{'.'.join(map(str, path))}-{value!r:.20}")
        for parts, is_valid in ((INVALID_PARTS, False), (VALID_PARTS, True))
        for path, values in parts.items()
        for value in values
    ],
)
def test_configuration_with_an_invalid_part_is_refused_whole(texts, how, path, value, is_valid):
    spec = json.dumps(edit(configuration(2), path, value))
    events = texts.read(how, "config", {"main": spec}).events
    assert [type(event) for event in events] == [ev.ConfigurationSeen] * is_valid


def test_unreadable_record_is_logged_once_for_each_revision(texts):
    spec, _ = SOUND["servers"]
    odd = with_field(spec, "slots", ODD_TEXTS["nested-2000"])
    with capture_logs() as lines:
        for _ in range(5):
            texts.read("list", "servers", {"odd": odd})
    [line] = [line for line in lines if line["event"] == "record-unreadable"]
    assert (line["kind"], line["name"]) == ("servers", "odd")


def test_unreadable_lead_record_can_be_replaced(texts):
    """Without its revision, no entry could claim the engine any more."""
    [event] = [
        event
        for event in texts.read(
            "list", "poplarhoist-leads", {"e1": '{"holder":"entry-1#b1","epoch":1e400}'}
        ).events
        if type(event) is ev.LeadSeen
    ]
    assert (event.engine, event.holder, event.position) == ("e1", "", Position(0, 5))


@pytest.mark.parametrize("text", ODD_TEXTS.values(), ids=ODD_TEXTS)
@pytest.mark.parametrize("field", ["seq", "born", "models", "coming", "state", "", "unknown"])
def test_odd_report_is_an_error_of_one_kind(field, text):
    report = {"seq": 3, "born": 1, "models": [], "coming": [], "state": "both"}
    data = (with_field(report, field, text) if field else text).encode("utf-8", "surrogateescape")
    try:
        decoded = PlatformDialect().decode_report(data)
    except ValueError:
        return
    assert 0 <= decoded.accepted_orders < 2**53


@pytest.mark.parametrize("how", ["list", "watch"])
@pytest.mark.parametrize(
    "odd",
    [
        "null",
        "[]",
        "7",
        "1e400",
        '"x"',
        "{}",
        '{"metadata":null}',
        '{"metadata":{}}',
        '{"metadata":{"name":7}}',
        '{"metadata":{"name":"odd","revision":"x"}}',
        '{"metadata":{"name":"odd","revision":1e400}}',
        '{"metadata":' + "[" * 2000 + "]" * 2000 + "}",
        '{"object":null,"tombstone":false}',
    ],
)
def test_record_without_a_name_costs_no_other_one(texts, how, odd):
    sound = {"metadata": {"name": "a", "revision": 5}, "spec": ENDPOINT}
    part = sound if how == "list" else {"object": sound}
    parts = f"{json.dumps(part)},{odd},{json.dumps(part)}"
    key = "items" if how == "list" else "events"
    texts.body = f'{{"{key}":[{parts}],"truncated":false,"currentRev":9}}'.encode()
    with capture_logs() as lines:
        if how == "list":
            changes = texts.store.read_all("servers")
        else:
            changes = texts.store.watch(WatchSpec("servers"), Position(0, 3), True)
    assert len([event for event in changes.events if type(event) is ev.EndpointSeen]) == 2
    assert [line["event"] for line in lines] == ["records-without-name"]


ODD_DATAGRAMS = [
    b"",
    b"\xff\x00",
    b"[]",
    b'"x"',
    b'["entry-2"]',
    b'["entry-2",null]',
    b'["entry-2",[]]',
    b'[[],{"type":"NotLead","engine":"e1"}]',
    b'[{},{"type":"NotLead","engine":"e1"}]',
    b'[null,{"type":"NotLead","engine":"e1"}]',
    b'["entry-2",{"type":["NotLead"],"engine":"e1"}]',
    b'["entry-2",{"type":"NotLead"}]',
    b'["entry-2",{"type":"NotLead","engine":' + b"[" * 1000 + b"]" * 1000 + b"}]",
    b'["entry-2",{"type":"News","kind":"config","revision":1e300}]',
    b'["entry-2",{"type":"News","kind":"config","revision":"x"}]',
    b'["entry-2",{"type":"View","engine":"e1","held":{"a":1e308},"coming":{},"running":0,'
    b'"prefill_tokens":1e308}]',
    b"[" * 5000,
]


def test_odd_datagrams_do_not_stop_the_receiver():
    loop = StubLoop()
    transport = PeerTransport.__new__(PeerTransport)
    transport.decision_loop = loop
    known = b'["entry-2",{"type":"NotLead","engine":"e1"}]'
    transport.socket = StubSocket(*(data for odd in ODD_DATAGRAMS for data in (odd, known)))
    with pytest.raises(SystemExit):
        transport.run()
    sound = [event for event in loop.events if event.message == messages.NotLead("e1")]
    assert len(sound) == len(ODD_DATAGRAMS)
    assert all(type(event.sender) is str for event in loop.events)


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(exclude_categories=())),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
    max_leaves=20,
)


@pytest.mark.parametrize("kind", SOUND)
@seed(1)
@settings(
    max_examples=150, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture]
)
@given(data=st.data())
def test_any_record_leaves_the_others_in_use(texts, kind, data):
    spec, event_type = SOUND[kind]
    odd = dict(spec)
    for field in data.draw(st.lists(st.sampled_from([*spec, "unknown"]), max_size=3)):
        odd[field] = data.draw(JSON_VALUES)
    if data.draw(st.booleans()):
        odd.pop(data.draw(st.sampled_from(list(spec))), None)
    names = ("main", "odd") if kind == "config" else ("a", "odd")
    changes = texts.read(
        "list", kind, dict(zip(names, (json.dumps(spec), json.dumps(odd)), strict=True))
    )
    assert changes.status is ev.CallStatus.OK
    first = next(event for event in changes.events if type(event) is event_type)
    assert getattr(first, "name", names[0]) == names[0]
