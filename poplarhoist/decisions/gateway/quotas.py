"""Charges the requests of teams with a quota, over all entries together.

A request needs tokens of its team before it is sent. This entry asks the team's keeper for them, or
the secondary while the keeper is silent or does not grant. Requests that wait at one time share one
ask. Granted tokens expire, so that they are used soon after the keeper has counted them: a request
that waits longer for its endpoint needs new ones, and so does every further run of a request.
"""

from __future__ import annotations

import enum

from attrs import frozen

from poplarhoist.decisions.common_effects import Count, LogChange
from poplarhoist.decisions.gateway import quota_keeper, quota_roles
from poplarhoist.decisions.gateway.effects import SendPeer
from poplarhoist.decisions.gateway.messages import QuotaAsk, QuotaGrant
from poplarhoist.decisions.gateway.models import Prompt, QuotaTerms, Refused
from poplarhoist.decisions.gateway.quota_state import Account, Charge, PendingQuotaAsk
from poplarhoist.decisions.gateway.request_state import RequestState
from poplarhoist.decisions.gateway.state import GatewayState

# Seconds after which an ask is sent again, and how often it is sent to one entry; a round trip
# between regions takes 0.06 s.
RETRY_S = 0.15
ATTEMPTS = 2
# Seconds for which a silent keeper is not asked, and shortest time for which one is not asked that
# says that it does not grant now.
SILENT_S = 5.0
NOT_GRANTING_S = 0.25
# Seconds for which an entry is asked that the keeper named.
OTHER_S = 1.0
# Seconds after which a request that got no answer is refused.
MAX_WAIT_S = 0.5
# Seconds after its beginning up to which the wait of a request goes on that was refused for a moment;
# the next answer comes before the end of the wait.
MAX_HELD_S = 0.3
# Requests in one ask, so that it fits a datagram.
MAX_REQUESTS = 64
# Seconds after which the caller of a request without an answer may come back.
UNKNOWN_RETRY_S = 0.5


class Admission(enum.Enum):
    """Whether a request has its tokens, or waits for them."""

    ADMITTED = "admitted"
    WAITING = "waiting"


@frozen
class Decision:
    """The end of a request's wait for tokens.

    Attributes
    ----------
    refusal : Refused or None
        None if it has its tokens.
    retry_after_s : float
        Seconds until there are tokens for it, if it is refused.
    """

    request: RequestState
    refusal: Refused | None = None
    retry_after_s: float = 0.0


def needed_tokens(quota: QuotaTerms, prompt: Prompt | None) -> float:
    """Return how much of a quota a request uses."""
    if not quota.counts_tokens:
        return 1.0
    told = prompt.tokens + prompt.max_output_tokens if prompt is not None else 0
    return float(told or quota.plain_tokens)


def quota_of(request: RequestState) -> QuotaTerms | None:
    """Return the quota that a request is charged to; None if it costs nothing here."""
    quota = request.team.quota if request.team is not None else None
    if quota is None or quota.rate_per_s <= 0.0 or request.is_relayed:
        return None
    return quota


def admit(state: GatewayState, request: RequestState, at: float, effects: list) -> Admission:
    """Charge a request to its team, or let it wait for tokens.

    A request keeps its charge until it may have run or the tokens expire.
    """
    quota = quota_of(request)
    if quota is None:
        return Admission.ADMITTED
    quotas, name = state.quotas, request.team.name
    account = quotas.accounts.setdefault(name, Account())
    charge = quotas.charges.get(request.request_id)
    if charge is not None:
        is_unused = charge.possible_runs == request.possible_runs
        if is_unused and at < charge.expires_at:
            return Admission.ADMITTED
        if is_unused:
            forfeit(state, name, account, charge.tokens, effects)
        del quotas.charges[request.request_id]
    drop_expired(state, name, account, at, effects)
    # Prepaid tokens go to those that wait already.
    if not account.waiting_since and try_charge(state, account, request, quota):
        return Admission.ADMITTED
    account.waiting_since[request.request_id] = at
    if account.pending is None:
        ask(state, name, account, at, effects)
    return Admission.WAITING


def may_repeat(state: GatewayState, request: RequestState, at: float, effects: list) -> bool:
    """Charge a further run beside a first one from prepaid tokens; return whether there were any."""
    quota = quota_of(request)
    if quota is None:
        return True
    account = state.quotas.accounts.setdefault(request.team.name, Account())
    drop_expired(state, request.team.name, account, at, effects)
    return (
        not account.waiting_since
        and take(account, needed_tokens(quota, request.prompt)) is not None
    )


