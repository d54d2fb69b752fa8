"""A loopback TCP proxy that injects faults into connections."""

import contextlib
import enum
import socket
import struct
import threading
import time

from tests.ports import free_ports
from tests.standin_server import HOST

READ_CHUNK_BYTES = 65536
# What a connection has sent waits in one piece before a narrow link, ahead of what comes later.
SHARED_CHUNK_BYTES = 1048576
# Seconds between two checks whether SILENCE has ended.
SILENCE_POLL_S = 0.02


class ProxyFault(enum.StrEnum):
    """Faults of a proxy.

    DELAY delays every chunk by the proxy's ``delay_s``. SILENCE holds all data while it lasts.
    DROP_RESPONSES drops what the target sends, also after the fault has ended, on each connection
    over which the target sends during the fault. REFUSE resets new connections.
    """

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    DROP_RESPONSES = "drop-responses"
    REFUSE = "refuse"


class Proxy:
    """Forwards connections to one port on the loopback interface.

    Attributes
    ----------
    fault : ProxyFault
        The current fault of all connections.
    delay_s : float
        Delay of each chunk during DELAY, in seconds.
    bytes_per_s : float
        What the target sends over all connections together; chunks wait in the order of arrival.
    link_free_at : float
        When what the target has sent so far will have passed the link.
    open_sockets : set
        Sockets on both sides that have not been reset.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.fault = ProxyFault.NONE
        self.delay_s = 0.0
        self.bytes_per_s = float("inf")
        self.link_free_at = 0.0
        self.open_sockets: set[socket.socket] = set()
        self.lock = threading.Lock()
        # Not one that the kernel may give to an outgoing connection while the listener is closed.
        (self.port,) = free_ports(1)
        self.listener = socket.create_server((HOST, self.port), backlog=128)
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self) -> None:
        """Accept connections until the proxy is stopped."""
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
        """Connect to the target and forward in both directions; reset the client if that fails."""
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
        """Forward one direction until its end, and subject it to the current fault."""
        is_dropping = has_forwarded = False
        with contextlib.suppress(OSError):
            while data := source.recv(self.chunk_bytes()):
                while self.fault is ProxyFault.SILENCE:
                    time.sleep(SILENCE_POLL_S)
                if self.fault is ProxyFault.DELAY:
                    time.sleep(self.delay_s)
                is_dropping = is_dropping or (
                    is_response and self.fault is ProxyFault.DROP_RESPONSES
                )
                if is_response:
                    self.wait_for_link(len(data))
                if not is_dropping:
                    sink.sendall(data)
                    has_forwarded = True
            with self.lock:
                is_open = source in self.open_sockets
            # A socket that is being reset reads as ended. Data that was dropped from the middle of a
            # connection cannot be followed by an orderly close on a real network.
            if is_open and not (is_dropping and has_forwarded):
                sink.shutdown(socket.SHUT_WR)
                return
        self.reset_connections(source, sink)

    def chunk_bytes(self) -> int:
        """Return how much is forwarded at once; more while connections share a narrow link."""
        return READ_CHUNK_BYTES if self.bytes_per_s == float("inf") else SHARED_CHUNK_BYTES

    def wait_for_link(self, size: int) -> None:
        """Wait until some bytes have passed the link, after those of other connections."""
        with self.lock:
            now = time.monotonic()
            self.link_free_at = max(now, self.link_free_at) + size / self.bytes_per_s
            wait_s = self.link_free_at - now
        if wait_s > 0:
            time.sleep(wait_s)

    def reset_connections(self, *sockets: socket.socket) -> None:
        """Reset the given sockets."""
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
        """Stop listening and reset all open connections."""
        # Without the shutdown the kernel listens on for as long as a thread waits in accept.
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.reset_all_connections()


def reset_socket(sock: socket.socket) -> None:
    """Close a socket with a TCP reset (RST)."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        # Wakes a thread that is blocked in recv on this socket; close alone does not. The write side
        # stays open, as its shutdown would end the connection in order before the reset.
        sock.shutdown(socket.SHUT_RD)
    sock.close()
