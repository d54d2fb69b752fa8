"""Site of the demonstration: stand-ins and entries on loopback, as green threads."""

import contextlib
import random
import socket
from pathlib import Path

import eventlet

from poplarhoist.context import Environment
from poplarhoist.entry.server import EntryServer
from poplarhoist.models import Instance
from poplarhoist.settings.loader import load_site, to_instance
from poplarhoist.standins.site import StandinSite

HOST = "127.0.0.1"
ZONE_BY_ENTRY = {"entry-1": "east-a", "entry-2": "east-b", "entry-3": "west-a"}
ZONE_BY_ENGINE = {"engine-1": "east-a", "engine-2": "east-b", "engine-3": "west-a"}
SERVICE_NAME = "booking-1"
REGION_BY_ZONE = {"east-a": "east", "east-b": "east", "west-a": "west"}
SLOTS = 4
BATCH = 4
STEP_S = 0.01
READY_TIMEOUT_S = 10.0
# Ports below those of outgoing connections, and how many of them are tried.
FIRST_PORT, LAST_PORT = 10240, 32000
MAX_TRIED_PORTS = 500
POLL_INTERVAL_S = 0.02


def free_ports(count: int) -> list[int]:
    """Return ports on loopback that are free at the time of the call.

    The system gives none of them to outgoing connections, which could have the port of an engine
    when it starts again.
    """
    candidates = random.sample(range(FIRST_PORT, LAST_PORT), MAX_TRIED_PORTS)
    ports: list[int] = []
    for port in candidates:
        if len(ports) == count:
            break
        with contextlib.suppress(OSError), socket.create_server((HOST, port)):
            ports.append(port)
    return ports


def settings_text() -> str:
    """Return the settings file of the site as TOML, with free ports."""
    ports = iter(free_ports(len(ZONE_BY_ENTRY) + len(ZONE_BY_ENGINE) + 2))
    sections = [
        f'name = "demo"\n[platform]\nhost = "{HOST}"\nport = {next(ports)}',
        '[interfaces]\npeer_key = "key-of-the-demo"\noperator_key = "operator-of-the-demo"',
        "[store]\nloads_per_s = 8.0\nload_s = 0.1",
        '[[services]]\nname = "booking"',
        'routes = [{ method = "POST", path = "/crews", repeat = false }]',
    ]
    for name, zone in ZONE_BY_ENTRY.items():
        sections.append(process_table("entries", name, zone, next(ports)))
    for name, zone in ZONE_BY_ENGINE.items():
        engine = f'kind = "engine"\nserves = "base"\nslots = {SLOTS}\nbatch = {BATCH}'
        sections.append(process_table("endpoints", name, zone, next(ports), engine))
    service = 'kind = "service"\nserves = "booking"'
    sections.append(process_table("endpoints", SERVICE_NAME, "east-a", next(ports), service))
    return "\n".join(sections) + "\n"


def process_table(kind: str, name: str, zone: str, port: int, extra: str = "") -> str:
    """Return the settings table of one process; ``extra`` holds further lines of it."""
    location = f'region = "{REGION_BY_ZONE[zone]}"\nzone = "{zone}"'
    return f'[[{kind}]]\nname = "{name}"\n{location}\nhost = "{HOST}"\nport = {port}\n{extra}'


class DemoSite:
    """Runs the stand-ins and the entries of the site."""

    def __init__(self, settings: Path, env: Environment) -> None:
        self.env = env
        self.settings = load_site(settings)
        self.standins = StandinSite(self.settings, env.clock, STEP_S)
        self.entries: dict[str, EntryServer] = {}

    def start_standins(self) -> None:
        """Start the platform, the engines and the service."""
        self.standins.start()

    def start_entries(self) -> None:
        """Start the entries and wait until all of them are ready.

        Raises
        ------
        TimeoutError
            If an entry is not ready within ``READY_TIMEOUT_S``.
        """
        for entry in self.settings.entries:
            server = EntryServer(self.settings, to_instance(entry), self.env)
            self.entries[entry.name] = server
            server.start()
        self.wait_until(lambda: all(map(is_ready, self.entries.values())), "entries are ready")

    def wait_until(self, condition, description: str) -> None:
        """Wait until a condition holds.

        Raises
        ------
        TimeoutError
            If it does not hold within ``READY_TIMEOUT_S``; the message is the description.
        """
        with eventlet.Timeout(READY_TIMEOUT_S, TimeoutError(description)):
            while not condition():
                eventlet.sleep(POLL_INTERVAL_S)

    def url(self, entry: str) -> str:
        """Return the base URL of an entry."""
        instance: Instance = self.entries[entry].core.state.me
        return f"http://{instance.host}:{instance.port}"


def is_ready(server: EntryServer) -> bool:
    """Return whether an entry has its configuration and knows a lead."""
    state = server.core.state
    return state.config.index is not None and any(
        view.holder for view in state.leadership.leases_by_base.values()
    )