def try_charge(
    state: GatewayState, account: Account, request: RequestState, quota: QuotaTerms
) -> bool:
    """Charge a request from this entry's tokens; return False if there are too few."""
    tokens = needed_tokens(quota, request.prompt)
    expires_at = take(account, tokens)
    if expires_at is None:
        return False
    state.quotas.charges[request.request_id] = Charge(
        request.team.name, tokens, expires_at, request.possible_runs
    )
    return True


def take(account: Account, tokens: float) -> float | None:
    """Take tokens, those that expire first; return when the first of them expire, None if too few."""
    # Sums of fractions may miss the number by a rounding error.
    if sum(held for _, held in account.prepaid) < tokens - 1e-6:
        return None
    expires_at = float("inf")
    while account.prepaid and tokens > 0.0:
        first_expires_at, held = account.prepaid.pop(0)
        expires_at = min(expires_at, first_expires_at)
        if held > tokens:
            account.prepaid.insert(0, (first_expires_at, held - tokens))
        tokens -= held
    return expires_at


def drop_expired(
    state: GatewayState, team: str, account: Account, at: float, effects: list
) -> None:
    """Forfeit the tokens that were not used in time."""
    while account.prepaid and account.prepaid[0][0] <= at:
        forfeit(state, team, account, account.prepaid.pop(0)[1], effects)


def forfeit(state: GatewayState, team: str, account: Account, tokens: float, effects: list) -> None:
    """Count tokens that expired; they are given back with the next ask."""
    account.expired += tokens
    effects.append(Count("quota_forfeited", (state.teams.label(team),), tokens))


def refund(state: GatewayState, request: RequestState) -> None:
    """Give back the tokens of a request that ends, if it has not used them."""
    charge = state.quotas.charges.pop(request.request_id, None)
    if charge is None or charge.possible_runs != request.possible_runs:
        return
    account = state.quotas.accounts.setdefault(charge.team, Account())
    account.prepaid.append((charge.expires_at, charge.tokens))
    account.prepaid.sort()


def waiting_requests(state: GatewayState, account: Account) -> list[RequestState]:
    """Return the requests that wait for tokens, the most urgent and oldest first.

    Requests that have ended meanwhile are forgotten.
    """
    requests = []
    for request_id in list(account.waiting_since):
        request = state.requests.get(request_id)
        if request is None:
            del account.waiting_since[request_id]
        else:
            requests.append(request)
    return sorted(
        requests, key=lambda request: (request.route.priority, request.first_requested_at)
    )


def ask(state: GatewayState, team: str, account: Account, at: float, effects: list) -> None:
    """Begin an ask for the requests that wait, if there is an entry to ask."""
    account.pending = None
    if at < account.next_ask_at:
        return
    quotas = state.quotas
    keeper, secondary, _ = quota_roles.roles(state, team, at)
    if account.other in state.entries and at < account.other_until:
        to = account.other
    else:
        to = secondary if quotas.silent_until.get(keeper, float("-inf")) > at else keeper
    if not to or not waiting_requests(state, account):
        return
    if not quotas.last_number:
        quotas.last_number = state.random.getrandbits(48)
    quotas.last_number += 1
    account.pending = PendingQuotaAsk(quotas.last_number, to, at, account.expired)
    account.expired = 0.0
    send(state, team, account, at, effects)


def send(state: GatewayState, team: str, account: Account, at: float, effects: list) -> None:
    """Send the pending ask; a repeated one names the same requests, as far as they still wait."""
    pending = account.pending
    pending.sent_at.append(at)
    if not pending.request_ids:
        waiting = waiting_requests(state, account)[:MAX_REQUESTS]
        pending.request_ids = tuple(request.request_id for request in waiting)
        pending.tokens = tuple(
            needed_tokens(request.team.quota, request.prompt) for request in waiting
        )
        pending.priorities = tuple(request.route.priority for request in waiting)
    message = QuotaAsk(
        team,
        pending.number,
        pending.tokens,
        pending.priorities,
        len(pending.sent_at),
        pending.returned,
    )
    effects.append(SendPeer(pending.to, message))


def on_grant(
    state: GatewayState, sender: str, message: QuotaGrant, at: float, effects: list
) -> list[Decision]:
    """Apply an answer; a doubled one, or one that came too late, has no effect."""
    quotas, team = state.quotas, message.team
    account = quotas.accounts.get(team)
    pending = account.pending if account is not None else None
    if pending is None or (pending.number, pending.to) != (message.number, sender):
        return []
    quotas.silent_until.pop(sender, None)
    account.pending = None
    # Counted from the ask, which was sent before the tokens were granted.
    asked_at = pending.sent_at[max(1, min(message.attempt, len(pending.sent_at))) - 1]
    account.prepaid.append((asked_at + message.valid_s, message.tokens))
    account.prepaid.append((asked_at + message.ahead_valid_s, message.ahead))
    account.prepaid = sorted(batch for batch in account.prepaid if batch[1] > 0.0)
    drop_expired(state, team, account, at, effects)
    decisions = charge_waiting(state, account)
    if message.retry_after_s > 0.0:
        decisions += turn_down(state, team, account, pending, message, at)
    if account.waiting_since:
        ask(state, team, account, at, effects)
    return decisions


