"""What the lead of a base model decides: loads, evictions and who may use what."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from poplarhoist.decisions import (
    ahead,
    budget,
    demand,
    evictions,
    intents,
    lead_grants,
    orders,
    reservations,
    residency,
)
from poplarhoist.decisions.board import Board, EngineBoard, Slot, current_board, want
from poplarhoist.decisions.events import OrderAnswered
from poplarhoist.decisions.messages import Demand, HeldGrants, Returned
from poplarhoist.models import AdapterRef, EndpointReport

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

CANDIDATES = 16
LOOK_AHEAD = 8
DRAIN_SHARE = 4
REGION_COST = 0.5
AHEAD_MARGIN = 0.5
FULL_LOAD = 0.75
WARM_SCORE = 1.0


def take_over(state: State, base: str, epoch: int, at: float, out: list[Effect]) -> None:
    """Begin to lead a base model: gather grants and residency first."""
    board = Board(base, epoch, at)
    board.budget.filled_at = min(at, state.leadership.leases_by_base[base].no_lead_since)
    state.boards[base] = board
    for name in sorted(state.members.engines_by_base.get(base, ())):
        residency.add_engine(state, board, name, at)
    for name in (state.me.name, *state.members.peers):
        residency.begin_gather(state, board, name, at)
    advance(state, board, at, out)


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Do what is due on each board."""
    for name in sorted(state.members.changed_endpoints):
        on_endpoint(state, name, at)
    state.members.changed_endpoints.clear()
    for board in state.boards.values():
        for name in sorted(state.members.joined_peers - board.known_entries):
            residency.begin_gather(state, board, name, at)
        advance(state, board, at, out)
    state.members.joined_peers.clear()


def on_endpoint(state: State, name: str, at: float) -> None:
    """Take a change of what is known of an endpoint."""
    view = state.members.endpoints.get(name)
    for board in state.boards.values():
        if view is None:
            residency.forget_engine(board, name, at)
        elif name in state.members.engines_by_base.get(board.base, ()):
            residency.add_engine(state, board, name, at)


def advance(state: State, board: Board, at: float, out: list[Effect]) -> None:
    """Gather, fence, settle lost orders and place loads."""
    residency.gather(state, board, at, out)
    intents.advance(state, board, at, out)
    intents.settle_gone(state, board, at, out)
    for name in sorted(board.unfenced):
        orders.fence(state, board, board.engines[name], at, out)
    lead_grants.recall_again(state, board, at, out)
    reservations.poll(state, board, at, out)
    orders.settle_lost_orders(state, board, at, out)
    demand.drop_silent(state, board, at)
    ahead.on_config(state, board)
    wake(state, board, at)
    pump(state, board, at, out)


def wake(state: State, board: Board, at: float) -> None:
    """Look again at engines and loads of which the backoff has ended."""
    while board.due and board.due[0][0] <= at:
        _, name = heapq.heappop(board.due)
        if name in board.engines:
            evictions.refresh(state, board, board.engines[name], at)
    while board.parked and board.parked[0][0] <= at:
        _, ref = heapq.heappop(board.parked)
        want(board, ref)


def on_held(state: State, sender: str, message: HeldGrants, at: float, out) -> None:
    """Take an entry's account of the grants that it holds."""
    board = current_board(state, message.base, message.epoch)
    if board is not None:
        residency.take_held(state, board, sender, message, at)
        pump(state, board, at, out)


def on_demand(state: State, sender: str, message: Demand, at: float, out: list[Effect]) -> None:
    """Take an entry's demand; grant what is resident, estimate the rest."""
    board = state.boards.get(message.base)
    if board is None:
        return
    for item in message.items:
        demand.take_demand(board, sender, item, at)
        demand.grant_or_want(state, board, sender, item.ref, at, out)
        ahead.replicate(board, item.ref, at)
    pump(state, board, at, out)
    for item in message.items:
        if item.waiting:
            demand.tell_expected(state, board, sender, item.ref, at, out)


def on_returned(state: State, sender: str, message: Returned, at: float, out) -> None:
    """Note that an entry handed a grant back."""
    lead_grants.take_return(state, sender, message, at, out)


def on_report(
    state: State,
    report: EndpointReport,
    sampled_at: float,
    at: float,
    out: list[Effect],
    polled: bool = True,
) -> None:
    """Bring the board in line with what an engine reports.

    Parameters
    ----------
    polled : bool
        Whether the report was read here: only then it is certain that it was sampled after
        ``sampled_at``.
    """
    for board in state.boards.values():
        engine = board.engines.get(report.endpoint)
        if engine is None:
            continue
        view = state.members.endpoints[engine.name]
        engine.load = (report.running + report.waiting) / max(1, view.endpoint.batch)
        if polled:
            residency.reconcile(state, board, engine, report, sampled_at, at, out)
            pump(state, board, at, out)
        else:
            residency.take_passed_on(state, board, engine, report, out)


def on_order(state: State, event: OrderAnswered, out: list[Effect]) -> None:
    """Take the outcome of an order."""
    intents.note_answered(state, event)
    for board in state.boards.values():
        order = board.orders.get(event.order_id)
        if order is not None:
            orders.finish_order(state, board, order, event, out)
            pump(state, board, event.at, out)
            return


