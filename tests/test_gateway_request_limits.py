"""Endpoints name the requests a second that they take from all entries together."""

from poplarhoist.decisions.effects import LogChange
from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from tests.gateway import Gateway, effects_of, engine, only_effect


def test_log_tells_when_an_endpoint_names_changes_and_lifts_its_limit():
    gateway = Gateway()
    gateway.configure()
    gateway.list_endpoints(engine(1, ("a1",)))
    logged = []
    for limit in (None, 1.5, 1.5, 2.0, None):
        _, effects = gateway.request("/stream/x", "a1")
        dispatch = only_effect(fx.Dispatch, effects)
        logged.append(only_effect(fx.LogRequest, effects).fields["limit_per_s"])
        gateway.submit(
            ev.ResponseStarted,
            request_id=dispatch.request_id,
            attempt=dispatch.attempt,
            notice=ev.EndpointNotice(limit),
        )
        gateway.end_attempt(dispatch, ev.Outcome.DONE)
        gateway.advance(3.0)
    changes = [
        log for log in effects_of(LogChange, gateway.effects) if log.change == "endpoint-limit"
    ]
    assert [log.fields["requests_per_s"] for log in changes] == [1.5, 2.0, None]
    assert logged == [None, None, 1.5, 1.5, 2.0]
