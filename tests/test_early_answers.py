"""Answers that come before the upload was taken: the end of their connection is no end of a body."""

import contextlib
import http.client
import socket
import struct
import time

import pytest
from urllib3.exceptions import HTTPError

from poplarhoist.decisions.gateway.events import Outcome
from poplarhoist.entry.http import single_use_pool
from tests.platform_site import PlatformSite
from tests.platform_standins import SEALED_HEAD, Endpoint, EndpointHandler
from tests.standin_server import HOST
from tests.test_kept_connections import request

# A body that the kernel of the sender takes at once. With the small buffer, that of the receiver takes
# a part of it, else the whole.
UPLOAD = b"x" * 90_000
# A body that is still being written when the answer has been read.
LONG_UPLOAD = b"x" * 3_000_000
SMALL_BUFFER_BYTES = 4096
EVENT = b"id: 1\ndata: piece 1\n\n"
# How an endpoint ends its connection with the upload unread, and whether it has a small buffer.
ENDS = {
    "half-closed": True,
    "closed": False,
    "closed-with-a-part": True,
    "reset": False,
    "reset-with-a-part": True,
}


class EarlyHandler(EndpointHandler):
    """Answers requests without reading their bodies, and ends the connection."""

    def handle_call(self) -> None:
        """Answer a request with a body that has no length."""
        endpoint = self.standin
        if endpoint.answers_left == 0:
            super().handle_call()
            return
        endpoint.record_request(self.command, self.path, {}, b"")
        self.close_connection = True
        endpoint.answers_left -= 1
        if endpoint.reads_body:
            self.read_body()
        head = SEALED_HEAD.format(request_id=self.headers.get("X-Request-Id", "c1"))
        if endpoint.service == "models":
            head += "Content-Type: text/event-stream\r\n"
        self.wfile.write(head.encode() + b"\r\n" + EVENT)
        time.sleep(endpoint.pause_s)
        if endpoint.end.startswith("reset"):
            linger = struct.pack("ii", 1, 0)
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        else:
            self.connection.shutdown(socket.SHUT_WR)
        if endpoint.end == "half-closed":
            time.sleep(endpoint.open_s)
        self.connection.close()

    do_POST = handle_call


class EarlyEndpoint(Endpoint):
    """An endpoint that answers early.

    Attributes
    ----------
    end : str
        How it ends the connection: one of `ENDS`.
    answers_left : int
        Requests that it answers so; all of them if negative.
    pause_s : float
        Seconds between its answer and the end of the connection.
    open_s : float
        Seconds until it closes a connection that it has half closed.
    reads_body : bool
        Whether it reads the body of a request before it answers.
    """

    handler_class = EarlyHandler
    end = ""
    answers_left = -1
    pause_s = 0.0
    open_s = 0.5
    reads_body = False

    def let_end(self, end: str) -> None:
        """Set how it ends connections, and the size of their buffers."""
        self.end = end
        if ENDS[end]:
            listener = self.server.socket
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)


@pytest.fixture
def endpoint():
    endpoint = EarlyEndpoint("e1", "desk")
    yield endpoint
    endpoint.stop()


def post(endpoint: Endpoint, body: bytes) -> bytes:
    """Send a request and return the body of its response."""
    url = f"http://{HOST}:{endpoint.port}/"
    return single_use_pool().request("POST", url, body=body, timeout=5.0).data


@pytest.mark.parametrize("end", ENDS)
def test_body_that_ends_before_the_upload_was_taken_is_not_whole(endpoint, end):
    """The part that had arrived was taken for a complete answer, in some of the tries at least."""
    endpoint.let_end(end)
    for _ in range(20):
        with pytest.raises((HTTPError, OSError)):
            pytest.fail(str(post(endpoint, UPLOAD)))


@pytest.mark.parametrize("pause_s", [0.0, 0.15])
@pytest.mark.parametrize("end", ENDS)
def test_body_that_ends_while_the_upload_is_written_is_not_whole(endpoint, end, pause_s):
    """Other systems returned the part that had arrived as a complete answer."""
    endpoint.let_end(end)
    endpoint.pause_s = pause_s
    for _ in range(5):
        with pytest.raises((HTTPError, OSError)):
            pytest.fail(str(post(endpoint, LONG_UPLOAD)))


@pytest.mark.parametrize("end", ENDS)
def test_attempt_is_broken_if_its_answer_ends_before_the_upload_was_taken(endpoint, end):
    endpoint.let_end(end)
    for number in range(20):
        assert request(endpoint.port, body=UPLOAD)(number) is Outcome.BROKEN


@pytest.mark.parametrize("end", ["half-closed", "closed"])
@pytest.mark.parametrize("body", [b"", b"x"])
def test_body_that_ends_after_the_request_was_taken_is_whole(endpoint, end, body):
    endpoint.let_end(end)
    endpoint.reads_body = True
    for _ in range(20):
        assert post(endpoint, body) == EVENT


@pytest.fixture
def site(tmp_path):
    site = PlatformSite(tmp_path)
    for name, service in (("e1", "models"), ("e2", "models"), ("d1", "desk")):
        site.endpoints[name].stop()
        site.endpoints[name] = EarlyEndpoint(name, service)
        site.endpoints[name].adapters = {"a1": 1}
    try:
        site.start()
        time.sleep(1.0)
        yield site
    finally:
        site.stop()


# Path, early answers of the endpoint, and the status that its caller must get.
@pytest.mark.parametrize(
    ("path", "answers", "expected"),
    [("/once/x", -1, 502), ("/read/x", 1, 200), ("/read/x", -1, 502)],
)
@pytest.mark.parametrize("end", ENDS)
def test_early_answer_without_a_length_is_not_returned(site, end, path, answers, expected):
    endpoint = site.endpoints["d1"]
    endpoint.let_end(end)
    endpoint.answers_left = answers
    status, _, data = site.send_request(path, body=UPLOAD)
    assert status == expected
    assert expected != 200 or data == b"done " + UPLOAD
    assert path != "/once/x" or len(endpoint.requests) == 1


@pytest.mark.parametrize("end", ENDS)
def test_early_stream_without_a_length_does_not_end_as_whole(site, end):
    for name in ("e1", "e2"):
        site.endpoints[name].let_end(end)
    with contextlib.suppress(http.client.IncompleteRead):
        assert site.send_request("/stream/x", "a1", body=UPLOAD)[0] == 502
