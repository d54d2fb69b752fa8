"""Finds addresses in settings at which two sockets would listen."""

from collections.abc import Sequence
from itertools import combinations

MAX_PORT = 65535
# Hosts that stand for all addresses of this host.
WILDCARD_HOSTS = frozenset(("0.0.0.0", "::", ""))


def is_port(number: int) -> bool:
    """Return whether a number is a port at which a process can be told to listen."""
    return 0 < number <= MAX_PORT


def describe_shared(addresses: Sequence[tuple[str, int]]) -> list[str]:
    """Return a message for each address that is used more than once, in order.

    Parameters
    ----------
    addresses : sequence of tuple
        Host and port of each socket, in the order of the settings.
    """
    shared = (
        (host, port)
        for (first_host, first_port), (host, port) in combinations(addresses, 2)
        if first_port == port and share_interface(first_host, host)
    )
    return [f"address {host}:{port} is used more than once" for host, port in dict.fromkeys(shared)]


def share_interface(first_host: str, second_host: str) -> bool:
    """Return whether two hosts name the same address, or one of them all addresses."""
    return first_host == second_host or bool(WILDCARD_HOSTS & {first_host, second_host})
