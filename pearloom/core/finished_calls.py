"""Ids of calls that are over, kept for as long as a repeat of their set-up or release may come.

Guards against a set-up that runs twice, and against a flood of ids of one kind that drives out the others:
callers choose the ids, so those of calls that were sent to a server have a bound of their own.
"""

from __future__ import annotations

from collections.abc import Iterable

from pearloom.core.recent import RecentIds

KEPT_MS = 60_000.0
ATTEMPTED_PER_MB = 200.0  # of the memory that the program may use; an id takes some 250 bytes
OTHER_PER_MB = 50.0  # the same, of each other kind


class FinishedCalls:
    """The ids, by what is known of their calls."""

    def __init__(self, memory_mb: float) -> None:
        """Start empty; `memory_mb` is all the memory that the process may use."""
        self._attempted = RecentIds(int(ATTEMPTED_PER_MB * memory_mb), KEPT_MS)
        self._not_attempted = RecentIds(int(OTHER_PER_MB * memory_mb), KEPT_MS)
        self._unknown = RecentIds(int(OTHER_PER_MB * memory_mb), KEPT_MS)

    def __contains__(self, call_id: str) -> bool:
        """Report whether the call is known to be over."""
        return call_id in self._attempted or call_id in self._not_attempted or call_id in self._unknown

    def add(self, call_id: str, was_attempted: bool, now_ms: float) -> None:
        """Add a call of this process; `was_attempted`: its set-up may have reached a server."""
        (self._attempted if was_attempted else self._not_attempted).add(call_id, now_ms)

    def add_unknown(self, call_id: str, now_ms: float) -> None:
        """Add a call that this process never had, and whose release it has passed on."""
        self._unknown.add(call_id, now_ms)

    def add_attempted(self, call_ids: Iterable[str], now_ms: float) -> None:
        """Add calls that the other process of an upgrade has sent to a server."""
        for call_id in call_ids:
            self._attempted.add(call_id, now_ms)

    def attempted_since(self, position: int) -> tuple[list[str], int]:
        """Return the ids of attempted calls added after this position, and the position now; 0: the first."""
        return self._attempted.added_since(position)
