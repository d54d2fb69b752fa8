"""Requests in a simulation without faults are answered by the right adapter and once."""

import pytest

from poplarhoist.models import AdapterRef, Place
from poplarhoist.replay.simulation import Simulation


@pytest.mark.parametrize(
    ("entries", "engines", "places"),
    [
        (1, 1, (Place("r1", "r1-a"),)),
        (3, 3, (Place("r1", "r1-a"), Place("r1", "r1-b"))),
        (6, 12, (Place("r1", "r1-a"), Place("r1", "r1-b"), Place("r2", "r2-a"))),
    ],
)
def test_requests_are_answered_by_their_adapter(entries, engines, places):
    sim = Simulation(entries=entries, engines=engines, places=places, slots=2)
    sim.configure(adapters=12)
    sim.run(5.0)
    records = []
    for number in range(60):
        entry = f"entry-{number % entries + 1}"
        records.append(sim.ask(entry, f"a{number % 12}"))
        sim.run(0.2)
    sim.run(20.0)
    assert sim.violations() == []
    assert [item.refusal for item in records] == [None] * 60
    answered = [item.answered_by for item in records]
    assert answered == [AdapterRef(f"a{number % 12}", 1) for number in range(60)]


def test_a_booking_is_run_once_and_replayed():
    sim = Simulation(entries=2)
    sim.configure()
    sim.run(5.0)
    first = sim.book("entry-1", "key")
    sim.run(1.0)
    again = sim.book("entry-2", "key")
    sim.run(1.0)
    assert first.completed and not first.replayed
    assert again.replayed
    assert sim.services["booking-1"].runs_by_key == {"key": 1}
