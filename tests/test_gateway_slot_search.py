"""Requests that find an engine without a free adapter slot, beside others that have one."""

import pytest

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import messages, paces
from poplarhoist.decisions.gateway.models import AdapterKey, EndpointLoad
from poplarhoist.decisions.gateway.slot_search import MAX_ASKED_ENGINES
from tests.gateway import Gateway, effects_of, engine, start_gateway

ENGINES = 6


def start(tells_pace: bool) -> Gateway:
    """Return an entry beside engines of another entry, none of which holds the adapter."""
    gateway = start_gateway(*(engine(number) for number in range(1, ENGINES + 1)))
    for name, endpoint in gateway.state.endpoints.items():
        gateway.set_lead(name, "entry-2")
        if tells_pace:
            paces.on_load(
                endpoint.pace, paces.ServicePace(), EndpointLoad(1, 0, 64, 1.0), gateway.at
            )
    return gateway


def asked(effects: list) -> list[str]:
    """Return the engines whose lead was asked for an adapter, in order."""
    sent = [effect.message for effect in effects_of(fx.SendPeer, effects)]
    return [message.engine for message in sent if isinstance(message, messages.Ask)]


def answer(gateway: Gateway, name: str, room: int, coming: bool = False) -> list:
    """Let the lead of an engine answer with a View."""
    loading = {"base/a1": 0.2} if coming else {}
    return gateway.receive("entry-2", messages.View(name, {"base": 1}, loading, 0, 0, room))


@pytest.mark.parametrize(("tells_pace", "count"), [(True, MAX_ASKED_ENGINES), (False, 1)])
def test_request_at_full_engines_asks_further_ones_at_once(tells_pace, count):
    # Guards against a refusal for want of a slot that another engine has.
    gateway = start(tells_pace)
    engines = asked(gateway.request("/stream/x", "a1")[1])
    for _ in range(ENGINES):
        gateway.at += 0.01
        engines += asked(answer(gateway, engines[-1], room=-1))
    assert len(engines) == len(set(engines)) == count


def test_lead_of_a_left_engine_is_told_that_the_ask_is_withdrawn():
    # Guards against a load at the first engine for which nobody waits any more.
    gateway = start(tells_pace=True)
    first = asked(gateway.request("/stream/x", "a1")[1])[0]
    effects = answer(gateway, first, room=-1)
    withdrawn = messages.AskWithdrawn(first, "base", "a1")
    assert fx.SendPeer("entry-2", withdrawn) in effects_of(fx.SendPeer, effects)


def test_request_whose_adapter_is_coming_stays():
    # Guards against a second load of an adapter that is being loaded already.
    gateway = start(tells_pace=True)
    first = asked(gateway.request("/stream/x", "a1")[1])[0]
    assert not asked(answer(gateway, first, room=-1, coming=True))


@pytest.mark.parametrize(
    ("askers", "withdraws", "is_loaded"),
    [
        (("entry-2",), ("entry-2",), False),
        (("entry-2", "entry-3"), ("entry-2",), True),
        (("entry-2",), (), True),
        (("entry-2",), ("entry-3",), True),
    ],
)
def test_lead_loads_only_what_somebody_still_waits_for(askers, withdraws, is_loaded):
    # Guards against loads for requests that have moved to another engine.
    gateway = start_gateway(engine(1))
    gateway.set_lead("e1")
    for entry in askers:
        gateway.receive(entry, messages.Ask("e1", "base", "a1", 0, 1))
    for entry in withdraws:
        gateway.receive(entry, messages.AskWithdrawn("e1", "base", "a1"))
    gateway.receive("entry-2", messages.AskWithdrawn("e9", "base", "a1"))
    gateway.advance(4.0)
    for entry in set(askers) - set(withdraws):
        gateway.receive(entry, messages.Ask("e1", "base", "a1", 0, 1))
    gateway.report("e1")
    loads = effects_of(fx.SendOrder, gateway.effects)
    assert bool([order for order in loads if order.key == AdapterKey("base", "a1")]) is is_loaded
