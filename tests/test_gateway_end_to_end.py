"""End-to-end tests of a real entry between callers, a stand-in store and stand-in endpoints."""

import contextlib
import http.client
import signal
import socket
import threading
import time
from pathlib import Path

import orjson
import pytest

from tests.platform_site import PlatformSite, raw_request
from tests.platform_standins import (
    BAD_LENGTHS,
    BROKEN_HEADS,
    EVENTS_PER_STREAM,
    MALFORMED_HEADS,
    MALFORMED_LINES,
    MALFORMED_TRAILERS,
    SOUND_LENGTHS,
    UNCLEAR_TYPE,
    Endpoint,
)
from tests.standin_server import HOST

# Seconds within which a configuration must be in force, and after which a draining endpoint must
# get no more requests.
CONFIGURATION_DEADLINE_S = 3.0
DRAIN_DEADLINE_S = 3.0
FULL_STREAM = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS_PER_STREAM + 1)
)


def chunks():
    yield b"one "
    yield b"two"


@pytest.mark.parametrize(
    ("method", "target", "body", "arrived"),
    [
        ("GET", "/read/a%2Fb?x=1&y=%20", None, b""),
        ("POST", "/once/b", b"POST /once/x HTTP/1.1\r\n\r\n", b"POST /once/x HTTP/1.1\r\n\r\n"),
        ("POST", "/once/c?", chunks(), b"one two"),
    ],
)
def test_request_is_forwarded_unchanged(site, method, target, body, arrived):
    reserved = {"X_Hold": "h", "X_Target_Instance": "other", "Kv_From": "x", "X_Pin_Ms": "9"}
    status, headers, data = site.send_request(
        target, body=body, method=method, X_Own="kept", Keep_Alive="x", **reserved
    )
    assert (status, data) == (200, b"done " + arrived)
    assert headers["X-Response-Seal"] == "s"
    command, path, received_headers, received_body = site.endpoints["d1"].requests[0]
    assert (command, path, received_body) == (method, target, arrived)
    assert received_headers["x-own"] == "kept"
    assert received_headers["x-target-instance"] == "d1"
    assert 0 < int(received_headers["x-deadline-ms"]) <= 6000
    assert not {"x-hold", "kv-from", "x-pin-ms", "keep-alive"} & set(received_headers)


def test_adapter_is_loaded_on_demand_and_the_stream_is_forwarded(site):
    status, _, data = site.send_request("/stream/x", "a1")
    assert (status, data) == (200, FULL_STREAM)
    orders = [o for name in ("e1", "e2") for o in site.endpoints[name].accepted_orders]
    assert [(order["op"], order["adapter"]) for order in orders] == [("load", "a1")]


@pytest.mark.parametrize("fault", ["refused", "lost"])
def test_request_succeeds_although_an_order_failed_once(site, fault):
    for name in ("e1", "e2"):
        site.endpoints[name].order_faults.append(fault)
    status, _, data = site.send_request("/stream/x", "a1")
    if status == 503:
        time.sleep(1.0)
        status, _, data = site.send_request("/stream/x", "a1")
    assert (status, data) == (200, FULL_STREAM)
    assert max(len(site.endpoints[name].adapters) for name in ("e1", "e2")) <= 2


def test_new_version_replaces_the_old_one(site):
    assert site.send_request("/stream/x", "a1")[0] == 200
    site.store.put("versions", "base.a1", {"model": "base", "adapter": "a1", "version": 2})
    for name in ("e1", "e2"):
        site.endpoints[name].latest_version = 2
    time.sleep(3.0)
    assert site.send_request("/stream/x", "a1")[0] == 200
    held = [site.endpoints[name].adapters.get("a1") for name in ("e1", "e2")]
    assert 2 in held


