"""Every listener has its port alone: a second start fails, a restart after a kill does not."""

import http.client
import signal
import subprocess
import sys

import eventlet
import pytest

from poplarhoist.entry.listener import open_datagram_socket, open_listener
from poplarhoist.errors import SettingsError
from poplarhoist.gateway.settings import load_settings
from poplarhoist.status import ExitStatus
from tests.platform_site import ENTRY_ARGS, PlatformEntry, PlatformSite
from tests.ports import PortBlocks, free_ports
from tests.site import ROOT, RunningSite, SiteFile
from tests.standin_server import HOST

OPENERS = {"tcp": open_listener, "udp": open_datagram_socket}
WAIT_S = 20.0
SETTINGS = """
name = "entry-1"
zone = "north-a"
host = "10.0.0.1"
store = "10.0.0.9:1"
[listen]
callers = "{callers}"
ready = "10.0.0.1:4002"
inner_port = {inner_port}
relay_port = {relay_port}
[regions]
north-a = "north"
"""


@pytest.fixture
def platform_site(tmp_path):
    site = PlatformSite(tmp_path)
    yield site
    site.stop()


def run_and_wait(*args: str, variables: dict[str, str] | None = None) -> tuple[int, str]:
    """Run a program that should end by itself; return its exit status and output."""
    result = subprocess.run(
        [sys.executable, "-W", "ignore", *args],
        cwd=ROOT,
        env={"PATH": "/usr/bin:/bin", **(variables or {})},
        capture_output=True,
        text=True,
        timeout=WAIT_S,
    )
    return result.returncode, result.stderr


@pytest.mark.parametrize("protocol", ["tcp", "udp"])
def test_second_listener_at_a_port_does_not_share_its_requests(protocol):
    (port,) = free_ports(1)
    first = OPENERS[protocol](HOST, port, "first")
    with pytest.raises(SettingsError, match=f"second {HOST}:{port}: Address already in use"):
        OPENERS[protocol](HOST, port, "second")
    first.close()
    OPENERS[protocol](HOST, port, "second").close()


def test_listener_binds_while_connections_of_the_earlier_one_linger():
    address = HOST, free_ports(1)[0]
    first = open_listener(*address, "first")
    caller = eventlet.connect(address)
    accepted, _ = first.accept()
    accepted.close()
    first.close()
    open_listener(*address, "second").close()
    caller.close()


@pytest.mark.parametrize(
    ("taken", "setting"),
    [
        ("port", "listen.callers"),
        ("ready_port", "listen.ready"),
        ("inner_port", "listen.inner_port"),
        ("relay_port", "listen.relay_port"),
    ],
)
def test_entry_started_twice_does_not_take_half_of_the_callers(platform_site, taken, setting):
    platform_site.start()
    other = PlatformEntry("entry-2", platform_site.settings_path.parent, 1)
    port = getattr(platform_site, taken)
    text = other.settings_path.read_text().replace(str(getattr(other, taken)), str(port))
    other.settings_path.write_text(text)
    status, errors = run_and_wait(
        *ENTRY_ARGS, variables={"POPLARHOIST_BOOT": str(other.settings_path)}
    )
    assert status == ExitStatus.USAGE
    assert errors == (
        f"poplarhoist.platform: error: {setting} {HOST}:{port}: Address already in use\n"
    )
    assert platform_site.get_status() == 200


def test_entry_binds_at_once_after_a_kill_with_open_connections(platform_site):
    platform_site.start()
    callers = [http.client.HTTPConnection(HOST, platform_site.port) for _ in range(8)]
    for caller in callers:
        caller.connect()
    platform_site.send_signal(signal.SIGKILL)
    platform_site.process.wait()
    platform_site.launch()
    platform_site.wait_until(lambda: platform_site.get_status() == 200)
    for caller in callers:
        caller.close()


@pytest.mark.parametrize(
    ("callers", "inner_port", "relay_port", "problem"),
    [
        ("10.0.0.1:4001", 4003, 4004, None),
        ("10.0.0.1:4001", 4003, 0, None),
        ("10.0.0.2:4002", 4003, 4004, None),
        ("10.0.0.1:4004", 4003, 4004, "10.0.0.1:4004 is used more than once"),
        ("10.0.0.1:4002", 4003, 4004, "10.0.0.1:4002 is used more than once"),
        ("0.0.0.0:4002", 4003, 4004, "10.0.0.1:4002 is used more than once"),
        ("10.0.0.1:4001", 4003, 4003, "10.0.0.1:4003 is used more than once"),
        ("10.0.0.1:4001", 4001, 4004, "10.0.0.1:4001 is used more than once"),
        ("10.0.0.1:0", 4003, 4004, "port 0"),
        ("10.0.0.1:70000", 4003, 4004, "port 70000"),
    ],
)
def test_port_named_twice_in_a_settings_file_is_an_error(
    tmp_path, callers, inner_port, relay_port, problem
):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.format(callers=callers, inner_port=inner_port, relay_port=relay_port))
    status, errors = run_and_wait(*ENTRY_ARGS, "--check", variables={"POPLARHOIST_BOOT": str(path)})
    if problem is None:
        assert (status, errors) == (ExitStatus.OK, "")
        assert load_settings(path).listen.relay_port == relay_port
        return
    assert status == ExitStatus.USAGE
    assert errors.startswith(f"poplarhoist.platform: error: load-settings {path}: ")
    assert problem in errors


@pytest.mark.parametrize("args", [("--chekc",), ("--check", "x")])
def test_unknown_argument_of_an_entry_is_an_error(args):
    status, errors = run_and_wait(*ENTRY_ARGS, *args)
    assert status == ExitStatus.USAGE
    assert "error: unrecognized arguments" in errors


@pytest.mark.parametrize("program", ["entry", "standin"])
def test_program_of_the_own_interface_started_twice_ends_with_an_error(tmp_path, program):
    site = RunningSite(SiteFile(tmp_path / "site.toml", entries=1, engines=1))
    site.start()
    try:
        command = ["--name", "entry-1"] if program == "entry" else ["site"]
        arguments = [*command, "--settings", str(site.file.path)]
        status, errors = run_and_wait("-m", f"poplarhoist.cli.{program}", *arguments)
    finally:
        site.stop()
    assert status == ExitStatus.USAGE
    name = "entries.entry-1" if program == "entry" else "platform"
    assert f"poplarhoist-{program}: error: {name} {HOST}:" in errors
    assert errors.endswith("Address already in use\n")


def test_processes_of_tests_are_not_given_the_same_ports(tmp_path):
    workers = [PortBlocks(tmp_path) for _ in range(3)]
    ports = [port for worker in workers for port in worker.take(200)]
    assert len(set(ports)) == 600
