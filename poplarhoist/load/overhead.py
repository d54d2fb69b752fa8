"""What an entry adds to a call: requests a second, latency, processor time, memory."""

import itertools
import os
import random
import uuid
from collections.abc import Callable, Iterable
from pathlib import Path

import eventlet
import orjson
import urllib3
from attrs import asdict, define, frozen
from hdrh.histogram import HdrHistogram
from tabulate import tabulate
from urllib3.exceptions import HTTPError

from poplarhoist.clock import Clock
from poplarhoist.load.caller import CallerClient, Outcome
from poplarhoist.load.measures import histogram, record
from poplarhoist.models import EndpointKind
from poplarhoist.settings.models import EndpointSettings, Site

WORKERS = 16
LATENCY_RATE = 50.0
STREAMS = 48
TIMEOUT_S = 30.0
MICROSECONDS = 1e6
KILOBYTES = 1024

Call = Callable[[], bool]


@frozen
class Figure:
    """One measured figure.

    Attributes
    ----------
    target : str
        What was asked for; empty if nothing was.
    """

    name: str
    value: float
    unit: str
    target: str = ""


@define
class Process:
    """A running entry, as the system's accounts show it."""

    pid: int

    def cpu_s(self) -> float:
        """Return the processor time that it has used, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def resident_kb(self) -> int:
        """Return its resident memory in kilobytes."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") // KILOBYTES


