"""What a whole fleet sends a cold session server: `python -m benchmarks.cold_starts [DRAWS]`.

Prints, for each fleet size and third of the ramp, how full the fullest window of a draw was; at 1 the server
is overloaded. Processes differ in load, some have just restarted, some learn of the server's start late.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from functools import partial

from rich.console import Console
from rich.table import Table

from pearloom import interface as api
from pearloom.fakes.cold_start import Fleet, play

SETTINGS = api.Settings(
    classes=(
        api.CallClass(aim_us=2_000_000, deadline_us=9_000_000, worth=1, late_worth=0.25),
        api.CallClass(aim_us=1_500_000, deadline_us=9_000_000, worth=3, late_worth=0.25),
    ),
    answer_slack_us=20_000, cold_share=0.34, warm_after_us=14_000_000, fall_multiple=2.0, fall_us=1_500_000,
    release_us=300_000, max_attempts=4, may_cancel=True,
)  # fmt: skip
SIZES = (
    (6, 3, 7.0),
    (20, 8, 4.0),
    (30, 24, 4.5),
    (60, 24, 4.5),
    (200, 24, 4.5),
)  # processes, servers, calls per second
THIRDS = ("beginning", "middle", "end")
DRAWS = 1_000
WORKERS = 4


def fullest_windows(fleet: Fleet, seed: int) -> list[float]:
    """Return how full the fullest window of each third of the ramp was."""
    fullest = [0.0] * len(THIRDS)
    for window in play(fleet, seed):
        third = min(window.begins_us * len(THIRDS) // fleet.settings.warm_after_us, len(THIRDS) - 1)
        fullest[third] = max(fullest[third], window.fill)
    return fullest


def main(draws: int) -> None:
    """Print one table for each fleet size."""
    console = Console(width=100)
    with ProcessPoolExecutor(WORKERS) as pool:
        for processes, servers, per_s in SIZES:
            table = Table("processes", "third", "median", "99 in 100", "worst", f"over 1, of {draws}")
            fleet = Fleet(replace(SETTINGS, fleet_size=processes), processes, servers, per_s)
            results = zip(*pool.map(partial(fullest_windows, fleet), range(draws), chunksize=4), strict=True)
            for third, values in zip(THIRDS, results, strict=True):
                ranked = sorted(values)
                quantiles = (ranked[draws // 2], ranked[draws * 99 // 100], ranked[-1])
                overloads = sum(value > 1 for value in ranked)
                table.add_row(str(processes), third, *(f"{value:.2f}" for value in quantiles), str(overloads))
            console.print(table)


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else DRAWS)
