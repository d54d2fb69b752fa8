"""Revisions come into force at all entries within seconds, as a whole, and never revert."""

import pytest
from attrs import define, evolve, field

from poplarhoist import wire
from poplarhoist.decisions import events as ev
from poplarhoist.decisions.pages import INDEX_PATH, PAGE_PREFIX, encode_page, page_digest
from poplarhoist.entry.platform import CallResult, token_digest
from poplarhoist.errors import ConflictError, NotFoundError, PlatformError, UnsettledError
from poplarhoist.models import Adapter, AdapterRef, ConfigIndex, Place, Preset, VersionState
from poplarhoist.publish import PAGE_RETENTION_REVISIONS, Publisher, catalogue_page
from poplarhoist.replay.simulation import CALLER, TOKEN, FakePlatformClient, Simulation

IN_FORCE_WITHIN_S = 6.0
MAX_PAGES_REQUESTED = 32
PLACE = Place("r1", "r1-a")


def make_bench(adapters: int = 8, entries: int = 6) -> Simulation:
    bench = Simulation(entries=entries, engines=1)
    bench.configure(adapters)
    bench.run(3.0)
    highest: dict[str, int] = {}

    def check_never_lower(bench: Simulation) -> None:
        for entry in bench.entries.values():
            config = entry.state.config
            assert config.revision >= highest.get(entry.state.boot, 0)
            highest[entry.state.boot] = config.revision
            assert config.index is None or config.preset.name == config.index.preset

    bench.checks.append(check_never_lower)
    return bench


def use_preset(preset: str):
    def edit(draft) -> None:
        draft.put_preset(Preset(preset))
        draft.select_preset(preset)

    return edit


def publish(name: str, *versions: int, state=VersionState.PUBLISHED):
    states = {str(version): state for version in versions}
    return lambda draft: draft.put_adapter(Adapter(name, "base", states, versions[-1]))


def revisions(bench: Simulation) -> set[int]:
    return {e.state.config.revision for e in bench.entries.values() if e.alive}


def watch_only(bench: Simulation, *names: str) -> None:
    """Let only these entries receive the platform's watch."""
    for name, entry in bench.entries.items():
        entry.watching = name in names


def outage_at_once(bench: Simulation) -> None:
    """Start an outage 0.5 ms from now, before the entries read the page of a change made now."""
    bench.clock.after(0.0005, lambda: setattr(bench.platform, "outage", True))


@pytest.mark.parametrize(
    "fault",
    [
        lambda bench: None,
        lambda bench: watch_only(bench, "entry-4"),
        lambda bench: setattr(bench.platform, "slow_s", 1.0),
        # The entries read the page of the change 2 ms after it, so before this outage begins.
        lambda bench: bench.clock.after(0.0035, lambda: setattr(bench.platform, "outage", True)),
        lambda bench: (watch_only(bench, "entry-4"), setattr(bench.platform, "slow_s", 1.0)),
        lambda bench: bench.partitioned_pairs.update(
            frozenset((f"entry-{a}", f"entry-{b}")) for a in range(1, 6) for b in range(a + 1, 6)
        ),
    ],
)
def test_a_revision_is_in_force_at_all_entries_within_seconds(fault):
    bench = make_bench()
    fault(bench)
    index = bench.publisher().apply_change(use_preset("peak"))
    bench.run(IN_FORCE_WITHIN_S)
    assert revisions(bench) == {index.revision}
    assert {entry.state.config.preset.name for entry in bench.entries.values()} == {"peak"}


def test_stale_and_reordered_index_events_are_ignored():
    bench = make_bench()
    old = bench.platform.objects[INDEX_PATH]
    bench.publisher().apply_change(use_preset("peak"))
    middle = bench.platform.objects[INDEX_PATH]
    index = bench.publisher().apply_change(use_preset("maintenance"))
    bench.run(IN_FORCE_WITHIN_S)
    for entry in bench.entries.values():
        for version, value in (bench.platform.objects[INDEX_PATH], old, middle, (9, None)):
            bench.submit(entry, bench.change_event_factory(INDEX_PATH, version, value))
    bench.run(IN_FORCE_WITHIN_S)
    assert revisions(bench) == {index.revision}


