"""HTTP protocol of the WSGI server with a timeout for the whole request head."""

import eventlet
from eventlet.wsgi import HttpProtocol


class HeadTimeoutProtocol(HttpProtocol):
    """Closes a connection whose request line and headers do not arrive within the socket timeout.

    The server's own timeout restarts with each byte, so a caller that sends single bytes slowly
    would keep its connection open indefinitely.
    """

    def handle_one_request(self) -> None:
        """Read and answer one request; the timeout covers its head."""
        timeout_error = TimeoutError("timeout reading the request head")
        self.head_timeout = eventlet.Timeout(self.server.socket_timeout, timeout_error)
        try:
            super().handle_one_request()
        finally:
            self.head_timeout.cancel()

    def handle_one_response(self) -> None:
        """Answer a request whose head has arrived."""
        self.head_timeout.cancel()
        super().handle_one_response()
