"""When, where and whether a slow request gets a second attempt, and how both attempts end."""

import pytest
from attrs import evolve

from poplarhoist.decisions.common_effects import Count
from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.crash_suspects import CrashReport, Verdict
from poplarhoist.decisions.gateway.events import Outcome
from poplarhoist.decisions.gateway.models import Refused, RelayTerms
from tests.gateway import (
    ROUTES,
    Gateway,
    effects_of,
    engine,
    only_effect,
    plain_endpoint,
    send_request,
)
from tests.gateway_hedging_load import run_load

# Half of the latency target of /read/, with room for a tick.
SLOW_S = 0.2
ZONES = ("north-a", "north-b", "north-a", "south-a")


def start(count: int = 2, routes=ROUTES, **limits) -> Gateway:
    """Return an entry with endpoints of the plain service; credit for a second attempt is there."""
    gateway = Gateway(**{"hedge_ratio": 1.0} | limits)
    gateway.configure(routes=routes)
    records = [plain_endpoint(n, zone=ZONES[n]) for n in range(count)]
    gateway.list_endpoints(*records, engine(0, ("a1",)))
    return gateway


def start_pair(**limits) -> tuple[Gateway, fx.Dispatch, fx.Dispatch]:
    """Return an entry with two attempts of a request that run, and both attempts."""
    gateway = start(**limits)
    first = send_request(gateway)
    second = only_effect(fx.Hedge, gateway.advance(SLOW_S)).dispatch
    return gateway, first, second


def not_sent_reasons(effects: list) -> list[str]:
    """Return why second attempts were not sent."""
    return [e.labels[0] for e in effects_of(Count, effects) if e.counter == "hedge_not_sent"]


def ended_results(effects: list) -> list[str]:
    """Return how second attempts ended."""
    return [e.labels[0] for e in effects_of(Count, effects) if e.counter == "hedge_ended"]


def in_flight(gateway: Gateway) -> dict[str, int]:
    """Return the requests in flight by endpoint."""
    return {
        name: len(one.in_flight) for name, one in gateway.state.endpoints.items() if one.in_flight
    }


def test_slow_attempt_gets_a_second_one_at_another_endpoint_over_a_new_connection():
    gateway, first, second = start_pair(keep_connections=True)
    assert second.attempt == 2 and second.endpoint.name != first.endpoint.name
    assert not second.may_reuse and second.remaining_s < first.remaining_s
    assert in_flight(gateway) == {"d0": 1, "d1": 1}
    assert not effects_of(fx.Hedge, gateway.advance(0.5))
    assert len(gateway.state.retry_windows["desk"].retries) == 1


# Routes by path, whether a second attempt is sent: only for routes of kind REPEATABLE that allow two.
@pytest.mark.parametrize(
    "path, adapter, max_attempts, is_sent",
    [
        ("/read/x", None, 2, True),
        ("/read/x", None, 1, False),
        ("/read/x", "a1", 2, False),
        ("/once/x", None, 2, False),
        ("/stream/x", "a1", 2, False),
        ("/resume/x", "a1", 2, False),
    ],
)
def test_only_requests_that_may_be_repeated_are_hedged(path, adapter, max_attempts, is_sent):
    gateway = start(routes=[evolve(one, max_attempts=max_attempts) for one in ROUTES])
    send_request(gateway, path, adapter)
    assert bool(effects_of(fx.Hedge, gateway.advance(0.6))) == is_sent


def test_a_relayed_request_a_trial_and_one_that_began_to_be_answered_are_not_hedged():
    gateway = start()
    gateway.request("/read/x", relay=RelayTerms(1, 0, None, ""))
    begun = send_request(gateway)
    gateway.submit(ev.ResponseStarted, request_id=begun.request_id, attempt=1)
    gateway.state.crash_reports += [
        CrashReport(name, 1, "bad", (), False, False, gateway.at - 100.0)
        for name in ("d7", "d8", "d9")
    ]
    gateway.state.crash_verdict = Verdict(contents=frozenset(("bad",)))
    _, effects = gateway.request("/read/x", content_digest="bad")
    trials = [e for e in effects_of(fx.LogRequest, effects) if e.decision == "sent"]
    assert trials[0].fields["trial"]
    assert not effects_of(fx.Hedge, gateway.advance(0.6))


