"""Shapes of the sites on which traces are replayed: sizes, places and ordinary load."""

from attrs import frozen

from poplarhoist.decisions.limits import Limits
from poplarhoist.models import Place, Preset


@frozen
class SiteShape:
    """The size of a replayed site and its ordinary load.

    Attributes
    ----------
    loads_per_s : float
        Adapter loads a second that the weight store serves.
    slots, batch : int
        Adapter slots and batch limit of each engine.
    step_s : float
        Seconds that an engine takes for one step of its batch.
    arrivals_per_s : float
        Ordinary arrivals a second over all entries.
    mean_tokens : int
        Mean tokens of an answer; lengths are uniform from a quarter of it to seven quarters.
    warm_up_s, measured_s : float
        Seconds of a trace that only fill the slots, and seconds measured after them.
    """

    name: str
    entries: int
    engines: int
    places: tuple[Place, ...]
    loads_per_s: float
    arrivals_per_s: float
    mean_tokens: int
    preset: Preset
    slots: int = 16
    batch: int = 8
    step_s: float = 0.03
    adapters: int = 3000
    warm_up_s: float = 60.0
    measured_s: float = 180.0

    @property
    def end_s(self) -> float:
        """Length of a trace in seconds."""
        return self.warm_up_s + self.measured_s

    def time_at_share(self, share: float) -> float:
        """Return the time of the trace, in seconds, at a share of the measured part."""
        return self.warm_up_s + share * self.measured_s

    def limits(self) -> Limits:
        """Return the limits of the decisions for this site."""
        return Limits(store_loads_per_s=self.loads_per_s)


QASR = SiteShape(
    name="qasr",
    entries=9,
    engines=9,
    places=(Place("amman", "amman-a"), Place("amman", "amman-b"), Place("irbid", "irbid-a")),
    loads_per_s=4.0,
    arrivals_per_s=6.0,
    mean_tokens=96,
    preset=Preset("ordinary", stall_weight=2.0, batch_weight=1.0),
)
TORNOS = SiteShape(
    name="tornos",
    entries=6,
    engines=5,
    places=(
        Place("attica", "piraeus"),
        Place("attica", "marousi"),
        Place("macedonia", "thessaloniki"),
    ),
    loads_per_s=2.0,
    arrivals_per_s=2.3,
    mean_tokens=160,
    preset=Preset("ordinary", stall_weight=1.0, batch_weight=2.0),
)
SHAPES_BY_NAME = {shape.name: shape for shape in (QASR, TORNOS)}
