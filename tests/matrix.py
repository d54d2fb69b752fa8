"""The fault matrix: injects faults into a simulated site at a chosen step of a fixed workload.

A cell of the matrix is a step of the workload with the faults that are injected there.
"""

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
from tests.invariants import InvariantChecker

PLACES = (Place("r1", "r1-a"), Place("r1", "r1-b"), Place("r2", "r2-a"))
WARM_UP_S = 5.0
WORKLOAD_S = 12.0
FAULT_DURATION_S = 6.0
SETTLE_S = 45.0
DEADLINE_S = 20.0
ADAPTER_COUNT = 12


@define(eq=False)
class Scenario:
    """A simulated site that runs the workload, and what has been injected so far.

    Attributes
    ----------
    killed_entries : set
        Names of entries that a fault killed; requests sent to them may stay without an answer.
    is_publishing : bool
        Whether ``publish_concurrently`` runs; prevents that its own writes start it again.
    injection_count : int
        How often the faults were injected; 0 if the step did not occur.
    """

    sim: Simulation
    checker: InvariantChecker
    killed_entries: set[str] = field(factory=set)
    is_publishing: bool = False
    injection_count: int = 0

    def publish(self, edit: Callable[[Draft], None]) -> None:
        """Change the configuration as an operator does; ignore a refused change.

        An accepted change is recorded, so that the checker expects it to come into force.
        """
        try:
            index = self.sim.publisher().apply_change(edit)
        except PoplarhoistError:
            return
        self.checker.record_accepted_change(index.revision, index.preset)

    def activate_preset(self, name: str) -> None:
        """Create a preset if it does not exist, and put it in force."""

        def edit(draft: Draft) -> None:
            draft.put_preset(Preset(name))
            draft.preset = name

        self.publish(edit)

    def publish_version(self, adapter: str, version: int) -> None:
        """Publish all versions of an adapter up to a number and make the last one current."""
        states = {str(v): VersionState.PUBLISHED for v in range(1, version + 1)}
        self.publish(lambda draft: draft.put_adapter(Adapter(adapter, "base", states, version)))

    def reachable_entries(self) -> list[str]:
        """Return the names of the entries that run and do not drain."""
        entries = self.sim.entries.items()
        return [n for n, e in entries if e.alive and not e.stopped and not e.state.draining]

    def pick_entry(self, number: int) -> str:
        """Return the name of a reachable entry; successive numbers rotate over them."""
        names = self.reachable_entries()
        return names[number % len(names)]


def make_scenario(checks_fencing: bool = True, seed: int = 0) -> Scenario:
    """Return a configured site of four entries and three engines, after its warm-up."""
    sim = Simulation(
        entries=4,
        engines=3,
        slots=2,
        batch=4,
        places=PLACES,
        checks_fencing=checks_fencing,
        limits=Limits(),
        seed=seed,
    )
    scenario = Scenario(sim, InvariantChecker(sim))
    sim.platform.list_lag_s = 1.0
    sim.configure(adapters=ADAPTER_COUNT)
    index = wire.load(sim.platform.objects["index"][1], ConfigIndex)
    scenario.checker.record_accepted_change(index.revision, index.preset)
    sim.run(WARM_UP_S)
    return scenario


def schedule_workload(scenario: Scenario) -> None:
    """Schedule the workload over ``WORKLOAD_S`` seconds.

    It sends requests, publishes a version, switches the preset, and drains an entry and an engine.
    """
    sim = scenario.sim
    for step in range(48):
        sim.clock.after(step * WORKLOAD_S / 48, lambda step=step: send_requests(scenario, step))
    sim.clock.after(3.0, lambda: scenario.publish_version("a1", 2))
    sim.clock.after(5.0, lambda: scenario.activate_preset("peak"))
    sim.clock.after(7.0, lambda: drain_lead_entry(scenario))
    sim.clock.after(9.0, lambda: drain_engine(scenario))


def send_requests(scenario: Scenario, step: int) -> None:
    """Send a model call, and on every fourth step a booking and its resend with the same key."""
    sim = scenario.sim
    adapter = f"a{(step * step + step // 3) % ADAPTER_COUNT}"
    sim.ask(scenario.pick_entry(step), adapter, tokens=6 + step % 5, deadline_s=DEADLINE_S)
    if step % 4 == 0:
        key = f"k{step}"
        sim.book(scenario.pick_entry(step), key, deadline_s=DEADLINE_S)
        resend_s = 0.02 * (step % 8)
        sim.clock.after(
            resend_s, lambda: sim.book(scenario.pick_entry(step + 1), key, deadline_s=DEADLINE_S)
        )


