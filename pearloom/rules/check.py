"""Validation of a whole rule set before it is applied; each error has its path. A decision: no I/O.

Guards against a rule that names something unknown and therefore silently never matches, against a rule that
leaves a class without cells, and against rule sets whose cost per call has no bound.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from difflib import get_close_matches

from pearloom.rules.records import (
    MAX_CAPS,
    MAX_NAMES,
    MAX_RULES,
    Cap,
    Only,
    Rule,
    RuleSet,
    Spill,
    Weigh,
)

_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")
MAX_CELL = 65_535
FACTOR_RANGE = (0.01, 100.0)
MAX_FIRST_CHOICES = 256  # first choices named in one rule set


@dataclass(frozen=True, slots=True)
class KnownNames:
    """The names that rules may use; `cells` by class, an empty entry allows every cell."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    cells: tuple[tuple[int, ...], ...] = ()


def find_errors(rules: RuleSet, known: KnownNames) -> list[str]:
    """Return one line for each error, beginning with its path; empty if the rules are valid."""
    return list(_errors(rules, known))


def _errors(rules: RuleSet, known: KnownNames) -> Iterator[str]:
    if len(rules.rules) > MAX_RULES:
        yield f"$.rules: {len(rules.rules)} rules, {MAX_RULES} at most"
        return
    duplicates = {name for name, count in Counter(rule.name for rule in rules.rules).items() if count > 1}
    for index, rule in enumerate(rules.rules):
        path = f"$.rules[{index}]"
        if not _NAME.fullmatch(rule.name):
            yield f"{path}.name: has to be 1 to 64 letters, digits, dots and dashes, not {rule.name[:40]!r}"
        elif rule.name in duplicates:
            yield f"{path}.name: {rule.name!r} is the name of more than one rule"
        yield from _match_errors(rule, f"{path}.match", known)
        yield from _effect_errors(rule, f"{path}.effect", known)
    caps = sum(isinstance(rule.effect, Cap) for rule in rules.rules)
    if caps > MAX_CAPS:
        yield f"$.rules: {caps} caps, {MAX_CAPS} at most"
    choices = {choice for rule in rules.rules for choice in rule.match.first_choice}
    if len(choices) > MAX_FIRST_CHOICES:
        yield f"$.rules: {len(choices)} first choices named, {MAX_FIRST_CHOICES} at most"


def _match_errors(rule: Rule, path: str, known: KnownNames) -> Iterator[str]:
    yield from _name_errors(rule.match.classes, f"{path}.class", "class", known.classes)
    yield from _name_errors(rule.match.tenant, f"{path}.tenant", "tenant", known.tenants)
    yield from _name_errors(rule.match.zone, f"{path}.zone", "zone", known.zones)
    yield from _cell_errors(rule.match.first_choice, f"{path}.first_choice")


def _effect_errors(rule: Rule, path: str, known: KnownNames) -> Iterator[str]:
    effect = rule.effect
    yield from _name_errors(effect.zones, f"{path}.zones", "zone", known.zones)
    if isinstance(effect, Spill):
        if not effect.zones:
            yield f"{path}.zones: has to list at least one zone"
        return
    yield from _cell_errors(effect.cells, f"{path}.cells")
    if not effect.cells and not effect.zones:
        yield f"{path}: names neither cells nor zones"
    if isinstance(effect, Weigh) and not FACTOR_RANGE[0] <= effect.factor <= FACTOR_RANGE[1]:
        yield f"{path}.factor: from {FACTOR_RANGE[0]:g} to {FACTOR_RANGE[1]:g}, not {effect.factor:g}"
    if isinstance(effect, Cap) and not 0 <= effect.share <= 1:
        yield f"{path}.share: from 0 to 1, not {effect.share:g}"
    if isinstance(effect, Only) and not effect.zones:
        yield from _empty_class_errors(rule, effect, path, known)


def _empty_class_errors(rule: Rule, effect: Only, path: str, known: KnownNames) -> Iterator[str]:
    for class_name, cells in zip(known.classes, known.cells, strict=False):
        is_matched = not rule.match.classes or class_name in rule.match.classes
        if is_matched and cells and not set(cells) & set(effect.cells):
            yield f"{path}.cells: leave the class {class_name!r} no cell that it may use"


def _name_errors(names: Sequence[str], path: str, kind: str, known: tuple[str, ...]) -> Iterator[str]:
    if len(names) > MAX_NAMES:
        yield f"{path}: {len(names)} names, {MAX_NAMES} at most"
    for index, name in enumerate(names[:MAX_NAMES]):
        if name not in known:
            similar = get_close_matches(name, known, 1)
            hint = (
                f"; did you mean {similar[0]!r}?"
                if similar
                else f"; known: {', '.join(known[:20]) or 'none'}"
            )
            yield f"{path}[{index}]: no {kind} {name[:40]!r}{hint}"


def _cell_errors(cells: Sequence[int], path: str) -> Iterator[str]:
    if len(cells) > MAX_NAMES:
        yield f"{path}: {len(cells)} numbers, {MAX_NAMES} at most"
    for index, cell in enumerate(cells[:MAX_NAMES]):
        if not 0 <= cell <= MAX_CELL:
            yield f"{path}[{index}]: from 0 to {MAX_CELL}, not {cell}"
