"""Changes of the configuration before many entries: ``python -m tests.soak.changes --fault drill``.

An operator adds, moves and drops routes. Callers ask all entries for routes that were just changed,
while a fault is caused. What an entry does has to follow from a configuration that may be in force.
"""

import itertools
import json
import random
import shutil
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path

import defopt
from attrs import define, field

from poplarhoist.decisions.gateway.copies import READERS_PER_REGION
from poplarhoist.decisions.gateway.hashing import rendezvous_order
from poplarhoist.platform.decoder import CONFIGURATION_KIND
from tests.platform_site import ENTRY_ARGS, PlatformEntry
from tests.platform_standins import Endpoint, configuration
from tests.platform_store import Store
from tests.site import ROOT
from tests.soak.proxy import Proxy, ProxyFault
from tests.standin_server import HOST, Handler, StandIn

# The users' bounds of a site with more than sixty entries, in seconds: a configuration is in force,
# and an entry that was started, or stopped for a while, is bound by it.
IN_FORCE_S = 4.0
IN_TOUCH_S = 5.0
# Seconds after which an entry must not fall behind what it has shown.
FALL_BACK_S = 0.25
ZONES = ("north-a", "south-a")
START_TIMEOUT_S = 60.0
CHANGE_INTERVAL_S = 1.3
# Versions for which a route exists, and after which it is moved to another service.
LIFE_VERSIONS, MOVED_AFTER = 8, 4
# Seconds for which callers ask for a route that was changed.
ASK_S = 14.0
CALLER_THREADS = 6
# What 30 Mbit/s between two regions pass in a second, in bytes.
LINK_BYTES_PER_S = 3_750_000
NO_ROUTE = "404"


class RecordingEndpoint(Endpoint):
    """An endpoint that records which service ran a request."""

    service_by_request: dict[str, str]

    def record_run(self, request_id: str, headers: dict) -> None:
        """Record a run."""
        self.service_by_request[request_id] = self.service


class SilentHandler(Handler):
    """Accepts a call and does not answer for a while."""

    def do_GET(self) -> None:
        """Wait, and close the connection."""
        time.sleep(5.0)
        self.close_connection = True


@define
class PathHistory:
    """What becomes of requests for a path, by the configurations that were written.

    Attributes
    ----------
    changes : list
        When it changed and was confirmed, and the service that has it since; "404" for none.
    """

    changes: list[tuple[float, float, str]] = field(factory=lambda: [(0.0, 0.0, NO_ROUTE)])

    def allowed(self, sent_at: float, ended_at: float) -> list[int]:
        """Return which changes may be in force for a request, by index."""
        binding = max(
            number
            for number, (_, confirmed_at, _) in enumerate(self.changes)
            if confirmed_at <= sent_at - IN_FORCE_S
        )
        return [
            number
            for number, (written_at, _, _) in enumerate(self.changes)
            if number >= binding and written_at <= ended_at
        ]


@define
class Asked:
    """A request for a path that was changed, and its outcome: a service, or a status."""

    entry: str
    start: int
    path: str
    sent_at: float
    ended_at: float
    outcome: str


