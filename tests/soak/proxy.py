"""A loopback proxy that delays, resets, silences and cuts connections."""

import contextlib
import enum
import socket
import struct
import threading
import time

from tests.platform_standins import HOST

READ_CHUNK_BYTES = 65536
# Seconds between two looks at whether a held connection may go on.
SILENCE_POLL_S = 0.02


class ProxyFault(enum.StrEnum):
    """What a proxy does to what passes through it."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    DROP_RESPONSES = "deaf"
    REFUSE = "refuse"


class Proxy:
    """Passes connections on to one target.

    Attributes
    ----------
    harm : Harm
        DELAY holds every piece for ``delay_s``. SILENCE holds everything while it lasts. DEAF
        swallows what the target sends, for good on the connections that it meets. REFUSE resets
        new connections.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.fault = ProxyFault.NONE
        self.delay_s = 0.0
        self.open_sockets: set[socket.socket] = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server((HOST, 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self) -> None:
        """Take connections until the proxy is stopped."""
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            if self.fault is ProxyFault.REFUSE:
                reset_socket(client)
                continue
            threading.Thread(target=self.connect_to_target, args=(client,), daemon=True).start()

    def connect_to_target(self, client: socket.socket) -> None:
        """Connect a caller to the target and pass bytes on in both directions."""
        try:
            server = socket.create_connection((HOST, self.target_port), timeout=5.0)
        except OSError:
            reset_socket(client)
            return
        server.settimeout(None)
        with self.lock:
            self.open_sockets |= {client, server}
        threading.Thread(target=self.forward, args=(server, client, True), daemon=True).start()
        self.forward(client, server, False)

    def forward(self, source: socket.socket, sink: socket.socket, is_response: bool) -> None:
        """Pass bytes on in one direction until it ends."""
        is_dropping = False
        with contextlib.suppress(OSError):
            while data := source.recv(READ_CHUNK_BYTES):
                while self.fault is ProxyFault.SILENCE:
                    time.sleep(SILENCE_POLL_S)
                if self.fault is ProxyFault.DELAY:
                    time.sleep(self.delay_s)
                is_dropping = is_dropping or (
                    is_response and self.fault is ProxyFault.DROP_RESPONSES
                )
                if not is_dropping:
                    sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
            return
        self.reset_connections(source, sink)

    def reset_connections(self, *sockets: socket.socket) -> None:
        """Reset connections."""
        with self.lock:
            self.open_sockets -= set(sockets)
        for sock in sockets:
            reset_socket(sock)

    def reset_all_connections(self) -> None:
        """Reset every open connection."""
        with self.lock:
            sockets, self.open_sockets = self.open_sockets, set()
        for sock in sockets:
            reset_socket(sock)

    def stop(self) -> None:
        """Take no more connections and reset those that are open."""
        self.listener.close()
        self.reset_all_connections()


def reset_socket(sock: socket.socket) -> None:
    """End a connection with a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        # Wakes the thread that reads from it; closing alone does not.
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
