"""Few entries of a region read long records from the store; the others copy them."""

import socket
import time
import zlib
from collections import Counter

import orjson
import pytest

from poplarhoist.clock import SystemClock
from poplarhoist.decisions.gateway import copies
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.messages import News
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.decisions.gateway.reducer import reduce
from poplarhoist.entry.loop import DecisionLoop
from poplarhoist.entry.metrics import Metrics
from poplarhoist.gateway.copies import (
    ASK_INTERVAL_S,
    REVISION_HEADER,
    CopyReader,
    respond_with_copy,
)
from poplarhoist.gateway.interfaces import RecordsCopy
from poplarhoist.platform.copies import CopiedKind
from tests.gateway import Gateway

KIND = "configuration"
# Seconds within which a configuration must be in force at the users' smaller sites.
CONFIGURATION_DEADLINE_S = 3.0
ZONES = ("north-a", "north-b", "south-a")


def site(*sizes: int) -> dict[str, Gateway]:
    """Return the decisions of entries that know one another, by name; sizes are by zone."""
    zone_by_name = {
        f"{zone}-{n}": zone for zone, size in zip(ZONES, sizes, strict=True) for n in range(size)
    }
    entries = {}
    for name, zone in zone_by_name.items():
        entry = entries[name] = Gateway(name)
        entry.state.zone = zone
        for peer, peer_zone in zone_by_name.items():
            entry.submit(
                ev.EntryRecordChanged, name=peer, host="10.0.2.1", port=7000, zone=peer_zone
            )
        entry.submit(ev.EntriesListed, names=frozenset(zone_by_name))
    return entries


# Entries by zone (two zones of the north, one of the south), and readers of the north and the south.
@pytest.mark.parametrize(
    ("sizes", "north", "south"),
    [
        ((1, 0, 0), 1, 0),
        ((3, 3, 3), 6, 3),
        ((2, 2, 2), 4, 2),
        ((4, 3, 6), 4, 6),
        ((20, 17, 36), 4, 4),
        ((47, 47, 101), 4, 4),
        ((116, 116, 118), 4, 4),
    ],
)
def test_readers_of_a_long_record_do_not_grow_with_the_entries_of_a_region(sizes, north, south):
    entries = site(*sizes)
    readers = [name for name, entry in entries.items() if copies.reads_itself(entry.state, KIND, 0)]
    by_region = Counter(name.partition("-")[0] for name in readers)
    assert (by_region["north"], by_region["south"]) == (north, south)
    for name, entry in entries.items():
        asked = {peer.name for peer in copies.readers_to_ask(entry.state, KIND, 0.0)}
        region = {peer for peer in readers if peer.startswith(name.partition("-")[0])}
        assert name in readers or asked == region


@pytest.mark.parametrize("lost", [1, 4, 50])
def test_others_read_where_readers_are_silent(lost):
    entries = site(0, 0, 101)
    order = copies.reading_order(entries["south-a-0"].state, KIND, 0.0)
    left = entries[order[-1]].state
    for name in order[:lost]:
        left.entries[name].silent_until = 9.0
    asked = {peer.name for peer in copies.readers_to_ask(left, KIND, 1.0)}
    assert asked == set(order[lost : lost + copies.READERS_PER_REGION])


@pytest.mark.parametrize("gone", [1, 4, 50])
def test_others_read_where_only_records_are_left_of_readers(gone):
    """The records of entries that ended without a word stay; they were asked for good."""
    entries = site(0, 0, 101)
    order = copies.reading_order(entries["south-a-0"].state, KIND, 0.0)
    left = entries[order[gone]]
    for name in order[:gone]:
        left.submit(ev.CopyAsked, peer=name, is_reachable=False)
    assert copies.reads_itself(left.state, KIND, left.at)
    assert not set(order[:gone]) & {
        peer.name for peer in copies.readers_to_ask(left.state, KIND, left.at)
    }
    # One that speaks is a reader again.
    left.submit(ev.PeerMessageReceived, sender=order[0], message=News(KIND, 9))
    assert copies.reading_order(left.state, KIND, left.at)[0] == order[0]


@pytest.mark.parametrize(("missed", "pause_s"), [(1, 15.0), (2, 30.0), (3, 60.0), (9, 960.0)])
def test_entry_that_does_not_answer_is_asked_ever_more_rarely(missed, pause_s):
    entry = site(0, 0, 101)["south-a-0"]
    for _ in range(missed):
        entry.submit(ev.CopyAsked, peer="south-a-7", is_reachable=False)
    asked = entry.state.entries["south-a-7"]
    assert asked.no_copies_until == entry.at + pause_s
    entry.submit(ev.CopyAsked, peer="south-a-7", is_reachable=True)
    assert asked.no_copies_until < entry.at


