"""Suspects and convictions as objects on the platform.

Peers are told at once; the platform reaches those that are cut off from the teller, and keeps
convictions when every entry is replaced.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions.effects import PlatformDelete, PlatformPut, SuspectWrite
from poplarhoist.decisions.events import CallStatus, ObjectChanged, PlatformAnswered
from poplarhoist.decisions.membership import live_entries, rendezvous_rank

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

SUSPECT_PREFIX = "suspects/"
WRITE_RETRY_INTERVAL_S = 1.0
SWEEP_INTERVAL_S = 30.0
SUSPECT_RETENTION_S = 600.0
MAX_QUARANTINED = 4096


@define
class StoredSuspect:
    """An object as it was last seen.

    Attributes
    ----------
    seen_at : float
        When this version was first seen.
    """

    version: int
    deaths: frozenset[str]
    is_quarantined: bool
    seen_at: float


@define
class SuspectStore:
    """What the platform holds, and what is still to be written.

    Attributes
    ----------
    unsaved : dict
        When a write was last tried, by digest.
    """

    stored_by_digest: dict[str, StoredSuspect] = field(factory=dict)
    pending_writes: dict[str, float] = field(factory=dict)
    next_sweep_at: float = 0.0


def save(state: State, digest: str, at: float, out: list[Effect]) -> None:
    """Write what is known of a content, unless the platform holds it already."""
    store = state.suspect_store
    stored = store.stored_by_digest.get(digest)
    deaths, convicted = local_state(state, digest)
    if stored and stored.deaths >= deaths and stored.is_quarantined >= convicted:
        store.pending_writes.pop(digest, None)
        return
    store.pending_writes[digest] = at
    value = {"deaths": sorted(deaths), "convicted": convicted}
    version = stored.version if stored else 0
    out.append(PlatformPut(SUSPECT_PREFIX + digest, value, version, SuspectWrite(digest)))


def local_state(state: State, digest: str) -> tuple[frozenset[str], bool]:
    """Return the deaths held against a content and whether it is convicted."""
    suspect = state.quarantine.suspects_by_digest.get(digest)
    deaths = frozenset(suspect.deaths) if suspect else frozenset()
    return deaths, digest in state.quarantine.quarantined


def on_object_changed(state: State, event: ObjectChanged) -> str | None:
    """Take a change of an object; return its digest, or None if it is of another kind."""
    if not event.path.startswith(SUSPECT_PREFIX):
        return None
    digest = event.path.removeprefix(SUSPECT_PREFIX)
    store = state.suspect_store
    store.stored_by_digest.pop(digest, None)
    if event.value is not None:
        deaths = frozenset(event.value["deaths"])
        convicted = event.value["convicted"]
        store.stored_by_digest[digest] = StoredSuspect(event.version, deaths, convicted, event.at)
    return digest


def on_written(state: State, event: PlatformAnswered) -> None:
    """Note that a write worked; one that lost is tried again once the winner is seen."""
    if event.status is CallStatus.OK:
        state.suspect_store.pending_writes.pop(event.purpose.digest, None)


def delete(state: State, digest: str, out: list[Effect]) -> None:
    """Delete the object of a content that is no longer suspected."""
    store = state.suspect_store
    store.pending_writes.pop(digest, None)
    stored = store.stored_by_digest.get(digest)
    if stored is not None:
        path = SUSPECT_PREFIX + digest
        out.append(PlatformDelete(path, stored.version, SuspectWrite(digest)))


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Write again what was not written, and delete what is too old."""
    store = state.suspect_store
    for digest, tried_at in list(store.pending_writes.items()):
        if at - tried_at >= WRITE_RETRY_INTERVAL_S:
            save(state, digest, at, out)
    if at >= store.next_sweep_at:
        store.next_sweep_at = at + SWEEP_INTERVAL_S
        sweep(state, at, out)


def sweep(state: State, at: float, out: list[Effect]) -> None:
    """Delete old suspects and the oldest convictions beyond their bound; one entry does so."""
    if rendezvous_rank(SUSPECT_PREFIX, live_entries(state, at))[0] != state.me.name:
        return
    stored = state.suspect_store.stored_by_digest.items()
    convicted = [digest for digest, item in stored if item.is_quarantined]
    expired = [
        digest
        for digest, item in stored
        if not item.is_quarantined and at - item.seen_at >= SUSPECT_RETENTION_S
    ]
    for digest in [*expired, *convicted[: max(0, len(convicted) - MAX_QUARANTINED)]]:
        delete(state, digest, out)