def test_nothing_is_recorded_or_sent_without_the_setting():
    gateway = start(hedge_ratio=0.0)
    dispatch = send_request(gateway)
    assert not effects_of(fx.Hedge, gateway.advance(0.6))
    gateway.submit(ev.ResponseStarted, request_id=dispatch.request_id, attempt=1)
    hedges = gateway.state.hedges
    assert not hedges.by_service and not hedges.reasons_by_request


# Samples in seconds, and after which time a second attempt is sent; half the target is 0.15 s.
@pytest.mark.parametrize(
    "times, age_s, slow_after_s",
    [
        ([0.02] * 19, 0.0, 0.15),
        ([0.05] * 20, 0.0, 0.05),
        ([0.05] * 20, 31.0, 0.15),
        ([0.05] * 95 + [0.4] * 5, 0.0, 0.05),
        ([0.05] * 94 + [0.4] * 6, 0.0, 0.4),
    ],
)
def test_attempt_counts_as_slow_after_the_95th_percentile_of_recent_times(
    times, age_s, slow_after_s
):
    gateway = start()
    gateway.state.hedges.of("desk").first_byte_times.extend((gateway.at, s) for s in times)
    gateway.advance(age_s, 0.5)
    send_request(gateway)
    sent_at = gateway.at
    while not effects_of(fx.Hedge, gateway.advance(0.005, 0.005)):
        assert gateway.at - sent_at < 1.0
    assert gateway.at - sent_at == pytest.approx(slow_after_s, abs=0.011)


def use_up_ratio(gateway: Gateway) -> None:
    gateway.state.hedges.of("desk").credit = 0.5


def let_one_wait(gateway: Gateway) -> None:
    other = gateway.state.requests[gateway.request("/read/y")[0]]
    gateway.state.waiting.add(other.request_id)
    gateway.state.hedges.reasons_by_request.pop(other.request_id, None)
    other.asked_engine, other.deadline_at = "d0", gateway.at + 9.0


def spend_half_of_the_budget(gateway: Gateway) -> None:
    limits = evolve(gateway.state.limits, retry_ratio=0.0, retry_slack=2.4)
    gateway.submit(ev.LimitsChanged, limits=limits)


def report_full(gateway: Gateway) -> None:
    for endpoint in gateway.state.endpoints.values():
        endpoint.reported_load, endpoint.load_reported_at = 6, gateway.at


def remove_the_others(gateway: Gateway) -> None:
    for name in [name for name, one in gateway.state.endpoints.items() if not one.in_flight]:
        gateway.submit(ev.EndpointRemoved, name=name)


def suspect(gateway: Gateway) -> None:
    gateway.state.crash_reports.append(CrashReport("d9", 1, "", (), False, False, gateway.at))


@pytest.mark.parametrize(
    "prepare, deadline_s, reason",
    [
        (lambda gateway: gateway.submit(ev.DrainRequested), 1.5, "stopping"),
        (suspect, 1.5, "suspect"),
        (lambda gateway: None, 0.29, "deadline"),
        (let_one_wait, 1.5, "waiting"),
        (use_up_ratio, 1.5, "ratio"),
        (spend_half_of_the_budget, 1.5, "budget"),
        (report_full, 1.5, "no-endpoint"),
        (remove_the_others, 1.5, "no-endpoint"),
    ],
)
def test_second_attempt_that_is_due_is_not_sent(prepare, deadline_s, reason):
    gateway = start()
    gateway.request("/read/x", deadline_s=deadline_s)
    prepare(gateway)
    effects = gateway.advance(SLOW_S)
    assert not effects_of(fx.Hedge, effects)
    assert not_sent_reasons(effects) == [reason]


