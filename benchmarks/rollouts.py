"""Rollouts in simulated time: calls and time until a regression halts, and false halts of harmless rules.

python -m benchmarks.rollouts [DAYS]

Runs the real counts, merge and test on simulated days (`pearloom/fakes/fleet/days.py`); plots into `found/`.
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
BASE = (0.01, 0.02, 0.002)  # shares of calls: late, refused, failed
REGRESSIONS = (1 / 20, 1 / 50, 1 / 100)  # added share of failed calls, in one class of two
MANY = Day(softswitches=200, inside=20, per_s=2.0, base=BASE, lasts_s=120)
FEW = Day(softswitches=24, inside=1, per_s=10.0, base=BASE, lasts_s=120)
HARMLESS = {
    "quiet": MANY,
    "surges, more in one zone": replace(MANY, surge=0.3),
    "surges, a stage of one": replace(FEW, surge=0.3),
    "a burst of ten at the stage": replace(FEW, burst=10),
}
REPEATS = 12  # of each regression


def regressions() -> list[tuple[str, float, Day]]:
    """Return each regression at mean and at peak traffic and two fleet sizes; the stage is a tenth."""
    cases = []
    for fleet in (200, 1_000):
        for worse in REGRESSIONS:
            for busier, name in ((1.0, "mean"), (3.0, "busiest")):
                day = Day(fleet, fleet // 10, 1.0, BASE, worse, lasts_s=900, busier=busier)
                cases.append((f"{fleet}, {name}", worse, day))
    return cases


def simulate_at_rate(day: Day, seed: int) -> DayResult:
    """Play one day; a top-level function, so that a worker process can run it."""
    return simulate_day(day, seed, RATE)


def plot(curves: dict[str, list[float]]) -> Path:
    """Plot the share of repeats halted over time; return the path of the plot."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    for name, times in curves.items():
        axes.step(
            [0.0, *sorted(times)], [at / REPEATS for at in range(len(times) + 1)], where="post", label=name
        )
    axes.set(xlabel="s after the stage began", ylabel="share halted", title="Time until a regression halts")
    axes.legend(fontsize=7)
    Path("found").mkdir(exist_ok=True)
    path = Path("found/rollouts.png")
    figure.savefig(path, dpi=120)
    return path


def main() -> None:
    """Print both tables and the path of the plot."""
    days = int(sys.argv[1]) if len(sys.argv) > 1 else 1_000
    console, curves = Console(), dict[str, list[float]]()
    with ProcessPoolExecutor() as pool:
        harmless = Table("harmless rollouts", "days", "false halts", "share", "stated")
        for name, day in HARMLESS.items():
            results = list(pool.map(partial(simulate_at_rate, day), range(days), chunksize=8))
            false_halts = sum(result.halted_s is not None for result in results)
            harmless.add_row(name, str(days), str(false_halts), f"{false_halts / days:.4f}", f"{RATE:g}")
        console.print(harmless)
        table = Table("softswitches, traffic", "fails more", "halted", "median s", "worst s", "median calls")
        for name, worse, day in regressions():
            results = list(pool.map(partial(simulate_at_rate, day), range(REPEATS)))
            times = [result.halted_s for result in results if result.halted_s is not None]
            calls = [result.calls for result in results if result.halted_s is not None]
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
