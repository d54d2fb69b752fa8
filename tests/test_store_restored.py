"""The store comes back from an older copy: revisions are given out again, the latest writes are lost."""

import signal
import time

import pytest

from poplarhoist.clock import SystemClock
from poplarhoist.decisions.gateway.events import CallStatus
from poplarhoist.decisions.gateway.positions import Position
from poplarhoist.platform import store as store_module
from poplarhoist.platform.store import ObjectStore
from tests.platform_site import PlatformEntry
from tests.platform_standins import configuration
from tests.platform_store import Store
from tests.soak.proxy import Proxy, ProxyFault

# Seconds within which all records must be known again; the bound of a draining endpoint.
KNOWN_S = 3.0
OWN_RECORD = "poplarhoist-entries", "entry-1"


def endpoint(number: int, state: str = "ready", slots: int = 6) -> dict:
    """Return the record of a plain endpoint."""
    return {
        "service": "desk",
        "address": f"10.0.1.{number}:8000",
        "zone": "north-a",
        "version": "v1",
        "slots": slots,
        "state": state,
        "born": 1,
    }


def version(number: int) -> dict:
    """Return the announcement of a version of an adapter."""
    return {"model": "base", "adapter": "a1", "version": number}


class WatchingEntry(PlatformEntry):
    """An entry as a process of its own, whose log tells what it has read from a store."""

    def __init__(self, directory, name: str = "entry-1", store: Store | None = None) -> None:
        self.store = store or Store()
        super().__init__(name, directory, self.store.port)

    def start(self) -> None:
        """Write a record of each kind, and start the entry."""
        self.store.put("config", "main", configuration(7))
        for number in (1, 2):
            self.store.put("servers", f"d{number}", endpoint(number))
        self.store.put("versions", "base.a1", version(1))
        self.launch()
        assert self.logs("entry-registered", seconds=15.0)
        assert self.logs("configuration") and self.logs("version-announced")

    def start_again(self) -> None:
        """Kill the entry and start it, at a site that ran before, with an empty log."""
        self.kill()
        self.drop_first_start()
        self.log_path.unlink()
        self.launch()

    def logs(self, event: str, seconds: float = KNOWN_S, **fields: object) -> bool:
        """Return whether the log has a line with these fields within some seconds."""
        ends_at = time.monotonic() + seconds
        while True:
            for line in self.log_lines(event):
                if line.items() >= fields.items():
                    return True
            if time.monotonic() > ends_at:
                return False
            time.sleep(0.05)


@pytest.fixture
def entry(tmp_path):
    entry = WatchingEntry(tmp_path)
    try:
        entry.start()
        yield entry
    finally:
        entry.kill()
        entry.store.stop()
        entry.check_no_faults()


# The record that is written first after the store's return, and the line that the entry logs then.
WRITES = {
    "configuration": (
        ("config", "main", configuration(9)),
        ("configuration", {"version": 9}),
    ),
    "endpoint-draining": (
        ("servers", "d1", endpoint(1, "draining")),
        ("endpoint-leaving", {"endpoint": "d1"}),
    ),
    "endpoint-new": (
        ("servers", "d9", endpoint(9)),
        ("endpoint-new", {"endpoint": "d9"}),
    ),
    "version": (
        ("versions", "base.a1", version(2)),
        ("version-announced", {"version": 2}),
    ),
    "entry": (
        (
            "poplarhoist-entries",
            "entry-9",
            {"host": "10.0.2.9", "port": 7000, "zone": "north-a", "relay_port": 7001},
        ),
        ("entry-known", {"peer": "entry-9"}),
    ),
}


@pytest.mark.parametrize(
    ("drills", "is_frozen"),
    [(1, False), (3, False), (2, True)],
    ids=["once", "in-a-row", "while-frozen"],
)
@pytest.mark.parametrize("write", WRITES)
def test_record_with_a_revision_that_was_given_out_before_is_seen(entry, write, drills, is_frozen):
    """Watches went on from a revision of before, past the first records after the store's return."""
    store = entry.store
    record, (event, fields) = WRITES[write]
    # What is lost, and what is written again: it brings the revision past that of before.
    slots = 6
    for _ in range(drills):
        copy = store.copy()
        for _ in range(3):
            slots += 1
            store.put("servers", "d2", endpoint(2, slots=slots))
        time.sleep(1.5)
        if is_frozen:
            entry.send_signal(signal.SIGSTOP)
        store.restore(copy)
    store.put(*record)
    for _ in range(3):
        slots += 1
        store.put("servers", "d2", endpoint(2, slots=slots))
    if is_frozen:
        time.sleep(1.0)
        entry.send_signal(signal.SIGCONT)
    assert entry.logs(event, **fields)


