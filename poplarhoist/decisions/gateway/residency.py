"""The books of an engine's places, and the orders that its lead gives.

Orders go out one at a time, each bound to the number of orders that the engine has accepted, so
that a lost order which arrives late cannot be carried out on top of newer ones. A place counts as
taken for everything that holds one now or may do so later: adapters held, coming and leaving, and
orders without an answer.
"""

from __future__ import annotations

from poplarhoist.decisions.effects import Count, LogChange
from poplarhoist.decisions.gateway import eviction
from poplarhoist.decisions.gateway.configuration import find_service
from poplarhoist.decisions.gateway.effects import OrderKind, ReadReport, SendOrder, SendPeer
from poplarhoist.decisions.gateway.endpoints import record_warm
from poplarhoist.decisions.gateway.events import OrderEnded, OrderStatus, ReportReceived
from poplarhoist.decisions.gateway.leads import interval_factor
from poplarhoist.decisions.gateway.limits import (
    ASK_RETRY_S,
    BACKLOG_BROADCAST_INTERVAL_S,
    BACKLOG_BROADCAST_TOKENS,
    COLD_LOAD_S,
    LOST_ORDER_EXPIRY_S,
    MAX_CONCURRENT_LOADS,
    REPORT_LAG_S,
    RESERVATION_S,
    USAGE_STALE_S,
    WARM_LOAD_S,
)
from poplarhoist.decisions.gateway.messages import Ask, NotLead, Use, View
from poplarhoist.decisions.gateway.models import AdapterKey, EngineProfile, EngineReport
from poplarhoist.decisions.gateway.state import (
    AdapterDemand,
    GatewayState,
    HeldAdapter,
    LoadingAdapter,
    OpenOrder,
    SlotTable,
    UnansweredLoad,
)

# Seconds after which an adapter that should be there, but is not, is expected again.
LOAD_RECHECK_S = 0.06
# Seconds after a load within which an engine's word that it lacks the adapter means "not yet".
LOAD_GRACE_S = 1.0
# Seconds after the latest order within which a report that lacks it is taken for an old one; later
# the books are wrong, as an engine may say that an order holds already and not count it.
STALE_REPORT_S = 2 * REPORT_LAG_S
# Seconds between two reports of an engine with an adapter that makes way.
UNLOAD_REPORT_INTERVAL_S = 0.4
# Seconds for which an adapter is wanted after a question for it; entries whose requests still wait
# ask again sooner.
DEMAND_EXPIRY_S = 2.5 * ASK_RETRY_S
# Orders in a row that an engine may turn away as another one is under way, before its books are
# in doubt.
MAX_MISMATCHES = 2
# Seconds after which a base model that was ordered is looked for in a report.
BASE_MODEL_CHECK_S = 0.4


def engine_profile(state: GatewayState, engine: str) -> EngineProfile | None:
    """Return what an engine offers."""
    view = state.endpoints.get(engine)
    spec = find_service(state, view.record.service) if view is not None else None
    return spec.engine if spec is not None else None


def on_ask(state: GatewayState, sender: str, message: Ask, at: float, out: list) -> None:
    """Take a question for an adapter."""
    book = state.slot_tables.get(message.engine)
    if book is None:
        out.append(SendPeer(sender, NotLead(message.engine)))
        return
    key = AdapterKey(message.model, message.adapter)
    held = book.held.get(key)
    if held is not None and message.absent:
        if at - held.loaded_at < LOAD_GRACE_S:
            # The load takes longer than expected, and the longer the more often that is seen.
            del book.held[key]
            tries = held.late_count + 1
            book.loading[key] = LoadingAdapter(held.version, at + LOAD_RECHECK_S * tries, tries)
        elif at - held.loaded_at > REPORT_LAG_S:
            mark_unsynced(book, at, "absent", out)
            del book.held[key]
    if key in book.held and book.held[key].version >= message.version:
        book.held[key].last_used_at = at + RESERVATION_S
    else:
        since = at - message.waited_s
        want = book.demands.setdefault(
            key, AdapterDemand(message.version, message.priority, since, at)
        )
        want.waiting_since = min(want.waiting_since, since)
        want.last_asked_at = at
        want.version = max(want.version, message.version)
        want.priority = min(want.priority, message.priority)
        want.entries.add(sender)
        send_next_order(state, book, at, out)
    # Also where nothing is known yet: the asker learns that its question arrived.
    out.append(SendPeer(sender, build_view(state, book, at)))


