"""Benches that grow along one dimension."""

import random
from collections.abc import Callable

from attrs import frozen

from poplarhoist.decisions.limits import Limits
from poplarhoist.models import Adapter, Place, Preset, VersionState
from poplarhoist.publish import Draft
from poplarhoist.replay.bench import Bench
from poplarhoist.replay.traces import Zipf

PLACES = (Place("r1", "r1-a"), Place("r1", "r1-b"), Place("r2", "r2-a"))
SETTLE_S = 8.0
ASKS_PER_S = 10
SEED = 1
LONG_S = 1000.0
FAST_STORE = Limits(store_loads_per_s=200.0, store_in_flight=200, load_s=0.05, grant_idle_s=LONG_S)


@frozen
class Dimension:
    """A quantity that grows, the sizes to measure at, and the maker of the bench."""

    name: str
    sizes: tuple[int, ...]
    make: Callable[[int], Bench]


def site(entries=3, engines=12, adapters=1000, slots=8, limits=None, preset=None) -> Bench:
    """Return a bench whose entries are in service."""
    bench = Bench(entries, engines, slots, places=PLACES, limits=limits, seed=SEED)
    bench.configure(adapters, preset)
    bench.run(SETTLE_S)
    return bench


def ask_often(bench: Bench, adapters: int) -> Bench:
    """Let requests arrive at a steady rate for as long as the bench runs."""
    source = random.Random(SEED)
    zipf = Zipf(adapters, 1.0)
    names = list(bench.entries)

    def ask() -> None:
        bench.ask(source.choice(names), f"a{zipf.draw(source)}", tokens=16)
        bench.clock.after(1.0 / ASKS_PER_S, ask)

    ask()
    return bench


def with_entries(count: int) -> Bench:
    """Return a bench of so many entries."""
    return ask_often(site(entries=count), 1000)


def with_endpoints(count: int) -> Bench:
    """Return a bench of so many engines."""
    return ask_often(site(engines=count), 1000)


def with_adapters(count: int) -> Bench:
    """Return a bench with so many adapters in the catalogue."""
    return ask_often(site(entries=2, adapters=count), count)


def with_waiting(count: int) -> Bench:
    """Return a bench whose first entry keeps so many requests waiting, each for its own load."""
    preset = Preset("ordinary", max_wait_s=LONG_S, queue_limit=10 * count)
    bench = site(entries=2, preset=preset, limits=Limits(caller_queue_share=1.0))
    bench.store.down = True
    for number in range(count):
        bench.ask("entry-1", f"a{number}", deadline_s=LONG_S)
    bench.run(1.0)
    return bench


def with_grants(count: int) -> Bench:
    """Return a bench whose entries hold about so many grants each."""
    bench = site(entries=2, slots=count // 12, limits=FAST_STORE)
    for number in range(count):
        for entry in bench.entries:
            bench.ask(entry, f"a{number}", tokens=1)
        bench.run(0.02)
    bench.run(5.0)
    return bench


def with_changes(count: int) -> Bench:
    """Return a bench in which so many changes of the configuration are made in ten seconds."""
    bench = site(adapters=3000)

    def change(number: int) -> None:
        versions = {"1": VersionState.PUBLISHED, "2": VersionState.PUBLISHED}
        adapter = Adapter(f"a{number}", "base", versions, 2)
        edit: Callable[[Draft], None] = lambda draft: draft.put_adapter(adapter)
        bench.publisher().apply_change(edit)

    for number in range(count):
        bench.clock.after(number * 10.0 / count, lambda number=number: change(number))
    return bench


def with_bases(count: int) -> Bench:
    """Return a bench of so many base models with three engines each."""
    bench = Bench(6, 0, places=PLACES, seed=SEED)
    for base in range(count):
        for number in range(3):
            name = f"engine-{base}-{number}"
            bench.add_engine(name, PLACES[number], 8, 8, True, 0.03, f"base-{base}")
    bench.configure(100)
    bench.run(SETTLE_S)
    return bench


DIMENSIONS_BY_NAME = {
    dimension.name: dimension
    for dimension in (
        Dimension("entries", (3, 6, 12, 24), with_entries),
        Dimension("endpoints", (12, 100, 300, 600), with_endpoints),
        Dimension("adapters", (3000, 6000, 11000), with_adapters),
        Dimension("waiting", (100, 300, 900), with_waiting),
        Dimension("grants", (96, 384, 960), with_grants),
        Dimension("changes", (5, 10, 20), with_changes),
        Dimension("bases", (1, 2, 4, 6), with_bases),
    )
}
