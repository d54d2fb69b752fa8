"""A loopback proxy that delays, resets, silences and cuts connections."""

import contextlib
import enum
import socket
import struct
import threading
import time

from tests.platform_standins import HOST

READ_BYTES = 65536
# Seconds between two looks at whether a held connection may go on.
LOOK_S = 0.02


class Harm(enum.StrEnum):
    """What a proxy does to what passes through it."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    DEAF = "deaf"
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

    def __init__(self, target: int) -> None:
        self.target = target
        self.harm = Harm.NONE
        self.delay_s = 0.0
        self.open: set[socket.socket] = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server((HOST, 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Take connections until the proxy is stopped."""
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            if self.harm is Harm.REFUSE:
                reset(caller)
                continue
            threading.Thread(target=self.join, args=(caller,), daemon=True).start()

    def join(self, caller: socket.socket) -> None:
        """Connect a caller to the target and pass bytes on in both directions."""
        try:
            target = socket.create_connection((HOST, self.target), timeout=5.0)
        except OSError:
            reset(caller)
            return
        target.settimeout(None)
        with self.lock:
            self.open |= {caller, target}
        threading.Thread(target=self.pump, args=(target, caller, True), daemon=True).start()
        self.pump(caller, target, False)

    def pump(self, source: socket.socket, sink: socket.socket, answers: bool) -> None:
        """Pass bytes on in one direction until it ends."""
        swallowing = False
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                while self.harm is Harm.SILENCE:
                    time.sleep(LOOK_S)
                if self.harm is Harm.DELAY:
                    time.sleep(self.delay_s)
                swallowing = swallowing or (answers and self.harm is Harm.DEAF)
                if not swallowing:
                    sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
            return
        self.drop(source, sink)

    def drop(self, *ends: socket.socket) -> None:
        """Reset connections."""
        with self.lock:
            self.open -= set(ends)
        for end in ends:
            reset(end)

    def reset_all(self) -> None:
        """Reset every open connection."""
        with self.lock:
            ends, self.open = self.open, set()
        for end in ends:
            reset(end)

    def stop(self) -> None:
        """Take no more connections and reset those that are open."""
        self.listener.close()
        self.reset_all()


def reset(end: socket.socket) -> None:
    """End a connection with a reset."""
    with contextlib.suppress(OSError):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        # Wakes the thread that reads from it; closing alone does not.
        end.shutdown(socket.SHUT_RDWR)
    end.close()
