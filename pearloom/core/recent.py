"""Ids, and values by id, that are kept for a limited time."""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice
from typing import Generic, TypeVar

T = TypeVar("T")


class RecentIds:
    """A set of ids bounded in size and age; the oldest is dropped first."""

    def __init__(self, max_ids: int, ttl_ms: float) -> None:
        """Start empty; `ttl_ms`: for how long an id is kept."""
        self._max_ids, self._ttl_ms = max_ids, ttl_ms
        self._added: OrderedDict[str, float] = OrderedDict()
        self._added_count = 0  # since the start

    def __contains__(self, key: str) -> bool:
        """Report whether the id is kept."""
        return key in self._added

    def add(self, key: str, now_ms: float) -> None:
        """Add an id, and drop those that are too old or too many."""
        self._added_count += 1
        self._added[key] = now_ms
        self._added.move_to_end(key)
        while len(self._added) > self._max_ids or next(iter(self._added.values())) < now_ms - self._ttl_ms:
            self._added.popitem(last=False)

    def added_since(self, position: int) -> tuple[list[str], int]:
        """Return the ids added after this position and still kept, and the position now; 0: the start.

        An id that was added again counts each time, so that some older ones may be among them."""
        new_count = min(self._added_count - position, len(self._added))
        newest_first = list(islice(reversed(self._added), new_count))
        return newest_first[::-1], self._added_count


class RecentValues(Generic[T]):
    """Values by id, each kept for a limited time from when it was last put."""

    def __init__(self, ttl_ms: float) -> None:
        """Start empty; `ttl_ms`: for how long a value is kept."""
        self._ttl_ms = ttl_ms
        self._values: OrderedDict[str, tuple[T, float]] = OrderedDict()

    def put(self, key: str, value: T, now_ms: float) -> None:
        """Store a value, and drop those that are too old."""
        self._values.pop(key, None)
        self._values[key] = (value, now_ms)
        while next(iter(self._values.values()))[1] < now_ms - self._ttl_ms:
            self._values.popitem(last=False)

    def get(self, key: str) -> T | None:
        """Return a value, which stays stored; None where there is none."""
        found = self._values.get(key)
        return None if found is None else found[0]

    def pop(self, key: str) -> T | None:
        """Remove a value and return it; None where there is none."""
        found = self._values.pop(key, None)
        return None if found is None else found[0]

    def unexpired(self, now_ms: float) -> list[T]:
        """Return the values that are not too old, the oldest first."""
        return [value for value, put_ms in self._values.values() if put_ms >= now_ms - self._ttl_ms]

    def clear(self) -> None:
        """Drop all values."""
        self._values.clear()
