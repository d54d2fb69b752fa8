"""Engines that stop within the head of a stream: nothing that looks whole reaches the caller."""

import contextlib
import http.client

import pytest

from tests.platform_site import PlatformSite
from tests.platform_standins import EVENTS_PER_STREAM, Endpoint, EndpointHandler
from tests.standin_server import HOST


class HeadCut(Exception):
    """Ends a response after its first bytes."""


class CutFile:
    """Passes the first bytes on, and raises `HeadCut` then."""

    def __init__(self, file, left: int) -> None:
        self.file, self.left = file, left

    def write(self, data: bytes) -> int:
        part = data[: self.left]
        self.left -= len(part)
        self.file.write(part)
        if len(part) < len(data):
            self.file.flush()
            raise HeadCut
        return len(data)

    def __getattr__(self, name: str):
        return getattr(self.file, name)


class CuttingHandler(EndpointHandler):
    """Cuts off the answers to callers' requests."""

    def handle_request(self, body: bytes) -> None:
        """Serve a caller's request, up to the byte at which the endpoint stops."""
        endpoint, whole_file = self.standin, self.wfile
        if endpoint.sent_bytes is not None and endpoint.cuts_left != 0:
            endpoint.cuts_left -= 1
            self.wfile = CutFile(whole_file, endpoint.sent_bytes)
        try:
            super().handle_request(body)
        except HeadCut:
            self.close_connection = True
            if endpoint.is_reset:
                self.reset_connection()
        finally:
            self.wfile = whole_file


class CuttingEndpoint(Endpoint):
    """An endpoint that stops within its answers.

    Attributes
    ----------
    sent_bytes : int or None
        Bytes of each answer that it sends; None for whole answers.
    cuts_left : int
        Answers that it cuts off; all of them if negative.
    is_reset : bool
        Whether it resets the connection then.
    """

    handler_class = CuttingHandler
    sent_bytes: int | None = None
    cuts_left = -1
    is_reset = False


@pytest.fixture
def site(tmp_path):
    site = PlatformSite(tmp_path)
    site.endpoints |= {name: CuttingEndpoint(name, "models") for name in ("e1", "e2")}
    try:
        site.start()
        yield site
    finally:
        site.stop()


def read_stream(site: PlatformSite, number: int, path: str) -> tuple[int, bytes | None]:
    """Ask for a stream; return its status, and its body, None if that is not complete."""
    connection = http.client.HTTPConnection(HOST, site.port, timeout=10)
    headers = {"Host": "host.test", "X-Request-Id": f"c{number}", "X-Deadline-Ms": "6000"}
    headers |= {"X-Model": "base/a1", "X-Token-Usage": "100,20"}
    with contextlib.closing(connection):
        connection.request("POST", path, f"body {number}", headers)
        response = connection.getresponse()
        try:
            return response.status, response.read()
        except http.client.IncompleteRead:
            return response.status, None


def head_length(site: PlatformSite, framing: str) -> int:
    """Return about how many bytes the head of a stream has."""
    return (
        len(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: c100\r\n"
            "X-Response-Seal: seal-e1\r\n\r\n"
        )
        + {"chunked": 28, "length": 20, "connection": 0}[framing]
    )


@pytest.mark.parametrize("framing", ["chunked", "length", "connection"])
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize(("path", "cuts"), [("/stream/x", -1), ("/resume/x", -1), ("/resume/x", 1)])
def test_head_that_breaks_off_is_no_answer(site, framing, is_reset, path, cuts):
    """A client got 200 with an empty or short body, framed as whole."""
    assert read_stream(site, 0, path)[0] == 200
    step = 5 if is_reset else 1
    for sent_bytes in range(0, head_length(site, framing), step):
        for name in ("e1", "e2"):
            endpoint = site.endpoints[name]
            endpoint.sent_bytes, endpoint.is_reset, endpoint.cuts_left = sent_bytes, is_reset, cuts
            endpoint.stream_framing = framing
        if cuts > 0:
            site.endpoints["e2"].cuts_left = 0
        status, body = read_stream(site, 100 + sent_bytes, path)
        is_whole = body is not None and body.count(b"id: ") == EVENTS_PER_STREAM
        assert status == 502 or (status == 200 and is_whole), (sent_bytes, status, body)
        assert cuts > 0 or status == 502
