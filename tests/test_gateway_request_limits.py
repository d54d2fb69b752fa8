"""Endpoints name the requests a second that they take from all entries together."""

from collections.abc import Callable

import orjson
import pytest
from attrs import frozen

from poplarhoist.decisions.effects import LogChange
from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import messages
from poplarhoist.decisions.gateway.models import Refused
from poplarhoist.gateway.peers import message_converter
from tests.engine_site import EngineRun, EngineSite
from tests.gateway import Gateway, effects_of, engine, only_effect, plain_endpoint

# The users' bounds: in any window of this length, from this long after a limit was first named, an
# endpoint gets at most this share of it and a few more. Entries count that were told before.
WINDOW_S = 4.0
KNOWN_AFTER_S = 4.0
TOLD_BEFORE_S = 0.5
LIMIT_RATIO = 1.5
EXTRA_REQUESTS = 5
REQUEST_INTERVAL_S = 0.04
ENGINE_COUNT = 3


def requests_allowed(limit: float) -> float:
    return LIMIT_RATIO * WINDOW_S * limit + EXTRA_REQUESTS


def most_requests(run: EngineRun, since: float, until: float = float("inf")) -> int:
    """Return the most requests in a window, of entries that were told before."""
    times = [
        at
        for at, name in run.arrivals
        if since <= at <= until and at >= run.told_at.get(name, float("inf")) + TOLD_BEFORE_S
    ]
    return max((sum(at <= other < at + WINDOW_S for other in times) for at in times), default=0)


class LimitedSite:
    """A site with steady traffic at all entries in turn, some of whose engines name limits."""

    def __init__(self, limits: tuple[float, ...], entry_count: int = 9) -> None:
        self.site = EngineSite(entry_count, ENGINE_COUNT)
        self.requests = self.site.send_steadily(REQUEST_INTERVAL_S, "shared")
        self.site.run(2.0)
        self.limited_runs = list(self.site.runs_by_name.values())[: len(limits)]
        self.named_at = self.site.at
        for run, limit in zip(self.limited_runs, limits, strict=True):
            run.requests_per_s = limit


def run_plain(site: EngineSite) -> None:
    site.run(30.0)


def run_with_restarts(site: EngineSite) -> None:
    for name in site.names[:5]:
        site.run(3.0)
        site.start_entry(name)
    site.run(15.0)


def run_cut_off(site: EngineSite) -> None:
    site.cut_off = set(site.names)
    site.run(30.0)


def run_with_lost_messages(site: EngineSite) -> None:
    site.lost_share = 0.3
    site.run(30.0)


@frozen
class LimitCase:
    """Limits of the first engines, and how the time passes."""

    limits: tuple[float, ...]
    run: Callable[[EngineSite], None] = run_plain
    entry_count: int = 9


LIMIT_CASES = {
    "one": LimitCase((1.0,)),
    "two": LimitCase((1.0, 1.3)),
    "zero": LimitCase((0.0,)),
    "fraction": LimitCase((0.3,)),
    "higher": LimitCase((2.5,)),
    "all": LimitCase((1.0, 1.2, 0.5)),
    "one-entry": LimitCase((1.0,), entry_count=1),
    "many-entries": LimitCase((1.0, 0.5), entry_count=40),
    "entries-restart": LimitCase((1.0, 0.5), run_with_restarts),
    "entries-cut-off": LimitCase((1.0, 0.5), run_cut_off),
    "messages-lost": LimitCase((1.0, 0.5), run_with_lost_messages),
}


def play(case: LimitCase) -> LimitedSite:
    site = LimitedSite(case.limits, case.entry_count)
    case.run(site.site)
    return site


@pytest.mark.parametrize("case", LIMIT_CASES.values(), ids=LIMIT_CASES)
def test_endpoint_gets_no_more_requests_than_it_takes(case):
    site = play(case)
    for run, limit in zip(site.limited_runs, case.limits, strict=True):
        most = most_requests(run, site.named_at + KNOWN_AFTER_S)
        assert most <= requests_allowed(limit), (limit, run.told_at)


@pytest.mark.parametrize("case", LIMIT_CASES.values(), ids=LIMIT_CASES)
def test_endpoint_with_a_limit_still_serves_what_it_takes(case):
    site = play(case)
    for run, limit in zip(site.limited_runs, case.limits, strict=True):
        later = [at for at, _ in run.arrivals if at > site.named_at + KNOWN_AFTER_S]
        assert len(later) >= 0.5 * limit * (site.site.at - site.named_at - KNOWN_AFTER_S)


def test_requests_go_to_other_endpoints_while_one_has_a_limit():
    site = LimitedSite((1.0,))
    site.site.run(20.0)
    assert not [request for request in site.requests if request.refused]


def test_endpoint_gets_its_share_again_once_it_lifts_its_limit():
    site = LimitedSite((1.0,))
    site.site.run(10.0)
    (run,) = site.limited_runs
    run.requests_per_s = None
    site.site.run(10.0)
    since = site.site.at
    site.site.run(10.0)
    counts = [sum(at > since for at, _ in r.arrivals) for r in site.site.runs_by_name.values()]
    assert counts[0] >= 0.5 * sum(counts) / len(counts)


