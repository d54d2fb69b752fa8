"""Which adapter versions leave engines to make room, and which engines may load now."""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from poplarhoist.decisions import lead_grants
from poplarhoist.decisions.board import (
    Board,
    EngineBoard,
    Slot,
    SlotState,
    is_cleared,
    is_usable,
    want,
)
from poplarhoist.decisions.effects import PollEndpoint, SendMessage
from poplarhoist.decisions.membership import is_silent
from poplarhoist.decisions.messages import Recall

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State
    from poplarhoist.models import AdapterRef

CLEAN_AHEAD = 6
CLEAN_SHARE = 8
DRAINS_PER_ENGINE = 2
STAY_S = 0.5
VICTIMS_LOOKED_AT = 32


def worth(board: Board, slot: Slot) -> float:
    """Return how much is lost by evicting a slot, as a logarithm; replicas share their demand."""
    demand = board.demand.get(slot.ref)
    if demand is None:
        return float("-inf")
    replicas = len(board.engines_by_ref.get(slot.ref, ()))
    return demand.worth() - math.log2(max(1, replicas))


def add_victim(board: Board, engine: EngineBoard, slot: Slot) -> None:
    """Let a resident slot be found when room is needed."""
    key = worth(board, slot)
    for name in sorted(board.engines_by_ref.get(slot.ref, ())):
        push_victim(board, key, name, slot.ref)


def push_victim(board: Board, key: float, name: str, ref: AdapterRef) -> None:
    """Put a slot into the heap, once; a key that has grown is corrected when it comes up."""
    pair = (name, ref)
    if board.victim_keys.get(pair, float("inf")) > key:
        board.victim_keys[pair] = key
        heapq.heappush(board.victims, (key, name, ref))


def may_load(state: State, engine: EngineBoard, at: float) -> bool:
    """Return whether an engine may be ordered to load now."""
    if not engine.in_use or not engine.settled or engine.order is not None:
        return False
    return at >= engine.retry_at


def refresh(state: State, board: Board, engine: EngineBoard, at: float) -> None:
    """Bring the lists of engines that may load in line with an engine."""
    board.ready_free.pop(engine.name, None)
    board.ready_clean.pop(engine.name, None)
    if not may_load(state, engine, at):
        return
    if len(engine.slots) < engine.capacity:
        board.ready_free[engine.name] = None
    elif clean_slot(board, engine) is not None:
        board.ready_clean[engine.name] = None


def clean_slot(board: Board, engine: EngineBoard) -> Slot | None:
    """Return the slot of an engine that can be replaced at once and is missed least."""
    found = [
        slot
        for slot in engine.slots.values()
        if slot.state is SlotState.DRAINING and slot.clean and slot.ref not in engine.suspended
    ]
    return min(found, key=lambda slot: worth(board, slot), default=None)


def make_room(state: State, board: Board, needed: int, at: float, out: list[Effect]) -> None:
    """Drain the slots that are missed least until enough are draining.

    Parameters
    ----------
    needed : int
        Slots for loads that requests wait for; some more are drained ahead of need.
    """
    missing = needed - promised(board)
    pairs = [pair for pair in sorted(board.draining) if serves_loads(board, pair)]
    slots = [slot_of(board, pair) for pair in pairs]
    free = (slot for slot in slots if not slot.promised and not goes_first(board, slot.ref))
    spare = sorted(free, key=lambda s: worth(board, s))
    for slot in spare[: max(0, missing)]:
        promise(board, slot)
        missing -= 1
    while missing > 0:
        found = find_victim(state, board, at)
        if found is None:
            return
        engine, slot = found
        drain_slot(state, board, engine, slot, at, out)
        promise(board, slot)
        missing -= 1


def promised(board: Board) -> int:
    """Return how many slots drain for loads that requests wait for."""
    pairs = (pair for pair in board.draining if serves_loads(board, pair))
    return sum(slot_of(board, pair).promised for pair in pairs)


