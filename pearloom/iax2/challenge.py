"""How a peer shows that it knows a secret."""

from __future__ import annotations

import hashlib


def md5_result(challenge: str, secret: str) -> str:
    """The answer to a challenge (8.6.15): the digest of both, in hex digits."""
    return hashlib.md5(f"{challenge}{secret}".encode(), usedforsecurity=False).hexdigest()
