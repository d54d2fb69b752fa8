"""Reads the counters of a running site: of the stand-ins and of the entries."""

import eventlet
import urllib3
from attrs import define, field
from prometheus_client.parser import text_string_to_metric_families
from urllib3.exceptions import HTTPError

from poplarhoist.models import EndpointKind
from poplarhoist.settings.models import Site

WATCH_S = 0.1
TIMEOUT_S = 10.0
CROSSED = "poplarhoist_crossing_bytes_total{"
CONTROL_CROSSED = "poplarhoist_peer_bytes_total{crossing=yes}"


@define
class Work:
    """What the engines did: steps, tokens, the most tokens of these steps, and loads."""

    steps: int = 0
    tokens: int = 0
    possible: int = 0
    loads: int = 0
    violations: int = 0

    def since(self, before: "Work") -> "Work":
        """Return what was done after an earlier look."""
        return Work(
            self.steps - before.steps,
            self.tokens - before.tokens,
            self.possible - before.possible,
            self.loads - before.loads,
            self.violations - before.violations,
        )


@define
class SiteObserver:
    """Reads counters, and follows which adapters are resident.

    Attributes
    ----------
    resident : dict
        Names of the resident adapter versions by engine, as of the last look.
    """

    site: Site
    resident: dict[str, set[str]] = field(factory=dict)
    pool: urllib3.PoolManager = field(
        factory=lambda: urllib3.PoolManager(retries=False, timeout=TIMEOUT_S, maxsize=4)
    )

    def urls(self, kind: EndpointKind) -> dict[str, str]:
        """Return the addresses of the endpoints of a kind by name."""
        return {
            endpoint.name: f"http://{endpoint.host}:{endpoint.port}"
            for endpoint in self.site.endpoints
            if endpoint.kind is kind
        }

    def state(self, url: str) -> dict:
        """Return a stand-in's counters; empty if it does not answer."""
        try:
            answer = self.pool.request("GET", f"{url}/control/state")
        except HTTPError:
            return {}
        return answer.json() if answer.status == 200 else {}

    def control(self, url: str, **faults: object) -> None:
        """Set fault switches of a stand-in."""
        self.pool.request("POST", f"{url}/control", json=faults)

    def watch(self) -> None:
        """Follow residency until the green thread is killed."""
        while True:
            for name, url in self.urls(EndpointKind.ENGINE).items():
                slots = self.state(url).get("slots", {})
                self.resident[name] = {ref for ref, state in slots.items() if state == "resident"}
            eventlet.sleep(WATCH_S)

    def is_resident(self, adapter: str) -> bool:
        """Return whether a version of an adapter was resident anywhere at the last look."""
        start = f"{adapter}@"
        return any(ref.startswith(start) for refs in self.resident.values() for ref in refs)

    def work(self) -> Work:
        """Return what all engines have done so far."""
        total = Work()
        for url in self.urls(EndpointKind.ENGINE).values():
            state = self.state(url)
            total.steps += state.get("steps", 0)
            total.tokens += state.get("tokens", 0)
            total.possible += state.get("steps", 0) * state.get("batch", 0)
            total.loads += state.get("loads", 0)
            total.violations += len(state.get("violations", ()))
        return total

    def runs_by_key(self) -> dict[str, int]:
        """Return how often the plain services ran the call of each key."""
        runs: dict[str, int] = {}
        for url in self.urls(EndpointKind.SERVICE).values():
            for key, count in self.state(url).get("runs_by_key", {}).items():
                runs[key] = runs.get(key, 0) + count
        return runs

    def counters(self) -> dict[str, float]:
        """Return the entries' counters, summed, by name and labels."""
        total: dict[str, float] = {}
        for entry in self.site.entries:
            try:
                url = f"http://{entry.host}:{entry.port}/metrics"
                text = self.pool.request("GET", url).data.decode()
            except HTTPError:
                continue
            for family in text_string_to_metric_families(text):
                for sample in family.samples:
                    if sample.name.endswith("_created"):
                        continue
                    labels = ",".join(f"{k}={v}" for k, v in sorted(sample.labels.items()))
                    key = f"{sample.name}{{{labels}}}"
                    total[key] = total.get(key, 0.0) + sample.value
        return total
