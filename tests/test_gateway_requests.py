"""Requests through a gateway: routing, retries and refusals."""

import pytest

from poplarhoist.decisions.effects import LogChange
from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import messages, routing
from poplarhoist.decisions.gateway.events import Outcome
from poplarhoist.decisions.gateway.models import (
    AdapterKey,
    PrefixSegment,
    Prompt,
    Refused,
    Target,
)
from tests.gateway import ROUTES, Gateway, effects_of, engine, only_effect, plain_endpoint, route


def gateway_with_endpoints(**options) -> Gateway:
    gateway = Gateway(**options)
    gateway.configure()
    gateway.list_endpoints(
        engine(1, ("a1",)),
        engine(2, ("a1",)),
        plain_endpoint(1),
        plain_endpoint(2),
        plain_endpoint(3),
    )
    return gateway


@pytest.mark.parametrize(
    ("configured", "path", "reason"),
    [
        (False, "/stream/x", Refused.NOT_CONFIGURED),
        (True, "/unknown/x", Refused.NO_ROUTE),
        (True, "/streams", Refused.NO_ROUTE),
    ],
)
def test_request_without_route_is_refused_as_not_run(configured, path, reason):
    gateway = Gateway()
    if configured:
        gateway.configure()
        gateway.list_endpoints(engine(1))
    _, effects = gateway.request(path)
    refusal = only_effect(fx.Refuse, effects)
    assert (refusal.reason, refusal.ran) == (reason, False)
    fields = only_effect(fx.LogRequest, effects).fields
    logged = [fields[name] for name in ("step", "host", "path", "configuration")]
    assert logged == ["arrive", "host.test", path, 1 if configured else None]


def test_longest_prefix_wins_and_host_ignores_case_and_port():
    gateway = gateway_with_endpoints()
    gateway.configure(2, (*ROUTES, route("/read/deep/", "models")))
    _, effects = gateway.request("/read/deep/x", host="HOST.test:80", adapter="a1")
    assert only_effect(fx.Dispatch, effects).endpoint.service == "models"
    _, effects = gateway.request("/read/other")
    assert only_effect(fx.Dispatch, effects).endpoint.service == "desk"


def test_split_route_sends_by_weight():
    gateway = gateway_with_endpoints()
    targets = (Target("models", 3.0), Target("desk", 1.0))
    gateway.configure(2, (route("/split/", targets=targets),))
    services = []
    for _ in range(200):
        services.append(only_effect(fx.Dispatch, gateway.request("/split/x")[1]).endpoint.service)
    assert 0.65 < services.count("models") / len(services) < 0.85


# path, outcome of the first attempt, whether bytes were delivered, whether a retry is expected
RETRY_CASES = [
    ("/once/x", Outcome.NOT_SENT, False, True),
    ("/once/x", Outcome.NOT_RUN, False, True),
    ("/once/x", Outcome.BROKEN, False, False),
    ("/once/x", Outcome.FAILED, False, False),
    ("/once/x", Outcome.TIMED_OUT, False, False),
    ("/read/x", Outcome.BROKEN, False, True),
    ("/read/x", Outcome.FAILED, False, True),
    ("/read/x", Outcome.TIMED_OUT, False, False),
    ("/stream/x", Outcome.BROKEN, False, False),
    ("/stream/x", Outcome.NOT_RUN, False, True),
    ("/resume/x", Outcome.BROKEN, False, True),
    ("/resume/x", Outcome.BROKEN, True, True),
]


@pytest.mark.parametrize(("path", "outcome", "delivered", "is_retried"), RETRY_CASES)
def test_only_unrun_or_repeatable_requests_are_retried(path, outcome, delivered, is_retried):
    gateway = gateway_with_endpoints()
    adapter = None if path in ("/once/x", "/read/x") else "a1"
    _, effects = gateway.request(path, adapter)
    first = only_effect(fx.Dispatch, effects)
    effects = gateway.end_attempt(first, outcome, status=500, delivered=delivered)
    assert bool(effects_of(fx.Dispatch, effects)) is is_retried
    if not is_retried and outcome is not Outcome.FAILED:
        assert only_effect(fx.Refuse, effects).ran
    if outcome is Outcome.FAILED and not is_retried:
        assert effects_of(fx.ForwardFailure, effects)
    if is_retried:
        second = only_effect(fx.Dispatch, effects)
        assert second.endpoint.name != first.endpoint.name or outcome is Outcome.NOT_RUN


