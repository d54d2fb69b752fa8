"""Grants tokens of teams' quotas, as their keeper or as their secondary.

A keeper that gives up its role hands its bucket over to its successor. One that begins without that
claims the bucket from entries that may still be the keeper by their own lists, and begins empty.
"""

from __future__ import annotations

import math

from attrs import evolve

from poplarhoist.decisions.common_effects import Count, LogChange
from poplarhoist.decisions.gateway import quota_buckets, quota_roles
from poplarhoist.decisions.gateway.effects import SendPeer
from poplarhoist.decisions.gateway.messages import QuotaAsk, QuotaClaim, QuotaGrant, QuotaHandover
from poplarhoist.decisions.gateway.models import QuotaTerms, Team
from poplarhoist.decisions.gateway.quota_state import TokenBucket
from poplarhoist.decisions.gateway.state import GatewayState

# Seconds without changes of the list of entries after the whole site started, and seconds after the
# start of this process in which the site counts as starting.
SETTLED_S = 1.0
SITE_START_S = 10.0
# Seconds without such a change after which a team that is new in the configuration has no tokens out.
UNCHANGED_S = 5.0
# Seconds for which a bucket that was handed over stays, while its previous keeper is still listed. It
# is below BEGIN_WAIT_S, after which that one, if it has returned to the list, may grant again.
ACCEPTED_S = 1.5
# Seconds after its start in which an entry may be unknown to others.
JOINING_S = 10.0
# Seconds between two claims; several go to an entry before a bucket that it begins anew grows.
CLAIM_INTERVAL_S = 0.75
# Seconds for which answers are remembered; asks are repeated for half a second.
ANSWER_KEPT_S = 2.0
# Seconds after a pause of this process in which asks are ignored that may have waited in its socket.
LATE_ASKS_S = 0.1


def on_teams(state: GatewayState, teams: list[Team], at: float) -> None:
    """Apply the teams of a configuration that comes into force.

    Tokens granted under a higher limit count only if they may still be used.
    """
    quotas = state.quotas
    terms_by_team = {
        team.name: team.quota
        for team in teams
        if team.quota is not None and team.quota.rate_per_s > 0.0
    }
    is_first = not quotas.is_configured
    quotas.is_configured = True
    quotas.new_teams = set() if is_first else terms_by_team.keys() - quotas.terms_by_team.keys()
    quotas.terms_by_team = terms_by_team
    apply_terms(state, at)


def apply_terms(state: GatewayState, at: float) -> None:
    """Apply new terms or settings to the buckets."""
    quotas = state.quotas
    for buckets in (quotas.buckets, quotas.reserves):
        for name in list(buckets):
            terms = quotas.terms_by_team.get(name)
            if terms is None:
                del buckets[name]
                continue
            bucket = buckets[name]
            quota_buckets.refill(bucket, at)
            previous_limit = bucket.window_limit
            quota_buckets.set_terms(bucket, terms, state.limits, buckets is quotas.reserves)
            if bucket.window_limit < previous_limit:
                quota_buckets.forget_granted(bucket, at)


def on_ask(state: GatewayState, sender: str, message: QuotaAsk, at: float, effects: list) -> None:
    """Answer an ask for tokens.

    An entry that does not grant now says so, so that the secondary is asked at once.
    """
    quotas = state.quotas
    quota_roles.refresh(state, at)
    is_known = quota_roles.find_address(state, sender) is not None
    # Any host can send a message.
    is_proper = all(
        math.isfinite(tokens) and tokens >= 0.0 for tokens in (*message.tokens, message.returned)
    )
    is_late = at < quotas.ignore_asks_until and sender != state.name
    if is_late or not is_known or not is_proper:
        return
    team, number = message.team, message.number
    terms = quotas.terms_by_team.get(team)
    if terms is not None:
        sync_team(state, team, terms, quota_roles.may_grow(state, at), at, effects)
    bucket = quotas.buckets.get(team) or quotas.reserves.get(team)
    if bucket is None:
        nothing = QuotaGrant(
            team, number, message.attempt, 0.0, 0.0, quota_buckets.NOT_NOW_S, False
        )
        keeper = quota_roles.roles(state, team, at)[0]
        effects.append(SendPeer(sender, evolve(nothing, other=keeper)))
        return
    for key, (_, answered_at) in list(bucket.answers.items()):
        if at - answered_at <= ANSWER_KEPT_S:
            break
        del bucket.answers[key]
    known = bucket.answers.get((sender, number))
    if known is None:
        known = answer(state, bucket, sender, message, at, effects), at
        bucket.answers[sender, number] = known
    effects.append(SendPeer(sender, known[0]))


