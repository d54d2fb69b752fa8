"""Reads the bodies of requests of callers and of other entries."""

import mmap
from collections.abc import Iterator
from http import HTTPStatus

from poplarhoist.decisions.gateway.memory_budget import RETRY_AFTER_S, Kind, Phase
from poplarhoist.decisions.gateway.models import CallerLimits
from poplarhoist.gateway.room import ROOM_KEY, UNBOUNDED, NoRoom

PIECE_BYTES = 65536
# What a caller is told whose request finds no room.
NO_ROOM_MESSAGE = "no memory for the request"


class BadRequest(Exception):
    """A request cannot be read.

    Attributes
    ----------
    status : HTTPStatus
        Status of the error response.
    step : str
        What could not be read.
    retry_after_s : float or None
        Seconds after which the request may come back; None if that would not help.
    """

    def __init__(
        self,
        status: HTTPStatus,
        message: str,
        step: str = "body",
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.step = step
        self.retry_after_s = retry_after_s


class BodyBuffer:
    """Collects a body in one place.

    A long body lies in pages of its own, which are given back to the system at once when it is
    dropped. A growing buffer of the allocator would be copied, and leave holes.

    Parameters
    ----------
    max_bytes : int
        Longest body; only pages that are written take memory.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.size = 0
        self.buffer: bytearray | mmap.mmap = bytearray()

    def append(self, data: bytes) -> None:
        """Add bytes."""
        end = self.size + len(data)
        if isinstance(self.buffer, bytearray) and end > PIECE_BYTES:
            pages = mmap.mmap(-1, max(end, self.max_bytes))
            # Large pages would take memory that is not written.
            pages.madvise(mmap.MADV_NOHUGEPAGE)
            pages[: self.size] = bytes(self.buffer)
            self.buffer = pages
        self.buffer[self.size : end] = data
        self.size = end

    def content(self) -> memoryview:
        """Return the body, without copying it."""
        return memoryview(self.buffer)[: self.size]


def read_body(environ: dict, limits: CallerLimits) -> memoryview | bytes:
    """Return the whole body of a request.

    Raises
    ------
    BadRequest
        If it is larger than the limit, does not arrive in time, is cut off, is shorter than its
        Content-Length, or finds no room.
    """
    length = environ.get("CONTENT_LENGTH") or ""
    if length.isdigit() and int(length) > limits.max_body_bytes:
        raise BadRequest(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
    if not announces_body(environ):
        return b""
    room = environ.get(ROOM_KEY, UNBOUNDED)
    room.begin(Phase.READS_BODY)
    try:
        body = collect_body(environ, room, limits.max_body_bytes)
        room.check()
    except NoRoom as error:
        raise no_room(error) from error
    except TimeoutError as error:
        message = "request body not received in time"
        raise BadRequest(HTTPStatus.REQUEST_TIMEOUT, message) from error
    except (OSError, ValueError) as error:
        if room.is_evicted:
            raise no_room(NoRoom(RETRY_AFTER_S)) from error
        raise BadRequest(HTTPStatus.BAD_REQUEST, f"request body incomplete: {error}") from error
    if len(body) > limits.max_body_bytes:
        raise BadRequest(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
    if length.isdigit() and len(body) != int(length):
        raise BadRequest(HTTPStatus.BAD_REQUEST, "body shorter than announced")
    room.begin(Phase.WAITS)
    return body


def no_room(error: NoRoom) -> BadRequest:
    """Return the refusal of a request that finds no room."""
    status = HTTPStatus.SERVICE_UNAVAILABLE
    return BadRequest(status, NO_ROOM_MESSAGE, retry_after_s=error.retry_after_s)


def collect_body(environ: dict, room, max_bytes: int) -> memoryview:
    """Read a body, and at most one byte more than the bound.

    There is room for all of a body whose length is known before it is read, so that bodies do not
    wait for one another halfway.

    Raises
    ------
    NoRoom
        If it finds no room, or gives way to others.
    TimeoutError, OSError, ValueError
        If it cannot be read.
    """
    length = environ.get("CONTENT_LENGTH") or ""
    if length.isdigit():
        max_bytes = int(length)
        room.take(Kind.BODY, max_bytes)
    body = BodyBuffer(max_bytes + 1)
    for data in iter_pieces(environ["wsgi.input"], max_bytes + 1):
        if not length.isdigit():
            room.take(Kind.BODY, len(data))
        body.append(data)
    return body.content()


def iter_pieces(body_input, max_bytes: int) -> Iterator[bytes]:
    """Yield a body as it arrives, at most so many bytes."""
    while max_bytes and (data := body_input.read_piece(min(PIECE_BYTES, max_bytes))):
        max_bytes -= len(data)
        yield data


def announces_body(environ: dict) -> bool:
    """Return whether the headers announce a body, by Content-Length or Transfer-Encoding."""
    return bool(environ.get("CONTENT_LENGTH")) or "HTTP_TRANSFER_ENCODING" in environ
