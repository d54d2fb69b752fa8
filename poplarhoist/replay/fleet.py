"""A fleet of fake engines that a policy serves calls on."""

from typing import Protocol

from attrs import define, field

from poplarhoist.models import Endpoint, EndpointKind, Place
from poplarhoist.replay.clock import VirtualClock
from poplarhoist.replay.fakes import FakeEngine, FakeStore
from poplarhoist.replay.shapes import SiteShape
from poplarhoist.replay.traces import Arrival, Change, ChangeKind

STARTUP_S = 5.0
LATENCY_S = 0.001
CROSS_REGION_LATENCY_S = 0.03
REQUEST_BYTES = 600


@define(eq=False)
class Call:
    """An arrival of the trace and what became of it.

    Attributes
    ----------
    stalled : bool
        Whether its adapter was resident nowhere when it arrived.
    resends : int
        How often its caller sent it again after a refusal.
    """

    arrival: Arrival
    stalled: bool = False
    dispatched_at: float | None = None
    first_at: float | None = None
    ended_at: float | None = None
    completed: bool = False
    refused: str = ""
    resends: int = 0
    endpoints: list[str] = field(factory=list)

    @property
    def ref(self) -> str:
        """Name and version of the adapter."""
        return adapter_ref(self.arrival.adapter)


def adapter_ref(adapter: int) -> str:
    """Return name and version of an adapter by its number."""
    return f"a{adapter}@1"


class Policy(Protocol):
    """Decides where calls run and which adapters are loaded, on fake engines."""

    clock: VirtualClock
    engines: dict[str, FakeEngine]
    store: FakeStore

    def submit(self, call: Call) -> None:
        """Take a call that arrives now."""

    def on_change(self, change: Change) -> None:
        """Take a change of the site."""

    def complete_records(self) -> None:
        """Complete the records of all calls at the end of a run."""

    def control_bytes(self) -> int:
        """Return the bytes that the policy itself sent between regions."""

    def violations(self) -> list[str]:
        """Return what the engines saw that must never happen."""


def place_of(shape: SiteShape, number: int) -> Place:
    """Return where the entry or engine of a number is."""
    return shape.places[number % len(shape.places)]


def make_engines(shape: SiteShape, clock: VirtualClock, store: FakeStore) -> dict[str, FakeEngine]:
    """Return the engines of a site by name."""
    engines = {}
    for number in range(shape.engines):
        name = f"engine-{number + 1}"
        endpoint = Endpoint(
            name=name,
            kind=EndpointKind.ENGINE,
            serves="base",
            place=place_of(shape, number),
            host="-",
            port=0,
            slots=shape.slots,
            batch=shape.batch,
        )
        engines[name] = FakeEngine(endpoint, clock, store, shape.step_s)
    return engines


def apply_change(change: Change, engines: dict[str, FakeEngine], store: FakeStore) -> None:
    """Apply a change that concerns the fakes alone."""
    if change.kind is ChangeKind.ENGINE_RESTART:
        next(iter(engines.values())).crash()
    elif change.kind is ChangeKind.STORE_SPEED:
        store.slowdown = change.factor


def engine_violations(engines: dict[str, FakeEngine]) -> list[str]:
    """Return what the engines saw that must never happen."""
    return [text for engine in engines.values() for text in engine.violations]
