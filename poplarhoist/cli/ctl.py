"""``poplarhoist-ctl``: command-line tool for operators."""

from poplarhoist.cli.common import run
from poplarhoist.cli.outcome import suppress_eventlet_warning

suppress_eventlet_warning()

import sys
from collections.abc import Sequence

import eventlet

from poplarhoist.context import Environment
from poplarhoist.ctl import changes, views
from poplarhoist.ctl.arguments import COMMANDS, Trace
from poplarhoist.ctl.session import OperatorSession
from poplarhoist.ctl.trace import trace_request
from poplarhoist.status import ExitStatus

PROGRAM = "poplarhoist-ctl"
HANDLERS = {**changes.HANDLERS, **views.HANDLERS}


def execute(command: object, env: Environment) -> ExitStatus:
    """Execute a command against the site of its settings file."""
    if isinstance(command, Trace):
        # Trace reads log files only and has no settings file.
        return trace_request(env, command)
    return HANDLERS[type(command)](OperatorSession(command, env), command)


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run the program with the given arguments and environment."""
    return run(PROGRAM, COMMANDS, execute, args, env)


def console() -> None:
    """Run the program as a console script."""
    # The limit on the duration of a call is a timer, which runs in a green thread.
    eventlet.monkey_patch()
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == "__main__":
    console()
