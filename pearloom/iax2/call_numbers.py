"""Call numbers of one socket: 15 bits, none used again while frames of its old leg may still arrive.

Guards against a late frame that is taken for one of another leg. Pure: the time is passed in.
"""

from __future__ import annotations

from collections import deque

from pearloom.iax2.frames import CALL_NUMBERS

RESTS_MS = 12_000.0  # a NEW repeated to its end, a HANGUP that lingers, and room for the network


class CallNumbers:
    """Gives numbers out in turn, so that each rests as long as can be."""

    def __init__(self, first: int = 1, count: int = CALL_NUMBERS - 1) -> None:
        """All are free; `first` is the one that is given out first."""
        self._next = (first - 1) % count + 1
        self._count = count
        self._fresh = count
        self._resting: deque[tuple[int, float]] = deque()

    def allocate(self, now_ms: float) -> int | None:
        """A number that rests no more, or None where all are in use or rest."""
        if self._fresh:
            number = self._next
            self._next = number % self._count + 1
            self._fresh -= 1
            return number
        if self._resting and now_ms - self._resting[0][1] >= RESTS_MS:
            return self._resting.popleft()[0]
        return None

    def release(self, number: int, now_ms: float) -> None:
        """Its leg is over."""
        self._resting.append((number, now_ms))
