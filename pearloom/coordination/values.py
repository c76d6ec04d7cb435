"""Values of the store, each told by its format. No I/O.

Guards against a value that is spoilt, or of a newer pearloom, and is guessed at.
"""

from __future__ import annotations

from typing import Protocol, TypeVar

import msgspec


class Formatted(Protocol):
    """A value that tells its format."""

    @property
    def format(self) -> int:
        """The number that grows with each change of what is held."""


T = TypeVar("T", bound=Formatted)


def decode_record(value: bytes, kind: type[T], form: int) -> T | None:
    """The value as this type and format, or None where it can't be read as that."""
    try:
        found: T = msgspec.json.decode(value, type=kind)
    except msgspec.MsgspecError:
        return None
    return found if found.format == form else None
