"""Deletes expired idempotency records at a bounded rate.

Each entry periodically lists one shard of the records, chosen at random, and deletes the expired
records in it. The interval between listings is proportional to the number of live entries, so the
rate of platform calls of the whole site does not depend on its size.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist.decisions.effects import (
    Count,
    PlatformDelete,
    PlatformGet,
    PlatformList,
    RunSweep,
)
from poplarhoist.decisions.events import CallStatus, PlatformAnswered
from poplarhoist.decisions.membership import live_entries
from poplarhoist.decisions.runs import (
    RUN_PREFIX,
    SHARD_DIGITS,
    RunStage,
    is_holder_alive,
    parse_record,
)

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

SHARD_COUNT = 16**SHARD_DIGITS
DELETES_PER_LISTING = 256


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """List a random shard if a listing is due; a draining entry lists none."""
    runs = state.runs
    if runs.next_sweep_at is not None and at >= runs.next_sweep_at and not state.draining:
        shard = f"{state.random.randrange(SHARD_COUNT):0{SHARD_DIGITS}x}"
        out.append(PlatformList(f"{RUN_PREFIX}{shard}/", RunSweep()))
    if runs.next_sweep_at is None or at >= runs.next_sweep_at:
        every_s = state.limits.run_sweep_s / SHARD_COUNT * len(live_entries(state, at))
        runs.next_sweep_at = at + every_s * (0.5 + state.random.random())


def on_sweep_answered(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Continue the sweep after a listing, the read of an expired record, or its deletion.

    A record is read again before it is deleted, to delete only the version that is expired.
    """
    if event.status is not CallStatus.OK:
        return
    path = event.purpose.path
    if not path:
        expired_paths = [
            p for p, value in sorted(event.value.items()) if is_expired(state, value, event.at)
        ]
        for path in expired_paths[:DELETES_PER_LISTING]:
            out.append(PlatformGet(path, RunSweep(path)))
    elif event.purpose.deleted:
        out.append(Count("run_swept", ()))
    elif is_expired(state, event.value, event.at):
        out.append(PlatformDelete(path, event.version, RunSweep(path, True)))


def is_expired(state: State, value: object, at: float) -> bool:
    """Return whether a record is past its retention and no live entry works on its call.

    A malformed record never expires.
    """
    record = parse_record(value)
    if record is None:
        return False
    if at + state.wall_offset_s - record.written_at < state.limits.run_retention_s:
        return False
    return record.stage is not RunStage.STARTED or not is_holder_alive(state, record, at)
