"""Decides when a silent session server is considered dead. No I/O; time is passed in.

Guards against calls that stay established for ever at a machine that vanished: its connections stay open
without a message, and new ones are never established.
"""

from __future__ import annotations

SILENT_MS = 2500.0  # of silence while a message is due, after which a new connection is opened
DEAD_DIALS = 2  # failed dials in a row that, with DEAD_AFTER_MS, end the server's calls
# Of silence. The calls of a dead machine have to be released within 8 s, but a machine that is only cut off
# keeps its calls: this is as late as the 8 s allow, with 0.75 s for a dial.
DEAD_AFTER_MS = 6500.0


class Liveness:
    """Tracks one server's silence and the failed dials to it."""

    def __init__(self, now_ms: float) -> None:
        """Start as if a message had just come, with none due."""
        self._last_sign_ms = now_ms
        self._due_since_ms = now_ms
        self.failed_dials = 0  # in a row

    def record_sign_of_life(self, now_ms: float) -> None:
        """A message, or another sign of life, came from the server."""
        self._last_sign_ms = now_ms

    def expect_message(self, now_ms: float) -> None:
        """From this time on a message is due; none was before."""
        self._due_since_ms = now_ms

    def record_failed_dial(self) -> None:
        """A connection could not be opened."""
        self.failed_dials += 1

    def record_dial(self, now_ms: float) -> None:
        """A connection was established: the server's machine is running."""
        self.failed_dials = 0
        self._last_sign_ms = now_ms

    def is_silent(self, now_ms: float) -> bool:
        """Has the server been silent for long while a message is due?"""
        return self.silence_ms(now_ms) >= SILENT_MS

    def is_dead(self, now_ms: float) -> bool:
        """Is the server dead, so that its established calls are to be released?"""
        return self.failed_dials >= DEAD_DIALS and self.silence_ms(now_ms) >= DEAD_AFTER_MS

    def silence_ms(self, now_ms: float) -> float:
        """Return for how long the server has been silent while a message is due."""
        return now_ms - max(self._last_sign_ms, self._due_since_ms)
