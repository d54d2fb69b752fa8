"""Open-loop load on a running site: each call is sent when due, whatever is still in flight."""

import itertools
import random
import statistics
import uuid
from typing import TextIO

import eventlet
from attrs import define, field, frozen

from poplarhoist.clock import Clock
from poplarhoist.load.caller import CallerClient, CallOutcome
from poplarhoist.load.measures import Measures, new_histogram, percentiles_ms, record_seconds
from poplarhoist.load.observer import (
    CROSS_REGION_BYTES_PREFIX,
    CROSS_REGION_PEER_BYTES,
    EngineWork,
    SiteObserver,
)
from poplarhoist.models import EndpointKind
from poplarhoist.replay.traces import Arrival, Change, ChangeKind, Trace
from poplarhoist.settings.models import Site

PROGRESS_INTERVAL_S = 5.0
DRAIN_S = 60.0
BOOKING_REPEAT_SHARE = 0.3
POLICY_LABEL = "hoist over HTTP"


@frozen
class Booking:
    """A call that must not run twice; ``is_repeat`` marks a repeat under the same key."""

    key: str
    outcome: CallOutcome
    is_repeat: bool = False


@define
class OpenLoopLoad:
    """Sends a trace to a site and collects the results.

    Attributes
    ----------
    bookings_per_s : float
        Rate of the calls that must not run twice.
    progress : TextIO or None
        Stream for progress lines.
    adapters : list of str
        Names of the adapters that the caller may use.
    calls, bookings : list
        Model calls and bookings that were sent, with their outcomes.
    in_flight : int
        Calls without a final answer yet.
    started_at : float
        Start of the trace on the monotonic clock.
    """

    site: Site
    client: CallerClient
    clock: Clock
    trace: Trace
    bookings_per_s: float = 0.0
    seed: int = 1
    progress: TextIO | None = None
    adapters: list[str] = field(factory=list)
    calls: list[tuple[Arrival, CallOutcome]] = field(factory=list)
    bookings: list[Booking] = field(factory=list)
    in_flight: int = 0
    started_at: float = 0.0
    observer: SiteObserver = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.observer = SiteObserver(self.site)

    def run(self) -> Measures:
        """Send the whole trace and return the measures.

        Raises
        ------
        HTTPError
            If the first entry does not answer at the start.
        """
        self.adapters = self.client.list_models()
        watcher = eventlet.spawn(self.observer.poll_residency)
        self.started_at = self.clock.monotonic()
        snapshots: list[tuple[EngineWork, dict[str, float]]] = []
        take_snapshot = lambda: snapshots.append(
            (self.observer.read_engine_work(), self.observer.read_counters())
        )
        eventlet.spawn_after(self.trace.shape.warm_up_s, take_snapshot)
        for change in self.trace.changes:
            eventlet.spawn_after(change.at, self.apply_change, change)
        self.send_all()
        self.wait_for_answers()
        watcher.kill()
        return self.compute_measures(*snapshots[0])

    def send_all(self) -> None:
        """Start every call and booking when it is due."""
        due_calls = [(arrival.at, arrival) for arrival in self.trace.arrivals]
        due_calls += [(at, None) for at in self.booking_times()]
        progress_times = itertools.count(PROGRESS_INTERVAL_S, PROGRESS_INTERVAL_S)
        next_progress_at = next(progress_times)
        for at, arrival in sorted(due_calls, key=lambda item: item[0]):
            self.sleep_until(at)
            if at >= next_progress_at:
                self.write_progress(at)
                next_progress_at = next(progress_times)
            self.in_flight += 1
            eventlet.spawn_n(self.run_call, at, arrival)

    def booking_times(self) -> list[float]:
        """Return the times of the trace at which bookings are due, as a Poisson process."""
        if self.bookings_per_s <= 0.0:
            return []
        rng = random.Random(self.seed)
        times = []
        at = rng.expovariate(self.bookings_per_s)
        while at < self.trace.shape.end_s:
            times.append(at)
            at += rng.expovariate(self.bookings_per_s)
        return times

    def sleep_until(self, at: float) -> None:
        """Sleep until a time of the trace; return at once if it has passed."""
        eventlet.sleep(max(0.0, self.started_at + at - self.clock.monotonic()))

    def write_progress(self, at: float) -> None:
        """Write a progress line."""
        if self.progress is not None:
            end = self.trace.shape.end_s
            self.progress.write(f"{at:.0f} of {end:.0f} s, {self.in_flight} in flight\n")
            self.progress.flush()

    def run_call(self, at: float, arrival: Arrival | None) -> None:
        """Make one call and keep its outcome; without an arrival, make a booking."""
        outcome = CallOutcome(self.started_at + at)
        try:
            if arrival is None:
                self.make_booking(outcome)
                return
            adapter = self.adapters[arrival.adapter % len(self.adapters)]
            outcome.stalled = not self.observer.is_resident(adapter)
            self.calls.append((arrival, outcome))
            self.client.request_completion(outcome, arrival.entry, adapter, arrival.tokens)
        finally:
            self.in_flight -= 1

    def make_booking(self, outcome: CallOutcome) -> None:
        """Make a booking, and repeat a share of them through another entry."""
        key = uuid.uuid4().hex
        number = len(self.bookings)
        self.bookings.append(Booking(key, outcome))
        path = self.booking_path()
        self.client.request_booking(outcome, number, path, key)
        if random.Random(key).random() < BOOKING_REPEAT_SHARE:
            repeat = CallOutcome(self.clock.monotonic())
            self.bookings.append(Booking(key, repeat, True))
            self.client.request_booking(repeat, number + 1, path, key)

    def booking_path(self) -> str:
        """Return the path of the first POST route whose calls must not run twice.

        Raises
        ------
        LookupError
            If no service has such a route.
        """
        for service in self.site.services:
            for route in service.routes:
                if route.method == "POST" and not route.repeat:
                    return f"/services/{service.name}{route.path}"
        raise LookupError("the site has no POST route whose calls must not run twice")

    def wait_for_answers(self) -> None:
        """Wait until every call has its answer, for ``DRAIN_S`` seconds at most."""
        deadline = self.clock.monotonic() + DRAIN_S
        while self.in_flight and self.clock.monotonic() < deadline:
            eventlet.sleep(0.05)

    def apply_change(self, change: Change) -> None:
        """Apply a change of the trace to the stand-ins; ignore presets, which operators switch."""
        platform = f"http://{self.site.platform.host}:{self.site.platform.port}"
        if change.kind is ChangeKind.ENGINE_RESTART:
            engine = next(iter(self.observer.endpoint_urls(EndpointKind.ENGINE).values()))
            self.observer.set_faults(engine, restart=True)
        elif change.kind is ChangeKind.STORE_SPEED:
            self.observer.set_faults(platform, store_slow=change.factor)

    def compute_measures(self, work: EngineWork, counters: dict[str, float]) -> Measures:
        """Return the measures of the calls that were due after the warm-up.

        Bookings count from the start of the run.

        Parameters
        ----------
        work, counters
            Counters of the engines and of the entries at the end of the warm-up.
        """
        measures = Measures(self.site.name, self.trace.name, POLICY_LABEL)
        measured = [o for arrival, o in self.calls if arrival.at >= self.trace.shape.warm_up_s]
        add_call_measures(measures, measured)
        add_booking_measures(measures, self.bookings, self.observer.read_runs_by_key())
        done = self.observer.read_engine_work().since(work)
        measures.batch_efficiency = done.tokens / max(1, done.batch_capacity)
        measures.loads = done.loads
        measures.wrong += done.violations
        now = self.observer.read_counters()
        grown = {key: value - counters.get(key, 0.0) for key, value in now.items()}
        crossed = (
            value for key, value in grown.items() if key.startswith(CROSS_REGION_BYTES_PREFIX)
        )
        measures.crossed_bytes = round(sum(crossed))
        measures.control_bytes = round(grown.get(CROSS_REGION_PEER_BYTES, 0.0))
        measures.notes = {key: value for key, value in grown.items() if value}
        measures.span_s = measures.took_s = self.clock.monotonic() - self.started_at
        return measures


