"""Leader election for each base model, by a lease object on the platform.

The lease does not depend on synchronized wall clocks. A candidate takes over once the lease object
has not changed for ``lease_s`` on the candidate's own monotonic clock. The lead stops acting
``lease_use_s`` after it sent its last successful renewal. Each takeover has a new epoch, which
fences the orders of earlier leads.
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
from poplarhoist.decisions.intent_state import OpenOrder
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
    """What this entry knows of the lease of one base model.

    Attributes
    ----------
    holder : str
        Name of the lead; empty if none is known.
    epoch : int
        Highest epoch seen.
    version, version_seen_at : int, float
        Version of the lease object, and when that version was first seen.
    lead_until : float
        Until when this entry may act as the lead; minus infinity if it is not the lead.
    lead_heard_at : float
        When a message of the lead, with its epoch, last arrived.
    call_started_at : float or None
        When the lease call in flight was started; None if there is none.
    next_call_at : float
        When the next lease call is due.
    pending_writes : dict
        Lease writes without a known result, by nonce; each may have taken effect or still may.
    last_led_epoch : int
        Latest epoch under which this entry acted as the lead; no epoch is used twice.
    no_lead_since : float
        End of the period in which another entry may have led, computed when this entry last tried
        to acquire the lease; infinity before the first attempt.
    release_nonce : str
        Nonce of the release in flight; empty if there is none.
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
    """State of the leader election for all base models.

    Attributes
    ----------
    leases_by_base : dict
        What is known of each lease, by base model.
    write_count : int
        Number of lease writes by this process; it makes their nonces unique.
    open_orders : dict
        Orders that this entry sent and that may still take effect, by order id. They are kept when
        another entry becomes the lead.
    loading_heard_at : dict
        When the lead of each base model last stated that it needs a share of the weight store's
        load rate.
    """

    leases_by_base: dict[str, LeaseView] = field(factory=dict)
    write_count: int = 0
    open_orders: dict[str, OpenOrder] = field(factory=dict)
    loading_heard_at: dict[str, float] = field(factory=dict)


def known_lead(state: State, base: str) -> str:
    """Return the name of a base model's lead; empty if this entry knows of none."""
    view = state.leadership.leases_by_base.get(base)
    return view.holder if view else ""


def get_lease_view(state: State, base: str) -> LeaseView:
    """Return what is known of a base model's lease; an empty view is created on first use."""
    view = state.leadership.leases_by_base.get(base)
    if view is None:
        view = state.leadership.leases_by_base[base] = LeaseView(base)
    return view


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Renew each lease that this entry holds and check the others, as they are due."""
    for base in state.members.engines_by_base:
        advance_lease(state, get_lease_view(state, base), at, out)


def expire_leases(state: State, at: float, out: list[Effect]) -> None:
    """Stop acting as the lead wherever the lease has run out; called before each event."""
    for base in list(state.boards):
        view = state.leadership.leases_by_base[base]
        if at >= view.lead_until:
            step_down(state, view, "lease-ran-out", out)


def release_all_leases(state: State, at: float, out: list[Effect]) -> None:
    """Stop leading all base models, and release the leases so that others need not wait."""
    for base in list(state.boards):
        view = state.leadership.leases_by_base[base]
        step_down(state, view, "draining", out)
        release_lease(state, view, at, out)


def release_lease(state: State, view: LeaseView, at: float, out: list[Effect]) -> None:
    """Write a lease object without a holder, so that any entry may acquire it at once."""
    nonce = f"{state.boot}/released/{view.epoch}"
    view.release_nonce = nonce
    view.call_started_at = at
    value = {"holder": "", "epoch": view.epoch, "nonce": nonce}
    out.append(PlatformPut(LEAD_PREFIX + view.base, value, view.version, LeaseRelease(view.base)))


def is_releasing(state: State) -> bool:
    """Return whether the release of any lease is in flight."""
    return any(view.release_nonce for view in state.leadership.leases_by_base.values())


def on_release_answered(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Announce a lease that was released, or read it if the result of the write is not known.

    A release that certainly had no effect is given up; the lease then runs out by itself.
    """
    view = get_lease_view(state, event.purpose.base)
    view.call_started_at = None
    if event.status is CallStatus.OK:
        announce_release(state, view, out)
    elif event.status is CallStatus.REFUSED:
        view.release_nonce = ""
    else:
        read_lease(view, event.at, out)