def drain_lead_entry(scenario: Scenario) -> None:
    """Drain a lead, so that leadership has to be handed over; any entry if none leads.

    Does nothing if fewer than two entries are reachable.
    """
    names = scenario.reachable_entries()
    if len(names) < 2:
        return
    leads = [name for name in names if scenario.sim.entries[name].state.boards]
    scenario.sim.drain((leads or names)[0])


def drain_engine(scenario: Scenario) -> None:
    """Drain an engine while the platform's list still shows it as live."""
    scenario.sim.drain_endpoint("engine-3")


# Steps: a step occurs when an event is about to be applied, or an effect about to run, that
# matches its predicate.


def matches_item(item_type: type, **fields) -> Callable[[object], bool]:
    """Return a predicate for an event or effect of a type, with these field values."""

    def matches(item: object) -> bool:
        if not isinstance(item, item_type):
            return False
        return all(getattr(item, name) == value for name, value in fields.items())

    return matches


def matches_message(kind: type) -> Callable[[object], bool]:
    """Return a predicate for the sending of a message of a type."""
    return lambda item: isinstance(item, fx.SendMessage) and isinstance(item.message, kind)


def matches_platform_call(purpose: type) -> Callable[[object], bool]:
    """Return a predicate for a platform call with a purpose of a type."""
    return lambda item: isinstance(getattr(item, "purpose", None), purpose) and not isinstance(
        item, ev.PlatformAnswered
    )


def matches_platform_answer(purpose: type) -> Callable[[object], bool]:
    """Return a predicate for the answer to a platform call with a purpose of a type."""
    return lambda item: isinstance(item, ev.PlatformAnswered) and isinstance(item.purpose, purpose)


def is_replacing_load(item: object) -> bool:
    """Return whether an item is a load order that evicts another adapter."""
    return isinstance(item, fx.SendOrder) and item.replaces is not None


STEPS: dict[str, Callable[[object], bool]] = {
    "accept": matches_item(ev.RequestArrived, is_service=False),
    "admit": matches_message(msg.Demand),
    "resolve-version": matches_item(ev.RequestArrived, target="a1"),
    "wait-for-load": matches_message(msg.Expected),
    "grant": matches_message(msg.Grant),
    "dispatch": lambda item: isinstance(item, fx.Dispatch) and item.ref is not None,
    "dispatch-service": lambda item: isinstance(item, fx.Dispatch) and item.ref is None,
    "answer": matches_item(ev.AttemptEnded, outcome=ev.Outcome.COMPLETED),
    "record": matches_platform_call(fx.RunCreate),
    "recorded": matches_platform_answer(fx.RunCreate),
    "record-answer": matches_platform_call(fx.RunFinish),
    "recall": matches_message(msg.Recall),
    "return": matches_message(msg.Returned),
    "evict": is_replacing_load,
    "order": matches_item(fx.SendOrder, kind=fx.OrderKind.LOAD),
    "ordered": matches_item(ev.OrderAnswered),
    "lease-renew": matches_platform_call(fx.LeaseWrite),
    "lease-renewed": matches_platform_answer(fx.LeaseWrite),
    "gather": matches_message(msg.GatherGrants),
    "hand-over": matches_item(ev.DrainAsked),
    "watch": matches_item(ev.ObjectChanged, path="index"),
    "page": matches_platform_answer(fx.PageRead),
    "leave": matches_item(fx.LogChange, change="endpoint-leaving"),
}


# Faults: each takes effect at once and ends by itself. The entry is the one at which the step
# occurs.


def call_after(scenario: Scenario, delay_s: float, callback: Callable[[], None]) -> None:
    """Run a callback after some simulated seconds, for example to end a fault."""
    scenario.sim.clock.after(delay_s, callback)


def shift_popularity(scenario: Scenario, entry: FakeEntry) -> None:
    """Send a burst of requests for ten adapters within 0.1 s."""
    for number in range(10):
        scenario.sim.clock.after(
            0.01 * number,
            lambda number=number: scenario.sim.ask(
                scenario.pick_entry(number), f"a{number}@1", deadline_s=DEADLINE_S
            ),
        )


