"""The fake engines of a replayed site, and the interface of the policies that use them."""

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
    """An arrival of the trace and its result; times are virtual seconds.

    Attributes
    ----------
    stalled : bool
        Whether its adapter was resident on no engine when it arrived.
    refused : str
        Reason of the final refusal; empty if there is none.
    resends : int
        How often its caller sent it again after a refusal.
    endpoints : list of str
        Endpoint of each attempt, in order.
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
        """Name and version of the adapter, as ``name@version``."""
        return adapter_ref(self.arrival.adapter)


def adapter_ref(adapter: int) -> str:
    """Return name and version of the adapter with a number; all have version 1."""
    return f"a{adapter}@1"


class Policy(Protocol):
    """Decides on which fake engines calls run and adapters are loaded."""

    clock: VirtualClock
    engines: dict[str, FakeEngine]
    store: FakeStore

    def submit(self, call: Call) -> None:
        """Accept a call that arrives now, or that is sent again."""

    def on_change(self, change: Change) -> None:
        """Apply a change of the site."""

    def complete_records(self) -> None:
        """Fill in the results of all calls; called once, at the end of a run."""

    def control_bytes(self) -> int:
        """Return the bytes of the policy's own messages between regions."""

    def violations(self) -> list[str]:
        """Return the violations that the engines recorded."""


def place_of(shape: SiteShape, number: int) -> Place:
    """Return the place of an entry or engine by its number; places are assigned in turn."""
    return shape.places[number % len(shape.places)]


def make_engines(shape: SiteShape, clock: VirtualClock, store: FakeStore) -> dict[str, FakeEngine]:
    """Return new fake engines of a site by name."""
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
    """Crash the first engine or change the store's speed; ignore a change of preset."""
    if change.kind is ChangeKind.ENGINE_RESTART:
        next(iter(engines.values())).crash()
    elif change.kind is ChangeKind.STORE_SPEED:
        store.slowdown = change.factor


def engine_violations(engines: dict[str, FakeEngine]) -> list[str]:
    """Return the violations that the engines recorded."""
    return [text for engine in engines.values() for text in engine.violations]
