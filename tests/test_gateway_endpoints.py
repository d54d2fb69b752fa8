"""Which endpoints a gateway uses: leaving, missing, restarted, in trouble."""

import pytest

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.events import Outcome
from poplarhoist.decisions.gateway.models import Refused
from tests.gateway import Gateway, desk, engine, of, one


def site(*records) -> Gateway:
    gateway = Gateway()
    gateway.configure()
    gateway.list(*records)
    return gateway


def leave(gateway: Gateway) -> None:
    gateway.submit(ev.EndpointSeen, record=desk(1, leaving=True))


def vanish(gateway: Gateway) -> None:
    gateway.submit(ev.EndpointRemoved, name="d1")


@pytest.mark.parametrize("change", [leave, vanish])
def test_an_endpoint_that_leaves_or_is_gone_gets_nothing_more(change):
    gateway = site(desk(1), desk(2))
    change(gateway)
    for _ in range(20):
        assert one(fx.Dispatch, gateway.ask("/read/x")[1]).endpoint.name == "d2"


def test_what_lapsed_while_the_store_was_away_is_used_until_it_should_be_back():
    gateway = site(desk(1))
    gateway.submit(ev.StoreReached, reached=False)
    vanish(gateway)
    assert of(fx.Dispatch, gateway.ask("/read/x")[1])
    gateway.run(10.0)
    gateway.submit(ev.StoreReached, reached=True)
    gateway.run(1.5)
    assert of(fx.Dispatch, gateway.ask("/read/x")[1])
    gateway.run(1.0)
    effects = gateway.ask("/read/x")[1] + gateway.run(0.3)
    assert one(fx.Refuse, effects).reason is Refused.NO_ENDPOINT


def test_what_is_back_in_time_stays():
    gateway = site(desk(1))
    gateway.submit(ev.StoreReached, reached=False)
    vanish(gateway)
    gateway.submit(ev.StoreReached, reached=True)
    gateway.run(1.0)
    gateway.submit(ev.EndpointSeen, record=desk(1))
    gateway.run(5.0)
    assert of(fx.Dispatch, gateway.ask("/read/x")[1])


def test_a_restarted_engine_holds_nothing_of_before():
    gateway = site(engine(1, ("a1",)))
    assert of(fx.Dispatch, gateway.ask("/stream/x", "a1")[1])
    gateway.submit(ev.EndpointSeen, record=engine(1, born=2))
    assert not of(fx.Dispatch, gateway.ask("/stream/x", "a1")[1])


def test_an_endpoint_that_cannot_be_reached_is_avoided_for_a_while():
    gateway = site(desk(1), desk(2))
    first = one(fx.Dispatch, gateway.ask("/read/x")[1])
    second = one(fx.Dispatch, gateway.end(first, Outcome.NOT_SENT))
    gateway.end(second, Outcome.DONE)
    for _ in range(10):
        dispatch = one(fx.Dispatch, gateway.ask("/read/x")[1])
        assert dispatch.endpoint.name != first.endpoint.name
        gateway.end(dispatch, Outcome.DONE)
    gateway.run(1.5)
    names = set()
    for _ in range(40):
        dispatch = one(fx.Dispatch, gateway.ask("/read/x")[1])
        names.add(dispatch.endpoint.name)
        gateway.end(dispatch, Outcome.DONE)
    assert names == {"d1", "d2"}


def test_an_endpoint_that_fails_more_than_its_peers_gets_less():
    gateway = site(desk(1), desk(2))
    counts = {"d1": 0, "d2": 0}
    for _ in range(200):
        _, effects = gateway.ask("/once/x")
        dispatch = one(fx.Dispatch, effects)
        counts[dispatch.endpoint.name] += 1
        failed = dispatch.endpoint.name == "d1"
        gateway.end(dispatch, Outcome.FAILED if failed else Outcome.DONE, status=500)
        gateway.run(0.025)
    assert counts["d1"] < counts["d2"] / 3


def test_a_plain_service_is_loaded_evenly():
    gateway = site(desk(1), desk(2), desk(3))
    names = [one(fx.Dispatch, gateway.ask("/read/x")[1]).endpoint.name for _ in range(30)]
    assert {names.count(name) for name in set(names)} == {10}
