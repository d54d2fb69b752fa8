"""The decisions of several entries on a virtual clock, without faults."""

import pytest

from poplarhoist.models import AdapterRef, Place
from poplarhoist.replay.bench import Bench


@pytest.mark.parametrize(
    ("entries", "engines", "places"),
    [
        (1, 1, (Place("r1", "r1-a"),)),
        (3, 3, (Place("r1", "r1-a"), Place("r1", "r1-b"))),
        (6, 12, (Place("r1", "r1-a"), Place("r1", "r1-b"), Place("r2", "r2-a"))),
    ],
)
def test_requests_are_answered_by_their_adapter(entries, engines, places):
    bench = Bench(entries=entries, engines=engines, places=places, slots=2)
    bench.configure(adapters=12)
    bench.run(5.0)
    asked = []
    for number in range(60):
        entry = f"entry-{number % entries + 1}"
        asked.append(bench.ask(entry, f"a{number % 12}"))
        bench.run(0.2)
    bench.run(20.0)
    assert bench.violations() == []
    assert [item.refusal for item in asked] == [None] * 60
    answered = [item.answered_by for item in asked]
    assert answered == [AdapterRef(f"a{number % 12}", 1) for number in range(60)]


def test_a_booking_is_run_once_and_replayed():
    bench = Bench(entries=2)
    bench.configure()
    bench.run(5.0)
    first = bench.book("entry-1", "key")
    bench.run(1.0)
    again = bench.book("entry-2", "key")
    bench.run(1.0)
    assert first.completed and not first.replayed
    assert again.replayed
    assert bench.services["booking-1"].runs_by_key == {"key": 1}
