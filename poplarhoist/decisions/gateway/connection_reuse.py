"""Decides what may be sent over a kept connection, and which connections are kept for how long.

An endpoint may close or forget an idle connection at any moment, also sooner than it says. What was
sent over one may therefore have run without any answer. So a kept connection carries only what may
run twice, and a request only if it could be sent again afterwards.
"""

from __future__ import annotations

import enum

from attrs import frozen

from poplarhoist.decisions.gateway import endpoints, retry_budget
from poplarhoist.decisions.gateway.configuration import find_service
from poplarhoist.decisions.gateway.endpoint_state import EndpointState
from poplarhoist.decisions.gateway.events import AttemptEnded, Outcome
from poplarhoist.decisions.gateway.models import EndpointRecord
from poplarhoist.decisions.gateway.request_state import RequestState
from poplarhoist.decisions.gateway.state import GatewayState

# Idle connections of an entry; leaves enough of a machine's descriptors for callers.
MAX_IDLE_CONNECTIONS = 128
# Seconds for which a connection may be idle if the endpoint names no limit; servers close idle
# connections after 5 s or more by default.
DEFAULT_IDLE_S = 4.0
# Seconds by which a connection is given up before the limit that the endpoint names. The limit is in
# whole seconds, and counts from the endpoint's last byte.
IDLE_MARGIN_S = 1.0
# Longest time in seconds that a connection is idle, whatever the endpoint says: each idle one costs
# a keep-alive probe a second, and traffic between zones is billed.
MAX_IDLE_S = 60.0
# Share of the connections of an endpoint that may be idle ones, of all entries together.
IDLE_SHARE = 0.5


class Drop(enum.StrEnum):
    """Why a connection is not kept, or no longer.

    OFF: the settings do not ask for kept connections.
    STOPPING: this entry is stopping.
    GONE, RESTARTED, LEAVING: the endpoint has no record, runs anew or elsewhere, or is stopping.
    CANCELLED: the exchange was cut.
    NOT_WHOLE: the response did not end, or only with the connection, or was none to this request.
    CLOSING: the endpoint closes the connection, or its version of HTTP does.
    LEFTOVER: bytes followed the response.
    UNREAD_BODY: the endpoint refused a request with a body, which it may not have read.
    IDLE: it was idle for as long as it may be.
    FULL: there are as many idle connections as there may be.
    EARLY_BYTES, ENDED: bytes, or the end, were found on it while it was idle.
    SAME_ID: a response to an earlier request on it could not be told from the next one's.
    USED_UP: it has carried as many requests as it may.
    STALE, SILENT: one to this endpoint ended, or stayed silent, instead of answering.
    """

    OFF = "off"
    STOPPING = "stopping"
    GONE = "gone"
    RESTARTED = "restarted"
    LEAVING = "leaving"
    CANCELLED = "cancelled"
    NOT_WHOLE = "not-whole"
    CLOSING = "closing"
    LEFTOVER = "leftover"
    UNREAD_BODY = "unread-body"
    IDLE = "idle"
    FULL = "full"
    EARLY_BYTES = "early-bytes"
    ENDED = "ended"
    SAME_ID = "same-id"
    USED_UP = "used-up"
    STALE = "stale"
    SILENT = "silent"


@frozen
class EndedExchange:
    """How an exchange on a connection ended.

    Attributes
    ----------
    status, http_version : int
        Of the response; the version is 11 for HTTP/1.1. Both 0 if there was none.
    is_whole : bool
        Whether the response was read to an end that its length or its last chunk marks, and
        answered this request.
    is_closing : bool
        Whether the response says that the connection is closed.
    is_cancelled : bool
        Whether the connection was cut.
    leftover_bytes : int
        Bytes that were read beyond the response.
    had_body : bool
        Whether the request had a body.
    told_idle_s : int or None
        Whole seconds for which the endpoint says that it keeps an idle connection; None if it does
        not say.
    """

    status: int = 0
    http_version: int = 0
    is_whole: bool = False
    is_closing: bool = False
    is_cancelled: bool = False
    leftover_bytes: int = 0
    had_body: bool = False
    told_idle_s: int | None = None


