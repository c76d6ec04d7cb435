"""How long rolling maintenance takes, next to the shortest that the limits allow, and its writes.

python -m benchmarks.maintenance
"""

from __future__ import annotations

import time

from rich.console import Console
from rich.table import Table

from pearloom.fakes.fleet.simulation import roll
from pearloom.maintenance.records import Limits

CASES = ((12, 2, 2, 1), (50, 3, 4, 2), (200, 4, 8, 2), (200, 4, 20, 5))  # machines, zones, out, per zone
DRAIN_MS, SETTLE_MS, MAINTENANCE_MS = 20_000.0, 15_000.0, (60_000.0, 120_000.0)


def main() -> None:
    """Print one line for each case."""
    table = Table(
        "machines", "zones", "out", "per zone", "took s", "shortest s", "ratio", "most out", "least ready",
        "writes per slot", "simulation s",
    )  # fmt: skip
    for machines, zones, out, out_zone in CASES:
        limits = Limits(
            out=out, out_zone=out_zone, out_cell=machines, floor=0.5, drain_ms=DRAIN_MS, settle_ms=SETTLE_MS
        )
        started_s = time.perf_counter()
        result = roll(machines, zones, limits, MAINTENANCE_MS, seed=7)
        simulation_s = time.perf_counter() - started_s
        table.add_row(
            *map(str, (machines, zones, out, out_zone)),
            f"{result.took_ms / 1000:.0f}",
            f"{result.shortest_ms / 1000:.0f}", f"{result.took_ms / result.shortest_ms:.3f}",
            str(result.most_out),
            f"{result.least_ready:.2f}", f"{result.writes / machines:.2f}", f"{simulation_s:.1f}",
        )  # fmt: skip
    Console().print(table)


if __name__ == "__main__":
    main()
