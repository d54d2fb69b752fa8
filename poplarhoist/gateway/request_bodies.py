"""Reads the bodies of callers' requests, and builds the gateway's own error responses."""

from collections.abc import Callable, Iterable
from http import HTTPStatus

import orjson

from poplarhoist.decisions.gateway.models import CallerLimits

JSON_CONTENT_TYPE = ("Content-Type", "application/json")


class BadRequest(Exception):
    """A request cannot be read.

    Attributes
    ----------
    status : HTTPStatus
        Status of the error response.
    step : str
        What could not be read.
    """

    def __init__(self, status: HTTPStatus, message: str, step: str = "body") -> None:
        super().__init__(message)
        self.status = status
        self.step = step


def read_body(environ: dict, limits: CallerLimits) -> bytes:
    """Return the whole body of a request.

    Raises
    ------
    BadRequest
        If it is larger than the limit, does not arrive in time, is cut off, or is shorter than its
        Content-Length.
    """
    length = environ.get("CONTENT_LENGTH") or ""
    if length.isdigit() and int(length) > limits.max_body_bytes:
        raise BadRequest(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
    body_stream = environ["wsgi.input"]
    try:
        body = body_stream.read(limits.max_body_bytes + 1) if announces_body(environ) else b""
    except TimeoutError as error:
        message = "request body not received in time"
        raise BadRequest(HTTPStatus.REQUEST_TIMEOUT, message) from error
    except (OSError, ValueError) as error:
        raise BadRequest(HTTPStatus.BAD_REQUEST, f"request body incomplete: {error}") from error
    if len(body) > limits.max_body_bytes:
        raise BadRequest(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
    if length.isdigit() and len(body) != int(length):
        raise BadRequest(HTTPStatus.BAD_REQUEST, "body shorter than announced")
    return body


def announces_body(environ: dict) -> bool:
    """Return whether the headers announce a body, by Content-Length or Transfer-Encoding."""
    return bool(environ.get("CONTENT_LENGTH")) or "HTTP_TRANSFER_ENCODING" in environ


def json_error(
    start_response: Callable, status: int, message: str, headers: Iterable[tuple[str, str]] = ()
) -> list[bytes]:
    """Start an error response of the gateway and return its JSON body."""
    start_response(status_line(status), [JSON_CONTENT_TYPE, *headers])
    return [orjson.dumps({"error": message})]


def status_line(status: int) -> str:
    """Return code and reason phrase; codes that are not registered get the phrase "Status"."""
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"
