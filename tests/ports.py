"""Ports for the processes that tests start, which no other process of tests uses.

A port that is only found to be free may be taken by another process before it is used. So each
process of tests reserves blocks of ports by locking a file, for as long as it runs.
"""

import fcntl
import random
import socket
import tempfile
from pathlib import Path
from typing import TextIO

# Below the range that the system uses for outgoing connections.
FIRST_PORT, LAST_PORT = 10240, 32000
BLOCK_SIZE = 128


class PortBlocks:
    """Hands out ports of the blocks that this process has reserved.

    A port is handed out again only after all others, since a process of an earlier test may not
    have ended yet.

    Attributes
    ----------
    locks : list
        Locked files; a lock ends with the process.
    """

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.locks: list[TextIO] = []
        self.ports: list[int] = []

    def reserve_block(self) -> None:
        """Reserve another block.

        Raises
        ------
        RuntimeError
            If other processes hold all blocks.
        """
        self.directory.mkdir(exist_ok=True)
        starts = list(range(FIRST_PORT, LAST_PORT - BLOCK_SIZE, BLOCK_SIZE))
        random.Random().shuffle(starts)
        for start in starts:
            lock = (self.directory / str(start)).open("w")
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                lock.close()
                continue
            self.locks.append(lock)
            self.ports[:0] = range(start, start + BLOCK_SIZE)
            return
        raise RuntimeError("all blocks of ports are in use by other processes of tests")

    def take(self, count: int) -> list[int]:
        """Return ports at which nothing listens."""
        taken: list[int] = []
        for _ in range(len(self.ports)):
            if len(taken) == count:
                break
            port = self.ports.pop(0)
            self.ports.append(port)
            if is_port_free(port):
                taken.append(port)
        if len(taken) < count:
            self.reserve_block()
            return self.take(count)
        return taken


def is_port_free(port: int) -> bool:
    """Return whether no process listens on a port of the loopback interface."""
    try:
        socket.create_server(("127.0.0.1", port)).close()
    except OSError:
        return False
    return True


BLOCKS = PortBlocks(Path(tempfile.gettempdir()) / "poplarhoist-test-ports")


def free_ports(count: int) -> list[int]:
    """Return ports at which nothing listens, and which no other process of tests is given."""
    return BLOCKS.take(count)
