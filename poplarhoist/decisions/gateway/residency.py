"""The lead's table of an engine's adapter slots, and the orders that the lead sends.

Orders are sent one at a time. Each one carries the number of orders that the engine has accepted so
far, so that a lost order that arrives late cannot be carried out after newer ones. A slot counts as
taken for every adapter that occupies one or may still do so: adapters that are held, loading or
unloading, and loads without an answer.

After an order without an answer the next one carries the same number. If the engine accepts it, the
earlier one was not carried out and never will be. If the engine finds that the number differs, the
earlier one was carried out, which the engine's answer to the order after it confirms; otherwise its
report tells what happened.
"""

from __future__ import annotations

from poplarhoist.decisions.common_effects import Count, LogChange
from poplarhoist.decisions.gateway import eviction, links
from poplarhoist.decisions.gateway.base_models import adapter_capacity, choose_model
from poplarhoist.decisions.gateway.configuration import find_service
from poplarhoist.decisions.gateway.effects import OrderKind, ReadReport, SendOrder, SendPeer
from poplarhoist.decisions.gateway.endpoints import record_warm
from poplarhoist.decisions.gateway.events import OrderEnded, OrderStatus, ReportReceived
from poplarhoist.decisions.gateway.leads import end_leadership, interval_factor
from poplarhoist.decisions.gateway.limits import (
    ASK_RETRY_S,
    BACKLOG_BROADCAST_INTERVAL_S,
    BACKLOG_BROADCAST_TOKENS,
    COLD_LOAD_S,
    FULL_BROADCAST_ENTRIES,
    LOST_ORDER_EXPIRY_S,
    MAX_BROADCAST_TOKENS_FACTOR,
    MAX_CONCURRENT_LOADS,
    REPORT_LAG_S,
    RESERVATION_S,
    USAGE_STALE_S,
    WARM_LOAD_S,
)
from poplarhoist.decisions.gateway.messages import Ask, NotLead, Use, View
from poplarhoist.decisions.gateway.models import AdapterKey, EngineProfile, EngineReport
from poplarhoist.decisions.gateway.regions import cross_region_s
from poplarhoist.decisions.gateway.state import (
    AdapterDemand,
    GatewayState,
    HeldAdapter,
    LoadingAdapter,
    OpenOrder,
    SlotTable,
    UnansweredLoad,
)

# Extra seconds allowed for a late load, or for one first seen in a report; for a late load
# multiplied by the number of times that it was found late.
LOAD_RECHECK_S = 0.06
# If an engine reports the adapter absent within this many seconds after the expected end of its
# load, the load is treated as late; after that the table is treated as wrong.
LOAD_GRACE_S = 1.0
# Seconds after the latest accepted order within which a report with a lower order count is treated
# as outdated. After that the table is wrong: an engine may answer that an order is already
# fulfilled and not count it.
STALE_REPORT_S = 2 * REPORT_LAG_S
# Seconds between two reports while the engine is unloading an adapter.
UNLOAD_REPORT_INTERVAL_S = 0.4
# Seconds after the latest Ask for which an adapter stays in demand; entries whose requests still
# wait ask again sooner.
DEMAND_EXPIRY_S = 2.5 * ASK_RETRY_S
# Consecutive MISMATCH answers to unload orders after which the table is marked as unsynced. A
# single one is normal: the adapter is still loading, or another order is under way.
MAX_MISMATCHES = 2
# Orders without an answer in a row after which a report must arrive before the next order.
MAX_UNANSWERED_ORDERS = 4
# Seconds to wait for the answer to an order at an engine in this region. It answers within
# milliseconds; the rest is for this entry's scheduling delays.
ORDER_TIMEOUT_S = 0.15
# Seconds after which a report should show a base model that was ordered. If it is still missing
# after three times as long, it is ordered again.
BASE_MODEL_CHECK_S = 0.4


def engine_profile(state: GatewayState, engine: str) -> EngineProfile | None:
    """Return the capacity of an engine; None for an unknown endpoint or a plain service."""
    endpoint = state.endpoints.get(engine)
    spec = find_service(state, endpoint.record.service) if endpoint is not None else None
    return spec.engine if spec is not None else None


