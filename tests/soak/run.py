"""Runs the soak: ``python -m tests.soak.run --seeds 1 2 3``; exits with 1 on a violation."""

import contextlib
import json
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import defopt
from attrs import define, field

from poplarhoist.gateway.logs import FAULT_EVENTS
from tests.platform_standins import configuration
from tests.platform_store import Store
from tests.soak.callers import (
    DEADLINE_MS,
    NOT_RUN_STATUSES,
    LoadGenerator,
    RequestRecord,
    connect,
    send_request,
    start_record,
)
from tests.soak.endpoints import ADAPTER_SLOTS, SOFTWARE_VERSIONS, SoakEndpoint
from tests.soak.entries import SoakEntry
from tests.soak.links import CUT_KINDS, Link, StoreView
from tests.soak.mutants import MUTATIONS_BY_NAME
from tests.soak.proxy import Proxy, ProxyFault

# Longest duration of the faults of a cycle, and duration of the quiet phase before the planned
# operation, in seconds. By the users' rules, time limits apply to entries only after four seconds
# without faults.
FAULT_PHASE_S = 4.0
QUIET_PHASE_S = 4.5
# Seconds within which a draining endpoint gets its last request, and a configuration is in force.
DRAIN_TIMEOUT_S = 3.0
CONFIG_TIMEOUT_S = 3.0
# Seconds for a graceful stop, after which the process would be killed.
GRACEFUL_STOP_TIMEOUT_S = 8.0
# Seconds after the last fault within which all entries serve again, also restarted ones.
RECOVERY_TIMEOUT_S = 12.0
# Seconds after its deadline within which a request has ended.
ANSWER_MARGIN_S = 0.3
# Requests of an entry that may reach an endpoint that wants none, and seconds after which they count.
MAX_REQUESTS_IN_PAUSE = 2
REACH_AFTER_S = 0.5
# Share of the fault phases in which entries lose their links to all endpoints.
CUT_SHARE = 0.6
# Share of fault phases in which the store comes back from an older copy, and how often it does then.
DRILL_SHARE = 0.4
MAX_DRILLS = 3
# Share of fault phases in which another writer leaves odd records, and what is odd in them. A watch, a
# list or an entry that starts must not lose the others for it.
ODD_RECORD_SHARE = 0.4
ODD_FIELDS = (
    {"slots": float("inf")},
    {"address": "127.0.0.1:70000"},
    {"address": "a b\r\n:80"},
    {"zone": "\ud800"},
    {"born": 10**30},
    {"state": "unheard-of"},
    {"models": [[[]]]},
)
ODD_KINDS = ("servers", "versions", "poplarhoist-entries", "poplarhoist-leads")
# Seconds of tolerance, since threads on a busy machine may record events late.
TIMING_SLACK_S = 0.5


@define
class PlannedStop:
    """A graceful stop of an entry in a quiet phase."""

    started_at: float
    ended_at: float
    entry: str
    incarnation: int


@define
class Pause:
    """A time in which the process of an entry was stopped by SIGSTOP."""

    entry: str
    started_at: float
    ended_at: float


