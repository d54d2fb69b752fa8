"""In-memory fakes of the platform, the weight store, engines and services, on a virtual clock."""

import itertools
from collections import deque
from collections.abc import Callable

from attrs import define, evolve, field

from poplarhoist.decisions.effects import OrderKind, SendOrder
from poplarhoist.decisions.events import CallStatus, OrderOutcome, Outcome
from poplarhoist.models import Endpoint, EndpointReport, LifecycleState
from poplarhoist.replay.clock import VirtualClock

DRAIN_GRACE_S = 3.0


@define
class FakePlatform:
    """The platform's store: versioned objects, conditional writes and change notifications.

    Attributes
    ----------
    objects : dict
        Version and value of each object by path.
    revision : int
        Version of the latest write to any object.
    outage : bool
        Fault: every call is refused.
    hang : bool
        Fault: reads and writes of single objects have no effect and get no answer.
    slow_s : float
        Fault: seconds added to the latency of every call.
    lose_answers : int
        Fault: count of next writes that take effect but get no answer.
    late_writes, late_s : int, float
        Fault: count of next writes that get no answer and are applied after ``late_s`` seconds.
    faulty_prefix : str
        ``lose_answers`` and ``late_writes`` apply only to paths with this prefix.
    delayed_writes : list of float
        Fault: each of the next writes takes the first delay of the list, in seconds; the write
        gets no answer and is applied after that delay, whatever its path.
    list_lag_s : float
        Seconds until ``write_after_lag`` takes effect.
    calls : dict
        Number of calls by kind: ``put``, ``get`` or ``list``.
    watchers : list of callable
        Called after each write with path, version and value; the value is None after a delete.
    """

    clock: VirtualClock
    objects: dict[str, tuple[int, object]] = field(factory=dict)
    revision: int = 0
    outage: bool = False
    lose_answers: int = 0
    slow_s: float = 0.0
    late_writes: int = 0
    late_s: float = 0.0
    faulty_prefix: str = ""
    hang: bool = False
    delayed_writes: list[float] = field(factory=list)
    list_lag_s: float = 0.0
    calls: dict[str, int] = field(factory=dict)
    watchers: list[Callable[[str, int, object], None]] = field(factory=list)

    def put(
        self, path: str, value: object, expected_version: int
    ) -> tuple[CallStatus, int, object]:
        """Write an object, or delete it if the value is None, if its version is as expected.

        Version 0 is expected of an object that does not exist. A conflict returns the current
        version and value; a faulty write returns UNKNOWN.
        """
        self.count_call("put")
        if self.outage:
            return CallStatus.REFUSED, 0, None
        if self.hang:
            return CallStatus.UNKNOWN, 0, None
        if self.delayed_writes:
            self.clock.after(
                self.delayed_writes.pop(0), lambda: self.put(path, value, expected_version)
            )
            return CallStatus.UNKNOWN, 0, None
        if self.late_writes > 0 and path.startswith(self.faulty_prefix):
            self.late_writes -= 1
            self.clock.after(self.late_s, lambda: self.put(path, value, expected_version))
            return CallStatus.UNKNOWN, 0, None
        version, current = self.objects.get(path, (0, None))
        if version != expected_version:
            return CallStatus.CONFLICT, version, current
        written = self.write(path, value)
        if self.lose_answers > 0 and path.startswith(self.faulty_prefix):
            self.lose_answers -= 1
            return CallStatus.UNKNOWN, 0, None
        return CallStatus.OK, written, None

    def write(self, path: str, value: object) -> int:
        """Write or delete an object unconditionally, call the watchers, return the version."""
        self.revision += 1
        if value is None:
            self.objects.pop(path, None)
        else:
            self.objects[path] = (self.revision, value)
        for watcher in self.watchers:
            watcher(path, self.revision, value)
        return self.revision

    def write_after_lag(self, path: str, value: object) -> None:
        """Write an object ``list_lag_s`` seconds from now, as when the platform's lists lag."""
        self.clock.after(self.list_lag_s, lambda: self.write(path, value))

    def get(self, path: str) -> tuple[CallStatus, int, object]:
        """Return status, version and value of an object."""
        self.count_call("get")
        if self.outage:
            return CallStatus.REFUSED, 0, None
        if self.hang:
            return CallStatus.UNKNOWN, 0, None
        if path not in self.objects:
            return CallStatus.NOT_FOUND, 0, None
        version, value = self.objects[path]
        return CallStatus.OK, version, value

    def list(self, prefix: str) -> tuple[CallStatus, int, object]:
        """Return status, latest revision and the values by path of all objects under a prefix."""
        self.count_call("list")
        if self.outage:
            return CallStatus.REFUSED, 0, None
        values_by_path = {
            path: item[1] for path, item in self.objects.items() if path.startswith(prefix)
        }
        return CallStatus.OK, self.revision, values_by_path

    def count_call(self, kind: str) -> None:
        """Count a call by its kind."""
        self.calls[kind] = self.calls.get(kind, 0) + 1


