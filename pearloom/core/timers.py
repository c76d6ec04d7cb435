"""Deeds that are due later, in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from pearloom.core.logs import log_exception


class Timers:
    """A heap of deeds; those of the same time come in the order in which they were set."""

    def __init__(self) -> None:
        """Nothing is due."""
        self._waiting: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def at_ms(self, due_ms: float, action: Callable[[], None]) -> None:
        """Do something at this time."""
        self._count += 1
        heapq.heappush(self._waiting, (due_ms, self._count, action))

    def run_due(self, now_ms: Callable[[], float]) -> None:
        """Do what is due by the time at the call; an exception stops at its deed."""
        now = now_ms()
        while self._waiting and self._waiting[0][0] <= now:
            try:
                heapq.heappop(self._waiting)[2]()
            except Exception:
                log_exception("timer_failed")
