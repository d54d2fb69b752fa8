"""Runs a gateway entry on the platform it is deployed on: ``python -m poplarhoist.platform``."""

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

import sys
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


def serve(env: Environment) -> ExitStatus:
    """Build the gateway from its settings and serve until a graceful stop is complete."""
    path = Path(env.variables.get(SETTINGS_PATH_VARIABLE, ""))
    settings = load_settings(path)
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


def main(env: Environment) -> ExitStatus:
    """Run the program; it takes no arguments, since the environment names its settings file."""
    return run_with_exit_status(PROGRAM, env, lambda: serve(env))


if __name__ == "__main__":
    sys.exit(main(Environment()))