def pump(state: State, board: Board, at: float, out: list[Effect]) -> None:
    """Start as many loads as the store and the engines allow, those waited for first."""
    budget.refill(state, board, at)
    blocked = False
    while board.wanted and budget.may_load(state, board, at):
        if not start_one(state, board, at, out):
            blocked = True
            break
        board.blocked_since = None
    note_blocked(board, blocked, at)
    if board.wanted:
        evictions.make_room(state, board, slots_needed(state, board, at), at, out)
        return
    keep_promised(state, board, at, out)
    pump_ahead(state, board, at, out)
    evictions.drain_ahead(state, board, at, out)


def start_one(state: State, board: Board, at: float, out: list[Effect]) -> bool:
    """Start the first load that finds an engine; return whether anything was done."""
    promised = evictions.promised(board)
    for rank, ref in enumerate(list(itertools.islice(board.wanted, LOOK_AHEAD))):
        if board.demand[ref].retry_at > at:
            board.wanted.discard(ref)
            heapq.heappush(board.parked, (board.demand[ref].retry_at, ref))
            return True
        if rank < promised and evictions.revive(state, board, ref, at, out):
            return True
        target = choose(state, board, ref, at)
        if target is not None:
            orders.send_load(state, board, target[0], ref, target[1], at, out)
            return True
    return False


def slots_needed(state: State, board: Board, at: float) -> int:
    """Return how many slots are to be drained for loads that requests wait for."""
    limit = budget.in_flight_limit(state, board, at)
    share = max(1, board.capacity // DRAIN_SHARE)
    return min(len(board.wanted), limit, share) - len(board.ready_free)


def note_blocked(board: Board, blocked: bool, at: float) -> None:
    """Keep since when no engine can take the load that goes first."""
    if not blocked:
        board.blocked_since = None
    elif board.blocked_since is None:
        board.blocked_since = at


def keep_promised(state: State, board: Board, at: float, out: list[Effect]) -> None:
    """Use slots again that were to make room for loads which nobody waits for any more."""
    for pair in sorted(board.draining):
        slot = evictions.slot_of(board, pair)
        if slot.promised and evictions.serves_loads(board, pair):
            slot.promised = False
            lead_grants.grant_waiting(state, board, board.engines[pair[0]], slot, at, out)


def choose(
    state: State, board: Board, ref: AdapterRef, at: float
) -> tuple[EngineBoard, Slot | None] | None:
    """Return the engine to load an adapter version on, and the slot to replace."""
    region = region_of(state, board, ref)
    for ready in (board.ready_free, board.ready_clean):
        names = list(itertools.islice(ready, CANDIDATES))
        engines = [board.engines[name] for name in names if may_take(state, board, name, ref, at)]
        engines.sort(key=lambda e: cost(state, e) + REGION_COST * (e.region != region))
        for engine in engines:
            if len(engine.slots) < engine.capacity:
                return engine, None
            victim = evictions.clean_slot(board, engine)
            if victim is not None:
                return engine, victim
    return None


def cost(state: State, engine: EngineBoard) -> float:
    """Return what counts against an engine: its load, or the lack of it if batches weigh more."""
    if engine.load >= FULL_LOAD:
        return 1.0 + engine.load
    preset = state.config.preset
    if preset.batch_weight > preset.stall_weight:
        return -engine.load
    return engine.load


def may_take(state: State, board: Board, name: str, ref: AdapterRef, at: float) -> bool:
    """Return whether an engine may load an adapter version now."""
    engine = board.engines[name]
    if ref in engine.slots or ref in engine.suspended:
        return False
    return evictions.may_load(state, engine, at)


def region_of(state: State, board: Board, ref: AdapterRef) -> str:
    """Return the region where most requests wait for an adapter version."""
    view = board.demand.get(ref)
    if view is None or not view.waiting_by_entry:
        return state.me.place.region
    entry = max(sorted(view.waiting_by_entry), key=view.waiting_by_entry.__getitem__)
    peer = state.members.peers.get(entry)
    return peer.instance.place.region if peer else state.me.place.region


def pump_ahead(state: State, board: Board, at: float, out: list[Effect]) -> None:
    """Start loads that nobody waits for, with the budget that others leave."""
    while board.ahead and budget.may_load(state, board, at) and not board.budget.store_down:
        ref = board.ahead.first()
        rank = board.ahead.keys_by_ref[ref][0]
        if rank == ahead.RECOVER_RANK and board.score(ref, at) < ahead.RECOVER_SCORE:
            board.ahead.discard(ref)
            continue
        if rank != ahead.REPLICA_RANK and board.budget.spare < 1.0:
            return
        target = choose(state, board, ref, at)
        if target is None:
            if rank == ahead.REPLICA_RANK:
                evictions.drain_for_replica(state, board, ref, at, out)
            return
        engine, victim = target
        if victim is not None and not pays(board, ref, victim, at):
            return
        spare = rank != ahead.REPLICA_RANK
        orders.send_load(state, board, engine, ref, victim, at, out, ahead=spare)


def pays(board: Board, ref: AdapterRef, victim: Slot, at: float) -> bool:
    """Return whether a load that nobody waits for is worth more than what it replaces."""
    gain = max(WARM_SCORE, board.score(ref, at))
    return board.score(victim.ref, at) < gain * AHEAD_MARGIN
