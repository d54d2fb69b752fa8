"""Entries that lose their links to all endpoints let others pass their requests on."""

import orjson
import pytest
from attrs import evolve

from poplarhoist.decisions.effects import LogChange
from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import messages
from poplarhoist.decisions.gateway.events import Outcome
from poplarhoist.decisions.gateway.models import Refused, RelayTerms
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.gateway import relay_headers
from poplarhoist.gateway.peers import message_converter
from tests.gateway import (
    Gateway,
    effects_of,
    endpoints_of,
    engine,
    only_effect,
    plain_endpoint,
    send_request,
    start_gateway,
)

PEER_ZONES = {"entry-2": "north-a", "entry-3": "south-a"}
ENDPOINTS = (plain_endpoint(1), plain_endpoint(2), engine(1, ("a1",)), engine(2, ("a1",)))
RELAYED = RelayTerms(1)


def start_entry(*records, relay_ports: dict[str, int] | None = None) -> Gateway:
    """Return an entry with two others, of which each passes requests on unless told otherwise."""
    gateway = start_gateway(*(records or ENDPOINTS))
    ports = {"entry-2": 9002, "entry-3": 9003} | (relay_ports or {})
    for name, zone in PEER_ZONES.items():
        address = {"host": "10.0.2.1", "port": 7000, "relay_port": ports[name]}
        gateway.submit(ev.EntryRecordChanged, name=name, zone=zone, **address)
    return gateway


def probe(gateway: Gateway, name: str, is_reachable: bool, began_at: float | None = None) -> list:
    """Let the result of a probe arrive."""
    began_at = gateway.at if began_at is None else began_at
    fields = {"name": name, "began_at": began_at, "is_reachable": is_reachable}
    return gateway.submit(ev.EndpointProbed, **fields)


def lose_links(gateway: Gateway) -> list:
    """Let probes of all endpoints fail."""
    return [
        effect for name in list(gateway.state.endpoints) for effect in probe(gateway, name, False)
    ]


def relay_of(effects: list) -> fx.Dispatch | None:
    """Return the only dispatch to an entry; None if there is none."""
    found = [
        dispatch for dispatch in effects_of(fx.Dispatch, effects) if dispatch.relay is not None
    ]
    assert len(found) <= 1
    return found[0] if found else None


def changes_of(gateway: Gateway) -> list[str]:
    return [change.change for change in effects_of(LogChange, gateway.effects)]


# Results of connection attempts: endpoint, seconds from now at which it began, whether it was made.
@pytest.mark.parametrize(
    ("attempts", "is_lost"),
    [
        ([("d1", 0, False), ("d2", 0, False)], False),
        ([("d1", 0, False), ("d1", 1, False), ("d1", 2, False)], False),
        ([("d1", 0, False), ("d2", 1, False), ("e1", 2, False)], True),
        ([("d1", 0, False), ("d2", 1, False), ("e1", 2, True), ("e2", 3, False)], False),
        ([("d1", 0, False), ("d2", 1, False), ("e1", -1, True), ("e2", 3, False)], True),
        ([("d1", 0, False), ("d2", 1, False), ("e1", 2, False), ("e1", 3, True)], False),
    ],
)
def test_links_count_as_lost_after_three_endpoints_without_a_connection(attempts, is_lost):
    gateway = start_entry()
    gateway.at = 10.0
    gateway.advance(0.05)
    started_at = gateway.at
    for name, offset_s, is_reachable in attempts:
        # With ticks on the way, as a process without them has been paused.
        gateway.advance(started_at + offset_s - gateway.at)
        probe(gateway, name, is_reachable, started_at + offset_s)
    assert (relay_of(gateway.request("/read/x")[1]) is not None) is is_lost


@pytest.mark.parametrize("path", ["/read/x", "/once/x", "/stream/x", "/resume/x"])
def test_request_that_finds_no_link_goes_to_another_entry(path):
    gateway = start_entry()
    _, effects = gateway.request(path, "a1" if path in ("/stream/x", "/resume/x") else None)
    dispatch = only_effect(fx.Dispatch, effects)
    while dispatch.relay is None:
        effects = gateway.end_attempt(dispatch, Outcome.NOT_SENT) + gateway.advance(0.05)
        dispatch = only_effect(fx.Dispatch, effects)
    assert (dispatch.endpoint.name, dispatch.endpoint.port) == ("entry-2", 9002)
    gateway.submit(ev.ResponseStarted, request_id=dispatch.request_id, attempt=dispatch.attempt)
    gateway.end_attempt(dispatch, Outcome.DONE, status=200, delivered=True)
    assert not gateway.state.requests


