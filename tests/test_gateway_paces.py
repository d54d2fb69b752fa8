"""Paces of endpoints: what is read of them, estimated from them, and chosen by them."""

import functools
import hashlib
import random

import pytest

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import paces
from poplarhoist.decisions.gateway.models import EndpointLoad
from poplarhoist.decisions.gateway.paces import EngineTimes, Forecast, PaceState, ServicePace
from poplarhoist.platform.headers import parse_response_head
from tests.gateway import effects_of, engine, plain_endpoint, send_request, start_gateway
from tests.gateway_load import Simulation
from tests.pace_load import CAPACITY_PER_S, PlainSimulation

# Requests of a simulated load; of fewer, too few are late at 0.3 of the capacity for a comparison.
MIN_REQUESTS = 20000


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("3,1,6,125", (3, 1, 6, 1.25)),
        (" 3 , 1 , 6 , 87.5 ", (3, 1, 6, 0.875)),
        ("3,1,6", (3, 1, 6, None)),
        ("3,1,6,125,9,x", (3, 1, 6, 1.25)),
        ("3", (3, -1, 0, None)),
        ("", (-1, -1, 0, None)),
        ("-3,1,6,125", (-1, 1, 6, 1.25)),
        ("3,busy,6,125", (3, -1, 6, 1.25)),
        ("3,1,100001,125", (3, 1, 0, 1.25)),
        ("3,1,100000,100001", (3, 1, 100000, None)),
        ("3,1,,0", (3, 1, 0, None)),
        ("3,1,6,nan", (3, 1, 6, None)),
        ("3,1,6,1e3", (3, 1, 6, None)),
        ("3,1,6,1_0", (3, 1, 6, None)),
        ("3,1,6,\xb2", (3, 1, 6, None)),
        ("3,1,6," + "9" * 400, (3, 1, 6, None)),
    ],
)
def test_figures_are_read_one_by_one(text, expected):
    """A fourth figure, or one that is no number, made all of them unknown."""
    head = parse_response_head(200, [("X-Server-Load", text)])
    assert head.notice.load == EndpointLoad(*expected)


def told(*readings: tuple[float, float], results=(), slots: int = 6) -> PaceState:
    """Return the state of an endpoint that told paces at times, and had results of 0.1 s."""
    pace, service = PaceState(), ServicePace()
    service.work_s.add(0.1, 0.0, 1000.0)
    for at, value in readings:
        paces.on_load(pace, service, EndpointLoad(0, 0, slots, value), at)
    for at, result_s in results:
        paces.record_plain_result(pace, result_s, at)
    return pace


EVERY_TENTH = [n / 10 for n in range(600)]


@pytest.mark.parametrize(
    ("pace", "at", "low", "high"),
    [
        (told(), 0.0, 1.0, 1.0),
        # A single reading is hardly believed; many over a second are.
        (told((0.0, 3.0)), 0.0, 1.2, 2.0),
        (told(*((at, 3.0) for at in EVERY_TENTH)), 60.0, 2.9, 3.0),
        # Twenty readings at one moment are one reading.
        (told(*((0.0, 3.0),) * 20), 0.0, 1.2, 2.0),
        # Readings that change ten times a second count with their mean.
        (told(*((at, 0.5 + n % 2) for n, at in enumerate(EVERY_TENTH))), 60.0, 0.9, 1.1),
        # The last second fades within five seconds to the mean of the last minute.
        (told(*((at, 1.0 + 2.0 * (at > 58.0)) for at in EVERY_TENTH)), 60.0, 1.9, 3.0),
        (told(*((at, 1.0 + 2.0 * (at > 58.0)) for at in EVERY_TENTH)), 65.0, 1.0, 1.2),
        # What is minutes old has faded to the usual pace.
        (told(*((at, 3.0) for at in EVERY_TENTH)), 600.0, 1.0, 1.05),
        # Own results tell the base speed, also long after the latest figure.
        (told((0.0, 1.0), results=[(at, 0.2) for at in range(1, 60, 5)]), 70.0, 1.5, 2.0),
        (told((0.0, 1.0), results=[(at, 0.05) for at in range(1, 60, 5)]), 70.0, 0.5, 0.75),
        # Absurd readings and results are bounded.
        (told((0.0, 1000.0)), 0.0, 1.2, 5.0),
        (told((0.0, 1.0), results=[(1.0, 1000.0)]), 1.0, 1.0, 5.0),
    ],
)
def test_factor_of_an_endpoint(pace, at, low, high):
    assert low <= paces.factor(pace, at) <= high


