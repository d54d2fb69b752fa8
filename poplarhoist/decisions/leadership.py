"""Leadership of a base model through a lease on the platform.

Nobody compares wall clocks: a candidate takes over when the lease object has not changed for
``lease_s`` by its own clock, and the lead stops ``lease_use_s`` after its last renewal was sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from poplarhoist.decisions import placement
from poplarhoist.decisions.effects import (
    LeaseRead,
    LeaseRelease,
    LeaseWrite,
    LogChange,
    PlatformGet,
    PlatformPut,
    SendMessage,
)
from poplarhoist.decisions.events import CallStatus, PlatformAnswered
from poplarhoist.decisions.intentbook import OpenOrder
from poplarhoist.decisions.membership import lease_candidates, rendezvous_rank
from poplarhoist.decisions.messages import LeadClaim, LeadReleased

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

LEAD_PREFIX = "leads/"
LEASE_CALL_TIMEOUT_S = 0.5
RANK_DELAY_S = 0.3


@define
class LeaseView:
    """What is known of the lease of one base model.

    Attributes
    ----------
    version, seen_at : int, float
        Version of the lease object, and when that version was first seen.
    mine_until : float
        Until when this entry may act as the lead; minus infinity if it is not the lead.
    claimed_at : float
        When the holder last said to be the lead.
    attempted : dict
        Writes that may have taken effect or still may, by nonce.
    led_epoch : int
        Latest epoch under which this entry acted; no epoch is used a second time.
    idle_since : float
        Since when no other entry can have led, as of the last try to take the lease.
    release_nonce : str
        Nonce of the release that is under way; empty if none is.
    """

    base: str
    holder: str = ""
    epoch: int = 0
    version: int = 0
    version_seen_at: float = float("-inf")
    lead_until: float = float("-inf")
    lead_heard_at: float = float("-inf")
    call_started_at: float | None = None
    next_call_at: float = 0.0
    pending_writes: dict[str, LeaseWrite] = field(factory=dict)
    last_led_epoch: int = 0
    no_lead_since: float = float("inf")
    release_nonce: str = ""


@define
class LeadershipState:
    """Leases by base model.

    Attributes
    ----------
    writes : int
        Lease writes so far, to tell them apart.
    open_orders : dict
        Orders of this entry by id that may still take effect, whoever leads now.
    loading_heard : dict
        When the lead of a base model last said that it needs a share of the store.
    """

    leases_by_base: dict[str, LeaseView] = field(factory=dict)
    write_count: int = 0
    open_orders: dict[str, OpenOrder] = field(factory=dict)
    loading_heard_at: dict[str, float] = field(factory=dict)


def known_lead(state: State, base: str) -> str:
    """Return the name of the lead of a base model as far as known; empty if none."""
    view = state.leadership.leases_by_base.get(base)
    return view.holder if view else ""


def get_lease_view(state: State, base: str) -> LeaseView:
    """Return the view of a base model's lease, made on first use."""
    view = state.leadership.leases_by_base.get(base)
    if view is None:
        view = state.leadership.leases_by_base[base] = LeaseView(base)
    return view


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Renew, give up or seek each lease as is due."""
    for base in state.members.engines_by_base:
        advance_lease(state, get_lease_view(state, base), at, out)


def expire_leases(state: State, at: float, out: list[Effect]) -> None:
    """Stop leading every base model whose lease ran out; called before each event."""
    for base in list(state.boards):
        view = state.leadership.leases_by_base[base]
        if at >= view.lead_until:
            step_down(state, view, "lease-ran-out", out)


def release_all_leases(state: State, at: float, out: list[Effect]) -> None:
    """Give up all leads at once and let others take them without waiting."""
    for base in list(state.boards):
        view = state.leadership.leases_by_base[base]
        step_down(state, view, "draining", out)
        release_lease(state, view, at, out)


def release_lease(state: State, view: LeaseView, at: float, out: list[Effect]) -> None:
    """Free the lease object for others."""
    nonce = f"{state.boot}/released/{view.epoch}"
    view.release_nonce = nonce
    view.call_started_at = at
    value = {"holder": "", "epoch": view.epoch, "nonce": nonce}
    out.append(PlatformPut(LEAD_PREFIX + view.base, value, view.version, LeaseRelease(view.base)))


def is_releasing(state: State) -> bool:
    """Return whether the release of a lease is under way."""
    return any(view.release_nonce for view in state.leadership.leases_by_base.values())


def on_release_answered(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Tell the peers that a lease is free, or find out whether it is."""
    view = get_lease_view(state, event.purpose.base)
    view.call_started_at = None
    if event.status is CallStatus.OK:
        announce_release(state, view, out)
    elif event.status is CallStatus.REFUSED:
        view.release_nonce = ""
    else:
        read_lease(view, event.at, out)