def test_request_that_waits_for_an_adapter_when_the_links_are_lost_goes_to_another_entry():
    gateway = start_entry()
    gateway.set_lead("e1", "entry-2#b2")
    gateway.set_lead("e2", "entry-2#b2")
    assert not effects_of(fx.Dispatch, gateway.request("/stream/x", "cold")[1])
    effects = lose_links(gateway) + gateway.advance(0.05)
    assert relay_of(effects) is not None
    assert not gateway.state.pending_asks


@pytest.mark.parametrize(
    ("tell", "expected"),
    [
        (None, "entry-2"),
        ("lost", "entry-3"),
        ("regained", "entry-2"),
        ("left", "entry-3"),
        ("no-port", "entry-3"),
    ],
)
def test_entry_of_this_region_with_links_passes_requests_on(tell, expected):
    gateway = start_entry(relay_ports={"entry-2": 0} if tell == "no-port" else None)
    lose_links(gateway)
    if tell in ("lost", "regained"):
        gateway.receive("entry-2", messages.LinksChanged(True))
    if tell == "regained":
        gateway.receive("entry-2", messages.LinksChanged(False))
    if tell == "left":
        gateway.submit(ev.EntryRecordChanged, name="entry-2")
    assert relay_of(gateway.request("/read/x")[1]).endpoint.name == expected


def test_entry_that_says_no_more_that_its_links_are_lost_is_used_again():
    gateway = start_entry()
    lose_links(gateway)
    gateway.receive("entry-2", messages.LinksChanged(True))
    gateway.advance(4.0)
    assert relay_of(gateway.request("/read/x")[1]).endpoint.name == "entry-2"


def test_entries_share_what_is_to_be_passed_on():
    gateway = start_entry()
    address = {"host": "10.0.2.1", "port": 7000, "relay_port": 9003}
    gateway.submit(ev.EntryRecordChanged, name="entry-3", zone="north-b", **address)
    lose_links(gateway)
    names = [relay_of(gateway.request("/read/x")[1]).endpoint.name for _ in range(10)]
    assert sorted(names) == ["entry-2"] * 5 + ["entry-3"] * 5


# How the attempt by way of another entry ends, what that entry's response says, and whether the
# request goes to a further entry, is refused and as possibly run, or gets that response.
@pytest.mark.parametrize("path", ["/read/x", "/once/x", "/resume/x"])
@pytest.mark.parametrize(
    ("outcome", "delivered", "expected"),
    [
        (Outcome.NOT_SENT, False, "further"),
        (Outcome.NOT_RUN, False, "not-run"),
        (Outcome.BROKEN, False, "may-have-run"),
        (Outcome.BROKEN, True, "may-have-run"),
        (Outcome.TIMED_OUT, False, "may-have-run"),
        (Outcome.FAILED, False, "forwarded"),
    ],
)
def test_request_that_another_entry_may_have_sent_is_not_sent_again(
    path, outcome, delivered, expected
):
    gateway = start_entry()
    lose_links(gateway)
    dispatch = relay_of(gateway.request(path, "a1" if path == "/resume/x" else None)[1])
    notice = ev.EndpointNotice(retry_after_s=1.5) if outcome is Outcome.NOT_RUN else None
    effects = gateway.end_attempt(dispatch, outcome, delivered=delivered, notice=notice)
    effects += gateway.advance(0.5)
    further = effects_of(fx.Dispatch, effects)
    assert [d.endpoint.name for d in further] == ["entry-3"] * (expected == "further")
    refusals = [(r.reason, r.ran, r.retry_after_s) for r in effects_of(fx.Refuse, effects)]
    if expected == "not-run":
        assert refusals == [(Refused.RELAY, False, 1.5)]
    elif expected == "may-have-run":
        assert [(ran, retry_after_s) for _, ran, retry_after_s in refusals] == [(True, 0.0)]
    else:
        assert not refusals
    assert bool(effects_of(fx.ForwardFailure, effects)) is (expected == "forwarded")


def test_request_that_no_entry_takes_is_refused_as_not_run():
    gateway = start_entry()
    lose_links(gateway)
    _, effects = gateway.request("/read/x")
    while dispatched := effects_of(fx.Dispatch, effects):
        effects = gateway.end_attempt(dispatched[0], Outcome.NOT_SENT)
    assert only_effect(fx.Refuse, effects).ran is False


