"""Passes exceptions that leave a WSGI application to the structured log."""

import sys

import eventlet


class ServerLog:
    """Logger of eventlet's WSGI server.

    The server reports an exception of the application as a message, while it handles it. It answers
    with status 500, or cuts the connection if the response has begun. Its other messages are
    dropped: they tell of its start and end, and of each request, which has lines of its own.

    Parameters
    ----------
    log : BoundLogger
        Logger of this entry.
    expected : tuple
        Classes of exceptions by which the application cuts a connection.
    """

    # Format of the server's line for each request; an empty one costs least.
    LINE_FORMAT = ""

    def __init__(self, log, expected: tuple[type[Exception], ...] = ()) -> None:
        self.log = log
        # An OSError comes from the connection: the caller has closed it.
        self.expected = (OSError, *expected)

    def info(self, message: str, *args: object) -> None:
        """Log the exception that is being handled, if it is not expected."""
        error = sys.exception()
        is_fault = isinstance(error, Exception | eventlet.Timeout)
        if is_fault and not isinstance(error, self.expected):
            self.log.exception("request-failed", error=repr(error))

    def error(self, message: str, *args: object) -> None:
        """Log that the rest of a request's body could not be read; its connection is closed."""
        self.log.warning("request-not-read", detail=message)

    def debug(self, message: str, *args: object) -> None:
        """Drop a message about a single connection."""