def answer(
    state: GatewayState,
    bucket: TokenBucket,
    sender: str,
    message: QuotaAsk,
    at: float,
    effects: list,
) -> QuotaGrant:
    """Grant what a bucket has of an ask, and return the answer."""
    window_s = state.limits.quota_window_s
    team = message.team
    is_keeper = bucket is state.quotas.buckets.get(team)
    quota_buckets.refill(bucket, at)
    quota_buckets.forget_granted(bucket, at - window_s)
    if is_keeper:
        # They stay counted in the window, so that the rule does not depend on what is returned.
        bucket.level = min(bucket.burst, bucket.level + message.returned)
    needs = list(zip(message.tokens, message.priorities, strict=False))
    granted = ahead = retry_s = 0.0
    for index, (need, priority) in enumerate(needs):
        if not quota_buckets.fits(bucket, need, priority, at):
            # Those behind it are less urgent or came later.
            retry_s = quota_buckets.retry_after_s(bucket, need, priority, window_s, at)
            refused = sum(tokens for tokens, _ in needs[index:])
            effects.append(Count("quota_refused", (state.teams.label(team),), refused))
            break
        quota_buckets.take(bucket, need, at + bucket.valid_s)
        granted += need
    if is_keeper and not retry_s:
        ahead = quota_buckets.take_ahead(bucket, sender, granted, at)
    # A bucket that has just begun is no sign that the team has used its quota.
    is_begun = at >= bucket.begins_at
    if granted:
        effects.append(Count("quota_granted", (state.teams.label(team),), granted + ahead))
    return QuotaGrant(
        team=team,
        number=message.number,
        attempt=message.attempt,
        tokens=granted,
        valid_s=bucket.valid_s,
        retry_after_s=round(retry_s, 3),
        is_keeper=is_keeper and is_begun,
        ahead=ahead,
        ahead_valid_s=quota_buckets.AHEAD_VALID_S,
        other=other_keeper(state, team, at) if is_keeper and not is_begun else "",
    )


def other_keeper(state: GatewayState, team: str, at: float) -> str:
    """Return who may grant while this entry's bucket has not begun; empty if nobody is known.

    That is an entry that has just claimed the bucket, or the previous keeper if this entry joined.
    """
    claimant, claimed_at = state.quotas.lost.get(team, ("", float("-inf")))
    if at - claimed_at <= quota_buckets.BEGIN_WAIT_S:
        return claimant
    is_joining = at - state.started_at <= JOINING_S
    return quota_roles.roles(state, team, at)[2] if is_joining else ""


def sync(state: GatewayState, at: float, effects: list) -> None:
    """Begin and end buckets as this entry gets and loses roles."""
    quotas = state.quotas
    may_grow = quota_roles.may_grow(state, at)
    for team, terms in quotas.terms_by_team.items():
        sync_team(state, team, terms, may_grow, at, effects)
    if quotas.buckets:
        quota_roles.probe(state, at, effects)
    quotas.new_teams = set()


def sync_team(
    state: GatewayState, team: str, terms: QuotaTerms, may_grow: bool, at: float, effects: list
) -> None:
    """Begin or end the buckets of one team."""
    quotas = state.quotas
    keeper, secondary, _ = quota_roles.roles(state, team, at)
    is_site_starting = state.is_first_start and at - state.started_at <= SITE_START_S
    unchanged_s = at - quotas.entries_changed_at
    if is_site_starting and unchanged_s < SETTLED_S:
        return
    is_full = is_site_starting or (unchanged_s >= UNCHANGED_S and team in quotas.new_teams)
    is_full = is_full and team not in quotas.lost
    bucket = quotas.buckets.get(team)
    if keeper == state.name:
        if bucket is None:
            bucket = quotas.buckets[team] = quota_buckets.make_bucket(
                terms, state.limits, False, is_full, at
            )
            bucket.may_be_unknown = not is_full and at - state.started_at <= JOINING_S
            fields = {"team": team, "level": round(bucket.level)}
            effects.append(LogChange("quota-keeper-begun", fields))
        claim(state, team, bucket, at, effects)
        if not may_grow:
            quota_buckets.refill(bucket, at)
            bucket.begins_at = max(bucket.begins_at, at + quota_buckets.BEGIN_WAIT_S)
    elif bucket is not None:
        is_kept = keeper == bucket.accepted_from and at - bucket.accepted_at <= ACCEPTED_S
        if not is_kept:
            hand_over(state, team, bucket, keeper, at, effects)
    if secondary != state.name:
        quotas.reserves.pop(team, None)
    elif team not in quotas.reserves:
        quotas.reserves[team] = quota_buckets.make_bucket(terms, state.limits, True, is_full, at)