def announce_release(state: State, view: LeaseView, out: list[Effect]) -> None:
    """Send ``LeadReleased`` to all peers."""
    view.release_nonce = ""
    for peer in state.members.peers:
        out.append(SendMessage(peer, LeadReleased(view.base, view.epoch)))


def on_lead_released(state: State, sender: str, message: LeadReleased, at: float) -> None:
    """Make a lease that its holder released due for acquisition at once."""
    view = get_lease_view(state, message.base)
    if message.epoch < view.epoch or view.base in state.boards:
        return
    view.holder = ""
    view.lead_heard_at = at - state.limits.peer_timeout_s
    view.next_call_at = at


def advance_lease(state: State, view: LeaseView, at: float, out: list[Effect]) -> None:
    """Make the lease call that is due, if any.

    At most one call for each lease is awaited. After ``LEASE_CALL_TIMEOUT_S`` without an answer
    the next call may be made, and a release in flight is no longer waited for.
    """
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
    """Read the lease if its holder has been silent for ``peer_timeout_s``.

    The live entries are ranked for each base model, and each waits ``RANK_DELAY_S`` longer than the
    one before it, so that usually only the first competes for the lease.
    """
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
    """Read the lease object; ``on_lease_read`` handles the answer."""
    view.call_started_at = at
    out.append(PlatformGet(LEAD_PREFIX + view.base, LeaseRead(view.base, at)))


def write_lease(state: State, view: LeaseView, epoch: int, at: float, out: list[Effect]) -> None:
    """Write the lease object with this entry as the holder, to acquire or renew the lease."""
    state.leadership.write_count += 1
    nonce = f"{state.boot}/{state.leadership.write_count}"
    purpose = LeaseWrite(view.base, epoch, nonce, at)
    value = {"holder": state.me.name, "epoch": epoch, "nonce": nonce}
    view.call_started_at = at
    view.pending_writes[nonce] = purpose
    out.append(PlatformPut(LEAD_PREFIX + view.base, value, view.version, purpose))


def on_lease_read(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Handle the lease object that was read.

    The nonce in the object tells whether this entry's own release or one of its writes without a
    known result has taken effect.
    """
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
    """Acquire a lease that is free or whose object has not changed for ``lease_s``.

    This entry stops acting as the lead if the object was changed by a write that is not its own.
    """
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
    """Write the lease object under the next epoch, unless this entry is draining."""
    if not state.draining:
        lease_lapsed_at = view.version_seen_at + state.limits.lease_use_s
        view.no_lead_since = min(at, max(lease_lapsed_at, at - state.limits.lease_s))
        write_lease(state, view, view.epoch + 1, at, out)


def on_lease_written(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Handle the result of a lease write.

    A conflict may be due to an earlier write of this entry that took effect late, so the lease
    object is read before the lead is given up. Until then ``lead_until``, which follows from the
    last successful renewal, limits how long this entry acts as the lead.
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
    """Apply a lease write that took effect: become or stay the lead until the lease runs out.

    The lease term is counted from the time at which the write was sent. If the lease has already
    run out, or this entry has already led under this epoch, it is acquired again under a new
    epoch. A draining entry releases the lease instead.
    """
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
    """Stop acting as the lead of a base model and drop the lead's state."""
    state.boards.pop(view.base, None)
    view.lead_until = float("-inf")
    view.holder = ""
    out.append(LogChange("lead-given-up", {"base": view.base, "reason": reason}))


def on_lead_claim(
    state: State, sender: str, claim: LeadClaim, at: float, out: list[Effect]
) -> None:
    """Handle a peer's statement in a heartbeat that it leads a base model.

    A claim with a higher lease version restarts the lease timeout, as if the change had been read
    now.
    """
    if claim.loading:
        state.leadership.loading_heard_at[claim.base] = at
    if not accept_epoch(state, claim.base, claim.epoch, sender, at, out):
        return
    view = get_lease_view(state, claim.base)
    if claim.version > view.version:
        view.version = claim.version
        view.version_seen_at = at


def accept_epoch(state: State, base: str, epoch: int, sender: str, at: float, out) -> bool:
    """Record a lead and its epoch from a message of the lead.

    If the epoch is later than one under which this entry leads, this entry steps down.

    Returns
    -------
    bool
        False if a later epoch is known, so the message has to be dropped.
    """
    view = get_lease_view(state, base)
    if epoch < view.epoch:
        return False
    if epoch > view.epoch and base in state.boards:
        step_down(state, view, "later-epoch", out)
    view.epoch = epoch
    view.holder = sender
    view.lead_heard_at = at
    return True
