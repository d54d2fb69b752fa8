"""Structured logs on standard output that never block a request.

Lines go into a bounded queue, which a green thread writes out. Lines above a limit per second are
dropped and counted. Failures have a limit of their own, so that a flood of successes does not crowd
them out.
"""

import errno
import os
from collections import deque

import eventlet
import orjson
import structlog
from eventlet.hubs import trampoline

from poplarhoist.clock import Clock

# A line takes about 30 us of processor time, so 300 lines per second take 1 % of a core.
MAX_LINES_PER_S = 300
MAX_FAILURE_LINES_PER_S = 100
# Lines that wait for a slow reader of the output; about half a megabyte.
MAX_QUEUED_LINES = 2000
# Log events that tell of an exception in the entry's own code.
FAULT_EVENTS = (
    "request-failed",
    "attempt-ended-by-exception",
    "request-abandoned",
    "effect-failed",
    "tick-failed",
    "message-failed",
    "watch-failed",
    "record-failed",
    "sweep-failed",
)
# Log events that count toward the limit for failures; "again" is a retry after a failed attempt.
FAILURE_EVENTS = frozenset(("refused", "again", *FAULT_EVENTS))
# Seconds between polls of an empty queue.
POLL_INTERVAL_S = 0.05


class BoundedLog:
    """Writes JSON lines to a file descriptor, within limits per second.

    Serves as the logger that structlog writes to.

    Attributes
    ----------
    dropped_lines : int
        Lines dropped since the last "lines-left-out" line.
    current_second : int
        Unix time to which `lines_this_second` and `failure_lines_this_second` belong.
    """

    def __init__(self, clock: Clock, descriptor: int = 1) -> None:
        self.clock = clock
        self.descriptor = descriptor
        self.queue: deque[bytes] = deque()
        self.dropped_lines = 0
        self.current_second = -1
        self.lines_this_second = 0
        self.failure_lines_this_second = 0

    def start(self) -> None:
        """Make the descriptor non-blocking and spawn the green thread that writes."""
        os.set_blocking(self.descriptor, False)
        eventlet.spawn(self.run)

    def emit(self, event: str, **fields: object) -> None:
        """Queue a line, or drop and count it if a limit is reached.

        A failure above the limit for failures counts toward the general limit. The first line of a
        later second is preceded by a line with the number of dropped ones.
        """
        now = self.clock.now()
        second = int(now.timestamp())
        if second != self.current_second:
            self.current_second, self.lines_this_second, self.failure_lines_this_second = (
                second,
                0,
                0,
            )
            if self.dropped_lines:
                self.enqueue(now, "lines-left-out", {"count": self.dropped_lines})
                self.dropped_lines = 0
        is_failure = event in FAILURE_EVENTS
        if is_failure and self.failure_lines_this_second < MAX_FAILURE_LINES_PER_S:
            self.failure_lines_this_second += 1
        elif self.lines_this_second < MAX_LINES_PER_S:
            self.lines_this_second += 1
        else:
            self.dropped_lines += 1
            return
        self.enqueue(now, event, fields)

    debug = info = warning = error = critical = exception = emit

    def enqueue(self, now, event: str, fields: dict[str, object]) -> None:
        """Queue a line; drop and count it if the queue is full."""
        if len(self.queue) >= MAX_QUEUED_LINES:
            self.dropped_lines += 1
            return
        record = {"timestamp": now.isoformat(), "event": event, **fields}
        self.queue.append(orjson.dumps(record, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def run(self) -> None:
        """Write queued lines until the output is closed; nothing is written after that."""
        while True:
            if not self.queue:
                eventlet.sleep(POLL_INTERVAL_S)
                continue
            if not self.write_line():
                return

    def write_line(self) -> bool:
        """Write one line; return False once the output fails for good."""
        data = self.queue.popleft()
        while data:
            try:
                data = data[os.write(self.descriptor, data) :]
            except BlockingIOError:
                trampoline(self.descriptor, write=True)
            except OSError as error:
                if error.errno == errno.EINTR:
                    continue
                # The reader of the output is gone; requests are served without logs.
                self.queue.clear()
                return False
        return True

    def flush(self) -> None:
        """Write queued lines at the end of the process, as far as the output accepts them now."""
        while self.queue:
            try:
                os.write(self.descriptor, self.queue.popleft())
            except OSError:
                # The process ends and must not wait for a slow reader.
                return


def configure_structlog(log: BoundedLog) -> None:
    """Make structlog send all log lines of this process to `log`."""
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.format_exc_info],
        logger_factory=lambda *_: log,
    )
