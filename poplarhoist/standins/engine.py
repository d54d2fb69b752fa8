"""Stand-in for a model engine with adapter slots, and its fault switches."""

import uuid
from collections.abc import Iterator

import eventlet
from attrs import define, evolve, field
from werkzeug.wrappers import Request, Response

from poplarhoist import wire
from poplarhoist.clock import Clock
from poplarhoist.models import Endpoint, EndpointReport, LifecycleState
from poplarhoist.standins.answers import CompletionSpec, build_completion
from poplarhoist.standins.batching import Batcher, KvCache, Stream
from poplarhoist.standins.cache import PrefixCache
from poplarhoist.standins.store import WeightSource
from poplarhoist.standins.web import App, Listener, cut_connection, json_response, update_faults

DEFAULT_TOKENS = 16
MAX_TOKENS = 4096
POISON_PROMPT = "crash-the-engine"
EVENT_STREAM = "text/event-stream"
RESIDENT = "resident"
LOADING = "loading"


@define
class Faults:
    """Fault switches.

    Attributes
    ----------
    fail_loads : int
        Number of the next loads that fail.
    hold_orders_s : float
        Seconds for which an order is held before it takes effect.
    lose_orders : int
        Number of the next orders that take effect without a response.
    report_lag_s : float
        Age in seconds of the reports that the engine returns.
    late_s : float
        Delay in seconds before the first byte of a response.
    wrong_adapter, wrong_request : int
        Number of the next responses whose headers name another adapter or request.
    crossed : int
        Number of the next requests that get the response of the request before them.
    cache_lag_s : float
        Age in seconds at which cache events are published.
    cache_gap_every : int
        Every ``cache_gap_every``-th cache event is lost; 0 loses none.
    restart_s : float
        Seconds during which the engine does not listen after a restart or a crash.
    down : bool
        Cuts every connection except those of control calls.
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
    step_s : float
        Duration of one step of the batch in seconds.
    boot : str
        Id of this run of the process; changes with every restart.
    epoch : int
        Highest epoch among the orders since the last restart; older orders are fenced.
    slots : dict
        ``loading`` or ``resident``, by adapter version.
    report_history : list
        Sampling time and report, the oldest first; needed for ``report_lag_s``.
    violations : list
        Descriptions of orders that an engine must never receive: evictions of adapters in use.
    previous_stream : Stream or None
        Stream of the latest completion; ``crossed`` answers the next request with it.
    load_count, crash_count : int
        Loads started and restarts since the stand-in was created.
    listener : Listener or None
        Closed during a restart; None if the application is called without a socket.
    """

    endpoint: Endpoint
    store: WeightSource
    clock: Clock
    step_s: float = 0.01
    faults: Faults = field(factory=Faults)
    boot: str = field(factory=lambda: uuid.uuid4().hex[:8])
    state: LifecycleState = LifecycleState.LIVE
    epoch: int = 0
    slots: dict[str, str] = field(factory=dict)
    batcher: Batcher = field(init=False)
    cache: PrefixCache = field(init=False)
    report_history: list[tuple[float, EndpointReport]] = field(factory=list)
    violations: list[str] = field(factory=list)
    previous_stream: Stream | None = None
    load_count: int = 0
    crash_count: int = 0
    listener: Listener | None = None
    app: App = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.batcher = Batcher(self.endpoint.batch, self.step_s)
        self.cache = PrefixCache(self.clock)
        calls = [
            ("POST", "/v1/completions", self.handle_completion),
            ("POST", "/v1/chat/completions", self.handle_completion),
            ("GET", "/v1/streams/<stream_id>", self.handle_resume),
            ("DELETE", "/v1/streams/<stream_id>", self.handle_cancel),
            ("GET", "/kv/<stream_id>", self.handle_kv_export),
            ("POST", "/kv", self.handle_kv_import),
            ("GET", "/cache/events", self.handle_cache_events),
            ("POST", "/orders", self.handle_order),
            ("GET", "/report", self.handle_report),
        ]
        rules = [(method, path, self.cut_if_down(call)) for method, path, call in calls]
        controls = [
            ("POST", "/control", self.handle_control),
            ("GET", "/control/state", self.handle_state),
        ]
        self.app = App([*rules, *controls])

    def cut_if_down(self, call):
        """Wrap a handler so that it cuts the connection while ``down`` is set."""

        def wrapper(request: Request, **arguments: str) -> Response:
            if self.faults.down:
                cut_connection()
            return call(request, **arguments)

        return wrapper

    def start(self) -> None:
        """Start to listen and to generate in the background."""
        setting = f"endpoints.{self.endpoint.name}"
        self.listener = Listener(self.app, self.endpoint.host, self.endpoint.port, setting)
        self.listener.open()
        eventlet.spawn(self.batcher.run)

    def refusal_response(self, reason: str, status: int = 409) -> Response:
        """Return a refusal; its header states that the request was not run."""
        return json_response({"reason": reason}, status, {"X-Ran": "no"})

    def handle_completion(self, request: Request) -> Response:
        """Run a completion, streamed or not.

        A prompt that contains ``POISON_PROMPT`` crashes the engine.
        """
        ref = request.headers["X-Adapter"]
        if self.state is not LifecycleState.LIVE:
            return self.refusal_response("leaving", 503)
        if self.slots.get(ref) != RESIDENT:
            return self.refusal_response("adapter-not-resident")
        if POISON_PROMPT in request.get_data(as_text=True):
            self.crash()
            cut_connection()
        body = request.get_json()
        stream = self.submit_stream(request, ref, body)
        eventlet.sleep(self.faults.late_s)
        answered_stream = self.select_answered_stream(stream)
        headers = self.response_headers(answered_stream)
        if body.get("stream"):
            data = self.iter_events(request, answered_stream, 0)
            return Response(data, 200, headers, content_type=EVENT_STREAM)
        for _ in answered_stream.read(0):
            pass
        if answered_stream.cancelled:
            cut_connection()
        return json_response(build_completion(answered_stream.answer), 200, headers)

    def submit_stream(self, request: Request, ref: str, body: dict) -> Stream:
        """Queue a stream for a completion request."""
        tokens = min(MAX_TOKENS, int(body.get("max_tokens") or DEFAULT_TOKENS))
        prompt = str(body.get("messages") or body.get("prompt"))
        stream = Stream(
            stream_id=request.headers["X-Stream-Id"],
            answer=CompletionSpec(request.headers["X-Request-Id"], ref, tokens, "messages" in body),
            priority=int(request.headers.get("X-Priority", 0)),
            prefill_steps=self.cache.add_prompt(ref, prompt),
        )
        self.batcher.submit(stream)
        return stream

    def select_answered_stream(self, stream: Stream) -> Stream:
        """Return the stream that answers a request: its own; the previous one if ``crossed``."""
        previous, self.previous_stream = self.previous_stream, stream
        if self.faults.crossed > 0 and previous is not None:
            self.faults.crossed -= 1
            return previous
        return stream

    def response_headers(self, stream: Stream) -> dict[str, str]:
        """Return the headers that name request, adapter and stream; faults can falsify them."""
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

    def iter_events(self, request: Request, stream: Stream, offset: int) -> Iterator[bytes]:
        """Yield a stream's events on the connection of a request.

        Blocks while the connection is silenced, and cuts it if the engine is down or the stream was
        cancelled.
        """
        connections = self.app.connections
        connection = connections.track(request.environ)
        for data in stream.read(offset):
            if self.faults.down:
                cut_connection()
            connections.block_while_silenced(connection)
            yield data
        connections.block_while_silenced(connection)
        if stream.cancelled:
            cut_connection()

    def handle_resume(self, request: Request, stream_id: str) -> Response:
        """Send a stream from an offset, counted in events; 404 if it is unknown or cancelled."""
        stream = self.batcher.streams_by_id.get(stream_id)
        if stream is None or stream.cancelled:
            return json_response({"reason": "unknown stream"}, 404)
        offset = int(request.args.get("offset", 0))
        headers = self.response_headers(stream)
        data = self.iter_events(request, stream, offset)
        return Response(data, 200, headers, content_type=EVENT_STREAM)

    def handle_cancel(self, request: Request, stream_id: str) -> Response:
        """Cancel a stream; the response says whether the stream was known."""
        return json_response({"cancelled": self.batcher.cancel(stream_id)})

    def handle_kv_export(self, request: Request, stream_id: str) -> Response:
        """Return the KV cache of a running or waiting stream; 404 for any other."""
        cache = self.batcher.export_kv_cache(stream_id)
        if cache is None:
            return json_response({"reason": "unknown stream"}, 404)
        return json_response(wire.dump(cache))

    def handle_kv_import(self, request: Request) -> Response:
        """Continue a stream from another engine's KV cache; refused without a resident adapter."""
        cache = wire.load(request.get_json(), KvCache)
        if self.slots.get(cache.answer.ref) != RESIDENT:
            return self.refusal_response("adapter-not-resident")
        self.batcher.resume_from(cache)
        return json_response({"stream_id": cache.stream_id})

    def handle_cache_events(self, request: Request) -> Response:
        """Return the published cache events after a sequence number."""
        events = self.cache.published_events(int(request.args.get("since", 0)))
        return json_response([wire.dump(event) for event in events])

    def handle_order(self, request: Request) -> Response:
        """Apply an order and return its outcome.

        The connection is cut if the engine restarted meanwhile, or if ``lose_orders`` is set.
        """
        data = request.get_json()
        boot = self.boot
        eventlet.sleep(self.faults.hold_orders_s)
        result = self.apply_order(data)
        if boot != self.boot:
            cut_connection()
        if self.faults.lose_orders > 0:
            self.faults.lose_orders -= 1
            cut_connection()
        return json_response(result)

    def apply_order(self, data: dict) -> dict[str, str]:
        """Apply a fence, eviction or load; an order with an old epoch is fenced instead."""
        if self.endpoint.checks_fencing and data["epoch"] < self.epoch:
            return {"outcome": "fenced", "reason": f"epoch {self.epoch}"}
        self.epoch = max(self.epoch, data["epoch"])
        if data["kind"] == "fence":
            return {"outcome": "done"}
        if data["kind"] == "evict":
            return self.evict(data["ref"])
        return self.load(data["ref"], data.get("replaces"))

    def evict(self, ref: str) -> dict[str, str]:
        """Evict an adapter version; refused if it has no slot."""
        if self.slots.pop(ref, None) is None:
            return {"outcome": "refused", "reason": "not resident"}
        self.record_eviction_in_use(ref)
        return {"outcome": "done"}

    def record_eviction_in_use(self, ref: str) -> None:
        """Record a violation for each stream of an evicted adapter version, and cancel it."""
        for stream in (*self.batcher.running, *self.batcher.waiting):
            if stream.answer.ref == ref and not stream.cancelled:
                request_id = stream.answer.request_id
                self.violations.append(f"evicted {ref} in use by {request_id}")
                stream.cancelled = True

    def load(self, ref: str, replaces: str | None) -> dict[str, str]:
        """Load an adapter version from the weight store; blocks until the load ends.

        Evicts ``replaces`` first, if it is given.
        """
        if ref in self.slots:
            return {"outcome": "done", "reason": "already there"}
        if replaces is not None and self.slots.pop(replaces, None) is not None:
            self.record_eviction_in_use(replaces)
        if len(self.slots) >= self.endpoint.slots:
            return {"outcome": "refused", "reason": "no slot"}
        self.slots[ref] = LOADING
        boot = self.boot
        self.load_count += 1
        loaded = self.fetch_weights(ref)
        if boot != self.boot:
            return {"outcome": "failed", "reason": "restarted"}
        if not loaded:
            self.slots.pop(ref, None)
            return {"outcome": "failed", "reason": "store"}
        self.slots[ref] = RESIDENT
        return {"outcome": "done"}

    def fetch_weights(self, ref: str) -> bool:
        """Fetch weights from the store; return whether the load succeeded."""
        if self.faults.fail_loads > 0:
            self.faults.fail_loads -= 1
            return False
        return self.store.fetch(ref)

    def current_report(self) -> EndpointReport:
        """Return a report of the current state, with age 0."""
        streams_by_ref = self.batcher.count_streams_by_ref()
        resident = {
            r: streams_by_ref.get(r, 0) for r, state in self.slots.items() if state == RESIDENT
        }
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

    def handle_report(self, request: Request) -> Response:
        """Return the latest report at least ``report_lag_s`` old; if none is, the oldest."""
        now = self.clock.monotonic()
        self.report_history.append((now, self.current_report()))
        sampled_until = now - self.faults.report_lag_s
        while len(self.report_history) > 1 and self.report_history[1][0] <= sampled_until:
            self.report_history.pop(0)
        sampled_at, report = self.report_history[0]
        return json_response(wire.dump(evolve(report, age_s=now - sampled_at)))

    def crash(self) -> None:
        """Lose all state and restart, as a process that dies; the counters are kept."""
        self.crash_count += 1
        self.boot = uuid.uuid4().hex[:8]
        self.epoch = 0
        self.slots.clear()
        self.report_history.clear()
        self.cache.clear()
        self.batcher.clear()
        if self.listener is not None:
            self.listener.restart(self.faults.restart_s)

    def handle_control(self, request: Request) -> Response:
        """Set fault switches, restart, silence open connections, or change the liveness state."""
        data = request.get_json()
        if data.pop("silence", False):
            self.app.connections.silence_open()
        if "state" in data:
            self.state = LifecycleState(data.pop("state"))
        restart = data.pop("restart", False)
        self.faults = update_faults(self.faults, data)
        self.cache.lag_s = self.faults.cache_lag_s
        self.cache.gap_every = self.faults.cache_gap_every
        if restart:
            self.crash()
        return json_response({})

    def handle_state(self, request: Request) -> Response:
        """Return counters and state, for tests and measurements."""
        return json_response(
            {
                "boot": self.boot,
                "epoch": self.epoch,
                "slots": self.slots,
                "loads": self.load_count,
                "crashes": self.crash_count,
                "violations": self.violations,
                "running": len(self.batcher.running) + len(self.batcher.waiting),
                "steps": self.batcher.steps,
                "tokens": self.batcher.generated_tokens,
                "batch": self.endpoint.batch,
            }
        )
