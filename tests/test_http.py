"""Responses that break off are errors: in their head, in a chunk size, or by a reset."""

import socket
import struct
import threading
import time

import eventlet.green.socket
import pytest
from urllib3.exceptions import HTTPError

from poplarhoist.clock import SystemClock
from poplarhoist.decisions.gateway.events import CallStatus
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.entry.http import single_use_pool
from poplarhoist.entry.strict_response import SocketReader
from poplarhoist.gateway.interfaces import WatchSpec
from poplarhoist.platform.store import STALL_S, ObjectStore

HOST = "127.0.0.1"
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
TIMEOUT_S = 5.0


@pytest.fixture
def serve():
    """Return a function that sends bytes to the next connection and ends it; it returns the port.

    The connection stays silent for some seconds before, if that is asked for.
    """
    listeners = []

    def start(data: bytes, is_reset: bool = False, silent_s: float = 0.0) -> int:
        listener = socket.create_server((HOST, 0))
        listeners.append(listener)

        def run():
            connection, _ = listener.accept()
            connection.recv(65536)
            connection.sendall(data)
            time.sleep(silent_s)
            if is_reset:
                # Lets the client read the data, which a reset would discard.
                time.sleep(0.2)
                linger = struct.pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            connection.close()

        threading.Thread(target=run, daemon=True).start()
        return listener.getsockname()[1]

    yield start
    for listener in listeners:
        listener.close()


def fetch(port: int) -> bytes:
    url = f"http://{HOST}:{port}/"
    return single_use_pool().request("GET", url, timeout=TIMEOUT_S).data


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (OK_HEAD + b"Content-Length: 4\r\n\r\nplan", b"plan"),
        (OK_HEAD + b"\r\nplan", b"plan"),
        (CHUNKED_HEAD + b"4\r\nplan\r\n0\r\n\r\n", b"plan"),
    ],
)
def test_whole_response_is_read(serve, data, expected):
    assert fetch(serve(data)) == expected


@pytest.mark.parametrize(
    ("data", "is_reset"),
    [
        (b"", False),
        (b"HTTP/1.1 200", False),
        (OK_HEAD, False),
        (OK_HEAD + b"X-Name: val", False),
        (OK_HEAD + b"X-Name: value\r\n", False),
        (OK_HEAD + b"Content-Length: 4\r\n\r\npl", False),
        (CHUNKED_HEAD + b"4\r\nplan\r\n", False),
        (CHUNKED_HEAD + b"4\r\nplan\r\n0", False),
        (CHUNKED_HEAD + b"4\r\npl", False),
        (OK_HEAD + b"\r\nplan", True),
        (OK_HEAD + b"X-Name: value\r\n", True),
    ],
)
def test_response_that_breaks_off_is_not_taken_for_whole(serve, data, is_reset):
    with pytest.raises(HTTPError):
        fetch(serve(data, is_reset))


@pytest.mark.parametrize("is_reset", [False, True])
def test_reset_is_told_from_a_close_on_a_socket_of_eventlet(serve, is_reset):
    connection = eventlet.green.socket.create_connection((HOST, serve(b"plan", is_reset)))
    connection.sendall(b"GET")
    reader = SocketReader(connection)
    assert reader.read(10) == b"plan"
    if is_reset:
        with pytest.raises(ConnectionResetError):
            reader.read(10)
    else:
        assert reader.read(10) == b""
    reader.close()
    connection.close()


@pytest.mark.parametrize("data", [OK_HEAD, OK_HEAD + b"Content-Length: 40\r\n\r\n{}"])
def test_store_response_that_breaks_off_is_a_failed_call(serve, data):
    store = ObjectStore(f"{HOST}:{serve(data)}", SystemClock())
    assert store.read_all("servers").status is CallStatus.UNKNOWN


def test_watch_whose_response_stalls_fails_long_before_the_longest_watch(serve):
    """It is not restarted otherwise, and an entry would not learn of changes meanwhile."""
    port = serve(OK_HEAD + b"Content-Length: 40\r\n\r\n{", silent_s=9.0)
    store = ObjectStore(f"{HOST}:{port}", SystemClock())
    began_at = time.monotonic()
    changes = store.watch(WatchSpec("config", long_poll_s=8.0), Position(0, 1), True)
    assert changes.status is CallStatus.UNKNOWN
    assert time.monotonic() - began_at < STALL_S + 1.0
