"""Clock interface, so that tests can use a virtual clock."""

import datetime
import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall time."""

    def monotonic(self) -> float:
        """Return the seconds of a clock that never goes backwards."""

    def now(self) -> datetime.datetime:
        """Return the wall time in UTC."""

    def sleep(self, seconds: float) -> None:
        """Wait until ``seconds`` have passed on this clock."""


class SystemClock:
    """The operating system's clock; its monotonic time may stop during a suspension."""

    def monotonic(self) -> float:
        """Return the seconds of a clock that never goes backwards."""
        return time.monotonic()

    def now(self) -> datetime.datetime:
        """Return the wall time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def sleep(self, seconds: float) -> None:
        """Block the thread for ``seconds``."""
        time.sleep(seconds)


class SuspendAwareClock(SystemClock):
    """A clock that continues while the machine is suspended, so that the pause is detected."""

    def monotonic(self) -> float:
        """Return the seconds since the machine's start, including suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
