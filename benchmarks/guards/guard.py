"""The record of one guard."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Guard:
    """A guard: its code, the replacement that removes it, and the tests that have to fail without it."""

    name: str
    file: str  # below pearloom/
    code: str
    without: str
    tests: tuple[str, ...]