def restart_busiest_engine(scenario: Scenario, entry: FakeEntry) -> None:
    """Crash the engine with most running requests and used slots; it restarts without adapters."""
    engines = scenario.sim.engines.values()
    max(engines, key=lambda engine: len(engine.running) + len(engine.slots)).crash()


def fail_loads(scenario: Scenario, entry: FakeEntry) -> None:
    """Let the next two loads of each engine fail."""
    for engine in scenario.sim.engines.values():
        engine.fail_loads += 2


def stop_store(scenario: Scenario, entry: FakeEntry) -> None:
    """Let all loads from the weight store fail for a while."""
    scenario.sim.store.down = True
    call_after(scenario, FAULT_DURATION_S, lambda: setattr(scenario.sim.store, "down", False))


def slow_store(scenario: Scenario, entry: FakeEntry) -> None:
    """Let loads from the weight store take eight times as long for a while."""
    scenario.sim.store.slowdown = 8.0
    call_after(scenario, FAULT_DURATION_S, lambda: setattr(scenario.sim.store, "slowdown", 1.0))


def stop_platform(scenario: Scenario, entry: FakeEntry) -> None:
    """Let the platform refuse all calls, for longer than a lease lasts."""
    scenario.sim.platform.outage = True
    call_after(scenario, FAULT_DURATION_S, lambda: setattr(scenario.sim.platform, "outage", False))


def slow_platform(scenario: Scenario, entry: FakeEntry) -> None:
    """Delay each platform call by 0.9 s for a while."""
    scenario.sim.platform.slow_s = 0.9
    call_after(scenario, FAULT_DURATION_S, lambda: setattr(scenario.sim.platform, "slow_s", 0.0))


def lose_write_answers(scenario: Scenario, entry: FakeEntry) -> None:
    """Let the next three platform writes take effect without an answer."""
    scenario.sim.platform.lose_answers += 3


def lose_service_answers(scenario: Scenario, entry: FakeEntry) -> None:
    """Let the next two calls of the plain service run without an answer."""
    scenario.sim.services["booking-1"].lose_answers += 2


def pause_entry(scenario: Scenario, entry: FakeEntry) -> None:
    """Pause the entry until after its lease has expired."""
    name = entry.state.me.name
    scenario.sim.pause(name)
    call_after(scenario, FAULT_DURATION_S, lambda: scenario.sim.resume(name))


def pause_entry_long(scenario: Scenario, entry: FakeEntry) -> None:
    """Pause the entry for much longer than any timeout."""
    name = entry.state.me.name
    scenario.sim.pause(name)
    call_after(scenario, 4 * FAULT_DURATION_S, lambda: scenario.sim.resume(name))


def kill_entry(scenario: Scenario, entry: FakeEntry) -> None:
    """Kill the entry and start it again under its name.

    Does nothing if fewer than three entries are reachable.
    """
    name, place = entry.state.me.name, entry.state.me.place
    if len(scenario.reachable_entries()) < 3 or not entry.alive:
        return
    scenario.killed_entries.add(name)
    scenario.sim.kill(name)
    call_after(scenario, FAULT_DURATION_S, lambda: scenario.sim.add_entry(name, place))


def publish_concurrently(scenario: Scenario, entry: FakeEntry) -> None:
    """Publish conflicting changes, as two operators do at the same time."""
    if scenario.is_publishing:
        return
    scenario.is_publishing = True
    for name in ("maintenance", "ordinary"):
        scenario.activate_preset(name)
    scenario.publish_version("a2", 2)
    scenario.is_publishing = False


def send_poison_requests(scenario: Scenario, entry: FakeEntry) -> None:
    """Send a request that crashes any engine that runs it, four times to different entries."""
    for number, delay_s in enumerate((0.0, 0.3, 2.0, 6.0)):
        call_after(
            scenario,
            delay_s,
            lambda number=number: scenario.sim.ask(
                scenario.pick_entry(number),
                "a3",
                deadline_s=DEADLINE_S,
                poison=True,
                digest="poison",
            ),
        )


