"""Loads, evictions and reservations that the lead of a base model decides."""

import pytest

from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import messages, reservations
from poplarhoist.models import Adapter, AdapterRef, Place, Preset, VersionState
from poplarhoist.replay.bench import Bench
from tests.leads import check_at_most_one_lead, lead_of, run_decision, send_requests, wait_until

ENTRIES = ["entry-1", "entry-2", "entry-3"]


def test_a_reserved_engine_is_emptied_for_one_adapter_and_used_again():
    bench = Bench(entries=3, engines=2, slots=2)
    bench.configure(adapters=6)
    bench.run(5.0)
    asked = [bench.ask(f"entry-{n % 3 + 1}", f"a{n % 4}", tokens=60) for n in range(12)]
    bench.run(1.5)
    entry, pool = lead_of(bench)
    engine = pool.engines["engine-1"]
    run_decision(bench, entry, reservations.reserve, entry.state, pool, engine)
    assert not reservations.is_empty(pool, engine)
    wait_until(bench, lambda: reservations.is_empty(pool, engine))
    fake = bench.engines["engine-1"]
    assert not fake.running and not fake.waiting
    wanted = AdapterRef("a5", 1)
    load = lambda: run_decision(
        bench, entry, reservations.load_reserved, entry.state, pool, engine, wanted
    )
    wait_until(bench, load)
    assert fake.slots[str(wanted)] == "resident"
    asked += [bench.ask(f"entry-{n % 3 + 1}", f"a{n % 6}") for n in range(12)]
    bench.run(6.0)
    assert reservations.is_empty(pool, engine)
    assert all("engine-1" not in item.dispatches for item in asked[12:])
    run_decision(bench, entry, reservations.release, entry.state, pool, engine)
    asked += [bench.ask(f"entry-{n % 3 + 1}", f"a{n % 6}") for n in range(12)]
    bench.run(10.0)
    assert any("engine-1" in item.dispatches for item in asked[24:])
    assert all(item.completed for item in asked)
    assert bench.violations() == []


def start_bench(entries=3, engines=3, slots=2, preset=None, adapters=12, **more):
    """Return a bench at work that checks its leads after every event."""
    bench = Bench(entries=entries, engines=engines, slots=slots, **more)
    bench.checks.append(check_at_most_one_lead)
    bench.configure(adapters=adapters, preset=preset)
    bench.run(4.0)
    return bench


def record_loads(bench):
    """Return the loads that are ordered from now on, with their times."""
    found = []

    def hook(entry, item):
        if isinstance(item, fx.SendOrder) and item.kind is fx.OrderKind.LOAD:
            found.append((bench.clock.seconds, str(item.ref), item.endpoint))

    bench.hooks.append(hook)
    return found


def test_a_herd_for_one_cold_adapter_becomes_one_load():
    bench = start_bench()
    asked = [bench.ask(f"entry-{n % 3 + 1}", "a7") for n in range(12)]
    bench.run(2.0)
    assert all(item.completed for item in asked)
    assert bench.store.loads == 1


def test_loads_keep_to_the_stores_rate_and_bound():
    bench = start_bench(engines=6, slots=4, adapters=60)
    found = record_loads(bench)
    for number in range(60):
        bench.ask(f"entry-{number % 3 + 1}", f"a{number}", deadline_s=30.0)
        bench.run(0.05)
    bench.run(9.0)
    per_s = bench.limits.store_loads_per_s
    for start, _, _ in found:
        assert sum(start <= at < start + 4.0 for at, _, _ in found) <= per_s * 5.0
    assert bench.store.most_in_flight <= bench.limits.store_in_flight
    assert len(found) >= per_s * 9.0


def add_second_base(bench):
    """Add engines and adapters of a second base model."""
    for number in range(3):
        bench.add_engine(f"other-{number}", Place("r1", "r1-a"), 2, 8, True, 0.03, "other")

    def edit(draft):
        for number in range(40):
            versions = {"1": VersionState.PUBLISHED}
            draft.put_adapter(Adapter(f"b{number}", "other", versions, 1))

    bench.publisher().change(edit)
    bench.run(5.0)


def test_leads_of_two_base_models_share_the_stores_rate():
    bench = start_bench(engines=3, adapters=40)
    add_second_base(bench)
    leads = [n for n, e in bench.entries.items() if e.state.boards]
    found = record_loads(bench)
    for number in range(40):
        bench.ask(f"entry-{number % 3 + 1}", f"a{number}")
        bench.ask(f"entry-{number % 3 + 1}", f"b{number}")
    bench.run(8.0)
    assert leads
    steady = [(at, ref) for at, ref, _ in found if 2.0 <= at - found[0][0] < 6.0]
    assert len(steady) <= bench.limits.store_loads_per_s * 4.0 * 1.25
    shares = [sum(ref.startswith(letter) for _, ref in steady) for letter in "ab"]
    assert min(shares) >= len(steady) / 3


