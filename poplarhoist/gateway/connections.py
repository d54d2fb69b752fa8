"""The pool of kept connections to endpoints; `connection_reuse` decides what is kept and used.

A connection is used by one exchange at a time: it is taken out of the pool, and put back when the
exchange has ended well. Neither step lets other green threads run.
"""

import contextlib
import enum
import http.client
import re
import socket

import eventlet
from urllib3.response import BaseHTTPResponse
from urllib3.util import SKIP_HEADER

from poplarhoist.decisions.gateway import connection_reuse
from poplarhoist.decisions.gateway.connection_reuse import Drop, EndedExchange
from poplarhoist.decisions.gateway.models import EndpointRecord
from poplarhoist.entry.http import StrictConnection
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.entry.strict_response import StrictResponse
from poplarhoist.gateway.sockets import socket_options

# Seconds between two looks at all idle connections.
SWEEP_INTERVAL_S = 0.5
# Seconds that the bytes of a keep-alive probe may stay unacknowledged on an idle connection.
IDLE_USER_TIMEOUT_S = 2.0
# Requests on one connection; bounds the memory for their ids.
MAX_REQUEST_IDS = 1000
IDLE_LIMIT = re.compile(r"(?:^|[,;\s])timeout\s*=\s*\"?([0-9]{1,9})(?![0-9])", re.ASCII | re.I)
# Reasons that say something about an endpoint, and are logged.
LOGGED_REASONS = frozenset(
    (Drop.GONE, Drop.RESTARTED, Drop.LEAVING, Drop.STALE, Drop.SILENT, Drop.EARLY_BYTES)
)


class Purpose(enum.StrEnum):
    """What a connection is opened or used for; labels of the counters."""

    REQUEST = "request"
    REPORT = "report"
    ORDER = "order"
    PROBE = "probe"


class EndpointConnection(StrictConnection):
    """A connection to a run of an endpoint.

    Attributes
    ----------
    record : EndpointRecord
        The run to which it was opened.
    latest_response : StrictResponse or None
        The response to the latest request; None before its head is read.
    request_ids : set
        Ids of the requests that it has carried, as their callers gave them.
    idle_since, idle_limit_s : float
        When it was put into the pool, and how many seconds it may stay there.
    """

    def __init__(self, record: EndpointRecord, timeout_s: float, user_timeout_s: float) -> None:
        super().__init__(
            record.host,
            record.port,
            timeout=timeout_s,
            socket_options=socket_options(user_timeout_s),
        )
        self.record = record
        self.latest_response: StrictResponse | None = None
        self.request_ids: set[str] = set()
        self.idle_since = self.idle_limit_s = 0.0

    def response_class(self, sock: socket.socket, *args, **options) -> StrictResponse:
        """Create the response that is read next, and remember it."""
        self.latest_response = super().response_class(sock, *args, **options)
        return self.latest_response

    def putheader(self, header: str, *values: str) -> None:
        """Send a header line, unless its value is the mark for one that is left out.

        urllib3 takes any equal text for the mark, which a caller may send.
        """
        if not any(value is SKIP_HEADER for value in values):
            http.client.HTTPConnection.putheader(self, header, *values)

    @property
    def has_received(self) -> bool:
        """Whether a byte of the latest response has arrived."""
        return self.latest_response is not None and self.latest_response.source.received_bytes > 0

    def set_user_timeout(self, seconds: float) -> None:
        """Set how long sent bytes may stay unacknowledged.

        Raises
        ------
        OSError
            If the connection is broken.
        """
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * 1000))

    def find_unexpected(self) -> Drop | None:
        """Return what stands on an idle connection, on which nothing should."""
        try:
            # Neither waits nor lets other green threads run.
            self.sock.settimeout(0.0)
            return Drop.EARLY_BYTES if self.sock.recv(1, socket.MSG_PEEK) else Drop.ENDED
        except BlockingIOError:
            return None
        except OSError:
            return Drop.ENDED


