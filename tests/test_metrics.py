"""Every counter and histogram that the code names is declared with as many labels."""

import ast
from pathlib import Path

import pytest

import poplarhoist
from poplarhoist.decisions.effects import Count
from poplarhoist.decisions.gateway.effects import Dispatch
from poplarhoist.decisions.gateway.events import Outcome
from poplarhoist.entry.http import BodyTooLong
from poplarhoist.entry.message_grammar import BadFraming, BadHead
from poplarhoist.entry.metrics import COUNTERS, HISTOGRAMS
from poplarhoist.entry.strict_response import HeadTooLong
from tests.gateway import Gateway, effects_of, only_effect, plain_endpoint

LABELS_BY_NAME = {name: labels for name, (_, labels) in (COUNTERS | HISTOGRAMS).items()}
# Effects of the decisions, and methods of `Metrics`, that take a name and a tuple of labels.
CALLS = ("Count", "Observe", "count", "observe")


def find_uses() -> list[tuple[str, str, int | None]]:
    """Return place, name and number of labels of each use; None if the labels are no literal."""
    root = Path(poplarhoist.__file__).parent
    uses = []
    for path in sorted(root.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            function = node.func
            name = function.attr if isinstance(function, ast.Attribute) else None
            name = function.id if isinstance(function, ast.Name) else name
            of_metrics = isinstance(function, ast.Name) or "metrics" in ast.unparse(function)
            first = node.args[0]
            if name not in CALLS or not of_metrics or not isinstance(first, ast.Constant):
                continue
            labels = node.args[1] if len(node.args) > 1 else ast.Tuple([])
            count = len(labels.elts) if isinstance(labels, ast.Tuple) else None
            place = f"{path.relative_to(root)}:{node.lineno}"
            uses.append((place, first.value, count))
    return uses


USES = find_uses()


def test_uses_are_found():
    assert len(USES) > 30
    assert {name for _, name, _ in USES} >= {"refused", "attempt_ended", "wait_seconds"}


@pytest.mark.parametrize(("place", "name", "count"), USES, ids=[use[0] for use in USES])
def test_use_of_a_metric_is_declared(place, name, count):
    assert name in LABELS_BY_NAME
    assert count in (None, len(LABELS_BY_NAME[name]))


@pytest.mark.parametrize(
    ("error", "is_counted"),
    [
        (HeadTooLong, True),
        (BodyTooLong, True),
        (BadHead, True),
        (BadFraming, True),
        (TimeoutError, False),
    ],
)
def test_response_past_a_bound_is_counted_with_the_bound(error, is_counted):
    gateway = Gateway()
    gateway.configure()
    gateway.list_endpoints(plain_endpoint(1))
    dispatch = only_effect(Dispatch, gateway.request("/read/x")[1])
    effects = gateway.end_attempt(dispatch, Outcome.BROKEN, reason=error.__name__)
    counted = [count for count in effects_of(Count, effects) if count.labels == (error.__name__,)]
    assert [count.counter for count in counted] == ["response_past_bound"] * is_counted
