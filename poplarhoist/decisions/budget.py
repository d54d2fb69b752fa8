"""The lead's share of the weight store: rate, loads in flight, and outages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from poplarhoist.decisions.board import Board
    from poplarhoist.decisions.state import State

BURST_SHARE = 0.5
STORE_DOWN_FAILURES = 3
PROBE_BACKOFF_S = 0.5
PROBE_BACKOFF_MAX_S = 8.0
LOAD_TIME_WEIGHT = 0.2


@define
class Budget:
    """Loads allowed now, and what is known of the store.

    Attributes
    ----------
    tokens : float
        Loads allowed now.
    spare : float
        Loads allowed now that nobody waits for.
    load_s : float
        Average time of a load; 0 before the first.
    failures : int
        Loads failed since the last that worked, over all engines.
    failed_engines, failed_refs : set
        Where and what failed since then.
    probe_at : float
        When the next load may be tried while the store is down.
    """

    tokens: float = 0.0
    spare: float = 0.0
    filled_at: float = 0.0
    load_s: float = 0.0
    failures: int = 0
    failed_engines: set[str] = field(factory=set)
    failed_refs: set[str] = field(factory=set)
    probe_at: float = float("-inf")

    @property
    def store_down(self) -> bool:
        """Whether the store serves nobody: several adapters failed, on several engines."""
        several = len(self.failed_engines) > 1 and len(self.failed_refs) > 1
        return several and self.failures >= STORE_DOWN_FAILURES


def share(state: State, base: str, at: float) -> float:
    """Return the share of the store for one base model: equal among those that load now."""
    oldest = at - state.limits.peer_timeout_s
    heard = state.leadership.loading_heard_at
    others = {other for other, heard_at in heard.items() if heard_at >= oldest}
    others.update(other for other, board in state.boards.items() if board.loading)
    others.discard(base)
    return 1.0 / (1 + len(others))


def rate(state: State, board: Board, at: float) -> float:
    """Return the loads a second that one base model may start."""
    return state.limits.store_loads_per_s * share(state, board.base, at)


def in_flight_limit(state: State, board: Board, at: float) -> int:
    """Return how many loads of one base model may be under way."""
    return max(1, int(state.limits.store_in_flight * share(state, board.base, at)))


def refill(state: State, board: Board, at: float) -> None:
    """Add to the loads allowed by the store's rate."""
    budget = board.budget
    per_s = rate(state, board, at)
    passed_s = at - budget.filled_at
    budget.filled_at = at
    most = max(1.0, in_flight_limit(state, board, at) * BURST_SHARE)
    budget.tokens = min(most, budget.tokens + passed_s * per_s)
    spare_per_s = per_s * state.config.preset.spare_loads
    budget.spare = min(1.0, budget.spare + passed_s * spare_per_s)


def may_load(state: State, board: Board, at: float) -> bool:
    """Return whether the store may be asked for one more load now."""
    budget = board.budget
    loads = board.loads_open()
    if budget.store_down:
        return loads == 0 and at >= budget.probe_at
    return budget.tokens >= 1.0 and loads < in_flight_limit(state, board, at)


def spend(board: Board, ahead: bool) -> None:
    """Count a load that starts."""
    board.budget.tokens -= 1.0
    if ahead:
        board.budget.spare -= 1.0


def note_loaded(board: Board, took_s: float) -> None:
    """Count a load that worked."""
    budget = board.budget
    budget.failures = 0
    budget.failed_engines.clear()
    budget.failed_refs.clear()
    if not budget.load_s:
        budget.load_s = took_s
    budget.load_s += LOAD_TIME_WEIGHT * (took_s - budget.load_s)


def note_failed(board: Board, engine: str, ref: str, at: float) -> None:
    """Count a load that failed, and wait longer before the next if the store is down."""
    budget = board.budget
    budget.failures += 1
    budget.failed_engines.add(engine)
    budget.failed_refs.add(ref)
    excess = budget.failures - STORE_DOWN_FAILURES
    if excess >= 0:
        budget.probe_at = at + min(PROBE_BACKOFF_MAX_S, PROBE_BACKOFF_S * 2.0**excess)


def load_time_s(state: State, board: Board) -> float:
    """Return the expected time of a load."""
    return board.budget.load_s or state.limits.load_s


def expected_s(state: State, board: Board, ahead: int, at: float) -> float:
    """Return when a load that has some others ahead of it is expected to be done."""
    budget = board.budget
    load_s = load_time_s(state, board)
    at_once = min(in_flight_limit(state, board, at), max(1, len(board.engines)))
    per_s = min(rate(state, board, at), at_once / load_s)
    wait_s = max(0.0, ahead + 1 - budget.tokens) / per_s
    if board.blocked_since is not None:
        wait_s += at - board.blocked_since
    if budget.store_down:
        wait_s += max(0.0, budget.probe_at - at) + load_s
    return wait_s + load_s
