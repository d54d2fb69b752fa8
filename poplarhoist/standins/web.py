"""Shared parts of the stand-ins: a small WSGI application, its listener and cut connections."""

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

from poplarhoist.entry.listener import open_listener
from poplarhoist.entry.protocol import StrictProtocol

MAX_CONNECTIONS = 4096
SILENCE_POLL_S = 0.05

F = TypeVar("F")


class ConnectionCut(GreenletExit):
    """Ends a connection without sending another byte.

    The WSGI server answers any other exception with status 500.
    """


class ConnectionTracker:
    """Keeps track of connections and can silence the open ones for good, while new ones work.

    Attributes
    ----------
    tracked, silenced : WeakSet
        Sockets of the connections that carried a request, and those that are silenced.
    """

    def __init__(self) -> None:
        self.tracked: WeakSet = WeakSet()
        self.silenced: WeakSet = WeakSet()

    def track(self, environ: dict) -> object:
        """Remember and return the socket of a request; None for a request without a socket."""
        if "eventlet.input" not in environ:
            return None
        connection = environ["eventlet.input"].get_socket()
        self.tracked.add(connection)
        return connection

    def silence_open(self) -> None:
        """Silence the connections that are open now; they neither close nor carry a byte."""
        self.silenced.update(self.tracked)

    def block_while_silenced(self, connection: object) -> None:
        """Block while a connection is silenced, which can be until the process ends."""
        while connection is not None and connection in self.silenced:
            eventlet.sleep(SILENCE_POLL_S)


class App:
    """WSGI application that routes requests to handlers.

    Parameters
    ----------
    rules : list
        Method, URL rule and handler of each route; the handler gets the request and the variables
        of the rule.
    """

    def __init__(self, rules: list[tuple[str, str, Callable]]) -> None:
        self.connections = ConnectionTracker()
        self.url_map = Map(
            [Rule(path, methods=[method], endpoint=call) for method, path, call in rules]
        )

    def __call__(self, environ: dict, start_response: Callable) -> object:
        """Handle one request."""
        request = Request(environ)
        self.connections.block_while_silenced(self.connections.track(environ))
        try:
            call, arguments = self.url_map.bind_to_environ(environ).match()
            response = call(request, **arguments)
        except HTTPException as error:
            response = error
        return response(environ, start_response)


class Listener:
    """Serves an application at an address and can close it as a crash of the process would.

    Parameters
    ----------
    setting : str
        Setting that names the address; goes into the message if it is in use.

    Attributes
    ----------
    is_open : bool
        Whether the listener accepts connections.
    connection_pool : GreenPool
        Green threads of the open connections.
    server_thread : GreenThread
        Accepts connections.
    """

    def __init__(self, app: Callable, host: str, port: int, setting: str) -> None:
        self.app = app
        self.address = (host, port)
        self.setting = setting
        self.is_open = False

    def open(self) -> None:
        """Start to listen and to serve in the background."""
        self.socket = open_listener(*self.address, self.setting)
        self.is_open = True
        self.connection_pool = eventlet.GreenPool(MAX_CONNECTIONS)
        self.server_thread = eventlet.spawn(
            eventlet.wsgi.server,
            self.socket,
            self.app,
            custom_pool=self.connection_pool,
            log_output=False,
            debug=False,
            minimum_chunk_size=1,
            protocol=StrictProtocol,
        )

    def restart(self, downtime_s: float) -> None:
        """Close now and open again after some seconds; does nothing while it is closed."""
        if self.is_open:
            self.close()
            eventlet.spawn_after(downtime_s, self.open)

    def close(self) -> None:
        """Stop listening and cut all open connections except that of the current request."""
        self.is_open = False
        self.server_thread.kill()
        self.socket.close()
        for thread in list(self.connection_pool.coroutines_running):
            if thread is not eventlet.getcurrent():
                thread.kill()


def cut_connection() -> NoReturn:
    """Cut the connection of the current request.

    Raises
    ------
    ConnectionCut
        Always.
    """
    raise ConnectionCut


def update_faults(faults: F, data: dict[str, object]) -> F:
    """Return fault switches with some of them changed.

    Raises
    ------
    BadRequest
        If a switch is unknown.
    """
    unknown = data.keys() - attrs.fields_dict(type(faults)).keys()
    if unknown:
        raise BadRequest(f"unknown fault switch: {', '.join(sorted(unknown))}")
    return attrs.evolve(faults, **data)


def json_response(
    data: object, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Return data as a JSON response."""
    return Response(orjson.dumps(data), status, headers, content_type="application/json")


def serve_forever(app: Callable, host: str, port: int, setting: str) -> None:
    """Serve an application until the process ends."""
    listener = Listener(app, host, port, setting)
    listener.open()
    listener.server_thread.wait()
