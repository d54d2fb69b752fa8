"""Stand-ins of the users' platform: its store, and endpoints that speak its wire.

They serve from threads of the test; their faults are set by the test.
"""

import json
import socket
import struct
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HOST = "127.0.0.1"
BASE = "base"
EVENTS = 4
SILENT_S = 40.0


class Handler(BaseHTTPRequestHandler):
    """A request handler that logs nothing and keeps connections."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *args) -> None:
        """Log nothing."""

    def body(self) -> bytes:
        """Return the whole body, chunked or not."""
        if self.headers.get("Transfer-Encoding", "").lower() != "chunked":
            return self.rfile.read(int(self.headers.get("Content-Length", 0)))
        data = b""
        while size := int(self.rfile.readline(), 16):
            data += self.rfile.read(size)
            self.rfile.readline()
        self.rfile.readline()
        return data

    def answer(self, status: int, data: bytes = b"", **headers: str) -> None:
        """Send a whole answer."""
        self.send_response_only(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Server(ThreadingHTTPServer):
    """A server whose peers may go away."""

    daemon_threads = True

    def handle_error(self, request, client_address) -> None:
        """Say nothing of a peer that went away in the middle of an answer."""
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)


class StandIn:
    """A server in threads of the test."""

    def __init__(self, handler: type[Handler]) -> None:
        owner = self

        class Bound(handler):
            site = owner

        self.server = Server((HOST, 0), Bound)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Stop serving."""
        self.server.shutdown()
        self.server.server_close()


class StoreHandler(Handler):
    """The store's calls."""

    def handle_call(self) -> None:
        """Serve a call, unless a fault is set."""
        store, body = self.site, self.body()
        if store.away:
            self.answer(503)
            return
        if store.silent:
            # Takes the call and never answers it; the connection stays alive.
            time.sleep(SILENT_S)
            self.close_connection = True
            return
        path, _, query = self.path.partition("?")
        values = dict(part.split("=") for part in query.split("&") if part)
        _, _, kind, *rest = path.strip("/").split("/")
        status, data = store.call(self.command, kind, rest, values, json.loads(body or b"null"))
        if store.lose_answers and self.command != "GET":
            self.close_connection = True
            return
        self.answer(status, json.dumps(data).encode())

    do_GET = do_POST = do_PUT = do_DELETE = handle_call


