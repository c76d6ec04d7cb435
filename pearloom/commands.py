"""The command line `pearloom`."""

from __future__ import annotations

import sys
from collections import Counter
from typing import Annotated

from cyclopts import App, Parameter
from rich.console import Console
from rich.table import Table

app = App(name="pearloom", help="A softswitch for call set-ups.", version_flags=[])


@app.command
def demo(
    seconds: Annotated[float, Parameter(help="how long calls are placed")] = 20.0,
    rate: Annotated[float, Parameter(help="calls per second")] = 50.0,
    seed: Annotated[int, Parameter(help="seed of all random numbers")] = 1,
) -> int:
    """Run a small installation on loopback: four fake servers, callers of both kinds, a drain midway.

    Prints the outcomes of calls by class and protocols, and the violated rules; exit code 1 if there are any.
    """
    from pearloom.fakes.stage import Stage

    console = Console()
    stage = Stage(seed)
    try:
        stage.start()
        stage.add_callers(binary=3, iax2=3)
        console.print(
            f"{rate:g} calls a second for {seconds:g} s; {stage.iax2[0].server} drains in the middle"
        )
        stage.play(rate, seconds / 2)
        stage.drain(stage.iax2[0])
        stage.play(rate, seconds / 2)
        settled = stage.settle(20.0)
        report = stage.report(done=settled)
    finally:
        code = stage.close()
    outcomes = sorted({key[3] for key in report.ends})
    table = Table(
        "class", "caller", "last server", *(outcome.lower().replace("_", " ") for outcome in outcomes)
    )
    rows: dict[tuple[str, str, str], Counter[str]] = {}
    for (class_name, caller, server, outcome), count in report.ends.items():
        rows.setdefault((class_name, caller, server), Counter())[outcome] += count
    for key, counts in sorted(rows.items()):
        table.add_row(*key, *(str(counts[outcome]) for outcome in outcomes))
    console.print(table)
    attempts = ", ".join(f"{server} {count}" for server, count in sorted(report.attempts.items()))
    console.print(f"attempts: {attempts}; {report.crossed} calls went over both protocols")
    for broken in report.broken[:20]:
        console.print(f"broken: {broken.rule}: {broken.call} {broken.detail}", style="red")
    console.print(f"rules broken: {len(report.broken)}; all ended: {settled}; softswitch's exit code: {code}")
    return 0 if settled and not report.broken and code == 0 else 1


def main() -> None:
    """Run the command line."""
    sys.exit(app())
