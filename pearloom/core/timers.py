"""Actions that are due later, in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from pearloom.core.logs import log_exception


class Timers:
    """A heap of actions; actions with the same due time run in the order in which they were set."""

    def __init__(self) -> None:
        """Start without actions."""
        self._waiting: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def at_ms(self, due_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action for this time (Unix ms)."""
        self._count += 1
        heapq.heappush(self._waiting, (due_ms, self._count, action))

    def run_due(self, now_ms: Callable[[], float]) -> None:
        """Run the actions that are due at the time of this call; an exception ends only its own action."""
        now = now_ms()
        while self._waiting and self._waiting[0][0] <= now:
            try:
                heapq.heappop(self._waiting)[2]()
            except Exception:
                log_exception("timer_failed")