@define
class FakeStore:
    """The weight store: limits the rate of loads, and slows down above its in-flight limit.

    Attributes
    ----------
    load_s : float
        Seconds of a load within the limits.
    down : bool
        Fault: every load fails.
    slowdown : float
        Fault: factor on the duration of a load.
    next_load_at : float
        Virtual time at which the rate admits the next load; a load may start up to 1 s before it.
    """

    clock: VirtualClock
    loads_per_s: float = 4.0
    in_flight_limit: int = 8
    load_s: float = 0.25
    down: bool = False
    slowdown: float = 1.0
    in_flight: int = 0
    max_in_flight: int = 0
    loads: int = 0
    next_load_at: float = 0.0

    def load(self, on_done: Callable[[bool], None]) -> None:
        """Serve one load; call ``on_done`` later with whether it succeeded."""
        if self.down:
            self.clock.after(self.load_s, lambda: on_done(False))
            return
        now = self.clock.monotonic()
        start_at = max(now, self.next_load_at - 1.0)
        self.next_load_at = max(now, self.next_load_at) + 1.0 / self.loads_per_s
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        self.loads += 1
        duration_factor = max(1.0, self.in_flight / self.in_flight_limit) * self.slowdown
        self.clock.after(
            start_at - now + self.load_s * duration_factor, lambda: self.finish_load(on_done)
        )

    def finish_load(self, on_done: Callable[[bool], None]) -> None:
        """End a load; it fails if the store is down by now."""
        self.in_flight -= 1
        on_done(not self.down)


@define(eq=False)
class Job:
    """A request that runs on a fake engine.

    Attributes
    ----------
    tokens : int
        Length of the answer.
    on_done : callable
        Called once with the outcome and the endpoint's reason.
    on_first_token : callable
        Called when the first token is generated.
    poison : bool
        Whether the request crashes the engine that runs it.
    tokens_generated : int
        Tokens of the answer so far.
    """

    request_id: str
    ref: str
    tokens: int
    on_done: Callable[[Outcome, str], None]
    on_first_token: Callable[[], None]
    poison: bool = False
    tokens_generated: int = 0


