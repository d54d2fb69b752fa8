"""Detects that a caller closes its connection while it waits for a response."""

import socket
from collections.abc import Callable

import eventlet
from eventlet.hubs import trampoline

WSGI_INPUT_KEY = "eventlet.input"


class CallerWatch:
    """Watches a caller's connection in a green thread while the server does not read from it.

    Does nothing if the WSGI environment has no socket, as in tests.

    Parameters
    ----------
    on_disconnect : callable
        Called once if the caller closes its connection.
    """

    def __init__(self, environ: dict, on_disconnect: Callable[[], None]) -> None:
        self.on_disconnect = on_disconnect
        wsgi_input = environ.get(WSGI_INPUT_KEY)
        self.thread = (
            None if wsgi_input is None else eventlet.spawn(self.run, wsgi_input.get_socket())
        )

    def run(self, connection: socket.socket) -> None:
        """Wait until the connection is readable, then check whether it was closed."""
        try:
            trampoline(connection.fileno(), read=True)
            is_closed = not connection.fd.recv(1, socket.MSG_PEEK)
        except OSError:
            is_closed = True
        # Bytes before the response are a pipelined request; the caller is still connected.
        if is_closed:
            self.on_disconnect()

    def stop(self) -> None:
        """Stop watching; must be called before the server reads from the connection again."""
        if self.thread is not None:
            self.thread.kill()
            self.thread = None
        # The request, its head and its body are in a circle of references over this.
        self.on_disconnect = ignore_disconnect


def ignore_disconnect() -> None:
    """Do nothing; the request has ended."""