def charge_waiting(state: GatewayState, account: Account) -> list[Decision]:
    """Charge the requests that wait, in their order, as far as the tokens go."""
    decisions = []
    for request in waiting_requests(state, account):
        if not try_charge(state, account, request, request.team.quota):
            break
        del account.waiting_since[request.request_id]
        decisions.append(Decision(request))
    return decisions


def turn_down(
    state: GatewayState,
    team: str,
    account: Account,
    pending: PendingQuotaAsk,
    message: QuotaGrant,
    at: float,
) -> list[Decision]:
    """Refuse the requests that got no tokens, or let the secondary be asked for them.

    Those for which there are tokens in a moment go on waiting. Only the keeper knows that a quota is
    used up.
    """
    if not message.is_keeper and turn_elsewhere(state, team, account, pending, message, at):
        return []
    reason = Refused.QUOTA if message.is_keeper else Refused.QUOTA_UNKNOWN
    again_at = at + message.retry_after_s
    decisions = []
    for request_id in pending.request_ids:
        since = account.waiting_since.get(request_id)
        if since is None:
            continue
        if again_at <= since + MAX_HELD_S:
            account.next_ask_at = again_at
            continue
        del account.waiting_since[request_id]
        decisions.append(Decision(state.requests[request_id], reason, message.retry_after_s))
    return decisions


def turn_elsewhere(
    state: GatewayState,
    team: str,
    account: Account,
    pending: PendingQuotaAsk,
    message: QuotaGrant,
    at: float,
) -> bool:
    """Choose whom to ask after an entry that does not grant by the whole quota; False if nobody.

    That is the entry that the keeper names, but not a further one that this one names.
    """
    keeper, secondary, _ = quota_roles.roles(state, team, at)
    is_other = bool(account.other)
    account.other = ""
    if message.other and not is_other and message.other != pending.to:
        account.other, account.other_until = message.other, at + OTHER_S
        return True
    if pending.to == secondary or not secondary:
        return False
    wait_s = min(max(NOT_GRANTING_S, message.retry_after_s), SILENT_S)
    state.quotas.silent_until[keeper] = at + wait_s
    return True


def on_tick(state: GatewayState, at: float, effects: list) -> list[Decision]:
    """Repeat unanswered asks, and refuse requests that have waited too long for an answer."""
    decisions = []
    for team, account in list(state.quotas.accounts.items()):
        drop_expired(state, team, account, at, effects)
        for request in waiting_requests(state, account):
            if at - account.waiting_since[request.request_id] >= MAX_WAIT_S:
                del account.waiting_since[request.request_id]
                decisions.append(Decision(request, Refused.QUOTA_UNKNOWN, UNKNOWN_RETRY_S))
        pending = account.pending
        if not account.waiting_since:
            if pending is not None and at - pending.asked_at >= MAX_WAIT_S:
                account.pending = None
            elif pending is None and not account.prepaid:
                del state.quotas.accounts[team]
        elif pending is None:
            ask(state, team, account, at, effects)
        elif at - pending.sent_at[-1] >= RETRY_S:
            if len(pending.sent_at) < ATTEMPTS:
                send(state, team, account, at, effects)
            else:
                on_unanswered(state, team, account, at, effects)
    return decisions


def on_unanswered(
    state: GatewayState, team: str, account: Account, at: float, effects: list
) -> None:
    """Ask the secondary in place of a silent keeper, or the keeper's successor."""
    pending = account.pending
    keeper, secondary, _ = quota_roles.roles(state, team, at)
    role = "secondary" if pending.to == secondary else "keeper"
    effects.append(Count("quota_unanswered", (role,)))
    account.other = ""
    if pending.to != secondary:
        state.quotas.silent_until[keeper] = at + SILENT_S
        effects.append(LogChange("quota-keeper-silent", {"team": team, "peer": pending.to}))
    ask(state, team, account, at, effects)


def on_slow_tick(state: GatewayState, at: float, effects: list) -> None:
    """Begin and end this entry's roles, and forget charges of requests that have ended."""
    quotas = state.quotas
    quota_roles.refresh(state, at)
    if not quotas.terms_by_team and not quotas.charges:
        return
    quota_keeper.sync(state, at, effects)
    for request_id in [name for name in quotas.charges if name not in state.requests]:
        del quotas.charges[request_id]
