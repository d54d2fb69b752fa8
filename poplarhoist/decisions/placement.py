"""What the lead of a base model decides: loads, evictions and who may use what."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions.effects import Count, OrderKind, PollEndpoint, SendMessage, SendOrder
from poplarhoist.decisions.events import OrderAnswered, OrderOutcome
from poplarhoist.decisions.messages import (
    Demand,
    DemandItem,
    Expected,
    GatherGrants,
    Grant,
    HeldGrants,
    Recall,
    Returned,
)
from poplarhoist.models import AdapterRef, EndpointReport, Liveness

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

DEMAND_HALF_LIFE_S = 30.0
LOAD_BACKOFF_S = 1.0
LOAD_BACKOFF_MAX_S = 30.0


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
    """

    name: str
    boot: str = ""
    slots: dict[AdapterRef, Slot] = field(factory=dict)
    order: Order | None = None
    settled: bool = False
    fenced_at: float | None = None
    fence_sent_at: float = float("-inf")
    retry_at: float = float("-inf")


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


def take_over(state: State, base: str, epoch: int, at: float, out: list[Effect]) -> None:
    """Begin to lead a base model: gather grants and residency first."""
    board = Board(base, epoch, at, tokens_at=at)
    board.ungathered = {state.me.name, *state.members.peers}
    state.boards[base] = board
    advance(state, board, at, out)


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Do what is due on each board."""
    for board in state.boards.values():
        advance(state, board, at, out)


def advance(state: State, board: Board, at: float, out: list[Effect]) -> None:
    """Gather, fence, settle lost orders and place loads."""
    gather(state, board, at, out)
    for name in state.members.engines_by_base.get(board.base, ()):
        engine = board.engines.get(name)
        if engine is None:
            engine = board.engines[name] = EngineBoard(name)
        fence(state, board, engine, at, out)
        recall_again(state, board, engine, at, out)
    for name in list(board.engines.keys() - state.members.engines_by_base.get(board.base, set())):
        forget_engine(board, name)
    settle_lost_orders(state, board, at, out)
    pump(state, board, at, out)


def gather(state: State, board: Board, at: float, out: list[Effect]) -> None:
    """Ask entries that have not answered yet for the grants that they hold."""
    board.ungathered &= {state.me.name, *state.members.peers}
    if not board.ungathered or at - board.gather_sent_at < state.limits.recall_again_s:
        return
    board.gather_sent_at = at
    for name in sorted(board.ungathered):
        out.append(SendMessage(name, GatherGrants(board.base, board.epoch)))


def fence(state: State, board: Board, engine: EngineBoard, at: float, out) -> None:
    """Tell an engine the epoch, so that it refuses orders of earlier leads."""
    if engine.fenced_at is not None or at - engine.fence_sent_at < state.limits.order_s:
        return
    engine.fence_sent_at = at
    send_order(state, board, engine, OrderKind.FENCE, None, None, at, out)


def send_order(state, board, engine, kind, ref, replaces, at, out) -> None:
    """Send an order and remember it until its outcome is known."""
    board.order_count += 1
    order_id = f"{board.base}/{board.epoch}/{board.order_count}"
    order = Order(order_id, engine.name, kind, ref, replaces, at)
    board.orders[order_id] = order
    state.leadership.open_orders[order_id] = board.base
    if kind is OrderKind.LOAD:
        engine.order = order
    out.append(SendOrder(engine.name, order_id, kind, board.epoch, ref, replaces))


def forget_engine(board: Board, name: str) -> None:
    """Drop an engine that is listed no more."""
    engine = board.engines.pop(name)
    for ref in list(engine.slots):
        drop_slot(board, engine, ref)


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
    demand = board.demand.get(ref)
    if demand is not None and demand.waiting:
        board.wanted.add(ref)


def on_held(state: State, sender: str, message: HeldGrants, at: float, out) -> None:
    """Take an entry's account of the grants that it holds."""
    board = current_board(state, message.base, message.epoch)
    if board is None:
        return
    for pair in message.pairs:
        engine = board.engines.setdefault(pair.endpoint, EngineBoard(pair.endpoint))
        slot = engine.slots.get(pair.ref)
        if slot is None:
            slot = Slot(pair.ref, SlotState.RESIDENT, at)
            add_slot(board, engine, slot)
        slot.holders.add(sender)
    board.ungathered.discard(sender)
    pump(state, board, at, out)


def current_board(state: State, base: str, epoch: int) -> Board | None:
    """Return the board of a base model if this entry leads it under that epoch."""
    board = state.boards.get(base)
    if board is None or board.epoch != epoch:
        return None
    return board


