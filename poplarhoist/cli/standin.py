"""``poplarhoist-standin``: runs stand-ins for the platform, the engines and the services."""

from poplarhoist.cli.common import run
from poplarhoist.cli.outcome import suppress_eventlet_warning

suppress_eventlet_warning()

import eventlet

eventlet.monkey_patch()

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NoReturn

from attrs import frozen

from poplarhoist.context import Environment
from poplarhoist.settings.loader import find_endpoint, load_site
from poplarhoist.standins.engine import EngineStandin
from poplarhoist.standins.platform import PlatformStandin
from poplarhoist.standins.service import ServiceStandin
from poplarhoist.standins.site import StandinSite
from poplarhoist.standins.store import HttpWeightSource
from poplarhoist.standins.web import serve_forever
from poplarhoist.status import ExitStatus

PROGRAM = "poplarhoist-standin"
SLEEP_S = 3600.0


@frozen
class RunPlatform:
    """Command to run the stand-in of the platform."""

    settings: Path


@frozen
class RunEngine:
    """Command to run a stand-in engine; ``step_s`` is the duration of a step in seconds."""

    settings: Path
    name: str
    step_s: float


@frozen
class RunService:
    """Command to run a stand-in service."""

    settings: Path
    name: str


@frozen
class RunSite:
    """Command to run all stand-ins of a site; ``step_s`` is the duration of a step in seconds."""

    settings: Path
    step_s: float


def platform(*, settings: Path) -> RunPlatform:
    """Run the stand-in of the platform.

    Parameters
    ----------
    settings : Path
        Settings file of the site.
    """
    return RunPlatform(settings)


def engine(*, settings: Path, name: str, step_s: float = 0.02) -> RunEngine:
    """Run a stand-in engine.

    Parameters
    ----------
    settings : Path
        Settings file of the site.
    name : str
        Name of the endpoint in the settings.
    step_s : float
        Duration of one step of the batch in seconds.
    """
    return RunEngine(settings, name, step_s)


def service(*, settings: Path, name: str) -> RunService:
    """Run a stand-in service.

    Parameters
    ----------
    settings : Path
        Settings file of the site.
    name : str
        Name of the endpoint in the settings.
    """
    return RunService(settings, name)


def site(*, settings: Path, step_s: float = 0.02) -> RunSite:
    """Run all stand-ins of a site in one process.

    Parameters
    ----------
    settings : Path
        Settings file of the site.
    step_s : float
        Duration of one step of an engine's batch in seconds.
    """
    return RunSite(settings, step_s)


def execute(command: object, env: Environment) -> ExitStatus:
    """Run a stand-in until the process is terminated."""
    settings = load_site(command.settings)
    if isinstance(command, RunSite):
        StandinSite(settings, env.clock, command.step_s).start()
        return sleep_forever()
    if isinstance(command, RunPlatform):
        standin = PlatformStandin(settings, env.clock)
        serve_forever(standin.app, settings.platform.host, settings.platform.port, "platform")
        return ExitStatus.OK
    endpoint = find_endpoint(settings, command.name)
    if isinstance(command, RunEngine):
        store = HttpWeightSource(settings.platform)
        EngineStandin(endpoint, store, env.clock, command.step_s).start()
    else:
        ServiceStandin(endpoint).start()
    return sleep_forever()


def sleep_forever() -> NoReturn:
    """Let the green threads run until the process is terminated."""
    while True:
        eventlet.sleep(SLEEP_S)


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run the program with the given arguments and environment."""
    return run(PROGRAM, [platform, engine, service, site], execute, args, env)


def console() -> None:
    """Run the program as a console script."""
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == "__main__":
    console()
