"""Open-loop load on a running site: calls are sent when they are due, answered or not."""

import itertools
import random
import statistics
import uuid
from typing import TextIO

import eventlet
from attrs import define, field, frozen

from poplarhoist.clock import Clock
from poplarhoist.load.caller import CallerClient, Outcome
from poplarhoist.load.measures import Measures, histogram, percentiles_ms, record
from poplarhoist.load.observer import CONTROL_CROSSED, CROSSED, SiteObserver, Work
from poplarhoist.models import EndpointKind
from poplarhoist.replay.traces import Arrival, Change, ChangeKind, Trace
from poplarhoist.settings.models import Site

PROGRESS_S = 5.0
DRAIN_S = 60.0
BOOK_AGAIN_SHARE = 0.3
POLICY = "hoist over HTTP"


@frozen
class Booking:
    """A call that must not repeat, as it was sent."""

    key: str
    outcome: Outcome
    again: bool = False


@define
class OpenLoop:
    """Sends a trace to a site and collects what became of it."""

    site: Site
    client: CallerClient
    clock: Clock
    trace: Trace
    bookings_per_s: float = 0.0
    seed: int = 1
    progress: TextIO | None = None
    adapters: list[str] = field(factory=list)
    calls: list[tuple[Arrival, Outcome]] = field(factory=list)
    bookings: list[Booking] = field(factory=list)
    under_way: int = 0
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
        self.adapters = self.client.models()
        watcher = eventlet.spawn(self.observer.watch)
        self.started_at = self.clock.monotonic()
        before: list[tuple[Work, dict[str, float]]] = []
        look = lambda: before.append((self.observer.work(), self.observer.counters()))
        eventlet.spawn_after(self.trace.shape.warm_up_s, look)
        for change in self.trace.changes:
            eventlet.spawn_after(change.at, self.change, change)
        self.send_all()
        self.wait_for_answers()
        watcher.kill()
        return self.measure(*before[0])

    def send_all(self) -> None:
        """Start every call when it is due."""
        due = [(arrival.at, arrival) for arrival in self.trace.arrivals]
        due += [(at, None) for at in self.booking_times()]
        shown_at = itertools.count(PROGRESS_S, PROGRESS_S)
        next_shown = next(shown_at)
        for at, arrival in sorted(due, key=lambda item: item[0]):
            self.sleep_until(at)
            if at >= next_shown:
                self.show(at)
                next_shown = next(shown_at)
            self.under_way += 1
            eventlet.spawn_n(self.one_call, at, arrival)

    def booking_times(self) -> list[float]:
        """Return when bookings are due."""
        if self.bookings_per_s <= 0.0:
            return []
        source = random.Random(self.seed)
        times = []
        at = source.expovariate(self.bookings_per_s)
        while at < self.trace.shape.end_s:
            times.append(at)
            at += source.expovariate(self.bookings_per_s)
        return times

    def sleep_until(self, at: float) -> None:
        """Wait for a time of the trace; return at once if it has passed."""
        eventlet.sleep(max(0.0, self.started_at + at - self.clock.monotonic()))

    def show(self, at: float) -> None:
        """Write a line of progress."""
        if self.progress is not None:
            end = self.trace.shape.end_s
            self.progress.write(f"{at:.0f} of {end:.0f} s, {self.under_way} under way\n")
            self.progress.flush()

    def one_call(self, at: float, arrival: Arrival | None) -> None:
        """Make one call and keep its outcome."""
        outcome = Outcome(self.started_at + at)
        try:
            if arrival is None:
                self.book(outcome)
                return
            adapter = self.adapters[arrival.adapter % len(self.adapters)]
            outcome.stalled = not self.observer.is_resident(adapter)
            self.calls.append((arrival, outcome))
            self.client.complete(outcome, arrival.entry, adapter, arrival.tokens)
        finally:
            self.under_way -= 1

    def book(self, outcome: Outcome) -> None:
        """Make a booking, and some of them again through another entry."""
        key = uuid.uuid4().hex
        number = len(self.bookings)
        self.bookings.append(Booking(key, outcome))
        path = self.booking_path()
        self.client.book(outcome, number, path, key)
        if random.Random(key).random() < BOOK_AGAIN_SHARE:
            again = Outcome(self.clock.monotonic())
            self.bookings.append(Booking(key, again, True))
            self.client.book(again, number + 1, path, key)

    def booking_path(self) -> str:
        """Return the path of the first route that must not repeat."""
        for service in self.site.services:
            for route in service.routes:
                if route.method == "POST" and not route.repeat:
                    return f"/services/{service.name}{route.path}"
        raise LookupError("the site has no route that must not repeat")

    def wait_for_answers(self) -> None:
        """Wait until every call has its answer, or for long enough."""
        ends_at = self.clock.monotonic() + DRAIN_S
        while self.under_way and self.clock.monotonic() < ends_at:
            eventlet.sleep(0.05)

    def change(self, change: Change) -> None:
        """Apply a change of the trace to the stand-ins; presets are switched by operators."""
        platform = f"http://{self.site.platform.host}:{self.site.platform.port}"
        if change.kind is ChangeKind.ENGINE_RESTART:
            engine = next(iter(self.observer.urls(EndpointKind.ENGINE).values()))
            self.observer.control(engine, restart=True)
        elif change.kind is ChangeKind.STORE_SPEED:
            self.observer.control(platform, store_slow=change.amount)

    def measure(self, work: Work, counters: dict[str, float]) -> Measures:
        """Sum up the calls that were due after the warm-up."""
        measures = Measures(self.site.name, self.trace.name, POLICY)
        measured = [o for arrival, o in self.calls if arrival.at >= self.trace.shape.warm_up_s]
        add_calls(measures, measured)
        add_bookings(measures, self.bookings, self.observer.runs_by_key())
        done = self.observer.work().since(work)
        measures.batch_efficiency = done.tokens / max(1, done.possible)
        measures.loads = done.loads
        measures.wrong += done.violations
        now = self.observer.counters()
        grown = {key: value - counters.get(key, 0.0) for key, value in now.items()}
        crossed = (value for key, value in grown.items() if key.startswith(CROSSED))
        measures.crossed_bytes = round(sum(crossed))
        measures.control_bytes = round(grown.get(CONTROL_CROSSED, 0.0))
        measures.notes = {key: value for key, value in grown.items() if value}
        measures.span_s = measures.took_s = self.clock.monotonic() - self.started_at
        return measures


