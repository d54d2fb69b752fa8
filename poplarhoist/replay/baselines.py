"""Baseline policies for comparison: idealised, as they see the state of all engines at once."""

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
    CROSS_REGION_LATENCY_S,
    LATENCY_S,
    STARTUP_S,
    Call,
    adapter_ref,
    apply_change,
    engine_violations,
    make_engines,
    place_of,
)
from poplarhoist.replay.traces import Change, Trace

LOAD_RETRY_S = 0.05
REQUEST_RETRY_S = 0.05

LoadTarget = tuple[FakeEngine, str | None]


class BaselinePolicy:
    """Base class of the baselines: loads on demand within the store's limits, dispatch, retries.

    A load goes to an engine with a free slot, or replaces an adapter without requests.
    """

    def __init__(self, trace: Trace, seed: int) -> None:
        self.shape = trace.shape
        self.random = random.Random(seed)
        self.clock = VirtualClock()
        limits = trace.shape.limits()
        self.max_concurrent_loads = limits.store_in_flight
        self.store = FakeStore(
            self.clock, limits.store_loads_per_s, limits.store_in_flight, limits.load_s
        )
        self.engines = make_engines(trace.shape, self.clock, self.store)
        self.waiting_by_ref: dict[str, list[Call]] = {}
        self.loading_refs: set[str] = set()
        self.in_flight: dict[tuple[str, str], int] = {}
        self.last_used_at: dict[tuple[str, str], float] = {}
        self.load_tokens = 1.0
        self.refilled_at = 0.0
        self.load_retry_scheduled = False

    # Policy-specific choices

    def select_engine(self, engines: list[FakeEngine], ref: str) -> FakeEngine:
        """Return the engine for a call, among those that hold its adapter."""
        return min(engines, key=self.compute_load)

    def load_candidates(self, ref: str) -> list[FakeEngine]:
        """Return the engines that may load an adapter, in order of preference."""
        return sorted(self.running_engines(), key=self.compute_load)

    def select_victim(self, engine: FakeEngine) -> str | None:
        """Return the adapter to evict from an engine; None if all are in use."""
        idle = self.idle_adapters(engine)
        key = lambda ref: self.last_used_at.get((engine.endpoint.name, ref), 0.0)
        return min(idle, key=key, default=None)

    def first_fit(self, ref: str) -> LoadTarget | None:
        """Return the first candidate with a free slot or an idle adapter, and the adapter to evict.

        Unlike the base class's ``select_load_target``, this evicts on an earlier candidate even if
        a later one has a free slot.
        """
        for engine in self.load_candidates(ref):
            if len(engine.slots) < engine.endpoint.slots:
                return engine, None
            victim = self.select_victim(engine)
            if victim is not None:
                return engine, victim
        return None

    def select_load_target(self, ref: str) -> LoadTarget | None:
        """Return the engine that loads an adapter, and the adapter that it replaces, if any.

        Free slots of all candidates come before evictions. None if there is no slot to use.
        """
        engines = self.load_candidates(ref)
        for engine in engines:
            if len(engine.slots) < engine.endpoint.slots:
                return engine, None
        for engine in engines:
            victim = self.select_victim(engine)
            if victim is not None:
                return engine, victim
        return None

    # Shared by all baselines

    def running_engines(self) -> list[FakeEngine]:
        """Return the engines that are up."""
        return [engine for engine in self.engines.values() if engine.up]

    def compute_load(self, engine: FakeEngine) -> int:
        """Return the number of requests and loads in flight on an engine."""
        loading = sum(1 for state in engine.slots.values() if state == "loading")
        return len(engine.running) + len(engine.waiting) + loading

    def idle_adapters(self, engine: FakeEngine) -> list[str]:
        """Return the resident adapters of an engine that have no requests in flight."""
        name = engine.endpoint.name
        return [
            ref
            for ref, state in engine.slots.items()
            if state == "resident" and not self.in_flight.get((name, ref))
        ]

    def engines_holding(self, ref: str) -> list[FakeEngine]:
        """Return the engines on which an adapter is resident."""
        return [engine for engine in self.running_engines() if engine.slots.get(ref) == "resident"]

    def submit(self, call: Call) -> None:
        """Dispatch a call, or queue it until its adapter is loaded."""
        holders = self.engines_holding(call.ref)
        if holders:
            self.send(call, self.select_engine(holders, call.ref))
            return
        self.waiting_by_ref.setdefault(call.ref, []).append(call)
        self.start_loads()

    def send(self, call: Call, engine: FakeEngine) -> None:
        """Send a call to an engine and record the dispatch."""
        name, ref = engine.endpoint.name, call.ref
        self.in_flight[name, ref] = self.in_flight.get((name, ref), 0) + 1
        self.last_used_at[name, ref] = self.clock.seconds
        call.endpoints.append(name)
        if call.dispatched_at is None:
            call.dispatched_at = self.clock.seconds
        delay_s = self.latency_s(call, engine)
        on_ended = lambda outcome, reason: self.on_ended(call, name, outcome)
        on_done = lambda outcome, reason: self.clock.after(
            delay_s, lambda: on_ended(outcome, reason)
        )
        job = Job(call.ref, ref, call.arrival.tokens, on_done, lambda: self.on_first_token(call))
        self.clock.after(delay_s, lambda: engine.submit(job))

    def latency_s(self, call: Call, engine: FakeEngine) -> float:
        """Return the one-way latency between a call's entry and an engine, in seconds."""
        region = place_of(self.shape, call.arrival.entry).region
        return LATENCY_S if engine.endpoint.place.region == region else CROSS_REGION_LATENCY_S

    def on_first_token(self, call: Call) -> None:
        """Record when the first token of a call was generated."""
        if call.first_at is None:
            call.first_at = self.clock.seconds

    def on_ended(self, call: Call, name: str, outcome: Outcome) -> None:
        """Record the end of a completed call; submit a failed one again after a delay."""
        self.in_flight[name, call.ref] -= 1
        self.last_used_at[name, call.ref] = self.clock.seconds
        if outcome is Outcome.COMPLETED:
            call.completed = True
            call.ended_at = self.clock.seconds
        else:
            self.clock.after(REQUEST_RETRY_S, lambda: self.submit(call))
        self.start_loads()

    def pending_loads(self) -> list[str]:
        """Return the adapters to load, in order; calls wait for each of them."""
        return [ref for ref in self.waiting_by_ref if ref not in self.loading_refs]

    def start_loads(self) -> None:
        """Start as many loads as the store's limits and the slots allow, and schedule a retry."""
        self.refill_load_tokens()
        for ref in self.pending_loads():
            if self.load_tokens < 1.0 or len(self.loading_refs) >= self.max_concurrent_loads:
                break
            target = self.select_load_target(ref)
            if target is None:
                break
            self.start_load(ref, *target)
        if len(self.waiting_by_ref) > len(self.loading_refs) and not self.load_retry_scheduled:
            self.load_retry_scheduled = True
            self.clock.after(LOAD_RETRY_S, self.retry_loads)

    def retry_loads(self) -> None:
        """Try again to start the loads that had to wait."""
        self.load_retry_scheduled = False
        self.start_loads()

    def refill_load_tokens(self) -> None:
        """Refill the token bucket of loads at the store's rate, up to the burst size."""
        rate_per_s = self.shape.loads_per_s
        now = self.clock.seconds
        self.load_tokens = min(
            max(1.0, self.max_concurrent_loads * BURST_SHARE),
            self.load_tokens + (now - self.refilled_at) * rate_per_s,
        )
        self.refilled_at = now

    def start_load(self, ref: str, engine: FakeEngine, victim: str | None) -> None:
        """Order a load; it replaces the victim, if one is given."""
        self.load_tokens -= 1.0
        self.loading_refs.add(ref)
        replaces = AdapterRef.parse(victim) if victim else None
        order = SendOrder(
            engine.endpoint.name, ref, OrderKind.LOAD, 1, AdapterRef.parse(ref), replaces
        )
        engine.execute_order(order, lambda outcome, reason: self.on_loaded(ref, outcome))

    def on_loaded(self, ref: str, outcome: OrderOutcome) -> None:
        """Dispatch the calls that waited for a load; after a failure they keep waiting."""
        self.loading_refs.discard(ref)
        if outcome is OrderOutcome.DONE:
            for call in self.waiting_by_ref.pop(ref, []):
                self.submit(call)
        self.start_loads()

    def on_change(self, change: Change) -> None:
        """Apply a change of the site; baselines ignore presets."""
        apply_change(change, self.engines, self.store)

    def complete_records(self) -> None:
        """Do nothing: the results of calls are recorded as they occur."""

    def control_bytes(self) -> int:
        """Return 0: baselines send no messages."""
        return 0

    def violations(self) -> list[str]:
        """Return the violations that the engines recorded."""
        return engine_violations(self.engines)