class ConnectionPool:
    """Idle connections to endpoints.

    Without kept connections in the settings it stays empty, and only counts.

    Attributes
    ----------
    idle_by_endpoint : dict
        Idle connections by name of the endpoint, the one that was used last at the end.
    """

    def __init__(self, decision_loop: DecisionLoop) -> None:
        self.decision_loop = decision_loop
        self.idle_by_endpoint: dict[str, list[EndpointConnection]] = {}

    @property
    def is_in_force(self) -> bool:
        """Whether connections are kept now."""
        return connection_reuse.is_in_force(self.decision_loop.state)

    def count_opened(self, purpose: Purpose) -> None:
        """Count a new connection."""
        self.decision_loop.metrics.count("connection_opened", (purpose,))

    def take(
        self,
        record: EndpointRecord,
        purpose: Purpose,
        user_timeout_s: float,
        request_id: str = "",
    ) -> EndpointConnection | None:
        """Take the newest idle connection to a run of an endpoint that can be used.

        The caller of this method sends at once, or closes it.

        Parameters
        ----------
        user_timeout_s : float
            Seconds that sent bytes may stay unacknowledged.
        request_id : str
            Id by which the response is told from others; empty if there is none.
        """
        idle = self.idle_by_endpoint.get(record.name, [])
        while idle:
            connection = idle.pop()
            reason = self.why_not_used(connection)
            if reason is None and request_id and request_id in connection.request_ids:
                reason = Drop.SAME_ID
            if reason is None and connection.record.incarnation != record.incarnation:
                reason = Drop.RESTARTED
            if reason is None:
                try:
                    connection.set_user_timeout(user_timeout_s)
                except OSError:
                    reason = Drop.ENDED
            if reason is None:
                connection.latest_response = None
                self.decision_loop.metrics.count("connection_reused", (purpose,))
                return connection
            self.drop([connection], reason)
        return None

    def why_not_used(self, connection: EndpointConnection) -> Drop | None:
        """Return why an idle connection is to be closed; None if it can be used."""
        idle_s = self.decision_loop.event_time() - connection.idle_since
        return (
            connection_reuse.why_not_used(
                self.decision_loop.state, connection.record, idle_s, connection.idle_limit_s
            )
            or connection.find_unexpected()
        )

    def put(
        self, connection: EndpointConnection, ended: EndedExchange, request_id: str = ""
    ) -> bool:
        """Keep the connection of an exchange that has ended; return whether it is kept.

        If it is not, its user closes it.
        """
        state = self.decision_loop.state
        reason = connection_reuse.why_not_kept(state, connection.record, ended)
        if reason is None and len(connection.request_ids) >= MAX_REQUEST_IDS:
            reason = Drop.USED_UP
        if reason is None:
            reason = connection.find_unexpected()
        if reason is None:
            try:
                connection.set_user_timeout(IDLE_USER_TIMEOUT_S)
            except OSError:
                reason = Drop.ENDED
        if reason is not None:
            if connection_reuse.is_in_force(state):
                self.decision_loop.metrics.count("connection_dropped", (reason,))
            return False
        if request_id:
            connection.request_ids.add(request_id)
        connection.idle_since = self.decision_loop.event_time()
        connection.idle_limit_s = connection_reuse.idle_limit_s(ended.told_idle_s)
        idle = self.idle_by_endpoint.setdefault(connection.record.name, [])
        idle.append(connection)
        surplus = len(idle) - connection_reuse.max_idle(state, connection.record.service)
        for _ in range(surplus):
            self.drop([idle.pop(0)], Drop.FULL)
        while self.count_idle() > connection_reuse.MAX_IDLE_CONNECTIONS:
            oldest = min((kept for kept in self.idle_by_endpoint.values() if kept), key=idle_since)
            self.drop([oldest.pop(0)], Drop.FULL)
        return True

    def count_idle(self) -> int:
        """Return the number of idle connections."""
        return sum(map(len, self.idle_by_endpoint.values()))

    def on_failed(self, connection: EndpointConnection, reason: Drop) -> None:
        """Apply that a connection failed its use, and close the idle ones to the same endpoint.

        They may be in the same state. Its user closes the failed one.
        """
        idle = self.idle_by_endpoint.pop(connection.record.name, [])
        self.close_all(idle)
        self.record_drop(connection.record, reason, len(idle) + 1)

    def drop_endpoint(self, name: str, reason: Drop) -> None:
        """Close all idle connections to an endpoint."""
        self.drop(self.idle_by_endpoint.pop(name, []), reason)

    def drop(self, connections: list[EndpointConnection], reason: Drop) -> None:
        """Close connections that are not in the pool any more, and count and log that."""
        if connections:
            self.close_all(connections)
            self.record_drop(connections[0].record, reason, len(connections))

    def close_all(self, connections: list[EndpointConnection]) -> None:
        """Close connections."""
        for connection in connections:
            # Fails if the endpoint has reset it.
            with contextlib.suppress(OSError):
                connection.close()

    def record_drop(self, record: EndpointRecord, reason: Drop, count: int) -> None:
        """Count connections that are not kept any more, and log what says something of endpoints."""
        self.decision_loop.metrics.count("connection_dropped", (reason,), count)
        if reason in LOGGED_REASONS:
            self.decision_loop.log.info(
                "connections-dropped",
                endpoint=record.name,
                incarnation=record.incarnation,
                reason=reason,
                count=count,
            )

    def sweep(self) -> None:
        """Close idle connections that cannot be used any more."""
        for name, idle in list(self.idle_by_endpoint.items()):
            connections_by_reason: dict[Drop, list[EndpointConnection]] = {}
            for connection in list(idle):
                reason = self.why_not_used(connection)
                if reason is not None:
                    idle.remove(connection)
                    connections_by_reason.setdefault(reason, []).append(connection)
            if not idle:
                del self.idle_by_endpoint[name]
            for reason, connections in connections_by_reason.items():
                self.drop(connections, reason)

    def run(self) -> None:
        """Sweep until the process ends."""
        while True:
            eventlet.sleep(SWEEP_INTERVAL_S)
            try:
                self.sweep()
            except Exception:
                # Idle connections would stay open for good without this loop.
                self.decision_loop.log.exception("sweep-failed")

    def close(self) -> None:
        """Close all idle connections, as the entry stops."""
        for name in list(self.idle_by_endpoint):
            self.drop_endpoint(name, Drop.STOPPING)


