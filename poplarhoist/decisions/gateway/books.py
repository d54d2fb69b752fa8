"""The books of an engine's places, and the orders that its lead gives.

Orders go out one at a time, each bound to the number of orders that the engine has accepted, so
that a lost order which arrives late cannot be carried out on top of newer ones. A place counts as
taken for everything that holds one now or may do so later: adapters held, coming and leaving, and
orders without an answer.
"""

from __future__ import annotations

from poplarhoist.decisions.effects import Count, LogChange
from poplarhoist.decisions.gateway import evicting
from poplarhoist.decisions.gateway.configuration import service_spec
from poplarhoist.decisions.gateway.effects import OrderKind, ReadReport, SendOrder, SendPeer
from poplarhoist.decisions.gateway.endpoints import note_warm
from poplarhoist.decisions.gateway.events import OrderEnded, OrderStatus, ReportRead
from poplarhoist.decisions.gateway.leads import pace
from poplarhoist.decisions.gateway.limits import (
    ASK_AGAIN_S,
    ASKED_S,
    BUSY_S,
    BUSY_TOKENS,
    COMING_LIMIT,
    FETCH_S,
    LATE_ORDER_S,
    REPORT_LAG_S,
    USE_STALE_S,
    WARM_S,
)
from poplarhoist.decisions.gateway.messages import Ask, NotLead, Use, View
from poplarhoist.decisions.gateway.models import AdapterKey, EngineProfile, EngineReport
from poplarhoist.decisions.gateway.state import (
    Book,
    Coming,
    GatewayState,
    Ghost,
    Held,
    OpenOrder,
    Want,
)

# Seconds after which an adapter that should be there, but is not, is expected again.
LATE_LOAD_S = 0.06
# Seconds after a load within which an engine's word that it lacks the adapter means "not yet".
JUST_LOADED_S = 1.0
# Seconds after the latest order within which a report that lacks it is taken for an old one; later
# the books are wrong, as an engine may say that an order holds already and not count it.
OLD_REPORT_S = 2 * REPORT_LAG_S
# Seconds between two reports of an engine with an adapter that makes way.
LEAVING_REPORT_S = 0.4
# Seconds for which an adapter is wanted after a question for it; entries whose requests still wait
# ask again sooner.
WANT_S = 2.5 * ASK_AGAIN_S
# Orders in a row that an engine may turn away as another one is under way, before its books are
# in doubt.
MISMATCHES = 2
# Seconds after which a base model that was ordered is looked for in a report.
MODEL_REPORT_S = 0.4


def profile(state: GatewayState, engine: str) -> EngineProfile | None:
    """Return what an engine offers."""
    view = state.endpoints.get(engine)
    spec = service_spec(state, view.record.service) if view is not None else None
    return spec.engine if spec is not None else None


def on_ask(state: GatewayState, sender: str, message: Ask, at: float, out: list) -> None:
    """Take a question for an adapter."""
    book = state.books.get(message.engine)
    if book is None:
        out.append(SendPeer(sender, NotLead(message.engine)))
        return
    key = AdapterKey(message.model, message.adapter)
    held = book.held.get(key)
    if held is not None and message.absent:
        if at - held.since < JUST_LOADED_S:
            # The load takes longer than expected, and the longer the more often that is seen.
            del book.held[key]
            tries = held.tries + 1
            book.coming[key] = Coming(held.version, at + LATE_LOAD_S * tries, tries)
        elif at - held.since > REPORT_LAG_S:
            doubt(book, at, "absent", out)
            del book.held[key]
    if key in book.held and book.held[key].version >= message.version:
        book.held[key].used_at = at + ASKED_S
    else:
        since = at - message.waited_s
        want = book.wants.setdefault(key, Want(message.version, message.priority, since, at))
        want.since = min(want.since, since)
        want.asked_at = at
        want.version = max(want.version, message.version)
        want.priority = min(want.priority, message.priority)
        want.entries.add(sender)
        step(state, book, at, out)
    # Also where nothing is known yet: the asker learns that its question arrived.
    out.append(SendPeer(sender, view_of(state, book, at)))


