"""Replicates the grants that each entry holds to the entries that may lead next.

A new lead asks every entry for its grants. An entry that it cannot reach then blocks only the
slots that its earlier messages named, not every slot.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions.effects import SendMessage
from poplarhoist.decisions.membership import lease_candidates, rendezvous_rank
from poplarhoist.decisions.messages import GrantPair, Holdings

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

SUCCESSOR_COUNT = 3  # number of likely next leads that receive the holdings
FULL_INTERVAL_S = 5.0  # between messages that name all grants


@define
class SentHoldings:
    """What this entry has sent of its grants for one base model, and what is to be sent.

    Attributes
    ----------
    changed : dict
        Pairs that changed since the last message; True for those that are held now.
    successors : tuple of str
        Entries that got the last full message, and get the changes after it.
    number : int
        Sequence number of the last message.
    full_sent_at : float
        When the last full message was sent.
    """

    changed: dict[GrantPair, bool] = field(factory=dict)
    successors: tuple[str, ...] = ()
    number: int = 0
    full_sent_at: float = float("-inf")


@define
class PeerHoldings:
    """Grants that a peer reported for one base model.

    Attributes
    ----------
    boot : str
        Boot id of the peer at its last full message.
    number : int
        Sequence number of the last message that was applied.
    complete : bool
        Whether no message was missed since the last full one, so that ``pairs`` is right.
    """

    boot: str = ""
    number: int = 0
    complete: bool = False
    pairs: set[GrantPair] = field(factory=set)


@define
class HoldingsState:
    """Holdings messages sent, by base model, and received, by base model and peer.

    Attributes
    ----------
    next_send_at : float
        When changes are sent next.
    """

    sent_by_base: dict[str, SentHoldings] = field(factory=dict)
    received_by_base: dict[str, dict[str, PeerHoldings]] = field(factory=dict)
    next_send_at: float = 0.0


def record_change(state: State, base: str, pair: GrantPair, held: bool) -> None:
    """Record for the next message that this entry got or gave up a grant."""
    state.holdings.sent_by_base.setdefault(base, SentHoldings()).changed[pair] = held


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Send changed grants at each heartbeat, and all of them every ``FULL_INTERVAL_S``."""
    holdings = state.holdings
    if at < holdings.next_send_at:
        return
    holdings.next_send_at = at + state.limits.heartbeat_s
    for base in state.members.engines_by_base:
        sent = holdings.sent_by_base.setdefault(base, SentHoldings())
        if at - sent.full_sent_at >= FULL_INTERVAL_S:
            send_full(state, base, sent, at, out)
        elif sent.changed:
            send_changes(base, sent, out)


def send_full(state: State, base: str, sent: SentHoldings, at: float, out: list[Effect]) -> None:
    """Send all grants to the entries that rank highest now as the next lead.

    An entry that is no longer among them detects the gap from the sequence number in heartbeats.
    """
    sent.full_sent_at = at
    sent.changed.clear()
    sent.number += 1
    ranked = rendezvous_rank(base, lease_candidates(state, at))
    others = [name for name in ranked if name != state.me.name]
    sent.successors = tuple(others[:SUCCESSOR_COUNT])
    pairs = tuple(
        GrantPair(ref, endpoint)
        for ref, by_endpoint in state.grants.by_ref.items()
        for endpoint, held in by_endpoint.items()
        if held.base == base
    )
    for name in sent.successors:
        out.append(SendMessage(name, Holdings(base, sent.number, True, pairs)))


def send_changes(base: str, sent: SentHoldings, out: list[Effect]) -> None:
    """Send the changed grants to the successors of the last full message."""
    sent.number += 1
    added = tuple(pair for pair, held in sent.changed.items() if held)
    removed = tuple(pair for pair, held in sent.changed.items() if not held)
    sent.changed.clear()
    for name in sent.successors:
        out.append(SendMessage(name, Holdings(base, sent.number, False, added, removed)))


def on_holdings(state: State, sender: str, message: Holdings) -> None:
    """Apply a peer's holdings message.

    After a gap in the sequence numbers or a restart of the peer, changes are ignored until the
    next full message.
    """
    boot = state.members.peers[sender].boot
    by_peer = state.holdings.received_by_base.setdefault(message.base, {})
    known = by_peer.setdefault(sender, PeerHoldings())
    if message.full:
        by_peer[sender] = PeerHoldings(boot, message.number, True, set(message.added))
        return
    if boot != known.boot or message.number > known.number + 1:
        known.complete = False
    if not known.complete or message.number <= known.number:
        return
    known.number = message.number
    known.pairs.update(message.added)
    known.pairs.difference_update(message.removed)


def on_heartbeat(state: State, sender: str, numbers: dict[str, int]) -> None:
    """Mark holdings as incomplete if a peer's messages were lost or went to other entries.

    Parameters
    ----------
    numbers : dict
        Sequence number of the peer's last message, by base model.
    """
    for base, number in numbers.items():
        known = state.holdings.received_by_base.get(base, {}).get(sender)
        if known is not None and known.number < number:
            known.complete = False


def known_pairs(state: State, base: str, name: str) -> set[GrantPair] | None:
    """Return the grants that a peer last reported.

    None if messages were missed or the peer restarted since, so that it may hold others.
    """
    known = state.holdings.received_by_base.get(base, {}).get(name)
    peer = state.members.peers.get(name)
    if known is None or peer is None or not known.complete or known.boot != peer.boot:
        return None
    return known.pairs