def idle_since(idle: list[EndpointConnection]) -> float:
    """Return since when the oldest of some idle connections is idle."""
    return idle[0].idle_since


def describe_end(
    connection: EndpointConnection,
    response: BaseHTTPResponse,
    is_answer: bool,
    had_body: bool = False,
    is_cancelled: bool = False,
) -> EndedExchange:
    """Return how the exchange of a response ended.

    Parameters
    ----------
    is_answer : bool
        Whether the response was read without an error and belongs to the request.
    """
    latest = connection.latest_response
    is_framed = response.chunked or "content-length" in response.headers
    values = response.headers.getlist("connection")
    tokens = {token.strip().lower() for value in values for token in value.split(",")}
    return EndedExchange(
        status=response.status,
        http_version=response.version,
        is_whole=is_answer and bool(is_framed) and latest is not None and latest.isclosed(),
        is_closing="close" in tokens or connection.sock is None,
        is_cancelled=is_cancelled,
        leftover_bytes=latest.reader.leftover_bytes if latest is not None else 0,
        had_body=had_body,
        told_idle_s=parse_idle_limit_s(response.headers.getlist("keep-alive")),
    )


def parse_idle_limit_s(values: list[str]) -> int | None:
    """Return the shortest idle limit that headers name, in seconds; None if they name none.

    A limit that cannot be read counts as 0, so that the connection is not kept.
    """
    limits = []
    for value in values:
        found = IDLE_LIMIT.findall(value)
        limits += [int(text) for text in found]
        if not found and "timeout" in value.lower():
            limits.append(0)
    return min(limits, default=None)
