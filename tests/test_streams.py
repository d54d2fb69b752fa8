"""Complete responses and stalled connections, with real processes."""

import json
import socket
import threading
import time

import pytest

from poplarhoist.models import Preset
from tests.site import TOKEN, wait_until

SHORT_GAP_SETTINGS = "[streams]\ngap_s = 0.5\n"
FIRST_TOKEN_DEADLINE_S = 0.38
RESUMED_METRIC = 'poplarhoist_stream_resumed_total{result="yes"}'


def parse_tokens(text: str) -> list[str]:
    """Return the tokens of a streamed response, which must be complete."""
    events = [line.removeprefix("data: ") for line in text.split("\n\n") if line]
    assert events[-1] == "[DONE]", text[-300:]
    return [json.loads(event)["choices"][0]["text"] for event in events[:-1]]


def expected_tokens(tokens: int, ref: str = "plans@1") -> list[str]:
    return [f" {ref}:{index}" for index in range(tokens)]


def read_metric(site, entry: str, line: str) -> float:
    text = site.send_request(entry, "/metrics", method="GET").read().decode()
    values = [row.split()[1] for row in text.splitlines() if row.startswith(line)]
    return float(values[0]) if values else 0.0


def load_adapter(site, entry: str = "entry-1") -> None:
    assert site.request_completion(entry, tokens=1).status == 200


def test_stream_is_forwarded_without_delay_and_resumed_over_a_new_connection(running_site):
    """The engine stops sending twice without closing its connection; no token may be lost."""
    site = running_site(entries=1, engines=1, extra=SHORT_GAP_SETTINGS)
    load_adapter(site)
    asked_at = time.monotonic()
    answer = site.request_completion("entry-1", tokens=600, stream=True)
    text = answer.read1().decode()
    assert time.monotonic() - asked_at < FIRST_TOKEN_DEADLINE_S
    for number in (1, 2):
        site.set_faults("engine-1", silence=True)
        while read_metric(site, "entry-1", RESUMED_METRIC) < number:
            part = answer.read1().decode()
            assert part, "the stream ended before it was resumed"
            text += part
    text += answer.read().decode()
    assert parse_tokens(text) == expected_tokens(600)


def test_connection_that_stalls_before_the_first_byte_is_replaced(running_site):
    """The connection is silenced after the request was sent and before the response starts."""
    site = running_site([("platform", "engine-1")], entries=1, engines=1, extra=SHORT_GAP_SETTINGS)
    load_adapter(site)
    relay = site.relays["platform", "engine-1"]
    site.publish(lambda draft: draft.put_preset(Preset("ordinary", max_wait_s=20.0)))
    streams = [site.request_completion("entry-1", tokens=200, stream=True) for _ in range(8)]
    received = []

    def request_stream() -> None:
        received.append(
            parse_tokens(site.request_completion("entry-1", tokens=5, stream=True).read().decode())
        )

    thread = threading.Thread(target=request_stream)
    opened = relay.connection_count
    thread.start()
    wait_until(lambda: relay.connection_count > opened)
    relay.silence_open_connections()
    asked_at = time.monotonic()
    assert [parse_tokens(stream.read().decode()) for stream in streams] == [
        expected_tokens(200)
    ] * 8
    thread.join()
    assert received == [expected_tokens(5)]
    assert time.monotonic() - asked_at < 20.0


@pytest.mark.parametrize(("tokens", "kind"), [(400, "stream"), (400, "whole")])
def test_engine_restart_during_an_answer(running_site, tokens, kind):
    """A stream ends with an error event; a response that is not streamed is produced again."""
    site = running_site(entries=1, engines=2, extra=SHORT_GAP_SETTINGS)
    for _ in range(2):
        load_adapter(site)
    answer = None
    if kind == "stream":
        answer = site.request_completion("entry-1", tokens=tokens, stream=True)
        text = answer.read1().decode()
    else:
        received = []
        thread = threading.Thread(
            target=lambda: received.append(site.request_completion("entry-1", tokens=tokens).json())
        )
        thread.start()
    states = {name: site.read_state(name) for name in site.file.engine_ports}
    wait_until(lambda: any(site.read_state(n)["tokens"] > states[n]["tokens"] for n in states))
    busy_engine = [n for n in states if site.read_state(n)["tokens"] > states[n]["tokens"]][0]
    site.set_faults(busy_engine, restart=True)
    if kind == "stream":
        text += answer.read().decode()
        assert "[DONE]" not in text
        last = [block for block in text.split("\n\n") if block][-1]
        assert last.startswith("event: error\n")
        problem = json.loads(last.partition("data: ")[2])["error"]
        assert (problem["reason"], problem["ran"]) == ("endpoint-lost", "unknown")
    else:
        thread.join()
        assert received[0]["choices"][0]["text"] == "".join(expected_tokens(tokens))


