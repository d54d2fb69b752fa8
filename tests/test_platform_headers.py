"""Headers of endpoints' responses, as the platform sends them."""

import pytest

from poplarhoist.platform.headers import parse_response_head


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
