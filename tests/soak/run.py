"""Plays a soak: ``python -m tests.soak.run --seeds 1 2 3``; ends with 1 if a promise was broken."""

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

from tests.platform_standins import Store, configuration
from tests.soak.callers import DEADLINE_MS, NOT_RUN, Callers, Seen, ask, begin, connect
from tests.soak.endpoints import PLACES, SoakEndpoint
from tests.soak.entries import SoakEntry
from tests.soak.mutants import BROKEN_BY_NAME
from tests.soak.proxy import Harm, Proxy

# Seconds that faults of a storm last at most, and that all is calm before a planned act; entries
# are bound by time only after four calm seconds (the users' rules).
STORM_S = 4.0
CALM_S = 4.5
# Seconds within which an endpoint that leaves gets its last request, and a configuration is in force.
DRAIN_S = 3.0
IN_FORCE_S = 3.0
# Seconds for a graceful stop before the process would be killed.
GRACE_S = 8.0
# Seconds after the last fault until everything is served again, on an entry that started anew too.
RECOVER_S = 12.0
# Seconds by which threads of a busy machine may note something late.
SLACK_S = 0.5


@define
class Window:
    """A planned act in a calm time."""

    begins: float
    ends: float
    entry: str
    lifetime: int


@define
class Soak:
    """One seed's site, faults and findings."""

    seed: int
    directory: Path
    broken: str = ""
    chance: random.Random = field(init=False)
    store: Store = field(factory=Store)
    endpoints: dict[str, SoakEndpoint] = field(factory=dict)
    entries: list[SoakEntry] = field(factory=list)
    version: int = 1
    extra: list[dict] = field(factory=list)
    found: list[str] = field(factory=list)
    story: list[str] = field(factory=list)
    stops: list[Window] = field(factory=list)
    began_at: float = field(factory=time.monotonic)

    def __attrs_post_init__(self) -> None:
        """Set up the site."""
        self.chance = random.Random(self.seed)
        names = [("e1", "models"), ("e2", "models"), ("e3", "models"), ("d1", "desk")]
        names.append(("d2", "desk"))
        self.endpoints = {name: SoakEndpoint(name, service) for name, service in names}
        preface = BROKEN_BY_NAME[self.broken] if self.broken else ""
        self.entries = [
            SoakEntry(f"entry-{n}", self.directory, self.store.port, preface) for n in (1, 2, 3)
        ]

    def tell(self, what: str) -> None:
        """Note what was done, with the time."""
        self.story.append(f"{time.monotonic() - self.began_at:7.2f} {what}")

    def configure(self) -> None:
        """Write the configuration."""
        document = configuration(self.version, *self.extra)
        document["services"][0]["engine"]["adapterSlots"] = PLACES
        self.store.put("config", "main", document)

    def play(self, cycles: int) -> list[str]:
        """Play cycles of a storm, a calm time and a planned act; return the promises broken."""
        for name, endpoint in self.endpoints.items():
            self.store.put("servers", name, endpoint.record())
        self.configure()
        for entry in self.entries:
            entry.start()
        if not all(entry.wait_ready() for entry in self.entries):
            self.found.append("RECOVER: an entry does not become ready at the start")
            return self.found
        callers = Callers(self.entries, self.seed, threads=8)
        callers.start()
        try:
            for _ in range(cycles):
                self.storm()
                time.sleep(CALM_S)
                self.chance.choice((self.leave, self.reconfigure, self.roll))()
            time.sleep(1.0)
        finally:
            callers.stop()
        self.judge(callers.seen + self.recover())
        return self.found

    def stop(self) -> None:
        """End everything that this soak started."""
        for entry in self.entries:
            entry.stop()
        self.store.stop()
        for endpoint in self.endpoints.values():
            endpoint.stop()

    def storm(self) -> None:
        """Let some faults overlap, each at a time of its own."""
        # Endpoints twice: what harms requests under way is what most promises are about.
        kinds = (
            self.harm_endpoint,
            self.harm_endpoint,
            self.crash_endpoint,
            self.harm_store_link,
            self.harm_store,
            self.pause_entry,
            self.kill_entry,
            self.crash_endpoint,
            self.announce,
            self.reload,
        )
        ends_at = time.monotonic() + STORM_S
        faults = []
        for kind in self.chance.choices(kinds, k=self.chance.randint(2, 5)):
            at_s = self.chance.random() * STORM_S * 0.6
            # Drawn here, so that a seed plays the same faults whatever the threads do.
            drawn = random.Random(self.chance.random())
            faults.append(threading.Timer(at_s, kind, args=(drawn, ends_at)))
        for fault in faults:
            fault.start()
        for fault in faults:
            fault.join()
        time.sleep(max(0.0, ends_at - time.monotonic()))

    def harm_proxy(self, proxy: Proxy, what: str, chance: random.Random, ends_at: float) -> None:
        """Harm what passes through a proxy for a while."""
        harm = chance.choice((Harm.DELAY, Harm.SILENCE, Harm.DEAF, Harm.REFUSE))
        self.tell(f"{what}: {harm}")
        proxy.delay_s = 0.05 + 0.2 * chance.random()
        proxy.harm = harm
        if chance.random() < 0.5:
            proxy.reset_all()
        time.sleep(max(0.0, min(ends_at - time.monotonic(), 0.3 + 2.5 * chance.random())))
        proxy.harm = Harm.NONE

    def harm_endpoint(self, chance: random.Random, ends_at: float) -> None:
        """Harm the way to an endpoint."""
        name = chance.choice(sorted(self.endpoints))
        self.harm_proxy(self.endpoints[name].proxy, f"way to {name}", chance, ends_at)

    def harm_store_link(self, chance: random.Random, ends_at: float) -> None:
        """Harm one entry's way to the store."""
        entry = chance.choice(self.entries)
        self.harm_proxy(entry.store, f"{entry.name} to the store", chance, ends_at)

    def harm_store(self, chance: random.Random, ends_at: float) -> None:
        """Let the store be away, lose answers, miss changes or forget its history."""
        fault = chance.choice(("unavailable", "lose_responses", "misses_changes", "forget"))
        self.tell(f"store: {fault}")
        if fault == "forget":
            self.store.drop_history()
            return
        setattr(self.store, fault, True)
        time.sleep(max(0.0, min(ends_at - time.monotonic(), 0.5 + 2.0 * chance.random())))
        setattr(self.store, fault, False)

    def pause_entry(self, chance: random.Random, ends_at: float) -> None:
        """Stop an entry's process for a while."""
        entry = chance.choice(self.entries)
        self.tell(f"{entry.name}: paused")
        entry.send_signal(signal.SIGSTOP)
        time.sleep(max(0.0, min(ends_at - time.monotonic(), 0.3 + 2.5 * chance.random())))
        entry.send_signal(signal.SIGCONT)

    def kill_entry(self, chance: random.Random, ends_at: float) -> None:
        """Kill an entry and start it again."""
        entry = chance.choice(self.entries)
        self.tell(f"{entry.name}: killed")
        entry.kill()
        time.sleep(0.5 * chance.random())
        entry.start()

    def crash_endpoint(self, chance: random.Random, ends_at: float) -> None:
        """Let an endpoint start anew under its name."""
        name = chance.choice(sorted(self.endpoints))
        self.tell(f"{name}: restarted")
        endpoint = self.endpoints[name]
        endpoint.restart()
        self.store.put("servers", name, endpoint.record())

    def announce(self, chance: random.Random, ends_at: float) -> None:
        """Announce a new version of an adapter."""
        adapter = f"a{chance.randrange(3)}"
        self.version += 1
        self.tell(f"version {self.version} of {adapter}")
        for endpoint in self.endpoints.values():
            endpoint.latest_version = self.version
        record = {"model": "base", "adapter": adapter, "version": self.version}
        self.store.put("versions", f"base.{adapter}", record)

    def reload(self, chance: random.Random, ends_at: float) -> None:
        """Let an entry read its settings again."""
        entry = chance.choice(self.entries)
        self.tell(f"{entry.name}: reloads")
        entry.send_signal(signal.SIGHUP)

    def leave(self) -> None:
        """Let an endpoint leave in a calm time, and come back."""
        name = self.chance.choice(sorted(self.endpoints))
        endpoint = self.endpoints[name]
        self.tell(f"{name}: leaves")
        self.store.put("servers", name, endpoint.record("draining"))
        endpoint.left_at = time.monotonic()
        time.sleep(DRAIN_S + 1.5)
        endpoint.left_at = None
        late = [f"{rid} after {s:.2f} s" for rid, s in endpoint.late if s > DRAIN_S + SLACK_S]
        if late:
            self.found.append(f"DRAIN: {len(late)} requests at {name}, {late[0]}")
        endpoint.late.clear()
        endpoint.restart()
        self.store.put("servers", name, endpoint.record())

    def reconfigure(self) -> None:
        """Add a route in a calm time; it must be in force everywhere, and stay so."""
        self.version += 1
        prefix = f"/new-{self.version}/"
        self.tell(f"route {prefix} added")
        route = {"name": prefix, "host": "host.test", "pathPrefix": prefix, "routeKind": "safe"}
        route |= {"timeoutMs": 4000, "targetLatencyMs": 1000, "priority": 1, "maxAttempts": 2}
        self.extra.append(route | {"service": "desk"})
        self.configure()
        time.sleep(IN_FORCE_S + SLACK_S)
        self.probe(prefix, "after its time")

    def probe(self, prefix: str, when: str) -> None:
        """Ask every entry for a route that exists."""
        for entry in self.entries:
            if self.last_words(entry, prefix.strip("/")).status == 404:
                self.found.append(f"CONFIG: {entry.name} does not know {prefix} {when}")

    def last_words(self, entry: SoakEntry, kind: str) -> Seen:
        """Send one request over a connection of its own."""
        with contextlib.closing(connect(entry)) as connection:
            return ask(connection, begin(f"p{time.monotonic_ns()}", kind, entry))

    def roll(self) -> None:
        """Stop an entry gracefully in a calm time, and start it again."""
        entry = self.chance.choice(self.entries)
        self.tell(f"{entry.name}: stopped gracefully")
        begins = time.monotonic()
        lifetime = entry.lifetime
        entry.send_signal(signal.SIGTERM)
        try:
            status = entry.process.wait(GRACE_S + SLACK_S)
        except subprocess.TimeoutExpired:
            status = None
        if status != 0:
            self.found.append(f"LOST: {entry.name} ended with {status} when it was asked to stop")
            entry.kill()
        self.stops.append(Window(begins, time.monotonic(), entry.name, lifetime))
        entry.start()
        if not entry.wait_ready():
            self.found.append(f"RECOVER: {entry.name} does not come back")

    def recover(self) -> list[Seen]:
        """Demand that everything is served once all is calm; return what was asked for that."""
        self.tell("calm")
        for proxy in [e.store for e in self.entries] + [e.proxy for e in self.endpoints.values()]:
            proxy.harm = Harm.NONE
        ends_at = time.monotonic() + RECOVER_S
        missing = {(e.name, kind) for e in self.entries for kind in ("once", "read", "stream")}
        by_name = {entry.name: entry for entry in self.entries}
        asked = []
        while missing and time.monotonic() < ends_at:
            for name, kind in sorted(missing):
                asked.append(self.last_words(by_name[name], kind))
                if asked[-1].status == 200:
                    missing.discard((name, kind))
        if missing:
            self.found.append(f"RECOVER: not served again: {sorted(missing)}")
        for route in self.extra:
            self.probe(route["pathPrefix"], "at the end")
        return asked

    def judge(self, seen: list[Seen]) -> None:
        """Compare what callers and endpoints saw."""
        runs = {}
        for endpoint in self.endpoints.values():
            self.found += endpoint.broken
            for request_id, count in endpoint.runs.items():
                runs[request_id] = runs.get(request_id, 0) + count
            late = [rid for rid, ms in endpoint.deadlines_ms.items() if not 0 < ms <= DEADLINE_MS]
            if late:
                self.found.append(f"BUDGET: {late[0]} was given more time than its caller has")
        for request in seen:
            where = f"{request.request_id} ({request.kind}, {request.entry})"
            count = runs.get(request.request_id, 0)
            if request.fault:
                self.found.append(f"{request.fault}: {where}")
            if request.kind in ("once", "stream") and count > 1:
                self.found.append(f"TWICE: {where} ran {count} times")
            if request.kind == "once" and request.status in NOT_RUN and count:
                self.found.append(f"REFUSED: {where} was answered {request.status} and ran")
            if request.status == 0 and count and self.was_cut_by_a_stop(request):
                self.found.append(f"LOST: {where} was cut by a planned stop")

    def was_cut_by_a_stop(self, request: Seen) -> bool:
        """Return whether a request ended without an answer while its entry stopped gracefully."""
        return any(
            window.entry == request.entry
            and window.lifetime == request.lifetime
            and window.begins - 1.0 <= request.sent_at
            and window.begins <= request.ended_at <= window.ends + SLACK_S
            for window in self.stops
        )