@pytest.mark.parametrize("adapters", [4, 300])
def test_a_new_entry_takes_the_highest_revision_of_its_peers_in_an_outage(adapters):
    bench = make_bench(adapters)
    index = bench.publisher().apply_change(use_preset("peak"))
    bench.run(IN_FORCE_WITHIN_S)
    bench.platform.outage = True
    bench.kill("entry-1", listed=True)
    bench.add_entry("entry-1", PLACE)
    fresh = bench.entries["entry-1"]
    asked = bench.ask("entry-1", "a1")
    assert asked.refusal is not None
    bench.run(IN_FORCE_WITHIN_S)
    assert fresh.state.config.revision == index.revision
    assert len(fresh.state.config.adapters_by_name) == adapters
    known = bench.entries["entry-2"].state.members
    assert fresh.state.members.endpoints.keys() == known.endpoints.keys()
    assert fresh.state.members.peers.keys() == bench.entries.keys() - {"entry-1"}
    bench.platform.outage = False
    bench.run(IN_FORCE_WITHIN_S)
    answered = bench.ask("entry-1", "a1")
    bench.run(IN_FORCE_WITHIN_S)
    assert answered.answered_by == AdapterRef("a1", 1)
    assert revisions(bench) == {index.revision}


def test_an_entry_without_peers_and_platform_has_no_configuration():
    bench = make_bench(entries=1)
    bench.platform.outage = True
    bench.kill("entry-1", listed=True)
    bench.add_entry("entry-1", PLACE)
    bench.run(60.0)
    assert bench.entries["entry-1"].state.config.index is None
    bench.platform.outage = False
    bench.run(IN_FORCE_WITHIN_S)
    assert bench.entries["entry-1"].state.config.index is not None


def put_index(bench: Simulation, **changes) -> int:
    """Write an index directly, without the checks of the publisher; return its revision."""
    version, value = bench.platform.objects[INDEX_PATH]
    index = wire.load(value, ConfigIndex)
    index = evolve(index, revision=index.revision + 1, **changes)
    bench.platform.write(INDEX_PATH, wire.dump(index))
    return index.revision


def write_bad_page(text: str):
    """Return a fault that writes an index with a catalogue page of this text."""

    def put(bench: Simulation) -> None:
        pages = dict(wire.load(bench.platform.objects[INDEX_PATH][1], ConfigIndex).pages)
        bench.platform.write(PAGE_PREFIX + page_digest(text), text)
        put_index(bench, pages={**pages, catalogue_page("a0"): page_digest(text)})

    return put


ITEM_OF_OTHER_NAME = wire.dump(Adapter("somebody", "base"))


@pytest.mark.parametrize(
    ("fault", "counter"),
    [
        (write_bad_page("{"), "revision_rejected"),
        (write_bad_page("[]"), "revision_rejected"),
        (write_bad_page('{"items": 7}'), "revision_rejected"),
        (write_bad_page(encode_page("", {"a0": {"name": 1}})), "revision_rejected"),
        (write_bad_page(encode_page("", {"a0": ITEM_OF_OTHER_NAME})), "revision_rejected"),
        (lambda bench: put_index(bench, preset="nothing"), "revision_rejected"),
        (lambda bench: bench.platform.write(INDEX_PATH, {"revision": "x"}), "revision_rejected"),
        (lambda bench: bench.platform.write(INDEX_PATH, [1]), "revision_rejected"),
    ],
)
def test_a_malformed_revision_is_rejected_and_the_old_one_stays_in_force(fault, counter):
    bench = make_bench()
    before, value = revisions(bench), bench.platform.objects[INDEX_PATH][1]
    fault(bench)
    bench.run(IN_FORCE_WITHIN_S)
    assert revisions(bench) == before
    for entry in bench.entries.values():
        assert entry.counters[(counter, ())] == 1
        assert set(entry.state.config.adapters_by_name) == {f"a{n}" for n in range(8)}
    assert bench.ask("entry-1", "a0").refusal is None
    bench.platform.write(INDEX_PATH, {**value, "revision": value["revision"] + 1})
    index = bench.publisher().apply_change(use_preset("peak"))
    bench.run(IN_FORCE_WITHIN_S)
    assert revisions(bench) == {index.revision}


def test_a_page_is_rejected_until_its_text_matches_its_digest():
    bench = make_bench()
    before = revisions(bench)
    text = encode_page("", {})
    bench.platform.write(PAGE_PREFIX + page_digest(text), "another text")
    pages = dict(wire.load(bench.platform.objects[INDEX_PATH][1], ConfigIndex).pages)
    put_index(bench, pages={**pages, catalogue_page("new"): page_digest(text)})
    bench.run(IN_FORCE_WITHIN_S)
    assert revisions(bench) == before
    bench.platform.write(PAGE_PREFIX + page_digest(text), text)
    bench.run(IN_FORCE_WITHIN_S)
    assert revisions(bench) == {max(before) + 1}


