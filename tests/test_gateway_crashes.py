"""Requests with a part in their prompts that crashes engines, and what must not be taken for them."""

from collections.abc import Callable
from datetime import UTC, datetime, timedelta

import orjson
import pytest
from attrs import evolve, frozen

from poplarhoist.decisions.gateway import crashes, messages
from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.crash_suspects import CRASH_MEMORY_S
from poplarhoist.decisions.gateway.crashes import (
    EVIDENCE_PER_SUSPECT,
    MAX_CONTENT_TRIALS,
    MAX_REPORTS,
    MAX_SUSPECTED_PARTS,
    TRIAL_AFTER_S,
)
from poplarhoist.decisions.gateway.models import AdapterKey, PrefixSegment, Prompt, Refused
from poplarhoist.gateway.peers import MAX_DATAGRAM_BYTES, message_converter
from poplarhoist.platform import documents
from tests.engine_site import EngineSite, SentRequest
from tests.gateway import Gateway, effects_of, only_effect, plain_endpoint

# Seconds after which what crashes engines must be known, counted from the fifth crash; requests
# that may still reach engines later. Both are the users' bounds.
KNOWN_AFTER_S = 4.0
MAX_LATE_REQUESTS = 3
# Seconds between two requests, with a part that crashes engines and without.
CRASHING_INTERVAL_S = 0.25
SOUND_INTERVAL_S = 0.05


class Traffic:
    """Sound requests and such with a part that crashes engines, at all entries in turn.

    Both kinds share a first part and one of six second parts.
    """

    def __init__(
        self, site: EngineSite, *crashing_parts: str, crashing_part_is_last: bool = True
    ) -> None:
        self.site = site
        self.crashing_parts = crashing_parts
        self.crashing_part_is_last = crashing_part_is_last
        self.sound: list[SentRequest] = []
        self.crashing: list[SentRequest] = []
        self.count = 0
        self.send_sound()
        self.send_crashing()

    def send(self, *parts: str) -> SentRequest:
        self.count += 1
        name = self.site.names[self.count % len(self.site.names)]
        second = f"second-{self.count % 6}"
        parts = (second, *parts) if self.crashing_part_is_last else (*parts, second)
        return self.site.send(name, "shared", *parts)

    def send_sound(self) -> None:
        self.sound.append(self.send())
        self.site.call_in(SOUND_INTERVAL_S, self.send_sound)

    def send_crashing(self) -> None:
        for part in self.crashing_parts:
            self.crashing.append(self.send(part))
        self.site.call_in(CRASHING_INTERVAL_S, self.send_crashing)


def run_plain(site: EngineSite) -> None:
    site.run(40.0)


def run_with_lost_heads(site: EngineSite) -> None:
    site.sends_head = False
    site.run(30.0)


def run_with_late_entry(site: EngineSite) -> None:
    site.run(9.0)
    site.start_entry("entry-2")
    site.run(21.0)


def run_with_entries_restarted(site: EngineSite) -> None:
    site.run(1.0)
    for name in site.names:
        site.start_entry(name)
    site.run(29.0)


def run_with_entry_cut_off(site: EngineSite) -> None:
    site.cut_off = {"entry-2"}
    site.run(5.0)
    site.cut_off = set()
    site.run(25.0)


def run_with_lost_messages(site: EngineSite) -> None:
    site.lost_share = 0.3
    site.run(30.0)


@frozen
class CrashCase:
    """How the time passes, and since when entries can know; seconds from the start."""

    run: Callable[[EngineSite], None]
    crashing_parts: tuple[str, ...] = ("bad",)
    crashing_from: float = 0.0
    known_from: float = 0.0
    crashing_part_is_last: bool = True


CRASH_CASES = {
    "no-two-alike": CrashCase(run_plain),
    "part-in-the-middle": CrashCase(run_plain, crashing_part_is_last=False),
    "two-parts": CrashCase(run_plain, ("bad", "worse")),
    "head-lost": CrashCase(run_with_lost_heads),
    "sound-before": CrashCase(run_plain, crashing_from=3.0),
    "entry-starts-late": CrashCase(run_with_late_entry, known_from=9.0 + KNOWN_AFTER_S),
    "entries-restarted": CrashCase(run_with_entries_restarted),
    "entry-cut-off": CrashCase(run_with_entry_cut_off, known_from=5.0 + KNOWN_AFTER_S),
    "messages-lost": CrashCase(run_with_lost_messages),
}


