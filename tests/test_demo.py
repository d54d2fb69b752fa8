"""The demonstration, run as a newcomer runs it."""

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


def test_the_demonstration_tells_its_story_in_time():
    started_at = time.monotonic()
    command = [sys.executable, "-m", "poplarhoist.cli.demo"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert (done.returncode, done.stderr) == (0, "")
    assert time.monotonic() - started_at < MAX_DURATION_S
    places = [done.stdout.find(line) for line in EXPECTED_LINES]
    assert -1 not in places
    assert places == sorted(places)
    measured = dict(re.findall(r"^(\S.*?)  +(\S.*)$", done.stdout, re.MULTILINE))
    assert measured["whole answers"] == measured["requests"]
    assert 0.0 < float(measured["batch efficiency"]) <= 1.0
    assert int(measured["loads"]) >= 16
    assert float(measured["first token p50, ms"]) <= float(measured["first token p99, ms"])
