"""WSGI application of an entry: routes requests of callers, peers and operators."""

from collections.abc import Callable, Iterable

from eventlet.wsgi import ChunkReadError
from prometheus_client import generate_latest
from werkzeug.exceptions import BadRequest, HTTPException, InternalServerError, RequestTimeout
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from poplarhoist.entry import problems
from poplarhoist.entry.callers import CallerApi
from poplarhoist.entry.core import Core
from poplarhoist.entry.operators import OperatorApi
from poplarhoist.entry.peers import (
    BATCH_HEADER,
    MAX_PEER_BODY_BYTES,
    PEER_KEY_HEADER,
    PEER_PATH,
    PeerTransport,
)
from poplarhoist.entry.web import require_key
from poplarhoist.settings.models import Site

SERVICE_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")


class EntryApplication:
    """Dispatches HTTP requests to their handlers and turns errors into problem documents."""

    def __init__(self, core: Core, site: Site, peer_transport: PeerTransport) -> None:
        self.core = core
        self.site = site
        self.peer_transport = peer_transport
        callers = CallerApi(core, site)
        operators = OperatorApi(core, site.interfaces.operator_key)
        rules = [
            Rule("/v1/completions", methods=["POST"], endpoint=callers.handle_completion),
            Rule("/v1/chat/completions", methods=["POST"], endpoint=callers.handle_completion),
            Rule("/v1/models", methods=["GET"], endpoint=callers.handle_models),
            Rule(
                "/services/<name>/<path:path>",
                methods=SERVICE_METHODS,
                endpoint=callers.handle_service_call,
            ),
            Rule("/healthz", methods=["GET"], endpoint=self.handle_healthz),
            Rule("/readyz", methods=["GET"], endpoint=self.handle_readyz),
            Rule("/metrics", methods=["GET"], endpoint=self.handle_metrics),
            Rule(PEER_PATH, methods=["POST"], endpoint=self.handle_peer_batch),
            Rule("/admin/status", methods=["GET"], endpoint=operators.handle_status),
            Rule("/admin/explain", methods=["GET"], endpoint=operators.handle_explain),
            Rule("/admin/drain", methods=["POST"], endpoint=operators.handle_drain),
        ]
        self.url_map = Map(rules, merge_slashes=False, strict_slashes=False)

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Handle one request."""
        # The server decodes chunked bodies and signals their end. Without this flag, werkzeug
        # treats a body without Content-Length as empty.
        environ["wsgi.input_terminated"] = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "")
        request = Request(environ)
        request.max_content_length = self.site.interfaces.body_bytes
        try:
            handler, url_arguments = self.url_map.bind_to_environ(environ).match()
            response = handler(request, **url_arguments)
        except HTTPException as error:
            response = problems.http_error_response(error)
        except (ChunkReadError, TimeoutError) as error:
            self.core.log.warning("request-not-read", detail=str(error), path=request.path)
            kind = RequestTimeout if isinstance(error, TimeoutError) else BadRequest
            response = problems.http_error_response(kind(str(error)))
        except Exception:
            # The response has no internal details; the log has the traceback.
            self.core.log.exception("request-failed", path=request.path)
            response = problems.http_error_response(InternalServerError())
        if self.core.state.draining:
            # A kept-alive connection would close when this process exits, possibly during the
            # caller's next request.
            response.headers["Connection"] = "close"
        return response(environ, start_response)

    def handle_healthz(self, request: Request) -> Response:
        """Return 200 while the process runs (liveness)."""
        return Response("ok\n")

    def handle_readyz(self, request: Request) -> Response:
        """Return 200 if the entry has a configuration and is not draining, else 503."""
        state = self.core.state
        if state.config.index is None or state.draining:
            return Response("not ready\n", 503)
        return Response("ready\n")

    def handle_metrics(self, request: Request) -> Response:
        """Return the metrics in the Prometheus text format."""
        self.core.metrics.revision.set(self.core.state.config.revision)
        return Response(generate_latest(self.core.metrics.registry), mimetype="text/plain")

    def handle_peer_batch(self, request: Request) -> Response:
        """Receive a batch of messages from another entry.

        Raises
        ------
        Unauthorized
            If the peer key is wrong or missing.
        BadRequest
            If the batch is malformed.
        """
        require_key(request.headers.get(PEER_KEY_HEADER, ""), self.site.interfaces.peer_key)
        request.max_content_length = MAX_PEER_BODY_BYTES
        try:
            sequence = self.peer_transport.receive_batch(request.get_data())
        except ValueError as error:
            raise BadRequest(str(error)) from error
        return Response("", headers={BATCH_HEADER: str(sequence)})
