"""Stand-in for a model engine with adapter slots, and its fault switches."""

import uuid
from collections.abc import Iterator

import eventlet
from attrs import define, evolve, field
from werkzeug.wrappers import Request, Response

from poplarhoist import wire
from poplarhoist.clock import Clock
from poplarhoist.models import Endpoint, EndpointReport, LifecycleState
from poplarhoist.standins.answers import Answer, whole_answer
from poplarhoist.standins.batching import Batcher, KvCache, Stream
from poplarhoist.standins.cache import PrefixCache
from poplarhoist.standins.store import Store
from poplarhoist.standins.web import App, Listener, cut, reply, switched

DEFAULT_TOKENS = 16
MAX_TOKENS = 4096
POISON = "crash-the-engine"
EVENT_STREAM = "text/event-stream"
RESIDENT = "resident"
LOADING = "loading"


@define
class Faults:
    """Fault switches.

    Attributes
    ----------
    fail_loads : int
        So many of the next loads fail.
    hold_orders_s : float
        Seconds that an order waits before it takes effect.
    lose_orders : int
        So many of the next orders take effect but their answers are lost.
    report_lag_s : float
        Age of the reports that the engine gives.
    late_s : float
        Seconds that an answer waits before its first byte.
    wrong_adapter, wrong_request : int
        So many of the next answers name another adapter or request.
    crossed : int
        So many of the next requests get the answer to the request before them.
    cache_lag_s : float
        Age at which cache events are published.
    cache_gap_every : int
        Each so many-th cache event is lost; 0 for none.
    restart_s : float
        Seconds for which nothing listens when the engine restarts or crashes.
    down : bool
        Every connection but those of control calls is cut.
    """

    fail_loads: int = 0
    hold_orders_s: float = 0.0
    lose_orders: int = 0
    report_lag_s: float = 0.0
    late_s: float = 0.0
    wrong_adapter: int = 0
    wrong_request: int = 0
    crossed: int = 0
    cache_lag_s: float = 0.0
    cache_gap_every: int = 0
    restart_s: float = 1.0
    down: bool = False


