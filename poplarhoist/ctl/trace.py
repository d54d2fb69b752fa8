"""Tells the story of a request from the log files of all entries."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta
from pathlib import Path

import orjson
from attrs import define, field, frozen

from poplarhoist.context import Environment
from poplarhoist.ctl.arguments import Trace
from poplarhoist.errors import NotFoundError, SettingsError
from poplarhoist.status import ExitStatus

STEP = "trace-request"
# What else is told of the engines that a request met: their orders and doubts, starts and ends.
ENGINE_EVENTS = frozenset(
    (
        "order",
        "order-not-taken",
        "places-in-doubt",
        "places-known",
        "lead-begun",
        "lead-lost",
        "lead-released",
        "lead-silent",
        "endpoint-restarted",
        "endpoint-leaving",
        "endpoint-missing",
        "endpoint-gone",
    )
)
# Events that concern an entry as a whole and explain what its requests met.
ENTRY_EVENTS = frozenset(
    ("lines-left-out", "store-lost", "store-regained", "entry-was-paused", "entry-draining")
)
# Time before a request's first line within which such events are told; an order is given, or a
# lead lost, shortly before the request that meets its effect.
BEFORE = timedelta(seconds=2)
LEFT_OUT = ("timestamp", "event", "entry", "level", "request", "caller_id")


@frozen(order=True)
class Line:
    """A line of a log file."""

    at: datetime
    entry: str
    event: str
    fields: dict[str, object] = field(eq=False)


@define
class LogFiles:
    """The lines of several log files, and how many could not be read."""

    lines: list[Line] = field(factory=list)
    unreadable: int = 0

    def read(self, path: Path) -> None:
        """Read a file; a line that is not the product's is counted and left out.

        Raises
        ------
        SettingsError
            If the file cannot be read.
        """
        try:
            data = path.read_bytes()
        except OSError as error:
            raise SettingsError(error.strerror or str(error), STEP, str(path)) from error
        for text in data.splitlines():
            try:
                fields = orjson.loads(text)
                at = datetime.fromisoformat(fields["timestamp"])
                line = Line(at, str(fields.get("entry", "")), fields["event"], fields)
            except (ValueError, TypeError, KeyError):
                self.unreadable += 1
                continue
            self.lines.append(line)


def story(lines: Iterable[Line], caller_id: str) -> list[Line]:
    """Return the lines of a request, and those that explain them, in the order of time.

    Raises
    ------
    NotFoundError
        If no line bears the id.
    """
    lines = list(lines)
    own = [line for line in lines if line.fields.get("caller_id") == caller_id]
    if not own:
        raise NotFoundError("no line bears this id", STEP, caller_id)
    begins, ends = min(line.at for line in own), max(line.at for line in own)
    engines = {line.fields.get(name) for line in own for name in ("engine", "endpoint", "asked")}
    entries = {line.entry for line in own}
    found = list(own)
    for line in lines:
        if not begins - BEFORE <= line.at <= ends:
            continue
        met = line.fields.get("engine") or line.fields.get("endpoint")
        of_engine = line.event in ENGINE_EVENTS and met and met in engines
        of_entry = line.event in ENTRY_EVENTS and line.entry in entries
        if of_engine or of_entry:
            found.append(line)
    return sorted(found)


def tell(line: Line, begins: datetime, own: bool) -> str:
    """Return a line of the story: seconds since the request's first line, where, and what."""
    fields = [f"{key}={value}" for key, value in line.fields.items() if key not in LEFT_OUT]
    mark = "*" if own else " "
    seconds = (line.at - begins).total_seconds()
    return " ".join([f"{seconds:8.3f} s {mark} {line.entry:<18} {line.event}", *fields])


def trace(env: Environment, command: Trace) -> ExitStatus:
    """Print the story of a request; its own lines bear a star."""
    files = LogFiles()
    for path in command.logs:
        files.read(path)
    lines = story(files.lines, command.request)
    if command.json:
        env.print(orjson.dumps([line.fields for line in lines]).decode())
        return ExitStatus.OK
    own = [line.fields.get("caller_id") == command.request for line in lines]
    begins = lines[own.index(True)].at
    for line, is_own in zip(lines, own, strict=True):
        env.print(tell(line, begins, is_own))
    if files.unreadable:
        env.print(f"{files.unreadable} lines could not be read")
    return ExitStatus.OK
