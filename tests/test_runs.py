"""Non-idempotent calls run at most once under any fault.

They are reported as not run only if they did not run.
"""

import pytest

from poplarhoist.decisions import effects as fx
from poplarhoist.decisions import events as ev
from poplarhoist.decisions import runs
from poplarhoist.decisions.limits import Limits
from poplarhoist.models import Place, Ran, Reason
from poplarhoist.replay.simulation import Simulation

PLACE = Place("r1", "r1-a")
KEY = "key"


def make_site(**options) -> Simulation:
    bench = Simulation(entries=3, engines=1, **options)
    bench.configure()
    bench.run(3.0)
    return bench


def run_count(bench: Simulation, key: str = KEY) -> int:
    return bench.services["booking-1"].runs_by_key.get(key, 0)


def stage(bench: Simulation, key: str = KEY) -> str | None:
    found = bench.platform.objects.get(runs.record_path("caller", key))
    return found[1]["stage"] if found else None


def book(bench: Simulation, entry: str = "entry-1", seconds: float = 12.0, **options):
    asked = bench.book(entry, KEY, **options)
    bench.run(seconds)
    return asked


def outcome(asked) -> str:
    """Return how a call ended: the reason and ``ran`` of its refusal, or one word."""
    if asked.refusal is not None:
        return f"{asked.refusal.reason} {asked.refusal.ran}"
    return "replayed" if asked.replayed else "completed" if asked.completed else "nothing"


def pause_at(bench: Simulation, step: str) -> None:
    """Send a booking to entry-1, and pause the entry at a step of the call.

    At "after dispatch" the entry is not paused; its call is under way.
    """
    entry = bench.entries["entry-1"]
    kinds = {"before create": fx.PlatformPut, "after create": fx.Dispatch}
    entry.pause_before = kinds.get(step)
    bench.book("entry-1", KEY)
    bench.run({"after dispatch": 0.03, "before finish": 0.02}.get(step, 0.5))
    if step == "before finish":
        entry.pause_before = fx.PlatformPut
        bench.run(0.5)
    assert entry.paused or step == "after dispatch"


REFUSED_UNKNOWN = f"{Reason.RUN_UNKNOWN} {Ran.UNKNOWN}"


@pytest.mark.parametrize(
    ("step", "expected", "count"),
    [
        ("before create", "completed", 1),
        ("after create", REFUSED_UNKNOWN, 0),
        ("after dispatch", REFUSED_UNKNOWN, 1),
        ("before finish", REFUSED_UNKNOWN, 1),
    ],
)
@pytest.mark.parametrize("restart", [False, True])
def test_an_entry_that_dies_before_the_final_write(step, expected, count, restart):
    bench = make_site()
    pause_at(bench, step)
    bench.kill("entry-1", listed=restart)
    if restart:
        bench.add_entry("entry-1", PLACE)
    bench.run(5.0)
    entries = ["entry-2", "entry-1" if restart else "entry-3", "entry-2"]
    answers = [outcome(book(bench, entry)) for entry in entries]
    assert answers == [expected] + ["replayed" if expected == "completed" else expected] * 2
    assert run_count(bench) == count


@pytest.mark.parametrize("step", ["after create", "before finish"])
def test_a_paused_entry_resumes_and_its_answer_is_replayed(step):
    bench = make_site()
    pause_at(bench, step)
    assert outcome(book(bench, "entry-2", 0.5)).startswith(Reason.RUN_IN_PROGRESS)
    bench.run(5.0)
    assert outcome(book(bench, "entry-2", 0.5)) == REFUSED_UNKNOWN
    bench.resume("entry-1")
    bench.run(2.0)
    assert outcome(book(bench, "entry-2")) == "replayed"
    assert run_count(bench) == 1


def test_an_entry_paused_past_the_deadline_does_not_start_the_call():
    bench = make_site()
    entry = bench.entries["entry-1"]
    first = bench.book("entry-1", KEY, deadline_s=5.0)
    bench.pause("entry-1")
    bench.run(20.0)
    bench.resume("entry-1")
    bench.run(5.0)
    assert first.refusal.ran is Ran.NO
    assert not entry.state.runs.claims_by_request
    assert run_count(bench) == 0
    assert outcome(book(bench, "entry-2")) == "completed"


def lose_answers_of(count):
    return lambda bench: setattr(bench.platform, "lose_answers", count)


def delay_writes(*seconds):
    return lambda bench: bench.platform.delayed_writes.extend(seconds)


def hang_platform(bench):
    bench.platform.hang = True