def test_entry_to_which_no_connection_is_made_gets_nothing_for_a_while():
    gateway = start_entry()
    lose_links(gateway)
    gateway.end_attempt(relay_of(gateway.request("/read/x")[1]), Outcome.NOT_SENT)
    assert relay_of(gateway.request("/read/x")[1]).endpoint.name == "entry-3"
    gateway.advance(2.1)
    lose_links(gateway)
    assert relay_of(gateway.request("/read/x")[1]).endpoint.name == "entry-2"


def test_attempts_made_before_count_for_the_entry_that_passes_a_request_on():
    gateway = start_entry()
    dispatch = send_request(gateway, "/resume/x", "a1")
    lose_links(gateway)
    relay = relay_of(gateway.end_attempt(dispatch, Outcome.BROKEN, delivered=True))
    assert relay.relay == RelayTerms(1, 1, "")


def test_request_of_another_entry_is_never_passed_on():
    gateway = start_entry()
    lose_links(gateway)
    _, effects = gateway.request("/read/x", relay=RELAYED)
    assert relay_of(effects) is None
    while dispatched := effects_of(fx.Dispatch, effects):
        assert dispatched[0].relay is None
        effects = gateway.end_attempt(dispatched[0], Outcome.NOT_SENT)
    assert only_effect(fx.Refuse, effects).ran is False


def test_requests_of_other_entries_keep_to_the_limits_and_pauses_of_endpoints():
    gateway = start_entry(plain_endpoint(1), plain_endpoint(2))
    gateway.receive("entry-2", messages.RequestLimit("d1", 1, 0.0))
    dispatch = only_effect(fx.Dispatch, gateway.request("/read/x", relay=RELAYED)[1])
    assert dispatch.endpoint.name == "d2"
    notice = ev.EndpointNotice(retry_after_s=5.0)
    gateway.end_attempt(dispatch, Outcome.NOT_RUN, status=503, notice=notice)
    refusal = only_effect(fx.Refuse, gateway.request("/read/x", relay=RELAYED)[1])
    assert (refusal.reason, refusal.ran) == (Refused.LIMITED, False)


def test_requests_of_other_entries_spend_the_retry_budget_and_add_nothing_to_it():
    gateway = start_entry(plain_endpoint(1), plain_endpoint(2))
    gateway.state.limits = gateway.state.limits.__class__(retry_ratio=0.5, retry_slack=3.0)
    repeats = 0
    for _ in range(50):
        dispatch = only_effect(fx.Dispatch, gateway.request("/read/x", relay=RELAYED)[1])
        again = effects_of(fx.Dispatch, gateway.end_attempt(dispatch, Outcome.NOT_RUN))
        repeats += len(again)
        for dispatch in again:
            gateway.end_attempt(dispatch, Outcome.DONE)
    assert repeats <= 1


@pytest.mark.parametrize(("possible_runs", "is_retried"), [(0, True), (1, False)])
def test_runs_before_count_toward_the_routes_maximum(possible_runs, is_retried):
    gateway = start_entry()
    relay = RelayTerms(1, possible_runs)
    dispatch = only_effect(fx.Dispatch, gateway.request("/read/x", relay=relay)[1])
    effects = gateway.end_attempt(dispatch, Outcome.BROKEN)
    assert bool(effects_of(fx.Dispatch, effects)) is is_retried


def test_entry_with_an_older_configuration_passes_nothing_on():
    gateway = start_entry()
    refusal = only_effect(fx.Refuse, gateway.request("/read/x", relay=RelayTerms(2))[1])
    assert (refusal.reason, refusal.ran) == (Refused.NOT_CONFIGURED, False)
    gateway.configure(2)
    assert effects_of(fx.Dispatch, gateway.request("/read/x", relay=RelayTerms(2))[1])


def test_stream_goes_on_at_its_software_version_by_way_of_another_entry():
    gateway = start_entry(
        engine(1, ("a1",), software_version="v1"), engine(2, ("a1",), software_version="v2")
    )
    for version, name in (("v1", "e1"), ("v2", "e2")):
        fields = {"relay": RelayTerms(1, 1, version), "last_event_id": "2"}
        _, effects = gateway.request("/resume/x", "a1", **fields)
        assert only_effect(fx.Dispatch, effects).endpoint.name == name


