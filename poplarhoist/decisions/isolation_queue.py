"""The lead's side of isolation: one suspect at a time runs alone on an emptied endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions import lead_grants, quarantine
from poplarhoist.decisions.board import Board, EngineBoard
from poplarhoist.decisions.effects import SendMessage
from poplarhoist.decisions.load_views import estimate_load
from poplarhoist.decisions.membership import usable
from poplarhoist.decisions.messages import IsolationDone, IsolationGrant, IsolationWanted
from poplarhoist.decisions.reservations import is_empty, load_reserved, release, reserve
from poplarhoist.models import AdapterRef

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

WANTED_TTL_S = 2.0
RESERVATION_TIMEOUT_S = 60.0
GRANT_RESEND_INTERVAL_S = 1.0
DRAIN_STUCK_S = 5.0
MAX_RESERVED_SHARE = 0.25


@define
class IsolationRequest:
    """A suspect that waits for its turn, or has it.

    Attributes
    ----------
    running_on : str
        Endpoint that it was granted; empty while it waits.
    granted_at : float
        When the grant was last sent.
    """

    entry: str
    digest: str
    ref: AdapterRef
    deadline_at: float
    heard_at: float
    running_on: str = ""
    granted_at: float = float("-inf")


@define
class ReservedEngine:
    """An engine that is kept for suspects.

    Attributes
    ----------
    boot, since : str, float
        Its boot id when it was reserved, and the time.
    clean : bool
        Whether it was seen empty, and every suspect that ran on it since has ended there.
    """

    boot: str
    reserved_at: float
    clean: bool = False


@define
class IsolationQueue:
    """Suspects of one base model under one epoch, by entry and request id.

    Attributes
    ----------
    reserved : dict
        Reserved engines by endpoint.
    """

    epoch: int
    by_request: dict[tuple[str, str], IsolationRequest] = field(factory=dict)
    reserved: dict[str, ReservedEngine] = field(factory=dict)


@define
class IsolationQueues:
    """Turns by base model."""

    by_base: dict[str, IsolationQueue] = field(factory=dict)


def get_isolation_queue(state: State, board: Board) -> IsolationQueue:
    """Return the turns of a base model; those of an earlier epoch are dropped."""
    turns = state.turns.by_base.get(board.base)
    if turns is None or turns.epoch != board.epoch:
        turns = state.turns.by_base[board.base] = IsolationQueue(board.epoch)
    return turns


def on_isolation_wanted(
    state: State, sender: str, message: IsolationWanted, at: float, out
) -> None:
    """Put a suspect in the queue, or take note of where it runs."""
    board = state.boards.get(message.base)
    if board is None:
        return
    turns = get_isolation_queue(state, board)
    key = (sender, message.request_id)
    wanted = turns.by_request.get(key)
    if wanted is None:
        deadline_at = at + message.left_s
        wanted = IsolationRequest(sender, message.digest, message.ref, deadline_at, at)
        turns.by_request[key] = wanted
    wanted.heard_at = at
    engine = board.engines.get(message.running_on)
    if engine is not None:
        wanted.running_on = engine.name
        wanted.granted_at = at
        reserve_engine(state, board, turns, engine, at, out)
    advance(state, board, at, out)


def on_isolation_done(state: State, sender: str, message: IsolationDone, at: float, out) -> None:
    """Take a suspect out."""
    board = state.boards.get(message.base)
    if board is None:
        return
    turns = get_isolation_queue(state, board)
    wanted = turns.by_request.pop((sender, message.request_id), None)
    if wanted is not None and wanted.running_on in turns.reserved:
        turns.reserved[wanted.running_on].clean = message.clean
    advance(state, board, at, out)


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Do what is due on each board."""
    for base in list(state.turns.by_base):
        board = state.boards.get(base)
        if board is None:
            del state.turns.by_base[base]
        else:
            advance(state, board, at, out)


def advance(state: State, board: Board, at: float, out: list[Effect]) -> None:
    """End turns, prepare and grant the next one, and release endpoints without use."""
    turns = get_isolation_queue(state, board)
    drop_stale(state, turns, at)
    running = [item for item in turns.by_request.items() if item[1].running_on]
    for key, wanted in running:
        check_running(state, board, key, wanted, at, out)
    next_name = ""
    if turns.by_request and not running:
        next_name = prepare_next(state, board, turns, at, out)
    in_use = {wanted.running_on for wanted in turns.by_request.values()} | {next_name}
    for name in list(turns.reserved.keys() - in_use):
        release_if_idle(state, board, turns, name, at, out)