class RandomPolicy(BaselinePolicy):
    """Loads on a random engine and evicts a random idle adapter."""

    def select_engine(self, engines: list[FakeEngine], ref: str) -> FakeEngine:
        """Return a random engine that holds the adapter."""
        return self.random.choice(engines)

    def load_candidates(self, ref: str) -> list[FakeEngine]:
        """Return the engines that are up, in random order."""
        engines = self.running_engines()
        self.random.shuffle(engines)
        return engines

    def select_load_target(self, ref: str) -> LoadTarget | None:
        """Return the first engine with a free slot or an idle adapter."""
        return self.first_fit(ref)

    def select_victim(self, engine: FakeEngine) -> str | None:
        """Return a random idle adapter; None if all are in use."""
        idle = self.idle_adapters(engine)
        return self.random.choice(idle) if idle else None


class LruPolicy(BaselinePolicy):
    """Loads on the least loaded engine and evicts its least recently used adapter."""

    def select_load_target(self, ref: str) -> LoadTarget | None:
        """Return the least loaded engine with a free slot or an idle adapter."""
        return self.first_fit(ref)


class RendezvousPolicy(BaselinePolicy):
    """Assigns each adapter to one engine by rendezvous hashing; evicts by LRU there."""

    def load_candidates(self, ref: str) -> list[FakeEngine]:
        """Return the engine with the highest hash, among those that are up."""
        engine_names = [engine.endpoint.name for engine in self.running_engines()]
        return [self.engines[name] for name in rendezvous_rank(ref, engine_names)[:1]]


