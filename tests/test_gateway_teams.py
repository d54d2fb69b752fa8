"""Teams: whose a request is, what endpoints are told of it, and which request goes first."""

import orjson
import pytest
from attrs import evolve
from structlog.testing import capture_logs

from poplarhoist.decisions.common_effects import Count, LogChange
from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.messages import Ask
from poplarhoist.decisions.gateway.models import (
    QuotaTerms,
    Refused,
    RelayTerms,
    Team,
    TeamDirectory,
)
from poplarhoist.gateway.callers import RequestHandler
from poplarhoist.platform.documents import decode_configuration
from poplarhoist.platform.store import ObjectStore
from tests import platform_standins
from tests.gateway import (
    ROUTES,
    Gateway,
    configuration,
    effects_of,
    engine,
    only_effect,
    plain_endpoint,
    route,
    start_gateway,
)
from tests.test_gateway_relays import lose_links, start_entry

# A rate of 0 is no limit: quotas are not the subject of the tests with this team.
SURVEY, CREW = Team("survey", 1, QuotaTerms(0.0, 10.0)), Team("crew")
DIRECTORY = TeamDirectory({"survey": SURVEY, "crew": CREW}, {b"s1": SURVEY, b"c1": CREW})
OPEN_ROUTE = route("/open/", "desk", anonymous=True)
OTHER = "other team, of a newer configuration"


def put_teams(gateway: Gateway, version: int = 2, teams: TeamDirectory | None = DIRECTORY) -> None:
    """Put teams in force, with an anonymous route."""
    new = evolve(configuration(version, (*ROUTES, OPEN_ROUTE)), teams=teams)
    gateway.submit(ev.ConfigurationSeen, configuration=new)


def start_with_teams(*records, teams: TeamDirectory | None = DIRECTORY) -> Gateway:
    gateway = start_gateway(*(records or (plain_endpoint(1), engine(1, ("a1",)))))
    put_teams(gateway, teams=teams)
    return gateway


def key(digest: bytes = b"s1", lines: int = 1) -> dict:
    return {"key_digest": digest, "key_lines": lines}


# Directory, path, fields of the arrival, and the team that the endpoint is told or the refusal.
@pytest.mark.parametrize(
    ("teams", "path", "fields", "expected"),
    [
        (DIRECTORY, "/read/x", key(), "survey"),
        (DIRECTORY, "/read/x", key(b"c1"), "crew"),
        (DIRECTORY, "/read/x", {}, Refused.UNKNOWN_KEY),
        (DIRECTORY, "/read/x", key(b"x"), Refused.UNKNOWN_KEY),
        (DIRECTORY, "/read/x", key(b""), Refused.UNKNOWN_KEY),
        (DIRECTORY, "/read/x", key(lines=2), Refused.UNKNOWN_KEY),
        (DIRECTORY, "/none/x", {}, Refused.NO_ROUTE),
        (DIRECTORY, "/open/x", key(), "survey"),
        (DIRECTORY, "/open/x", key(lines=2), ""),
        (DIRECTORY, "/open/x", key(b"x"), ""),
        (DIRECTORY, "/open/x", {}, ""),
        (TeamDirectory(), "/read/x", key(), Refused.UNKNOWN_KEY),
        (TeamDirectory(), "/open/x", {}, ""),
        (None, "/read/x", key(), None),
        (None, "/read/x", {}, None),
        (DIRECTORY, "/read/x", {"relay": RelayTerms(1, team="crew")}, "crew"),
        (DIRECTORY, "/read/x", {"relay": RelayTerms(1, team=OTHER)}, OTHER),
        (DIRECTORY, "/read/x", {"relay": RelayTerms(1)}, ""),
        (None, "/read/x", {"relay": RelayTerms(1, team="crew")}, "crew"),
    ],
)
def test_team_of_a_request_is_found_at_arrival(teams, path, fields, expected):
    """A request that was not checked, or for another team than its key's, would run."""
    gateway = start_with_teams(teams=teams)
    _, effects = gateway.request(path, **fields)
    if isinstance(expected, Refused):
        assert effects_of(fx.Dispatch, effects) == [] and gateway.state.requests == {}
        refusal = only_effect(fx.Refuse, effects)
        assert (refusal.reason, refusal.ran, refusal.retry_after_s) == (expected, False, 0.0)
    else:
        assert only_effect(fx.Dispatch, effects).team == expected
        lines = {line.decision: line.fields for line in effects_of(fx.LogRequest, effects)}
        assert lines["sent"].get("team", "") == (expected or "")


