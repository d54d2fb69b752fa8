"""A TCP relay between two processes that can silence or close its connections."""

import contextlib
import socket
import threading


class Relay:
    """Forwards connections to a port on the loopback interface.

    Attributes
    ----------
    port : int
        Port on which it listens.
    connection_count : int
        Connections forwarded so far; also the id of the latest one.
    silenced_ids : set
        Connections on which all data, and the end of a stream, are dropped.
    sockets_by_id : dict
        Client and target socket of each open connection.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.connection_count = 0
        self.silenced_ids: set[int] = set()
        self.sockets_by_id: dict[int, tuple[socket.socket, socket.socket]] = {}
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self) -> None:
        """Accept connections until the relay is closed; close those that the target refuses."""
        while True:
            try:
                client, _ = self.listener.accept()
                server = socket.create_connection(("127.0.0.1", self.target_port))
            except OSError:
                if self.listener.fileno() < 0:
                    return
                client.close()
                continue
            self.connection_count += 1
            connection_id = self.connection_count
            self.sockets_by_id[connection_id] = (client, server)
            for source, sink in ((client, server), (server, client)):
                threading.Thread(
                    target=self.forward, args=(connection_id, source, sink), daemon=True
                ).start()

    def forward(self, connection_id: int, source: socket.socket, sink: socket.socket) -> None:
        """Copy one direction; drop all data and the end of the stream on a silenced connection."""
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if connection_id not in self.silenced_ids:
                    sink.sendall(data)
        if connection_id not in self.silenced_ids:
            self.close_connection(connection_id)

    def silence_open_connections(self) -> None:
        """Silence the connections that are open now; connections made later work."""
        self.silenced_ids.update(self.sockets_by_id)

    def close_connection(self, connection_id: int) -> None:
        """Close a connection on both sides, unless it is closed already."""
        for sock in self.sockets_by_id.pop(connection_id, ()):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.listener.close()
        for connection_id in list(self.sockets_by_id):
            self.close_connection(connection_id)
