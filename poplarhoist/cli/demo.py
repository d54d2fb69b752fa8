"""``poplarhoist-demo``: a whole site in one process, and what happens on it as a short story."""

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
    """Run the demonstration; ``logs`` shows changes of state on standard error."""

    logs: bool = False


def demo(*, logs: bool = False) -> RunDemo:
    """Run a whole site in one process and tell what happens.

    Parameters
    ----------
    logs : bool
        Log changes of state to standard error.
    """
    return RunDemo(logs)


def execute(command: RunDemo, env: Environment) -> ExitStatus:
    """Run the demonstration on a site with free ports."""
    configure_logs(False, logging.INFO if command.logs else logging.CRITICAL)
    started_at = env.clock.monotonic()
    with tempfile.TemporaryDirectory() as directory:
        settings = Path(directory) / "site.toml"
        settings.write_text(settings_text(), encoding="utf-8")
        DemoScenario(settings, env).run()
    env.print(f"The demonstration took {env.clock.monotonic() - started_at:.1f} s.")
    return ExitStatus.OK


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run the program."""
    return run(PROGRAM, demo, execute, args, env)


def console() -> None:
    """Run the program from a shell."""
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == "__main__":
    console()
