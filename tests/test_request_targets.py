"""Heads of requests: targets reach endpoints as they were sent, and long lines are read."""

import socket
import time
from urllib.request import urlopen

import pytest

from tests.platform_site import PlatformSite, raw_request
from tests.standin_server import HOST

CATCH_ALL = {
    "name": "all",
    "host": "host.test",
    "pathPrefix": "/",
    "routeKind": "safe",
    "service": "desk",
    "timeoutMs": 3000,
    "targetLatencyMs": 1000,
    "priority": 1,
    "maxAttempts": 1,
}


@pytest.fixture
def site(site):
    site.configure(2, CATCH_ALL)
    site.wait_until(lambda: len(site.log_lines("configuration")) == 2)
    return site


def send(site: PlatformSite, target: bytes, *more_lines: bytes) -> bytes:
    """Send a request with a target; return the first bytes of the answer."""
    with socket.create_connection((HOST, site.port), timeout=5.0) as connection:
        connection.sendall(raw_request("GET", target, "c1", *more_lines))
        return connection.recv(65536)


@pytest.mark.parametrize(
    "target",
    [
        b"//lookup/7",
        b"///lookup//7/",
        b"//",
        b"/lookup/../7",
        b"/lookup/%2f%2F/7?a=//b&c",
        b"/lookup/7?",
        b"/read//7;a=1",
        b"//read/7",
    ],
)
def test_target_is_passed_on_unchanged(site, target):
    """Several slashes at its beginning became one, so that another path was run."""
    assert send(site, target).startswith(b"HTTP/1.1 200 ")
    assert [path for _, path, _, _ in site.endpoints["d1"].requests] == [target.decode()]


@pytest.mark.parametrize(
    ("target", "path"),
    [
        (b"http://host.test/read/7?a=http://b/", "/read/7?a=http://b/"),
        (b"HTTP://HOST.test:80//read/7", "//read/7"),
        (b"http://host.test", "/"),
        (b"http://host.test?a=1", "/?a=1"),
    ],
)
def test_target_in_absolute_form_names_host_and_path(site, target, path):
    """It got 404; its host comes before that of the header."""
    with socket.create_connection((HOST, site.port), timeout=5.0) as connection:
        head = raw_request("GET", target, "c1").replace(b"Host: host.test", b"Host: other.test")
        connection.sendall(head)
        assert connection.recv(65536).startswith(b"HTTP/1.1 200 ")
    ((_, received, headers, _),) = site.endpoints["d1"].requests
    assert received == path
    assert headers["host"].lower().startswith("host.test")


@pytest.mark.parametrize("target", ["/lookup/ü".encode(), b"/lookup/\xff", b"/read/\x80?a"])
def test_target_that_is_not_ascii_is_refused_and_leaves_nothing_behind(site, target):
    """It was answered with 500, and counted as running at the endpoint for good."""
    assert send(site, target).startswith(b"HTTP/1.1 400 ")
    assert site.endpoints["d1"].requests == []
    assert send(site, b"/read/7").startswith(b"HTTP/1.1 200 ")
    site.check_no_faults()


# Bytes of one header line, or of the target; the configuration allows heads of 16,384 bytes.
@pytest.mark.parametrize("length", [8000, 8192, 12_000, 16_000])
@pytest.mark.parametrize("where", ["header", "target"])
def test_head_within_the_configured_limit_is_read(site, where, length):
    """A line of 12 kB was refused with 400, by a limit of the library."""
    if where == "header":
        answer = send(site, b"/read/7", b"X-Survey: " + b"a" * (length - 10))
    else:
        answer = send(site, b"/read/" + b"a" * (length - 6))
    assert answer.startswith(b"HTTP/1.1 200 ")


def test_head_without_end_is_refused(site):
    answer = send(site, b"/read/7", b"X-Survey: " + b"a" * 70_000)
    assert answer[9:12] in (b"400", b"431")
    assert site.endpoints["d1"].requests == []


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"GET\r\n\r\n", 400),
        (b"POST /read/7\r\n\r\n", 400),
        (b"GET /read/7 HTTP/one\r\n\r\n", 400),
        (b"GET /read/7 HTTP/2.0\r\n\r\n", 505),
        (b"GET /read/" + b"a" * 70_000 + b" HTTP/1.1\r\n\r\n", 414),
        (b"GET /read/7 HTTP/1.1\r\nX-A: " + b"a" * 70_000 + b"\r\n\r\n", 400),
        (b"GET /read/7 HTTP/1.1\r\n" + b"X-A: aaaa\r\n" * 7000 + b"\r\n", 400),
        (b"GET /read/7 HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
    ],
)
def test_head_that_is_refused_is_answered_logged_and_counted(site, request_bytes, status):
    """Refusals of the library left no trace, and some had no status line."""
    with socket.create_connection((HOST, site.port), timeout=5.0) as connection:
        connection.sendall(request_bytes)
        assert connection.recv(65536).startswith(b"HTTP/1.1 %d " % status)
    site.wait_until(lambda: site.log_lines("request-not-read"))
    (line,) = site.log_lines("request-not-read")
    assert (line["step"], line["status"], line["caller"]) == ("head", status, HOST)
    assert line["detail"]
    with urlopen(f"http://{HOST}:{site.ready_port}/metrics") as response:
        counted = f'poplarhoist_request_unreadable_total{{status="{status}"}} 1.0'
        assert counted in response.read().decode()


@pytest.mark.parametrize("pieces", [(b"\r\n",), (b"\r\n\r\n",), (b"\r", b"\n")])
@pytest.mark.parametrize("pause_s", [0.0, 0.2])
def test_empty_lines_before_a_request_do_not_close_its_connection(site, pieces, pause_s):
    """The connection was closed without an answer."""
    with socket.create_connection((HOST, site.port), timeout=5.0) as connection:
        for number in range(2):
            for piece in pieces:
                connection.sendall(piece)
                time.sleep(pause_s)
            connection.sendall(raw_request("GET", b"/read/7", f"c{number}"))
            assert connection.recv(65536).startswith(b"HTTP/1.1 200 ")


def test_connection_with_nothing_but_empty_lines_is_closed(site):
    with socket.create_connection((HOST, site.port), timeout=5.0) as connection:
        connection.sendall(b"\r\n" * 100)
        assert connection.recv(65536) == b""