def test_a_store_outage_is_probed_and_told_honestly():
    bench = start_bench()
    bench.store.down = True
    found = record_loads(bench)
    first = [bench.ask("entry-1", f"a{n}", deadline_s=30.0) for n in range(6)]
    bench.run(8.0)
    late = [at for at, _, _ in found if at > bench.clock.seconds - 6.0]
    assert 0 < len(late) <= 4
    started = bench.clock.seconds
    refused = bench.ask("entry-2", "a9", deadline_s=0.5)
    bench.run(1.0)
    assert refused.refusal is not None and refused.refusal.retry_after_s > 0.0
    bench.store.down = False
    again = [bench.ask("entry-1", f"a{n}") for n in range(6)]
    wait_until(bench, lambda: all(item.completed or item.refusal for item in first + again), 15.0)
    assert all(item.completed for item in again), started


@pytest.mark.parametrize("bad", ["adapter", "engine"])
def test_failures_of_one_adapter_or_engine_hold_up_no_other(bad):
    bench = start_bench()
    lead, pool = lead_of(bench)
    if bad == "engine":
        bench.engines["engine-1"].fail_loads = 1000
    else:
        for engine in bench.engines.values():
            engine.bad_refs.add("a5@1")
    asked = [bench.ask(f"entry-{n % 3 + 1}", f"a{n}", deadline_s=30.0) for n in range(4)]
    bad_one = bench.ask("entry-1", "a5", deadline_s=30.0)
    bench.run(6.0)
    assert all(item.completed for item in asked)
    assert bad_one.completed is (bad == "engine")
    assert not pool.budget.is_store_down


def test_adapters_of_a_leaving_engine_are_loaded_elsewhere():
    bench = start_bench(slots=4)
    send_requests(bench, ENTRIES, ["a0", "a1", "a2", "a3"], 4.0)
    held = dict(bench.engines["engine-1"].slots)
    assert held
    bench.leave("engine-1")
    bench.run(4.0)
    asked = [bench.ask(name, ref.split("@")[0]) for name in ENTRIES for ref in held]
    bench.run(0.2)
    assert all(item.dispatches for item in asked)
    bench.run(2.0)
    assert all(item.completed for item in asked)


def test_a_cold_engine_recovers_without_holding_up_callers():
    bench = start_bench(slots=4, adapters=24)
    send_requests(bench, ENTRIES, [f"a{n}" for n in range(10)], 8.0, 0.05)
    lost = set(bench.engines["engine-1"].slots)
    bench.engines["engine-1"].crash()
    bench.run(1.2)
    cold = [bench.ask(name, "a20") for name in ENTRIES]
    bench.run(1.5)
    assert all(item.completed for item in cold)
    bench.run(15.0)
    resident = {ref for engine in bench.engines.values() for ref in engine.slots}
    assert lost <= resident


def test_a_hot_adapter_gets_replicas_and_loses_them():
    bench = start_bench(engines=3, slots=2, batch=2)
    send_requests(bench, ENTRIES, ["a0"], 8.0, 0.05, tokens=10)
    holding = [e for e in bench.engines.values() if "a0@1" in e.slots]
    assert len(holding) == 3
    send_requests(bench, ENTRIES, [f"a{n}" for n in range(6, 12)], 12.0, 0.1)
    holding = [e for e in bench.engines.values() if "a0@1" in e.slots]
    assert len(holding) <= 1


def test_new_versions_and_the_presets_adapters_are_warmed_up():
    bench = start_bench(slots=4, preset=Preset("ordinary", warm=("a8", "a9")))
    bench.run(12.0)
    resident = {ref for engine in bench.engines.values() for ref in engine.slots}
    assert {"a8@1", "a9@1"} <= resident
    versions = {"1": VersionState.PUBLISHED, "2": VersionState.PUBLISHED}
    bench.publisher().change(lambda draft: draft.put_adapter(Adapter("a8", "base", versions, 2)))
    bench.run(8.0)
    resident = {ref for engine in bench.engines.values() for ref in engine.slots}
    assert "a8@2" in resident


def test_expected_times_grow_with_the_queue_and_come_true():
    bench = start_bench(engines=6, slots=4, adapters=60)
    told = {}

    def hook(entry, item):
        if isinstance(item, fx.SendMessage) and isinstance(item.message, messages.Expected):
            told.setdefault(item.message.ref, bench.clock.seconds + item.message.ready_in_s)

    bench.hooks.append(hook)
    lead, _ = lead_of(bench)
    other = next(name for name in ENTRIES if name != lead.state.me.name)
    asked = []
    for number in range(20):
        asked.append(bench.ask(other, f"a{number}", deadline_s=30.0))
        bench.run(0.02)
    bench.run(10.0)
    late_s = [
        item.dispatched_at - told[item.answered_by]
        for item in asked
        if item.completed and item.answered_by in told
    ]
    assert len(late_s) >= 10
    assert max(late_s) < 1.5 and min(late_s) > -2.5


def test_callers_that_wait_for_busy_engines_cause_no_endless_recalls():
    bench = start_bench(engines=2, slots=2, batch=2)
    recalls = []

    def hook(entry, item):
        if isinstance(item, fx.SendMessage) and isinstance(item.message, messages.Recall):
            recalls.append(bench.clock.seconds)

    bench.hooks.append(hook)
    send_requests(bench, ENTRIES, [f"a{n}" for n in range(6)], 10.0, 0.03, tokens=30)
    bench.run(10.0)
    loads = bench.limits.store_loads_per_s * 20.0
    assert len(recalls) <= loads * len(ENTRIES)
