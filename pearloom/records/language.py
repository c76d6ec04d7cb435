"""Parses the operator's file into values that carry their line numbers.

Structs given twice under one name are merged, as in CUE; plain values given twice have to be equal. Size and
depth are bounded before anything is built, which guards against hostile files. Every error is a `RecordError`
with the text `file:line: what`.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from importlib.resources import files

from lark import Lark, Token, Transformer, UnexpectedInput, UnexpectedToken, v_args
from lark.exceptions import VisitError

MAX_FILE_BYTES = 1 << 20
MAX_DEPTH = 32


class RecordError(ValueError):
    """The file is invalid; the text gives the place and the reason."""


@dataclass(frozen=True, slots=True)
class Value:
    """A plain value or a list of values, with its line."""

    line: int
    plain: str | int | float | bool | None | tuple[Value | Struct, ...]

    @property
    def kind(self) -> str:
        """The name of the value's type in error texts."""
        if isinstance(self.plain, bool):
            return "a truth value"
        kinds = {str: "a text", int: "a whole number", float: "a number", tuple: "a list"}
        return kinds.get(type(self.plain), "null")


@dataclass(frozen=True, slots=True)
class Struct:
    """Fields by name, in the order of the file, with the line where the struct begins."""

    line: int
    fields: dict[str, Value | Struct] = field(default_factory=dict)

    kind = "a record"


class _Conflict(Exception):
    """One field has two values."""

    def __init__(self, name: str, first: Value | Struct, second: Value | Struct) -> None:
        super().__init__(name)
        self.name, self.first, self.second = name, first, second


def _merged(name: str, first: Value | Struct, second: Value | Struct) -> Value | Struct:
    if isinstance(first, Struct) and isinstance(second, Struct):
        fields = dict(first.fields)
        for key, value in second.fields.items():
            fields[key] = _merged(f"{name}.{key}", fields[key], value) if key in fields else value
        return Struct(first.line, fields)
    if isinstance(first, Value) and to_plain(first) == to_plain(second) and first.kind == second.kind:
        return first
    raise _Conflict(name, first, second)


def to_plain(value: Value | Struct) -> object:
    """Return the value without line numbers, as json.loads would."""
    if isinstance(value, Struct):
        return {key: to_plain(inner) for key, inner in value.fields.items()}
    if isinstance(value.plain, tuple):
        return [to_plain(inner) for inner in value.plain]
    return value.plain


@v_args(meta=True)
class _Builder(Transformer[Token, Struct]):
    """Turns the parse tree into values; its methods are named after the grammar's rules."""

    def document(self, meta: object, fields: list[tuple[str, Value | Struct]]) -> Struct:
        return self._struct(1, fields)

    def struct(self, meta: object, fields: list[tuple[str, Value | Struct]]) -> Struct:
        return self._struct(getattr(meta, "line", 1), fields)

    @staticmethod
    def _struct(line: int, fields: list[tuple[str, Value | Struct]]) -> Struct:
        merged: dict[str, Value | Struct] = {}
        for name, value in fields:
            merged[name] = _merged(name, merged[name], value) if name in merged else value
        return Struct(line, merged)

    def field(self, meta: object, parts: list[object]) -> tuple[str, object]:
        return str(parts[0]), parts[1]

    inner = field

    def label(self, meta: object, parts: list[Token]) -> str:
        return str(json.loads(parts[0]) if parts[0].type == "TEXT" else parts[0])

    def items(self, meta: object, items: list[Value | Struct]) -> Value:
        return Value(getattr(meta, "line", 1), tuple(items))

    def text(self, meta: object, parts: list[Token]) -> Value:
        return Value(parts[0].line or 1, json.loads(parts[0]))

    def integer(self, meta: object, parts: list[Token]) -> Value:
        return Value(parts[0].line or 1, int(parts[0]))

    def real(self, meta: object, parts: list[Token]) -> Value:
        return Value(parts[0].line or 1, float(parts[0]))

    def true(self, meta: object, parts: list[Token]) -> Value:
        return Value(parts[0].line or 1, True)

    def false(self, meta: object, parts: list[Token]) -> Value:
        return Value(parts[0].line or 1, False)

    def null(self, meta: object, parts: list[Token]) -> Value:
        return Value(parts[0].line or 1, None)


_PARSER = Lark(
    files("pearloom.records").joinpath("grammar.lark").read_text(encoding="utf-8"),
    parser="lalr",
    propagate_positions=True,
    maybe_placeholders=False,
)
_TERMINAL_NAMES = {
    "COLON": "':'",
    "LBRACE": "'{'",
    "RBRACE": "'}'",
    "LSQB": "'['",
    "RSQB": "']'",
    "COMMA": "','",
    "_NL": "the end of the line",
    "NAME": "a field",
    "TEXT": "a text",
    "INTEGER": "a number",
    "$END": "the end",
}


def parse(text: str, name: str) -> Struct:
    """Parse the text of a file; `name` is the file's, for errors."""
    if len(text.encode("utf-8", "replace")) > MAX_FILE_BYTES:
        raise RecordError(f"{name}:1: the file is over 1 MiB")
    _check_depth(text, name)
    try:
        # A missing line end after the last line and a leading byte order mark make no difference.
        return _Builder().transform(_PARSER.parse(text.removeprefix("\ufeff")))
    except UnexpectedInput as error:
        raise RecordError(f"{name}:{max(error.line, 1)}: {_unexpected(text, error)}") from None
    except VisitError as error:
        conflict = error.orig_exc
        if isinstance(conflict, _Conflict):
            values = (
                f"{conflict.name} is {_abbreviate(conflict.first)} here and {_abbreviate(conflict.second)}"
            )
            message = f"{name}:{conflict.first.line}: {values} in line {conflict.second.line}"
            raise RecordError(message) from None
        raise RecordError(f"{name}:1: {conflict}") from None


def _abbreviate(value: Value | Struct) -> str:
    text = value.kind if isinstance(value, Struct) else json.dumps(to_plain(value))
    return text if len(text) <= 40 else text[:40] + "…"


def _unexpected(text: str, error: UnexpectedInput) -> str:
    expected: set[str] = set()
    if isinstance(error, UnexpectedToken):
        found = "the end of the file" if error.token.type == "$END" else ""
        expected = error.accepts or error.expected
    else:
        found = ""
    if not found:
        rest = text[error.pos_in_stream or 0 :].split("\n", 1)[0].strip()[:30]
        found = repr(rest) if rest else "the end of the line"
    names = sorted({_TERMINAL_NAMES[one] for one in expected if one in _TERMINAL_NAMES})
    return f"unexpected {found}" + (f"; expected {' or '.join(names)}" if names else "")


_DEPTH_TOKEN = re.compile(r'"(?:[^"\\\n]|\\.)*"|//[^\n]*|[{}\[\]]|\n')


def _check_depth(text: str, name: str) -> None:
    """Raise a RecordError for a file that is nested too deep.

    Guards against a nesting so deep that reading the file would end the program."""
    depth, line = 0, 1
    for token in _DEPTH_TOKEN.findall(text):
        if token == "\n":
            line += 1
        elif token in "{[":
            depth += 1
            if depth > MAX_DEPTH:
                raise RecordError(f"{name}:{line}: nested more than {MAX_DEPTH} deep")
        elif token in "}]":
            depth -= 1