class ClairvoyantPolicy(BaselinePolicy):
    """Evicts the adapter whose next use is furthest in the future (Belady), over all engines."""

    def __init__(self, trace: Trace, seed: int) -> None:
        super().__init__(trace, seed)
        self.use_times_by_ref: dict[str, list[float]] = {}
        for arrival in trace.arrivals:
            self.use_times_by_ref.setdefault(adapter_ref(arrival.adapter), []).append(
                STARTUP_S + arrival.at
            )

    def next_use_at(self, ref: str) -> float:
        """Return the virtual time of the next call for an adapter; infinite if there is none."""
        use_times = self.use_times_by_ref.get(ref, [])
        index = bisect.bisect_right(use_times, self.clock.seconds)
        return use_times[index] if index < len(use_times) else float("inf")

    def pending_loads(self) -> list[str]:
        """Return the adapters to load, the one with the most waiting calls first."""
        refs = super().pending_loads()
        return sorted(refs, key=lambda ref: -len(self.waiting_by_ref[ref]))

    def select_load_target(self, ref: str) -> LoadTarget | None:
        """Return the least loaded engine with a free slot, else the idle adapter needed last."""
        engines = self.load_candidates(ref)
        for engine in engines:
            if len(engine.slots) < engine.endpoint.slots:
                return engine, None
        idle = [(engine, victim) for engine in engines for victim in self.idle_adapters(engine)]
        key = lambda found: (self.next_use_at(found[1]), -self.compute_load(found[0]))
        return max(idle, key=key, default=None)
