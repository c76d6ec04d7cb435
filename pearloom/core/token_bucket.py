"""A token bucket: so many actions at once, and so many a second after that. The time is passed in."""

from __future__ import annotations


class TokenBucket:
    """Limits the rate of an action."""

    def __init__(self, per_s: float, burst: float, now_ms: float) -> None:
        """Start with `burst` tokens; `per_s` are added each second."""
        self._per_ms, self._burst = per_s / 1000.0, burst
        self._tokens, self._updated_ms = burst, now_ms

    def take(self, now_ms: float) -> bool:
        """Take a token; return False if there is none."""
        refill = max(now_ms - self._updated_ms, 0.0) * self._per_ms
        self._tokens, self._updated_ms = min(self._tokens + refill, self._burst), now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
