"""Idealised dispatchers to compare with: they know the engines' state at once."""

import bisect
import random

from poplarhoist.decisions.budget import BURST_SHARE
from poplarhoist.decisions.effects import OrderKind, SendOrder
from poplarhoist.decisions.events import OrderOutcome, Outcome
from poplarhoist.decisions.membership import rendezvous_rank
from poplarhoist.models import AdapterRef
from poplarhoist.replay.clock import VirtualClock
from poplarhoist.replay.fakes import FakeEngine, FakeStore, Job
from poplarhoist.replay.fleet import (
    LATENCY_S,
    REGION_LATENCY_S,
    START_S,
    Call,
    change_fakes,
    engine_violations,
    make_engines,
    place_of,
    ref_of,
)
from poplarhoist.replay.traces import Change, Trace

PUMP_S = 0.05
RETRY_S = 0.05

Place = tuple[FakeEngine, str | None]


class Dispatcher:
    """What the baselines share: loads on demand within the store's limits, dispatch, retries.

    A load goes to an engine with a free slot, or in place of an adapter without requests.
    """

    def __init__(self, trace: Trace, seed: int) -> None:
        self.shape = trace.shape
        self.random = random.Random(seed)
        self.clock = VirtualClock()
        limits = trace.shape.limits()
        self.in_flight_limit = limits.store_in_flight
        self.store = FakeStore(
            self.clock, limits.store_loads_per_s, limits.store_in_flight, limits.load_s
        )
        self.engines = make_engines(trace.shape, self.clock, self.store)
        self.waiting: dict[str, list[Call]] = {}
        self.loading: set[str] = set()
        self.uses: dict[tuple[str, str], int] = {}
        self.used_at: dict[tuple[str, str], float] = {}
        self.tokens = 1.0
        self.tokens_at = 0.0
        self.pumping = False

    # What differs between policies

    def choose(self, engines: list[FakeEngine], ref: str) -> FakeEngine:
        """Return the engine that gets a call, of those that hold its adapter."""
        return min(engines, key=self.load)

    def targets(self, ref: str) -> list[FakeEngine]:
        """Return the engines that may load an adapter, the best first."""
        return sorted(self.up(), key=self.load)

    def victim(self, engine: FakeEngine) -> str | None:
        """Return the adapter to evict; None if all are in use."""
        idle = self.idle(engine)
        key = lambda ref: self.used_at.get((engine.endpoint.name, ref), 0.0)
        return min(idle, key=key, default=None)

    def first_fit(self, ref: str) -> Place | None:
        """Return the first of the targets that has room or something idle."""
        for engine in self.targets(ref):
            if len(engine.slots) < engine.endpoint.slots:
                return engine, None
            victim = self.victim(engine)
            if victim is not None:
                return engine, victim
        return None

    def place(self, ref: str) -> Place | None:
        """Return the engine that loads an adapter and the one that it replaces, if any."""
        engines = self.targets(ref)
        for engine in engines:
            if len(engine.slots) < engine.endpoint.slots:
                return engine, None
        for engine in engines:
            victim = self.victim(engine)
            if victim is not None:
                return engine, victim
        return None

    # What they share

    def up(self) -> list[FakeEngine]:
        """Return the engines that answer."""
        return [engine for engine in self.engines.values() if engine.up]

    def load(self, engine: FakeEngine) -> int:
        """Return the requests on an engine and the loads under way."""
        loading = sum(1 for state in engine.slots.values() if state == "loading")
        return len(engine.running) + len(engine.waiting) + loading

    def idle(self, engine: FakeEngine) -> list[str]:
        """Return the resident adapters of an engine without requests."""
        name = engine.endpoint.name
        return [
            ref
            for ref, state in engine.slots.items()
            if state == "resident" and not self.uses.get((name, ref))
        ]

    def holders(self, ref: str) -> list[FakeEngine]:
        """Return the engines on which an adapter is resident."""
        return [engine for engine in self.up() if engine.slots.get(ref) == "resident"]

    def ask(self, call: Call) -> None:
        """Dispatch a call, or let it wait for a load."""
        holders = self.holders(call.ref)
        if holders:
            self.send(call, self.choose(holders, call.ref))
            return
        self.waiting.setdefault(call.ref, []).append(call)
        self.pump()

    def send(self, call: Call, engine: FakeEngine) -> None:
        """Send a call to an engine."""
        name, ref = engine.endpoint.name, call.ref
        self.uses[name, ref] = self.uses.get((name, ref), 0) + 1
        self.used_at[name, ref] = self.clock.seconds
        call.endpoints.append(name)
        if call.dispatched_at is None:
            call.dispatched_at = self.clock.seconds
        delay_s = self.delay_s(call, engine)
        ended = lambda outcome, reason: self.ended(call, name, outcome)
        done = lambda outcome, reason: self.clock.after(delay_s, lambda: ended(outcome, reason))
        job = Job(call.ref, ref, call.arrival.tokens, done, lambda: self.first(call))
        self.clock.after(delay_s, lambda: engine.submit(job))

    def delay_s(self, call: Call, engine: FakeEngine) -> float:
        """Return the latency between a call's entry and an engine."""
        region = place_of(self.shape, call.arrival.entry).region
        return LATENCY_S if engine.endpoint.place.region == region else REGION_LATENCY_S

    def first(self, call: Call) -> None:
        """Note the first token."""
        if call.first_at is None:
            call.first_at = self.clock.seconds

    def ended(self, call: Call, name: str, outcome: Outcome) -> None:
        """Note the end of a call, or run it again."""
        self.uses[name, call.ref] -= 1
        self.used_at[name, call.ref] = self.clock.seconds
        if outcome is Outcome.COMPLETED:
            call.completed = True
            call.ended_at = self.clock.seconds
        else:
            self.clock.after(RETRY_S, lambda: self.ask(call))
        self.pump()

    def order_loads(self) -> list[str]:
        """Return the adapters that calls wait for, in the order of loading."""
        return [ref for ref in self.waiting if ref not in self.loading]

    def pump(self) -> None:
        """Start as many loads as the store and the slots allow."""
        self.refill()
        for ref in self.order_loads():
            if self.tokens < 1.0 or len(self.loading) >= self.in_flight_limit:
                break
            found = self.place(ref)
            if found is None:
                break
            self.start_load(ref, *found)
        if len(self.waiting) > len(self.loading) and not self.pumping:
            self.pumping = True
            self.clock.after(PUMP_S, self.pump_again)

    def pump_again(self) -> None:
        """Try the loads that could not be started."""
        self.pumping = False
        self.pump()

    def refill(self) -> None:
        """Add to the loads allowed by the store's rate."""
        rate = self.shape.loads_per_s
        now = self.clock.seconds
        self.tokens = min(
            max(1.0, self.in_flight_limit * BURST_SHARE),
            self.tokens + (now - self.tokens_at) * rate,
        )
        self.tokens_at = now

    def start_load(self, ref: str, engine: FakeEngine, victim: str | None) -> None:
        """Order a load, in place of a victim if one is given."""
        self.tokens -= 1.0
        self.loading.add(ref)
        replaces = AdapterRef.parse(victim) if victim else None
        order = SendOrder(
            engine.endpoint.name, ref, OrderKind.LOAD, 1, AdapterRef.parse(ref), replaces
        )
        engine.order(order, lambda outcome, reason: self.loaded(ref, outcome))

    def loaded(self, ref: str, outcome: OrderOutcome) -> None:
        """Dispatch the calls that waited for a load."""
        self.loading.discard(ref)
        if outcome is OrderOutcome.DONE:
            for call in self.waiting.pop(ref, []):
                self.ask(call)
        self.pump()

    def change(self, change: Change) -> None:
        """Take a change of the site; presets mean nothing to a baseline."""
        change_fakes(change, self.engines, self.store)

    def finish(self) -> None:
        """Do nothing: calls are complete."""

    def control_bytes(self) -> int:
        """Return the bytes between regions, of which there are none."""
        return 0

    def violations(self) -> list[str]:
        """Return what the engines saw that must never happen."""
        return engine_violations(self.engines)


