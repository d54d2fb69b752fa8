"""Endpoints that stop say so in their responses, often before their records do."""

import orjson
import pytest
from attrs import evolve

from poplarhoist.decisions.effects import LogChange
from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import messages
from poplarhoist.decisions.gateway.models import EndpointRecord
from poplarhoist.gateway.peers import message_converter
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

REQUEST_INTERVAL_S = 0.04
# Seconds in which an entry that got such a response, or was told, may still have requests under way.
UNDER_WAY_S = 0.01


def say_leaving(gateway: Gateway, dispatch: fx.Dispatch) -> list:
    """Let the endpoint say in an answer, of any kind, that it is stopping."""
    record = dispatch.endpoint
    return gateway.submit(ev.EndpointSaidLeaving, name=record.name, incarnation=record.incarnation)


def begin_response(gateway: Gateway, dispatch: fx.Dispatch) -> list:
    """Let a response begin that says that its endpoint is stopping."""
    fields = {"request_id": dispatch.request_id, "attempt": dispatch.attempt}
    return say_leaving(gateway, dispatch) + gateway.submit(ev.ResponseStarted, **fields)


def fail(gateway: Gateway, dispatch: fx.Dispatch) -> list:
    """Let an attempt fail with a response that says that its endpoint is stopping."""
    said = say_leaving(gateway, dispatch)
    return said + gateway.end_attempt(dispatch, ev.Outcome.FAILED, status=503)


def turn_away(gateway: Gateway, dispatch: fx.Dispatch) -> list:
    """Let a stopping endpoint turn a request away."""
    said = say_leaving(gateway, dispatch)
    return said + gateway.end_attempt(dispatch, ev.Outcome.NOT_RUN, status=503)


def be_told(gateway: Gateway, dispatch: fx.Dispatch) -> list:
    """Let another entry tell that the endpoint is stopping."""
    record = dispatch.endpoint
    message = messages.EndpointLeaving(record.name, record.incarnation)
    return gateway.receive("entry-2", message)


NEWS = pytest.mark.parametrize("learn", [say_leaving, begin_response, fail, turn_away, be_told])


@NEWS
def test_endpoint_that_leaves_gets_no_new_requests(learn):
    gateway = start_gateway(plain_endpoint(1), plain_endpoint(2))
    dispatch = send_request(gateway)
    (other,) = {"d1", "d2"} - {dispatch.endpoint.name}
    learn(gateway, dispatch)
    assert endpoints_of(gateway) == {other}
    gateway.advance(30.0)
    assert endpoints_of(gateway) == {other}


@NEWS
def test_last_endpoint_that_leaves_is_not_used_in_need(learn):
    gateway = start_gateway(plain_endpoint(1))
    learn(gateway, send_request(gateway))
    _, effects = gateway.request("/read/x")
    assert not effects_of(fx.Dispatch, effects + gateway.advance(1.0))


@NEWS
@pytest.mark.parametrize("name", ["d1", "d2"])
def test_new_run_or_another_endpoint_at_the_address_gets_requests(learn, name):
    gateway = start_gateway(plain_endpoint(1))
    learn(gateway, send_request(gateway))
    number = int(name[1:])
    gateway.submit(ev.EndpointSeen, record=plain_endpoint(number, port=8001, incarnation=2))
    assert endpoints_of(gateway) == {name}


def read_draining_record(gateway: Gateway, dispatch: fx.Dispatch) -> list:
    """Let the endpoint's record say that it is stopping."""
    record = evolve(dispatch.endpoint, draining=True)
    return gateway.submit(ev.EndpointSeen, record=record)


def lose_record(gateway: Gateway, record: EndpointRecord) -> None:
    """Let the record expire."""
    gateway.submit(ev.EndpointRemoved, name=record.name)


def list_without_record(gateway: Gateway, record: EndpointRecord) -> None:
    """Let the list of all records lack this one."""
    names = frozenset(gateway.state.endpoints) - {record.name}
    gateway.submit(ev.EndpointsListed, names=names)


def lose_store(gateway: Gateway, record: EndpointRecord) -> None:
    """Let the store fail, and return without the record for longer than endpoints are kept."""
    gateway.submit(ev.StoreAvailabilityChanged, available=False)
    lose_record(gateway, record)
    gateway.submit(ev.StoreAvailabilityChanged, available=True)
    gateway.advance(3.0)


def keep_record(gateway: Gateway, record: EndpointRecord) -> None:
    """Do nothing: an earlier record is read later."""


ALL_NEWS = pytest.mark.parametrize(
    "learn", [say_leaving, begin_response, fail, turn_away, be_told, read_draining_record]
)


@ALL_NEWS
@pytest.mark.parametrize("lose", [keep_record, lose_record, list_without_record, lose_store])
def test_run_that_leaves_is_not_used_when_an_earlier_record_of_it_returns(learn, lose):
    gateway = start_gateway(plain_endpoint(1), plain_endpoint(2))
    dispatch = send_request(gateway)
    (other,) = {"d1", "d2"} - {dispatch.endpoint.name}
    learn(gateway, dispatch)
    gateway.end_attempt(dispatch, ev.Outcome.DONE)
    lose(gateway, dispatch.endpoint)
    gateway.submit(ev.EndpointSeen, record=dispatch.endpoint)
    assert endpoints_of(gateway) == {other}


@NEWS
def test_run_that_says_it_leaves_while_its_record_is_gone_is_not_used_later(learn):
    gateway = start_gateway(plain_endpoint(1), plain_endpoint(2))
    dispatch = send_request(gateway)
    (other,) = {"d1", "d2"} - {dispatch.endpoint.name}
    lose_record(gateway, dispatch.endpoint)
    learn(gateway, dispatch)
    gateway.submit(ev.EndpointSeen, record=dispatch.endpoint)
    assert endpoints_of(gateway) == {other}