def test_lost_record_of_the_entry_is_written_again(entry):
    """Without its record no other entry asks it for adapters, or tells it of changes."""
    store = entry.store
    copy = store.copy()
    del copy[0][OWN_RECORD]
    store.restore(copy)
    entry.wait_until(lambda: OWN_RECORD in store.objects, KNOWN_S)
    assert OWN_RECORD in store.objects


def test_entry_registers_again_after_the_late_removal_of_an_earlier_process(entry):
    """A lost DELETE is carried out after the restart; nobody would ask the entry for adapters."""
    entry.store.remove(*OWN_RECORD)
    entry.wait_until(lambda: OWN_RECORD in entry.store.objects, KNOWN_S)
    assert OWN_RECORD in entry.store.objects


@pytest.mark.parametrize("generation", [None, "", "x", "-1", "1.5", "9" * 40, 0])
def test_generation_that_says_nothing_costs_no_record(entry, generation):
    store = entry.store
    store.generation = generation
    store.put("servers", "d9", endpoint(9))
    store.put("config", "main", configuration(9))
    assert entry.logs("endpoint-new", endpoint="d9")
    assert entry.logs("configuration", version=9)
    assert entry.log_lines("store-restored") == []
    assert len(entry.log_lines("store-generation-unclear")) == 1


def test_what_the_entry_knows_stands_against_the_older_copy(entry):
    """Endpoints that were leaving or gone would get requests again."""
    store = entry.store
    copy = store.copy()
    store.put("servers", "d1", endpoint(1, "draining"))
    store.remove("servers", "d2")
    store.put("versions", "base.a1", version(2))
    assert entry.logs("endpoint-leaving", endpoint="d1") and entry.logs("endpoint-gone")
    assert entry.logs("version-announced", version=2)
    store.restore(copy)
    assert entry.logs("store-restored", generation=2)
    assert entry.logs("endpoint-not-back", endpoint="d2")
    assert len(entry.log_lines("endpoint-new")) == 2
    # It was not gone after all, and writes something of its own.
    store.put("servers", "d2", endpoint(2, slots=9))
    time.sleep(KNOWN_S)
    assert [line["endpoint"] for line in entry.log_lines("endpoint-new")] == ["d1", "d2", "d2"]


def test_endpoint_that_the_older_copy_lacks_has_time_to_register_again(entry):
    store = entry.store
    copy = store.copy()
    store.put("servers", "d9", endpoint(9))
    assert entry.logs("endpoint-new", endpoint="d9")
    store.restore(copy)
    assert entry.logs("endpoint-missing", endpoint="d9")
    store.put("servers", "d9", endpoint(9))
    time.sleep(KNOWN_S)
    assert entry.log_lines("endpoint-gone") == []


# Entries of the region (all read the configuration from the store, or only some), what is lost, and
# the line that the entry logs once it knows.
@pytest.mark.parametrize(
    ("count", "lost", "line"),
    [
        (2, ("config", "main", configuration(9)), ("configuration", {"version": 9})),
        (9, ("config", "main", configuration(9)), ("configuration", {"version": 9})),
        (2, ("versions", "base.a1", version(2)), ("version-announced", {"version": 2})),
        (
            2,
            ("versions", "base.a2", version(3) | {"adapter": "a2"}),
            ("version-announced", {"version": 3}),
        ),
    ],
    ids=["configuration", "configuration-of-nine", "version", "first-version"],
)
def test_entry_that_starts_after_a_restoration_learns_what_was_lost(
    tmp_path, entry, count, lost, line
):
    """It served older ones than the others, and refused requests on routes that they served."""
    store = entry.store
    event, fields = line
    others = [WatchingEntry(tmp_path, f"entry-{n}", store) for n in range(2, count + 1)]
    try:
        for other in others:
            other.launch()
        assert all(other.logs("entry-known", 15.0, peer="entry-1") for other in others)
        copy = store.copy()
        store.put(*lost)
        assert all(known.logs(event, **fields) for known in [entry, *others])
        store.restore(copy)
        assert others[0].logs("store-restored", generation=2)
        entry.start_again()
        assert entry.logs(event, 15.0, **fields)
        versions = {line.get("adapter"): [] for line in entry.log_lines(event)}
        for line in entry.log_lines(event):
            versions[line.get("adapter")].append(line["version"])
        assert [fields["version"]] in versions.values()
    finally:
        for other in others:
            other.kill()
            other.check_no_faults()


