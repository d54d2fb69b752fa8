"""Arrival traces that are generated from a seed.

Constants that end in ``_SHARE`` are shares of the measured time, except SHIFTED_ADAPTER_SHARE.
"""

import bisect
import enum
import itertools
import random
from collections.abc import Callable

from attrs import evolve, field, frozen

from poplarhoist.models import Preset
from poplarhoist.replay.shapes import SiteShape

CROWD_FACTOR = 3.0
CROWD_ADAPTERS = 60
CROWD_START_SHARE, CROWD_END_SHARE = 1 / 3, 2 / 3
SHIFT_COUNT = 6
SHIFTED_ADAPTER_SHARE = 0.27
RESTART_SHARE = 0.1
PRESET_SWITCH_SHARE = 0.05
WARM_ADAPTERS = 30
WARM_REQUESTS_START_SHARE = 0.15
WARM_RATE_FACTOR = 0.3
STORE_SLOWDOWN = 16.0
SLOW_START_SHARE, SLOW_END_SHARE = 0.1, 0.3


@frozen
class Arrival:
    """A request of the trace: seconds from its start, and entry and adapter as numbers from 0."""

    at: float
    entry: int
    adapter: int
    tokens: int


class ChangeKind(enum.StrEnum):
    """Kind of a change at a site while a trace runs."""

    ENGINE_RESTART = "engine-restart"
    STORE_SPEED = "store-speed"
    PRESET = "preset"


@frozen
class Change:
    """A change of the site; ``factor`` multiplies the duration of loads (STORE_SPEED only)."""

    at: float
    kind: ChangeKind
    factor: float = 0.0
    preset: Preset | None = None


@frozen
class Trace:
    """Arrivals and changes, in order of time.

    Attributes
    ----------
    stationary : bool
        Whether popularity, rate and site stay the same during the whole trace.
    """

    name: str
    shape: SiteShape
    arrivals: tuple[Arrival, ...]
    changes: tuple[Change, ...] = ()
    stationary: bool = False


class Zipf:
    """A Zipf distribution over a bounded number of ranks, from 0."""

    def __init__(self, count: int, exponent: float) -> None:
        weights = (rank**-exponent for rank in range(1, count + 1))
        self.cumulative_weights = list(itertools.accumulate(weights))

    def draw(self, rng: random.Random) -> int:
        """Return a random rank."""
        return bisect.bisect(self.cumulative_weights, rng.random() * self.cumulative_weights[-1])


