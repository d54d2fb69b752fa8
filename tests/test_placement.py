"""Loads, evictions and reservations by the lead of a base model."""

import pytest

from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import messages, reservations
from poplarhoist.models import Adapter, AdapterRef, Place, Preset, VersionState
from poplarhoist.replay.simulation import Simulation
from tests.leads import (
    call_and_run_effects,
    check_at_most_one_lead,
    lead_of,
    send_requests,
    wait_until,
)

ENTRIES = ["entry-1", "entry-2", "entry-3"]


def test_reserved_engine_is_emptied_for_one_adapter_and_released():
    bench = Simulation(entries=3, engines=2, slots=2)
    bench.configure(adapters=6)
    bench.run(5.0)
    requests = [bench.ask(f"entry-{n % 3 + 1}", f"a{n % 4}", tokens=60) for n in range(12)]
    bench.run(1.5)
    entry, pool = lead_of(bench)
    engine = pool.engines["engine-1"]
    call_and_run_effects(bench, entry, reservations.reserve, entry.state, pool, engine)
    assert not reservations.is_empty(pool, engine)
    wait_until(bench, lambda: reservations.is_empty(pool, engine))
    fake = bench.engines["engine-1"]
    assert not fake.running and not fake.waiting
    wanted = AdapterRef("a5", 1)
    load = lambda: call_and_run_effects(
        bench, entry, reservations.load_reserved, entry.state, pool, engine, wanted
    )
    wait_until(bench, load)
    assert fake.slots[str(wanted)] == "resident"
    requests += [bench.ask(f"entry-{n % 3 + 1}", f"a{n % 6}") for n in range(12)]
    bench.run(6.0)
    assert reservations.is_empty(pool, engine)
    assert all("engine-1" not in item.dispatched_endpoints for item in requests[12:])
    call_and_run_effects(bench, entry, reservations.release, entry.state, pool, engine)
    requests += [bench.ask(f"entry-{n % 3 + 1}", f"a{n % 6}") for n in range(12)]
    bench.run(10.0)
    assert any("engine-1" in item.dispatched_endpoints for item in requests[24:])
    assert all(item.completed for item in requests)
    assert bench.violations() == []


def start_bench(entries=3, engines=3, slots=2, preset=None, adapters=12, **more):
    """Return a running bench that checks after every event for a second lead and violations."""
    bench = Simulation(entries=entries, engines=engines, slots=slots, **more)
    bench.checks.append(check_at_most_one_lead)
    bench.configure(adapters=adapters, preset=preset)
    bench.run(4.0)
    return bench


def record_loads(bench):
    """Return a list that gets the time, adapter version and endpoint of each load sent from now."""
    loads = []

    def hook(entry, item):
        if isinstance(item, fx.SendOrder) and item.kind is fx.OrderKind.LOAD:
            loads.append((bench.clock.seconds, str(item.ref), item.endpoint))

    bench.hooks.append(hook)
    return loads


def test_concurrent_requests_for_one_cold_adapter_cause_one_load():
    bench = start_bench()
    requests = [bench.ask(f"entry-{n % 3 + 1}", "a7") for n in range(12)]
    bench.run(2.0)
    assert all(item.completed for item in requests)
    assert bench.store.loads == 1


def test_loads_respect_the_store_rate_and_concurrency_limit():
    bench = start_bench(engines=6, slots=4, adapters=60)
    loads = record_loads(bench)
    for number in range(60):
        bench.ask(f"entry-{number % 3 + 1}", f"a{number}", deadline_s=30.0)
        bench.run(0.05)
    bench.run(9.0)
    per_s = bench.limits.store_loads_per_s
    for start, _, _ in loads:
        assert sum(start <= at < start + 4.0 for at, _, _ in loads) <= per_s * 5.0
    assert bench.store.max_in_flight <= bench.limits.store_in_flight
    assert len(loads) >= per_s * 9.0


def add_second_base(bench):
    """Add engines and adapters of a second base model, and run the bench for 5 s."""
    for number in range(3):
        bench.add_engine(f"other-{number}", Place("r1", "r1-a"), 2, 8, True, 0.03, "other")

    def edit(draft):
        for number in range(40):
            versions = {"1": VersionState.PUBLISHED}
            draft.put_adapter(Adapter(f"b{number}", "other", versions, 1))

    bench.publisher().apply_change(edit)
    bench.run(5.0)


