"""Idle connections that are used at the moment at which a stopping entry closes them."""

import random
import socket
import threading
import time

import pytest

from tests.platform_site import raw_request
from tests.standin_server import HOST

CONNECTIONS = 120
# Seconds after SIGTERM at which the entry closes idle connections, and within which all are used.
CLOSED_AFTER_S, USED_WITHIN_S = 2.4, 0.2


def exchange(connection: socket.socket, name: str, method: str) -> bytes:
    """Send a request over a connection, and return what arrives; empty if the connection ends."""
    target = b"/once/x" if method == "POST" else b"/read/x"
    try:
        connection.sendall(raw_request(method, target, name))
        return connection.recv(65536)
    except OSError:
        return b""


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_request_on_an_idle_connection_that_is_closed_runs_only_if_it_is_answered(site, method):
    """Requests that had arrived were passed on after the connection had been shut down."""
    rng = random.Random(1)
    connections = [socket.create_connection((HOST, site.port), 5.0) for _ in range(CONNECTIONS)]
    for number, connection in enumerate(connections):
        assert exchange(connection, f"first-{number}", method).startswith(b"HTTP/1.1 200")
    answers: dict[str, bytes] = {}
    site.terminate()
    terminated_at = time.monotonic()

    def use(number: int, connection: socket.socket, delay_s: float) -> None:
        time.sleep(max(0.0, terminated_at + delay_s - time.monotonic()))
        answers[f"late-{number}"] = exchange(connection, f"late-{number}", method)

    begins_s = CLOSED_AFTER_S - USED_WITHIN_S / 2
    threads = [
        threading.Thread(
            target=use, args=(number, connection, begins_s + USED_WITHIN_S * rng.random())
        )
        for number, connection in enumerate(connections)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    site.process.wait(timeout=10)
    ran = {headers["x-request-id"] for _, _, headers, _ in site.endpoints["d1"].requests}
    late = {name for name in ran if name.startswith("late-")}
    assert late
    assert {name for name in late if not answers[name].startswith(b"HTTP/1.1 200")} == set()
