"""Requests of callers that do not end, or are unclear, are cut off in time and bounded memory."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.endless_requests import (
    BAD_REQUESTS,
    CHUNKED,
    ENDLESS_PARTS,
    HEAD,
    HIDDEN,
    MALFORMED_REQUEST_LINES,
    RELAY_LINES,
    SOUND_REQUESTS,
    send_bytes,
    send_raw,
    send_without_end,
)
from tests.platform_site import PlatformSite

# Seconds after which a request that does not end is cut off: the idle time of the stand-in's
# configuration, and time for a busy machine.
IDLE_TIMEOUT_S = 3.0
CUT_WITHIN_S = IDLE_TIMEOUT_S + 1.0
# The bound on all such connections together, in KB, and their number.
MAX_GROWTH_KB = 32 * 1024
CONNECTION_COUNT = 64
# Lines that a request to an address has, besides those of a caller.
LINES_BY_ADDRESS = {"callers": b"", "relay": RELAY_LINES}
PACES = {"fast": (65536, 0.0), "a-byte-at-a-time": (1, 0.02)}


class IdleSite(PlatformSite):
    """A site with a short idle time."""

    def configure(self, version: int = 1, *more: dict) -> None:
        """Write the configuration."""
        super().configure(version, *more)
        document = self.store.objects["config", "main"]["spec"]
        document["limits"]["idleTimeoutMs"] = int(IDLE_TIMEOUT_S * 1000)
        self.store.put("config", "main", document)

    def memory_kb(self, name: str) -> int:
        """Return a size of the entry's memory; VmHWM is the largest since it was reset."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith(name))


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site = IdleSite(tmp_path_factory.mktemp("site"))
    try:
        site.start()
        yield site
    finally:
        site.stop()


def port_of(site, address: str) -> int:
    """Return the port of one of the entry's addresses."""
    return {"callers": site.port, "ready": site.ready_port, "relay": site.relay_port}[address]


@pytest.mark.parametrize("address", ["callers", "ready", "relay"])
@pytest.mark.parametrize("pace", PACES)
@pytest.mark.parametrize("part", ENDLESS_PARTS)
def test_request_of_which_a_part_does_not_end_is_cut_off(site, part, pace, address):
    piece_bytes, pause_s = PACES[pace]
    Path(f"/proc/{site.process.pid}/clear_refs").write_text("5")
    before_kb = site.memory_kb("VmRSS")
    ending = send_without_end(
        port_of(site, address), "/once/x", part, piece_bytes, pause_s, CUT_WITHIN_S + 2.0
    )
    # The readiness and metrics addresses know no idle time.
    assert ending.seconds < CUT_WITHIN_S or (address == "ready" and pace != "fast")
    assert set(ending.statuses()) <= {400, 404, 408, 413, 431}
    assert site.memory_kb("VmHWM") - before_kb < MAX_GROWTH_KB / CONNECTION_COUNT + 3072


@pytest.mark.parametrize("part", ["chunk-size", "chunk-extension", "trailer", "chunks"])
def test_many_requests_without_end_take_bounded_memory_and_leave_others_time(site, part):
    Path(f"/proc/{site.process.pid}/clear_refs").write_text("5")
    before_kb = site.memory_kb("VmRSS")
    with ThreadPoolExecutor(CONNECTION_COUNT) as pool:
        arguments = (site.port, "/once/x", part, 65536, 0.0, CUT_WITHIN_S + 2.0)
        endings = [pool.submit(send_without_end, *arguments) for _ in range(CONNECTION_COUNT)]
        time.sleep(0.3)
        started_at = time.monotonic()
        assert site.send_request("/read/x", method="GET")[0] == 200
        assert time.monotonic() - started_at < 1.5
        assert all(ending.result().seconds < CUT_WITHIN_S + 2.0 for ending in endings)
    assert site.memory_kb("VmHWM") - before_kb < MAX_GROWTH_KB


@pytest.mark.parametrize("name", BAD_REQUESTS)
@pytest.mark.parametrize("address", ["callers", "relay"])
def test_request_with_unclear_framing_is_refused_and_hides_no_other(site, name, address):
    site.endpoints["d1"].requests.clear()
    data = LINES_BY_ADDRESS[address] + BAD_REQUESTS[name] + HIDDEN
    ending = send_raw(port_of(site, address), "/once/x", data)
    assert ending.statuses() == [400]
    assert ending.seconds < CUT_WITHIN_S
    assert site.endpoints["d1"].requests == []


