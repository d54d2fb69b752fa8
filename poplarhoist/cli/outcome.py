"""Error messages and exit statuses of the programs."""

import warnings
from collections.abc import Callable

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

EXIT_STATUS_BY_ERROR = {
    SettingsError: ExitStatus.USAGE,
    ConflictError: ExitStatus.CONFLICT,
    PlatformError: ExitStatus.UNAVAILABLE,
    EntryError: ExitStatus.UNAVAILABLE,
    NotFoundError: ExitStatus.NOT_FOUND,
    UnsettledError: ExitStatus.UNSETTLED,
}


def suppress_eventlet_warning() -> None:
    """Suppress the deprecation warning of eventlet; call this before the first import of it."""
    warnings.filterwarnings("ignore", message=r"(?s).*Eventlet is deprecated.*")


def run_with_exit_status(
    program: str, env: Environment, call: Callable[[], ExitStatus]
) -> ExitStatus:
    """Make a call; print its errors to standard error and return the exit status.

    For an exception group, each error is printed and the first one determines the status.
    """
    try:
        return call()
    except SystemExit as stop:
        return ExitStatus.OK if not stop.code else ExitStatus.USAGE
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    except ExceptionGroup as group:
        for error in group.exceptions:
            env.print_error(program, str(error))
        return exit_status_of(group.exceptions[0])
    except PoplarhoistError as error:
        env.print_error(program, str(error))
        return exit_status_of(error)
    except OSError as error:
        env.print_error(program, str(error))
        return ExitStatus.ERROR


def exit_status_of(error: BaseException) -> ExitStatus:
    """Return the exit status of an error; ERROR for types without a status of their own."""
    return EXIT_STATUS_BY_ERROR.get(type(error), ExitStatus.ERROR)
