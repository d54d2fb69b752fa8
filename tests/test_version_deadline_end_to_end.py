"""A real entry, and an engine that holds requests back beyond the deadline of a new version."""

import socket
import time

import pytest

from tests.endless_requests import RELAY_LINES, send_bytes
from tests.platform_site import PlatformSite
from tests.platform_standins import BASE_MODEL, Endpoint, EndpointHandler

VERSION_DEADLINE_S = 5.0
# Seconds for which an engine holds requests back, and after which a caller gives up.
STALL_S = 8.0
CALLER_TIMEOUT_S = 10.0
# Seconds for which an entry takes the versions that it reads for old ones.
START_S = 2.5


class StallingHandler(EndpointHandler):
    """Holds streams back until their connection is closed, before the head or behind it."""

    is_streaming = False

    def send_stream(self, request_id: str, last_event_id: int, fault: str) -> None:
        """Send a stream, unless its connection is closed before."""
        self.standin.stream_ids.append(request_id)
        if self.standin.stall == "before-head":
            self.wait_for_close()
        self.is_streaming = True
        super().send_stream(request_id, last_event_id, fault)

    def end_headers(self) -> None:
        """End the head of a response; reports and answers to orders are not held back."""
        super().end_headers()
        if self.standin.stall == "behind-head" and self.is_streaming:
            self.wait_for_close()

    def wait_for_close(self) -> None:
        """Wait until the other side closes; raise an error then."""
        self.connection.settimeout(STALL_S)
        if self.connection.recv(1, socket.MSG_PEEK) == b"":
            self.standin.closed_at.append(time.monotonic())
            self.close_connection = True
            raise ConnectionResetError("closed by the entry")


class StallingEngine(Endpoint):
    """An engine that may hold streams back.

    Attributes
    ----------
    stall : str
        "before-head" or "behind-head"; empty if it holds nothing back.
    stream_ids : list
        Requests that it ran or was to run.
    closed_at : list
        When connections were closed on which it held streams back.
    """

    handler_class = StallingHandler

    def __init__(self, name: str, service: str) -> None:
        self.stall = ""
        self.stream_ids: list[str] = []
        self.closed_at: list[float] = []
        super().__init__(name, service)


@pytest.fixture
def site(tmp_path):
    site = PlatformSite(tmp_path)
    for name in ("e1", "e2"):
        site.endpoints[name].stop()
        site.endpoints[name] = StallingEngine(name, "models")
    try:
        site.start()
        time.sleep(START_S)
        yield site
    finally:
        site.stop()


def ask(site: PlatformSite, address: str, path: str, request_id: str) -> bytes:
    """Send a model request; return what comes back."""
    lines = b"Host: host.test\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 9000\r\n" % request_id.encode()
    lines += b"X-Model: %s/a1\r\nX-Token-Usage: 100,20\r\n" % BASE_MODEL.encode()
    lines += RELAY_LINES if address == "relay" else b""
    data = b"POST %s HTTP/1.1\r\n" % path.encode() + lines + b"Connection: close\r\n\r\n"
    port = site.relay_port if address == "relay" else site.port
    return send_bytes(port, data, CALLER_TIMEOUT_S).received


@pytest.mark.parametrize("address", ["callers", "relay"])
@pytest.mark.parametrize("stall", ["before-head", "behind-head"])
@pytest.mark.parametrize(("path", "status"), [("/resume/x", 200), ("/stream/x", 502)])
def test_request_does_not_begin_on_an_outdated_version(site, path, status, stall, address):
    """It began on the older version when its engine got to it."""
    assert ask(site, address, "/resume/x", "c1").startswith(b"HTTP/1.1 200 ")
    holder, other = site.endpoints["e1"], site.endpoints["e2"]
    if not holder.stream_ids:
        holder, other = other, holder
    holder.stall = stall
    for engine in (holder, other):
        engine.latest_version = 2
    announced_at = time.monotonic()
    site.store.put("versions", "base.a1", {"model": BASE_MODEL, "adapter": "a1", "version": 2})
    site.wait_until(lambda: site.log_lines("version-announced"))
    received = ask(site, address, path, "c2")
    assert received.startswith(b"HTTP/1.1 %d " % status)
    assert "c2" in holder.stream_ids
    site.wait_until(lambda: holder.closed_at)
    (closed_at,) = holder.closed_at
    assert closed_at - announced_at < VERSION_DEADLINE_S
    assert ("c2" in other.stream_ids) == (status == 200)
    assert other.adapters.get("a1") == (2 if status == 200 else None)
    site.wait_until(lambda: site.log_lines("broken-off"))
    (line,) = site.log_lines("broken-off")
    assert (line["caller_id"], line["version"]) == ("c2", 2)
