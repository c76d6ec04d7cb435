"""Allocation of the 15-bit call numbers of one socket, with a delay before a number is reused.

Guards against a late frame of an ended leg that is taken for one of a new leg. The time is passed in.
"""

from __future__ import annotations

from collections import deque

from pearloom.iax2.frames import CALL_NUMBERS

REUSE_DELAY_MS = (
    12_000.0  # covers all retransmissions of a NEW, the wait for a HANGUP's ACK, and network delay
)


class CallNumbers:
    """Allocates call numbers in ascending order, and released ones again in order of their release."""

    def __init__(self, first: int = 1, count: int = CALL_NUMBERS - 1) -> None:
        """Start with `count` free numbers, of which `first` is allocated first."""
        self._next = (first - 1) % count + 1
        self._count = count
        self._unused_count = count
        self._released: deque[tuple[int, float]] = deque()

    def allocate(self, now_ms: float) -> int | None:
        """Return a free number, or None if all are in use or were released too recently."""
        if self._unused_count:
            number = self._next
            self._next = number % self._count + 1
            self._unused_count -= 1
            return number
        if self._released and now_ms - self._released[0][1] >= REUSE_DELAY_MS:
            return self._released.popleft()[0]
        return None

    def release(self, number: int, now_ms: float) -> None:
        """Release the number of a leg that has ended; it is reused after REUSE_DELAY_MS."""
        self._released.append((number, now_ms))
