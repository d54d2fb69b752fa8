"""HTTP protocols of the listeners; what a connection takes is counted in its room."""

from collections.abc import Iterable
from http import HTTPStatus

import orjson

from poplarhoist.decisions.gateway.memory_budget import (
    HEADER_COPIES,
    HEADER_LINE_BYTES,
    LIST_ITEM_BYTES,
    REQUEST_BYTES,
    Kind,
    Phase,
)
from poplarhoist.entry.protocol import StrictProtocol
from poplarhoist.gateway import relay_headers
from poplarhoist.gateway.request_reading import NO_ROOM_MESSAGE
from poplarhoist.gateway.room import ROOM_KEY, NoRoom, Room
from poplarhoist.gateway.sockets import reset_on_close

# WSGI environ key of the connection's protocol object.
PROTOCOL_KEY = "poplarhoist.protocol"
# Cost of header lines that is asked for at once; each question costs time.
HEAD_STEP_BYTES = 32768


class WatchedWriter:
    """Passes what is written to a file, and counts it until it is sent."""

    def __init__(self, file, room: Room) -> None:
        self.file = file
        self.room = room

    def writelines(self, lines: Iterable[bytes]) -> None:
        """Write all lines."""
        lines = list(lines)
        with self.room.sending(2 * sum(map(len, lines))):
            self.file.writelines(lines)
            self.file.flush()

    def write(self, data: bytes) -> int:
        """Write bytes; return their number."""
        with self.room.sending(len(data)):
            return self.file.write(data)

    def flush(self) -> None:
        """Send what is written."""
        with self.room.sending(0):
            self.file.flush()

    def __getattr__(self, name: str) -> object:
        """Delegate all other attributes to the file."""
        return getattr(self.file, name)


class GuardedProtocol(StrictProtocol):
    """Counts what requests and responses take.

    Attributes
    ----------
    room : Room
        What is held for the connection.
    uncounted_bytes : int
        Cost of header lines that is not asked for yet.
    """

    def __init__(self, conn_state: list, server) -> None:
        self.room: Room = conn_state[1].room
        self.uncounted_bytes = 0
        try:
            super().__init__(conn_state, server)
        finally:
            self.room.close()

    def setup(self) -> None:
        """Open the files of the connection."""
        super().setup()
        self.wfile = WatchedWriter(self.wfile, self.room)

    def begin_head(self) -> bool:
        """Return whether the request may be read whose first bytes have arrived.

        An idle connection may have been shut down for others, so that nothing could be answered.
        """
        if self.room.is_evicted:
            return False
        self.room.begin(Phase.READS_HEAD)
        return True

    def handle_one_request(self) -> None:
        """Read and answer one request; nothing of it is held while the connection is idle."""
        try:
            super().handle_one_request()
        finally:
            self.headers = self.environ = None
            for kind in (Kind.HEAD, Kind.BODY, Kind.RESPONSE):
                self.room.give_back(kind)
            if not self.room.is_evicted:
                self.room.begin(Phase.IDLE)

    def parse_request(self) -> bool:
        """Parse the head; refuse the request if it cannot be read, or if there is no room for it."""
        self.uncounted_bytes = 0
        try:
            if not super().parse_request():
                return False
            self.room.check()
            self.room.begin(Phase.WAITS)
            self.room.take(Kind.HEAD, self.uncounted_bytes + REQUEST_BYTES)
        except NoRoom as error:
            self.refuse_for_room(error)
            return False
        return True

    def on_head_line(self, line: bytes) -> None:
        """Count a line of the head, and the items of the list that it may be.

        Raises
        ------
        NoRoom
            If there is no room for it.
        """
        if not line:
            # The end of a connection that was evicted, not of its head.
            self.room.check()
        self.uncounted_bytes += HEADER_LINE_BYTES + HEADER_COPIES * len(line)
        self.uncounted_bytes += LIST_ITEM_BYTES * line.count(b",")
        if self.uncounted_bytes >= HEAD_STEP_BYTES:
            self.room.progress(self.uncounted_bytes)
            self.room.take(Kind.HEAD, self.uncounted_bytes)
            self.uncounted_bytes = 0

    def refuse_for_room(self, error: NoRoom) -> None:
        """Refuse a request whose head finds no room."""
        status = HTTPStatus.SERVICE_UNAVAILABLE
        body = orjson.dumps({"error": NO_ROOM_MESSAGE, "ran": False})
        headers = [
            ("Connection", "close"),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Retry-After", f"{error.retry_after_s:.2f}"),
            *self.refusal_headers(),
        ]
        lines = [f"HTTP/1.1 {status.value} {status.phrase}", *(f"{k}: {v}" for k, v in headers)]
        self.wfile.writelines(["\r\n".join([*lines, "", ""]).encode(), body])
        self.close_connection = 1

    def refusal_headers(self) -> list[tuple[str, str]]:
        """Return further headers of a refusal."""
        return []

    def get_environ(self) -> dict:
        """Return the WSGI environ of a request, with this connection's room under `ROOM_KEY`."""
        environ = super().get_environ()
        environ[ROOM_KEY] = self.room
        environ["wsgi.input"].on_bytes = self.room.progress
        return environ


class GatewayProtocol(GuardedProtocol):
    """HTTP protocol of callers' connections.

    It puts itself into the WSGI environ, since the application needs the request target as it was
    sent and may close or reset the connection after the response.

    Attributes
    ----------
    resets_connection : bool
        Whether the connection is to end with a reset.
    """

    resets_connection = False

    def head_timeout_s(self) -> float:
        """Return the seconds within which a head must arrive after its first byte."""
        return self.server.app.limits().header_timeout_s

    def body_timeout_s(self) -> float:
        """Return the seconds within which a body must arrive after its head."""
        return self.server.app.limits().idle_timeout_s

    def on_unreadable(self, status: HTTPStatus, problem: str) -> None:
        """Log and count a request whose head cannot be read."""
        self.server.app.record_unreadable(status, "head", problem, self.client_address[0])

    def refusal_headers(self) -> list[tuple[str, str]]:
        """Return what tells another entry that its request has not run."""
        return [relay_headers.build_refusal_header(False)] if self.server.app.is_relay else []

    def get_environ(self) -> dict:
        """Return the WSGI environ of a request, with this protocol under `PROTOCOL_KEY`."""
        environ = super().get_environ()
        environ[PROTOCOL_KEY] = self
        # eventlet's input stream ends at the end of a chunked body.
        environ["wsgi.input_terminated"] = True
        return environ

    def break_off_response(self) -> None:
        """Let the connection end so that the response looks incomplete.

        Without its final chunk it does. A caller of HTTP/1.0 gets no chunks, so that only a reset
        tells a response that was cut short from a whole one.
        """
        self.close_connection = 1
        self.resets_connection = self.request_version != "HTTP/1.1"

    def finish(self) -> None:
        """Close the connection, with a reset if the response was broken off without chunks."""
        if self.resets_connection:
            reset_on_close(self.connection)
            self.rfile.close()
            self.wfile.close()
            self.connection.close()
            return
        super().finish()
