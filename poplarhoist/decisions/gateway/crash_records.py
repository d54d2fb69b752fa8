"""Keeps in the store what crashes endpoints, so that it stays refused when all entries end at once.

The store has a record of each content and each part of prompts that is refused, with its crashes.
Entries read these records at their start. A record is written again when a trial has crashed one more
endpoint, and removed once its crashes are forgotten or what it names turned out to be sound.
"""

from __future__ import annotations

from poplarhoist.decisions.common_effects import LogChange
from poplarhoist.decisions.gateway import crashes
from poplarhoist.decisions.gateway.broadcast import is_one_of
from poplarhoist.decisions.gateway.crash_suspects import CrashReport, suspect_key
from poplarhoist.decisions.gateway.effects import WriteCrashRecord
from poplarhoist.decisions.gateway.events import (
    CallStatus,
    CrashRecordSeen,
    CrashRecordsListed,
    CrashRecordWritten,
)
from poplarhoist.decisions.gateway.state import GatewayState

# Entries that write and remove a record, so that one of them may end before it does.
WRITERS = 2
# Seconds until a write that failed is repeated.
WRITE_RETRY_S = 1.0


def on_seen(state: GatewayState, event: CrashRecordSeen, effects: list) -> None:
    """Apply the crashes in a record, as if another entry had told them."""
    state.crash_records.crash_counts[event.name] = len(event.crashes)
    for crashed in event.crashes:
        crashes.on_crashed(state, crashed, event.at, effects)


def on_listed(state: GatewayState, event: CrashRecordsListed, effects: list) -> None:
    """Apply that all records were read; those that are missing are written again."""
    records = state.crash_records
    records.is_listed = True
    for name in [name for name in records.crash_counts if name not in event.names]:
        del records.crash_counts[name]


def on_written(state: GatewayState, event: CrashRecordWritten, effects: list) -> None:
    """Apply that a record was written or removed; a failed write is repeated."""
    if event.status is not CallStatus.OK:
        return
    if event.crash_count:
        state.crash_records.crash_counts[event.name] = event.crash_count
    else:
        state.crash_records.crash_counts.pop(event.name, None)
    fields = {"name": event.name, "crashes": event.crash_count}
    effects.append(LogChange("crashes-recorded", fields))


def on_tick(state: GatewayState, at: float, effects: list) -> None:
    """Write the records of what is refused, and remove those of what no longer has crashes."""
    records = state.crash_records
    if state.store_unavailable or not records.is_listed:
        return
    verdict = state.crash_verdict
    refused = {record_name("content", content) for content in verdict.contents}
    refused |= {record_name("part", part) for part in verdict.parts}
    for name in sorted(refused | records.crash_counts.keys()):
        told = crashes.choose_evidence(remaining_reports(state, name))
        known_count = records.crash_counts.get(name, 0)
        if told and name in refused:
            is_due = known_count < len(told)
        else:
            is_due = known_count > 0 and not told
        if (
            not is_due
            or at < records.next_write_at.get(name, float("-inf"))
            or not is_one_of(state, name, WRITERS)
        ):
            continue
        records.next_write_at[name] = at + WRITE_RETRY_S
        messages = tuple(crashes.build_message(state, report, at) for report in told)
        effects.append(WriteCrashRecord(name, messages))


def record_name(kind: str, suspect: str) -> str:
    """Return the name of the record of a content or a part."""
    return f"{kind}:{suspect}"


def remaining_reports(state: GatewayState, name: str) -> list[CrashReport]:
    """Return the crashes for which what a record is about is suspected, latest first."""
    kind, _, suspect = name.partition(":")
    sound_at = state.sound_at_by_part.get(suspect_key(kind, suspect), float("-inf"))
    return [r for r in crashes.reports_about(state, kind, suspect) if r.at > sound_at]
