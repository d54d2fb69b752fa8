"""Runs a gateway entry on the platform it is deployed on: ``python -m poplarhoist.platform``.

With ``--check`` it only reads the settings and reports their faults.
"""

import signal

# SIGHUP asks for the settings to be read again, and would end the process until its handler is set.
# Ignoring it until then loses nothing: the settings are read later, and once more when the handler
# is set.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import os

from poplarhoist.cli.outcome import run_with_exit_status, suppress_eventlet_warning

suppress_eventlet_warning()
# The platform gives addresses only. Without eventlet's resolver of names a start takes a quarter less.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

import eventlet

eventlet.monkey_patch()

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

from poplarhoist.clock import SuspendAwareClock
from poplarhoist.context import Environment
from poplarhoist.gateway import logs
from poplarhoist.gateway.server import GatewayServer
from poplarhoist.gateway.settings import load_settings
from poplarhoist.platform.dialect import PlatformDialect
from poplarhoist.platform.store import ObjectStore
from poplarhoist.status import ExitStatus

PROGRAM = "poplarhoist.platform"
# Environment variable with the path of the settings file.
SETTINGS_PATH_VARIABLE = "POPLARHOIST_BOOT"


def parse_arguments(args: Sequence[str]) -> argparse.Namespace:
    """Parse the arguments.

    Raises
    ------
    SystemExit
        If they are invalid or help was requested.
    """
    # Not defopt, as it loads modules that an entry does not use.
    parser = argparse.ArgumentParser(
        prog=PROGRAM,
        description=f"Run one entry by the settings file that {SETTINGS_PATH_VARIABLE} names.",
    )
    parser.add_argument("--check", action="store_true", help="only check the settings file")
    return parser.parse_args(args)


def serve(env: Environment, only_check: bool) -> ExitStatus:
    """Build the gateway from its settings and serve until a graceful stop is complete.

    Parameters
    ----------
    only_check : bool
        Return once the settings are read, if they have no faults.
    """
    path = Path(env.variables.get(SETTINGS_PATH_VARIABLE, ""))
    settings = load_settings(path)
    if only_check:
        env.print(f"entry {settings.name}, zone {settings.zone}: ok")
        return ExitStatus.OK
    clock = SuspendAwareClock()
    log = logs.BoundedLog(clock)
    logs.configure_structlog(log)
    store = ObjectStore(settings.store, clock)
    server = GatewayServer(
        settings, PlatformDialect(), store, clock, log, lambda: load_settings(path)
    )
    store.metrics = server.metrics
    server.run()
    return ExitStatus.OK


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run the program; the environment names its settings file."""
    return run_with_exit_status(PROGRAM, env, lambda: serve(env, parse_arguments(args).check))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], Environment()))
