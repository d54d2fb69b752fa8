"""Notices that a caller closed its connection while it waits for an answer."""

import socket
from collections.abc import Callable

import eventlet
from eventlet.hubs import trampoline

WSGI_INPUT_KEY = "eventlet.input"


class CallerWatch:
    """Watches a caller's connection while the server reads nothing from it.

    Parameters
    ----------
    left : callable
        Called once if the caller closes its connection.
    """

    def __init__(self, environ: dict, on_disconnect: Callable[[], None]) -> None:
        self.on_disconnect = on_disconnect
        wsgi_input = environ.get(WSGI_INPUT_KEY)
        self.thread = (
            None if wsgi_input is None else eventlet.spawn(self.run, wsgi_input.get_socket())
        )

    def run(self, connection: socket.socket) -> None:
        """Wait until the connection can be read, and look why."""
        try:
            trampoline(connection.fileno(), read=True)
            is_closed = not connection.fd.recv(1, socket.MSG_PEEK)
        except OSError:
            is_closed = True
        # Bytes before the answer are the next request of a caller that is still there.
        if is_closed:
            self.on_disconnect()

    def stop(self) -> None:
        """Stop watching, before the server reads again."""
        if self.thread is not None:
            self.thread.kill()