def test_readers_that_do_not_answer_cost_less_than_a_change_may_be_late():
    """Four readers that were gone cost four seconds, before the store was asked."""
    entry = site(0, 0, 8)["south-a-0"]
    loop = DecisionLoop(entry.state, SystemClock(), Metrics(), "south-a-0", reduce, ())
    silent = socket.create_server(("127.0.0.1", 0))
    for peer in entry.state.entries.values():
        peer.host, peer.port = silent.getsockname()
    began_at = time.monotonic()
    assert CopyReader(loop, None, KIND).ask_readers(Position(1, 5)) is None
    assert time.monotonic() - began_at + ASK_INTERVAL_S < CONFIGURATION_DEADLINE_S
    silent.close()


def test_entries_that_told_of_a_change_and_are_gone_cost_less_than_it_may_be_late():
    """Each of them cost a second, twice, before a reader or the store was asked."""
    entry = site(0, 0, 12)["south-a-0"]
    loop = DecisionLoop(entry.state, SystemClock(), Metrics(), "south-a-0", reduce, ())
    silent = socket.create_server(("127.0.0.1", 0))
    for name, peer in entry.state.entries.items():
        peer.host, peer.port = silent.getsockname()
        if name in ("south-a-1", "south-a-2", "south-a-3"):
            entry.submit(ev.PeerMessageReceived, sender=name, message=News(KIND, 9, 1))
    began_at = time.monotonic()
    assert CopyReader(loop, None, KIND).wait_for_change(Position(1, 5)) is None
    assert time.monotonic() - began_at < CONFIGURATION_DEADLINE_S
    silent.close()


# How many of the others can tell, and how many are asked.
@pytest.mark.parametrize(("able", "asked"), [(63, 8), (1, 63), (0, 63)])
def test_entries_that_cannot_tell_are_not_all_that_are_asked_for_later_versions(
    monkeypatch, able, asked
):
    """With 40 of 64 records of entries that were gone, one start in 50 learned nothing."""
    entry = site(0, 0, 64)["south-a-0"]
    loop = DecisionLoop(entry.state, SystemClock(), Metrics(), "south-a-0", reduce, ())
    others = sorted(set(entry.state.entries) - {"south-a-0"})
    tried = []

    def adopt_from(reader: CopyReader, peer) -> bool:
        tried.append(peer.name)
        return peer.name in others[:able]

    monkeypatch.setattr(CopyReader, "adopt_from", adopt_from)
    CopyReader(loop, None, KIND).start_asking(0.0).wait()
    assert set(others[:able]) & set(tried) or not able
    assert len(tried) == len(set(tried)) == asked


@pytest.mark.parametrize(
    ("sizes", "count"), [((1, 0, 0), 1), ((3, 3, 3), 9), ((20, 17, 36), 8), ((47, 47, 101), 8)]
)
def test_watches_of_readers_alone_make_up_for_one_that_misses_a_change(sizes, count):
    """Their length grew with all entries, though only the readers have watches."""
    assert copies.reader_count(site(*sizes)["north-a-0"].state) == count


def test_entries_without_a_first_copy_give_up_looking_a_few_at_a_time():
    waits_s = [copies.copy_wait_s(entry.state, KIND, 0.0) for entry in site(0, 0, 101).values()]
    assert waits_s.count(0.0) == copies.READERS_PER_REGION
    by_wait = Counter(waits_s)
    assert [by_wait[wait_s] for wait_s in sorted(by_wait)][1:-1] == [4, 8, 16, 32]
    # The users' bound of a large site for a restart of all is 15 s.
    assert max(waits_s) <= 5.0


@pytest.mark.parametrize(
    ("place", "told", "source"),
    [
        (50, {}, None),
        (50, {"south-a-7": 5}, None),
        (50, {"south-a-7": 9}, "south-a-7"),
        (50, {"north-a-1": 9}, None),
        (50, {"north-a-1": 9, "south-a-7": 8}, "south-a-7"),
        (50, {"gone": 9}, None),
        (5, {"north-a-1": 9}, "north-a-1"),
        (5, {"north-a-1": 9, "south-a-7": 9}, "south-a-7"),
    ],
)
def test_records_are_copied_from_an_entry_that_is_ahead_and_close(place, told, source):
    entries = site(3, 3, 101)
    name = copies.reading_order(entries["south-a-0"].state, KIND, 0.0)[place]
    entry = entries[name]
    for sender, revision in told.items():
        entry.submit(ev.PeerMessageReceived, sender=sender, message=News(KIND, revision))
    chosen = copies.choose_source(entry.state, KIND, Position(0, 7), 0.0, ())
    assert (chosen and chosen.name) == source
    assert copies.choose_source(entry.state, KIND, Position(0, 7), 0.0, told) is None


def test_entry_that_left_is_no_source():
    entry = site(0, 0, 101)["south-a-0"]
    entry.submit(ev.PeerMessageReceived, sender="south-a-7", message=News(KIND, 9))
    entry.submit(ev.EntryRecordChanged, name="south-a-7")
    assert copies.choose_source(entry.state, KIND, Position(0, 7), 0.0, ()) is None