def add_calls(measures: Measures, outcomes: list[Outcome]) -> None:
    """Add model calls; a stall is the time to the first token beyond that of the others."""
    first, gaps = histogram(), histogram()
    ready = [o.first_at - o.due_at for o in outcomes if o.first_at and not o.stalled]
    usual_s = statistics.median(ready) if ready else 0.0
    for outcome in outcomes:
        measures.asked += 1
        measures.resent += outcome.resends
        for gap in outcome.gaps:
            record(gaps, gap)
        left_at = outcome.first_at or outcome.ended_at
        if left_at is not None:
            waited_s = max(0.0, left_at - outcome.due_at - usual_s)
            if outcome.stalled:
                measures.add_stall(waited_s)
            else:
                measures.wait_s += waited_s
        add_end(measures, outcome)
        if outcome.complete:
            measures.answered += 1
            record(first, outcome.first_at - outcome.due_at)
    measures.first_ms = percentiles_ms(first)
    measures.gap_ms = percentiles_ms(gaps)


def add_end(measures: Measures, outcome: Outcome) -> None:
    """Count an answer that is wrong, a refusal, or a call without any answer."""
    if outcome.wrong:
        measures.wrong += 1
    elif outcome.refused:
        measures.refused[outcome.refused] = measures.refused.get(outcome.refused, 0) + 1
    elif not outcome.complete:
        measures.lost += 1


def add_bookings(measures: Measures, bookings: list[Booking], runs: dict[str, int]) -> None:
    """Check each booking's answer against how often the service ran it."""
    answered = {b.key for b in bookings if b.outcome.complete}
    for booking in bookings:
        ran = runs.get(booking.key, 0)
        add_end(measures, booking.outcome)
        if booking.again:
            continue
        measures.booked += 1
        if ran > 1:
            measures.doubled += 1
        if booking.outcome.complete and ran == 0:
            measures.lost += 1
        if booking.outcome.not_run and ran and booking.key not in answered:
            measures.wrong += 1
