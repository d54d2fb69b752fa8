"""A simulated site: the reducers of several entries, with fakes and a network between them."""

import random
from collections.abc import Callable

from attrs import evolve

from poplarhoist import wire
from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import events as ev
from poplarhoist.decisions import relay
from poplarhoist.decisions.limits import Limits
from poplarhoist.decisions.membership import ENDPOINT_PREFIX, INSTANCE_PREFIX
from poplarhoist.decisions.reducer import reduce
from poplarhoist.decisions.state import State
from poplarhoist.entry.platform import token_digest
from poplarhoist.models import (
    Adapter,
    Caller,
    Endpoint,
    EndpointKind,
    Instance,
    LifecycleState,
    Place,
    Preset,
    Route,
    Service,
    VersionState,
)
from poplarhoist.publish import Draft, Publisher
from poplarhoist.replay.clock import VirtualClock
from poplarhoist.replay.fakes import FakeEngine, FakePlatform, FakeService, FakeStore, Job
from poplarhoist.replay.network import SimulatedNetwork
from poplarhoist.replay.platform_client import FakePlatformClient
from poplarhoist.replay.records import FakeEntry, RequestRecord

TICK_S = 0.05
TOKEN_BYTES = 200
TOKEN = "token"
CALLER = "caller"
BOOKING_ROUTES = (Route("POST", "/book", False), Route("GET", "/free", True))


