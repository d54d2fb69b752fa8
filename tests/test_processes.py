"""Six entry processes under load: kills, pauses, outages, races and a rolling replacement."""

import signal
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest
from urllib3.exceptions import HTTPError

from poplarhoist.decisions.limits import Limits
from tests.site import published_adapter, wait_until

ENTRIES = 6
ADAPTERS = 12
TOKENS = 12
CALLERS = 4
FAILOVER_DEADLINE_S = 10.0
CONFIGURATION_DEADLINE_S = 6.0
PAUSE_S = Limits().lease_s + 2.0


class Traffic:
    """Concurrent callers that send completions and bookings to the entries in turn.

    Attributes
    ----------
    target_entries : list
        Entries that currently get new requests, as from a load balancer.
    end_counts : Counter
        Number of requests by how they ended: whole, refused by reason, or broken.
    violations : list
        Responses that must never occur.
    """

    def __init__(self, site) -> None:
        self.site = site
        self.target_entries = list(site.file.entry_ports)
        self.end_counts: Counter = Counter()
        self.violations: list[str] = []
        self.stopping = threading.Event()
        self.pool = ThreadPoolExecutor(CALLERS)
        self.caller_futures = [self.pool.submit(self.run, number) for number in range(CALLERS)]

    def run(self, caller: int) -> None:
        """Send completions and bookings until ``stop``; each booking is sent to two entries."""
        number = caller
        while not self.stopping.is_set():
            entry = self.target_entries[number % len(self.target_entries)]
            if number % 5 == 0:
                self.request_booking(entry, f"key-{number}")
                self.request_booking(
                    self.target_entries[(number + 1) % len(self.target_entries)], f"key-{number}"
                )
            else:
                self.request_stream(entry, f"a{(number * number) % ADAPTERS}")
            number += CALLERS

    def request_stream(self, entry: str, adapter: str) -> str:
        """Request a stream, check each token, and return how the request ended."""
        try:
            answer = self.site.request_completion(entry, adapter, tokens=TOKENS, stream=True)
            text = answer.read().decode()
        except HTTPError as error:
            return self.count_end(f"broken: {type(error).__name__}")
        if answer.status != 200:
            return self.count_refusal(answer.status, text)
        expected_texts = [f'"{" "}{adapter}@1:{index}"' for index in range(TOKENS)]
        if all(word in text for word in expected_texts) and text.endswith("data: [DONE]\n\n"):
            return self.count_end("whole")
        if "event: error" not in text:
            self.violations.append(f"{adapter} at {entry}: {text[-200:]}")
        return self.count_end("broken: error event")

    def request_booking(self, entry: str, key: str) -> str:
        """Send a booking with an idempotency key and return how the request ended."""
        try:
            answer = self.site.send_request(
                entry, "/services/booking/book", {}, Idempotency_Key=key
            )
            text = answer.read().decode()
        except HTTPError as error:
            return self.count_end(f"broken: {type(error).__name__}")
        return (
            self.count_end("whole")
            if answer.status == 201
            else self.count_refusal(answer.status, text)
        )

    def count_refusal(self, status: int, text: str) -> str:
        """Count a refusal; an error response without a reason is a violation."""
        if '"reason"' not in text or '"ran"' not in text:
            self.violations.append(f"{status}: {text[:200]}")
        reason = text.partition('"reason":"')[2].partition('"')[0]
        return self.count_end(f"refused: {reason}")

    def count_end(self, kind: str) -> str:
        """Count the end of a request and return its kind."""
        self.end_counts[kind] += 1
        return kind

    def stop(self) -> None:
        """Stop all callers and check the invariants.

        No violation occurred, some requests were served, each booking ran exactly once, and the
        engines saw no violation.
        """
        self.stopping.set()
        for call in self.caller_futures:
            call.result(timeout=60)
        self.pool.shutdown()
        assert self.violations == []
        assert self.end_counts["whole"] > 0
        runs = self.site.read_state("booking-1")["runs_by_key"]
        assert set(runs.values()) == {1}
        for name in self.site.file.engine_ports:
            assert self.site.read_state(name)["violations"] == []


@pytest.fixture(params=[True, False], ids=["checks-fencing", "ignores-fencing"])
def site(running_site, request):
    """Start a site of six entries with more adapters than slots."""
    started = running_site(
        entries=ENTRIES, engines=3, slots=3, batch=8, checks_fencing=request.param
    )

    def edit(draft) -> None:
        for number in range(ADAPTERS + 1):
            draft.put_adapter(published_adapter(f"a{number}", 1))

    revision = started.publish(edit).revision
    for name in started.file.entry_ports:
        wait_until(lambda name=name: started.read_status(name)["revision"] >= revision)
    return started


