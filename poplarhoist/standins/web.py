"""What the stand-ins share: a small WSGI application, its listener, and lost answers."""

from collections.abc import Callable
from typing import NoReturn, TypeVar
from weakref import WeakSet

import attrs
import eventlet
import eventlet.wsgi
import orjson
from greenlet import GreenletExit
from werkzeug.exceptions import BadRequest, HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

ACCEPT_BACKLOG = 512
MAX_CONNECTIONS = 4096
SILENCE_POLL_S = 0.05

F = TypeVar("F")


class ConnectionCut(GreenletExit):
    """Ends a connection without another byte; any other exception would be answered with 500."""


class ConnectionTracker:
    """Open connections, and those that have gone silent for good while new ones work."""

    def __init__(self) -> None:
        self.tracked: WeakSet = WeakSet()
        self.silenced: WeakSet = WeakSet()

    def track(self, environ: dict) -> object:
        """Return the socket of a request; None if it came over none."""
        if "eventlet.input" not in environ:
            return None
        connection = environ["eventlet.input"].get_socket()
        self.tracked.add(connection)
        return connection

    def silence_open(self) -> None:
        """Let no byte pass any more on the connections that are open now."""
        self.silenced.update(self.tracked)

    def block_while_silenced(self, connection: object) -> None:
        """Wait for as long as a connection is silent."""
        while connection is not None and connection in self.silenced:
            eventlet.sleep(SILENCE_POLL_S)


class App:
    """Routes requests to methods by a table of rules."""

    def __init__(self, rules: list[tuple[str, str, Callable]]) -> None:
        self.connections = ConnectionTracker()
        self.url_map = Map(
            [Rule(path, methods=[method], endpoint=call) for method, path, call in rules]
        )

    def __call__(self, environ: dict, start_response: Callable) -> object:
        """Answer one request."""
        request = Request(environ)
        self.connections.block_while_silenced(self.connections.track(environ))
        try:
            call, arguments = self.url_map.bind_to_environ(environ).match()
            response = call(request, **arguments)
        except HTTPException as error:
            response = error
        return response(environ, start_response)


class Listener:
    """Serves an application at an address and can stop listening as a dead process does."""

    def __init__(self, app: Callable, host: str, port: int) -> None:
        self.app = app
        self.address = (host, port)
        self.is_open = False

    def open(self) -> None:
        """Listen and serve in the background."""
        self.is_open = True
        self.socket = eventlet.listen(self.address, backlog=ACCEPT_BACKLOG)
        self.connection_pool = eventlet.GreenPool(MAX_CONNECTIONS)
        self.server_thread = eventlet.spawn(
            eventlet.wsgi.server,
            self.socket,
            self.app,
            custom_pool=self.connection_pool,
            log_output=False,
            debug=False,
            minimum_chunk_size=1,
        )

    def restart(self, downtime_s: float) -> None:
        """Stop listening for some seconds, as a process that is started again."""
        if self.is_open:
            self.close()
            eventlet.spawn_after(downtime_s, self.open)

    def close(self) -> None:
        """Refuse new connections and cut the open ones, but for the one that asks for this."""
        self.is_open = False
        self.server_thread.kill()
        self.socket.close()
        for thread in list(self.connection_pool.coroutines_running):
            if thread is not eventlet.getcurrent():
                thread.kill()


def cut_connection() -> NoReturn:
    """Cut the connection of the request that is being answered.

    Raises
    ------
    ConnectionCut
        Always.
    """
    raise ConnectionCut


def update_faults(faults: F, data: dict[str, object]) -> F:
    """Return fault switches with some of them set anew.

    Raises
    ------
    BadRequest
        If there is no such switch.
    """
    unknown = data.keys() - attrs.fields_dict(type(faults)).keys()
    if unknown:
        raise BadRequest(f"no such switch: {', '.join(sorted(unknown))}")
    return attrs.evolve(faults, **data)


def json_response(
    data: object, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Return a JSON response."""
    return Response(orjson.dumps(data), status, headers, content_type="application/json")


def serve_forever(app: Callable, host: str, port: int) -> None:
    """Serve an application until the process ends."""
    listener = Listener(app, host, port)
    listener.open()
    listener.server_thread.wait()