def test_refusal_reports_not_run_only_if_no_attempt_may_have_run():
    gateway = gateway_with_endpoints()
    _, effects = gateway.request("/read/x")
    effects = gateway.end_attempt(only_effect(fx.Dispatch, effects), Outcome.BROKEN)
    effects = gateway.end_attempt(only_effect(fx.Dispatch, effects), Outcome.NOT_SENT)
    for _ in range(20):
        effects = [
            e
            for d in effects_of(fx.Dispatch, effects)
            for e in gateway.end_attempt(d, Outcome.NOT_SENT)
        ]
        effects += gateway.advance(0.025)
    assert only_effect(fx.Refuse, gateway.effects).ran


def test_attempts_stay_within_the_routes_maximum():
    gateway = gateway_with_endpoints()
    _, effects = gateway.request("/read/x")
    for _ in range(2):
        effects = gateway.end_attempt(only_effect(fx.Dispatch, effects), Outcome.BROKEN)
    assert not effects_of(fx.Dispatch, effects)
    assert only_effect(fx.Refuse, effects).ran


@pytest.mark.parametrize("outcome", [Outcome.NOT_RUN, Outcome.BROKEN, Outcome.FAILED])
@pytest.mark.parametrize("entries", [1, 4])
def test_retries_stay_within_this_entrys_share_of_the_budget(entries, outcome):
    peers = tuple(f"p{number}" for number in range(entries - 1))
    gateway = gateway_with_endpoints(
        peers=peers, retry_ratio=0.2, retry_slack=40.0, retry_window_s=10.0
    )
    repeats = 0
    for _ in range(100):
        _, effects = gateway.request("/read/x")
        while dispatched := effects_of(fx.Dispatch, effects):
            repeats += dispatched[0].attempt > 1
            effects = gateway.end_attempt(dispatched[0], outcome, status=503)
        gateway.at += 0.05
    assert 0 < repeats <= 0.2 * 100 + 40.0 / entries


def test_attempts_that_did_not_reach_an_endpoint_cost_no_retry_budget():
    gateway = gateway_with_endpoints(retry_ratio=0.0, retry_slack=2.0)
    for _ in range(20):
        dispatch = only_effect(fx.Dispatch, gateway.request("/read/x")[1])
        again = only_effect(fx.Dispatch, gateway.end_attempt(dispatch, Outcome.NOT_SENT))
        gateway.end_attempt(again, Outcome.DONE)
    dispatch = only_effect(fx.Dispatch, gateway.request("/read/x")[1])
    assert effects_of(fx.Dispatch, gateway.end_attempt(dispatch, Outcome.NOT_RUN))


def test_attempts_at_unreachable_endpoints_are_bounded():
    gateway = gateway_with_endpoints()
    _, effects = gateway.request("/read/x")
    attempts = 0
    while dispatched := effects_of(fx.Dispatch, effects):
        attempts += 1
        effects = gateway.end_attempt(dispatched[0], Outcome.NOT_SENT)
    assert attempts == 6
    assert not only_effect(fx.Refuse, effects).ran


def test_remaining_time_shrinks_with_each_attempt():
    gateway = gateway_with_endpoints()
    _, effects = gateway.request("/read/x", deadline_s=1.0)
    first = only_effect(fx.Dispatch, effects)
    gateway.at += 0.4
    second = only_effect(fx.Dispatch, gateway.end_attempt(first, Outcome.NOT_SENT))
    assert first.remaining_s <= 1.0
    assert second.remaining_s <= first.remaining_s - 0.4


def test_route_timeout_limits_the_callers_deadline():
    gateway = gateway_with_endpoints()
    _, effects = gateway.request("/read/x", deadline_s=60.0)
    assert only_effect(fx.Dispatch, effects).remaining_s <= 1.5


def test_request_without_endpoint_is_refused_early_with_retry_hint():
    gateway = Gateway()
    gateway.configure()
    gateway.list_endpoints(engine(1))
    asked_at = gateway.at
    _, effects = gateway.request("/read/x")
    refusal = only_effect(fx.Refuse, effects + gateway.advance(0.3))
    assert refusal.reason is Refused.NO_ENDPOINT
    assert refusal.retry_after_s > 0
    assert not refusal.ran
    assert gateway.at - asked_at <= 0.31