def on_usage(state: GatewayState, sender: str, message: Use, at: float, out: list) -> None:
    """Take what an entry has at an engine."""
    book = state.slot_tables.get(message.engine)
    if book is None:
        return
    book.usage_by_entry[sender] = (message, at)
    for text in (*message.used, *message.running):
        held = book.held.get(AdapterKey.parse(text))
        if held is not None:
            held.last_used_at = max(held.last_used_at, at)
    for text in message.answered:
        held = book.held.get(AdapterKey.parse(text))
        if held is not None:
            held.observed = True
    send_next_order(state, book, at, out)
    view = build_view(state, book, at)
    if needs_broadcast(state, book, view.prefill_tokens, at):
        book.broadcast_at = at
        book.broadcast_tokens = view.prefill_tokens
        out.extend(SendPeer(entry, view) for entry in state.entries)
    elif sender != state.name:
        out.append(SendPeer(sender, view))


def needs_broadcast(state: GatewayState, book: SlotTable, tokens: int, at: float) -> bool:
    """Return whether all entries must learn how many prompt tokens wait at an engine.

    A crowd is told at once, each time that it has doubled, and so is its end; what lasts is told
    now and then.
    """
    if tokens >= BACKLOG_BROADCAST_TOKENS and tokens >= 2 * book.broadcast_tokens:
        return True
    if book.broadcast_tokens >= BACKLOG_BROADCAST_TOKENS and 2 * tokens <= book.broadcast_tokens:
        return True
    return (
        tokens >= BACKLOG_BROADCAST_TOKENS
        and at - book.broadcast_at >= BACKLOG_BROADCAST_INTERVAL_S * interval_factor(state)
    )


def build_view(state: GatewayState, book: SlotTable, at: float) -> View:
    """Return what the others need to know of an engine."""
    fresh = [
        use
        for entry, (use, heard_at) in book.usage_by_entry.items()
        if entry != state.name and at - heard_at < USAGE_STALE_S
    ]
    own = state.endpoints[book.engine]
    return View(
        engine=book.engine,
        held={str(key): held.version for key, held in book.held.items()}
        | {model: 1 for model in book.base_models},
        coming={str(key): max(0.0, c.expected_at - at) for key, c in book.loading.items()},
        running=sum(sum(use.running.values()) for use in fresh) + len(own.in_flight),
        prefill_tokens=sum(use.prefill_tokens for use in fresh)
        + sum(own.prefill_tokens_by_request.values()),
        room=load_headroom(state, book, at),
    )


def load_headroom(state: GatewayState, book: SlotTable, at: float) -> int:
    """Return how many more adapters could be ordered now."""
    offers = engine_profile(state, book.engine)
    if offers is None or not book.synced or at < book.orders_allowed_at:
        return 0
    free = max(0, adapter_capacity(offers) - slots_taken(book))
    idle = len(eviction.idle_adapters(state, book, at))
    pending = sum(1 for key in book.demands if key not in book.loading)
    return min(free + idle, MAX_CONCURRENT_LOADS - len(book.loading)) - pending


def send_view_to_askers(
    state: GatewayState, book: SlotTable, key: AdapterKey, at: float, out: list
) -> None:
    """Tell those who want an adapter about the engine."""
    want = book.demands.get(key)
    if want is None:
        return
    view = build_view(state, book, at)
    out.extend(SendPeer(entry, view) for entry in sorted(want.entries))


def mark_unsynced(book: SlotTable, at: float, cause: str, out: list) -> None:
    """Ask for a report before the next order, once the report can show the latest one."""
    book.synced = False
    book.report_due_at = at + REPORT_LAG_S
    out.append(LogChange("places-in-doubt", {"engine": book.engine, "cause": cause}))


def on_tick(state: GatewayState, at: float, out: list) -> None:
    """Move on what is due at the engines that this entry leads."""
    for book in list(state.slot_tables.values()):
        if book.engine not in state.endpoints:
            continue
        for key, coming in list(book.loading.items()):
            if at >= coming.expected_at:
                complete_load(book, key, coming, at)
        book.unanswered_loads = [ghost for ghost in book.unanswered_loads if ghost.expires_at > at]
        for key in [
            key for key, want in book.demands.items() if at - want.last_asked_at > DEMAND_EXPIRY_S
        ]:
            del book.demands[key]
        request_report_if_needed(state, book, at, out)
        send_next_order(state, book, at, out)


def complete_load(book: SlotTable, key: AdapterKey, coming: LoadingAdapter, at: float) -> None:
    """Take an adapter for held whose time has come."""
    del book.loading[key]
    want = book.demands.get(key)
    kept_until = at + RESERVATION_S if want is not None else at
    kept_until = max(kept_until, book.peer_usage_known_at)
    book.held[key] = HeldAdapter(coming.version, kept_until, at, coming.late_count)
    record_warm(book.warm_adapters, (key,))
    if want is not None and want.version <= coming.version:
        del book.demands[key]