def test_notices_of_strangers_and_of_many_kinds_are_not_kept():
    entry = site(0, 0, 101)["south-a-0"]
    for number in range(1000):
        for sender in ("south-a-7", f"stranger-{number}"):
            entry.submit(ev.PeerMessageReceived, sender=sender, message=News(f"kind-{number}", 9))
    told = entry.state.told_positions_by_kind
    assert len(told) <= 16
    assert {sender for senders in told.values() for sender in senders} == {"south-a-7"}


def record(name: str, revision: int, **spec) -> dict:
    """Return a record of the store."""
    return {"metadata": {"name": name, "revision": revision}, "spec": spec}


def test_changes_of_a_watch_are_part_of_the_next_copy():
    kept = CopiedKind(10_000)
    assert kept.copy(Position(1, 0)) is None
    kept.replace([record("main", 5, version=1), record("old", 4)], Position(1, 8))
    kept.apply([], Position(1, 9))
    assert kept.copy(Position(1, 5)) == RecordsCopy(Position(1, 9), b"")
    kept.apply(
        [
            {"object": record("main", 12, version=2), "tombstone": False},
            {"object": record("old", 13), "tombstone": True},
        ],
        Position(1, 14),
    )
    copy = kept.copy(Position(1, 9))
    assert copy.position == Position(1, 14)
    reader = CopiedKind(10_000)
    assert reader.read(copy) == [record("main", 12, version=2)]
    assert reader.copy(Position(1, 13)) == RecordsCopy(Position(1, 14), b"")
    assert reader.copy(Position(1, 0)) == copy


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"no copy",
        zlib.compress(b"{}"),
        zlib.compress(b"["),
        zlib.compress(orjson.dumps([record("main", 5)]))[:-3],
        zlib.compress(b"[" + b" " * 100_000 + b"]"),
    ],
)
def test_bad_copy_is_refused_and_the_kept_one_stays(data):
    kept = CopiedKind(10_000)
    kept.replace([record("main", 5)], Position(1, 8))
    with pytest.raises(ValueError):
        kept.read(RecordsCopy(Position(1, 20), data))
    assert kept.items() == [record("main", 5)]
    assert kept.copy(Position(1, 5)) == RecordsCopy(Position(1, 8), b"")


class StubStore:
    """A store whose copy is given."""

    generation = 1

    def __init__(self, copy: RecordsCopy | None) -> None:
        self.kept = copy

    def copy(self, kind: str, after: Position) -> RecordsCopy | None:
        return self.kept


@pytest.mark.parametrize(
    ("copy", "query", "store_unavailable", "status"),
    [
        (RecordsCopy(Position(1, 9), b"data"), "after=3", False, "200"),
        (RecordsCopy(Position(1, 9), b"data"), "after=3", True, "200"),
        (RecordsCopy(Position(1, 9), b""), "after=9", False, "204"),
        (RecordsCopy(Position(1, 9), b""), "after=9", True, "503"),
        (None, "after=0", False, "503"),
        (None, "", False, "400"),
        (None, "after=-1", False, "400"),
        (None, "after=1&generation=x", False, "400"),
        (None, "after=x", False, "400"),
        (None, "after=%C2%B2", False, "400"),
        (None, "after=" + "9" * 5000, False, "400"),
    ],
)
def test_entry_tells_whether_it_has_newer_records(copy, query, store_unavailable, status):
    entry, answers = Gateway(), []
    entry.state.store_unavailable = store_unavailable
    environ = {"PATH_INFO": f"/copies/{KIND}", "QUERY_STRING": query}
    body = respond_with_copy(
        entry.state, StubStore(copy), environ, lambda line, headers: answers.append((line, headers))
    )
    [(line, headers)] = answers
    assert line.startswith(status)
    assert dict(headers).get(REVISION_HEADER) == ("9" if status in ("200", "204") else None)
    assert body == [copy.data if status == "200" else b""]


@pytest.mark.parametrize("gone", [0, 1, 3])
def test_entry_that_copies_does_not_say_that_there_is_nothing_newer(gone):
    """One that has found readers gone asks entries that have not, and copy from readers themselves."""
    entries = site(0, 0, 12)
    order = copies.reading_order(entries["south-a-0"].state, KIND, 0.0)
    asker = entries[order[-1]]
    for name in order[:gone]:
        asker.submit(ev.CopyAsked, peer=name, is_reachable=False)
    environ = {"PATH_INFO": f"/copies/{KIND}", "QUERY_STRING": "after=9"}
    store = StubStore(RecordsCopy(Position(1, 9), b""))
    lines = []
    for peer in copies.readers_to_ask(asker.state, KIND, asker.at):
        respond_with_copy(
            entries[peer.name].state, store, environ, lambda line, headers: lines.append(line[:3])
        )
    assert sorted(lines) == ["204"] * (4 - gone) + ["503"] * gone