@pytest.mark.parametrize(
    "odd",
    [{"slots": float("inf")}, {"zone": "\ud800"}, {"address": "10.0.0.1:70000"}, {"state": "new"}],
)
def test_endpoints_are_followed_although_an_odd_record_is_among_them(site, odd):
    new = site.endpoints["d2"] = Endpoint("d2", "desk")
    site.store.put("servers", "odd", new.record() | odd)
    site.register_endpoints("d2")
    site.register_endpoints("d1", state="draining")
    time.sleep(DRAIN_DEADLINE_S)
    for _ in range(2):
        before = len(new.requests)
        assert [site.send_request("/once/x")[0] for _ in range(5)] == [200] * 5
        assert len(new.requests) == before + 5
        site.kill()
        site.launch()
        site.wait_until(lambda: site.get_status() == 200)


BROKEN_RESPONSES = (*BROKEN_HEADS, *MALFORMED_HEADS, *MALFORMED_TRAILERS, *BAD_LENGTHS)
# Path, fault of the endpoint, status that the caller must get.
FAULT_CASES = [
    ("/once/x", "full", 503),
    ("/once/x", "dropped", 502),
    ("/once/x", "other-request", 502),
    ("/once/x", "unsigned", 502),
    ("/once/x", "short", 502),
    ("/once/x", "reset", 502),
    *[("/once/x", fault, 502) for fault in BROKEN_RESPONSES],
    *[("/read/x", fault, 200) for fault in BROKEN_RESPONSES],
    ("/once/x", "unframed", 200),
    ("/once/x", "error", 500),
    ("/read/x", "short", 200),
    ("/read/x", "reset", 200),
    ("/read/x", "dropped", 200),
    ("/read/x", "error", 200),
]


@pytest.mark.parametrize(("path", "fault", "expected"), FAULT_CASES)
def test_incomplete_or_unverified_response_is_not_returned(site, path, fault, expected):
    """Requests of the at-most-once route run once; those of the repeatable route are retried.

    Status 500, and a body delimited by the close of the connection, are returned to the caller if
    the response is complete and no retry is allowed.
    """
    site.endpoints["d1"].faults = [fault] * (8 if fault == "full" else 1)
    status, headers, data = site.send_request(path)
    assert status == expected
    if expected == 200:
        assert data == (b"unframed" if fault == "unframed" else b"done ")
    if expected == 503:
        assert float(headers["Retry-After"]) > 0
    if expected == 502:
        assert orjson.loads(data)["ran"] is True
        assert "Retry-After" not in headers and "X-Response-Seal" not in headers
    received = [request for request in site.endpoints["d1"].requests]
    if path == "/once/x" and fault != "full":
        assert len(received) == 1


@pytest.mark.parametrize("framing", SOUND_LENGTHS)
def test_unusual_but_whole_response_is_returned(site, framing):
    site.endpoints["d1"].faults = [framing]
    status, headers, data = site.send_request("/once/x")
    assert (status, data) == (200, b"plan")
    assert headers["Content-Length"] in (None, "4")


def test_response_whose_type_is_unclear_is_returned(site):
    """A parser for mail fails on some parameters of types; the caller got 502 for a whole response."""
    site.endpoints["d1"].faults = ["type-unclear"]
    with socket.create_connection((HOST, site.port), timeout=10) as caller:
        caller.sendall(raw_request("POST", b"/once/x", "c1", b"Connection: close"))
        head, _, body = caller.makefile("rb").read().partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert (lines[0], body) == (b"HTTP/1.1 200 OK", b"plan")
    assert b"Content-Type: " + UNCLEAR_TYPE.encode() in lines


def test_refusal_that_comes_twice_is_not_taken_for_the_next_answer(site):
    """Nothing else is sent over the connection of a request, an order or a report."""
    for name in ("e1", "e2"):
        site.endpoints[name].order_faults = ["refused-twice"]
    site.endpoints["d1"].faults = ["full-twice", ""] * 10
    answers = [site.send_request("/once/x") for _ in range(10)]
    assert {(status, data) for status, _, data in answers} == {(200, b"done ")}
    deadline_at = time.monotonic() + 5.0
    while site.send_request("/stream/x", "a1")[0] != 200:
        assert time.monotonic() < deadline_at
        time.sleep(0.2)
    for endpoint in site.endpoints.values():
        addresses = [address for _, address in endpoint.connections]
        assert len(addresses) == len(set(addresses))


