"""What may be sent over a kept connection, and which connections are kept; on a virtual clock."""

import pytest
from attrs import evolve

from poplarhoist.decisions.gateway import connection_reuse
from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.connection_reuse import Drop, EndedExchange
from poplarhoist.decisions.gateway.models import ServiceSpec
from poplarhoist.platform.documents import decode_service
from tests.gateway import (
    ROUTES,
    Gateway,
    effects_of,
    engine,
    only_effect,
    plain_endpoint,
    route,
    send_request,
)

WHOLE = EndedExchange(200, 11, is_whole=True)


def start(peers: tuple[str, ...] = (), **limits) -> Gateway:
    """Return an entry that keeps connections, with an engine and two plain endpoints."""
    gateway = Gateway(peers=peers, **{"keep_connections": True} | limits)
    single = route("/single/", "desk", kind="repeatable", max_attempts=1)
    gateway.configure(routes=(*ROUTES, single))
    gateway.list_endpoints(engine(1, ("a1",)), plain_endpoint(1), plain_endpoint(2))
    return gateway


# Path, changes of the limits, changes of the request, and whether a kept connection may be used.
@pytest.mark.parametrize(
    ("path", "limits", "fields", "may_reuse"),
    [
        ("/read/x", {}, {}, True),
        ("/resume/x", {}, {"adapter": "a1"}, True),
        ("/stream/x", {}, {"adapter": "a1"}, False),
        ("/once/x", {}, {}, False),
        ("/single/x", {}, {}, False),
        ("/read/x", {}, {"caller_id": ""}, False),
        ("/read/x", {"keep_connections": False}, {}, False),
        ("/read/x", {"retry_slack": 0.0, "retry_ratio": 0.0}, {}, False),
    ],
)
def test_only_what_can_be_sent_again_may_use_a_kept_connection(path, limits, fields, may_reuse):
    """What was sent on a connection that ends may have run: nothing else than this could go on."""
    _, effects = start(**limits).request(path, **fields)
    assert only_effect(fx.Dispatch, effects).may_reuse is may_reuse


def test_stopping_entry_uses_no_kept_connection():
    gateway = start()
    gateway.submit(ev.DrainRequested)
    assert not send_request(gateway).may_reuse


def test_request_on_a_stale_connection_goes_to_the_same_endpoint_over_a_new_one():
    """Blamed on the endpoint, each idle connection that it closes would move its load elsewhere."""
    gateway = start()
    first = send_request(gateway)
    effects = gateway.end_attempt(first, ev.Outcome.STALE)
    second = only_effect(fx.Dispatch, effects)
    assert (second.endpoint, second.attempt, second.may_reuse) == (first.endpoint, 2, False)
    endpoint = gateway.state.endpoints[first.endpoint.name]
    assert (endpoint.error_rate, endpoint.consecutive_failures) == (0.0, 0)
    assert gateway.state.requests[first.request_id].avoided_endpoints == set()
    assert not gateway.state.broken_responses_by_crash
    assert not gateway.state.links.unanswered_at
    window = gateway.state.retry_windows["desk"]
    assert len(window.retries) == 1
    # It may have run twice now, which is what its route allows.
    refused = only_effect(fx.Refuse, gateway.end_attempt(second, ev.Outcome.BROKEN))
    assert refused.ran


def test_request_on_a_stale_connection_without_budget_is_refused_as_perhaps_run():
    """Told "not run", its caller could send again what has run."""
    gateway = start()
    dispatch = send_request(gateway)
    gateway.submit(
        ev.LimitsChanged, limits=evolve(gateway.state.limits, retry_slack=0.0, retry_ratio=0.0)
    )
    refused = only_effect(fx.Refuse, gateway.end_attempt(dispatch, ev.Outcome.STALE))
    assert refused.ran and not refused.retry_after_s


def test_request_on_a_stale_connection_goes_elsewhere_if_the_endpoint_leaves():
    gateway = start()
    first = send_request(gateway)
    gateway.submit(ev.EndpointSaidLeaving, name=first.endpoint.name, incarnation=1)
    second = only_effect(fx.Dispatch, gateway.end_attempt(first, ev.Outcome.STALE))
    assert second.endpoint.name != first.endpoint.name


def test_log_of_a_request_tells_whether_its_connection_was_reused():
    gateway = start()
    effects = gateway.end_attempt(
        send_request(gateway), ev.Outcome.DONE, body_end=ev.BodyEnd(connection_reused=True)
    )
    assert only_effect(fx.LogRequest, effects).fields["reused"] is True


