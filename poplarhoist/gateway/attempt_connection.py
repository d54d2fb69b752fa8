"""The connection of one attempt: opened or taken from the pool, bounded by a deadline, cut, given back.

With a new connection, a request that was not sent can be distinguished from one that may have run.
"""

import contextlib
import socket

import eventlet
from eventlet.hubs import get_hub

from poplarhoist.decisions.gateway import connection_reuse
from poplarhoist.decisions.gateway.connection_reuse import Drop
from poplarhoist.decisions.gateway.effects import Dispatch
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.gateway.connections import (
    ConnectionPool,
    EndpointConnection,
    Purpose,
    describe_end,
)
from poplarhoist.gateway.sockets import reset_on_close

# Seconds to connect; TCP retransmits a lost SYN after one second.
CONNECT_TIMEOUT_S = 1.2
# Seconds that sent bytes may stay unacknowledged before the endpoint counts as lost.
TCP_USER_TIMEOUT_S = 2.0


class AttemptConnection:
    """The connection of an attempt, until its deadline.

    Attributes
    ----------
    deadline_at : float
        Monotonic time at which the attempt times out.
    sock : socket or None
        The connection's socket. urllib3 hands the socket over to a response that is delimited by
        the close of the connection, so it is kept here. None while there is no connection, and
        again once it is given back.
    is_reused : bool
        Whether the connection was kept from an earlier exchange.
    is_given_back : bool
        Whether the connection is in the pool again, so that it must not be touched here.
    cancelled : bool
        Whether the caller disconnected.
    expired : bool
        Whether the deadline has passed.
    broken_off : bool
        Whether the attempt is to end without the request.
    """

    def __init__(
        self, decision_loop: DecisionLoop, dispatch: Dispatch, pool: ConnectionPool | None
    ) -> None:
        self.decision_loop = decision_loop
        self.dispatch = dispatch
        self.pool = pool
        self.deadline_at = decision_loop.event_time() + dispatch.remaining_s
        self.connection = EndpointConnection(
            dispatch.endpoint, min(CONNECT_TIMEOUT_S, dispatch.remaining_s), TCP_USER_TIMEOUT_S
        )
        self.response = None
        self.sock: socket.socket | None = None
        self.is_reused = False
        self.is_given_back = False
        self.cancelled = False
        self.expired = False
        self.broken_off = False
        self.expiry = None

    def remaining_s(self) -> float:
        """Return the seconds until the deadline; at least one millisecond."""
        return max(0.001, self.deadline_at - self.decision_loop.event_time())

    def open(self, request_id: str) -> None:
        """Take a kept connection if the attempt may use one and there is one, else make a new one.

        Raises
        ------
        urllib3.exceptions.HTTPError, OSError
            If no connection can be made.
        """
        if self.dispatch.may_reuse and self.pool is not None:
            timeout_s = connection_reuse.user_timeout_s(self.remaining_s(), TCP_USER_TIMEOUT_S)
            kept = self.pool.take(self.dispatch.endpoint, Purpose.REQUEST, timeout_s, request_id)
            if kept is not None:
                self.connection = kept
                self.is_reused = True
                return
        if self.pool is not None:
            self.pool.count_opened(Purpose.REQUEST)
        self.connection.connect()

    def begin(self) -> None:
        """Let the deadline cut the connection from now on."""
        # urllib3 takes the socket off the connection if the response is delimited by its close.
        self.sock = self.connection.sock
        # A green thread that is cancelled stays until its time, with all that its canceller holds.
        self.expiry = get_hub().schedule_call_global(
            self.remaining_s(), eventlet.spawn_n, self.expire
        )
        self.set_read_timeout()

    def set_read_timeout(self) -> None:
        """Let the next read last until the deadline; there is no shorter timeout for silence."""
        # urllib3 applies the connection's timeout to the socket before it reads a response head.
        self.connection.timeout = self.remaining_s()
        self.sock.settimeout(self.connection.timeout)

    def is_unanswered_reuse(self) -> bool:
        """Return whether a kept connection has not brought a byte of the response."""
        return self.is_reused and not self.connection.has_received

    def report_reuse_failed(self, is_silent: bool) -> None:
        """Tell the pool that a kept connection brought nothing."""
        if self.pool is not None:
            self.pool.on_failed(self.connection, Drop.SILENT if is_silent else Drop.STALE)

    def cancel(self) -> None:
        """Cut the connection, so that the endpoint stops its work."""
        self.cancelled = True
        self.cut_connection()

    def expire(self) -> None:
        """End the attempt at its deadline, however small the parts that still arrive in time."""
        self.expired = True
        self.cut_connection()

    def break_off(self) -> None:
        """End the attempt, so that its request can go on without it."""
        self.broken_off = True
        self.cut_connection()

    def cut_connection(self) -> None:
        """Shut the connection down, and let its close reset it.

        The green thread that reads the response sees the end of the connection and closes it. Two
        green threads must not close the same connection. After a shutdown the kernel no longer
        tells the endpoint that bytes were read; without the reset, an endpoint that is blocked in a
        write might not notice the close.
        """
        if self.sock is not None:
            # Fails if the socket is closed already.
            with contextlib.suppress(OSError):
                reset_on_close(self.sock)
        self.shutdown_socket()

    def shutdown_socket(self) -> None:
        """Shut the socket down in both directions."""
        if self.sock is not None:
            # Fails if the endpoint has already closed or reset the connection.
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def give_back(self, is_answer: bool, had_body: bool, request_id: str) -> bool:
        """Put the connection into the pool if it may be kept; return whether it is.

        Parameters
        ----------
        is_answer : bool
            Whether a response was read without an error and belongs to the request.
        """
        if self.pool is None or self.response is None or self.dispatch.relay is not None:
            return False
        is_cut = self.cancelled or self.expired or self.broken_off
        ended = describe_end(self.connection, self.response, is_answer, had_body, is_cut)
        if not self.pool.put(self.connection, ended, request_id):
            return False
        # A late cancellation must not cut the exchange that uses the connection next.
        self.sock = None
        self.is_given_back = True
        return True

    def disconnect(self) -> None:
        """Shut down and close the connection and the response."""
        self.shutdown_socket()
        if self.response is not None:
            self.response.close()
        self.connection.close()