def test_entry_without_links_gives_up_its_engines_and_claims_none():
    gateway = start_entry(engine(1, ("a1",)), engine(2, ("a1",)))
    gateway.set_lead("e1")
    lose_links(gateway)
    assert not effects_of(fx.Claim, gateway.advance(0.9))
    lose_links(gateway)
    released = effects_of(fx.Claim, gateway.advance(0.5))
    assert [(claim.engine, claim.holder) for claim in released] == [("e1", "")]
    gateway.submit(ev.LeadSeen, engine="e1", holder="", epoch=1, position=Position(0, 9))
    assert not effects_of(fx.Claim, gateway.advance(10.0))
    probe(gateway, "e1", True)
    assert effects_of(fx.Claim, gateway.advance(1.0))


def test_entry_without_links_keeps_its_engines_while_the_store_is_away():
    gateway = start_entry(engine(1, ("a1",)), engine(2, ("a1",)))
    gateway.set_lead("e1")
    gateway.submit(ev.StoreAvailabilityChanged, available=False)
    lose_links(gateway)
    assert not effects_of(fx.Claim, gateway.advance(3.0))
    gateway.submit(ev.StoreAvailabilityChanged, available=True)
    assert only_effect(fx.Claim, gateway.advance(0.5)).holder == ""


def test_engines_of_an_entry_without_links_are_claimed_by_those_that_need_them():
    gateway = start_entry(engine(1), engine(2))
    for name in ("e1", "e2"):
        gateway.set_lead(name, "entry-2#b2")
    gateway.receive("entry-2", messages.LinksChanged(True))
    _, effects = gateway.request("/stream/x", "cold")
    assert effects_of(fx.Claim, effects)


def test_endpoints_are_probed_until_one_is_reached():
    gateway = start_entry()
    assert not effects_of(fx.ProbeEndpoint, gateway.advance(2.0))
    probe(gateway, "d1", False)
    probes = effects_of(fx.ProbeEndpoint, gateway.advance(0.3))
    assert len(probes) == 1 and probes[0].record.name != "d1"
    lose_links(gateway)
    assert 3 <= len(effects_of(fx.ProbeEndpoint, gateway.advance(2.0))) <= 5
    probe(gateway, "d2", True)
    assert not effects_of(fx.ProbeEndpoint, gateway.advance(2.0))


def test_own_links_are_used_again_as_soon_as_they_are_back():
    gateway = start_entry(plain_endpoint(1), plain_endpoint(2))
    for _ in range(3):
        dispatch = only_effect(fx.Dispatch, gateway.request("/read/x")[1])
        while dispatch.relay is None:
            dispatch = only_effect(fx.Dispatch, gateway.end_attempt(dispatch, Outcome.NOT_SENT))
        gateway.end_attempt(dispatch, Outcome.DONE)
    gateway.at += 0.1
    probe(gateway, "d2", True)
    assert endpoints_of(gateway) == {"d1", "d2"}
    assert (
        changes_of(gateway).count("links-lost") == changes_of(gateway).count("links-regained") == 1
    )


def test_only_service_without_reachable_endpoints_is_relayed():
    gateway = start_entry()
    for _ in range(2):
        dispatch = only_effect(fx.Dispatch, gateway.request("/read/x")[1])
        gateway.end_attempt(dispatch, Outcome.NOT_SENT)
    assert relay_of(gateway.request("/read/x")[1]) is not None
    assert relay_of(gateway.request("/stream/x", "a1")[1]) is None


def test_others_are_told_when_links_are_lost_while_they_are_and_when_they_return():
    gateway = start_entry()
    lose_links(gateway)
    gateway.advance(3.6)
    gateway.at += 0.1
    probe(gateway, "d1", True)
    gateway.advance(3.0)
    told = [
        effect.message.is_lost
        for effect in effects_of(fx.SendPeer, gateway.effects)
        if isinstance(effect.message, messages.LinksChanged) and effect.peer == "entry-2"
    ]
    assert told == [True] * 4 + [False]
    sent = message_converter.unstructure(
        messages.LinksChanged(True), unstructure_as=messages.Message
    )
    received = message_converter.structure(orjson.loads(orjson.dumps(sent)), messages.Message)
    assert received == messages.LinksChanged(True)