class RandomPolicy(Dispatcher):
    """Loads anywhere, evicts anything idle."""

    def choose(self, engines: list[FakeEngine], ref: str) -> FakeEngine:
        """Return any holder."""
        return self.random.choice(engines)

    def targets(self, ref: str) -> list[FakeEngine]:
        """Return the engines in random order."""
        engines = self.up()
        self.random.shuffle(engines)
        return engines

    def place(self, ref: str) -> Place | None:
        """Return the first engine with room or something idle."""
        return self.first_fit(ref)

    def victim(self, engine: FakeEngine) -> str | None:
        """Return any idle adapter."""
        idle = self.idle(engine)
        return self.random.choice(idle) if idle else None


class LruPolicy(Dispatcher):
    """Loads on the least loaded engine, evicts what was unused for the longest time there."""

    def place(self, ref: str) -> Place | None:
        """Return the least loaded engine that has room or something idle."""
        return self.first_fit(ref)


class RendezvousPolicy(Dispatcher):
    """Gives each adapter one engine by hash, evicts the least recently used there."""

    def targets(self, ref: str) -> list[FakeEngine]:
        """Return the engine with the highest hash, of those that answer."""
        names = [engine.endpoint.name for engine in self.up()]
        return [self.engines[name] for name in rendezvous_rank(ref, names)[:1]]


class ClairvoyantPolicy(Dispatcher):
    """Evicts what is used furthest in the future (Belady), over all engines."""

    def __init__(self, trace: Trace, seed: int) -> None:
        super().__init__(trace, seed)
        self.uses_by_ref: dict[str, list[float]] = {}
        for arrival in trace.arrivals:
            self.uses_by_ref.setdefault(ref_of(arrival.adapter), []).append(START_S + arrival.at)

    def next_use(self, ref: str) -> float:
        """Return when an adapter is next asked for; infinite if never."""
        times = self.uses_by_ref.get(ref, [])
        index = bisect.bisect_right(times, self.clock.seconds)
        return times[index] if index < len(times) else float("inf")

    def order_loads(self) -> list[str]:
        """Return first what most calls wait for."""
        refs = super().order_loads()
        return sorted(refs, key=lambda ref: -len(self.waiting[ref]))

    def place(self, ref: str) -> Place | None:
        """Return the least loaded engine with room, else the slot needed last."""
        engines = self.targets(ref)
        for engine in engines:
            if len(engine.slots) < engine.endpoint.slots:
                return engine, None
        idle = [(engine, victim) for engine in engines for victim in self.idle(engine)]
        key = lambda found: (self.next_use(found[1]), -self.load(found[0]))
        return max(idle, key=key, default=None)
