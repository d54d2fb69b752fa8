"""Runs a small site as separate processes on the loopback interface."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import urllib3

from poplarhoist.entry.platform import HttpPlatform, token_digest
from poplarhoist.models import Adapter, Caller, ConfigIndex, Preset, VersionState
from poplarhoist.publish import Draft, Publisher
from poplarhoist.settings.models import PlatformSettings
from tests.ports import free_ports
from tests.relay import Relay

ROOT = Path(__file__).resolve().parent.parent
PEER_KEY = "peer-key-of-tests"
OPERATOR_KEY = "operator-key-of-tests"
TOKEN = "token-of-a-family"
READY_TIMEOUT_S = 20.0
CONTROL_CLIENT = urllib3.PoolManager(
    retries=urllib3.Retry(connect=8, read=0, backoff_factor=0.05), headers={"Connection": "close"}
)
HTTP_CLIENT = urllib3.PoolManager(retries=False, timeout=30.0, maxsize=32)


def wait_until(condition, timeout_s: float = READY_TIMEOUT_S, what: str = "condition"):
    """Return the first true value of a condition, polled every 20 ms; fail after the timeout."""
    deadline_at = time.monotonic() + timeout_s
    while time.monotonic() < deadline_at:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"{what} did not come true in {timeout_s} s")


def published_adapter(name: str, *versions: int) -> Adapter:
    """Return an adapter with published versions, the last one current."""
    states = {str(version): VersionState.PUBLISHED for version in versions}
    return Adapter(name, "base", states, versions[-1])


class SiteFile:
    """Writes the settings file of a test site with free ports.

    Parameters
    ----------
    slots, batch : int
        Adapter slots and batch size of each engine.
    loads_per_s : float
        Adapter loads per second that the weight store allows.
    regions : tuple
        Pairs of region and availability zone, assigned to entries and to engines in turn.
    read_s : float
        Longest time for a caller to send a request or take a part of an answer, in seconds.
    extra : str
        Further settings as TOML.
    """

    def __init__(
        self,
        path: Path,
        entries: int = 2,
        engines: int = 2,
        slots: int = 4,
        batch: int = 8,
        checks_fencing: bool = True,
        loads_per_s: float = 20.0,
        regions: tuple[tuple[str, str], ...] = (("r1", "r1-a"),),
        read_s: float = 20.0,
        extra: str = "",
    ) -> None:
        ports = iter(free_ports(entries + engines + 2))
        self.path = path
        self.platform_port = next(ports)
        self.entry_ports = {f"entry-{n}": next(ports) for n in range(1, entries + 1)}
        self.engine_ports = {f"engine-{n}": next(ports) for n in range(1, engines + 1)}
        self.service_port = next(ports)
        lines = [
            'name = "test"',
            f'[platform]\nhost = "127.0.0.1"\nport = {self.platform_port}',
            f'[interfaces]\npeer_key = "{PEER_KEY}"\noperator_key = "{OPERATOR_KEY}"\nread_s = {read_s}',
            f"[store]\nloads_per_s = {loads_per_s}\nload_s = 0.1",
        ]
        for number, (name, port) in enumerate(self.entry_ports.items()):
            region, zone = regions[number % len(regions)]
            lines.append(
                f'[[entries]]\nname = "{name}"\nregion = "{region}"\nzone = "{zone}"\n'
                f'host = "127.0.0.1"\nport = {port}'
            )
        for number, (name, port) in enumerate(self.engine_ports.items()):
            region, zone = regions[number % len(regions)]
            lines.append(
                f'[[endpoints]]\nname = "{name}"\nkind = "engine"\nserves = "base"\n'
                f'region = "{region}"\nzone = "{zone}"\nhost = "127.0.0.1"\nport = {port}\n'
                f"slots = {slots}\nbatch = {batch}\nchecks_fencing = {str(checks_fencing).lower()}"
            )
        region, zone = regions[0]
        lines.append(
            f'[[endpoints]]\nname = "booking-1"\nkind = "service"\nserves = "booking"\n'
            f'region = "{region}"\nzone = "{zone}"\nhost = "127.0.0.1"\nport = {self.service_port}'
        )
        lines.append(
            '[[services]]\nname = "booking"\n'
            'routes = [{method = "POST", path = "/book", repeat = false},'
            ' {method = "GET", path = "/", repeat = true}]'
        )
        path.write_text("\n".join([*lines, extra]) + "\n")


class RunningSite:
    """Starts, controls and stops the processes of a test site.

    Attributes
    ----------
    processes : dict
        The latest process by name: an entry, an endpoint, "platform" or "load".
    relays : dict
        Relays by (client, target): the process whose settings point to the relay, and the
        process to which it forwards.
    """

    def __init__(self, file: SiteFile) -> None:
        self.file = file
        self.processes: dict[str, subprocess.Popen] = {}
        self.relays: dict[tuple[str, str], Relay] = {}

    def spawn(self, name: str, program: str, *args: str) -> subprocess.Popen:
        """Start a program of ``poplarhoist.cli``; its output is appended to a log file."""
        command = [sys.executable, "-m", f"poplarhoist.cli.{program}", *args]
        with open(self.file.path.with_suffix(f".{name}.log"), "ab") as log:
            process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
        self.processes[name] = process
        return process

    def start(self) -> None:
        """Start every process, configure the site and wait until the entries are ready."""
        settings = str(self.file.path)
        self.spawn("platform", "standin", "platform", "--settings", self.write_settings("platform"))
        for name in self.file.engine_ports:
            self.start_engine(name)
        self.spawn("booking-1", "standin", "service", "--settings", settings, "--name", "booking-1")
        wait_until(lambda: self.responds_ok(self.file.platform_port, "/control/state"))
        self.configure()
        for name in self.file.entry_ports:
            self.start_entry(name)
        for name in self.file.entry_ports:
            self.wait_ready(name)

    def start_engine(self, name: str) -> None:
        """Start a stand-in engine with a step time of 10 ms."""
        settings = str(self.file.path)
        args = ("--settings", settings, "--name", name, "--step-s", "0.01")
        self.spawn(name, "standin", "engine", *args)

    def start_entry(self, name: str) -> None:
        """Start an entry, without waiting until it is ready."""
        args = ("--settings", self.write_settings(name), "--name", name, "--json-logs")
        self.spawn(name, "entry", *args)

    def add_relay(self, client: str, target: str) -> Relay:
        """Add a relay in front of a process; call it before the client starts.

        The client is the process whose settings file gets the port of the relay. Entries find the
        platform by their own settings; they find endpoints and each other by the platform's
        settings, so the client of such a relay is "platform".
        """
        relay = self.relays[(client, target)] = Relay(self.port_of(target))
        return relay

    def write_settings(self, name: str) -> str:
        """Write the settings file of a process, with the ports of its relays; return the path."""
        text = self.file.path.read_text()
        for (client, target), relay in self.relays.items():
            if client == name:
                text = text.replace(f"port = {self.port_of(target)}\n", f"port = {relay.port}\n")
        path = self.file.path.with_suffix(f".{name}.toml")
        path.write_text(text)
        return str(path)

    def wait_ready(self, name: str) -> None:
        """Wait until an entry accepts requests."""
        port = self.file.entry_ports[name]
        wait_until(lambda: self.responds_ok(port, "/readyz"), what=f"{name} ready")

    def responds_ok(self, port: int, path: str) -> bool:
        """Return whether a process answers a GET with status 200."""
        try:
            return HTTP_CLIENT.request("GET", f"http://127.0.0.1:{port}{path}").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def configure(self) -> None:
        """Create a caller, the ordinary preset and the adapter "plans" with version 1."""

        def edit(draft: Draft) -> None:
            draft.put_caller(Caller("family", token_digest(TOKEN)))
            draft.put_preset(Preset("ordinary"))
            draft.preset = "ordinary"
            draft.put_adapter(published_adapter("plans", 1))

        self.publish(edit)

    def publish(self, edit) -> ConfigIndex:
        """Change the configuration; return the new index."""
        settings = PlatformSettings("127.0.0.1", self.file.platform_port)
        return Publisher(HttpPlatform(settings), "tests").apply_change(edit)

    def run_ctl(self, command: str, *args: str, check: bool = True) -> subprocess.CompletedProcess:
        """Run the operators' tool with JSON output; assert that it succeeds if ``check`` is set."""
        argv = [sys.executable, "-m", "poplarhoist.cli.ctl", command, *args]
        argv += ["--settings", str(self.file.path), "--json"]
        completed = subprocess.run(argv, cwd=ROOT, capture_output=True, text=True, timeout=60)
        if check:
            assert completed.returncode == 0, completed.stderr
        return completed

    def send_request(self, entry: str, path: str, body=None, method="POST", **headers):
        """Send a caller's request to an entry; return the response, with its body not yet read.

        Keyword arguments are headers, with underscores for hyphens.
        """
        url = f"http://127.0.0.1:{self.file.entry_ports[entry]}{path}"
        sent = {"Authorization": f"Bearer {TOKEN}", "Content-Type": "application/json"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        data = None if body is None else json.dumps(body).encode()
        return HTTP_CLIENT.request(method, url, body=data, headers=sent, preload_content=False)

    def request_completion(self, entry: str, model: str = "plans", tokens: int = 5, **body):
        """Request a completion; return the response, with its body not yet read."""
        data = {"model": model, "prompt": "ramp", "max_tokens": tokens, **body}
        return self.send_request(entry, "/v1/completions", data)

    def set_faults(self, name: str, where: str = "/control", **faults) -> None:
        """Set fault switches of a stand-in."""
        port = self.port_of(name)
        url = f"http://127.0.0.1:{port}{where}"
        assert CONTROL_CLIENT.request("POST", url, json=faults).status == 200

    def read_state(self, name: str) -> dict:
        """Return a stand-in's state and counters."""
        url = f"http://127.0.0.1:{self.port_of(name)}/control/state"
        return CONTROL_CLIENT.request("GET", url).json()

    def read_status(self, name: str) -> dict:
        """Return an entry's status for operators."""
        url = f"http://127.0.0.1:{self.file.entry_ports[name]}/admin/status"
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        response = HTTP_CLIENT.request("GET", url, headers=headers)
        assert response.status == 200, (name, response.status, response.headers, response.data)
        assert response.data, (name, response.headers)
        return response.json()

    def port_of(self, name: str) -> int:
        """Return the port on which a process listens."""
        if name == "platform":
            return self.file.platform_port
        if name == "booking-1":
            return self.file.service_port
        return {**self.file.entry_ports, **self.file.engine_ports}[name]

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one of the site's own processes."""
        os.kill(self.processes[name].pid, number)

    def stop(self) -> None:
        """Close the relays, kill every process that still runs and wait until all have ended."""
        for relay in self.relays.values():
            relay.close()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(timeout=10)