@define
class SoakRun:
    """Site, faults and violations of one seed.

    Attributes
    ----------
    mutant : str
        Name of the mutation of all entries; empty for none.
    version : int
        Last version of the configuration or of an adapter; all share one counter.
    extra_routes : list
        Routes added to the configuration so far.
    violations : list
        Violations found, each as text with its kind at the beginning.
    links : dict
        Links of each entry to the endpoints, by the port of the endpoint's proxy.
    link_rng, record_rng, drill_rng : Random
        Draw which entries lose their links, odd records, and drills of the store, apart from the
        other faults, so that a seed keeps those.
    timeline : list
        Faults and planned operations, each as text with the seconds since the start.
    """

    seed: int
    directory: Path
    mutant: str = ""
    rng: random.Random = field(init=False)
    store: Store = field(factory=Store)
    endpoints: dict[str, SoakEndpoint] = field(factory=dict)
    entries: list[SoakEntry] = field(factory=list)
    version: int = 1
    extra_routes: list[dict] = field(factory=list)
    violations: list[str] = field(factory=list)
    timeline: list[str] = field(factory=list)
    planned_stops: list[PlannedStop] = field(factory=list)
    pauses: list[Pause] = field(factory=list)
    links: dict[str, dict[int, Link]] = field(factory=dict)
    store_views: list[StoreView] = field(factory=list)
    link_rng: random.Random = field(init=False)
    record_rng: random.Random = field(init=False)
    drill_rng: random.Random = field(init=False)
    started_at: float = field(factory=time.monotonic)

    def __attrs_post_init__(self) -> None:
        """Set up the site."""
        self.rng = random.Random(self.seed)
        endpoints = [
            SoakEndpoint(f"e{number}", "models", str(self.seed), software)
            for number, software in enumerate(SOFTWARE_VERSIONS, 1)
        ]
        endpoints += [SoakEndpoint(name, "desk", str(self.seed)) for name in ("d1", "d2")]
        self.endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        mutation = MUTATIONS_BY_NAME[self.mutant] if self.mutant else ""
        self.link_rng = random.Random(f"{self.seed}/links")
        self.record_rng = random.Random(f"{self.seed}/records")
        self.drill_rng = random.Random(f"{self.seed}/drills")
        for name in ("entry-1", "entry-2", "entry-3"):
            ports = [endpoint.proxy.port for endpoint in endpoints]
            self.links[name] = {port: Link(port) for port in ports}
            self.store_views.append(StoreView(self.store, self.links[name]))
            port = self.store_views[-1].port
            self.entries.append(SoakEntry(name, self.directory, port, mutation))

    def log_action(self, text: str) -> None:
        """Add a fault or planned operation to the timeline."""
        self.timeline.append(f"{time.monotonic() - self.started_at:7.2f} {text}")

    def configure(self) -> None:
        """Write the configuration to the store, with the routes added so far."""
        document = configuration(self.version, *self.extra_routes)
        document["services"][0]["engine"]["adapterSlots"] = ADAPTER_SLOTS
        self.store.put("config", "main", document)

    def run(self, cycles: int) -> list[str]:
        """Run cycles of faults, a quiet phase and a planned operation; return the violations."""
        for name, endpoint in self.endpoints.items():
            self.store.put("servers", name, endpoint.record())
        self.configure()
        for entry in self.entries:
            entry.start()
        if not all(entry.wait_ready() for entry in self.entries):
            self.violations.append("RECOVER: an entry does not become ready after the first start")
            return self.violations
        load_generator = LoadGenerator(self.entries, self.seed, thread_count=8)
        load_generator.start()
        try:
            for _ in range(cycles):
                self.run_fault_phase()
                time.sleep(QUIET_PHASE_S)
                self.rng.choice(
                    (self.drain_endpoint, self.add_route, self.stop_and_restart_entry)
                )()
            time.sleep(1.0)
        finally:
            load_generator.stop()
        self.check_records(load_generator.records + self.check_recovery())
        for entry in self.entries:
            for line in entry.log_lines(*FAULT_EVENTS):
                self.violations.append(f"FAULT: {entry.name}: {line}")
        return self.violations

    def stop(self) -> None:
        """Stop everything that this run started."""
        for entry in self.entries:
            entry.stop()
        for view in self.store_views:
            view.stop()
        for links in self.links.values():
            for link in links.values():
                link.stop()
        self.store.stop()
        for endpoint in self.endpoints.values():
            endpoint.stop()

    def run_fault_phase(self) -> None:
        """Inject two to five faults at random times within the phase, so that they overlap."""
        # Endpoint faults are listed twice, since most guarantees concern requests in flight.
        fault_functions = (
            self.fault_endpoint_link,
            self.fault_endpoint_link,
            self.restart_endpoint,
            self.fault_store_link,
            self.fault_store,
            self.pause_entry,
            self.kill_and_restart_entry,
            self.restart_endpoint,
            self.announce_version,
            self.reload_settings,
            self.keep_endpoint_busy,
        )
        ends_at = time.monotonic() + FAULT_PHASE_S
        self.tear_streams(True)
        timers = []
        for fault_function in self.rng.choices(fault_functions, k=self.rng.randint(2, 5)):
            delay_s = self.rng.random() * FAULT_PHASE_S * 0.6
            # Seeded here, so that a seed gives the same faults however the threads are scheduled.
            fault_rng = random.Random(self.rng.random())
            timers.append(threading.Timer(delay_s, fault_function, args=(fault_rng, ends_at)))
        if self.record_rng.random() < ODD_RECORD_SHARE:
            odd_rng = random.Random(self.record_rng.random())
            timers.append(threading.Timer(2 * odd_rng.random(), self.write_odd_record, (odd_rng,)))
        if self.drill_rng.random() < DRILL_SHARE:
            drill_rng = random.Random(self.drill_rng.random())
            timers.append(threading.Timer(drill_rng.random(), self.restore_store, (drill_rng,)))
        if self.link_rng.random() < CUT_SHARE:
            cut_rng = random.Random(self.link_rng.random())
            timers.append(threading.Timer(cut_rng.random(), self.cut_links, (cut_rng, ends_at)))
        for timer in timers:
            timer.start()
        for timer in timers:
            timer.join()
        time.sleep(max(0.0, ends_at - time.monotonic()))
        self.tear_streams(False)

    def tear_streams(self, tears_streams: bool) -> None:
        """Let the endpoints break off some streams, or none."""
        for endpoint in self.endpoints.values():
            endpoint.tears_streams = tears_streams

    def inject_proxy_fault(
        self, proxy: Proxy, link: str, rng: random.Random, ends_at: float
    ) -> None:
        """Set a random fault of a proxy for a while, and reset its connections half of the time."""
        fault = rng.choice(
            (ProxyFault.DELAY, ProxyFault.SILENCE, ProxyFault.DROP_RESPONSES, ProxyFault.REFUSE)
        )
        self.log_action(f"{link}: {fault}")
        proxy.delay_s = 0.05 + 0.2 * rng.random()
        proxy.fault = fault
        if rng.random() < 0.5:
            proxy.reset_all_connections()
        time.sleep(max(0.0, min(ends_at - time.monotonic(), 0.3 + 2.5 * rng.random())))
        proxy.fault = ProxyFault.NONE

    def write_odd_record(self, rng: random.Random) -> None:
        """Leave a record as another writer might, beside those of the endpoints or of the entries."""
        kind, name = rng.choice(ODD_KINDS), f"odd-{rng.randrange(3)}"
        odd = rng.choice(ODD_FIELDS)
        self.log_action(f"odd record of {kind}: {odd}")
        self.store.put(kind, name, self.endpoints["d1"].record() | odd)

    def cut_links(self, rng: random.Random, ends_at: float) -> None:
        """Cut the links of one or two entries to all endpoints for a while."""
        names = rng.sample(sorted(self.links), rng.randint(1, 2))
        how = rng.choice(CUT_KINDS)
        self.log_action(f"links of {', '.join(names)}: {how}")
        links = [link for name in names for link in self.links[name].values()]
        for link in links:
            link.cut(how)
        time.sleep(max(0.0, min(ends_at - time.monotonic(), 0.5 + 2.5 * rng.random())))
        for link in links:
            link.heal()

    def fault_endpoint_link(self, rng: random.Random, ends_at: float) -> None:
        """Inject a fault into the connections to an endpoint."""
        name = rng.choice(sorted(self.endpoints))
        self.inject_proxy_fault(self.endpoints[name].proxy, f"link to {name}", rng, ends_at)

    def fault_store_link(self, rng: random.Random, ends_at: float) -> None:
        """Inject a fault into one entry's connections to the store."""
        entry = rng.choice(self.entries)
        self.inject_proxy_fault(entry.store_proxy, f"{entry.name} to the store", rng, ends_at)

    def fault_store(self, rng: random.Random, ends_at: float) -> None:
        """Let the store be unavailable, lose responses, miss changes or drop its history."""
        fault = rng.choice(("unavailable", "lose_responses", "misses_changes", "forget"))
        self.log_action(f"store: {fault}")
        if fault == "forget":
            self.store.drop_history()
            return
        setattr(self.store, fault, True)
        time.sleep(max(0.0, min(ends_at - time.monotonic(), 0.5 + 2.0 * rng.random())))
        setattr(self.store, fault, False)

    def restore_store(self, rng: random.Random) -> None:
        """Let the store come back from an older copy, and write again what is not the entries'."""
        for _ in range(rng.randint(1, MAX_DRILLS)):
            copy = self.store.copy()
            time.sleep(0.3 + 0.7 * rng.random())
            self.log_action("store: comes back from an older copy")
            lost = self.store.restore(copy, 0.1 + 0.3 * rng.random())
            for (kind, name), item in sorted(lost.items()):
                if not kind.startswith("poplarhoist-"):
                    self.store.put(kind, name, item["spec"])

    def pause_entry(self, rng: random.Random, ends_at: float) -> None:
        """Pause an entry's process by SIGSTOP for a while."""
        entry = rng.choice(self.entries)
        self.log_action(f"{entry.name}: paused")
        started_at = time.monotonic()
        entry.send_signal(signal.SIGSTOP)
        time.sleep(max(0.0, min(ends_at - time.monotonic(), 0.3 + 2.5 * rng.random())))
        entry.send_signal(signal.SIGCONT)
        self.pauses.append(Pause(entry.name, started_at, time.monotonic()))

    def kill_and_restart_entry(self, rng: random.Random, ends_at: float) -> None:
        """Kill an entry and restart it within 0.5 s."""
        entry = rng.choice(self.entries)
        self.log_action(f"{entry.name}: killed")
        entry.kill()
        time.sleep(0.5 * rng.random())
        entry.start()

    def restart_endpoint(self, rng: random.Random, ends_at: float) -> None:
        """Restart an endpoint under its name and update its record."""
        name = rng.choice(sorted(self.endpoints))
        self.log_action(f"{name}: restarted")
        endpoint = self.endpoints[name]
        endpoint.restart()
        self.store.put("servers", name, endpoint.record())

    def keep_endpoint_busy(self, rng: random.Random, ends_at: float) -> None:
        """Let an endpoint turn all requests away for a while, and say for how long."""
        name = rng.choice(sorted(self.endpoints))
        seconds = min(ends_at - time.monotonic(), 0.8 + 2.0 * rng.random())
        self.log_action(f"{name}: busy for {seconds:.1f} s")
        self.endpoints[name].busy_until = time.monotonic() + seconds

    def announce_version(self, rng: random.Random, ends_at: float) -> None:
        """Announce a new version of an adapter in the store."""
        adapter = f"a{rng.randrange(3)}"
        self.version += 1
        self.log_action(f"version {self.version} of {adapter}")
        for endpoint in self.endpoints.values():
            endpoint.latest_version = self.version
        record = {"model": "base", "adapter": adapter, "version": self.version}
        self.store.put("versions", f"base.{adapter}", record)

    def reload_settings(self, rng: random.Random, ends_at: float) -> None:
        """Let an entry reload its settings, by SIGHUP."""
        entry = rng.choice(self.entries)
        self.log_action(f"{entry.name}: reloads its settings")
        entry.send_signal(signal.SIGHUP)

    def drain_endpoint(self) -> None:
        """Drain an endpoint in a quiet phase, check for late requests, and restart it.

        Only its record says that it drains, or only its responses do.
        """
        name = self.rng.choice(sorted(self.endpoints))
        endpoint = self.endpoints[name]
        by_record = self.rng.random() < 0.5
        self.log_action(f"{name}: drains, as its {'record says' if by_record else 'responses say'}")
        if by_record:
            self.store.put("servers", name, endpoint.record("draining"))
        endpoint.says_leaving = not by_record
        endpoint.draining_since = time.monotonic()
        time.sleep(DRAIN_TIMEOUT_S + 1.5)
        endpoint.draining_since = None
        late_requests = [
            f"{rid} after {s:.2f} s"
            for rid, s in endpoint.late_requests
            if s > DRAIN_TIMEOUT_S + TIMING_SLACK_S
        ]
        if late_requests:
            self.violations.append(
                f"DRAIN: {len(late_requests)} requests at {name}, {late_requests[0]}"
            )
        endpoint.late_requests.clear()
        endpoint.says_leaving = False
        endpoint.restart()
        self.store.put("servers", name, endpoint.record())

    def add_route(self) -> None:
        """Add a route in a quiet phase, and check that it comes into force on every entry in time.

        ``check_recovery`` checks at the end that it is still in force.
        """
        self.version += 1
        prefix = f"/new-{self.version}/"
        self.log_action(f"route {prefix} added")
        route = {"name": prefix, "host": "host.test", "pathPrefix": prefix, "routeKind": "safe"}
        route |= {"timeoutMs": 4000, "targetLatencyMs": 1000, "priority": 1, "maxAttempts": 2}
        self.extra_routes.append(route | {"service": "desk"})
        self.configure()
        time.sleep(CONFIG_TIMEOUT_S + TIMING_SLACK_S)
        self.check_route(prefix, "after the time limit")

    def check_route(self, prefix: str, when: str) -> None:
        """Check that no entry answers a request for an existing route with status 404."""
        for entry in self.entries:
            if self.send_probe(entry, prefix.strip("/")).status == 404:
                self.violations.append(f"CONFIG: {entry.name} has no route {prefix} {when}")

    def send_probe(self, entry: SoakEntry, kind: str) -> RequestRecord:
        """Send one request over a new connection."""
        with contextlib.closing(connect(entry)) as connection:
            return send_request(connection, start_record(f"p{time.monotonic_ns()}", kind, entry))

    def stop_and_restart_entry(self) -> None:
        """Stop an entry gracefully in a quiet phase, and restart it."""
        entry = self.rng.choice(self.entries)
        self.log_action(f"{entry.name}: stopped gracefully")
        stop_started_at = time.monotonic()
        incarnation = entry.incarnation
        entry.send_signal(signal.SIGTERM)
        try:
            status = entry.process.wait(GRACEFUL_STOP_TIMEOUT_S + TIMING_SLACK_S)
        except subprocess.TimeoutExpired:
            status = None
        if status != 0:
            self.violations.append(
                f"LOST: {entry.name} ended with {status} when it was asked to stop"
            )
            entry.kill()
        self.planned_stops.append(
            PlannedStop(stop_started_at, time.monotonic(), entry.name, incarnation)
        )
        entry.start()
        if not entry.wait_ready():
            self.violations.append(f"RECOVER: {entry.name} does not become ready after a restart")

    def check_recovery(self) -> list[RequestRecord]:
        """Check that every entry serves again after the faults; return the probes' records."""
        self.log_action("no more faults")
        for proxy in [e.store_proxy for e in self.entries] + [
            e.proxy for e in self.endpoints.values()
        ]:
            proxy.fault = ProxyFault.NONE
        deadline_at = time.monotonic() + RECOVERY_TIMEOUT_S
        unserved = {(e.name, kind) for e in self.entries for kind in ("once", "read", "stream")}
        by_name = {entry.name: entry for entry in self.entries}
        records = []
        while unserved and time.monotonic() < deadline_at:
            for name, kind in sorted(unserved):
                records.append(self.send_probe(by_name[name], kind))
                if records[-1].status == 200:
                    unserved.discard((name, kind))
        if unserved:
            self.violations.append(f"RECOVER: not served again: {sorted(unserved)}")
        for route in self.extra_routes:
            self.check_route(route["pathPrefix"], "at the end")
        return records

    def check_records(self, records: list[RequestRecord]) -> None:
        """Compare the records of callers with those of the endpoints.

        Kinds of violation: BUDGET is a deadline of 0 or beyond the caller's. TWICE is a second run
        of a request that must not be repeated. REFUSED is a run of a refused request. LOST is a
        request that was cut by a planned stop.
        """
        run_counts = {}
        for endpoint in self.endpoints.values():
            self.violations += endpoint.violations
            for request_id, count in endpoint.run_counts.items():
                run_counts[request_id] = run_counts.get(request_id, 0) + count
            extended = [
                rid for rid, ms in endpoint.deadlines_ms.items() if not 0 < ms <= DEADLINE_MS
            ]
            if extended:
                self.violations.append(
                    f"BUDGET: {extended[0]} got a deadline of 0 or beyond that of its caller"
                )
        self.check_busy_endpoints(records)
        for record in records:
            label = f"{record.request_id} ({record.kind}, {record.entry})"
            took_s = record.ended_at - record.sent_at
            if took_s > DEADLINE_MS / 1000 + ANSWER_MARGIN_S + TIMING_SLACK_S and not any(
                pause.entry == record.entry
                and pause.started_at < record.ended_at
                and record.sent_at < pause.ended_at
                for pause in self.pauses
            ):
                self.violations.append(f"LATE: {label} ended after {took_s:.2f} s")
            count = run_counts.get(record.request_id, 0)
            if record.violation:
                self.violations.append(f"{record.violation}: {label}")
            if record.kind in ("once", "stream") and count > 1:
                self.violations.append(f"TWICE: {label} ran {count} times")
            if record.kind == "once" and record.status in NOT_RUN_STATUSES and count:
                self.violations.append(f"REFUSED: {label} was answered {record.status} and ran")
            if record.status == 0 and count and self.was_cut_by_planned_stop(record):
                self.violations.append(f"LOST: {label} was cut by a planned stop")

    def check_busy_endpoints(self, records: list[RequestRecord]) -> None:
        """Check that entries leave endpoints alone for as long as these ask for it."""
        sender_by_id = {record.request_id: (record.entry, record.incarnation) for record in records}
        for endpoint in self.endpoints.values():
            for request_id, turned_away_at, until in endpoint.turned_away:
                sender = sender_by_id.get(request_id)
                later = [
                    at
                    for other_id, at in endpoint.arrivals
                    if turned_away_at + REACH_AFTER_S < at < until
                    and sender_by_id.get(other_id) == sender
                ]
                if sender is not None and len(later) > MAX_REQUESTS_IN_PAUSE:
                    self.violations.append(
                        f"PAUSE: {len(later)} requests of {sender[0]} at {endpoint.name}"
                    )

    def was_cut_by_planned_stop(self, record: RequestRecord) -> bool:
        """Return whether a request without a response ended while its entry stopped gracefully.

        Requests sent more than 1 s before the stop began are not counted.
        """
        return any(
            planned_stop.entry == record.entry
            and planned_stop.incarnation == record.incarnation
            and planned_stop.started_at - 1.0 <= record.sent_at
            and planned_stop.started_at <= record.ended_at <= planned_stop.ended_at + TIMING_SLACK_S
            for planned_stop in self.planned_stops
        )


