"""Calls of a gateway's entry end in time and with bounded memory, whatever is sent to them without end."""

import itertools
import json
import subprocess
import sys

import pytest

from poplarhoist.clock import SystemClock
from poplarhoist.decisions.gateway.events import CallStatus
from poplarhoist.platform import store as store_module
from tests.endless_endpoint import EVENT_PARTS, PARTS, EndlessServer
from tests.site import ROOT

PACES = {"slow": (1, 0.02), "fast": (65536, 0.0)}
# For each call: calls at once to each kind of server, and how they must end. Those of lists and watches
# are of all kinds of records.
CALLS = {
    "probe": (8, "reachable False"),
    "check": (8, "crashed False"),
    "report": (8, "report None"),
    "order": (8, "unknown"),
    "store-list": (1, "unknown"),
    "store-watch": (1, "unknown"),
    "store-write": (2, "unknown"),
    "copy": (2, "copy None"),
    "relay": (8, "broken|timed-out"),
}
# Calls at once to one server that sends bodies as fast as it can. A lead reads the reports of all its
# engines at once.
BODY_CALLS = {"report": 60, "check": 60, "store-list": 1, "store-watch": 1, "copy": 1, "relay": 60}
# Bounds of the calls are below a second, four for those of the store.
LONGEST_S = {"store-list": 6.0, "store-watch": 6.0, "store-write": 6.0}
USUAL_LONGEST_S = 3.0
# The smallest machine has 160 MB, of which an idle entry takes less than 100.
MAX_ALLOCATED_KB = 60 * 1024


def find_faults(call: str, pace: str, parts: list[str], count: int) -> list[str]:
    """Make calls to servers of some kinds at once, and tell what is wrong with how they ended."""
    servers = [EndlessServer(part, *PACES[pace]) for part in parts]
    expected = CALLS[call][1]
    ports = [str(server.port) for server in servers]
    command = [sys.executable, "-W", "ignore", "-m", "tests.endless_gateway_calls"]
    try:
        output = subprocess.run(
            [*command, call, str(count), *ports],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
        )
    finally:
        for server in servers:
            server.listener.close()
    if output.returncode:
        return [output.stderr]
    ends, allocated_kb = json.loads(output.stdout)
    names = [part for part in parts for _ in range(count)]
    longest_s = LONGEST_S.get(call, USUAL_LONGEST_S)
    faults = []
    for part, (took_s, end) in zip(names, ends, strict=True):
        if end not in expected.split("|"):
            faults.append(f"{part}: ended with {end}")
        if took_s > longest_s:
            faults.append(f"{part}: took {took_s:.1f} s")
    if allocated_kb > MAX_ALLOCATED_KB:
        faults.append(f"allocated {allocated_kb} KB")
    return faults


@pytest.mark.parametrize("pace", PACES)
@pytest.mark.parametrize("call", CALLS)
def test_calls_to_responses_without_end_take_bounded_time_and_memory(call, pace):
    """A faulty peer must not end the process that calls it, or keep its threads forever."""
    parts = [part for part in PARTS if part not in EVENT_PARTS]
    assert find_faults(call, pace, parts, CALLS[call][0]) == []


@pytest.mark.parametrize("call", BODY_CALLS)
def test_long_bodies_at_once_take_bounded_memory(call):
    """Each is within the bound of its call, but not all of them within the machine's memory."""
    assert find_faults(call, "fast", ["body"], BODY_CALLS[call]) == []


PAGE_COUNT = 10_000


@pytest.mark.parametrize("names", [itertools.repeat("a1"), map(str, range(PAGE_COUNT))])
def test_list_whose_pages_do_not_end_is_given_up(monkeypatch, names):
    """Each page is short; the store says that there are more after each."""
    pages = []

    def send_page(pool, method, path, total_s, max_bytes, on_head, on_bytes, *args, **options):
        assert len(pages) < PAGE_COUNT, "goes on without end"
        item = {"metadata": {"name": next(names), "revision": 1}, "spec": "x" * 100_000}
        pages.append(json.dumps({"items": [item], "truncated": True, "currentRev": 1}).encode())
        on_bytes(len(pages[-1]))
        return 200, pages[-1]

    monkeypatch.setattr(store_module, "request_bounded", send_page)
    store = store_module.ObjectStore("127.0.0.1:1", SystemClock())
    assert store.read_all("versions").status is CallStatus.UNKNOWN
    assert sum(map(len, pages)) < 20_000_000
    assert store.held_bytes == 0