def test_leads_of_two_base_models_share_the_store_rate():
    bench = start_bench(engines=3, adapters=40)
    add_second_base(bench)
    leads = [n for n, e in bench.entries.items() if e.state.boards]
    loads = record_loads(bench)
    for number in range(40):
        bench.ask(f"entry-{number % 3 + 1}", f"a{number}")
        bench.ask(f"entry-{number % 3 + 1}", f"b{number}")
    bench.run(8.0)
    assert leads
    steady = [(at, ref) for at, ref, _ in loads if 2.0 <= at - loads[0][0] < 6.0]
    assert len(steady) <= bench.limits.store_loads_per_s * 4.0 * 1.25
    shares = [sum(ref.startswith(letter) for _, ref in steady) for letter in "ab"]
    assert min(shares) >= len(steady) / 3


def test_store_outage_is_probed_and_refusals_name_a_retry_time():
    bench = start_bench()
    bench.store.down = True
    loads = record_loads(bench)
    first = [bench.ask("entry-1", f"a{n}", deadline_s=30.0) for n in range(6)]
    bench.run(8.0)
    late = [at for at, _, _ in loads if at > bench.clock.seconds - 6.0]
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
def test_failing_adapter_or_engine_does_not_delay_others(bad):
    bench = start_bench()
    lead, pool = lead_of(bench)
    if bad == "engine":
        bench.engines["engine-1"].fail_loads = 1000
    else:
        for engine in bench.engines.values():
            engine.failing_refs.add("a5@1")
    requests = [bench.ask(f"entry-{n % 3 + 1}", f"a{n}", deadline_s=30.0) for n in range(4)]
    bad_one = bench.ask("entry-1", "a5", deadline_s=30.0)
    bench.run(6.0)
    assert all(item.completed for item in requests)
    assert bad_one.completed is (bad == "engine")
    assert not pool.budget.is_store_down


def test_adapters_of_a_leaving_engine_are_loaded_elsewhere():
    bench = start_bench(slots=4)
    send_requests(bench, ENTRIES, ["a0", "a1", "a2", "a3"], 4.0)
    held = dict(bench.engines["engine-1"].slots)
    assert held
    bench.drain_endpoint("engine-1")
    bench.run(4.0)
    requests = [bench.ask(name, ref.split("@")[0]) for name in ENTRIES for ref in held]
    bench.run(0.2)
    assert all(item.dispatched_endpoints for item in requests)
    bench.run(2.0)
    assert all(item.completed for item in requests)


def test_recovery_of_a_restarted_engine_does_not_delay_callers():
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


def test_hot_adapter_gains_and_loses_replicas():
    bench = start_bench(engines=3, slots=2, batch=2)
    send_requests(bench, ENTRIES, ["a0"], 8.0, 0.05, tokens=10)
    holding = [e for e in bench.engines.values() if "a0@1" in e.slots]
    assert len(holding) == 3
    send_requests(bench, ENTRIES, [f"a{n}" for n in range(6, 12)], 12.0, 0.1)
    holding = [e for e in bench.engines.values() if "a0@1" in e.slots]
    assert len(holding) <= 1


def test_new_versions_and_adapters_of_the_preset_are_warmed_up():
    bench = start_bench(slots=4, preset=Preset("ordinary", warm=("a8", "a9")))
    bench.run(12.0)
    resident = {ref for engine in bench.engines.values() for ref in engine.slots}
    assert {"a8@1", "a9@1"} <= resident
    versions = {"1": VersionState.PUBLISHED, "2": VersionState.PUBLISHED}
    bench.publisher().apply_change(
        lambda draft: draft.put_adapter(Adapter("a8", "base", versions, 2))
    )
    bench.run(8.0)
    resident = {ref for engine in bench.engines.values() for ref in engine.slots}
    assert "a8@2" in resident


def test_expected_ready_times_match_the_actual_ones():
    bench = start_bench(engines=6, slots=4, adapters=60)
    expected_at_by_ref = {}

    def hook(entry, item):
        if isinstance(item, fx.SendMessage) and isinstance(item.message, messages.Expected):
            expected_at_by_ref.setdefault(
                item.message.ref, bench.clock.seconds + item.message.ready_in_s
            )

    bench.hooks.append(hook)
    lead, _ = lead_of(bench)
    other = next(name for name in ENTRIES if name != lead.state.me.name)
    requests = []
    for number in range(20):
        requests.append(bench.ask(other, f"a{number}", deadline_s=30.0))
        bench.run(0.02)
    bench.run(10.0)
    late_s = [
        item.dispatched_at - expected_at_by_ref[item.answered_by]
        for item in requests
        if item.completed and item.answered_by in expected_at_by_ref
    ]
    assert len(late_s) >= 10
    assert max(late_s) < 1.5 and min(late_s) > -2.5


def test_recalls_are_bounded_while_engines_are_busy():
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
