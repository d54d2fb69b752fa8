"""Streams go on only at endpoints with the software version that began them."""

import orjson
import pytest

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway import messages
from poplarhoist.decisions.gateway.models import EndpointRecord, ServiceVersion
from poplarhoist.decisions.gateway.reducer import is_serving
from poplarhoist.decisions.gateway.software_versions import (
    LONGEST_START_S,
    OTHERS_WRITE_AFTER_S,
    WRITERS,
)
from poplarhoist.decisions.gateway.state import VERSION_MEMORY_S, SoftwareRecords
from poplarhoist.gateway.peers import message_converter
from tests.gateway import ROUTES, Gateway, effects_of, engine, only_effect, plain_endpoint, route

ENTRIES = ("entry-1", "entry-2", "entry-3")
V1, V2 = ServiceVersion("models", "v1"), ServiceVersion("models", "v2")


class Site:
    """Entries that exchange messages, with engines that hold the adapter a1.

    Attributes
    ----------
    entries : dict
        The entries by name; messages to entries that are not in it are lost.
    recorded : set
        Software versions that the store has a record of.
    calls : list
        Effects that were carried out at the store.
    """

    def __init__(self, *software_versions: str) -> None:
        self.records = [
            engine(number, held=("a1",), software_version=version)
            for number, version in enumerate(software_versions, 1)
        ]
        self.entries: dict[str, Gateway] = {}
        self.recorded: set[ServiceVersion] = set()
        self.calls: list[fx.WriteSoftwareRecord | fx.RemoveSoftwareRecord] = []
        for name in ENTRIES:
            self.start(name, is_first_start=True)

    def start(self, name: str, at: float = 0.0, is_first_start: bool = False) -> None:
        """Start an entry; one that was killed knows nothing of before but what the store holds."""
        entry = Gateway(name, tuple(peer for peer in ENTRIES if peer != name))
        entry.at = entry.state.started_at = at
        entry.state.is_first_start = is_first_start
        entry.state.software_records = SoftwareRecords()
        entry.configure()
        for record in self.records:
            entry.submit(ev.EndpointSeen, record=record)
        entry.submit(ev.EndpointsListed, names=frozenset(record.name for record in self.records))
        self.entries[name] = entry
        entry.effects.clear()
        for recorded in self.recorded:
            entry.submit(ev.SoftwareRecordSeen, service_version=recorded)
        entry.submit(ev.SoftwareRecordsListed)
        self.carry_out(name, entry.effects)

    def deliver(self, sender: str, effects: list) -> list:
        """Deliver the messages among effects, and the messages that follow; return all effects."""
        effects = list(effects)
        for effect in effects_of(fx.SendPeer, effects):
            receiver = self.entries.get(effect.peer)
            if receiver is not None:
                effects += self.deliver(effect.peer, receiver.receive(sender, effect.message))
        return effects

    def begin_stream(self, name: str, caller_id: str = "began") -> fx.Dispatch:
        """Let a stream begin at an entry and deliver its first event; return its dispatch."""
        entry = self.entries[name]
        _, effects = entry.request("/resume/x", "a1", caller_id=caller_id)
        dispatch = only_effect(fx.Dispatch, self.deliver(name, effects))
        started = entry.submit(
            ev.ResponseStarted, request_id=dispatch.request_id, attempt=dispatch.attempt
        )
        self.deliver(name, started)
        return dispatch

    def break_stream(self, name: str, dispatch: fx.Dispatch, delivered: bool = True) -> list:
        """Let the attempt of a stream break off; return the effects."""
        ended = self.entries[name].end_attempt(
            dispatch, ev.Outcome.BROKEN, delivered=delivered, reason="ConnectionResetError"
        )
        return self.deliver(name, ended)

    def resume_stream(self, name: str, caller_id: str = "began", seconds: float = 0.5) -> list:
        """Let the caller take its stream up at an entry; return the effects of some time."""
        entry = self.entries[name]
        _, effects = entry.request(
            "/resume/x", "a1", last_event_id="7", resumed_caller_id=caller_id
        )
        effects = self.deliver(name, effects)
        for _ in range(round(seconds / 0.025)):
            if effects_of(fx.Dispatch, effects) or effects_of(fx.Refuse, effects):
                break
            for other_name, other in self.entries.items():
                effects += self.deliver(other_name, other.advance(0.025))
        return effects

    def advance(self, seconds: float) -> None:
        """Let time pass at all entries, which write to the store meanwhile."""
        for _ in range(round(seconds / 0.25)):
            for name, entry in self.entries.items():
                self.carry_out(name, self.deliver(name, entry.advance(0.25, step_s=0.25)))

    def see(self, name: str, record: EndpointRecord) -> list:
        """Let an entry see an endpoint, and the store carry out what follows; return the effects."""
        effects = self.entries[name].submit(ev.EndpointSeen, record=record)
        self.carry_out(name, effects)
        return effects

    def carry_out(self, name: str, effects: list) -> None:
        """Carry out the calls to the store among effects."""
        for call in list(effects):
            match call:
                case fx.WriteSoftwareRecord():
                    self.recorded.add(call.service_version)
                    ended = ev.SoftwareRecordWritten
                case fx.RemoveSoftwareRecord():
                    self.recorded.discard(call.service_version)
                    ended = ev.SoftwareRecordRemoved
                case _:
                    continue
            self.calls.append(call)
            fields = {"service_version": call.service_version, "status": ev.CallStatus.OK}
            self.deliver(name, self.entries[name].submit(ended, **fields))

    def kill_all(self, *remaining: str) -> None:
        """Kill all entries at once; those that come back find only these versions."""
        at = max(entry.at for entry in self.entries.values())
        self.entries.clear()
        self.records = [
            engine(number, held=("a1",), software_version=version, incarnation=2)
            for number, version in enumerate(remaining, 1)
        ]
        for name in ENTRIES:
            self.start(name, at + 2.0)

    def crowd_engine(self, engine_name: str) -> None:
        """Let every entry believe that an engine is busy, so that others are preferred."""
        for entry in self.entries.values():
            state = entry.state.endpoints[engine_name]
            state.reported_load, state.load_reported_at = 60, entry.at + 100.0

    def software_of(self, dispatch: fx.Dispatch) -> str:
        return dispatch.endpoint.software_version


