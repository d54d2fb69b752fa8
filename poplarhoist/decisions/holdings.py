"""What other entries hold, kept by those entries that may lead next.

A new lead asks every entry for its grants. One that cannot be reached then blocks only the pairs
that it told of before, not every slot.
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

SUCCESSOR_COUNT = 3
FULL_INTERVAL_S = 5.0


@define
class SentHoldings:
    """What this entry told of its grants for one base model.

    Attributes
    ----------
    changed : dict
        Whether each pair is held that changed since the last message.
    number : int
        Number of the last message.
    """

    changed: dict[GrantPair, bool] = field(factory=dict)
    successors: tuple[str, ...] = ()
    number: int = 0
    full_sent_at: float = float("-inf")


@define
class PeerHoldings:
    """What a peer told of its grants for one base model.

    Attributes
    ----------
    whole : bool
        Whether no message was missed since the last that named all pairs.
    """

    boot: str = ""
    number: int = 0
    complete: bool = False
    pairs: set[GrantPair] = field(factory=set)


@define
class HoldingsState:
    """Grants of peers by base model and peer, and what was told of those held here."""

    sent_by_base: dict[str, SentHoldings] = field(factory=dict)
    received_by_base: dict[str, dict[str, PeerHoldings]] = field(factory=dict)
    next_send_at: float = 0.0


def record_change(state: State, base: str, pair: GrantPair, held: bool) -> None:
    """Note that a grant was taken or given up here."""
    state.holdings.sent_by_base.setdefault(base, SentHoldings()).changed[pair] = held


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Tell the entries that may lead next of grants that changed; of all now and then."""
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
    """Name all pairs to the entries that may lead next, as ranked now."""
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
    """Name the pairs that changed."""
    sent.number += 1
    added = tuple(pair for pair, held in sent.changed.items() if held)
    removed = tuple(pair for pair, held in sent.changed.items() if not held)
    sent.changed.clear()
    for name in sent.successors:
        out.append(SendMessage(name, Holdings(base, sent.number, False, added, removed)))


def on_holdings(state: State, sender: str, message: Holdings) -> None:
    """Take a peer's word of its grants."""
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
    """Notice that messages of a peer were missed, or went to other entries."""
    for base, number in numbers.items():
        known = state.holdings.received_by_base.get(base, {}).get(sender)
        if known is not None and known.number < number:
            known.complete = False


def known_pairs(state: State, base: str, name: str) -> set[GrantPair] | None:
    """Return the pairs that a peer held when last heard of; None if that is not known."""
    known = state.holdings.received_by_base.get(base, {}).get(name)
    peer = state.members.peers.get(name)
    if known is None or peer is None or not known.complete or known.boot != peer.boot:
        return None
    return known.pairs
