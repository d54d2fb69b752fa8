"""Grants tokens of teams' quotas, as their keeper or as their secondary.

The rule counts requests when they reach endpoints, which is up to `valid_s` after their tokens were
granted. So a bucket also limits the tokens that may be used in any one window of the rule: those
granted in the window, and those granted before it that had not expired when it began. The limit is
the quota and a part of what the rule permits beyond it. The secondary, which cannot know what the
keeper grants meanwhile, has another part for itself.
"""

from __future__ import annotations

import math
from collections import deque

from attrs import evolve

from poplarhoist.decisions.common_effects import Count, LogChange
from poplarhoist.decisions.gateway import quota_roles
from poplarhoist.decisions.gateway.effects import SendPeer
from poplarhoist.decisions.gateway.limits import GatewayLimits
from poplarhoist.decisions.gateway.messages import QuotaAsk, QuotaGrant, QuotaHandover
from poplarhoist.decisions.gateway.models import QuotaTerms, Team
from poplarhoist.decisions.gateway.quota_state import TokenBucket
from poplarhoist.decisions.gateway.state import GatewayState

# Parts of what the rule permits beyond the quota: for the secondary, and for tokens of the keeper
# that are used later than they were granted, and urgent requests. The rest covers requests that take
# longer to their endpoints than others.
RESERVE_SHARE = 0.7
KEEPER_SHARE = 0.2
# Seconds of its rate that the secondary's bucket holds.
RESERVE_BURST_S = 1.0
# Parts of the keeper's part: for tokens that are used later, and by which urgent requests may overdraw
# the bucket. The rest covers the last request that is granted beyond that.
VALID_SHARE = 0.4
OVERDRAFT_SHARE = 0.3
# Most and fewest seconds in which granted tokens are to be used. An answer takes 0.06 s between
# regions.
MAX_VALID_S = 2.0
MIN_VALID_S = 0.2
RESERVE_VALID_S = 0.5
# The same for tokens that are granted ahead.
AHEAD_VALID_S = 2.0
# Seconds in which an entry that lost a role learns of it; a bucket that begins does not grow before.
# It is not below MAX_VALID_S, so that tokens of a predecessor that died have expired.
BEGIN_WAIT_S = 2.0
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
# Part of the burst that may be granted ahead of requests, lowest level for that as a part of the
# burst, and the asks of one entry in so many seconds that make it a steady one.
AHEAD_SHARE = 0.25
AHEAD_LEVEL = 0.5
STEADY_ASKS = 3
STEADY_S = 2.0
# Entries whose asks are counted; a site has up to 300.
MAX_ASKERS = 1000
# Priority at which and below which requests may not overdraw the bucket.
PATIENT_PRIORITY = 2
# Seconds for which answers are remembered; asks are repeated for half a second.
ANSWER_KEPT_S = 2.0
# Seconds of a slice of granted tokens, which count until the end of the slice in which they expire;
# longer in messages, so that a few slices hold them.
SLICE_S = 0.05
HANDOVER_SLICE_S = 0.5
# Shortest and longest time in seconds that a refused ask is told to wait, and the time told by an
# entry that does not grant now.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 10.0
NOT_NOW_S = 0.2
# Seconds after a pause of this process in which asks are ignored that may have waited in its socket.
LATE_ASKS_S = 0.1
# Teams with a label of their own in metrics.
MAX_LABELS = 32
OTHER_LABEL = "other"


def permitted_excess(terms: QuotaTerms, limits: GatewayLimits) -> float:
    """Return the tokens beyond the quota that the rule permits in one window."""
    quota = terms.rate_per_s * limits.quota_window_s + terms.burst
    return limits.quota_over * quota + limits.quota_slack


def set_terms(
    bucket: TokenBucket, terms: QuotaTerms, limits: GatewayLimits, is_reserve: bool
) -> None:
    """Set rate, burst and limits of a bucket; its level is cut to the new burst."""
    excess = permitted_excess(terms, limits)
    window_s = limits.quota_window_s
    if is_reserve:
        bucket.rate_per_s = RESERVE_SHARE * excess / window_s
        bucket.burst = RESERVE_BURST_S * bucket.rate_per_s
        bucket.window_limit = RESERVE_SHARE * excess
        bucket.overdraft = 0.0
        bucket.valid_s = RESERVE_VALID_S
    else:
        bucket.rate_per_s, bucket.burst = terms.rate_per_s, terms.burst
        part = KEEPER_SHARE * excess
        bucket.overdraft = OVERDRAFT_SHARE * part
        bucket.window_limit = terms.rate_per_s * window_s + terms.burst + part
        valid_s = VALID_SHARE * part / terms.rate_per_s
        bucket.valid_s = min(MAX_VALID_S, max(MIN_VALID_S, valid_s))
    bucket.level = min(bucket.level, bucket.burst)


