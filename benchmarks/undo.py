"""How long an undo takes on real processes, from the call to the last confirmation; one stopped too.

python -m benchmarks.undo [PROCESSES] [TIMES]
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


def confirmed(rig: Rig, number: int, names: set[str]) -> float:
    """When the last of these confirmed this head, by the store's own history; waits for it."""
    while True:
        seen: dict[str, float] = {}
        for name in names:
            held = rig.gateway.store.range(f"/pearloom/rules/at/{name}".encode())
            if held and f'"number":{number},'.encode() in held[0].value:
                seen[name] = time.monotonic()
        if len(seen) == len(names):
            return max(seen.values())
        gevent.sleep(0.001)


def undone(rig: Rig, at: str, names: set[str]) -> float:
    """One undo; returns ms."""
    number = int(rig.head()["number"]) + 1
    began = time.monotonic()
    asking = gevent.spawn(rig.management_call, at, "POST", "/v1/rules/undo")
    took = confirmed(rig, number, names) - began
    status, text = asking.get()
    assert status == 200, text
    return 1000.0 * took


def main() -> None:
    """Print median and worst, with all running and with one stopped."""
    processes = int(sys.argv[1]) if len(sys.argv) > 1 else 16
    times = int(sys.argv[2]) if len(sys.argv) > 2 else 50
    rig = Rig(61, processes, maintenance={"floor": 0.3})
    table = Table("softswitches", "state", "undos", "median ms", "worst ms", "writes to the store an undo")
    try:
        rig.start()
        names = set(rig.nodes)
        rig.wait_until(
            lambda: rig.management_call("n1", "GET", "/v1/members")[1].count("condition=live") == processes,
            30.0,
        )
        rig.propose("n1", RULES, 0, at_once=True)
        confirmed(rig, 1, names)
        calling = gevent.spawn(rig.play, 100.0, 600.0)
        for state in ("all run, 100 calls a second", "one is stopped"):
            if state == "one is stopped":
                rig.nodes["n2"].send(signal.SIGSTOP)
                names.discard("n2")
                gevent.sleep(4.0)
            took, before = [], rig.gateway.store.revision
            for turn in range(times):
                at = sorted(names)[turn % len(names)]
                took.append(undone(rig, at, names))
            writes = sum(
                change.held.key.startswith(b"/pearloom/rules/")
                for change in rig.gateway.store.since(before + 1, b"/pearloom/", b"/pearloom0")
            )
            table.add_row(
                str(processes), state, str(times), f"{statistics.median(took):.0f}", f"{max(took):.0f}",
                f"{writes / times:.1f}",
            )  # fmt: skip
        calling.kill()
    finally:
        rig.close()
    Console().print(table)


if __name__ == "__main__":
    main()