# Versions of the engines; the first of them begins the stream.
SOFTWARE_CASES = [("v1", "v2"), ("v1", "v2", "v1"), ("v1", "v2", "v2", "v1.1"), ("", "v1")]


@pytest.mark.parametrize("versions", SOFTWARE_CASES)
def test_broken_stream_does_not_go_on_at_another_software_version(versions):
    site = Site(*versions)
    dispatch = site.begin_stream("entry-1")
    site.crowd_engine(dispatch.endpoint.name)
    effects = site.break_stream("entry-1", dispatch)
    next_dispatches = effects_of(fx.Dispatch, effects)
    assert {site.software_of(d) for d in next_dispatches} == {site.software_of(dispatch)}


@pytest.mark.parametrize("versions", SOFTWARE_CASES)
@pytest.mark.parametrize("resumed_at", ["same-entry", "other-entry", "after-a-kill"])
def test_stream_resumed_by_its_caller_goes_on_at_its_software_version(versions, resumed_at):
    site = Site(*versions)
    dispatch = site.begin_stream("entry-1")
    site.crowd_engine(dispatch.endpoint.name)
    if resumed_at == "after-a-kill":
        del site.entries["entry-1"]
    name = "entry-1" if resumed_at == "same-entry" else "entry-2"
    next_dispatch = only_effect(fx.Dispatch, site.resume_stream(name))
    assert site.software_of(next_dispatch) == site.software_of(dispatch)


def test_restarted_entry_learns_from_others_where_a_stream_began():
    site = Site("v1", "v2")
    dispatch = site.begin_stream("entry-1")
    site.crowd_engine(dispatch.endpoint.name)
    site.start("entry-2")
    site.crowd_engine(dispatch.endpoint.name)
    next_dispatch = only_effect(fx.Dispatch, site.resume_stream("entry-2"))
    assert site.software_of(next_dispatch) == site.software_of(dispatch)


