"""Measures the overhead of an entry: throughput, added latency, CPU time and memory."""

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
from poplarhoist.load.caller import CallerClient, CallOutcome
from poplarhoist.load.measures import new_histogram, record_seconds
from poplarhoist.models import EndpointKind
from poplarhoist.settings.models import EndpointSettings, Site

WORKERS = 16
LATENCY_CALLS_PER_S = 50.0
CONCURRENT_STREAMS = 48
TIMEOUT_S = 30.0
MICROSECONDS_PER_S = 1e6
BYTES_PER_KIB = 1024

SendCall = Callable[[], bool]


@frozen
class Figure:
    """One measured figure.

    Attributes
    ----------
    target : str
        The required value; empty if there is none.
    """

    name: str
    value: float
    unit: str
    target: str = ""


@define
class EntryProcess:
    """CPU time and memory of a running entry, as read from ``/proc``."""

    pid: int

    def cpu_s(self) -> float:
        """Return the CPU time used so far, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def resident_kb(self) -> int:
        """Return the resident memory in KiB."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") // BYTES_PER_KIB


class OverheadProbe:
    """Compares calls through the first entry of a site with direct calls to its stand-ins.

    Parameters
    ----------
    seconds : float
        Duration of each measurement of throughput and of latency.
    stream_tokens : int
        Length of each streamed answer.
    """

    def __init__(
        self,
        site: Site,
        client: CallerClient,
        clock: Clock,
        process: EntryProcess,
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
        self.adapter = client.list_models()[0]
        self.entry_url = client.urls[0]
        self.ref_by_url: dict[str, str] = {}

    def run(self) -> list[Figure]:
        """Return all figures; a first call makes sure that the adapter is loaded."""
        self.client.request_completion(CallOutcome(self.clock.monotonic()), 0, self.adapter, 1)
        return [
            *self.measure_throughput(),
            *self.measure_added_latency(),
            *self.measure_streaming(),
            *self.measure_memory(),
        ]

    def measure_throughput(self) -> list[Figure]:
        """Measure closed-loop throughput of plain calls, through the entry and direct."""
        cpu_s = self.process.cpu_s()
        through = self.calls_per_second(self.call_service)
        cpu_s = self.process.cpu_s() - cpu_s
        direct = self.calls_per_second(self.call_service_directly)
        return [
            Figure("requests through one entry", through, "1/s"),
            Figure("processor of the entry meanwhile", cpu_s / self.seconds, "cores"),
            Figure("requests direct", direct, "1/s"),
            Figure("ratio", through / direct, ""),
        ]

    def calls_per_second(self, call: SendCall) -> float:
        """Return the successful calls a second of ``WORKERS`` closed-loop workers."""
        ends_at = self.clock.monotonic() + self.seconds

        def work() -> int:
            done = 0
            while self.clock.monotonic() < ends_at:
                done += call()
            return done

        workers = [eventlet.spawn(work) for _ in range(WORKERS)]
        return sum(worker.wait() for worker in workers) / self.seconds

    def measure_added_latency(self) -> list[Figure]:
        """Measure the latency that the entry adds to plain calls and to model calls."""
        plain = self.compute_added_latency(
            "plain call", self.call_service, self.call_service_directly
        )
        model = self.compute_added_latency("model call", self.call_model, self.call_model_directly)
        return [*plain, *model]

    def compute_added_latency(self, name: str, through: SendCall, direct: SendCall) -> list[Figure]:
        """Return the added latency at the 50th and 99th percentile."""
        entry_times, direct_times = self.record_latencies(through, direct)
        figures = []
        for percentile in (50.0, 99.0):
            through_us = entry_times.get_value_at_percentile(percentile)
            added_ms = (through_us - direct_times.get_value_at_percentile(percentile)) / 1000
            target = "under 5 at 50 requests/s" if percentile > 50.0 else ""
            figures.append(Figure(f"{name}, added at {percentile:.0f}", added_ms, "ms", target))
        return figures

    def record_latencies(self, *calls: SendCall) -> list[HdrHistogram]:
        """Send calls of every kind at ``LATENCY_CALLS_PER_S`` each, and record their latencies.

        Latencies count from when a call was due, also if it was sent late.
        """
        times = [new_histogram() for _ in calls]
        pool = eventlet.GreenPool(1000)
        rng = random.Random(1)
        due_at = self.clock.monotonic()
        ends_at = due_at + self.seconds
        while due_at < ends_at:
            # Random gaps keep the calls from synchronizing with the engines' batch steps.
            due_at += rng.expovariate(LATENCY_CALLS_PER_S * len(calls))
            eventlet.sleep(max(0.0, due_at - self.clock.monotonic()))
            index = rng.randrange(len(calls))
            pool.spawn_n(self.time_call, calls[index], times[index], due_at)
        pool.waitall()
        return times

    def time_call(self, call: SendCall, times: HdrHistogram, due_at: float) -> None:
        """Make a call and, if it succeeds, record its latency since it was due."""
        if call():
            record_seconds(times, self.clock.monotonic() - due_at)

    def measure_streaming(self) -> list[Figure]:
        """Measure the throughput of streamed tokens and the CPU time of each chunk."""
        cpu_s = self.process.cpu_s()
        started = self.clock.monotonic()
        adapters = itertools.cycle(self.client.list_models())
        outcomes = [CallOutcome(started) for _ in range(CONCURRENT_STREAMS)]
        pool = eventlet.GreenPool(CONCURRENT_STREAMS)
        for outcome, adapter in zip(outcomes, adapters, strict=False):
            pool.spawn_n(self.client.request_completion, outcome, 0, adapter, self.stream_tokens)
        pool.waitall()
        took_s = self.clock.monotonic() - started
        cpu_s = self.process.cpu_s() - cpu_s
        completed_tokens = self.stream_tokens * sum(outcome.complete for outcome in outcomes)
        chunks = sum(len(outcome.gaps) + 1 for outcome in outcomes)
        return [
            Figure("tokens through one entry", completed_tokens / took_s, "1/s", "3000"),
            Figure("processor at that rate", cpu_s / took_s, "cores", "under 0.5"),
            Figure("processor of a chunk", cpu_s / chunks * MICROSECONDS_PER_S, "µs"),
            Figure("streams cut", CONCURRENT_STREAMS - sum(o.complete for o in outcomes), ""),
        ]

    def measure_memory(self) -> list[Figure]:
        """Measure the resident memory of the entry with the current number of adapters."""
        count = len(self.client.list_models())
        megabytes = self.process.resident_kb() / BYTES_PER_KIB
        return [Figure(f"resident memory at {count} adapters", megabytes, "MB")]

    # Calls

    def call_service(self) -> bool:
        """Make a plain call through the entry; return whether it succeeded."""
        name, path = self.repeatable_route()
        url = f"{self.entry_url}/services/{name}{path}"
        return self.send("GET", url, self.client.build_headers())

    def call_service_directly(self) -> bool:
        """Make the same plain call directly at the stand-in."""
        url = f"{self.endpoint_url(EndpointKind.SERVICE)}/call{self.repeatable_route()[1]}"
        return self.send("GET", url, {"X-Request-Id": uuid.uuid4().hex, "Connection": "close"})

    def call_model(self) -> bool:
        """Request one token through the entry; return whether it succeeded."""
        body = {"model": self.adapter, "prompt": "x", "max_tokens": 1}
        url = f"{self.entry_url}/v1/completions"
        return self.send("POST", url, self.client.build_headers(), body)

    def call_model_directly(self) -> bool:
        """Request one token directly from the first engine that holds the adapter."""
        for endpoint in self.endpoints(EndpointKind.ENGINE):
            url = f"http://{endpoint.host}:{endpoint.port}"
            ref = self.resident_ref(url)
            if ref:
                return self.send("POST", f"{url}/v1/completions", build_direct_headers(ref), {})
        return False

    def resident_ref(self, url: str) -> str:
        """Return the adapter version that a stand-in holds, empty if none; the result is cached."""
        if url not in self.ref_by_url:
            slots = self.pool.request("GET", f"{url}/control/state").json()["slots"]
            refs = (ref for ref in slots if ref.startswith(f"{self.adapter}@"))
            self.ref_by_url[url] = next(refs, "")
        return self.ref_by_url[url]

    def repeatable_route(self) -> tuple[str, str]:
        """Return service and path of the first GET route whose calls may run more than once.

        Raises
        ------
        LookupError
            If no service has such a route.
        """
        for service in self.site.services:
            for route in service.routes:
                if route.method == "GET" and route.repeat:
                    return service.name, f"{route.path.rstrip('/')}/free"
        raise LookupError("the site has no GET route whose calls may run more than once")

    def endpoints(self, kind: EndpointKind) -> list[EndpointSettings]:
        """Return the settings of the endpoints of a kind."""
        return [endpoint for endpoint in self.site.endpoints if endpoint.kind is kind]

    def endpoint_url(self, kind: EndpointKind) -> str:
        """Return the base URL of the first endpoint of a kind."""
        endpoint = self.endpoints(kind)[0]
        return f"http://{endpoint.host}:{endpoint.port}"

    def send(self, method: str, url: str, headers: dict, body: dict | None = None) -> bool:
        """Send a request; return whether its status is below 300."""
        data = None if body is None else orjson.dumps({"max_tokens": 1, **body})
        try:
            answer = self.pool.request(method, url, body=data, headers=headers, redirect=False)
        except HTTPError:
            return False
        return answer.status < 300


def build_direct_headers(ref: str) -> dict[str, str]:
    """Return the headers of a model call that is sent directly to an engine."""
    request_id = uuid.uuid4().hex
    return {
        "X-Adapter": ref,
        "X-Request-Id": request_id,
        "X-Stream-Id": request_id,
        "Content-Type": "application/json",
        "Connection": "close",
    }


def table(figures: Iterable[Figure]) -> str:
    """Return the figures as a Markdown table."""
    rows = [(f.name, f"{f.value:.4g}", f.unit, f.target) for f in figures]
    headers = ("figure", "measured", "unit", "target")
    return tabulate(rows, headers, tablefmt="github", disable_numparse=True)


def to_json(figures: Iterable[Figure]) -> str:
    """Return the figures as JSON."""
    return orjson.dumps([asdict(f) for f in figures], option=orjson.OPT_INDENT_2).decode()
