"""Heads of responses that break the grammar of HTTP are no responses, whoever reads them."""

import socket
import threading

import pytest
from urllib3 import HTTPHeaderDict
from urllib3.exceptions import HTTPError

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.entry.http import single_use_pool
from poplarhoist.errors import EntryError
from poplarhoist.gateway.engines import EngineClient
from poplarhoist.platform.dialect import PlatformDialect
from tests.platform_standins import MALFORMED_LINES
from tests.test_kept_connections import (
    CASES,
    HOST,
    RepeatingServer,
    answer,
    loop,
    record_at,
)

TIMEOUT_S = 5.0
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
# The line that says where a body ends, and the body.
BODIES = {
    "chunked": (b"Transfer-Encoding: chunked\r\n", b"4\r\nplan\r\n0\r\n\r\n"),
    "length": (b"Content-Length: 4\r\n", b"plan"),
    "connection": (b"", b"plan"),
}
# Lines that are no fields.
MALFORMED_FIELDS = {name: line.encode() for name, line in MALFORMED_LINES.items()} | {
    "blank-before-colon": b"X-Bad : 1\r\n",
    "blank-first": b" X-Bad: 1\r\n",
    "tab-in-name": b"X\tBad: 1\r\n",
    "tab-first": b"\tX-Bad: 1\r\n",
    "null-in-name": b"X\x00Bad: 1\r\n",
    "delete-in-name": b"X\x7fBad: 1\r\n",
    "carriage-return-in-name": b"X\rBad: 1\r\n",
    "name-not-ascii": b"X\xe9Bad: 1\r\n",
    "no-colon": b"X-Bad\r\n",
    "carriage-returns-alone": b"\r\r\n",
    "line-ends-in-a-carriage-return": b"X-Bad: 1\r\r\n",
    "null-in-value": b"X-Bad: 1\x002\r\n",
    "control-in-value": b"X-Bad: 1\x082\r\n",
    "mailbox": b"From nobody\r\n",
}
# Lines that begin no response.
MALFORMED_STATUS_LINES = {
    "status-000": b"HTTP/1.1 000 OK\r\n",
    "status-099": b"HTTP/1.1 099 OK\r\n",
    "status-600": b"HTTP/1.1 600 OK\r\n",
    "status-999": b"HTTP/1.1 999 OK\r\n",
    "status-of-two-digits": b"HTTP/1.1 20 OK\r\n",
    "status-of-four-digits": b"HTTP/1.1 0200 OK\r\n",
    "status-signed": b"HTTP/1.1 +200 OK\r\n",
    "status-underscore": b"HTTP/1.1 2_00 OK\r\n",
    "status-negative": b"HTTP/1.1 -200 OK\r\n",
    "status-missing": b"HTTP/1.1 OK\r\n",
    "status-and-more": b"HTTP/1.1 200OK\r\n",
    "version-0.9": b"HTTP/0.9 200 OK\r\n",
    "version-2": b"HTTP/2 200 OK\r\n",
    "version-2.0": b"HTTP/2.0 200 OK\r\n",
    "version-of-no-number": b"HTTP/1.x 200 OK\r\n",
    "version-longer": b"HTTP/1.10 200 OK\r\n",
    "version-missing": b"200 OK\r\n",
    "lower-case": b"http/1.1 200 OK\r\n",
    "other-protocol": b"ICY 200 OK\r\n",
    "blank-first": b" HTTP/1.1 200 OK\r\n",
    "two-blanks": b"HTTP/1.1  200 OK\r\n",
    "tab": b"HTTP/1.1\t200 OK\r\n",
    "form-feed": b"HTTP/1.1 200\x0cOK\r\n",
    "control-in-reason": b"HTTP/1.1 200 O\x01K\r\n",
    "null-in-reason": b"HTTP/1.1 200 O\x00K\r\n",
    "carriage-return-in-reason": b"HTTP/1.1 200 OK\rX-More: 1\r\n",
    "empty-line-first": b"\r\nHTTP/1.1 200 OK\r\n",
}


@pytest.fixture
def serve():
    """Return a function that answers the next connection with some bytes; it returns the port."""
    listeners = []

    def start(data: bytes) -> int:
        listener = socket.create_server((HOST, 0))
        listeners.append(listener)

        def run() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(data)

        threading.Thread(target=run, daemon=True).start()
        return listener.getsockname()[1]

    yield start
    for listener in listeners:
        listener.close()


def fetch(port: int) -> tuple[int, HTTPHeaderDict, bytes]:
    """Return status, headers and body of a response."""
    response = single_use_pool().request("GET", f"http://{HOST}:{port}/", timeout=TIMEOUT_S)
    return response.status, response.headers, response.data


