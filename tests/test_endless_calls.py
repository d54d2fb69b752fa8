"""Calls of entries and of the operators' tool end in time, whatever is sent to them without end."""

import json
import subprocess
import sys

import pytest

from tests.endless_endpoint import EVENT_PARTS, PARTS, EndlessServer
from tests.site import ROOT

PACES = {"slow": (1, 0.02), "fast": (65536, 0.0)}
# For each call: seconds that it may take by its settings, and how it must end.
CALLS = {
    "platform-get": (0.5, "unknown"),
    "platform-list": (0.5, "unknown"),
    "platform-watch": (0.5, "unknown"),
    "peer": (2.0, "False"),
    "report": (2.0, "ProtocolError|BodyTooLong|HeadTooLong"),
    "order": (0.5, "unknown"),
    "plain": (2.0, "broken"),
    "stream": (8.0, "broken"),
    "cancel": (0.8, "1.0"),
    "operator": (2.0, "no answer"),
}
TIMING_SLACK_S = 1.0
# What eight responses at once may add to the memory of the process: 1 MB each, and what it needs to
# make calls at all. A single object or listing of the platform may be larger.
MAX_GROWTH_KB = {"platform-get": 80_000, "platform-list": 300_000, "platform-watch": 300_000}
USUAL_GROWTH_KB = 8_192 + 8_192


def find_faults(call: str, pace: str, mutation: str = "") -> list[str]:
    """Make a call to servers of all kinds, and tell what is wrong with how it ended."""
    parts = [part for part in PARTS if call == "stream" or part not in EVENT_PARTS]
    servers = [EndlessServer(part, *PACES[pace]) for part in parts]
    program = f"import tests.endless_calls as calls\n{mutation}\ncalls.main_from_arguments()"
    command = [sys.executable, "-W", "ignore", "-c", program, call]
    command += [str(server.port) for server in servers]
    try:
        output = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=30)
    except subprocess.TimeoutExpired:
        return ["goes on without end"]
    finally:
        for server in servers:
            server.listener.close()
    if output.returncode:
        return [output.stderr]
    results, growth_kb = json.loads(output.stdout)
    limit_s, ends = CALLS[call]
    faults = []
    for part, (took_s, end) in zip(parts, results, strict=True):
        if end not in ends.split("|"):
            faults.append(f"{part}: ended with {end}")
        if took_s > limit_s + TIMING_SLACK_S:
            faults.append(f"{part}: took {took_s:.1f} s")
    if growth_kb > MAX_GROWTH_KB.get(call, USUAL_GROWTH_KB):
        faults.append(f"grew by {growth_kb} KB")
    return faults


@pytest.mark.parametrize("pace", PACES)
@pytest.mark.parametrize("call", CALLS)
def test_calls_end_although_their_responses_do_not(call, pace):
    assert find_faults(call, pace) == []


# Statements that remove one bound, and the call and pace that must show it. Where the bound is one of
# bytes, the time is longer, so that a slow machine shows it by the duration.
MUTANTS = {
    "time-of-calls": (
        "import contextlib, poplarhoist.entry.http as http\n"
        "http.eventlet.Timeout = lambda seconds, error: contextlib.nullcontext()",
        ("platform-get", "slow"),
    ),
    "bytes-of-calls": (
        "import poplarhoist.entry.endpoint_effects as effects\n"
        "effects.MAX_RESPONSE_BYTES, effects.REPORT_TIMEOUT_S = 1 << 26, 8.0",
        ("report", "fast"),
    ),
    "bytes-of-answers": (
        "import attrs\n"
        "calls.STREAMS = attrs.evolve(calls.STREAMS, answer_bytes=1 << 26, whole_s=8.0)",
        ("plain", "fast"),
    ),
    "bytes-of-events": (
        "import attrs, poplarhoist.entry.attempts as attempts\n"
        "attempts.MAX_EVENT_BYTES = 1 << 26\n"
        "calls.STREAMS = attrs.evolve(calls.STREAMS, whole_s=14.0)",
        ("stream", "fast"),
    ),
    "time-of-attempts": (
        "import attrs\ncalls.STREAMS = attrs.evolve(calls.STREAMS, whole_s=60.0)",
        ("stream", "slow"),
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_missing_bound_is_noticed(name):
    mutation, (call, pace) = MUTANTS[name]
    faults = find_faults(call, pace, mutation)
    assert faults
    print(f"mutant {name} caught: {faults[0]}")