def announce_release(state: State, view: LeaseView, out: list[Effect]) -> None:
    """Tell the peers that a lease is free."""
    view.release_nonce = ""
    for peer in state.members.peers:
        out.append(SendMessage(peer, LeadReleased(view.base, view.epoch)))


def on_lead_released(state: State, sender: str, message: LeadReleased, at: float) -> None:
    """Seek a lease at once that its holder gave up."""
    view = get_lease_view(state, message.base)
    if message.epoch < view.epoch or view.base in state.boards:
        return
    view.holder = ""
    view.lead_heard_at = at - state.limits.peer_timeout_s
    view.next_call_at = at


def advance_lease(state: State, view: LeaseView, at: float, out: list[Effect]) -> None:
    """Do what is due for one lease."""
    if view.call_started_at is not None:
        if at - view.call_started_at < LEASE_CALL_TIMEOUT_S:
            return
        view.call_started_at = None
        view.release_nonce = ""
    if at < view.next_call_at:
        return
    if view.base in state.boards:
        write_lease(state, view, view.epoch, at, out)
        view.next_call_at = at + state.limits.lease_renew_s
    elif not state.draining and state.config.index is not None:
        seek_lease(state, view, at, out)


def seek_lease(state: State, view: LeaseView, at: float, out: list[Effect]) -> None:
    """Read the lease when its holder has not been heard of, the best-ranked entry first."""
    silent_s = at - view.lead_heard_at
    if silent_s < state.limits.peer_timeout_s:
        return
    position = rendezvous_rank(view.base, lease_candidates(state, at)).index(state.me.name)
    if silent_s < state.limits.peer_timeout_s + position * RANK_DELAY_S:
        return
    read_lease(view, at, out)
    view.next_call_at = at + state.limits.lease_renew_s
    free_at = view.version_seen_at + state.limits.lease_s
    if at < free_at:
        view.next_call_at = min(view.next_call_at, free_at)


def read_lease(view: LeaseView, at: float, out: list[Effect]) -> None:
    """Read the lease object."""
    view.call_started_at = at
    out.append(PlatformGet(LEAD_PREFIX + view.base, LeaseRead(view.base, at)))


def write_lease(state: State, view: LeaseView, epoch: int, at: float, out: list[Effect]) -> None:
    """Take or renew the lease under an epoch."""
    state.leadership.write_count += 1
    nonce = f"{state.boot}/{state.leadership.write_count}"
    purpose = LeaseWrite(view.base, epoch, nonce, at)
    value = {"holder": state.me.name, "epoch": epoch, "nonce": nonce}
    view.call_started_at = at
    view.pending_writes[nonce] = purpose
    out.append(PlatformPut(LEAD_PREFIX + view.base, value, view.version, purpose))


