"""The lead's queue of suspects for isolation.

One suspect at a time of a base model runs alone on an engine. The lead reserves an engine, drains
it, loads the adapter there and grants it to the suspect's entry. An entry repeats its
``IsolationWanted`` message as long as it needs the isolation.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions import lead_grants, quarantine
from poplarhoist.decisions.effects import SendMessage
from poplarhoist.decisions.engine_pool import EnginePool, EngineState
from poplarhoist.decisions.load_views import estimate_load
from poplarhoist.decisions.membership import is_endpoint_usable
from poplarhoist.decisions.messages import IsolationDone, IsolationGrant, IsolationWanted
from poplarhoist.decisions.reservations import is_empty, load_reserved, release, reserve
from poplarhoist.models import AdapterRef

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

ISOLATION_WANTED_TTL_S = 2.0
RESERVATION_TIMEOUT_S = 60.0
GRANT_RESEND_INTERVAL_S = 1.0
DRAIN_STUCK_S = 5.0
MAX_RESERVED_SHARE = 0.25


@define
class IsolationRequest:
    """A suspect that waits to run alone, or runs alone.

    Attributes
    ----------
    deadline_at : float
        When it is dropped if it still waits.
    heard_at : float
        When its entry last asked for the isolation.
    running_on : str
        Engine that it was granted; empty while it waits.
    granted_at : float
        When the grant was last sent; minus infinity while it waits.
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
    """An engine that is reserved for suspects.

    Attributes
    ----------
    boot : str
        Boot id of the engine when it was reserved.
    reserved_at : float
        When it was reserved.
    known_empty : bool
        Whether nothing is known to run on it: it was seen empty, and every suspect that ran on
        it since then has ended there.
    """

    boot: str
    reserved_at: float
    known_empty: bool = False


@define
class IsolationQueue:
    """Suspects of one base model under one epoch.

    Attributes
    ----------
    by_request : dict
        Suspects by entry and request id, in order of arrival.
    reserved : dict
        Reserved engines by name.
    """

    epoch: int
    by_request: dict[tuple[str, str], IsolationRequest] = field(factory=dict)
    reserved: dict[str, ReservedEngine] = field(factory=dict)


@define
class IsolationQueues:
    """Isolation queues of the base models that this entry leads, by base model.

    ``State.turns`` holds them.
    """

    by_base: dict[str, IsolationQueue] = field(factory=dict)


def get_isolation_queue(state: State, pool: EnginePool) -> IsolationQueue:
    """Return the isolation queue of a base model; one of an earlier epoch is replaced."""
    queue = state.turns.by_base.get(pool.base)
    if queue is None or queue.epoch != pool.epoch:
        queue = state.turns.by_base[pool.base] = IsolationQueue(pool.epoch)
    return queue


def on_isolation_wanted(
    state: State, sender: str, message: IsolationWanted, at: float, out
) -> None:
    """Queue a suspect or refresh it, and reserve the engine on which it already runs.

    A new lead learns in this way of suspects that run under the grant of an earlier lead.
    """
    pool = state.boards.get(message.base)
    if pool is None:
        return
    queue = get_isolation_queue(state, pool)
    key = (sender, message.request_id)
    request = queue.by_request.get(key)
    if request is None:
        deadline_at = at + message.left_s
        request = IsolationRequest(sender, message.digest, message.ref, deadline_at, at)
        queue.by_request[key] = request
    request.heard_at = at
    engine = pool.engines.get(message.running_on)
    if engine is not None:
        request.running_on = engine.name
        request.granted_at = at
        reserve_engine(state, pool, queue, engine, at, out)
    advance(state, pool, at, out)


