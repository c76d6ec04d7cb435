"""What one guard is."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Guard:
    """One guard: what stands in the code, what takes its place, and who is to notice."""

    name: str
    file: str  # below pearloom/
    code: str
    without: str
    tests: tuple[str, ...]
