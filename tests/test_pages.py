"""The operators' page names everything that an operator may meet."""

import re

import pytest

from poplarhoist.entry.metrics import COUNTERS
from poplarhoist.models import Reason
from poplarhoist.status import ExitStatus
from tests.site import ROOT

PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
SOURCES = [path.read_text() for path in (ROOT / "poplarhoist").rglob("*.py")]
CHANGES = {name for text in SOURCES for name in re.findall(r'LogChange\(\s*"([a-z-]+)"', text)}
STATUSES = [str(int(status)) for status in ExitStatus if status < ExitStatus.INTERRUPTED]


@pytest.mark.parametrize(
    ("kind", "names"),
    [
        ("counters", sorted(COUNTERS)),
        ("reasons", [str(reason) for reason in Reason]),
        ("changes of state", sorted(CHANGES)),
    ],
)
def test_the_page_names_all(kind, names):
    assert len(names) > 3
    assert [name for name in names if f"`{name}`" not in PAGE] == [], kind


def test_the_page_tells_each_exit_status():
    assert [status for status in STATUSES if f"\n| {status} |" not in PAGE] == []