def test_nothing_is_checked_before_there_is_a_configuration():
    assert only_effect(fx.Refuse, Gateway().request("/read/x")[1]).reason is Refused.NOT_CONFIGURED


def test_keys_are_in_force_as_the_newest_configuration_says():
    """A key that was taken away was served, or a key given since refused."""
    gateway = start_with_teams(engine(1, ("a1",)), engine(2, ("a1",)))
    _, effects = gateway.request("/resume/x", "a1", **key())
    put_teams(gateway, 3, TeamDirectory({"crew": CREW}, {b"s1": CREW}))
    assert only_effect(fx.Dispatch, gateway.request("/resume/x", "a1", **key())[1]).team == "crew"
    put_teams(gateway, 4, TeamDirectory())
    put_teams(gateway, 3)
    reason = only_effect(fx.Refuse, gateway.request("/read/x", **key())[1]).reason
    assert reason is Refused.UNKNOWN_KEY
    # A stream that goes on elsewhere stays with the team of its arrival, also without teams.
    put_teams(gateway, 5, None)
    first = only_effect(fx.Dispatch, effects)
    effects = gateway.end_attempt(first, ev.Outcome.BROKEN, delivered=True)
    assert only_effect(fx.Dispatch, effects).team == "survey"


def test_key_of_a_request_that_waited_while_teams_came_into_force_is_not_sent():
    gateway = start_gateway()
    gateway.request("/read/x")
    put_teams(gateway)
    gateway.list_endpoints(plain_endpoint(1))
    assert only_effect(fx.Dispatch, gateway.advance(0.025)).team == ""


def test_entry_that_passes_a_request_on_is_told_the_team_and_no_key():
    gateway = start_entry()
    put_teams(gateway)
    lose_links(gateway)
    for fields, team in ((key(), "survey"), ({}, "")):
        dispatch = only_effect(fx.Dispatch, gateway.request("/open/x", **fields)[1])
        assert (dispatch.relay.team, dispatch.team) == (team, team)


def test_relayed_request_has_no_quota_here():
    """The entry that passed it on has counted it."""
    gateway = start_with_teams()
    request_id, _ = gateway.request("/read/x", relay=RelayTerms(1, team="survey"))
    assert gateway.state.requests[request_id].team == evolve(SURVEY, quota=None)


# Priorities of team and route; what engines are told, and what the lead of an engine is.
@pytest.mark.parametrize(
    ("team", "route_priority", "for_engine", "in_ask"),
    [
        (None, 0, 0, 0),
        (None, 5, 5, 5),
        (Team("t"), 5, 5, 5),
        (Team("t", 0), 0, 0, 0),
        (Team("t", 0), 5, 2, 5),
        (Team("t", 1), 0, 3, 1000),
        (Team("t", 1), 5000, 5, 1999),
        (Team("t", 2), 1, 7, 2001),
        (Team("t", 3), 0, 9, 3000),
        (Team("t", 40), 2, 9, 40002),
    ],
)
def test_priority_of_a_team_goes_before_that_of_its_route(team, route_priority, for_engine, in_ask):
    gateway = start_gateway(engine(1, ("a1",)))
    gateway.set_lead("e1", "entry-2#b2")
    teams = TeamDirectory({"t": team}, {b"t": team}) if team is not None else None
    routes = (route("/stream/", priority=route_priority),)
    new = evolve(configuration(2, routes), teams=teams)
    gateway.submit(ev.ConfigurationSeen, configuration=new)
    sent = only_effect(fx.Dispatch, gateway.request("/stream/x", "a1", **key(b"t"))[1])
    assert sent.priority == for_engine
    messages = effects_of(fx.SendPeer, gateway.request("/stream/x", "cold", **key(b"t"))[1])
    (ask,) = [send.message for send in messages if isinstance(send.message, Ask)]
    assert ask.priority == in_ask


