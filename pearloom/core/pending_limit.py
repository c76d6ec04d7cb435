"""Bounds the set-ups that wait for an answer, and the size of their descriptions, by the available memory."""

from __future__ import annotations

from pearloom.core.calls import SetUpRequest

SET_UPS_PER_MB = 80.0  # of the memory that the program may use: together they take a quarter of it
DESCRIPTIONS_SHARE = 1 / 16  # of the memory: all descriptions, of which the attempts hold a second copy


class PendingLimit:
    """Counts the set-ups that wait for their final answer, and the bytes of their descriptions.

    Guards against a flood of set-ups that would exhaust the memory of this process."""

    def __init__(self, memory_mb: float) -> None:
        """Start empty; `memory_mb` is all the memory that the process may use."""
        self.count = 0
        self._description_bytes = 0
        self._max_count = int(SET_UPS_PER_MB * memory_mb)
        self._max_description_bytes = DESCRIPTIONS_SHARE * memory_mb * 2**20

    def has_room(self, request: SetUpRequest) -> bool:
        """Report whether this set-up may wait too."""
        return (
            self.count < self._max_count
            and self._description_bytes + len(request.description) <= self._max_description_bytes
        )

    def add(self, request: SetUpRequest) -> None:
        """Count a set-up that begins to wait."""
        self.count += 1
        self._description_bytes += len(request.description)

    def remove(self, request: SetUpRequest) -> None:
        """Stop counting a set-up, and drop its description, which is not needed after the answer."""
        self.count -= 1
        self._description_bytes -= len(request.description)
        request.description = b""
