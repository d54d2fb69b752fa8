"""Runs an entry on the users' platform: ``python -m poplarhoist.platform``."""

import signal

# Until the handlers are set a signal to read the settings again would end the process. Its settings
# are read later, and once more when the handlers are set.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from poplarhoist.cli.outcome import run_with_exit_status, suppress_eventlet_warning

suppress_eventlet_warning()

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
SETTINGS_PATH_VARIABLE = "POPLARHOIST_BOOT"


def serve(env: Environment) -> ExitStatus:
    """Serve callers until a graceful stop."""
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
    """Run the program; its settings are named by the environment, so it takes no arguments."""
    return run_with_exit_status(PROGRAM, env, lambda: serve(env))


if __name__ == "__main__":
    sys.exit(main(Environment()))