@define
class ChangesRun:
    """A site whose configuration changes.

    Attributes
    ----------
    build : Path
        Root of the build that the entries run.
    more_routes : int
        Routes beside those that change.
    in_touch_from : dict
        Monotonic time from which an entry is bound by all changes; infinity while it is stopped.
    starts : Counter
        Starts of each entry.
    is_changing : Event
        Set while the operator changes the configuration by itself.
    """

    count: int
    seed: int
    directory: Path
    build: Path = ROOT
    more_routes: int = 0
    rng: random.Random = field(init=False)
    store: Store = field(factory=Store)
    link: Proxy = field(init=False)
    service_by_request: dict[str, str] = field(factory=dict)
    endpoints: list[RecordingEndpoint] = field(factory=list)
    entries: list[PlatformEntry] = field(factory=list)
    histories: dict[str, PathHistory] = field(factory=dict)
    version: int = 1
    numbers: Iterator[int] = field(factory=lambda: itertools.count(1))
    live: dict[str, tuple[int, str]] = field(factory=dict)
    in_touch_from: dict[str, float] = field(factory=dict)
    starts: Counter = field(factory=Counter)
    asked: list[Asked] = field(factory=list)
    timeline: list[str] = field(factory=list)
    is_changing: threading.Event = field(factory=threading.Event)
    is_over: threading.Event = field(factory=threading.Event)
    lock: threading.Lock = field(factory=threading.Lock)
    started_at: float = field(factory=time.monotonic)

    def __attrs_post_init__(self) -> None:
        """Set up the site."""
        self.rng = random.Random(self.seed)
        self.link = Proxy(self.store.port)
        for name, service in (("d1", "desk"), ("d2", "desk"), ("n1", "annex"), ("n2", "annex")):
            endpoint = RecordingEndpoint(name, service)
            endpoint.service_by_request = self.service_by_request
            self.endpoints.append(endpoint)
        for number in range(self.count):
            zone = ZONES[number % len(ZONES)]
            port = self.store.port if zone == ZONES[0] else self.link.port
            entry = PlatformEntry(f"entry-{number}", self.directory, port, zone)
            if self.build != ROOT:
                # Builds before the settings had this key refuse it.
                entry.drop_first_start()
            self.entries.append(entry)

    def note(self, text: str) -> None:
        """Add a line to the timeline."""
        self.timeline.append(f"{time.monotonic() - self.started_at:7.2f} {text}")

    def document(self) -> dict:
        """Return the configuration."""
        plain = configuration()["routes"][-1]
        services = {prefix: service for prefix, (_, service) in self.live.items()}
        services |= {f"/filler{number}/": "desk" for number in range(self.more_routes)}
        routes = [
            plain | {"name": prefix, "pathPrefix": prefix, "service": service}
            for prefix, service in services.items()
        ]
        document = configuration(self.version, *routes)
        document["services"].append({"name": "annex", "healthPath": "/health", "maxConns": 100})
        return document

    def change(self) -> None:
        """Write a configuration with a route added, one moved and one dropped."""
        with self.lock:
            self.version += self.rng.randint(1, 3)
            changed = {f"/route{next(self.numbers)}/": "desk"}
            for prefix, (born, _) in list(self.live.items()):
                age = len(self.histories) - born
                if age >= LIFE_VERSIONS:
                    changed[prefix] = NO_ROUTE
                elif age == MOVED_AFTER:
                    changed[prefix] = "annex"
            for prefix, service in changed.items():
                born, _ = self.live.pop(prefix, (len(self.histories), ""))
                if service != NO_ROUTE:
                    self.live[prefix] = born, service
            written_at = time.monotonic()
            for prefix, service in changed.items():
                history = self.histories.setdefault(prefix, PathHistory())
                history.changes.append((written_at, float("inf"), service))
            while self.store.unavailable:
                time.sleep(0.01)
            self.store.put("config", "main", self.document())
            confirmed_at = time.monotonic()
            for prefix, service in changed.items():
                self.histories[prefix].changes[-1] = (written_at, confirmed_at, service)
        self.note(f"version {self.version}: {changed}")

    def change_in_turn(self) -> None:
        """Change the configuration again and again, while that is wanted."""
        while not self.is_over.wait(CHANGE_INTERVAL_S):
            if self.is_changing.is_set():
                self.change()

    def write_endpoints(self) -> None:
        """Let the endpoints write what they say of themselves, which changes each time."""
        for endpoint in self.endpoints:
            record = endpoint.record() | {"slots": self.rng.randint(100, 10_000)}
            self.store.put("servers", endpoint.name, record)

    def launch(self, entry: PlatformEntry) -> None:
        """Start an entry."""
        if self.starts[entry.name]:
            entry.drop_first_start()
        self.starts[entry.name] += 1
        self.in_touch_from[entry.name] = time.monotonic() + IN_TOUCH_S
        entry.launch(ENTRY_ARGS, self.build)

    def kill(self, *entries: PlatformEntry) -> None:
        """Kill entries, all at once."""
        for entry in entries:
            self.in_touch_from[entry.name] = float("inf")
            entry.send_signal(signal.SIGKILL)
        for entry in entries:
            entry.kill()
        self.note(f"killed {[entry.name for entry in entries]}")

    def pause(self, seconds: float, *entries: PlatformEntry) -> None:
        """Stop the processes of entries for some seconds."""
        for entry in entries:
            self.in_touch_from[entry.name] = float("inf")
            entry.send_signal(signal.SIGSTOP)
        self.note(f"stopped {[entry.name for entry in entries]}")
        time.sleep(seconds)
        for entry in entries:
            entry.send_signal(signal.SIGCONT)
            self.in_touch_from[entry.name] = time.monotonic() + IN_TOUCH_S

    def readers(self) -> list[PlatformEntry]:
        """Return the entries of each region that read the configuration from the store."""
        by_name = {entry.name: entry for entry in self.entries}
        order = rendezvous_order(CONFIGURATION_KIND, by_name)
        regions = [[name for name in order if by_name[name] in part] for part in self.regions()]
        return [by_name[name] for names in regions for name in names[:READERS_PER_REGION]]

    def regions(self) -> list[list[PlatformEntry]]:
        """Return the entries by region."""
        return [self.entries[number :: len(ZONES)] for number in range(len(ZONES))]

    def some_entries(self, share: float) -> list[PlatformEntry]:
        """Return some entries."""
        return self.rng.sample(self.entries, max(1, int(len(self.entries) * share)))

    def start(self) -> None:
        """Start all entries and wait until they are ready and know one another."""
        self.write_endpoints()
        self.change()
        for entry in self.entries:
            self.launch(entry)
        ends_at = time.monotonic() + START_TIMEOUT_S
        while waiting := [entry.name for entry in self.entries if entry.get_status() != 200]:
            if time.monotonic() > ends_at:
                raise TimeoutError(f"not ready: {waiting}")
            time.sleep(0.2)
        time.sleep(IN_TOUCH_S + 2.0)

    def ask_in_turn(self, rng: random.Random) -> None:
        """Let a caller ask entries for routes that were changed, until the run is over."""
        for number in itertools.count():
            if self.is_over.is_set():
                return
            now = time.monotonic()
            with self.lock:
                paths = [
                    path
                    for path, history in self.histories.items()
                    if history.changes[-1][0] > now - ASK_S
                ]
            if not paths:
                time.sleep(0.05)
                continue
            self.ask(rng.choice(self.entries), rng.choice(paths), f"q{id(rng)}-{number}")

    def ask(self, entry: PlatformEntry, path: str, request_id: str) -> None:
        """Send a request and record what became of it, if its entry was in touch all the while."""
        start, sent_at = self.starts[entry.name], time.monotonic()
        status = entry.post(request_id, f"{path}x", b"r")
        ended_at = time.monotonic()
        if start != self.starts[entry.name] or self.in_touch_from[entry.name] > sent_at:
            return
        outcome = self.service_by_request.pop(request_id, "?") if status == 200 else str(status)
        self.asked.append(Asked(entry.name, start, path, sent_at, ended_at, outcome))

    def violations(self) -> list[str]:
        """Return what no configuration allows that may have been in force."""
        found = []
        shown: dict[tuple[str, int, str], list[tuple[float, int]]] = {}
        for asked in sorted(self.asked, key=lambda asked: asked.ended_at):
            if asked.outcome != NO_ROUTE and not asked.outcome.isalpha():
                continue
            history = self.histories[asked.path]
            allowed = history.allowed(asked.sent_at, asked.ended_at)
            at = f"{asked.sent_at - self.started_at:7.2f} {asked.entry} {asked.path}"
            explained = [n for n in allowed if history.changes[n][2] == asked.outcome]
            if not explained:
                wanted = [history.changes[number][2] for number in allowed]
                late_s = asked.sent_at - history.changes[allowed[0]][1]
                found.append(f"CONFIG {at}: {asked.outcome}, not {wanted}, after {late_s:.1f} s")
                if asked.outcome == NO_ROUTE:
                    found.append(f"DENIED {at}")
                continue
            earlier = shown.setdefault((asked.entry, asked.start, asked.path), [])
            if any(n > explained[-1] and end < asked.sent_at - FALL_BACK_S for end, n in earlier):
                found.append(f"CONFIG {at}: came back older, {asked.outcome}")
            earlier.append((asked.ended_at, explained[0]))
        return found

    def run(self, cause: Callable[["ChangesRun", float], None], seconds: float) -> list[str]:
        """Cause a fault for some seconds; return the violations."""
        self.start()
        threads = [threading.Thread(target=self.change_in_turn)]
        threads += [
            threading.Thread(target=self.ask_in_turn, args=(random.Random(f"{self.seed}/{n}"),))
            for n in range(CALLER_THREADS)
        ]
        self.is_changing.set()
        for thread in threads:
            thread.start()
        try:
            cause(self, time.monotonic() + seconds)
            self.is_changing.clear()
            time.sleep(IN_FORCE_S + IN_TOUCH_S)
        finally:
            self.is_over.set()
            for thread in threads:
                thread.join()
        return self.violations()

    def stop(self) -> None:
        """Stop everything that this run started."""
        for entry in self.entries:
            entry.send_signal(signal.SIGKILL)
        for entry in self.entries:
            entry.kill()
        for part in (self.link, self.store, *self.endpoints):
            part.stop()