class OverheadProbe:
    """Compares calls through the first entry of a site with direct calls to its stand-ins.

    Parameters
    ----------
    seconds : float
        How long each of the two kinds of throughput and of latency is measured.
    stream_tokens : int
        Length of each streamed answer.
    """

    def __init__(
        self,
        site: Site,
        client: CallerClient,
        clock: Clock,
        process: Process,
        seconds: float,
        stream_tokens: int,
    ) -> None:
        self.seconds = seconds
        self.stream_tokens = stream_tokens
        self.site = site
        self.client = client
        self.clock = clock
        self.process = process
        self.pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S, maxsize=WORKERS)
        self.adapter = client.models()[0]
        self.entry_url = client.urls[0]
        self.ref_by_url: dict[str, str] = {}

    def run(self) -> list[Figure]:
        """Measure everything."""
        self.client.complete(Outcome(self.clock.monotonic()), 0, self.adapter, 1)
        return [*self.throughput(), *self.latency(), *self.tokens(), *self.memory()]

    def throughput(self) -> list[Figure]:
        """Measure requests a second of plain calls in a closed loop."""
        used = self.process.cpu_s()
        through = self.per_second(self.service_call)
        used = self.process.cpu_s() - used
        direct = self.per_second(self.direct_service_call)
        return [
            Figure("requests through one entry", through, "1/s"),
            Figure("processor of the entry meanwhile", used / self.seconds, "cores"),
            Figure("requests direct", direct, "1/s"),
            Figure("ratio", through / direct, ""),
        ]

    def per_second(self, call: Call) -> float:
        """Return how many calls a second some workers get done."""
        ends_at = self.clock.monotonic() + self.seconds

        def work() -> int:
            done = 0
            while self.clock.monotonic() < ends_at:
                done += call()
            return done

        workers = [eventlet.spawn(work) for _ in range(WORKERS)]
        return sum(worker.wait() for worker in workers) / self.seconds

    def latency(self) -> list[Figure]:
        """Measure latency at a steady rate, of plain calls and of model calls."""
        plain = self.added("plain call", self.service_call, self.direct_service_call)
        model = self.added("model call", self.model_call, self.direct_model_call)
        return [*plain, *model]

    def added(self, name: str, through: Call, direct: Call) -> list[Figure]:
        """Return the latency that the entry adds at 50 and 99 in 100."""
        with_entry, without = self.latencies(through, direct)
        figures = []
        for percentile in (50.0, 99.0):
            longer = with_entry.get_value_at_percentile(percentile)
            added_ms = (longer - without.get_value_at_percentile(percentile)) / 1000
            target = "under 5 at 50 requests/s" if percentile > 50.0 else ""
            figures.append(Figure(f"{name}, added at {percentile:.0f}", added_ms, "ms", target))
        return figures

    def latencies(self, *calls: Call) -> list[HdrHistogram]:
        """Send calls of every kind at the steady rate each, counted from when they were due."""
        times = [histogram() for _ in calls]
        pool = eventlet.GreenPool(1000)
        source = random.Random(1)
        due = self.clock.monotonic()
        ends_at = due + self.seconds
        while due < ends_at:
            # Random gaps keep the calls out of step with the engines' batches.
            due += source.expovariate(LATENCY_RATE * len(calls))
            eventlet.sleep(max(0.0, due - self.clock.monotonic()))
            which = source.randrange(len(calls))
            pool.spawn_n(self.timed, calls[which], times[which], due)
        pool.waitall()
        return times

    def timed(self, call: Call, times: HdrHistogram, due: float) -> None:
        """Make a call and record how long it took since it was due."""
        if call():
            record(times, self.clock.monotonic() - due)

    def tokens(self) -> list[Figure]:
        """Measure streamed tokens a second and the processor time of each."""
        used = self.process.cpu_s()
        started = self.clock.monotonic()
        adapters = itertools.cycle(self.client.models())
        outcomes = [Outcome(started) for _ in range(STREAMS)]
        pool = eventlet.GreenPool(STREAMS)
        for outcome, adapter in zip(outcomes, adapters, strict=False):
            pool.spawn_n(self.client.complete, outcome, 0, adapter, self.stream_tokens)
        pool.waitall()
        took_s = self.clock.monotonic() - started
        used = self.process.cpu_s() - used
        passed = self.stream_tokens * sum(outcome.complete for outcome in outcomes)
        chunks = sum(len(outcome.gaps) + 1 for outcome in outcomes)
        return [
            Figure("tokens through one entry", passed / took_s, "1/s", "3000"),
            Figure("processor at that rate", used / took_s, "cores", "under 0.5"),
            Figure("processor of a chunk", used / chunks * MICROSECONDS, "µs"),
            Figure("streams cut", STREAMS - sum(o.complete for o in outcomes), ""),
        ]

    def memory(self) -> list[Figure]:
        """Measure resident memory with the adapters that are in force now."""
        count = len(self.client.models())
        megabytes = self.process.resident_kb() / KILOBYTES
        return [Figure(f"resident memory at {count} adapters", megabytes, "MB")]

    # Calls

    def service_call(self) -> bool:
        """Make a plain call that may repeat, through the entry."""
        name, path = self.repeatable_route()
        url = f"{self.entry_url}/services/{name}{path}"
        return self.send("GET", url, self.client.headers())

    def direct_service_call(self) -> bool:
        """Make the same call at the stand-in."""
        url = f"{self.endpoint_url(EndpointKind.SERVICE)}/call{self.repeatable_route()[1]}"
        return self.send("GET", url, {"X-Request-Id": uuid.uuid4().hex, "Connection": "close"})

    def model_call(self) -> bool:
        """Ask for one token through the entry."""
        body = {"model": self.adapter, "prompt": "x", "max_tokens": 1}
        url = f"{self.entry_url}/v1/completions"
        return self.send("POST", url, self.client.headers(), body)

    def direct_model_call(self) -> bool:
        """Ask a stand-in that holds the adapter for one token."""
        for endpoint in self.endpoints(EndpointKind.ENGINE):
            url = f"http://{endpoint.host}:{endpoint.port}"
            ref = self.held_by(url)
            if ref:
                return self.send("POST", f"{url}/v1/completions", direct_headers(ref), {})
        return False

    def held_by(self, url: str) -> str:
        """Return the version of the adapter that a stand-in holds; looked up once."""
        if url not in self.ref_by_url:
            slots = self.pool.request("GET", f"{url}/control/state").json()["slots"]
            refs = (ref for ref in slots if ref.startswith(f"{self.adapter}@"))
            self.ref_by_url[url] = next(refs, "")
        return self.ref_by_url[url]

    def repeatable_route(self) -> tuple[str, str]:
        """Return service and path of a route that may repeat."""
        for service in self.site.services:
            for route in service.routes:
                if route.method == "GET" and route.repeat:
                    return service.name, f"{route.path.rstrip('/')}/free"
        raise LookupError("the site has no GET route that may repeat")

    def endpoints(self, kind: EndpointKind) -> list[EndpointSettings]:
        """Return the endpoints of a kind."""
        return [endpoint for endpoint in self.site.endpoints if endpoint.kind is kind]

    def endpoint_url(self, kind: EndpointKind) -> str:
        """Return the address of the first endpoint of a kind."""
        endpoint = self.endpoints(kind)[0]
        return f"http://{endpoint.host}:{endpoint.port}"

    def send(self, method: str, url: str, headers: dict, body: dict | None = None) -> bool:
        """Send a request; return whether it was answered with success."""
        data = None if body is None else orjson.dumps({"max_tokens": 1, **body})
        try:
            answer = self.pool.request(method, url, body=data, headers=headers, redirect=False)
        except HTTPError:
            return False
        return answer.status < 300


def direct_headers(ref: str) -> dict[str, str]:
    """Return the headers of a model call that goes to an engine directly."""
    request_id = uuid.uuid4().hex
    return {
        "X-Adapter": ref,
        "X-Request-Id": request_id,
        "X-Stream-Id": request_id,
        "Content-Type": "application/json",
        "Connection": "close",
    }


def table(figures: Iterable[Figure]) -> str:
    """Return the figures as a table for people."""
    rows = [(f.name, f"{f.value:.4g}", f.unit, f.target) for f in figures]
    headers = ("figure", "measured", "unit", "target")
    return tabulate(rows, headers, tablefmt="github", disable_numparse=True)


def to_json(figures: Iterable[Figure]) -> str:
    """Return the figures as JSON."""
    return orjson.dumps([asdict(f) for f in figures], option=orjson.OPT_INDENT_2).decode()