def test_stream_that_was_retried_before_its_first_event_counts_as_begun_at_the_retry():
    site = Site("v1", "v2")
    first = site.begin_stream("entry-1")
    site.crowd_engine(first.endpoint.name)
    second = only_effect(fx.Dispatch, site.break_stream("entry-1", first, delivered=False))
    assert site.software_of(second) != site.software_of(first)
    started = site.entries["entry-1"].submit(
        ev.ResponseStarted, request_id=second.request_id, attempt=second.attempt
    )
    site.deliver("entry-1", started)
    site.crowd_engine(second.endpoint.name)
    next_dispatch = only_effect(fx.Dispatch, site.resume_stream("entry-2"))
    assert site.software_of(next_dispatch) == site.software_of(second)


@pytest.mark.parametrize("caller_id", ["unknown", ""])
def test_stream_of_unknown_software_version_is_refused_while_several_serve(caller_id):
    site = Site("v1", "v2")
    refusal = only_effect(fx.Refuse, site.resume_stream("entry-2", caller_id))
    assert (refusal.reason.name, refusal.ran) == ("SOFTWARE_VERSION", False)
    assert refusal.retry_after_s == 0.0


@pytest.mark.parametrize("caller_id", ["unknown", ""])
def test_stream_of_unknown_software_version_goes_on_while_only_one_serves(caller_id):
    site = Site("v1", "v1")
    assert effects_of(fx.Dispatch, site.resume_stream("entry-2", caller_id))


def test_stream_is_refused_at_once_when_its_software_version_is_gone():
    site = Site("v1", "v2")
    dispatch = site.begin_stream("entry-1")
    for entry in site.entries.values():
        entry.submit(ev.EndpointRemoved, name=dispatch.endpoint.name)
    refusal = only_effect(fx.Refuse, site.resume_stream("entry-2", seconds=0.0))
    assert refusal.reason.name == "SOFTWARE_VERSION"


def test_streams_that_cannot_be_resumed_are_placed_at_any_software_version():
    site = Site("v1", "v2")
    entry = site.entries["entry-1"]
    _, effects = entry.request("/stream/x", "a1", last_event_id="7", resumed_caller_id="unknown")
    assert effects_of(fx.Dispatch, effects)


@pytest.mark.parametrize(
    "message",
    [
        messages.StreamBegan("began", 2, "v1.2", "models"),
        messages.AskStreamOrigin("began"),
        messages.SoftwareRecorded("models", "v1.2"),
    ],
)
def test_messages_about_streams_survive_the_wire(message):
    data = orjson.dumps(message_converter.unstructure(message, unstructure_as=messages.Message))
    assert message_converter.structure(orjson.loads(data), messages.Message) == message


def test_nothing_is_told_of_streams_while_there_is_one_software_version():
    site = Site("v1", "v1")
    dispatch = site.begin_stream("entry-1")
    told = effects_of(fx.SendPeer, site.entries["entry-1"].effects)
    assert not [effect for effect in told if isinstance(effect.message, messages.StreamBegan)]
    # A second version appears while the stream runs, and the entry that began it is killed.
    for name in ENTRIES:
        site.see(name, engine(3, held=("a1",), software_version="v2"))
    site.deliver("entry-1", site.entries["entry-1"].advance(0.5))
    del site.entries["entry-1"]
    site.crowd_engine("e1")
    site.crowd_engine("e2")
    next_dispatch = only_effect(fx.Dispatch, site.resume_stream("entry-2"))
    assert site.software_of(next_dispatch) == site.software_of(dispatch)


def test_a_software_version_that_was_replaced_lately_still_counts():
    site = Site("v1", "v2")
    for entry in site.entries.values():
        entry.advance(VERSION_MEMORY_S + 1.0, step_s=0.25)
        entry.submit(ev.EndpointRemoved, name="e1")
    assert effects_of(fx.Refuse, site.resume_stream("entry-2", "unknown"))
    for entry in site.entries.values():
        entry.advance(VERSION_MEMORY_S + 1.0, step_s=0.25)
    assert effects_of(fx.Dispatch, site.resume_stream("entry-2", "unknown"))


