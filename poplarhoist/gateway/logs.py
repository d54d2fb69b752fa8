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
LINES_PER_S = 300
FAILURE_LINES_PER_S = 100
# Lines that wait for a slow reader; about half a megabyte.
QUEUE_LINES = 2000
FAILURES = frozenset(("refused", "again", "tick-failed", "message-failed"))
PAUSE_S = 0.05


class BoundedLog:
    """Writes JSON lines to a file descriptor, within a budget."""

    def __init__(self, clock: Clock, descriptor: int = 1) -> None:
        self.clock = clock
        self.descriptor = descriptor
        self.queue: deque[bytes] = deque()
        self.left_out = 0
        self.second = -1
        self.lines = 0
        self.failure_lines = 0

    def start(self) -> None:
        """Begin to write."""
        os.set_blocking(self.descriptor, False)
        eventlet.spawn(self.run)

    def take(self, event: str, **fields: object) -> None:
        """Queue a line, or leave it out and count it."""
        now = self.clock.now()
        second = int(now.timestamp())
        if second != self.second:
            self.second, self.lines, self.failure_lines = second, 0, 0
            if self.left_out:
                self.push(now, "lines-left-out", {"count": self.left_out})
                self.left_out = 0
        failure = event in FAILURES
        if failure and self.failure_lines < FAILURE_LINES_PER_S:
            self.failure_lines += 1
        elif self.lines < LINES_PER_S:
            self.lines += 1
        else:
            self.left_out += 1
            return
        self.push(now, event, fields)

    debug = info = warning = error = critical = exception = take

    def push(self, now, event: str, fields: dict[str, object]) -> None:
        """Queue a line."""
        if len(self.queue) >= QUEUE_LINES:
            self.left_out += 1
            return
        line = {"timestamp": now.isoformat(), "event": event, **fields}
        self.queue.append(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))

    def run(self) -> None:
        """Write what is queued until the output is closed."""
        while True:
            if not self.queue:
                eventlet.sleep(PAUSE_S)
                continue
            if not self.write_some():
                return

    def write_some(self) -> bool:
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


def configure(log: BoundedLog) -> None:
    """Send all log lines of this process to a bounded log."""
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.format_exc_info],
        logger_factory=lambda *_: log,
    )