@define(eq=False)
class FakeEngine:
    """An engine with adapter slots and continuous batching; each step gives one token a request.

    Attributes
    ----------
    violations : list
        What must never happen, such as an eviction of an adapter in use.
    boot : int
        Number of the current incarnation; a crash replaces it.
    highest_epoch : int
        Highest epoch of the orders so far; if the endpoint checks fencing, lower ones are refused.
    slots : dict
        State by adapter version: ``loading`` or ``resident``.
    running, waiting : list, deque
        Requests in the batch, and those that join it when there is room.
    delayed_reports : deque
        Past reports with the time at which each was built, for ``report_lag_s``.
    steps, tokens_generated : int
        Batch steps that ran, and the tokens that they generated.
    poison_crashes : int
        Crashes that a poison request caused.
    started_requests : set
        Ids of all requests that were accepted.
    draining_since : float
        Virtual time at which draining began; infinite before.
    fail_loads : int
        Fault: count of next loads that fail.
    failing_refs : set
        Fault: loads of these adapter versions fail.
    report_lag_s : float
        Fault: age of the reports in seconds.
    silent : bool
        Fault: polls get no answer.
    """

    endpoint: Endpoint
    clock: VirtualClock
    store: FakeStore
    step_s: float = 0.03
    restart_duration_s: float = 1.0
    boot_numbers: itertools.count = field(factory=lambda: itertools.count(1))
    boot: int = 0
    up: bool = True
    silent: bool = False
    state: LifecycleState = LifecycleState.LIVE
    highest_epoch: int = 0
    slots: dict[str, str] = field(factory=dict)
    running: list[Job] = field(factory=list)
    waiting: deque[Job] = field(factory=deque)
    delayed_reports: deque[tuple[float, EndpointReport]] = field(factory=deque)
    report_lag_s: float = 0.0
    fail_loads: int = 0
    failing_refs: set[str] = field(factory=set)
    violations: list[str] = field(factory=list)
    steps: int = 0
    tokens_generated: int = 0
    crashes: int = 0
    poison_crashes: int = 0
    step_scheduled: bool = False
    started_requests: set[str] = field(factory=set)
    draining_since: float = float("inf")

    def start_draining(self) -> None:
        """Refuse new requests from now on; those that were accepted are completed."""
        self.state = LifecycleState.LEAVING
        self.draining_since = self.clock.monotonic()

    def submit(self, job: Job) -> None:
        """Accept a request, or report at once that it was not run.

        A request that arrives more than ``DRAIN_GRACE_S`` seconds after draining began is a
        violation, as entries must know of it by then.
        """
        if self.clock.monotonic() > self.draining_since + DRAIN_GRACE_S:
            self.violations.append(f"{self.endpoint.name} got {job.request_id} after it left")
        if not self.up:
            job.on_done(Outcome.NOT_SENT, "connect")
        elif self.state is not LifecycleState.LIVE:
            job.on_done(Outcome.REFUSED, "leaving")
        elif self.slots.get(job.ref) != "resident":
            job.on_done(Outcome.REFUSED, "adapter-not-resident")
        else:
            self.started_requests.add(job.request_id)
            self.waiting.append(job)
            self.schedule_step()

    def schedule_step(self) -> None:
        """Schedule a step if there are requests and none is scheduled."""
        if not self.step_scheduled and (self.running or self.waiting):
            self.step_scheduled = True
            boot = self.boot
            self.clock.after(self.step_s, lambda: self.run_step(boot))

    def run_step(self, boot: int) -> None:
        """Fill the batch and generate one token a request; do nothing for an earlier boot."""
        if boot != self.boot:
            return
        self.step_scheduled = False
        while self.waiting and len(self.running) < self.endpoint.batch:
            self.running.append(self.waiting.popleft())
        if any(job.poison for job in self.running):
            self.poison_crashes += 1
            self.crash()
            return
        self.steps += 1
        self.tokens_generated += len(self.running)
        for job in list(self.running):
            self.generate_token(job)
        self.schedule_step()

    def generate_token(self, job: Job) -> None:
        """Generate one token of a request, and complete the request after its last token."""
        job.tokens_generated += 1
        if job.tokens_generated == 1:
            job.on_first_token()
        if job.tokens_generated >= job.tokens:
            self.running.remove(job)
            job.on_done(Outcome.COMPLETED, "")

    def break_connections(self) -> None:
        """Break off all requests; the adapters stay resident."""
        lost_jobs = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        for job in lost_jobs:
            job.on_done(Outcome.BROKEN, "reset")

    def crash(self) -> None:
        """Lose all adapters and requests; answer again after ``restart_duration_s`` seconds."""
        self.crashes += 1
        lost_jobs = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        self.slots.clear()
        self.delayed_reports.clear()
        self.boot = next(self.boot_numbers)
        self.step_scheduled = False
        self.up = False
        self.clock.after(self.restart_duration_s, self.finish_restart)
        for job in lost_jobs:
            job.on_done(Outcome.BROKEN, "reset")

    def finish_restart(self) -> None:
        """Accept connections again after a crash."""
        self.up = True

    def execute_order(self, order: SendOrder, on_done: Callable[[OrderOutcome, str], None]) -> None:
        """Execute an order of a lead; ``on_done`` gets the outcome and a reason."""
        if not self.up:
            on_done(OrderOutcome.REFUSED, "not sent")
            return
        if self.endpoint.checks_fencing and order.epoch < self.highest_epoch:
            on_done(OrderOutcome.FENCED, f"epoch {self.highest_epoch}")
            return
        self.highest_epoch = max(self.highest_epoch, order.epoch)
        if order.kind is OrderKind.FENCE:
            on_done(OrderOutcome.DONE, "")
        elif order.kind is OrderKind.EVICT:
            self.evict(str(order.ref))
            on_done(OrderOutcome.DONE, "")
        else:
            self.load(str(order.ref), order.replaces and str(order.replaces), on_done)

    def evict(self, ref: str) -> None:
        """Evict an adapter version; every request that still uses it is a violation."""
        if self.slots.pop(ref, None) is None:
            return
        for job in [job for job in (*self.running, *self.waiting) if job.ref == ref]:
            self.violations.append(f"{self.endpoint.name} evicted {ref} under {job.request_id}")

    def load(self, ref: str, replaces: str | None, on_done) -> None:
        """Load an adapter version; the one that it replaces, if any, is evicted first."""
        if ref in self.slots:
            on_done(OrderOutcome.DONE, "already there")
            return
        if replaces:
            self.evict(replaces)
        if len(self.slots) >= self.endpoint.slots:
            on_done(OrderOutcome.REFUSED, "no slot")
            return
        self.slots[ref] = "loading"
        boot = self.boot
        self.store.load(lambda worked: self.on_loaded(ref, worked, boot, on_done))

    def on_loaded(self, ref: str, succeeded: bool, boot: int, on_done) -> None:
        """Record the end of a load; its outcome is UNKNOWN if the engine has restarted."""
        if boot != self.boot:
            on_done(OrderOutcome.UNKNOWN, "restarted")
            return
        if not succeeded or self.fail_loads > 0 or ref in self.failing_refs:
            self.fail_loads -= 1 if succeeded and self.fail_loads > 0 else 0
            del self.slots[ref]
            on_done(OrderOutcome.FAILED, "store")
            return
        self.slots[ref] = "resident"
        on_done(OrderOutcome.DONE, "")

    def refuses_connections(self) -> bool:
        """Return whether connections are refused."""
        return not self.up

    def report(self) -> EndpointReport | None:
        """Return the report of ``report_lag_s`` seconds ago; None if the engine does not answer."""
        if not self.up or self.silent:
            return None
        now = self.clock.monotonic()
        self.delayed_reports.append((now, self.build_report()))
        while (
            len(self.delayed_reports) > 1 and self.delayed_reports[1][0] <= now - self.report_lag_s
        ):
            self.delayed_reports.popleft()
        sampled_at, report = self.delayed_reports[0]
        return evolve(report, age_s=now - sampled_at)

    def build_report(self) -> EndpointReport:
        """Return a report of the current state."""
        in_flight_by_ref = dict.fromkeys(
            (r for r, state in self.slots.items() if state == "resident"), 0
        )
        for job in (*self.running, *self.waiting):
            in_flight_by_ref[job.ref] = in_flight_by_ref.get(job.ref, 0) + 1
        return EndpointReport(
            endpoint=self.endpoint.name,
            boot=str(self.boot),
            age_s=0.0,
            state=self.state,
            running=len(self.running),
            waiting=len(self.waiting),
            resident=in_flight_by_ref,
            free_slots=self.endpoint.slots - len(self.slots),
        )