def on_lease_read(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Learn who holds the lease."""
    view = get_lease_view(state, event.purpose.base)
    view.call_started_at = None
    if event.status is CallStatus.NOT_FOUND:
        if view.base not in state.boards:
            view.version = 0
            acquire_lease(state, view, event.at, out)
        return
    if event.status is not CallStatus.OK or event.version < view.version:
        return
    value = event.value
    view.epoch = max(view.epoch, value["epoch"])
    if value["nonce"] == view.release_nonce:
        view.version = event.version
        announce_release(state, view, out)
    elif value["nonce"] in view.pending_writes:
        apply_lease_write(
            state, view, view.pending_writes[value["nonce"]], event.version, event.at, out
        )
    else:
        evaluate_lease(state, view, event, out)


def evaluate_lease(
    state: State, view: LeaseView, event: PlatformAnswered, out: list[Effect]
) -> None:
    """Take over a lease that is free or stood unchanged for long enough."""
    view.release_nonce = ""
    holder = event.value["holder"]
    if event.version == view.version:
        unchanged_s = event.at - view.version_seen_at
    else:
        view.version = event.version
        view.version_seen_at = event.at
        unchanged_s = 0.0
        if view.base in state.boards:
            step_down(state, view, "lease-lost", out)
        view.holder = holder if holder != state.me.name else ""
    if view.base not in state.boards and (not holder or unchanged_s >= state.limits.lease_s):
        acquire_lease(state, view, event.at, out)


def acquire_lease(state: State, view: LeaseView, at: float, out: list[Effect]) -> None:
    """Try to become the lead under the next epoch."""
    if not state.draining:
        lease_lapsed_at = view.version_seen_at + state.limits.lease_use_s
        view.no_lead_since = min(at, max(lease_lapsed_at, at - state.limits.lease_s))
        write_lease(state, view, view.epoch + 1, at, out)


def on_lease_written(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Learn whether the lease was taken or renewed.

    A conflict may come from an own earlier write that landed late, so the object is read before
    anything is given up; until then the time of the last renewal bounds what is done.
    """
    view = get_lease_view(state, event.purpose.base)
    view.call_started_at = None
    if event.status is CallStatus.OK:
        apply_lease_write(state, view, event.purpose, event.version, event.at, out)
    elif event.status is CallStatus.REFUSED:
        view.pending_writes.pop(event.purpose.nonce, None)
    else:
        read_lease(view, event.at, out)


def apply_lease_write(
    state: State, view: LeaseView, write: LeaseWrite, version: int, at: float, out
) -> None:
    """Act as the lead until the time that the write allows."""
    view.version = version
    view.version_seen_at = at
    view.pending_writes.clear()
    if write.epoch < view.epoch:
        return
    view.epoch = write.epoch
    if state.draining:
        release_lease(state, view, at, out)
        return
    view.lead_until = write.sent_at + state.limits.lease_use_s
    if view.base in state.boards:
        return
    if at >= view.lead_until or write.epoch <= view.last_led_epoch:
        acquire_lease(state, view, at, out)
        return
    view.holder = state.me.name
    view.last_led_epoch = view.epoch
    out.append(LogChange("lead-taken", {"base": view.base, "epoch": view.epoch}))
    placement.take_over(state, view.base, view.epoch, at, out)


def step_down(state: State, view: LeaseView, reason: str, out: list[Effect]) -> None:
    """Stop acting as the lead."""
    state.boards.pop(view.base, None)
    view.lead_until = float("-inf")
    view.holder = ""
    out.append(LogChange("lead-given-up", {"base": view.base, "reason": reason}))


def on_lead_claim(
    state: State, sender: str, claim: LeadClaim, at: float, out: list[Effect]
) -> None:
    """Take a lead's word that it leads, and of the lease object that it last wrote."""
    if claim.loading:
        state.leadership.loading_heard_at[claim.base] = at
    if not accept_epoch(state, claim.base, claim.epoch, sender, at, out):
        return
    view = get_lease_view(state, claim.base)
    if claim.version > view.version:
        view.version = claim.version
        view.version_seen_at = at


def accept_epoch(state: State, base: str, epoch: int, sender: str, at: float, out) -> bool:
    """Take note of a lead's epoch; return False if a later one is known."""
    view = get_lease_view(state, base)
    if epoch < view.epoch:
        return False
    if epoch > view.epoch and base in state.boards:
        step_down(state, view, "later-epoch", out)
    view.epoch = epoch
    view.holder = sender
    view.lead_heard_at = at
    return True