def on_use(state: GatewayState, sender: str, message: Use, at: float, out: list) -> None:
    """Take what an entry has at an engine."""
    book = state.books.get(message.engine)
    if book is None:
        return
    book.uses[sender] = (message, at)
    for text in (*message.used, *message.running):
        held = book.held.get(AdapterKey.parse(text))
        if held is not None:
            held.used_at = max(held.used_at, at)
    for text in message.answered:
        held = book.held.get(AdapterKey.parse(text))
        if held is not None:
            held.seen = True
    step(state, book, at, out)
    view = view_of(state, book, at)
    if is_news(state, book, view.prefill_tokens, at):
        book.told_all_at = at
        book.told_tokens = view.prefill_tokens
        out.extend(SendPeer(entry, view) for entry in state.entries)
    elif sender != state.me:
        out.append(SendPeer(sender, view))


def is_news(state: GatewayState, book: Book, tokens: int, at: float) -> bool:
    """Return whether all entries must learn how many prompt tokens wait at an engine.

    A crowd is told at once, each time that it has doubled, and so is its end; what lasts is told
    now and then.
    """
    if tokens >= BUSY_TOKENS and tokens >= 2 * book.told_tokens:
        return True
    if book.told_tokens >= BUSY_TOKENS and 2 * tokens <= book.told_tokens:
        return True
    return tokens >= BUSY_TOKENS and at - book.told_all_at >= BUSY_S * pace(state)


def view_of(state: GatewayState, book: Book, at: float) -> View:
    """Return what the others need to know of an engine."""
    fresh = [
        use
        for entry, (use, heard_at) in book.uses.items()
        if entry != state.me and at - heard_at < USE_STALE_S
    ]
    own = state.endpoints[book.engine]
    return View(
        engine=book.engine,
        held={str(key): held.version for key, held in book.held.items()}
        | {model: 1 for model in book.models},
        coming={str(key): max(0.0, c.due_at - at) for key, c in book.coming.items()},
        running=sum(sum(use.running.values()) for use in fresh) + len(own.running),
        prefill_tokens=sum(use.prefill_tokens for use in fresh) + sum(own.unread_tokens.values()),
        room=room(state, book, at),
    )


def room(state: GatewayState, book: Book, at: float) -> int:
    """Return how many more adapters could be ordered now."""
    offers = profile(state, book.engine)
    if offers is None or not book.synced or at < book.usable_at:
        return 0
    free = max(0, places(offers) - places_taken(book))
    idle = len(evicting.idle(state, book, at))
    pending = sum(1 for key in book.wants if key not in book.coming)
    return min(free + idle, COMING_LIMIT - len(book.coming)) - pending


def tell_wanting(state: GatewayState, book: Book, key: AdapterKey, at: float, out: list) -> None:
    """Tell those who want an adapter about the engine."""
    want = book.wants.get(key)
    if want is None:
        return
    view = view_of(state, book, at)
    out.extend(SendPeer(entry, view) for entry in sorted(want.entries))


def doubt(book: Book, at: float, cause: str, out: list) -> None:
    """Ask for a report before the next order, once the report can show the latest one."""
    book.synced = False
    book.report_due_at = at + REPORT_LAG_S
    out.append(LogChange("places-in-doubt", {"engine": book.engine, "cause": cause}))


def on_tick(state: GatewayState, at: float, out: list) -> None:
    """Move on what is due at the engines that this entry leads."""
    for book in list(state.books.values()):
        if book.engine not in state.endpoints:
            continue
        for key, coming in list(book.coming.items()):
            if at >= coming.due_at:
                arrive(book, key, coming, at)
        book.ghosts = [ghost for ghost in book.ghosts if ghost.until > at]
        for key in [key for key, want in book.wants.items() if at - want.asked_at > WANT_S]:
            del book.wants[key]
        want_report(state, book, at, out)
        step(state, book, at, out)


def arrive(book: Book, key: AdapterKey, coming: Coming, at: float) -> None:
    """Take an adapter for held whose time has come."""
    del book.coming[key]
    want = book.wants.get(key)
    kept_until = at + ASKED_S if want is not None else at
    kept_until = max(kept_until, book.uses_known_at)
    book.held[key] = Held(coming.version, kept_until, at, coming.tries)
    note_warm(book.warm, (key,))
    if want is not None and want.version <= coming.version:
        del book.wants[key]