@define(eq=False)
class FakeService:
    """A plain service that counts its runs by idempotency key.

    Attributes
    ----------
    call_duration_s : float
        Seconds from the start of a call to its answer.
    started_requests : set
        Ids of all requests that were run.
    lose_answers : int
        Fault: count of next calls that run, but whose connection breaks before the answer.
    down : bool
        Fault: connections are refused.
    """

    endpoint: Endpoint
    clock: VirtualClock
    call_duration_s: float = 0.05
    runs_by_key: dict[str, int] = field(factory=dict)
    lose_answers: int = 0
    down: bool = False
    state: LifecycleState = LifecycleState.LIVE
    running: int = 0
    started_requests: set[str] = field(factory=set)

    def start_draining(self) -> None:
        """Refuse new calls from now on."""
        self.state = LifecycleState.LEAVING

    def call(self, request_id: str, key: str, on_done: Callable[[Outcome, str], None]) -> None:
        """Run a call and count it; a service that is down or draining does not run it."""
        if self.down:
            on_done(Outcome.NOT_SENT, "connect")
            return
        if self.state is not LifecycleState.LIVE:
            on_done(Outcome.REFUSED, "leaving")
            return
        self.started_requests.add(request_id)
        self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        loses_answer = self.lose_answers > 0
        self.lose_answers -= 1 if loses_answer else 0
        outcome = Outcome.BROKEN if loses_answer else Outcome.COMPLETED
        self.clock.after(self.call_duration_s, lambda: on_done(outcome, ""))

    def refuses_connections(self) -> bool:
        """Return whether connections are refused."""
        return self.down

    def report(self) -> EndpointReport | None:
        """Return a report; None if connections are refused."""
        if self.down:
            return None
        return EndpointReport(self.endpoint.name, "1", 0.0, self.state, self.running)
