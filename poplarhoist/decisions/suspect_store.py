"""Suspects and quarantined request contents as objects on the platform.

Entries also notify their peers directly and at once. Entries that cannot reach the notifying entry
learn of suspects from the platform, which also keeps quarantined request contents when every entry
is replaced.
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
    """A suspect's object on the platform as it was last seen.

    Attributes
    ----------
    version : int
        Version of the object, expected by the next conditional write.
    deaths : frozenset
        Boot keys (``endpoint/boot``) of the endpoint processes that died.
    seen_at : float
        When this version was first seen.
    """

    version: int
    deaths: frozenset[str]
    is_quarantined: bool
    seen_at: float


@define
class SuspectStore:
    """Objects on the platform, and writes that did not succeed yet.

    Attributes
    ----------
    pending_writes : dict
        When a write was last tried, by digest.
    """

    stored_by_digest: dict[str, StoredSuspect] = field(factory=dict)
    pending_writes: dict[str, float] = field(factory=dict)
    next_sweep_at: float = 0.0


def save(state: State, digest: str, at: float, out: list[Effect]) -> None:
    """Write what this entry knows of a digest, unless the platform's object includes it."""
    store = state.suspect_store
    stored = store.stored_by_digest.get(digest)
    deaths, quarantined = local_state(state, digest)
    # Included: the object has all deaths, and is quarantined if the digest is quarantined here.
    if stored and stored.deaths >= deaths and stored.is_quarantined >= quarantined:
        store.pending_writes.pop(digest, None)
        return
    store.pending_writes[digest] = at
    value = {"deaths": sorted(deaths), "convicted": quarantined}
    version = stored.version if stored else 0
    out.append(PlatformPut(SUSPECT_PREFIX + digest, value, version, SuspectWrite(digest)))


def local_state(state: State, digest: str) -> tuple[frozenset[str], bool]:
    """Return the deaths of a digest known here, and whether it is quarantined."""
    suspect = state.quarantine.suspects_by_digest.get(digest)
    deaths = frozenset(suspect.deaths) if suspect else frozenset()
    return deaths, digest in state.quarantine.quarantined


def on_object_changed(state: State, event: ObjectChanged) -> str | None:
    """Remember a changed object; return its digest, or None if it is no suspect's object."""
    if not event.path.startswith(SUSPECT_PREFIX):
        return None
    digest = event.path.removeprefix(SUSPECT_PREFIX)
    store = state.suspect_store
    store.stored_by_digest.pop(digest, None)
    if event.value is not None:
        deaths = frozenset(event.value["deaths"])
        quarantined = event.value["convicted"]
        store.stored_by_digest[digest] = StoredSuspect(event.version, deaths, quarantined, event.at)
    return digest


def on_written(state: State, event: PlatformAnswered) -> None:
    """Remove a write that succeeded from the pending ones.

    A write that lost to a concurrent one is retried once the winner's version is seen.
    """
    if event.status is CallStatus.OK:
        state.suspect_store.pending_writes.pop(event.purpose.digest, None)


def delete(state: State, digest: str, out: list[Effect]) -> None:
    """Delete the object of a request content that is no longer suspected."""
    store = state.suspect_store
    store.pending_writes.pop(digest, None)
    stored = store.stored_by_digest.get(digest)
    if stored is not None:
        path = SUSPECT_PREFIX + digest
        out.append(PlatformDelete(path, stored.version, SuspectWrite(digest)))


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Retry pending writes, and periodically delete expired objects."""
    store = state.suspect_store
    for digest, tried_at in list(store.pending_writes.items()):
        if at - tried_at >= WRITE_RETRY_INTERVAL_S:
            save(state, digest, at, out)
    if at >= store.next_sweep_at:
        store.next_sweep_at = at + SWEEP_INTERVAL_S
        sweep(state, at, out)


def sweep(state: State, at: float, out: list[Effect]) -> None:
    """Delete expired suspects and the oldest quarantined digests beyond ``MAX_QUARANTINED``.

    Only the first live entry in rendezvous order does so.
    """
    if rendezvous_rank(SUSPECT_PREFIX, live_entries(state, at))[0] != state.me.name:
        return
    stored = state.suspect_store.stored_by_digest.items()
    quarantined = [digest for digest, item in stored if item.is_quarantined]
    expired = [
        digest
        for digest, item in stored
        if not item.is_quarantined and at - item.seen_at >= SUSPECT_RETENTION_S
    ]
    for digest in [*expired, *quarantined[: max(0, len(quarantined) - MAX_QUARANTINED)]]:
        delete(state, digest, out)
