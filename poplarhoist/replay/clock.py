"""A virtual clock: time advances from one scheduled call to the next."""

import datetime
import heapq
import itertools
from collections.abc import Callable

START_TIME = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class VirtualClock:
    """Virtual time and the scheduled calls; calls due at the same time run in order."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()

    def monotonic(self) -> float:
        """Return the virtual seconds since the clock was made."""
        return self.seconds

    def now(self) -> datetime.datetime:
        """Return the virtual time of day, which starts at ``START_TIME``."""
        return START_TIME + datetime.timedelta(seconds=self.seconds)

    def sleep(self, seconds: float) -> None:
        """Advance the clock by some seconds, and run every call that falls due."""
        self.run_until(self.seconds + seconds)

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedule a call; a negative delay counts as zero."""
        due = self.seconds + max(0.0, seconds)
        heapq.heappush(self.queue, (due, next(self.sequence), call))

    def run_until(self, end: float) -> None:
        """Run every call that is due until a time, and advance the clock to that time."""
        while self.queue and self.queue[0][0] <= end:
            due, _, call = heapq.heappop(self.queue)
            self.seconds = due
            call()
        self.seconds = max(self.seconds, end)