class Store(StandIn):
    """Objects by kind and name, with one revision and a history that can be dropped."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self.revision = 1
        self.oldest = 0
        self.away = False
        self.lose_answers = False
        self.silent = False
        self.deaf = False
        super().__init__(StoreHandler)

    def call(self, method: str, kind: str, rest: list[str], values: dict, body):
        """Carry out a call; return status and data."""
        if method == "GET":
            return self.read(kind, values)
        if method == "POST":
            return self.put(kind, body["metadata"]["name"], body["spec"], 0)
        if method == "PUT":
            expected = body["metadata"].get("revision")
            return self.put(kind, rest[0], body["spec"], expected)
        self.remove(kind, rest[0])
        return 200, {}

    def read(self, kind: str, values: dict):
        """List a kind or wait for its changes."""
        with self.changed:
            if "watch" not in values:
                items = [item for (other, _), item in self.objects.items() if other == kind]
                return 200, {"items": items, "truncated": False, "currentRev": self.revision}
            since = heard = int(values["watch"])
            ends_at = time.monotonic() + int(values["waitMs"]) / 1000
            while True:
                if since < self.oldest:
                    return 410, {}
                events = [
                    {"object": item, "tombstone": gone}
                    for revision, other, item, gone in self.history
                    if revision > heard and other == kind
                ]
                left_s = ends_at - time.monotonic()
                if events and self.deaf:
                    # This watch misses the change for good; one that is made later sees it.
                    heard, events = self.revision, []
                if events or left_s <= 0:
                    reached = int(values["watch"]) if heard != since else self.revision
                    return 200, {"events": events, "currentRev": reached}
                if self.away:
                    return 503, {}
                self.changed.wait(min(left_s, 0.5))

    def put(self, kind: str, name: str, spec, expected: int | None = None):
        """Write an object; ``expected`` 0 creates only, None takes any revision."""
        with self.changed:
            known = self.objects.get((kind, name))
            if known is not None and expected not in (None, known["metadata"]["revision"]):
                return 409, known
            if known is None and expected:
                return 404, {}
            self.revision += 1
            item = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
            self.objects[kind, name] = item
            self.history.append((self.revision, kind, item, False))
            self.changed.notify_all()
            return 200, item

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self.changed:
            item = self.objects.pop((kind, name), None)
            if item is not None:
                self.revision += 1
                self.history.append((self.revision, kind, item, True))
                self.changed.notify_all()

    def forget(self) -> None:
        """Drop the history."""
        with self.changed:
            self.oldest = self.revision
            self.history.clear()
            self.changed.notify_all()


class EndpointHandler(Handler):
    """Requests of callers, orders and reports at an endpoint."""

    def handle_call(self) -> None:
        """Serve a request as the endpoint's faults and its books have it."""
        endpoint, body = self.site, self.body()
        if self.path == "/api/report":
            self.answer(200, json.dumps(endpoint.report()).encode())
        elif self.path == "/api/order":
            self.order(json.loads(body))
        else:
            self.serve(body)

    do_GET = do_POST = do_PUT = handle_call

    def order(self, order: dict) -> None:
        """Take an order."""
        status = self.site.take_order(order)
        if status == 0:
            self.close_connection = True
            return
        self.answer(status)

    def serve(self, body: bytes) -> None:
        """Serve a caller's request."""
        endpoint = self.site
        headers = {name.lower(): value for name, value in self.headers.items()}
        endpoint.note_request(self.command, self.path, headers, body)
        request_id = headers.get("x-request-id", "")
        if headers.get("x-target-instance") != endpoint.name:
            self.answer(421, X_Instance_Id=endpoint.name)
            return
        model, _, adapter = headers.get("x-model", "").partition("/")
        if adapter and not endpoint.holds(adapter, headers.get("x-expect-version")):
            self.answer(421)
            return
        endpoint.note_run(request_id, headers)
        fault = endpoint.faults.pop(0) if endpoint.faults else ""
        if fault == "full":
            self.answer(503, X_Not_Executed="1")
        elif fault == "dropped":
            self.close_connection = True
        elif fault == "other-request":
            self.answer(200, b"wrong", X_Request_Id="other", X_Response_Seal="s")
        elif fault == "unsigned":
            self.answer(200, b"unsigned", X_Request_Id=request_id)
        elif fault == "short":
            self.send_response_only(200)
            self.send_header("X-Request-Id", request_id)
            self.send_header("X-Response-Seal", "s")
            self.send_header("Content-Length", "100")
            self.end_headers()
            self.wfile.write(b"short")
            self.close_connection = True
        elif fault in ("unframed", "reset"):
            self.send_response_only(200)
            self.send_header("X-Request-Id", request_id)
            self.send_header("X-Response-Seal", "s")
            self.end_headers()
            self.wfile.write(b"unframed")
            self.close_connection = True
            if fault == "reset":
                time.sleep(0.1)
                linger = struct.pack("ii", 1, 0)
                self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                self.connection.close()
        elif fault == "error":
            self.answer(500, b"failed", X_Request_Id=request_id, X_Response_Seal="s")
        elif model:
            self.stream(request_id, int(headers.get("last-event-id", 0)), fault)
        else:
            time.sleep(endpoint.work_s)
            self.answer(200, b"done " + body, X_Request_Id=request_id, X_Response_Seal="s")

    def stream(self, request_id: str, after: int, fault: str) -> None:
        """Send events; a torn stream ends in the middle of its third."""
        self.send_response_only(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("X-Request-Id", request_id)
        self.send_header("X-Response-Seal", f"seal-{self.site.name}")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(after + 1, self.site.events + 1):
            data = self.site.piece(request_id, number)
            if fault == "torn" and number == 3:
                self.chunk(data[: len(data) // 2])
                self.close_connection = True
                return
            try:
                self.chunk(data)
            except ConnectionError:
                self.site.aborted.append(request_id)
                raise
            time.sleep(self.site.work_s)
        self.wfile.write(b"0\r\n\r\n")

    def chunk(self, data: bytes) -> None:
        """Send a chunk."""
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()


class Endpoint(StandIn):
    """An engine or an endpoint of a plain service."""

    events = EVENTS

    def __init__(self, name: str, service: str, work_s: float = 0.0) -> None:
        self.name = name
        self.service = service
        self.work_s = work_s
        self.born = 1
        self.orders = 0
        self.epoch = 0
        self.newest = 1
        self.adapters: dict[str, int] = {}
        self.requests: list[tuple[str, str, dict, bytes]] = []
        self.taken: list[dict] = []
        self.faults: list[str] = []
        self.order_faults: list[str] = []
        self.aborted: list[str] = []
        super().__init__(EndpointHandler)

    def note_request(self, method: str, path: str, headers: dict, body: bytes) -> None:
        """Note what arrived."""
        self.requests.append((method, path, headers, body))

    def note_run(self, request_id: str, headers: dict) -> None:
        """Take note of a request that is for this endpoint and that it can serve."""

    def piece(self, request_id: str, number: int) -> bytes:
        """Return an event of a stream."""
        return f"id: {number}\ndata: piece {number}\n\n".encode()

    def holds(self, adapter: str, version: str | None) -> bool:
        """Return whether an adapter is there in a version."""
        held = self.adapters.get(adapter)
        return held is not None and version in (None, str(held))

    def take_order(self, order: dict) -> int:
        """Carry out an order; return the status, 0 for no answer."""
        fault = self.order_faults.pop(0) if self.order_faults else ""
        if fault == "refused" or order["expected"] != self.orders:
            return 409
        if order["fenceToken"] < self.epoch:
            return 412
        self.epoch = order["fenceToken"]
        self.orders += 1
        self.taken.append(order)
        if order["op"] == "load":
            self.adapters[order["adapter"]] = order.get("version", self.newest)
        else:
            self.adapters.pop(order["adapter"], None)
        return 0 if fault == "lost" else 202

    def models(self) -> list[dict]:
        """Return what the endpoint holds."""
        adapters = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [{"name": BASE, "version": 1, "adapters": adapters}]

    def report(self) -> dict:
        """Return what the endpoint says of itself."""
        state = {"stage": "both", "busy": False, "seq": self.orders, "born": self.born}
        return state | {"models": self.models(), "numRunning": 0, "numWaiting": 0}

    def record(self, state: str = "ready") -> dict:
        """Return the endpoint's record."""
        record = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "north-a",
            "version": "v1",
            "slots": 8,
            "state": state,
            "seq": 1,
            "born": self.born,
        }
        return record | ({"models": self.models()} if self.service == "models" else {})


def configuration(version: int = 1, *more: dict) -> dict:
    """Return a configuration of the platform with a model service and a plain one."""

    def route(prefix: str, service: str, kind: str, **changes) -> dict:
        plain = {"name": prefix, "host": "host.test", "pathPrefix": prefix, "routeKind": kind}
        plain |= {"timeoutMs": 6000, "targetLatencyMs": 1000, "priority": 1, "maxAttempts": 2}
        return plain | {"service": service} | changes

    engine = {
        "slots": 64,
        "kvCapacity": 232000,
        "weightsMb": 1000.0,
        "adapterSlots": 2,
        "loadsPerS": 4.0,
        "models": [{"name": BASE, "weightsMb": 600.0, "adapters": 100, "adapterMb": 40.0}],
    }
    return {
        "version": version,
        "routes": [
            route("/resume/", "models", "streaming", resumable=True),
            route("/stream/", "models", "streaming"),
            route("/once/", "desk", "unsafe", maxAttempts=1),
            route("/read/", "desk", "safe"),
            *more,
        ],
        "services": [
            {"name": "models", "healthPath": "/health", "maxConns": 300, "engine": engine},
            {"name": "desk", "healthPath": "/health", "maxConns": 100},
        ],
        "limits": {"maxBodyBytes": 100000, "idleTimeoutMs": 15000},
    }