def make_bucket(state, terms: QuotaTerms, is_reserve: bool, is_full: bool, at: float):
    """Return a new bucket: full, or empty and not growing for `BEGIN_WAIT_S`."""
    begins_at = at if is_full else at + BEGIN_WAIT_S
    bucket = TokenBucket(refilled_at=at, begins_at=begins_at)
    set_terms(bucket, terms, state.limits, is_reserve)
    bucket.level = bucket.burst if is_full else 0.0
    return bucket


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
            refill(bucket, at)
            previous_limit = bucket.window_limit
            set_terms(bucket, terms, state.limits, buckets is quotas.reserves)
            if bucket.window_limit < previous_limit:
                forget_granted(bucket, at)


def label(state: GatewayState, team: str) -> str:
    """Return the label of a team in metrics; only the first teams have one of their own."""
    labels = state.quotas.labels
    if team not in labels and len(labels) < MAX_LABELS:
        labels[team] = team
    return labels.get(team, OTHER_LABEL)


def refill(bucket: TokenBucket, at: float) -> None:
    """Add the tokens that have accrued since the last call."""
    elapsed_s = max(0.0, at - max(bucket.refilled_at, bucket.begins_at))
    bucket.level = min(bucket.burst, bucket.level + bucket.rate_per_s * elapsed_s)
    bucket.refilled_at = max(bucket.refilled_at, at)


def forget_granted(bucket: TokenBucket, oldest: float) -> None:
    """Forget granted tokens that had expired by a time."""
    for index in [index for index in bucket.granted if index * SLICE_S <= oldest]:
        del bucket.granted[index]


def granted_tokens(bucket: TokenBucket) -> float:
    """Return the granted tokens that may be used in the present window."""
    return sum(bucket.granted.values())


def record_granted(bucket: TokenBucket, tokens: float, expires_at: float) -> None:
    """Count tokens that may be used until they expire."""
    index = math.ceil(expires_at / SLICE_S)
    bucket.granted[index] = bucket.granted.get(index, 0.0) + tokens


def least_level(bucket: TokenBucket, need: float, priority: int) -> float:
    """Return the level from which on a request gets its tokens, which may take it below zero.

    It does not depend on the size of usual requests, else large urgent ones would find tokens more
    rarely than small ones that are less urgent.
    """
    if need > bucket.burst + bucket.rate_per_s:
        return bucket.burst
    return -bucket.overdraft * max(0.0, 1.0 - max(0, priority) / PATIENT_PRIORITY)


def fits(bucket: TokenBucket, need: float, priority: int, at: float) -> bool:
    """Return whether a bucket has the tokens of a request; before it begins, only what it holds."""
    least = least_level(bucket, need, priority) if at >= bucket.begins_at else need
    return bucket.level >= least and granted_tokens(bucket) + need <= bucket.window_limit


def take(bucket: TokenBucket, tokens: float, expires_at: float) -> None:
    """Take granted tokens out of a bucket."""
    bucket.level -= tokens
    record_granted(bucket, tokens, expires_at)


def take_ahead(bucket: TokenBucket, sender: str, asked: float, at: float) -> float:
    """Grant tokens ahead to an entry that asks steadily; return how many."""
    asks = bucket.asks_by_entry.setdefault(sender, deque())
    asks.append((at, asked))
    while asks[0][0] < at - STEADY_S:
        asks.popleft()
    if len(bucket.asks_by_entry) > MAX_ASKERS:
        bucket.asks_by_entry.clear()
    while bucket.prepaid and bucket.prepaid[0][0] <= at:
        bucket.prepaid.popleft()
    if len(asks) < STEADY_ASKS:
        return 0.0
    usual = sum(tokens for _, tokens in asks) / STEADY_S * AHEAD_VALID_S / 2.0
    unused = sum(tokens for _, tokens in bucket.prepaid)
    ahead = min(
        usual,
        AHEAD_SHARE * bucket.burst - unused,
        bucket.level - AHEAD_LEVEL * bucket.burst,
        bucket.window_limit - granted_tokens(bucket),
    )
    # Fewer tokens than a request needs would only expire.
    if ahead < asked:
        return 0.0
    bucket.prepaid.append((at + AHEAD_VALID_S, ahead))
    take(bucket, ahead, at + AHEAD_VALID_S)
    return ahead


def retry_after_s(
    bucket: TokenBucket, need: float, priority: int, window_s: float, at: float
) -> float:
    """Return the seconds until a bucket has the tokens of a request and of those refused before."""
    lacking = least_level(bucket, need, priority) - bucket.level
    ready_at = max(at, bucket.begins_at) + max(0.0, lacking) / bucket.rate_per_s
    excess = granted_tokens(bucket) + need - bucket.window_limit
    for index in sorted(bucket.granted):
        if excess <= 0.0:
            break
        excess -= bucket.granted[index]
        ready_at = max(ready_at, index * SLICE_S + window_s)
    ready_at = min(max(ready_at, bucket.promised_until), at + MAX_RETRY_S)
    bucket.promised_until = ready_at + min(need, bucket.burst) / bucket.rate_per_s
    return max(MIN_RETRY_S, ready_at - at)