def on_ask(state: GatewayState, sender: str, message: Ask, at: float, effects: list) -> None:
    """Handle an Ask: record the demand, and answer with the current View.

    An entry that does not lead the engine answers with NotLead. If the engine has just denied
    holding an adapter that the table lists, the adapter is moved back to loading, or the table is
    marked as unsynced, depending on how long ago the load should have ended.
    """
    table = state.slot_tables.get(message.engine)
    if table is None:
        effects.append(SendPeer(sender, NotLead(message.engine)))
        return
    key = AdapterKey(message.model, message.adapter)
    held = table.held.get(key)
    if held is not None and message.absent:
        if at - held.expected_loaded_at < LOAD_GRACE_S:
            # The load takes longer than expected; each further time it is found late, the wait
            # grows.
            del table.held[key]
            late_count = held.late_count + 1
            table.loading[key] = LoadingAdapter(
                held.version, at + LOAD_RECHECK_S * late_count, late_count
            )
        elif at - held.expected_loaded_at > REPORT_LAG_S:
            mark_unsynced(table, at, "absent", effects)
            del table.held[key]
    if key in table.held and table.held[key].version >= message.version:
        table.held[key].used_until = at + RESERVATION_S
    else:
        waiting_since = at - message.waited_s
        demand = table.demands.setdefault(
            key, AdapterDemand(message.version, message.priority, waiting_since, at)
        )
        demand.waiting_since = min(demand.waiting_since, waiting_since)
        demand.last_asked_at = at
        demand.version = max(demand.version, message.version)
        demand.priority = min(demand.priority, message.priority)
        demand.entries.add(sender)
        send_next_order(state, table, at, effects)
    # Sent even if the View says nothing about the adapter yet: it tells the sender that its Ask
    # arrived.
    effects.append(SendPeer(sender, build_view(state, table, at)))


def on_usage(state: GatewayState, sender: str, message: Use, at: float, effects: list) -> None:
    """Record what an entry uses at an engine, and answer with a View.

    The View goes to all entries if the number of waiting prompt tokens calls for it.
    """
    table = state.slot_tables.get(message.engine)
    if table is None:
        return
    table.usage_by_entry[sender] = (message, at)
    for key_text in (*message.used, *message.running):
        held = table.held.get(AdapterKey.parse(key_text))
        if held is not None:
            held.used_until = max(held.used_until, at)
    for key_text in message.answered:
        held = table.held.get(AdapterKey.parse(key_text))
        if held is not None:
            held.observed = True
    send_next_order(state, table, at, effects)
    lead_view = build_view(state, table, at)
    if needs_broadcast(state, table, lead_view.prefill_tokens, at):
        table.broadcast_at = at
        table.broadcast_tokens = lead_view.prefill_tokens
        effects.extend(SendPeer(entry, lead_view) for entry in state.entries)
    elif sender != state.name:
        effects.append(SendPeer(sender, lead_view))


def needs_broadcast(state: GatewayState, table: SlotTable, tokens: int, at: float) -> bool:
    """Return whether all entries must learn how many prompt tokens wait at an engine.

    A growing backlog is broadcast at once each time that it has doubled since the latest broadcast,
    and a shrinking one each time that it has halved. A lasting backlog is broadcast every
    `BACKLOG_BROADCAST_INTERVAL_S`, less often with many entries. With very many entries a
    backlog of one long prompt is not broadcast.
    """
    factor = interval_factor(state, FULL_BROADCAST_ENTRIES)
    least_tokens = BACKLOG_BROADCAST_TOKENS * min(MAX_BROADCAST_TOKENS_FACTOR, factor)
    if tokens >= least_tokens and tokens >= 2 * table.broadcast_tokens:
        return True
    if table.broadcast_tokens >= least_tokens and 2 * tokens <= table.broadcast_tokens:
        return True
    return (
        tokens >= least_tokens
        and at - table.broadcast_at >= BACKLOG_BROADCAST_INTERVAL_S * interval_factor(state)
    )