def may_reuse(state: GatewayState, request: RequestState, at: float) -> bool:
    """Return whether the attempt that begins now may be sent over a kept connection.

    Only a first attempt may, and only if another one is allowed after it: without kept connections
    the request would not have needed it. A request without an id may not, since a late response to
    an earlier one could not be told from its own.
    """
    route = request.route
    if not is_in_force(state) or not route.repeatable or not request.caller_id:
        return False
    if request.attempt > 1 or request.possible_runs or request.is_trial or route.max_attempts < 2:
        return False
    return retry_budget.may_spend_retry(state, request.service, at)


def find_endpoint_again(
    state: GatewayState, request: RequestState, event: AttemptEnded
) -> EndpointState | None:
    """Return the endpoint that gets a request at once again whose kept connection had ended.

    Returns
    -------
    EndpointState or None
        None if the attempt ended otherwise, or if the endpoint takes no more requests.
    """
    if event.outcome is not Outcome.STALE:
        return None
    endpoint = state.find_run(request.endpoint_name, request.attempt_incarnation)
    if endpoint is None or not endpoints.may_get(state, endpoint, request, event.at):
        return None
    return endpoint


def is_in_force(state: GatewayState) -> bool:
    """Return whether this entry keeps connections now."""
    return why_none(state) is None


def why_none(state: GatewayState) -> Drop | None:
    """Return why this entry keeps no connections at all; None if it does."""
    if not state.limits.keep_connections:
        return Drop.OFF
    return Drop.STOPPING if state.draining_since is not None else None


def why_run_ended(state: GatewayState, record: EndpointRecord) -> Drop | None:
    """Return why connections to a run of an endpoint are not kept any more; None if they are."""
    endpoint = state.endpoints.get(record.name)
    if endpoint is None:
        return Drop.GONE
    current = endpoint.record
    if (current.incarnation, current.host, current.port) != (
        record.incarnation,
        record.host,
        record.port,
    ):
        return Drop.RESTARTED
    return Drop.LEAVING if endpoint.is_leaving else None


def why_not_kept(state: GatewayState, record: EndpointRecord, ended: EndedExchange) -> Drop | None:
    """Return why the connection of an exchange that ended is not kept; None if it is."""
    # The order is that of the logs: what is wrong with all of them comes first.
    reason = why_none(state) or why_run_ended(state, record)
    if reason is not None:
        return reason
    if ended.is_cancelled:
        return Drop.CANCELLED
    # A response that is informational or switches protocols is not the last one.
    if not ended.is_whole or ended.status < 200:
        return Drop.NOT_WHOLE
    if ended.is_closing or ended.http_version != 11:
        return Drop.CLOSING
    if ended.leftover_bytes:
        return Drop.LEFTOVER
    # What it has not read of the body would stand before the next request.
    if ended.had_body and ended.status >= 400:
        return Drop.UNREAD_BODY
    return None if idle_limit_s(ended.told_idle_s) > 0.0 else Drop.IDLE


def idle_limit_s(told_s: int | None) -> float:
    """Return the seconds for which a connection may be idle.

    Parameters
    ----------
    told_s : int or None
        What the endpoint says; None if it does not say.
    """
    if told_s is None:
        return DEFAULT_IDLE_S
    return max(0.0, min(MAX_IDLE_S, told_s - IDLE_MARGIN_S))


def max_idle(state: GatewayState, service: str) -> int:
    """Return how many idle connections this entry keeps to one endpoint of a service."""
    spec = find_service(state, service)
    if spec is None:
        return 1
    return max(1, int(IDLE_SHARE * spec.max_connections / max(1, len(state.entries))))


def why_not_used(
    state: GatewayState, record: EndpointRecord, idle_s: float, limit_s: float
) -> Drop | None:
    """Return why a connection that was idle for `idle_s` is closed now; None if it may be used."""
    reason = why_none(state) or why_run_ended(state, record)
    if reason is not None:
        return reason
    return Drop.IDLE if idle_s >= limit_s else None


def user_timeout_s(remaining_s: float, longest_s: float) -> float:
    """Return the seconds that what is sent over a kept connection may stay unacknowledged.

    At most half of what remains until the deadline: the request is to be sent again in time if the
    connection turns out to be silent.

    Parameters
    ----------
    longest_s : float
        The same for a new connection.
    """
    return min(longest_s, remaining_s / 2.0)
