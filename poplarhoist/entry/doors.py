"""The WSGI application of an entry: callers, peers and operators."""

import base64
import hashlib
import hmac
import uuid
from collections.abc import Callable, Iterable, Iterator

import orjson
import xxhash
from prometheus_client import generate_latest
from werkzeug.exceptions import BadRequest, HTTPException, InternalServerError
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from poplarhoist import wire
from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import events as ev
from poplarhoist.decisions.explain import Question, explain
from poplarhoist.entry import problems
from poplarhoist.entry.attempts import Attempt, Result, Work
from poplarhoist.entry.core import Core
from poplarhoist.entry.peers import PEER_KEY_HEADER, PEER_PATH, Peers
from poplarhoist.entry.platform import token_digest
from poplarhoist.entry.status import describe
from poplarhoist.models import Ran, Reason, Refusal
from poplarhoist.settings.models import Site

DEFAULT_DEADLINE_S = 30.0
DEADLINE_HEADER = "X-Deadline-Seconds"
KEY_HEADER = "Idempotency-Key"
PREFIX_BYTES = 256
METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")


class Doors:
    """Routes requests of callers, peers and operators."""

    def __init__(self, core: Core, site: Site, peers: Peers) -> None:
        self.core = core
        self.site = site
        self.peers = peers
        rules = [
            Rule("/v1/completions", methods=["POST"], endpoint=self.complete),
            Rule("/v1/chat/completions", methods=["POST"], endpoint=self.complete),
            Rule("/v1/models", methods=["GET"], endpoint=self.models),
            Rule("/services/<name>/<path:path>", methods=METHODS, endpoint=self.service),
            Rule("/healthz", methods=["GET"], endpoint=self.healthz),
            Rule("/readyz", methods=["GET"], endpoint=self.readyz),
            Rule("/metrics", methods=["GET"], endpoint=self.metrics),
            Rule(PEER_PATH, methods=["POST"], endpoint=self.peer),
            Rule("/admin/status", methods=["GET"], endpoint=self.status),
            Rule("/admin/explain", methods=["GET"], endpoint=self.explain),
            Rule("/admin/drain", methods=["POST"], endpoint=self.drain),
        ]
        self.map = Map(rules)

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request."""
        request = Request(environ)
        request.max_content_length = self.site.doors.body_bytes
        try:
            call, arguments = self.map.bind_to_environ(environ).match()
            response = call(request, **arguments)
        except HTTPException as error:
            response = problems.from_http(error)
        except Exception:
            # The caller gets a plain refusal; operators get the cause.
            self.core.log.exception("request-failed", path=request.path)
            response = problems.from_http(InternalServerError())
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
        self.require(request.headers.get(PEER_KEY_HEADER, ""), self.site.doors.peer_key)
        try:
            self.peers.receive(request.get_data())
        except ValueError as error:
            raise BadRequest(str(error)) from error
        return Response("")

    def require(self, given: str, key: str) -> None:
        """Compare a shared key in constant time."""
        if not hmac.compare_digest(given.encode(), key.encode()):
            raise problems.Unauthorized("wrong or missing key")

    def require_operator(self, request: Request) -> None:
        """Make sure that an operator asks."""
        self.require(bearer(request), self.site.doors.operator_key)

    def status(self, request: Request) -> Response:
        """Describe this entry for operators."""
        self.require_operator(request)
        refused = self.core.metrics.totals("refused")
        return json_response(describe(self.core.state, self.core.at()) | {"refused": refused})

    def explain(self, request: Request) -> Response:
        """Tell where a request would go now, or why it would be refused."""
        self.require_operator(request)
        question = Question(
            model=request.args.get("model", ""),
            caller=request.args.get("caller", ""),
            deadline_s=request.args.get("deadline_s", DEFAULT_DEADLINE_S, type=float),
        )
        return json_response(wire.dump(explain(self.core.state, question, self.core.at())))

    def drain(self, request: Request) -> Response:
        """Begin a graceful stop."""
        self.require_operator(request)
        self.core.submit(ev.DrainAsked(self.core.at()))
        return json_response({"draining": True}, 202)

    def models(self, request: Request) -> Response:
        """List the adapters that the caller may use."""
        caller = self.core.state.config.callers_by_digest.get(token_digest(bearer(request)))
        if caller is None:
            return problems.response("", Refusal(Reason.UNKNOWN_CALLER, Ran.NO, "admit"))
        adapters = self.core.state.config.adapters_by_name.values()
        data = [
            {"id": adapter.name, "object": "model", "created": 0, "owned_by": adapter.base}
            for adapter in adapters
            if "*" in adapter.callers or caller.name in adapter.callers
        ]
        return json_response({"object": "list", "data": data})

    def complete(self, request: Request) -> Response:
        """Serve a model call."""
        body = request.get_data()
        data = parse_body(body)
        request_id = uuid.uuid4().hex
        work = Work(
            request_id=request_id,
            method="POST",
            path=request.path,
            body=body,
            headers={"Content-Type": "application/json"},
            stream=bool(data.get("stream")),
        )
        event = ev.RequestArrived(
            at=self.core.at(),
            request_id=request_id,
            token_sha256=token_digest(bearer(request)),
            target=str(data.get("model", "")),
            deadline_s=deadline_s(request),
            digest=hashlib.sha256(request.path.encode() + body).hexdigest(),
            prefix=xxhash.xxh64_intdigest(prompt_start(data)),
            size=len(body),
        )
        return self.run(work, event)

    def service(self, request: Request, name: str, path: str) -> Response:
        """Serve a call of a plain service."""
        body = request.get_data()
        request_id = uuid.uuid4().hex
        headers = {"Content-Type": request.headers.get("Content-Type", "application/octet-stream")}
        key = request.headers.get(KEY_HEADER, "")
        if key:
            headers[KEY_HEADER] = key
        query = f"?{request.query_string.decode()}" if request.query_string else ""
        work = Work(request_id, request.method, f"/call/{path}{query}", body, headers)
        content = f"{request.method} {name}/{path}{query}\n".encode() + body
        event = ev.RequestArrived(
            at=self.core.at(),
            request_id=request_id,
            token_sha256=token_digest(bearer(request)),
            target=name,
            deadline_s=deadline_s(request),
            digest=hashlib.sha256(content).hexdigest(),
            size=len(body),
            service=True,
            method=request.method,
            path=f"/{path}",
            key=key,
        )
        return self.run(work, event)

    def run(self, work: Work, event: ev.RequestArrived) -> Response:
        """Follow the decisions for a request until it has its answer."""
        mailbox = self.core.open(work.request_id)
        self.core.submit(event)
        while True:
            effect = mailbox.get()
            if isinstance(effect, fx.Refuse):
                self.core.close(work.request_id)
                return problems.response(work.request_id, effect.refusal)
            if isinstance(effect, fx.ReplayAnswer):
                self.core.close(work.request_id)
                return replayed(effect.record)
            response = self.attempt(work, effect)
            if response is not None:
                return response

    def attempt(self, work: Work, effect: fx.Dispatch) -> Response | None:
        """Run one attempt; None if the decisions are to be asked again."""
        attempt = Attempt(self.core, self.site.streams, work, effect)
        if work.stream:
            upstream = attempt.begin()
            if upstream is not None and attempt.result.outcome is ev.Outcome.COMPLETED:
                body = self.stream(work, attempt, upstream)
                return Response(body, attempt.result.status, attempt.result.headers)
            if upstream is not None:
                attempt.result.body = upstream.read()
        else:
            attempt.whole()
        attempt.close()
        result = attempt.result
        self.end(effect, result)
        if result.outcome in (ev.Outcome.COMPLETED, ev.Outcome.FAILED):
            self.core.close(work.request_id)
            return Response(result.body, result.status, result.headers)
        return None

    def stream(self, work: Work, attempt: Attempt, upstream) -> Iterator[bytes]:
        """Pass a streamed answer on and tell the decisions how it ended."""
        ended = False
        try:
            yield from attempt.events(upstream)
            self.end(attempt.effect, attempt.result)
            ended = True
            if attempt.result.outcome is not ev.Outcome.COMPLETED:
                yield self.last_words(work)
        finally:
            if not ended:
                attempt.cancel()
                attempt.result.outcome = ev.Outcome.CANCELLED
                self.end(attempt.effect, attempt.result)
            self.core.close(work.request_id)
            attempt.close()

    def last_words(self, work: Work) -> bytes:
        """Return the error event for a caller that has had a part of its answer."""
        mailbox = self.core.mailboxes[work.request_id]
        effect = mailbox.get()
        refusal = effect.refusal if isinstance(effect, fx.Refuse) else None
        return problems.event(work.request_id, refusal)

    def end(self, effect: fx.Dispatch, result: Result) -> None:
        """Tell the decisions how an attempt ended."""
        record = ""
        if effect.ref is None and result.outcome in (ev.Outcome.COMPLETED, ev.Outcome.FAILED):
            record = to_record(result)
        event = ev.AttemptEnded(
            at=self.core.at(),
            request_id=effect.request_id,
            attempt=effect.attempt,
            endpoint=effect.endpoint,
            outcome=result.outcome,
            delivered=result.delivered,
            reason=result.reason,
            size=result.size,
            record=record,
        )
        self.core.submit(event)


def bearer(request: Request) -> str:
    """Return the token that a request carries; empty if none."""
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def deadline_s(request: Request) -> float:
    """Return how many seconds the caller is ready to wait for the first byte."""
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


def parse_body(body: bytes) -> dict:
    """Return the JSON object that a caller sent."""
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise BadRequest(f"the body is not JSON: {error}") from error
    if not isinstance(data, dict) or not isinstance(data.get("model"), str):
        raise BadRequest("the body must be an object with a model name")
    return data


def prompt_start(data: dict) -> bytes:
    """Return the start of the prompt, for prefix affinity."""
    return orjson.dumps(data.get("messages", data.get("prompt")))[:PREFIX_BYTES]


def json_response(data: object, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(orjson.dumps(data), status, content_type="application/json")


def to_record(result: Result) -> str:
    """Return an answer in the form in which it is recorded."""
    body = base64.b64encode(result.body).decode()
    return orjson.dumps([result.status, result.headers, body]).decode()


def replayed(record: str) -> Response:
    """Return a recorded answer."""
    status, headers, body = orjson.loads(record)
    return Response(base64.b64decode(body), status, {**headers, "X-Replayed": "true"})