def find_lead(site, entries) -> str:
    """Wait until one of the entries is a lead and return its name."""

    def found():
        return [name for name in entries if site.read_status(name)["leads"]]

    return wait_until(found, FAILOVER_DEADLINE_S, "a lead")[0]


def can_load_cold_adapter(site, traffic, entry: str) -> bool:
    """Return whether an adapter without earlier requests is loaded and serves a request."""
    return traffic.request_stream(entry, f"a{ADAPTERS}") == "whole"


def test_killed_lead_is_replaced(site):
    """Another entry becomes lead after a SIGKILL and loads adapters that are not resident."""
    traffic = Traffic(site)
    wait_until(lambda: traffic.end_counts["whole"] > 20)
    lead = find_lead(site, traffic.target_entries)
    traffic.target_entries.remove(lead)
    site.send_signal(lead, signal.SIGKILL)
    site.set_faults("platform", "/control/member", path=f"instances/{lead}", value=None)
    wait_until(
        lambda: find_lead(site, traffic.target_entries) != lead, FAILOVER_DEADLINE_S, "a new lead"
    )
    wait_until(
        lambda: can_load_cold_adapter(site, traffic, traffic.target_entries[0]),
        FAILOVER_DEADLINE_S,
        "a cold load",
    )
    traffic.stop()


def test_lead_paused_past_its_lease_steps_down(site):
    """A lead that is stopped for longer than its lease must not act as lead when it continues."""
    traffic = Traffic(site)
    wait_until(lambda: traffic.end_counts["whole"] > 20)
    lead = find_lead(site, traffic.target_entries)
    others = [name for name in traffic.target_entries if name != lead]
    traffic.target_entries = others
    site.send_signal(lead, signal.SIGSTOP)
    paused_at = time.monotonic()
    find_lead(site, others)
    wait_until(lambda: time.monotonic() - paused_at >= PAUSE_S, what="the pause")
    site.send_signal(lead, signal.SIGCONT)
    wait_until(
        lambda: not site.read_status(lead)["leads"],
        FAILOVER_DEADLINE_S,
        "the old lead to step down",
    )
    traffic.target_entries = [*others, lead]
    served = traffic.end_counts["whole"]
    wait_until(lambda: traffic.end_counts["whole"] > served + 20, what="answers after the pause")
    traffic.stop()


def test_resident_adapters_are_served_during_a_platform_outage(site):
    """Only requests that need the platform are refused: bookings, whose runs it records."""
    traffic = Traffic(site)
    wait_until(lambda: traffic.end_counts["whole"] > 20)
    entry = traffic.target_entries[0]
    assert traffic.request_stream(entry, "a1") == "whole"
    site.set_faults("platform", "/control/faults", outage=True)
    began = time.monotonic()
    served = 0
    while time.monotonic() - began < PAUSE_S:
        served += traffic.request_stream(entry, "a1") == "whole"
        assert traffic.request_booking(entry, f"outage-{served}") == "refused: run-not-recorded"
    assert served > 0
    site.set_faults("platform", "/control/faults", outage=False)
    wait_until(
        lambda: can_load_cold_adapter(site, traffic, entry), FAILOVER_DEADLINE_S, "a cold load"
    )
    traffic.stop()


def test_concurrent_operators_leave_one_preset_in_force(site):
    """Each operator either succeeds or is told of the conflict; all entries agree on the preset."""
    traffic = Traffic(site)
    names = [f"day-{number}" for number in range(4)]
    with ThreadPoolExecutor(len(names)) as pool:
        for name in names:
            site.run_ctl("preset", "put", name)
        uses = [pool.submit(site.run_ctl, "preset", "use", name, check=False) for name in names]
        codes = [use.result().returncode for use in uses]
    assert 0 in codes
    assert set(codes) <= {0, 3}

    def presets() -> set[str]:
        return {site.read_status(name)["preset"] for name in traffic.target_entries}

    in_force = wait_until(
        lambda: len(found := presets()) == 1 and found, CONFIGURATION_DEADLINE_S, "one preset"
    )
    assert in_force <= set(names)
    traffic.stop()


def test_rolling_replacement_of_entries_breaks_no_request(site):
    """Entries are drained by SIGTERM and restarted one after another under load."""
    traffic = Traffic(site)
    wait_until(lambda: traffic.end_counts["whole"] > 20)
    for name in list(traffic.target_entries):
        traffic.target_entries = [other for other in site.file.entry_ports if other != name]
        site.send_signal(name, signal.SIGTERM)
        assert site.processes[name].wait(timeout=30) == 0
        site.start_entry(name)
        site.wait_ready(name)
    traffic.target_entries = list(site.file.entry_ports)
    served = traffic.end_counts["whole"]
    wait_until(
        lambda: traffic.end_counts["whole"] > served + 20, what="answers after the replacement"
    )
    traffic.stop()
    assert [how for how in traffic.end_counts if how.startswith("broken")] == []