def play(case: CrashCase) -> tuple[EngineSite, Traffic]:
    site = EngineSite()
    traffic = Traffic(site, *case.crashing_parts, crashing_part_is_last=case.crashing_part_is_last)
    site.call_in(case.crashing_from, lambda: site.crashing_parts.update(case.crashing_parts))
    case.run(site)
    return site, traffic


def fifth_crash_at(site: EngineSite, part: str) -> float:
    crashed_at = site.crashed_at_by_part[part]
    return crashed_at[min(4, len(crashed_at) - 1)]


@pytest.mark.parametrize("case", CRASH_CASES.values(), ids=CRASH_CASES)
def test_part_that_crashes_engines_is_kept_from_further_engines(case):
    site, traffic = play(case)
    for part in case.crashing_parts:
        known_at = max(case.known_from, fifth_crash_at(site, part) + KNOWN_AFTER_S)
        late = [
            at
            for request in traffic.crashing
            if part in request.parts
            for at in request.reached_at
            if at > known_at
        ]
        assert len(late) <= MAX_LATE_REQUESTS, (part, len(site.crashed_at_by_part[part]))


@pytest.mark.parametrize("case", CRASH_CASES.values(), ids=CRASH_CASES)
def test_requests_that_share_other_parts_with_a_crashing_one_are_served(case):
    site, traffic = play(case)
    assert not [request for request in traffic.sound if request.refused is Refused.SUSPECT]
    known_at = max(fifth_crash_at(site, part) for part in case.crashing_parts) + 2 * KNOWN_AFTER_S
    later = [r for r in traffic.sound if known_at < r.at < site.at - 1.0]
    assert len(later) >= 100
    assert sum(request.is_begun for request in later) >= 0.9 * len(later)


def crash_in_series(site: EngineSite) -> None:
    for _ in range(8):
        site.run(1.0)
        for run in site.alive_runs()[:2]:
            site.crash_engine(run)


def crash_together(site: EngineSite) -> None:
    for _ in range(4):
        site.run(4.0)
        for run in site.alive_runs()[:4]:
            site.crash_engine(run)


def reset_connections(site: EngineSite) -> None:
    for _ in range(20):
        site.run(0.4)
        for run in site.alive_runs():
            site.break_attempts(run, {}, "entry-1")


@pytest.mark.parametrize("disrupt", [crash_in_series, crash_together, reset_connections])
def test_engines_that_fall_for_another_reason_convict_no_part(disrupt):
    site = EngineSite()
    traffic = Traffic(site)
    disrupt(site)
    site.run(3.0)
    assert len(traffic.sound) > 100
    assert not [request for request in traffic.sound if request.refused is Refused.SUSPECT]


def test_part_that_no_longer_crashes_engines_is_served_again_after_one_trial():
    site = EngineSite()
    traffic = Traffic(site, "bad")
    site.crashing_parts = {"bad"}
    site.run(10.0)
    site.crashing_parts = set()
    assert all(request.refused for request in traffic.crashing[-4:])
    site.run(TRIAL_AFTER_S + 5.0)
    trials = [r for r in traffic.crashing if r.reached_at and r.reached_at[0] > 10.0]
    assert trials[0].is_done
    assert not [r for r in traffic.crashing if r.at > trials[0].at + 1.0 and r.refused]


def test_trials_of_a_part_that_crashes_engines_become_rare():
    site = EngineSite()
    Traffic(site, "bad")
    site.crashing_parts = {"bad"}
    site.run(100.0)
    assert 1 <= len([at for at in site.crashed_at_by_part["bad"] if at > 10.0]) <= 2


def test_what_was_refused_is_sent_again_once_its_crashes_are_forgotten():
    gateway = EngineSite(entry_count=1).entries["entry-1"]
    for number in range(3):
        gateway.receive("entry-2", messages.Crashed("content-1", f"e{number}"))
    assert only_effect(fx.Refuse, gateway.request("/resume/x", "a1", content_digest="content-1")[1])
    gateway.advance(CRASH_MEMORY_S + 1.0, step_s=0.25)
    _, effects = gateway.request("/resume/x", "a1", content_digest="content-1")
    assert effects_of(fx.Dispatch, effects)


