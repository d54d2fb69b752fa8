"""Simulations of growing size along one dimension, for cost measurements."""

import random
from collections.abc import Callable

from attrs import frozen

from poplarhoist.decisions.limits import Limits
from poplarhoist.models import Adapter, Place, Preset, VersionState
from poplarhoist.publish import Draft
from poplarhoist.replay.simulation import Simulation
from poplarhoist.replay.traces import Zipf

PLACES = (Place("r1", "r1-a"), Place("r1", "r1-b"), Place("r2", "r2-a"))
SETTLE_S = 8.0
REQUESTS_PER_S = 10
SEED = 1
UNLIMITED_S = 1000.0  # longer than any measurement
FAST_STORE = Limits(
    store_loads_per_s=200.0, store_in_flight=200, load_s=0.05, grant_idle_s=UNLIMITED_S
)


@frozen
class Dimension:
    """A quantity that grows, the sizes to measure at, and a function that makes the simulation."""

    name: str
    sizes: tuple[int, ...]
    make_simulation: Callable[[int], Simulation]


def start_simulation(
    entries=3, engines=12, adapters=1000, slots=8, limits=None, preset=None
) -> Simulation:
    """Return a configured simulation that ran until its entries were in service."""
    sim = Simulation(entries, engines, slots, places=PLACES, limits=limits, seed=SEED)
    sim.configure(adapters, preset)
    sim.run(SETTLE_S)
    return sim


def add_steady_load(sim: Simulation, adapters: int) -> Simulation:
    """Schedule requests at a steady rate for as long as the simulation runs, and return it."""
    rng = random.Random(SEED)
    zipf = Zipf(adapters, 1.0)
    names = list(sim.entries)

    def send_request() -> None:
        sim.ask(rng.choice(names), f"a{zipf.draw(rng)}", tokens=16)
        sim.clock.after(1.0 / REQUESTS_PER_S, send_request)

    send_request()
    return sim


def with_entries(count: int) -> Simulation:
    """Return a simulation with ``count`` entries."""
    return add_steady_load(start_simulation(entries=count), 1000)


def with_endpoints(count: int) -> Simulation:
    """Return a simulation with ``count`` engines."""
    return add_steady_load(start_simulation(engines=count), 1000)


def with_adapters(count: int) -> Simulation:
    """Return a simulation with ``count`` adapters in the configuration."""
    return add_steady_load(start_simulation(entries=2, adapters=count), count)


def with_waiting_requests(count: int) -> Simulation:
    """Return a simulation whose first entry has ``count`` requests that wait for different loads.

    The weight store is down, so that they keep waiting.
    """
    preset = Preset("ordinary", max_wait_s=UNLIMITED_S, queue_limit=10 * count)
    sim = start_simulation(entries=2, preset=preset, limits=Limits(caller_queue_share=1.0))
    sim.store.down = True
    for number in range(count):
        sim.ask("entry-1", f"a{number}", deadline_s=UNLIMITED_S)
    sim.run(1.0)
    return sim


def with_grants(count: int) -> Simulation:
    """Return a simulation whose entries hold about ``count`` grants each."""
    sim = start_simulation(entries=2, slots=count // 12, limits=FAST_STORE)
    for number in range(count):
        for entry in sim.entries:
            sim.ask(entry, f"a{number}", tokens=1)
        sim.run(0.02)
    sim.run(5.0)
    return sim


def with_config_changes(count: int) -> Simulation:
    """Return a simulation with ``count`` changes of the configuration over its next ten seconds."""
    sim = start_simulation(adapters=3000)

    def publish_change(number: int) -> None:
        versions = {"1": VersionState.PUBLISHED, "2": VersionState.PUBLISHED}
        adapter = Adapter(f"a{number}", "base", versions, 2)
        edit: Callable[[Draft], None] = lambda draft: draft.put_adapter(adapter)
        sim.publisher().apply_change(edit)

    for number in range(count):
        sim.clock.after(number * 10.0 / count, lambda number=number: publish_change(number))
    return sim


def with_bases(count: int) -> Simulation:
    """Return a simulation of ``count`` base models with three engines each."""
    sim = Simulation(6, 0, places=PLACES, seed=SEED)
    for base in range(count):
        for number in range(3):
            name = f"engine-{base}-{number}"
            sim.add_engine(name, PLACES[number], 8, 8, True, 0.03, f"base-{base}")
    sim.configure(100)
    sim.run(SETTLE_S)
    return sim


DIMENSIONS_BY_NAME = {
    dimension.name: dimension
    for dimension in (
        Dimension("entries", (3, 6, 12, 24), with_entries),
        Dimension("endpoints", (12, 100, 300, 600), with_endpoints),
        Dimension("adapters", (3000, 6000, 11000), with_adapters),
        Dimension("waiting", (100, 300, 900), with_waiting_requests),
        Dimension("grants", (96, 384, 960), with_grants),
        Dimension("changes", (5, 10, 20), with_config_changes),
        Dimension("bases", (1, 2, 4, 6), with_bases),
    )
}