def drain_ahead(state: State, board: Board, at: float, out: list[Effect]) -> None:
    """Drain some slots that nobody holds, so that the next load finds one at once."""
    draining = sum(1 for pair in board.draining if serves_loads(board, pair))
    wanted = min(CLEAN_AHEAD, max(1, board.capacity // CLEAN_SHARE))
    missing = wanted - draining - len(board.ready_free)
    for _ in range(missing):
        found = find_victim(state, board, at, idle=True)
        if found is None:
            return
        drain_slot(state, board, *found, at, out)


def drain_for_replica(state: State, board: Board, ref, at: float, out: list[Effect]) -> None:
    """Drain a slot for a further replica if it is worth less than the replica would be."""
    if any(serves_loads(board, pair) for pair in board.draining):
        return
    found = find_victim(state, board, at, spare=ref)
    if found is None:
        return
    engine, slot = found
    replicas = len(board.engines_by_ref.get(ref, ()))
    demand = board.demand.get(slot.ref)
    in_demand = demand is not None and demand.waiting > 0
    useless = ref in engine.slots or in_demand
    if not useless and board.score(slot.ref, at) < board.score(ref, at) / (replicas + 1):
        drain_slot(state, board, engine, slot, at, out)
    else:
        add_victim(board, engine, slot)


def promise(board: Board, slot: Slot) -> None:
    """Keep a draining slot for a load that requests wait for."""
    slot.promised = True
    want(board, slot.ref)


def serves_loads(board: Board, pair) -> bool:
    """Return whether a draining slot makes room for ordinary loads."""
    engine = board.engines[pair[0]]
    return engine.in_use and engine.settled


def slot_of(board: Board, pair) -> Slot:
    """Return the slot of a draining pair."""
    name, ref = pair
    return board.engines[name].slots[ref]


def find_victim(
    state: State,
    board: Board,
    at: float,
    idle: bool = False,
    spare: AdapterRef | None = None,
) -> tuple[EngineBoard, Slot] | None:
    """Return the resident slot that is missed least, on an engine that can drain one.

    Parameters
    ----------
    idle : bool
        Whether only slots that nobody holds will do.
    spare : AdapterRef or None
        Engines that hold this adapter version are passed over.
    """
    put_back = []
    found = None
    while board.victims and found is None and len(put_back) < VICTIMS_LOOKED_AT:
        key, name, ref = heapq.heappop(board.victims)
        if board.victim_keys.get((name, ref)) != key:
            continue
        del board.victim_keys[(name, ref)]
        engine = board.engines.get(name)
        slot = engine.slots.get(ref) if engine else None
        if slot is None or slot.state is not SlotState.RESIDENT:
            continue
        current = worth(board, slot)
        if current > key:
            push_victim(board, current, name, ref)
        elif (
            goes_first(board, ref)
            or spare in engine.slots
            or (idle and not is_cleared(board, slot))
        ):
            put_back.append((current, name, ref))
        elif may_drain(state, engine, slot, at):
            found = (engine, slot)
        else:
            put_back.append((current, name, ref))
    for current, name, ref in put_back:
        push_victim(board, current, name, ref)
    return found


def goes_first(board: Board, ref: AdapterRef) -> bool:
    """Return whether requests wait for a resident adapter since before any wanted load's."""
    demand = board.demand.get(ref)
    first = board.wanted.first()
    if demand is None or first is None or not demand.waiting_by_entry:
        return False
    return demand.urgency() <= board.wanted.keys_by_ref[first]


def may_drain(state: State, engine: EngineBoard, slot: Slot, at: float) -> bool:
    """Return whether a slot may be drained now."""
    if not engine.in_use or not engine.settled or slot.ref in engine.suspended:
        return False
    if at - slot.loaded_at < STAY_S or at < engine.retry_at - STAY_S:
        return False
    if any(is_silent(state, name, at) for name in slot.holders):
        return False
    draining = sum(1 for other in engine.slots.values() if other.state is SlotState.DRAINING)
    return draining < DRAINS_PER_ENGINE


def drain_slot(state: State, board: Board, engine: EngineBoard, slot: Slot, at, out) -> None:
    """Recall all grants of a slot, so that it can be evicted."""
    slot.state = SlotState.DRAINING
    slot.since = at
    slot.cleared_at = None
    slot.clean = False
    slot.promised = False
    board.draining.add((engine.name, slot.ref))
    if is_cleared(board, slot):
        slot.cleared_at = at
        out.append(PollEndpoint(engine.name))
    else:
        recall(board, engine, slot, at, out)


def revive(state: State, board: Board, ref, at: float, out: list[Effect]) -> bool:
    """Use a draining slot of a wanted adapter version again instead of loading it elsewhere."""
    for name in sorted(board.engines_by_ref.get(ref, ())):
        engine = board.engines[name]
        slot = engine.slots[ref]
        if slot.state is not SlotState.DRAINING or not slot.promised:
            continue
        slot.promised = False
        if engine.settled and is_usable(engine, slot):
            lead_grants.grant_waiting(state, board, engine, slot, at, out)
            return True
    return False


def keep_slot(board: Board, engine: EngineBoard, slot: Slot, at: float) -> None:
    """Use a draining slot again; its recalled holders need new grants."""
    slot.state = SlotState.RESIDENT
    slot.granted_at = float("-inf")
    slot.since = at
    slot.cleared_at = None
    slot.clean = False
    slot.promised = False
    board.draining.discard((engine.name, slot.ref))
    add_victim(board, engine, slot)


def recall(board: Board, engine: EngineBoard, slot: Slot, at: float, out) -> None:
    """Ask every holder of a slot to hand its grant back."""
    slot.recalled_at = at
    for holder, number in sorted(slot.holders.items()):
        message = Recall(board.base, board.epoch, slot.ref, engine.name, number)
        out.append(SendMessage(holder, message))