def build_view(state: GatewayState, table: SlotTable, at: float) -> View:
    """Build the View of an engine from the table and the latest Use messages."""
    fresh_usages = [
        usage
        for entry, (usage, received_at) in table.usage_by_entry.items()
        if entry != state.name and at - received_at < USAGE_STALE_S
    ]
    endpoint = state.endpoints[table.engine]
    return View(
        engine=table.engine,
        held={str(key): held.version for key, held in table.held.items()}
        | {model: 1 for model in table.base_models},
        coming={
            str(key): max(0.0, loading.expected_at - at) for key, loading in table.loading.items()
        },
        running=sum(sum(usage.running.values()) for usage in fresh_usages)
        + len(endpoint.in_flight),
        prefill_tokens=sum(usage.prefill_tokens for usage in fresh_usages)
        + sum(endpoint.prefill_tokens_by_request.values()),
        room=load_headroom(state, table, at),
        is_known=table.has_report,
    )


def load_headroom(state: GatewayState, table: SlotTable, at: float) -> int:
    """Return how many more adapters could be loaded now.

    This headroom is the free slots and idle adapters, limited by the loads that the engine still
    accepts, less the unmet demands, which are not loading yet. It is negative if these exceed the
    free capacity, and 0 while the lead may not send orders.
    """
    profile = engine_profile(state, table.engine)
    if profile is None or not may_order(state, table, at):
        return 0
    free_slots = max(0, adapter_capacity(profile, table.base_models) - slots_taken(table))
    idle_count = len(eviction.idle_adapters(state, table, at))
    unmet_demands = sum(1 for key in table.demands if key not in table.loading)
    return min(free_slots + idle_count, MAX_CONCURRENT_LOADS - len(table.loading)) - unmet_demands


def send_view_to_askers(
    state: GatewayState, table: SlotTable, key: AdapterKey, at: float, effects: list
) -> None:
    """Send a View to the entries that asked for an adapter."""
    demand = table.demands.get(key)
    if demand is None:
        return
    lead_view = build_view(state, table, at)
    effects.extend(SendPeer(entry, lead_view) for entry in sorted(demand.entries))


def mark_unsynced(table: SlotTable, at: float, cause: str, effects: list) -> None:
    """Hold back orders until a report was read that can include the effect of the latest order."""
    table.synced = False
    table.report_due_at = at + REPORT_LAG_S
    effects.append(LogChange("places-in-doubt", {"engine": table.engine, "cause": cause}))


def on_tick(state: GatewayState, at: float, effects: list) -> None:
    """Advance every slot table: end loads, expire demands and unanswered loads, and send orders."""
    for table in list(state.slot_tables.values()):
        if table.engine not in state.endpoints:
            continue
        for key, loading in list(table.loading.items()):
            if at >= loading.expected_at:
                complete_load(table, key, loading, at)
        table.unanswered_loads = [
            unanswered for unanswered in table.unanswered_loads if unanswered.expires_at > at
        ]
        for key in [
            key
            for key, demand in table.demands.items()
            if at - demand.last_asked_at > DEMAND_EXPIRY_S
        ]:
            del table.demands[key]
        request_report_if_needed(state, table, at, effects)
        send_next_order(state, table, at, effects)


def complete_load(table: SlotTable, key: AdapterKey, loading: LoadingAdapter, at: float) -> None:
    """Move an adapter whose load should have ended from loading to held.

    It is reserved for a while for the requests that asked for it, and at least until the usage of
    other entries is known.
    """
    del table.loading[key]
    demand = table.demands.get(key)
    reserved_until = at + RESERVATION_S if demand is not None else at
    reserved_until = max(reserved_until, table.peer_usage_known_at)
    table.held[key] = HeldAdapter(loading.version, reserved_until, at, loading.late_count)
    record_warm(table.warm_adapters, (key,))
    if demand is not None and demand.version <= loading.version:
        del table.demands[key]


