"""Replays traces under policies on a virtual clock and computes the measures."""

import time
from collections.abc import Callable
from typing import TextIO

from poplarhoist.load.measures import Measures, new_histogram, percentiles_ms, record_seconds
from poplarhoist.replay.baselines import (
    ClairvoyantPolicy,
    LruPolicy,
    RandomPolicy,
    RendezvousPolicy,
)
from poplarhoist.replay.fleet import REQUEST_BYTES, STARTUP_S, Call, Policy, place_of
from poplarhoist.replay.hoist import HoistPolicy
from poplarhoist.replay.simulation import TOKEN_BYTES
from poplarhoist.replay.traces import Trace

DRAIN_S = 60.0
PROGRESS_INTERVAL_S = 30.0

POLICIES_BY_NAME: dict[str, Callable[[Trace, int], Policy]] = {
    "random": RandomPolicy,
    "lru": LruPolicy,
    "rendezvous": RendezvousPolicy,
    "clairvoyant": ClairvoyantPolicy,
    "hoist": lambda trace, seed: HoistPolicy(trace.shape, seed),
}


def replay(trace: Trace, policy_name: str, seed: int, progress: TextIO | None = None) -> Measures:
    """Run a trace under a policy and return the measures.

    Parameters
    ----------
    trace : Trace
        Arrivals and changes; the site has ``STARTUP_S`` seconds to start before them.
    policy_name : str
        A key of ``POLICIES_BY_NAME``.
    seed : int
        Seed of the policy's own choices.
    progress : TextIO, optional
        Stream for progress lines.
    """
    started = time.perf_counter()
    policy = POLICIES_BY_NAME[policy_name](trace, seed)
    calls = schedule_trace(trace, policy)
    token_counts = [(0, 0)]
    policy.clock.after(
        trace.shape.warm_up_s + STARTUP_S, lambda: token_counts.append(count_tokens(policy))
    )
    warm_up_loads = []
    policy.clock.after(
        trace.shape.warm_up_s + STARTUP_S, lambda: warm_up_loads.append(policy.store.loads)
    )
    run_clock(trace, policy, policy_name, progress)
    policy.complete_records()
    measures = compute_measures(trace, policy_name, calls)
    generated, capacity = (
        now - before for now, before in zip(count_tokens(policy), token_counts[-1], strict=True)
    )
    measures.batch_efficiency = generated / max(1, capacity)
    measures.loads = policy.store.loads - warm_up_loads[0]
    measures.control_bytes = policy.control_bytes()
    measures.wrong += len(policy.violations())
    measures.span_s = trace.shape.measured_s + DRAIN_S
    measures.took_s = time.perf_counter() - started
    return measures


def schedule_trace(trace: Trace, policy: Policy) -> list[Call]:
    """Schedule all arrivals and changes, and return the calls."""
    calls = []
    for arrival in trace.arrivals:
        call = Call(arrival)
        calls.append(call)
        policy.clock.after(STARTUP_S + arrival.at, lambda call=call: on_arrival(policy, call))
    for change in trace.changes:
        policy.clock.after(STARTUP_S + change.at, lambda change=change: policy.on_change(change))
    return calls


def on_arrival(policy: Policy, call: Call) -> None:
    """Submit a call to the policy; it is stalled if no engine holds its adapter."""
    engines = policy.engines.values()
    call.stalled = not any(e.up and e.slots.get(call.ref) == "resident" for e in engines)
    policy.submit(call)


def count_tokens(policy: Policy) -> tuple[int, int]:
    """Return the tokens generated so far, and the most that full batches would have generated."""
    engines = policy.engines.values()
    capacity = sum(engine.steps * engine.endpoint.batch for engine in engines)
    return sum(engine.tokens_generated for engine in engines), capacity


def run_clock(trace: Trace, policy: Policy, policy_name: str, progress: TextIO | None) -> None:
    """Advance the virtual clock to ``DRAIN_S`` seconds after the end of the trace."""
    end = STARTUP_S + trace.shape.end_s + DRAIN_S
    while policy.clock.seconds < end:
        policy.clock.run_until(min(end, policy.clock.seconds + PROGRESS_INTERVAL_S))
        if progress is not None:
            done = policy.clock.seconds / end
            progress.write(f"{trace.shape.name} {trace.name} {policy_name}: {done:.0%}\n")
            progress.flush()


def compute_measures(trace: Trace, policy_name: str, calls: list[Call]) -> Measures:
    """Return the measures of all calls that arrived after the warm-up."""
    measures = Measures(trace.shape.name, trace.name, policy_name)
    first_token_times = new_histogram()
    for call in calls:
        if call.arrival.at < trace.shape.warm_up_s:
            continue
        measures.asked += 1
        measures.resent += call.resends
        add_call_measures(trace, measures, call, first_token_times)
    measures.first_ms = percentiles_ms(first_token_times)
    return measures


def add_call_measures(trace: Trace, measures: Measures, call: Call, first_token_times) -> None:
    """Add one call to the measures.

    A call that was neither dispatched nor ended counts as waiting until the end of the run.
    """
    arrived_at = STARTUP_S + call.arrival.at
    wait_ended_at = call.dispatched_at or call.ended_at or STARTUP_S + trace.shape.end_s + DRAIN_S
    if call.stalled:
        measures.add_stall(wait_ended_at - arrived_at)
    else:
        measures.wait_s += wait_ended_at - arrived_at
    if call.completed:
        measures.answered += 1
        record_seconds(first_token_times, call.first_at - arrived_at)
    elif call.refused:
        measures.refused[call.refused] = measures.refused.get(call.refused, 0) + 1
    else:
        measures.lost += 1
    measures.crossed_bytes += cross_region_bytes(trace, call)


def cross_region_bytes(trace: Trace, call: Call) -> int:
    """Return the bytes of a call and its answer, for each attempt in another region."""
    entry_region = place_of(trace.shape, call.arrival.entry).region
    size = REQUEST_BYTES + TOKEN_BYTES * call.arrival.tokens
    regions = [place_of(trace.shape, engine_number(name)).region for name in call.endpoints]
    return size * sum(1 for region in regions if region != entry_region)


def engine_number(engine: str) -> int:
    """Return the number of an engine, from 0, by its name."""
    return int(engine.rpartition("-")[2]) - 1
