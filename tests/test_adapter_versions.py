"""Requests begin on an older adapter version only within a bound after a newer one was announced.

A request begins with its first token; the engines here take seconds until then.
"""

import pytest
from attrs import evolve

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import messages
from poplarhoist.decisions.gateway.models import AdapterKey, Prompt, RelayTerms
from tests.gateway import (
    BASE_MODEL_KEY,
    Gateway,
    effects_of,
    engine,
    only_effect,
    route,
    start_gateway,
)

KEY = AdapterKey("base", "a1")
VERSION_DEADLINE_S = 5.0
# Time of the tests; the entry has run for a while.
STARTED_S = 10.0
# Seconds that the news of a version may take from the store to an entry.
NEWS_S = 1.2


def engine_with(number: int, version: int):
    """Return the record of an engine that holds a version of the adapter."""
    return evolve(engine(number), held={BASE_MODEL_KEY: 1, KEY: version})


def start(*records) -> Gateway:
    """Return an entry that has run for a while."""
    gateway = start_gateway(*records)
    gateway.at = STARTED_S
    return gateway


def announce(gateway: Gateway, version: int) -> None:
    """Let the entry read the announcement of a version."""
    gateway.submit(ev.VersionSeen, model="base", adapter="a1", version=version)


def send(gateway: Gateway, path: str = "/resume/x", **fields) -> fx.Dispatch:
    """Let a request arrive that is sent at once."""
    return only_effect(fx.Dispatch, gateway.request(path, "a1", deadline_s=20.0, **fields)[1])


def begin_response(gateway: Gateway, dispatch: fx.Dispatch) -> None:
    """Let the first byte of a response arrive."""
    gateway.submit(
        ev.ResponseStarted,
        request_id=dispatch.request_id,
        attempt=dispatch.attempt,
        notice=ev.EndpointNotice(),
    )


def end_broken_off(gateway: Gateway, effects: list) -> list:
    """Let the attempts end that are broken off; return the effects of that."""
    ended = []
    for effect in effects_of(fx.BreakOffAttempt, effects):
        ended += gateway.submit(
            ev.AttemptEnded,
            request_id=effect.request_id,
            attempt=effect.attempt,
            outcome=ev.Outcome.BROKEN_OFF,
        )
    return ended


def fail_first(gateway: Gateway, delivered: bool) -> fx.Dispatch:
    """Send a request whose first attempt breaks, so that it goes to the engine with version 1."""
    gateway.submit(ev.EndpointSeen, record=engine_with(3, 1))
    gateway.state.endpoints["e1"].error_rate = 1.0
    first = send(gateway)
    assert first.endpoint.name == "e3"
    if delivered:
        begin_response(gateway, first)
    effects = gateway.end_attempt(first, ev.Outcome.BROKEN, delivered=delivered)
    return only_effect(fx.Dispatch, effects)


def wait_for_adapter(gateway: Gateway) -> fx.Dispatch:
    """Send a request that waited until its adapter was loaded, in version 1."""
    gateway.submit(ev.EndpointSeen, record=engine(1))
    gateway.set_lead("e1", "entry-2")
    assert not effects_of(fx.Dispatch, gateway.request("/resume/x", "a1", deadline_s=20.0)[1])
    view = messages.View("e1", {"base": 1, "base/a1": 1}, {}, 0, 0, room=7)
    return only_effect(fx.Dispatch, gateway.receive("entry-2", view) + gateway.advance(0.05))


# How a request gets to an engine, and whether it may be sent once more after that.
WAYS = {
    "first-attempt": (send, True),
    "relayed": (lambda gateway: send(gateway, relay=RelayTerms(1)), True),
    "waited-for-its-adapter": (wait_for_adapter, True),
    "second-attempt": (lambda gateway: fail_first(gateway, False), False),
    "continuation": (lambda gateway: fail_first(gateway, True), False),
    "cannot-be-resumed": (lambda gateway: send(gateway, "/stream/x"), False),
}