@pytest.mark.parametrize(
    ("has_report", "deadline_s", "refused_after_s"),
    [
        # The lead reports no slot: a caller that is refused early can retry.
        (True, 6.0, 0.25),
        # The same for a caller that was refused before; its longer wait gives it precedence.
        (True, 5.0, 0.25),
        # The lead does not answer: another entry may become the lead in the meantime.
        (None, 6.0, 0.75),
        # The lead does not know yet; its first requests were refused as if there were no slot.
        (False, 6.0, 0.75),
    ],
)
def test_request_without_slot_is_refused_in_time_for_a_retry(
    has_report, deadline_s, refused_after_s
):
    gateway = gateway_with_endpoints(peers=("other",))
    gateway.list_endpoints(engine(1))
    gateway.set_lead("e1", "other#b1")
    gateway.request("/stream/x", "a1", deadline_s=deadline_s)
    asked_at = gateway.at
    refused: list[fx.Refuse] = []
    while not refused and gateway.at < asked_at + 3.0:
        if has_report is not None:
            view = messages.View("e1", {"base": 1}, {}, 0, 0, 0, is_known=has_report)
            gateway.receive("other", view)
        refused = effects_of(fx.Refuse, gateway.advance(0.025))
    assert gateway.at - asked_at == pytest.approx(refused_after_s, abs=0.03)
    assert not refused[0].ran
    assert refused[0].retry_after_s > 0


def test_ask_includes_the_waiting_time_of_earlier_refusals():
    gateway = gateway_with_endpoints(peers=("other",))
    gateway.list_endpoints(engine(1))
    gateway.set_lead("e1", "other#b1")
    gateway.request("/stream/x", "a1", deadline_s=6.0)
    gateway.request("/stream/x", "a2", deadline_s=5.0)
    asked = {
        effect.message.adapter: effect.message.waited_s
        for effect in effects_of(fx.SendPeer, gateway.effects)
        if isinstance(effect.message, messages.Ask)
    }
    assert asked == {"a1": pytest.approx(0.0), "a2": pytest.approx(1.0)}


@pytest.mark.parametrize("holder", [3, 17, 39])
def test_engine_that_holds_the_adapter_is_found_among_many(holder):
    gateway = gateway_with_endpoints()
    gateway.list_endpoints(*(engine(n, ("a1",) if n == holder else ()) for n in range(1, 41)))
    _, effects = gateway.request("/stream/x", "a1")
    assert only_effect(fx.Dispatch, effects).endpoint.name == f"e{holder}"


def test_choice_considers_a_bounded_number_of_engines(monkeypatch):
    costs = []
    cost_s = routing.cost_s
    monkeypatch.setattr(routing, "cost_s", lambda *args: costs.append(args) or cost_s(*args))
    gateway = gateway_with_endpoints()
    gateway.list_endpoints(*(engine(n) for n in range(1, 351)))
    gateway.request("/stream/x", "a1")
    assert 0 < len(costs) <= routing.MAX_RANKED_ENGINES


def crash(gateway: Gateway, content_digest: str, number: int) -> None:
    """Let a request with this digest crash a plain endpoint that is added for it."""
    for name in [name for name in gateway.state.endpoints if name.startswith("d")]:
        gateway.submit(ev.EndpointRemoved, name=name)
    gateway.submit(ev.EndpointSeen, record=plain_endpoint(number))
    _, effects = gateway.request("/once/x", content_digest=content_digest)
    gateway.end_attempt(only_effect(fx.Dispatch, effects), Outcome.BROKEN)
    gateway.submit(ev.EndpointSeen, record=plain_endpoint(number, incarnation=2))


