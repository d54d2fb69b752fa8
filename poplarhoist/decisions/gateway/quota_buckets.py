"""The token buckets of teams' quotas, at their keepers and secondaries.

The rule counts requests when they reach endpoints, which is up to `valid_s` after their tokens were
granted. So a bucket also limits the tokens that may be used in any one window of the rule: those
granted in the window, and those granted before it that had not expired when it began. The limit is
the quota and a part of what the rule permits beyond it. The secondary, which cannot know what the
keeper grants meanwhile, has another part for itself.
"""

from __future__ import annotations

import math
from collections import deque

from poplarhoist.decisions.gateway.limits import GatewayLimits
from poplarhoist.decisions.gateway.models import QuotaTerms
from poplarhoist.decisions.gateway.quota_state import TokenBucket

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
# Seconds of a slice of granted tokens, which count until the end of the slice in which they expire;
# longer in messages, so that a few slices hold them.
SLICE_S = 0.05
HANDOVER_SLICE_S = 0.5
# Shortest and longest time in seconds that a refused ask is told to wait, and the time told by an
# entry that does not grant now.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 10.0
NOT_NOW_S = 0.2


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


def make_bucket(
    terms: QuotaTerms, limits: GatewayLimits, is_reserve: bool, is_full: bool, at: float
) -> TokenBucket:
    """Return a new bucket: full, or empty and not growing for `BEGIN_WAIT_S`."""
    begins_at = at if is_full else at + BEGIN_WAIT_S
    bucket = TokenBucket(refilled_at=at, begins_at=begins_at)
    set_terms(bucket, terms, limits, is_reserve)
    bucket.level = bucket.burst if is_full else 0.0
    return bucket


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


def ages(bucket: TokenBucket, at: float) -> tuple[tuple[float, float], ...]:
    """Return when the granted tokens expire, in seconds from now, in slices of `HANDOVER_SLICE_S`."""
    by_slice: dict[int, float] = {}
    for index, tokens in bucket.granted.items():
        coarse = math.ceil((index * SLICE_S - at) / HANDOVER_SLICE_S)
        by_slice[coarse] = by_slice.get(coarse, 0.0) + tokens
    return tuple((coarse * HANDOVER_SLICE_S, tokens) for coarse, tokens in by_slice.items())