def request_report_if_needed(state: GatewayState, book: SlotTable, at: float, out: list) -> None:
    """Read the engine's report where the books are in doubt, something makes way, or could."""
    needed = not book.synced or bool(book.unloading) or at < book.base_model_expected_at + 2.0
    if book.no_slot_since is not None and any(not held.observed for held in book.held.values()):
        needed = True
    if needed and at >= book.report_due_at and at - book.report_requested_at >= REPORT_LAG_S:
        book.report_requested_at = at
        out.append(ReadReport(state.endpoints[book.engine].record))


def on_report(state: GatewayState, event: ReportReceived, out: list) -> None:
    """Take an engine's report into its books."""
    book = state.slot_tables.get(event.engine)
    if book is None:
        return
    report = event.report
    if report is None or book.open_order is not None:
        book.report_due_at = event.at + REPORT_LAG_S
        return
    if report.incarnation != book.incarnation:
        reset_after_restart(book, report)
    elif (
        report.accepted_orders < book.accepted_orders
        and event.requested_at < book.last_order_accepted_at + STALE_REPORT_S
    ):
        book.report_due_at = event.at + REPORT_LAG_S
        return
    apply_report(state, book, report, event.at, out)
    send_next_order(state, book, event.at, out)


def reset_after_restart(book: SlotTable, report: EngineReport) -> None:
    """Begin new books for a new run of an engine; orders of before may yet arrive."""
    book.incarnation = report.incarnation
    book.accepted_orders = 0
    book.held.clear()
    book.loading.clear()
    book.unloading.clear()
    book.base_models.clear()


def apply_report(
    state: GatewayState, book: SlotTable, report: EngineReport, at: float, out
) -> None:
    """Replace the books by what an engine reports."""
    was_synced = book.synced
    book.synced = True
    book.accepted_orders = report.accepted_orders
    book.base_models = {key.model for key in report.held if not key.adapter}
    adapters = {key: version for key, version in report.held.items() if key.adapter}
    for key, version in adapters.items():
        known = book.held.get(key)
        if known is None:
            known = book.held[key] = HeldAdapter(version, max(at, book.peer_usage_known_at), at)
            record_warm(book.warm_adapters, (key,))
        known.version = version
        known.observed = True
    for key in [key for key in book.held if key not in adapters]:
        just = at - book.held[key].loaded_at < REPORT_LAG_S * 2
        if not just and key not in report.loading:
            del book.held[key]
    for key, version in report.loading.items():
        held = book.held.get(key)
        if held is not None and at - held.loaded_at > REPORT_LAG_S:
            del book.held[key]
        if key not in book.held:
            book.loading.setdefault(key, LoadingAdapter(version, at + LOAD_RECHECK_S))
    book.unloading = {key: since for key, since in book.unloading.items() if key in adapters}
    for key in book.unloading:
        book.held.pop(key, None)
    book.unanswered_loads = [
        ghost for ghost in book.unanswered_loads if ghost.expected_orders >= book.accepted_orders
    ]
    book.report_due_at = at + UNLOAD_REPORT_INTERVAL_S
    if not was_synced:
        fields = {"engine": book.engine, "orders": book.accepted_orders, "held": len(book.held)}
        out.append(LogChange("places-known", fields))
        for key in list(book.demands):
            send_view_to_askers(state, book, key, at, out)


def slots_taken(book: SlotTable) -> int:
    """Return the places that are or may be taken."""
    keys = set(book.held) | set(book.loading) | set(book.unloading)
    keys.update(ghost.key for ghost in book.unanswered_loads if ghost.key.adapter)
    return len(keys)


def send_next_order(state: GatewayState, book: SlotTable, at: float, out: list) -> None:
    """Give the next order, if one is due and none is open."""
    if book.open_order is not None or not book.synced or at < book.orders_allowed_at:
        return
    view = state.endpoints.get(book.engine)
    offers = engine_profile(state, book.engine)
    if view is None or offers is None or view.record.draining:
        return
    missing = [name for name in offers.models_by_name if name not in book.base_models]
    if missing:
        if at >= book.base_model_expected_at + BASE_MODEL_CHECK_S * 2:
            book.base_model_expected_at = at + BASE_MODEL_CHECK_S
            book.report_due_at = at + BASE_MODEL_CHECK_S
            send_order(state, book, OrderKind.LOAD, AdapterKey(missing[0]), 0, at, out)
        return
    wants = sorted(book.demands.items(), key=lambda item: (item[1].priority, item[1].waiting_since))
    book.no_slot_since = None if not wants else book.no_slot_since
    for key, want in wants:
        if key in book.loading or key in book.unloading:
            continue
        if len(book.loading) >= MAX_CONCURRENT_LOADS:
            break
        announced = state.announced_versions.get(key)
        version = max(want.version, announced.version if announced else 0)
        if key in book.held and (
            eviction.in_flight_requests(state, book, key, at)
            or not eviction.is_load_complete(book.held[key], at)
        ):
            # A replacement would wait for the runs, and hold up all other orders meanwhile.
            continue
        if key in book.held or slots_taken(book) < adapter_capacity(offers):
            send_order(state, book, OrderKind.LOAD, key, version, at, out)
            return
        victim = eviction.select_victim(state, book, at)
        if victim is not None:
            send_order(state, book, OrderKind.UNLOAD, victim, 0, at, out)
            return
        if book.no_slot_since is None:
            book.no_slot_since = at
            send_view_to_askers(state, book, key, at, out)
        break
    else:
        book.no_slot_since = None
    stale = eviction.select_version_order(state, book, at)
    if stale is not None:
        kind, key, version = stale
        send_order(state, book, kind, key, version, at, out)


