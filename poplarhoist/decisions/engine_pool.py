"""What the lead of a base model knows: engines, their slots, demand and open orders."""

from __future__ import annotations

import enum
import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions.budget import LoadBudget
from poplarhoist.decisions.effects import OrderKind
from poplarhoist.decisions.intentbook import IntentState, Suspension
from poplarhoist.decisions.load_queue import LoadQueue
from poplarhoist.models import AdapterRef

if TYPE_CHECKING:
    from poplarhoist.decisions.state import State

DEMAND_HALF_LIFE_S = 400.0
PRIORITY_CREDIT_S = 2.0


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
    since : float
        When its state was last set; older reports say nothing of it.
    holders : dict
        Number of the latest grant, by the entry that holds it; 0 for one of an earlier lead.
    cleared_at : float or None
        When the last holder handed its grant back while draining.
    clean : bool
        Whether it is certain that nothing runs on it.
    promised : bool
        Whether it drains for a load that requests wait for, so that demand for it has to wait.
    inherited : bool
        Whether an earlier lead may have granted it to entries that have not told of it yet.
    """

    ref: AdapterRef
    state: SlotState
    state_changed_at: float
    holders: dict[str, int] = field(factory=dict)
    grants_released_at: float | None = None
    evictable: bool = False
    needed_for_load: bool = False
    may_have_unknown_holders: bool = False
    recalled_at: float = float("-inf")
    loaded_at: float = float("-inf")
    granted_at: float = float("-inf")


@define
class Order:
    """An order under way.

    Attributes
    ----------
    sent_at : float
        When it was sent, or decided if it waits until it is written down.
    sent : bool
        Whether it was sent.
    answered : bool
        Whether the call ended, with or without an answer.
    settle_at : float
        From when on a report tells whether it took effect.
    """

    order_id: str
    endpoint: str
    kind: OrderKind
    ref: AdapterRef | None
    replaces: AdapterRef | None
    sent_at: float
    sent: bool = False
    call_ended: bool = False
    may_apply_until: float = float("inf")


@define
class EngineState:
    """What the lead knows of one engine.

    Attributes
    ----------
    load : float
        Requests at the last report, as a share of the batch.
    available : bool
        Whether it is listed, live and answering.
    settled : bool
        Whether no order of an earlier lead can still take effect and the residency is known.
    fenced_at : float or None
        When the engine confirmed the epoch of this lead, or the intents were read if it does
        not check epochs.
    lost_holders : dict
        Holders, as in ``Slot``, of grants for adapter versions that it lost.
    suspended : set
        Adapter versions that a late order of an earlier lead may still load or evict.
    reserved_at : float or None
        Since when it is kept empty for one request; None if it is in ordinary use.
    returned_at : float
        When a grant on it was last handed back.
    idle_sampled_at : float
        When a report was last sampled that shows nothing running or waiting.
    """

    name: str
    boot: str = ""
    capacity: int = 0
    region: str = ""
    utilization: float = 0.0
    available: bool = False
    slots: dict[AdapterRef, Slot] = field(factory=dict)
    order: Order | None = None
    synced: bool = False
    fenced_at: float | None = None
    fence_sent_at: float = float("-inf")
    retry_at: float = float("-inf")
    failures: int = 0
    holders_by_lost_ref: dict[AdapterRef, dict[str, int]] = field(factory=dict)
    suspended_refs: set[AdapterRef] = field(factory=set)
    reserved_at: float | None = None
    grant_returned_at: float = float("-inf")
    idle_sampled_at: float = float("-inf")
    polled_at: float = float("-inf")

    @property
    def in_service(self) -> bool:
        """Whether entries may be granted its slots."""
        return self.available and self.reserved_at is None


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
    oldest_arrived_at: float = float("inf")
    priority: int = 0
    failures: int = 0
    retry_at: float = float("-inf")

    @property
    def waiting(self) -> int:
        """Requests that wait for it."""
        return sum(self.waiting_by_entry.values())

    def decayed_score(self, at: float) -> float:
        """Return the score as of a time."""
        return self.score * 0.5 ** ((at - self.scored_at) / DEMAND_HALF_LIFE_S)

    def log_score(self) -> float:
        """Return the score as a logarithm that does not change as time passes."""
        if self.score <= 0.0:
            return float("-inf")
        return math.log2(self.score) + self.scored_at / DEMAND_HALF_LIFE_S

    def load_queue_key(self) -> tuple[float, float]:
        """Return the place in the queue of loads; the smallest goes first."""
        return (self.oldest_arrived_at - PRIORITY_CREDIT_S * self.priority, -self.score)


@define
class EnginePool:
    """Everything that the lead of one base model knows and plans.

    Attributes
    ----------
    ungathered : set
        Entries that have not yet told of the grants that they hold.
    unknown : set
        Those of them of which it is not even known what they told of before.
    known_entries : set
        Entries that were asked or are being asked.
    wanted : LoadQueue
        Adapter versions that requests wait for and no engine in use holds.
    parked : list
        Heap of times at which a load that failed may be tried again.
    ahead : LoadQueue
        Loads that nobody waits for, or that relieve a full engine.
    ready_free, ready_clean : dict
        Names of the engines that may load now, with a free slot or a clean one.
    suspensions : dict
        What late orders may still do, by the order's id.
    draining : set
        Engine and adapter version of each draining slot.
    victims : list
        Heap of resident slots by worth; entries may be out of date.
    victim_keys : dict
        Key of the one entry of each slot in the heap that counts.
    capacity : int
        Slots of all engines.
    blocked_since : float or None
        Since when no engine can take the load that goes first; None if one can.
    due : list
        Heap of times at which an engine is looked at again.
    """

    base: str
    epoch: int
    led_since: float
    engines: dict[str, EngineState] = field(factory=dict)
    engines_by_ref: dict[AdapterRef, set[str]] = field(factory=dict)
    demand: OrderedDict[AdapterRef, DemandView] = field(factory=OrderedDict)
    refs_by_waiting_entry: dict[str, set[AdapterRef]] = field(factory=dict)
    pending_loads: LoadQueue = field(factory=LoadQueue)
    load_retries: list[tuple[float, AdapterRef]] = field(factory=list)
    background_loads: LoadQueue = field(factory=LoadQueue)
    unreported_entries: set[str] = field(factory=set)
    entries_with_unknown_grants: set[str] = field(factory=set)
    asked_entries: set[str] = field(factory=set)
    gather_sent_at: float = float("-inf")
    budget: LoadBudget = field(factory=LoadBudget)
    intents: IntentState = field(factory=IntentState)
    suspensions: dict[str, Suspension] = field(factory=dict)
    orders: dict[str, Order] = field(factory=dict)
    order_count: int = 0
    grant_count: int = 0
    engines_with_free_slot: dict[str, None] = field(factory=dict)
    engines_with_evictable_slot: dict[str, None] = field(factory=dict)
    unfenced_engines: set[str] = field(factory=set)
    reserved_engines: set[str] = field(factory=set)
    draining_slots: set[tuple[str, AdapterRef]] = field(factory=set)
    victim_heap: list[tuple[float, str, AdapterRef]] = field(factory=list)
    victim_keys: dict[tuple[str, AdapterRef], float] = field(factory=dict)
    engine_retries: list[tuple[float, str]] = field(factory=list)
    warm_revision: int = 0
    warm_preset: str = ""
    swept_at: float = float("-inf")
    capacity: int = 0
    blocked_since: float | None = None

    def score(self, ref: AdapterRef, at: float) -> float:
        """Return the decayed demand for an adapter version."""
        demand = self.demand.get(ref)
        return demand.decayed_score(at) if demand else 0.0

    def count_open_loads(self) -> int:
        """Return how many loads are under way, those without an answer included."""
        return sum(1 for order in self.orders.values() if order.kind is OrderKind.LOAD)

    @property
    def needs_store_share(self) -> bool:
        """Whether this base model needs a share of the store's rate now."""
        return bool(self.pending_loads or self.orders)


