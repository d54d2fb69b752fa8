"""The status of an entry and its explanation of what would become of a request."""

import pytest

from poplarhoist import wire
from poplarhoist.decisions.explain import Question, Verdict, explain
from poplarhoist.entry.status import describe_entry
from poplarhoist.models import Reason
from poplarhoist.replay.simulation import Simulation


@pytest.fixture
def bench():
    bench = Simulation(entries=1, engines=1, slots=2)
    bench.configure(adapters=4)
    bench.run(5.0)
    bench.ask("entry-1", "a0")
    bench.run(2.0)
    return bench


def explain_now(bench, model: str, caller: str | None = None, deadline_s: float = 30.0):
    state = bench.entries["entry-1"].state
    known = next(iter(state.config.callers_by_digest.values())).name
    question = Question(model, known if caller is None else caller, deadline_s)
    before = repr(state)
    explanation = explain(state, question, bench.clock.monotonic())
    assert repr(state) == before
    return explanation


@pytest.mark.parametrize(
    ("model", "caller", "verdict", "reason"),
    [
        ("a0", None, Verdict.DISPATCHED, ""),
        ("a0@1", None, Verdict.DISPATCHED, ""),
        ("a1", None, Verdict.WAITS, ""),
        ("a0@7", None, Verdict.REFUSED, Reason.UNKNOWN_VERSION),
        ("none", None, Verdict.REFUSED, Reason.UNKNOWN_ADAPTER),
        ("a0", "nobody", Verdict.REFUSED, Reason.UNKNOWN_CALLER),
    ],
)
def test_explain_predicts_what_happens(bench, model, caller, verdict, reason):
    explanation = explain_now(bench, model, caller)
    assert (explanation.verdict, explanation.reason) == (verdict, reason)
    assert wire.dump(explanation)["verdict"] == verdict
    if verdict is Verdict.DISPATCHED:
        assert explanation.endpoint == "engine-1"
    if caller is None:
        asked = bench.ask("entry-1", model)
        bench.run(5.0)
        assert (asked.refusal.reason if asked.refusal else "") == reason


def test_a_draining_entry_refuses(bench):
    bench.drain("entry-1")
    assert explain_now(bench, "a0").reason == Reason.LEAVING


def test_status_and_explanation_count_waiting_requests(bench):
    for _ in range(3):
        bench.ask("entry-1", "a2")
    state = bench.entries["entry-1"].state
    assert describe_entry(state, bench.clock.monotonic())["queues"] == {"a2@1": 3}
    explanation = explain_now(bench, "a2")
    assert (explanation.verdict, explanation.waiting) == (Verdict.WAITS, 3)
    assert (explanation.lead, explanation.base) == ("entry-1", "base")
    candidate = explanation.candidates[0]
    assert (candidate.endpoint, candidate.resident, candidate.granted) == ("engine-1", False, False)