def on_demand(state: State, sender: str, message: Demand, at: float, out: list[Effect]) -> None:
    """Take an entry's demand; grant what is resident, estimate the rest."""
    board = state.boards.get(message.base)
    if board is None:
        return
    for item in message.items:
        take_demand(board, sender, item, at)
        grant_or_want(state, board, sender, item.ref, at, out)
    pump(state, board, at, out)
    for item in message.items:
        if item.waiting and item.ref in board.wanted:
            ready_in_s = expected_ready_s(state, board, item.ref, at)
            answer = Expected(board.base, board.epoch, item.ref, ready_in_s)
            out.append(SendMessage(sender, answer))


def take_demand(board: Board, sender: str, item: DemandItem, at: float) -> None:
    """Add an entry's demand to what is known."""
    demand = board.demand.setdefault(item.ref, DemandView(scored_at=at))
    demand.score = demand.decayed(at) + item.arrived
    demand.scored_at = at
    demand.priority = max(demand.priority, item.priority)
    if item.waiting:
        demand.waiting_by_entry[sender] = item.waiting
        demand.oldest_at = min(demand.oldest_at, at - item.oldest_s)
        return
    demand.waiting_by_entry.pop(sender, None)
    if not demand.waiting_by_entry:
        demand.oldest_at = float("inf")
        demand.priority = 0


def grant_or_want(state: State, board: Board, sender: str, ref: AdapterRef, at, out) -> None:
    """Grant an entry every engine that holds the adapter version, or want a load."""
    demand = board.demand[ref]
    if not demand.waiting_by_entry.get(sender):
        if not demand.waiting_by_entry:
            board.wanted.discard(ref)
        return
    granted = False
    for name in sorted(board.engines_by_ref.get(ref, ())):
        engine = board.engines[name]
        granted |= grant(state, board, engine, engine.slots[ref], sender, at, out)
    if not granted and ref not in board.engines_by_ref:
        board.wanted.add(ref)


def grant(state: State, board: Board, engine: EngineBoard, slot: Slot, entry, at, out) -> bool:
    """Let an entry dispatch to a slot, if it is fit for use; return whether it was."""
    view = state.members.endpoints.get(engine.name)
    if not engine.settled or view is None or view.leaving:
        return False
    if slot.state is SlotState.DRAINING:
        slot.state = SlotState.RESIDENT
        slot.since = at
        slot.cleared_at = None
        slot.clean = False
    if slot.state is not SlotState.RESIDENT:
        return False
    slot.holders.add(entry)
    out.append(SendMessage(entry, Grant(board.base, board.epoch, slot.ref, engine.name)))
    return True


def expected_ready_s(state: State, board: Board, ref: AdapterRef, at: float) -> float:
    """Estimate how long it takes until an adapter version is resident."""
    mine = order_key(board, ref, at)
    ahead = sum(1 for other in board.wanted if order_key(board, other, at) > mine)
    rate = state.limits.store_loads_per_s
    return max(0.0, ahead + 1 - board.tokens) / rate + state.limits.load_s


def order_key(board: Board, ref: AdapterRef, at: float) -> tuple[float, float]:
    """Return the rank of a wanted load; the highest goes first."""
    demand = board.demand[ref]
    age_s = max(0.0, at - demand.oldest_at)
    return (demand.priority, demand.waiting * (1.0 + age_s))


def refill(state: State, board: Board, at: float) -> None:
    """Add to the loads allowed by the store's rate."""
    limits = state.limits
    board.tokens += (at - board.tokens_at) * limits.store_loads_per_s
    board.tokens = min(board.tokens, max(1.0, limits.store_loads_per_s / 2))
    board.tokens_at = at


def pump(state: State, board: Board, at: float, out: list[Effect]) -> None:
    """Start as many wanted loads as the store and the engines allow."""
    refill(state, board, at)
    ranked = sorted(board.wanted, key=lambda ref: order_key(board, ref, at), reverse=True)
    for ref in ranked:
        loads = sum(1 for order in board.orders.values() if order.kind is OrderKind.LOAD)
        if board.tokens < 1.0 or loads >= state.limits.store_in_flight:
            return
        if board.demand[ref].retry_at > at:
            continue
        place(state, board, ref, at, out)


def place(state: State, board: Board, ref: AdapterRef, at: float, out: list[Effect]) -> None:
    """Load an adapter version where there is room, or begin to make room."""
    ready = [e for e in board.engines.values() if can_load(state, e, at)]
    for engine in sorted(ready, key=lambda e: len(e.slots)):
        view = state.members.endpoints[engine.name]
        if len(engine.slots) < view.endpoint.slots:
            start_load(state, board, engine, ref, None, at, out)
            return
    for engine in ready:
        for slot in engine.slots.values():
            if slot.state is SlotState.DRAINING and slot.clean:
                start_load(state, board, engine, ref, slot, at, out)
                return
    make_room(state, board, ready, at, out)


