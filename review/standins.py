"""Stand-ins of the platform for the cases of the review: store, servers, consumers, entries.

They follow the platform's pages. Only the standard library is used. All addresses are loopback
addresses, and all ports are free ones.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
# The command of the deploy file's only role.
ENTRY_COMMAND = ("python3", "-m", "poplarhoist.platform")
MODEL = "base"
ROUTE_HOST = "site.test"
HEARTBEAT_S = 1.2
# Seconds without disturbance after which a machine is in touch and the core is stable.
STABLE_WINDOW_S = 4.0
# Seconds between two events of a stream.
EVENT_INTERVAL_S = 0.1
# Seconds after which a case ends in any case.
LONGEST_S = 110
# Ports that have been handed out.
TAKEN_PORTS: set[int] = set()
now = time.monotonic


class Record:
    """The record of a case: what was sent, answered and run, with the seconds since its start."""

    def __init__(self, folder: Path) -> None:
        self.started_at = now()
        self.lock = threading.Lock()
        self.file = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        """Add a line."""
        with self.lock:
            self.file.write(f"{now() - self.started_at:9.3f} {text}\n")
            self.file.flush()

    def since_start(self, at: float) -> float:
        """Return a monotonic time as seconds since the start."""
        return at - self.started_at


class Handler(BaseHTTPRequestHandler):
    """Answers calls over kept connections, and logs nothing."""

    protocol_version = "HTTP/1.1"
    # A response goes out in one piece.
    wbufsize = 65536

    def log_message(self, *args) -> None:
        """Log nothing."""

    def parse_request(self) -> bool:
        """Parse the head, and keep the target as it was sent; the library shortens some."""
        if not super().parse_request():
            return False
        self.path = self.raw_requestline.decode("latin-1").split(" ")[1]
        return True

    def body(self) -> bytes:
        """Return the body of the request, which has a length."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status: int, data: bytes = b"", headers: dict | None = None) -> None:
        """Send a whole response."""
        self.send_response_only(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(data)
        self.wfile.flush()


class HttpServer(ThreadingHTTPServer):
    """A server with a thread for each connection, which keeps its open connections."""

    daemon_threads = True

    def __init__(self, address, handler, backlog: int = 128) -> None:
        self.request_queue_size = backlog
        self.connections: set[socket.socket] = set()
        self.lock = threading.Lock()
        self.accepts_from = 0.0
        super().__init__(address, handler)

    def get_request(self):
        """Accept a connection, once the server accepts any."""
        while now() < self.accepts_from:
            time.sleep(0.005)
        return super().get_request()

    def process_request(self, request, client_address) -> None:
        """Note a new connection."""
        with self.lock:
            self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request) -> None:
        """Forget a connection that ends."""
        with self.lock:
            self.connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address) -> None:
        """Ignore connections that end early."""
        if not isinstance(sys.exception(), (OSError, ValueError)):
            super().handle_error(request, client_address)

    def reset_connections(self) -> None:
        """Reset all open connections, as the end of a process by a crash does."""
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                linger = struct.pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                os.close(connection.detach())
            except OSError:
                pass


class StoreHandler(Handler):
    """Calls to the store."""

    def call(self) -> None:
        """Answer a call."""
        store, body = self.server.store, self.body()
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.split("/")[3:]]
        document = json.loads(body) if body else {}
        if store.is_away:
            self.answer_json(503, {})
            return
        if self.command != "GET" and store.lose_write is not None:
            delay_s = store.lose_write(self.command, parts)
            if delay_s is not None:
                # No answer on this connection; the call is carried out later.
                threading.Timer(
                    delay_s, store.write, (self.command, parts, query, document)
                ).start()
                store.record.write(
                    f"store loses the answer to {self.command} {'/'.join(parts)}"
                    f" and carries it out {delay_s} s later"
                )
                self.close_connection = True
                return
        if self.command == "GET":
            answer = store.read(parts, query)
            if answer is None:
                # A watch that was cut off.
                self.close_connection = True
                return
            status, data = answer
        else:
            status, data = store.write(self.command, parts, query, document)
        self.answer_json(status, data)

    def answer_json(self, status: int, data) -> None:
        """Send an answer of the store."""
        headers = {"Content-Type": "application/json", "Store-Era": str(self.server.store.era)}
        self.answer(status, json.dumps(data).encode(), headers)

    do_GET = do_POST = do_PUT = do_DELETE = call


