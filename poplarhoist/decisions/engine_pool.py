"""State that the lead of a base model keeps: engines, slots, demand, loads and open orders.

Times are monotonic seconds of the lead's process, as in the events. Minus infinity stands for
"never", infinity for "not yet".
"""

from __future__ import annotations

import enum
import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions.budget import LoadBudget
from poplarhoist.decisions.effects import OrderKind
from poplarhoist.decisions.intent_state import IntentState, Suspension
from poplarhoist.decisions.load_queue import LoadQueue
from poplarhoist.models import AdapterRef

if TYPE_CHECKING:
    from poplarhoist.decisions.state import State

DEMAND_HALF_LIFE_S = 400.0
PRIORITY_CREDIT_S = 2.0  # waiting time that each priority level counts for


class SlotState(enum.StrEnum):
    """State of an adapter version on an engine.

    LOADING: a load is ordered; its outcome is not known yet.
    RESIDENT: the engine holds it, and entries may be granted it.
    DRAINING: its grants are being recalled, so that it can be evicted.
    REPLACING: a load that evicts it is ordered; its outcome is not known yet.
    """

    LOADING = "loading"
    RESIDENT = "resident"
    DRAINING = "draining"
    REPLACING = "replacing"


@define
class Slot:
    """An adapter version on an engine.

    Attributes
    ----------
    state_changed_at : float
        When ``state`` was last set. Reports sampled earlier are ignored for this slot.
    holders : dict
        Number of the latest grant, by name of the entry that holds it; 0 if an earlier lead
        gave it.
    grants_released_at : float or None
        When it was first certain, while draining, that no entry holds a grant for the slot;
        None before that.
    evictable : bool
        Whether the slot can be replaced at once: it is draining, and a report sampled after
        ``grants_released_at`` shows that no request uses it.
    needed_for_load : bool
        Whether the slot is drained for a load that requests wait for. Requests for the adapter
        version in the slot then have to wait for another slot.
    may_have_unknown_holders : bool
        Whether an earlier lead may have granted it to entries that have not reported their
        grants yet.
    last_drain_action_at : float
        When the drain was last moved on: by recalling its grants or, once they were all returned,
        by polling its engine.
    granted_at : float
        When it was last granted to any entry.
    """

    ref: AdapterRef
    state: SlotState
    state_changed_at: float
    holders: dict[str, int] = field(factory=dict)
    grants_released_at: float | None = None
    evictable: bool = False
    needed_for_load: bool = False
    may_have_unknown_holders: bool = False
    last_drain_action_at: float = float("-inf")
    loaded_at: float = float("-inf")
    granted_at: float = float("-inf")