def request_report_if_needed(
    state: GatewayState, table: SlotTable, at: float, effects: list
) -> None:
    """Request the engine's report if the table needs one and none was requested lately.

    That is the case if the table is unsynced, an adapter is being unloaded, a base model was
    ordered (until 2 s after it was expected), or a demand finds no slot while it is unknown whether
    all held adapters have been loaded.
    """
    needed = not table.synced or bool(table.unloading) or at < table.base_model_expected_at + 2.0
    if table.no_slot_since is not None and any(not held.observed for held in table.held.values()):
        needed = True
    if needed and at >= table.report_due_at and at - table.report_requested_at >= REPORT_LAG_S:
        table.report_requested_at = at
        effects.append(ReadReport(state.endpoints[table.engine].record))


def on_report(state: GatewayState, event: ReportReceived, effects: list) -> None:
    """Apply an engine's report, unless an order is open or the report is outdated."""
    table = state.slot_tables.get(event.engine)
    if table is None:
        return
    report = event.report
    if report is not None:
        links.on_answered(state, event.requested_at, event.at, effects)
    if report is None or table.open_order is not None:
        table.report_due_at = event.at + REPORT_LAG_S
        return
    if report.incarnation != table.incarnation:
        reset_after_restart(table, report)
    elif (
        report.accepted_orders < table.accepted_orders
        and event.requested_at < table.last_order_accepted_at + STALE_REPORT_S
    ):
        table.report_due_at = event.at + REPORT_LAG_S
        return
    apply_report(state, table, report, event.at, effects)
    send_next_order(state, table, event.at, effects)


def reset_after_restart(table: SlotTable, report: EngineReport) -> None:
    """Empty the table after a restart of the engine.

    Unanswered loads are kept, as they may still reach the engine.
    """
    table.incarnation = report.incarnation
    table.accepted_orders = 0
    table.held.clear()
    table.loading.clear()
    table.unloading.clear()
    table.base_models.clear()


def apply_report(
    state: GatewayState, table: SlotTable, report: EngineReport, at: float, effects
) -> None:
    """Replace the contents of the table by an engine's report.

    Adapters that the report lacks are kept for a moment after their load, as the report is up to
    `REPORT_LAG_S` old.
    """
    was_synced = table.synced
    table.synced = table.has_report = True
    table.unanswered_orders.clear()
    table.accepted_orders = report.accepted_orders
    table.base_models = {key.model for key in report.held if not key.adapter}
    adapters = {key: version for key, version in report.held.items() if key.adapter}
    for key, version in adapters.items():
        existing = table.held.get(key)
        if existing is None:
            existing = table.held[key] = HeldAdapter(
                version, max(at, table.peer_usage_known_at), at
            )
            record_warm(table.warm_adapters, (key,))
        existing.version = version
        existing.observed = True
    for key in [key for key in table.held if key not in adapters]:
        just_loaded = at - table.held[key].expected_loaded_at < REPORT_LAG_S * 2
        if not just_loaded and key not in report.loading:
            del table.held[key]
    for key, version in report.loading.items():
        held = table.held.get(key)
        if held is not None and at - held.expected_loaded_at > REPORT_LAG_S:
            del table.held[key]
        if key not in table.held:
            table.loading.setdefault(key, LoadingAdapter(version, at + LOAD_RECHECK_S))
    table.unloading = {key: since for key, since in table.unloading.items() if key in adapters}
    for key in table.unloading:
        table.held.pop(key, None)
    table.unanswered_loads = [
        unanswered
        for unanswered in table.unanswered_loads
        if unanswered.expected_orders >= table.accepted_orders
    ]
    table.report_due_at = at + UNLOAD_REPORT_INTERVAL_S
    if not was_synced:
        fields = {"engine": table.engine, "orders": table.accepted_orders, "held": len(table.held)}
        effects.append(LogChange("places-known", fields))
        for key in list(table.demands):
            send_view_to_askers(state, table, key, at, effects)


def slots_taken(table: SlotTable) -> int:
    """Return the number of adapter slots that are taken or may be taken by an unanswered load."""
    keys = set(table.held) | set(table.loading) | set(table.unloading)
    keys.update(unanswered.key for unanswered in table.unanswered_loads if unanswered.key.adapter)
    return len(keys)


