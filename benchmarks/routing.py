"""What rules cost per call: the decision module without a routing table, with no rules, and with 100 rules.

python -m benchmarks.routing
"""

from __future__ import annotations

import statistics
import time
from random import Random

from rich.console import Console
from rich.table import Table as ResultTable

from pearloom import interface as api
from pearloom.interface import ListKind, PoolEntry, PoolState
from pearloom.policy import Controller
from pearloom.rules.records import MAX_RULES, Avoid, Cap, Match, Prefer, Rule, RuleSet, Weigh
from pearloom.rules.table import LocalContext, RoutingTable
from tests.streams import SETTINGS

CALLS, ROUNDS = 4_000, 15
CONTEXT = LocalContext(("a", "b", "c"), ("t", "u"), "z", {"z": frozenset({0, 1, 2}), "y": frozenset({3, 4})})


def maximum_rules() -> RuleSet:
    """Return as many rules as are allowed, of all kinds, each matching some calls."""
    random, rules = Random(1), list[Rule]()
    for index in range(MAX_RULES):
        cells = (random.randrange(5),)
        effect = (
            (Prefer(cells), Avoid(cells), Weigh(1.5, cells))[index % 3] if index % 13 else Cap(0.9, cells)
        )
        match = Match((random.choice(CONTEXT.classes),), first_choice=(random.randrange(5),))
        rules.append(Rule(f"r{index}", effect, match))
    return RuleSet(rules=tuple(rules))


def measure(table: RoutingTable | None) -> float:
    """Return microseconds per call: its arrival and the answer to its attempt."""
    random, controller = Random(2), Controller(SETTINGS, 1)
    entries = tuple(PoolEntry(f"s-{cell}", cell, PoolState.READY) for cell in range(5))
    controller.handle(0, api.PoolList(ListKind.CACHED, entries))
    arrivals = [
        (f"{index:016x}", random.randrange(3), random.randrange(-1, 2), random.randrange(-1, 5))
        for index in range(CALLS)
    ]
    now_us, started_s = 0, time.perf_counter()
    for call, class_index, tenant, choice in arrivals:
        now_us += 5_000
        route = table.route(class_index, tenant, choice) if table is not None else None
        arrived = api.CallArrived(call, class_index, tenant, 3_000_000, choice, route=route)
        for action in controller.handle(now_us, arrived):
            if isinstance(action, api.SendSetUp):
                controller.handle(now_us + 3_000, api.CallStands(call, 0, action.server, 3_000))
    return (time.perf_counter() - started_s) / CALLS * 1e6


def main() -> None:
    """Print the median of the rounds; each round runs all cases, so that a busy machine slows all alike."""
    cases = {"no table": None, "no rules": RuleSet(), f"{MAX_RULES} rules": maximum_rules()}
    took: dict[str, list[float]] = {name: [] for name in cases}
    for _ in range(ROUNDS):
        for name, rules in cases.items():
            took[name].append(measure(None if rules is None else RoutingTable("v", rules, CONTEXT)))
    results = ResultTable("rules", "us per call, median", "least", "added by the table")
    base = statistics.median(took["no table"])
    for name, times in took.items():
        median_us = statistics.median(times)
        results.add_row(name, f"{median_us:.1f}", f"{min(times):.1f}", f"{median_us - base:+.2f}")
    Console().print(results)


if __name__ == "__main__":
    main()
