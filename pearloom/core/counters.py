"""Counters of what is taken in, sent and answered; printed on SIGUSR1 and at exit. Figures for operators."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Sequence

from pearloom.core.logs import log_event


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

    def log_all(self, **gauges: int) -> None:
        """Log all counts, sorted by name, and the gauges of the moment."""
        log_event(logging.INFO, "counters", **dict(sorted(self._counts.items())), **gauges)


class Metrics:
    """What operators read: how requests ended, by class, and how many attempts left whole. All from 0."""

    def __init__(self, class_names: Sequence[str]) -> None:
        """Every class shows from the start."""
        self._names = class_names
        self._succeeded = [0] * len(class_names)
        self._declined = [0] * len(class_names)
        self._aborted = [0] * len(class_names)
        self._forwards = 0

    def succeeded(self, kind: int) -> None:
        """A request was served."""
        self._succeeded[kind] += 1

    def declined(self, kind: int) -> None:
        """A request was refused."""
        self._declined[kind] += 1

    def aborted(self, kind: int) -> None:
        """A request failed."""
        self._aborted[kind] += 1

    def forwarded(self) -> None:
        """The last byte of an attempt was written to a session server."""
        self._forwards += 1

    def text(self, **gauges: int) -> str:
        """`name=value` lines, the gauges of the moment last."""
        ends = {"succeeded": self._succeeded, "declined": self._declined, "aborted": self._aborted}
        lines = [
            f"{how}.{name}={count}"
            for how, counts in ends.items()
            for name, count in zip(self._names, counts, strict=True)
        ]
        lines += [f"forwards={self._forwards}", *(f"{name}={value}" for name, value in gauges.items())]
        return "\n".join(lines) + "\n"
