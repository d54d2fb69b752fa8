"""Responses with odd bytes, against h11: what is read of one is what another strict reader reads.

FUZZ_EXAMPLES=100000 plays so many examples, with fresh seeds.
"""

import contextlib
import re
import socket
from http.client import HTTPException

import h11
from hypothesis import example, given

from poplarhoist.entry.strict_response import StrictResponse
from tests.odd_bytes import FUZZ_SETTINGS, odd_messages

FIELDS = b"X-Request-Id: c1\r\nX-Response-Seal: s\r\n"
CHUNKED = FIELDS + b"Transfer-Encoding: chunked\r\n\r\n4\r\nplan\r\n"
SOUND_RESPONSES = (
    b"HTTP/1.1 200 OK\r\n" + FIELDS + b"Content-Length: 4\r\n\r\nplan",
    b"HTTP/1.1 200 OK\r\n" + FIELDS + b"\r\nplan",
    b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"3;a=b\r\nned\r\n0\r\n\r\n",
    b"HTTP/1.1 503 X\r\n" + CHUNKED + b"0\r\nX-After: 1\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.0 404 \r\n" + FIELDS + b"\r\nno",
)
# What this reader takes and h11 may not: lines that end without a carriage return, blanks before the
# extension of a chunk size, and lengths and codings among trailers and in interim heads, which say
# nothing there.
FRAMING_FIELDS = rb"(?:.+\r\n)*(?:Content-Length|Transfer-Encoding):"
ACCEPTED_HERE_ALONE = re.compile(
    rb"(?<!\r)\n|[\t ];|\r\n0+(?:;.*)?\r\n" + FRAMING_FIELDS + rb"|HTTP/1.[0-9] 1" + FRAMING_FIELDS
)

Response = tuple[int, list[tuple[bytes, bytes]], bytes]


def read(data: bytes) -> Response | None:
    """Return status, headers and body of a response, None if it is broken, as entries read it."""
    client, server = socket.socketpair()
    with client, server:
        server.sendall(data)
        server.shutdown(socket.SHUT_WR)
        response = StrictResponse(client, method="GET")
        with contextlib.closing(response):
            try:
                response.begin()
                body = response.read()
            except (HTTPException, OSError):
                return None
            headers = [
                (name.lower().encode(), value.encode("iso-8859-1"))
                for name, value in response.headers.items()
            ]
            return response.status, headers, body


def read_by_h11(data: bytes) -> Response | None:
    """Return the same as h11 reads it."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("Host", "host.test")]))
    connection.send(h11.EndOfMessage())
    head, body = None, b""
    try:
        connection.receive_data(data)
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(b"")
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return head.status_code, list(head.headers), body
            elif not isinstance(event, h11.InformationalResponse):
                return None
    except h11.RemoteProtocolError:
        return None


def without_lengths(response: Response) -> Response:
    """Return a response without the fields that h11 rewrites, those of lengths and codings."""
    status, headers, body = response
    own = [pair for pair in headers if pair[0] not in (b"content-length", b"transfer-encoding")]
    return status, own, body


@FUZZ_SETTINGS
@given(odd_messages(SOUND_RESPONSES))
@example(
    b"HTTP/1.1 200 OK\r\n" + FIELDS + b"X Bad: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
)
def test_response_that_is_taken_for_whole_is_that_for_another_strict_reader(data):
    """A mutation in a head let its framing be read as a body."""
    response = read(data)
    if response is None or ACCEPTED_HERE_ALONE.search(data):
        return
    by_h11 = read_by_h11(data)
    assert by_h11 is not None
    assert without_lengths(response) == without_lengths(by_h11)


def test_sound_responses_are_read_alike():
    for data in SOUND_RESPONSES:
        assert without_lengths(read(data)) == without_lengths(read_by_h11(data))