def want_report(state: GatewayState, book: Book, at: float, out: list) -> None:
    """Read the engine's report where the books are in doubt, something makes way, or could."""
    needed = not book.synced or bool(book.leaving) or at < book.model_due_at + 2.0
    if book.unplaced_since is not None and any(not held.seen for held in book.held.values()):
        needed = True
    if needed and at >= book.report_due_at and at - book.report_asked_at >= REPORT_LAG_S:
        book.report_asked_at = at
        out.append(ReadReport(state.endpoints[book.engine].record))


def on_report(state: GatewayState, event: ReportRead, out: list) -> None:
    """Take an engine's report into its books."""
    book = state.books.get(event.engine)
    if book is None:
        return
    report = event.report
    if report is None or book.open is not None:
        book.report_due_at = event.at + REPORT_LAG_S
        return
    if report.born != book.born:
        restart(book, report)
    elif report.orders < book.orders and event.asked_at < book.order_taken_at + OLD_REPORT_S:
        book.report_due_at = event.at + REPORT_LAG_S
        return
    take_report(state, book, report, event.at, out)
    step(state, book, event.at, out)


def restart(book: Book, report: EngineReport) -> None:
    """Begin new books for a new run of an engine; orders of before may yet arrive."""
    book.born = report.born
    book.orders = 0
    book.held.clear()
    book.coming.clear()
    book.leaving.clear()
    book.models.clear()


def take_report(state: GatewayState, book: Book, report: EngineReport, at: float, out) -> None:
    """Replace the books by what an engine reports."""
    was_synced = book.synced
    book.synced = True
    book.orders = report.orders
    book.models = {key.model for key in report.held if not key.adapter}
    adapters = {key: version for key, version in report.held.items() if key.adapter}
    for key, version in adapters.items():
        known = book.held.get(key)
        if known is None:
            known = book.held[key] = Held(version, max(at, book.uses_known_at), at)
            note_warm(book.warm, (key,))
        known.version = version
        known.seen = True
    for key in [key for key in book.held if key not in adapters]:
        just = at - book.held[key].since < REPORT_LAG_S * 2
        if not just and key not in report.coming:
            del book.held[key]
    for key, version in report.coming.items():
        held = book.held.get(key)
        if held is not None and at - held.since > REPORT_LAG_S:
            del book.held[key]
        if key not in book.held:
            book.coming.setdefault(key, Coming(version, at + LATE_LOAD_S))
    book.leaving = {key: since for key, since in book.leaving.items() if key in adapters}
    for key in book.leaving:
        book.held.pop(key, None)
    book.ghosts = [ghost for ghost in book.ghosts if ghost.expected >= book.orders]
    book.report_due_at = at + LEAVING_REPORT_S
    if not was_synced:
        fields = {"engine": book.engine, "orders": book.orders, "held": len(book.held)}
        out.append(LogChange("places-known", fields))
        for key in list(book.wants):
            tell_wanting(state, book, key, at, out)


def places_taken(book: Book) -> int:
    """Return the places that are or may be taken."""
    keys = set(book.held) | set(book.coming) | set(book.leaving)
    keys.update(ghost.key for ghost in book.ghosts if ghost.key.adapter)
    return len(keys)


def step(state: GatewayState, book: Book, at: float, out: list) -> None:
    """Give the next order, if one is due and none is open."""
    if book.open is not None or not book.synced or at < book.usable_at:
        return
    view = state.endpoints.get(book.engine)
    offers = profile(state, book.engine)
    if view is None or offers is None or view.record.leaving:
        return
    missing = [name for name in offers.models_by_name if name not in book.models]
    if missing:
        if at >= book.model_due_at + MODEL_REPORT_S * 2:
            book.model_due_at = at + MODEL_REPORT_S
            book.report_due_at = at + MODEL_REPORT_S
            order(state, book, OrderKind.LOAD, AdapterKey(missing[0]), 0, at, out)
        return
    wants = sorted(book.wants.items(), key=lambda item: (item[1].priority, item[1].since))
    book.unplaced_since = None if not wants else book.unplaced_since
    for key, want in wants:
        if key in book.coming or key in book.leaving:
            continue
        if len(book.coming) >= COMING_LIMIT:
            break
        announced = state.versions.get(key)
        version = max(want.version, announced.version if announced else 0)
        if key in book.held and (
            evicting.running(state, book, key, at) or not evicting.is_there(book.held[key], at)
        ):
            # A replacement would wait for the runs, and hold up all other orders meanwhile.
            continue
        if key in book.held or places_taken(book) < places(offers):
            order(state, book, OrderKind.LOAD, key, version, at, out)
            return
        victim = evicting.victim(state, book, at)
        if victim is not None:
            order(state, book, OrderKind.UNLOAD, victim, 0, at, out)
            return
        if book.unplaced_since is None:
            book.unplaced_since = at
            tell_wanting(state, book, key, at, out)
        break
    else:
        book.unplaced_since = None
    stale = evicting.outdated(state, book, at)
    if stale is not None:
        kind, key, version = stale
        order(state, book, kind, key, version, at, out)