@define
class Order:
    """An order to an engine whose outcome is not known yet.

    Attributes
    ----------
    ref, replaces : AdapterRef or None
        Adapter version to load, and the one that it evicts; both None for a fence.
    sent_at : float
        When it was sent; before that, when it was created. An order to an engine that does not
        check epochs is sent only after its intent is stored.
    call_ended : bool
        Whether the call ended, with or without an answer.
    may_apply_until : float
        Latest time at which the engine may still apply it; infinity until it is sent. A report
        that is sampled later shows the outcome.
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
    boot : str
        Boot id in its latest report; empty before the first. A new one means that the engine
        restarted and lost its adapters.
    capacity : int
        Number of its adapter slots.
    utilization : float
        Requests that run or wait on it by its latest report, divided by its batch size.
    available : bool
        Whether it is listed, live and answering.
    order : Order or None
        Load that is under way or waits for its intent to be stored; at most one at a time.
    synced : bool
        Whether ``slots`` was reconciled with a report sampled after ``fenced_at``. Only suspended
        adapter versions can still change by an order of an earlier lead after that.
    fenced_at : float or None
        When the engine acknowledged the epoch of this lead. For an engine that does not check
        epochs, when this lead had read and rewritten the stored intents. None before that.
    retry_at : float
        No load is ordered before this time.
    failures : int
        Loads that failed on it in a row while the store was up.
    holders_by_lost_ref : dict
        Holders, as in ``Slot``, of grants for adapter versions that the engine no longer holds.
    suspended_refs : set
        Adapter versions that a late order may still load or evict, see ``Suspension``.
    reserved_at : float or None
        When it was reserved for requests that run alone; None if it is not reserved.
    grant_returned_at : float
        When a grant for one of its slots was last returned.
    idle_sampled_at : float
        When the latest report that shows no request running or waiting was sampled.
    polled_at : float
        When the lead last polled it for the outcome of an order, the end of a suspension, or
        whether it is empty.
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
        """Whether the engine is available and not reserved, so that entries may get grants."""
        return self.available and self.reserved_at is None


@define
class DemandView:
    """Demand for an adapter version over all entries.

    Attributes
    ----------
    score, scored_at : float
        Number of arrivals, decayed with a half-life of ``DEMAND_HALF_LIFE_S``, as of
        ``scored_at``.
    waiting_by_entry : dict
        Number of requests that wait for it, by entry; entries without any are left out.
    oldest_arrived_at : float
        Arrival of the oldest waiting request; infinity if none waits.
    priority : int
        Highest priority reported since requests began to wait; 0 if none waits.
    failures, retry_at : int, float
        Loads of it that failed in a row while the store was up, and the end of the backoff.
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
        """Number of requests that wait for it at all entries."""
        return sum(self.waiting_by_entry.values())

    def decayed_score(self, at: float) -> float:
        """Return the score at a time that is not before ``scored_at``."""
        return self.score * 0.5 ** ((at - self.scored_at) / DEMAND_HALF_LIFE_S)

    def log_score(self) -> float:
        """Return a base-2 logarithm of the score that is independent of the current time.

        Scores all decay at the same rate, so these logarithms order them at any time. Minus
        infinity if the score is 0.
        """
        if self.score <= 0.0:
            return float("-inf")
        return math.log2(self.score) + self.scored_at / DEMAND_HALF_LIFE_S

    def load_queue_key(self) -> tuple[float, float]:
        """Return the key in the queue of pending loads; the smallest key is loaded first.

        Adapter versions are ordered by the arrival of their oldest waiting request, moved
        ``PRIORITY_CREDIT_S`` earlier for each priority level, then by score.
        """
        return (self.oldest_arrived_at - PRIORITY_CREDIT_S * self.priority, -self.score)


