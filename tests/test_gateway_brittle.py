"""Brittle engines fall over if they have to turn too many requests away."""

import orjson
import pytest
from attrs import evolve

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import messages
from poplarhoist.decisions.gateway.endpoint_state import BrittleState
from poplarhoist.decisions.gateway.hashing import rendezvous_order
from poplarhoist.decisions.gateway.models import Refused, RouteKind
from poplarhoist.gateway.peers import message_converter
from poplarhoist.platform.headers import parse_response_head
from tests.engine_site import HEAD_S, RUN_S, EngineSite
from tests.gateway import (
    ROUTES,
    Gateway,
    effects_of,
    engine,
    only_effect,
    plain_endpoint,
    route,
    send_request,
    start_gateway,
)

ENGINE_COUNT = 6
SLOTS = 4
# Requests a second that the slots of all engines run.
CAPACITY_PER_S = ENGINE_COUNT * SLOTS / (HEAD_S + RUN_S)
# The users' bounds: seconds from the first sign on which falls count, and falls allowed.
COUNTED_AFTER_S = 4.0
ALLOWED_FALLS = 2 + 0.1 * ENGINE_COUNT
BRITTLE_S = 24.0
# Part of what the engines can run that is to be served.
LEAST_SHARE = 0.9


def played_site(entry_count: int, load: float, bears_per_s: float) -> tuple[EngineSite, list]:
    """Let engines be brittle under a load; return the site and the requests that count."""
    site = EngineSite(entry_count, ENGINE_COUNT, SLOTS)
    requests = site.send_steadily(1.0 / (load * CAPACITY_PER_S), "shared")
    site.run(4.0)
    for run in site.runs_by_name.values():
        run.bears_per_s = bears_per_s
    site.run(BRITTLE_S)
    began_at = site.at - BRITTLE_S + COUNTED_AFTER_S
    counted = [request for request in requests if began_at < request.at < site.at - 4.0]
    return site, counted


@pytest.mark.parametrize("bears_per_s", [1.0, 3.0])
@pytest.mark.parametrize("load", [0.7, 1.5, 3.0])
@pytest.mark.parametrize("entry_count", [3, 9, 40])
def test_brittle_engines_do_not_fall_and_are_used(entry_count, load, bears_per_s):
    site, counted = played_site(entry_count, load, bears_per_s)
    falls = [at for at in site.fallen_at if at > site.at - BRITTLE_S + COUNTED_AFTER_S]
    done = sum(request.is_done for request in counted)
    possible = min(len(counted), len(counted) / load)
    assert len(falls) <= ALLOWED_FALLS
    assert done >= LEAST_SHARE * possible


def brittle(bears_per_s: float | None = 3.0) -> ev.EndpointNotice:
    return ev.EndpointNotice(bears_per_s=bears_per_s)


def answer(gateway: Gateway, dispatch: fx.Dispatch, bears_per_s: float | None = 3.0) -> list:
    """Let a response begin and end."""
    fields = {"request_id": dispatch.request_id, "attempt": dispatch.attempt}
    gateway.submit(ev.ResponseStarted, notice=brittle(bears_per_s), **fields)
    return gateway.end_attempt(dispatch, ev.Outcome.DONE)


def turn_away(gateway: Gateway, dispatch: fx.Dispatch, bears_per_s: float = 3.0) -> list:
    notice = brittle(bears_per_s)
    return gateway.end_attempt(dispatch, ev.Outcome.NOT_RUN, status=503, notice=notice)


def start_brittle(slots: int) -> Gateway:
    """Return one of three entries, which has read that its only endpoint is brittle."""
    gateway = start_gateway(plain_endpoint(1, max_concurrent_requests=slots))
    answer(gateway, send_request(gateway))
    return gateway


@pytest.mark.parametrize("slots", [1, 6, 7, 64])
def test_windows_of_all_entries_begin_with_the_slots(slots):
    names = ("entry-1", "entry-2", "entry-3")
    windows = []
    for name in names:
        gateway = Gateway(name, tuple(peer for peer in names if peer != name))
        gateway.configure()
        gateway.list_endpoints(plain_endpoint(1, max_concurrent_requests=slots))
        answer(gateway, send_request(gateway))
        windows.append(gateway.state.endpoints["d1"].brittle.window)
    assert sum(windows) == max(slots, len(names))