def drop_stale(state: State, turns: IsolationQueue, at: float) -> None:
    """Forget suspects that are convicted, too late, or whose entry says nothing more."""
    for key, wanted in list(turns.by_request.items()):
        late = not wanted.running_on and at >= wanted.deadline_at
        lapsed = at - wanted.heard_at >= WANTED_TTL_S
        if late or lapsed or quarantine.is_quarantined(state, wanted.digest):
            del turns.by_request[key]
            if wanted.running_on in turns.reserved:
                turns.reserved[wanted.running_on].clean = False


def prepare_next(
    state: State, board: Board, turns: IsolationQueue, at: float, out: list[Effect]
) -> str:
    """Empty an endpoint for the first suspect and grant it; return the endpoint's name."""
    key, wanted = next(iter(turns.by_request.items()))
    engine = select_engine(state, board, turns, wanted.ref, at)
    if engine is None:
        return ""
    reserve_engine(state, board, turns, engine, at, out)
    ready = load_reserved(state, board, engine, wanted.ref, at, out)
    reserved = turns.reserved[engine.name]
    if ready and engine.order is None and is_known_idle(board, engine, reserved):
        reserved.clean = True
        wanted.running_on = engine.name
        trial = f"{engine.name}/{engine.boot}"
        quarantine.open_trial(state, wanted.digest, trial, at, out)
        send_grant(state, board, key, wanted, at, out)
    return engine.name


def is_known_idle(board: Board, engine: EngineBoard, reserved: ReservedEngine) -> bool:
    """Return whether nothing runs on a reserved engine."""
    if is_empty(board, engine):
        return True
    held = any(slot.holders for slot in engine.slots.values())
    return reserved.clean and reserved.boot == engine.boot and not held


def select_engine(
    state: State, board: Board, turns: IsolationQueue, ref: AdapterRef, at: float
) -> EngineBoard | None:
    """Return the engine that is emptied soonest, one that is reserved already if there is."""
    engines = [e for name, e in board.engines.items() if e.settled and usable(state, name)]
    reserved_count = sum(1 for engine in engines if engine.name in turns.reserved)
    may_reserve = reserved_count < max(1, len(engines) * MAX_RESERVED_SHARE)

    def rank(engine: EngineBoard) -> tuple:
        reserved = engine.name in turns.reserved
        load = estimate_load(state, engine.name)
        return (
            is_drain_stuck(board, turns, engine, at),
            not reserved,
            load,
            ref not in engine.slots,
        )

    engines = [e for e in engines if may_reserve or e.name in turns.reserved]
    return min(sorted(engines, key=lambda e: e.name), key=rank, default=None)


def is_drain_stuck(board: Board, turns: IsolationQueue, engine: EngineBoard, at: float) -> bool:
    """Return whether an engine was reserved some time ago and is not empty yet."""
    reserved = turns.reserved.get(engine.name)
    if reserved is None or is_known_idle(board, engine, reserved):
        return False
    return at - reserved.reserved_at >= DRAIN_STUCK_S


def reserve_engine(
    state: State, board: Board, turns: IsolationQueue, engine: EngineBoard, at, out
) -> None:
    """Reserve an engine."""
    if engine.name not in turns.reserved:
        turns.reserved[engine.name] = ReservedEngine(engine.boot, at)
    reserve(state, board, engine, at, out)


def send_grant(state: State, board: Board, key, wanted: IsolationRequest, at: float, out) -> None:
    """Let an entry run a suspect on an emptied engine."""
    engine = board.engines[wanted.running_on]
    wanted.granted_at = at
    grant = lead_grants.make_grant(state, board, engine, wanted.ref, wanted.entry)
    message = IsolationGrant(board.base, board.epoch, key[1], grant, engine.boot)
    out.append(SendMessage(wanted.entry, message))


def check_running(
    state: State, board: Board, key, wanted: IsolationRequest, at: float, out
) -> None:
    """End a turn whose engine restarted, or grant again what may not have arrived."""
    engine = board.engines.get(wanted.running_on)
    if engine is None or wanted.ref not in engine.slots:
        wanted.running_on = ""
        wanted.granted_at = float("-inf")
        return
    if at - wanted.granted_at >= GRANT_RESEND_INTERVAL_S:
        send_grant(state, board, key, wanted, at, out)


def release_if_idle(
    state: State, board: Board, turns: IsolationQueue, name: str, at: float, out
) -> None:
    """Release an engine once nothing runs on it, it restarted, or it stays unclear for long."""
    reserved = turns.reserved[name]
    engine = board.engines.get(name)
    if engine is None:
        del turns.reserved[name]
        return
    restarted = engine.boot != reserved.boot
    late = at - reserved.reserved_at >= RESERVATION_TIMEOUT_S
    if is_known_idle(board, engine, reserved) or restarted or late:
        del turns.reserved[name]
        release(state, board, engine, at, out)