def test_a_software_version_that_an_engine_left_behind_at_a_restart_still_counts():
    site = Site("v1")
    entry = site.entries["entry-2"]
    entry.advance(VERSION_MEMORY_S + 1.0, step_s=0.25)
    restarted = engine(1, held=("a1",), software_version="v2", incarnation=2)
    entry.submit(ev.EndpointSeen, record=restarted)
    assert effects_of(fx.Refuse, site.resume_stream("entry-2", "unknown"))


def test_a_service_without_endpoints_refuses_as_such():
    site = Site()
    refusal = only_effect(fx.Refuse, site.resume_stream("entry-2", "unknown", seconds=1.0))
    assert refusal.reason.name == "NO_ENDPOINT"


def test_streams_are_forgotten_after_a_while():
    site = Site("v1", "v2")
    site.begin_stream("entry-1")
    states = [entry.state for entry in site.entries.values()]
    assert any(state.stream_origins for state in states)
    for entry in site.entries.values():
        entry.advance(VERSION_MEMORY_S + 1.0, step_s=0.25)
    assert not any(state.stream_origins for state in states)


# Software versions before all entries are killed, and those that are left when they are back.
@pytest.mark.parametrize(
    ("before", "after", "goes_on"),
    [
        (("v1", "v2"), ("v1", "v2"), False),
        (("v1", "v2"), ("v2", "v2"), False),
        (("v1", "v1"), ("v1", "v1"), True),
    ],
)
def test_stream_is_not_joined_from_two_versions_after_all_entries_were_killed(
    before, after, goes_on
):
    site = Site(*before)
    site.begin_stream("entry-1")
    site.advance(2.0)
    site.kill_all(*after)
    effects = site.resume_stream("entry-2")
    assert bool(effects_of(fx.Dispatch, effects)) is goes_on
    if not goes_on:
        refusal = only_effect(fx.Refuse, effects)
        assert (refusal.reason.name, refusal.ran) == ("SOFTWARE_VERSION", False)


def test_stream_is_not_joined_after_the_old_version_left_and_all_entries_were_killed():
    site = Site("v1", "v2")
    site.advance(2.0)
    for entry in site.entries.values():
        entry.submit(ev.EndpointRemoved, name="e1")
    site.advance(20.0)
    site.kill_all("v2")
    assert effects_of(fx.Refuse, site.resume_stream("entry-2"))


def test_record_of_a_version_is_removed_once_it_no_longer_counts():
    site = Site("v1", "v2")
    site.advance(2.0)
    assert site.recorded == {V1, V2}
    site.kill_all("v2")
    site.advance(VERSION_MEMORY_S - 1.0)
    assert site.recorded == {V1, V2}
    site.advance(3.0)
    assert site.recorded == {V2}
    site.kill_all("v2")
    assert effects_of(fx.Dispatch, site.resume_stream("entry-2"))
    # One write for each version and one removal by each of the writers.
    assert len(site.calls) <= 3 * WRITERS


@pytest.mark.parametrize("is_listed", [True, False])
def test_entry_that_has_not_read_the_records_refuses_a_stream_of_unknown_origin(is_listed):
    site = Site("v1")
    site.entries["entry-2"].state.software_records.is_listed = is_listed
    kind = fx.Dispatch if is_listed else fx.Refuse
    assert effects_of(kind, site.resume_stream("entry-2"))


@pytest.mark.parametrize("status", [ev.CallStatus.REFUSED, ev.CallStatus.UNKNOWN])
def test_write_of_a_record_that_fails_is_repeated(status):
    site = Site("v1")
    entry = site.entries["entry-1"]
    new = engine(2, held=("a1",), software_version="v2")
    (write,) = effects_of(fx.WriteSoftwareRecord, entry.submit(ev.EndpointSeen, record=new))
    fields = {"service_version": write.service_version, "status": status}
    entry.submit(ev.SoftwareRecordWritten, **fields)
    assert effects_of(fx.WriteSoftwareRecord, entry.advance(1.5)) == [write]


