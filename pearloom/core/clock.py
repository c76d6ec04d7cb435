"""The clock of the process: Unix time in milliseconds as a float, never going back."""

from __future__ import annotations

import time


class Clock:
    """Reads the system's Unix clock; a test can set a time, which then stays until it sets another."""

    def __init__(self) -> None:
        """Read the system's clock until a time is set."""
        self._last = 0.0
        self._set: float | None = None

    def now_ms(self) -> float:
        """Return the milliseconds since 1970.

        Guards against a system clock that is put back: the decision module must not receive earlier times."""
        now = time.time() * 1000.0 if self._set is None else self._set
        if now > self._last:  # called many times for each call: cheaper than max()
            self._last = now
        return self._last

    def set_ms(self, now_ms: float) -> None:
        """Stop the clock at this time."""
        self._set = now_ms
