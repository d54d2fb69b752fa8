"""Fakes of the platform, the weight store, engines and services, on a virtual clock."""

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
    """Objects with versions, conditional writes and pushes of changes.

    Attributes
    ----------
    outage, lose_answers, slow_s, late_writes, late_s, faulty_path, hang
        Faults: refuse all calls; let so many writes take effect without an answer; add seconds;
        let so many writes have no answer and arrive only after some seconds; lost answers and
        late writes concern paths with this prefix; leave all calls without effect or answer.
    delayed_writes : list
        Fault: the next writes get no answer and take effect so many seconds later each.
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
        """Write or delete an object if its version is as expected; None deletes."""
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
        """Store or delete an object and tell the watchers."""
        self.revision += 1
        if value is None:
            self.objects.pop(path, None)
        else:
            self.objects[path] = (self.revision, value)
        for watcher in self.watchers:
            watcher(path, self.revision, value)
        return self.revision

    def write_after_lag(self, path: str, value: object) -> None:
        """Change a list after its lag."""
        self.clock.after(self.list_lag_s, lambda: self.write(path, value))

    def get(self, path: str) -> tuple[CallStatus, int, object]:
        """Read an object."""
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
        """Read all objects below a prefix, as a dict by path."""
        self.count_call("list")
        if self.outage:
            return CallStatus.REFUSED, 0, None
        values_by_path = {
            path: item[1] for path, item in self.objects.items() if path.startswith(prefix)
        }
        return CallStatus.OK, self.revision, values_by_path

    def count_call(self, kind: str) -> None:
        """Count a call."""
        self.calls[kind] = self.calls.get(kind, 0) + 1


@define
class FakeStore:
    """The weight store: a rate, and an in-flight bound beyond which loads take longer.

    Attributes
    ----------
    down, slow
        Faults: every load fails; factor on the time of a load.
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
        """Serve one load; calls back with whether it worked."""
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
        """End a load."""
        self.in_flight -= 1
        on_done(not self.down)


@define(eq=False)
class Job:
    """A request that runs on a fake engine.

    Attributes
    ----------
    done : callable
        Called once with the outcome and the endpoint's reason.
    first : callable
        Called when the first token is out.
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
    """An engine with slots and continuous batching by steps.

    Attributes
    ----------
    violations : list
        What must never happen, such as an eviction of an adapter in use.
    fail_loads, bad_refs, report_lag_s, silent
        Faults: so many of the next loads fail; loads of these fail; age of the reports; polls get no answer.
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
        """Refuse new work from now on, and finish what runs."""
        self.state = LifecycleState.LEAVING
        self.draining_since = self.clock.monotonic()

    def submit(self, job: Job) -> None:
        """Take a request, or refuse it as not run."""
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
        """Begin to step if there is work."""
        if not self.step_scheduled and (self.running or self.waiting):
            self.step_scheduled = True
            boot = self.boot
            self.clock.after(self.step_s, lambda: self.run_step(boot))

    def run_step(self, boot: int) -> None:
        """Give each running request one token."""
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
        """Give one request a token, or end it."""
        job.tokens_generated += 1
        if job.tokens_generated == 1:
            job.on_first_token()
        if job.tokens_generated >= job.tokens:
            self.running.remove(job)
            job.on_done(Outcome.COMPLETED, "")

    def break_connections(self) -> None:
        """Lose the connections of all requests, but nothing else."""
        lost_jobs = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        for job in lost_jobs:
            job.on_done(Outcome.BROKEN, "reset")

    def crash(self) -> None:
        """Lose all adapters and requests, and come up again later."""
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
        """Answer again after a crash."""
        self.up = True

    def execute_order(self, order: SendOrder, on_done: Callable[[OrderOutcome, str], None]) -> None:
        """Take an order."""
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
        """Drop an adapter version; record a violation if it is in use."""
        if self.slots.pop(ref, None) is None:
            return
        for job in [job for job in (*self.running, *self.waiting) if job.ref == ref]:
            self.violations.append(f"{self.endpoint.name} evicted {ref} under {job.request_id}")

    def load(self, ref: str, replaces: str | None, on_done) -> None:
        """Load an adapter version, in place of another one if named."""
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
        """End a load."""
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
        """Return whether nothing listens."""
        return not self.up

    def report(self) -> EndpointReport | None:
        """Return a report as of some time ago; None if the engine does not answer."""
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
        """Return the state now."""
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
    """A plain service that counts its runs by key.

    Attributes
    ----------
    lose_answers, down
        Faults: so many of the next calls run without an answer; nothing listens.
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
        """Refuse new work from now on."""
        self.state = LifecycleState.LEAVING

    def call(self, request_id: str, key: str, on_done: Callable[[Outcome, str], None]) -> None:
        """Run a call."""
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
        """Return whether nothing listens."""
        return self.down

    def report(self) -> EndpointReport | None:
        """Return a report; None if nothing listens."""
        if self.down:
            return None
        return EndpointReport(self.endpoint.name, "1", 0.0, self.state, self.running)