def calm(run: ChangesRun, ends_at: float) -> None:
    """Cause nothing."""
    time.sleep(ends_at - time.monotonic())


def restart_in_series(run: ChangesRun, ends_at: float) -> None:
    """Stop all entries gracefully, a few at a time, and start them again."""
    for entry in itertools.cycle(run.entries):
        if time.monotonic() > ends_at:
            return
        run.in_touch_from[entry.name] = float("inf")
        entry.send_signal(signal.SIGTERM)
        threading.Thread(
            target=lambda entry=entry: (entry.process.wait(), run.launch(entry))
        ).start()
        time.sleep(0.3)


def kill_some(run: ChangesRun, ends_at: float) -> None:
    """Kill a third of the entries, or all, and start them again."""
    while time.monotonic() < ends_at:
        entries = run.some_entries(run.rng.choice((0.3, 1.0)))
        run.kill(*entries)
        time.sleep(run.rng.random())
        for entry in entries:
            run.launch(entry)
        time.sleep(9.0)


def stop_readers(run: ChangesRun, ends_at: float) -> None:
    """Let the entries of both regions that read the configuration stand still at once."""
    while time.monotonic() < ends_at:
        run.pause(9.0, *run.readers())
        time.sleep(7.0)


def lose_readers(run: ChangesRun, ends_at: float) -> None:
    """Kill the entries of both regions that read the configuration, for good."""
    time.sleep(3.0)
    run.kill(*run.readers())
    time.sleep(max(0.0, ends_at - time.monotonic()))