class Store:
    """The platform's store: objects by kind and name, one revision, watches, stale reads.

    Attributes
    ----------
    stale_s : float
        Age of the data that a call with ``allowStale`` returns.
    lose_write : callable or None
        Returns the seconds after which a write is carried out without an answer; None for a write
        that is answered.
    cuts : int
        How often all waiting watches were cut off.
    is_away : bool
        Whether all calls get 503.
    era : int
        Rises by one each time that the store comes back from an older copy.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.condition = threading.Condition()
        self.objects: dict[tuple[str, str], dict] = {}
        # Time, revision, kind, object, whether it was removed.
        self.history: list[tuple[float, int, str, dict, bool]] = []
        self.revision = 100
        self.stale_s = 0.0
        self.lose_write = None
        self.cuts = 0
        self.is_away = False
        self.era = 1
        self.server = HttpServer((HOST, 0), StoreHandler)
        self.server.store = self
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, kind: str, name: str, spec: dict) -> float:
        """Write an object as the operator or a server does; return when it was confirmed."""
        with self.condition:
            self.apply(kind, name, spec)
            return now()

    def remove(self, kind: str, name: str) -> float:
        """Remove an object as a server's end does; return when that was confirmed."""
        self.write("DELETE", [kind, name], {}, {})
        return now()

    def apply(self, kind: str, name: str, spec: dict) -> dict:
        """Change an object; one that does not change keeps its revision."""
        existing = self.objects.get((kind, name))
        if existing is not None and existing["spec"] == spec:
            return existing
        self.revision += 1
        created = existing["metadata"]["createRev"] if existing else self.revision
        metadata = {"name": name, "revision": self.revision, "createRev": created}
        item = {"metadata": metadata, "spec": spec, "status": {}}
        self.objects[kind, name] = item
        self.history.append((now(), self.revision, kind, item, False))
        self.condition.notify_all()
        return item

    def write(self, method: str, parts: list[str], query: dict, document: dict):
        """Carry out a write; return status and data."""
        kind = parts[0]
        metadata = document.get("metadata") or {}
        name = parts[1] if len(parts) > 1 else metadata.get("name", "")
        expected = metadata.get("revision") or query.get("revision")
        with self.condition:
            existing = self.objects.get((kind, name))
            if method == "POST" and existing is not None:
                return 409, existing
            if method != "POST" and existing is None:
                return 404, {}
            if expected and existing["metadata"]["revision"] != int(expected):
                return 409, existing
            if method != "DELETE":
                return (201 if method == "POST" else 200), self.apply(kind, name, document["spec"])
            del self.objects[kind, name]
            self.revision += 1
            gone = existing | {"metadata": existing["metadata"] | {"revision": self.revision}}
            self.history.append((now(), self.revision, kind, gone, True))
            self.condition.notify_all()
            if kind.startswith("poplarhoist-entries"):
                self.record.write(f"store removes the record {kind}/{name}")
            return 200, {}

    def read(self, parts: list[str], query: dict):
        """Get, list or watch; return status and data, or None if a watch was cut off."""
        kind = parts[0]
        is_stale = query.get("allowStale") == "1" and self.stale_s > 0.0
        with self.condition:
            if len(parts) > 1:
                item = self.objects.get((kind, parts[1]))
                return (200, item) if item else (404, {})
            if "watch" in query:
                return self.watch(kind, int(query["watch"]), int(query.get("waitMs", 0)), is_stale)
            objects, revision = self.objects, self.revision
            if is_stale:
                objects, revision = self.state_before(now() - self.stale_s)
            items = [item for (other, _), item in sorted(objects.items()) if other == kind]
            items = [item for item in items if item["metadata"]["name"] > query.get("after", "")]
            page, rest = items[:500], items[500:]
            return 200, {"items": page, "truncated": bool(rest), "currentRev": revision}

    def state_before(self, at: float) -> tuple[dict, int]:
        """Return the objects and the revision as of a time."""
        objects, revision = {}, 100
        for changed_at, changed, kind, item, is_removed in self.history:
            if changed_at > at:
                break
            revision = changed
            objects.pop((kind, item["metadata"]["name"]), None)
            if not is_removed:
                objects[kind, item["metadata"]["name"]] = item
        return objects, revision

    def watch(self, kind: str, since: int, wait_ms: int, is_stale: bool):
        """Wait for changes after a revision."""
        ends_at, cuts = now() + wait_ms / 1000, self.cuts
        if since > self.revision:
            return 410, {}
        while True:
            seen_until = now() - (self.stale_s if is_stale else 0.0)
            events, revision = [], since
            for changed_at, changed, other, item, is_removed in reversed(self.history):
                if changed <= since:
                    break
                if changed_at > seen_until:
                    continue
                revision = max(revision, changed)
                if other == kind:
                    events.insert(0, {"object": item, "tombstone": is_removed})
            left_s = ends_at - now()
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": revision}
            if self.cuts != cuts:
                return None
            self.condition.wait(min(left_s, 0.05 if is_stale else left_s))

    def go_away(self, seconds: float, copy_at: float) -> None:
        """Be away for some seconds, and come back as the store was at a time."""
        self.is_away = True
        self.cut_watches()
        self.record.write("the store is away")
        time.sleep(seconds)
        with self.condition:
            self.objects, self.revision = self.state_before(copy_at)
            self.history = [change for change in self.history if change[0] <= copy_at]
            self.era += 1
            self.is_away = False
        self.record.write(
            f"the store is back from a copy that is {now() - copy_at:.1f} s old, era {self.era},"
            f" revision {self.revision}"
        )

    def cut_watches(self) -> None:
        """Cut off all watches that are waiting."""
        with self.condition:
            self.cuts += 1
            self.condition.notify_all()