@frozen
class ArrivalGenerator:
    """Generates the arrivals of one trace.

    Attributes
    ----------
    adapters_by_rank : list of int
        Numbers of the adapters, the most popular first.
    arrivals : list of Arrival
        The arrivals so far, unsorted.
    """

    shape: SiteShape
    rng: random.Random
    adapters_by_rank: list[int]
    arrivals: list[Arrival] = field(factory=list)

    def add_poisson(
        self, start: float, end: float, rate_per_s: float, pick_adapter: Callable[[], int]
    ) -> None:
        """Add arrivals of a Poisson process; ``pick_adapter`` returns the adapter of each."""
        at = start + self.rng.expovariate(rate_per_s)
        while at < end:
            self.arrivals.append(self.draw_arrival(at, pick_adapter()))
            at += self.rng.expovariate(rate_per_s)

    def draw_arrival(self, at: float, adapter: int) -> Arrival:
        """Return an arrival at a random entry with a random length of the answer."""
        mean = self.shape.mean_tokens
        tokens = self.rng.randint(mean // 4, 2 * mean - mean // 4)
        return Arrival(at, self.rng.randrange(self.shape.entries), adapter, tokens)

    def zipf_picker(self, exponent: float) -> Callable[[], int]:
        """Return a callable that picks an adapter by Zipf popularity.

        It uses the ranks at the time of each pick, so it follows ``swap_popularity``.
        """
        zipf = Zipf(self.shape.adapters, exponent)
        return lambda: self.adapters_by_rank[zipf.draw(self.rng)]

    def subset_picker(self, adapters: list[int]) -> Callable[[], int]:
        """Return a callable that picks one of some adapters by Zipf popularity."""
        zipf = Zipf(len(adapters), 1.0)
        return lambda: adapters[zipf.draw(self.rng)]

    def build_trace(self, name: str, changes: tuple[Change, ...] = (), stationary=False) -> Trace:
        """Return the trace of the arrivals so far."""
        arrivals = tuple(sorted(self.arrivals, key=lambda arrival: arrival.at))
        return Trace(name, self.shape, arrivals, changes, stationary=stationary)


def make_generator(shape: SiteShape, seed: int) -> ArrivalGenerator:
    """Return a generator without arrivals, whose adapters have random popularity ranks."""
    rng = random.Random(seed)
    adapters_by_rank = list(range(shape.adapters))
    rng.shuffle(adapters_by_rank)
    return ArrivalGenerator(shape, rng, adapters_by_rank)


def stationary_zipf(exponent: float) -> Callable[[SiteShape, int], Trace]:
    """Return a function that makes a trace with constant Zipf popularity."""

    def make_trace(shape: SiteShape, seed: int) -> Trace:
        generator = make_generator(shape, seed)
        generator.add_poisson(
            0.0, shape.end_s, shape.arrivals_per_s, generator.zipf_picker(exponent)
        )
        return generator.build_trace(f"zipf-{exponent}", stationary=True)

    return make_trace


def popularity_shift(shape: SiteShape, seed: int) -> Trace:
    """Return a trace that replaces a share of the most popular adapters at intervals."""
    generator = make_generator(shape, seed)
    pick_adapter = generator.zipf_picker(1.0)
    bounds = [
        0.0,
        *(shape.time_at_share(number / SHIFT_COUNT) for number in range(SHIFT_COUNT + 1)),
    ]
    for start, end in itertools.pairwise(bounds):
        generator.add_poisson(start, end, shape.arrivals_per_s, pick_adapter)
        swap_popularity(generator)
    return generator.build_trace("shift")


def swap_popularity(generator: ArrivalGenerator) -> None:
    """Swap a share of the most popular adapters with unpopular ones.

    The most popular adapters are as many as the engines have slots, at most half of all.
    """
    adapters_by_rank, rng = generator.adapters_by_rank, generator.rng
    popular = min(generator.shape.slots * generator.shape.engines, len(adapters_by_rank) // 2)
    for rank in rng.sample(range(popular), int(popular * SHIFTED_ADAPTER_SHARE)):
        unpopular_rank = rng.randrange(popular, len(adapters_by_rank))
        adapters_by_rank[rank], adapters_by_rank[unpopular_rank] = (
            adapters_by_rank[unpopular_rank],
            adapters_by_rank[rank],
        )


def flash_crowd(shape: SiteShape, seed: int) -> Trace:
    """Return a trace with a flash crowd, such as an exhibition's visitors, on a few adapters.

    The crowd raises the total rate to ``CROWD_FACTOR`` times the ordinary rate.
    """
    generator = make_generator(shape, seed)
    generator.add_poisson(0.0, shape.end_s, shape.arrivals_per_s, generator.zipf_picker(1.0))
    crowd_adapters = generator.rng.sample(
        range(shape.adapters), min(CROWD_ADAPTERS, shape.adapters)
    )
    extra_per_s = shape.arrivals_per_s * (CROWD_FACTOR - 1.0)
    start, end = shape.time_at_share(CROWD_START_SHARE), shape.time_at_share(CROWD_END_SHARE)
    generator.add_poisson(start, end, extra_per_s, generator.subset_picker(crowd_adapters))
    return generator.build_trace("crowd")


def engine_restart(shape: SiteShape, seed: int) -> Trace:
    """Return a trace in which one engine restarts with no adapter loaded."""
    generator = make_generator(shape, seed)
    generator.add_poisson(0.0, shape.end_s, shape.arrivals_per_s, generator.zipf_picker(1.0))
    return generator.build_trace(
        "restart", (Change(shape.time_at_share(RESTART_SHARE), ChangeKind.ENGINE_RESTART),)
    )


def slow_store(shape: SiteShape, seed: int) -> Trace:
    """Return a trace in which loads take ``STORE_SLOWDOWN`` times as long for a while."""
    generator = make_generator(shape, seed)
    generator.add_poisson(0.0, shape.end_s, shape.arrivals_per_s, generator.zipf_picker(1.0))
    slowdown = Change(shape.time_at_share(SLOW_START_SHARE), ChangeKind.STORE_SPEED, STORE_SLOWDOWN)
    return generator.build_trace(
        "store-slow",
        (slowdown, evolve(slowdown, at=shape.time_at_share(SLOW_END_SHARE), factor=1.0)),
    )


def preset_switch(shape: SiteShape, seed: int) -> Trace:
    """Return a trace that switches to a preset with warm adapters; calls for these come later."""
    generator = make_generator(shape, seed)
    warm = generator.rng.sample(range(shape.adapters), min(WARM_ADAPTERS, shape.adapters))
    generator.add_poisson(0.0, shape.end_s, shape.arrivals_per_s, generator.zipf_picker(1.0))
    extra_per_s = shape.arrivals_per_s * WARM_RATE_FACTOR
    generator.add_poisson(
        shape.time_at_share(WARM_REQUESTS_START_SHARE),
        shape.end_s,
        extra_per_s,
        generator.subset_picker(warm),
    )
    names = tuple(f"a{number}" for number in warm)
    preset = evolve(shape.preset, name="peak", warm=names)
    return generator.build_trace(
        "preset",
        (Change(shape.time_at_share(PRESET_SWITCH_SHARE), ChangeKind.PRESET, preset=preset),),
    )


TRACES_BY_NAME: dict[str, Callable[[SiteShape, int], Trace]] = {
    "zipf-0.8": stationary_zipf(0.8),
    "zipf-1.0": stationary_zipf(1.0),
    "zipf-1.2": stationary_zipf(1.2),
    "shift": popularity_shift,
    "crowd": flash_crowd,
    "restart": engine_restart,
    "store-slow": slow_store,
    "preset": preset_switch,
}