@pytest.mark.parametrize("is_sent_first", [True, False])
@pytest.mark.parametrize("way", WAYS)
def test_attempt_that_has_not_begun_in_time_is_broken_off(way, is_sent_first):
    """It began on the older version as late as its engine was slow."""
    gateway = start(engine_with(1, 1))
    get_to_engine, may_go_on = WAYS[way]
    if not is_sent_first:
        announce(gateway, 2)
    dispatch = get_to_engine(gateway)
    assert dispatch.endpoint.name == "e1"
    if is_sent_first:
        announce(gateway, 2)
    announced_at = gateway.at
    gateway.submit(ev.EndpointSeen, record=engine_with(2, 2))
    effects = gateway.advance(VERSION_DEADLINE_S - NEWS_S)
    broken_off = only_effect(fx.BreakOffAttempt, effects)
    assert (broken_off.request_id, broken_off.attempt) == (dispatch.request_id, dispatch.attempt)
    assert gateway.at - announced_at < VERSION_DEADLINE_S - NEWS_S + 0.05
    effects = end_broken_off(gateway, effects)
    if may_go_on:
        again = only_effect(fx.Dispatch, effects)
        assert (again.endpoint.name, again.version) == ("e2", 2)
    else:
        assert only_effect(fx.Refuse, effects).ran
    assert gateway.state.endpoints["e1"].in_flight == set()


@pytest.mark.parametrize(
    "prepare",
    [
        lambda gateway: begin_response(gateway, send(gateway)),
        lambda gateway: gateway.end_attempt(send(gateway), ev.Outcome.DONE),
        lambda gateway: gateway.request("/resume/x", "a2"),
        lambda gateway: gateway.request("/resume/x", ""),
        lambda gateway: gateway.request("/read/x"),
    ],
)
def test_other_attempts_are_left_alone(prepare):
    gateway = start(engine_with(1, 1))
    gateway.state.endpoints["e1"].held[AdapterKey("base", "a2")] = 1
    prepare(gateway)
    announce(gateway, 2)
    assert not effects_of(fx.BreakOffAttempt, gateway.advance(6.0))


def test_attempt_that_names_the_newer_version_is_left_alone():
    gateway = start(engine_with(1, 2))
    announce(gateway, 2)
    gateway.advance(2.1)
    assert send(gateway).version == 2
    assert not effects_of(fx.BreakOffAttempt, gateway.advance(6.0))


# Seconds from an announcement until a request is sent, and until its engine begins it.
@pytest.mark.parametrize("sent_s", [-3.0, 0.0, 1.0, 1.9, 2.6, 4.0])
@pytest.mark.parametrize("begins_s", [0.2, 1.0, 2.0, 3.5, 6.0])
@pytest.mark.parametrize("third_after_s", [None, 0.5, 2.5, 4.0])
def test_no_request_begins_on_a_version_that_is_outdated_for_too_long(
    sent_s, begins_s, third_after_s
):
    """Each announcement counts from its own confirmation."""
    gateway = start(engine_with(1, 1), engine_with(2, 2), engine_with(3, 3))
    # Engines with newer versions are avoided as long as another one may be used.
    for name in ("e2", "e3"):
        gateway.state.endpoints[name].error_rate = 0.3
    start_at = gateway.at + 3.0
    announced_at_by_version: dict[int, float] = {}
    plan = [(start_at, lambda: announce(gateway, 2), 2)]
    if third_after_s is not None:
        plan.append((start_at + third_after_s, lambda: announce(gateway, 3), 3))
    running: dict[tuple[str, int], tuple[fx.Dispatch, float]] = {}
    begun: list[tuple[int, float]] = []
    is_sent = False

    def apply(effects: list) -> None:
        for dispatch in effects_of(fx.Dispatch, effects):
            running[dispatch.request_id, dispatch.attempt] = dispatch, gateway.at
        for effect in effects_of(fx.BreakOffAttempt, effects):
            running.pop((effect.request_id, effect.attempt))
        if effects_of(fx.BreakOffAttempt, effects):
            apply(end_broken_off(gateway, effects))

    while gateway.at < start_at + 15.0:
        apply(gateway.advance(0.025))
        for at, action, version in plan:
            if version not in announced_at_by_version and gateway.at >= at:
                announced_at_by_version[version] = gateway.at
                action()
        if not is_sent and gateway.at >= start_at + sent_s:
            is_sent = True
            apply(gateway.request("/resume/x", "a1", deadline_s=20.0)[1])
        for name, (dispatch, sent_at) in list(running.items()):
            if gateway.at >= sent_at + begins_s:
                del running[name]
                begun.append((int(dispatch.endpoint.name[1:]), gateway.at))
                begin_response(gateway, dispatch)
                gateway.end_attempt(dispatch, ev.Outcome.DONE, status=200)
    # It may run twice; an engine that begins nothing for so long is broken off each time.
    assert begun or begins_s > VERSION_DEADLINE_S
    for version, at in begun:
        for newer, announced_at in announced_at_by_version.items():
            assert version >= newer or at - announced_at < VERSION_DEADLINE_S - NEWS_S + 0.05