def can_load(state: State, engine: EngineBoard, at: float) -> bool:
    """Return whether an engine may be ordered to load now."""
    view = state.members.endpoints.get(engine.name)
    if view is None or view.leaving or view.silent_since is not None:
        return False
    return engine.settled and engine.order is None and at >= engine.retry_at


def start_load(state, board, engine, ref, victim: Slot | None, at, out) -> None:
    """Order a load, in place of a victim if one is given."""
    board.tokens -= 1.0
    board.wanted.discard(ref)
    replaces = None
    if victim is not None:
        victim.state = SlotState.REPLACING
        victim.since = at
        replaces = victim.ref
    add_slot(board, engine, Slot(ref, SlotState.LOADING, at))
    send_order(state, board, engine, OrderKind.LOAD, ref, replaces, at, out)


def make_room(state: State, board: Board, engines: list[EngineBoard], at: float, out) -> None:
    """Begin to drain the least wanted slot of engines that drain none yet."""
    best: tuple[float, EngineBoard, Slot] | None = None
    for engine in engines:
        if any(slot.state is SlotState.DRAINING for slot in engine.slots.values()):
            continue
        for slot in engine.slots.values():
            if slot.state is not SlotState.RESIDENT:
                continue
            loss = expected_loss(board, slot, at)
            if best is None or loss < best[0]:
                best = (loss, engine, slot)
    if best is not None:
        drain_slot(state, board, best[1], best[2], at, out)


def expected_loss(board: Board, slot: Slot, at: float) -> float:
    """Return how much is lost by evicting a slot."""
    demand = board.demand.get(slot.ref)
    if demand is None:
        return 0.0
    return demand.decayed(at) + demand.waiting


def drain_slot(state: State, board: Board, engine: EngineBoard, slot: Slot, at, out) -> None:
    """Recall all grants of a slot, so that it can be evicted."""
    slot.state = SlotState.DRAINING
    slot.since = at
    slot.cleared_at = None
    slot.clean = False
    if slot.holders or board.ungathered:
        recall(board, engine, slot, at, out)
    else:
        slot.cleared_at = at
        out.append(PollEndpoint(engine.name))


def recall(board: Board, engine: EngineBoard, slot: Slot, at: float, out) -> None:
    """Ask every holder of a slot to hand its grant back."""
    slot.recalled_at = at
    for holder in sorted(slot.holders):
        message = Recall(board.base, board.epoch, slot.ref, engine.name)
        out.append(SendMessage(holder, message))


def recall_again(state: State, board: Board, engine: EngineBoard, at: float, out) -> None:
    """Repeat recalls that were not answered, and look for reports that are still missing."""
    for slot in engine.slots.values():
        if slot.state is not SlotState.DRAINING or slot.clean:
            continue
        if at - max(slot.recalled_at, slot.since) < state.limits.recall_again_s:
            continue
        slot.holders -= gone_holders(state, slot)
        if slot.holders:
            recall(board, engine, slot, at, out)
            continue
        slot.recalled_at = at
        if slot.cleared_at is None and not board.ungathered:
            slot.cleared_at = at
        out.append(PollEndpoint(engine.name))


def gone_holders(state: State, slot: Slot) -> set[str]:
    """Return the holders of a slot that the platform lists no more."""
    return {name for name in slot.holders if name != state.me.name and is_gone(state, name)}


def is_gone(state: State, name: str) -> bool:
    """Return whether the platform lists an entry as gone, or not at all."""
    peer = state.members.peers.get(name)
    return peer is None or peer.instance.state is Liveness.GONE


def on_returned(state: State, sender: str, message: Returned, at: float, out) -> None:
    """Note that an entry handed a grant back."""
    board = current_board(state, message.base, message.epoch)
    engine = board.engines.get(message.endpoint) if board else None
    slot = engine.slots.get(message.ref) if engine else None
    if slot is None:
        return
    slot.holders.discard(sender)
    if slot.state is SlotState.DRAINING and not slot.holders and not board.ungathered:
        slot.cleared_at = at
        out.append(PollEndpoint(engine.name))


def on_report(state: State, report: EndpointReport, sampled_at: float, at: float, out) -> None:
    """Bring the board in line with what an engine reports."""
    for board in state.boards.values():
        engine = board.engines.get(report.endpoint)
        if engine is not None:
            reconcile(state, board, engine, report, sampled_at, at, out)
            pump(state, board, at, out)


