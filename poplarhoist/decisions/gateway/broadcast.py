"""Sends a message to all other entries."""

from __future__ import annotations

from poplarhoist.decisions.gateway.effects import SendPeer
from poplarhoist.decisions.gateway.messages import Message
from poplarhoist.decisions.gateway.state import GatewayState


def other_entries(state: GatewayState) -> list[str]:
    """Return the names of the other entries, sorted."""
    return sorted(entry for entry in state.entries if entry != state.name)


def tell_others(state: GatewayState, message: Message, effects: list) -> None:
    """Send a message to each other entry; any of them may get lost."""
    for entry in other_entries(state):
        effects.append(SendPeer(entry, message))