class ServerHandler(Handler):
    """Requests, orders and reports at a server."""

    def call(self) -> None:
        """Answer a call by its path."""
        server, body = self.server.owner, self.body()
        target = self.headers.get("X-Target-Instance", server.name)
        if target != server.name:
            self.answer(421)
        elif self.path == "/api/report":
            self.answer(200, json.dumps(server.report()).encode())
        elif self.path == "/api/order":
            self.answer(server.order(json.loads(body)))
        elif self.path == "/health":
            self.answer(200, headers={"X-Instance-Id": server.name})
        else:
            server.serve(self, body)

    do_GET = do_HEAD = do_POST = do_PUT = do_DELETE = call


class Server:
    """A server of a service: an engine with adapters, or a server of a plain service.

    Attributes
    ----------
    arrivals, runs : list
        Time, request id and target of each request that arrived, and of each that ran.
    work_s : float
        Seconds that a request takes.
    born : int
        Unix millisecond of the start of this lifetime.
    poison, back_s : str, float
        Target of a request that crashes the server, and the seconds after which it is back.
    poisoned_at : list
        When such requests arrived.
    latest_versions : dict
        Version by adapter that an order without a version loads; 1 if there is none.
    version_runs : list
        Time, request id, adapter and version of each model request that ran.
    """

    def __init__(
        self, store: Store, name: str, service: str, slots: int = 6, backlog: int = 128
    ) -> None:
        self.store, self.record, self.name, self.service = store, store.record, name, service
        self.slots, self.backlog = slots, backlog
        self.work_s = 0.05
        self.state = "ready"
        self.is_listed = True
        self.adapters: dict[str, int] = {}
        self.loading: dict[str, tuple[float, int]] = {}
        self.latest_versions: dict[str, int] = {}
        self.running: Counter[str] = Counter()
        self.version_runs: list[tuple[float, str, str, int]] = []
        self.orders = 0
        self.fence = 0
        self.order_log: list[tuple[float, dict, int]] = []
        self.arrivals: list[tuple[float, str, str]] = []
        self.runs: list[tuple[float, str, str]] = []
        self.poison = ""
        self.back_s = 0.0
        self.poisoned_at: list[float] = []
        self.lock = threading.Lock()
        self.port = 0
        self.start()
        threading.Thread(target=self.beat, daemon=True).start()

    def start(self) -> None:
        """Begin a lifetime; it knows nothing of the one before."""
        self.born = int(time.time() * 1000)
        self.adapters, self.loading, self.orders, self.fence = {}, {}, 0, 0
        self.http = HttpServer((HOST, self.port), ServerHandler, self.backlog)
        self.http.owner = self
        self.port = self.http.server_address[1]
        threading.Thread(target=self.http.serve_forever, args=(0.02,), daemon=True).start()
        self.is_up = True
        self.write()

    def crash(self) -> None:
        """End this lifetime: nothing listens any more, and open connections are reset."""
        self.is_up = False
        self.record.write(f"server {self.name} crashes")
        self.http.shutdown()
        self.http.server_close()
        self.http.reset_connections()

    def pause_accepting(self, seconds: float) -> None:
        """Accept no connections for a while; the queue of new ones fills meanwhile."""
        self.http.accepts_from = now() + seconds

    def crash_for(self, seconds: float) -> None:
        """Crash, and be back after some seconds, as a new lifetime."""
        self.crash()
        time.sleep(seconds)
        self.start()
        self.record.write(f"server {self.name} is back")

    def beat(self) -> None:
        """Check in at the store every heartbeat."""
        while True:
            time.sleep(HEARTBEAT_S)
            if self.is_up and self.is_listed:
                self.write()

    def write(self) -> float:
        """Write the entry in the store; return when it was confirmed."""
        return self.store.put("servers", self.name, self.entry())

    def entry(self) -> dict:
        """Return the entry in the store."""
        entry = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "north-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "seq": self.orders,
            "born": self.born,
        }
        return entry | ({"models": self.models()} if self.service == "models" else {})

    def models(self) -> list[dict]:
        """Return what an engine holds."""
        self.finish_loads()
        adapters = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [{"name": MODEL, "version": 1, "adapters": adapters}]

    def finish_loads(self) -> None:
        """Let adapters that have arrived be held."""
        with self.lock:
            for name, (ready_at, version) in list(self.loading.items()):
                # A replacement waits for the runs on the version before.
                if now() >= ready_at and not self.running[name]:
                    del self.loading[name]
                    self.adapters[name] = version

    def report(self) -> dict:
        """Return the report of an engine."""
        models = self.models()
        coming = [f"{MODEL}/{name}@{version}" for name, (_, version) in self.loading.items()]
        return {
            "stage": "both",
            "models": models,
            "busy": False,
            "seq": self.orders,
            "numWaiting": 0,
            "numRunning": 0,
            "kvUsed": 0,
            "kvTotal": 232000,
            "handles": 0,
            "coming": coming,
            "born": self.born,
            "state": self.state,
        }

    def order(self, order: dict) -> int:
        """Carry out an order; return the status."""
        self.finish_loads()
        with self.lock:
            status = self.judge_order(order)
            self.order_log.append((now(), order, status))
        self.record.write(
            f"server {self.name} gets order {order.get('op')} {order.get('adapter', '')}"
            f" of {order.get('holder')} with epoch {order.get('fenceToken')}: {status}"
        )
        return status

    def judge_order(self, order: dict) -> int:
        """Return the status of an order, and apply it."""
        if not order.get("holder") or not isinstance(order.get("fenceToken"), int):
            return 400
        if order["fenceToken"] < self.fence:
            return 412
        self.fence = order["fenceToken"]
        if order.get("expected", self.orders) != self.orders:
            return 409
        name = order.get("adapter", "")
        if not name:
            return 200 if order["op"] == "load" else 400
        if order["op"] == "load":
            version = order.get("version") or self.latest_versions.get(name, 1)
            if self.adapters.get(name) == version:
                return 200
            self.loading[name] = now() + 0.25, version
        else:
            self.adapters.pop(name, None)
        self.orders += 1
        return 202

    def serve(self, handler: Handler, body: bytes) -> None:
        """Run a request of a consumer."""
        request_id = handler.headers.get("X-Request-Id", "")
        self.arrivals.append((now(), request_id, handler.path))
        self.record.write(f"server {self.name} gets {request_id} {handler.command} {handler.path}")
        model, _, adapter = handler.headers.get("X-Model", "").partition("/")
        self.finish_loads()
        version = self.adapters.get(adapter, 0)
        expected = handler.headers.get("X-Expect-Version")
        is_held = model == MODEL and (version or not adapter) and expected in (None, str(version))
        if model and not is_held:
            handler.answer(421)
            return
        self.runs.append((now(), request_id, handler.path))
        if handler.path == self.poison:
            self.poisoned_at.append(now())
            threading.Thread(target=self.crash_for, args=(self.back_s,), daemon=True).start()
            time.sleep(1.0)
            raise ConnectionError("crashed")
        time.sleep(self.work_s)
        headers = {"X-Request-Id": request_id, "X-Response-Seal": f"seal.{self.name}"}
        if not model:
            handler.answer(200, b"done", headers)
            return
        self.version_runs.append((now(), request_id, adapter, version))
        self.record.write(f"server {self.name} runs {request_id} on {adapter}@{version}")
        with self.lock:
            self.running[adapter] += 1
        try:
            self.stream(handler, headers | {"X-Weight-Versions": str(version)})
        finally:
            with self.lock:
                self.running[adapter] -= 1

    def stream(self, handler: Handler, headers: dict) -> None:
        """Send a stream of events; the last part of the path is their number."""
        handler.send_response_only(200)
        headers = headers | {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        for name, value in headers.items():
            handler.send_header(name, value)
        handler.end_headers()
        last = handler.path.rpartition("/")[2]
        for number in range(1, (int(last) if last.isdigit() else 2) + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            handler.wfile.flush()
            time.sleep(EVENT_INTERVAL_S)
        handler.wfile.write(b"0\r\n\r\n")
        handler.wfile.flush()


class Entry:
    """One entry as its own process, started with the command of the deploy file."""

    def __init__(self, name: str, folder: Path, store_port: int) -> None:
        self.name, self.folder = name, folder
        self.port, self.ready_port, self.inner_port, self.relay_port = free_ports(4)
        self.settings = folder / f"{name}.toml"
        self.settings.write_text(
            f'name = "{name}"\nzone = "north-a"\nhost = "{HOST}"\nstore = "{HOST}:{store_port}"\n\n'
            f'[listen]\ncallers = "{HOST}:{self.port}"\nready = "{HOST}:{self.ready_port}"\n'
            f"inner_port = {self.inner_port}\nrelay_port = {self.relay_port}\n\n"
            "[bounds]\nstop_s = 8\nretry_ratio = 0.2\nretry_slack = 58\nretry_window_s = 10\n"
            "lease_ms = 3000\nversion_ms = 5000\nengines_check_epochs = true\n"
            '[regions]\n"north-a" = "north"\n"south-a" = "south"\n'
        )
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        variables = {"POPLARHOIST_BOOT": str(self.settings), "PYTHONPATH": "target/deps"}
        variables |= {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ENTRY_COMMAND, cwd=ROOT, env=variables, stdout=log, stderr=subprocess.STDOUT
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Return whether the entry says that it is ready."""
        connection = http.client.HTTPConnection(HOST, self.ready_port, timeout=1)
        try:
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class Consumer:
    """Sends requests, each over a new connection, and keeps what came back.

    Attributes
    ----------
    answers : dict
        Time of sending, kind, status (0 for none) and time of the answer, by request id.
    """

    def __init__(self, record: Record, prefix: str = "r") -> None:
        self.record, self.prefix = record, prefix
        self.answers: dict[str, tuple[float, str, int, float]] = {}
        self.lock = threading.Lock()
        self.count = 0

    def send(
        self,
        entry: Entry,
        method: str,
        path: str,
        kind: str = "",
        adapter: str = "",
        body: bytes | None = None,
        deadline_ms: int = 4000,
        give_up_s: float | None = None,
    ) -> int:
        """Send a request and read its answer; return the status, 0 for none.

        With ``give_up_s`` the consumer closes its connection if no answer is there by then.
        """
        with self.lock:
            self.count += 1
            request_id = f"{self.prefix}{self.count:05d}"
        headers = {"Host": ROUTE_HOST, "X-Request-Id": request_id}
        headers["X-Deadline-Ms"] = str(deadline_ms)
        if adapter:
            headers |= {"X-Model": f"{MODEL}/{adapter}", "X-Token-Usage": "100,8"}
            headers["X-Prompt-Prefix"] = f"{request_id.encode().hex()}:100"
        timeout_s = give_up_s if give_up_s is not None else deadline_ms / 1000 + 1.0
        connection = http.client.HTTPConnection(HOST, entry.port, timeout=timeout_s)
        sent_at, status = now(), 0
        self.record.write(f"consumer sends {request_id} {method} {path} {adapter} to {entry.name}")
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            response.read()
            status = response.status
            hint = response.headers.get("Retry-After", "")
            note = f" Retry-After {hint}" if hint else ""
        except (OSError, http.client.HTTPException) as error:
            note = f" {type(error).__name__}"
        finally:
            connection.close()
        ended_at = now()
        self.answers[request_id] = sent_at, kind, status, ended_at
        self.record.write(f"consumer ends {request_id}: {status or 'no answer'}{note}")
        return status


def free_ports(count: int) -> list[int]:
    """Return ports at which nothing listens, for TCP and UDP.

    They are below those from which the kernel takes ports for outgoing connections, so that none
    of these has a port when an entry starts again.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(12000, 32000)
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
        if port not in TAKEN_PORTS:
            TAKEN_PORTS.add(port)
            ports.append(port)
    return ports


def route(prefix: str, service: str, kind: str, **changes) -> dict:
    """Return a route of the desired state."""
    plain = {"name": prefix.strip("/") or "all", "host": ROUTE_HOST, "pathPrefix": prefix}
    plain |= {"routeKind": kind, "service": service, "priority": 1, "maxAttempts": 2}
    plain |= {"timeoutMs": 4000, "targetLatencyMs": 1000}
    return plain | changes


def desired_state(version: int, routes: list[dict], adapter_slots: int = 8) -> dict:
    """Return a desired state with a service of engines and a plain one."""
    model = {"name": MODEL, "weightsMb": 65500, "loadS": 0.6, "adapters": 3000, "adapterMb": 100}
    engine = {"slots": 64, "kvCapacity": 232000, "weightsMb": 67000, "adapterSlots": adapter_slots}
    engine |= {"loadsPerS": 4.2, "models": [model]}
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
    limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "models", "healthPath": "/health", "maxConns": 370, "engine": engine},
            {"name": "desk", "healthPath": "/health", "maxConns": 110},
        ],
        "limits": limits,
    }


