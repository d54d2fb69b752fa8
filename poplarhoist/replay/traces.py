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
CROWD_FROM, CROWD_UNTIL = 1 / 3, 2 / 3
SHIFTS = 6
SHIFT_SHARE = 0.27
RESTART_AT = 0.1
PRESET_AT = 0.05
WARM_ADAPTERS = 30
WARM_ASKED_FROM = 0.15
WARM_SHARE = 0.3
SLOW_FACTOR = 16.0
SLOW_FROM, SLOW_UNTIL = 0.1, 0.3


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
    amount: float = 0.0
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
        self.totals = list(itertools.accumulate(weights))

    def draw(self, source: random.Random) -> int:
        """Return a rank."""
        return bisect.bisect(self.totals, source.random() * self.totals[-1])


@frozen
class Arrivals:
    """Draws the arrivals of one trace."""

    shape: SiteShape
    source: random.Random
    order: list[int]
    found: list[Arrival] = field(factory=list)

    def poisson(self, start: float, end: float, per_s: float, pick: Callable[[], int]) -> None:
        """Add arrivals of a Poisson process, each for the adapter that ``pick`` returns."""
        at = start + self.source.expovariate(per_s)
        while at < end:
            self.found.append(self.arrival(at, pick()))
            at += self.source.expovariate(per_s)

    def arrival(self, at: float, adapter: int) -> Arrival:
        """Return an arrival at a random entry with a random answer length."""
        mean = self.shape.tokens_mean
        tokens = self.source.randint(mean // 4, 2 * mean - mean // 4)
        return Arrival(at, self.source.randrange(self.shape.entries), adapter, tokens)

    def ranked(self, exponent: float) -> Callable[[], int]:
        """Return a pick by Zipf popularity in the present order."""
        zipf = Zipf(self.shape.adapters, exponent)
        return lambda: self.order[zipf.draw(self.source)]

    def among(self, adapters: list[int]) -> Callable[[], int]:
        """Return a pick by Zipf popularity among some adapters."""
        zipf = Zipf(len(adapters), 1.0)
        return lambda: adapters[zipf.draw(self.source)]

    def trace(self, name: str, changes: tuple[Change, ...] = (), stationary=False) -> Trace:
        """Return the trace of what was drawn."""
        found = tuple(sorted(self.found, key=lambda arrival: arrival.at))
        return Trace(name, self.shape, found, changes, stationary=stationary)


def begin(shape: SiteShape, seed: int) -> Arrivals:
    """Return an empty trace with popularity ranks dealt at random."""
    source = random.Random(seed)
    order = list(range(shape.adapters))
    source.shuffle(order)
    return Arrivals(shape, source, order)


def stationary(exponent: float) -> Callable[[SiteShape, int], Trace]:
    """Return the maker of a trace with unchanging Zipf popularity."""

    def make(shape: SiteShape, seed: int) -> Trace:
        drawn = begin(shape, seed)
        drawn.poisson(0.0, shape.end_s, shape.arrivals_per_s, drawn.ranked(exponent))
        return drawn.trace(f"zipf-{exponent}", stationary=True)

    return make


def popularity_shift(shape: SiteShape, seed: int) -> Trace:
    """Exchange a share of the most popular adapters for others at intervals."""
    drawn = begin(shape, seed)
    pick = drawn.ranked(1.0)
    bounds = [0.0, *(shape.after(number / SHIFTS) for number in range(SHIFTS + 1))]
    for start, end in itertools.pairwise(bounds):
        drawn.poisson(start, end, shape.arrivals_per_s, pick)
        exchange(drawn)
    return drawn.trace("shift")


def exchange(drawn: Arrivals) -> None:
    """Swap a share of the adapters that fill the slots with unpopular ones."""
    order, source = drawn.order, drawn.source
    top = min(drawn.shape.slots * drawn.shape.engines, len(order) // 2)
    for rank in source.sample(range(top), int(top * SHIFT_SHARE)):
        other = source.randrange(top, len(order))
        order[rank], order[other] = order[other], order[rank]


def crowd(shape: SiteShape, seed: int) -> Trace:
    """Let an exhibition's crowd ask some adapters, at three times the ordinary rate in all."""
    drawn = begin(shape, seed)
    drawn.poisson(0.0, shape.end_s, shape.arrivals_per_s, drawn.ranked(1.0))
    asked = drawn.source.sample(range(shape.adapters), min(CROWD_ADAPTERS, shape.adapters))
    extra = shape.arrivals_per_s * (CROWD_FACTOR - 1.0)
    start, end = shape.after(CROWD_FROM), shape.after(CROWD_UNTIL)
    drawn.poisson(start, end, extra, drawn.among(asked))
    return drawn.trace("crowd")


def engine_restart(shape: SiteShape, seed: int) -> Trace:
    """Restart one engine cold."""
    drawn = begin(shape, seed)
    drawn.poisson(0.0, shape.end_s, shape.arrivals_per_s, drawn.ranked(1.0))
    return drawn.trace("restart", (Change(shape.after(RESTART_AT), ChangeKind.ENGINE_RESTART),))


def store_slow(shape: SiteShape, seed: int) -> Trace:
    """Let loads take many times as long for a while."""
    drawn = begin(shape, seed)
    drawn.poisson(0.0, shape.end_s, shape.arrivals_per_s, drawn.ranked(1.0))
    slow = Change(shape.after(SLOW_FROM), ChangeKind.STORE_SPEED, SLOW_FACTOR)
    return drawn.trace("store-slow", (slow, evolve(slow, at=shape.after(SLOW_UNTIL), amount=1.0)))


def preset_switch(shape: SiteShape, seed: int) -> Trace:
    """Switch to a preset that warms adapters, which are asked for a while later."""
    drawn = begin(shape, seed)
    warm = drawn.source.sample(range(shape.adapters), min(WARM_ADAPTERS, shape.adapters))
    drawn.poisson(0.0, shape.end_s, shape.arrivals_per_s, drawn.ranked(1.0))
    extra = shape.arrivals_per_s * WARM_SHARE
    drawn.poisson(shape.after(WARM_ASKED_FROM), shape.end_s, extra, drawn.among(warm))
    names = tuple(f"a{number}" for number in warm)
    preset = evolve(shape.preset, name="peak", warm=names)
    return drawn.trace(
        "preset", (Change(shape.after(PRESET_AT), ChangeKind.PRESET, preset=preset),)
    )


TRACES_BY_NAME: dict[str, Callable[[SiteShape, int], Trace]] = {
    "zipf-0.8": stationary(0.8),
    "zipf-1.0": stationary(1.0),
    "zipf-1.2": stationary(1.2),
    "shift": popularity_shift,
    "crowd": crowd,
    "restart": engine_restart,
    "store-slow": store_slow,
    "preset": preset_switch,
}
