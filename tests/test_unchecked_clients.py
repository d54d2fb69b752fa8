"""Clients that nobody checked do not exhaust an entry's memory or its descriptors.

The crowds stay within the limits on a single request. The bounds are those of the machine that the
settings name, not measured figures. Only what an entry holds is checked: no times, no shares.
"""

import fcntl
import re
import tempfile
import time
from itertools import cycle, islice
from pathlib import Path

import pytest
from attrs import frozen

from tests.crowd import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    PIECE_BYTES,
    Crowd,
    Request,
    body,
    chunks,
    odd_lines,
    short_lines,
)
from tests.platform_site import PlatformSite
from tests.platform_standins import Endpoint, EndpointHandler
from tests.site import ROOT

LOCK_PATH = Path(tempfile.gettempdir()) / "poplarhoist-test-unchecked-clients"
# The machine of the crowds: an entry has about 41 MB at rest.
MEMORY_MB = 96
MAX_FDS = 1024
FEW_FDS = 256
# The smallest machine of a site.
SMALLEST_MEMORY_MB = 160
# Seconds in which a crowd sends what it can, and for which it is watched after that.
SENDING_S = 12.0
WATCHED_S = 2.0
# Bytes of an answer that is passed on as it arrives.
LONG_ANSWER_BYTES = 1048576
LIMIT_PATTERN = re.compile(r"\{\{#(limits\.\w+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)


class SlowHandler(EndpointHandler):
    """Answers after a second, for which an entry holds requests; long where the path says so."""

    def handle_request(self, body: bytes) -> None:
        """Answer a request."""
        headers = {name.lower(): value for name, value in self.headers.items()}
        self.standin.record_request(self.command, self.path, {}, b"%d" % len(body))
        data = b"done"
        if self.path.startswith("/read/long"):
            data = b"a" * LONG_ANSWER_BYTES
        elif not self.path.startswith("/read/soon"):
            time.sleep(1.0)
        request_id = headers.get("x-request-id", "")
        self.respond(200, data, X_Request_Id=request_id, X_Response_Seal="s")


class SlowEndpoint(Endpoint):
    """An endpoint of the plain service with room for all clients of a crowd."""

    handler_class = SlowHandler

    def record(self, state: str = "ready") -> dict:
        """Return the endpoint's record for the store."""
        return super().record(state) | {"slots": 1024}


def rendered_limits(**limits: int) -> str:
    """Return the lines that the template of the settings has for some limits of a machine."""
    text = (ROOT / "deploy" / "settings.toml").read_text()
    lines = {name.removeprefix("limits."): line for name, line in LIMIT_PATTERN.findall(text)}
    return "".join(
        lines.get(name, "").replace("{{limits." + name + "}}", str(value))
        for name, value in limits.items()
    )


class LimitedSite(PlatformSite):
    """A site whose entry runs on a machine of some memory and descriptors."""

    def __init__(self, directory: Path, **limits: int) -> None:
        super().__init__(directory)
        self.endpoints["d1"].stop()
        self.endpoints["d1"] = SlowEndpoint("d1", "desk")
        text = self.settings_path.read_text()
        self.settings_path.write_text(rendered_limits(**limits) + text)

    def configure(self, version: int = 1, *more: dict) -> None:
        """Write the configuration, with the limits on requests that sites have."""
        super().configure(version, *more)
        document = self.store.objects["config", "main"]["spec"]
        # Heads have longer than on a site, as the machine of the tests may be busy.
        document["limits"] = {"maxBodyBytes": MAX_BODY_BYTES, "maxHeaderBytes": MAX_HEAD_BYTES}
        document["limits"] |= {"headerTimeoutMs": 10000, "idleTimeoutMs": 15000}
        self.store.put("config", "main", document)

    def memory_mb(self) -> float:
        """Return the most memory that the entry has had."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1024


@pytest.fixture(autouse=True)
def alone():
    """Let one test of this kind run at a time, over all processes of tests."""
    with LOCK_PATH.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@pytest.fixture
def start_site(tmp_path):
    """Return a function that starts a site with limits of a machine."""
    sites = []

    def start(**limits: int) -> LimitedSite:
        site = LimitedSite(tmp_path, **limits)
        sites.append(site)
        site.start()
        return site

    yield start
    for site in sites:
        site.stop()


@frozen
class CrowdCase:
    """A number of clients that send requests in turn to one of an entry's addresses."""

    client_count: int
    requests: tuple[Request, ...]
    address: str = "callers"


HEADS = (short_lines(b"\r\n"), odd_lines(b"\r\n"))
HEADS_WITHOUT_END = (short_lines(b""), odd_lines(b""))
BODY_WITH_MISSING_BYTE = body(1)
LARGE_CHUNK_COUNT = MAX_BODY_BYTES // PIECE_BYTES - 1
LARGE_CHUNKS = chunks(PIECE_BYTES, LARGE_CHUNK_COUNT, b"0\r\n\r\n")
LARGE_CHUNKS_WITHOUT_END = chunks(PIECE_BYTES, LARGE_CHUNK_COUNT, b"")
TINY_CHUNKS = chunks(16, 200_000, b"0\r\n\r\n")
TINY_CHUNKS_WITHOUT_END = chunks(16, 200_000, b"")
# About 2,600 parts in one header line.
PROMPT_PARTS = Request(
    b"X-Model: base/a1\r\nX-Token-Usage: 100,20\r\nX-Prompt-Prefix: ",
    b"1f:1," * 13,
    200,
    b"1f:1\r\nContent-Length: 0\r\n\r\n",
)
LONG_ANSWER = Request(b"Content-Length: 0\r\n\r\n", path=b"/read/long")
NOTHING = Request(b"")

CROWDS = {
    "heads-of-short-lines": CrowdCase(160, HEADS[:1]),
    "heads-of-odd-lines": CrowdCase(160, HEADS[1:]),
    "heads-of-many-prompt-parts": CrowdCase(240, (PROMPT_PARTS,)),
    "heads-without-end": CrowdCase(600, HEADS_WITHOUT_END),
    "bodies-whole": CrowdCase(48, (body(0),)),
    "bodies-a-byte-short": CrowdCase(48, (BODY_WITH_MISSING_BYTE,)),
    "bodies-of-several-sizes-a-byte-short": CrowdCase(
        96, (BODY_WITH_MISSING_BYTE, Request(b"Content-Length: 1048577\r\n\r\n", b"b" * 1024, 1024))
    ),
    "large-chunks-whole": CrowdCase(48, (LARGE_CHUNKS,)),
    "large-chunks-without-end": CrowdCase(48, (LARGE_CHUNKS_WITHOUT_END,)),
    "tiny-chunks-whole": CrowdCase(48, (TINY_CHUNKS,)),
    "tiny-chunks-without-end": CrowdCase(48, (TINY_CHUNKS_WITHOUT_END,)),
    "responses-not-read": CrowdCase(160, (LONG_ANSWER,)),
    "all-at-once": CrowdCase(
        160,
        (
            *HEADS,
            *HEADS_WITHOUT_END,
            body(0),
            BODY_WITH_MISSING_BYTE,
            LARGE_CHUNKS,
            LARGE_CHUNKS_WITHOUT_END,
            TINY_CHUNKS_WITHOUT_END,
            LONG_ANSWER,
        ),
    ),
    "bodies-to-be-relayed": CrowdCase(48, (BODY_WITH_MISSING_BYTE, body(0)), "relay"),
    "heads-to-be-relayed": CrowdCase(600, HEADS_WITHOUT_END, "relay"),
    "heads-for-readiness": CrowdCase(600, HEADS_WITHOUT_END, "ready"),
    "heads-for-copies": CrowdCase(600, HEADS_WITHOUT_END, "inner"),
}
CONNECTIONS = {
    f"heads-to-{address}": CrowdCase(400, (NOTHING,), address)
    for address in ("callers", "relay", "ready", "inner")
}


def port_of(site: LimitedSite, address: str) -> int:
    """Return the port of one of the entry's addresses."""
    ports = {"callers": site.port, "ready": site.ready_port}
    return (ports | {"relay": site.relay_port, "inner": site.inner_port})[address]


def check_crowd(site: LimitedSite, case: CrowdCase, max_fds: int) -> None:
    """Let a crowd send; check what the entry holds, and that it answers an ordinary request."""
    peak_fds = 0

    def is_past_bounds() -> bool:
        nonlocal peak_fds
        peak_fds = max(peak_fds, site.descriptor_count())
        return site.memory_mb() >= MEMORY_MB

    crowd = Crowd()
    try:
        requests = list(islice(cycle(case.requests), case.client_count))
        crowd.send(port_of(site, case.address), requests, SENDING_S, is_past_bounds)
        ends_at = time.monotonic() + WATCHED_S
        while not is_past_bounds() and time.monotonic() < ends_at:
            time.sleep(0.05)
        # The crowd stays, as far as it was not closed.
        status = site.post("ordinary", "/read/soon", b"plan")
        is_past_bounds()
    finally:
        crowd.close()
    assert site.process.poll() is None
    assert site.memory_mb() < MEMORY_MB
    assert peak_fds <= max_fds
    assert status == 200
    assert site.get_status() == 200


@pytest.mark.parametrize("case", CROWDS.values(), ids=CROWDS)
def test_crowd_does_not_exhaust_the_memory(start_site, case):
    check_crowd(start_site(memoryMb=MEMORY_MB, maxFds=MAX_FDS), case, MAX_FDS)


@pytest.mark.parametrize("case", CONNECTIONS.values(), ids=CONNECTIONS)
def test_crowd_does_not_exhaust_the_descriptors(start_site, case):
    check_crowd(start_site(memoryMb=MEMORY_MB, maxFds=FEW_FDS), case, FEW_FDS)


SINGLE_REQUESTS = {
    "body": (body(0), MAX_BODY_BYTES),
    "head": (short_lines(b"Content-Length: 0\r\n\r\n"), 0),
    "odd-head": (odd_lines(b"Content-Length: 0\r\n\r\n"), 0),
    "large-chunks": (LARGE_CHUNKS, PIECE_BYTES * LARGE_CHUNK_COUNT),
    "tiny-chunks": (TINY_CHUNKS, 3_200_000),
}


@pytest.mark.parametrize(("request_", "size"), SINGLE_REQUESTS.values(), ids=SINGLE_REQUESTS)
def test_single_request_within_the_limits_is_served_on_the_smallest_machine(
    start_site, request_, size
):
    site = start_site(memoryMb=SMALLEST_MEMORY_MB)
    crowd = Crowd()
    try:
        crowd.send(site.port, [request_], SENDING_S, lambda: False)
        client = crowd.clients[0].connection
        client.settimeout(10.0)
        received = client.recv(4096)
    finally:
        crowd.close()
    assert received.startswith(b"HTTP/1.1 200 ")
    assert [request[3] for request in site.endpoints["d1"].requests] == [b"%d" % size]


MANY_LINES = {f"x-{number}": "a" for number in range(1600)}
MANY_PARTS = {"X-Model": "base/a1", "X-Prompt-Prefix": ",".join(["1f:1"] * 2600)}
# Requests of one caller, one after the other. Each held hundreds of kilobytes after its end.
SEQUENCES = {
    "many-lines": MANY_LINES,
    "many-parts": MANY_PARTS,
    "value-that-a-library-uses": MANY_PARTS | {"X-Note": "@@@SKIP_HEADER@@@"},
}


@pytest.mark.parametrize("headers", SEQUENCES.values(), ids=SEQUENCES)
def test_requests_that_have_ended_hold_no_memory(start_site, headers):
    """They were kept until the deadlines of their routes, or for good."""
    site = start_site(memoryMb=MEMORY_MB, maxFds=MAX_FDS)
    for number in range(300):
        assert site.post(f"c{number}", "/read/soon", b"", **headers) == 200
        assert site.memory_mb() < MEMORY_MB, f"after {number} requests"