class Site:
    """A store, servers and entries; ends all that it has started.

    Attributes
    ----------
    is_troubled : bool
        Whether the case is played with its disruption.
    """

    def __init__(self, folder: Path, is_troubled: bool) -> None:
        self.is_troubled = is_troubled
        self.record = Record(folder)
        self.record.write(f"disruption: {'yes' if self.is_troubled else 'no'}")
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.servers: dict[str, Server] = {}
        self.entries: list[Entry] = []

    def add_server(self, name: str, service: str, **options) -> Server:
        """Add a server."""
        server = self.servers[name] = Server(self.store, name, service, **options)
        return server

    def start_entries(self, count: int) -> None:
        """Start entries and wait until all of them are ready."""
        for number in range(1, count + 1):
            entry = Entry(f"front-{number}", self.temporary, self.store.port)
            self.entries.append(entry)
            entry.start()
        for entry in self.entries:
            self.wait_ready(entry)

    def wait_ready(self, entry: Entry, seconds: float = 20.0) -> None:
        """Wait until an entry says that it is ready."""
        ends_at = now() + seconds
        while not entry.is_ready():
            if now() > ends_at:
                raise RuntimeError(f"{entry.name} did not become ready")
            time.sleep(0.05)
        self.record.write(f"entry {entry.name} is ready")

    def stop(self) -> None:
        """End all processes that were started here."""
        for entry in self.entries:
            entry.signal(signal.SIGCONT)
            entry.signal(signal.SIGKILL)
            if entry.process is not None:
                entry.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def end_early(number: int, frame) -> None:
    """Let a signal end the case, so that it ends the processes that it has started."""
    raise RuntimeError(f"ended by signal {number}")


def run_case(folder: Path, play, is_troubled: bool) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not be played."""
    site = Site(folder, is_troubled)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, end_early)
    signal.alarm(LONGEST_S)
    try:
        is_broken = play(site)
    except Exception as error:
        site.record.write(f"could not be played: {error!r}")
        print(f"could not be played: {error!r}")
        status = 2
    else:
        status = 1 if is_broken else 0
        site.record.write("the rule was broken" if is_broken else "the rule held")
        print("the rule was broken" if is_broken else "the rule held")
    finally:
        site.stop()
    sys.stdout.flush()
    os._exit(status)