def test_refusal_of_what_crashes_engines_says_when_it_may_run_again():
    gateway = EngineSite(entry_count=1).entries["entry-1"]
    for number in range(3):
        gateway.receive("entry-2", messages.Crashed("content-1", f"e{number}", age_s=2.0))
    _, effects = gateway.request("/resume/x", "a1", content_digest="content-1")
    refusal = only_effect(fx.Refuse, effects)
    assert (refusal.ran, refusal.retry_after_s) == (False, CRASH_MEMORY_S - 2.0)


def test_engine_that_still_runs_counts_as_no_crash():
    site = EngineSite(entry_count=1)
    entry = site.entries["entry-1"]
    for run in site.alive_runs()[:3]:
        site.send("entry-1", "shared", "rare")
        site.run(0.1)
        for other in site.alive_runs():
            site.break_attempts(other, {})
        assert run.is_alive
    site.run(1.0)
    assert effects_of(fx.CheckEndpoint, entry.effects)
    assert not entry.state.crash_reports


@pytest.mark.parametrize(
    "message",
    [
        messages.Crashed("c", "e1", 7, ("p1", "p2"), True, False, 0.5, {"p1": 0.25}),
        messages.CrashEvidence((messages.Crashed("c", "e1"),)),
        messages.AskCrashes(),
        messages.PartsSound({"p1": 1.5}),
    ],
)
def test_messages_about_crashes_survive_the_wire(message):
    data = orjson.dumps(message_converter.unstructure(message, unstructure_as=messages.Message))
    assert message_converter.structure(orjson.loads(data), messages.Message) == message


@pytest.mark.parametrize("count", [2, 40, 2600])
def test_crash_of_a_prompt_with_many_parts_is_told_in_one_datagram(count):
    """Its message was dropped, and weighing its parts kept the entry from answering for seconds."""
    segments = tuple(PrefixSegment(f"{number:08x}", 100) for number in range(count))
    parts = crashes.shared_parts(Prompt(AdapterKey("base", "a1"), 100, 10, segments))
    assert parts == tuple(segment.name for segment in segments[:-1])[:MAX_SUSPECTED_PARTS]
    sound_ages_s = dict.fromkeys(parts, 0.123456789)
    reports = [
        messages.Crashed("c" * 16, f"i-{number:010x}", 7, parts, True, False, 0.5, sound_ages_s)
        for number in range(EVIDENCE_PER_SUSPECT)
    ]
    evidence = messages.CrashEvidence(tuple(reports))
    data = orjson.dumps(message_converter.unstructure(evidence, unstructure_as=messages.Message))
    assert len(data) < MAX_DATAGRAM_BYTES


def test_part_stays_refused_when_many_other_responses_break_off():
    gateway = EngineSite(entry_count=1).entries["entry-1"]
    sound = {"shared": 0.0}
    for number in range(3):
        crashed = messages.Crashed(f"c{number}", f"e{number}", parts=("shared", "bad"))
        gateway.receive("entry-2", evolve(crashed, age_s=1.0, sound_ages_s=sound))
    gateway.advance(1.0)
    assert gateway.state.crash_verdict.parts == {"bad"}
    for number in range(2 * MAX_REPORTS):
        gateway.receive("entry-2", messages.Crashed(f"other-{number}", f"f{number % 4}"))
    gateway.advance(1.0)
    assert gateway.state.crash_verdict.parts == {"bad"}
    assert len(gateway.state.crash_reports) <= MAX_REPORTS


def test_content_that_is_answered_after_its_crashes_runs_again():
    site = EngineSite(entry_count=1)
    gateway = site.entries["entry-1"]

    def request() -> list:
        gateway.at = site.at
        return gateway.request("/resume/x", "a1", content_digest="popular")[1]

    dispatch = only_effect(fx.Dispatch, request())
    for number in range(3):
        gateway.receive("entry-2", messages.Crashed("popular", f"e{number}"))
    assert effects_of(fx.Refuse, request())
    site.run(0.5)
    gateway.at = site.at
    gateway.submit(ev.ResponseStarted, request_id=dispatch.request_id, attempt=dispatch.attempt)
    gateway.end_attempt(dispatch, ev.Outcome.DONE)
    assert effects_of(fx.Dispatch, request())


def trial_times(gateway, seconds: float, outcome: ev.Outcome) -> list[float]:
    """Return when a refused content is sent as a trial that ends so; other requests are refused."""
    times = []
    ends_at = gateway.at + seconds
    while gateway.at < ends_at:
        request_id, effects = gateway.request("/read/x", content_digest="popular")
        for dispatch in effects_of(fx.Dispatch, effects):
            times.append(gateway.at)
            ended = gateway.end_attempt(dispatch, outcome)
            assert not effects_of(fx.Dispatch, ended), "a trial that failed goes on elsewhere"
        gateway.advance(0.5, step_s=0.25)
    return times


