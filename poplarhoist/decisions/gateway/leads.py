"""Elects the lead of each engine, the entry that sends it orders.

Each engine has one lead, stored with an epoch that only grows. Different entries lead different
engines, so that the loss of one entry stops the loading of new adapters at few of them. A lead
keeps its engine until another entry claims it: one that got no answer from the lead, or found that
the lead is not registered any more. The engine rejects orders with an earlier epoch. After a claim
the new lead waits for `lease_s` before its first order, so that orders of two leads never
interleave at an engine. It does not wait if the previous lead was an earlier process of the same
entry.

A restored store has lost the latest claims. Each entry that learns of it sends no orders until it
has read the records again, and leads on only where they say so. The first claim of an engine in a
generation of the store may follow a lost one of any entry. Its orders wait until all entries must
have learned of the restoration.
"""

from __future__ import annotations

from poplarhoist.decisions.common_effects import LogChange
from poplarhoist.decisions.gateway.configuration import find_service
from poplarhoist.decisions.gateway.effects import Claim, Register
from poplarhoist.decisions.gateway.endpoint_state import EndpointState
from poplarhoist.decisions.gateway.entry_state import EntryState
from poplarhoist.decisions.gateway.events import (
    CallStatus,
    ClaimEnded,
    EntriesListed,
    EntryRecordChanged,
    LeadSeen,
    LeadsListed,
)
from poplarhoist.decisions.gateway.hashing import rendezvous_weight
from poplarhoist.decisions.gateway.limits import FULL_RATE_ENTRIES
from poplarhoist.decisions.gateway.positions import Position, generation_of, next_epoch
from poplarhoist.decisions.gateway.state import GatewayState, LeadRecord, SlotTable

# Seconds after the start before engines are claimed, so that entries that start together can
# register first.
CLAIM_START_DELAY_S = 1.5
# Minimum seconds between two claims of one engine by one entry; up to the same amount of random
# jitter is added.
CLAIM_RETRY_S = 1.0
# Seconds added to the lease time; covers an order of the previous lead that is still in transit.
LEASE_MARGIN_S = 0.3
# Seconds after which a new lead knows what other entries use at an engine: they read the lead's
# record up to 1.2 s later and report with their next Use message.
PEER_USAGE_DELAY_S = 1.5
# Separates the name of an entry from the id of its process.
HOLDER_SEPARATOR = "#"


def lead_of(state: GatewayState, engine: str) -> str:
    """Return the name of the entry that leads an engine; empty if there is none."""
    record = state.leads.get(engine)
    return record.holder.partition(HOLDER_SEPARATOR)[0] if record else ""


def own_holder_id(state: GatewayState) -> str:
    """Return what this process writes as the holder of a lead."""
    return f"{state.name}{HOLDER_SEPARATOR}{state.boot_id}"


def is_silent(state: GatewayState, entry: str, at: float) -> bool:
    """Return whether another entry cannot lead.

    It is not registered, did not answer lately, or has no links to endpoints.
    """
    if entry == state.name:
        return False
    known = state.entries.get(entry)
    return known is None or max(known.silent_until, known.links_lost_until) > at


def interval_factor(state: GatewayState, full_rate_entries: int = FULL_RATE_ENTRIES) -> float:
    """Return the factor by which intervals grow beyond `full_rate_entries` entries."""
    return max(1.0, len(state.entries) / full_rate_entries)


def on_entry(state: GatewayState, event: EntryRecordChanged, effects: list) -> None:
    """Record that an entry registered, or that its record was removed."""
    if not event.host:
        for told in state.told_positions_by_kind.values():
            told.pop(event.name, None)
        if state.entries.pop(event.name, None) is not None:
            effects.append(LogChange("entry-left", {"peer": event.name}))
        if event.name == state.name:
            register_again(state, effects)
        return
    known = state.entries.get(event.name)
    if known is None or (known.host, known.port) != (event.host, event.port):
        effects.append(LogChange("entry-known", {"peer": event.name, "host": event.host}))
        known = EntryState(event.name, event.host, event.port)
        state.entries[event.name] = known
    known.zone, known.relay_port = event.zone, event.relay_port