@pytest.mark.parametrize("told", [False, True], ids=["own", "other"])
def test_window_shrinks_to_what_is_in_flight_and_grows_slowly(told):
    gateway = start_brittle(64)
    running = [send_request(gateway) for _ in range(5)]
    if told:
        gateway.receive("entry-2", messages.NoRoom("d1", 1, 3.0))
    else:
        effects = turn_away(gateway, running.pop())
        told_entries = {e.peer for e in effects_of(fx.SendPeer, effects)}
        assert told_entries == {"entry-2", "entry-3"}
    state = gateway.state.endpoints["d1"].brittle
    assert state.window == len(running)
    _, effects = gateway.request("/read/x")
    assert not effects_of(fx.Dispatch, effects + gateway.advance(0.3))
    for dispatch in running:
        answer(gateway, dispatch)
    gateway.advance(30.0)
    for _ in range(len(running) + 1):
        send_request(gateway)
    assert state.window == len(running) + 1


KEEPER = rendezvous_order("d1", ("entry-1", "entry-2", "entry-3"))[0]


def start_full(name: str) -> tuple[Gateway, fx.Dispatch]:
    """Return an entry with one request, as many as it may have, at a brittle endpoint."""
    names = {"entry-1", "entry-2", "entry-3"}
    gateway = Gateway(name, tuple(sorted(names - {name})))
    gateway.configure()
    gateway.list_endpoints(plain_endpoint(1, max_concurrent_requests=64))
    dispatch = send_request(gateway)
    gateway.receive("entry-x", messages.NoRoom("d1", 1, 3.0))
    return gateway, dispatch


def sent_places(effects: list) -> list:
    """Return receiver and message of the messages about places."""
    kinds = messages.Places | messages.PlacesWanted
    sends = effects_of(fx.SendPeer, effects)
    return [(send.peer, send.message) for send in sends if isinstance(send.message, kinds)]


def test_entry_without_room_asks_the_keeper_and_uses_the_place_it_gets():
    gateway, _ = start_full(min({"entry-1", "entry-2", "entry-3"} - {KEEPER}))
    request_id, effects = gateway.request("/read/x")
    assert sent_places(effects) == [(KEEPER, messages.PlacesWanted("d1", 1, 3.0, 0.0, 1))]
    gateway.receive(KEEPER, messages.Places("d1", 1, 1))
    assert only_effect(fx.Dispatch, gateway.advance(0.05)).request_id == request_id
    assert gateway.state.endpoints["d1"].brittle.window == 2


def test_keeper_without_room_asks_all_others_and_lends_what_it_gets():
    gateway, _ = start_full(KEEPER)
    asker, other = sorted({"entry-1", "entry-2", "entry-3"} - {KEEPER})
    wanted = messages.PlacesWanted("d1", 1, 3.0, 0.0, 1)
    assert sorted(sent_places(gateway.receive(asker, wanted))) == [(asker, wanted), (other, wanted)]
    effects = gateway.receive(other, messages.Places("d1", 1, 1))
    assert sent_places(effects) == [(asker, messages.Places("d1", 1, 1))]
    assert gateway.state.endpoints["d1"].brittle.window == 1


def test_unused_places_are_given_back_only_when_the_keeper_asks():
    gateway, dispatch = start_full(min({"entry-1", "entry-2", "entry-3"} - {KEEPER}))
    gateway.receive(KEEPER, messages.Places("d1", 1, 2))
    assert sent_places(gateway.advance(1.0)) == []
    wanted = messages.PlacesWanted("d1", 1, 3.0, 0.0, 1)
    given = [(KEEPER, messages.Places("d1", 1, 2))]
    assert sent_places(gateway.receive(KEEPER, wanted)) == given
    effects = answer(gateway, dispatch) + gateway.advance(0.05)
    assert sent_places(effects) == [(KEEPER, messages.Places("d1", 1, 1))]


def test_question_for_places_does_not_make_a_sound_endpoint_brittle_again():
    gateway, dispatch = start_full(KEEPER)
    gateway.advance(1.0)
    answer(gateway, dispatch)
    gateway.advance(1.0)
    answer(gateway, send_request(gateway), None)
    asker = min({"entry-1", "entry-2", "entry-3"} - {KEEPER})
    effects = gateway.receive(asker, messages.PlacesWanted("d1", 1, 3.0, 1.5, 2))
    assert sent_places(effects) == [(asker, messages.Places("d1", 1, 2))]
    assert gateway.state.endpoints["d1"].brittle.bears_per_s is None


@pytest.mark.parametrize(
    ("name", "incarnation"), [("d2", 1), ("d1", 2)], ids=["new-name", "same-name"]
)
def test_new_run_in_place_of_a_brittle_one_is_not_rushed(name, incarnation):
    gateway = start_brittle(6)
    record = gateway.state.endpoints["d1"].record
    gateway.receive("entry-2", messages.NoRoom("d1", 1, 3.0))
    gateway.advance(0.1)
    restarted = evolve(record, name=name, incarnation=incarnation)
    gateway.submit(ev.EndpointSeen, record=restarted)
    sent = [effects_of(fx.Dispatch, gateway.request("/read/x")[1]) for _ in range(6)]
    assert [len(dispatches) for dispatches in sent] == [1, 1, 0, 0, 0, 0]
    first = sent[0][0]
    gateway.advance(0.1)
    answer(gateway, first, None)
    assert gateway.state.endpoints[name].brittle.bears_per_s is None


