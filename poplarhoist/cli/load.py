"""``poplarhoist-load``: replays traces through the decisions, and loads running sites."""

from poplarhoist.cli.common import quiet_eventlet, run

quiet_eventlet()

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Literal

from attrs import frozen

from poplarhoist.context import Environment
from poplarhoist.load.dimensions import DIMENSIONS_BY_NAME
from poplarhoist.load.measures import table, to_json
from poplarhoist.load.slopes import Slope, grows, measure
from poplarhoist.load.slopes import table as slope_table
from poplarhoist.load.slopes import to_json as slope_json
from poplarhoist.replay.runner import POLICIES_BY_NAME
from poplarhoist.replay.runner import replay as run_trace
from poplarhoist.replay.shapes import SHAPES_BY_NAME
from poplarhoist.replay.traces import TRACES_BY_NAME
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
    for site in command.sites:
        for name in command.traces:
            trace = TRACES_BY_NAME[name](SHAPES_BY_NAME[site], command.seed)
            for policy in command.policies:
                found.append(run_trace(trace, policy, command.seed, env.stderr))
    env.print(table(found))
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
        found.extend(measure(DIMENSIONS_BY_NAME[name], env.stderr))
    wanted = (lambda slope: True) if command.everything else grows
    env.print(slope_table(found, wanted))
    write_json(command.out, slope_json(found))
    return ExitStatus.OK


EXECUTORS = {Replay: execute_replay, Slopes: execute_slopes}


def execute(command: object, env: Environment) -> ExitStatus:
    """Run a command."""
    return EXECUTORS[type(command)](command, env)


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run the program."""
    return run(PROGRAM, [replay, slopes], execute, args, env)


def console() -> None:
    """Run the program from a shell."""
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == "__main__":
    console()