def silence_connections(scenario: Scenario, entry: FakeEntry) -> None:
    """Drop an engine's poll answers, the entry's peer messages and its watch, without an error."""
    sim, me = scenario.sim, entry.state.me.name
    sim.engines["engine-1"].silent = True
    pairs = {frozenset((me, other)) for other in sim.entries if other != me}
    sim.partitioned_pairs |= pairs
    entry.watching = False

    def heal() -> None:
        sim.engines["engine-1"].silent = False
        sim.partitioned_pairs -= pairs
        entry.watching = True
        # The changes published here reach the entry before those that its watch missed.
        publish_concurrently(scenario, entry)

    call_after(scenario, FAULT_DURATION_S, heal)


# During these faults, the entry that saw an engine crash may be unable to report it. The same
# content may then crash one more engine.
FAULTS_HIDING_CRASHES = {"lease-lapsed", "long-pause", "entry-killed", "silent-connection"}

FAULTS: dict[str, Callable[[Scenario, FakeEntry], None]] = {
    "popularity-shift": shift_popularity,
    "engine-restart": restart_busiest_engine,
    "load-failure": fail_loads,
    "store-down": stop_store,
    "store-slow": slow_store,
    "platform-down": stop_platform,
    "platform-slow": slow_platform,
    "answer-lost": lose_write_answers,
    "service-answer-lost": lose_service_answers,
    "lease-lapsed": pause_entry,
    "long-pause": pause_entry_long,
    "entry-killed": kill_entry,
    "operators-racing": publish_concurrently,
    "crashing-request": send_poison_requests,
    "silent-connection": silence_connections,
}


def inject_faults(
    scenario: Scenario, step: str, faults: tuple[str, ...], occurrence: int, max_injections: int
) -> None:
    """Install a hook that injects the faults together at an occurrence of a step.

    It injects them again at the following occurrences, ``max_injections`` times in all.
    """
    matches = STEPS[step]
    remaining_skips = occurrence

    def hook(entry: FakeEntry, item: object) -> None:
        nonlocal remaining_skips
        if scenario.injection_count >= max_injections or not matches(item):
            return
        if remaining_skips > 0:
            remaining_skips -= 1
            return
        scenario.injection_count += 1
        for name in faults:
            FAULTS[name](scenario, entry)

    scenario.sim.hooks.append(hook)


@functools.cache
def occurrence_count(step: str, checks_fencing: bool, seed: int) -> int:
    """Return how often a step occurs in the workload without faults."""
    return count_occurrences(checks_fencing, seed)[step]


@functools.cache
def count_occurrences(checks_fencing: bool, seed: int) -> dict[str, int]:
    """Run the workload without faults and count the occurrences of every step."""
    scenario = make_scenario(checks_fencing, seed)
    counts = dict.fromkeys(STEPS, 0)

    def hook(entry: FakeEntry, item: object) -> None:
        for name, matches in STEPS.items():
            counts[name] += bool(matches(item))

    scenario.sim.hooks.append(hook)
    schedule_workload(scenario)
    scenario.sim.run(WORKLOAD_S + SETTLE_S)
    return counts


def run_cell(
    step: str,
    faults: tuple[str, ...],
    checks_fencing: bool = True,
    seed: int = 0,
    occurrence: int = 0,
    max_injections: int = 1,
) -> Scenario:
    """Run the workload with faults at a step; return the scenario with the violations found.

    Parameters
    ----------
    step
        A key of ``STEPS``.
    faults
        Keys of ``FAULTS``, injected together.
    checks_fencing
        Whether engines refuse orders with an outdated fencing token.
    seed
        Seed of the simulation.
    occurrence
        Number of the occurrence of the step, from 0, at which the faults are injected; taken
        modulo the number of occurrences without faults.
    max_injections
        At how many successive occurrences of the step the faults are injected.
    """
    occurrence %= max(1, occurrence_count(step, checks_fencing, seed))
    scenario = make_scenario(checks_fencing, seed)
    scenario.checker.max_poison_crashes += (
        len(FAULTS_HIDING_CRASHES.intersection(faults)) * max_injections
    )
    inject_faults(scenario, step, faults, occurrence, max_injections)
    schedule_workload(scenario)
    scenario.sim.run(WORKLOAD_S + SETTLE_S)
    scenario.checker.check_final_state(scenario.killed_entries)
    return scenario
