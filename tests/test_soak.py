"""A short soak of real entries, with fixed seeds and seeds that failed in the past."""

import socket
import threading
from pathlib import Path

import pytest

from tests.site import ROOT
from tests.soak.links import Link
from tests.soak.proxy import Proxy
from tests.soak.run import run_soak
from tests.standin_server import HOST

# 103: an entry that had just started received SIGHUP (reload settings) before it had installed its
# signal handlers, and terminated.
# 7, 216, 235, 239: the proxy ended connections in order that it meant to reset.
# 8: the proxy ended a connection in order after it had dropped data from it.
SEEDS = [4, 7, 8, 103, 216, 235, 239]
# An orderly end came in one of five attempts.
RESET_ATTEMPTS = 60


@pytest.mark.parametrize("seed", SEEDS)
def test_soak_finds_no_violations(seed):
    assert run_soak(seed, cycles=1, findings_dir=ROOT / "soak-findings") == []


def test_proxy_resets_connections_without_an_orderly_close():
    target = socket.create_server((HOST, 0))
    proxy = Proxy(target.getsockname()[1])
    ends = []

    def read_end(client):
        try:
            ends.append(client.recv(1))
        except ConnectionResetError:
            ends.append("reset")

    for _ in range(RESET_ATTEMPTS):
        with socket.create_connection((HOST, proxy.port)) as client:
            server, _ = target.accept()
            server.sendall(b"x")
            assert client.recv(1) == b"x"
            reader = threading.Thread(target=read_end, args=(client,))
            reader.start()
            proxy.reset_all_connections()
            reader.join()
            server.close()
    proxy.stop()
    target.close()
    assert ends == ["reset"] * RESET_ATTEMPTS


def test_stopped_proxy_leaves_its_port():
    """Ports of earlier seeds stayed in use, until one was given to two processes of a seed."""
    proxies = [Proxy(1) for _ in range(20)]
    for proxy in proxies:
        proxy.stop()
    for proxy in proxies:
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((HOST, proxy.port), 1.0).close()


def test_link_can_listen_again_at_its_port_after_a_cut():
    """An outgoing connection of another process had the port, and the link could not be healed."""
    first, last = map(int, Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split())
    links = [Link(1) for _ in range(20)]
    assert not [link.port for link in links if first <= link.port <= last]
    for link in links:
        link.stop()
