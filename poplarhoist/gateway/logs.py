"""Structured logs on standard output that never hold up a request.

Lines go into a bounded queue that a green thread writes out. Past a budget a second, lines are
left out and counted; failures have a budget of their own, so that a flood of successes does not
push them out.
"""

import errno
import os
from collections import deque

import eventlet
import orjson
import structlog
from eventlet.hubs import trampoline

from poplarhoist.clock import Clock

# Lines a second; from the processor time of a line (some 30 us), bounded to a hundredth of a core.
MAX_LINES_PER_S = 300
MAX_FAILURE_LINES_PER_S = 100
# Lines that wait for a slow reader; about half a megabyte.
MAX_QUEUED_LINES = 2000
FAILURE_EVENTS = frozenset(("refused", "again", "tick-failed", "message-failed"))
POLL_INTERVAL_S = 0.05


class BoundedLog:
    """Writes JSON lines to a file descriptor, within a budget."""

    def __init__(self, clock: Clock, descriptor: int = 1) -> None:
        self.clock = clock
        self.descriptor = descriptor
        self.queue: deque[bytes] = deque()
        self.dropped_lines = 0
        self.current_second = -1
        self.lines_this_second = 0
        self.failure_lines_this_second = 0

    def start(self) -> None:
        """Begin to write."""
        os.set_blocking(self.descriptor, False)
        eventlet.spawn(self.run)

    def emit(self, event: str, **fields: object) -> None:
        """Queue a line, or leave it out and count it."""
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
        """Queue a line."""
        if len(self.queue) >= MAX_QUEUED_LINES:
            self.dropped_lines += 1
            return
        record = {"timestamp": now.isoformat(), "event": event, **fields}
        self.queue.append(orjson.dumps(record, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def run(self) -> None:
        """Write what is queued until the output is closed."""
        while True:
            if not self.queue:
                eventlet.sleep(POLL_INTERVAL_S)
                continue
            if not self.write_line():
                return

    def write_line(self) -> bool:
        """Write one line; return False once nobody can read the output any more."""
        data = self.queue.popleft()
        while data:
            try:
                data = data[os.write(self.descriptor, data) :]
            except BlockingIOError:
                trampoline(self.descriptor, write=True)
            except OSError as error:
                if error.errno == errno.EINTR:
                    continue
                # Nobody reads the output any more; requests go on without logs.
                self.queue.clear()
                return False
        return True

    def flush(self) -> None:
        """Write what is queued as far as the output takes it now."""
        while self.queue:
            try:
                os.write(self.descriptor, self.queue.popleft())
            except OSError:
                # The process is ending and must not wait for a slow reader.
                return


def configure_structlog(log: BoundedLog) -> None:
    """Send all log lines of this process to a bounded log."""
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.format_exc_info],
        logger_factory=lambda *_: log,
    )
