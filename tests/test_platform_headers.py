"""Headers of requests and of endpoints' responses, as the platform sends them."""

import math

import pytest

from poplarhoist.decisions.gateway.effects import Dispatch
from poplarhoist.decisions.gateway.models import PrefixSegment, RelayTerms
from poplarhoist.platform.headers import (
    build_request_headers,
    parse_request_head,
    parse_response_head,
)
from poplarhoist.platform.keys import digest_of
from tests.gateway import plain_endpoint

UNREADABLE_S = 1.0


@pytest.mark.parametrize(
    ("value", "expected"),
    [("1", True), (" 1 ", True), ("0", False), ("", False), ("yes", False), ("-1", False)]
    + [(None, False)],
)
def test_endpoint_that_leaves_says_so_with_1(value, expected):
    headers = [("Server-Leaving", value)] if value is not None else []
    for status in (200, 404, 503):
        assert parse_response_head(status, headers).is_leaving == expected


@pytest.mark.parametrize(
    ("status", "value", "expected"),
    [
        (503, "2", 2.0),
        (503, "0.25", 0.25),
        (503, " 1 ", 1.0),
        (503, "0", 0.0),
        (503, "1e12", 1e12),
        (503, "-3", UNREADABLE_S),
        (503, "nan", UNREADABLE_S),
        (503, "inf", UNREADABLE_S),
        (503, "", UNREADABLE_S),
        (503, "soon", UNREADABLE_S),
        (503, "Fri, 04 Dec 2026 12:00:00 GMT", UNREADABLE_S),
        (503, "9" * 400, UNREADABLE_S),
        (503, None, None),
        (200, "2", None),
        (429, "2", None),
        (500, "soon", None),
    ],
)
def test_time_for_which_an_endpoint_wants_no_requests_comes_with_503(status, value, expected):
    headers = [("Retry-After", value)] if value is not None else []
    assert parse_response_head(status, headers).notice.retry_after_s == expected


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("1", 1.0),
        ("1.25", 1.25),
        (" 3 ", 3.0),
        ("0", 0.0),
        ("1e3", 1000.0),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("", None),
        ("2,5", None),
        ("much", None),
        ("9" * 400, None),
        (None, None),
    ],
)
def test_limit_of_an_endpoint_is_a_finite_number_from_zero_on(value, expected):
    headers = [("Server-Limit", value)] if value is not None else []
    assert parse_response_head(200, headers).notice.requests_per_s == expected


@pytest.mark.parametrize(
    ("text", "count"),
    [("12", 12), ("012", 12), ("9" * 9, 10**9 - 1)]
    + [
        (text, 0)
        for text in ("", "-1", "+1", "1_0", "1.5", "\xb2", "9" * 10, "9" * 400, "9" * 5000)
    ],
)
def test_numbers_of_a_prompt_that_cannot_be_read_are_left_out(text, count):
    """Some were answered with 500."""
    headers = [("X-Model", "m/a"), ("X-Token-Usage", f"{text},{text}")]
    headers += [("X-Prompt-Prefix", f"p:{text},q:1")]
    prompt = parse_request_head(headers).prompt
    assert (prompt.tokens, prompt.max_output_tokens) == (count, count)
    segments = ((PrefixSegment("p", count),) if count else ()) + (PrefixSegment("q", 1),)
    assert prompt.prefix_segments == segments


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("1500", 1.5), ("0", 0.0), ("-1", 0.0), ("inf", math.inf)]
    + [(text, None) for text in ("nan", "", "soon")],
)
def test_deadline_that_is_no_number_is_left_to_the_route(text, seconds):
    """One that is not a number was taken for a deadline that has passed."""
    assert parse_request_head([("X-Deadline-Ms", text)]).deadline_s == seconds