def test_missing_pages_are_requested_at_a_bounded_rate_until_they_arrive():
    bench = make_bench()
    text = encode_page("late", {})
    pages = dict(wire.load(bench.platform.objects[INDEX_PATH][1], ConfigIndex).pages)
    revision = put_index(bench, pages={**pages, catalogue_page("new"): page_digest(text)})
    bench.run(5.0)
    reads, seconds = bench.platform.calls["get"], 20.0
    bench.run(seconds)
    rate = (bench.platform.calls["get"] - reads) / seconds / len(bench.entries)
    assert rate <= 1.0
    assert revision not in revisions(bench)
    bench.platform.write(PAGE_PREFIX + page_digest(text), text)
    bench.run(IN_FORCE_WITHIN_S)
    assert revisions(bench) == {revision}


def test_many_pages_are_requested_in_bounded_batches():
    bench = make_bench(300)
    bench.kill("entry-1", listed=True)
    bench.add_entry("entry-1", PLACE)
    wanted = []
    bench.checks.append(
        lambda bench: wanted.append(len(bench.entries["entry-1"].state.config.requested_digests))
    )
    bench.run(IN_FORCE_WITHIN_S)
    assert 0 < max(wanted) <= MAX_PAGES_REQUESTED
    assert len(bench.entries["entry-1"].state.config.adapters_by_name) == 300


def test_requests_in_flight_complete_after_their_version_is_withdrawn():
    bench = make_bench()
    running = bench.ask("entry-1", "a1", tokens=200)
    bench.run(2.0)
    assert running.first_at is not None
    bench.publisher().apply_change(publish("a1", 1, state=VersionState.WITHDRAWN))
    bench.run(1.0)
    assert bench.ask("entry-1", "a1@1").refusal.reason == "unknown-version"
    bench.run(20.0)
    assert running.answered_by == AdapterRef("a1", 1)


@define
class FaultyPlatform(FakePlatformClient):
    """A platform client that applies a list of faults to its calls.

    Attributes
    ----------
    faults : dict
        Faults for the next calls: of writes by the first part of the path, such as ``index`` or
        ``pages``, and of reads under ``get``. None lets a call pass.
    """

    faults: dict[str, list] = field(factory=dict)

    def put(self, path: str, value: object, expect: int) -> CallResult:
        """Write an object, with the next fault for the first part of its path."""
        faults = self.faults.get(path.partition("/")[0], [])
        fault = faults.pop(0) if faults else None
        if fault is None:
            return super().put(path, value, expect)
        return fault(lambda: super(FaultyPlatform, self).put(path, value, expect))

    def get(self, path: str) -> CallResult:
        """Read an object, with the next fault for reads."""
        faults = self.faults.get("get", [])
        fault = faults.pop(0) if faults else None
        return fault(lambda: None) if fault else super().get(path)


def lost_after_effect(write) -> CallResult:
    write()
    return CallResult(ev.CallStatus.UNKNOWN)


def refused_after_effect(write) -> CallResult:
    write()
    return CallResult(ev.CallStatus.REFUSED)


def lost_before_effect(write) -> CallResult:
    return CallResult(ev.CallStatus.UNKNOWN)


def refused(write) -> CallResult:
    return CallResult(ev.CallStatus.REFUSED)


DELAYED_WRITES = []


def lost_then_late_effect(write) -> CallResult:
    """Delay a write and lose its answer; ``write_after_late_effect`` lets it take effect."""
    DELAYED_WRITES.append(write)
    return CallResult(ev.CallStatus.UNKNOWN)


def write_after_late_effect(write) -> CallResult:
    """Let the write that was delayed take effect just before this one."""
    DELAYED_WRITES.pop()()
    return write()


def competing_change_before(edit, **fault):
    """Return a fault in which another writer publishes a change just before the write.

    ``fault`` may only hold ``then``: a further fault, applied to the write itself. The other writer
    writes to the latest bench in ``COMPETING_BENCHES``.
    """

    def put(write) -> CallResult:
        Publisher(FakePlatformClient(COMPETING_BENCHES[-1].platform), "other").apply_change(edit)
        return fault.get("then", lambda write: write())(write)

    return put


def competing_change_after(edit):
    """Return a fault that loses the answer of a write which another writer's change follows.

    The other writer writes to the latest bench in ``COMPETING_BENCHES``.
    """

    def put(write) -> CallResult:
        write()
        Publisher(FakePlatformClient(COMPETING_BENCHES[-1].platform), "other").apply_change(edit)
        return CallResult(ev.CallStatus.UNKNOWN)

    return put


# The faults below are made before any bench exists, so the running test appends its bench here.
COMPETING_BENCHES: list[Simulation] = []


