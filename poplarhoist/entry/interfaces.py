"""The WSGI application of an entry: routes requests of callers, peers and operators."""

from collections.abc import Callable, Iterable

from prometheus_client import generate_latest
from werkzeug.exceptions import BadRequest, HTTPException, InternalServerError
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from poplarhoist.entry import problems
from poplarhoist.entry.callers import CallerInterface
from poplarhoist.entry.core import Core
from poplarhoist.entry.operators import OperatorInterface
from poplarhoist.entry.peers import PEER_BODY_BYTES, PEER_KEY_HEADER, PEER_PATH, Peers
from poplarhoist.entry.web import require_key
from poplarhoist.settings.models import Site

METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")


class Interfaces:
    """Routes requests to those who take them."""

    def __init__(self, core: Core, site: Site, peers: Peers) -> None:
        self.core = core
        self.site = site
        self.peers = peers
        callers = CallerInterface(core, site)
        operators = OperatorInterface(core, site.interfaces.operator_key)
        rules = [
            Rule("/v1/completions", methods=["POST"], endpoint=callers.complete),
            Rule("/v1/chat/completions", methods=["POST"], endpoint=callers.complete),
            Rule("/v1/models", methods=["GET"], endpoint=callers.models),
            Rule("/services/<name>/<path:path>", methods=METHODS, endpoint=callers.service),
            Rule("/healthz", methods=["GET"], endpoint=self.healthz),
            Rule("/readyz", methods=["GET"], endpoint=self.readyz),
            Rule("/metrics", methods=["GET"], endpoint=self.metrics),
            Rule(PEER_PATH, methods=["POST"], endpoint=self.peer),
            Rule("/admin/status", methods=["GET"], endpoint=operators.status),
            Rule("/admin/explain", methods=["GET"], endpoint=operators.explain),
            Rule("/admin/drain", methods=["POST"], endpoint=operators.drain),
        ]
        self.map = Map(rules, merge_slashes=False, strict_slashes=False)

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request."""
        # The server ends a chunked body itself; without this it would be read as empty.
        environ["wsgi.input_terminated"] = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "")
        request = Request(environ)
        request.max_content_length = self.site.interfaces.body_bytes
        try:
            call, arguments = self.map.bind_to_environ(environ).match()
            response = call(request, **arguments)
        except HTTPException as error:
            response = problems.from_http(error)
        except Exception:
            # The caller gets a plain refusal; operators get the cause.
            self.core.log.exception("request-failed", path=request.path)
            response = problems.from_http(InternalServerError())
        if self.core.state.draining:
            # A kept connection would end with this process, maybe under a caller's next request.
            response.headers["Connection"] = "close"
        return response(environ, start_response)

    def healthz(self, request: Request) -> Response:
        """Tell that the process runs."""
        return Response("ok\n")

    def readyz(self, request: Request) -> Response:
        """Tell whether the entry takes requests."""
        state = self.core.state
        if state.config.index is None or state.draining:
            return Response("not ready\n", 503)
        return Response("ready\n")

    def metrics(self, request: Request) -> Response:
        """Return the counters for prometheus."""
        self.core.metrics.revision.set(self.core.state.config.revision)
        return Response(generate_latest(self.core.metrics.registry), mimetype="text/plain")

    def peer(self, request: Request) -> Response:
        """Take a batch of another entry."""
        require_key(request.headers.get(PEER_KEY_HEADER, ""), self.site.interfaces.peer_key)
        request.max_content_length = PEER_BODY_BYTES
        try:
            self.peers.receive(request.get_data())
        except ValueError as error:
            raise BadRequest(str(error)) from error
        return Response("")
