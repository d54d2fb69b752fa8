"""Replays of traces under the product's decisions and under the baselines."""

import json

import pytest
from attrs import evolve

from poplarhoist.cli.load import main
from poplarhoist.context import Environment
from poplarhoist.load.comparison import compare_policies
from poplarhoist.load.measures import Measures
from poplarhoist.replay.runner import POLICIES_BY_NAME, replay
from poplarhoist.replay.shapes import SHAPES_BY_NAME
from poplarhoist.replay.traces import TRACES_BY_NAME, Trace

SHAPE = evolve(
    SHAPES_BY_NAME["tornos"],
    entries=2,
    engines=2,
    adapters=200,
    warm_up_s=15.0,
    measured_s=60.0,
)


def small_trace(name: str) -> Trace:
    return TRACES_BY_NAME[name](SHAPE, 1)


@pytest.mark.parametrize("name", TRACES_BY_NAME)
def test_traces_are_determined_by_the_seed(name):
    make = TRACES_BY_NAME[name]
    trace = make(SHAPE, 1)
    times = [arrival.at for arrival in trace.arrivals]
    assert times == sorted(times)
    assert {arrival.entry for arrival in trace.arrivals} == set(range(SHAPE.entries))
    assert trace == make(SHAPE, 1)
    assert trace.arrivals != make(SHAPE, 2).arrivals


@pytest.mark.parametrize("trace", ["zipf-1.0", "restart", "store-slow"])
@pytest.mark.parametrize("policy", POLICIES_BY_NAME)
def test_every_call_is_answered_or_refused(policy, trace):
    measures = replay(small_trace(trace), policy, 1)
    refused = sum(measures.refused.values())
    assert measures.asked == measures.answered + refused
    assert (measures.wrong, measures.lost) == (0, 0)
    assert 0.0 < measures.batch_efficiency <= 1.0
    assert 0 < measures.stalled < measures.asked
    assert measures.loads <= SHAPE.loads_per_s * measures.span_s + SHAPE.loads_per_s


def test_the_clairvoyant_policy_needs_the_fewest_loads():
    trace = small_trace("zipf-1.0")
    loads = {name: replay(trace, name, 1).loads for name in POLICIES_BY_NAME}
    assert min(loads, key=loads.get) == "clairvoyant"


def test_the_command_writes_table_and_json(tmp_path, capsys):
    out = tmp_path / "measures.json"
    options = ["--trace", "zipf-1.2", "--policy", "lru", "--site", "tornos", "--out", str(out)]
    assert main(["replay", *options], Environment()) == 0
    printed = capsys.readouterr()
    assert "| tornos | zipf-1.2 | lru" in printed.out
    assert "100%" in printed.err
    (found,) = json.loads(out.read_text())
    assert found["answered"] == found["asked"]


def make_measures(policy, stall_s, batch_efficiency):
    return Measures("tornos", "t", policy, stall_s=stall_s, batch_efficiency=batch_efficiency)


@pytest.mark.parametrize(
    ("stall_s", "batch", "stationary", "missed"),
    [
        (50.0, 0.5, True, []),
        (51.0, 0.5, True, ["stalls over 0.5 of lru"]),
        (50.0, 0.49, False, ["batch efficiency under rendezvous"]),
        (53.0, 0.5, True, ["stalls over 0.5 of lru", "stalls over 1.3 of clairvoyant"]),
        (53.0, 0.5, False, ["stalls over 0.5 of lru"]),
        (
            101.0,
            0.3,
            False,
            ["stalls over 0.5 of lru", "batch efficiency under rendezvous", "beaten by lru"],
        ),
    ],
)
def test_missed_targets_are_listed(stall_s, batch, stationary, missed):
    baselines = [
        make_measures("lru", 100.0, 0.4),
        make_measures("rendezvous", 120.0, 0.5),
        make_measures("clairvoyant", 40.0, 0.6),
    ]
    found = compare_policies(
        [*baselines, make_measures("hoist", stall_s, batch)], {"t"} if stationary else set()
    )
    assert [verdict.missed_targets() for verdict in found] == [missed]
