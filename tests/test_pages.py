"""The operations page documents each counter, refusal reason, state change and exit status."""

import re

import pytest

from poplarhoist.entry.metrics import COUNTERS
from poplarhoist.models import Reason
from poplarhoist.status import ExitStatus
from tests.site import ROOT

OPERATIONS_PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
SOURCES = [path.read_text() for path in (ROOT / "poplarhoist").rglob("*.py")]
STATE_CHANGES = {
    name for text in SOURCES for name in re.findall(r'LogChange\(\s*"([a-z-]+)"', text)
}
EXIT_STATUSES = [str(int(status)) for status in ExitStatus if status < ExitStatus.INTERRUPTED]


@pytest.mark.parametrize(
    ("kind", "names"),
    [
        ("counters", sorted(COUNTERS)),
        ("reasons", [str(reason) for reason in Reason]),
        ("changes of state", sorted(STATE_CHANGES)),
    ],
)
def test_operations_page_names_everything(kind, names):
    assert len(names) > 3
    assert [name for name in names if f"`{name}`" not in OPERATIONS_PAGE] == [], kind


def test_operations_page_lists_exit_statuses():
    assert [status for status in EXIT_STATUSES if f"\n| {status} |" not in OPERATIONS_PAGE] == []
