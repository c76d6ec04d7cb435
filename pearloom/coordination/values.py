"""Decodes stored records, each of which carries the number of its format. No I/O.

Guards against using a value that is damaged, or that a newer version of pearloom has written.
"""

from __future__ import annotations

from typing import Protocol, TypeVar

import msgspec


class Formatted(Protocol):
    """A record with a format number."""

    @property
    def format(self) -> int:
        """The format number; it grows with each change of the record's fields."""


T = TypeVar("T", bound=Formatted)


def decode_record(value: bytes, record_type: type[T], expected_format: int) -> T | None:
    """Decode a value as a record of this type and format; None if it is not one."""
    try:
        record: T = msgspec.json.decode(value, type=record_type)
    except msgspec.MsgspecError:
        return None
    return record if record.format == expected_format else None
