"""The clock as an interface, so that tests can pass in a virtual one."""

import datetime
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time."""

    def monotonic(self) -> float:
        """Return seconds of a clock that never goes back."""

    def now(self) -> datetime.datetime:
        """Return the wall time in UTC."""

    def sleep(self, seconds: float) -> None:
        """Let time pass."""


class SystemClock:
    """The clock of this machine."""

    def monotonic(self) -> float:
        """Return seconds of a clock that never goes back."""
        return time.monotonic()

    def now(self) -> datetime.datetime:
        """Return the wall time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def sleep(self, seconds: float) -> None:
        """Let time pass."""
        time.sleep(seconds)


class SuspendAwareClock(SystemClock):
    """A clock that goes on while the machine is suspended, so that a pause can be noticed."""

    def monotonic(self) -> float:
        """Return seconds since the machine's start, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