def test_results_count_only_where_a_pace_was_told():
    pace = told(results=[(1.0, 0.4)] * 20)
    assert paces.factor(pace, 1.0) == 1.0
    assert paces.engine_s(pace, 0.1, 0.2, 1.0) == 0.1 + 0.2


@pytest.mark.parametrize(("prefill_ratio", "latency_ratio"), [(1.0, 1.0), (0.7, 0.3), (1.8, 0.5)])
def test_engines_times_are_learned_from_results(prefill_ratio, latency_ratio):
    times, draw = EngineTimes(), random.Random(1)
    for n in range(600):
        forecast = Forecast(draw.uniform(0.02, 0.5), 0.0, draw.uniform(0.0, 0.4))
        result_s = prefill_ratio * forecast.prefill_s + latency_ratio * forecast.latency_s
        times.add(forecast, result_s * draw.uniform(0.8, 1.2), n * 0.2)
    assert times.prefill_ratio == pytest.approx(prefill_ratio, abs=0.15)
    assert times.latency_ratio == pytest.approx(latency_ratio, abs=0.15)


def test_few_results_hardly_move_the_constants():
    times = EngineTimes()
    times.add(Forecast(0.05, 0.0, 0.05), 5.0, 1.0)
    assert 1.0 <= times.prefill_ratio <= 2.0


@pytest.mark.parametrize(
    ("load", "is_full"),
    [
        (EndpointLoad(6, 6, 6, 1.0), True),
        (EndpointLoad(6, 2, 6, 1.0), False),
        (EndpointLoad(5, 6, 6, 1.0), False),
        (EndpointLoad(6, 6, 6, None), False),
    ],
)
def test_full_endpoint_gets_nothing_while_others_have_room(load, is_full):
    gateway = start_gateway(plain_endpoint(1), plain_endpoint(2))
    for name in ("d1", "d2"):
        # The other one is free, and tells its pace if this one does.
        tells = load if name == "d1" else EndpointLoad(0, 0, 6, load.pace)
        answer(gateway, name, tells)
    assert paces.is_full(gateway.state.endpoints["d1"].pace, gateway.at) == is_full
    if is_full:
        assert {send_request(gateway).endpoint.name for _ in range(40)} == {"d2"}
    gateway.advance(1.0)
    assert "d1" in [send_request(gateway).endpoint.name for _ in range(40)]


def test_requests_go_to_full_endpoints_if_all_are():
    gateway = start_gateway(plain_endpoint(1), plain_endpoint(2))
    for name in ("d1", "d2"):
        answer(gateway, name, EndpointLoad(6, 12, 6, 1.0))
    assert {send_request(gateway).endpoint.name for _ in range(20)} == {"d1", "d2"}


def test_refusal_tells_load_and_pace_too():
    """The load of a response that did not run the request was thrown away."""
    gateway = start_gateway(plain_endpoint(1), plain_endpoint(2))
    dispatch = send_request(gateway)
    notice = ev.EndpointNotice(load=EndpointLoad(6, 3, 6, 2.0))
    gateway.end_attempt(dispatch, ev.Outcome.NOT_RUN, status=503, notice=notice)
    endpoint = gateway.state.endpoints[dispatch.endpoint.name]
    assert endpoint.reported_load == 9
    assert paces.is_full(endpoint.pace, gateway.at)


@pytest.mark.parametrize(
    ("end", "is_learned"),
    [
        ({"outcome": ev.Outcome.DONE, "status": 200}, True),
        ({"outcome": ev.Outcome.DONE, "status": 404}, False),
        ({"outcome": ev.Outcome.FAILED, "status": 500}, False),
        ({"outcome": ev.Outcome.BROKEN, "status": 200}, False),
        ({"outcome": ev.Outcome.CANCELLED}, False),
        ({"outcome": ev.Outcome.TIMED_OUT}, True),
    ],
)
def test_quick_failures_do_not_make_an_endpoint_fast(end, is_learned):
    gateway = start_gateway(plain_endpoint(1))
    answer(gateway, "d1", EndpointLoad(0, 0, 6, 1.0))
    weight = gateway.state.service_paces["desk"].work_s.weight
    dispatch = send_request(gateway)
    gateway.at += 0.01
    gateway.end_attempt(dispatch, **end)
    if end["outcome"] is ev.Outcome.DONE:
        # Without a first byte there is no time to learn from.
        assert gateway.state.service_paces["desk"].work_s.weight == weight
        answer(gateway, "d1", EndpointLoad(0, 0, 6, 1.0), status=end["status"])
    assert (gateway.state.service_paces["desk"].work_s.weight > weight) == is_learned