def claim(state: GatewayState, team: str, bucket: TokenBucket, at: float, effects: list) -> None:
    """Tell entries that may think that they are the keeper that this one is.

    Those are entries that left the list, of which some may still run, and if this entry joined and
    got no bucket, the previous keeper.
    """
    if at - bucket.claimed_at < CLAIM_INTERVAL_S:
        return
    bucket.claimed_at = at
    rivals = quota_roles.departed_keepers(state, team)
    if bucket.may_be_unknown and not bucket.accepted_from:
        rivals.append(quota_roles.roles(state, team, at)[2])
    for rival in rivals:
        if rival:
            effects.append(SendPeer(rival, QuotaClaim(team)))


def on_claim(
    state: GatewayState, sender: str, message: QuotaClaim, at: float, effects: list
) -> None:
    """Hand the bucket of a team over to an entry that is its keeper by its own list.

    If this entry is the keeper by its list, it begins anew, and grants nothing while claims come.
    """
    bucket = state.quotas.buckets.get(message.team)
    if bucket is not None and sender != state.name:
        state.quotas.lost[message.team] = sender, at
        hand_over(state, message.team, bucket, sender, at, effects)


def hand_over(
    state: GatewayState, team: str, bucket: TokenBucket, keeper: str, at: float, effects: list
) -> None:
    """Give a bucket to the new keeper of its team; lost messages cost its tokens."""
    quota_buckets.refill(bucket, at)
    quota_buckets.forget_granted(bucket, at - state.limits.quota_window_s)
    del state.quotas.buckets[team]
    if keeper:
        effects.append(
            SendPeer(keeper, QuotaHandover(team, bucket.level, quota_buckets.ages(bucket, at)))
        )
    fields = {"team": team, "keeper": keeper, "level": round(bucket.level)}
    effects.append(LogChange("quota-keeper-ended", fields))


def on_handover(
    state: GatewayState, sender: str, message: QuotaHandover, at: float, effects: list
) -> None:
    """Take over the bucket of a team whose keeper grants no more.

    If this entry's bucket grows already, both have grown at a time, so that the tokens do not count.
    """
    quotas = state.quotas
    terms = quotas.terms_by_team.get(message.team)
    if terms is None or sender not in state.entries:
        return
    bucket = quotas.buckets.get(message.team)
    if bucket is None:
        bucket = quotas.buckets[message.team] = quota_buckets.make_bucket(
            terms, state.limits, False, False, at
        )
    elif at - bucket.accepted_at <= ACCEPTED_S:
        return
    bucket.accepted_at, bucket.accepted_from = at, sender
    for expires_in_s, tokens in message.granted:
        quota_buckets.record_granted(
            bucket, max(0.0, tokens), at + min(quota_buckets.MAX_VALID_S, expires_in_s)
        )
    if at < bucket.begins_at:
        bucket.level = min(bucket.burst, bucket.level + message.level)
        bucket.refilled_at = bucket.begins_at = at
    elif state.is_first_start and at - state.started_at <= SITE_START_S:
        bucket.level = min(bucket.level, message.level)
    fields = {"team": message.team, "from": sender, "level": round(bucket.level)}
    effects.append(LogChange("quota-keeper-begun", fields))


def on_pause(state: GatewayState, pause_s: float, at: float) -> None:
    """Apply that this process was paused: other entries may have taken its roles meanwhile.

    Its buckets have grown by nothing, and they keep only what a successor's does not hold.
    """
    quotas = state.quotas
    quotas.ignore_asks_until = at + LATE_ASKS_S
    for bucket in (*quotas.buckets.values(), *quotas.reserves.values()):
        held = bucket.burst - bucket.rate_per_s * max(0.0, pause_s - quota_buckets.BEGIN_WAIT_S)
        bucket.level = min(bucket.level, max(0.0, held))
        bucket.refilled_at = at
        bucket.begins_at = max(bucket.begins_at, at + quota_buckets.BEGIN_WAIT_S)
        bucket.accepted_at = float("-inf")
