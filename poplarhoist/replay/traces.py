"""Arrival traces, generated from a seed."""

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
    """A request of the trace; ``adapter`` and ``entry`` are numbers."""

    at: float
    entry: int
    adapter: int
    tokens: int


class ChangeKind(enum.StrEnum):
    """What changes at a site while a trace runs."""

    ENGINE_RESTART = "engine-restart"
    STORE_SPEED = "store-speed"
    PRESET = "preset"


@frozen
class Change:
    """A change of the site; ``amount`` is the factor on load times for STORE_SPEED."""

    at: float
    kind: ChangeKind
    factor: float = 0.0
    preset: Preset | None = None


@frozen
class Trace:
    """Arrivals and changes in order of time.

    Attributes
    ----------
    stationary : bool
        Whether popularity, rate and site stay the same throughout.
    """

    name: str
    shape: SiteShape
    arrivals: tuple[Arrival, ...]
    changes: tuple[Change, ...] = ()
    stationary: bool = False


class Zipf:
    """A bounded Zipf distribution over ranks from 0."""

    def __init__(self, count: int, exponent: float) -> None:
        weights = (rank**-exponent for rank in range(1, count + 1))
        self.cumulative_weights = list(itertools.accumulate(weights))

    def draw(self, rng: random.Random) -> int:
        """Return a rank."""
        return bisect.bisect(self.cumulative_weights, rng.random() * self.cumulative_weights[-1])


@frozen
class ArrivalGenerator:
    """Draws the arrivals of one trace."""

    shape: SiteShape
    rng: random.Random
    adapters_by_rank: list[int]
    arrivals: list[Arrival] = field(factory=list)

    def add_poisson(
        self, start: float, end: float, rate_per_s: float, pick_adapter: Callable[[], int]
    ) -> None:
        """Add arrivals of a Poisson process, each for the adapter that ``pick`` returns."""
        at = start + self.rng.expovariate(rate_per_s)
        while at < end:
            self.arrivals.append(self.draw_arrival(at, pick_adapter()))
            at += self.rng.expovariate(rate_per_s)

    def draw_arrival(self, at: float, adapter: int) -> Arrival:
        """Return an arrival at a random entry with a random answer length."""
        mean = self.shape.mean_tokens
        tokens = self.rng.randint(mean // 4, 2 * mean - mean // 4)
        return Arrival(at, self.rng.randrange(self.shape.entries), adapter, tokens)

    def zipf_picker(self, exponent: float) -> Callable[[], int]:
        """Return a pick by Zipf popularity in the present order."""
        zipf = Zipf(self.shape.adapters, exponent)
        return lambda: self.adapters_by_rank[zipf.draw(self.rng)]

    def subset_picker(self, adapters: list[int]) -> Callable[[], int]:
        """Return a pick by Zipf popularity among some adapters."""
        zipf = Zipf(len(adapters), 1.0)
        return lambda: adapters[zipf.draw(self.rng)]

    def build_trace(self, name: str, changes: tuple[Change, ...] = (), stationary=False) -> Trace:
        """Return the trace of what was drawn."""
        arrivals = tuple(sorted(self.arrivals, key=lambda arrival: arrival.at))
        return Trace(name, self.shape, arrivals, changes, stationary=stationary)


def make_generator(shape: SiteShape, seed: int) -> ArrivalGenerator:
    """Return an empty trace with popularity ranks dealt at random."""
    rng = random.Random(seed)
    adapters_by_rank = list(range(shape.adapters))
    rng.shuffle(adapters_by_rank)
    return ArrivalGenerator(shape, rng, adapters_by_rank)


def stationary_zipf(exponent: float) -> Callable[[SiteShape, int], Trace]:
    """Return the maker of a trace with unchanging Zipf popularity."""

    def make_trace(shape: SiteShape, seed: int) -> Trace:
        generator = make_generator(shape, seed)
        generator.add_poisson(
            0.0, shape.end_s, shape.arrivals_per_s, generator.zipf_picker(exponent)
        )
        return generator.build_trace(f"zipf-{exponent}", stationary=True)

    return make_trace


def popularity_shift(shape: SiteShape, seed: int) -> Trace:
    """Exchange a share of the most popular adapters for others at intervals."""
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
    """Swap a share of the adapters that fill the slots with unpopular ones."""
    adapters_by_rank, rng = generator.adapters_by_rank, generator.rng
    popular = min(generator.shape.slots * generator.shape.engines, len(adapters_by_rank) // 2)
    for rank in rng.sample(range(popular), int(popular * SHIFTED_ADAPTER_SHARE)):
        unpopular_rank = rng.randrange(popular, len(adapters_by_rank))
        adapters_by_rank[rank], adapters_by_rank[unpopular_rank] = (
            adapters_by_rank[unpopular_rank],
            adapters_by_rank[rank],
        )


def flash_crowd(shape: SiteShape, seed: int) -> Trace:
    """Let an exhibition's crowd ask some adapters, at three times the ordinary rate in all."""
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
    """Restart one engine cold."""
    generator = make_generator(shape, seed)
    generator.add_poisson(0.0, shape.end_s, shape.arrivals_per_s, generator.zipf_picker(1.0))
    return generator.build_trace(
        "restart", (Change(shape.time_at_share(RESTART_SHARE), ChangeKind.ENGINE_RESTART),)
    )


def slow_store(shape: SiteShape, seed: int) -> Trace:
    """Let loads take many times as long for a while."""
    generator = make_generator(shape, seed)
    generator.add_poisson(0.0, shape.end_s, shape.arrivals_per_s, generator.zipf_picker(1.0))
    slowdown = Change(shape.time_at_share(SLOW_START_SHARE), ChangeKind.STORE_SPEED, STORE_SLOWDOWN)
    return generator.build_trace(
        "store-slow",
        (slowdown, evolve(slowdown, at=shape.time_at_share(SLOW_END_SHARE), factor=1.0)),
    )


def preset_switch(shape: SiteShape, seed: int) -> Trace:
    """Switch to a preset that warms adapters, which are asked for a while later."""
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
