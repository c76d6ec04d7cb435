"""Call tokens that need no memory: a source shows that it hears what is sent to it, and then gets a leg.

Guards against forged source addresses, which cost a reply each and nothing that lasts. A token names its time
and is bound to the address and the call number that asked for it; the same token again is the same NEW again.
Pure: the time is passed in.
"""

from __future__ import annotations

import hmac
from hashlib import blake2b

LIFETIME_MS = 10_000.0  # between the CALLTOKEN and the NEW that brings it back
_TIME_OCTETS = 6
_DIGEST_OCTETS = 16


def issue(secret: bytes, source: tuple[str, int], number: int, now_ms: float) -> bytes:
    """A token for a NEW from this address under this call number; hex digits."""
    told = int(now_ms).to_bytes(_TIME_OCTETS, "big")
    return (told + _digest(secret, source, number, told)).hex().encode()


def is_valid(secret: bytes, source: tuple[str, int], number: int, token: bytes, now_ms: float) -> bool:
    """Was this token issued here, to this source and number, and not long ago?"""
    try:
        whole = bytes.fromhex(token.decode("ascii"))
    except ValueError:
        return False
    told, digest = whole[:_TIME_OCTETS], whole[_TIME_OCTETS:]
    if not 0 <= now_ms - int.from_bytes(told, "big") + 1 <= LIFETIME_MS:
        return False
    return hmac.compare_digest(digest, _digest(secret, source, number, told))


def age_ms(token: bytes, now_ms: float) -> float:
    """How long ago a token that holds was issued."""
    return max(now_ms - int(token[: 2 * _TIME_OCTETS], 16), 0.0)


def _digest(secret: bytes, source: tuple[str, int], number: int, told: bytes) -> bytes:
    bound = f"{source[0]} {source[1]} {number} ".encode() + told
    return blake2b(bound, key=secret, digest_size=_DIGEST_OCTETS).digest()