def places(offers: EngineProfile) -> int:
    """Return how many adapters an engine may hold at once."""
    return min(offers.places, adapter_room(offers))


def adapter_room(offers: EngineProfile) -> int:
    """Return how many adapters fit into an engine's memory beside its base models."""
    models = offers.models_by_name.values()
    size_mb = max((model.adapter_mb for model in models), default=0.0)
    left_mb = offers.memory_mb - sum(model.size_mb for model in models)
    return int(left_mb // size_mb) if size_mb > 0 else offers.places


def order(state: GatewayState, book: Book, kind, key: AdapterKey, version: int, at, out) -> None:
    """Give an order."""
    state.order_number += 1
    record = state.endpoints[book.engine].record
    book.open = OpenOrder(state.order_number, kind is OrderKind.LOAD, key, version, book.orders)
    out.append(SendOrder(record, state.order_number, kind, key, book.epoch, book.orders, version))
    fields = {
        "engine": book.engine,
        "order": kind,
        "adapter": str(key),
        "version": version,
        "epoch": book.epoch,
        "expected": book.orders,
        "taken": places_taken(book),
        "warm": key in book.warm,
    }
    out.append(LogChange("order", fields))


def on_order(state: GatewayState, event: OrderEnded, out: list) -> None:
    """Take the answer to an order, or its absence."""
    book = state.books.get(event.engine)
    out.append(Count("order_ended", (event.status,)))
    if book is None or book.open is None or book.open.number != event.number:
        return
    given = book.open
    book.open = None
    match event.status:
        case OrderStatus.DONE | OrderStatus.ACCEPTED:
            book.mismatches = 0
            carry_out(state, book, given, event.status, event.at, out)
        case OrderStatus.FENCED:
            del state.books[event.engine]
            fields = {"engine": event.engine, "epoch": book.epoch, "cause": "fenced"}
            out.append(LogChange("lead-lost", fields))
            return
        case OrderStatus.UNKNOWN:
            if given.load:
                ghost = Ghost(given.key, given.expected, event.at + LATE_ORDER_S)
                book.ghosts.append(ghost)
            doubt(book, event.at, event.status, out)
            for key in list(book.wants):
                tell_wanting(state, book, key, event.at, out)
        case OrderStatus.MISMATCH if not given.load and given.key in book.held:
            # Its load takes longer than expected, or another order waits for runs to end.
            book.held[given.key].used_at = event.at
            book.mismatches += 1
            if book.mismatches >= MISMATCHES:
                doubt(book, event.at, event.status, out)
        case _:
            doubt(book, event.at, event.status, out)
    step(state, book, event.at, out)


def carry_out(state, book: Book, given: OpenOrder, status: OrderStatus, at, out) -> None:
    """Enter an order that an engine took."""
    key = given.key
    book.order_taken_at = at
    if not key.adapter:
        if status is OrderStatus.ACCEPTED:
            book.orders += 1
        doubt(book, at, "model", out)
        return
    if given.load:
        if status is OrderStatus.ACCEPTED:
            book.orders += 1
            load_s = WARM_S if key in book.warm and key not in book.held else FETCH_S
            book.held.pop(key, None)
            book.coming[key] = Coming(given.version or 1, at + load_s)
        else:
            book.held[key] = Held(given.version or 1, at, at)
            book.wants.pop(key, None)
        tell_wanting(state, book, key, at, out)
        return
    book.orders += 1
    book.held.pop(key, None)
    if status is OrderStatus.ACCEPTED:
        book.leaving[key] = at
        book.report_due_at = at + LEAVING_REPORT_S
