"""``poplarhoist-demo``: runs a demonstration scenario on a whole site in one process."""

from poplarhoist.cli.common import configure_logs, run
from poplarhoist.cli.outcome import suppress_eventlet_warning

suppress_eventlet_warning()

import eventlet

eventlet.monkey_patch()

import logging
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

from attrs import frozen

from poplarhoist.context import Environment
from poplarhoist.demo.scenario import DemoScenario
from poplarhoist.demo.site import settings_text
from poplarhoist.status import ExitStatus

PROGRAM = "poplarhoist-demo"


@frozen
class RunDemo:
    """Command to run the demonstration; ``logs`` turns on the log on standard error."""

    logs: bool = False


def demo(*, logs: bool = False) -> RunDemo:
    """Run a whole site in one process and print each step of a scenario.

    Parameters
    ----------
    logs : bool
        Log state changes to standard error.
    """
    return RunDemo(logs)


def execute(command: RunDemo, env: Environment) -> ExitStatus:
    """Run the demonstration on free ports, with its settings in a temporary directory."""
    configure_logs(False, logging.INFO if command.logs else logging.CRITICAL)
    started_at = env.clock.monotonic()
    with tempfile.TemporaryDirectory() as directory:
        settings = Path(directory) / "site.toml"
        settings.write_text(settings_text(), encoding="utf-8")
        DemoScenario(settings, env).run()
    env.print(f"The demonstration took {env.clock.monotonic() - started_at:.1f} s.")
    return ExitStatus.OK


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run the program with the given arguments and environment."""
    return run(PROGRAM, demo, execute, args, env)


def console() -> None:
    """Run the program as a console script."""
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == "__main__":
    console()
