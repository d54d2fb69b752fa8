"""Shared by the programs: parsing and execution of commands, and logging setup."""

import logging
import sys
from collections.abc import Callable, Sequence
from contextlib import redirect_stderr, redirect_stdout

import defopt
import structlog

from poplarhoist.cli.outcome import run_with_exit_status
from poplarhoist.context import Environment
from poplarhoist.status import ExitStatus


def parse_command(commands: object, args: Sequence[str], program: str) -> object:
    """Parse the arguments into a command.

    Parameters
    ----------
    commands : object
        Functions or classes of the commands, in a form that defopt accepts.

    Raises
    ------
    SystemExit
        If the arguments are invalid or help was requested; defopt has printed the usage then.
    """
    return defopt.run(commands, argv=list(args), short={}, argparse_kwargs={"prog": program})


def run(
    program: str,
    commands: object,
    execute: Callable[[object, Environment], ExitStatus],
    args: Sequence[str],
    env: Environment,
) -> ExitStatus:
    """Parse the arguments and execute the command; errors become messages and an exit status."""

    def parse_and_execute() -> ExitStatus:
        with redirect_stdout(env.stdout), redirect_stderr(env.stderr):
            command = parse_command(commands, args, program)
        return execute(command, env)

    return run_with_exit_status(program, env, parse_and_execute)


def configure_logs(json_lines: bool, level: int = logging.INFO) -> None:
    """Configure logging to standard error, as JSON lines or as text for a console."""
    renderers = (
        [structlog.processors.format_exc_info, structlog.processors.JSONRenderer()]
        if json_lines
        else [structlog.dev.ConsoleRenderer(colors=False)]
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            *renderers,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
