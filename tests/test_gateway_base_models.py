"""Base models: what an engine should load, how many adapters fit, and sites with several of them."""

import random

import pytest
from attrs import evolve

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import messages
from poplarhoist.decisions.gateway.base_models import adapter_capacity, choose_model
from poplarhoist.decisions.gateway.models import (
    AdapterKey,
    BaseModel,
    Configuration,
    EngineProfile,
    EngineReport,
    ServiceSpec,
)
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.decisions.gateway.residency import slots_taken
from tests.gateway import ROUTES, Gateway, effects_of, engine, only_effect


def profile_of(model_count: int, size_mb: float, memory_mb: float, slots: int) -> EngineProfile:
    models = {f"m{n}": BaseModel(f"m{n}", size_mb, 40.0) for n in range(model_count)}
    return EngineProfile(slots, memory_mb, models)


def start(profile: EngineProfile, *models_by_engine: tuple[str, ...]) -> Gateway:
    """Return an entry among engines that hold these base models."""
    gateway = Gateway()
    services = {"models": ServiceSpec("models", profile), "desk": ServiceSpec("desk")}
    gateway.submit(ev.ConfigurationSeen, configuration=Configuration(1, ROUTES, services))
    records = [
        evolve(engine(number), held={AdapterKey(name): 1 for name in models})
        for number, models in enumerate(models_by_engine, 1)
    ]
    gateway.list_endpoints(*records)
    return gateway


# Number of base models, their size, the memory and slots of an engine; what it holds; adapters.
@pytest.mark.parametrize(
    ("profile", "held", "expected"),
    [
        (profile_of(1, 600.0, 1000.0, 8), {"m0"}, 8),
        (profile_of(1, 600.0, 1000.0, 30), {"m0"}, 10),
        (profile_of(20, 600.0, 1000.0, 8), {"m3"}, 8),
        (profile_of(20, 300.0, 1000.0, 8), {"m3", "m4"}, 8),
        (profile_of(20, 300.0, 1000.0, 8), {"m3", "m4", "m5"}, 2),
        (profile_of(2, 600.0, 1000.0, 2), {"m0"}, 2),
        (profile_of(2, 600.0, 1000.0, 2), {"gone"}, 2),
        (profile_of(2, 960.0, 1000.0, 8), {"m0", "m1"}, 0),
    ],
)
def test_adapters_are_counted_beside_the_base_models_that_the_engine_holds(profile, held, expected):
    assert adapter_capacity(profile, held) == expected


# Base models, their size, the memory of an engine; what each engine holds; what the first loads.
@pytest.mark.parametrize(
    ("count", "size_mb", "memory_mb", "held", "expected"),
    [
        pytest.param(1, 600.0, 1000.0, [()], {"m0"}, id="restarted-empty"),
        pytest.param(1, 600.0, 1000.0, [("m0",)], {None}, id="holds-the-only-one"),
        pytest.param(1, 1200.0, 1000.0, [()], {None}, id="does-not-fit"),
        pytest.param(3, 600.0, 1000.0, [("m0",), ("m1",)], {None}, id="no-room-for-the-third"),
        pytest.param(3, 600.0, 1000.0, [(), ("m0",), ("m1",)], {"m2"}, id="that-nobody-holds"),
        pytest.param(2, 600.0, 1000.0, [(), ("m0",), ("m0",), ("m1",)], {"m1"}, id="held-least"),
        pytest.param(2, 300.0, 1000.0, [("m0",), ("m1",)], {None}, id="held-elsewhere"),
        pytest.param(2, 300.0, 1000.0, [("m0",)], {"m1"}, id="nobody-else-can"),
    ],
)
def test_engine_loads_a_base_model_only_if_it_has_room_and_reason(
    count, size_mb, memory_mb, held, expected
):
    profile = profile_of(count, size_mb, memory_mb, 8)
    gateway = start(profile, *held)
    assert choose_model(gateway.state, "e1", profile, set(held[0]), 0) in expected


def test_only_one_of_several_engines_loads_a_base_model_that_nobody_holds():
    profile = profile_of(2, 300.0, 1000.0, 8)
    gateway = start(profile, *[("m0",)] * 6)
    chosen = [choose_model(gateway.state, f"e{n}", profile, {"m0"}, 0) for n in range(1, 7)]
    assert sorted(map(str, chosen)) == ["None"] * 5 + ["m1"]


# Engines, base models, adapter slots, adapters that fit into the memory beside one base model.
@pytest.mark.parametrize(
    ("engines", "models", "slots", "fitting"),
    [(3, 1, 2, 30), (9, 3, 4, 4), (40, 20, 30, 12), (6, 20, 8, 8)],
)
def test_no_engine_is_ordered_to_load_more_than_its_memory_takes(engines, models, slots, fitting):
    """Engines restart empty in turn and callers ask for adapters of all models meanwhile."""
    size_mb = 600.0
    profile = profile_of(models, size_mb, size_mb + 40.0 * fitting, slots)
    held = [(f"m{number % models}",) for number in range(engines)]
    gateway = start(profile, *held)
    rng = random.Random(1)
    lead_all_engines(gateway)
    for number in range(1, engines + 1):
        name = f"e{number}"
        effects = read_report(gateway, name, {}, 0)
        order = only_effect(fx.SendOrder, effects)
        assert (order.kind, order.key.adapter) == ("load", "")
        gateway.end_order(order, ev.OrderStatus.ACCEPTED)
        gateway.advance(2.5)
        effects = read_report(gateway, name, {order.key: 1}, 1)
        for _ in range(2 * slots):
            wanted = messages.Ask(name, order.key.model, f"a{rng.randrange(99)}", 0, 1)
            effects += gateway.receive("other", wanted)
            for load in effects_of(fx.SendOrder, effects):
                assert load.key.adapter
                gateway.end_order(load, ev.OrderStatus.ACCEPTED)
            effects = gateway.advance(0.025)
        table = gateway.state.slot_tables[name]
        adapters = slots_taken(table)
        assert 0 < adapters <= min(slots, fitting)
        assert size_mb * len(table.base_models) + 40.0 * adapters <= profile.memory_mb


def lead_all_engines(gateway: Gateway) -> None:
    """Let the entry claim all engines, and wait until it may order them."""
    gateway.state.started_at = gateway.at - 10.0
    while len(gateway.state.slot_tables) < len(gateway.state.endpoints):
        for claim in effects_of(fx.Claim, gateway.advance(0.3)):
            fields = {"engine": claim.engine, "epoch": claim.epoch}
            gateway.submit(
                ev.ClaimEnded, status=ev.CallStatus.OK, position=Position(0, 1), **fields
            )
    gateway.advance(5.0)


def read_report(gateway: Gateway, name: str, held: dict[AdapterKey, int], orders: int) -> list:
    """Let the report of an engine that has started again be read."""
    report = EngineReport(2, orders, held, {})
    fields = {"engine": name, "report": report, "requested_at": gateway.at}
    return gateway.submit(ev.ReportReceived, **fields)