@pytest.mark.parametrize(
    ("faults", "error"),
    [
        ({"pages": [lost_after_effect]}, None),
        ({"pages": [lost_before_effect, lost_before_effect]}, None),
        ({"pages": [refused]}, PlatformError),
        ({"index": [lost_after_effect]}, None),
        ({"index": [lost_before_effect]}, None),
        ({"index": [refused_after_effect]}, None),
        ({"index": [refused]}, PlatformError),
        ({"index": [lost_then_late_effect, write_after_late_effect]}, None),
        ({"index": [competing_change_after(publish("a2", 1, 2))]}, None),
        ({"index": [competing_change_before(publish("a2", 1, 2))]}, None),
        ({"index": [competing_change_before(publish("a1", 1, 3))]}, ConflictError),
        ({"index": [competing_change_before(publish("a2", 1, 2), then=lost_after_effect)]}, None),
        (
            {"index": [competing_change_before(publish("a1", 1, 3), then=lost_after_effect)]},
            ConflictError,
        ),
        ({"index": [lost_before_effect] * 5}, UnsettledError),
        ({"index": [lost_after_effect], "get": [None] * 2 + [refused] * 5}, UnsettledError),
        ({"index": [lost_before_effect], "get": [None] * 3 + [refused]}, UnsettledError),
    ],
)
def test_a_publisher_reports_the_true_result_of_a_change(faults, error):
    bench = make_bench()
    COMPETING_BENCHES.append(bench)
    platform = FaultyPlatform(bench.platform, {kind: list(items) for kind, items in faults.items()})
    before = wire.load(bench.platform.objects[INDEX_PATH][1], ConfigIndex).revision
    change = Publisher(platform, "bench").apply_change
    if error is None:
        index = change(publish("a1", 1, 2))
        assert index.revision > before
    else:
        with pytest.raises(error) as raised:
            change(publish("a1", 1, 2))
        assert isinstance(raised.value, UnsettledError) == (error is UnsettledError)
    bench.run(IN_FORCE_WITHIN_S)
    for entry in bench.entries.values():
        current = entry.state.config.adapters_by_name["a1"].current
        if error is not UnsettledError:
            assert (current == 2) == (error is None)
    assert len(revisions(bench)) == 1


def test_concurrent_changes_of_different_items_on_one_page_both_succeed():
    bench = make_bench(300)
    shared = [f"a{n}" for n in range(300) if catalogue_page(f"a{n}") == catalogue_page("a1")]
    assert len(shared) > 1
    COMPETING_BENCHES.append(bench)
    platform = FaultyPlatform(
        bench.platform, {"index": [competing_change_before(publish(shared[1], 1, 2))]}
    )
    Publisher(platform, "bench").apply_change(publish("a1", 1, 2))
    bench.run(IN_FORCE_WITHIN_S)
    adapters = bench.entries["entry-1"].state.config.adapters_by_name
    assert (adapters["a1"].current, adapters[shared[1]].current) == (2, 2)


@pytest.mark.parametrize(
    ("edit", "error"),
    [
        (lambda draft: draft.select_preset("nothing"), NotFoundError),
        (lambda draft: draft.edit_page("callers").update(x=7), PlatformError),
    ],
)
def test_a_malformed_change_is_not_published(edit, error):
    bench = make_bench()
    before = bench.platform.objects[INDEX_PATH]
    with pytest.raises(error):
        bench.publisher().apply_change(edit)
    assert bench.platform.objects[INDEX_PATH] == before


def test_pages_of_old_revisions_are_deleted():
    bench = make_bench()
    first = set(wire.load(bench.platform.objects[INDEX_PATH][1], ConfigIndex).pages.values())
    for version in range(2, 2 * PAGE_RETENTION_REVISIONS):
        index = bench.publisher().apply_change(publish("a1", 1, version))
        kept = {p.removeprefix(PAGE_PREFIX) for p in bench.platform.objects if "pages/" in p}
        assert set(index.pages.values()) <= kept
        if version < PAGE_RETENTION_REVISIONS:
            assert first <= kept
    assert len(kept) <= len(index.pages) + PAGE_RETENTION_REVISIONS + 1
    assert not first <= kept
    bench.run(IN_FORCE_WITHIN_S)
    assert revisions(bench) == {index.revision}


def test_pages_of_a_change_that_lost_a_race_are_deleted():
    bench = make_bench()
    COMPETING_BENCHES.append(bench)
    platform = FaultyPlatform(
        bench.platform, {"index": [competing_change_before(publish("a1", 1, 3))]}
    )
    with pytest.raises(ConflictError):
        Publisher(platform, "bench").apply_change(publish("a1", 1, 2))
    index = wire.load(bench.platform.objects[INDEX_PATH][1], ConfigIndex)
    kept = {p.removeprefix(PAGE_PREFIX) for p in bench.platform.objects if "pages/" in p}
    assert kept == set(index.pages.values()) | set(index.retired)


def test_callers_are_found_by_the_digest_of_their_token():
    bench = make_bench()
    callers = bench.entries["entry-1"].state.config.callers_by_digest
    assert callers[token_digest(TOKEN)].name == CALLER
