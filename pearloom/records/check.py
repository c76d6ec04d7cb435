"""Typed reading of a record: each field asked for by name, type and bounds, and none left over."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from difflib import get_close_matches
from typing import TypeVar

from pearloom.records.language import RecordError, Struct, Value

T = TypeVar("T")


class Fields:
    """The fields of one record, closed: `done` refuses those that nobody asked for."""

    def __init__(self, struct: Struct, name: str, path: str = "") -> None:
        """The record `path` of the file `name`."""
        self._struct, self._name, self._path = struct, name, path
        self._asked: dict[str, None] = {}

    def _full(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def error(self, key: str, what: str) -> RecordError:
        """An error at a field's place."""
        held = self._struct.fields.get(key)
        line = self._struct.line if held is None else held.line
        return RecordError(f"{self._name}:{line}: {self._full(key)} {what}")

    def _get(self, key: str) -> Value | Struct | None:
        self._asked[key] = None
        return self._struct.fields.get(key)

    def _plain(self, key: str, kind: type | tuple[type, ...], wanted: str) -> object:
        held = self._get(key)
        if held is None:
            return None
        if not isinstance(held, Value) or isinstance(held.plain, bool) or not isinstance(held.plain, kind):
            raise self.error(key, f"has to be {wanted}, not {held.kind}")
        return held.plain

    def text(self, key: str, default: str | None = None, pattern: str = "", wanted: str = "") -> str:
        """A text; `pattern` has to match all of it, and `wanted` says what that means."""
        found = self._plain(key, str, "a text")
        if found is None:
            if default is None:
                raise self.error(key, "is missing")
            return default
        text = str(found)
        if pattern and not re.fullmatch(pattern, text):
            raise self.error(key, f"has to be {wanted}, not {text[:60]!r}")
        return text

    def number(self, key: str, default: float, least: float, most: float, is_integer: bool = False) -> float:
        """A number between two bounds, both allowed."""
        kinds, wanted = ((int,), "a whole number") if is_integer else ((int, float), "a number")
        found = self._plain(key, kinds, wanted)
        if found is None:
            return default
        assert isinstance(found, int | float)
        if not least <= found <= most:
            raise self.error(key, f"has to be from {least:g} to {most:g}, not {found:g}")
        return found

    def texts(self, key: str, pattern: str, wanted: str) -> tuple[str, ...]:
        """A list of texts; empty where the field is absent."""
        held = self._get(key)
        if held is None:
            return ()
        if isinstance(held, Struct) or not isinstance(held.plain, tuple):
            raise self.error(key, f"has to be a list, not {held.kind}")
        found = []
        for item in held.plain:
            if isinstance(item, Struct) or not isinstance(item.plain, str):
                raise RecordError(f"{self._name}:{item.line}: {self._full(key)} has {item.kind}, not a text")
            if not re.fullmatch(pattern, item.plain):
                what = f"has {item.plain[:60]!r}, which is not {wanted}"
                raise RecordError(f"{self._name}:{item.line}: {self._full(key)} {what}")
            found.append(item.plain)
        return tuple(found)

    def table(self, key: str, pattern: str, wanted: str) -> Mapping[str, str]:
        """A record of texts by names that match; empty where the field is absent."""
        inner = self.inner(key)
        if inner is None:
            return {}
        for name in inner._struct.fields:
            if not re.fullmatch(pattern, name):
                raise inner.error(name, f"is not {wanted}")
        return {name: inner.text(name) for name in inner._struct.fields}

    def inner(self, key: str) -> Fields | None:
        """A record within this one."""
        held = self._get(key)
        if held is None:
            return None
        if not isinstance(held, Struct):
            raise self.error(key, f"has to be a record, not {held.kind}")
        return Fields(held, self._name, self._full(key))

    def read(self, key: str, reader: Callable[[Fields], T]) -> T | None:
        """A record within this one, read whole."""
        inner = self.inner(key)
        if inner is None:
            return None
        found = reader(inner)
        inner.reject_unknown()
        return found

    def reject_unknown(self) -> None:
        """Refuse what nobody asked for.

        Guards against a field that is spelt wrong and silently has no effect."""
        for key in self._struct.fields:
            if key not in self._asked:
                close = get_close_matches(key, list(self._asked), 1)
                hint = f"; did you mean {close[0]}?" if close else ""
                raise self.error(key, f"is not known{hint}")