@pytest.mark.parametrize("position", ["first", "before-framing", "last"])
@pytest.mark.parametrize("name", MALFORMED_FIELDS)
def test_response_with_a_malformed_field_line_is_none(serve, name, position):
    """The lines behind it were lost, so that chunk sizes were taken for the body."""
    for framing, body in BODIES.values():
        lines = [b"X-Own: 1\r\n", framing]
        index = {"first": 0, "before-framing": 1, "last": 2}[position]
        lines.insert(index, MALFORMED_FIELDS[name])
        with pytest.raises(HTTPError):
            pytest.fail(str(fetch(serve(STATUS_LINE + b"".join(lines) + b"\r\n" + body))))


@pytest.mark.parametrize("name", MALFORMED_FIELDS)
def test_interim_head_with_a_malformed_field_line_makes_the_response_none(serve, name):
    interim = b"HTTP/1.1 100 Continue\r\n" + MALFORMED_FIELDS[name] + b"\r\n"
    with pytest.raises(HTTPError):
        fetch(serve(interim + STATUS_LINE + b"Content-Length: 4\r\n\r\nplan"))


@pytest.mark.parametrize("name", MALFORMED_STATUS_LINES)
def test_response_with_a_malformed_status_line_is_none(serve, name):
    for framing, body in BODIES.values():
        with pytest.raises(HTTPError):
            pytest.fail(str(fetch(serve(MALFORMED_STATUS_LINES[name] + framing + b"\r\n" + body))))


@pytest.mark.parametrize("name", MALFORMED_STATUS_LINES)
def test_malformed_status_line_behind_an_interim_head_makes_the_response_none(serve, name):
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
    with pytest.raises(HTTPError):
        fetch(serve(interim + MALFORMED_STATUS_LINES[name] + b"Content-Length: 4\r\n\r\nplan"))


# Status lines that are unusual and sound, and their status.
SOUND_STATUS_LINES = {
    "no-reason": (b"HTTP/1.1 200 \r\n", 200),
    "no-blank": (b"HTTP/1.1 200\r\n", 200),
    "line-feed-alone": (b"HTTP/1.1 200 OK\n", 200),
    "reason-of-latin-1": (b"HTTP/1.1 404 Nicht gef\xfcllt\x85\r\n", 404),
    "reason-with-tab": (b"HTTP/1.1 500 \tNo \t such: thing\r\n", 500),
    "highest": (b"HTTP/1.1 599 Own\r\n", 599),
    "unknown": (b"HTTP/1.1 299 Own\r\n", 299),
    "version-1.0": (b"HTTP/1.0 200 OK\r\n", 200),
    "version-1.2": (b"HTTP/1.2 200 OK\r\n", 200),
}


@pytest.mark.parametrize("name", SOUND_STATUS_LINES)
def test_unusual_status_line_is_read_as_it_is(serve, name):
    line, expected = SOUND_STATUS_LINES[name]
    for framing, body in BODIES.values():
        status, _, data = fetch(serve(line + framing + b"\r\n" + body))
        assert (status, data) == (expected, b"plan")


@pytest.mark.parametrize("name", MALFORMED_FIELDS)
def test_body_with_a_malformed_trailer_has_no_end(serve, name):
    head, chunk = b"Transfer-Encoding: chunked\r\n\r\n", b"4\r\nplan\r\n"
    for before, after in ((b"", b""), (b"X-After: 1\r\n", b"X-After: 2\r\n")):
        trailers = before + MALFORMED_FIELDS[name] + after
        with pytest.raises(HTTPError):
            pytest.fail(
                str(fetch(serve(STATUS_LINE + head + chunk + b"0\r\n" + trailers + b"\r\n")))
            )


# Heads that may come before a response.
INTERIM_HEADS = {
    "continue": b"HTTP/1.1 100 Continue\r\n\r\n",
    "processing": b"HTTP/1.1 102 Processing\r\n\r\n",
    "early-hints": b"HTTP/1.1 103 Early Hints\r\nLink: </x>; rel=preload\r\nContent-Length: 9\r\n\r\n",
    "sealed": b"HTTP/1.1 103 Early Hints\r\nX-Request-Id: c1\r\nX-Response-Seal: i\r\n\r\n",
    "unknown": b"HTTP/1.1 199 Own\r\nTransfer-Encoding: chunked\r\n\r\n",
    "several": b"HTTP/1.1 103 X\r\n\r\n" * 3 + b"HTTP/1.1 100 Continue\r\n\r\n",
}


