"""Routing rules as typed records, and the version that identifies a rule set. Values only: no I/O.

A rule has a match and one effect. A call matches if every condition of the match holds; a condition that is
left out matches every call. An effect narrows, orders or weighs the cells that the call may use anyway. No
effect opens a closed gate, reaches a draining server or adds a cell that the call's class may not use.

A version is named by the hash of its canonical form (RFC 8785). The same rules therefore have the same name
at every softswitch, and a stored rule set that was corrupted no longer matches its name.
"""

from __future__ import annotations

from hashlib import sha256

import msgspec
import rfc8785

FORMAT = 1
MAX_RULES = 100
MAX_NAMES = 64  # in one list
MAX_CAPS = 8  # in one rule set: a cap counts every call that it matches
EMPTY_VERSION = "none"  # in force before the first proposal: a rule set without rules


class RulesError(ValueError):
    """Invalid rules, or a step that the head does not allow; the text is one line for the operator."""


class Match(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"classes": "class"}):
    """The calls that a rule applies to; a list matches any of its entries, an empty list all calls."""

    classes: tuple[str, ...] = ()
    tenant: tuple[str, ...] = ()
    first_choice: tuple[int, ...] = ()
    zone: tuple[str, ...] = ()  # of the softswitch that handles the call


class Prefer(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="prefer"):
    """Use these cells first, as long as their gates admit the call."""

    cells: tuple[int, ...] = ()
    zones: tuple[str, ...] = ()  # of session servers


class Avoid(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="avoid"):
    """Use these cells last, when no other gate admits the call."""

    cells: tuple[int, ...] = ()
    zones: tuple[str, ...] = ()


class Only(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="only"):
    """Use no other cells than these."""

    cells: tuple[int, ...] = ()
    zones: tuple[str, ...] = ()


class Weigh(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="weigh"):
    """Multiply the weight of these cells in a random draw; a first choice whose gate is open is not drawn."""

    factor: float
    cells: tuple[int, ...] = ()
    zones: tuple[str, ...] = ()


class Cap(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="cap"):
    """Let at most this share of the matching calls use these cells."""

    share: float
    cells: tuple[int, ...] = ()
    zones: tuple[str, ...] = ()


class Spill(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="spill"):
    """Send calls that their first choice does not admit to these zones in this order, then to the others."""

    zones: tuple[str, ...]


Effect = Prefer | Avoid | Only | Weigh | Cap | Spill


class Rule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A named rule: the calls that match get its effect."""

    name: str
    effect: Effect
    match: Match = Match()


class RuleSet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All rules of a version, in order: the first rule that ranks a cell decides the cell's rank."""

    format: int = FORMAT
    rules: tuple[Rule, ...] = ()


def canonical(rules: RuleSet) -> bytes:
    """Encode rules in the canonical form that is hashed, stored and compared."""
    return rfc8785.dumps(msgspec.to_builtins(rules))


def version_of(rules: RuleSet) -> str:
    """Name a version: `EMPTY_VERSION` without rules, else 32 hexadecimal digits."""
    return EMPTY_VERSION if not rules.rules else sha256(canonical(rules)).hexdigest()[:32]


def decode_rules(value: bytes, version: str) -> RuleSet | None:
    """Decode a version from the store or the disk; None if unreadable or not the rules of that name."""
    try:
        rules: RuleSet = msgspec.json.decode(value, type=RuleSet)
    except msgspec.MsgspecError:
        return None
    return rules if rules.format == FORMAT and version_of(rules) == version else None
