"""Stand-ins for the second review: the platform's store, engines, callers, and one entry's process.

They follow PROTOCOL.md and DEPLOY.md of the users' pages, use the standard library alone, and run in one
event loop. All addresses are loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
# Items of one page of a list.
PAGE_ITEMS = 500
MODEL = "m0"
MODEL_SERVICE, DESK_SERVICE = "ramp-models", "visit-desk"
ROUTE_HOST = "site.example"
# Sizes and times of the sheet of qmw-ramps.
ADAPTER_SLOTS = 8
ENGINE_SLOTS = 64
ADAPTER_LOAD_S = 0.25
LOADS_AT_FULL_SPEED = 8
LOADS_PER_ENGINE = 4
HELD_RECENTLY_FACTOR = 0.1
REPORT_LAG_S = 0.2
HELD_CONNECTIONS_BACKLOG = 1024
START_S = 20.0
# A case may take 120 s.
LONGEST_CASE_S = 117.0
# Seconds between two looks at the memory of a process, and from its end to its next start.
MEMORY_POLL_S = 0.02
RESTART_DELAY_S = 0.5


class Record:
    """The file record.txt of a case."""

    def __init__(self, directory: Path) -> None:
        self.file = (directory / "record.txt").open("w", encoding="utf-8")
        self.began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self.file.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")

    def conclude(self, text: str) -> None:
        """Write a line, and print it too."""
        self.write(text)
        self.file.flush()
        print(text)


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP."""
    ports: list[int] = []
    while len(ports) < count:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((HOST, 0))
            port = tcp.getsockname()[1]
            with contextlib.suppress(OSError):
                udp.bind((HOST, port))
                if port not in ports:
                    ports.append(port)
    return ports


class Call:
    """A request that a stand-in has read."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        parts = urlsplit(target)
        self.path = unquote(parts.path)
        self.query = {name: values[0] for name, values in parse_qs(parts.query).items()}

    def header(self, name: str) -> str:
        """Return the value of a header; empty if there is none."""
        return self.headers.get(name.lower(), "")


async def read_call(reader: asyncio.StreamReader) -> Call | None:
    """Read a request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers.setdefault(name.lower(), value.strip())
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readline() or b"0", 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        elif headers.get("content-length"):
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Call(method, target, headers, body)


def response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Return the bytes of a whole response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def json_response(status: int, data: object, headers: dict[str, str] | None = None) -> bytes:
    """Return the bytes of a response with a JSON body."""
    pairs = {"Content-Type": "application/json"} | (headers or {})
    return response(status, json.dumps(data).encode(), pairs)