def test_waiting_requests_go_by_team_then_route_then_age():
    """A less urgent team's request that waited longer got the place of a more urgent one's."""
    teams = {b"0": Team("t0", 0), b"1": Team("t1", 1), b"-": Team("t-")}
    gateway = start_gateway()
    urgent = route("/urgent/", "desk", anonymous=True)
    routes = (urgent, evolve(urgent, prefix="/later/", priority=4))
    gateway.submit(
        ev.ConfigurationSeen,
        configuration=evolve(configuration(2, routes), teams=TeamDirectory({}, teams)),
    )
    arrivals = ["/later/x 1", "/urgent/x 1", "/later/x 0", "/later/x -", "/urgent/x", "/urgent/x 0"]
    by_id = {}
    for arrival in arrivals:
        path, _, digest = arrival.partition(" ")
        by_id[gateway.request(path, **key(digest.encode()))[0]] = arrival
        gateway.at += 0.001
    gateway.list_endpoints(plain_endpoint(1))
    sent = [by_id[d.request_id] for d in effects_of(fx.Dispatch, gateway.advance(0.025))]
    assert sent == [arrivals[place] for place in (4, 5, 2, 3, 1, 0)]


def test_request_of_an_urgent_team_raises_the_ask_that_it_joins():
    gateway = start_with_teams(engine(1))
    gateway.set_lead("e1", "entry-2#b2")
    for digest, expected in ((b"s1", 1000), (b"c1", 0)):
        gateway.request("/stream/x", "cold", **key(digest))
        (pending,) = gateway.state.pending_asks.values()
        assert pending.priority == expected


@pytest.mark.parametrize(
    ("reason", "retry_after_s", "status", "told"),
    [
        (Refused.UNKNOWN_KEY, 0.0, "401 Unauthorized", None),
        (Refused.QUOTA, 1.231, "429 Too Many Requests", "1.24"),
        (Refused.QUOTA, 0.001, "429 Too Many Requests", "0.01"),
        (Refused.LIMITED, 1.231, "503 Service Unavailable", "1.23"),
    ],
)
def test_refusal_says_why_and_when_to_come_back(reason, retry_after_s, status, told):
    """A time that is rounded down brings the caller back before its quota has room."""
    handler, answers = RequestHandler.__new__(RequestHandler), []
    handler.is_relay = False
    handler.start_response = lambda *answer: answers.append(answer)
    body = handler.refuse(fx.Refuse("1", reason, False, retry_after_s))
    ((line, headers),) = answers
    assert (line, dict(headers).get("Retry-After")) == (status, told)
    assert orjson.loads(b"".join(body)) == {"error": str(reason), "ran": False}


def test_refusals_are_counted_for_a_bounded_number_of_teams():
    """Each label value costs memory for good, and a configuration may bring ever new names."""
    teams = [Team(f"t{number}") for number in range(40)]
    directory = TeamDirectory({}, {team.name.encode(): team for team in teams})
    gateway = start_with_teams(teams=directory)
    for team in [*teams, *teams]:
        fields = key(team.name.encode()) | {"deadline_s": 0.0}
        assert only_effect(fx.Refuse, gateway.request("/read/x", **fields)[1])
    counts = [c for c in effects_of(Count, gateway.effects) if c.counter == "team_refused"]
    labels = [count.labels for count in counts]
    named = [(f"t{number}", "deadline") for number in range(32)]
    assert labels == (named + [("other", "deadline")] * 8) * 2