@NEWS
def test_news_of_an_earlier_run_does_not_concern_the_present_one(learn):
    gateway = start_gateway(plain_endpoint(1))
    dispatch = send_request(gateway)
    gateway.submit(ev.EndpointSeen, record=plain_endpoint(1, incarnation=2))
    learn(gateway, dispatch)
    assert endpoints_of(gateway) == {"d1"}


def test_what_runs_at_an_endpoint_that_leaves_goes_on_there():
    gateway = start_gateway(plain_endpoint(1), plain_endpoint(2))
    running = [send_request(gateway) for _ in range(6)]
    first = next(d for d in running if d.endpoint.name == "d1")
    effects = begin_response(gateway, first) + gateway.advance(0.5)
    assert not effects_of(fx.Dispatch, effects) and not effects_of(fx.Refuse, effects)
    for dispatch in running:
        gateway.end_attempt(dispatch, ev.Outcome.DONE)
    assert not gateway.state.requests


def test_stream_that_breaks_off_there_is_resumed_elsewhere():
    gateway = start_gateway(engine(1, ("a1",)), engine(2, ("a1",)))
    dispatch = send_request(gateway, "/resume/x", "a1")
    begin_response(gateway, dispatch)
    resumed = only_effect(
        fx.Dispatch, gateway.end_attempt(dispatch, ev.Outcome.BROKEN, delivered=True)
    )
    assert resumed.endpoint.name != dispatch.endpoint.name


def test_request_that_waits_for_an_adapter_there_asks_another_engine():
    gateway = start_gateway(engine(1), engine(2))
    for name in ("e1", "e2"):
        gateway.set_lead(name, "entry-2#b2")
    _, effects = gateway.request("/stream/x", "cold")
    asked = effects_of(fx.SendPeer, effects)[0].message.engine
    gateway.receive("entry-3", messages.EndpointLeaving(asked, 1))
    gateway.receive("entry-2", messages.View(asked, {"base": 1}, {"base/cold": 0.1}, 0, 0, 3))
    sent = effects_of(fx.Dispatch, gateway.advance(0.5))
    assert asked not in {d.endpoint.name for d in sent}
    asks = [e.message for e in effects_of(fx.SendPeer, gateway.effects)]
    assert {m.engine for m in asks if isinstance(m, messages.Ask)} == {"e1", "e2"}


def test_others_are_told_once():
    gateway = start_gateway(plain_endpoint(1), plain_endpoint(2))
    dispatches = [d for d in (send_request(gateway) for _ in range(8)) if d.endpoint.name == "d1"]
    for dispatch in dispatches:
        begin_response(gateway, dispatch)
    gateway.advance(5.0)
    told = [
        (effect.peer, effect.message)
        for effect in effects_of(fx.SendPeer, gateway.effects)
        if isinstance(effect.message, messages.EndpointLeaving)
    ]
    assert told == [(peer, messages.EndpointLeaving("d1", 1)) for peer in ("entry-2", "entry-3")]
    sent = message_converter.unstructure(told[0][1], unstructure_as=messages.Message)
    received = message_converter.structure(orjson.loads(orjson.dumps(sent)), messages.Message)
    assert received == told[0][1]


@pytest.mark.parametrize(
    ("learn", "source"),
    [(say_leaving, "answer"), (be_told, "entry"), (read_draining_record, "record")],
)
def test_log_tells_who_said_which_run_leaves(learn, source):
    gateway = start_gateway(plain_endpoint(1, incarnation=7))
    dispatch = send_request(gateway)
    changes = effects_of(LogChange, learn(gateway, dispatch))
    (fields,) = [change.fields for change in changes if change.change == "endpoint-leaving"]
    assert (fields["endpoint"], fields["incarnation"], fields["source"]) == ("d1", 7, source)
    sent = [e.fields for e in effects_of(fx.LogRequest, gateway.effects) if e.decision == "sent"]
    assert [fields["incarnation"] for fields in sent] == [7]


def test_record_that_follows_says_nothing_new():
    gateway = start_gateway(plain_endpoint(1), plain_endpoint(2))
    begin_response(gateway, next(d for d in iter(lambda: send_request(gateway), None)))
    leaving = next(n for n, e in gateway.state.endpoints.items() if e.is_leaving)
    record = plain_endpoint(int(leaving[1:]), draining=True)
    gateway.submit(ev.EndpointSeen, record=record)
    changes = [c.change for c in effects_of(LogChange, gateway.effects)]
    assert changes.count("endpoint-leaving") == 1
    assert leaving not in endpoints_of(gateway)


@pytest.mark.parametrize("lost_share", [0.0, 0.3, 1.0], ids=["told", "some-lost", "not-told"])
@pytest.mark.parametrize("entry_count", [1, 9, 40])
def test_entry_that_passed_on_such_a_response_sends_nothing_more(entry_count, lost_share):
    site = EngineSite(entry_count, 4)
    site.lost_share = lost_share
    requests = site.send_steadily(REQUEST_INTERVAL_S, "shared")
    site.run(3.0)
    leaving = next(iter(site.runs_by_name.values()))
    leaving.is_leaving = True
    site.run(15.0)
    for name, told_at in leaving.told_leaving_at.items():
        assert not [at for at, n in leaving.arrivals if n == name and at > told_at + UNDER_WAY_S]
    if lost_share == 0.0:
        first_told_at = min(leaving.told_leaving_at.values())
        assert not [at for at, _ in leaving.arrivals if at > first_told_at + UNDER_WAY_S]
    assert not [sent for sent in requests if sent.refused]
