"""Which entries of a region read long records from the store, and which copy them from another entry.

All links between two regions share one bandwidth. Where each entry of a region reads a long record
through them, all other calls and requests wait behind the copies. So a few entries of each region
watch such records, and the others get them from an entry that has them. Those ask the readers now
and then whether there is anything new, and read from the store where no reader answers.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection

from poplarhoist.decisions.common_effects import LogChange
from poplarhoist.decisions.gateway.broadcast import other_entries
from poplarhoist.decisions.gateway.entry_state import EntryState
from poplarhoist.decisions.gateway.events import CopyAsked
from poplarhoist.decisions.gateway.hashing import rendezvous_order
from poplarhoist.decisions.gateway.leads import is_silent
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.decisions.gateway.state import GatewayState

# Entries of a region up to which all read long records themselves.
FULL_READERS = 6
# Entries of a larger region that do.
READERS_PER_REGION = 4
# Entries of a region that may copy from an entry of another region that is ahead; copies are
# compressed.
CROSSING_COPIERS = 8
# Entries whose answers one wants at its start, and after a restoration, whether they know later versions
# than the store has. With half of all entries restarted, the chance that none of them ran before is below
# one percent.
ANSWERS_ABOUT_VERSIONS = 8
# Seconds for which an entry that did not answer is not asked for copies; they double each time.
MISSED_PAUSE_S = 15.0
MISSED_PAUSE_MAX_S = 960.0
# Seconds after its start for which an entry looks for a copy before it reads long records itself,
# and seconds until twice as many give up looking.
COPY_WAIT_S = 1.5
COPY_WAIT_STEP_S = 0.4


def reading_order(state: GatewayState, kind: str, at: float) -> list[str]:
    """Return the entries of this region, those that are to read a kind themselves first.

    Silent ones and those that give no copies are left out: the record of an entry that is gone may
    stay for good.
    """
    region = state.regions.get(state.zone)
    names = [
        name
        for name, entry in state.entries.items()
        if state.regions.get(entry.zone) == region
        and not is_silent(state, name, at)
        and entry.no_copies_until <= at
    ]
    return rendezvous_order(kind, names)


def on_asked(state: GatewayState, event: CopyAsked, effects: list) -> None:
    """Record whether an entry answered when it was asked for a copy."""
    entry = state.entries.get(event.peer)
    if entry is None:
        return
    if event.is_reachable:
        entry.copies_missed, entry.no_copies_until = 0, float("-inf")
        return
    pause_s = min(MISSED_PAUSE_MAX_S, MISSED_PAUSE_S * 2**entry.copies_missed)
    entry.copies_missed += 1
    entry.no_copies_until = event.at + pause_s
    effects.append(LogChange("copies-missed", {"peer": event.peer, "pause_s": pause_s}))


def rank_in_region(state: GatewayState, kind: str, at: float) -> int:
    """Return the place of this entry, from 0, in its region's order of readers of a kind.

    It is 0 in a region in which all entries read, and for an entry that is not registered yet.
    """
    order = reading_order(state, kind, at)
    if len(order) <= FULL_READERS or state.name not in order:
        return 0
    return order.index(state.name)


def reads_itself(state: GatewayState, kind: str, at: float) -> bool:
    """Return whether this entry reads long records of a kind from the store."""
    return rank_in_region(state, kind, at) < READERS_PER_REGION


def is_up_to_date(state: GatewayState, kind: str) -> bool:
    """Return whether this entry would know of newer records of a kind if there were any."""
    return not state.store_unavailable and reads_itself(state, kind, state.last_event_at)


def reader_count(state: GatewayState) -> int:
    """Return how many entries of all regions read long records from the store."""
    by_region = Counter(state.regions.get(entry.zone) for entry in state.entries.values())
    return sum(
        count if count <= FULL_READERS else READERS_PER_REGION for count in by_region.values()
    )


def copy_wait_s(state: GatewayState, kind: str, at: float) -> float:
    """Return for how many seconds this entry looks for a first copy."""
    rank = rank_in_region(state, kind, at)
    if rank < READERS_PER_REGION:
        return 0.0
    doublings = (rank // READERS_PER_REGION).bit_length() - 1
    return COPY_WAIT_S + COPY_WAIT_STEP_S * doublings


def choose_source(
    state: GatewayState, kind: str, known: Position, at: float, tried: Collection[str]
) -> EntryState | None:
    """Return an entry that has told of a change after a position; None if there is none to copy from.

    Entries of this availability zone come first, then those of this region; only some entries copy
    from another region.
    """
    region = state.regions.get(state.zone)
    may_cross = rank_in_region(state, kind, at) < CROSSING_COPIERS
    sources = [
        state.entries[name]
        for name, position in state.told_positions_by_kind.get(kind, {}).items()
        if position > known and name in state.entries and name not in tried
    ]
    return min(
        (
            entry
            for entry in sources
            if entry.no_copies_until <= at
            and (may_cross or state.regions.get(entry.zone) == region)
        ),
        key=lambda entry: (
            state.regions.get(entry.zone) != region,
            entry.zone != state.zone,
            state.random.random(),
        ),
        default=None,
    )


def readers_to_ask(state: GatewayState, kind: str, at: float) -> list[EntryState]:
    """Return the other entries of this region that read from the store, in random order."""
    names = reading_order(state, kind, at)[:READERS_PER_REGION]
    names = [name for name in names if name != state.name]
    return [state.entries[name] for name in state.random.sample(names, len(names))]


def choose_any_peer(state: GatewayState, kind: str, at: float) -> EntryState | None:
    """Return an entry of this region that may have records; every second time one that reads them."""
    names = [name for name in reading_order(state, kind, at) if name != state.name]
    if not names:
        return None
    if state.random.random() < 0.5:
        names = names[:READERS_PER_REGION]
    return state.entries[state.random.choice(names)]


def peers_to_ask_for_versions(state: GatewayState) -> list[EntryState]:
    """Return the entries that one asks whether they know later versions, in random order.

    All others, as those that are gone or have just started themselves cannot tell.
    """
    names = other_entries(state)
    return [state.entries[name] for name in state.random.sample(names, len(names))]