@pytest.mark.parametrize(
    "terms", [RelayTerms(7), RelayTerms(7, 1, "v2"), RelayTerms(0, 2, "", "a team, or two")]
)
def test_terms_survive_their_headers(terms):
    headers = relay_headers.build_request_headers(terms)
    assert relay_headers.parse_request_headers([("X-Own", "1"), *headers]) == terms
    assert relay_headers.without_relay_headers([("X-Own", "1"), *headers]) == [("X-Own", "1")]


@pytest.mark.parametrize("value", [None, "", "x", "1.5"])
def test_request_without_terms_is_not_passed_on(value):
    headers = relay_headers.build_request_headers(RelayTerms(1))[1:]
    if value is not None:
        headers.append((relay_headers.CONFIGURATION_HEADER, value))
    with pytest.raises(ValueError):
        relay_headers.parse_request_headers(headers)


@pytest.mark.parametrize(
    ("text", "expected"),
    [("17 e1", ("e1", 17)), (None, None), ("", None), ("e1", None), ("x e1", None), ("17 ", None)],
)
def test_header_names_the_run_that_responded(text, expected):
    assert relay_headers.parse_endpoint_header(text) == expected
    if expected is not None:
        assert relay_headers.build_endpoint_header(*expected) == ("Relay-Endpoint", text)


def send_and_hear_nothing(gateway: Gateway, count: int) -> list[fx.Dispatch]:
    """Send requests that get no answer for a while; return their dispatches."""
    sent = [gateway.request("/resume/x", "a1")[1] for _ in range(count)]
    return [only_effect(fx.Dispatch, effects) for effects in sent]


def probes_during(gateway: Gateway, seconds: float) -> list[str]:
    """Let time pass; return the endpoints that were probed."""
    return [p.record.name for p in effects_of(fx.ProbeEndpoint, gateway.advance(seconds))]


def start_with_engines(count: int) -> Gateway:
    return start_entry(*(engine(number, ("a1",)) for number in range(1, count + 1)))


@pytest.mark.parametrize("count", [0, 1])
def test_idle_entry_and_one_slow_engine_are_not_taken_for_lost_links(count):
    gateway = start_with_engines(4)
    send_and_hear_nothing(gateway, count)
    assert probes_during(gateway, 5.0) == []


def test_engines_busy_with_long_prefill_are_not_taken_for_lost_links():
    gateway = start_with_engines(4)
    send_and_hear_nothing(gateway, 12)
    for _ in range(8):
        for name in probes_during(gateway, 0.5):
            probe(gateway, name, True)
    assert "links-lost" not in changes_of(gateway)


def test_silence_on_all_connections_is_found_by_probes_that_get_no_answer():
    gateway = start_with_engines(6)
    send_and_hear_nothing(gateway, 12)
    assert probes_during(gateway, 0.9) == []
    (first,) = probes_during(gateway, 0.4)
    probe(gateway, first, False)
    others = probes_during(gateway, 0.6)
    assert len(set(others) - {first}) == 2
    for name in others:
        probe(gateway, name, False)
    assert relay_of(gateway.request("/resume/x", "a1")[1]) is not None


def test_what_hears_nothing_over_a_lost_link_is_not_sent_again_by_way_of_another_entry():
    gateway = start_with_engines(6)
    (dispatch,) = send_and_hear_nothing(gateway, 1)
    lose_links(gateway)
    effects = gateway.advance(2.0) + gateway.end_attempt(dispatch, Outcome.TIMED_OUT)
    assert relay_of(effects) is None
    assert only_effect(fx.Refuse, effects).ran


@pytest.mark.parametrize("answers", [True, False])
def test_entry_that_wakes_does_not_take_its_own_pause_for_lost_links(answers):
    gateway = start_with_engines(6)
    send_and_hear_nothing(gateway, 12)
    gateway.advance(0.5)
    asleep_since = gateway.at
    gateway.at += 5.0
    gateway.submit(ev.Tick)
    for name in ("e1", "e2", "e3"):
        probe(gateway, name, False, asleep_since)
    assert "links-lost" not in changes_of(gateway)
    assert probes_during(gateway, 0.9) == []
    if not answers:
        assert probes_during(gateway, 0.5)


def test_plain_endpoint_is_probed_at_the_health_path_of_its_service():
    gateway = start_entry(plain_endpoint(1), plain_endpoint(2))
    services = gateway.state.configuration.services_by_name
    services["desk"] = evolve(services["desk"], health_path="/alive")
    probe(gateway, "d1", False)
    sent = effects_of(fx.ProbeEndpoint, gateway.advance(0.6))
    assert {effect.health_path for effect in sent} == {"/alive"}
