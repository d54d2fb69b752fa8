"""Headers of endpoints' responses, as the platform sends them."""

import math

import pytest

from poplarhoist.decisions.gateway.models import PrefixSegment
from poplarhoist.platform.headers import parse_request_head, parse_response_head

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
