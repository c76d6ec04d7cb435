"""Typed access to a record: fields are read by name, type and bounds, and unknown ones are rejected."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from difflib import get_close_matches
from typing import TypeVar

from pearloom.records.language import RecordError, Struct, Value

T = TypeVar("T")


class Fields:
    """The fields of one record; `reject_unknown` raises an error for those that were never read."""

    def __init__(self, struct: Struct, name: str, path: str = "") -> None:
        """Take a record: `name` is the file's, `path` the record's path in it, empty for the whole file."""
        self._struct, self._name, self._path = struct, name, path
        self._read_keys: dict[str, None] = {}

    def _full_path(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def error(self, key: str, what: str) -> RecordError:
        """Return an error with the file, line and path of a field."""
        value = self._struct.fields.get(key)
        line = self._struct.line if value is None else value.line
        return RecordError(f"{self._name}:{line}: {self._full_path(key)} {what}")

    def _get(self, key: str) -> Value | Struct | None:
        self._read_keys[key] = None
        return self._struct.fields.get(key)

    def _plain(self, key: str, types: type | tuple[type, ...], expected: str) -> object:
        value = self._get(key)
        if value is None:
            return None
        if (
            not isinstance(value, Value)
            or isinstance(value.plain, bool)
            or not isinstance(value.plain, types)
        ):
            raise self.error(key, f"has to be {expected}, not {value.kind}")
        return value.plain

    def text(self, key: str, default: str | None = None, pattern: str = "", meaning: str = "") -> str:
        """Return a text; `pattern` has to match all of it, and `meaning` describes such a text in errors.

        Raises a RecordError for another type or text, and for an absent field without a default."""
        value = self._plain(key, str, "a text")
        if value is None:
            if default is None:
                raise self.error(key, "is missing")
            return default
        text = str(value)
        if pattern and not re.fullmatch(pattern, text):
            raise self.error(key, f"has to be {meaning}, not {text[:60]!r}")
        return text

    def number(
        self, key: str, default: float, minimum: float, maximum: float, is_integer: bool = False
    ) -> float:
        """Return a number within two bounds, both included, or the default where the field is absent.

        Raises a RecordError for another type and outside the bounds."""
        types, expected = ((int,), "a whole number") if is_integer else ((int, float), "a number")
        value = self._plain(key, types, expected)
        if value is None:
            return default
        assert isinstance(value, int | float)
        if not minimum <= value <= maximum:
            raise self.error(key, f"has to be from {minimum:g} to {maximum:g}, not {value:g}")
        return value

    def texts(self, key: str, pattern: str, meaning: str) -> tuple[str, ...]:
        """Return a list of texts that all match `pattern`; empty where the field is absent."""
        value = self._get(key)
        if value is None:
            return ()
        if isinstance(value, Struct) or not isinstance(value.plain, tuple):
            raise self.error(key, f"has to be a list, not {value.kind}")
        texts = []
        for item in value.plain:
            if isinstance(item, Struct) or not isinstance(item.plain, str):
                raise RecordError(
                    f"{self._name}:{item.line}: {self._full_path(key)} has {item.kind}, not a text"
                )
            if not re.fullmatch(pattern, item.plain):
                error = f"has {item.plain[:60]!r}, which is not {meaning}"
                raise RecordError(f"{self._name}:{item.line}: {self._full_path(key)} {error}")
            texts.append(item.plain)
        return tuple(texts)

    def table(self, key: str, pattern: str, meaning: str) -> Mapping[str, str]:
        """Return a record of texts whose names match `pattern`; empty where the field is absent."""
        inner = self.inner(key)
        if inner is None:
            return {}
        for name in inner._struct.fields:
            if not re.fullmatch(pattern, name):
                raise inner.error(name, f"is not {meaning}")
        return {name: inner.text(name) for name in inner._struct.fields}

    def inner(self, key: str) -> Fields | None:
        """Return a record within this one, None where the field is absent."""
        value = self._get(key)
        if value is None:
            return None
        if not isinstance(value, Struct):
            raise self.error(key, f"has to be a record, not {value.kind}")
        return Fields(value, self._name, self._full_path(key))

    def read(self, key: str, reader: Callable[[Fields], T]) -> T | None:
        """Read a record within this one and reject its unknown fields; None where the field is absent."""
        inner = self.inner(key)
        if inner is None:
            return None
        result = reader(inner)
        inner.reject_unknown()
        return result

    def reject_unknown(self) -> None:
        """Raise a RecordError for a field that was never read.

        Guards against a misspelt field that silently has no effect."""
        for key in self._struct.fields:
            if key not in self._read_keys:
                matches = get_close_matches(key, list(self._read_keys), 1)
                hint = f"; did you mean {matches[0]}?" if matches else ""
                raise self.error(key, f"is not known{hint}")
