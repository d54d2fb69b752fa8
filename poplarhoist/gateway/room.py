"""Counts what is held for each connection of the listeners, and closes those that give way.

The decisions are those of `decisions.gateway.memory_budget`.
"""

import itertools
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

import eventlet
from eventlet.greenio import GreenSocket

from poplarhoist.decisions.gateway import memory_budget
from poplarhoist.decisions.gateway.memory_budget import (
    Decision,
    Group,
    Kind,
    MemoryBudget,
    Phase,
    Verdict,
)
from poplarhoist.entry.metrics import Metrics
from poplarhoist.gateway.sockets import reset_on_close

# WSGI environ key of the connection's room.
ROOM_KEY = "poplarhoist.room"
# Seconds between two looks whether an evicted connection has ended, and the longest wait for that. Each
# look goes over all connections.
POLL_S = 0.03
MAX_WAIT_S = 1.0
# Seconds between two looks whether one more connection finds room. Others wait to be accepted.
ACCEPT_POLL_S = 0.02
# Seconds between two lines of the log about a shortage.
LOG_INTERVAL_S = 1.0


class NoRoom(Exception):
    """A request finds no room, or its connection was evicted for others; it has not run.

    Attributes
    ----------
    retry_after_s : float
        Seconds after which it may come back.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("no memory for the request")
        self.retry_after_s = retry_after_s


class RoomGuard:
    """All rooms of an entry.

    Attributes
    ----------
    rooms : dict
        Rooms of open connections by their number.
    at : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self, budget: MemoryBudget, metrics: Metrics, log, at: Callable[[], float]
    ) -> None:
        self.budget = budget
        self.metrics = metrics
        self.log = log
        self.at = at
        self.rooms: dict[int, Room] = {}
        self.numbers = itertools.count(1)
        self.logged_at = float("-inf")

    def open(self, sock: GreenSocket, group: Group, is_urgent: Callable[[], bool]) -> "Room":
        """Wait until there is room for one more connection, and return it.

        Parameters
        ----------
        is_urgent : callable
            Returns whether the connection is to have room in any case.
        """
        number = next(self.numbers)
        while True:
            decision = memory_budget.open_connection(
                self.budget, number, group, self.at(), is_urgent()
            )
            if decision.verdict is Verdict.GRANTED:
                room = self.rooms[number] = Room(self, number, sock)
                return room
            self.evict(decision)
            eventlet.sleep(ACCEPT_POLL_S if decision.verdict is Verdict.REFUSED else 0.0)

    def evict(self, decision: Decision) -> None:
        """Close the connections that are to give way, unless bytes of theirs are still unread."""
        for number in decision.evicted:
            room = self.rooms[number]
            holding = self.budget.holdings[number]
            if holding.due_at <= self.at() and room.has_unread_bytes():
                # This entry is late, not the caller.
                memory_budget.postpone(self.budget, number, self.at())
                continue
            self.metrics.count("connection_evicted", (holding.phase,))
            room.cut(holding.phase)
            self.log_shortage()

    def record_refused(self, kind: Kind) -> None:
        """Count a request that finds no room."""
        self.metrics.count("no_room", (kind,))
        self.log_shortage()

    def log_shortage(self) -> None:
        """Log what is held, now and then."""
        if self.at() - self.logged_at < LOG_INTERVAL_S:
            return
        self.logged_at = self.at()
        held = {f"{kind}_bytes": count for kind, count in self.budget.bytes_by_kind().items()}
        self.log.warning(
            "memory-short", connections=len(self.rooms), size_bytes=self.budget.size_bytes, **held
        )