@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        (lose_answers_of(1), "completed"),
        (lose_answers_of(2), "completed"),
        (delay_writes(0.5), "completed"),
        (delay_writes(2.001), "completed"),
        (delay_writes(3.0), "completed"),
        (delay_writes(5.0, 3.0), "completed"),
        (delay_writes(30.0, 30.0, 30.0), f"{Reason.RUN_NOT_RECORDED} {Ran.NO}"),
        (delay_writes(2.5, 2.5, 2.5, 0.5), f"{Reason.RUN_NOT_RECORDED} {Ran.NO}"),
        (hang_platform, f"{Reason.RUN_NOT_RECORDED} {Ran.NO}"),
    ],
)
def test_a_claim_whose_result_is_lost_or_late(fault, expected):
    bench = make_site()
    fault(bench)
    first = book(bench, seconds=20.0)
    assert outcome(first) in (expected, "completed")
    count = run_count(bench)
    assert count == (1 if first.completed else 0)
    bench.platform.hang = False
    bench.run(60.0)
    assert run_count(bench) == count
    assert outcome(book(bench, "entry-2")) == ("replayed" if count else "completed")
    assert run_count(bench) == 1
    assert not bench.entries["entry-1"].state.runs.claims_by_request


def test_during_an_outage_a_call_is_refused_at_once_as_not_run():
    bench = make_site()
    bench.platform.outage = True
    asked = book(bench, seconds=0.1)
    assert outcome(asked) == f"{Reason.RUN_NOT_RECORDED} {Ran.NO}"
    assert asked.refusal.retry_after_s > 0
    assert run_count(bench) == 0
    bench.platform.outage = False
    assert outcome(book(bench, "entry-2")) == "completed"


@pytest.mark.parametrize("late_s", [3.0, 5.01])
def test_an_outage_after_a_lost_claim_does_not_block_the_key(late_s):
    bench = make_site()
    bench.platform.delayed_writes.append(late_s)
    first = bench.book("entry-1", KEY)
    bench.run(1.0)
    bench.platform.outage = True
    bench.run(4.0)
    assert outcome(first) == f"{Reason.RUN_NOT_RECORDED} {Ran.NO}"
    bench.platform.outage = False
    bench.run(10.0)
    assert stage(bench) == runs.RunStage.NOT_RUN
    assert outcome(book(bench, "entry-3")) == "completed"
    assert run_count(bench) == 1


@pytest.mark.parametrize("gap_s", [0.0, 0.0005, 0.001, 0.0015, 0.002, 0.004, 0.03])
@pytest.mark.parametrize("lost", [0, 1, 2])
def test_a_concurrent_resend_runs_the_call_once(gap_s, lost):
    bench = make_site()
    bench.platform.lose_answers = lost
    first = bench.book("entry-1", KEY)
    bench.run(gap_s)
    second = bench.book("entry-2", KEY)
    bench.run(15.0)
    assert run_count(bench) == 1
    assert first.completed or second.completed
    assert outcome(book(bench, "entry-3")) == "replayed"


@pytest.mark.parametrize("step", ["after create", "before finish", "done", "not run"])
def test_a_key_with_another_body_is_refused(step):
    bench = make_site()
    if step == "done":
        book(bench)
    elif step == "not run":
        bench.services["booking-1"].down = True
        book(bench)
        assert stage(bench) == runs.RunStage.NOT_RUN
    else:
        pause_at(bench, step)
    count = run_count(bench)
    asked = book(bench, "entry-2", 1.0, content="another body")
    assert outcome(asked) == f"{Reason.KEY_REUSED} {Ran.NO}"
    assert run_count(bench) == count


@pytest.mark.parametrize("lost", [0, 1, 2])
def test_a_resend_runs_a_call_that_was_not_run(lost):
    bench = make_site()
    bench.services["booking-1"].down = True
    first = book(bench)
    assert first.refusal.ran is Ran.NO
    assert stage(bench) == runs.RunStage.NOT_RUN
    bench.services["booking-1"].down = False
    bench.run(3.0)
    bench.platform.lose_answers = lost
    racing = [bench.book("entry-2", KEY), bench.book("entry-3", KEY)]
    bench.run(15.0)
    assert run_count(bench) == 1
    assert any(asked.completed for asked in racing)
    assert outcome(book(bench, "entry-1")) == "replayed"


def test_a_lost_answer_stays_unknown():
    bench = make_site()
    bench.services["booking-1"].lose_answers = 1
    assert outcome(book(bench)).endswith(f" {Ran.UNKNOWN}")
    assert stage(bench) == runs.RunStage.UNKNOWN
    assert outcome(book(bench, "entry-1")) == REFUSED_UNKNOWN
    assert outcome(book(bench, "entry-2")) == REFUSED_UNKNOWN
    assert run_count(bench) == 1


