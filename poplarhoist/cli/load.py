"""``poplarhoist-load``: replays traces through the decisions, and loads running sites."""

from poplarhoist.cli.common import run
from poplarhoist.cli.outcome import quiet_eventlet

quiet_eventlet()

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
class Replay:
    """Replay traces on the virtual clock."""

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
) -> Replay:
    """Replay arrival traces through policies on a virtual clock and compare them.

    Parameters
    ----------
    trace
        Trace to replay.
    policy
        ``hoist`` is the product's own decisions; the others are baselines.
    site
        Site of which the sizes are taken.
    seed : int
        Seed of the trace and of the policies.
    out : str
        File for the measures as JSON; none if empty.
    """
    return Replay(
        traces=chosen(trace, TRACES_BY_NAME),
        policies=chosen(policy, POLICIES_BY_NAME),
        sites=chosen(site, SHAPES_BY_NAME),
        seed=seed,
        out=out,
    )


def chosen(name: str, known: dict) -> tuple[str, ...]:
    """Return one name, or all that are known."""
    return tuple(known) if name == ALL else (name,)


def execute_replay(command: Replay, env: Environment) -> ExitStatus:
    """Replay and print the table."""
    found = []
    stationary = set()
    for site in command.sites:
        for name in command.traces:
            trace = TRACES_BY_NAME[name](SHAPES_BY_NAME[site], command.seed)
            if trace.stationary:
                stationary.add(name)
            for policy in command.policies:
                found.append(run_trace(trace, policy, command.seed, env.stderr))
    env.print(table(found))
    verdicts = compare_policies(found, stationary)
    if verdicts:
        env.print("\n" + verdict_table(verdicts))
    write_json(command.out, to_json(found))
    return ExitStatus.OK


def write_json(path: str, text: str) -> None:
    """Write a report file, if one is asked for."""
    if path:
        Path(path).write_text(text + "\n", encoding="utf-8")


@frozen
class Slopes:
    """Measure how costs grow with the size of a site."""

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
) -> Slopes:
    """Measure what the decisions cost in time, bytes and memory, and how that grows.

    Parameters
    ----------
    dimension
        What grows: its cost is measured at three sizes or more.
    everything : bool
        Print also what does not grow.
    out : str
        File for all slopes as JSON; none if empty.
    """
    return Slopes(chosen(dimension, DIMENSIONS_BY_NAME), everything, out)


def execute_slopes(command: Slopes, env: Environment) -> ExitStatus:
    """Measure and print the table."""
    found: list[Slope] = []
    for name in command.dimensions:
        found.extend(measure_slopes(DIMENSIONS_BY_NAME[name], env.stderr))
    wanted = (lambda slope: True) if command.everything else is_growing
    env.print(slope_table(found, wanted))
    write_json(command.out, slope_json(found))
    return ExitStatus.OK


@frozen
class Run:
    """Load a running site."""

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
) -> Run:
    """Load a running site open-loop over HTTP, check each answer and measure.

    Parameters
    ----------
    settings : Path
        Settings file of the site, whose endpoints are stand-ins.
    token : str
        Token of the caller; its adapters are asked for.
    trace
        Kind of the arrivals.
    rate : float
        Ordinary arrivals a second.
    tokens : int
        Mean tokens of an answer.
    warm_up_s : float
        Seconds of load before those that are measured.
    seconds : float
        Seconds that are measured.
    bookings : float
        Calls a second that must not repeat.
    seed : int
        Seed of the trace.
    out : str
        File for the measures as JSON; none if empty.
    png : str
        File for a plot; none if empty.
    """
    return Run(settings, token, trace, rate, tokens, warm_up_s, seconds, bookings, seed, out, png)


def execute_run(command: Run, env: Environment) -> ExitStatus:
    """Load the site and print the table; fails if an answer was wrong, lost or doubled."""
    site = load_site(command.settings)
    client = CallerClient(env.clock, command.token, urls_of(site))
    shape = shape_of(site, len(client.list_models()), command)
    trace = TRACES_BY_NAME[command.trace](shape, command.seed)
    loop = OpenLoopLoad(site, client, env.clock, trace, command.bookings, command.seed, env.stderr)
    measures = loop.run()
    env.print(table([measures]))
    write_json(command.out, to_json([measures]))
    if command.png:
        plot_measures([measures], Path(command.png))
    faults = measures.wrong + measures.lost + measures.doubled
    return ExitStatus.ERROR if faults else ExitStatus.OK


def shape_of(site: Site, adapters: int, command: Run) -> SiteShape:
    """Return the sizes of a running site and the load that is asked for."""
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
    """Measure what the first entry of a running site adds."""

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
    """Measure requests a second, added latency, processor time and memory of one entry.

    Parameters
    ----------
    settings : Path
        Settings file of the running site, whose endpoints are stand-ins.
    token : str
        Token of the caller.
    pid : int
        Process id of the first entry of the settings.
    seconds : float
        Length of each of the measurements of throughput and of latency.
    stream_tokens : int
        Length of each streamed answer.
    memory_only : bool
        Measure only the resident memory.
    out : str
        File for the figures as JSON; none if empty.
    """
    return MeasureOverhead(settings, token, pid, seconds, stream_tokens, memory_only, out)


def execute_overhead(command: MeasureOverhead, env: Environment) -> ExitStatus:
    """Measure and print the table."""
    site = load_site(command.settings)
    client = CallerClient(env.clock, command.token, urls_of(site)[:1])
    process = EntryProcess(command.pid)
    probe = OverheadProbe(site, client, env.clock, process, command.seconds, command.stream_tokens)
    figures = probe.measure_memory() if command.memory_only else probe.run()
    env.print(overhead_table(figures))
    write_json(command.out, overhead_json(figures))
    return ExitStatus.OK


def urls_of(site: Site) -> tuple[str, ...]:
    """Return the addresses of a site's entries."""
    return tuple(f"http://{entry.host}:{entry.port}" for entry in site.entries)


COMMANDS = {"run": run_site, "overhead": overhead, "replay": replay, "slopes": slopes}
EXECUTORS = {
    Replay: execute_replay,
    Slopes: execute_slopes,
    Run: execute_run,
    MeasureOverhead: execute_overhead,
}


def execute(command: object, env: Environment) -> ExitStatus:
    """Run a command."""
    return EXECUTORS[type(command)](command, env)


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run the program."""
    return run(PROGRAM, COMMANDS, execute, args, env)


def console() -> None:
    """Run the program from a shell."""
    eventlet.monkey_patch()
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == "__main__":
    console()
