"""What a call costs by the protocols of its two sides: `python -m benchmarks.iax2 [--rate N] [--seconds N]`.

Processor time of the softswitch's process a call (set-up, answer, release), each pair in turn within one
run and as a ratio to binary to SIP; the turns are repeated and the median is told. Then memory a standing
call.
"""

from __future__ import annotations

import argparse
import os
from pathlib import Path
from statistics import median

import gevent

from pearloom.fakes.journal import EntryKind
from pearloom.fakes.script import ServerProfile
from pearloom.fakes.testbed import Testbed

PAIRS = (("binary", "sip"), ("binary", "iax2"), ("iax2", "sip"), ("iax2", "iax2"))
STEADY = ServerProfile(delay_ms=(5.0, 20.0), mean_hold_ms=500.0)
LONG = ServerProfile(delay_ms=(5.0, 20.0), mean_hold_ms=3_600_000.0)
TICK = os.sysconf("SC_CLK_TCK")


def _stage(pair: tuple[str, str], manner: ServerProfile, seed: int) -> Testbed:
    servers = (manner, manner)
    stage = Testbed(seed, sip=servers if pair[1] == "sip" else (), iax2=servers if pair[1] == "iax2" else ())
    stage.start()
    stage.add_callers(binary=4 if pair[0] == "binary" else 0, iax2=4 if pair[0] == "iax2" else 0)
    return stage


def _cpu_s(stage: Testbed) -> float:
    assert stage.process is not None
    fields = Path(f"/proc/{stage.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def _memory_kb(stage: Testbed) -> float:
    assert stage.process is not None
    return (
        int(Path(f"/proc/{stage.process.pid}/statm").read_text().split()[1])
        * os.sysconf("SC_PAGESIZE")
        / 1024
    )


def cpu_ms_a_call(pair: tuple[str, str], rate: float, seconds: float, seed: int) -> float:
    """Milliseconds of processor time a call, what an idle process takes in that time left out."""
    stage = _stage(pair, STEADY, seed)
    try:
        stage.play(rate, 2.0, leaves=0.0)  # gates find their limits
        stage.settle(10.0)
        before = _cpu_s(stage)
        gevent.sleep(seconds)
        idle = _cpu_s(stage) - before
        stood = sum(one.kind is EntryKind.ESTABLISHED for one in stage.journal.entries)
        before = _cpu_s(stage)
        stage.play(rate, seconds, leaves=0.0)
        busy = _cpu_s(stage) - before
        calls = sum(one.kind is EntryKind.ESTABLISHED for one in stage.journal.entries) - stood
    finally:
        stage.close()
    if calls < 0.95 * rate * seconds:
        raise SystemExit(f"{pair}: only {calls} of {rate * seconds:.0f} calls stood: the figure says nothing")
    return (busy - idle) * 1000.0 / calls


def memory_kb_a_call(pair: tuple[str, str], calls: int, seed: int) -> float:
    """KiB of resident memory a standing call."""
    stage = _stage(pair, LONG, seed)
    try:
        stage.play(200, 1.0, leaves=0.0)
        gevent.sleep(1.0)
        before, stood = _memory_kb(stage), sum(one.established_calls for one in stage.servers)
        stage.play(200, calls / 200, leaves=0.0)
        gevent.sleep(2.0)
        return (_memory_kb(stage) - before) / (sum(one.established_calls for one in stage.servers) - stood)
    finally:
        stage.close()


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=150.0)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--turns", type=int, default=3)
    parser.add_argument("--standing", type=int, default=3000)
    told = parser.parse_args()
    costs: dict[tuple[str, str], list[float]] = {pair: [] for pair in PAIRS}
    for turn in range(told.turns):
        for pair in PAIRS:
            costs[pair].append(cpu_ms_a_call(pair, told.rate, told.seconds, 10 * turn + 1))
    base = costs[PAIRS[0]]
    print(f"{'pair':18}{'ms a call':>12}{'lowest':>9}{'highest':>9}{'ratio':>8}{'KiB a standing call':>22}")
    for pair in PAIRS:
        ratio = median(one / other for one, other in zip(costs[pair], base, strict=True))
        memory = memory_kb_a_call(pair, told.standing, 5)
        name = " to ".join(pair)
        print(
            f"{name:18}{median(costs[pair]):12.3f}{min(costs[pair]):9.3f}{max(costs[pair]):9.3f}"
            f"{ratio:8.2f}{memory:22.2f}"
        )


if __name__ == "__main__":
    main()
