"""Endpoints turn requests away with 503 and say for how long they want none."""

import pytest

from poplarhoist.decisions.effects import LogChange
from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import messages
from poplarhoist.decisions.gateway.models import AdapterKey, Refused
from tests.engine_site import EngineSite
from tests.gateway import (
    Gateway,
    effects_of,
    endpoints_of,
    engine,
    only_effect,
    plain_endpoint,
    send_request,
    start_gateway,
)

# The users' bound: requests that may reach an endpoint from an entry, from this long after it turned
# one away until the end of the time that it named.
REACH_AFTER_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2
MAX_PAUSE_S = 60.0
REQUEST_INTERVAL_S = 0.04


def turn_away(gateway: Gateway, dispatch: fx.Dispatch, seconds: float, **fields) -> list:
    """Let an endpoint turn a request away."""
    notice = ev.EndpointNotice(retry_after_s=seconds)
    return gateway.end_attempt(dispatch, ev.Outcome.NOT_RUN, status=503, notice=notice, **fields)


@pytest.mark.parametrize(
    ("seconds", "pause_s"), [(2.0, 2.0), (0.3, 0.3), (30.0, 30.0), (1e9, MAX_PAUSE_S)]
)
def test_endpoint_gets_nothing_until_the_time_that_it_named(seconds, pause_s):
    gateway = start_gateway(plain_endpoint(1), plain_endpoint(2))
    dispatch = send_request(gateway)
    away = dispatch.endpoint.name
    (other,) = {"d1", "d2"} - {away}
    retry = only_effect(fx.Dispatch, turn_away(gateway, dispatch, seconds))
    gateway.end_attempt(retry, ev.Outcome.DONE)
    assert retry.endpoint.name == other
    assert endpoints_of(gateway) == {other}
    gateway.advance(pause_s - 0.1)
    assert endpoints_of(gateway) == {other}
    gateway.advance(0.15)
    assert endpoints_of(gateway) == {"d1", "d2"}


@pytest.mark.parametrize(("incarnation", "is_kept"), [(1, True), (2, False)])
def test_pause_and_limit_of_a_run_outlast_the_loss_of_its_record(incarnation, is_kept):
    gateway = start_gateway(plain_endpoint(1))
    dispatch = send_request(gateway)
    turn_away(gateway, dispatch, 10.0)
    gateway.receive("entry-2", messages.RequestLimit("d1", 1, 0.5))
    gateway.receive("entry-2", messages.NoRoom("d1", 1, 3.0))
    gateway.submit(ev.EndpointRemoved, name="d1")
    gateway.advance(1.0)
    gateway.submit(ev.EndpointSeen, record=plain_endpoint(1, incarnation=incarnation))
    endpoint = gateway.state.endpoints["d1"]
    assert endpoint.limit.requests_per_s == (0.5 if is_kept else None)
    assert endpoint.brittle.bears_per_s == (3.0 if is_kept else None)
    assert bool(effects_of(fx.Dispatch, gateway.request("/read/x")[1])) is not is_kept
    gateway.advance(8.5)
    assert bool(effects_of(fx.Dispatch, gateway.request("/read/x")[1])) is not is_kept


@pytest.mark.parametrize("outcome", [ev.Outcome.NOT_RUN, ev.Outcome.FAILED])
@pytest.mark.parametrize("path", ["/read/x", "/once/x"])
def test_pause_holds_whether_or_not_the_request_may_be_sent_again(path, outcome):
    gateway = start_gateway(plain_endpoint(1), plain_endpoint(2))
    dispatch = send_request(gateway, path)
    notice = ev.EndpointNotice(retry_after_s=5.0)
    effects = gateway.end_attempt(dispatch, outcome, status=503, notice=notice)
    may_repeat = outcome is ev.Outcome.NOT_RUN or path == "/read/x"
    assert bool(effects_of(fx.Dispatch, effects)) == may_repeat
    assert dispatch.endpoint.name not in endpoints_of(gateway)


def test_later_shorter_time_does_not_end_a_pause_early():
    gateway = start_gateway(plain_endpoint(1), plain_endpoint(2))
    dispatches = [send_request(gateway) for _ in range(8)]
    first, second = [d for d in dispatches if d.endpoint.name == "d1"][:2]
    turn_away(gateway, first, 5.0)
    turn_away(gateway, second, 0.5)
    gateway.advance(2.0)
    assert endpoints_of(gateway) == {"d2"}


def test_endpoint_that_has_restarted_gets_requests_again():
    gateway = start_gateway(plain_endpoint(1))
    turn_away(gateway, send_request(gateway), 30.0)
    gateway.submit(ev.EndpointSeen, record=plain_endpoint(1, incarnation=2))
    assert endpoints_of(gateway) == {"d1"}


