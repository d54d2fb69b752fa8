"""Logs and observes the end of a request."""

from __future__ import annotations

from poplarhoist.decisions.common_effects import Observe
from poplarhoist.decisions.gateway.effects import LogRequest
from poplarhoist.decisions.gateway.events import AttemptEnded
from poplarhoist.decisions.gateway.request_state import RequestState


def log_end(request: RequestState, event: AttemptEnded, effects: list) -> None:
    """Log the end of a request and observe its latencies."""
    fields = {
        **request.log_ids(),
        "endpoint": request.endpoint_name,
        "outcome": event.outcome,
        "status": event.status,
        "took_s": round(event.at - request.arrived_at, 4),
        "first_s": (
            round(request.response_started_at - request.arrived_at, 4)
            if request.response_started
            else None
        ),
        "attempt": request.attempt,
        **({"hedge_attempt": request.hedge_attempt} if request.hedge_attempt else {}),
        "late": request.response_started
        and request.response_started_at > request.latency_target_at,
        **event.body_end.log_fields(),
    }
    effects.append(LogRequest("answered", request.request_id, fields))
    kind = request.route.kind
    effects.append(Observe("request_seconds", (kind, event.outcome), event.at - request.arrived_at))
    if request.response_started:
        first_s = request.response_started_at - request.arrived_at
        effects.append(Observe("first_byte_seconds", (kind,), first_s))
