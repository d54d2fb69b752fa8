"""Rendezvous hashing: all entries compute the same weight for a pair of names."""

from collections.abc import Iterable

import xxhash


def rendezvous_weight(first: str, second: str) -> int:
    """Return the weight of a pair of names, from 0 to 2**64 - 1."""
    return xxhash.xxh64_intdigest(f"{first}|{second}".encode())


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return names in their rendezvous order for a key, the same on every entry."""
    return sorted(names, key=lambda name: -rendezvous_weight(key, name))