# How the stream is delimited, and how it breaks off. A stream that is delimited by the end of its
# connection and closed between two events cannot be told from a complete one.
BROKEN_STREAM_CASES = [
    (framing, fault)
    for framing in ("chunked", "length", "connection")
    for fault in ("torn", "torn-reset", "cut", "cut-reset")
    if (framing, fault) != ("connection", "cut")
]


def let_engines_hold_the_adapter(site) -> None:
    """Let both engines hold a1, so that no load comes before a stream."""
    for name in ("e1", "e2"):
        site.endpoints[name].adapters["a1"] = 1
    site.register_endpoints("e1", "e2")
    time.sleep(1.0)


@pytest.mark.parametrize(("framing", "fault"), BROKEN_STREAM_CASES)
def test_stream_cut_short_is_not_passed_on_as_complete(site, framing, fault):
    for name in ("e1", "e2"):
        site.endpoints[name].faults = [fault]
        site.endpoints[name].stream_framing = framing
    let_engines_hold_the_adapter(site)
    with pytest.raises(http.client.IncompleteRead):
        pytest.fail(f"whole: {site.send_request('/stream/x', 'a1')}\n{site.log_path.read_text()}")
    assert sum(len(site.endpoints[name].requests) for name in ("e1", "e2")) == 1


def check_first_stream_is_replaced(site, fault, framing, path, expected) -> None:
    """Send a request whose first stream has a fault; check that the caller gets another one or a status."""
    shared_faults = [fault]
    for name in ("e1", "e2"):
        site.endpoints[name].faults = shared_faults
        site.endpoints[name].stream_framing = framing
    let_engines_hold_the_adapter(site)
    status, _, data = site.send_request(path, "a1")
    assert status == expected
    assert expected != 200 or data == FULL_STREAM


@pytest.mark.parametrize(("path", "expected"), [("/stream/x", 502), ("/resume/x", 200)])
@pytest.mark.parametrize("fault", ["empty", "empty-reset"])
@pytest.mark.parametrize("framing", ["chunked", "length", "connection"])
def test_stream_that_ends_before_its_first_event_is_not_passed_on_as_complete(
    site, framing, fault, path, expected
):
    check_first_stream_is_replaced(site, fault, framing, path, expected)


@pytest.mark.parametrize(("path", "expected"), [("/stream/x", 502), ("/resume/x", 200)])
@pytest.mark.parametrize("fault", MALFORMED_LINES)
@pytest.mark.parametrize("framing", ["chunked", "length", "connection"])
def test_stream_with_a_malformed_head_is_not_passed_on(site, framing, fault, path, expected):
    """The sizes of chunks were passed on as events, and the stream ended as whole."""
    check_first_stream_is_replaced(site, fault, framing, path, expected)


@pytest.mark.parametrize("fault", MALFORMED_TRAILERS)
def test_stream_with_a_malformed_trailer_does_not_end_as_whole(site, fault):
    for name in ("e1", "e2"):
        site.endpoints[name].faults = [fault]
    let_engines_hold_the_adapter(site)
    with pytest.raises(http.client.IncompleteRead) as broken_off:
        pytest.fail(f"whole: {site.send_request('/stream/x', 'a1')}")
    assert broken_off.value.partial == FULL_STREAM


# What the next engine answers instead of the rest of a stream.
NO_CONTINUATIONS = (
    "page",
    "json",
    "without-ids",
    "from-first",
    "repeats-last",
    "goes-back",
    "error",
    "full",
    "other-request",
    "unsigned",
    "empty",
    "name-with-blank",
    "name-missing",
)


