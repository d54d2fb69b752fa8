"""``poplarhoist-load``: trace replay, cost measurements and load tests of running sites."""

from poplarhoist.cli.common import run
from poplarhoist.cli.outcome import suppress_eventlet_warning

suppress_eventlet_warning()

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Literal

import eventlet
from attrs import frozen

from poplarhoist.context import Environment
from poplarhoist.load.caller import CallerClient
from poplarhoist.load.comparison import compare_policies
from poplarhoist.load.comparison import table as verdict_table
from poplarhoist.load.dimensions import DIMENSIONS_BY_NAME
from poplarhoist.load.measures import table, to_json
from poplarhoist.load.openloop import OpenLoopLoad
from poplarhoist.load.overhead import EntryProcess, OverheadProbe
from poplarhoist.load.overhead import table as overhead_table
from poplarhoist.load.overhead import to_json as overhead_json
from poplarhoist.load.plot import plot_measures
from poplarhoist.load.slopes import Slope, is_growing, measure_slopes
from poplarhoist.load.slopes import table as slope_table
from poplarhoist.load.slopes import to_json as slope_json
from poplarhoist.models import EndpointKind, Place, Preset
from poplarhoist.replay.runner import POLICIES_BY_NAME
from poplarhoist.replay.runner import replay as run_trace
from poplarhoist.replay.shapes import SHAPES_BY_NAME, SiteShape
from poplarhoist.replay.traces import TRACES_BY_NAME
from poplarhoist.settings.loader import load_site
from poplarhoist.settings.models import Site
from poplarhoist.status import ExitStatus

PROGRAM = "poplarhoist-load"
ALL = "all"


@frozen
class RunReplay:
    """Command to replay traces on a virtual clock."""

    traces: tuple[str, ...]
    policies: tuple[str, ...]
    sites: tuple[str, ...]
    seed: int
    out: str


def replay(
    *,
    trace: Literal[
        "all",
        "zipf-0.8",
        "zipf-1.0",
        "zipf-1.2",
        "shift",
        "crowd",
        "restart",
        "store-slow",
        "preset",
    ] = "all",
    policy: Literal["all", "random", "lru", "rendezvous", "clairvoyant", "hoist"] = "all",
    site: Literal["all", "qasr", "tornos"] = "all",
    seed: int = 1,
    out: str = "",
) -> RunReplay:
    """Replay arrival traces through policies on a virtual clock and compare them.

    Parameters
    ----------
    trace
        Trace to replay.
    policy
        ``hoist`` runs the decisions of poplarhoist; the others are baselines.
    site
        Site whose sizes are used.
    seed : int
        Seed of the trace and of the policies.
    out : str
        File for the measures as JSON; if empty, none is written.
    """
    return RunReplay(
        traces=expand_choice(trace, TRACES_BY_NAME),
        policies=expand_choice(policy, POLICIES_BY_NAME),
        sites=expand_choice(site, SHAPES_BY_NAME),
        seed=seed,
        out=out,
    )


def expand_choice(name: str, choices: dict) -> tuple[str, ...]:
    """Return the given name, or every known name for ``all``."""
    return tuple(choices) if name == ALL else (name,)


def execute_replay(command: RunReplay, env: Environment) -> ExitStatus:
    """Replay the traces and print the measures and the verdicts on them."""
    results = []
    stationary = set()
    for site in command.sites:
        for name in command.traces:
            trace = TRACES_BY_NAME[name](SHAPES_BY_NAME[site], command.seed)
            if trace.stationary:
                stationary.add(name)
            for policy in command.policies:
                results.append(run_trace(trace, policy, command.seed, env.stderr))
    env.print(table(results))
    verdicts = compare_policies(results, stationary)
    if verdicts:
        env.print("\n" + verdict_table(verdicts))
    write_json(command.out, to_json(results))
    return ExitStatus.OK


def write_json(path: str, text: str) -> None:
    """Write a report file; does nothing if the path is empty."""
    if path:
        Path(path).write_text(text + "\n", encoding="utf-8")


@frozen
class MeasureSlopes:
    """Command to measure how costs grow with the size of a site."""

    dimensions: tuple[str, ...]
    everything: bool
    out: str


def slopes(
    *,
    dimension: Literal[
        "all", "entries", "endpoints", "adapters", "waiting", "grants", "changes", "bases"
    ] = "all",
    everything: bool = False,
    out: str = "",
) -> MeasureSlopes:
    """Measure how the time, bytes and memory of the decisions grow with the size of a site.

    Parameters
    ----------
    dimension
        The size that grows; costs are measured at three sizes or more.
    everything : bool
        Print costs that do not grow as well.
    out : str
        File for all slopes as JSON; if empty, none is written.
    """
    return MeasureSlopes(expand_choice(dimension, DIMENSIONS_BY_NAME), everything, out)


def execute_slopes(command: MeasureSlopes, env: Environment) -> ExitStatus:
    """Measure the slopes and print those that are asked for."""
    results: list[Slope] = []
    for name in command.dimensions:
        results.extend(measure_slopes(DIMENSIONS_BY_NAME[name], env.stderr))
    is_printed = (lambda slope: True) if command.everything else is_growing
    env.print(slope_table(results, is_printed))
    write_json(command.out, slope_json(results))
    return ExitStatus.OK


@frozen
class RunLoad:
    """Command to load a running site; its fields are the parameters of ``run_site``."""

    settings: Path
    token: str
    trace: str
    rate: float
    tokens: int
    warm_up_s: float
    seconds: float
    bookings: float
    seed: int
    out: str
    png: str