def test_answer_of_an_earlier_run_does_not_pause_the_endpoint():
    gateway = start_gateway(plain_endpoint(1))
    dispatch = send_request(gateway)
    gateway.submit(ev.EndpointSeen, record=plain_endpoint(1, incarnation=2))
    turn_away(gateway, dispatch, 30.0)
    assert endpoints_of(gateway) == {"d1"}


def test_caller_is_refused_at_once_when_no_endpoint_comes_back_in_time():
    gateway = start_gateway(plain_endpoint(1), plain_endpoint(2))
    for seconds in (20.0, 8.0):
        dispatch = send_request(gateway)
        turn_away(gateway, dispatch, seconds)
        gateway.advance(0.2)
    times_s = set()
    for _ in range(20):
        refusal = only_effect(fx.Refuse, gateway.request("/read/x")[1])
        assert (refusal.reason, refusal.ran) == (Refused.LIMITED, False)
        times_s.add(refusal.retry_after_s)
    assert min(times_s) >= 7.0
    assert len(times_s) > 10


def test_request_waits_for_an_endpoint_that_comes_back_very_soon():
    gateway = start_gateway(plain_endpoint(1))
    turn_away(gateway, send_request(gateway), 0.02)
    _, effects = gateway.request("/read/x")
    sent = effects_of(fx.Dispatch, effects + gateway.advance(0.2))
    assert not effects_of(fx.Refuse, gateway.effects)
    assert len(sent) >= 1


def test_request_that_waits_for_an_adapter_moves_to_another_engine():
    gateway = start_gateway(engine(1), engine(2))
    for name in ("e1", "e2"):
        gateway.set_lead(name, "entry-2#b2")
    _, effects = gateway.request("/stream/x", "cold")
    asked = effects_of(fx.SendPeer, effects)[0].message.engine
    dispatch = next(
        d
        for d in (send_request(gateway, "/stream/x", "") for _ in range(6))
        if d.endpoint.name == asked
    )
    turn_away(gateway, dispatch, 5.0)
    gateway.receive("entry-2", messages.View(asked, {"base": 1}, {"base/cold": 0.1}, 0, 0, 3))
    sent = effects_of(fx.Dispatch, gateway.advance(0.5))
    assert asked not in {d.endpoint.name for d in sent}
    asks = [e.message for e in effects_of(fx.SendPeer, gateway.effects)]
    assert {m.engine for m in asks if isinstance(m, messages.Ask)} == {"e1", "e2"}


def test_engine_that_wants_no_pause_does_not_get_the_same_request_again():
    gateway = start_gateway(engine(1, ("a1",)), engine(2, ("a1",)))
    dispatch = send_request(gateway, "/stream/x", "a1")
    retry = only_effect(fx.Dispatch, turn_away(gateway, dispatch, 0.0))
    assert retry.endpoint.name != dispatch.endpoint.name


@pytest.mark.parametrize("is_busy", [True, False])
def test_only_an_engine_without_the_adapter_is_taken_for_one(is_busy):
    gateway = start_gateway(engine(1, ("a1",)))
    dispatches = [send_request(gateway, "/stream/x", "a1") for _ in range(2)]
    turn_away(gateway, dispatches[0], 5.0)
    if is_busy:
        turn_away(gateway, dispatches[1], 5.0)
    else:
        gateway.end_attempt(
            dispatches[1], ev.Outcome.NOT_RUN, status=421, notice=ev.EndpointNotice()
        )
    key = AdapterKey("base", "a1")
    assert (key in gateway.state.endpoints["e1"].held) == is_busy


def test_log_tells_of_a_pause():
    gateway = start_gateway(plain_endpoint(1))
    turn_away(gateway, send_request(gateway), 4.0)
    (change,) = [c for c in effects_of(LogChange, gateway.effects) if c.change == "endpoint-paused"]
    assert change.fields == {"endpoint": "d1", "seconds": 4.0}


@pytest.mark.parametrize("entry_count", [1, 9])
def test_half_of_the_engines_turning_requests_away_makes_no_wave_of_retries(entry_count):
    site = EngineSite(entry_count, 6)
    requests = site.send_steadily(REQUEST_INTERVAL_S, "shared")
    site.run(2.0)
    busy = list(site.runs_by_name.values())[:3]
    for seconds in (3.0, 2.0):
        for run in busy:
            run.busy_until = site.at + seconds
        site.run(5.0)
    for run in busy:
        for at, name, until in run.turned_away:
            later = [t for t, n in run.arrivals if n == name and at + REACH_AFTER_S < t < until]
            assert len(later) <= MAX_REQUESTS_IN_PAUSE
    attempts = sum(len(sent.reached_at) for sent in requests)
    assert attempts <= 1.3 * len(requests)
    assert sum(sent.refused is not None for sent in requests) <= 0.02 * len(requests)