def run_soak(
    seed: int, cycles: int = 1, mutant: str = "", findings_dir: Path | None = None
) -> list[str]:
    """Run one seed; return the violations.

    If there are any, logs and timeline go to a folder ``seed-N`` in ``findings_dir``, if given.
    """
    directory = Path(tempfile.mkdtemp(prefix="soak-"))
    soak_run = SoakRun(seed, directory, mutant)
    try:
        return soak_run.run(cycles)
    finally:
        soak_run.stop()
        if soak_run.violations and findings_dir is not None:
            # Logs and timeline serve to trace the violation.
            shutil.copytree(directory, findings_dir / f"seed-{seed}", dirs_exist_ok=True)
            timeline = json.dumps([*soak_run.timeline, *soak_run.violations], indent=1)
            (findings_dir / f"seed-{seed}" / "story.json").write_text(timeline)
        shutil.rmtree(directory, ignore_errors=True)


def main(
    *, seeds: list[int], cycles: int = 2, broken: str = "", keep: Path = Path("soak-findings")
) -> int:
    """Run the soak with one seed after another; return 1 if there are violations, else 0.

    Parameters
    ----------
    seeds
        Seeds to run.
    cycles
        Fault phases per seed; a cycle takes about thirteen seconds.
    broken
        Name of the protection to disable, to check that the soak detects it.
    keep
        Folder for logs and timelines of seeds with violations.
    """
    failed_count = 0
    for seed in seeds:
        violations = run_soak(seed, cycles, broken, keep)
        failed_count += bool(violations)
        print(f"seed {seed}: {'; '.join(violations[:4]) or 'kept'}", flush=True)
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main, short={}))
