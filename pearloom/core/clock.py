"""The one clock: Unix time in milliseconds as a float, never backwards."""

from __future__ import annotations

import time


class Clock:
    """Reads the system's Unix clock; a test may set it, and it then stands still until set again."""

    def __init__(self) -> None:
        """Start at the system's time."""
        self._last = 0.0
        self._set: float | None = None

    def now_ms(self) -> float:
        """Milliseconds since 1970.

        Guards against a system clock that is put back: the decision module takes no time before its last."""
        now = time.time() * 1000.0 if self._set is None else self._set
        if now > self._last:  # asked for many times a call: cheaper than max()
            self._last = now
        return self._last

    def set_ms(self, now_ms: float) -> None:
        """Hold the clock at this time."""
        self._set = now_ms
