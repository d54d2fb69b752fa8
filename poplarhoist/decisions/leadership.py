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
)
from poplarhoist.decisions.events import CallStatus, PlatformAnswered
from poplarhoist.decisions.membership import live_entries, rank

if TYPE_CHECKING:
    from poplarhoist.decisions.effects import Effect
    from poplarhoist.decisions.state import State

LEAD_PREFIX = "leads/"
CALL_TIMEOUT_S = 2.0
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
    """

    base: str
    holder: str = ""
    epoch: int = 0
    version: int = 0
    seen_at: float = float("-inf")
    mine_until: float = float("-inf")
    claimed_at: float = float("-inf")
    call_since: float | None = None
    next_call_at: float = 0.0
    attempted: dict[str, LeaseWrite] = field(factory=dict)


@define
class LeadershipState:
    """Leases by base model.

    Attributes
    ----------
    writes : int
        Lease writes so far, to tell them apart.
    open_orders : dict
        Base model by id of each order that may still be under way, whoever leads now.
    """

    by_base: dict[str, LeaseView] = field(factory=dict)
    writes: int = 0
    open_orders: dict[str, str] = field(factory=dict)


def known_lead(state: State, base: str) -> str:
    """Return the name of the lead of a base model as far as known; empty if none."""
    view = state.leadership.by_base.get(base)
    return view.holder if view else ""


def view_of(state: State, base: str) -> LeaseView:
    """Return the view of a base model's lease, made on first use."""
    view = state.leadership.by_base.get(base)
    if view is None:
        view = state.leadership.by_base[base] = LeaseView(base)
    return view


def on_tick(state: State, at: float, out: list[Effect]) -> None:
    """Renew, give up or seek each lease as is due."""
    for base in state.members.engines_by_base:
        advance(state, view_of(state, base), at, out)


def expire(state: State, at: float, out: list[Effect]) -> None:
    """Stop leading every base model whose lease ran out; called before each event."""
    for base in list(state.boards):
        view = state.leadership.by_base[base]
        if at >= view.mine_until:
            step_down(state, view, "lease-ran-out", out)


def hand_over(state: State, at: float, out: list[Effect]) -> None:
    """Give up all leads at once and let others take them without waiting."""
    for base in list(state.boards):
        view = state.leadership.by_base[base]
        step_down(state, view, "draining", out)
        value = {"holder": "", "epoch": view.epoch, "nonce": f"{state.boot}/released"}
        out.append(PlatformPut(LEAD_PREFIX + base, value, view.version, LeaseRelease(base)))


def advance(state: State, view: LeaseView, at: float, out: list[Effect]) -> None:
    """Do what is due for one lease."""
    if view.call_since is not None:
        if at - view.call_since < CALL_TIMEOUT_S:
            return
        view.call_since = None
    if at < view.next_call_at:
        return
    if view.base in state.boards:
        write_lease(state, view, view.epoch, at, out)
        view.next_call_at = at + state.limits.lease_renew_s
    elif not state.draining and state.config.index is not None:
        seek(state, view, at, out)


def seek(state: State, view: LeaseView, at: float, out: list[Effect]) -> None:
    """Read the lease when its holder has not been heard of, the best-ranked entry first."""
    place = rank(view.base, live_entries(state, at)).index(state.me.name)
    quiet_s = at - view.claimed_at
    if quiet_s < state.limits.peer_timeout_s + place * RANK_DELAY_S:
        return
    view.call_since = at
    view.next_call_at = at + state.limits.lease_renew_s
    out.append(PlatformGet(LEAD_PREFIX + view.base, LeaseRead(view.base, at)))


def write_lease(state: State, view: LeaseView, epoch: int, at: float, out: list[Effect]) -> None:
    """Take or renew the lease under an epoch."""
    state.leadership.writes += 1
    nonce = f"{state.boot}/{state.leadership.writes}"
    purpose = LeaseWrite(view.base, epoch, nonce, at)
    value = {"holder": state.me.name, "epoch": epoch, "nonce": nonce}
    view.call_since = at
    view.attempted[nonce] = purpose
    out.append(PlatformPut(LEAD_PREFIX + view.base, value, view.version, purpose))


def on_read(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Learn the lease's holder; take it over if it stood unchanged for long enough."""
    view = view_of(state, event.purpose.base)
    view.call_since = None
    if event.status is CallStatus.NOT_FOUND:
        view.version = 0
        write_lease(state, view, view.epoch + 1, event.at, out)
        return
    if event.status is not CallStatus.OK:
        return
    value = event.value
    if settle_lost_write(state, view, event, out):
        return
    if not value["holder"]:
        view.version = event.version
        write_lease(state, view, max(view.epoch, value["epoch"]) + 1, event.at, out)
        return
    if event.version != view.version:
        view.version = event.version
        view.seen_at = event.at
        view.holder = value["holder"]
        view.epoch = max(view.epoch, value["epoch"])
        return
    if event.at - view.seen_at >= state.limits.lease_s:
        write_lease(state, view, max(view.epoch, value["epoch"]) + 1, event.at, out)


def settle_lost_write(state: State, view: LeaseView, event: PlatformAnswered, out) -> bool:
    """Recognise an own write whose answer was lost; return whether it was one."""
    attempted = view.attempted.get(event.value["nonce"])
    if attempted is None:
        return False
    hold(state, view, attempted, event.version, event.at, out)
    return True


def on_write(state: State, event: PlatformAnswered, out: list[Effect]) -> None:
    """Learn whether the lease was taken or renewed."""
    view = view_of(state, event.purpose.base)
    view.call_since = None
    if event.status is CallStatus.OK:
        hold(state, view, event.purpose, event.version, event.at, out)
        return
    if event.status is CallStatus.CONFLICT and view.base in state.boards:
        step_down(state, view, "lease-lost", out)
    view.claimed_at = float("-inf")
    view.call_since = event.at
    out.append(PlatformGet(LEAD_PREFIX + view.base, LeaseRead(view.base, event.at)))


def hold(state: State, view: LeaseView, write: LeaseWrite, version: int, at: float, out) -> None:
    """Act as the lead until the time that the write allows."""
    view.version = version
    view.seen_at = at
    view.attempted.clear()
    if write.epoch < view.epoch:
        return
    view.holder = state.me.name
    view.epoch = write.epoch
    view.mine_until = write.sent_at + state.limits.lease_use_s
    if view.base in state.boards or at >= view.mine_until or state.draining:
        return
    out.append(LogChange("lead-taken", {"base": view.base, "epoch": view.epoch}))
    placement.take_over(state, view.base, view.epoch, at, out)


def step_down(state: State, view: LeaseView, reason: str, out: list[Effect]) -> None:
    """Stop acting as the lead."""
    state.boards.pop(view.base, None)
    view.mine_until = float("-inf")
    view.holder = ""
    out.append(LogChange("lead-given-up", {"base": view.base, "reason": reason}))


def note_epoch(state: State, base: str, epoch: int, sender: str, at: float, out) -> bool:
    """Take note of a lead's epoch; return False if a later one is known."""
    view = view_of(state, base)
    if epoch < view.epoch:
        return False
    if epoch > view.epoch and base in state.boards:
        step_down(state, view, "later-epoch", out)
    view.epoch = epoch
    view.holder = sender
    view.claimed_at = at
    return True
