"""Rollouts in simulated time: calls and time to the halt of a regress, and false halts of harmless ones.

python -m benchmarks.rollouts [DAYS]

The real tally, join and test on made-up days (`pearloom/fakes/fleet/days.py`); a plot goes to `found/`.
"""

from __future__ import annotations

import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from functools import partial
from pathlib import Path

import matplotlib
from rich.console import Console
from rich.table import Table

from pearloom.fakes.fleet.days import Day, DayResult, simulate_day

RATE = 0.01
BASE = (0.01, 0.02, 0.002)  # late, refused, failed
REGRESSES = (1 / 20, 1 / 50, 1 / 100)  # more failures, in one class of two
MANY = Day(softswitches=200, inside=20, per_s=2.0, base=BASE, lasts_s=120)
FEW = Day(softswitches=24, inside=1, per_s=10.0, base=BASE, lasts_s=120)
NULLS = {
    "quiet": MANY,
    "surges, more in one zone": replace(MANY, surge=0.3),
    "surges, a stage of one": replace(FEW, surge=0.3),
    "a burst of ten at the stage": replace(FEW, burst=10),
}
REPEATS = 12  # of each regress


def regresses() -> list[tuple[str, float, Day]]:
    """Each regress at mean and at the busiest traffic, at two sizes; the stage is a tenth."""
    found = []
    for fleet in (200, 1_000):
        for worse in REGRESSES:
            for busier, name in ((1.0, "mean"), (3.0, "busiest")):
                day = Day(fleet, fleet // 10, 1.0, BASE, worse, lasts_s=900, busier=busier)
                found.append((f"{fleet}, {name}", worse, day))
    return found


def played(day: Day, seed: int) -> DayResult:
    """In a process of its own."""
    return simulate_day(day, seed, RATE)


def plot(curves: dict[str, list[float]]) -> Path:
    """Share of the repeats that were halted by then."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    for name, times in curves.items():
        axes.step(
            [0.0, *sorted(times)], [at / REPEATS for at in range(len(times) + 1)], where="post", label=name
        )
    axes.set(xlabel="s after the stage began", ylabel="share halted", title="Time to the halt of a regress")
    axes.legend(fontsize=7)
    Path("found").mkdir(exist_ok=True)
    path = Path("found/rollouts.png")
    figure.savefig(path, dpi=120)
    return path


def main() -> None:
    """Print both tables, and where the plot is."""
    days = int(sys.argv[1]) if len(sys.argv) > 1 else 1_000
    console, curves = Console(), dict[str, list[float]]()
    with ProcessPoolExecutor() as pool:
        nulls = Table("rollouts that do no harm", "days", "false halts", "share", "stated")
        for name, day in NULLS.items():
            found = list(pool.map(partial(played, day), range(days), chunksize=8))
            false = sum(one.halted_s is not None for one in found)
            nulls.add_row(name, str(days), str(false), f"{false / days:.4f}", f"{RATE:g}")
        console.print(nulls)
        table = Table("softswitches, traffic", "fails more", "halted", "median s", "worst s", "median calls")
        for name, worse, day in regresses():
            found = list(pool.map(partial(played, day), range(REPEATS)))
            times = [one.halted_s for one in found if one.halted_s is not None]
            calls = [one.calls for one in found if one.halted_s is not None]
            curves[f"{name}, 1 in {round(1 / worse)}"] = times
            table.add_row(
                name, f"1 in {round(1 / worse)}", f"{len(times)} of {REPEATS}",
                f"{statistics.median(times):.0f}" if times else "-", f"{max(times):.0f}" if times else "-",
                f"{statistics.median(calls):.0f}" if calls else "-",
            )  # fmt: skip
        console.print(table)
    console.print(f"plot: {plot(curves)}")


if __name__ == "__main__":
    main()
