"""A version of the rules, compiled for one softswitch: what each call's way is. A decision: no I/O.

A call costs one look into a dictionary, and one more for each cap that matches it. What a kind of call is
told is worked out when the first of that kind comes, and kept: kinds are bounded (`check.MOST_CHOICES`).
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from pearloom.interface import Route
from pearloom.rules.records import Avoid, Cap, Only, Prefer, Rule, RuleSet, Spill, Weigh

FIRST, OWN, SPILL, OTHERS, LAST = 0, 1, 2, 1_000, 2_000  # tiers; zones of a spill come from SPILL on


@dataclass(frozen=True, slots=True)
class LocalContext:
    """Where this softswitch stands, and what the numbers of classes and tenants stand for."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zone: str = ""
    cells: Mapping[str, frozenset[int]] = field(default_factory=dict)  # of each zone of session servers


@dataclass(slots=True)
class _Share:
    """Counts the calls that a cap matches; of every run of them at most its share may use the cells."""

    share: float
    cells: frozenset[int]
    matched: int = 0
    allowed: int = 0

    def takes(self) -> bool:
        """May the next one? Shares are kept from the first call on, not only in the long run."""
        self.matched += 1
        if self.allowed + 1 > self.share * self.matched:
            return False
        self.allowed += 1
        return True


@dataclass(slots=True)
class _Plan:
    """What one kind of call is told; with caps, by which of them leave it out."""

    route: Route | None
    shares: tuple[_Share, ...]
    made: dict[tuple[bool, ...], Route | None] = field(default_factory=dict)

    def next(self) -> Route | None:
        if not self.shares:
            return self.route
        takes = tuple([share.takes() for share in self.shares])
        if takes not in self.made:
            self.made[takes] = self._without(takes)
        return self.made[takes]

    def _without(self, takes: tuple[bool, ...]) -> Route | None:
        left = zip(self.shares, takes, strict=True)
        closed = frozenset().union(*(share.cells for share, taken in left if not taken))
        if not closed:
            return self.route
        base = self.route or Route()
        return Route(base.allowed_cells, closed, base.tiers, base.default_tier, base.weights)


class RoutingTable:
    """One version at one softswitch."""

    def __init__(self, version: str, rules: RuleSet, context: LocalContext) -> None:
        """Rules that were accepted; those that can match no call here are left out."""
        self.version = version
        self._place = context
        self._rules = [rule for rule in rules.rules if not rule.match.zone or context.zone in rule.match.zone]
        self._choices = {choice for rule in self._rules for choice in rule.match.first_choice}
        if any(isinstance(rule.effect, Spill) for rule in self._rules):
            self._choices = self._choices.union(*context.cells.values())
        self._shares = {
            rule.name: _Share(rule.effect.share, self._cells(rule.effect))
            for rule in self._rules
            if isinstance(rule.effect, Cap)
        }
        self._plans: dict[tuple[int, int, int], _Plan] = {}

    def route(self, kind: int, tenant: int, first_choice: int) -> Route | None:
        """What the rules say of a call of this class, tenant (-1: nobody's) and first choice (-1: none)."""
        if not self._rules:
            return None
        key = (kind, tenant, first_choice if first_choice in self._choices else -1)
        plan = self._plans.get(key)
        if plan is None:
            plan = self._plans[key] = self._plan(*key)
        return plan.next()

    def _cells(self, effect: Prefer | Avoid | Only | Weigh | Cap) -> frozenset[int]:
        zones = (self._place.cells.get(zone, frozenset()) for zone in effect.zones)
        return frozenset(effect.cells).union(*zones)

    def _matching(self, kind: int, tenant: int, first_choice: int) -> list[Rule]:
        name = self._place.classes[kind]
        owner = self._place.tenants[tenant] if 0 <= tenant < len(self._place.tenants) else ""
        return [
            rule
            for rule in self._rules
            if (not rule.match.classes or name in rule.match.classes)
            and (not rule.match.tenant or owner in rule.match.tenant)
            and (not rule.match.first_choice or first_choice in rule.match.first_choice)
        ]

    def _plan(self, kind: int, tenant: int, first_choice: int) -> _Plan:
        matching = self._matching(kind, tenant, first_choice)
        only: frozenset[int] | None = None
        tiers: dict[int, int] = {}
        weights: dict[int, float] = {}
        for rule in matching:
            match rule.effect:
                case Only() as effect:
                    only = self._cells(effect) if only is None else only & self._cells(effect)
                case Prefer() as effect:
                    _first(tiers, {cell: FIRST for cell in self._cells(effect)})
                case Avoid() as effect:
                    _first(tiers, {cell: LAST for cell in self._cells(effect)})
                case Spill(zones):
                    _first(tiers, self._spilled(zones, first_choice))
                case Weigh(factor) as effect:
                    for cell in self._cells(effect):
                        weights[cell] = weights.get(cell, 1.0) * factor
                case Cap():
                    pass
        told = only is not None or tiers or weights
        route = Route(only, frozenset(), tiers, OTHERS, weights) if told else None
        shares = [self._shares[rule.name] for rule in matching if isinstance(rule.effect, Cap)]
        return _Plan(route, tuple(shares))

    def _spilled(self, zones: Sequence[str], first_choice: int) -> dict[int, int]:
        tiers = {first_choice: OWN} if first_choice >= 0 else {}
        for at, zone in enumerate(zones):
            _first(tiers, {cell: SPILL + at for cell in self._place.cells.get(zone, frozenset())})
        return tiers


def _first(tiers: dict[int, int], more: Mapping[int, int]) -> None:
    """The rule that stands first decides of a cell."""
    for cell, tier in more.items():
        tiers.setdefault(cell, tier)
