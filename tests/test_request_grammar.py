"""Requests with odd bytes, against h11: what runs is what another strict reader reads."""

import re
import socket
from collections.abc import Callable

import eventlet.wsgi
import h11
from hypothesis import example, given

from poplarhoist.entry.protocol import StrictProtocol
from tests.odd_bytes import FUZZ_SETTINGS, odd_messages

FIELDS = b"Host: host.test\r\nX-Request-Id: c1\r\n"
HIDDEN = b"POST /once/hidden HTTP/1.1\r\n" + FIELDS + b"Content-Length: 0\r\n\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n" % len(HIDDEN) + HIDDEN
CHUNK = b"%x\r\n%b\r\n" % (len(HIDDEN), HIDDEN)
SOUND_REQUESTS = (
    b"POST /once/a HTTP/1.1\r\n" + FIELDS + LENGTH,
    b"POST /once/a HTTP/1.1\r\nX-Note: a\r\n" + FIELDS + LENGTH + HIDDEN,
    b"PUT /a?b=c HTTP/1.1\r\n"
    + FIELDS
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + CHUNK
    + b"0\r\n\r\n",
    b"PUT /a HTTP/1.1\r\n"
    + FIELDS
    + b"Transfer-Encoding: chunked\r\n\r\n4;a=b\r\nplan\r\n"
    + CHUNK
    + b"0\r\nX-After: 1\r\n\r\n"
    + HIDDEN,
    b"GET /read/a HTTP/1.1\r\n" + FIELDS + b"Connection: close\r\n\r\n" + HIDDEN,
    b"POST /once/a HTTP/1.0\r\n" + FIELDS + LENGTH,
)
ODD_LINES = (
    b"\r\r\n",
    b"\r",
    b"Host: other.test\r\n",
    b" HTTP/1.1",
    b"#",
    b"Connection: close\r\n",
)
# What this reader takes and h11 may not: blanks before the extension of a chunk size, and lengths and
# codings among trailers, which say nothing there.
FRAMING_FIELDS = rb"(?:.+\r\n)*(?:Content-Length|Transfer-Encoding):"
ACCEPTED_HERE_ALONE = re.compile(rb"[\t ];|\r\n0+(?:;.*)?\r\n" + FRAMING_FIELDS)

EMPTY_LINES = re.compile(rb"\A(?:\r\n)+")

Request = tuple[bytes, bytes, list[tuple[bytes, bytes]], bytes]


class SilentLog:
    """Takes log lines of the library."""

    def write(self, line: str) -> None:
        """Drop a line."""

    info = debug = error = write


def read(data: bytes) -> list[Request]:
    """Return method, target, headers and body of the requests that run, as entries read them."""
    requests = []

    def application(environ: dict, start_response: Callable) -> list[bytes]:
        protocol = environ["protocol"]
        body = environ["wsgi.input"].read()
        length = environ.get("CONTENT_LENGTH")
        if length is not None and len(body) != int(length):
            protocol.close_connection = 1
        else:
            pairs = [
                (name.lower().encode(), value.encode("iso-8859-1"))
                for name, value in environ["headers_raw"]
            ]
            requests.append((protocol.command.encode(), protocol.path.encode(), pairs, body))
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    class Protocol(StrictProtocol):
        """Hands itself to the application."""

        def get_environ(self) -> dict:
            return super().get_environ() | {"protocol": self}

    caller, connection = socket.socketpair()
    with caller, connection:
        caller.sendall(data)
        caller.shutdown(socket.SHUT_WR)
        server = eventlet.wsgi.Server(
            connection, ("", 0), application, SilentLog(), keepalive=True, debug=False
        )
        Protocol([("caller", 0), connection, eventlet.wsgi.STATE_IDLE], server)
    return requests


def read_by_h11(data: bytes) -> list[Request]:
    """Return the same as h11 reads it; empty lines before a request are passed over."""
    requests: list[Request] = []
    while data := EMPTY_LINES.sub(b"", data):
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=65536)
        request = read_one_by_h11(connection, data)
        if request is None:
            break
        requests.append(request)
        connection.send(h11.Response(status_code=200, headers=[("Content-Length", "0")]))
        connection.send(h11.EndOfMessage())
        if connection.our_state is not h11.DONE:
            break
        data, _ = connection.trailing_data
    return requests


def read_one_by_h11(connection: h11.Connection, data: bytes) -> Request | None:
    """Return the first request; None if there is none."""
    connection.receive_data(data)
    connection.receive_data(b"")
    head, body = None, b""
    try:
        while True:
            event = connection.next_event()
            if isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return head.method, head.target, list(head.headers), body
            else:
                return None
    except h11.RemoteProtocolError:
        return None


def without_framing(requests: list[Request]) -> list[Request]:
    """Return requests without the fields that h11 rewrites, those of lengths and codings."""
    framing = (b"content-length", b"transfer-encoding")
    return [
        (method, target, [pair for pair in headers if pair[0] not in framing], body)
        for method, target, headers, body in requests
    ]


@FUZZ_SETTINGS
@given(odd_messages(SOUND_REQUESTS, ODD_LINES))
@example(b"POST /a HTTP/1.1\r\n" + FIELDS + b"X-Note: a\r\r\n" + LENGTH)
@example(b"POST /a HTTP/1.1\r\n" + FIELDS + b"Transfer-Encoding: chunked\x85\r\n\r\n" + CHUNK)
def test_request_that_runs_is_that_for_another_strict_reader(data):
    """Lines of a head were lost, so that a body was run as a request of its own."""
    requests = read(data)
    # h11 refuses a request without a host; here it finds no route.
    has_hosts = all(b"host" in dict(headers) for _, _, headers, _ in requests)
    if not has_hosts or ACCEPTED_HERE_ALONE.search(data):
        return
    by_h11 = read_by_h11(data)
    assert without_framing(requests) == without_framing(by_h11)[: len(requests)]


def test_sound_requests_are_read_alike():
    for data in SOUND_REQUESTS:
        requests = read(data)
        assert requests
        assert without_framing(requests) == without_framing(read_by_h11(data))