def adapter_capacity(offers: EngineProfile) -> int:
    """Return how many adapters an engine may hold at once."""
    return min(offers.adapter_slots, adapters_fitting_memory(offers))


def adapters_fitting_memory(offers: EngineProfile) -> int:
    """Return how many adapters fit into an engine's memory beside its base models."""
    models = offers.models_by_name.values()
    size_mb = max((model.adapter_size_mb for model in models), default=0.0)
    left_mb = offers.memory_mb - sum(model.size_mb for model in models)
    return int(left_mb // size_mb) if size_mb > 0 else offers.adapter_slots


def send_order(
    state: GatewayState, book: SlotTable, kind, key: AdapterKey, version: int, at, out
) -> None:
    """Give an order."""
    state.last_order_number += 1
    record = state.endpoints[book.engine].record
    book.open_order = OpenOrder(
        state.last_order_number, kind is OrderKind.LOAD, key, version, book.accepted_orders
    )
    out.append(
        SendOrder(
            record, state.last_order_number, kind, key, book.epoch, book.accepted_orders, version
        )
    )
    fields = {
        "engine": book.engine,
        "order": kind,
        "adapter": str(key),
        "version": version,
        "epoch": book.epoch,
        "expected": book.accepted_orders,
        "taken": slots_taken(book),
        "warm": key in book.warm_adapters,
    }
    out.append(LogChange("order", fields))


def on_order_ended(state: GatewayState, event: OrderEnded, out: list) -> None:
    """Take the answer to an order, or its absence."""
    book = state.slot_tables.get(event.engine)
    out.append(Count("order_ended", (event.status,)))
    if book is None or book.open_order is None or book.open_order.number != event.number:
        return
    given = book.open_order
    book.open_order = None
    match event.status:
        case OrderStatus.DONE | OrderStatus.ACCEPTED:
            book.consecutive_mismatches = 0
            apply_accepted_order(state, book, given, event.status, event.at, out)
        case OrderStatus.FENCED:
            del state.slot_tables[event.engine]
            fields = {"engine": event.engine, "epoch": book.epoch, "cause": "fenced"}
            out.append(LogChange("lead-lost", fields))
            return
        case OrderStatus.UNKNOWN:
            if given.is_load:
                ghost = UnansweredLoad(
                    given.key, given.expected_orders, event.at + LOST_ORDER_EXPIRY_S
                )
                book.unanswered_loads.append(ghost)
            mark_unsynced(book, event.at, event.status, out)
            for key in list(book.demands):
                send_view_to_askers(state, book, key, event.at, out)
        case OrderStatus.MISMATCH if not given.is_load and given.key in book.held:
            # Its load takes longer than expected, or another order waits for runs to end.
            book.held[given.key].last_used_at = event.at
            book.consecutive_mismatches += 1
            if book.consecutive_mismatches >= MAX_MISMATCHES:
                mark_unsynced(book, event.at, event.status, out)
        case _:
            mark_unsynced(book, event.at, event.status, out)
    send_next_order(state, book, event.at, out)


def apply_accepted_order(
    state, book: SlotTable, given: OpenOrder, status: OrderStatus, at, out
) -> None:
    """Enter an order that an engine took."""
    key = given.key
    book.last_order_accepted_at = at
    if not key.adapter:
        if status is OrderStatus.ACCEPTED:
            book.accepted_orders += 1
        mark_unsynced(book, at, "model", out)
        return
    if given.is_load:
        if status is OrderStatus.ACCEPTED:
            book.accepted_orders += 1
            load_s = (
                WARM_LOAD_S if key in book.warm_adapters and key not in book.held else COLD_LOAD_S
            )
            book.held.pop(key, None)
            book.loading[key] = LoadingAdapter(given.version or 1, at + load_s)
        else:
            book.held[key] = HeldAdapter(given.version or 1, at, at)
            book.demands.pop(key, None)
        send_view_to_askers(state, book, key, at, out)
        return
    book.accepted_orders += 1
    book.held.pop(key, None)
    if status is OrderStatus.ACCEPTED:
        book.unloading[key] = at
        book.report_due_at = at + UNLOAD_REPORT_INTERVAL_S
