"""A TCP relay between two processes that can go silent or cut its connections."""

import contextlib
import socket
import threading


class Relay:
    """Passes connections on to a port of this machine.

    Attributes
    ----------
    port : int
        Where it listens.
    opened : int
        Connections so far.
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.opened = 0
        self.silent: set[int] = set()
        self.sockets: dict[int, tuple[socket.socket, socket.socket]] = {}
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Take connections until the relay is closed."""
        while True:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection(("127.0.0.1", self.target))
            except OSError:
                if self.listener.fileno() < 0:
                    return
                near.close()
                continue
            self.opened += 1
            number = self.opened
            self.sockets[number] = (near, far)
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self.copy, args=(number, source, sink), daemon=True).start()

    def copy(self, number: int, source: socket.socket, sink: socket.socket) -> None:
        """Copy one direction; a silent connection swallows everything, its end too."""
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if number not in self.silent:
                    sink.sendall(data)
        if number not in self.silent:
            self.drop(number)

    def silence(self) -> None:
        """Let the connections that are open now go silent; new ones work."""
        self.silent.update(self.sockets)

    def drop(self, number: int) -> None:
        """Close a connection on both sides."""
        for end in self.sockets.pop(number, ()):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()

    def close(self) -> None:
        """Close everything."""
        self.listener.close()
        for number in list(self.sockets):
            self.drop(number)
