"""Simulates a plain service at endpoints of uneven speed on virtual time, for second attempts.

Of 36 slots at six endpoints, each works at 0.55 to 1.2 of the usual pace, drawn anew ten times a
second. One attempt in fifty takes eight times as long, whichever request it runs.
"""

import functools
import heapq
import itertools
import math
import random
from collections import deque

from attrs import define, field

from poplarhoist.decisions.common_effects import Count
from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.models import EndpointLoad
from tests.gateway import REGIONS, Gateway, plain_endpoint

ENDPOINTS = 6
SLOTS = 6
MAX_WAITING = 12
SPEEDS = (0.55, 1.2)
PACE_S = 0.1
WORK_S = 0.06
WORK_SIGMA = 0.4
STALL_SHARE, STALL_FACTOR = 0.02, 8.0
SECONDS = 40.0
TICK_S = 0.025
DEADLINE_S = 1.5
IN_TIME_S = 0.36
ZONES = ("north-a", "north-b")


@define
class Attempt:
    """An attempt at an endpoint; `work_s` is what is left of it at the usual pace."""

    entry: int
    dispatch: fx.Dispatch
    work_s: float
    expires_at: float
    worked_s: float = 0.0


@define
class Server:
    """An endpoint: what runs, and what waits, in order."""

    speed: float = 1.0
    running: list[Attempt] = field(factory=list)
    waiting: deque[Attempt] = field(factory=deque)


@define
class LoadResult:
    """What callers got: seconds until the answer of each answered request, and the work spent.

    Attributes
    ----------
    worked_s, wasted_s : float
        Seconds that slots were in use, and those of them for attempts that were cut.
    """

    requests: int = 0
    hedges: int = 0
    answered: int = 0
    in_time: int = 0
    worked_s: float = 0.0
    wasted_s: float = 0.0
    times_s: list[float] = field(factory=list)
    counts: dict[tuple[str, tuple], float] = field(factory=dict)

    def percentile_s(self, quantile: float) -> float:
        """Return a percentile of the times of answered requests."""
        ordered = sorted(self.times_s)
        return ordered[math.ceil(quantile * len(ordered)) - 1]


