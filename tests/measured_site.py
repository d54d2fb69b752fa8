"""Starts sites as separate processes and measures them: ``python -m tests.measured_site``.

The first argument is ``overhead``, ``idle``, or the name of a site shape, followed by trace names.
"""

import os
import sys
import tempfile
import time
from pathlib import Path

from attrs import frozen
from tabulate import tabulate

from poplarhoist.replay.shapes import SHAPES_BY_NAME
from tests.site import HTTP_CLIENT, TOKEN, RunningSite, SiteFile, published_adapter, wait_until

LOAD_TOOL_TIMEOUT_S = 3600.0
IDLE_DURATION_S = 8.0
ADAPTER_COUNT = 3000


class MeasuredSite(RunningSite):
    """A site whose engines have a configurable step time.

    Attributes
    ----------
    step_s : float
        Step time of the engines in seconds; set it before ``start``.
    """

    step_s = 0.03

    def start_engine(self, name: str) -> None:
        args = ("--settings", str(self.file.path), "--name", name, "--step-s", str(self.step_s))
        self.spawn(name, "standin", "engine", *args)

    def publish_adapters(self, count: int) -> None:
        """Publish adapters ``a00000`` … and wait until they are in force at every entry."""

        def edit(draft):
            for number in range(count):
                draft.put_adapter(published_adapter(f"a{number:05}", 1))

        revision = self.publish(edit).revision
        for entry in self.file.entry_ports:
            is_in_force = lambda entry=entry: self.read_status(entry)["revision"] >= revision
            wait_until(is_in_force, 60.0, f"revision in force at {entry}")

    def run_load_tool(self, *args: str) -> int:
        """Run the load tool on this site and print its output; return its exit status."""
        options = ["--settings", str(self.file.path), "--token", TOKEN]
        process = self.spawn("load", "load", args[0], *options, *args[1:])
        status = process.wait(timeout=LOAD_TOOL_TIMEOUT_S)
        print(self.file.path.with_suffix(".load.log").read_text())
        self.file.path.with_suffix(".load.log").unlink()
        return status


def measure_overhead(folder: Path) -> None:
    """Measure one entry: throughput, latency and streaming, and its memory by adapter count."""
    site_file = SiteFile(folder / "site.toml", entries=1, engines=4, slots=8, batch=32)
    site = MeasuredSite(site_file)
    site.step_s = 0.008
    try:
        site.start()
        pid = ("--pid", str(site.processes["entry-1"].pid))
        site.run_load_tool("overhead", *pid, "--memory-only")
        site.publish_adapters(8)
        site.run_load_tool("overhead", *pid)
        for count in (ADAPTER_COUNT, 11000):
            site.publish_adapters(count)
            site.run_load_tool("overhead", *pid, "--memory-only")
    finally:
        site.stop()


def replay_traces(folder: Path, name: str, *traces: str) -> None:
    """Start a site of a shape and replay traces on it with the load tool."""
    shape = SHAPES_BY_NAME[name]
    site_file = SiteFile(
        folder / "site.toml",
        entries=shape.entries,
        engines=shape.engines,
        slots=shape.slots,
        batch=shape.batch,
        loads_per_s=shape.loads_per_s,
        regions=tuple((place.region, place.zone) for place in shape.places),
    )
    settings = site_file.path.read_text().replace("load_s = 0.1", "load_s = 0.25")
    site_file.path.write_text(settings)
    site = MeasuredSite(site_file)
    site.step_s = shape.step_s
    try:
        site.start()
        site.publish_adapters(shape.adapters - 1)
        for trace in traces:
            site.run_load_tool("run", "--trace", trace, *load_options(shape))
    finally:
        site.stop()


def measure_idle_cost(folder: Path) -> None:
    """Measure the control overhead of entries without requests, for 3 to 18 entries.

    Prints mean processor use, bytes sent to peers and memory, separately for leads and others.
    """
    rows = []
    for entries in (3, 6, 9, 18):
        site_file = SiteFile(folder / f"site{entries}.toml", entries=entries, engines=12, slots=16)
        site = MeasuredSite(site_file)
        try:
            site.start()
            time.sleep(IDLE_DURATION_S / 2)
            before = {name: read_usage(site, name) for name in site_file.entry_ports}
            time.sleep(IDLE_DURATION_S)
            after = {name: read_usage(site, name) for name in site_file.entry_ports}
        finally:
            site.stop()
        for is_lead in (False, True):
            names = [name for name in before if before[name].is_lead is is_lead]
            rows.append(
                [entries, "lead" if is_lead else "entry", *mean_usage(before, after, names)]
            )
    headers = ["entries", "role", "processor %", "sent kB/s", "resident MB"]
    print(tabulate(rows, headers, floatfmt=".2f"))


@frozen
class ProcessUsage:
    """Resource usage of an entry since its start.

    Attributes
    ----------
    is_lead : bool
        Whether the entry is the lead of any base model.
    sent_bytes : float
        Bytes sent to peers.
    resident_bytes : int
        Current resident memory.
    """

    is_lead: bool
    processor_s: float
    sent_bytes: float
    resident_bytes: int


def read_usage(site: MeasuredSite, name: str) -> ProcessUsage:
    """Read the usage of an entry from /proc and from its metrics."""
    pid = site.processes[name].pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    url = f"http://127.0.0.1:{site.file.entry_ports[name]}/metrics"
    lines = HTTP_CLIENT.request("GET", url).data.decode().splitlines()
    sent = [line for line in lines if line.startswith("poplarhoist_peer_bytes_total")]
    return ProcessUsage(
        is_lead=bool(site.read_status(name)["leads"]),
        processor_s=ticks / os.sysconf("SC_CLK_TCK"),
        sent_bytes=sum(float(line.split()[-1]) for line in sent),
        resident_bytes=pages * os.sysconf("SC_PAGE_SIZE"),
    )


def mean_usage(before: dict, after: dict, names: list[str]) -> list[float]:
    """Return mean processor use in percent, peer traffic in kB/s and memory in MB.

    The mean is over the named entries and the idle time; all are 0 if no entry is named.
    """
    count = max(1, len(names))
    cpu_s = sum(after[n].processor_s - before[n].processor_s for n in names) / count
    sent_bytes = sum(after[n].sent_bytes - before[n].sent_bytes for n in names) / count
    resident_bytes = sum(after[n].resident_bytes for n in names) / count
    return [
        100 * cpu_s / IDLE_DURATION_S,
        sent_bytes / IDLE_DURATION_S / 1000,
        resident_bytes / 1e6,
    ]


def load_options(shape) -> list[str]:
    """Return the command-line options of the load tool for the traces of a shape."""
    options = {
        "--rate": shape.arrivals_per_s,
        "--tokens": shape.mean_tokens,
        "--warm-up-s": shape.warm_up_s,
        "--seconds": shape.measured_s,
    }
    return [str(item) for pair in options.items() for item in pair]


def main(args: list[str]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        if args[:1] == ["overhead"]:
            measure_overhead(Path(folder))
        elif args[:1] == ["idle"]:
            measure_idle_cost(Path(folder))
        else:
            replay_traces(Path(folder), *args)


if __name__ == "__main__":
    main(sys.argv[1:])