def test_restarted_endpoint_has_the_usual_pace_again():
    gateway = start_gateway(plain_endpoint(1))
    answer(gateway, "d1", EndpointLoad(0, 0, 6, 5.0))
    endpoint = gateway.state.endpoints["d1"]
    assert paces.factor(endpoint.pace, gateway.at) > 1.5
    late = send_request(gateway)
    gateway.submit(ev.EndpointSeen, record=plain_endpoint(1, incarnation=2))
    start_response(gateway, late, EndpointLoad(0, 0, 6, 5.0))
    assert paces.factor(endpoint.pace, gateway.at) == 1.0
    assert not endpoint.pace.is_told


@pytest.mark.parametrize(("pace", "expected"), [(4.0, "e2"), (0.5, "e1"), (None, "e1")])
def test_slow_engine_is_avoided_if_it_tells_its_pace(pace, expected):
    """Engines whose costs are equal but for their paces; the first of them gets it otherwise."""
    gateway = start_gateway(engine(1), engine(2))
    dispatch = send_request(gateway, "/stream/x", "")
    for _ in range(20):
        gateway.at += 0.1
        start_response(gateway, dispatch, EndpointLoad(0, 0, 64, pace))
    gateway.end_attempt(dispatch, ev.Outcome.DONE, status=200)
    gateway.advance(20.0)
    assert dispatch.endpoint.name == "e1"
    assert send_request(gateway, "/stream/x", "").endpoint.name == expected
    logged = effects_of(fx.LogRequest, gateway.effects)[-1].fields
    assert ("pace" in logged) == (pace is not None and expected == "e1")


# Choices of ffd3d83, before paces were read.
@pytest.mark.parametrize(
    ("kind", "digest"), [("plain", "58eed0866c3b7787"), ("engines", "152523b805f76441")]
)
def test_endpoints_that_tell_three_figures_are_chosen_as_before(kind, digest):
    if kind == "plain":
        load = PlainSimulation(5, tells_pace=False)
        load.generate(20.0, 0.9)
    else:
        load = Simulation(5)
        load.tells_pace = False
        load.advance(3.0)
        load.generate_requests(15.0, 60.0, 300, 1.2)
        load.advance(20.0)
    assert hashlib.sha256(" ".join(load.choices).encode()).hexdigest()[:16] == digest


@functools.cache
def simulate(share: float, tells_pace: bool, pace_has_speed: bool = True) -> tuple[float, float]:
    """Return the shares of late requests and of attempts at the slowest endpoint."""
    load = PlainSimulation(1, tells_pace, pace_has_speed)
    load.generate(MIN_REQUESTS / CAPACITY_PER_S / share, share)
    return load.late_share(), load.share_of("d0")


# The first figure is the share of the capacity that is used; the last bounds the share of late
# requests, against that without paces.
@pytest.mark.parametrize(
    ("share", "pace_has_speed", "most_late"),
    [(0.3, True, 0.8), (0.3, False, 0.9), (0.7, True, 0.5), (0.7, False, 0.5)]
    + [(1.0, True, 0.6), (1.0, False, 0.6)],
)
def test_fewer_requests_are_late_where_paces_are_told(share, pace_has_speed, most_late):
    """Old information must neither overload slow endpoints nor send all to a fast one."""
    before, after = simulate(share, False), simulate(share, True, pace_has_speed)
    print(f"| {share} | {pace_has_speed} | {before[0]:.4f} | {after[0]:.4f} |", end="")
    print(f" {before[1]:.3f} | {after[1]:.3f} |")
    assert after[0] <= most_late * before[0]
    assert after[1] <= 0.7 * before[1]


def start_response(gateway, dispatch: fx.Dispatch, load: EndpointLoad) -> None:
    """Let a response begin that tells a load."""
    fields = {"request_id": dispatch.request_id, "attempt": dispatch.attempt}
    gateway.submit(ev.ResponseStarted, notice=ev.EndpointNotice(load=load), **fields)


def answer(gateway, name: str, load: EndpointLoad, status: int = 200) -> None:
    """Let a request to an endpoint be answered after 0.1 s with a load."""
    for endpoint in gateway.state.endpoints.values():
        endpoint.avoid_until = float("-inf") if endpoint.record.name == name else 1e9
    dispatch = send_request(gateway)
    for endpoint in gateway.state.endpoints.values():
        endpoint.avoid_until = float("-inf")
    gateway.at += 0.1
    start_response(gateway, dispatch, load)
    gateway.end_attempt(dispatch, ev.Outcome.DONE, status=status)
