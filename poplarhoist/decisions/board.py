"""What the lead of a base model knows: engines, their slots, demand and open orders."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions.effects import OrderKind
from poplarhoist.models import AdapterRef

if TYPE_CHECKING:
    from poplarhoist.decisions.state import State

DEMAND_HALF_LIFE_S = 30.0


class SlotState(enum.StrEnum):
    """State of an adapter version on an engine."""

    LOADING = "loading"
    RESIDENT = "resident"
    DRAINING = "draining"
    REPLACING = "replacing"


@define
class Slot:
    """An adapter version on an engine.

    Attributes
    ----------
    holders : set
        Entries that hold a grant for it.
    since : float
        When its state was last set; older reports say nothing of it.
    cleared_at : float or None
        When the last holder handed its grant back while draining.
    """

    ref: AdapterRef
    state: SlotState
    since: float
    holders: set[str] = field(factory=set)
    cleared_at: float | None = None
    clean: bool = False
    recalled_at: float = float("-inf")


@define
class Order:
    """A load under way."""

    order_id: str
    endpoint: str
    kind: OrderKind
    ref: AdapterRef | None
    replaces: AdapterRef | None
    sent_at: float
    lost: bool = False


@define
class EngineBoard:
    """What the lead knows of one engine.

    Attributes
    ----------
    settled : bool
        Whether no order of an earlier lead can still take effect and the residency is known.
    fenced_at : float or None
        When the engine confirmed the epoch of this lead.
    reserved_at : float or None
        Since when it is kept empty for one request; None if it is in ordinary use.
    returned_at : float
        When a grant on it was last handed back.
    idle_sampled_at : float
        When a report was last sampled that shows nothing running or waiting.
    """

    name: str
    boot: str = ""
    slots: dict[AdapterRef, Slot] = field(factory=dict)
    order: Order | None = None
    settled: bool = False
    fenced_at: float | None = None
    fence_sent_at: float = float("-inf")
    retry_at: float = float("-inf")
    reserved_at: float | None = None
    returned_at: float = float("-inf")
    idle_sampled_at: float = float("-inf")


@define
class DemandView:
    """Demand for an adapter version over all entries.

    Attributes
    ----------
    score : float
        Arrivals, each halved every ``DEMAND_HALF_LIFE_S``.
    """

    score: float = 0.0
    scored_at: float = 0.0
    waiting_by_entry: dict[str, int] = field(factory=dict)
    oldest_at: float = float("inf")
    priority: int = 0
    failures: int = 0
    retry_at: float = float("-inf")

    @property
    def waiting(self) -> int:
        """Requests that wait for it."""
        return sum(self.waiting_by_entry.values())

    def decayed(self, at: float) -> float:
        """Return the score as of a time."""
        return self.score * 0.5 ** ((at - self.scored_at) / DEMAND_HALF_LIFE_S)


@define
class Board:
    """Everything that the lead of one base model knows and plans.

    Attributes
    ----------
    ungathered : set
        Entries that have not yet told of the grants that they hold.
    wanted : set
        Adapter versions that requests wait for and no engine holds.
    """

    base: str
    epoch: int
    since: float
    engines: dict[str, EngineBoard] = field(factory=dict)
    engines_by_ref: dict[AdapterRef, set[str]] = field(factory=dict)
    demand: dict[AdapterRef, DemandView] = field(factory=dict)
    wanted: set[AdapterRef] = field(factory=set)
    ungathered: set[str] = field(factory=set)
    gather_sent_at: float = float("-inf")
    tokens: float = 1.0
    tokens_at: float = 0.0
    orders: dict[str, Order] = field(factory=dict)
    order_count: int = 0

    def score(self, ref: AdapterRef, at: float) -> float:
        """Return the decayed demand for an adapter version."""
        demand = self.demand.get(ref)
        return demand.decayed(at) if demand else 0.0


def current_board(state: State, base: str, epoch: int) -> Board | None:
    """Return the board of a base model if this entry leads it under that epoch."""
    board = state.boards.get(base)
    if board is None or board.epoch != epoch:
        return None
    return board


def add_slot(board: Board, engine: EngineBoard, slot: Slot) -> None:
    """Put an adapter version on an engine."""
    engine.slots[slot.ref] = slot
    board.engines_by_ref.setdefault(slot.ref, set()).add(engine.name)


def drop_slot(board: Board, engine: EngineBoard, ref: AdapterRef) -> None:
    """Take an adapter version off an engine."""
    if engine.slots.pop(ref, None) is None:
        return
    names = board.engines_by_ref[ref]
    names.discard(engine.name)
    if not names:
        del board.engines_by_ref[ref]
    want(board, ref)


def want(board: Board, ref: AdapterRef) -> None:
    """Want a load of an adapter version that requests wait for and no engine in use holds."""
    demand = board.demand.get(ref)
    if demand is None or not demand.waiting:
        return
    names = board.engines_by_ref.get(ref, ())
    if all(board.engines[name].reserved_at is not None for name in names):
        board.wanted.add(ref)


def forget_engine(board: Board, name: str) -> None:
    """Drop an engine that is listed no more."""
    engine = board.engines.pop(name)
    for ref in list(engine.slots):
        drop_slot(board, engine, ref)
