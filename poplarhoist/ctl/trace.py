"""Shows the events of one request in the log files of all entries."""

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
# Events of an engine or endpoint that are shown if the request used it: its orders, uncertain
# residency, changes of its lead, and its restarts and end.
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
# Events of a whole entry that are shown if the entry handled the request.
ENTRY_EVENTS = frozenset(
    (
        "lines-left-out",
        "store-lost",
        "store-regained",
        "links-lost",
        "links-regained",
        "entry-was-paused",
        "entry-draining",
    )
)
# Such events are shown from this long before the first line of the request, because an order or
# the loss of a lead comes shortly before the request that it affects.
LOOKBACK = timedelta(seconds=2)
OMITTED_FIELDS = ("timestamp", "event", "entry", "level", "request", "caller_id")


@frozen(order=True)
class LogLine:
    """One line of a log file.

    Lines are ordered by time, then by entry and event.

    Attributes
    ----------
    fields : dict
        All fields of the JSON line, those of the other attributes included.
    """

    logged_at: datetime
    entry: str
    event: str
    fields: dict[str, object] = field(eq=False)


@define
class LogFiles:
    """Lines of several log files, and the number of lines that are not JSON log lines."""

    lines: list[LogLine] = field(factory=list)
    unreadable_count: int = 0

    def read_file(self, path: Path) -> None:
        """Read a file; lines that are not log lines of poplarhoist are counted and skipped.

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
                logged_at = datetime.fromisoformat(fields["timestamp"])
                line = LogLine(logged_at, str(fields.get("entry", "")), fields["event"], fields)
            except (ValueError, TypeError, KeyError):
                self.unreadable_count += 1
                continue
            self.lines.append(line)


def select_lines(lines: Iterable[LogLine], caller_request_id: str) -> list[LogLine]:
    """Return the lines of a request and the related ones, ordered by time.

    The related lines are the events of the endpoints and entries that the request used, from
    ``LOOKBACK`` before its first line to its last line.

    Parameters
    ----------
    caller_request_id : str
        Request id that the caller sent.

    Raises
    ------
    NotFoundError
        If no line has the id.
    """
    lines = list(lines)
    request_lines = [line for line in lines if line.fields.get("caller_id") == caller_request_id]
    if not request_lines:
        raise NotFoundError("no log line has this request id", STEP, caller_request_id)
    first_at, last_at = min(line.logged_at for line in request_lines), max(
        line.logged_at for line in request_lines
    )
    endpoint_names = {
        line.fields.get(name) for line in request_lines for name in ("engine", "endpoint", "asked")
    }
    entry_names = {line.entry for line in request_lines}
    selected = list(request_lines)
    for line in lines:
        if not first_at - LOOKBACK <= line.logged_at <= last_at:
            continue
        endpoint = line.fields.get("engine") or line.fields.get("endpoint")
        is_endpoint_event = line.event in ENGINE_EVENTS and endpoint and endpoint in endpoint_names
        is_entry_event = line.event in ENTRY_EVENTS and line.entry in entry_names
        if is_endpoint_event or is_entry_event:
            selected.append(line)
    return sorted(selected)


def format_line(line: LogLine, first_at: datetime, is_own: bool) -> str:
    """Return a line of the output: offset in seconds, entry, event and remaining fields.

    The offset counts from the first line of the request. An asterisk marks its own lines.
    """
    fields = [f"{key}={value}" for key, value in line.fields.items() if key not in OMITTED_FIELDS]
    marker = "*" if is_own else " "
    offset_s = (line.logged_at - first_at).total_seconds()
    return " ".join([f"{offset_s:8.3f} s {marker} {line.entry:<18} {line.event}", *fields])


def trace_request(env: Environment, command: Trace) -> ExitStatus:
    """Print the lines of a request and the related ones, as text or as JSON."""
    files = LogFiles()
    for path in command.logs:
        files.read_file(path)
    lines = select_lines(files.lines, command.request)
    if command.json:
        env.print(orjson.dumps([line.fields for line in lines]).decode())
        return ExitStatus.OK
    own_flags = [line.fields.get("caller_id") == command.request for line in lines]
    first_at = lines[own_flags.index(True)].logged_at
    for line, is_own in zip(lines, own_flags, strict=True):
        env.print(format_line(line, first_at, is_own))
    if files.unreadable_count:
        env.print(f"{files.unreadable_count} lines could not be read")
    return ExitStatus.OK