# How the exchange ended, and why its connection is not kept.
@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({}, None),
        ({"status": 500}, None),
        ({"told_idle_s": 2}, None),
        ({"is_whole": False}, Drop.NOT_WHOLE),
        ({"status": 101}, Drop.NOT_WHOLE),
        ({"status": 103}, Drop.NOT_WHOLE),
        ({"is_closing": True}, Drop.CLOSING),
        ({"http_version": 10}, Drop.CLOSING),
        ({"is_cancelled": True}, Drop.CANCELLED),
        ({"leftover_bytes": 1}, Drop.LEFTOVER),
        ({"had_body": True}, None),
        ({"had_body": True, "status": 413}, Drop.UNREAD_BODY),
        ({"told_idle_s": 1}, Drop.IDLE),
        ({"told_idle_s": 0}, Drop.IDLE),
    ],
)
def test_connection_is_kept_only_after_a_whole_exchange(changes, reason):
    """Anything that is left of one exchange would be taken for the next one's response."""
    gateway = start()
    record = plain_endpoint(1)
    assert connection_reuse.why_not_kept(gateway.state, record, evolve(WHOLE, **changes)) is reason


# What happens to the endpoint or entry, and why connections to the run are closed.
@pytest.mark.parametrize(
    ("kind", "fields", "reason"),
    [
        (ev.Tick, {}, None),
        (ev.EndpointSeen, {"record": plain_endpoint(1, max_concurrent_requests=9)}, None),
        (ev.EndpointSeen, {"record": plain_endpoint(1, incarnation=2)}, Drop.RESTARTED),
        (ev.EndpointSeen, {"record": plain_endpoint(1, port=9)}, Drop.RESTARTED),
        (ev.EndpointSeen, {"record": plain_endpoint(1, draining=True)}, Drop.LEAVING),
        (ev.EndpointSaidLeaving, {"name": "d1", "incarnation": 1}, Drop.LEAVING),
        (ev.EndpointRemoved, {"name": "d1"}, Drop.GONE),
        (ev.DrainRequested, {}, Drop.STOPPING),
    ],
)
def test_connections_of_an_ended_run_are_neither_used_nor_kept(kind, fields, reason):
    """They lead to another process than the request is meant for, or hold up one that stops."""
    gateway = start()
    gateway.at += 10.0
    gateway.submit(kind, **fields)
    record = plain_endpoint(1)
    assert connection_reuse.why_not_used(gateway.state, record, 0.0, 4.0) is reason
    assert connection_reuse.why_not_kept(gateway.state, record, WHOLE) is reason


# What the endpoint says, and the seconds for which a connection may be idle.
@pytest.mark.parametrize(
    ("told_s", "limit_s"), [(None, 4.0), (5, 4.0), (2, 1.0), (1, 0.0), (0, 0.0), (9999, 60.0)]
)
def test_idle_connection_is_given_up_before_its_endpoint_closes_it(told_s, limit_s):
    assert connection_reuse.idle_limit_s(told_s) == limit_s
    gateway = start()
    record = plain_endpoint(1)
    if limit_s:
        assert connection_reuse.why_not_used(gateway.state, record, limit_s - 0.01, limit_s) is None
    assert connection_reuse.why_not_used(gateway.state, record, limit_s, limit_s) is Drop.IDLE


# Connections that the endpoint takes, number of entries, and idle ones that each keeps.
@pytest.mark.parametrize(
    ("max_connections", "entries", "idle"),
    [(730, 71, 5), (470, 70, 3), (470, 300, 1), (0, 3, 1), (10, 1, 5)],
)
def test_idle_connections_of_all_entries_take_half_of_what_an_endpoint_takes(
    max_connections, entries, idle
):
    """Beyond what it takes, an endpoint would refuse the connections that requests need."""
    gateway = start(tuple(f"entry-{number}" for number in range(2, entries + 1)))
    service = gateway.state.configuration.services_by_name["desk"]
    gateway.state.configuration.services_by_name["desk"] = evolve(
        service, max_connections=max_connections
    )
    assert connection_reuse.max_idle(gateway.state, "desk") == idle


@pytest.mark.parametrize(
    ("value", "number"), [(730, 730), (470.0, 470), (None, 0), ("many", 0), (-1, 0), (True, 0)]
)
def test_odd_number_of_connections_costs_no_configuration(value, number):
    """The field was not read before: a document with any value in it came into force."""
    assert decode_service({"name": "s", "maxConns": value}) == ServiceSpec(
        "s", max_connections=number
    )


def test_stale_connection_is_counted_as_an_outcome_of_its_own():
    effects = start_and_end(ev.Outcome.STALE)
    counts = {(count.counter, count.labels) for count in effects_of(fx.Count, effects)}
    assert ("attempt_ended", ("stale-connection",)) in counts


def start_and_end(outcome: ev.Outcome) -> list:
    """Return the effects of the end of a request's first attempt."""
    gateway = start()
    return gateway.end_attempt(send_request(gateway), outcome)


@pytest.mark.parametrize(("remaining_s", "timeout_s"), [(6.0, 2.0), (4.0, 2.0), (1.6, 0.8)])
def test_silent_connection_leaves_time_for_another_attempt(remaining_s, timeout_s):
    """With 2 s for each, a request with a deadline of 1.6 s would be lost with its connection."""
    assert connection_reuse.user_timeout_s(remaining_s, 2.0) == timeout_s