def test_request_that_crashed_three_endpoints_is_refused_by_all_entries():
    gateway = gateway_with_endpoints(peers=("other",))
    for number in range(10, 13):
        crash(gateway, "poison", number)
    notices = effects_of(fx.SendPeer, gateway.effects)
    assert {effect.peer for effect in notices} >= {"other"}
    _, effects = gateway.request("/once/x", content_digest="poison")
    refusal = only_effect(fx.Refuse, effects)
    assert (refusal.reason, refusal.ran) == (Refused.SUSPECT, False)
    _, effects = gateway.request("/once/x", content_digest="harmless")
    assert effects_of(fx.Dispatch, effects)

    other = gateway_with_endpoints()
    for effect in notices:
        if type(effect.message).__name__ == "Crashed":
            other.receive("entry-1", effect.message)
    _, effects = other.request("/once/x", content_digest="poison")
    assert only_effect(fx.Refuse, effects).reason is Refused.SUSPECT


def test_log_tells_the_parts_of_a_prompt_and_which_crashes_were_counted():
    gateway = gateway_with_endpoints()
    segments = (PrefixSegment("shared", 200), PrefixSegment("own", 300))
    prompt = Prompt(AdapterKey("base", "a1"), 900, 50, segments)
    _, effects = gateway.request("/stream/x", prompt=prompt, content_digest="content-1")
    dispatch = only_effect(fx.Dispatch, effects)
    sent = only_effect(fx.LogRequest, effects).fields
    assert (sent["segments"], sent["content"]) == (["shared", "own"], "content-1")
    gateway.end_attempt(dispatch, Outcome.BROKEN)
    effects = gateway.submit(ev.EndpointRemoved, name=dispatch.endpoint.name)
    fields_by_change = {log.change: log.fields for log in effects_of(LogChange, effects)}
    assert fields_by_change["endpoint-crashed"]["broken"] == ["content-1"]
    assert fields_by_change["crash-counted"] == {
        "content": "content-1",
        "endpoint": dispatch.endpoint.name,
        "parts": ("shared",),
        "begun": False,
        "delivered": False,
        "crashes": 1,
    }


def test_waiting_request_of_a_disconnected_caller_is_forgotten():
    gateway = gateway_with_endpoints()
    request_id, effects = gateway.request("/stream/x", "cold")
    assert not effects_of(fx.Dispatch, effects)
    gateway.submit(ev.CallerDisconnected, request_id=request_id)
    assert gateway.state.requests == {}
    assert not effects_of(fx.Dispatch, gateway.advance(2.0))


@pytest.mark.parametrize("outcome", [Outcome.BROKEN, Outcome.NOT_RUN, Outcome.NOT_SENT])
def test_no_retry_for_a_disconnected_caller(outcome):
    gateway = gateway_with_endpoints()
    request_id, effects = gateway.request("/resume/x", "a1")
    gateway.submit(ev.CallerDisconnected, request_id=request_id)
    effects = gateway.end_attempt(only_effect(fx.Dispatch, effects), outcome) + gateway.advance(1.0)
    assert not effects_of(fx.Dispatch, effects)
    assert gateway.state.requests == {}


def test_older_configuration_is_ignored():
    gateway = gateway_with_endpoints()
    gateway.configure(7, (route("/new/"),))
    gateway.configure(3)
    assert only_effect(fx.Refuse, gateway.request("/read/x")[1]).reason is Refused.NO_ROUTE
    assert effects_of(fx.Dispatch, gateway.request("/new/x", "a1")[1])


def test_draining_entry_serves_until_the_platform_sends_no_more_callers():
    gateway = gateway_with_endpoints()
    gateway.submit(ev.DrainRequested)
    assert effects_of(fx.Dispatch, gateway.request("/read/x")[1])
    assert not effects_of(fx.StopListening, gateway.advance(2.0))
    assert effects_of(fx.StopListening, gateway.advance(0.5))
    assert not effects_of(fx.Stop, gateway.advance(4.0))
    assert effects_of(fx.Stop, gateway.advance(1.5))


@pytest.mark.parametrize("engine_count", [1, 78, 600])
def test_line_of_a_refusal_does_not_grow_with_the_engines(engine_count):
    gateway = Gateway(peers=("entry-2",))
    gateway.configure()
    gateway.list_endpoints(*(engine(number) for number in range(engine_count)))
    gateway.request("/stream/x", "a1")
    [line] = [
        effect
        for effect in effects_of(fx.LogRequest, gateway.advance(3.0))
        if effect.decision == "refused"
    ]
    assert line.fields["engines"] == engine_count
    assert len(str(line.fields)) < 600
