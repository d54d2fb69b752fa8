"""Refuses requests that crash the endpoints that run them.

A request that was running at an endpoint when the endpoint crashed is recognized by its digest when
it is sent again. After it has crashed three different endpoints all entries refuse it, so that it
cannot take down a whole service.
"""

from __future__ import annotations

from poplarhoist.decisions.effects import LogChange
from poplarhoist.decisions.gateway.effects import SendPeer
from poplarhoist.decisions.gateway.messages import Crashed
from poplarhoist.decisions.gateway.state import GatewayState

# Different endpoints that a request has crashed when it is refused from then on, whatever retries
# the platform would still allow.
CRASHED_ENDPOINT_LIMIT = 3
# Seconds between a broken response and the detected crash of its endpoint within which the two
# belong together; a crashed engine is detected after three heartbeat intervals.
CRASH_MATCH_S = 6.0
# Content digests and broken responses that are kept; bounds the memory used when many responses
# break off.
MAX_TRACKED_DIGESTS = 512


def record_broken_response(
    state: GatewayState, content_digest: str, endpoint: str, at: float
) -> None:
    """Record that the response to a request broke off at an endpoint."""
    if not content_digest:
        return
    recent = state.broken_responses_by_endpoint.setdefault(endpoint, [])
    recent.append((at, content_digest))
    del recent[:-MAX_TRACKED_DIGESTS]


def on_endpoint_crashed(state: GatewayState, endpoint: str, at: float, effects: list) -> None:
    """Record the requests that ran when an endpoint crashed, and inform the other entries.

    These are the requests whose responses broke off within the last `CRASH_MATCH_S`.
    """
    broken_responses = state.broken_responses_by_endpoint.pop(endpoint, ())
    fields = {
        "endpoint": endpoint,
        "broken": [content_digest for _, content_digest in broken_responses],
        "ages_s": [round(at - broken_at, 2) for broken_at, _ in broken_responses],
    }
    if broken_responses:
        effects.append(LogChange("endpoint-crashed", fields))
    for broken_at, content_digest in broken_responses:
        if at - broken_at <= CRASH_MATCH_S and record_crash(
            state, content_digest, endpoint, effects
        ):
            for entry in state.entries:
                if entry != state.name:
                    effects.append(SendPeer(entry, Crashed(content_digest, endpoint)))


def record_crash(state: GatewayState, content_digest: str, endpoint: str, effects: list) -> bool:
    """Record that a request crashed an endpoint.

    Returns
    -------
    bool
        True if this endpoint is new for the request; repeated crashes of one endpoint count once.
    """
    endpoints = state.crashed_endpoints_by_digest.setdefault(content_digest, set())
    if endpoint in endpoints:
        return False
    endpoints.add(endpoint)
    fields = {"content": content_digest, "endpoint": endpoint, "crashes": len(endpoints)}
    effects.append(LogChange("crash-counted", fields))
    while len(state.crashed_endpoints_by_digest) > MAX_TRACKED_DIGESTS:
        del state.crashed_endpoints_by_digest[next(iter(state.crashed_endpoints_by_digest))]
    if len(endpoints) == CRASHED_ENDPOINT_LIMIT:
        effects.append(
            LogChange(
                "content-refused", {"content": content_digest, "crashes": CRASHED_ENDPOINT_LIMIT}
            )
        )
    return True


def is_refused(state: GatewayState, content_digest: str) -> bool:
    """Return whether a request crashed so many endpoints that it is not run again."""
    return len(state.crashed_endpoints_by_digest.get(content_digest, ())) >= CRASHED_ENDPOINT_LIMIT
