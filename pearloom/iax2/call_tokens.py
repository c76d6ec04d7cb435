"""Stateless call tokens: a source proves that it receives at its address before it gets a leg.

Guards against forged source addresses: each costs one reply and no stored state. A token contains its issue
time and is bound to the address and the call number that asked for it; a NEW with the same token is a repeat
of the same NEW. The time is passed in.
"""

from __future__ import annotations

import hmac
from hashlib import blake2b

LIFETIME_MS = 10_000.0  # maximum time between the CALLTOKEN and the NEW that returns it
_TIME_OCTETS = 6
_DIGEST_OCTETS = 16


def issue(secret: bytes, source: tuple[str, int], number: int, now_ms: float) -> bytes:
    """Return a token for a NEW from this address with this call number, as hex digits."""
    issued = int(now_ms).to_bytes(_TIME_OCTETS, "big")
    return (issued + _digest(secret, source, number, issued)).hex().encode()


def is_valid(secret: bytes, source: tuple[str, int], number: int, token: bytes, now_ms: float) -> bool:
    """Return whether this token was issued to this source and number, and not over LIFETIME_MS ago."""
    try:
        decoded = bytes.fromhex(token.decode("ascii"))
    except ValueError:
        return False
    issued, digest = decoded[:_TIME_OCTETS], decoded[_TIME_OCTETS:]
    if not 0 <= now_ms - int.from_bytes(issued, "big") + 1 <= LIFETIME_MS:
        return False
    return hmac.compare_digest(digest, _digest(secret, source, number, issued))


def age_ms(token: bytes, now_ms: float) -> float:
    """Return the age of a valid token."""
    return max(now_ms - int(token[: 2 * _TIME_OCTETS], 16), 0.0)


def _digest(secret: bytes, source: tuple[str, int], number: int, issued: bytes) -> bytes:
    bound = f"{source[0]} {source[1]} {number} ".encode() + issued
    return blake2b(bound, key=secret, digest_size=_DIGEST_OCTETS).digest()