@define(eq=False)
class EngineStandin:
    """State of the stand-in.

    Attributes
    ----------
    slots : dict
        State by adapter version that is loading or resident.
    violations : list
        What an engine must never see, such as an eviction of an adapter in use.
    listener : Listener or None
        Closed while the engine restarts.
    """

    endpoint: Endpoint
    store: Store
    clock: Clock
    step_s: float = 0.01
    faults: Faults = field(factory=Faults)
    boot: str = field(factory=lambda: uuid.uuid4().hex[:8])
    state: LifecycleState = LifecycleState.LIVE
    epoch: int = 0
    slots: dict[str, str] = field(factory=dict)
    batcher: Batcher = field(init=False)
    cache: PrefixCache = field(init=False)
    reports: list[tuple[float, EndpointReport]] = field(factory=list)
    violations: list[str] = field(factory=list)
    last: Stream | None = None
    loads: int = 0
    crashes: int = 0
    listener: Listener | None = None
    app: App = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.batcher = Batcher(self.endpoint.batch, self.step_s)
        self.cache = PrefixCache(self.clock)
        calls = [
            ("POST", "/v1/completions", self.complete),
            ("POST", "/v1/chat/completions", self.complete),
            ("GET", "/v1/streams/<stream_id>", self.resume),
            ("DELETE", "/v1/streams/<stream_id>", self.cancel),
            ("GET", "/kv/<stream_id>", self.export),
            ("POST", "/kv", self.take_over),
            ("GET", "/cache/events", self.cache_events),
            ("POST", "/orders", self.order),
            ("GET", "/report", self.report),
        ]
        rules = [(method, path, self.unless_down(call)) for method, path, call in calls]
        controls = [("POST", "/control", self.control), ("GET", "/control/state", self.show_state)]
        self.app = App([*rules, *controls])

    def unless_down(self, call):
        """Return a call that cuts its connection while the engine is down."""

        def guarded(request: Request, **arguments: str) -> Response:
            if self.faults.down:
                cut()
            return call(request, **arguments)

        return guarded

    def run(self) -> None:
        """Listen and generate in the background."""
        self.listener = Listener(self.app, self.endpoint.host, self.endpoint.port)
        self.listener.open()
        eventlet.spawn(self.batcher.run)

    def refusal(self, reason: str, status: int = 409) -> Response:
        """Refuse a request that was not run."""
        return reply({"reason": reason}, status, {"X-Ran": "no"})

    def complete(self, request: Request) -> Response:
        """Run a completion."""
        ref = request.headers["X-Adapter"]
        if self.state is not LifecycleState.LIVE:
            return self.refusal("leaving", 503)
        if self.slots.get(ref) != RESIDENT:
            return self.refusal("adapter-not-resident")
        if POISON in request.get_data(as_text=True):
            self.crash()
            cut()
        body = request.get_json()
        stream = self.begin(request, ref, body)
        eventlet.sleep(self.faults.late_s)
        answered = self.answered(stream)
        headers = self.answer_headers(answered)
        if body.get("stream"):
            data = self.send(request, answered, 0)
            return Response(data, 200, headers, content_type=EVENT_STREAM)
        for _ in answered.read(0):
            pass
        if answered.cancelled:
            cut()
        return reply(whole_answer(answered.answer), 200, headers)

    def begin(self, request: Request, ref: str, body: dict) -> Stream:
        """Queue a stream."""
        tokens = min(MAX_TOKENS, int(body.get("max_tokens") or DEFAULT_TOKENS))
        prompt = str(body.get("messages") or body.get("prompt"))
        stream = Stream(
            stream_id=request.headers["X-Stream-Id"],
            answer=Answer(request.headers["X-Request-Id"], ref, tokens, "messages" in body),
            priority=int(request.headers.get("X-Priority", 0)),
            prefill=self.cache.use(ref, prompt),
        )
        self.batcher.submit(stream)
        return stream

    def answered(self, stream: Stream) -> Stream:
        """Return the stream that a request gets: its own, or that before it if they cross."""
        before, self.last = self.last, stream
        if self.faults.crossed > 0 and before is not None:
            self.faults.crossed -= 1
            return before
        return stream

    def answer_headers(self, stream: Stream) -> dict[str, str]:
        """Return the headers that tell whose answer this is."""
        headers = {
            "X-Request-Id": stream.answer.request_id,
            "X-Adapter": stream.answer.ref,
            "X-Stream-Id": stream.stream_id,
        }
        if self.faults.wrong_adapter > 0:
            self.faults.wrong_adapter -= 1
            headers["X-Adapter"] = "another@1"
        if self.faults.wrong_request > 0:
            self.faults.wrong_request -= 1
            headers["X-Request-Id"] = "another"
        return headers

    def send(self, request: Request, stream: Stream, offset: int) -> Iterator[bytes]:
        """Yield a stream's events on one connection, which may have gone silent."""
        connections = self.app.connections
        connection = connections.note(request.environ)
        for data in stream.read(offset):
            if self.faults.down:
                cut()
            connections.hold(connection)
            yield data
        connections.hold(connection)
        if stream.cancelled:
            cut()

    def resume(self, request: Request, stream_id: str) -> Response:
        """Send a stream again from an offset, counted in events."""
        stream = self.batcher.streams.get(stream_id)
        if stream is None or stream.cancelled:
            return reply({"reason": "unknown stream"}, 404)
        offset = int(request.args.get("offset", 0))
        headers = self.answer_headers(stream)
        data = self.send(request, stream, offset)
        return Response(data, 200, headers, content_type=EVENT_STREAM)

    def cancel(self, request: Request, stream_id: str) -> Response:
        """Cancel a stream."""
        return reply({"cancelled": self.batcher.cancel(stream_id)})

    def export(self, request: Request, stream_id: str) -> Response:
        """Give the KV cache of a stream."""
        cache = self.batcher.export(stream_id)
        if cache is None:
            return reply({"reason": "unknown stream"}, 404)
        return reply(wire.dump(cache))

    def take_over(self, request: Request) -> Response:
        """Go on with a stream whose KV cache another engine gave."""
        cache = wire.load(request.get_json(), KvCache)
        if self.slots.get(cache.answer.ref) != RESIDENT:
            return self.refusal("adapter-not-resident")
        self.batcher.resume_from(cache)
        return reply({"stream_id": cache.stream_id})

    def cache_events(self, request: Request) -> Response:
        """Tell of blocks stored and dropped after an event."""
        events = self.cache.published(int(request.args.get("since", 0)))
        return reply([wire.dump(event) for event in events])

    def order(self, request: Request) -> Response:
        """Take an order to load or evict."""
        data = request.get_json()
        boot = self.boot
        eventlet.sleep(self.faults.hold_orders_s)
        answer = self.obey(data)
        if boot != self.boot:
            cut()
        if self.faults.lose_orders > 0:
            self.faults.lose_orders -= 1
            cut()
        return reply(answer)

    def obey(self, data: dict) -> dict[str, str]:
        """Carry an order out; return its outcome."""
        if self.endpoint.checks_fencing and data["epoch"] < self.epoch:
            return {"outcome": "fenced", "reason": f"epoch {self.epoch}"}
        self.epoch = max(self.epoch, data["epoch"])
        if data["kind"] == "fence":
            return {"outcome": "done"}
        if data["kind"] == "evict":
            return self.evict(data["ref"])
        return self.load(data["ref"], data.get("replaces"))

    def evict(self, ref: str) -> dict[str, str]:
        """Drop an adapter version."""
        if self.slots.pop(ref, None) is None:
            return {"outcome": "refused", "reason": "not resident"}
        self.check_unused(ref)
        return {"outcome": "done"}

    def check_unused(self, ref: str) -> None:
        """Record a violation if an evicted adapter was in use, and break its requests."""
        for stream in (*self.batcher.running, *self.batcher.waiting):
            if stream.answer.ref == ref and not stream.cancelled:
                request_id = stream.answer.request_id
                self.violations.append(f"evicted {ref} in use by {request_id}")
                stream.cancelled = True

    def load(self, ref: str, replaces: str | None) -> dict[str, str]:
        """Load an adapter version from the weight store, in place of another one if named."""
        if ref in self.slots:
            return {"outcome": "done", "reason": "already there"}
        if replaces is not None and self.slots.pop(replaces, None) is not None:
            self.check_unused(replaces)
        if len(self.slots) >= self.endpoint.slots:
            return {"outcome": "refused", "reason": "no slot"}
        self.slots[ref] = LOADING
        boot = self.boot
        self.loads += 1
        loaded = self.fetch_weights(ref)
        if boot != self.boot:
            return {"outcome": "failed", "reason": "restarted"}
        if not loaded:
            self.slots.pop(ref, None)
            return {"outcome": "failed", "reason": "store"}
        self.slots[ref] = RESIDENT
        return {"outcome": "done"}

    def fetch_weights(self, ref: str) -> bool:
        """Fetch weights from the store; return whether that worked."""
        if self.faults.fail_loads > 0:
            self.faults.fail_loads -= 1
            return False
        return self.store.fetch(ref)

    def sample(self) -> EndpointReport:
        """Return the state now."""
        running = self.batcher.load_by_ref()
        resident = {r: running.get(r, 0) for r, state in self.slots.items() if state == RESIDENT}
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
        now = self.clock.monotonic()
        self.reports.append((now, self.sample()))
        oldest = now - self.faults.report_lag_s
        while len(self.reports) > 1 and self.reports[1][0] <= oldest:
            self.reports.pop(0)
        sampled_at, report = self.reports[0]
        return reply(wire.dump(evolve(report, age_s=now - sampled_at)))

    def crash(self) -> None:
        """Lose everything, as a process that dies and starts again."""
        self.crashes += 1
        self.boot = uuid.uuid4().hex[:8]
        self.epoch = 0
        self.slots.clear()
        self.reports.clear()
        self.cache.clear()
        self.batcher.clear()
        if self.listener is not None:
            self.listener.restart(self.faults.restart_s)

    def control(self, request: Request) -> Response:
        """Set fault switches, restart, silence connections, or change the state."""
        data = request.get_json()
        if data.pop("silence", False):
            self.app.connections.silence()
        if "state" in data:
            self.state = LifecycleState(data.pop("state"))
        restart = data.pop("restart", False)
        self.faults = switched(self.faults, data)
        self.cache.lag_s = self.faults.cache_lag_s
        self.cache.gap_every = self.faults.cache_gap_every
        if restart:
            self.crash()
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