class HedgingLoad:
    """Entries, endpoints and callers on a virtual clock that advances in steps of 5 ms."""

    step_s = 0.005

    def __init__(
        self,
        share: float,
        hedge_ratio: float,
        seed: int,
        entries: int,
        max_waiting: int,
        is_sticky: bool,
    ) -> None:
        self.random = random.Random(seed)
        self.result = LoadResult()
        self.max_waiting = max_waiting
        # Whether what takes long is the request, so that another attempt takes as long.
        self.is_sticky = is_sticky
        self.at = 0.0
        names = [f"entry-{n}" for n in range(entries)]
        records = [
            plain_endpoint(n, zone=ZONES[n % 2], max_concurrent_requests=SLOTS)
            for n in range(ENDPOINTS)
        ]
        self.servers = {record.name: Server() for record in records}
        self.entries = []
        for number, name in enumerate(names):
            others = tuple(other for other in names if other != name)
            gateway = Gateway(name, others, hedge_ratio=hedge_ratio)
            gateway.state.zone = ZONES[number % 2]
            gateway.state.random = random.Random(f"{seed}{name}")
            gateway.configure()
            gateway.list_endpoints(*records)
            self.entries.append(gateway)
        assert set(ZONES) <= set(REGIONS)
        mean_work_s = WORK_S * math.exp(WORK_SIGMA**2 / 2)
        mean_work_s *= 1.0 + STALL_SHARE * (STALL_FACTOR - 1.0)
        capacity_per_s = ENDPOINTS * SLOTS * sum(SPEEDS) / 2 / mean_work_s
        self.arrivals: list[tuple[float, int, int]] = []
        at = 0.0
        for number in itertools.count():
            at += self.random.expovariate(share * capacity_per_s)
            if at >= SECONDS:
                break
            heapq.heappush(self.arrivals, (at, number, self.random.randrange(entries)))
        self.sent_at: dict[tuple[int, str], float] = {}
        self.seed = seed
        self.pace_random = random.Random(f"pace{seed}")

    def run(self) -> LoadResult:
        """Run the load to its end and return what came of it."""
        steps = int((SECONDS + DEADLINE_S) / self.step_s)
        for step in range(steps):
            self.at = step * self.step_s
            if step % round(PACE_S / self.step_s) == 0:
                for server in self.servers.values():
                    server.speed = self.pace_random.uniform(*SPEEDS)
            while self.arrivals and self.arrivals[0][0] <= self.at:
                self.arrive(*heapq.heappop(self.arrivals))
            for server in self.servers.values():
                self.work(server)
            for entry in range(len(self.entries)):
                if (step + entry) % round(TICK_S / self.step_s) == 0:
                    self.submit(entry, ev.Tick)
        return self.result

    def submit(self, entry: int, kind, **fields) -> None:
        """Apply an event at an entry, and carry out its effects."""
        gateway = self.entries[entry]
        gateway.at = self.at
        gateway.effects.clear()
        for effect in gateway.submit(kind, **fields):
            match effect:
                case fx.Dispatch():
                    self.send(entry, effect)
                case fx.Hedge():
                    self.result.hedges += 1
                    self.send(entry, effect.dispatch)
                case fx.CancelAttempt():
                    self.cut(entry, effect)
                case Count():
                    key = effect.counter, effect.labels
                    self.result.counts[key] = self.result.counts.get(key, 0.0) + effect.amount

    def arrive(self, at: float, number: int, entry: int) -> None:
        """Let a caller's request arrive."""
        self.result.requests += 1
        request_id = f"r{number}"
        self.sent_at[entry, request_id] = at
        fields = {"host": "host.test", "path": "/read/x", "deadline_s": DEADLINE_S}
        self.submit(entry, ev.RequestArrived, request_id=request_id, caller_id=request_id, **fields)

    def send(self, entry: int, dispatch: fx.Dispatch) -> None:
        """Let an attempt arrive at its endpoint, which turns it away if too many wait there."""
        server = self.servers[dispatch.endpoint.name]
        if len(server.waiting) >= self.max_waiting:
            self.end(entry, dispatch, ev.Outcome.NOT_RUN, status=503)
            return
        # The same for an attempt with second attempts and without them.
        number = 0 if self.is_sticky else dispatch.attempt
        draws = random.Random(f"{self.seed}{dispatch.request_id}#{number}")
        work_s = WORK_S * draws.lognormvariate(0.0, WORK_SIGMA)
        if draws.random() < STALL_SHARE:
            work_s *= STALL_FACTOR
        server.waiting.append(Attempt(entry, dispatch, work_s, self.at + dispatch.remaining_s))

    def work(self, server: Server) -> None:
        """Let an endpoint work for one step."""
        for attempt in [*server.running, *server.waiting]:
            if attempt.expires_at <= self.at:
                self.remove(server, attempt)
                self.end(attempt.entry, attempt.dispatch, ev.Outcome.TIMED_OUT)
        while server.waiting and len(server.running) < SLOTS:
            server.running.append(server.waiting.popleft())
        for attempt in list(server.running):
            if attempt not in server.running:
                continue
            attempt.work_s -= self.step_s * server.speed
            attempt.worked_s += self.step_s
            self.result.worked_s += self.step_s
            if attempt.work_s <= 0.0:
                self.remove(server, attempt)
                self.answer(server, attempt)

    def answer(self, server: Server, attempt: Attempt) -> None:
        """Let an answer arrive, with the load of its endpoint."""
        ids = {"request_id": attempt.dispatch.request_id, "attempt": attempt.dispatch.attempt}
        load = {"running": len(server.running), "waiting": len(server.waiting)}
        notice = ev.EndpointNotice(load=EndpointLoad(**load))
        self.submit(attempt.entry, ev.ResponseStarted, **ids, notice=notice)
        self.end(attempt.entry, attempt.dispatch, ev.Outcome.DONE, status=200)
        # When within the step the work was done.
        done_at = self.at + self.step_s + attempt.work_s / server.speed
        took_s = done_at - self.sent_at[attempt.entry, attempt.dispatch.request_id]
        self.result.answered += 1
        self.result.in_time += took_s <= IN_TIME_S
        self.result.times_s.append(took_s)

    def end(self, entry: int, dispatch: fx.Dispatch, outcome: ev.Outcome, **fields) -> None:
        """Let an attempt end."""
        ids = {"request_id": dispatch.request_id, "attempt": dispatch.attempt}
        self.submit(entry, ev.AttemptEnded, outcome=outcome, **ids, **fields)

    def remove(self, server: Server, attempt: Attempt) -> None:
        """Take an attempt off its endpoint."""
        (server.running if attempt in server.running else server.waiting).remove(attempt)

    def cut(self, entry: int, cancelled: fx.CancelAttempt) -> None:
        """Cut an attempt; its work was for nothing."""
        for server in self.servers.values():
            for attempt in [*server.running, *server.waiting]:
                ids = attempt.dispatch.request_id, attempt.dispatch.attempt
                if attempt.entry == entry and ids == (cancelled.request_id, cancelled.attempt):
                    self.result.wasted_s += attempt.worked_s
                    self.remove(server, attempt)


@functools.cache
def run_load(
    share: float,
    hedge_ratio: float,
    seed: int = 1,
    entries: int = 8,
    max_waiting: int = MAX_WAITING,
    is_sticky: bool = False,
) -> LoadResult:
    """Return the result of a load of this share of the endpoints' capacity."""
    return HedgingLoad(share, hedge_ratio, seed, entries, max_waiting, is_sticky).run()


def main() -> None:
    """Print the figures of docs/design/hedging.md."""
    cases = itertools.product(
        (
            (8, MAX_WAITING, False),
            (70, MAX_WAITING, False),
            (8, 10000, False),
            (8, MAX_WAITING, True),
        ),
        (0.3, 0.7, 0.95, 1.2),
        (0.0, 0.05),
    )
    for (entries, max_waiting, is_sticky), share, ratio in cases:
        result = run_load(share, ratio, 1, entries, max_waiting, is_sticky)
        without = run_load(share, 0.0, 1, entries, max_waiting, is_sticky)
        times = " ".join(
            f"{1000 * result.percentile_s(quantile):6.0f}" for quantile in (0.5, 0.95, 0.99, 0.999)
        )
        reasons = {
            key[1][0]: int(value)
            for key, value in result.counts.items()
            if key[0] == "hedge_not_sent"
        }
        print(
            f"{entries:2} {max_waiting:5} {is_sticky:1} {share} {ratio:4} {result.requests:6} {result.answered:6} {result.in_time:6} "
            f"{result.hedges:5} {result.worked_s / without.worked_s - 1:+.4f} {result.wasted_s / result.worked_s:.4f} {times} {reasons}",
            flush=True,
        )


if __name__ == "__main__":
    main()
