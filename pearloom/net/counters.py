"""Counters of what is taken in, sent and answered; printed on SIGUSR1 and at exit."""

from __future__ import annotations

import logging
from collections import Counter

from pearloom.net.logs import note


class Counters:
    """Named counts since the start."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        self._counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        """Count something that happened."""
        self._counts[name] += by

    def get(self, name: str) -> int:
        """What has been counted under this name."""
        return self._counts[name]

    def print(self, **gauges: int) -> None:
        """Log all counts, sorted by name, and the gauges of the moment."""
        note(logging.INFO, "counters", **dict(sorted(self._counts.items())), **gauges)
