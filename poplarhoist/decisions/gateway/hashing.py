"""Rendezvous hashing: all entries compute the same weight for a pair of names."""

import xxhash


def rendezvous_weight(first: str, second: str) -> int:
    """Return the weight of a pair of names, from 0 to 2**64 - 1."""
    return xxhash.xxh64_intdigest(f"{first}|{second}".encode())
