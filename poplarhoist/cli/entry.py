"""``poplarhoist-entry``: runs one entry of a site."""

from poplarhoist.cli.common import configure_logs, run
from poplarhoist.cli.outcome import suppress_eventlet_warning

suppress_eventlet_warning()

import eventlet

eventlet.monkey_patch()

import sys
from collections.abc import Sequence
from pathlib import Path

from attrs import frozen

from poplarhoist.context import Environment
from poplarhoist.entry.server import EntryServer
from poplarhoist.settings.loader import find_entry, load_site
from poplarhoist.status import ExitStatus

PROGRAM = "poplarhoist-entry"


@frozen
class RunEntry:
    """Command to run one entry of a site."""

    settings: Path
    name: str
    json_logs: bool


def serve(*, settings: Path, name: str, json_logs: bool = False) -> RunEntry:
    """Run one entry until it is drained or stopped.

    Parameters
    ----------
    settings : Path
        Settings file of the site.
    name : str
        Name of this entry in the settings.
    json_logs : bool
        Log as JSON lines.
    """
    return RunEntry(settings, name, json_logs)


def execute(command: RunEntry, env: Environment) -> ExitStatus:
    """Run the entry; returns after a graceful stop."""
    configure_logs(command.json_logs)
    site = load_site(command.settings)
    EntryServer(site, find_entry(site, command.name), env).run()
    return ExitStatus.OK


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run the program with the given arguments and environment."""
    return run(PROGRAM, serve, execute, args, env)


def console() -> None:
    """Run the program as a console script."""
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == "__main__":
    console()
