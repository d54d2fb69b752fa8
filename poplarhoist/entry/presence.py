"""Notices that a caller closed its connection while it waits for an answer."""

import socket
from collections.abc import Callable

import eventlet
from eventlet.hubs import trampoline

SERVER_INPUT = "eventlet.input"


class CallerWatch:
    """Watches a caller's connection while the server reads nothing from it.

    Parameters
    ----------
    left : callable
        Called once if the caller closes its connection.
    """

    def __init__(self, environ: dict, left: Callable[[], None]) -> None:
        self.left = left
        source = environ.get(SERVER_INPUT)
        self.thread = None if source is None else eventlet.spawn(self.run, source.get_socket())

    def run(self, connection: socket.socket) -> None:
        """Wait until the connection can be read, and look why."""
        try:
            trampoline(connection.fileno(), read=True)
            gone = not connection.fd.recv(1, socket.MSG_PEEK)
        except OSError:
            gone = True
        # Bytes before the answer are the next request of a caller that is still there.
        if gone:
            self.left()

    def stop(self) -> None:
        """Stop watching, before the server reads again."""
        if self.thread is not None:
            self.thread.kill()
