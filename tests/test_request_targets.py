"""Targets of requests reach endpoints as their callers sent them."""

import socket

import pytest

from tests.platform_site import PlatformSite
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
def site(tmp_path):
    site = PlatformSite(tmp_path)
    try:
        site.start()
        site.configure(2, CATCH_ALL)
        site.wait_until(lambda: len(site.log_lines("configuration")) == 2)
        yield site
    finally:
        site.stop()


def send(site: PlatformSite, target: bytes) -> bytes:
    """Send a request with a target; return the first bytes of the answer."""
    with socket.create_connection((HOST, site.port), timeout=5.0) as connection:
        head = b"GET " + target + b" HTTP/1.1\r\nHost: host.test\r\nX-Request-Id: c1\r\n"
        connection.sendall(head + b"X-Deadline-Ms: 3000\r\n\r\n")
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


@pytest.mark.parametrize("target", ["/lookup/ü".encode(), b"/lookup/\xff", b"/read/\x80?a"])
def test_target_that_is_not_ascii_is_refused_and_leaves_nothing_behind(site, target):
    """It was answered with 500, and counted as running at the endpoint for good."""
    assert send(site, target).startswith(b"HTTP/1.1 400 ")
    assert site.endpoints["d1"].requests == []
    assert send(site, b"/read/7").startswith(b"HTTP/1.1 200 ")
    site.check_no_faults()
