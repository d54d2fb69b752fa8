"""Error responses of the gateway itself."""

from collections.abc import Callable, Iterable
from http import HTTPStatus

import orjson

JSON_CONTENT_TYPE = ("Content-Type", "application/json")


def json_error(
    start_response: Callable,
    status: int,
    message: str,
    headers: Iterable[tuple[str, str]] = (),
    **more: object,
) -> list[bytes]:
    """Start an error response of the gateway and return its JSON body, with more keys if given."""
    start_response(status_line(status), [JSON_CONTENT_TYPE, *headers])
    return [orjson.dumps({"error": message, **more})]


def status_line(status: int) -> str:
    """Return code and reason phrase; codes that are not registered get the phrase "Status"."""
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"