@pytest.mark.parametrize(
    ("fault", "expected_ejections"), [({"wrong_adapter": 1}, 1.0), ({"wrong_request": 1}, 0.0)]
)
@pytest.mark.parametrize("stream", [False, True])
def test_answer_for_another_request_is_discarded(running_site, fault, expected_ejections, stream):
    """The caller gets the right response from a retry.

    An endpoint that answers for a wrong adapter is ejected.
    """
    site = running_site(entries=1, engines=2, extra=SHORT_GAP_SETTINGS)
    load_adapter(site)
    loaded = [name for name in site.file.engine_ports if site.read_state(name)["slots"]]
    for name in loaded:
        site.set_faults(name, **fault)
    answer = site.request_completion("entry-1", tokens=5, stream=stream)
    text = answer.read().decode()
    assert answer.status == 200, text
    assert "another" not in text
    got = parse_tokens(text) if stream else [json.loads(text)["choices"][0]["text"]]
    assert "".join(got) == "".join(expected_tokens(5))
    assert read_metric(site, "entry-1", 'poplarhoist_attempt_ended_total{outcome="wrong"}') == 1
    line = 'poplarhoist_endpoint_taken_out_total{cause="adapter"}'
    assert read_metric(site, "entry-1", line) == expected_ejections


def raw_request(site, entry: str, body: dict, receive_bytes: int = 0) -> socket.socket:
    """Send a completion request over a new socket; ``receive_bytes`` sets its receive buffer."""
    connection = socket.socket()
    if receive_bytes:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    connection.connect(("127.0.0.1", site.file.entry_ports[entry]))
    data = json.dumps(body).encode()
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    connection.sendall(head.encode() + data)
    return connection


@pytest.mark.parametrize("disconnect", ["during a stream", "before the answer", "stops reading"])
def test_disconnected_caller_frees_the_engine(running_site, disconnect):
    """The engine must not finish a request whose caller disconnected or stopped reading."""
    site = running_site(entries=1, engines=1, extra=SHORT_GAP_SETTINGS, read_s=2.0)
    load_adapter(site)
    stream = disconnect != "before the answer"
    body = {"model": "plans", "prompt": "x", "max_tokens": 4000, "stream": stream}
    receive_bytes = 2048 if disconnect == "stops reading" else 0
    connection = raw_request(site, "entry-1", body, receive_bytes)
    if stream:
        assert b"200 OK" in connection.recv(1024)
    wait_until(lambda: site.read_state("engine-1")["running"] == 1)
    if disconnect != "stops reading":
        connection.close()
    wait_until(lambda: site.read_state("engine-1")["running"] == 0, 25.0, "the engine is free")
    wait_until(lambda: site.read_status("entry-1")["requests"] == 0)
    assert site.read_state("engine-1")["tokens"] < 4000
    connection.close()


def test_stalled_keepalive_connections_are_replaced(running_site):
    """Connections to the platform, an endpoint and a peer stop passing data without closing.

    Configuration, bookings, completions, reports and heartbeats must continue over new ones.
    """
    relays = [("entry-1", "platform"), ("platform", "engine-1"), ("platform", "entry-2")]
    site = running_site(relays, entries=2, engines=1)
    load_adapter(site)
    opened = {key: relay.connection_count for key, relay in site.relays.items()}
    for relay in site.relays.values():
        relay.silence_open_connections()
    silenced_at = time.monotonic()
    index = site.publish(lambda draft: draft.put_preset(Preset("peak")))
    wait_until(lambda: site.read_status("entry-1")["revision"] == index.revision, 6.0)
    booked = site.send_request("entry-1", "/services/booking/book", {"a": 1}, Idempotency_Key="k1")
    if booked.status != 201:
        assert booked.json()["ran"] == "no"
        booked = site.send_request(
            "entry-1", "/services/booking/book", {"a": 1}, Idempotency_Key="k1"
        )
    assert booked.status == 201
    assert site.request_completion("entry-1", tokens=2).status == 200
    wait_until(
        lambda: site.read_status("entry-1")["endpoints"]["engine-1"]["report_age_s"] < 1.0, 6.0
    )
    wait_until(lambda: site.read_status("entry-2")["peers"]["entry-1"]["silent_s"] < 1.0, 6.0)
    assert time.monotonic() - silenced_at < 20.0
    for key, relay in site.relays.items():
        assert relay.connection_count > opened[key], key
