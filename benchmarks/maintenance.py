"""How long rolling work over a fleet takes, against the shortest that the limits allow; writes to the store.

python -m benchmarks.maintenance
"""

from __future__ import annotations

import time

from rich.console import Console
from rich.table import Table

from pearloom.fakes.fleet.simulation import roll
from pearloom.maintenance.records import Limits

CASES = ((12, 2, 2, 1), (50, 3, 4, 2), (200, 4, 8, 2), (200, 4, 20, 5))
DRAIN_MS, SETTLE_MS, WORK_MS = 20_000.0, 15_000.0, (60_000.0, 120_000.0)


def main() -> None:
    """Print one line a case."""
    table = Table(
        "machines", "zones", "out", "a zone", "took s", "shortest s", "ratio", "most out", "least ready",
        "writes a turn", "own time s",
    )  # fmt: skip
    for machines, zones, out, out_zone in CASES:
        limits = Limits(
            out=out, out_zone=out_zone, out_cell=machines, floor=0.5, drain_ms=DRAIN_MS, settle_ms=SETTLE_MS
        )
        began = time.perf_counter()
        found = roll(machines, zones, limits, WORK_MS, seed=7)
        own = time.perf_counter() - began
        table.add_row(
            *map(str, (machines, zones, out, out_zone)),
            f"{found.took_ms / 1000:.0f}",
            f"{found.shortest_ms / 1000:.0f}", f"{found.took_ms / found.shortest_ms:.3f}",
            str(found.most_out),
            f"{found.least_ready:.2f}", f"{found.writes / machines:.2f}", f"{own:.1f}",
        )  # fmt: skip
    Console().print(table)


if __name__ == "__main__":
    main()