class Server:
    """An HTTP/1.1 server; a subclass answers calls in `answer`."""

    port = 0

    async def listen(self) -> None:
        """Begin to listen at a free port, or at the one that is set."""
        self.server = await asyncio.start_server(
            self.serve, HOST, self.port, limit=4 << 20, backlog=HELD_CONNECTIONS_BACKLOG
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls on a connection."""
        try:
            while (call := await read_call(reader)) is not None:
                if not await self.answer(call, reader, writer):
                    break
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, call: Call, reader, writer) -> bool:
        """Answer a call; return whether the connection stays open."""
        raise NotImplementedError


class Store(Server):
    """The platform's object store.

    Parameters
    ----------
    stale_s : float
        Seconds by which calls with `allowStale` are behind.
    """

    def __init__(self, stale_s: float = 0.0) -> None:
        self.stale_s = stale_s
        self.revision = 100
        self.objects: dict[tuple[str, str], dict] = {}
        # Time, revision, kind, object and whether it was removed.
        self.history: list[tuple[float, int, str, dict, bool]] = []
        self.changed = asyncio.Event()

    def put(self, kind: str, name: str, content: dict) -> float:
        """Write an object as the operator or an engine does; return the time."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == content:
            return time.monotonic()
        created_at = known["metadata"]["createRev"] if known else self.revision + 1
        self.revision += 1
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "createRev": created_at,
                "finalizers": [],
                "deleting": False,
            },
            "spec": content,
            "status": {},
        }
        self.objects[kind, name] = item
        return self.note(kind, item, False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            metadata = item["metadata"] | {"revision": self.revision}
            self.note(kind, item | {"metadata": metadata}, True)

    def note(self, kind: str, item: dict, is_removed: bool) -> float:
        """Record a change and wake the watches; return the time."""
        at = time.monotonic()
        self.history.append((at, self.revision, kind, item, is_removed))
        self.changed.set()
        self.changed = asyncio.Event()
        return at

    async def answer(self, call: Call, reader, writer) -> bool:
        """Answer a call."""
        parts = call.path.split("/")[3:]
        if call.method == "GET" and "watch" in call.query:
            data = await self.watch(parts[0], call.query)
            writer.write(json_response(200, data))
        elif call.method == "GET" and len(parts) == 1:
            writer.write(json_response(200, self.page(parts[0], call.query.get("after", ""))))
        elif call.method == "GET":
            item = self.objects.get((parts[0], parts[1]))
            writer.write(json_response(200, item) if item else json_response(404, {}))
        else:
            writer.write(json_response(*self.change(call, parts)))
        await writer.drain()
        return True

    def page(self, kind: str, after: str) -> dict:
        """Return a page of the objects of a kind."""
        names = sorted(name for known, name in self.objects if known == kind and name > after)
        items = [self.objects[kind, name] for name in names[:PAGE_ITEMS]]
        is_cut = len(names) > PAGE_ITEMS
        return {"items": items, "truncated": is_cut, "currentRev": self.revision}

    async def watch(self, kind: str, query: dict[str, str]) -> dict:
        """Return the changes since a revision as soon as there are any."""
        since = int(query["watch"])
        lag_s = self.stale_s if query.get("allowStale") == "1" else 0.0
        ends_at = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            now = time.monotonic()
            seen = [change for change in self.history if change[0] <= now - lag_s]
            # A reader is never shown less than it has asked from.
            reached = max([since, *(change[1] for change in seen)])
            events = [
                {"object": item, "tombstone": is_removed}
                for _, revision, changed, item, is_removed in seen
                if changed == kind and revision > since
            ]
            if events or now >= ends_at:
                return {"events": events, "currentRev": reached}
            changed = self.changed
            step_s = min(ends_at - now, 0.02 if lag_s else ends_at - now)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), step_s)

    def change(self, call: Call, parts: list[str]) -> tuple[int, dict]:
        """Carry out a call that writes; return its status and data."""
        data = json.loads(call.body) if call.body else {}
        metadata = data.get("metadata", {})
        kind, name = parts[0], parts[1] if len(parts) > 1 else metadata.get("name", "")
        known = self.objects.get((kind, name))
        wanted = metadata.get("revision") or int(call.query.get("revision", 0))
        if call.method == "POST":
            if known is not None:
                return 409, known
        elif known is None:
            return 404, {}
        elif wanted and wanted != known["metadata"]["revision"]:
            return 409, known
        if call.method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if len(parts) > 2:
            return 200, known
        self.put(kind, name, data.get("spec", {}))
        return 201 if call.method == "POST" else 200, self.objects[kind, name]


class WeightStore:
    """Counts the adapters on their way from the weight store over all engines."""

    def __init__(self) -> None:
        self.coming = 0

    async def fetch(self) -> None:
        """Wait as long as an adapter takes, in proportion to those on their way beyond eight."""
        self.coming += 1
        done = 0.0
        try:
            while done < 1.0:
                step_s = 0.01
                await asyncio.sleep(step_s)
                slowness = max(1.0, self.coming / LOADS_AT_FULL_SPEED)
                done += step_s / (ADAPTER_LOAD_S * slowness)
        finally:
            self.coming -= 1


