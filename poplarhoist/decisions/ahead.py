"""Loads that no request waits for yet: replicas, lost hot adapters, warm-up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist.decisions.board import Board, SlotState, is_served, is_usable
from poplarhoist.models import AdapterRef, VersionState

if TYPE_CHECKING:
    from poplarhoist.decisions.state import State

RECOVER_SCORE = 1.0
REPLICA_WAIT_S = 0.3
REPLICA_LOAD = 0.9
REPLICA_RANK = 0.0
RECOVER_RANK = 1.0
WARM_RANK = 2.0


def recover(board: Board, ref: AdapterRef, at: float) -> None:
    """Load a hot adapter version again that an engine lost."""
    score = board.score(ref, at)
    if score >= RECOVER_SCORE and not is_served(board, ref) and ref not in board.wanted:
        board.ahead.put(ref, (RECOVER_RANK, -score))


def replicate(board: Board, ref: AdapterRef, at: float) -> None:
    """Load an adapter version once more if requests wait although engines hold it."""
    demand = board.demand[ref]
    if not demand.waiting_by_entry or at - demand.oldest_at < REPLICA_WAIT_S:
        if board.ahead.keys_by_ref.get(ref, (WARM_RANK,))[0] == REPLICA_RANK:
            board.ahead.discard(ref)
        return
    if ref in board.wanted:
        return
    for name in board.engines_by_ref.get(ref, ()):
        engine = board.engines[name]
        slot = engine.slots[ref]
        if not is_usable(engine, slot):
            continue
        if slot.state is SlotState.LOADING or engine.load < REPLICA_LOAD:
            return
    board.ahead.put(ref, (REPLICA_RANK, demand.oldest_at))


def on_config(state: State, board: Board) -> None:
    """Want new versions of adapters in use, and those that the preset keeps warm."""
    config = state.config
    if config.index is None or board.warm_revision == config.revision:
        return
    board.warm_revision = config.revision
    if board.warm_preset != config.index.preset:
        board.warm_preset = config.index.preset
        for name in config.preset.warm:
            warm(state, board, name)
    for name in config.changed_adapters:
        adapter = config.adapters_by_name.get(name)
        if adapter is not None and has_older(board, name, adapter.current):
            warm(state, board, name)


def has_older(board: Board, name: str, current: int) -> bool:
    """Return whether an engine holds the version before the current one."""
    return any(AdapterRef(name, number) in board.engines_by_ref for number in range(1, current))


def warm(state: State, board: Board, name: str) -> None:
    """Load the current version of an adapter when there is budget to spare."""
    adapter = state.config.adapters_by_name.get(name)
    if adapter is None or adapter.base != board.base:
        return
    if adapter.versions.get(str(adapter.current)) is not VersionState.PUBLISHED:
        return
    ref = AdapterRef(name, adapter.current)
    if not is_served(board, ref) and ref not in board.wanted and ref not in board.ahead:
        board.ahead.put(ref, (WARM_RANK, float(len(board.ahead))))
