"""Splits server-sent event streams into whole events."""

# Blank lines that end an event, by the kind of line end that the stream uses.
EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
MAX_EVENT_END_BYTES = max(map(len, EVENT_ENDS))
ID_FIELD = b"id:"


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