def on_isolation_done(state: State, sender: str, message: IsolationDone, at: float, out) -> None:
    """Remove a suspect that neither waits nor runs any more."""
    pool = state.boards.get(message.base)
    if pool is None:
        return
    queue = get_isolation_queue(state, pool)
    request = queue.by_request.pop((sender, message.request_id), None)
    if request is not None and request.running_on in queue.reserved:
        queue.reserved[request.running_on].known_empty = message.clean
    advance(state, pool, at, out)


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Advance the queue of each base model that this entry leads, and drop the others."""
    for base in list(state.turns.by_base):
        pool = state.boards.get(base)
        if pool is None:
            del state.turns.by_base[base]
        else:
            advance(state, pool, at, out)


def advance(state: State, pool: EnginePool, at: float, out: list[Effect]) -> None:
    """Drop stale suspects, let the next one run if none does, and release unused engines."""
    queue = get_isolation_queue(state, pool)
    drop_stale(state, queue, at)
    running = [item for item in queue.by_request.items() if item[1].running_on]
    for key, request in running:
        check_running(state, pool, key, request, at, out)
    next_name = ""
    if queue.by_request and not running:
        next_name = prepare_next(state, pool, queue, at, out)
    in_use = {request.running_on for request in queue.by_request.values()} | {next_name}
    for name in list(queue.reserved.keys() - in_use):
        release_if_idle(state, pool, queue, name, at, out)


def drop_stale(state: State, queue: IsolationQueue, at: float) -> None:
    """Drop suspects that are quarantined, past their deadline, or no longer asked for.

    An engine on which such a suspect ran is no longer known to be empty.
    """
    for key, request in list(queue.by_request.items()):
        expired = not request.running_on and at >= request.deadline_at
        silent = at - request.heard_at >= ISOLATION_WANTED_TTL_S
        if expired or silent or quarantine.is_quarantined(state, request.digest):
            del queue.by_request[key]
            if request.running_on in queue.reserved:
                queue.reserved[request.running_on].known_empty = False


def prepare_next(
    state: State, pool: EnginePool, queue: IsolationQueue, at: float, out: list[Effect]
) -> str:
    """Drain an engine for the first suspect, load its adapter and send the grant.

    Called until the engine is ready; the steps that are done already have no effect.

    Returns
    -------
    str
        Name of the engine; empty if none can be reserved now.
    """
    key, request = next(iter(queue.by_request.items()))
    engine = select_engine(state, pool, queue, request.ref, at)
    if engine is None:
        return ""
    reserve_engine(state, pool, queue, engine, at, out)
    ready = load_reserved(state, pool, engine, request.ref, at, out)
    reserved = queue.reserved[engine.name]
    if ready and engine.order is None and is_known_idle(pool, engine, reserved):
        reserved.known_empty = True
        request.running_on = engine.name
        boot_key = f"{engine.name}/{engine.boot}"
        quarantine.open_trial(state, request.digest, boot_key, at, out)
        send_grant(state, pool, key, request, at, out)
    return engine.name


def is_known_idle(pool: EnginePool, engine: EngineState, reserved: ReservedEngine) -> bool:
    """Return whether it is certain that nothing runs on a reserved engine.

    Either the engine is empty now, or it is known to be empty, has not restarted since it was
    reserved, and no entry holds a grant there.
    """
    if is_empty(pool, engine):
        return True
    has_grant_holders = any(slot.holders for slot in engine.slots.values())
    return reserved.known_empty and reserved.boot == engine.boot and not has_grant_holders


def select_engine(
    state: State, pool: EnginePool, queue: IsolationQueue, ref: AdapterRef, at: float
) -> EngineState | None:
    """Return the engine that is expected to be drained first; None if none can be reserved.

    Engines that are reserved already are preferred, and engines whose drain is stuck come last.
    Another engine may be reserved if none is reserved yet, or if the reserved share of the usable
    engines is below ``MAX_RESERVED_SHARE``.
    """
    engines = [
        e for name, e in pool.engines.items() if e.synced and is_endpoint_usable(state, name)
    ]
    reserved_count = sum(1 for engine in engines if engine.name in queue.reserved)
    may_reserve = reserved_count < max(1, len(engines) * MAX_RESERVED_SHARE)

    def rank(engine: EngineState) -> tuple:
        reserved = engine.name in queue.reserved
        load = estimate_load(state, engine.name)
        return (
            is_drain_stuck(pool, queue, engine, at),
            not reserved,
            load,
            ref not in engine.slots,
        )

    engines = [e for e in engines if may_reserve or e.name in queue.reserved]
    return min(sorted(engines, key=lambda e: e.name), key=rank, default=None)


def is_drain_stuck(pool: EnginePool, queue: IsolationQueue, engine: EngineState, at: float) -> bool:
    """Return whether an engine is not empty ``DRAIN_STUCK_S`` after it was reserved."""
    reserved = queue.reserved.get(engine.name)
    if reserved is None or is_known_idle(pool, engine, reserved):
        return False
    return at - reserved.reserved_at >= DRAIN_STUCK_S


def reserve_engine(
    state: State, pool: EnginePool, queue: IsolationQueue, engine: EngineState, at, out
) -> None:
    """Reserve an engine for suspects; reserving it again has no effect."""
    if engine.name not in queue.reserved:
        queue.reserved[engine.name] = ReservedEngine(engine.boot, at)
    reserve(state, pool, engine, at, out)


def send_grant(
    state: State, pool: EnginePool, key, request: IsolationRequest, at: float, out
) -> None:
    """Send an entry the grant to run a suspect alone on the engine prepared for it."""
    engine = pool.engines[request.running_on]
    request.granted_at = at
    grant = lead_grants.make_grant(state, pool, engine, request.ref, request.entry)
    message = IsolationGrant(pool.base, pool.epoch, key[1], grant, engine.boot)
    out.append(SendMessage(request.entry, message))


def check_running(
    state: State, pool: EnginePool, key, request: IsolationRequest, at: float, out
) -> None:
    """Let a suspect wait again if its engine restarted, or resend a grant that may be lost."""
    engine = pool.engines.get(request.running_on)
    if engine is None or request.ref not in engine.slots:
        request.running_on = ""
        request.granted_at = float("-inf")
        return
    if at - request.granted_at >= GRANT_RESEND_INTERVAL_S:
        send_grant(state, pool, key, request, at, out)


def release_if_idle(
    state: State, pool: EnginePool, queue: IsolationQueue, name: str, at: float, out
) -> None:
    """Release an engine that is idle or restarted.

    It is released in any case after ``RESERVATION_TIMEOUT_S``, even if it is not known whether
    something still runs on it.
    """
    reserved = queue.reserved[name]
    engine = pool.engines.get(name)
    if engine is None:
        del queue.reserved[name]
        return
    restarted = engine.boot != reserved.boot
    timed_out = at - reserved.reserved_at >= RESERVATION_TIMEOUT_S
    if is_known_idle(pool, engine, reserved) or restarted or timed_out:
        del queue.reserved[name]
        release(state, pool, engine, at, out)