class Room:
    """What is held for one connection."""

    def __init__(self, guard: RoomGuard, number: int, sock: GreenSocket) -> None:
        self.guard = guard
        self.number = number
        self.sock = sock
        self.holding = guard.budget.holdings[number]

    @property
    def is_evicted(self) -> bool:
        """Whether the connection is being closed for others."""
        return self.holding.is_evicted

    def check(self) -> None:
        """Raise an error if the connection is to give way to others.

        Raises
        ------
        NoRoom
            If it is.
        """
        if self.holding.is_evicted:
            raise NoRoom(memory_budget.RETRY_AFTER_S)

    def take(self, kind: Kind, count: int) -> None:
        """Take room for more bytes; wait for connections that give way.

        Raises
        ------
        NoRoom
            If there is none.
        """
        ends_at = self.guard.at() + MAX_WAIT_S
        while True:
            self.check()
            decision = self.decide(kind, count)
            if decision.verdict is Verdict.GRANTED:
                return
            if decision.verdict is Verdict.REFUSED or self.guard.at() >= ends_at:
                self.guard.record_refused(kind)
                raise NoRoom(decision.retry_after_s)
            eventlet.sleep(POLL_S)

    def try_take(self, kind: Kind, count: int) -> bool:
        """Take room for more bytes; return False if there is none at once."""
        return self.decide(kind, count).verdict is Verdict.GRANTED

    def decide(self, kind: Kind, count: int) -> Decision:
        """Ask for room, and evict what gives way."""
        guard = self.guard
        decision = memory_budget.ask(guard.budget, self.number, kind, count, guard.at())
        guard.evict(decision)
        return decision

    def give_back(self, kind: Kind) -> None:
        """Give back what is held of a kind."""
        memory_budget.give_back(self.guard.budget, self.number, kind)

    def begin(self, phase: Phase) -> None:
        """Record what the connection does from now on."""
        memory_budget.begin_phase(self.guard.budget, self.number, phase, self.guard.at())

    def progress(self, count: int) -> None:
        """Record that bytes have arrived.

        Raises
        ------
        NoRoom
            If the connection is to give way to others.
        """
        self.check()
        memory_budget.record_progress(self.guard.budget, self.number, count, self.guard.at())

    @contextmanager
    def sending(self, count: int) -> Iterator[None]:
        """Count bytes while they are sent; a caller that does not read them gives way to others.

        What is to be sent is there already. So it counts also if there is no room for it.
        """
        phase = self.holding.phase
        self.begin(Phase.SENDS)
        memory_budget.add_bytes(self.guard.budget, self.holding, Kind.SENDING, count)
        if memory_budget.is_overdrawn(self.guard.budget):
            self.decide(Kind.SENDING, 0)
        try:
            yield
        finally:
            self.give_back(Kind.SENDING)
            if not self.is_evicted:
                self.begin(phase)

    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that this entry has not read."""
        if self.holding.phase not in (Phase.READS_HEAD, Phase.READS_BODY):
            return False
        try:
            return bool(self.sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def cut(self, phase: Phase) -> None:
        """Let the green thread that serves the connection see its end.

        One that reads a request can still answer.
        """
        with suppress(OSError):
            if phase in (Phase.READS_HEAD, Phase.READS_BODY):
                self.sock.shutdown(socket.SHUT_RD)
                return
            if phase is Phase.SENDS:
                reset_on_close(self.sock)
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Give back all that is held, as the connection has ended."""
        memory_budget.close_connection(self.guard.budget, self.number)
        del self.guard.rooms[self.number]


class UnboundedRoom:
    """Room of a request that comes over no connection of a listener, as in tests."""

    is_evicted = False

    def take(self, kind: Kind, count: int) -> None:
        """Take room."""

    def try_take(self, kind: Kind, count: int) -> bool:
        """Take room."""
        return True

    def give_back(self, kind: Kind) -> None:
        """Give room back."""

    def begin(self, phase: Phase) -> None:
        """Record nothing."""

    def check(self) -> None:
        """Do nothing."""


UNBOUNDED = UnboundedRoom()


class GuardedListener:
    """Passes accepted connections on once there is room for them; they have it as ``room``.

    Attributes
    ----------
    listener : StoppableListener or GreenSocket
        Accepts connections.
    """

    def __init__(self, listener, guard: RoomGuard, group: Group) -> None:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, memory_budget.RECEIVE_BUFFER_BYTES)
        self.listener = listener
        self.guard = guard
        self.group = group

    def is_stopping(self) -> bool:
        """Return whether no further connections are accepted, so that the last one cannot wait."""
        return getattr(self.listener, "stopping", False)

    def accept(self) -> tuple[GreenSocket, tuple[str, int]]:
        """Return the next connection for which there is room, and its address.

        Raises
        ------
        OSError
            If accepting fails.
        """
        connection, address = self.listener.accept()
        connection.room = self.guard.open(connection, self.group, self.is_stopping)
        return connection, address

    def __getattr__(self, name: str) -> object:
        """Delegate all other attributes to the listener."""
        return getattr(self.listener, name)