def test_stream_is_not_joined_from_two_versions_that_were_never_seen_together():
    """The new version registers and the old one leaves while entries read stale records, then none."""
    site = Site("v1", "v1")
    site.begin_stream("entry-1")
    site.advance(100.0)
    site.begin_stream("entry-1")
    site.kill_all("v2", "v2")
    refusal = only_effect(fx.Refuse, site.resume_stream("entry-2"))
    assert (refusal.reason.name, refusal.ran) == ("SOFTWARE_VERSION", False)


def see_new_version(site: Site, old: str = "e1") -> Gateway:
    """Let an entry see an endpoint of a new version that it prefers; return the entry."""
    site.crowd_engine(old)
    entry = site.entries["entry-1"]
    entry.submit(ev.EndpointSeen, record=engine(2, held=("a1",), software_version="v2"))
    return entry


# What the entry learns of the record of the new version, and where a stream begins then.
@pytest.mark.parametrize(
    ("learned", "begins_at"),
    [
        ("nothing", "v1"),
        ("failed", "v1"),
        ("written", "v2"),
        ("told", "v2"),
        ("told-by-a-stranger", "v1"),
    ],
)
def test_stream_begins_only_at_a_recorded_version(learned, begins_at):
    site = Site("v1")
    entry = see_new_version(site)
    match learned:
        case "written":
            entry.submit(ev.SoftwareRecordWritten, service_version=V2, status=ev.CallStatus.OK)
        case "failed":
            status = ev.CallStatus.UNKNOWN
            entry.submit(ev.SoftwareRecordWritten, service_version=V2, status=status)
        case "told":
            entry.receive("entry-2", messages.SoftwareRecorded("models", "v2"))
        case "told-by-a-stranger":
            entry.receive("stranger", messages.SoftwareRecorded("models", "v2"))
    assert site.software_of(site.begin_stream("entry-1")) == begins_at


def test_stream_waits_briefly_for_the_record_of_the_only_version():
    site = Site("v1")
    entry = see_new_version(site)
    entry.submit(ev.EndpointRemoved, name="e1")
    _, effects = entry.request("/resume/x", "a1")
    assert not effects_of(fx.Dispatch, effects) and not effects_of(fx.Refuse, effects)
    entry.submit(ev.SoftwareRecordWritten, service_version=V2, status=ev.CallStatus.OK)
    assert site.software_of(only_effect(fx.Dispatch, entry.advance(0.025))) == "v2"
    # Without a record it is refused, as not run, and may come back.
    site = Site("v1")
    entry = see_new_version(site)
    entry.submit(ev.EndpointRemoved, name="e1")
    _, effects = entry.request("/resume/x", "a1")
    refusal = only_effect(fx.Refuse, effects + entry.advance(0.5))
    assert (refusal.ran, refusal.retry_after_s > 0.0) == (False, True)


@pytest.mark.parametrize("path", ["/stream/x", "/read/x"])
def test_requests_that_cannot_be_resumed_need_no_record(path):
    site = Site("v1")
    entry = see_new_version(site)
    entry.submit(ev.EndpointRemoved, name="e1")
    entry.submit(ev.EndpointSeen, record=plain_endpoint(1))
    adapter = "a1" if path == "/stream/x" else None
    assert effects_of(fx.Dispatch, entry.request(path, adapter)[1])
    written = effects_of(fx.WriteSoftwareRecord, entry.effects)
    assert {write.service_version.service for write in written} <= {"models"}


# Whether an endpoint with a recorded version is left, whether the records were read, and where streams
# begin without the store.
@pytest.mark.parametrize(
    ("is_old_left", "is_listed", "begins_at"),
    [(True, True, "v1"), (False, True, "v2"), (False, False, "v2")],
)
def test_streams_go_on_to_begin_while_the_store_is_unreachable(is_old_left, is_listed, begins_at):
    site = Site("v1")
    entry = see_new_version(site)
    if not is_listed:
        entry.state.software_records = SoftwareRecords(resumable_services={"models"})
    if not is_old_left:
        entry.submit(ev.EndpointRemoved, name="e1")
    entry.submit(ev.StoreAvailabilityChanged, available=False)
    entry.advance(0.5)
    assert site.software_of(site.begin_stream("entry-1")) == begins_at
    entry.submit(ev.StoreAvailabilityChanged, available=True)
    effects = entry.submit(ev.SoftwareRecordsListed) + entry.advance(1.5)
    assert not entry.state.software_records.unrecordable_services
    assert V2 in {write.service_version for write in effects_of(fx.WriteSoftwareRecord, effects)}