def leave_dead_records(run: ChangesRun, ends_at: float) -> None:
    """Leave the records of entries that are gone and whose addresses do not answer."""
    silent = StandIn(SilentHandler)
    for number, zone in itertools.product(range(40), ZONES):
        spec = {"host": HOST, "port": silent.port, "zone": zone, "relay_port": silent.port}
        run.store.put("poplarhoist-entries", f"gone-{zone}-{number}", spec)
    run.note("80 entries have gone and left their records")
    time.sleep(max(0.0, ends_at - time.monotonic()))
    silent.stop()


def delay_store(run: ChangesRun, ends_at: float) -> None:
    """Let the link of the second region to the store go silent, with all that is on it."""
    while time.monotonic() < ends_at:
        run.link.fault = ProxyFault.SILENCE
        time.sleep(2.5)
        run.link.fault = ProxyFault.NONE
        time.sleep(8.0)


def drill(run: ChangesRun, ends_at: float, restarted: float = 0.0, again_s: float = 0.0) -> None:
    """Let the store come back from a copy that lacks the latest configuration.

    Parameters
    ----------
    restarted : float
        Share of the entries that are killed and started again after the store's return.
    again_s : float
        Seconds until the operator writes again.
    """
    run.is_changing.clear()
    while time.monotonic() < ends_at:
        time.sleep(6.0)
        copy = run.store.copy()
        run.change()
        run.write_endpoints()
        time.sleep(1.0)
        run.store.restore(copy, 0.5)
        run.note("the store is back, older")
        if restarted:
            entries = run.some_entries(restarted)
            run.kill(*entries)
            for entry in entries:
                run.launch(entry)
        time.sleep(again_s + 0.2 * run.rng.random())
        run.change()
        run.write_endpoints()


FAULTS: dict[str, Callable[[ChangesRun, float], None]] = {
    "calm": calm,
    "restart-in-series": restart_in_series,
    "kill": kill_some,
    "stop-readers": stop_readers,
    "lose-readers": lose_readers,
    "dead-records": leave_dead_records,
    "silent-link": delay_store,
    "drill": drill,
    "drill-restart": lambda run, ends_at: drill(run, ends_at, 0.3, 12.0),
}


def main(
    *,
    fault: str,
    entries: int = 24,
    seconds: float = 45.0,
    seed: int = 1,
    more_routes: int = 0,
    narrow: bool = False,
    build: Path = ROOT,
    keep: Path = Path("soak-findings"),
) -> int:
    """Change the configuration during a fault; return 1 if there are violations, else 0.

    Parameters
    ----------
    fault
        Name of the fault.
    entries
        Entries, half of them in each of two regions.
    seconds
        Seconds for which the fault is caused.
    seed
        Seed of the changes and of the fault.
    more_routes
        Routes beside those that change.
    narrow
        Let the link between the regions pass 30 Mbit/s.
    build
        Root of the build that the entries run.
    keep
        Folder for logs and timelines of runs with violations.
    """
    directory = Path(tempfile.mkdtemp(prefix="changes-"))
    run = ChangesRun(entries, seed, directory, build.resolve(), more_routes)
    if narrow:
        run.link.bytes_per_s = LINK_BYTES_PER_S
    try:
        violations = run.run(FAULTS[fault], seconds)
    finally:
        run.stop()
    outcomes = Counter(asked.outcome for asked in run.asked)
    rules = Counter(text.partition(" ")[0] for text in violations)
    names = {text.split()[2] for text in violations}
    print(f"{fault}, {entries} entries, seed {seed}: {dict(rules) or 'kept'}", end=" ")
    print(f"at {len(names)} entries; {dict(outcomes)}", *violations[:6], sep="\n  ", flush=True)
    if violations:
        folder = keep / f"changes-{fault}-{entries}-{seed}-{int(time.time())}"
        shutil.copytree(directory, folder)
        (folder / "story.json").write_text(json.dumps([*run.timeline, *violations], indent=1))
    shutil.rmtree(directory, ignore_errors=True)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main, short={}))
