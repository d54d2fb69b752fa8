"""Faults that strike a small site at a chosen step of a fixed piece of work."""

import functools
from collections.abc import Callable

from attrs import define, field

from poplarhoist import wire
from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import events as ev
from poplarhoist.decisions import messages as msg
from poplarhoist.decisions.limits import Limits
from poplarhoist.errors import PoplarhoistError
from poplarhoist.models import Adapter, ConfigIndex, Place, Preset, VersionState
from poplarhoist.publish import Draft
from poplarhoist.replay.simulation import FakeEntry, Simulation
from tests.invariants import Invariants

PLACES = (Place("r1", "r1-a"), Place("r1", "r1-b"), Place("r2", "r2-a"))
WARM_S = 5.0
WORK_S = 12.0
FAULT_S = 6.0
SETTLE_S = 45.0
DEADLINE_S = 20.0
ADAPTERS = 12


@define(eq=False)
class Scene:
    """A site at work, and where a fault strikes."""

    bench: Simulation
    invariants: Invariants
    lost: set[str] = field(factory=set)
    publishing: bool = False
    strikes: int = 0

    def publish(self, edit: Callable[[Draft], None]) -> None:
        """Change the configuration as an operator does; a refusal is the operator's answer."""
        try:
            index = self.bench.publisher().apply_change(edit)
        except PoplarhoistError:
            return
        self.invariants.accept(index.revision, index.preset)

    def use_preset(self, name: str) -> None:
        """Put a preset in force, made on first use."""

        def edit(draft: Draft) -> None:
            draft.put_preset(Preset(name))
            draft.preset = name

        self.publish(edit)

    def publish_version(self, adapter: str, version: int) -> None:
        """Publish a version of an adapter and make it current."""
        states = {str(v): VersionState.PUBLISHED for v in range(1, version + 1)}
        self.publish(lambda draft: draft.put_adapter(Adapter(adapter, "base", states, version)))

    def alive(self) -> list[str]:
        """Return the entries that callers can reach."""
        entries = self.bench.entries.items()
        return [n for n, e in entries if e.alive and not e.stopped and not e.state.draining]

    def entry(self, number: int) -> str:
        """Return an entry that callers can reach."""
        names = self.alive()
        return names[number % len(names)]


def make_scene(checks_fencing: bool = True, seed: int = 0) -> Scene:
    """Return a site of four entries and three engines that is up and configured."""
    bench = Simulation(
        entries=4,
        engines=3,
        slots=2,
        batch=4,
        places=PLACES,
        checks_fencing=checks_fencing,
        limits=Limits(),
        seed=seed,
    )
    scene = Scene(bench, Invariants(bench))
    bench.platform.list_lag_s = 1.0
    bench.configure(adapters=ADAPTERS)
    index = wire.load(bench.platform.objects["index"][1], ConfigIndex)
    scene.invariants.accept(index.revision, index.preset)
    bench.run(WARM_S)
    return scene


def work(scene: Scene) -> None:
    """Ask, book, publish, switch presets and drain an entry, over ``WORK_S`` seconds."""
    bench = scene.bench
    for step in range(48):
        bench.clock.after(step * WORK_S / 48, lambda step=step: ask_some(scene, step))
    bench.clock.after(3.0, lambda: scene.publish_version("a1", 2))
    bench.clock.after(5.0, lambda: scene.use_preset("peak"))
    bench.clock.after(7.0, lambda: drain_one(scene))
    bench.clock.after(9.0, lambda: leave_one(scene))


def ask_some(scene: Scene, step: int) -> None:
    """Send a model call, and now and then a booking and its resend."""
    bench = scene.bench
    adapter = f"a{(step * step + step // 3) % ADAPTERS}"
    bench.ask(scene.entry(step), adapter, tokens=6 + step % 5, deadline_s=DEADLINE_S)
    if step % 4 == 0:
        key = f"k{step}"
        bench.book(scene.entry(step), key, deadline_s=DEADLINE_S)
        resend_s = 0.02 * (step % 8)
        bench.clock.after(
            resend_s, lambda: bench.book(scene.entry(step + 1), key, deadline_s=DEADLINE_S)
        )


def drain_one(scene: Scene) -> None:
    """Stop the lead gracefully, so that it has something to hand over."""
    names = scene.alive()
    if len(names) < 2:
        return
    leads = [name for name in names if scene.bench.entries[name].state.boards]
    scene.bench.drain((leads or names)[0])


def leave_one(scene: Scene) -> None:
    """Let an engine leave while the platform's list lags."""
    scene.bench.drain_endpoint("engine-3")


# Steps: each tells whether an event or effect is the step's moment.


def is_item(item_type: type, **fields) -> Callable[[object], bool]:
    """Return a test for an effect or event with some field values."""

    def matches(item: object) -> bool:
        if not isinstance(item, item_type):
            return False
        return all(getattr(item, name) == value for name, value in fields.items())

    return matches


