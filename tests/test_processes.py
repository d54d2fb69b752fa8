"""Six entries as real processes under load: kills, pauses, outages, races, rolling replacement."""

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
TAKE_OVER_S = 10.0
IN_FORCE_S = 6.0
PAUSE_S = Limits().lease_s + 2.0


class Traffic:
    """Callers that ask and book through the entries that a balancer would send them to.

    Attributes
    ----------
    entries : list
        Entries that get new requests now.
    ends : Counter
        How requests ended: whole, refused by reason, or broken off.
    wrong : list
        What must never happen.
    """

    def __init__(self, site) -> None:
        self.site = site
        self.entries = list(site.file.entry_ports)
        self.ends: Counter = Counter()
        self.wrong: list[str] = []
        self.stopping = threading.Event()
        self.pool = ThreadPoolExecutor(CALLERS)
        self.calls = [self.pool.submit(self.run, number) for number in range(CALLERS)]

    def run(self, caller: int) -> None:
        """Ask and book in turns until told to stop."""
        number = caller
        while not self.stopping.is_set():
            entry = self.entries[number % len(self.entries)]
            if number % 5 == 0:
                self.book(entry, f"key-{number}")
                self.book(self.entries[(number + 1) % len(self.entries)], f"key-{number}")
            else:
                self.ask(entry, f"a{(number * number) % ADAPTERS}")
            number += CALLERS

    def ask(self, entry: str, adapter: str) -> str:
        """Ask for a stream and check every token of it."""
        try:
            answer = self.site.request_completion(entry, adapter, tokens=TOKENS, stream=True)
            text = answer.read().decode()
        except HTTPError as error:
            return self.ended(f"broken: {type(error).__name__}")
        if answer.status != 200:
            return self.refused(answer.status, text)
        words = [f'"{" "}{adapter}@1:{index}"' for index in range(TOKENS)]
        if all(word in text for word in words) and text.endswith("data: [DONE]\n\n"):
            return self.ended("whole")
        if "event: error" not in text:
            self.wrong.append(f"{adapter} at {entry}: {text[-200:]}")
        return self.ended("broken: told")

    def book(self, entry: str, key: str) -> str:
        """Book under a key."""
        try:
            answer = self.site.send_request(
                entry, "/services/booking/book", {}, Idempotency_Key=key
            )
            text = answer.read().decode()
        except HTTPError as error:
            return self.ended(f"broken: {type(error).__name__}")
        return self.ended("whole") if answer.status == 201 else self.refused(answer.status, text)

    def refused(self, status: int, text: str) -> str:
        """Count a refusal; any other answer is wrong."""
        if '"reason"' not in text or '"ran"' not in text:
            self.wrong.append(f"{status}: {text[:200]}")
        reason = text.partition('"reason":"')[2].partition('"')[0]
        return self.ended(f"refused: {reason}")

    def ended(self, how: str) -> str:
        """Count how a request ended."""
        self.ends[how] += 1
        return how

    def stop(self) -> None:
        """Let every caller finish, and check what must always hold."""
        self.stopping.set()
        for call in self.calls:
            call.result(timeout=60)
        self.pool.shutdown()
        assert self.wrong == []
        assert self.ends["whole"] > 0
        runs = self.site.read_state("booking-1")["runs_by_key"]
        assert set(runs.values()) == {1}
        for name in self.site.file.engine_ports:
            assert self.site.read_state(name)["violations"] == []


@pytest.fixture(params=[True, False], ids=["checks-fencing", "ignores-fencing"])
def site(running_site, request):
    """A site of six entries with more adapters than slots."""
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


def lead_of(site, entries) -> str:
    """Return the entry that leads; waits until one does."""

    def found():
        return [name for name in entries if site.read_status(name)["leads"]]

    return wait_until(found, TAKE_OVER_S, "a lead")[0]


def serves_cold(site, traffic, entry: str) -> bool:
    """Return whether an adapter that nobody asked for yet is loaded and answers."""
    return traffic.ask(entry, f"a{ADAPTERS}") == "whole"


def test_a_killed_lead_is_replaced(site):
    traffic = Traffic(site)
    wait_until(lambda: traffic.ends["whole"] > 20)
    lead = lead_of(site, traffic.entries)
    traffic.entries.remove(lead)
    site.send_signal(lead, signal.SIGKILL)
    site.set_faults("platform", "/control/member", path=f"instances/{lead}", value=None)
    wait_until(lambda: lead_of(site, traffic.entries) != lead, TAKE_OVER_S, "a new lead")
    wait_until(lambda: serves_cold(site, traffic, traffic.entries[0]), TAKE_OVER_S, "a cold load")
    traffic.stop()


def test_a_lead_paused_past_its_lease_does_no_harm(site):
    traffic = Traffic(site)
    wait_until(lambda: traffic.ends["whole"] > 20)
    lead = lead_of(site, traffic.entries)
    others = [name for name in traffic.entries if name != lead]
    traffic.entries = others
    site.send_signal(lead, signal.SIGSTOP)
    paused_at = time.monotonic()
    lead_of(site, others)
    wait_until(lambda: time.monotonic() - paused_at >= PAUSE_S, what="the pause")
    site.send_signal(lead, signal.SIGCONT)
    wait_until(
        lambda: not site.read_status(lead)["leads"], TAKE_OVER_S, "the old lead to step down"
    )
    traffic.entries = [*others, lead]
    served = traffic.ends["whole"]
    wait_until(lambda: traffic.ends["whole"] > served + 20, what="answers after the pause")
    traffic.stop()


def test_resident_adapters_are_served_without_the_platform(site):
    traffic = Traffic(site)
    wait_until(lambda: traffic.ends["whole"] > 20)
    entry = traffic.entries[0]
    assert traffic.ask(entry, "a1") == "whole"
    site.set_faults("platform", "/control/faults", outage=True)
    began = time.monotonic()
    served = 0
    while time.monotonic() - began < PAUSE_S:
        served += traffic.ask(entry, "a1") == "whole"
        assert traffic.book(entry, f"outage-{served}") == "refused: run-not-recorded"
    assert served > 0
    site.set_faults("platform", "/control/faults", outage=False)
    wait_until(lambda: serves_cold(site, traffic, entry), TAKE_OVER_S, "a cold load")
    traffic.stop()


def test_racing_operators_leave_one_preset_in_force(site):
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
        return {site.read_status(name)["preset"] for name in traffic.entries}

    in_force = wait_until(lambda: len(found := presets()) == 1 and found, IN_FORCE_S, "one preset")
    assert in_force <= set(names)
    traffic.stop()


def test_all_entries_are_replaced_one_after_another_without_a_cut(site):
    traffic = Traffic(site)
    wait_until(lambda: traffic.ends["whole"] > 20)
    for name in list(traffic.entries):
        traffic.entries = [other for other in site.file.entry_ports if other != name]
        site.send_signal(name, signal.SIGTERM)
        assert site.processes[name].wait(timeout=30) == 0
        site.start_entry(name)
        site.wait_ready(name)
    traffic.entries = list(site.file.entry_ports)
    served = traffic.ends["whole"]
    wait_until(lambda: traffic.ends["whole"] > served + 20, what="answers after the replacement")
    traffic.stop()
    assert [how for how in traffic.ends if how.startswith("broken")] == []