def may_order(state: GatewayState, table: SlotTable, at: float) -> bool:
    """Return whether the lead may send orders: it knows the slots, and that it still leads."""
    return table.synced and state.leads_listed and at >= table.orders_allowed_at


def send_next_order(state: GatewayState, table: SlotTable, at: float, effects: list) -> None:
    """Send the next order to an engine, if one is due and none is open.

    The order of precedence: a base model that it should load; adapters in demand, by priority and
    then by waiting time; outdated adapters.
    """
    if table.open_order is not None or not may_order(state, table, at):
        return
    endpoint = state.endpoints.get(table.engine)
    profile = engine_profile(state, table.engine)
    if endpoint is None or profile is None or endpoint.is_leaving:
        return
    model = choose_model(state, table.engine, profile, table.base_models, slots_taken(table))
    if model is not None:
        if at >= table.base_model_expected_at + BASE_MODEL_CHECK_S * 2:
            table.base_model_expected_at = at + BASE_MODEL_CHECK_S
            table.report_due_at = at + BASE_MODEL_CHECK_S
            send_order(state, table, OrderKind.LOAD, AdapterKey(model), 0, at, effects)
        return
    demands = sorted(
        table.demands.items(), key=lambda item: (item[1].priority, item[1].waiting_since)
    )
    table.no_slot_since = None if not demands else table.no_slot_since
    for key, demand in demands:
        if key in table.loading or key in table.unloading:
            continue
        if len(table.loading) >= MAX_CONCURRENT_LOADS:
            break
        announced = state.announced_versions.get(key)
        version = max(demand.version, announced.version if announced else 0)
        if key in table.held and (
            eviction.in_flight_requests(state, table, key, at)
            or not eviction.is_load_complete(table.held[key], at)
        ):
            # A replacement would wait for the running requests and hold up all other orders in the
            # meantime.
            continue
        if key in table.held or slots_taken(table) < adapter_capacity(profile, table.base_models):
            send_order(state, table, OrderKind.LOAD, key, version, at, effects)
            return
        victim = eviction.select_victim(state, table, at)
        if victim is not None:
            send_order(state, table, OrderKind.UNLOAD, victim, 0, at, effects)
            return
        if table.no_slot_since is None:
            table.no_slot_since = at
            send_view_to_askers(state, table, key, at, effects)
        break
    else:
        table.no_slot_since = None
    replacement = eviction.select_outdated_adapter_order(state, table, at)
    if replacement is not None:
        kind, key, version = replacement
        send_order(state, table, kind, key, version, at, effects)


def send_order(
    state: GatewayState, table: SlotTable, kind, key: AdapterKey, version: int, at, effects
) -> None:
    """Send an order, which stays open until `on_order_ended`.

    Parameters
    ----------
    kind : OrderKind
        Whether to load or unload.
    version : int
        Version to load; 0 if the order names none.
    """
    state.last_order_number += 1
    record = state.endpoints[table.engine].record
    table.open_order = OpenOrder(
        state.last_order_number, kind is OrderKind.LOAD, key, version, table.accepted_orders
    )
    effects.append(
        SendOrder(
            record,
            state.last_order_number,
            kind,
            key,
            table.epoch,
            table.accepted_orders,
            version,
            # A connection and the answer take a round trip each.
            ORDER_TIMEOUT_S + 2 * cross_region_s(state, record.zone),
        )
    )
    fields = {
        "engine": table.engine,
        "order": kind,
        "adapter": str(key),
        "version": version,
        "epoch": table.epoch,
        "expected": table.accepted_orders,
        "taken": slots_taken(table),
        "warm": key in table.warm_adapters,
    }
    effects.append(LogChange("order", fields))


