"""Keeps to the limits that endpoints in need name for the requests of all entries together.

A limit is shared without asking anybody: some entries, chosen by rendezvous hash, take equal parts
of it, and the others send nothing there. With more entries each would have to send less than one
request in the time that is counted. An entry that sends sees in each response whether the limit
still holds, and tells the others when it changes.
"""

from __future__ import annotations

from attrs import define

from poplarhoist.decisions.common_effects import Count, LogChange
from poplarhoist.decisions.gateway.broadcast import tell_others
from poplarhoist.decisions.gateway.endpoint_state import EndpointState
from poplarhoist.decisions.gateway.hashing import rendezvous_order
from poplarhoist.decisions.gateway.messages import RequestLimit
from poplarhoist.decisions.gateway.state import GatewayState

# The users' rule: in any window of this length, in seconds, an endpoint gets at most this many times
# its limit and so many requests more.
WINDOW_S = 4.0
LIMIT_RATIO = 1.5
EXTRA_REQUESTS = 5
# Of the extra requests, those kept for entries that do not see the same list of entries.
RESERVED_REQUESTS = 2
# Lowest rate for all entries, in requests a second. Somebody must find out when a limit is lifted.
MIN_REQUESTS_PER_S = 0.1
# Requests that an entry may send at once after a pause.
BURST_REQUESTS = 1.0
# Seconds between two rounds in which a limit is told again, and seconds without news after which one
# more entry takes a part: those that know better may have ended, or the message may be lost.
REPEAT_INTERVAL_S = 2.0
NO_NEWS_S = 10.0
# Rounds in which it is told that a limit was lifted; any message may be lost.
LIFTED_ROUNDS = 3


@define
class Share:
    """This entry's part of a limit, in requests a second; 0 if it has none."""

    requests_per_s: float
    is_first: bool


def on_notice(
    state: GatewayState,
    endpoint: EndpointState,
    requests_per_s: float | None,
    sent_at: float,
    at: float,
    effects: list,
) -> None:
    """Apply what a response says of its endpoint's limit, and tell the others if that is new.

    A response may be overtaken by a later one. So one to a request that was sent before a limit was
    last seen does not lift it, and one from before the news that it was lifted does not name it again.
    """
    limit = endpoint.limit
    if requests_per_s is None and (limit.requests_per_s is None or sent_at <= limit.seen_at):
        return
    if limit.requests_per_s is None and sent_at <= limit.news_at:
        return
    limit.seen_at = at
    if set_limit(state, endpoint, requests_per_s, at, effects):
        limit.told_at = at
        limit.rounds_left = LIFTED_ROUNDS if requests_per_s is None else 0
        tell_all(state, endpoint, effects)


def set_limit(
    state: GatewayState,
    endpoint: EndpointState,
    requests_per_s: float | None,
    at: float,
    effects: list,
) -> bool:
    """Apply a limit or its end; return whether it is new."""
    limit = endpoint.limit
    limit.news_at = at
    if requests_per_s == limit.requests_per_s:
        return False
    if limit.requests_per_s is None:
        limit.tokens, limit.refilled_at = 0.0, at
    limit.requests_per_s = requests_per_s
    fields = {"endpoint": endpoint.record.name, "requests_per_s": requests_per_s}
    effects.append(LogChange("endpoint-limit", fields))
    effects.append(Count("endpoint_limit", ("lifted" if requests_per_s is None else "named",)))
    return True


def tell_all(state: GatewayState, endpoint: EndpointState, effects: list) -> None:
    """Tell all other entries the limit of an endpoint, or that it has none."""
    record = endpoint.record
    message = RequestLimit(record.name, record.incarnation, endpoint.limit.requests_per_s)
    tell_others(state, message, effects)


def on_told(state: GatewayState, message: RequestLimit, at: float, effects: list) -> None:
    """Apply what another entry has seen of a limit; what is told may be a little old."""
    endpoint = state.find_run(message.endpoint, message.incarnation)
    if endpoint is not None:
        endpoint.limit.rounds_left = 0
        set_limit(state, endpoint, message.requests_per_s, at, effects)


def on_slow_tick(state: GatewayState, at: float, interval_factor: float, effects: list) -> None:
    """Tell limits again: those that this entry has seen lately, and those that were lifted."""
    for endpoint in state.endpoints.values():
        limit = endpoint.limit
        if at - limit.told_at < REPEAT_INTERVAL_S * interval_factor:
            continue
        if limit.requests_per_s is not None:
            is_due = limit.seen_at > limit.told_at and share(state, endpoint, at).is_first
        else:
            is_due = limit.rounds_left > 0
        if is_due:
            limit.rounds_left = max(0, limit.rounds_left - 1)
            limit.told_at = at
            tell_all(state, endpoint, effects)


def share(state: GatewayState, endpoint: EndpointState, at: float) -> Share:
    """Return this entry's part of an endpoint's limit.

    At worst all entries with a part send a request at once, on top of the limit. So there are no
    more of them than the rule leaves room for beyond the limit.
    """
    limit = endpoint.limit
    entries = rendezvous_order(endpoint.record.name, state.entries or (state.name,))
    most = int((LIMIT_RATIO - 1.0) * WINDOW_S * limit.requests_per_s + EXTRA_REQUESTS)
    count = most - RESERVED_REQUESTS + int((at - limit.news_at) / NO_NEWS_S)
    count = min(most, len(entries), count)
    if state.name not in entries[:count]:
        return Share(0.0, False)
    rate = max(MIN_REQUESTS_PER_S, limit.requests_per_s)
    return Share(rate / count, state.name == entries[0])


def refill(state: GatewayState, endpoint: EndpointState, at: float) -> float:
    """Add the tokens that have accrued since the last call; return this entry's rate."""
    limit = endpoint.limit
    rate = share(state, endpoint, at).requests_per_s
    limit.tokens = min(BURST_REQUESTS, limit.tokens + rate * max(0.0, at - limit.refilled_at))
    limit.refilled_at = at
    return rate


def may_send(state: GatewayState, endpoint: EndpointState, at: float) -> bool:
    """Return whether an endpoint may get a request of this entry now."""
    if endpoint.limit.requests_per_s is None:
        return True
    refill(state, endpoint, at)
    return endpoint.limit.tokens >= 1.0


def record_sent(endpoint: EndpointState) -> None:
    """Record that a request is sent to an endpoint."""
    if endpoint.limit.requests_per_s is not None:
        endpoint.limit.tokens -= 1.0


def free_in_s(state: GatewayState, endpoint: EndpointState, at: float) -> float:
    """Return the seconds until an endpoint may get a request of this entry.

    For an entry without a part it is the time in which the endpoint takes one of any entry.
    """
    limit = endpoint.limit
    if limit.requests_per_s is None:
        return 0.0
    rate = refill(state, endpoint, at)
    if rate == 0.0:
        return 1.0 / max(MIN_REQUESTS_PER_S, limit.requests_per_s)
    return max(0.0, (1.0 - limit.tokens) / rate)
