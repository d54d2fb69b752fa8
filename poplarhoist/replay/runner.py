"""Replays traces under policies on the virtual clock, and measures."""

import time
from collections.abc import Callable
from typing import TextIO

from poplarhoist.load.measures import Measures, histogram, percentiles_ms, record
from poplarhoist.replay.baselines import (
    ClairvoyantPolicy,
    LruPolicy,
    RandomPolicy,
    RendezvousPolicy,
)
from poplarhoist.replay.bench import TOKEN_BYTES
from poplarhoist.replay.fleet import REQUEST_BYTES, START_S, Call, Policy, place_of
from poplarhoist.replay.hoist import HoistPolicy
from poplarhoist.replay.traces import Trace

SETTLE_S = 60.0
PROGRESS_S = 30.0

POLICIES_BY_NAME: dict[str, Callable[[Trace, int], Policy]] = {
    "random": RandomPolicy,
    "lru": LruPolicy,
    "rendezvous": RendezvousPolicy,
    "clairvoyant": ClairvoyantPolicy,
    "hoist": lambda trace, seed: HoistPolicy(trace.shape, seed),
}


def replay(trace: Trace, policy_name: str, seed: int, progress: TextIO | None = None) -> Measures:
    """Run a trace under a policy.

    Parameters
    ----------
    trace : Trace
        Arrivals and changes; the site has ``START_S`` seconds to start before them.
    policy_name : str
        A key of ``POLICIES_BY_NAME``.
    seed : int
        Seed of the policy's own choices.
    progress : TextIO, optional
        Where progress lines go.
    """
    started = time.perf_counter()
    policy = POLICIES_BY_NAME[policy_name](trace, seed)
    calls = schedule(trace, policy)
    steps = [(0, 0)]
    policy.clock.after(trace.shape.warm_up_s + START_S, lambda: steps.append(work_of(policy)))
    loads = []
    policy.clock.after(trace.shape.warm_up_s + START_S, lambda: loads.append(policy.store.loads))
    run(trace, policy, policy_name, progress)
    policy.finish()
    measures = measure(trace, policy_name, calls)
    given, possible = (now - then for now, then in zip(work_of(policy), steps[-1], strict=True))
    measures.batch_efficiency = given / max(1, possible)
    measures.loads = policy.store.loads - loads[0]
    measures.control_bytes = policy.control_bytes()
    measures.wrong += len(policy.violations())
    measures.span_s = trace.shape.measured_s + SETTLE_S
    measures.took_s = time.perf_counter() - started
    return measures


def schedule(trace: Trace, policy: Policy) -> list[Call]:
    """Make all arrivals and changes due."""
    calls = []
    for arrival in trace.arrivals:
        call = Call(arrival)
        calls.append(call)
        policy.clock.after(START_S + arrival.at, lambda call=call: arrive(policy, call))
    for change in trace.changes:
        policy.clock.after(START_S + change.at, lambda change=change: policy.change(change))
    return calls


def arrive(policy: Policy, call: Call) -> None:
    """Hand a call to the policy, noting whether its adapter is resident anywhere."""
    engines = policy.engines.values()
    call.stalled = not any(e.up and e.slots.get(call.ref) == "resident" for e in engines)
    policy.ask(call)


def work_of(policy: Policy) -> tuple[int, int]:
    """Return the tokens given so far, and the most that the steps could have given."""
    engines = policy.engines.values()
    possible = sum(engine.steps * engine.endpoint.batch for engine in engines)
    return sum(engine.filled for engine in engines), possible


def run(trace: Trace, policy: Policy, policy_name: str, progress: TextIO | None) -> None:
    """Let the virtual time of the trace pass."""
    end = START_S + trace.shape.end_s + SETTLE_S
    while policy.clock.seconds < end:
        policy.clock.run_until(min(end, policy.clock.seconds + PROGRESS_S))
        if progress is not None:
            done = policy.clock.seconds / end
            progress.write(f"{trace.shape.name} {trace.name} {policy_name}: {done:.0%}\n")
            progress.flush()


def measure(trace: Trace, policy_name: str, calls: list[Call]) -> Measures:
    """Sum up the measured calls."""
    measures = Measures(trace.shape.name, trace.name, policy_name)
    first = histogram()
    for call in calls:
        if call.arrival.at < trace.shape.warm_up_s:
            continue
        measures.asked += 1
        measures.resent += call.resends
        add_call(trace, measures, call, first)
    measures.first_ms = percentiles_ms(first)
    return measures


def add_call(trace: Trace, measures: Measures, call: Call, first) -> None:
    """Add one call to the measures."""
    arrived_at = START_S + call.arrival.at
    left_at = call.dispatched_at or call.ended_at or START_S + trace.shape.end_s + SETTLE_S
    if call.stalled:
        measures.add_stall(left_at - arrived_at)
    else:
        measures.wait_s += left_at - arrived_at
    if call.completed:
        measures.answered += 1
        record(first, call.first_at - arrived_at)
    elif call.refused:
        measures.refused[call.refused] = measures.refused.get(call.refused, 0) + 1
    else:
        measures.lost += 1
    measures.crossed_bytes += crossed_bytes(trace, call)


def crossed_bytes(trace: Trace, call: Call) -> int:
    """Return the bytes of a call's attempts that went to another region."""
    here = place_of(trace.shape, call.arrival.entry).region
    size = REQUEST_BYTES + TOKEN_BYTES * call.arrival.tokens
    regions = [place_of(trace.shape, number_of(name)).region for name in call.endpoints]
    return size * sum(1 for region in regions if region != here)


def number_of(engine: str) -> int:
    """Return the number of an engine by its name."""
    return int(engine.rpartition("-")[2]) - 1