def is_message(kind: type) -> Callable[[object], bool]:
    """Return a test for a message that is about to be sent."""
    return lambda item: isinstance(item, fx.SendMessage) and isinstance(item.message, kind)


def is_call(purpose: type) -> Callable[[object], bool]:
    """Return a test for a platform call with a purpose."""
    return lambda item: isinstance(getattr(item, "purpose", None), purpose) and not isinstance(
        item, ev.PlatformAnswered
    )


def is_answer(purpose: type) -> Callable[[object], bool]:
    """Return a test for the answer of a platform call with a purpose."""
    return lambda item: isinstance(item, ev.PlatformAnswered) and isinstance(item.purpose, purpose)


def is_replacing(item: object) -> bool:
    """Return whether an order evicts an adapter."""
    return isinstance(item, fx.SendOrder) and item.replaces is not None


STEPS: dict[str, Callable[[object], bool]] = {
    "accept": is_item(ev.RequestArrived, is_service=False),
    "admit": is_message(msg.Demand),
    "resolve-version": is_item(ev.RequestArrived, target="a1"),
    "wait-for-load": is_message(msg.Expected),
    "grant": is_message(msg.Grant),
    "dispatch": lambda item: isinstance(item, fx.Dispatch) and item.ref is not None,
    "dispatch-service": lambda item: isinstance(item, fx.Dispatch) and item.ref is None,
    "answer": is_item(ev.AttemptEnded, outcome=ev.Outcome.COMPLETED),
    "record": is_call(fx.RunCreate),
    "recorded": is_answer(fx.RunCreate),
    "record-answer": is_call(fx.RunFinish),
    "recall": is_message(msg.Recall),
    "return": is_message(msg.Returned),
    "evict": is_replacing,
    "order": is_item(fx.SendOrder, kind=fx.OrderKind.LOAD),
    "ordered": is_item(ev.OrderAnswered),
    "lease-renew": is_call(fx.LeaseWrite),
    "lease-renewed": is_answer(fx.LeaseWrite),
    "gather": is_message(msg.GatherGrants),
    "hand-over": is_item(ev.DrainAsked),
    "watch": is_item(ev.ObjectChanged, path="index"),
    "page": is_answer(fx.PageRead),
    "leave": is_item(fx.LogChange, change="endpoint-leaving"),
}


# Faults: each strikes at once and heals by itself.


def later(scene: Scene, seconds: float, call: Callable[[], None]) -> None:
    """Heal a fault after some seconds."""
    scene.bench.clock.after(seconds, call)


def shift_popularity(scene: Scene, entry: FakeEntry) -> None:
    """Send a burst for other adapters."""
    for number in range(10):
        scene.bench.clock.after(
            0.01 * number,
            lambda number=number: scene.bench.ask(
                scene.entry(number), f"a{number}@1", deadline_s=DEADLINE_S
            ),
        )


def restart_engine(scene: Scene, entry: FakeEntry) -> None:
    """Restart the busiest engine with a cold start."""
    engines = scene.bench.engines.values()
    max(engines, key=lambda engine: len(engine.running) + len(engine.slots)).crash()


def fail_loads(scene: Scene, entry: FakeEntry) -> None:
    """Let the next loads fail."""
    for engine in scene.bench.engines.values():
        engine.fail_loads += 2


def store_down(scene: Scene, entry: FakeEntry) -> None:
    """Take the weight store away."""
    scene.bench.store.down = True
    later(scene, FAULT_S, lambda: setattr(scene.bench.store, "down", False))


def store_slow(scene: Scene, entry: FakeEntry) -> None:
    """Slow the weight store down."""
    scene.bench.store.slowdown = 8.0
    later(scene, FAULT_S, lambda: setattr(scene.bench.store, "slowdown", 1.0))


def platform_down(scene: Scene, entry: FakeEntry) -> None:
    """Take the platform away for longer than a lease."""
    scene.bench.platform.outage = True
    later(scene, FAULT_S, lambda: setattr(scene.bench.platform, "outage", False))


def platform_slow(scene: Scene, entry: FakeEntry) -> None:
    """Slow the platform down."""
    scene.bench.platform.slow_s = 0.9
    later(scene, FAULT_S, lambda: setattr(scene.bench.platform, "slow_s", 0.0))


def lose_answers(scene: Scene, entry: FakeEntry) -> None:
    """Let the next writes take effect without an answer."""
    scene.bench.platform.lose_answers += 3


def lose_service_answers(scene: Scene, entry: FakeEntry) -> None:
    """Let the next calls of the plain service run without an answer."""
    scene.bench.services["booking-1"].lose_answers += 2


def pause_entry(scene: Scene, entry: FakeEntry) -> None:
    """Pause the entry at which the step happens, past its lease."""
    name = entry.state.me.name
    scene.bench.pause(name)
    later(scene, FAULT_S, lambda: scene.bench.resume(name))


