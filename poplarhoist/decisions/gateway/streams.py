"""Keeps a resumed stream at the software version of the endpoint that began it.

What endpoints of two software versions write does not fit together, and they do not check it. An
entry that resumes a stream within its response knows the version. A caller that resumes a stream
may reach any entry, also after the one that began it has ended. The entry that passes on the first
bytes of a stream therefore tells its version to a few others, chosen by the id of the caller's
attempt, and an entry that does not know a stream asks those. Nothing is told while a service has a
single version. If nobody knows a stream, it goes on only if its service cannot have had several
versions (`software_versions`). An entry may not have read yet that there are several: others must
have answered that they do not know the stream.
"""

from __future__ import annotations

import enum

from poplarhoist.decisions.gateway.broadcast import other_entries
from poplarhoist.decisions.gateway.effects import LogRequest, SendPeer
from poplarhoist.decisions.gateway.endpoint_state import EndpointState
from poplarhoist.decisions.gateway.hashing import rendezvous_order
from poplarhoist.decisions.gateway.messages import AskStreamOrigin, StreamBegan, StreamUnknown
from poplarhoist.decisions.gateway.request_state import RequestState
from poplarhoist.decisions.gateway.software_versions import has_several, may_have_several
from poplarhoist.decisions.gateway.state import GatewayState, StreamOrigin

# Entries that are told where a stream began. With five entries that know it, half of all entries
# can end at the same moment and only one stream in thirty is forgotten.
ORIGIN_REPLICAS = 4
# Entries that are asked: those told, and two more, as the list of entries may have changed.
ASKED_ENTRIES = ORIGIN_REPLICAS + 2
# Seconds to wait for an answer: two round trips between regions and a scheduling delay.
ORIGIN_ANSWER_S = 0.15
# Streams remembered per entry; bounds memory. Entries of the largest site remember about 400.
MAX_ORIGINS = 10_000


class Placement(enum.Enum):
    """What to do with a request now.

    PLACE: send it to an endpoint.
    WAIT: wait for another entry's answer.
    REFUSE: no endpoint may continue the stream.
    """

    PLACE = enum.auto()
    WAIT = enum.auto()
    REFUSE = enum.auto()


def on_first_bytes(state: GatewayState, request: RequestState, at: float, effects: list) -> None:
    """Record which software version begins a stream, and tell others if there are several."""
    if (
        not request.route.resumable
        or request.last_event_id
        or request.software_version is not None
        or not request.caller_id
    ):
        return
    origin = StreamOrigin(
        request.attempt_software, request.attempt, at, request.service, is_own=True
    )
    remember(state, request.caller_id, origin)
    if has_several(state, request.service, at):
        tell_origin(state, request.caller_id, origin, effects)


def remember(state: GatewayState, caller_id: str, origin: StreamOrigin) -> None:
    """Record the origin of a stream, unless a later attempt is known to have begun it."""
    known = state.stream_origins.pop(caller_id, None)
    if known is not None and known.attempt > origin.attempt:
        origin = known
    state.stream_origins[caller_id] = origin
    while len(state.stream_origins) > MAX_ORIGINS:
        del state.stream_origins[next(iter(state.stream_origins))]


def keepers(state: GatewayState, caller_id: str, count: int) -> list[str]:
    """Return the other entries that keep the origin of a stream, the same on every entry."""
    return rendezvous_order(caller_id, other_entries(state))[:count]


def tell_origin(state: GatewayState, caller_id: str, origin: StreamOrigin, effects: list) -> None:
    """Tell the entries that keep the origin of a stream."""
    origin.is_told = True
    for name in keepers(state, caller_id, ORIGIN_REPLICAS):
        effects.append(SendPeer(name, origin_message(caller_id, origin)))


def origin_message(caller_id: str, origin: StreamOrigin) -> StreamBegan:
    """Return the message that tells where a stream began."""
    return StreamBegan(caller_id, origin.attempt, origin.software_version, origin.service)


