"""A gateway entry starts fast: it loads nothing that it does not use."""

import json
import subprocess
import sys

from tests.site import ROOT

PROGRAM = """
import json, sys
import poplarhoist.platform.__main__
print(json.dumps(sorted(sys.modules)))
"""
# A resolver of names, and types of the other interface, whose classes are costly to build.
UNUSED_MODULES = {
    "dns",
    "poplarhoist.decisions.effects",
    "poplarhoist.decisions.events",
    "poplarhoist.decisions.messages",
    "poplarhoist.models",
    "poplarhoist.settings.models",
    "werkzeug",
}


def test_entry_does_not_load_what_only_delays_its_start():
    command = [sys.executable, "-W", "ignore", "-c", PROGRAM]
    output = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    modules = set(json.loads(output.stdout))
    assert "poplarhoist.gateway.server" in modules
    assert modules & UNUSED_MODULES == set()
