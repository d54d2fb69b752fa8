"""Listening sockets: each has its port alone, and stops without closing accepted connections."""

import errno
import socket

import eventlet
from eventlet.event import Event
from eventlet.green import socket as green_socket
from eventlet.greenio import GreenSocket

from poplarhoist.errors import SettingsError

# Connections that may wait to be accepted; covers a burst of callers on one entry.
ACCEPT_BACKLOG = 512


def open_listener(host: str, port: int, setting: str) -> GreenSocket:
    """Listen at a TCP address that no other socket listens at.

    Connections of an earlier process at the same address may still be closing.

    Parameters
    ----------
    setting : str
        Setting that names the address; goes into the error message.

    Raises
    ------
    SettingsError
        If the address is in use or is not one of this host.
    """
    try:
        # By default eventlet sets SO_REUSEPORT, with which a second process takes connections.
        return eventlet.listen((host, port), backlog=ACCEPT_BACKLOG, reuse_port=False)
    except OSError as error:
        raise cannot_listen(host, port, setting, error) from error


def open_datagram_socket(host: str, port: int, setting: str) -> GreenSocket:
    """Return a UDP socket at an address that no other UDP socket is bound to.

    Raises
    ------
    SettingsError
        As `open_listener`.
    """
    datagram_socket = green_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        datagram_socket.bind((host, port))
    except OSError as error:
        datagram_socket.close()
        raise cannot_listen(host, port, setting, error) from error
    return datagram_socket


def cannot_listen(host: str, port: int, setting: str, error: OSError) -> SettingsError:
    """Return the error of an address at which this process cannot listen."""
    return SettingsError(error.strerror or str(error), setting, f"{host}:{port}")


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
