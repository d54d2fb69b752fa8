"""A clock that moves only when the next event is due."""

import datetime
import heapq
import itertools
from collections.abc import Callable

START_TIME = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class VirtualClock:
    """Time and the calls that are due."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()

    def monotonic(self) -> float:
        """Return the virtual seconds since the start."""
        return self.seconds

    def now(self) -> datetime.datetime:
        """Return the virtual wall time."""
        return START_TIME + datetime.timedelta(seconds=self.seconds)

    def sleep(self, seconds: float) -> None:
        """Run what is due within some seconds."""
        self.run_until(self.seconds + seconds)

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Make a call due after some seconds."""
        due = self.seconds + max(0.0, seconds)
        heapq.heappush(self.queue, (due, next(self.sequence), call))

    def run_until(self, end: float) -> None:
        """Run every call due until a time."""
        while self.queue and self.queue[0][0] <= end:
            due, _, call = heapq.heappop(self.queue)
            self.seconds = due
            call()
        self.seconds = max(self.seconds, end)