def on_ask(state: GatewayState, sender: str, message: QuotaAsk, at: float, effects: list) -> None:
    """Answer an ask for tokens.

    An entry that does not grant now says so, so that the secondary is asked at once.
    """
    quotas = state.quotas
    quota_roles.refresh(state, at)
    is_known = quota_roles.find_entry(state, sender) is not None
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
        nothing = QuotaGrant(team, number, message.attempt, 0.0, 0.0, NOT_NOW_S, False)
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
    refill(bucket, at)
    forget_granted(bucket, at - window_s)
    if is_keeper:
        # They stay counted in the window, so that the rule does not depend on what is returned.
        bucket.level = min(bucket.burst, bucket.level + message.returned)
    needs = list(zip(message.tokens, message.priorities, strict=False))
    granted = ahead = retry_s = 0.0
    for index, (need, priority) in enumerate(needs):
        if not fits(bucket, need, priority, at):
            # Those behind it are less urgent or came later.
            retry_s = retry_after_s(bucket, need, priority, window_s, at)
            refused = sum(tokens for tokens, _ in needs[index:])
            effects.append(Count("quota_refused", (label(state, team),), refused))
            break
        take(bucket, need, at + bucket.valid_s)
        granted += need
    if is_keeper and not retry_s:
        ahead = take_ahead(bucket, sender, granted, at)
    # A bucket that has just begun is no sign that the team has used its quota. If this entry joined
    # lately, the previous keeper may not know of it yet.
    is_begun = at >= bucket.begins_at
    is_new = is_keeper and not is_begun and at - state.started_at <= JOINING_S
    if granted:
        effects.append(Count("quota_granted", (label(state, team),), granted + ahead))
    return QuotaGrant(
        team=team,
        number=message.number,
        attempt=message.attempt,
        tokens=granted,
        valid_s=bucket.valid_s,
        retry_after_s=round(retry_s, 3),
        is_keeper=is_keeper and is_begun,
        ahead=ahead,
        ahead_valid_s=AHEAD_VALID_S,
        other=quota_roles.roles(state, team, at)[2] if is_new else "",
    )


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
    bucket = quotas.buckets.get(team)
    if keeper == state.name:
        if bucket is None:
            bucket = quotas.buckets[team] = make_bucket(state, terms, False, is_full, at)
            fields = {"team": team, "level": round(bucket.level)}
            effects.append(LogChange("quota-keeper-begun", fields))
        if not may_grow:
            refill(bucket, at)
            bucket.begins_at = max(bucket.begins_at, at + BEGIN_WAIT_S)
    elif bucket is not None:
        is_kept = keeper == bucket.accepted_from and at - bucket.accepted_at <= ACCEPTED_S
        if not is_kept:
            hand_over(state, team, bucket, keeper, at, effects)
    if secondary != state.name:
        quotas.reserves.pop(team, None)
    elif team not in quotas.reserves:
        quotas.reserves[team] = make_bucket(state, terms, True, is_full, at)


def ages(bucket: TokenBucket, at: float) -> tuple[tuple[float, float], ...]:
    """Return when the granted tokens expire, in seconds from now, in slices of `HANDOVER_SLICE_S`."""
    by_slice: dict[int, float] = {}
    for index, tokens in bucket.granted.items():
        coarse = math.ceil((index * SLICE_S - at) / HANDOVER_SLICE_S)
        by_slice[coarse] = by_slice.get(coarse, 0.0) + tokens
    return tuple((coarse * HANDOVER_SLICE_S, tokens) for coarse, tokens in by_slice.items())


def hand_over(
    state: GatewayState, team: str, bucket: TokenBucket, keeper: str, at: float, effects: list
) -> None:
    """Give a bucket to the new keeper of its team; lost messages cost its tokens."""
    refill(bucket, at)
    forget_granted(bucket, at - state.limits.quota_window_s)
    del state.quotas.buckets[team]
    if keeper:
        effects.append(SendPeer(keeper, QuotaHandover(team, bucket.level, ages(bucket, at))))
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
        bucket = quotas.buckets[message.team] = make_bucket(state, terms, False, False, at)
    elif at - bucket.accepted_at <= ACCEPTED_S:
        return
    bucket.accepted_at, bucket.accepted_from = at, sender
    for expires_in_s, tokens in message.granted:
        record_granted(bucket, max(0.0, tokens), at + min(MAX_VALID_S, expires_in_s))
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
        held = bucket.burst - bucket.rate_per_s * max(0.0, pause_s - BEGIN_WAIT_S)
        bucket.level = min(bucket.level, max(0.0, held))
        bucket.refilled_at = at
        bucket.begins_at = max(bucket.begins_at, at + BEGIN_WAIT_S)
        bucket.accepted_at = float("-inf")
