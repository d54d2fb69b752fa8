"""Entries tell one another of changes in the store.

Each of several entries reads the store rarely, as every read is priced and counts toward the store's
limits. Their reads fall at different times: whoever sees a change tells a few others, so that a
change which one watch missed is known everywhere long before that entry's next read.
"""

from __future__ import annotations

from poplarhoist.decisions.gateway.effects import RereadChanges, SendPeer
from poplarhoist.decisions.gateway.events import StoreChangesRead
from poplarhoist.decisions.gateway.leads import interval_factor
from poplarhoist.decisions.gateway.messages import News
from poplarhoist.decisions.gateway.state import GatewayState

# Entries that each reader of a change tells. When all read it, each is told eight times on average
# and one in three thousand not at all; the messages of one entry do not grow with their number.
GOSSIP_FANOUT = 8
# Entries up to which each watches at its plain pace; the watches of more of them together show what
# one missed. Fewer than the six entries of the smallest site.
FULL_RATE_READERS = 4


def watch_wait_factor(state: GatewayState) -> float:
    """Return how many times longer a watch may wait as others would tell what it misses."""
    return interval_factor(state, FULL_RATE_READERS)


def on_changes_read(state: GatewayState, event: StoreChangesRead, effects: list) -> None:
    """Tell some others of a change, where there are so many that each reads rarely."""
    if watch_wait_factor(state) <= 1.0:
        return
    others = sorted(name for name in state.entries if name != state.name)
    for name in state.random.sample(others, min(GOSSIP_FANOUT, len(others))):
        effects.append(SendPeer(name, News(event.kind, event.revision)))


def on_news(message: News, effects: list) -> None:
    """Read what another entry has read."""
    effects.append(RereadChanges(message.kind, message.revision))