# What happens at a start, and whether the entry is ready then.
@pytest.mark.parametrize(
    ("happens", "is_ready"),
    [
        ("nothing", False),
        ("records-read", False),
        ("record-written", True),
        ("record-found", True),
        ("store-lost", True),
        ("long-wait", True),
    ],
)
def test_entry_is_ready_once_it_can_begin_streams(happens, is_ready):
    """Its first streams were refused, while other entries could have served them."""
    entry = Gateway()
    entry.state.software_records = SoftwareRecords()
    entry.configure()
    for kind in (ev.EndpointSeen, ev.EndpointsListed):
        record = engine(1, software_version="v1")
        known = {"record": record} if kind is ev.EndpointSeen else {"names": frozenset(("e1",))}
        entry.submit(kind, **known)
    if happens == "record-found":
        entry.submit(ev.SoftwareRecordSeen, service_version=V1)
    if happens.startswith("record"):
        entry.submit(ev.SoftwareRecordsListed)
    if happens == "record-written":
        entry.submit(ev.SoftwareRecordWritten, service_version=V1, status=ev.CallStatus.OK)
    if happens == "store-lost":
        entry.submit(ev.StoreAvailabilityChanged, available=False)
    if happens == "long-wait":
        entry.advance(LONGEST_START_S + 1.0)
    assert is_serving(entry.state) is is_ready


def test_entry_stays_ready_while_a_new_version_has_no_record():
    entry = Gateway()
    entry.configure()
    entry.list_endpoints(engine(1, software_version="v1"))
    assert is_serving(entry.state)
    entry.submit(ev.EndpointSeen, record=engine(2, software_version="v2"))
    assert is_serving(entry.state)


def test_entries_that_are_no_writers_write_a_record_only_if_nobody_tells_them():
    names = tuple(f"entry-{number}" for number in range(1, 10))
    written_after_s = {}
    for name in names:
        entry = Gateway(name, tuple(peer for peer in names if peer != name))
        entry.configure()
        entry.list_endpoints(engine(1, software_version="v1"))
        entry.submit(ev.EndpointSeen, record=engine(2, software_version="v2"))
        entry.advance(2.0)
        told = Gateway(name, tuple(peer for peer in names if peer != name))
        told.configure()
        told.list_endpoints(engine(1, software_version="v1"))
        told.submit(ev.EndpointSeen, record=engine(2, software_version="v2"))
        told.receive(names[0], messages.SoftwareRecorded("models", "v2"))
        told.advance(2.0)
        is_writer = bool(effects_of(fx.WriteSoftwareRecord, told.effects))
        written_after_s[name] = 0.0 if is_writer else OTHERS_WRITE_AFTER_S
        assert effects_of(fx.WriteSoftwareRecord, entry.effects)
    assert sorted(written_after_s.values())[:WRITERS] == [0.0] * WRITERS
    assert sum(after_s == 0.0 for after_s in written_after_s.values()) == WRITERS


# Whether the whole site starts for the first time, whether the service has a record, and whether a
# stream of unknown origin goes on.
@pytest.mark.parametrize(
    ("is_first_start", "has_record", "goes_on"),
    [(True, False, True), (False, True, True), (False, False, False)],
)
def test_service_without_a_record_may_have_streams_of_earlier_releases(
    is_first_start, has_record, goes_on
):
    site = Site("v1")
    site.recorded = {V1} if has_record else set()
    site.entries.clear()
    for name in ENTRIES:
        site.recorded = {V1} if has_record else set()
        site.start(name, 10.0, is_first_start)
    effects = site.resume_stream("entry-2")
    assert bool(effects_of(fx.Dispatch, effects)) is goes_on


