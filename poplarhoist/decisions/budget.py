"""A base model's budget for adapter loads from the weight store: rate, concurrency, outages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from poplarhoist.decisions.engine_pool import EnginePool
    from poplarhoist.decisions.state import State

BURST_SHARE = 0.5
STORE_DOWN_FAILURES = 3
PROBE_BACKOFF_S = 0.5
PROBE_BACKOFF_MAX_S = 8.0
LOAD_TIME_SMOOTHING = 0.2


@define
class LoadBudget:
    """Token buckets for loads, and the health of the weight store.

    Attributes
    ----------
    tokens : float
        Loads that may be started now.
    prefetch_tokens : float
        Loads that may be started now although no request waits for them.
    refilled_at : float
        When the buckets were last refilled.
    load_s : float
        Exponentially smoothed duration of a load in seconds; 0 before the first.
    consecutive_failures : int
        Loads that failed since the last success, over all engines.
    failed_engines, failed_refs : set
        Engines and adapter versions of those failures.
    probe_at : float
        When the next load may be tried while the store is down.
    """

    tokens: float = 0.0
    prefetch_tokens: float = 0.0
    refilled_at: float = 0.0
    load_s: float = 0.0
    consecutive_failures: int = 0
    failed_engines: set[str] = field(factory=set)
    failed_refs: set[str] = field(factory=set)
    probe_at: float = float("-inf")

    @property
    def is_store_down(self) -> bool:
        """Whether the store seems down: several adapters failed, on several engines.

        Failures of one adapter or on one engine do not show that the store is down.
        """
        several = len(self.failed_engines) > 1 and len(self.failed_refs) > 1
        return several and self.consecutive_failures >= STORE_DOWN_FAILURES


def store_share(state: State, base: str, at: float) -> float:
    """Return one base model's share of the store, equal among the base models that load now."""
    heard_after = at - state.limits.peer_timeout_s
    heard_at_by_base = state.leadership.loading_heard_at
    others = {other for other, heard_at in heard_at_by_base.items() if heard_at >= heard_after}
    others.update(other for other, pool in state.boards.items() if pool.needs_store_share)
    others.discard(base)
    return 1.0 / (1 + len(others))


def loads_per_s(state: State, pool: EnginePool, at: float) -> float:
    """Return the rate at which one base model may start loads, per second."""
    return state.limits.store_loads_per_s * store_share(state, pool.base, at)


def in_flight_limit(state: State, pool: EnginePool, at: float) -> int:
    """Return how many loads of one base model may be in flight; at least 1."""
    return max(1, int(state.limits.store_in_flight * store_share(state, pool.base, at)))


def refill(state: State, pool: EnginePool, at: float) -> None:
    """Refill the token buckets for the time since the last refill."""
    budget = pool.budget
    per_s = loads_per_s(state, pool, at)
    passed_s = at - budget.refilled_at
    budget.refilled_at = at
    capacity = max(1.0, in_flight_limit(state, pool, at) * BURST_SHARE)
    budget.tokens = min(capacity, budget.tokens + passed_s * per_s)
    prefetch_per_s = per_s * state.config.preset.spare_loads
    budget.prefetch_tokens = min(1.0, budget.prefetch_tokens + passed_s * prefetch_per_s)


def may_load(state: State, pool: EnginePool, at: float) -> bool:
    """Return whether one more load may be started now.

    While the store is down, one load at a time is allowed as a probe, with backoff.
    """
    budget = pool.budget
    loads = pool.count_open_loads()
    if budget.is_store_down:
        return loads == 0 and at >= budget.probe_at
    return budget.tokens >= 1.0 and loads < in_flight_limit(state, pool, at)


def spend(pool: EnginePool, is_prefetch: bool) -> None:
    """Spend the tokens of a load that starts.

    Parameters
    ----------
    is_prefetch : bool
        Whether no request waits for the adapter.
    """
    pool.budget.tokens -= 1.0
    if is_prefetch:
        pool.budget.prefetch_tokens -= 1.0


def record_success(pool: EnginePool, took_s: float) -> None:
    """Record a successful load that took ``took_s`` seconds, and reset the failures."""
    budget = pool.budget
    budget.consecutive_failures = 0
    budget.failed_engines.clear()
    budget.failed_refs.clear()
    if not budget.load_s:
        budget.load_s = took_s
    budget.load_s += LOAD_TIME_SMOOTHING * (took_s - budget.load_s)


def record_failure(pool: EnginePool, engine: str, ref: str, at: float) -> None:
    """Record a failed load, and double the delay of the next probe if the store may be down."""
    budget = pool.budget
    budget.consecutive_failures += 1
    budget.failed_engines.add(engine)
    budget.failed_refs.add(ref)
    excess = budget.consecutive_failures - STORE_DOWN_FAILURES
    if excess >= 0:
        budget.probe_at = at + min(PROBE_BACKOFF_MAX_S, PROBE_BACKOFF_S * 2.0**excess)


def load_time_s(state: State, pool: EnginePool) -> float:
    """Return the expected duration of a load in seconds; the configured one before the first."""
    return pool.budget.load_s or state.limits.load_s


def estimate_completion_s(state: State, pool: EnginePool, loads_before: int, at: float) -> float:
    """Return the expected time until a queued load is done, in seconds.

    Parameters
    ----------
    loads_before : int
        Number of loads that come before it in the queue.
    """
    budget = pool.budget
    load_s = load_time_s(state, pool)
    parallel_loads = min(in_flight_limit(state, pool, at), max(1, len(pool.engines)))
    per_s = min(loads_per_s(state, pool, at), parallel_loads / load_s)
    wait_s = max(0.0, loads_before + 1 - budget.tokens) / per_s
    # No engine can take a load: assume that this lasts as long again as it has lasted so far.
    if pool.blocked_since is not None:
        wait_s += at - pool.blocked_since
    if budget.is_store_down:
        wait_s += max(0.0, budget.probe_at - at) + load_s
    return wait_s + load_s
