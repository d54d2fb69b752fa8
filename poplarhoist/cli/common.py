"""What the programs share: running a command, and errors for people."""

import logging
import sys
import warnings
from collections.abc import Callable, Sequence
from contextlib import redirect_stderr, redirect_stdout

import defopt
import structlog

from poplarhoist.context import Environment
from poplarhoist.errors import (
    ConflictError,
    EntryError,
    NotFoundError,
    PlatformError,
    PoplarhoistError,
    SettingsError,
    UnsettledError,
)
from poplarhoist.status import ExitStatus

STATUS_BY_ERROR = {
    SettingsError: ExitStatus.USAGE,
    ConflictError: ExitStatus.CONFLICT,
    PlatformError: ExitStatus.UNAVAILABLE,
    EntryError: ExitStatus.UNAVAILABLE,
    NotFoundError: ExitStatus.NOT_FOUND,
    UnsettledError: ExitStatus.UNSETTLED,
}


def quiet_eventlet() -> None:
    """Filter the one warning by which eventlet says that it is deprecated."""
    warnings.filterwarnings("ignore", message=r"(?s).*Eventlet is deprecated.*")


def parse(commands: object, args: Sequence[str], program: str) -> object:
    """Return the command that the arguments describe.

    Raises
    ------
    SystemExit
        If the arguments are not usable; the usage was printed then.
    """
    return defopt.run(commands, argv=list(args), short={}, argparse_kwargs={"prog": program})


def run(
    program: str,
    commands: object,
    execute: Callable[[object, Environment], ExitStatus],
    args: Sequence[str],
    env: Environment,
) -> ExitStatus:
    """Parse arguments, execute the command and turn errors into lines for people."""
    try:
        with redirect_stdout(env.stdout), redirect_stderr(env.stderr):
            command = parse(commands, args, program)
        return execute(command, env)
    except SystemExit as stop:
        return ExitStatus.OK if not stop.code else ExitStatus.USAGE
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    except ExceptionGroup as group:
        for error in group.exceptions:
            env.fail(program, str(error))
        return status_of(group.exceptions[0])
    except PoplarhoistError as error:
        env.fail(program, str(error))
        return status_of(error)
    except OSError as error:
        env.fail(program, str(error))
        return ExitStatus.ERROR


def status_of(error: BaseException) -> ExitStatus:
    """Return the exit status for an error."""
    return STATUS_BY_ERROR.get(type(error), ExitStatus.ERROR)


def configure_logs(json_lines: bool, level: int = logging.INFO) -> None:
    """Log changes of state to standard error, as JSON or for a console."""
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
