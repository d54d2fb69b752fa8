"""A gateway entry as a real process, between stand-ins of the platform that it is deployed on."""

import contextlib
import http.client
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from poplarhoist.gateway.logs import FAULT_EVENTS
from tests.platform_standins import BASE_MODEL, Endpoint, configuration
from tests.platform_store import Store
from tests.ports import free_ports
from tests.site import ROOT
from tests.standin_server import HOST

START_TIMEOUT_S = 15.0
FIRST_START = "first_start = true\n"
ENTRY_ARGS = ("-m", "poplarhoist.platform")


def raw_request(method: str, target: bytes, request_id: str, *more_lines: bytes) -> bytes:
    """Return the bytes of a caller's request without a body, with more header lines if given."""
    lines = [
        method.encode() + b" " + target + b" HTTP/1.1",
        b"Host: host.test",
        b"X-Request-Id: " + request_id.encode(),
        b"X-Deadline-Ms: 6000",
        b"Content-Length: 0",
        *more_lines,
    ]
    return b"".join(line + b"\r\n" for line in lines) + b"\r\n"


class PlatformEntry:
    """One entry that runs as its own process.

    Attributes
    ----------
    port, ready_port, inner_port, relay_port : int
        Ports for callers, for readiness, for peers and metrics, and for requests to be passed on.
    log_path : Path
        File to which the process writes its standard output and standard error.
    process : Popen or None
        The latest process; None before the first start.
    """

    def __init__(self, name: str, directory: Path, store_port: int, zone: str = "north-a") -> None:
        self.name = name
        self.port, self.ready_port, self.inner_port, self.relay_port = free_ports(4)
        self.settings_path = directory / f"{name}.toml"
        self.settings_path.write_text(
            f'name = "{name}"\nzone = "{zone}"\nhost = "{HOST}"\n'
            f'store = "{HOST}:{store_port}"\n{FIRST_START}'
            f'[listen]\ncallers = "{HOST}:{self.port}"\nready = "{HOST}:{self.ready_port}"\n'
            f"inner_port = {self.inner_port}\nrelay_port = {self.relay_port}\n"
            '[bounds]\nstop_s = 8\n[regions]\n"north-a" = "north"\n"south-a" = "south"\n'
        )
        self.log_path = directory / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def drop_first_start(self) -> None:
        """Drop from the settings that the whole site starts for the first time."""
        text = self.settings_path.read_text()
        self.settings_path.write_text(text.replace(FIRST_START, ""))

    def launch(self, python_args: tuple[str, ...] = ENTRY_ARGS, root: Path = ROOT) -> None:
        """Start the process of the build in `root`; its output is appended to the log file."""
        with self.log_path.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, *python_args],
                cwd=root,
                env={"POPLARHOIST_BOOT": str(self.settings_path), "PATH": os.environ["PATH"]},
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this entry's process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def descriptor_count(self) -> int:
        """Return the number of the entry's open descriptors."""
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def log_lines(self, *events: str) -> list[dict]:
        """Return the entry's log lines with one of these event names, as dicts."""
        text = self.log_path.read_text() if self.log_path.exists() else ""
        # The last line of a process that was killed may be incomplete.
        lines = [line for line in text.splitlines() if line.startswith("{") and line.endswith("}")]
        records = [json.loads(line) for line in lines]
        return [record for record in records if record["event"] in events]

    def wait_until(self, condition, seconds: float = START_TIMEOUT_S) -> None:
        """Wait until a condition holds; after a timeout, fail with the end of the entry's log."""
        deadline_at = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < deadline_at, self.log_path.read_text()[-3000:]
            time.sleep(0.05)

    def check_no_faults(self) -> None:
        """Fail if an exception in the entry's own code was logged."""
        assert self.log_lines(*FAULT_EVENTS) == []

    def send_stream(self, caller_id: str, prefix: str) -> int:
        """Let a caller send a model request with parts of a prompt and read the whole stream.

        Returns
        -------
        int
            The status code; 0 if the connection broke off before the end of the response.
        """
        headers = {"X-Prompt-Prefix": prefix}
        return self.post(caller_id, "/resume/x", caller_id, "a1", **headers)

    def post(
        self,
        caller_id: str,
        path: str,
        body: str | bytes,
        adapter: str = "",
        deadline_ms: int = 6000,
        **more_headers: str,
    ) -> int:
        """Let a caller send a request and read the whole response; return its status code.

        It is 0 if the connection broke off before the end of the response.
        """
        headers = {"Host": "host.test", "X-Request-Id": caller_id}
        headers |= {"X-Deadline-Ms": str(deadline_ms), **more_headers}
        if adapter:
            headers |= {"X-Model": f"{BASE_MODEL}/{adapter}", "X-Token-Usage": "100,20"}
        connection = http.client.HTTPConnection(HOST, self.port, timeout=10)
        try:
            connection.request("POST", path, body, headers)
            response = connection.getresponse()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def get_status(self, path: str = "/api/ready") -> int:
        """Return the status code at the readiness address; 0 if there is no response."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection = http.client.HTTPConnection(HOST, self.ready_port, timeout=2)
            connection.request("GET", path)
            return connection.getresponse().status
        return 0


class PlatformSite(PlatformEntry):
    """An entry that runs as its own process, with a stand-in store and stand-in endpoints.

    The endpoints are two engines (e1, e2) of the service "models", and one endpoint (d1) of the
    plain service "desk".
    """

    def __init__(self, directory) -> None:
        self.store = Store()
        self.endpoints = {
            name: Endpoint(name, service)
            for name, service in (("e1", "models"), ("e2", "models"), ("d1", "desk"))
        }
        super().__init__("entry-1", directory, self.store.port)

    def configure(self, version: int = 1, *more: dict) -> None:
        """Write a version of the configuration to the store, with additional routes if given."""
        self.store.put("config", "main", configuration(version, *more))

    def register_endpoints(self, *names: str, state: str = "ready") -> None:
        """Write the records of endpoints to the store; of all endpoints if none are named."""
        for name in names or self.endpoints:
            self.store.put("servers", name, self.endpoints[name].record(state))

    def start(self, python_args: tuple[str, ...] = ENTRY_ARGS) -> None:
        """Write all records to the store, start the entry and wait until it is ready."""
        self.register_endpoints()
        self.configure()
        self.launch(python_args)
        self.wait_until(lambda: self.get_status() == 200)

    def stop(self) -> None:
        """Stop the entry, the store and the endpoints."""
        self.kill()
        self.store.stop()
        for endpoint in self.endpoints.values():
            endpoint.stop()
        self.check_no_faults()

    def store_names(self, kind: str) -> list[str]:
        """Return the names of the store's records of a kind."""
        with self.store.condition:
            return [name for record_kind, name in self.store.objects if record_kind == kind]

    def terminate(self) -> None:
        """Begin a graceful stop of the entry by SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    def send_request(self, path: str, adapter: str = "", body=b"", method: str = "POST", **headers):
        """Send a caller's request over a new connection; return status, headers and body.

        The deadline is six seconds unless the headers say otherwise. Keyword arguments are headers,
        with underscores for hyphens.
        """
        connection = http.client.HTTPConnection(HOST, self.port, timeout=10)
        request_headers = {"Host": "host.test", "X-Request-Id": f"c{time.monotonic_ns()}"}
        request_headers |= {"X-Deadline-Ms": "6000"}
        if adapter:
            request_headers |= {"X-Model": f"{BASE_MODEL}/{adapter}", "X-Token-Usage": "100,20"}
        request_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request(method, path, body, request_headers)
        response = connection.getresponse()
        try:
            return response.status, response.headers, response.read()
        finally:
            connection.close()
