"""Entries of the soak: real processes that are paused, killed, stopped and started again."""

import contextlib
import http.client
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

from tests.site import ROOT
from tests.soak.proxy import HOST, Proxy

START_S = 20.0
# Below those that the system gives to connections: an entry keeps its ports while it is down.
PORTS = (12000, 30000)
# Runs an entry after some statements that break one of its protections.
PREFACE = "{}\nimport runpy; runpy.run_module('poplarhoist.platform', run_name='__main__')"


def lasting_port() -> int:
    """Return a port at which nothing listens, and which no outgoing connection is given."""
    while True:
        port = random.randrange(*PORTS)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((HOST, port))
            return port


class SoakEntry:
    """One entry, with a proxy of its own to the store.

    Attributes
    ----------
    lifetime : int
        Number of starts so far.
    """

    def __init__(self, name: str, directory: Path, store_port: int, broken: str) -> None:
        self.name = name
        self.broken = broken
        self.store = Proxy(store_port)
        self.port, self.ready_port, self.inner_port = (lasting_port() for _ in range(3))
        self.settings = directory / f"{name}.toml"
        self.settings.write_text(
            f'name = "{name}"\nzone = "north-a"\nhost = "{HOST}"\n'
            f'store = "{HOST}:{self.store.port}"\n'
            f'[listen]\ncallers = "{HOST}:{self.port}"\nready = "{HOST}:{self.ready_port}"\n'
            f"inner_port = {self.inner_port}\n"
            '[bounds]\nstop_s = 8\nengines_check_epochs = true\n[regions]\n"north-a" = "north"\n'
        )
        self.output = directory / f"{name}.log"
        self.lifetime = 0
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        program = ["-c", PREFACE.format(self.broken)] if self.broken else ["-m"]
        if not self.broken:
            program.append("poplarhoist.platform")
        with self.output.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, *program],
                cwd=ROOT,
                env={"POPLARHOIST_BOOT": str(self.settings), "PATH": os.environ["PATH"]},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.lifetime += 1

    def is_ready(self) -> bool:
        """Return whether the entry says that it is ready."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection = http.client.HTTPConnection(HOST, self.ready_port, timeout=1)
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        return False

    def wait_ready(self) -> bool:
        """Wait until the entry is ready; return whether it became so in time."""
        ends_at = time.monotonic() + START_S
        while time.monotonic() < ends_at:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this entry's own process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def stop(self) -> None:
        """End everything."""
        self.kill()
        self.store.stop()
