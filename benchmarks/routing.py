"""What rules cost a call: the module alone, with no host, with no rules, and with 100 rules.

python -m benchmarks.routing
"""

from __future__ import annotations

import statistics
import time
from random import Random

from rich.console import Console
from rich.table import Table as Shown

from pearloom import interface as api
from pearloom.interface import ListKind, PoolEntry, PoolState
from pearloom.policy import Controller
from pearloom.rules.records import MAX_RULES, Avoid, Cap, Match, Prefer, Rule, RuleSet, Weigh
from pearloom.rules.table import LocalContext, RoutingTable
from tests.streams import SETTINGS

CALLS, TURNS = 4_000, 15
PLACE = LocalContext(("a", "b", "c"), ("t", "u"), "z", {"z": frozenset({0, 1, 2}), "y": frozenset({3, 4})})


def hundred() -> RuleSet:
    """As many as there may be, of all kinds, each matching some calls."""
    random, rules = Random(1), list[Rule]()
    for at in range(MAX_RULES):
        cells = (random.randrange(5),)
        effect = (Prefer(cells), Avoid(cells), Weigh(1.5, cells))[at % 3] if at % 13 else Cap(0.9, cells)
        match = Match((random.choice(PLACE.classes),), first_choice=(random.randrange(5),))
        rules.append(Rule(f"r{at}", effect, match))
    return RuleSet(rules=tuple(rules))


def turn(table: RoutingTable | None) -> float:
    """Microseconds a call: arrival, its attempt, and its end."""
    random, controller = Random(2), Controller(SETTINGS, 1)
    entries = tuple(PoolEntry(f"s-{cell}", cell, PoolState.READY) for cell in range(5))
    controller.handle(0, api.PoolList(ListKind.CACHED, entries))
    drawn = [
        (f"{at:016x}", random.randrange(3), random.randrange(-1, 2), random.randrange(-1, 5))
        for at in range(CALLS)
    ]
    now, began = 0, time.perf_counter()
    for call, kind, tenant, choice in drawn:
        now += 5_000
        route = table.route(kind, tenant, choice) if table is not None else None
        arrived = api.CallArrived(call, kind, tenant, 3_000_000, choice, route=route)
        for action in controller.handle(now, arrived):
            if isinstance(action, api.SendSetUp):
                controller.handle(now + 3_000, api.CallStands(call, 0, action.server, 3_000))
    return (time.perf_counter() - began) / CALLS * 1e6


def main() -> None:
    """Print the median of the turns, one after the other so that a busy machine hits all alike."""
    cases = {"no host": None, "no rules": RuleSet(), f"{MAX_RULES} rules": hundred()}
    took: dict[str, list[float]] = {name: [] for name in cases}
    for _ in range(TURNS):
        for name, rules in cases.items():
            took[name].append(turn(None if rules is None else RoutingTable("v", rules, PLACE)))
    shown = Shown("rules", "us a call, median", "least", "more than without")
    base = statistics.median(took["no host"])
    for name, times in took.items():
        middle = statistics.median(times)
        shown.add_row(name, f"{middle:.1f}", f"{min(times):.1f}", f"{middle - base:+.2f}")
    Console().print(shown)


if __name__ == "__main__":
    main()
