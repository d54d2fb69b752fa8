"""A listening socket that stops without closing connections that it has accepted."""

import errno
import socket

from eventlet.event import Event
from eventlet.greenio import GreenSocket


class StoppableListener:
    """Passes accepted connections to the WSGI server until it is stopped.

    The server closes idle connections as soon as ``accept`` fails. A connection that was accepted
    just before the stop looks idle until its request is read, so ``accept`` blocks after the stop
    and fails only once the listener is released.
    """

    def __init__(self, listener: GreenSocket) -> None:
        self.listener = listener
        self.stopping = False
        self.released = Event()

    def accept(self) -> tuple[GreenSocket, tuple[str, int]]:
        """Return the next connection and its address; after ``stop``, block until ``release``.

        Raises
        ------
        OSError
            Once the listener is released, or if accepting fails before a stop.
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
        """Let ``accept`` fail, so that the server ends once its requests are answered."""
        self.released.send()

    def __getattr__(self, name: str) -> object:
        """Delegate all other attributes to the socket."""
        return getattr(self.listener, name)
