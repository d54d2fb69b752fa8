"""A draining entry takes no new requests and finishes those that it has."""

import pytest

from poplarhoist.models import Place, Preset, Ran, Reason
from poplarhoist.replay.simulation import Simulation

PLACE = Place("r1", "r1-a")
MAX_STOP_S = 5.0


def make_site(**options):
    bench = Simulation(**{"entries": 3, "engines": 3, "slots": 4, **options})
    bench.configure(adapters=16)
    bench.run(5.0)
    return bench


def find_lead_name(bench):
    return next(name for name, e in bench.entries.items() if e.alive and e.state.boards)


def test_a_draining_entry_refuses_new_requests_and_finishes_the_others():
    bench = make_site()
    name = find_lead_name(bench)
    running = bench.ask(name, "a0", tokens=100)
    bench.run(1.5)
    assert running.dispatched_endpoints
    bench.store.slowdown = 6.0
    waiting = [bench.ask(name, f"a{number}") for number in range(1, 4)]
    bench.run(0.1)
    booked = bench.book(name, "key")
    bench.drain(name)
    late = [bench.ask(name, "a0"), bench.book(name, "other")]
    assert [(i.refusal.reason, i.refusal.ran) for i in late] == [(Reason.LEAVING, Ran.NO)] * 2
    bench.run(20.0)
    assert all(item.completed for item in (running, booked, *waiting))
    assert bench.entries[name].stopped
    assert bench.violations() == []


def test_an_idle_entry_stops_soon_and_hands_over_the_lead():
    bench = make_site()
    name = find_lead_name(bench)
    bench.ask(name, "a0")
    bench.run(2.0)
    bench.drain(name)
    bench.run(MAX_STOP_S)
    assert bench.entries[name].stopped
    cold = bench.ask(find_lead_name(bench), "a9")
    bench.run(5.0)
    assert cold.completed


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("engines", [3, 6])
def test_a_rolling_replacement_of_all_entries_cuts_no_request(seed, engines):
    bench = make_site(entries=4, engines=engines, seed=seed)
    bench.platform.list_lag_s = 2.0
    asked, bookings, stops = [], [], []

    def load(seconds):
        end = bench.clock.seconds + seconds
        while bench.clock.seconds < end:
            number = len(asked)
            open_entries = [
                name
                for name, entry in sorted(bench.entries.items())
                if entry.alive and not entry.stopped and not entry.state.draining
                if entry.state.config.index is not None
            ]
            name = open_entries[number % len(open_entries)]
            asked.append(bench.ask(name, f"a{number % 8}", tokens=10 + number % 40))
            bookings.append(bench.book(name, f"key-{number}"))
            bench.run(0.05)

    load(3.0)
    for number in range(1, 5):
        bench.add_entry(f"new-{number}", PLACE)
        load(1.0)
        bench.drain(f"entry-{number}")
        load(6.0)
        stops.append(bench.entries[f"entry-{number}"].stopped)
    bench.run(20.0)
    assert stops == [True] * 4
    assert [item for item in (*asked, *bookings) if not item.completed] == []
    assert set(bench.services["booking-1"].runs_by_key.values()) == {1}
    waits = sorted(item.first_at - item.sent_at for item in asked)
    assert waits[-1] <= Preset("ordinary").max_wait_s / 2
    assert bench.violations() == []