def test_an_outage_during_the_run_only_delays_the_record():
    bench = make_site()
    first = bench.book("entry-1", KEY)
    bench.run(0.03)
    bench.platform.outage = True
    bench.run(0.5)
    assert outcome(first) == "completed"
    assert outcome(book(bench, "entry-2", 1.0)) == f"{Reason.RUN_NOT_RECORDED} {Ran.NO}"
    bench.run(60.0)
    bench.platform.outage = False
    bench.run(6.0)
    assert outcome(book(bench, "entry-2")) == "replayed"


@pytest.mark.parametrize(("outage_s", "stops_within_s"), [(3.0, 10.0), (120.0, 20.0)])
def test_a_drain_waits_a_bounded_time_for_final_records(outage_s, stops_within_s):
    bench = make_site()
    bench.book("entry-1", KEY)
    bench.run(0.03)
    bench.platform.outage = True
    bench.run(0.5)
    bench.drain("entry-1")
    bench.run(outage_s)
    assert bench.entries["entry-1"].stopped == (outage_s > stops_within_s)
    bench.platform.outage = False
    bench.run(stops_within_s)
    assert bench.entries["entry-1"].stopped
    recorded = outage_s < stops_within_s
    assert stage(bench) == (runs.RunStage.DONE if recorded else runs.RunStage.STARTED)
    assert outcome(book(bench, "entry-2")) == ("replayed" if recorded else REFUSED_UNKNOWN)


def test_an_answer_too_large_for_its_record_is_reported_as_run():
    bench = make_site()
    entry = bench.entries["entry-1"]
    bench.book("entry-1", KEY)
    bench.run(0.03)
    ended = ev.AttemptEnded(
        bench.clock.seconds,
        "r0",
        1,
        "booking-1",
        ev.Outcome.COMPLETED,
        recorded_answer="x" * 1_000_000,
    )
    bench.submit(entry, lambda at: ended)
    bench.run(2.0)
    value = bench.platform.objects[runs.record_path("caller", KEY)][1]
    assert (value["stage"], value["answer"]) == (runs.RunStage.DONE, "")
    assert outcome(book(bench, "entry-2")) == f"{Reason.ANSWER_NOT_KEPT} {Ran.YES}"


def test_a_malformed_record_is_refused_as_unknown():
    bench = make_site()
    bench.platform.write(runs.record_path("caller", KEY), {"nonce": 7})
    assert outcome(book(bench)) == REFUSED_UNKNOWN
    assert run_count(bench) == 0


def test_callers_and_keys_do_not_share_records():
    pairs = [("a", "b/c"), ("a/b", "c"), ("a", "../a/b"), ("ab", "c"), ("a", "bc"), ("a", "b?c")]
    paths = {runs.record_path(caller, key) for caller, key in pairs}
    assert len(paths) == len(pairs)
    assert all(path.replace("/", "").isalnum() for path in paths)


def test_a_call_takes_two_writes():
    bench = make_site()
    calls_before = bench.platform.calls["put"]
    for number in range(20):
        bench.book(f"entry-{number % 3 + 1}", f"key {number}")
    bench.run(0.5)
    leases = sum(1 for path in bench.platform.objects if path.startswith("leads/"))
    # In 0.5 s each lead renews its lease at most once, as lease_renew_s is longer; one further
    # write is tolerated.
    assert bench.platform.calls["put"] - calls_before <= 2 * 20 + leases + 1


def test_expired_records_are_deleted_at_a_bounded_rate():
    limits = Limits(run_retention_s=600.0, run_sweep_s=300.0)
    bench = make_site(limits=limits)
    for number in range(60):
        bench.book(f"entry-{number % 3 + 1}", f"key {number}")
        bench.run(0.2)
    bench.run(500.0)
    kept = [path for path in bench.platform.objects if path.startswith("runs/")]
    assert len(kept) == 60
    assert outcome(bench.requests_by_id["r0"]) == "completed"
    listings, started = bench.platform.calls["list"], bench.clock.seconds
    bench.run(1500.0)
    kept = [path for path in bench.platform.objects if path.startswith("runs/")]
    assert len(kept) <= 6
    # run_sweep.SHARD_COUNT is 4096; the factor 1.5 allows for the jitter of the interval.
    rate = (bench.platform.calls["list"] - listings) / (bench.clock.seconds - started)
    assert rate <= 1.5 * 4096 / limits.run_sweep_s