@pytest.mark.parametrize(
    "lost",
    [("config", "main", configuration(9)), ("versions", "base.a1", version(2))],
    ids=["configuration", "version"],
)
def test_entry_that_missed_a_change_and_the_restoration_learns_what_was_lost(tmp_path, entry, lost):
    """Only entries that had just started asked the others; it served older ones than they did."""
    store = entry.store
    link = Proxy(store.port)
    late = WatchingEntry(tmp_path, "entry-2", store)
    text = late.settings_path.read_text()
    late.settings_path.write_text(text.replace(f":{store.port}", f":{link.port}"))
    event = "configuration" if lost[0] == "config" else "version-announced"
    fields = {"version": lost[2]["version"]}
    try:
        late.launch()
        assert late.logs("entry-known", 15.0, peer="entry-1")
        assert late.logs("configuration") and late.logs("version-announced")
        assert entry.logs("entry-known", peer="entry-2")
        copy = store.copy()
        link.fault = ProxyFault.REFUSE
        link.reset_all_connections()
        store.put(*lost)
        assert entry.logs(event, **fields)
        store.restore(copy)
        assert entry.logs("store-restored", generation=2)
        link.fault = ProxyFault.NONE
        assert late.logs("store-restored", 5.0, generation=2)
        assert late.logs(event, **fields)
    finally:
        late.kill()
        link.stop()
        late.check_no_faults()


# Entries of the region: all read the configuration from the store, or only some.
@pytest.mark.parametrize("count", [2, 9])
def test_entry_that_starts_beside_an_invalid_configuration_learns_the_one_in_force(
    tmp_path, entry, count
):
    """It had none, and answered all requests with 503 until the next one was written."""
    store = entry.store
    others = [WatchingEntry(tmp_path, f"entry-{n}", store) for n in range(2, count + 1)]
    try:
        for other in others:
            other.launch()
        assert all(other.logs("configuration", 15.0, version=7) for other in others)
        assert all(other.logs("entry-known", 15.0, peer="entry-1") for other in others)
        store.put("config", "main", configuration(9) | {"services": None})
        assert any(other.logs("record-unreadable", kind="config") for other in others)
        entry.start_again()
        assert entry.logs("configuration", 15.0, version=7, before=0)
        store.put("config", "main", configuration(11))
        assert all(known.logs("configuration", version=11) for known in [entry, *others])
    finally:
        for other in others:
            other.kill()
            other.check_no_faults()


# Generation known when a call begins and when it ends, what its response shows, and whether the
# response may be used.
@pytest.mark.parametrize(
    ("known", "known_later", "shown", "is_used"),
    [
        (0, 0, None, True),
        (0, 0, "1", True),
        (1, 1, "1", True),
        (1, 1, "2", True),
        (1, 2, "2", True),
        (1, 2, "1", False),
        (1, 3, "2", False),
        (2, 2, "1", True),
        (2, 2, "x", True),
        (1, 2, None, True),
    ],
)
def test_response_from_before_a_restoration_is_not_used(
    monkeypatch, known, known_later, shown, is_used
):
    """It would show records, or a claim, that the store has lost."""
    store = ObjectStore("127.0.0.1:1", SystemClock())
    store.generation = known

    def respond(pool, method, path, total_s, max_bytes, on_head, *args, **options):
        store.generation = known_later
        on_head({} if shown is None else {"Store-Era": shown})
        return 200, b'{"items":[],"truncated":false,"currentRev":9}'

    monkeypatch.setattr(store_module, "request_bounded", respond)
    changes = store.read_all("servers")
    assert (changes.status is CallStatus.OK) == is_used
    latest = max(known_later, int(shown) if shown and shown.isdecimal() else 0)
    assert store.generation == latest
    if is_used:
        assert changes.position == Position(latest, 9)
