"""When a silent session server is taken for dead. A decision: no I/O, time passed in.

Guards against calls that stand for ever at a machine that vanished: its connections stay open and say
nothing, and new ones never come up.
"""

from __future__ import annotations

QUIET_MS = 2500.0  # a server that owes something and is silent for so long gets a new connection
DEAD_DIALS = 2  # dials in a row that never came up: with LOST_MS, what stands there is given up
# A machine that is cut off keeps its calls, and the end of those of a dead one is owed within 8 s: as late as
# that allows, with 0.75 s for a dial.
LOST_MS = 6500.0


class Liveness:
    """What one server's silence means."""

    def __init__(self, now_ms: float) -> None:
        """It has just been heard of, and owes nothing."""
        self._heard_ms = now_ms
        self._owing_ms = now_ms
        self._failed_dials = 0

    def heard(self, now_ms: float) -> None:
        """A sign of life came."""
        self._heard_ms = now_ms

    def owes_from(self, now_ms: float) -> None:
        """It owed nothing before this time, and does now."""
        self._owing_ms = now_ms

    def dial_failed(self) -> None:
        """A connection to it did not come up."""
        self._failed_dials += 1

    def dial_came_up(self, now_ms: float) -> None:
        """A connection came up: its machine is there."""
        self._failed_dials = 0
        self._heard_ms = now_ms

    def is_quiet(self, now_ms: float) -> bool:
        """Has it owed something for long and said nothing?"""
        return self._quiet_ms(now_ms) >= QUIET_MS

    def is_dead(self, now_ms: float) -> bool:
        """Is what stands there to be given up?"""
        return self._failed_dials >= DEAD_DIALS and self._quiet_ms(now_ms) >= LOST_MS

    def _quiet_ms(self, now_ms: float) -> float:
        return now_ms - max(self._heard_ms, self._owing_ms)
