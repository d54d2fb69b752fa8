"""Keeps requests from beginning on an adapter version long after a newer one was announced.

A request begins with its first token, which a long prompt, a queue or a slow engine may delay for
seconds after it was sent. So three things hold for an announced version:

- After a while it is required of every request that is sent.
- Before, a request is sent to an engine with an older version only if it is expected to begin in time.
- An attempt that has not begun in time is broken off, whatever was expected. Its request is sent again
  if its kind and the retry budget allow that.
"""

from __future__ import annotations

from poplarhoist.decisions.common_effects import LogChange
from poplarhoist.decisions.gateway.effects import BreakOffAttempt, LogRequest
from poplarhoist.decisions.gateway.events import VersionSeen
from poplarhoist.decisions.gateway.models import AdapterKey
from poplarhoist.decisions.gateway.request_state import RequestState, Stage
from poplarhoist.decisions.gateway.state import AnnouncedVersion, BeginDeadline, GatewayState

# Share of the time until an announced version must be used, after which it is required.
REQUIRED_AFTER = 0.4
# Share of that time after which no request may begin on an older version. The rest is for the news,
# which may be as old as the longest pause between two watches of the store, and for the engine to
# notice that a connection was closed.
BEGUN_BY = 0.75
# Seconds after the start of an entry within which it reads the list of versions, of unknown age.
START_S = 2.0
# An attempt may take this many times as long to begin as expected, as an engine may turn slow.
EXPECTED_BEGIN_RATIO = 2.0


def on_version(state: GatewayState, event: VersionSeen, effects: list) -> None:
    """Record the announcement of an adapter version.

    An entry that has just started does not know how old it is, so that the version is required at
    once.
    """
    key = AdapterKey(event.model, event.adapter)
    known = state.announced_versions.get(key)
    if known is not None and known.version >= event.version:
        return
    required = find_required(state, key, event.at)
    if required is not None:
        required.earlier = None
    deadline_s = state.limits.version_deadline_s
    has_just_started = event.at - state.started_at < START_S
    announced_at = event.at - (REQUIRED_AFTER * deadline_s if has_just_started else 0.0)
    announced = AnnouncedVersion(event.version, announced_at, known)
    state.announced_versions[key] = announced
    state.begin_deadlines.append(BeginDeadline(begun_by(state, announced), key, event.version))
    effects.append(LogChange("version-announced", {"adapter": str(key), "version": event.version}))


def begun_by(state: GatewayState, announced: AnnouncedVersion) -> float:
    """Return until when requests may begin on a version older than an announced one."""
    return announced.announced_at + BEGUN_BY * state.limits.version_deadline_s


def find_required(state: GatewayState, key: AdapterKey, at: float) -> AnnouncedVersion | None:
    """Return the latest announcement that is old enough for engines to have loaded its version."""
    required_after_s = REQUIRED_AFTER * state.limits.version_deadline_s
    announced = state.announced_versions.get(key)
    while announced is not None and at - announced.announced_at < required_after_s:
        announced = announced.earlier
    return announced


def required_version(state: GatewayState, request: RequestState, at: float) -> int:
    """Return the version that a request must at least get; 0 for any.

    Until an announced version is required, the one announced before it is, if that was.
    """
    announced = find_required(state, request.prompt.key, at)
    return max(request.least_version, announced.version if announced is not None else 0)


def newer_version_needed(
    state: GatewayState, key: AdapterKey, held: int, expected_s: float, at: float
) -> int:
    """Return the version that a request needs, as it may begin too late on the one of an engine.

    Parameters
    ----------
    held : int
        Version that the engine is believed to hold.
    expected_s : float
        Seconds until the request is expected to begin there.

    Returns
    -------
    int
        The latest announced version; 0 if the request is expected to begin in time.
    """
    latest = announced = state.announced_versions.get(key)
    expected_at = at + EXPECTED_BEGIN_RATIO * expected_s
    while announced is not None and announced.version > held:
        if expected_at > begun_by(state, announced):
            return latest.version
        announced = announced.earlier
    return 0


def on_tick(state: GatewayState, at: float, effects: list) -> None:
    """Break off the attempts that may only begin on too old a version from now on."""
    # Versions of an adapter are announced in ascending order.
    due_version_by_key = {one.key: one.version for one in state.begin_deadlines if one.at <= at}
    if not due_version_by_key:
        return
    state.begin_deadlines = [one for one in state.begin_deadlines if one.at > at]
    for request in state.requests.values():
        key = request.prompt.key if request.prompt is not None else None
        due_version = due_version_by_key.get(key, 0)
        if request.attempt_version >= due_version or not is_unbegun(request):
            continue
        # It must not be broken off for a third version, too.
        request.least_version = state.announced_versions[key].version
        fields = {
            **request.log_ids(),
            "attempt": request.attempt,
            "endpoint": request.endpoint_name,
            "adapter": str(key),
            "version": due_version,
            "after_s": round(at - request.attempt_sent_at, 4),
        }
        effects.append(BreakOffAttempt(request.request_id, request.attempt))
        effects.append(LogRequest("broken-off", request.request_id, fields))


def is_unbegun(request: RequestState) -> bool:
    """Return whether a request is at an engine and has not begun, as far as this entry knows.

    An entry that passes requests on breaks its attempts off itself.
    """
    return (
        request.stage is Stage.RUNNING and not request.relay and request.attempt_started_at is None
    )
