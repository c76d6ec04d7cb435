"""Reads the operator's file into values that know where they stand.

Structs whose fields are named twice are joined, as in CUE; plain values named twice have to be equal. Guards
against hostile files: size and depth are bounded before anything is built. What is wrong is a `RecordError`
whose text is `file:line: what`.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from importlib.resources import files

from lark import Lark, Token, Transformer, UnexpectedInput, UnexpectedToken, v_args
from lark.exceptions import VisitError

MOST_BYTES = 1 << 20
MOST_DEPTH = 32


class RecordError(ValueError):
    """The file can't be used; the text says where and why."""


@dataclass(frozen=True, slots=True)
class Value:
    """A plain value, or a list of values, and its line."""

    line: int
    plain: str | int | float | bool | None | tuple[Value | Struct, ...]

    @property
    def kind(self) -> str:
        """What it is, in the words of the file."""
        if isinstance(self.plain, bool):
            return "a truth value"
        kinds = {str: "a text", int: "a whole number", float: "a number", tuple: "a list"}
        return kinds.get(type(self.plain), "null")


@dataclass(frozen=True, slots=True)
class Struct:
    """Named fields, in the order of the file, and the line where it begins."""

    line: int
    fields: dict[str, Value | Struct] = field(default_factory=dict)

    kind = "a record"


class _Clash(Exception):
    """Two values for one field."""

    def __init__(self, name: str, one: Value | Struct, other: Value | Struct) -> None:
        super().__init__(name)
        self.name, self.one, self.other = name, one, other


def _unified(name: str, one: Value | Struct, other: Value | Struct) -> Value | Struct:
    if isinstance(one, Struct) and isinstance(other, Struct):
        joined = dict(one.fields)
        for key, value in other.fields.items():
            joined[key] = _unified(f"{name}.{key}", joined[key], value) if key in joined else value
        return Struct(one.line, joined)
    if isinstance(one, Value) and to_plain(one) == to_plain(other) and one.kind == other.kind:
        return one
    raise _Clash(name, one, other)


def to_plain(value: Value | Struct) -> object:
    """The value without its places, as JSON would have it."""
    if isinstance(value, Struct):
        return {key: to_plain(inner) for key, inner in value.fields.items()}
    if isinstance(value.plain, tuple):
        return [to_plain(inner) for inner in value.plain]
    return value.plain


@v_args(meta=True)
class _Build(Transformer[Token, Struct]):
    """Turns the parse tree into values."""

    def whole(self, meta: object, fields: list[tuple[str, Value | Struct]]) -> Struct:
        return self._struct(1, fields)

    def struct(self, meta: object, fields: list[tuple[str, Value | Struct]]) -> Struct:
        return self._struct(getattr(meta, "line", 1), fields)

    @staticmethod
    def _struct(line: int, fields: list[tuple[str, Value | Struct]]) -> Struct:
        found: dict[str, Value | Struct] = {}
        for name, value in fields:
            found[name] = _unified(name, found[name], value) if name in found else value
        return Struct(line, found)

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
_EXPECTED = {
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
    """The record in this text; `name` is the file's, for errors."""
    if len(text.encode("utf-8", "replace")) > MOST_BYTES:
        raise RecordError(f"{name}:1: the file is over 1 MiB")
    _check_depth(text, name)
    try:
        # A file that ends without a line end, or begins with a byte order mark, reads as any other.
        return _Build().transform(_PARSER.parse(text.removeprefix("\ufeff")))
    except UnexpectedInput as trouble:
        raise RecordError(f"{name}:{max(trouble.line, 1)}: {_unexpected(text, trouble)}") from None
    except VisitError as trouble:
        clash = trouble.orig_exc
        if isinstance(clash, _Clash):
            both = f"{clash.name} is {_shown(clash.one)} here and {_shown(clash.other)}"
            where = f"{name}:{clash.one.line}: {both} in line {clash.other.line}"
            raise RecordError(where) from None
        raise RecordError(f"{name}:1: {clash}") from None


def _shown(value: Value | Struct) -> str:
    text = value.kind if isinstance(value, Struct) else json.dumps(to_plain(value))
    return text if len(text) <= 40 else text[:40] + "…"


def _unexpected(text: str, trouble: UnexpectedInput) -> str:
    wanted: set[str] = set()
    if isinstance(trouble, UnexpectedToken):
        found = "the end of the file" if trouble.token.type == "$END" else ""
        wanted = trouble.accepts or trouble.expected
    else:
        found = ""
    if not found:
        rest = text[trouble.pos_in_stream or 0 :].split("\n", 1)[0].strip()[:30]
        found = repr(rest) if rest else "the end of the line"
    words = sorted({_EXPECTED[one] for one in wanted if one in _EXPECTED})
    return f"unexpected {found}" + (f"; expected {' or '.join(words)}" if words else "")


_OUTSIDE = re.compile(r'"(?:[^"\\\n]|\\.)*"|//[^\n]*|[{}\[\]]|\n')


def _check_depth(text: str, name: str) -> None:
    """Guards against a file nested so deep that reading it would end the program."""
    depth, line = 0, 1
    for token in _OUTSIDE.findall(text):
        if token == "\n":
            line += 1
        elif token in "{[":
            depth += 1
            if depth > MOST_DEPTH:
                raise RecordError(f"{name}:{line}: nested more than {MOST_DEPTH} deep")
        elif token in "}]":
            depth -= 1