def pause_long(scene: Scene, entry: FakeEntry) -> None:
    """Pause the entry at which the step happens for much longer than any timeout."""
    name = entry.state.me.name
    scene.bench.pause(name)
    later(scene, 4 * FAULT_S, lambda: scene.bench.resume(name))


def kill_entry(scene: Scene, entry: FakeEntry) -> None:
    """End the entry at which the step happens, and start it again under its name."""
    name, place = entry.state.me.name, entry.state.me.place
    if len(scene.alive()) < 3 or not entry.alive:
        return
    scene.lost.add(name)
    scene.bench.kill(name)
    later(scene, FAULT_S, lambda: scene.bench.add_entry(name, place))


def race_operators(scene: Scene, entry: FakeEntry) -> None:
    """Let two operators change the same things."""
    if scene.publishing:
        return
    scene.publishing = True
    for name in ("maintenance", "ordinary"):
        scene.use_preset(name)
    scene.publish_version("a2", 2)
    scene.publishing = False


def poison(scene: Scene, entry: FakeEntry) -> None:
    """Send a request that crashes the engine that runs it, and send it again elsewhere."""
    for number, delay_s in enumerate((0.0, 0.3, 2.0, 6.0)):
        later(
            scene,
            delay_s,
            lambda number=number: scene.bench.ask(
                scene.entry(number), "a3", deadline_s=DEADLINE_S, poison=True, digest="poison"
            ),
        )


def silence(scene: Scene, entry: FakeEntry) -> None:
    """Let an engine's polls, the entry's peers and its watch go silent."""
    bench, me = scene.bench, entry.state.me.name
    bench.engines["engine-1"].silent = True
    pairs = {frozenset((me, other)) for other in bench.entries if other != me}
    bench.partitioned_pairs |= pairs
    entry.watching = False

    def heal() -> None:
        bench.engines["engine-1"].silent = False
        bench.partitioned_pairs -= pairs
        entry.watching = True
        # What is published now arrives before what the silent watch still has to tell.
        race_operators(scene, entry)

    later(scene, FAULT_S, heal)


# With these, the entry that saw an engine die may be unable to tell anybody.
UNWITNESSED = {"lease-lapsed", "long-pause", "entry-killed", "silent-connection"}

FAULTS: dict[str, Callable[[Scene, FakeEntry], None]] = {
    "popularity-shift": shift_popularity,
    "engine-restart": restart_engine,
    "load-failure": fail_loads,
    "store-down": store_down,
    "store-slow": store_slow,
    "platform-down": platform_down,
    "platform-slow": platform_slow,
    "answer-lost": lose_answers,
    "service-answer-lost": lose_service_answers,
    "lease-lapsed": pause_entry,
    "long-pause": pause_long,
    "entry-killed": kill_entry,
    "operators-racing": race_operators,
    "crashing-request": poison,
    "silent-connection": silence,
}


def strike(scene: Scene, step: str, faults: tuple[str, ...], skip: int, times: int) -> None:
    """Let faults strike together at a step, after some skips, and at its next moments again."""
    matches = STEPS[step]
    left = skip

    def hook(entry: FakeEntry, item: object) -> None:
        nonlocal left
        if scene.strikes >= times or not matches(item):
            return
        if left > 0:
            left -= 1
            return
        scene.strikes += 1
        for name in faults:
            FAULTS[name](scene, entry)

    scene.bench.hooks.append(hook)


@functools.cache
def occurrences(step: str, checks_fencing: bool, seed: int) -> int:
    """Return how often a step happens in the work without faults."""
    return count_steps(checks_fencing, seed)[step]


@functools.cache
def count_steps(checks_fencing: bool, seed: int) -> dict[str, int]:
    """Run the work without faults and count the moments of every step."""
    scene = make_scene(checks_fencing, seed)
    counts = dict.fromkeys(STEPS, 0)

    def hook(entry: FakeEntry, item: object) -> None:
        for name, matches in STEPS.items():
            counts[name] += bool(matches(item))

    scene.bench.hooks.append(hook)
    work(scene)
    scene.bench.run(WORK_S + SETTLE_S)
    return counts


def run_cell(
    step: str,
    faults: tuple[str, ...],
    checks_fencing: bool = True,
    seed: int = 0,
    skip: int = 0,
    times: int = 1,
) -> Scene:
    """Run the work with faults at a step; the scene tells what was broken.

    The faults strike at the moment numbered ``skip``, modulo those that the work has.
    """
    skip %= max(1, occurrences(step, checks_fencing, seed))
    scene = make_scene(checks_fencing, seed)
    scene.invariants.most_poisoned += len(UNWITNESSED.intersection(faults)) * times
    strike(scene, step, faults, skip, times)
    work(scene)
    scene.bench.run(WORK_S + SETTLE_S)
    scene.invariants.check_end(scene.lost)
    return scene