def test_nothing_beyond_the_window_is_sent_to_one_that_bears_no_request_turned_away():
    gateway = start_gateway(plain_endpoint(1, max_concurrent_requests=6))
    answer(gateway, send_request(gateway), 0.0)
    for _ in range(gateway.state.endpoints["d1"].brittle.window):
        send_request(gateway)
    gateway.advance(600.0)
    assert not effects_of(fx.Dispatch, gateway.request("/read/x")[1])


@pytest.mark.parametrize(("sent_before", "is_sound"), [(False, True), (True, False)])
def test_brittleness_ends_with_an_answer_to_a_later_request(sent_before, is_sound):
    gateway = start_brittle(64)
    early = send_request(gateway)
    gateway.advance(0.1)
    late = send_request(gateway)
    gateway.advance(0.1)
    answer(gateway, send_request(gateway))
    gateway.advance(0.1)
    answer(gateway, early if sent_before else send_request(gateway), None)
    gateway.end_attempt(late, ev.Outcome.DONE)
    assert (gateway.state.endpoints["d1"].brittle.bears_per_s is None) is is_sound


def test_request_without_room_waits_for_a_place_and_the_most_urgent_gets_it():
    urgent = route("/urgent/", "desk", kind=RouteKind.REPEATABLE, priority=0)
    gateway = start_gateway(plain_endpoint(1, max_concurrent_requests=3))
    gateway.configure(2, (*ROUTES, evolve(urgent), route("/later/", "desk", priority=5)))
    answer(gateway, send_request(gateway))
    first = send_request(gateway)
    gateway.request("/later/x")
    urgent_id, _ = gateway.request("/urgent/x")
    effects = answer(gateway, first) + gateway.advance(0.05)
    assert only_effect(fx.Dispatch, effects).request_id == urgent_id


def test_request_that_finds_no_room_is_refused_as_not_run_with_a_time_to_return():
    gateway = start_brittle(3)
    send_request(gateway)
    _, effects = gateway.request("/read/x")
    refusal = only_effect(fx.Refuse, effects + gateway.advance(0.2))
    assert (refusal.reason, refusal.ran) == (Refused.LIMITED, False)
    assert refusal.retry_after_s >= 0.5


def test_requests_at_an_engine_that_falls_for_want_of_room_are_not_taken_for_its_cause():
    gateway = start_gateway(engine(1, ("a1",)), engine(2, ("a1",)))
    for bears_per_s, expected in ((3.0, 0), (None, 1)):
        _, effects = gateway.request("/resume/x", "a1", content_digest="c")
        dispatch = only_effect(fx.Dispatch, effects)
        record = dispatch.endpoint
        other = send_request(gateway, "/resume/x", "a1")
        while other.endpoint.name != record.name:
            other = send_request(gateway, "/resume/x", "a1")
        if bears_per_s is not None:
            turn_away(gateway, other, bears_per_s)
        gateway.end_attempt(dispatch, ev.Outcome.BROKEN)
        gateway.submit(ev.EndpointChecked, record=record, has_crashed=True)
        assert len(gateway.state.crash_reports) == expected
        for endpoint in gateway.state.endpoints.values():
            endpoint.brittle = BrittleState()


@pytest.mark.parametrize(
    "message",
    [
        messages.NoRoom("d1", 1, 3.0),
        messages.PlacesWanted("d1", 1, 3.0, 0.5, 2),
        messages.Places("d1", 1, 2),
    ],
)
def test_message_survives_its_datagram(message):
    sent = message_converter.unstructure(message, unstructure_as=messages.Message)
    assert (
        message_converter.structure(orjson.loads(orjson.dumps(sent)), messages.Message) == message
    )


@pytest.mark.parametrize(
    ("text", "expected"),
    [(None, None), ("3", 3.0), (" 1 ", 1.0), ("0", 0.0), ("2.5", 2.5)]
    + [("-1", 0.0), ("x", 0.0), ("", 0.0), ("nan", 0.0), ("inf", 0.0)],
)
def test_brittleness_that_cannot_be_read_counts_as_the_safest(text, expected):
    headers = [("Server-Brittle", text)] if text is not None else []
    assert parse_response_head(200, headers).notice.bears_per_s == expected