@pytest.mark.parametrize("name", INTERIM_HEADS)
def test_interim_head_is_not_taken_for_the_response(serve, name):
    for framing, body in BODIES.values():
        data = INTERIM_HEADS[name] + STATUS_LINE + b"X-Own: 1\r\n" + framing + b"\r\n" + body
        status, headers, received = fetch(serve(data))
        assert (status, headers.getlist("X-Own"), received) == (200, ["1"], b"plan")


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nplan",
        b"HTTP/1.1 101 X\r\nContent-Length: 4\r\n\r\nplan",
        b"HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nplan",
        b"HTTP/1.1 103 X\r\n\r\n",
        b"HTTP/1.1 103 X\r\n\r\nplan",
    ],
)
def test_interim_head_without_a_response_is_none(serve, data):
    """Nobody has asked for another protocol, so that what follows cannot be understood."""
    with pytest.raises(HTTPError):
        pytest.fail(str(fetch(serve(data))))


# Field lines that are unusual and sound, and what they say.
SOUND_FIELDS = {
    "no-blank": (b"X-Own:1\r\n", ["1"]),
    "many-blanks": (b"X-Own: \t 1 \t \r\n", ["1"]),
    "empty": (b"X-Own:\r\n", [""]),
    "tab-within": (b"X-Own: 1\t2\r\n", ["1\t2"]),
    "colons": (b"X-Own: 1:2: 3\r\n", ["1:2: 3"]),
    "latin-1": (b"X-Own: pl\xe4n\x85\xff\r\n", ["pl\u00e4n\x85\u00ff"]),
    "line-feed-alone": (b"X-Own: 1\n", ["1"]),
    "twice": (b"X-Own: 1\r\nx-own: 2\r\n", ["1", "2"]),
    "every-mark": (b"!#$%&'*+-.^_`|~09Az: 2\r\nX-Own: 1\r\n", ["1"]),
    "unclear-parameters": (
        b"Content-Type: multipart/x; boundary*=a; boundary*0=a\r\nX-Own: 1\r\n",
        ["1"],
    ),
    "several-hundred": (b"X-Other: 2\r\n" * 300 + b"X-Own: 1\r\n", ["1"]),
}


@pytest.mark.parametrize("name", SOUND_FIELDS)
def test_unusual_trailer_is_no_part_of_the_response(serve, name):
    head = STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
    trailers = SOUND_FIELDS[name][0] + b"Content-Length: 9\r\n"
    status, headers, data = fetch(serve(head + b"4\r\nplan\r\n0\r\n" + trailers + b"\r\n"))
    assert (status, dict(headers), data) == (200, {"Transfer-Encoding": "chunked"}, b"plan")


@pytest.mark.parametrize("name", SOUND_FIELDS)
def test_unusual_field_line_is_read_as_it_is(serve, name):
    line, values = SOUND_FIELDS[name]
    for framing, body in BODIES.values():
        status, headers, data = fetch(serve(STATUS_LINE + line + framing + b"\r\n" + body))
        assert (status, headers.getlist("X-Own"), data) == (200, values, b"plan")


def probe(port: int):
    submitted: list = []
    client = EngineClient(loop(submitted), PlatformDialect(), "me")

    def call(number: int) -> bool:
        client.probe(fx.ProbeEndpoint(record_at(port), "/health"))
        return submitted[-1].is_reachable

    return call


class ClosingServer(RepeatingServer):
    """Answers one call on each connection, and closes it."""

    def __init__(self, data: bytes) -> None:
        super().__init__([data], "once")

    def serve(self, connection: socket.socket) -> None:
        """Answer the call of a connection."""
        with connection:
            self.read_request(connection)
            connection.sendall(self.last_answer)


# A call of each reader, and a sound answer to it.
READERS = {name: (case.connect, case.answers[0]) for name, case in CASES.items()}
READERS["probe"] = (probe, answer(200))
# Its answer does not count even if it is sound.
del READERS["request-refusal-of-another"]


def make_call(name: str, data: bytes) -> object:
    """Let a reader make its call, and answer with some bytes; return the result, None if it fails."""
    server = ClosingServer(data)
    try:
        return READERS[name][0](server.port)(0)
    except (HTTPError, EntryError, AttributeError):
        return None
    finally:
        server.listener.close()


@pytest.mark.parametrize("line", ["name-with-blank", "name-with-control", "name-missing"])
@pytest.mark.parametrize("name", READERS)
def test_every_reader_takes_a_malformed_head_for_no_answer(name, line):
    """What comes of a call is the same as if its connection had ended within the head."""
    sound = READERS[name][1]
    status_line, end, rest = sound.partition(b"\r\n")
    malformed = status_line + end + MALFORMED_FIELDS[line] + rest
    without_answer = make_call(name, status_line + end + rest[:5])
    assert make_call(name, malformed) == without_answer != make_call(name, sound)
