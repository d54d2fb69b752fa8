"""Reads the bodies of requests of callers and of other entries."""

from http import HTTPStatus

from poplarhoist.decisions.gateway.models import CallerLimits


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