@define
class EnginePool:
    """Engines of one base model with their demand and orders, as their lead schedules them.

    Attributes
    ----------
    epoch, led_since : int, float
        Epoch of this lead's lease, and when it began to lead.
    engines_by_ref : dict
        Names of the engines with a slot for an adapter version, in whatever state.
    demand : OrderedDict
        Demand by adapter version, the one that was reported longest ago first.
    refs_by_waiting_entry : dict
        Adapter versions that requests of an entry wait for.
    pending_loads : LoadQueue
        Adapter versions that requests wait for and that no engine in service holds or loads.
    load_retries : list
        Heap of (end of backoff, adapter version) after failed loads.
    background_loads : LoadQueue
        Loads that no request waits for, and replicas that relieve a full engine.
    unreported_entries : set
        Entries that have not reported to this lead which grants they hold.
    entries_with_unknown_grants : set
        Subset of ``unreported_entries`` whose ``Holdings`` messages are unknown or incomplete.
    asked_entries : set
        Entries that were asked for their grants, or are to be asked next.
    suspensions : dict
        Orders that may still take effect although their sender gave up on them or no longer
        leads, by order id.
    orders, order_count : dict, int
        Open orders by id, and the number of orders under this epoch.
    grant_count : int
        Number of grants under this epoch; numbers the next grant.
    engines_with_free_slot, engines_with_evictable_slot : dict
        Names of the engines that can be ordered to load now, as ordered sets. The second holds
        those that have no free slot but one that can be replaced at once.
    draining_slots : set
        Engine name and adapter version of each draining slot.
    victim_heap : list
        Heap of resident slots by eviction cost. It may hold outdated items.
    victim_keys : dict
        Key of the valid item of each slot in ``victim_heap``.
    engine_retries : list
        Heap of times at which the backoff of an engine ends.
    warm_revision, warm_preset : int, str
        Configuration revision and preset for which warm-up loads were last queued.
    silent_entries_checked_at : float
        When ``demand.drop_silent_entries`` last dropped the waiting demand of unreachable entries.
    capacity : int
        Number of slots of all engines.
    blocked_since : float or None
        Since when the budget allows a load but no engine can take any of the first pending
        loads; None if one can.
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
    silent_entries_checked_at: float = float("-inf")
    capacity: int = 0
    blocked_since: float | None = None

    def score(self, ref: AdapterRef, at: float) -> float:
        """Return the decayed demand score of an adapter version; 0 if there is no demand."""
        demand = self.demand.get(ref)
        return demand.decayed_score(at) if demand else 0.0

    def count_open_loads(self) -> int:
        """Return the number of open load orders, also of those that are not sent or answered."""
        return sum(1 for order in self.orders.values() if order.kind is OrderKind.LOAD)

    @property
    def needs_store_share(self) -> bool:
        """Whether this base model needs a share of the weight store's rate now."""
        return bool(self.pending_loads or self.orders)


def current_pool(state: State, base: str, epoch: int) -> EnginePool | None:
    """Return the engine pool of a base model, or None if this entry does not lead that epoch.

    Messages and answers that belong to another epoch are dropped by this check.
    """
    pool = state.boards.get(base)
    if pool is None or pool.epoch != epoch:
        return None
    return pool


def add_slot(pool: EnginePool, engine: EngineState, slot: Slot) -> None:
    """Add a slot to an engine; holders from before the engine lost the adapter are restored."""
    slot.holders.update(engine.holders_by_lost_ref.pop(slot.ref, {}))
    engine.slots[slot.ref] = slot
    pool.engines_by_ref.setdefault(slot.ref, set()).add(engine.name)


def drop_slot(pool: EnginePool, engine: EngineState, ref: AdapterRef) -> None:
    """Remove a slot from an engine and queue a load if requests wait for its adapter version.

    Its holders move to ``holders_by_lost_ref``, since they have not returned their grants.
    """
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
    """Return whether it is certain that no entry holds a grant for a slot."""
    return not slot.holders and not (
        slot.may_have_unknown_holders and pool.entries_with_unknown_grants
    )


def is_usable(engine: EngineState, slot: Slot) -> bool:
    """Return whether a slot may serve requests, now or after its load.

    A draining slot counts unless it is drained for a pending load, as its drain can be
    cancelled.
    """
    if not engine.in_service or slot.ref in engine.suspended_refs or slot.needed_for_load:
        return False
    return slot.state is not SlotState.REPLACING


def is_served(pool: EnginePool, ref: AdapterRef) -> bool:
    """Return whether any engine has a usable slot for an adapter version."""
    for name in pool.engines_by_ref.get(ref, ()):
        engine = pool.engines[name]
        if is_usable(engine, engine.slots[ref]):
            return True
    return False


def update_pending_load(pool: EnginePool, ref: AdapterRef) -> None:
    """Queue or unqueue the pending load of an adapter version.

    It is queued if requests wait for it and no engine serves it; a background load of it is
    then dropped.
    """
    demand = pool.demand.get(ref)
    if demand is None or not demand.waiting_by_entry or is_served(pool, ref):
        pool.pending_loads.discard(ref)
        return
    pool.pending_loads.put(ref, demand.load_queue_key())
    pool.background_loads.discard(ref)