def add_call_measures(measures: Measures, outcomes: list[CallOutcome]) -> None:
    """Add model calls to the measures.

    A caller does not see the dispatch, so a wait is the time to the first token beyond the median
    of the calls that were not stalled.
    """
    first_token_times, gap_times = new_histogram(), new_histogram()
    unstalled_s = [o.first_at - o.due_at for o in outcomes if o.first_at and not o.stalled]
    median_s = statistics.median(unstalled_s) if unstalled_s else 0.0
    for outcome in outcomes:
        measures.asked += 1
        measures.resent += outcome.resends
        for gap in outcome.gaps:
            record_seconds(gap_times, gap)
        wait_ended_at = outcome.first_at or outcome.ended_at
        if wait_ended_at is not None:
            waited_s = max(0.0, wait_ended_at - outcome.due_at - median_s)
            if outcome.stalled:
                measures.add_stall(waited_s)
            else:
                measures.wait_s += waited_s
        count_failure(measures, outcome)
        if outcome.complete:
            measures.answered += 1
            record_seconds(first_token_times, outcome.first_at - outcome.due_at)
    measures.first_ms = percentiles_ms(first_token_times)
    measures.gap_ms = percentiles_ms(gap_times)


def count_failure(measures: Measures, outcome: CallOutcome) -> None:
    """Count a wrong answer, a refusal, or a call without a final answer."""
    if outcome.wrong:
        measures.wrong += 1
    elif outcome.refused:
        measures.refused[outcome.refused] = measures.refused.get(outcome.refused, 0) + 1
    elif not outcome.complete:
        measures.lost += 1


def add_booking_measures(
    measures: Measures, bookings: list[Booking], runs_by_key: dict[str, int]
) -> None:
    """Add bookings to the measures, and check their answers against the runs of the service.

    More than one run is doubled, an answer without a run is lost, and a refusal as not run is
    wrong if the service ran the booking and no answer under its key was complete.
    """
    answered_keys = {b.key for b in bookings if b.outcome.complete}
    for booking in bookings:
        run_count = runs_by_key.get(booking.key, 0)
        count_failure(measures, booking.outcome)
        if booking.is_repeat:
            continue
        measures.booked += 1
        if run_count > 1:
            measures.doubled += 1
        if booking.outcome.complete and run_count == 0:
            measures.lost += 1
        if booking.outcome.not_run and run_count and booking.key not in answered_keys:
            measures.wrong += 1
