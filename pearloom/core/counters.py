"""Counters of received, sent and answered messages, logged on SIGUSR1 and at exit, and operators' metrics."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Sequence

from pearloom.core.logs import log_event


class Counters:
    """Named counts since the start of the process."""

    def __init__(self) -> None:
        """Start with no counts."""
        self._counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        """Increase a count."""
        self._counts[name] += by

    def get(self, name: str) -> int:
        """Return the count of this name, 0 where nothing was counted."""
        return self._counts[name]

    def log_all(self, **gauges: int) -> None:
        """Log all counts, sorted by name, and the current gauges."""
        log_event(logging.INFO, "counters", **dict(sorted(self._counts.items())), **gauges)


class Metrics:
    """The operators' metrics: ended requests by class and ending, and completely sent attempts."""

    def __init__(self, class_names: Sequence[str]) -> None:
        """Start with every class at 0, so that each is shown from the start."""
        self._names = class_names
        self._succeeded = [0] * len(class_names)
        self._declined = [0] * len(class_names)
        self._aborted = [0] * len(class_names)
        self._forwards = 0

    def count_succeeded(self, class_index: int) -> None:
        """Count a request that was served."""
        self._succeeded[class_index] += 1

    def count_declined(self, class_index: int) -> None:
        """Count a request that was refused."""
        self._declined[class_index] += 1

    def count_aborted(self, class_index: int) -> None:
        """Count a request that failed."""
        self._aborted[class_index] += 1

    def count_forwarded(self) -> None:
        """Count an attempt whose last byte was written to a session server."""
        self._forwards += 1

    def text(self, **gauges: int) -> str:
        """Return `name=value` lines, the current gauges last."""
        endings = {"succeeded": self._succeeded, "declined": self._declined, "aborted": self._aborted}
        lines = [
            f"{ending}.{name}={count}"
            for ending, counts in endings.items()
            for name, count in zip(self._names, counts, strict=True)
        ]
        lines += [f"forwards={self._forwards}", *(f"{name}={value}" for name, value in gauges.items())]
        return "\n".join(lines) + "\n"