def current_pool(state: State, base: str, epoch: int) -> EnginePool | None:
    """Return the board of a base model if this entry leads it under that epoch."""
    pool = state.boards.get(base)
    if pool is None or pool.epoch != epoch:
        return None
    return pool


def add_slot(pool: EnginePool, engine: EngineState, slot: Slot) -> None:
    """Put an adapter version on an engine."""
    slot.holders.update(engine.holders_by_lost_ref.pop(slot.ref, {}))
    engine.slots[slot.ref] = slot
    pool.engines_by_ref.setdefault(slot.ref, set()).add(engine.name)


def drop_slot(pool: EnginePool, engine: EngineState, ref: AdapterRef) -> None:
    """Take an adapter version off an engine; its holders are remembered."""
    slot = engine.slots.pop(ref, None)
    if slot is None:
        return
    if slot.holders:
        engine.holders_by_lost_ref[ref] = slot.holders
    pool.draining_slots.discard((engine.name, ref))
    names = pool.engines_by_ref[ref]
    names.discard(engine.name)
    if not names:
        del pool.engines_by_ref[ref]
    update_pending_load(pool, ref)


def has_no_holders(pool: EnginePool, slot: Slot) -> bool:
    """Return whether certainly no entry holds a grant for a slot."""
    return not slot.holders and not (
        slot.may_have_unknown_holders and pool.entries_with_unknown_grants
    )


def is_usable(engine: EngineState, slot: Slot) -> bool:
    """Return whether a slot serves requests, now or once its load is done."""
    if not engine.in_service or slot.ref in engine.suspended_refs or slot.needed_for_load:
        return False
    return slot.state is not SlotState.REPLACING


def is_served(pool: EnginePool, ref: AdapterRef) -> bool:
    """Return whether an engine in use holds or loads an adapter version."""
    for name in pool.engines_by_ref.get(ref, ()):
        engine = pool.engines[name]
        if is_usable(engine, engine.slots[ref]):
            return True
    return False


def update_pending_load(pool: EnginePool, ref: AdapterRef) -> None:
    """Want a load of an adapter version that requests wait for and no engine in use holds."""
    demand = pool.demand.get(ref)
    if demand is None or not demand.waiting_by_entry or is_served(pool, ref):
        pool.pending_loads.discard(ref)
        return
    pool.pending_loads.put(ref, demand.load_queue_key())
    pool.background_loads.discard(ref)
