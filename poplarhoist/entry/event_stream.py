"""Splits server-sent event streams into whole events, and checks that one continues another."""

import re

# Blank lines that end an event, by the kind of line end that the stream uses.
EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
MAX_EVENT_END_BYTES = max(map(len, EVENT_ENDS))
ANY_EVENT_END = re.compile(b"|".join(EVENT_ENDS))
ID_FIELD = b"id:"
COMMENT = b":"


class EventSplitter:
    """Collects the bytes of a stream and returns its events once they are whole.

    Attributes
    ----------
    partial_event : bytearray
        Bytes after the last whole event. A stream that ends while there are any was cut short.
    """

    def __init__(self) -> None:
        self.partial_event = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Add bytes of the stream; return the events that are whole by now, or nothing."""
        # A blank line may have begun in the bytes before; the others were searched already.
        start = max(0, len(self.partial_event) - MAX_EVENT_END_BYTES + 1)
        self.partial_event += data
        end = 0
        for mark in EVENT_ENDS:
            found = self.partial_event.rfind(mark, start)
            if found >= 0:
                end = max(end, found + len(mark))
        whole_events = bytes(self.partial_event[:end])
        del self.partial_event[:end]
        return whole_events


def count_events(events: bytes) -> int:
    """Return how many events there are in bytes that `EventSplitter.feed` returned."""
    return sum(events.count(mark) for mark in EVENT_ENDS)


def find_last_event_id(events: bytes) -> str:
    """Return the id of the last event that has one; empty if none has."""
    for line in reversed(events.splitlines()):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""


class NoContinuation(ValueError):
    """What an endpoint sends does not continue the stream that it is to continue."""


class ContinuationCheck:
    """Checks that events follow the last event of a stream that another response began.

    Attributes
    ----------
    last_id : str
        Id of the last event so far.
    has_begun : bool
        Whether an event has been checked.
    """

    def __init__(self, last_id: str) -> None:
        self.last_id = last_id
        self.has_begun = False

    def feed(self, whole_events: bytes) -> None:
        """Check further events.

        The ids of a stream increase, but may leave gaps. Comments are no events.

        Raises
        ------
        NoContinuation
            If the first event has no id, or the id of any is not above the one before.
        """
        for event in ANY_EVENT_END.split(whole_events):
            if all(line.startswith(COMMENT) for line in event.splitlines()):
                continue
            event_id = find_last_event_id(event)
            if not event_id and not self.has_begun:
                raise NoContinuation("first event without an id")
            if event_id and not follows(event_id, self.last_id):
                raise NoContinuation(f"event {event_id[:40]!r} after {self.last_id[:40]!r}")
            self.last_id = event_id or self.last_id
            self.has_begun = True


def follows(event_id: str, last_id: str) -> bool:
    """Return whether an id is above another one; ids that are no numbers have only to differ."""
    if event_id.isdecimal() and last_id.isdecimal():
        # Compared as texts, as an id may have more digits than Python converts.
        digits, last_digits = event_id.lstrip("0"), last_id.lstrip("0")
        return (len(digits), digits) > (len(last_digits), last_digits)
    return event_id != last_id
