"""MD5 challenge authentication: proof that a peer knows a shared secret."""

from __future__ import annotations

import hashlib


def md5_result(challenge: str, secret: str) -> str:
    """Return the answer to a challenge (RFC 5456, 8.6.15): the MD5 of challenge and secret, as hex digits."""
    return hashlib.md5(f"{challenge}{secret}".encode(), usedforsecurity=False).hexdigest()