def gateway_that_refuses_a_content() -> Gateway:
    gateway = Gateway()
    gateway.configure()
    gateway.list_endpoints(*(plain_endpoint(number) for number in (1, 2, 3)))
    for number in range(3):
        gateway.receive("entry-2", messages.Crashed("popular", f"d{number}"))
    return gateway


def test_content_that_only_ran_where_all_endpoints_crashed_at_once_is_served_again():
    """The crash of all endpoints of a service kept a popular path refused for ten minutes."""
    gateway = gateway_that_refuses_a_content()
    times = trial_times(gateway, 20.0, ev.Outcome.DONE)
    assert 5.0 <= times[0] <= 6.0
    assert len(times) >= 25


def test_content_that_crashes_endpoints_reaches_them_in_few_trials():
    gateway = gateway_that_refuses_a_content()
    times = trial_times(gateway, CRASH_MEMORY_S - 10.0, ev.Outcome.BROKEN)
    assert len(times) == MAX_CONTENT_TRIALS <= MAX_LATE_REQUESTS
    assert times[1] - times[0] >= 10.0


def records_of(gateway: Gateway) -> dict[str, tuple[messages.Crashed, ...]]:
    """Carry out the latest writes of what crashes endpoints, and return the store's records."""
    records = {}
    for write in effects_of(fx.WriteCrashRecord, gateway.advance(1.0)):
        records[write.name] = write.crashes
        fields = {"name": write.name, "crash_count": len(write.crashes)}
        gateway.submit(ev.CrashRecordWritten, status=ev.CallStatus.OK, **fields)
    return records


def restarted(records: dict[str, tuple[messages.Crashed, ...]]) -> Gateway:
    """Return an entry that has started, and knows nothing but the store's records."""
    gateway = Gateway()
    gateway.configure()
    gateway.list_endpoints(*(plain_endpoint(number) for number in (1, 2, 3)))
    for name, crashed in records.items():
        gateway.submit(ev.CrashRecordSeen, name=name, crashes=crashed)
    gateway.submit(ev.CrashRecordsListed, names=frozenset(records))
    return gateway


def test_content_that_crashes_endpoints_stays_refused_when_all_entries_are_killed():
    """It reached and crashed four more endpoints after each kill; three are allowed in all."""
    gateway = gateway_that_refuses_a_content()
    gateway.submit(ev.CrashRecordsListed, names=frozenset())
    records = records_of(gateway)
    assert list(records) == ["content:popular"]
    trials = 0
    for _ in range(3):
        gateway = restarted(records)
        assert effects_of(fx.Refuse, gateway.request("/read/x", content_digest="popular")[1])
        trials += len(trial_times(gateway, 30.0, ev.Outcome.BROKEN))
        # What a trial crashes is recorded as well.
        for number in range(trials):
            crashed = messages.Crashed("popular", f"trial-{number}")
            gateway.receive("entry-2", evolve(crashed, age_s=0.0))
        records = records_of(gateway) or records
        assert len(records["content:popular"]) == 3 + trials
    assert trials <= MAX_LATE_REQUESTS


def test_record_of_what_turned_out_to_be_sound_is_removed():
    gateway = restarted(
        {
            "content:popular": tuple(
                messages.Crashed("popular", f"d{number}", age_s=10.0) for number in range(3)
            )
        }
    )
    assert records_of(gateway) == {}
    assert trial_times(gateway, 1.0, ev.Outcome.DONE)
    assert records_of(gateway) == {"content:popular": ()}
    assert records_of(gateway) == {}


@pytest.mark.parametrize("elapsed_s", [-5.0, 0.0, 100.0, 10_000.0])
def test_crashes_are_older_by_the_time_since_they_were_written(elapsed_s):
    written = datetime.fromtimestamp(1_800_000_000.0, UTC)
    crashed = messages.Crashed("c", "e1", 7, ("p1",), True, False, 2.5, {"p1": 0.25})
    document = orjson.loads(orjson.dumps(documents.encode_crashes((crashed,), written)))
    read = documents.decode_crashes(document, written + timedelta(seconds=elapsed_s))
    assert read == (evolve(crashed, age_s=2.5 + max(0.0, elapsed_s)),)
