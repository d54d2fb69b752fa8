"""Which endpoints get requests: draining, missing, restarted and failing ones."""

import pytest

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.events import Outcome
from poplarhoist.decisions.gateway.models import Refused
from tests.gateway import Gateway, effects_of, engine, only_effect, plain_endpoint


def gateway_with_endpoints(*records) -> Gateway:
    gateway = Gateway()
    gateway.configure()
    gateway.list_endpoints(*records)
    return gateway


def start_draining(gateway: Gateway) -> None:
    gateway.submit(ev.EndpointSeen, record=plain_endpoint(1, draining=True))


def remove_record(gateway: Gateway) -> None:
    gateway.submit(ev.EndpointRemoved, name="d1")


@pytest.mark.parametrize("change", [start_draining, remove_record])
def test_draining_or_removed_endpoint_gets_no_requests(change):
    gateway = gateway_with_endpoints(plain_endpoint(1), plain_endpoint(2))
    change(gateway)
    for _ in range(20):
        assert only_effect(fx.Dispatch, gateway.request("/read/x")[1]).endpoint.name == "d2"


def test_endpoint_missing_in_a_store_outage_is_kept_until_the_reregistration_deadline():
    gateway = gateway_with_endpoints(plain_endpoint(1))
    gateway.submit(ev.StoreAvailabilityChanged, available=False)
    remove_record(gateway)
    assert effects_of(fx.Dispatch, gateway.request("/read/x")[1])
    gateway.advance(10.0)
    gateway.submit(ev.StoreAvailabilityChanged, available=True)
    gateway.advance(1.5)
    assert effects_of(fx.Dispatch, gateway.request("/read/x")[1])
    gateway.advance(1.0)
    effects = gateway.request("/read/x")[1] + gateway.advance(0.3)
    assert only_effect(fx.Refuse, effects).reason is Refused.NO_ENDPOINT


@pytest.mark.parametrize("first_outage", ["before", "during"])
def test_further_outages_do_not_begin_the_time_to_register_again_anew(first_outage):
    """An endpoint that is gone got requests for as long as outages followed one another."""
    gateway = gateway_with_endpoints(plain_endpoint(1))
    gateway.submit(ev.StoreAvailabilityChanged, available=False)
    if first_outage == "during":
        remove_record(gateway)
    gateway.advance(0.5)
    gateway.submit(ev.StoreAvailabilityChanged, available=True)
    remove_record(gateway)
    available_s = 0.0
    while "d1" in gateway.state.endpoints:
        assert available_s < 2.5
        gateway.advance(0.75)
        available_s += 0.75
        gateway.submit(ev.StoreAvailabilityChanged, available=False)
        gateway.advance(1.0)
        assert "d1" in gateway.state.endpoints or available_s >= 2.0
        gateway.submit(ev.StoreAvailabilityChanged, available=True)
    assert available_s >= 2.0


def test_endpoint_back_in_time_after_a_store_outage_is_kept():
    gateway = gateway_with_endpoints(plain_endpoint(1))
    gateway.submit(ev.StoreAvailabilityChanged, available=False)
    remove_record(gateway)
    gateway.submit(ev.StoreAvailabilityChanged, available=True)
    gateway.advance(1.0)
    gateway.submit(ev.EndpointSeen, record=plain_endpoint(1))
    gateway.advance(5.0)
    assert effects_of(fx.Dispatch, gateway.request("/read/x")[1])


def test_restarted_engine_holds_no_earlier_adapters():
    gateway = gateway_with_endpoints(engine(1, ("a1",)))
    assert effects_of(fx.Dispatch, gateway.request("/stream/x", "a1")[1])
    gateway.submit(ev.EndpointSeen, record=engine(1, incarnation=2))
    assert not effects_of(fx.Dispatch, gateway.request("/stream/x", "a1")[1])


def test_unreachable_endpoint_is_avoided_for_a_while():
    gateway = gateway_with_endpoints(plain_endpoint(1), plain_endpoint(2))
    first = only_effect(fx.Dispatch, gateway.request("/read/x")[1])
    second = only_effect(fx.Dispatch, gateway.end_attempt(first, Outcome.NOT_SENT))
    gateway.end_attempt(second, Outcome.DONE)
    for _ in range(10):
        dispatch = only_effect(fx.Dispatch, gateway.request("/read/x")[1])
        assert dispatch.endpoint.name != first.endpoint.name
        gateway.end_attempt(dispatch, Outcome.DONE)
    gateway.advance(1.5)
    names = set()
    for _ in range(40):
        dispatch = only_effect(fx.Dispatch, gateway.request("/read/x")[1])
        names.add(dispatch.endpoint.name)
        gateway.end_attempt(dispatch, Outcome.DONE)
    assert names == {"d1", "d2"}


def test_endpoint_with_more_errors_gets_fewer_requests():
    gateway = gateway_with_endpoints(plain_endpoint(1), plain_endpoint(2))
    counts = {"d1": 0, "d2": 0}
    for _ in range(200):
        _, effects = gateway.request("/once/x")
        dispatch = only_effect(fx.Dispatch, effects)
        counts[dispatch.endpoint.name] += 1
        failed = dispatch.endpoint.name == "d1"
        gateway.end_attempt(dispatch, Outcome.FAILED if failed else Outcome.DONE, status=500)
        gateway.advance(0.025)
    assert counts["d1"] < counts["d2"] / 3


def test_plain_service_is_loaded_evenly():
    gateway = gateway_with_endpoints(plain_endpoint(1), plain_endpoint(2), plain_endpoint(3))
    names = [
        only_effect(fx.Dispatch, gateway.request("/read/x")[1]).endpoint.name for _ in range(30)
    ]
    assert {names.count(name) for name in set(names)} == {10}