def test_endpoint_that_lowers_its_limit_gets_no_more_than_the_lower_one():
    site = LimitedSite((3.0,))
    site.site.run(12.0)
    (run,) = site.limited_runs
    run.requests_per_s = 0.5
    lowered_at = site.site.at
    site.site.run(20.0)
    assert most_requests(run, lowered_at + KNOWN_AFTER_S) <= requests_allowed(0.5)


def test_request_is_refused_at_once_with_a_time_to_come_back_when_no_endpoint_takes_it():
    site = LimitedSite((0.5,) * ENGINE_COUNT)
    site.site.run(10.0)
    refused = [request for request in site.requests if request.refused and request.at > 8.0]
    assert len(refused) > 50
    assert all(request.refused_at == request.at for request in refused)
    assert all(request.retry_after_s > 0.0 for request in refused)


def test_restarted_endpoint_has_no_limit():
    site = LimitedSite((1.0,))
    site.site.run(6.0)
    (run,) = site.limited_runs
    site.site.crash_engine(run)
    site.site.run(10.0)
    restarted = site.site.runs_by_name[f"{run.record.name}+"]
    assert len(restarted.arrivals) > 20


def test_log_tells_when_an_endpoint_names_changes_and_lifts_its_limit():
    gateway = Gateway()
    gateway.configure()
    gateway.list_endpoints(engine(1, ("a1",)))
    logged = []
    for limit in (None, 1.5, 1.5, 2.0, None):
        _, effects = gateway.request("/stream/x", "a1")
        dispatch = only_effect(fx.Dispatch, effects)
        logged.append(only_effect(fx.LogRequest, effects).fields["limit_per_s"])
        gateway.submit(
            ev.ResponseStarted,
            request_id=dispatch.request_id,
            attempt=dispatch.attempt,
            notice=ev.EndpointNotice(limit),
        )
        gateway.end_attempt(dispatch, ev.Outcome.DONE)
        gateway.advance(3.0)
    changes = [
        log for log in effects_of(LogChange, gateway.effects) if log.change == "endpoint-limit"
    ]
    assert [log.fields["requests_per_s"] for log in changes] == [1.5, 2.0, None]
    assert logged == [None, None, 1.5, 1.5, 2.0]


def start_response(gateway: Gateway, dispatch: fx.Dispatch, limit: float | None) -> list:
    return gateway.submit(
        ev.ResponseStarted,
        request_id=dispatch.request_id,
        attempt=dispatch.attempt,
        notice=ev.EndpointNotice(limit),
    )


def limit_of(gateway: Gateway, name: str) -> float | None:
    return gateway.state.endpoints[name].limit.requests_per_s


@pytest.mark.parametrize(("first", "second"), [(1.0, None), (None, 1.0)])
def test_response_that_was_overtaken_does_not_change_the_limit(first, second):
    gateway = Gateway(peers=("entry-2",))
    gateway.configure()
    gateway.list_endpoints(engine(1, ("a1",)))
    dispatches = [only_effect(fx.Dispatch, gateway.request("/stream/x", "a1")[1]) for _ in "ab"]
    gateway.advance(0.1)
    gateway.receive("entry-2", messages.RequestLimit("e1", 1, 1.0))
    start_response(gateway, dispatches[0], first)
    if first is None:
        gateway.receive("entry-2", messages.RequestLimit("e1", 1, None))
    start_response(gateway, dispatches[1], second)
    assert limit_of(gateway, "e1") == first


@pytest.mark.parametrize("outcome", [ev.Outcome.NOT_RUN, ev.Outcome.FAILED])
def test_response_without_a_body_names_the_limit_of_a_plain_endpoint_too(outcome):
    gateway = Gateway()
    gateway.configure()
    gateway.list_endpoints(plain_endpoint(1))
    dispatch = only_effect(fx.Dispatch, gateway.request("/read/x")[1])
    gateway.end_attempt(dispatch, outcome, status=503, notice=ev.EndpointNotice(0.5))
    assert limit_of(gateway, "d1") == 0.5
    refusal = only_effect(fx.Refuse, gateway.request("/read/x")[1])
    assert (refusal.reason, refusal.ran) == (Refused.LIMITED, False)


def test_request_that_waits_for_an_adapter_does_not_pass_the_limit_by():
    gateway = Gateway(peers=("entry-2",))
    gateway.configure()
    gateway.list_endpoints(engine(1), engine(2))
    for name in ("e1", "e2"):
        gateway.set_lead(name, "entry-2#b2")
    _, effects = gateway.request("/stream/x", "cold")
    ask = next(e.message for e in effects_of(fx.SendPeer, effects))
    view = messages.View(ask.engine, {"base": 1}, {"base/cold": 0.1}, 0, 0, 3)
    gateway.receive("entry-2", view)
    gateway.receive("entry-2", messages.RequestLimit(ask.engine, 1, 1.0))
    sent = effects_of(fx.Dispatch, gateway.advance(0.5))
    assert ask.engine not in {dispatch.endpoint.name for dispatch in sent}
    asked = {
        e.message.engine
        for e in effects_of(fx.SendPeer, gateway.effects)
        if isinstance(e.message, messages.Ask)
    }
    assert asked == {"e1", "e2"}


@pytest.mark.parametrize("limit", [1.5, None])
def test_message_about_a_limit_survives_the_wire(limit):
    message = messages.RequestLimit("e1", 7, limit)
    data = orjson.dumps(message_converter.unstructure(message, unstructure_as=messages.Message))
    assert message_converter.structure(orjson.loads(data), messages.Message) == message