def on_entries_listed(state: GatewayState, event: EntriesListed, effects: list) -> None:
    """Apply the complete list of entries: entries not in it are removed."""
    state.entries_listed = True
    for name in [name for name in state.entries if name not in event.names]:
        on_entry(state, EntryRecordChanged(event.at, name), effects)
    if state.name not in event.names:
        register_again(state, effects)


def register_again(state: GatewayState, effects: list) -> None:
    """Write this entry's record again, unless the entry stops.

    It is lost if the store was restored, or if the store carried out late that an earlier process of
    this entry removed it.
    """
    if state.draining_since is None:
        effects.append(Register())


def on_store_restored(state: GatewayState, effects: list) -> None:
    """Apply that the store may have lost claims; no orders are sent until its records are read."""
    state.leads_listed = False
    state.pending_claims.clear()


def on_leads_listed(state: GatewayState, event: LeadsListed, effects: list) -> None:
    """Apply that all lead records have been read: those of earlier generations are gone.

    This entry leads on where the record says so.
    """
    state.leads_listed = True
    state.leads = {
        engine: record
        for engine, record in state.leads.items()
        if record.position.generation == event.generation
    }
    for engine, table in list(state.slot_tables.items()):
        record = state.leads.get(engine)
        if record is None or (record.holder, record.epoch) != (own_holder_id(state), table.epoch):
            end_leadership(state, engine, effects, cause="store restored")


def on_lead(state: GatewayState, event: LeadSeen, effects: list) -> None:
    """Apply the store's record of the lead of an engine.

    It also completes a claim of this process whose answer was lost, and ends this entry's
    leadership if another process has claimed the engine with a higher epoch.
    """
    known = state.leads.get(event.engine)
    if known is not None and known.position >= event.position:
        return
    is_own = event.holder == own_holder_id(state)
    pending = state.pending_claims.get(event.engine)
    if is_own and pending is not None and pending[0] == event.epoch:
        begin_leadership(state, event.engine, event.epoch, event.at, effects)
    state.leads[event.engine] = LeadRecord(event.holder, event.epoch, event.position)
    table = state.slot_tables.get(event.engine)
    if not is_own and table is not None and table.epoch < event.epoch:
        end_leadership(state, event.engine, effects, epoch=event.epoch, holder=event.holder)


def may_lead(state: GatewayState) -> bool:
    """Return whether this entry may lead engines: it is not stopping, and has links to endpoints."""
    return state.draining_since is None and not state.links.is_lost


def is_preferred_lead(state: GatewayState, engine: str, at: float) -> bool:
    """Return whether this entry should claim an engine without a lead: the closest ones come first.

    Each load takes two orders, one after the other; between regions these take eight times as long.
    Among many entries one that precedes this one is found after a few.
    """
    if state.name not in state.entries:
        return False
    zone = state.endpoints[engine].record.zone
    region = state.regions.get(zone)

    def preference(name: str) -> tuple[bool, bool, int]:
        entry_zone = state.entries[name].zone
        same_region = state.regions.get(entry_zone) == region
        return same_region, entry_zone == zone, rendezvous_weight(name, engine)

    own_preference = preference(state.name)
    return not any(
        preference(name) > own_preference and not is_silent(state, name, at)
        for name in state.entries
    )


def on_tick(state: GatewayState, at: float, effects: list) -> None:
    """Claim engines whose lead is not registered, if this entry is the preferred one.

    An engine that an earlier process of this entry led is claimed without that delay. Other entries
    leave it alone while this entry is registered and answers; `adapter_asks.send_ask` claims an
    engine whose lead is silent. After a power loss of all entries each one thus resumes its own
    engines and need not wait until orders of another lead have expired.
    """
    all_listed = state.endpoints_listed and state.entries_listed and state.leads_listed
    if not may_lead(state) or not all_listed:
        return
    for engine, endpoint in state.endpoints.items():
        if engine in state.slot_tables or endpoint.is_leaving or not is_engine(state, endpoint):
            continue
        holder = lead_of(state, engine)
        if holder == state.name:
            claim(state, engine, at, effects)
        elif holder in state.entries or at - state.started_at < CLAIM_START_DELAY_S:
            continue
        elif is_preferred_lead(state, engine, at):
            claim(state, engine, at, effects)


def is_engine(state: GatewayState, endpoint: EndpointState) -> bool:
    """Return whether an endpoint belongs to a service of engines."""
    spec = find_service(state, endpoint.record.service)
    return spec is not None and spec.engine is not None


