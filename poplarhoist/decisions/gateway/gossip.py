"""Entries inform each other of changes in the store.

With several entries each one reads the store rarely, as every read is billed and counts toward the
store's limits. Their reads happen at different times. An entry that reads a change informs a few
others, so that a change missed by one watch reaches every entry long before that entry's next read.

A watch whose data may be stale costs a tenth of an up-to-date one. With many entries only some have
up-to-date watches at a time; the others learn of a change from them, at the latest.
"""

from __future__ import annotations

import enum

from poplarhoist.decisions.gateway.broadcast import other_entries
from poplarhoist.decisions.gateway.effects import RereadChanges, SendPeer
from poplarhoist.decisions.gateway.events import StoreChangesRead
from poplarhoist.decisions.gateway.messages import News
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.decisions.gateway.state import GatewayState

# Entries that each reader of a change informs. If every entry reads the change, each entry is
# informed eight times on average and one in three thousand not at all. The messages sent by one
# entry do not grow with the number of entries.
GOSSIP_FANOUT = 8
# Number of entries up to which each one waits for the shortest interval between its watches. With
# more entries each waits longer, as their watches together show a change that one of them missed.
# The smallest site has six entries, so gossip is active at every site.
FULL_RATE_READERS = 4
# Entries whose watches of a shared kind are up to date at a time; all of them where there are fewer.
# Each informs `GOSSIP_FANOUT` others, who inform others in turn, so that a few suffice even if
# most of them cannot reach the store.
FRESH_READERS = 12
# Kinds of records of which it is kept who told of a change; any host can send a message.
MAX_TOLD_KINDS = 16


class Freshness(enum.Enum):
    """Which entries need up-to-date watches of a kind of record.

    ALL: every entry.
    NONE: none; the records tell themselves how old they are, or are confirmed before use.
    SHARED: some entries at a time, each time others.
    LEADS: those that lead engines or claim to, as another claim ends their right to order; others
    learn of it from the lead that they ask.
    """

    ALL = "all"
    NONE = "none"
    SHARED = "shared"
    LEADS = "leads"


def needs_fresh_watch(state: GatewayState, freshness: Freshness) -> bool:
    """Return whether this entry's next watch of a kind must be up to date."""
    many = len(state.entries) > FRESH_READERS
    match freshness:
        case Freshness.ALL:
            return True
        case Freshness.NONE:
            return False
        case Freshness.SHARED:
            return not many or state.random.random() * len(state.entries) < FRESH_READERS
        case Freshness.LEADS:
            return not many or bool(state.slot_tables or state.pending_claims)


def watch_wait_factor(readers: int) -> float:
    """Return the factor by which a watch may wait longer, as other readers report what it misses."""
    return max(1.0, readers / FULL_RATE_READERS)


def on_changes_read(state: GatewayState, event: StoreChangesRead, effects: list) -> None:
    """Inform some other entries of a change, if there are enough entries for longer watches."""
    if watch_wait_factor(len(state.entries)) <= 1.0:
        return
    others = other_entries(state)
    for name in state.random.sample(others, min(GOSSIP_FANOUT, len(others))):
        message = News(event.kind, event.position.revision, event.position.generation)
        effects.append(SendPeer(name, message))


def on_news(state: GatewayState, sender: str, message: News, effects: list) -> None:
    """Read the changes that another entry has read."""
    generation = message.generation
    if generation is None:
        # Entries of earlier releases do not know of generations.
        generation = state.store_generation
    position = Position(generation, message.revision)
    if sender in state.entries and (
        message.kind in state.told_positions_by_kind
        or len(state.told_positions_by_kind) < MAX_TOLD_KINDS
    ):
        told = state.told_positions_by_kind.setdefault(message.kind, {})
        told[sender] = max(told.get(sender, Position()), position)
    effects.append(RereadChanges(message.kind, position))