def run_site(
    *,
    settings: Path,
    token: str,
    trace: Literal[
        "zipf-0.8", "zipf-1.0", "zipf-1.2", "shift", "crowd", "restart", "store-slow"
    ] = "zipf-1.0",
    rate: float = 5.0,
    tokens: int = 64,
    warm_up_s: float = 10.0,
    seconds: float = 30.0,
    bookings: float = 1.0,
    seed: int = 1,
    out: str = "",
    png: str = "",
) -> RunLoad:
    """Load a running site over HTTP in an open loop, check each response and measure.

    Parameters
    ----------
    settings : Path
        Settings file of the site, whose endpoints are stand-ins.
    token : str
        Token of the caller; requests go to the adapters that it may use.
    trace
        Arrival trace.
    rate : float
        Arrivals per second outside of peaks.
    tokens : int
        Mean number of tokens per response.
    warm_up_s : float
        Seconds of load before the measurement starts.
    seconds : float
        Duration of the measurement in seconds.
    bookings : float
        Service calls per second that must not run twice.
    seed : int
        Seed of the trace.
    out : str
        File for the measures as JSON; if empty, none is written.
    png : str
        File for a plot; if empty, none is written.
    """
    return RunLoad(
        settings, token, trace, rate, tokens, warm_up_s, seconds, bookings, seed, out, png
    )


def execute_run(command: RunLoad, env: Environment) -> ExitStatus:
    """Load the site and print the measures; ERROR if a response was wrong, lost or doubled."""
    site = load_site(command.settings)
    client = CallerClient(env.clock, command.token, entry_urls(site))
    shape = site_shape(site, len(client.list_models()), command)
    trace = TRACES_BY_NAME[command.trace](shape, command.seed)
    loop = OpenLoopLoad(site, client, env.clock, trace, command.bookings, command.seed, env.stderr)
    measures = loop.run()
    env.print(table([measures]))
    write_json(command.out, to_json([measures]))
    if command.png:
        plot_measures([measures], Path(command.png))
    fault_count = measures.wrong + measures.lost + measures.doubled
    return ExitStatus.ERROR if fault_count else ExitStatus.OK


def site_shape(site: Site, adapters: int, command: RunLoad) -> SiteShape:
    """Return the sizes of a running site with the requested load.

    Slots and batch size are those of the first engine; the site has to have one.
    """
    engines = [e for e in site.endpoints if e.kind is EndpointKind.ENGINE]
    return SiteShape(
        name=site.name,
        entries=len(site.entries),
        engines=len(engines),
        places=tuple({Place(entry.region, entry.zone): None for entry in site.entries}),
        loads_per_s=site.store.loads_per_s,
        arrivals_per_s=command.rate,
        mean_tokens=command.tokens,
        preset=Preset("ordinary"),
        slots=engines[0].slots,
        batch=engines[0].batch,
        adapters=adapters,
        warm_up_s=command.warm_up_s,
        measured_s=command.seconds,
    )


@frozen
class MeasureOverhead:
    """Command to measure the overhead of the first entry of a running site."""

    settings: Path
    token: str
    pid: int
    seconds: float
    stream_tokens: int
    memory_only: bool
    out: str


def overhead(
    *,
    settings: Path,
    token: str,
    pid: int,
    seconds: float = 20.0,
    stream_tokens: int = 600,
    memory_only: bool = False,
    out: str = "",
) -> MeasureOverhead:
    """Measure requests per second, added latency, CPU time and memory of one entry.

    Parameters
    ----------
    settings : Path
        Settings file of the running site, whose endpoints are stand-ins.
    token : str
        Token of the caller.
    pid : int
        Process id of the first entry in the settings.
    seconds : float
        Duration of each throughput and latency measurement.
    stream_tokens : int
        Number of tokens per streamed response.
    memory_only : bool
        Measure the resident memory only.
    out : str
        File for the figures as JSON; if empty, none is written.
    """
    return MeasureOverhead(settings, token, pid, seconds, stream_tokens, memory_only, out)


def execute_overhead(command: MeasureOverhead, env: Environment) -> ExitStatus:
    """Measure the overhead of the first entry and print the figures."""
    site = load_site(command.settings)
    client = CallerClient(env.clock, command.token, entry_urls(site)[:1])
    process = EntryProcess(command.pid)
    probe = OverheadProbe(site, client, env.clock, process, command.seconds, command.stream_tokens)
    figures = probe.measure_memory() if command.memory_only else probe.run()
    env.print(overhead_table(figures))
    write_json(command.out, overhead_json(figures))
    return ExitStatus.OK


def entry_urls(site: Site) -> tuple[str, ...]:
    """Return the base URLs of a site's entries."""
    return tuple(f"http://{entry.host}:{entry.port}" for entry in site.entries)


COMMANDS = {"run": run_site, "overhead": overhead, "replay": replay, "slopes": slopes}
EXECUTORS = {
    RunReplay: execute_replay,
    MeasureSlopes: execute_slopes,
    RunLoad: execute_run,
    MeasureOverhead: execute_overhead,
}


def execute(command: object, env: Environment) -> ExitStatus:
    """Execute a command."""
    return EXECUTORS[type(command)](command, env)


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run the program with the given arguments and environment."""
    return run(PROGRAM, COMMANDS, execute, args, env)


def console() -> None:
    """Run the program as a console script."""
    eventlet.monkey_patch()
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == "__main__":
    console()
