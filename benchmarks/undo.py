"""How long an undo takes on real processes, from the call to the last confirmation, also with one stopped.

python -m benchmarks.undo [PROCESSES] [REPEATS]
"""

from __future__ import annotations

import signal
import statistics
import sys
import time

import gevent
from rich.console import Console
from rich.table import Table

from pearloom.fakes.fleet import Rig

RULES = [{"name": "last", "effect": {"type": "avoid", "cells": [2]}}]


def wait_until_confirmed(rig: Rig, number: int, names: set[str]) -> float:
    """Wait until all of these have confirmed this head at the store; return when the last one was seen."""
    while True:
        seen: dict[str, float] = {}
        for name in names:
            entries = rig.gateway.store.range(f"/pearloom/rules/at/{name}".encode())
            if entries and f'"number":{number},'.encode() in entries[0].value:
                seen[name] = time.monotonic()
        if len(seen) == len(names):
            return max(seen.values())
        gevent.sleep(0.001)


def measure_undo_ms(rig: Rig, at: str, names: set[str]) -> float:
    """Undo once; return the milliseconds until all have confirmed."""
    number = int(rig.head()["number"]) + 1
    started_s = time.monotonic()
    request = gevent.spawn(rig.management_call, at, "POST", "/v1/rules/undo")
    took_s = wait_until_confirmed(rig, number, names) - started_s
    status, text = request.get()
    assert status == 200, text
    return 1000.0 * took_s


def main() -> None:
    """Print median and worst time, with all processes running and with one stopped."""
    processes = int(sys.argv[1]) if len(sys.argv) > 1 else 16
    repeats = int(sys.argv[2]) if len(sys.argv) > 2 else 50
    rig = Rig(61, processes, maintenance={"floor": 0.3})
    table = Table("softswitches", "state", "undos", "median ms", "worst ms", "writes to the store per undo")
    try:
        rig.start()
        names = set(rig.nodes)
        rig.wait_until(
            lambda: rig.management_call("n1", "GET", "/v1/members")[1].count("condition=live") == processes,
            30.0,
        )
        rig.propose("n1", RULES, 0, at_once=True)
        wait_until_confirmed(rig, 1, names)
        load = gevent.spawn(rig.play, 100.0, 600.0)
        for state in ("all run, 100 calls per second", "one is stopped"):
            if state == "one is stopped":
                rig.nodes["n2"].send(signal.SIGSTOP)
                names.discard("n2")
                gevent.sleep(4.0)
            took_ms, before = [], rig.gateway.store.revision
            for number in range(repeats):
                at = sorted(names)[number % len(names)]
                took_ms.append(measure_undo_ms(rig, at, names))
            writes = sum(
                change.held.key.startswith(b"/pearloom/rules/")
                for change in rig.gateway.store.since(before + 1, b"/pearloom/", b"/pearloom0")
            )
            table.add_row(
                str(processes), state, str(repeats), f"{statistics.median(took_ms):.0f}",
                f"{max(took_ms):.0f}", f"{writes / repeats:.1f}",
            )  # fmt: skip
        load.kill()
    finally:
        rig.close()
    Console().print(table)


if __name__ == "__main__":
    main()