# Values of the lines with a key, and the key that they are read as; None for none.
@pytest.mark.parametrize(
    ("values", "key"),
    [
        (["k1"], "k1"),
        ([" \tk1 \t"], "k1"),
        (["k1", "k2"], "k1"),
        (["k1,k2"], "k1,k2"),
        (["K1"], "K1"),
        (["k" * 512], "k" * 512),
        ([], None),
        ([""], None),
        (["  "], None),
        (["k" * 513], None),
        (["k\xfc"], None),
        (["k\udc80"], None),
        (["k1\x00"], None),
        (["\xa0k1"], None),
    ],
)
@pytest.mark.parametrize("name", ["Api-Key", "api-key", "API-KEY"])
@pytest.mark.parametrize("more", [[], [("Connection", "close, API-Key ")]])
def test_key_is_read_as_a_digest(values, key, name, more):
    """Named in the Connection header, or in another case, it was not seen or not counted."""
    head = parse_request_head([*more, *((name, value) for value in values)])
    assert head.key_lines == len(values)
    assert head.key_digest == (digest_of(key) if key is not None else b"")
    assert len(head.key_digest) == (16 if key is not None else 0)
    assert key is None or key not in repr(head)


@pytest.mark.parametrize("name", ["X-Request-Id", "x-model", "X-Deadline-Ms", "Last-Event-Id"])
@pytest.mark.parametrize("other", [str, str.upper, lambda name: name.replace("-", "_")])
def test_header_that_says_what_a_request_is_comes_once(name, other):
    """Entry and engine could go by different ones."""
    assert parse_request_head([(name, "a")])
    with pytest.raises(ValueError, match="more than one"):
        parse_request_head([(name, "a"), ("X-Own", "b"), (other(name), "a")])


def test_header_that_says_what_a_request_is_concerns_no_single_connection():
    """Named in the Connection header, it did not reach the engine."""
    own = [("X-Request-Id", "c1"), ("X-Model", "m/a"), ("X-Length-Hint", "9")]
    connection = ("Connection", "X-Request-Id, x-model, X-Length-Hint, X-Own")
    head = parse_request_head([connection, *own, ("X-Own", "dropped")])
    assert head.forwarded_headers == own


@pytest.mark.parametrize("name", ["X_Hold", "x_pin_ms", "Kv_From", "Transfer_Encoding"])
def test_header_that_may_be_taken_for_a_reserved_one_is_not_forwarded(name):
    """Some servers take an underscore for a hyphen."""
    assert parse_request_head([(name, "a"), ("X_Own", "b")]).forwarded_headers == [("X_Own", "b")]


@pytest.mark.parametrize(
    ("names", "caller_id", "has_seal"),
    [
        (["X-Request-Id", "X-Response-Seal"], "a", True),
        (["X-Request-Id", "X-Request-Id", "X-Response-Seal"], "a, a", True),
        (["X-Request-Id", "X-Response-Seal", "x-response-seal"], "a", False),
        ([], "", False),
    ],
)
def test_response_has_one_id_and_one_seal(names, caller_id, has_seal):
    """Of two the first one counted, and the caller could go by the other."""
    head = parse_response_head(200, [(name, "a") for name in names])
    assert (head.caller_request_id, head.has_seal) == (caller_id, has_seal)


CALLER_HEADERS = [
    ("API-KEY", "k1"),
    ("api-key", "k2"),
    ("X-Own", "kept"),
    ("x-tenant", "other"),
    ("X-TENANT", "another"),
    ("X_Tenant", "third"),
    ("Api_Key", "k3"),
]


# What the dispatch says of the team, whether an entry passes the request on, and what is left.
@pytest.mark.parametrize(
    ("team", "relay", "expected"),
    [
        (None, None, CALLER_HEADERS),
        (None, RelayTerms(1), CALLER_HEADERS),
        ("", None, [("X-Own", "kept")]),
        ("survey", None, [("X-Own", "kept"), ("X-Tenant", "survey")]),
        ("survey", RelayTerms(1, team="survey"), [("X-Own", "kept")]),
    ],
)
def test_headers_for_key_and_team_are_forwarded_only_without_teams(team, relay, expected):
    dispatch = Dispatch("1", 1, plain_endpoint(1), 1.0, 0, False, relay=relay, team=team)
    headers = build_request_headers(parse_request_head(CALLER_HEADERS), dispatch, "")
    own = ("X-Deadline-Ms", "X-Target-Instance")
    assert [pair for pair in headers if pair[0] not in own] == expected
