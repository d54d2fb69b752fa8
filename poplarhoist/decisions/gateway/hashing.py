"""Rendezvous hashing: each pair of names has a weight on which all entries agree."""

import xxhash


def rendezvous_weight(first: str, second: str) -> int:
    """Return the weight of a pair."""
    return xxhash.xxh64_intdigest(f"{first}|{second}".encode())