# Zone of the first attempt's endpoint is that of d0; the least far other zone comes first.
@pytest.mark.parametrize(
    "records, expected",
    [((0, 1, 2, 3), "d1"), ((0, 2, 3), "d2"), ((0, 3), "d3")],
)
def test_another_zone_of_the_region_comes_first(records, expected):
    gateway = Gateway(hedge_ratio=1.0)
    gateway.configure()
    gateway.list_endpoints(plain_endpoint(0))
    send_request(gateway)
    gateway.list_endpoints(*(plain_endpoint(n, zone=ZONES[n]) for n in records))
    hedge = only_effect(fx.Hedge, gateway.advance(SLOW_S))
    assert hedge.dispatch.endpoint.name == expected


def test_share_of_requests_is_kept_over_any_time_and_saves_at_most_a_window():
    gateway = start(hedge_ratio=0.25)
    hedge_count = 0
    for number in range(1, 61):
        dispatch = send_request(gateway)
        hedges = effects_of(fx.Hedge, gateway.advance(SLOW_S))
        hedge_count += len(hedges)
        assert hedge_count <= 0.25 * number
        gateway.end_attempt(dispatch, Outcome.DONE)
    assert hedge_count == 15
    gateway.advance(30.0, 0.5)
    assert gateway.state.hedges.of("desk").credit <= 1.0


# Which attempt is answered first; how the second one ended; both places are free afterwards.
@pytest.mark.parametrize("number, result", [(1, "lost"), (2, "won")])
def test_first_whole_answer_wins_and_the_other_is_cut_without_blame(number, result):
    gateway, first, second = start_pair()
    winner, loser = (first, second) if number == 1 else (second, first)
    before = evolve(gateway.state.endpoints[loser.endpoint.name])
    effects = gateway.end_attempt(winner, Outcome.DONE, status=200)
    assert only_effect(fx.CancelAttempt, effects).attempt == loser.attempt
    assert ended_results(effects) == [result]
    assert not in_flight(gateway) and not gateway.state.requests
    for outcome in (Outcome.CANCELLED, Outcome.BROKEN, Outcome.DONE):
        assert not gateway.end_attempt(loser, outcome)
    after = gateway.state.endpoints[loser.endpoint.name]
    assert (after.error_rate, after.avoid_until) == (before.error_rate, before.avoid_until)
    assert not gateway.state.crash_reports and not gateway.state.broken_responses_by_crash
    answered = [e for e in effects_of(fx.LogRequest, effects) if e.decision == "answered"]
    assert answered[0].fields["endpoint"] == winner.endpoint.name


FAILURES = (Outcome.BROKEN, Outcome.FAILED, Outcome.NOT_SENT, Outcome.NOT_RUN, Outcome.TIMED_OUT)


@pytest.mark.parametrize("outcome", FAILURES)
@pytest.mark.parametrize("number", [1, 2])
def test_attempt_that_fails_while_the_other_runs_ends_only_itself(number, outcome):
    gateway, first, second = start_pair()
    failing, other = (first, second) if number == 1 else (second, first)
    effects = gateway.end_attempt(failing, outcome, status=503)
    kinds = (fx.Dispatch, fx.Hedge, fx.Refuse, fx.ForwardFailure, fx.CancelAttempt)
    assert not [e for e in effects if isinstance(e, kinds)]
    assert in_flight(gateway) == {other.endpoint.name: 1}
    assert not effects_of(fx.Hedge, gateway.advance(SLOW_S))
    effects = gateway.end_attempt(other, Outcome.DONE, status=200)
    assert not gateway.state.requests and not in_flight(gateway)
    assert ended_results(effects) == (["won"] if number == 1 else [])