def on_stream_began(state: GatewayState, message: StreamBegan, at: float) -> None:
    """Record what another entry told of a stream."""
    origin = StreamOrigin(message.software, message.attempt, at, message.service)
    remember(state, message.caller_id, origin)


def on_ask(state: GatewayState, sender: str, message: AskStreamOrigin, effects: list) -> None:
    """Answer where a stream began, or that this entry does not know."""
    origin = state.stream_origins.get(message.caller_id)
    if origin is None:
        effects.append(SendPeer(sender, StreamUnknown(message.caller_id)))
    else:
        effects.append(SendPeer(sender, origin_message(message.caller_id, origin)))


def on_unknown(state: GatewayState, sender: str, message: StreamUnknown) -> None:
    """Record that an entry that was asked does not know a stream."""
    for request_id in state.waiting:
        request = state.requests[request_id]
        if request.resumed_caller_id == message.caller_id and sender in request.origin_asked:
            request.origin_unknown_to.add(sender)


def on_tick(
    state: GatewayState, versions_by_service: dict[str, set[str]], at: float, effects: list
) -> None:
    """Forget old streams, and tell of this entry's once their service has several versions."""
    for caller_id, origin in list(state.stream_origins.items()):
        if at - origin.known_at <= state.software_records.memory_s:
            break
        del state.stream_origins[caller_id]
    mixed_services = {
        service
        for service in state.endpoints_by_service
        if len(versions_by_service.get(service, ())) > 1
    }
    if not mixed_services:
        return
    for caller_id, origin in state.stream_origins.items():
        if origin.is_own and not origin.is_told and origin.service in mixed_services:
            tell_origin(state, caller_id, origin, effects)


def check_placement(
    state: GatewayState, request: RequestState, at: float, effects: list
) -> Placement:
    """Return whether a request may be placed now; sets the software version that it needs."""
    if request.software_version is None and request.last_event_id and request.route.resumable:
        origin = state.stream_origins.get(request.resumed_caller_id)
        if origin is None:
            return place_unknown(state, request, at, effects)
        request.software_version = origin.software_version
    if request.software_version is None:
        return Placement.PLACE
    names = state.endpoints_by_service.get(request.service, ())
    if any(runs_software(state.endpoints[name], request) for name in names):
        return Placement.PLACE
    return Placement.REFUSE


def place_unknown(
    state: GatewayState, request: RequestState, at: float, effects: list
) -> Placement:
    """Ask where a stream began; if others do not know it either, it goes on if there is one version.

    Without any answer this entry may be out of step: it may not know yet that there are several.
    """
    if request.origin_asked_at is None:
        ask_origin(state, request, at, effects)
    unanswered = request.origin_asked - request.origin_unknown_to
    if unanswered and at - request.origin_asked_at < ORIGIN_ANSWER_S:
        return Placement.WAIT
    if may_have_several(state, request.service, at):
        return Placement.REFUSE
    is_out_of_step = bool(request.origin_asked) and not request.origin_unknown_to
    return Placement.REFUSE if is_out_of_step else Placement.PLACE


def ask_origin(state: GatewayState, request: RequestState, at: float, effects: list) -> None:
    """Ask the entries that would have been told where a stream began."""
    request.origin_asked_at = at
    if not request.resumed_caller_id:
        return
    asked = keepers(state, request.resumed_caller_id, ASKED_ENTRIES)
    request.origin_asked.update(asked)
    for name in asked:
        effects.append(SendPeer(name, AskStreamOrigin(request.resumed_caller_id)))
    if asked:
        fields = {
            **request.log_ids(),
            "resumed_caller_id": request.resumed_caller_id,
            "asked": asked,
        }
        effects.append(LogRequest("origin-asked", request.request_id, fields))


def runs_software(endpoint: EndpointState, request: RequestState) -> bool:
    """Return whether an endpoint runs the software version that a request needs, if any."""
    return request.software_version in (None, endpoint.record.software_version)
