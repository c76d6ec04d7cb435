"""Names that other programs and operators read or write stay in the program, letter for letter.

Guards against a rename that changes a message field, a stored key, a setting, a log event or a counter.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LIST = Path(__file__).parent / "data" / "outer_names.txt"
STRINGS, IDENTIFIERS = "# strings", "# identifiers that are written out under their own name"


def listed(section: str) -> list[str]:
    lines = LIST.read_text().splitlines()
    names = lines[lines.index(section) + 1 :]
    ends = [number for number, line in enumerate(names) if line.startswith("#")]
    return names[: ends[0]] if ends else names


def program() -> Iterator[ast.AST]:
    for path in sorted((ROOT / "pearloom").rglob("*.py")):
        if "fakes" not in path.parts:
            yield from ast.walk(ast.parse(path.read_text()))


@cache
def strings() -> frozenset[str]:
    """Every string literal but docstrings, whole and by its words."""
    found: set[str] = set()
    docstrings: set[ast.expr] = set()
    for node in program():
        body = getattr(node, "body", None)
        if isinstance(body, list) and body and isinstance(body[0], ast.Expr):
            docstrings.add(body[0].value)
        if node in docstrings:
            continue
        if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
            text = node.value if isinstance(node.value, str) else node.value.decode("latin-1")
            found |= {text, *re.findall(r"[A-Za-z0-9_.:/+-]+", text), *re.findall(r"[A-Za-z0-9_-]+", text)}
    return frozenset(found)


@cache
def identifiers() -> frozenset[str]:
    """Names of classes, functions, parameters, keywords, fields and enum members."""
    found: set[str] = set()
    for node in program():
        match node:
            case ast.ClassDef(name=name) | ast.FunctionDef(name=name) | ast.arg(arg=name):
                found.add(name)
            case ast.keyword(arg=str(name)) | ast.Name(id=name, ctx=ast.Store()):
                found.add(name)
    return frozenset(found)


@pytest.mark.parametrize("name", listed(STRINGS))
def test_a_string_that_others_read_is_in_the_program(name: str) -> None:
    assert name in strings()


@pytest.mark.parametrize("name", listed(IDENTIFIERS))
def test_an_identifier_that_is_written_out_is_in_the_program(name: str) -> None:
    assert name in identifiers()