# How the first and then the second attempt end, and what the caller gets.
@pytest.mark.parametrize(
    "outcomes, expected",
    [
        ((Outcome.BROKEN, Outcome.BROKEN), (Refused.LOST, True)),
        ((Outcome.FAILED, Outcome.BROKEN), (Refused.LOST, True)),
        ((Outcome.BROKEN, Outcome.FAILED), None),
        ((Outcome.TIMED_OUT, Outcome.TIMED_OUT), (Refused.DEADLINE, True)),
    ],
)
@pytest.mark.parametrize("number", [1, 2])
def test_failure_of_both_ends_as_the_last_failure_would(number, outcomes, expected):
    gateway, first, second = start_pair()
    attempts = (first, second) if number == 1 else (second, first)
    gateway.end_attempt(attempts[0], outcomes[0], status=503)
    effects = gateway.end_attempt(attempts[1], outcomes[1], status=503)
    assert not effects_of(fx.Dispatch, effects) and not gateway.state.requests
    if expected is None:
        only_effect(fx.ForwardFailure, effects)
        return
    refusal = only_effect(fx.Refuse, effects)
    assert (refusal.reason, refusal.ran) == expected


def test_request_that_both_attempts_did_not_run_is_sent_again_with_a_new_number():
    gateway, first, second = start_pair()
    gateway.end_attempt(second, Outcome.NOT_SENT)
    again = only_effect(fx.Dispatch, gateway.end_attempt(first, Outcome.NOT_SENT))
    assert again.attempt == 3
    assert not effects_of(fx.Hedge, gateway.advance(SLOW_S))


def test_max_attempts_bounds_possible_runs_of_both_together():
    routes = [evolve(ROUTES[3], max_attempts=3)]
    gateway = start(3, routes=routes)
    first = send_request(gateway)
    second = only_effect(fx.Hedge, gateway.advance(0.6)).dispatch
    gateway.end_attempt(first, Outcome.BROKEN)
    third = only_effect(fx.Dispatch, gateway.end_attempt(second, Outcome.BROKEN))
    assert third.attempt == 3
    assert only_effect(fx.Refuse, gateway.end_attempt(third, Outcome.BROKEN)).ran


@pytest.mark.parametrize("number", [1, 2])
def test_caller_that_leaves_ends_both(number):
    gateway, first, second = start_pair()
    gateway.submit(ev.CallerDisconnected, request_id=first.request_id)
    ended, other = (first, second) if number == 1 else (second, first)
    effects = gateway.end_attempt(ended, Outcome.CANCELLED)
    assert only_effect(fx.CancelAttempt, effects).attempt == other.attempt
    assert ended_results(effects) == ["left"]
    assert not in_flight(gateway) and not gateway.state.requests


@pytest.mark.parametrize("number", [1, 2])
def test_long_response_cuts_the_other_attempt_before_it_is_passed_on(number):
    gateway, first, second = start_pair()
    chosen, other = (first, second) if number == 1 else (second, first)
    fields = {"request_id": chosen.request_id, "attempt": chosen.attempt}
    effects = gateway.submit(ev.ResponseChosen, **fields)
    assert only_effect(fx.CancelAttempt, effects).attempt == other.attempt
    assert in_flight(gateway) == {chosen.endpoint.name: 1}
    effects = gateway.end_attempt(chosen, Outcome.BROKEN, delivered=True)
    assert only_effect(fx.Refuse, effects).ran and not gateway.state.requests


def test_cut_attempt_counts_among_the_times_so_that_the_percentile_does_not_sink():
    gateway, _, second = start_pair()
    gateway.submit(ev.ResponseStarted, request_id=second.request_id, attempt=2)
    gateway.end_attempt(second, Outcome.DONE)
    times = [s for _, s in gateway.state.hedges.of("desk").first_byte_times]
    assert times == pytest.approx([0.0, SLOW_S], abs=0.03)


@pytest.mark.parametrize("share", [0.3, 0.7, 1.2])
def test_hedging_cuts_the_slowest_answers_and_adds_no_harm_under_overload(share):
    off, on = run_load(share, 0.0), run_load(share, 0.05)
    assert on.hedges <= 0.05 * on.requests
    assert on.worked_s <= 1.05 * off.worked_s
    if share <= 1.0:
        assert on.hedges > 0
        assert on.percentile_s(0.99) < off.percentile_s(0.99)
        return
    for quantile in (0.5, 0.95, 0.99, 0.999):
        assert on.percentile_s(quantile) <= 1.02 * off.percentile_s(quantile)
    assert on.answered >= 0.98 * off.answered
    assert on.in_time >= 0.98 * off.in_time
