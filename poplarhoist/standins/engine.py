"""Stand-in for a model engine with adapter slots, and its fault switches."""

import uuid
from collections.abc import Iterator

import eventlet
import orjson
import urllib3
from attrs import define, field
from werkzeug.wrappers import Request, Response

from poplarhoist import wire
from poplarhoist.clock import Clock
from poplarhoist.models import Endpoint, EndpointReport, Liveness
from poplarhoist.settings.models import PlatformSettings
from poplarhoist.standins.batching import Batcher, Stream, token_text
from poplarhoist.standins.web import App, reply

STORE_TIMEOUT_S = 60.0
DEFAULT_TOKENS = 16
MAX_TOKENS = 4096
POISON = "crash-the-engine"
RESTART_S = 1.0


@define
class Faults:
    """Fault switches.

    Attributes
    ----------
    fail_loads : int
        So many of the next loads fail.
    report_lag_s : float
        Age of the reports that the engine gives.
    silent : bool
        Streams stop sending on the connections that are open now; new ones work.
    wrong_adapter, wrong_request : int
        So many of the next answers name another adapter or request.
    down : bool
        The engine refuses everything, as if nothing listened.
    """

    fail_loads: int = 0
    report_lag_s: float = 0.0
    silent: bool = False
    wrong_adapter: int = 0
    wrong_request: int = 0
    down: bool = False


