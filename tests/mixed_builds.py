"""Replaces entries of an earlier build by those of this one and back, under load, by hand.

    python -m tests.mixed_builds COMMIT [SEED]

It prints, for each phase, the share of requests that were served, and fails if a request that must
not repeat ran twice, or an entry logged an exception in its own code.
"""

import itertools
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

from tests.platform_site import PlatformEntry
from tests.platform_standins import CountingEndpoint, configuration
from tests.platform_store import Store
from tests.site import ROOT, wait_until

ENTRY_COUNT = 5
REQUEST_INTERVAL_S = 0.02
PHASE_S = 4.0
# Fewer than the engines have slots for.
ADAPTERS = 3
PATHS = ("/stream/x", "/once/x", "/read/x", "/resume/x")
# The least share of requests to be served in a phase; a caller makes one attempt only.
LEAST_SERVED = 0.97


class MixedSite:
    """Entries of two builds before the same endpoints and store.

    Attributes
    ----------
    ready : set
        Entries that get callers.
    statuses : Counter
        Status codes of the present phase; 0 for a connection that broke off.
    refusals : Counter
        Reasons of all refusals up to the end of the last phase.
    """

    def __init__(self, directory: Path) -> None:
        self.store = Store()
        self.runs_by_id: Counter = Counter()
        services = {"e1": "models", "e2": "models", "e3": "models", "d1": "desk", "d2": "desk"}
        self.endpoints = [CountingEndpoint(name, service) for name, service in services.items()]
        for endpoint in self.endpoints:
            endpoint.runs_by_id = self.runs_by_id
            self.store.put("servers", endpoint.name, endpoint.record())
        self.store.put("config", "main", configuration())
        names = [f"entry-{number}" for number in range(1, ENTRY_COUNT + 1)]
        self.entries = [PlatformEntry(name, directory, self.store.port) for name in names]
        for entry in self.entries:
            # Earlier builds do not know this setting.
            entry.drop_first_start()
        self.ready: set[str] = set()
        self.statuses: Counter = Counter()
        self.refusals: Counter = Counter()
        self.numbers = itertools.count(1)
        self.stopping = threading.Event()

    def start_entry(self, entry: PlatformEntry, root: Path) -> None:
        """Start an entry of the build in a directory, and wait until it is ready."""
        entry.launch(root=root)
        wait_until(lambda: entry.get_status() == 200, what=f"{entry.name} ready")
        self.ready.add(entry.name)

    def replace_entry(self, entry: PlatformEntry, root: Path) -> None:
        """Stop an entry in order, and start one of another build in its place."""
        entry.send_signal(signal.SIGTERM)
        # The platform sends callers until the second negative answer.
        time.sleep(1.5)
        self.ready.discard(entry.name)
        entry.process.wait(timeout=12.0)
        self.start_entry(entry, root)

    def send(self, number: int, entry: PlatformEntry) -> None:
        """Send a request and count its status."""
        path = PATHS[number % len(PATHS)]
        is_stream = path in ("/stream/x", "/resume/x")
        adapter = f"a{number // 4 % ADAPTERS}" if is_stream else ""
        self.statuses[entry.post(f"c{number}", path, b"x", adapter)] += 1

    def send_steadily(self, rng: random.Random) -> None:
        """Send requests to entries that are ready until the end."""
        while not self.stopping.wait(REQUEST_INTERVAL_S):
            ready = [entry for entry in self.entries if entry.name in self.ready]
            args = (next(self.numbers), rng.choice(ready))
            threading.Thread(target=self.send, args=args, daemon=True).start()

    def end_phase(self, name: str) -> bool:
        """Print what became of the requests of a phase; return whether enough were served."""
        time.sleep(PHASE_S)
        statuses, self.statuses = self.statuses, Counter()
        share = statuses[200] / max(1, statuses.total())
        refusals = Counter(
            line["reason"] for entry in self.entries for line in entry.log_lines("refused")
        )
        reasons, self.refusals = refusals - self.refusals, refusals
        counts = f"{dict(statuses)}, refused {dict(reasons)}"
        print(f"{name}: served {share:.3f} of {statuses.total()}, {counts}", flush=True)
        return share >= LEAST_SERVED

    def stop(self) -> None:
        """Stop everything."""
        self.stopping.set()
        for entry in self.entries:
            entry.kill()
        for server in (*self.endpoints, self.store):
            server.stop()


def play(old_root: Path, directory: Path, seed: int) -> bool:
    """Play all phases; return whether all went well."""
    site = MixedSite(directory)
    try:
        for entry in site.entries:
            site.start_entry(entry, old_root)
        threading.Thread(
            target=site.send_steadily, args=(random.Random(seed),), daemon=True
        ).start()
        results = [site.end_phase("earlier build")]
        for root, name in ((ROOT, "to this build"), (old_root, "back again")):
            for number, entry in enumerate(site.entries, 1):
                site.replace_entry(entry, root)
                results.append(site.end_phase(f"{name}, {number} of {len(site.entries)}"))
    finally:
        site.stop()
    twice = [request_id for request_id, runs in site.runs_by_id.items() if runs > 1]
    once_twice = [name for name in twice if PATHS[int(name[1:]) % len(PATHS)] == "/once/x"]
    print(f"ran twice that must not: {once_twice}")
    for entry in site.entries:
        entry.check_no_faults()
    return all(results) and not once_twice


def main(commit: str, seed: str = "1") -> int:
    """Check out a commit into a temporary directory and play; return the exit status."""
    with tempfile.TemporaryDirectory() as directory:
        old_root = Path(directory) / "build"
        subprocess.run(["git", "clone", "--quiet", str(ROOT), str(old_root)], check=True)
        subprocess.run(["git", "checkout", "--quiet", commit], cwd=old_root, check=True)
        return 0 if play(old_root, Path(directory), int(seed)) else 1


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
