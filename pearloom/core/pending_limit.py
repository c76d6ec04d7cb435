"""How many set-ups may wait for their answer at once, and how much they may hold: bounded by the memory."""

from __future__ import annotations

from pearloom.core.calls import SetUpRequest

OPEN_A_MB = 80.0  # set-ups for each MB that the program may use: they take a quarter of it
DESCRIBED_SHARE = 1 / 16  # of the memory: their descriptions, which the attempts hold once more


class PendingLimit:
    """Counts the set-ups that are owed an answer, and the bytes of their descriptions.

    Guards against a flood that would cost this process its life."""

    def __init__(self, memory_mb: float) -> None:
        """Nothing waits; `memory_mb`: what the process may use in all."""
        self.count = 0
        self._described = 0
        self._most = int(OPEN_A_MB * memory_mb)
        self._most_described = DESCRIBED_SHARE * memory_mb * 2**20

    def has_room(self, offer: SetUpRequest) -> bool:
        """May this one wait too?"""
        return self.count < self._most and self._described + len(offer.description) <= self._most_described

    def add(self, offer: SetUpRequest) -> None:
        """It waits from now on."""
        self.count += 1
        self._described += len(offer.description)

    def remove(self, offer: SetUpRequest) -> None:
        """It waits no longer, and its description is dropped: nobody needs it any more."""
        self.count -= 1
        self._described -= len(offer.description)
        offer.description = b""