@define
class EngineStandin:
    """State of the stand-in.

    Attributes
    ----------
    slots : dict
        State by adapter version that is loading or resident.
    violations : list
        What an engine must never see, such as an eviction of an adapter in use.
    """

    endpoint: Endpoint
    platform: PlatformSettings
    clock: Clock
    step_s: float = 0.01
    faults: Faults = field(factory=Faults)
    boot: str = field(factory=lambda: uuid.uuid4().hex[:8])
    state: Liveness = Liveness.LIVE
    epoch: int = 0
    slots: dict[str, str] = field(factory=dict)
    batcher: Batcher = field(init=False)
    reports: list[tuple[float, EndpointReport]] = field(factory=list)
    violations: list[str] = field(factory=list)
    silenced: set[int] = field(factory=set)
    connections: int = 0
    loads: int = 0
    crashes: int = 0
    store: urllib3.PoolManager = field(
        factory=lambda: urllib3.PoolManager(retries=False, timeout=STORE_TIMEOUT_S)
    )

    def __attrs_post_init__(self) -> None:
        self.batcher = Batcher(self.endpoint.batch, self.step_s)

    def app(self) -> App:
        """Return the WSGI application."""
        return App(
            [
                ("POST", "/v1/completions", self.complete),
                ("POST", "/v1/chat/completions", self.complete),
                ("GET", "/v1/streams/<stream_id>", self.resume),
                ("DELETE", "/v1/streams/<stream_id>", self.cancel),
                ("POST", "/orders", self.order),
                ("GET", "/report", self.report),
                ("POST", "/control", self.control),
                ("GET", "/control/state", self.show_state),
            ]
        )

    def run(self) -> None:
        """Generate and sample reports until the process ends."""
        eventlet.spawn(self.batcher.run)

    def refusal(self, reason: str, status: int = 409) -> Response:
        """Refuse a request that was not run."""
        return reply({"reason": reason}, status, {"X-Ran": "no"})

    def complete(self, request: Request) -> Response:
        """Run a completion."""
        if self.faults.down:
            raise ConnectionResetError("down")
        ref = request.headers["X-Adapter"]
        if self.state is not Liveness.LIVE:
            return self.refusal("leaving", 503)
        if self.slots.get(ref) != "resident":
            return self.refusal("adapter-not-resident")
        body = request.get_json()
        chat = "messages" in body
        if POISON in request.get_data(as_text=True):
            self.crash()
            raise ConnectionResetError("crashed")
        stream = Stream(
            stream_id=request.headers["X-Stream-Id"],
            request_id=request.headers["X-Request-Id"],
            ref=ref,
            tokens=min(MAX_TOKENS, int(body.get("max_tokens") or DEFAULT_TOKENS)),
            chat=chat,
            priority=int(request.headers.get("X-Priority", 0)),
        )
        self.batcher.submit(stream)
        headers = self.answer_headers(stream)
        if body.get("stream"):
            return Response(self.send(stream, 0), 200, headers, content_type="text/event-stream")
        for _ in stream.read(0):
            pass
        if stream.cancelled:
            raise ConnectionResetError("cancelled")
        return reply(whole_answer(stream), 200, headers)

    def answer_headers(self, stream: Stream) -> dict[str, str]:
        """Return the headers that tell whose answer this is."""
        headers = {
            "X-Request-Id": stream.request_id,
            "X-Adapter": stream.ref,
            "X-Stream-Id": stream.stream_id,
        }
        if self.faults.wrong_adapter > 0:
            self.faults.wrong_adapter -= 1
            headers["X-Adapter"] = "another@1"
        if self.faults.wrong_request > 0:
            self.faults.wrong_request -= 1
            headers["X-Request-Id"] = "another"
        return headers

    def send(self, stream: Stream, offset: int) -> Iterator[bytes]:
        """Yield a stream's events on one connection, which may be silenced."""
        self.connections += 1
        connection = self.connections
        boot = self.boot
        for data in stream.read(offset):
            if boot != self.boot or self.faults.down:
                raise ConnectionResetError("restarted")
            while connection in self.silenced:
                eventlet.sleep(0.05)
            yield data
        if stream.cancelled or boot != self.boot:
            raise ConnectionResetError("cancelled")

    def resume(self, request: Request, stream_id: str) -> Response:
        """Send a stream again from an offset, counted in events."""
        stream = self.batcher.streams.get(stream_id)
        if self.faults.down:
            raise ConnectionResetError("down")
        if stream is None or stream.cancelled:
            return reply({"reason": "unknown stream"}, 404)
        offset = int(request.args.get("offset", 0))
        headers = self.answer_headers(stream)
        return Response(self.send(stream, offset), 200, headers, content_type="text/event-stream")

    def cancel(self, request: Request, stream_id: str) -> Response:
        """Cancel a stream."""
        return reply({"cancelled": self.batcher.cancel(stream_id)})

    def order(self, request: Request) -> Response:
        """Take an order to load or evict."""
        if self.faults.down:
            raise ConnectionResetError("down")
        data = request.get_json()
        if self.endpoint.checks_fencing and data["epoch"] < self.epoch:
            return reply({"outcome": "fenced", "reason": f"epoch {self.epoch}"})
        self.epoch = max(self.epoch, data["epoch"])
        if data["kind"] == "fence":
            return reply({"outcome": "done"})
        if data["kind"] == "evict":
            return self.evict(data["ref"])
        return self.load(data["ref"], data.get("replaces"))

    def evict(self, ref: str) -> Response:
        """Drop an adapter version."""
        if self.slots.pop(ref, None) is None:
            return reply({"outcome": "refused", "reason": "not resident"})
        self.check_unused(ref)
        return reply({"outcome": "done"})

    def check_unused(self, ref: str) -> None:
        """Record a violation if an evicted adapter was in use, and break its requests."""
        for stream in (*self.batcher.running, *self.batcher.waiting):
            if stream.ref == ref and not stream.cancelled:
                self.violations.append(f"evicted {ref} in use by {stream.request_id}")
                stream.cancelled = True

    def load(self, ref: str, replaces: str | None) -> Response:
        """Load an adapter version from the weight store, in place of another one if named."""
        if ref in self.slots:
            return reply({"outcome": "done", "reason": "already there"})
        if replaces is not None and self.slots.pop(replaces, None) is not None:
            self.check_unused(replaces)
        if len(self.slots) >= self.endpoint.slots:
            return reply({"outcome": "refused", "reason": "no slot"})
        self.slots[ref] = "loading"
        boot = self.boot
        self.loads += 1
        loaded = self.fetch_weights(ref)
        if boot != self.boot:
            raise ConnectionResetError("restarted")
        if not loaded:
            self.slots.pop(ref, None)
            return reply({"outcome": "failed", "reason": "store"})
        self.slots[ref] = "resident"
        return reply({"outcome": "done"})

    def fetch_weights(self, ref: str) -> bool:
        """Fetch weights from the store; return whether that worked."""
        if self.faults.fail_loads > 0:
            self.faults.fail_loads -= 1
            return False
        url = f"http://{self.platform.host}:{self.platform.port}/store/load"
        try:
            answer = self.store.request("POST", url, json={"ref": ref})
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    def sample(self) -> EndpointReport:
        """Return the state now."""
        running = self.batcher.load_by_ref()
        resident = {r: running.get(r, 0) for r, state in self.slots.items() if state == "resident"}
        return EndpointReport(
            endpoint=self.endpoint.name,
            boot=self.boot,
            age_s=0.0,
            state=self.state,
            running=len(self.batcher.running),
            waiting=len(self.batcher.waiting),
            resident=resident,
            free_slots=self.endpoint.slots - len(self.slots),
        )

    def report(self, request: Request) -> Response:
        """Report load and residency, as of some time ago if a lag is set."""
        if self.faults.down:
            raise ConnectionResetError("down")
        now = self.clock.monotonic()
        self.reports.append((now, self.sample()))
        oldest = now - self.faults.report_lag_s
        while len(self.reports) > 1 and self.reports[1][0] <= oldest:
            self.reports.pop(0)
        sampled_at, report = self.reports[0]
        data = {**wire.converter.unstructure(report), "age_s": now - sampled_at}
        return reply(data)

    def crash(self) -> None:
        """Lose everything, as a process that dies and starts again."""
        self.crashes += 1
        self.boot = uuid.uuid4().hex[:8]
        self.slots.clear()
        self.reports.clear()
        for stream in self.batcher.streams.values():
            stream.cancelled = True
            stream.ended = True
            stream.wake()
        self.batcher.streams.clear()
        self.batcher.running.clear()
        self.batcher.waiting.clear()
        self.faults.down = True
        eventlet.spawn_after(RESTART_S, self.come_up)

    def come_up(self) -> None:
        """Answer again after a crash."""
        self.faults.down = False

    def control(self, request: Request) -> Response:
        """Set fault switches, restart, or change the state."""
        data = request.get_json()
        if data.pop("restart", False):
            self.crash()
        if data.pop("silence", False):
            self.silenced.update(range(1, self.connections + 1))
        if "state" in data:
            self.state = Liveness(data.pop("state"))
        self.faults = wire.load({**wire.converter.unstructure(self.faults), **data}, Faults)
        return reply({})

    def show_state(self, request: Request) -> Response:
        """Show counters of the stand-in."""
        return reply(
            {
                "boot": self.boot,
                "epoch": self.epoch,
                "slots": self.slots,
                "loads": self.loads,
                "crashes": self.crashes,
                "violations": self.violations,
                "running": len(self.batcher.running) + len(self.batcher.waiting),
                "steps": self.batcher.steps,
                "tokens": self.batcher.filled,
                "batch": self.endpoint.batch,
            }
        )


def whole_answer(stream: Stream) -> dict[str, object]:
    """Return the answer to a request that does not stream."""
    text = "".join(token_text(stream.ref, index) for index in range(stream.tokens))
    choice: dict[str, object] = {"index": 0, "finish_reason": "stop"}
    if stream.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    usage = {
        "prompt_tokens": 1,
        "completion_tokens": stream.tokens,
        "total_tokens": stream.tokens + 1,
    }
    return {
        "id": stream.request_id,
        "object": "chat.completion" if stream.chat else "text_completion",
        "created": 0,
        "model": stream.ref,
        "choices": [choice],
        "usage": usage,
    }


def answer_text(data: bytes) -> str:
    """Return the text of a whole answer."""
    choice = orjson.loads(data)["choices"][0]
    return choice["message"]["content"] if "message" in choice else choice["text"]