def claim(state: GatewayState, engine: str, at: float, effects: list) -> None:
    """Claim the leadership of an engine.

    Nothing is sent if this entry leads the engine already or may not lead, while the store is
    unavailable or its lead records are not known, or too soon after the latest claim (see
    `CLAIM_RETRY_S`).
    """
    if engine in state.slot_tables or at < state.next_claim_at.get(engine, float("-inf")):
        return
    if not may_lead(state) or state.store_unavailable or not state.leads_listed:
        return
    endpoint = state.endpoints.get(engine)
    if endpoint is None or not is_engine(state, endpoint):
        return
    record = state.leads.get(engine) or LeadRecord("", 0, Position(state.store_generation))
    pending = state.pending_claims.get(engine)
    epoch = next_epoch(state.store_generation, max(record.epoch, pending[0] if pending else 0))
    state.pending_claims[engine] = (epoch, at)
    state.next_claim_at[engine] = at + CLAIM_RETRY_S * (1.0 + state.random.random())
    effects.append(Claim(engine, epoch, record.position, own_holder_id(state)))


def on_claim(state: GatewayState, event: ClaimEnded, effects: list) -> None:
    """Apply the answer to a claim."""
    pending = state.pending_claims.get(event.engine)
    if pending is None or pending[0] != event.epoch:
        return
    if event.status is CallStatus.OK:
        known = state.leads.get(event.engine)
        if known is not None and known.position > event.position:
            return
        begin_leadership(state, event.engine, event.epoch, event.at, effects)
        state.leads[event.engine] = LeadRecord(own_holder_id(state), event.epoch, event.position)
    else:
        fields = {"engine": event.engine, "epoch": event.epoch, "status": event.status}
        effects.append(LogChange("claim-failed", fields))


def begin_leadership(
    state: GatewayState, engine: str, epoch: int, at: float, effects: list
) -> None:
    """Begin to lead an engine; orders start once those of the previous lead have expired.

    The known record is still that of the previous lead.
    """
    previous_lead = lead_of(state, engine)
    previous_epoch = state.leads[engine].epoch if engine in state.leads else 0
    state.pending_claims.pop(engine, None)
    if engine not in state.endpoints:
        return
    existing = state.slot_tables.get(engine)
    if existing is not None and existing.epoch >= epoch:
        return
    wait_s = 0.0
    lease_s = state.limits.lease_s + LEASE_MARGIN_S
    if previous_lead not in ("", state.name):
        wait_s = lease_s
    if generation_of(previous_epoch) < generation_of(epoch):
        wait_s = max(wait_s, state.store_generation_seen_at + lease_s - at)
    # Nobody uses an engine that had no lead before.
    usage_delay_s = PEER_USAGE_DELAY_S if epoch > 1 else 0.0
    state.slot_tables[engine] = SlotTable(
        engine, epoch, at + wait_s, at + usage_delay_s, report_due_at=at
    )
    fields = {"engine": engine, "epoch": epoch, "before": previous_lead, "usable_in_s": wait_s}
    effects.append(LogChange("lead-begun", fields))


def end_leadership(state: GatewayState, engine: str, effects: list, **more_fields: object) -> None:
    """Stop leading an engine, as another entry does or may; keyword arguments are logged."""
    table = state.slot_tables.pop(engine)
    effects.append(LogChange("lead-lost", {"engine": engine, "epoch": table.epoch, **more_fields}))


def release_all(state: GatewayState, effects: list) -> None:
    """Release the leadership of all engines, so that other entries claim them at once."""
    for engine, table in list(state.slot_tables.items()):
        record = state.leads.get(engine)
        del state.slot_tables[engine]
        if record is not None:
            effects.append(Claim(engine, table.epoch, record.position, ""))
            effects.append(LogChange("lead-released", {"engine": engine, "epoch": table.epoch}))


def log_silent(
    lead: str, engine: str, at: float, endpoint: EndpointState | None, effects: list
) -> None:
    """Log that a lead does not answer."""
    view_age_s = (
        round(at - endpoint.lead_view_at, 2)
        if endpoint is not None and endpoint.lead_view is not None
        else None
    )
    effects.append(
        LogChange("lead-silent", {"peer": lead, "engine": engine, "view_age_s": view_age_s})
    )
