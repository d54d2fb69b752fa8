"""Digests of the keys of teams, so that no other part of the process holds a key."""

import hashlib
import secrets

# Longest key that the platform accepts.
MAX_KEY_CHARACTERS = 512
DIGEST_BYTES = 16
# New in each process: digests tell nothing about keys outside of it, and nobody can prepare keys whose
# digests collide.
SECRET = secrets.token_bytes(32)


def is_key(text: object) -> bool:
    """Return whether a value can be a key: printable ASCII that a header carries unchanged."""
    return (
        isinstance(text, str)
        and 0 < len(text) <= MAX_KEY_CHARACTERS
        and text.isascii()
        and text.isprintable()
        and text == text.strip()
    )


def digest_of(text: object) -> bytes:
    """Return the digest of a key; empty if a value cannot be a key."""
    if not is_key(text):
        return b""
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES, key=SECRET).digest()