@pytest.mark.parametrize("name", MALFORMED_REQUEST_LINES)
@pytest.mark.parametrize("address", ["callers", "relay"])
def test_request_with_a_malformed_first_line_is_refused_and_hides_no_other(site, name, address):
    """Other readers take blanks and versions differently."""
    site.endpoints["d1"].requests.clear()
    _, _, fields = (HEAD % b"/").partition(b"\r\n")
    fields += LINES_BY_ADDRESS[address] + b"Content-Length: 0\r\n\r\n"
    data = MALFORMED_REQUEST_LINES[name] + fields + HIDDEN
    ending = send_bytes(port_of(site, address), data)
    assert ending.statuses() == [400]
    assert site.endpoints["d1"].requests == []


@pytest.mark.parametrize("rest", [b"", b"X-A", b"X-A: a\r", b"X-A: a\r\n", b"X-A: a\r\n\r"])
def test_request_whose_head_breaks_off_is_not_run(site, rest):
    """The lines that had arrived were taken for a whole head, so that it ran without its body."""
    site.endpoints["d1"].requests.clear()
    data = HEAD % b"/once/x" + rest
    assert set(send_bytes(site.port, data, ends_sending=True).statuses()) <= {400}
    assert site.endpoints["d1"].requests == []


@pytest.mark.parametrize(
    ("version", "option", "count"),
    [
        (b"1.1", b"X-A: a", 2),
        (b"1.1", b"Connection: X-A, Close", 1),
        (b"1.1", b"Connection: X-A\r\nConnection: close", 1),
        (b"1.2", b"X-A: a", 2),
        (b"1.0", b"X-A: a", 1),
        (b"1.0", b"Connection: keep-alive", 2),
    ],
)
def test_connection_stays_open_as_the_head_says(site, version, option, count):
    """An option was only read if it stood alone."""
    head = (HEAD % b"/once/x").replace(b"HTTP/1.1", b"HTTP/" + version)
    ending = send_bytes(site.port, head + option + b"\r\n\r\n" + HIDDEN, 1.0)
    assert ending.statuses() == [200] * count


def test_coding_in_a_request_of_http_1_0_is_refused(site):
    """Servers of that version know no chunks, and read a body without them."""
    site.endpoints["d1"].requests.clear()
    head = (HEAD % b"/once/x").replace(b"HTTP/1.1", b"HTTP/1.0")
    ending = send_bytes(site.port, head + CHUNKED + b"4\r\nplan\r\n0\r\n\r\n" + HIDDEN)
    assert ending.statuses() == [400]
    assert site.endpoints["d1"].requests == []


@pytest.mark.parametrize("name", SOUND_REQUESTS)
def test_unusual_but_whole_request_is_forwarded(site, name):
    site.endpoints["d1"].requests.clear()
    rest, body = SOUND_REQUESTS[name]
    ending = send_raw(site.port, "/once/x", rest + HIDDEN, 1.0)
    assert ending.statuses() == [200, 200]
    assert [request[3] for request in site.endpoints["d1"].requests] == [body, b""]


def test_sound_request_of_another_entry_is_forwarded(site):
    ending = send_raw(site.relay_port, "/once/x", LINES_BY_ADDRESS["relay"] + b"\r\n", 1.0)
    assert ending.statuses() == [200]


def test_slow_upload_within_the_idle_time_is_read(site):
    """The body comes byte by byte, in two thirds of the time that it may take."""
    results = []

    def slow_body():
        for _ in range(20):
            time.sleep(IDLE_TIMEOUT_S * 2 / 3 / 20)
            yield b"x"

    thread = threading.Thread(
        target=lambda: results.append(site.send_request("/once/x", body=slow_body())[0])
    )
    thread.start()
    thread.join()
    assert results == [200]


@pytest.mark.parametrize("rest", [b"Content-Length: 9999999\r\n\r\n", CHUNKED + b"0\r\n\r\n"])
def test_entry_without_configuration_refuses_no_body_for_its_size(tmp_path, rest):
    """A body beyond the default limit got 413, which callers do not repeat."""
    site = PlatformSite(tmp_path)
    try:
        site.launch()
        site.wait_until(lambda: site.get_status() == 503)
        assert send_raw(site.port, "/once/x", rest).statuses() == [503]
    finally:
        site.stop()


@pytest.mark.parametrize("rest", [b"Content-Length: 100001\r\n\r\n", CHUNKED + b"x\r\n", b"\r\n"])
def test_entry_that_cannot_read_a_relayed_request_says_that_it_has_not_run(site, rest):
    """Without that, the other entry takes it for one that may have run."""
    assert b"Relay-Refusal: not-run\r\n" in send_raw(site.relay_port, "/once/x", rest).received