@pytest.mark.parametrize("answer", NO_CONTINUATIONS)
@pytest.mark.parametrize(
    ("framing", "fault"), [("chunked", "cut"), ("length", "torn"), ("connection", "torn-reset")]
)
def test_stream_does_not_go_on_with_anything_but_its_continuation(site, framing, fault, answer):
    shared_faults = [fault, answer, "full", "full", "full", "full"]
    for name in ("e1", "e2"):
        site.endpoints[name].faults = shared_faults
        site.endpoints[name].stream_framing = framing
    let_engines_hold_the_adapter(site)
    try:
        status, _, data = site.send_request("/resume/x", "a1")
        assert status == 200
        is_whole = True
    except http.client.IncompleteRead as error:
        data, is_whole = error.partial, False
    # After its second event the break shows, unless a third attempt was allowed and went on.
    events = FULL_STREAM.split(b"\n\n")
    begun = b"\n\n".join(events[:2]) + b"\n\n"
    assert data in (begun, b"\n\n".join(events[:3]) + b"\n\n", FULL_STREAM)
    assert not is_whole or data == FULL_STREAM


@pytest.mark.parametrize(
    ("answer", "expected"),
    [("", 200), ("from-first", 502), ("repeats-last", 502), ("without-ids", 502), ("error", 500)]
    + [(fault, 502) for fault in MALFORMED_LINES],
)
def test_caller_that_resumes_a_stream_gets_its_continuation(site, answer, expected):
    for name in ("e1", "e2"):
        site.endpoints[name].faults = [answer] * 4
    let_engines_hold_the_adapter(site)
    status, _, data = site.send_request("/resume/x", "a1", Last_Event_Id="2")
    assert status == expected
    assert status != 200 or data == FULL_STREAM[len(FULL_STREAM) // 2 :]


@pytest.mark.parametrize("framing", ["length", "connection"])
def test_whole_stream_without_chunks_is_passed_on_as_complete(site, framing):
    for name in ("e1", "e2"):
        site.endpoints[name].stream_framing = framing
    let_engines_hold_the_adapter(site)
    status, _, data = site.send_request("/stream/x", "a1")
    assert (status, data) == (200, FULL_STREAM)


@pytest.mark.parametrize(("fault", "ends_with_reset"), [("", False), ("torn", True)])
def test_stream_cut_short_ends_with_a_reset_for_a_caller_without_chunks(
    site, fault, ends_with_reset
):
    """HTTP/1.0 has no chunks: an orderly close would end the stream as complete."""
    for name in ("e1", "e2"):
        site.endpoints[name].faults = [fault] if fault else []
    let_engines_hold_the_adapter(site)
    head = "POST /stream/x HTTP/1.0\r\nHost: host.test\r\nX-Request-Id: old\r\nX-Model: base/a1\r\n\r\n"
    with socket.create_connection((HOST, site.port), timeout=10) as caller:
        caller.sendall(head.encode())
        received = b""
        was_reset = False
        try:
            while data := caller.recv(65536):
                received += data
        except ConnectionResetError:
            was_reset = True
    assert b" 200 " in received.splitlines()[0]
    assert was_reset is ends_with_reset


@pytest.mark.parametrize("path", ["/stream/x", "/resume/x"])
def test_response_that_is_no_event_stream_is_passed_on_from_a_streaming_route(site, path):
    for name in ("e1", "e2"):
        site.endpoints[name].faults = ["json"]
    let_engines_hold_the_adapter(site)
    status, _, data = site.send_request(path, "a1")
    assert (status, data) == (200, b'{"text": "plan"}')


@pytest.mark.parametrize(("framing", "fault"), BROKEN_STREAM_CASES)
def test_broken_stream_resumes_at_the_other_engine(site, framing, fault):
    """The stream breaks at its third event and continues after the second."""
    # Both engines take their faults from one list, so that only the first attempt is torn.
    shared_faults = [fault]
    for name in ("e1", "e2"):
        site.endpoints[name].adapters["a1"] = 1
        site.endpoints[name].stream_framing = framing
        site.endpoints[name].faults = shared_faults
    site.register_endpoints("e1", "e2")
    time.sleep(1.0)
    status, headers, data = site.send_request("/resume/x", "a1")
    assert (status, data) == (200, FULL_STREAM)
    sent = [r[2] for name in ("e1", "e2") for r in site.endpoints[name].requests]
    assert sorted(headers.get("last-event-id", "") for headers in sent) == ["", "2"]


def test_store_returns_without_its_history_after_an_outage(site):
    site.store.unavailable = True
    time.sleep(1.5)
    assert site.send_request("/read/x", method="GET")[0] == 200
    route = {"name": "n", "host": "host.test", "pathPrefix": "/new/", "routeKind": "safe"}
    route |= {"timeoutMs": 1000, "service": "desk"}
    site.configure(2, route)
    site.store.drop_history()
    assert site.send_request("/new/x", method="GET")[0] == 404
    site.store.unavailable = False
    site.wait_until(
        lambda: site.send_request("/new/x", method="GET")[0] == 200, CONFIGURATION_DEADLINE_S
    )
    # Log lines are queued and written about 50 ms later.
    site.wait_until(lambda: site.log_lines("store-lost") and site.log_lines("store-regained"), 2.0)


def test_calls_that_the_store_never_answered_are_repeated(site):
    """The store accepts watches and hangs; later changes must still be known in time."""
    site.store.hangs = True
    # Ends the open watches, so that new ones are made while the store hangs.
    site.store.put("servers", "e1", site.endpoints["e1"].record())
    site.configure(2)
    time.sleep(2.5)
    site.store.hangs = False
    time.sleep(3.5)
    site.register_endpoints("d1", state="draining")
    route = {"name": "n", "host": "host.test", "pathPrefix": "/new/", "routeKind": "safe"}
    site.configure(3, route | {"timeoutMs": 1000, "service": "models"})
    site.wait_until(lambda: site.log_lines("endpoint-leaving") != [], DRAIN_DEADLINE_S)
    site.wait_until(
        lambda: site.send_request("/new/x", method="GET")[0] != 404, CONFIGURATION_DEADLINE_S
    )


def test_change_missed_by_a_watch_is_in_force_in_time(site):
    """An open watch may miss a change while the store drops its history."""
    # An open watch misses the change; watches made afterwards show it.
    site.store.misses_changes = True
    route = {"name": "n", "host": "host.test", "pathPrefix": "/new/", "routeKind": "safe"}
    site.configure(2, route | {"timeoutMs": 1000, "service": "desk"})
    site.wait_until(lambda: site.send_request("/new/x", method="GET")[0] == 404, 1.0)
    time.sleep(0.2)
    site.store.misses_changes = False
    site.wait_until(
        lambda: site.send_request("/new/x", method="GET")[0] == 200, CONFIGURATION_DEADLINE_S
    )


def test_requests_get_503_instead_of_404_before_the_first_configuration(tmp_path):
    site = PlatformSite(tmp_path)
    try:
        site.register_endpoints()
        site.launch()
        site.wait_until(lambda: site.get_status() == 503)
        assert site.send_request("/read/x", method="GET")[0] == 503
        site.configure()
        site.wait_until(lambda: site.get_status() == 200)
        assert site.send_request("/none/x", method="GET")[0] == 404
    finally:
        site.stop()


def test_endpoint_records_that_cannot_be_decoded_are_not_used(site):
    for name, record in (
        ("x1", {"service": "desk"}),
        ("x2", {"service": 7, "address": "1.2.3.4:5", "zone": "north-a", "state": "ready"}),
        ("x3", {"service": "desk", "address": "here", "zone": "north-a", "state": "odd"}),
        ("x4", "text"),
    ):
        site.store.put("servers", name, record)
    site.wait_until(lambda: len(site.log_lines("record-unreadable")) == 4, 5.0)
    assert {site.send_request("/read/x", method="GET")[0] for _ in range(8)} == {200}


def test_draining_endpoint_gets_no_more_requests(site):
    site.register_endpoints("d1", state="draining")
    site.wait_until(lambda: site.log_lines("endpoint-leaving") != [], 5.0)
    assert site.send_request("/read/x", method="GET")[0] == 503


def test_draining_entry_answers_open_requests_and_closes_connections(site):
    site.endpoints["d1"].service_time_s = 1.0
    results = []
    slow = threading.Thread(
        target=lambda: results.append(site.send_request("/once/x", body=b"slow"))
    )
    idle = http.client.HTTPConnection(HOST, site.port, timeout=10)
    idle.request("GET", "/read/x", headers={"Host": "host.test", "X-Request-Id": "kept"})
    assert idle.getresponse().read() == b"done "
    slow.start()
    time.sleep(0.3)
    site.terminate()
    site.wait_until(lambda: site.get_status() == 503, 2.0)
    idle.request("GET", "/read/x", headers={"Host": "host.test", "X-Request-Id": "last"})
    response = idle.getresponse()
    assert response.headers["Connection"] == "close"
    assert response.read() == b"done "
    slow.join()
    assert [(status, data) for status, _, data in results] == [(200, b"done slow")]
    assert site.process.wait(10) == 0


def test_endpoint_stops_its_work_when_the_caller_disconnects(site):
    site.endpoints["e1"].service_time_s = site.endpoints["e2"].service_time_s = 0.5
    caller = http.client.HTTPConnection(HOST, site.port, timeout=10)
    headers = {"Host": "host.test", "X-Request-Id": "left", "X-Model": "base/a1"}
    caller.request("POST", "/stream/x", headers=headers)
    caller.getresponse().read(5)
    caller.close()
    # The disconnect must reach the endpoint within half a second, and its events are half a second
    # apart. It notices the disconnect when it sends an event, so the check waits up to 1.5 s.
    site.wait_until(
        lambda: any(site.endpoints[name].aborted_request_ids for name in ("e1", "e2")), 1.5
    )
    assert site.log_lines("caller-left")


def test_logs_describe_a_request_and_metrics_are_served(site):
    assert site.send_request("/read/x", method="GET", X_Request_Id="told")[0] == 200
    site.wait_until(lambda: site.log_lines("answered") != [], 2.0)
    time.sleep(0.2)
    sent = [line for line in site.log_lines("sent") if line["caller_id"] == "told"]
    answered = [line for line in site.log_lines("answered") if line["caller_id"] == "told"]
    assert sent[0]["endpoint"] == "d1"
    assert (answered[0]["outcome"], answered[0]["status"]) == ("done", 200)
    assert site.get_status("/metrics") == 200


# Path, adapter, fault of the endpoints, how the log says that the body of the first attempt ended.
BODY_END_CASES = [
    ("/stream/x", "a1", "", ("chunked", 0, False)),
    ("/stream/x", "a1", "torn", ("chunked", 10, False)),
    ("/resume/x", "a1", "torn", ("chunked", 10, False)),
    ("/once/x", "", "short", ("length", 0, False)),
    ("/once/x", "", "unframed", ("connection", 0, False)),
    ("/once/x", "", "reset", ("connection", 0, True)),
    ("/once/x", "", "dropped", ("none", 0, False)),
]


@pytest.mark.parametrize(("path", "adapter", "fault", "expected"), BODY_END_CASES)
def test_log_tells_how_the_body_of_an_attempt_ended(site, path, adapter, fault, expected):
    shared_faults = [fault] if fault else []
    for endpoint in site.endpoints.values():
        endpoint.faults = shared_faults
    with contextlib.suppress(http.client.IncompleteRead):
        site.send_request(path, adapter, X_Request_Id="told")

    def ends():
        lines = [line for e in ("again", "refused", "answered") for line in site.log_lines(e)]
        return [line for line in lines if line["caller_id"] == "told"]

    site.wait_until(lambda: ends() != [], 2.0)
    end = ends()[0]
    assert (end["framing"], end["partial_event_bytes"], end["connection_reset"]) == expected


def test_log_tells_which_stream_is_resumed_and_at_which_software(site):
    resumption = {"Last_Event_Id": "2", "Resumes": "began", "X_Request_Id": "told"}
    status, _, data = site.send_request("/resume/x", "a1", **resumption)
    assert (status, data) == (200, FULL_STREAM[FULL_STREAM.index(b"id: 3") :])
    site.wait_until(lambda: site.log_lines("answered") != [], 2.0)
    sent = [line for line in site.log_lines("sent") if line["caller_id"] == "told"][-1]
    assert (sent["resumed_caller_id"], sent["after_event"]) == ("began", "2")
    assert sent["software"] == "v1"
    assert {line["software"] for line in site.log_lines("endpoint-new")} == {"v1"}


def let_two_software_versions_serve(site):
    for name, version in (("e1", "v1"), ("e2", "v2")):
        site.endpoints[name].software_version = version
        site.endpoints[name].adapters["a1"] = 1
    site.register_endpoints("e1", "e2")
    time.sleep(1.0)


def test_broken_stream_goes_on_at_the_engine_with_its_software_version(site):
    let_two_software_versions_serve(site)
    for name in ("e1", "e2"):
        site.endpoints[name].faults = ["torn"]
    status, _, data = site.send_request("/resume/x", "a1")
    assert (status, data) == (200, FULL_STREAM)
    assert sorted(len(site.endpoints[name].requests) for name in ("e1", "e2")) == [0, 2]


@pytest.mark.parametrize(("began", "expected"), [("known", 200), ("unknown", 503)])
def test_caller_resumes_a_stream_only_where_its_software_version_is_known(site, began, expected):
    let_two_software_versions_serve(site)
    assert site.send_request("/resume/x", "a1", X_Request_Id="known")[0] == 200
    resumption = {"Last_Event_Id": "2", "Resumes": began}
    status, headers, _ = site.send_request("/resume/x", "a1", **resumption)
    assert status == expected
    assert "Retry-After" not in headers
    counts = [len(site.endpoints[name].requests) for name in ("e1", "e2")]
    assert sorted(counts) == ([0, 2] if expected == 200 else [0, 1])


def test_sighup_during_startup_does_not_end_the_entry(tmp_path):
    """SIGHUP would end a process that has neither ignored nor handled it yet."""
    site = PlatformSite(tmp_path)
    try:
        site.register_endpoints()
        site.configure()
        site.launch()
        # The process still imports its libraries, long before it sets its signal handlers.
        maps = Path(f"/proc/{site.process.pid}/maps")
        site.wait_until(lambda: "greenlet" in maps.read_text())
        site.process.send_signal(signal.SIGHUP)
        site.wait_until(lambda: site.get_status() == 200)
        assert site.process.poll() is None
    finally:
        site.stop()


# Software versions before the only entry is killed, those that have registered once it is back, and
# the status of a resumption. The entry has not seen "v2" in the second row.
@pytest.mark.parametrize(
    ("before", "after", "expected"),
    [(("v1", "v2"), ("v2",), 503), (("v1", "v1"), ("v2",), 503), (("v1", "v1"), ("v1",), 200)],
)
def test_stream_is_not_joined_from_two_versions_after_the_entries_were_killed(
    site, before, after, expected
):
    for name, version in zip(("e1", "e2"), before, strict=True):
        site.endpoints[name].software_version = version
        site.endpoints[name].adapters["a1"] = 1
    site.register_endpoints("e1", "e2")
    kind = "poplarhoist-software-versions"
    site.wait_until(lambda: len(site.store_names(kind)) == len(set(before)))
    assert site.send_request("/resume/x", "a1", X_Request_Id="began")[0] == 200
    site.kill()
    site.store.remove("servers", "e1")
    site.endpoints["e2"].software_version = after[0]
    site.register_endpoints("e2")
    site.launch()
    site.wait_until(lambda: site.get_status() == 200)
    resumption = {"Last_Event_Id": "2", "Resumes": "began"}
    assert site.send_request("/resume/x", "a1", **resumption)[0] == expected