class Simulation(SimulatedNetwork):
    """A simulated site: real reducers of entries, and fakes of everything else.

    The attributes ``checks`` and ``hooks`` hold callables. Each check gets the simulation after
    every event. Each hook gets an entry and the event that is about to be applied or the effect
    that is about to run.

    Parameters
    ----------
    entries : int
        Number of entries, spread over the places in turn.
    engines : int
        Number of engines, spread over the places in turn.
    slots, batch : int
        Adapter slots and batch limit of each engine.
    places : tuple of Place
        Regions and availability zones.
    checks_fencing : bool
        Whether engines refuse orders with an epoch below the highest that they have seen.
    step_s : float
        Seconds of a step of an engine's batch.
    latency_s, cross_region_latency_s : float
        One-way latency in seconds, within a region and between regions.
    """

    def __init__(
        self,
        entries: int = 3,
        engines: int = 3,
        slots: int = 4,
        batch: int = 8,
        places: tuple[Place, ...] = (Place("r1", "r1-a"),),
        checks_fencing: bool = True,
        limits: Limits | None = None,
        seed: int = 0,
        step_s: float = 0.03,
        latency_s: float = 0.001,
        cross_region_latency_s: float = 0.03,
    ) -> None:
        self.clock = VirtualClock()
        self.random = random.Random(seed)
        self.limits = limits or Limits()
        self.latency_s = latency_s
        self.cross_region_latency_s = cross_region_latency_s
        self.platform = FakePlatform(self.clock)
        self.platform.watchers.append(self.notify_watchers)
        store_limits = (self.limits.store_loads_per_s, self.limits.store_in_flight)
        self.store = FakeStore(self.clock, *store_limits, self.limits.load_s)
        self.engines: dict[str, FakeEngine] = {}
        self.services: dict[str, FakeService] = {}
        self.entries: dict[str, FakeEntry] = {}
        self.requests_by_id: dict[str, RequestRecord] = {}
        self.reduce = reduce
        self.checks: list[Callable[[Simulation], None]] = []
        self.hooks: list[Callable[[FakeEntry, object], None]] = []
        self.partitioned_pairs: set[frozenset[str]] = set()
        self.event_count = 0
        for number in range(engines):
            place = places[number % len(places)]
            self.add_engine(f"engine-{number + 1}", place, slots, batch, checks_fencing, step_s)
        self.add_service("booking-1", places[0])
        for number in range(entries):
            self.add_entry(f"entry-{number + 1}", places[number % len(places)])

    def add_engine(self, name, place, slots, batch, checks_fencing, step_s, base="base") -> None:
        """Add a fake engine and its record on the platform."""
        endpoint = Endpoint(
            name, EndpointKind.ENGINE, base, place, "-", 0, slots, batch, checks_fencing
        )
        self.engines[name] = FakeEngine(endpoint, self.clock, self.store, step_s)
        self.platform.write(ENDPOINT_PREFIX + name, wire.dump(endpoint))

    def add_service(self, name: str, place: Place) -> None:
        """Add a fake plain service and its record on the platform."""
        endpoint = Endpoint(name, EndpointKind.SERVICE, "booking", place, "-", 0)
        self.services[name] = FakeService(endpoint, self.clock)
        self.platform.write(ENDPOINT_PREFIX + name, wire.dump(endpoint))

    def add_entry(self, name: str, place: Place) -> None:
        """Start an entry; one that was killed starts again with a new boot id and empty state."""
        me = Instance(name, place, "-", 0)
        state = State(
            me=me,
            boot=f"{name}.{self.event_count}.{self.random.randrange(10**9)}",
            random=random.Random(self.random.randrange(10**9)),
            limits=self.limits,
            services={"booking": Service("booking", BOOKING_ROUTES)},
        )
        relay.seed_peers(state, [entry.state.me for entry in self.entries.values()])
        entry = self.entries[name] = FakeEntry(state)
        self.platform.write(INSTANCE_PREFIX + name, wire.dump(me))
        self.clock.after(self.latency_s, lambda: self.deliver_watched_objects(entry))
        self.clock.after(self.random.random() * TICK_S, lambda: self.tick(entry))

    def publisher(self) -> Publisher:
        """Return a publisher that writes to the fake platform."""
        return Publisher(FakePlatformClient(self.platform), "bench")

    def configure(self, adapters: int = 8, preset: Preset | None = None) -> None:
        """Publish adapters ``a0``, ``a1``, … in version 1, one caller, and an active preset."""
        preset = preset or Preset("ordinary")

        def edit(draft: Draft) -> None:
            draft.put_caller(Caller(CALLER, token_digest(TOKEN)))
            draft.put_preset(preset)
            draft.preset = preset.name
            for number in range(adapters):
                versions = {"1": VersionState.PUBLISHED}
                draft.put_adapter(Adapter(f"a{number}", "base", versions, 1))

        self.publisher().apply_change(edit)

    def run(self, seconds: float) -> None:
        """Advance the virtual clock."""
        self.clock.run_until(self.clock.seconds + seconds)

    # Entries

    def tick(self, entry: FakeEntry) -> None:
        """Submit a tick to an entry every ``TICK_S`` seconds until the entry ends."""
        if not entry.alive or entry.stopped:
            return
        if not entry.paused:
            self.submit(entry, lambda at: ev.Tick(at))
        self.clock.after(TICK_S, lambda: self.tick(entry))

    def submit(self, entry: FakeEntry, make_event: Callable[[float], ev.Event]) -> None:
        """Apply an event and run its effects; a paused entry handles it after ``resume``."""
        if not entry.alive or entry.stopped:
            return
        if entry.paused:
            entry.deferred.append(lambda: self.submit(entry, make_event))
            return
        self.event_count += 1
        event = make_event(self.clock.seconds)
        self.run_hooks(entry, event)
        if not entry.alive:
            return
        if entry.paused:
            entry.deferred.append(lambda: self.submit(entry, make_event))
            return
        for effect in self.reduce(entry.state, event):
            self.run_effect(entry, effect)
        for check in self.checks:
            check(self)

    def run_hooks(self, entry: FakeEntry, item: object) -> None:
        """Call the hooks with an event that is about to be applied or an effect about to run."""
        for hook in self.hooks:
            hook(entry, item)

    def run_effect(self, entry: FakeEntry, effect: fx.Effect) -> None:
        """Run an effect; defer it if the entry is paused, drop it if the entry was killed."""
        if entry.alive and not entry.paused:
            self.run_hooks(entry, effect)
        if entry.pause_before is not None and isinstance(effect, entry.pause_before):
            entry.pause_before = None
            entry.paused = True
        if not entry.alive:
            return
        if entry.paused:
            entry.deferred.append(lambda: self.run_effect(entry, effect))
            return
        EFFECT_HANDLERS[type(effect)](self, entry, effect)

    def pause(self, name: str) -> None:
        """Pause an entry as SIGSTOP does; its events and effects are deferred."""
        self.entries[name].paused = True

    def resume(self, name: str) -> None:
        """Resume a paused entry; deferred events and effects are handled first."""
        entry = self.entries[name]
        entry.paused = False
        deferred, entry.deferred = entry.deferred, []
        for call in deferred:
            call()

    def kill(self, name: str, listed: bool = False) -> None:
        """End an entry abruptly; its requests break off, and its record stays if ``listed``."""
        entry = self.entries[name]
        entry.alive = False
        if not listed:
            self.platform.write_after_lag(INSTANCE_PREFIX + name, None)

    def drain(self, name: str) -> None:
        """Ask an entry to drain and then stop."""
        entry = self.entries[name]
        value = wire.dump(evolve(entry.state.me, state=LifecycleState.LEAVING))
        self.platform.write_after_lag(INSTANCE_PREFIX + name, value)
        self.submit(entry, lambda at: ev.DrainAsked(at))

    def drain_endpoint(self, endpoint: str) -> None:
        """Drain an endpoint: it refuses new work now, and its record changes after the list lag."""
        fake = self.engines.get(endpoint) or self.services[endpoint]
        fake.start_draining()
        value = wire.dump(evolve(fake.endpoint, state=LifecycleState.LEAVING))
        self.platform.write_after_lag(ENDPOINT_PREFIX + endpoint, value)

    # Requests

    def ask(self, entry: str, target: str, tokens: int = 8, deadline_s: float = 30.0, **more):
        """Send a model call to an entry and return its record."""
        return self.send(entry, target, tokens, deadline_s, **more)

    def book(self, entry: str, key: str, deadline_s: float = 30.0, content: str = "x"):
        """Send a service call that must not run twice to an entry and return its record."""
        return self.send(
            entry,
            "booking",
            0,
            deadline_s,
            is_service=True,
            idempotency_key=key,
            digest=content,
            path="/book",
        )

    def look_up(self, entry: str, deadline_s: float = 30.0):
        """Send a service call that may run more than once to an entry and return its record."""
        return self.send(
            entry, "booking", 0, deadline_s, is_service=True, method="GET", path="/free"
        )

    def send(
        self, entry, target, tokens, deadline_s, poison=False, digest="", token=TOKEN, **more
    ) -> RequestRecord:
        """Send a request to an entry and return its record."""
        request_id = f"r{len(self.requests_by_id)}"
        record = RequestRecord(request_id, entry, target, tokens, self.clock.seconds, poison=poison)
        record.is_service = more.get("is_service", False)
        record.idempotency_key = more.get("idempotency_key", "")
        self.requests_by_id[request_id] = record
        fake_entry = self.entries[entry]
        self.submit(
            fake_entry,
            lambda at: ev.RequestArrived(
                at=at,
                request_id=request_id,
                token_sha256=token_digest(token),
                target=target,
                deadline_s=deadline_s,
                content_digest=digest or request_id,
                **more,
            ),
        )
        return record

    def dispatch(self, entry: FakeEntry, effect: fx.Dispatch) -> None:
        """Send an attempt of a request to a fake endpoint; the answer takes the same way back."""
        record = self.requests_by_id[effect.request_id]
        record.dispatched_endpoints.append(effect.endpoint)
        if record.dispatched_at is None:
            record.dispatched_at = self.clock.seconds
        delay_s = self.latency_to(entry, effect.endpoint)

        def on_done(outcome: ev.Outcome, reason: str) -> None:
            self.clock.after(delay_s, lambda: self.on_attempt_ended(entry, effect, outcome, reason))

        def send() -> None:
            if effect.endpoint in self.services:
                service = self.services[effect.endpoint]
                service.call(
                    record.request_id, record.idempotency_key or record.request_id, on_done
                )
                return
            on_first_token = lambda: self.on_first_token(record, effect)
            job = Job(
                record.request_id,
                str(effect.ref),
                record.tokens,
                on_done,
                on_first_token,
                record.poison,
            )
            self.engines[effect.endpoint].submit(job)

        self.clock.after(delay_s, send)

    def on_first_token(self, record: RequestRecord, effect: fx.Dispatch) -> None:
        """Record when the first token of a request was generated."""
        if record.first_at is None:
            record.first_at = self.clock.seconds

    def on_attempt_ended(self, entry: FakeEntry, effect: fx.Dispatch, outcome, reason: str) -> None:
        """Record the end of an attempt and report it to the entry.

        The caller has its answer only if the attempt is the current one and its entry is alive.
        """
        record = self.requests_by_id[effect.request_id]
        request = entry.state.requests.get(effect.request_id)
        is_current_attempt = request is not None and request.attempt == effect.attempt
        if outcome is ev.Outcome.COMPLETED and entry.alive and is_current_attempt:
            record.completed = True
            record.answered_by = effect.ref
            record.ended_at = self.clock.seconds
        self.submit(
            entry,
            lambda at: ev.AttemptEnded(
                at=at,
                request_id=effect.request_id,
                attempt=effect.attempt,
                endpoint=effect.endpoint,
                outcome=outcome,
                reason=reason,
                answer_bytes=record.tokens * TOKEN_BYTES if outcome is ev.Outcome.COMPLETED else 0,
                recorded_answer="answer" if effect.ref is None else "",
            ),
        )

    def refuse(self, entry: FakeEntry, effect: fx.Refuse) -> None:
        """Record the refusal of a request."""
        record = self.requests_by_id[effect.request_id]
        record.refusal = effect.refusal
        record.ended_at = self.clock.seconds

    def replay_answer(self, entry: FakeEntry, effect: fx.ReplayAnswer) -> None:
        """Record that a request was answered with a stored answer."""
        record = self.requests_by_id[effect.request_id]
        record.replayed = record.completed = True
        record.ended_at = self.clock.seconds

    def count(self, entry: FakeEntry, effect: fx.Count) -> None:
        """Add to a counter of an entry."""
        key = (effect.counter, effect.labels)
        entry.counters[key] = entry.counters.get(key, 0.0) + effect.amount

    def stop(self, entry: FakeEntry, effect: fx.Stop) -> None:
        """Stop an entry that has drained; its record is deleted after the list lag."""
        entry.stopped = True
        self.platform.write_after_lag(INSTANCE_PREFIX + entry.state.me.name, None)

    def sum_counter(self, counter: str) -> dict[tuple[str, ...], float]:
        """Return the values of a counter by labels, summed over all entries."""
        total: dict[tuple[str, ...], float] = {}
        for entry in self.entries.values():
            for (name, labels), amount in entry.counters.items():
                if name == counter:
                    total[labels] = total.get(labels, 0.0) + amount
        return total

    def violations(self) -> list[str]:
        """Return the violations that the engines recorded."""
        return [text for engine in self.engines.values() for text in engine.violations]


def _make_platform_handler(perform):
    def handle(sim: Simulation, entry: FakeEntry, effect) -> None:
        sim.call_platform(entry, effect.purpose, lambda: perform(sim.platform, effect))

    return handle


EFFECT_HANDLERS = {
    fx.PlatformGet: _make_platform_handler(lambda platform, effect: platform.get(effect.path)),
    fx.PlatformList: _make_platform_handler(lambda platform, effect: platform.list(effect.prefix)),
    fx.PlatformPut: _make_platform_handler(
        lambda platform, effect: platform.put(effect.path, effect.value, effect.expected_version)
    ),
    fx.PlatformDelete: _make_platform_handler(
        lambda platform, effect: platform.put(effect.path, None, effect.expected_version)
    ),
    fx.Dispatch: Simulation.dispatch,
    fx.Refuse: Simulation.refuse,
    fx.ReplayAnswer: Simulation.replay_answer,
    fx.SendMessage: Simulation.send_message,
    fx.PollEndpoint: Simulation.poll_endpoint,
    fx.SendOrder: Simulation.send_order,
    fx.Count: Simulation.count,
    fx.LogChange: lambda sim, entry, effect: None,
    fx.Stop: Simulation.stop,
}
