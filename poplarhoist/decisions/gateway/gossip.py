"""Entries inform each other of changes in the store.

With several entries each one reads the store rarely, as every read is billed and counts toward the
store's limits. Their reads happen at different times. An entry that reads a change informs a few
others, so that a change missed by one watch reaches every entry long before that entry's next read.
"""

from __future__ import annotations

from poplarhoist.decisions.gateway.broadcast import other_entries
from poplarhoist.decisions.gateway.effects import RereadChanges, SendPeer
from poplarhoist.decisions.gateway.events import StoreChangesRead
from poplarhoist.decisions.gateway.leads import interval_factor
from poplarhoist.decisions.gateway.messages import News
from poplarhoist.decisions.gateway.state import GatewayState

# Entries that each reader of a change informs. If every entry reads the change, each entry is
# informed eight times on average and one in three thousand not at all. The messages sent by one
# entry do not grow with the number of entries.
GOSSIP_FANOUT = 8
# Number of entries up to which each one waits for the shortest interval between its watches. With
# more entries each waits longer, as their watches together show a change that one of them missed.
# The smallest site has six entries, so gossip is active at every site.
FULL_RATE_READERS = 4


def watch_wait_factor(state: GatewayState) -> float:
    """Return the factor by which a watch may wait longer, as others report what it misses."""
    return interval_factor(state, FULL_RATE_READERS)


def on_changes_read(state: GatewayState, event: StoreChangesRead, effects: list) -> None:
    """Inform some other entries of a change, if there are enough entries for longer watches."""
    if watch_wait_factor(state) <= 1.0:
        return
    others = other_entries(state)
    for name in state.random.sample(others, min(GOSSIP_FANOUT, len(others))):
        effects.append(SendPeer(name, News(event.kind, event.revision)))


def on_news(message: News, effects: list) -> None:
    """Read the changes that another entry has read."""
    effects.append(RereadChanges(message.kind, message.revision))
