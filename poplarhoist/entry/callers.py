"""HTTP interface for callers: parses and validates completions and calls of plain services."""

import hashlib
import hmac
import uuid
from urllib.parse import quote

import eventlet
import orjson
import xxhash
from werkzeug.exceptions import BadRequest, RequestTimeout
from werkzeug.wrappers import Request, Response

from poplarhoist.decisions import events as ev
from poplarhoist.entry import problems
from poplarhoist.entry.attempts import CallerRequest
from poplarhoist.entry.core import Core
from poplarhoist.entry.platform import token_digest
from poplarhoist.entry.request_handler import RequestHandler
from poplarhoist.entry.web import bearer_token, json_response
from poplarhoist.models import Caller, Ran, Reason, Refusal
from poplarhoist.settings.models import Site

DEFAULT_DEADLINE_S = 30.0
DEADLINE_HEADER = "X-Deadline-Seconds"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
PROMPT_PREFIX_BYTES = 256
DOT_SEGMENTS = (".", "..")


class CallerApi:
    """Handlers of the routes that callers use."""

    def __init__(self, core: Core, site: Site) -> None:
        self.core = core
        self.body_timeout_s = site.interfaces.read_s
        self.request_handler = RequestHandler(core, site)

    def handle_models(self, request: Request) -> Response:
        """List the adapters that the caller may use, in the format of the OpenAI API."""
        caller = self.find_caller(token_digest(bearer_token(request)))
        if caller is None:
            return problems.refusal_response("", Refusal(Reason.UNKNOWN_CALLER, Ran.NO, "admit"))
        adapters = self.core.state.config.adapters_by_name.values()
        data = [
            {"id": adapter.name, "object": "model", "created": 0, "owned_by": adapter.base}
            for adapter in adapters
            if "*" in adapter.callers or caller.name in adapter.callers
        ]
        return json_response({"object": "list", "data": data})

    def find_caller(self, digest: str) -> Caller | None:
        """Return the caller with this token digest; None if unknown.

        The final comparison takes constant time, so that its duration reveals nothing about the
        token.
        """
        caller = self.core.state.config.callers_by_digest.get(digest)
        if caller is None or not hmac.compare_digest(caller.token_sha256, digest):
            return None
        return caller

    def handle_completion(self, request: Request) -> Response:
        """Serve a completion or chat completion."""
        body = self.read_body(request)
        data = parse_completion_body(body)
        request_id = uuid.uuid4().hex
        caller_request = CallerRequest(
            request_id=request_id,
            method="POST",
            path=request.path,
            body=body,
            headers={"Content-Type": "application/json"},
            is_streamed=bool(data.get("stream")),
            requested_model=data["model"],
        )
        event = ev.RequestArrived(
            at=self.core.event_time(),
            request_id=request_id,
            token_sha256=token_digest(bearer_token(request)),
            target=data["model"],
            deadline_s=parse_deadline_s(request),
            content_digest=hashlib.sha256(request.path.encode() + body).hexdigest(),
            prefix_hash=xxhash.xxh64_intdigest(prompt_prefix(data)),
            body_bytes=len(body),
        )
        return self.request_handler.run(caller_request, event, request)

    def handle_service_call(self, request: Request, name: str, path: str) -> Response:
        """Serve a call of a plain service."""
        path = quote_service_path(path)
        body = self.read_body(request)
        request_id = uuid.uuid4().hex
        headers = {"Content-Type": request.headers.get("Content-Type", "application/octet-stream")}
        key = parse_idempotency_key(request)
        if key:
            headers[IDEMPOTENCY_KEY_HEADER] = key
        query = f"?{request.query_string.decode('latin-1')}" if request.query_string else ""
        caller_request = CallerRequest(
            request_id, request.method, f"/call{path}{query}", body, headers
        )
        content = f"{request.method} {name}{path}{query}\n".encode() + body
        event = ev.RequestArrived(
            at=self.core.event_time(),
            request_id=request_id,
            token_sha256=token_digest(bearer_token(request)),
            target=name,
            deadline_s=parse_deadline_s(request),
            content_digest=hashlib.sha256(content).hexdigest(),
            body_bytes=len(body),
            is_service=True,
            method=request.method,
            path=path,
            idempotency_key=key,
        )
        return self.request_handler.run(caller_request, event, request)

    def read_body(self, request: Request) -> bytes:
        """Return the request body, which must arrive completely within ``body_timeout_s``.

        Raises
        ------
        HTTPException
            If the body is too large, too slow or incomplete.
        """
        try:
            with eventlet.Timeout(self.body_timeout_s, RequestTimeout("timeout reading the body")):
                body = request.get_data(cache=False)
        except (OSError, ValueError) as error:
            raise BadRequest(f"error reading the body: {error}") from error
        if request.content_length is not None and len(body) != request.content_length:
            raise BadRequest("the body is shorter than its Content-Length")
        return body


def quote_service_path(path: str) -> str:
    """Return the percent-encoded path that is sent to the service.

    Raises
    ------
    BadRequest
        If the path has dot segments, which could lead outside the service's routes.
    """
    if any(part in DOT_SEGMENTS for part in path.split("/")):
        raise BadRequest("the path must not contain dot segments")
    return "/" + quote(path)


def parse_idempotency_key(request: Request) -> str:
    """Return the idempotency key of a call; empty if it has none.

    Raises
    ------
    BadRequest
        If the key is too long or not printable ASCII.
    """
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS or not key.isprintable() or not key.isascii():
        raise BadRequest(
            f"{IDEMPOTENCY_KEY_HEADER} must be at most {MAX_IDEMPOTENCY_KEY_CHARACTERS} printable characters"
        )
    return key


def parse_deadline_s(request: Request) -> float:
    """Return how long the caller is willing to wait for the first byte, in seconds.

    Raises
    ------
    BadRequest
        If the header is not a positive finite number.
    """
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return DEFAULT_DEADLINE_S
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0.0 < seconds < float("inf"):
        raise BadRequest(f"{DEADLINE_HEADER} must be a positive number of seconds, got {text!r}")
    return seconds


def parse_completion_body(body: bytes) -> dict:
    """Return the JSON object of a completion request.

    Raises
    ------
    BadRequest
        If the body is not a JSON object with a model name.
    """
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise BadRequest(f"the body is not JSON: {error}") from error
    if not isinstance(data, dict) or not isinstance(data.get("model"), str):
        raise BadRequest("the body must be an object with a model name")
    return data


def prompt_prefix(data: dict) -> bytes:
    """Return the first bytes of the prompt or messages as JSON; their hash is the affinity key."""
    return orjson.dumps(data.get("messages", data.get("prompt")))[:PROMPT_PREFIX_BYTES]
