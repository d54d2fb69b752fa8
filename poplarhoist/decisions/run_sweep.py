"""Deletes old records of calls that must not repeat, at a bounded rate.

Every entry lists one shard of the records now and then, chosen at random, and deletes what is
past its retention there. The time between two listings of one entry grows with the number of
entries, so that the whole site makes the same number of calls whatever its size.
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
    """List a shard if that is due."""
    runs = state.runs
    if runs.next_sweep_at is not None and at >= runs.next_sweep_at and not state.draining:
        shard = f"{state.random.randrange(SHARD_COUNT):0{SHARD_DIGITS}x}"
        out.append(PlatformList(f"{RUN_PREFIX}{shard}/", RunSweep()))
    if runs.next_sweep_at is None or at >= runs.next_sweep_at:
        every_s = state.limits.run_sweep_s / SHARD_COUNT * len(live_entries(state, at))
        runs.next_sweep_at = at + every_s * (0.5 + state.random.random())


def on_sweep_answered(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Take a listing, a record that was read again, or the end of a deletion."""
    if event.status is not CallStatus.OK:
        return
    path = event.purpose.path
    if not path:
        due = [p for p, value in sorted(event.value.items()) if is_expired(state, value, event.at)]
        for path in due[:DELETES_PER_LISTING]:
            out.append(PlatformGet(path, RunSweep(path)))
    elif event.purpose.deleted:
        out.append(Count("run_swept", ()))
    elif is_expired(state, event.value, event.at):
        out.append(PlatformDelete(path, event.version, RunSweep(path, True)))


def is_expired(state: State, value: object, at: float) -> bool:
    """Return whether a record is past its retention and nobody works on its call."""
    record = parse_record(value)
    if record is None:
        return False
    if at + state.wall_offset_s - record.written_at < state.limits.run_retention_s:
        return False
    return record.stage is not RunStage.STARTED or not is_holder_alive(state, record, at)
