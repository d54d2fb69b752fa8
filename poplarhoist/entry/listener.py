"""A listening socket that can stop without cutting a connection that it has accepted."""

import errno
import socket

from eventlet.event import Event
from eventlet.greenio import GreenSocket


class StoppableListener:
    """Passes accepted connections to the WSGI server until it is stopped.

    The server closes idle connections as soon as accepting fails. Connections that were accepted
    just before a stop look idle until their request is read, so accepting fails only once the
    listener is released.
    """

    def __init__(self, listener: GreenSocket) -> None:
        self.listener = listener
        self.stopping = False
        self.released = Event()

    def accept(self) -> tuple[GreenSocket, tuple[str, int]]:
        """Return the next connection.

        Raises
        ------
        OSError
            Once the listener is released.
        """
        if not self.stopping:
            try:
                return self.listener.accept()
            except OSError:
                if not self.stopping:
                    raise
        self.released.wait()
        raise OSError(errno.EPIPE, "stopped")

    def stop(self) -> None:
        """Refuse new connections."""
        self.stopping = True
        self.listener.shutdown(socket.SHUT_RDWR)

    def release(self) -> None:
        """Let the server end once its requests are answered."""
        self.released.send()

    def __getattr__(self, name: str) -> object:
        """Return what the server asks of the socket otherwise."""
        return getattr(self.listener, name)
