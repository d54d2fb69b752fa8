"""The demonstration, run as a program from a shell."""

import re
import subprocess
import sys
import time

from tests.site import ROOT

MAX_DURATION_S = 30.0
EXPECTED_LINES = [
    "80 whole answers, each from the adapter that it named",
    "plans@1 goes to engine-",
    "in force on 3 of 3 entries",
    "the answer under way came whole from version 1, the next one from version 2",
    "it ran once; the second answer is a replay of the first",
    "40 whole answers, each from the adapter that it named",
    "the answer came whole, and entry-3 stopped after it",
]


def test_the_demonstration_completes_every_step_in_time():
    started_at = time.monotonic()
    command = [sys.executable, "-m", "poplarhoist.cli.demo"]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert (result.returncode, result.stderr) == (0, "")
    assert time.monotonic() - started_at < MAX_DURATION_S
    positions = [result.stdout.find(line) for line in EXPECTED_LINES]
    assert -1 not in positions
    assert positions == sorted(positions)
    measures = dict(re.findall(r"^(\S.*?)  +(\S.*)$", result.stdout, re.MULTILINE))
    assert measures["whole answers"] == measures["requests"]
    assert 0.0 < float(measures["batch efficiency"]) <= 1.0
    assert int(measures["loads"]) >= 16
    assert float(measures["first token p50, ms"]) <= float(measures["first token p99, ms"])