def tenants(*changes: dict) -> dict:
    """Return a configuration document with teams, each with a key of its own unless told."""
    teams = [
        {"name": f"t{number}", "apiKeys": [f"secret-{number}"]} | change
        for number, change in enumerate(changes)
    ]
    return platform_standins.configuration(2) | {"tenants": teams}


RATE = {"ratePerS": 5, "burst": 2.5, "plainTokens": 7}


@pytest.mark.parametrize(
    ("fields", "priority", "quota"),
    [
        ({}, None, None),
        ({"priority": 0, "unit": "token_count", "burst": 9}, 0, None),
        ({"priority": None, "ratePerS": 0, "burst": 9}, None, None),
        ({"priority": 2} | RATE, 2, QuotaTerms(5.0, 2.5, False, 7)),
        ({"unit": "token_count"} | RATE, None, QuotaTerms(5.0, 2.5, True, 7)),
        ({"unit": "request"} | RATE, None, QuotaTerms(5.0, 2.5, False, 7)),
        ({"unit": "barrels"} | RATE, None, QuotaTerms(5.0, 2.5, True, 7)),
    ],
)
def test_team_is_decoded_as_the_configuration_has_it(fields, priority, quota):
    directory = decode_configuration(tenants(fields, {"apiKeys": []})).teams
    assert directory.by_name == {"t0": Team("t0", priority, quota), "t1": Team("t1")}
    assert list(directory.by_digest.values()) == [directory.by_name["t0"]]


def test_unknown_unit_is_logged_once():
    gateway = Gateway()
    for version, units in enumerate((["b"], ["b"], ["b", "c"], []), 2):
        document = tenants(*({"unit": unit} for unit in units)) | {"version": version}
        gateway.submit(ev.ConfigurationSeen, configuration=decode_configuration(document))
    lines = [c for c in effects_of(LogChange, gateway.effects) if c.change == "quota-unit-unknown"]
    assert [line.fields["units"] for line in lines] == [["b"], ["c"]]


@pytest.mark.parametrize(
    "document",
    [
        tenants({}, {}),
        tenants({}, {"apiKeys": ["secret-0"]}),
        tenants({"apiKeys": "secret-0"}),
        tenants({"apiKeys": ["secret-0 "]}),
        tenants({"apiKeys": [["secret-0"]]}),
        tenants({"apiKeys": {"secret-0": 1}}),
        tenants({}) | {"tenants": {"secret-0": 1}},
        tenants({}) | {"tenants": ["secret-0"]},
    ],
)
def test_no_line_of_a_log_shows_a_key_of_the_configuration(document):
    """The line about a bad configuration quoted it, and copies are logged in their text form."""
    store = ObjectStore("127.0.0.1:1", clock=None)
    item = {"metadata": {"name": "main", "revision": 1}, "spec": document}
    with capture_logs() as lines:
        decoded = store.decoder.decode_list("config", [item], ev.Tick(0.0))
    assert "secret" not in f"{lines} {decoded}"
    assert bool(lines) != bool(decoded.events)


@pytest.mark.parametrize(
    ("quota", "refused"),
    [(QuotaTerms(1.0, 2.0, counts_tokens=False), True), (None, False)],
)
def test_quota_of_the_configuration_in_force_refuses_what_is_beyond(quota, refused):
    # Guards against quotas that are decoded and never applied.
    team = Team("survey", None, quota)
    gateway = Gateway(quota_slack=0.0)
    gateway.state.is_first_start = True
    gateway.list_endpoints(plain_endpoint(1))
    put_teams(gateway, teams=TeamDirectory({"survey": team}, {b"s1": team}))
    gateway.advance(8.0)
    for _ in range(12):
        gateway.request("/read/x", **key())
    gateway.advance(0.5)
    reasons = {refusal.reason for refusal in effects_of(fx.Refuse, gateway.effects)}
    assert (Refused.QUOTA in reasons) is refused
    assert effects_of(fx.Dispatch, gateway.effects)