def on_order_ended(state: GatewayState, event: OrderEnded, effects: list) -> None:
    """Apply the answer to an order, or its absence, and send the next order."""
    table = state.slot_tables.get(event.engine)
    effects.append(Count("order_ended", (event.status,)))
    if table is None or table.open_order is None or table.open_order.number != event.number:
        return
    order = table.open_order
    table.open_order = None
    match event.status:
        case OrderStatus.DONE | OrderStatus.ACCEPTED:
            table.consecutive_mismatches = 0
            table.unanswered_orders.clear()
            apply_accepted_order(state, table, order, event.status, event.at, effects)
        case OrderStatus.FENCED:
            end_leadership(state, event.engine, effects, cause="fenced")
            return
        case OrderStatus.UNKNOWN:
            if order.is_load:
                unanswered = UnansweredLoad(
                    order.key, order.expected_orders, event.at + LOST_ORDER_EXPIRY_S
                )
                table.unanswered_loads.append(unanswered)
            table.unanswered_orders.append(order)
            if not order.key.adapter or len(table.unanswered_orders) >= MAX_UNANSWERED_ORDERS:
                mark_unsynced(table, event.at, event.status, effects)
                for key in list(table.demands):
                    send_view_to_askers(state, table, key, event.at, effects)
        case OrderStatus.MISMATCH if len(table.unanswered_orders) == 1 and is_only_lead(
            state, table, event.at
        ):
            # It stays among the unanswered loads: that it was carried out is not certain yet.
            carried_out = table.unanswered_orders.pop()
            apply_order_effect(state, table, carried_out, OrderStatus.ACCEPTED, event.at, effects)
        case OrderStatus.MISMATCH if not order.is_load and order.key in table.held:
            # The adapter is still loading, or another order waits for running requests to end.
            table.held[order.key].used_until = event.at
            table.consecutive_mismatches += 1
            if table.consecutive_mismatches >= MAX_MISMATCHES:
                mark_unsynced(table, event.at, event.status, effects)
        case _:
            mark_unsynced(table, event.at, event.status, effects)
    send_next_order(state, table, event.at, effects)


def is_only_lead(state: GatewayState, table: SlotTable, at: float) -> bool:
    """Return whether no order of an earlier lead can still be carried out at an engine."""
    if table.epoch == 1 or at - table.orders_allowed_at >= LOST_ORDER_EXPIRY_S:
        return True
    # An engine rejects the orders of earlier epochs once it has seen this one.
    has_seen_epoch = table.last_order_accepted_at > float("-inf")
    return state.limits.engines_check_epochs and has_seen_epoch


def apply_accepted_order(
    state, table: SlotTable, order: OpenOrder, status: OrderStatus, at, effects
) -> None:
    """Apply an order that an engine accepted or had already fulfilled.

    One that it accepted rules out those without an answer that require the same number of orders,
    and confirms those that require fewer.
    """
    if status is OrderStatus.ACCEPTED:
        table.unanswered_loads = [
            unanswered
            for unanswered in table.unanswered_loads
            if unanswered.expected_orders > order.expected_orders
        ]
    apply_order_effect(state, table, order, status, at, effects)


def apply_order_effect(
    state, table: SlotTable, order: OpenOrder, status: OrderStatus, at, effects
) -> None:
    """Update the table by the effect of an order."""
    key = order.key
    table.last_order_accepted_at = at
    if not key.adapter:
        if status is OrderStatus.ACCEPTED:
            table.accepted_orders += 1
        mark_unsynced(table, at, "model", effects)
        return
    if order.is_load:
        if status is OrderStatus.ACCEPTED:
            table.accepted_orders += 1
            load_s = (
                WARM_LOAD_S if key in table.warm_adapters and key not in table.held else COLD_LOAD_S
            )
            table.held.pop(key, None)
            table.loading[key] = LoadingAdapter(order.version or 1, at + load_s)
        else:
            table.held[key] = HeldAdapter(order.version or 1, at, at)
            table.demands.pop(key, None)
        send_view_to_askers(state, table, key, at, effects)
        return
    table.accepted_orders += 1
    table.held.pop(key, None)
    if status is OrderStatus.ACCEPTED:
        table.unloading[key] = at
        table.report_due_at = at + UNLOAD_REPORT_INTERVAL_S
