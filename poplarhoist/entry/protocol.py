"""The WSGI server's protocol with a bound on the time that a request's head may take."""

import eventlet
from eventlet.wsgi import HttpProtocol


class HeadTimeoutProtocol(HttpProtocol):
    """Closes a connection whose request line and headers do not arrive in time.

    The server's own timeout starts again with each byte, so that a caller which sends one now and
    then would hold its connection for good.
    """

    def handle_one_request(self) -> None:
        """Read and answer one request."""
        timeout_error = TimeoutError("request head too slow")
        self.head_timeout = eventlet.Timeout(self.server.socket_timeout, timeout_error)
        try:
            super().handle_one_request()
        finally:
            self.head_timeout.cancel()

    def handle_one_response(self) -> None:
        """Answer a request whose head is here."""
        self.head_timeout.cancel()
        super().handle_one_response()