def soak(seed: int, cycles: int = 1, broken: str = "", keep: Path | None = None) -> list[str]:
    """Play one seed; return the promises that were broken."""
    directory = Path(tempfile.mkdtemp(prefix="soak-"))
    played = Soak(seed, directory, broken)
    try:
        return played.play(cycles)
    finally:
        played.stop()
        if played.found and keep is not None:
            # The finding's logs and story, to be traced.
            shutil.copytree(directory, keep / f"seed-{seed}", dirs_exist_ok=True)
            story = json.dumps([*played.story, *played.found], indent=1)
            (keep / f"seed-{seed}" / "story.json").write_text(story)
        shutil.rmtree(directory, ignore_errors=True)


def main(
    *, seeds: list[int], cycles: int = 2, broken: str = "", keep: Path = Path("soak-findings")
) -> int:
    """Play soaks one after another.

    Parameters
    ----------
    seeds
        Seeds to play.
    cycles
        Storms of each; one takes about thirteen seconds.
    broken
        Protection to break, to see that the soak notices.
    keep
        Where logs of findings go.
    """
    failed = 0
    for seed in seeds:
        found = soak(seed, cycles, broken, keep)
        failed += bool(found)
        print(f"seed {seed}: {'; '.join(found[:4]) or 'kept'}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main, short={}))
