"""A small WSGI application of werkzeug rules, shared by the stand-ins."""

from collections.abc import Callable

import eventlet
import eventlet.wsgi
import orjson
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

BACKLOG = 512


class App:
    """Routes requests to methods by a table of rules."""

    def __init__(self, rules: list[tuple[str, str, Callable]]) -> None:
        self.map = Map(
            [Rule(path, methods=[method], endpoint=call) for method, path, call in rules]
        )

    def __call__(self, environ: dict, start_response: Callable) -> object:
        """Answer one request."""
        request = Request(environ)
        try:
            call, arguments = self.map.bind_to_environ(environ).match()
            response = call(request, **arguments)
        except HTTPException as error:
            response = error
        return response(environ, start_response)


def reply(data: object, status: int = 200, headers: dict[str, str] | None = None) -> Response:
    """Return a JSON response."""
    return Response(orjson.dumps(data), status, headers, content_type="application/json")


def serve(app: Callable, host: str, port: int) -> None:
    """Serve an application until the process ends."""
    listener = eventlet.listen((host, port), backlog=BACKLOG)
    serve_on(listener, app)


def serve_on(listener: object, app: Callable) -> None:
    """Serve an application on a listening socket."""
    eventlet.wsgi.server(
        listener,
        app,
        log_output=False,
        debug=False,
        minimum_chunk_size=1,
        max_size=4096,
    )
