"""Relays the platform's lists of entries and endpoints between peers.

An entry that cannot reach the platform asks a peer for the lists. A new entry takes its peers from
the settings until the platform lists them. Lists from a peer only add entries and endpoints; only
the platform can remove them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from poplarhoist.decisions.effects import LogChange, SendMessage
from poplarhoist.decisions.listing import upsert_endpoint, upsert_instance
from poplarhoist.decisions.membership import Peer
from poplarhoist.decisions.messages import MembersCopy, MembersWanted
from poplarhoist.models import Instance, LifecycleState

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

FIRST_REQUEST_DELAY_S = 1.0
REQUEST_INTERVAL_S = 5.0


def seed_peers(state: State, instances: list[Instance]) -> None:
    """Add the peers named in the settings, for use until the platform lists them."""
    for instance in instances:
        if instance.name != state.me.name:
            state.members.peers.setdefault(instance.name, Peer(instance))


def on_watch_broken(state: State, out: list[Effect]) -> None:
    """Record that the platform is unreachable; peers are asked for the lists from then on."""
    if not state.members.watch_broken:
        state.members.watch_broken = True
        out.append(LogChange("platform-silent", {}))


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Ask a random live peer for the lists at intervals while the platform is unreachable."""
    members = state.members
    if members.next_members_request_at is None or not members.watch_broken:
        members.next_members_request_at = at + FIRST_REQUEST_DELAY_S
        return
    if at < members.next_members_request_at:
        return
    members.next_members_request_at = at + REQUEST_INTERVAL_S * (0.5 + state.random.random())
    live = [name for name, peer in sorted(members.peers.items()) if not peer.silent]
    if live:
        out.append(SendMessage(state.random.choice(live), MembersWanted()))


def on_members_wanted(state: State, sender: str, out: list[Effect]) -> None:
    """Send a peer the lists of entries and endpoints, unless this entry knows no endpoints."""
    members = state.members
    if not members.endpoints:
        return
    instances = (state.me, *(peer.instance for peer in members.peers.values()))
    endpoints = tuple(
        evolve(view.endpoint, state=LifecycleState.LEAVING) if view.leaving else view.endpoint
        for view in members.endpoints.values()
    )
    out.append(SendMessage(sender, MembersCopy(instances, endpoints)))


def on_members_copy(state: State, message: MembersCopy, at: float, out: list[Effect]) -> None:
    """Add entries and endpoints that are unknown here, while the platform is unreachable."""
    if not state.members.watch_broken:
        return
    for instance in message.instances:
        if instance.name not in state.members.peers:
            upsert_instance(state, instance, out)
    for endpoint in message.endpoints:
        if endpoint.name not in state.members.endpoints:
            upsert_endpoint(state, endpoint, at, out)
