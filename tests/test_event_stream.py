"""Splitting of server-sent event streams into whole events."""

import pytest

from poplarhoist.entry.event_stream import (
    ContinuationCheck,
    EventSplitter,
    NoContinuation,
    count_events,
    find_last_event_id,
)

# Pieces as they arrive, what is returned for each, what is left over at the end.
SPLIT_CASES = {
    "one-by-one": ([b"id: 1\n\n", b"id: 2\n\n"], [b"id: 1\n\n", b"id: 2\n\n"], b""),
    "two-at-once": ([b"id: 1\n\nid: 2\n\n"], [b"id: 1\n\nid: 2\n\n"], b""),
    "within-an-event": ([b"id: 1\n\nid", b": 2\n\n"], [b"id: 1\n\n", b"id: 2\n\n"], b""),
    "within-an-event-end": ([b"id: 1\n", b"\nid: 2\n"], [b"", b"id: 1\n\n"], b"id: 2\n"),
    "crlf": ([b"id: 1\r\n\r", b"\nid: 2\r\n"], [b"", b"id: 1\r\n\r\n"], b"id: 2\r\n"),
    "cr": ([b"id: 1\r\rid: 2"], [b"id: 1\r\r"], b"id: 2"),
    "no-event": ([b"", b"data"], [b"", b""], b"data"),
}


@pytest.mark.parametrize("case", SPLIT_CASES)
def test_stream_is_split_into_whole_events(case):
    pieces, expected, left_over = SPLIT_CASES[case]
    splitter = EventSplitter()
    assert [splitter.feed(piece) for piece in pieces] == expected
    assert splitter.partial_event == left_over


@pytest.mark.parametrize(
    ("events", "count", "last_id"),
    [
        (b"id: 1\ndata: x\n\n", 1, "1"),
        (b"id: 1\r\ndata: x\r\n\r\nid:2\r\n\r\n", 2, "2"),
        (b"data: id: 7\n\n", 1, ""),
        (b"", 0, ""),
    ],
)
def test_whole_events_are_counted_and_the_last_id_is_found(events, count, last_id):
    assert (count_events(events), find_last_event_id(events)) == (count, last_id)


@pytest.mark.parametrize(
    ("last_id", "events", "continues"),
    [
        ("2", b"id: 3\ndata: x\n\nid: 4\n\n", True),
        ("9", b"id: 10\n\n", True),
        ("9" * 5000, b"id: 1" + b"0" * 5000 + b"\n\n", True),
        ("9" * 5000, b"id: " + b"8" * 5000 + b"\n\n", False),
        ("2", b"id: 02\n\n", False),
        ("2", b"id: 5\n\n", True),
        ("2", b"x-weight-versions: 2\nid: 3\n\n", True),
        ("2", b": comment\n\nid: 3\n\n", True),
        ("2", b"id: 3\n\ndata: x\n\n", True),
        ("a7", b"id: b1\n\n", True),
        ("2", b"id: 2\n\n", False),
        ("2", b"id: 1\n\n", False),
        ("2", b"data: x\n\n", False),
        ("2", b": comment\n\ndata: x\n\n", False),
        ("2", b"id: 3\n\nid: 3\n\n", False),
        ("2", b"id: 4\r\n\r\nid: 3\r\n\r\n", False),
        ("a7", b"id: a7\n\n", False),
    ],
)
def test_events_continue_a_stream_or_not(last_id, events, continues):
    check = ContinuationCheck(last_id)
    if continues:
        check.feed(events)
    else:
        with pytest.raises(NoContinuation):
            check.feed(events)
