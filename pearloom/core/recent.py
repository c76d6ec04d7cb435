"""Ids, and values by id, that are remembered for a while."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

T = TypeVar("T")


class RecentIds:
    """At most so many names, each for so long; the oldest goes first."""

    def __init__(self, most: int, for_ms: float) -> None:
        """Nothing is remembered."""
        self._most, self._for_ms = most, for_ms
        self._since: OrderedDict[str, float] = OrderedDict()

    def __contains__(self, name: str) -> bool:
        """Is it remembered?"""
        return name in self._since

    def add(self, name: str, now_ms: float) -> None:
        """Remember a name, and let go of what is too old or too many."""
        self._since[name] = now_ms
        while len(self._since) > self._most or next(iter(self._since.values())) < now_ms - self._for_ms:
            self._since.popitem(last=False)


class RecentValues(Generic[T]):
    """Values by name, each kept for so long; one that is put again counts from then."""

    def __init__(self, for_ms: float) -> None:
        """Nothing is kept."""
        self._for_ms = for_ms
        self._held: OrderedDict[str, tuple[T, float]] = OrderedDict()

    def put(self, name: str, value: T, now_ms: float) -> None:
        """Keep a value, and let go of what is too old."""
        self._held.pop(name, None)
        self._held[name] = (value, now_ms)
        while next(iter(self._held.values()))[1] < now_ms - self._for_ms:
            self._held.popitem(last=False)

    def pop(self, name: str) -> T | None:
        """Give a value back, and keep it no more."""
        found = self._held.pop(name, None)
        return None if found is None else found[0]

    def unexpired(self, now_ms: float) -> list[T]:
        """What is not too old, the oldest first."""
        return [value for value, since in self._held.values() if since >= now_ms - self._for_ms]

    def clear(self) -> None:
        """Keep nothing."""
        self._held.clear()