class Engine(Server):
    """An engine of a service.

    Attributes
    ----------
    ran : dict
        For each request that it began to run, by id: when.
    arrived : list
        Time, id and result of each request that has arrived.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        record: Record,
        weights: WeightStore | None = None,
        slots: int = ENGINE_SLOTS,
        work_s: float = 0.03,
        events: int = 13,
        event_s: float = 0.022,
        version: str = "v1",
    ) -> None:
        self.name, self.service, self.store, self.record = name, service, store, record
        self.weights = weights
        self.slots, self.work_s = slots, work_s
        self.events, self.event_s = events, event_s
        self.version = version
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.order_count = self.epoch = self.running = 0
        self.adapters: set[str] = set()
        self.coming: set[str] = set()
        self.held_before: set[str] = set()
        self.in_use: dict[str, int] = {}
        self.leaving_adapters: set[str] = set()
        self.ran: dict[str, float] = {}
        self.arrived: list[tuple[float, str, str]] = []
        self.more_headers: dict[str, str] = {}
        self.open_writers: set[asyncio.StreamWriter] = set()

    @property
    def is_model_engine(self) -> bool:
        """Whether it runs a model."""
        return self.weights is not None

    def description(self) -> dict:
        """Return what it says of itself in the store."""
        data: dict[str, object] = {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "amman-a",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "seq": self.order_count,
            "born": self.born,
        }
        if self.is_model_engine:
            data |= {"stage": "both", "models": self.models()}
        return data

    def models(self) -> list[dict]:
        """Return what it holds."""
        names = [f"{name}@1" for name in sorted(self.adapters)]
        return [{"name": MODEL, "version": 1, "adapters": names}]

    async def start(self) -> None:
        """Listen and register; write the record again at each heartbeat."""
        await self.listen()
        self.register()
        self.heartbeat = asyncio.create_task(self.beat())

    def register(self) -> float:
        """Write its record to the store; return the time."""
        return self.store.put("servers", self.name, self.description())

    async def beat(self) -> None:
        """Register again at each heartbeat."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.name and ("servers", self.name) in self.store.objects:
                self.register()

    def end(self) -> None:
        """End as a process does that exits: its connections close, its port is free."""
        self.heartbeat.cancel()
        self.server.close()
        for writer in list(self.open_writers):
            writer.transport.abort()

    async def serve(self, reader, writer) -> None:
        """Answer the calls on a connection."""
        self.open_writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.open_writers.discard(writer)

    async def answer(self, call: Call, reader, writer) -> bool:
        """Answer a call."""
        if call.path == "/api/report":
            writer.write(json_response(200, self.report(), self.more_headers))
        elif call.path == "/api/order":
            writer.write(json_response(self.order(json.loads(call.body), call), {}))
        elif call.path == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(response(status, b"", {"X-Instance-Id": self.name} | self.more_headers))
        else:
            return await self.run_request(call, reader, writer)
        await writer.drain()
        return True

    def report(self) -> dict:
        """Return its report."""
        return {
            "stage": "both",
            "models": self.models(),
            "busy": False,
            "seq": self.order_count,
            "born": self.born,
            "numWaiting": 0,
            "numRunning": self.running,
            "kvUsed": 0,
            "kvTotal": 232000,
            "handles": 0,
            "coming": [f"{MODEL}/{name}@1" for name in sorted(self.coming)],
        }

    def order(self, order: dict, call: Call) -> int:
        """Carry out an order; return the status."""
        self.record.write(f"order at {self.name} {json.dumps(order)}")
        if call.header("x-target-instance") not in ("", self.name):
            return 421
        epoch = order.get("fenceToken")
        if epoch is None or not order.get("holder"):
            return 400
        if epoch < self.epoch:
            return 412
        self.epoch = epoch
        if "expected" in order and order["expected"] != self.order_count:
            return 409
        adapter = order.get("adapter", "")
        if not adapter:
            return 200 if order["op"] == "load" else 409
        if order["op"] == "unload":
            if adapter not in self.adapters:
                return 200
            self.order_count += 1
            if not self.in_use.get(adapter):
                self.adapters.discard(adapter)
                return 200
            self.leaving_adapters.add(adapter)
            return 202
        if adapter in self.adapters or adapter in self.coming:
            return 200
        if len(self.coming) >= LOADS_PER_ENGINE:
            return 409
        if len(self.adapters) + len(self.coming) >= ADAPTER_SLOTS:
            self.record.write(f"OVERFULL {self.name}")
            return 409
        self.coming.add(adapter)
        self.order_count += 1
        asyncio.create_task(self.load(adapter))
        return 202

    async def load(self, adapter: str) -> None:
        """Load an adapter."""
        if adapter in self.held_before:
            await asyncio.sleep(ADAPTER_LOAD_S * HELD_RECENTLY_FACTOR)
        else:
            await self.weights.fetch()
        self.held_before.add(adapter)
        self.coming.discard(adapter)
        self.adapters.add(adapter)

    async def run_request(self, call: Call, reader, writer) -> bool:
        """Run a request, or reject it."""
        request_id = call.header("x-request-id")
        echo = {"X-Request-Id": request_id} if request_id else {}
        echo |= self.more_headers
        model, _, adapter = call.header("x-model").partition("/")
        if call.header("x-target-instance") not in ("", self.name):
            return await self.reject(writer, 421, request_id, {"X-Instance-Id": self.name} | echo)
        if adapter and adapter not in self.adapters:
            return await self.reject(writer, 421, request_id, echo)
        if self.running >= self.slots or (adapter and adapter in self.leaving_adapters):
            return await self.reject(writer, 503, request_id, {"X-Not-Executed": "1"} | echo)
        self.arrived.append((time.monotonic(), request_id, "ran"))
        after = call.header("last-event-id")
        self.record.write(
            f"{self.name} ({self.version}) runs {request_id} {call.method} {call.target[:40]}"
            + (f" after event {after}" if after else "")
        )
        self.ran.setdefault(request_id, time.monotonic())
        self.running += 1
        self.in_use[adapter] = self.in_use.get(adapter, 0) + 1
        work = asyncio.create_task(self.work(call, echo, writer, bool(model)))
        # Most engines drop a request when its connection closes.
        closed = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self.record.write(f"{self.name} drops {request_id}: connection closed")
                return False
            work.result()
            # The entry uses a new connection for each request, and closes it.
            await asyncio.wait({closed}, timeout=HEARTBEAT_S)
            return False
        finally:
            self.running -= 1
            self.in_use[adapter] -= 1
            if adapter in self.leaving_adapters and not self.in_use[adapter]:
                self.leaving_adapters.discard(adapter)
                self.adapters.discard(adapter)
            for task in (work, closed):
                task.cancel()

    async def reject(self, writer, status: int, request_id: str, headers: dict[str, str]) -> bool:
        """Turn a request away."""
        self.arrived.append((time.monotonic(), request_id, str(status)))
        self.record.write(f"{self.name} rejects {request_id} with {status}")
        writer.write(response(status, b"", headers))
        await writer.drain()
        return True

    async def work(self, call: Call, echo: dict[str, str], writer, is_stream: bool) -> None:
        """Run a request to its end; the connection closes after it."""
        headers = {"X-Response-Seal": f"seal-{self.name}"} | echo
        if not is_stream:
            await asyncio.sleep(self.work_s)
            body = b"done " + call.header("x-request-id").encode() + b" " + call.body
            writer.write(response(200, body, headers))
            await writer.drain()
            return
        headers |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        first = int(call.header("last-event-id") or 0) + 1
        await asyncio.sleep(self.work_s)
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers.items())]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.version} {self.name} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def route(prefix: str, kind: str, service: str, timeout_ms: int, aim_ms: int, **more) -> dict:
    """Return a route of the configuration."""
    fields = {
        "name": prefix.strip("/"),
        "host": ROUTE_HOST,
        "pathPrefix": prefix,
        "routeKind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": aim_ms,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "sticky": kind == "streaming",
        "resumable": False,
    }
    return fields | ({"gapAimMs": 400} if kind == "streaming" else {}) | more


