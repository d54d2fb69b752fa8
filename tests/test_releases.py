"""Entries of this release and of earlier ones understand one another while they run side by side.

A reader passes over fields that it does not know, gives fields that are missing their defaults, and
drops messages of types that it does not know. So a writer may add fields with defaults and types, and
must go on writing every field that an earlier release reads.
"""

import typing
from datetime import UTC, datetime

import attrs
import orjson
import pytest

from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import messages
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.gateway.peers import PeerTransport, message_converter
from poplarhoist.platform import decoder
from tests.releases import (
    ENTRY_RECORDS_BY_RELEASE,
    LEAD_RECORDS_BY_RELEASE,
    MESSAGES_BY_RELEASE,
)

MESSAGE_TYPES = {kind.__name__: kind for kind in typing.get_args(messages.Message)}
EARLIER_MESSAGES = [
    pytest.param(release, orjson.loads(line), id=f"{release}-{orjson.loads(line)['type']}")
    for release, text in MESSAGES_BY_RELEASE.items()
    for line in text.strip().splitlines()
]

READING = decoder.Reading(1.0, datetime.fromtimestamp(0.0, UTC), 3)


def read_message(data: dict) -> messages.Message:
    return message_converter.structure(data, messages.Message)


def write_message(message: messages.Message) -> dict:
    data = message_converter.unstructure(message, unstructure_as=messages.Message)
    return orjson.loads(orjson.dumps(data))


@pytest.mark.parametrize(("release", "data"), EARLIER_MESSAGES)
def test_message_of_an_earlier_release_is_read(release, data):
    message = read_message(data)
    assert type(message) is MESSAGE_TYPES[data["type"]]
    # What the earlier release has set is kept; what it does not know has a default.
    assert write_message(message).items() >= data.items() or data["type"] == "CrashEvidence"


@pytest.mark.parametrize(("release", "data"), EARLIER_MESSAGES)
def test_message_of_this_release_has_all_fields_that_an_earlier_one_reads(release, data):
    written = write_message(read_message(data))
    assert written.keys() >= data.keys()
    assert {name: type(written[name]) for name in data} == {
        name: type(value) for name, value in data.items()
    }


@pytest.mark.parametrize("kind", MESSAGE_TYPES.values(), ids=MESSAGE_TYPES)
def test_unknown_field_of_a_later_release_is_passed_over(kind):
    data = next(
        orjson.loads(line)
        for release in ("b183ee2", "unreleased")
        for line in MESSAGES_BY_RELEASE[release].strip().splitlines()
        if orjson.loads(line)["type"] == kind.__name__
    )
    assert read_message(data | {"from_a_later_release": 1}) == read_message(data)


@pytest.mark.parametrize("kind", MESSAGE_TYPES.values(), ids=MESSAGE_TYPES)
def test_fields_added_since_the_last_release_have_defaults(kind):
    lines = MESSAGES_BY_RELEASE["b183ee2"].strip().splitlines()
    released = {orjson.loads(line)["type"]: orjson.loads(line) for line in lines}
    added = [f for f in attrs.fields(kind) if f.name not in released.get(kind.__name__, {})]
    assert all(f.default is not attrs.NOTHING for f in added) or kind.__name__ not in released


class StubLoop:
    """Counts what the transport drops, and keeps what it submits."""

    name = "entry-1"

    def __init__(self) -> None:
        self.metrics = self
        self.counted: list[str] = []
        self.events: list[object] = []

    def set_handler(self, kind, handler) -> None:
        pass

    def event_time(self) -> float:
        return 1.0

    def count(self, name: str, labels: tuple[str, ...]) -> None:
        self.counted.append(name)

    def submit(self, event: object) -> None:
        self.events.append(event)


class StubSocket:
    """Returns datagrams, and then ends the receiver."""

    def __init__(self, *datagrams: bytes) -> None:
        self.datagrams = list(datagrams)

    def recvfrom(self, size: int) -> tuple[bytes, object]:
        if not self.datagrams:
            raise SystemExit
        return self.datagrams.pop(0), None


def test_message_of_an_unknown_type_is_dropped_and_the_next_one_received():
    loop = StubLoop()
    transport = PeerTransport.__new__(PeerTransport)
    transport.decision_loop = loop
    later = orjson.dumps(["entry-2", {"type": "FromALaterRelease", "engine": "e1"}])
    known = orjson.dumps(["entry-2", {"type": "NotLead", "engine": "e1"}])
    transport.socket = StubSocket(later, known)
    with pytest.raises(SystemExit):
        transport.run()
    assert loop.counted == ["peer_message_dropped"]
    assert [event.message for event in loop.events] == [messages.NotLead("e1")]


@pytest.mark.parametrize("more", [{}, {"from_a_later_release": 1}])
@pytest.mark.parametrize("release", MESSAGES_BY_RELEASE)
def test_store_records_of_other_releases_are_read(release, more):
    spec = ENTRY_RECORDS_BY_RELEASE[release] | more
    (event,) = decoder.decode_entry_event(READING, "entry-2", {"spec": spec}, False)
    expected = ev.EntryRecordChanged(
        1.0, "entry-2", "10.0.0.1", 7000, "north-a", spec.get("relay_port", 0)
    )
    assert event == expected
    item = {"spec": LEAD_RECORDS_BY_RELEASE[release] | more, "metadata": {"revision": 9}}
    (event,) = decoder.decode_lead_event(READING, "e1", item, False)
    assert event == ev.LeadSeen(1.0, "e1", "entry-1#b1", 4, Position(3, 9))