# Prompt tokens of a request, and of one before it at its engine.
@pytest.mark.parametrize(("tokens", "before"), [(100_000, 0), (1000, 100_000), (40_000, 60_000)])
@pytest.mark.parametrize("has_new_engine", [False, True])
def test_request_that_may_begin_too_late_waits_for_the_newer_version(
    tokens, before, has_new_engine
):
    """It was sent to an engine that had no time left for its prompt and those before."""
    gateway = start(engine_with(1, 1))
    gateway.set_lead("e1", "entry-2")
    announce(gateway, 2)
    gateway.at += 1.5
    if before:
        gateway.state.endpoints["e1"].prefill_tokens_by_request["r0"] = before
    if has_new_engine:
        gateway.submit(ev.EndpointSeen, record=engine_with(2, 2))
    _, effects = gateway.request("/resume/x", prompt=Prompt(KEY, tokens))
    if has_new_engine:
        assert only_effect(fx.Dispatch, effects).endpoint.name == "e2"
        return
    assert not effects_of(fx.Dispatch, effects)
    asked = [one.message for one in effects_of(fx.SendPeer, effects)]
    assert [one.version for one in asked if isinstance(one, messages.Ask)] == [2]


def test_short_request_goes_to_the_older_version_for_a_while():
    gateway = start(engine_with(1, 1))
    announce(gateway, 2)
    gateway.at += 1.5
    assert send(gateway).endpoint.name == "e1"


def test_entry_that_has_just_started_requires_listed_versions_at_once():
    """It took them for announced at its start, and sent requests to older ones for two seconds."""
    gateway = start_gateway(engine_with(1, 1))
    gateway.at = 0.5
    announce(gateway, 2)
    assert not effects_of(fx.Dispatch, gateway.request("/resume/x", "a1")[1])


def test_request_is_not_sent_again_beyond_the_retry_budget():
    gateway = Gateway(retry_ratio=0.0, retry_slack=0.0)
    gateway.configure(routes=(route("/resume/", resumable=True),))
    gateway.list_endpoints(engine_with(1, 1))
    gateway.at = STARTED_S
    send(gateway)
    announce(gateway, 2)
    gateway.submit(ev.EndpointSeen, record=engine_with(2, 2))
    effects = end_broken_off(gateway, gateway.advance(4.0))
    assert not effects_of(fx.Dispatch, effects)
    assert only_effect(fx.Refuse, effects).ran


@pytest.mark.parametrize("holder", [1, 2])
def test_newer_version_is_loaded_at_an_engine_without_runs_of_the_older_one(holder):
    """All requests waited for an engine whose runs held up the replacement, and were refused."""
    gateway = start(engine_with(holder, 1), engine(3 - holder))
    for name in ("e1", "e2"):
        gateway.set_lead(name, "entry-2")
    view = messages.View(f"e{holder}", {"base": 1, "base/a1": 1}, {}, 1, 0, room=7)
    gateway.receive("entry-2", view)
    begin_response(gateway, send(gateway))
    announce(gateway, 2)
    gateway.at += 2.1
    _, effects = gateway.request("/resume/x", "a1")
    asked = [one.message for one in effects_of(fx.SendPeer, effects)]
    engines = [one.engine for one in asked if isinstance(one, messages.Ask)]
    assert engines == [f"e{3 - holder}"]