def reconcile(state, board, engine, report: EndpointReport, sampled_at, at, out) -> None:
    """Take over an engine's own account of its slots."""
    if engine.boot and report.boot != engine.boot:
        restart(board, engine)
    engine.boot = report.boot
    if engine.fenced_at is None or sampled_at <= engine.fenced_at:
        return
    resident = {AdapterRef.parse(text): running for text, running in report.resident.items()}
    for ref, slot in list(engine.slots.items()):
        if sampled_at <= slot.since or slot.state in (SlotState.LOADING, SlotState.REPLACING):
            continue
        if ref not in resident:
            drop_slot(board, engine, ref)
        elif slot.state is SlotState.DRAINING and slot.cleared_at is not None:
            slot.clean = sampled_at > slot.cleared_at and resident[ref] == 0
    if engine.order is None:
        for ref in resident.keys() - engine.slots.keys():
            add_slot(board, engine, Slot(ref, SlotState.RESIDENT, at))
    settle(state, board, engine, at, out)


def restart(board: Board, engine: EngineBoard) -> None:
    """Forget the slots of an engine that restarted cold."""
    for ref in list(engine.slots):
        drop_slot(board, engine, ref)
    if engine.order is not None:
        board.orders.pop(engine.order.order_id, None)
        engine.order = None
    engine.fenced_at = None
    engine.fence_sent_at = float("-inf")
    engine.settled = False


def settle(state: State, board: Board, engine: EngineBoard, at: float, out) -> None:
    """Begin to use an engine of which the residency is now known."""
    if engine.settled:
        return
    engine.settled = True
    for slot in list(engine.slots.values()):
        grant_waiting(state, board, engine, slot, at, out)


def grant_waiting(state: State, board: Board, engine: EngineBoard, slot: Slot, at, out) -> None:
    """Grant a slot to every entry with requests waiting for it."""
    demand = board.demand.get(slot.ref)
    if demand is None:
        return
    for entry in sorted(demand.waiting_by_entry):
        grant(state, board, engine, slot, entry, at, out)
    board.wanted.discard(slot.ref)


def on_order(state: State, event: OrderAnswered, out: list[Effect]) -> None:
    """Take the outcome of an order."""
    if event.outcome is not OrderOutcome.UNKNOWN:
        state.leadership.open_orders.pop(event.order_id, None)
    for board in state.boards.values():
        order = board.orders.get(event.order_id)
        if order is not None:
            finish_order(state, board, order, event, out)
            pump(state, board, event.at, out)
            return


def finish_order(state: State, board: Board, order: Order, event: OrderAnswered, out) -> None:
    """Bring the board in line with the outcome of an order."""
    engine = board.engines.get(order.endpoint)
    if engine is None:
        board.orders.pop(order.order_id)
        return
    if order.kind is OrderKind.FENCE:
        board.orders.pop(order.order_id)
        if event.outcome is OrderOutcome.DONE:
            engine.fenced_at = event.at
            out.append(PollEndpoint(engine.name))
        return
    out.append(Count("load_ended", (event.outcome,)))
    if event.outcome is OrderOutcome.UNKNOWN:
        order.lost = True
        out.append(PollEndpoint(engine.name))
        return
    close_load(state, board, engine, order, event.outcome is OrderOutcome.DONE, event.at, out)


def close_load(state, board, engine, order: Order, loaded: bool, at, out) -> None:
    """End a load that succeeded or failed."""
    board.orders.pop(order.order_id, None)
    state.leadership.open_orders.pop(order.order_id, None)
    engine.order = None
    demand = board.demand.setdefault(order.ref, DemandView(scored_at=at))
    slot = engine.slots.get(order.ref)
    if order.replaces is not None:
        drop_slot(board, engine, order.replaces)
    if loaded and slot is not None:
        slot.state = SlotState.RESIDENT
        slot.since = at
        demand.failures = 0
        grant_waiting(state, board, engine, slot, at, out)
        return
    drop_slot(board, engine, order.ref)
    demand.failures += 1
    backoff_s = min(LOAD_BACKOFF_MAX_S, LOAD_BACKOFF_S * 2 ** (demand.failures - 1))
    demand.retry_at = at + backoff_s
    engine.retry_at = at + state.limits.load_s


def settle_lost_orders(state: State, board: Board, at: float, out: list[Effect]) -> None:
    """Settle orders without an answer by a report that was sampled after their longest time."""
    for order in list(board.orders.values()):
        if at - order.sent_at < state.limits.order_s:
            continue
        engine = board.engines.get(order.endpoint)
        view = state.members.endpoints.get(order.endpoint)
        if engine is None or order.kind is OrderKind.FENCE:
            board.orders.pop(order.order_id)
            continue
        if view is None or view.sampled_at < order.sent_at + state.limits.order_s:
            continue
        loaded = view.report is not None and str(order.ref) in view.report.resident
        close_load(state, board, engine, order, loaded, at, out)
