"""Rules checked whole before anyone obeys them: every error with its path. A decision: no I/O.

Guards against a rule that names what is not there and so silently never matches, against one that leaves a
class nothing, and against sets whose cost a call would not be bounded.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from difflib import get_close_matches

from pearloom.rules.records import (
    MAX_RULES,
    MOST_CAPS,
    MOST_NAMES,
    Cap,
    Only,
    Rule,
    RuleSet,
    Spill,
    Weigh,
)

_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
MOST_CELL = 65_535
FACTORS = (0.01, 100.0)
MOST_CHOICES = 256  # first choices named in one set


@dataclass(frozen=True, slots=True)
class KnownNames:
    """What there is to be named; `cells` of each class, empty: every cell."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    cells: tuple[tuple[int, ...], ...] = ()


def find_errors(rules: RuleSet, known: KnownNames) -> list[str]:
    """Everything that is wrong, each in a line that begins with its path; empty: it can be accepted."""
    return list(_faults(rules, known))


def _faults(rules: RuleSet, known: KnownNames) -> Iterator[str]:
    if len(rules.rules) > MAX_RULES:
        yield f"$.rules: {len(rules.rules)} rules, {MAX_RULES} at most"
        return
    doubled = {name for name, count in Counter(rule.name for rule in rules.rules).items() if count > 1}
    for at, rule in enumerate(rules.rules):
        path = f"$.rules[{at}]"
        if not _NAME.fullmatch(rule.name):
            yield f"{path}.name: 1 to 64 of letters, digits, dots and dashes, not {rule.name[:40]!r}"
        elif rule.name in doubled:
            yield f"{path}.name: {rule.name!r} is the name of more than one rule"
        yield from _match_faults(rule, f"{path}.match", known)
        yield from _effect_faults(rule, f"{path}.effect", known)
    caps = sum(isinstance(rule.effect, Cap) for rule in rules.rules)
    if caps > MOST_CAPS:
        yield f"$.rules: {caps} caps, {MOST_CAPS} at most"
    choices = {choice for rule in rules.rules for choice in rule.match.first_choice}
    if len(choices) > MOST_CHOICES:
        yield f"$.rules: {len(choices)} first choices named, {MOST_CHOICES} at most"


def _match_faults(rule: Rule, path: str, known: KnownNames) -> Iterator[str]:
    yield from _names(rule.match.classes, f"{path}.class", "class", known.classes)
    yield from _names(rule.match.tenant, f"{path}.tenant", "tenant", known.tenants)
    yield from _names(rule.match.zone, f"{path}.zone", "zone", known.zones)
    yield from _cells(rule.match.first_choice, f"{path}.first_choice")


def _effect_faults(rule: Rule, path: str, known: KnownNames) -> Iterator[str]:
    effect = rule.effect
    yield from _names(effect.zones, f"{path}.zones", "zone", known.zones)
    if isinstance(effect, Spill):
        if not effect.zones:
            yield f"{path}.zones: an order of at least one zone"
        return
    yield from _cells(effect.cells, f"{path}.cells")
    if not effect.cells and not effect.zones:
        yield f"{path}: names neither cells nor zones"
    if isinstance(effect, Weigh) and not FACTORS[0] <= effect.factor <= FACTORS[1]:
        yield f"{path}.factor: from {FACTORS[0]:g} to {FACTORS[1]:g}, not {effect.factor:g}"
    if isinstance(effect, Cap) and not 0 <= effect.share <= 1:
        yield f"{path}.share: from 0 to 1, not {effect.share:g}"
    if isinstance(effect, Only) and not effect.zones:
        yield from _left_over(rule, effect, path, known)


def _left_over(rule: Rule, effect: Only, path: str, known: KnownNames) -> Iterator[str]:
    for name, cells in zip(known.classes, known.cells, strict=False):
        named = not rule.match.classes or name in rule.match.classes
        if named and cells and not set(cells) & set(effect.cells):
            yield f"{path}.cells: leave the class {name!r} no cell that it may use"


def _names(names: Sequence[str], path: str, what: str, known: tuple[str, ...]) -> Iterator[str]:
    if len(names) > MOST_NAMES:
        yield f"{path}: {len(names)} names, {MOST_NAMES} at most"
    for at, name in enumerate(names[:MOST_NAMES]):
        if name not in known:
            close = get_close_matches(name, known, 1)
            hint = (
                f"; did you mean {close[0]!r}?" if close else f": none of {', '.join(known[:20]) or 'none'}"
            )
            yield f"{path}[{at}]: no {what} {name[:40]!r}{hint}"


def _cells(cells: Sequence[int], path: str) -> Iterator[str]:
    if len(cells) > MOST_NAMES:
        yield f"{path}: {len(cells)} numbers, {MOST_NAMES} at most"
    for at, cell in enumerate(cells[:MOST_NAMES]):
        if not 0 <= cell <= MOST_CELL:
            yield f"{path}[{at}]: from 0 to {MOST_CELL}, not {cell}"
