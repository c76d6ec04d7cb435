"""Bounds what waits to be written on all connections together, in memory that it really takes."""

from __future__ import annotations

from typing import Protocol

QUEUES_SHARE = 1 / 8  # of the memory: all queues of outbound messages
MESSAGE_BYTES = 250  # that a queued message takes beside its data


def queued_cost(data: bytes) -> int:
    """Return the memory that a queued message takes, in bytes."""
    return MESSAGE_BYTES + len(data)


class QueueOwner(Protocol):
    """A connection with a queue of outbound messages."""

    queued_cost: int

    def close(self, reason: str) -> None:
        """Close at once, and drop the queue."""


class QueueBudget:
    """The sum of all queues of outbound messages.

    Guards against hundreds of peers that each read a little too slowly: their queues are within the bound of
    one connection, and together fill the memory."""

    def __init__(self, memory_mb: float) -> None:
        """Start with no queues; `memory_mb` is all the memory that the process may use."""
        self._max_cost = int(QUEUES_SHARE * memory_mb * 2**20)
        self._cost = 0
        self._owners: dict[QueueOwner, None] = {}  # those with a queue

    def add(self, owner: QueueOwner, cost: int) -> None:
        """Count a message that its owner has queued; closes the longest queues beyond the bound."""
        self._owners[owner] = None
        self._cost += cost
        while self._cost > self._max_cost and self._owners:
            longest = max(self._owners, key=lambda candidate: candidate.queued_cost)
            longest.close("too much queued in all")

    def remove(self, owner: QueueOwner, cost: int) -> None:
        """Stop counting messages of this owner that were written, withdrawn or dropped."""
        self._cost -= cost
        if owner.queued_cost <= 0:
            self._owners.pop(owner, None)
