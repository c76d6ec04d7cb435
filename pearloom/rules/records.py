"""Routing rules as typed records, and the version that a set of them is. Values only: no I/O.

A rule has a match and one effect. All that it names has to hold for a call; what it leaves out matches every
call. An effect narrows, orders or weighs the cells that a call may use anyway; none opens a gate, a drain or
a cell that the call's class may not use.

A version is named by the hash of its canonical form (RFC 8785), so that the same rules have the same name at
every softswitch and a value that was spoilt in the store is told from what it was meant to be.
"""

from __future__ import annotations

from hashlib import sha256

import msgspec
import rfc8785

FORMAT = 1
MAX_RULES = 100
MOST_NAMES = 64  # in one list
MOST_CAPS = 8  # in one set: each is counted for each call that it matches
EMPTY = "none"  # the version before any was proposed: no rule


class RulesError(ValueError):
    """Rules, or a step with them, that can't be taken; the text is one line for the operator."""


class Match(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"classes": "class"}):
    """Which calls; each list: any of these, and empty: every one."""

    classes: tuple[str, ...] = ()
    tenant: tuple[str, ...] = ()
    first_choice: tuple[int, ...] = ()
    zone: tuple[str, ...] = ()  # of the softswitch that has the call


class Prefer(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="prefer"):
    """These cells first, while their gates let the call in."""

    cells: tuple[int, ...] = ()
    zones: tuple[str, ...] = ()  # of session servers


class Avoid(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="avoid"):
    """These cells last, where no other gate lets the call in."""

    cells: tuple[int, ...] = ()
    zones: tuple[str, ...] = ()


class Only(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="only"):
    """No cell but these."""

    cells: tuple[int, ...] = ()
    zones: tuple[str, ...] = ()


class Weigh(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="weigh"):
    """In a draw these cells count by this factor; a first choice whose gate is open is not drawn."""

    factor: float
    cells: tuple[int, ...] = ()
    zones: tuple[str, ...] = ()


class Cap(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="cap"):
    """At most this share of the matching calls may use these cells at all."""

    share: float
    cells: tuple[int, ...] = ()
    zones: tuple[str, ...] = ()


class Spill(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="spill"):
    """Where calls go whose first choice does not let them in: these zones in this order, then the others."""

    zones: tuple[str, ...]


Effect = Prefer | Avoid | Only | Weigh | Cap | Spill


class Rule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One rule."""

    name: str
    effect: Effect
    match: Match = Match()


class RuleSet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All rules of a version, in their order: of those that order a cell the first decides."""

    format: int = FORMAT
    rules: tuple[Rule, ...] = ()


def canonical(rules: RuleSet) -> bytes:
    """The one form that is hashed, stored and compared."""
    return rfc8785.dumps(msgspec.to_builtins(rules))


def version_of(rules: RuleSet) -> str:
    """The version's name: no rule has its own, every other set 32 hexadecimal signs."""
    return EMPTY if not rules.rules else sha256(canonical(rules)).hexdigest()[:32]


def read_rules(value: bytes, version: str) -> RuleSet | None:
    """What the store or the disk holds of a version; None where it is not what its name says."""
    try:
        rules: RuleSet = msgspec.json.decode(value, type=RuleSet)
    except msgspec.MsgspecError:
        return None
    return rules if rules.format == FORMAT and version_of(rules) == version else None
