"""A rule version compiled for one softswitch: computes the route of each call. A decision: no I/O.

A call costs one dictionary lookup, and one step more for each cap that matches it. The plan for a combination
of class, tenant and first choice is computed when its first call arrives and is then cached. The number of
combinations is bounded (`check.MAX_FIRST_CHOICES`).
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from pearloom.interface import Route
from pearloom.rules.records import Avoid, Cap, Only, Prefer, Rule, RuleSet, Spill, Weigh

# Tiers of cells: lower ones are tried first. The zones of a spill have the tiers from TIER_SPILL on.
TIER_PREFERRED, TIER_FIRST_CHOICE, TIER_SPILL, TIER_DEFAULT, TIER_AVOIDED = 0, 1, 2, 1_000, 2_000


@dataclass(frozen=True, slots=True)
class LocalContext:
    """This softswitch's zone, and the names behind the indexes of classes and tenants."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zone: str = ""
    cells: Mapping[str, frozenset[int]] = field(default_factory=dict)  # by zone of the session servers


@dataclass(slots=True)
class _CapCounter:
    """Counts the calls that a cap matches, and how many of them may use its cells."""

    share: float
    cells: frozenset[int]
    matched: int = 0
    allowed: int = 0

    def admits_next(self) -> bool:
        """Count a call and return whether it may use the cells.

        The share holds at every moment from the first call on, not only in the long run."""
        self.matched += 1
        if self.allowed + 1 > self.share * self.matched:
            return False
        self.allowed += 1
        return True


@dataclass(slots=True)
class _RoutePlan:
    """The route of one combination of class, tenant and first choice; caps vary it from call to call."""

    route: Route | None
    counters: tuple[_CapCounter, ...]
    routes: dict[tuple[bool, ...], Route | None] = field(default_factory=dict)

    def next_route(self) -> Route | None:
        if not self.counters:
            return self.route
        admitted = tuple([counter.admits_next() for counter in self.counters])
        if admitted not in self.routes:
            self.routes[admitted] = self._route_for(admitted)
        return self.routes[admitted]

    def _route_for(self, admitted: tuple[bool, ...]) -> Route | None:
        counters = zip(self.counters, admitted, strict=True)
        closed_cells = frozenset().union(
            *(counter.cells for counter, is_admitted in counters if not is_admitted)
        )
        if not closed_cells:
            return self.route
        base = self.route or Route()
        return Route(base.allowed_cells, closed_cells, base.tiers, base.default_tier, base.weights)


class RoutingTable:
    """One rule version as it applies at one softswitch."""

    def __init__(self, version: str, rules: RuleSet, context: LocalContext) -> None:
        """Compile validated rules; rules that can't match a call at this softswitch are left out."""
        self.version = version
        self._context = context
        self._rules = [rule for rule in rules.rules if not rule.match.zone or context.zone in rule.match.zone]
        self._first_choices = {choice for rule in self._rules for choice in rule.match.first_choice}
        if any(isinstance(rule.effect, Spill) for rule in self._rules):
            self._first_choices = self._first_choices.union(*context.cells.values())
        self._cap_counters = {
            rule.name: _CapCounter(rule.effect.share, self._cells(rule.effect))
            for rule in self._rules
            if isinstance(rule.effect, Cap)
        }
        self._plans: dict[tuple[int, int, int], _RoutePlan] = {}

    def route(self, class_index: int, tenant: int, first_choice: int) -> Route | None:
        """Return the route of a call; None if no rule applies.

        `tenant` is -1 for a call without a tenant, `first_choice` is -1 for a call without one."""
        if not self._rules:
            return None
        key = (class_index, tenant, first_choice if first_choice in self._first_choices else -1)
        plan = self._plans.get(key)
        if plan is None:
            plan = self._plans[key] = self._new_plan(*key)
        return plan.next_route()

    def _cells(self, effect: Prefer | Avoid | Only | Weigh | Cap) -> frozenset[int]:
        zones = (self._context.cells.get(zone, frozenset()) for zone in effect.zones)
        return frozenset(effect.cells).union(*zones)

    def _matching(self, class_index: int, tenant: int, first_choice: int) -> list[Rule]:
        class_name = self._context.classes[class_index]
        tenant_name = self._context.tenants[tenant] if 0 <= tenant < len(self._context.tenants) else ""
        return [
            rule
            for rule in self._rules
            if (not rule.match.classes or class_name in rule.match.classes)
            and (not rule.match.tenant or tenant_name in rule.match.tenant)
            and (not rule.match.first_choice or first_choice in rule.match.first_choice)
        ]

    def _new_plan(self, class_index: int, tenant: int, first_choice: int) -> _RoutePlan:
        matching = self._matching(class_index, tenant, first_choice)
        only: frozenset[int] | None = None
        tiers: dict[int, int] = {}
        weights: dict[int, float] = {}
        for rule in matching:
            match rule.effect:
                case Only() as effect:
                    only = self._cells(effect) if only is None else only & self._cells(effect)
                case Prefer() as effect:
                    _add_missing_tiers(tiers, {cell: TIER_PREFERRED for cell in self._cells(effect)})
                case Avoid() as effect:
                    _add_missing_tiers(tiers, {cell: TIER_AVOIDED for cell in self._cells(effect)})
                case Spill(zones):
                    _add_missing_tiers(tiers, self._spill_tiers(zones, first_choice))
                case Weigh(factor) as effect:
                    for cell in self._cells(effect):
                        weights[cell] = weights.get(cell, 1.0) * factor
                case Cap():
                    pass
        has_effect = only is not None or tiers or weights
        route = Route(only, frozenset(), tiers, TIER_DEFAULT, weights) if has_effect else None
        counters = [self._cap_counters[rule.name] for rule in matching if isinstance(rule.effect, Cap)]
        return _RoutePlan(route, tuple(counters))

    def _spill_tiers(self, zones: Sequence[str], first_choice: int) -> dict[int, int]:
        tiers = {first_choice: TIER_FIRST_CHOICE} if first_choice >= 0 else {}
        for position, zone in enumerate(zones):
            _add_missing_tiers(
                tiers, {cell: TIER_SPILL + position for cell in self._context.cells.get(zone, frozenset())}
            )
        return tiers


def _add_missing_tiers(tiers: dict[int, int], new_tiers: Mapping[int, int]) -> None:
    """Add tiers of cells that have none yet: the first rule that ranks a cell decides."""
    for cell, tier in new_tiers.items():
        tiers.setdefault(cell, tier)
