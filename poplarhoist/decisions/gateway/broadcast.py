"""The other entries: messages to all of them, and the few of all that serve a name."""

from __future__ import annotations

from poplarhoist.decisions.gateway.effects import SendPeer
from poplarhoist.decisions.gateway.hashing import rendezvous_order
from poplarhoist.decisions.gateway.messages import Message
from poplarhoist.decisions.gateway.state import GatewayState


def other_entries(state: GatewayState) -> list[str]:
    """Return the names of the other entries, sorted."""
    return sorted(entry for entry in state.entries if entry != state.name)


def is_one_of(state: GatewayState, name: str, count: int) -> bool:
    """Return whether this entry is one of the few that serve a name, whether it is registered or not."""
    return state.name in rendezvous_order(name, [state.name, *other_entries(state)])[:count]


def tell_others(state: GatewayState, message: Message, effects: list) -> None:
    """Send a message to each other entry; any of them may get lost."""
    for entry in other_entries(state):
        effects.append(SendPeer(entry, message))