def configuration(version: int = 7, more_routes: tuple[dict, ...] = ()) -> dict:
    """Return a desired state with the routes and limits of qmw-ramps."""
    engine = {
        "slots": ENGINE_SLOTS,
        "kvCapacity": 232000,
        "kvTokenBytes": 327680,
        "models": [
            {
                "name": MODEL,
                "weightsMb": 65500.0,
                "loadS": 0.6,
                "adapters": 3000,
                "adapterMb": 40.0,
            }
        ],
        "weightsMb": 67100.0,
        "adapterSlots": ADAPTER_SLOTS,
        "loadsPerS": 4.2,
    }
    return {
        "version": version,
        "routes": [
            route("/plan/", "streaming", MODEL_SERVICE, 6000, 1000, maxAttempts=2, resumable=True),
            route("/urgent/", "streaming", MODEL_SERVICE, 8000, 1000),
            route("/chat/", "streaming", MODEL_SERVICE, 15000, 800, maxAttempts=2, resumable=True),
            route("/book/", "unsafe", DESK_SERVICE, 800, 300),
            route("/lookup/", "safe", DESK_SERVICE, 800, 300, maxAttempts=2),
            *more_routes,
        ],
        "services": [
            {"name": MODEL_SERVICE, "healthPath": "/health", "maxConns": 370, "engine": engine},
            {"name": DESK_SERVICE, "healthPath": "/health", "maxConns": 110},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


class Entry:
    """One entry of the system as its own process, started as the deploy file says."""

    def __init__(self, name: str, directory: Path, store: Store, memory_mb: int = 300) -> None:
        self.name, self.memory_limit_mb = name, memory_mb
        self.port, self.ready_port, self.inner_port, self.relay_port = free_ports(4)
        self.settings = directory / f"{name}.toml"
        self.log_path = directory / f"{name}.log"
        # The template deploy/settings.toml, filled in as for a machine of qmw-ramps.
        self.settings.write_text(f"""name = "{name}"
zone = "amman-a"
host = "{HOST}"
store = "{HOST}:{store.port}"
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
first_start = true
memory_mb = {memory_mb}
max_fds = 4100

[listen]
callers = "{HOST}:{self.port}"
ready = "{HOST}:{self.ready_port}"
inner_port = {self.inner_port}
relay_port = {self.relay_port}

[bounds]
stop_s = 8
retry_ratio = 0.2
retry_slack = 58
retry_window_s = 10
lease_ms = 3000
version_ms = 5000
engines_check_epochs = true

[regions]
"amman-a" = "amman"
"irbid-a" = "irbid"
"amman-b" = "amman"
""")
        self.process: subprocess.Popen | None = None

    def launch(self) -> None:
        """Start the process."""
        variables = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        variables |= {"POPLARHOIST_BOOT": str(self.settings), "PYTHONPATH": "target/deps"}
        with self.log_path.open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-m", "poplarhoist.platform"],
                cwd=ROOT,
                env=variables,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def drop_first_start(self) -> None:
        """Drop from the settings that the whole system starts for the first time."""
        self.settings.write_text(self.settings.read_text().replace("first_start = true\n", ""))

    async def wait_ready(self) -> None:
        """Wait until it says that it is ready.

        Raises
        ------
        TimeoutError
            If it does not in time.
        """
        ends_at = time.monotonic() + START_S
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} is not ready")

    async def is_ready(self) -> bool:
        """Ask for its readiness as the platform does."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            answer = await Caller(self.ready_port).send("GET", "/api/ready", "", timeout_s=1.0)
            return answer.status == 200
        return False

    def memory_mb(self, field: str = "VmRSS") -> float:
        """Return the resident memory of the process; 0 once it has ended."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith(field + ":"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Platform:
    """Kills a process that exceeds the memory of its machine, and starts it again.

    Attributes
    ----------
    kills : int
        Ends of the process.
    peak_mb : float
        Most memory that it has held.
    """

    def __init__(self, record: Record, entry: Entry) -> None:
        self.record, self.entry = record, entry
        self.kills = 0
        self.peak_mb = 0.0

    async def watch(self) -> None:
        """Watch the process until the case ends."""
        entry = self.entry
        while True:
            await asyncio.sleep(MEMORY_POLL_S)
            memory_mb = entry.memory_mb()
            self.peak_mb = max(self.peak_mb, memory_mb)
            if memory_mb <= entry.memory_limit_mb and entry.process.poll() is None:
                continue
            self.kills += 1
            self.record.conclude(
                f"{entry.name} holds {memory_mb:.0f} MB of {entry.memory_limit_mb}: killed"
            )
            entry.stop()
            entry.drop_first_start()
            await asyncio.sleep(RESTART_DELAY_S)
            entry.launch()


class Answer:
    """What a caller has got: status 0 if the connection ended without a whole answer."""

    def __init__(self, status: int = 0, headers: dict[str, str] | None = None, body: bytes = b""):
        self.status, self.headers, self.body = status, headers or {}, body


class Caller:
    """A caller that uses a new connection for each request."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def connect(self, timeout_s: float = 1.0):
        """Open a connection; consumers allow it one second."""
        return await asyncio.wait_for(
            asyncio.open_connection(HOST, self.port, limit=4 << 20), timeout_s
        )

    @staticmethod
    def head(method: str, target: str, request_id: str, headers: dict[str, str], body: bytes):
        """Return the bytes of a request."""
        pairs = {"Host": ROUTE_HOST}
        if request_id:
            pairs["X-Request-Id"] = request_id
        pairs |= headers
        lines = [f"{method} {target} HTTP/1.1", *(f"{n}: {v}" for n, v in pairs.items())]
        lines += [f"Content-Length: {len(body)}", "", ""]
        return "\r\n".join(lines).encode() + body

    async def send(
        self,
        method: str,
        target: str,
        request_id: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 10.0,
    ) -> Answer:
        """Send a request and read the whole answer; leave after a while.

        Raises
        ------
        OSError, TimeoutError
            If no connection is made, or the answer does not come.
        """
        reader, writer = await self.connect()
        try:
            writer.write(self.head(method, target, request_id, headers or {}, body))
            await writer.drain()
            return await asyncio.wait_for(read_answer(reader), timeout_s)
        finally:
            writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read a whole answer; one that breaks off has status 0."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split()[1])
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readline(), 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        return Answer(status, headers, body)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Answer()


def run_case(directory: Path, case) -> None:
    """Run a case in a temporary folder and exit with its status; 2 if it could not run.

    The process ends at once then: open tasks are not waited for, as one that misses its cancellation
    would keep it.
    """
    record = Record(directory)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.conclude(f"trouble: {has_trouble}")
    scratch = tempfile.TemporaryDirectory()
    entries: list[Entry] = []

    def finish(status: int, reason: str = "") -> None:
        """End all processes that the case has started, and this one."""
        if reason:
            record.conclude(f"could not run: {reason}")
        for entry in entries:
            entry.stop()
            if "KEEP_LOGS" in os.environ:
                (directory / entry.log_path.name).write_bytes(entry.log_path.read_bytes())
        scratch.cleanup()
        record.conclude(f"exit status {status}")
        record.file.close()
        sys.stdout.flush()
        os._exit(status)

    async def run() -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(LONGEST_CASE_S, finish, 2, "out of time")
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, finish, 2, "ended by a signal")
        try:
            status = await case(record, Path(scratch.name), entries, has_trouble)
        except Exception as error:
            finish(2, f"{type(error).__name__}: {error}")
        finish(status)

    asyncio.run(run())
