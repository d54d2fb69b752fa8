"""HEAD requests: nothing stands on the connection after the head of their answer."""

import socket

import pytest

from tests.platform_site import raw_request
from tests.standin_server import HOST


def send(connection: socket.socket, method: str, path: str) -> bytes:
    """Send a request and return what has arrived of its answer."""
    connection.sendall(raw_request(method, path.encode(), method))
    return connection.recv(65536)


# Port of the site, path of the HEAD request, and its status: what is refused, answered by the entry
# itself, and answered by an endpoint.
@pytest.mark.parametrize(
    ("port", "path", "status"),
    [
        ("port", "/gone/x", 404),
        ("port", "/read/x", 503),
        ("ready_port", "/metrics", 200),
        ("ready_port", "/api/ready", 200),
    ],
)
def test_answer_to_head_has_no_body(site, port, path, status):
    """A body of our own stood where the next answer on the connection was due."""
    if status == 503:
        site.store.remove("servers", "d1")
        site.wait_until(lambda: site.log_lines("endpoint-gone"))
    with socket.create_connection((HOST, getattr(site, port)), timeout=5.0) as connection:
        answer = send(connection, "HEAD", path)
        assert answer.startswith(f"HTTP/1.1 {status} ".encode())
        assert answer.endswith(b"\r\n\r\n")
        assert answer.count(b"\r\n\r\n") == 1
        second_path = "/gone/x" if port == "port" else "/api/ready"
        assert send(connection, "GET", second_path).startswith(b"HTTP/1.1 ")
