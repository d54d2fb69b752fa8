"""Reads the state of a running site: counters of the stand-ins and metrics of the entries."""

import eventlet
import urllib3
from attrs import define, field
from prometheus_client.parser import text_string_to_metric_families
from urllib3.exceptions import HTTPError

from poplarhoist.models import EndpointKind
from poplarhoist.settings.models import Site

RESIDENCY_POLL_S = 0.1
TIMEOUT_S = 10.0
CROSS_REGION_BYTES_PREFIX = "poplarhoist_crossing_bytes_total{"
CROSS_REGION_PEER_BYTES = "poplarhoist_peer_bytes_total{crossing=yes}"


@define
class EngineWork:
    """Counters of the engines, summed; ``batch_capacity`` is the tokens of full batches."""

    steps: int = 0
    tokens: int = 0
    batch_capacity: int = 0
    loads: int = 0
    violations: int = 0

    def since(self, before: "EngineWork") -> "EngineWork":
        """Return the difference from earlier counters."""
        return EngineWork(
            self.steps - before.steps,
            self.tokens - before.tokens,
            self.batch_capacity - before.batch_capacity,
            self.loads - before.loads,
            self.violations - before.violations,
        )


@define
class SiteObserver:
    """Reads counters, and polls the engines for resident adapters.

    Attributes
    ----------
    resident : dict
        Resident adapter versions by engine, as of the last poll.
    """

    site: Site
    resident_by_engine: dict[str, set[str]] = field(factory=dict)
    pool: urllib3.PoolManager = field(
        factory=lambda: urllib3.PoolManager(retries=False, timeout=TIMEOUT_S, maxsize=4)
    )

    def endpoint_urls(self, kind: EndpointKind) -> dict[str, str]:
        """Return the base URLs of the endpoints of a kind by name."""
        return {
            endpoint.name: f"http://{endpoint.host}:{endpoint.port}"
            for endpoint in self.site.endpoints
            if endpoint.kind is kind
        }

    def read_state(self, url: str) -> dict:
        """Return the state and counters of a stand-in; empty if it does not answer."""
        try:
            answer = self.pool.request("GET", f"{url}/control/state")
        except HTTPError:
            return {}
        return answer.json() if answer.status == 200 else {}

    def set_faults(self, url: str, **faults: object) -> None:
        """Set faults of a stand-in."""
        self.pool.request("POST", f"{url}/control", json=faults)

    def poll_residency(self) -> None:
        """Poll residency every ``RESIDENCY_POLL_S`` seconds until the green thread is killed."""
        while True:
            for name, url in self.endpoint_urls(EndpointKind.ENGINE).items():
                slots = self.read_state(url).get("slots", {})
                self.resident_by_engine[name] = {
                    ref for ref, state in slots.items() if state == "resident"
                }
            eventlet.sleep(RESIDENCY_POLL_S)

    def is_resident(self, adapter: str) -> bool:
        """Return whether any version of an adapter was resident on an engine at the last poll."""
        prefix = f"{adapter}@"
        return any(
            ref.startswith(prefix) for refs in self.resident_by_engine.values() for ref in refs
        )

    def read_engine_work(self) -> EngineWork:
        """Return the counters of all engines, summed."""
        total = EngineWork()
        for url in self.endpoint_urls(EndpointKind.ENGINE).values():
            state = self.read_state(url)
            total.steps += state.get("steps", 0)
            total.tokens += state.get("tokens", 0)
            total.batch_capacity += state.get("steps", 0) * state.get("batch", 0)
            total.loads += state.get("loads", 0)
            total.violations += len(state.get("violations", ()))
        return total

    def read_runs_by_key(self) -> dict[str, int]:
        """Return how often the plain services ran the call of each idempotency key."""
        runs: dict[str, int] = {}
        for url in self.endpoint_urls(EndpointKind.SERVICE).values():
            for key, count in self.read_state(url).get("runs_by_key", {}).items():
                runs[key] = runs.get(key, 0) + count
        return runs

    def read_counters(self) -> dict[str, float]:
        """Return the metrics, summed over the entries that answer, by name and labels."""
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
