"""Requests that were running when endpoints died."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions.effects import LogChange, SendMessage
from poplarhoist.decisions.messages import SuspectNotice

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

DEATHS_TO_CONVICT = 2


@define
class Suspect:
    """A request content and the endpoint deaths that it took part in."""

    deaths: set[str] = field(factory=set)
    convicted: bool = False


@define
class QuarantineState:
    """Suspects by content digest."""

    by_digest: dict[str, Suspect] = field(factory=dict)


def convicted(state: State, digest: str) -> bool:
    """Return whether a content is refused for good."""
    suspect = state.quarantine.by_digest.get(digest)
    return suspect is not None and suspect.convicted


def note_death(state: State, digest: str, death: str, out: list[Effect]) -> None:
    """Note that a request was running when an endpoint died, and tell the peers."""
    if not digest:
        return
    suspect = merge(state, digest, {death}, False, out)
    notice = SuspectNotice(digest, tuple(sorted(suspect.deaths)), suspect.convicted)
    for peer in state.members.peers:
        out.append(SendMessage(peer, notice))


def merge(state: State, digest: str, deaths: set[str], guilty: bool, out) -> Suspect:
    """Add deaths to a suspect."""
    suspect = state.quarantine.by_digest.setdefault(digest, Suspect())
    suspect.deaths |= deaths
    guilty = guilty or len(suspect.deaths) >= DEATHS_TO_CONVICT
    if guilty and not suspect.convicted:
        suspect.convicted = True
        out.append(LogChange("request-quarantined", {"digest": digest}))
    return suspect


def on_notice(state: State, message: SuspectNotice, out: list[Effect]) -> None:
    """Take a peer's word of a suspect."""
    merge(state, message.digest, set(message.deaths), message.convicted, out)