@pytest.mark.parametrize(("timeout_s", "memory_s"), [(6.0, VERSION_MEMORY_S), (60.0, 120.0)])
def test_version_counts_for_as_long_as_streams_may_be_resumed(timeout_s, memory_s):
    site = Site("v1")
    for entry in site.entries.values():
        entry.configure(2, (*ROUTES, route("/long/", resumable=True, timeout_s=timeout_s)))
    site.advance(1.0)
    for name in ENTRIES:
        site.see(name, engine(2, held=("a1",), software_version="v2"))
        site.entries[name].submit(ev.EndpointRemoved, name="e1")
    site.advance(memory_s - 1.0)
    assert site.recorded == {V1, V2}
    assert effects_of(fx.Refuse, site.resume_stream("entry-2", "unknown"))
    site.advance(5.0)
    assert site.recorded == {V2}
    assert effects_of(fx.Dispatch, site.resume_stream("entry-2", "unknown"))


def test_record_stays_if_its_version_is_back():
    """An endpoint with the version may have registered before this entry has seen it."""
    site = Site("v1", "v2")
    entry = site.entries["entry-1"]
    entry.submit(ev.EndpointRemoved, name="e1")
    effects = entry.advance(VERSION_MEMORY_S + 1.0, step_s=0.25)
    assert V1 in {call.service_version for call in effects_of(fx.RemoveSoftwareRecord, effects)}
    entry.submit(ev.SoftwareRecordRemoved, service_version=V1, status=ev.CallStatus.CONFLICT)
    assert not effects_of(fx.RemoveSoftwareRecord, entry.advance(5.0, step_s=0.25))
    # A version that is back is recorded again before a stream begins at it.
    effects = entry.submit(ev.EndpointSeen, record=engine(3, held=("a1",), software_version="v1"))
    assert effects_of(fx.WriteSoftwareRecord, effects) == [fx.WriteSoftwareRecord(V1)]


def test_records_that_a_restored_store_lacks_are_written_again():
    site = Site("v1", "v2")
    entry = site.entries["entry-1"]
    entry.submit(ev.StoreGenerationSeen, generation=1)
    entry.submit(ev.EndpointRemoved, name="e1")
    entry.advance(1.0)
    entry.submit(ev.StoreGenerationSeen, generation=2)
    effects = entry.submit(ev.SoftwareRecordsListed)
    written = {write.service_version for write in effects_of(fx.WriteSoftwareRecord, effects)}
    assert written == {V1, V2}


@pytest.mark.parametrize("others_reached", [0, 1, 2])
@pytest.mark.parametrize("started_s_ago", [1.0, 100.0])
def test_entry_out_of_step_in_a_release_joins_no_streams_of_two_versions(
    others_reached, started_s_ago
):
    """It did not know of the new version yet, and did not ask the others."""
    site = Site("v1", "v1")
    for entry in site.entries.values():
        entry.state.started_at = -started_s_ago
    # An engine of a new version joins; entry-2 is cut off from the store, or stands still.
    new = engine(3, held=("a1",), software_version="v2")
    out_of_step = site.entries.pop("entry-2")
    for name in ("entry-1", "entry-3"):
        site.see(name, new)
    for name in ("entry-1", "entry-3"):
        for old in ("e1", "e2"):
            state = site.entries[name].state.endpoints[old]
            state.reported_load, state.load_reported_at = 60, site.entries[name].at + 100.0
    dispatch = site.begin_stream("entry-1")
    assert site.software_of(dispatch) == "v2"
    site.break_stream("entry-1", dispatch, delivered=False)
    site.entries["entry-2"] = out_of_step
    for name in ("entry-1", "entry-3")[others_reached:]:
        del site.entries[name]
    dispatched = effects_of(fx.Dispatch, site.resume_stream("entry-2"))
    assert [site.software_of(item) for item in dispatched] == []


@pytest.mark.parametrize("answers", [True, False])
def test_stream_of_one_version_goes_on_once_another_entry_does_not_know_it_either(answers):
    site = Site("v1", "v1")
    for entry in site.entries.values():
        entry.state.started_at = -100.0
    if not answers:
        for name in ("entry-1", "entry-3"):
            del site.entries[name]
    effects = site.resume_stream("entry-2", seconds=0.5)
    if answers:
        assert site.software_of(only_effect(fx.Dispatch, effects)) == "v1"
    else:
        assert only_effect(fx.Refuse, effects).ran is False
