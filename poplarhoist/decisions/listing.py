"""Applies the platform's lists of entries and endpoints to the membership state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from poplarhoist import wire
from poplarhoist.decisions.effects import Count, LogChange
from poplarhoist.decisions.events import ObjectChanged
from poplarhoist.decisions.membership import (
    ENDPOINT_PREFIX,
    INSTANCE_PREFIX,
    EndpointView,
    MembershipState,
    Peer,
    mark_leaving,
    schedule_poll,
)
from poplarhoist.models import Endpoint, EndpointKind, Instance, LifecycleState

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State


def on_object_changed(state: State, event: ObjectChanged, out: list[Effect]) -> None:
    """Apply a change of the platform's lists; any change shows that the watch works."""
    state.members.watch_broken = False
    if event.path.startswith(INSTANCE_PREFIX):
        apply_instance_change(state, event, out)
    elif event.path.startswith(ENDPOINT_PREFIX):
        apply_endpoint_change(state, event, out)


def apply_instance_change(state: State, event: ObjectChanged, out: list[Effect]) -> None:
    """Add, update or remove a peer as the platform lists it."""
    name = event.path.removeprefix(INSTANCE_PREFIX)
    if name == state.me.name:
        return
    if event.value is None:
        if state.members.peers.pop(name, None):
            out.append(LogChange("peer-gone", {"peer": name}))
        return
    instance = parse_member(event.value, Instance, out)
    if instance is not None:
        upsert_instance(state, instance, out)


def parse_member(value: object, kind: type, out: list[Effect]) -> Instance | Endpoint | None:
    """Return a listed entry or endpoint; None, and count it, if the data is malformed."""
    try:
        return wire.load(value, kind)
    except Exception:
        # cattrs raises exception groups of many types. The member's last valid state is kept.
        out.append(Count("member_malformed", (kind.__name__.lower(),)))
        return None


def upsert_instance(state: State, instance: Instance, out: list[Effect]) -> None:
    """Add a peer or update its data; this entry itself is ignored."""
    name = instance.name
    if name == state.me.name:
        return
    peer = state.members.peers.get(name)
    if peer is None:
        state.members.peers[name] = Peer(instance)
        state.members.joined_peers.add(name)
        out.append(LogChange("peer-listed", {"peer": name}))
    else:
        peer.instance = instance


def apply_endpoint_change(state: State, event: ObjectChanged, out: list[Effect]) -> None:
    """Add, update or remove an endpoint as the platform lists it."""
    name = event.path.removeprefix(ENDPOINT_PREFIX)
    members = state.members
    members.changed_endpoints.add(name)
    if event.value is None:
        view = members.endpoints.pop(name, None)
        if view is not None:
            endpoint_names_for_target(members, view.endpoint).discard(name)
            out.append(LogChange("endpoint-gone", {"endpoint": name}))
        return
    endpoint = parse_member(event.value, Endpoint, out)
    if endpoint is not None:
        upsert_endpoint(state, endpoint, event.at, out)


def upsert_endpoint(state: State, endpoint: Endpoint, at: float, out: list[Effect]) -> None:
    """Add an endpoint, with a poll due at once, or update its data."""
    members = state.members
    name = endpoint.name
    view = members.endpoints.get(name)
    if view is None:
        view = members.endpoints[name] = EndpointView(endpoint)
        schedule_poll(members, name, at)
        out.append(LogChange("endpoint-listed", {"endpoint": name}))
    endpoint_names_for_target(members, view.endpoint).discard(name)
    view.endpoint = endpoint
    endpoint_names_for_target(members, endpoint).add(name)
    if endpoint.state is not LifecycleState.LIVE:
        mark_leaving(state, name, "platform", at, out)


def endpoint_names_for_target(members: MembershipState, endpoint: Endpoint) -> set[str]:
    """Return the indexed set of endpoints that serve the same model or service as an endpoint.

    The set is created if it is missing; callers change it in place.
    """
    if endpoint.kind is EndpointKind.ENGINE:
        return members.engines_by_base.setdefault(endpoint.serves, set())
    return members.services_by_name.setdefault(endpoint.serves, set())
