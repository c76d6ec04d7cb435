"""What a call costs by the protocols of its two sides: `python -m benchmarks.iax2 [--rate N] [--seconds N]`.

Prints the softswitch's processor time per call (set-up, answer, release) for each pair of protocols, and the
ratio to the pair binary to SIP. All pairs are measured one after the other, in several rounds; the median of
the rounds is printed, then the memory per established call.
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
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def _start_stage(pair: tuple[str, str], manner: ServerProfile, seed: int) -> Testbed:
    servers = (manner, manner)
    stage = Testbed(seed, sip=servers if pair[1] == "sip" else (), iax2=servers if pair[1] == "iax2" else ())
    stage.start()
    stage.add_callers(binary=4 if pair[0] == "binary" else 0, iax2=4 if pair[0] == "iax2" else 0)
    return stage


def _cpu_s(stage: Testbed) -> float:
    assert stage.process is not None
    fields = Path(f"/proc/{stage.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _memory_kb(stage: Testbed) -> float:
    assert stage.process is not None
    return (
        int(Path(f"/proc/{stage.process.pid}/statm").read_text().split()[1])
        * os.sysconf("SC_PAGESIZE")
        / 1024
    )


def cpu_ms_per_call(pair: tuple[str, str], rate: float, seconds: float, seed: int) -> float:
    """Return milliseconds of processor time per call, less what the idle process takes in the same time."""
    stage = _start_stage(pair, STEADY, seed)
    try:
        stage.play(rate, 2.0, leaves=0.0)  # lets the gates find their limits
        stage.settle(10.0)
        before = _cpu_s(stage)
        gevent.sleep(seconds)
        idle = _cpu_s(stage) - before
        answered_before = sum(entry.kind is EntryKind.ESTABLISHED for entry in stage.journal.entries)
        before = _cpu_s(stage)
        stage.play(rate, seconds, leaves=0.0)
        busy = _cpu_s(stage) - before
        calls = sum(entry.kind is EntryKind.ESTABLISHED for entry in stage.journal.entries) - answered_before
    finally:
        stage.close()
    if calls < 0.95 * rate * seconds:
        raise SystemExit(
            f"{pair}: only {calls} of {rate * seconds:.0f} calls were answered; the measurement is not valid"
        )
    return (busy - idle) * 1000.0 / calls


def memory_kb_per_call(pair: tuple[str, str], calls: int, seed: int) -> float:
    """Return KiB of resident memory per established call."""
    stage = _start_stage(pair, LONG, seed)
    try:
        stage.play(200, 1.0, leaves=0.0)
        gevent.sleep(1.0)
        before, established = _memory_kb(stage), sum(server.established_calls for server in stage.servers)
        stage.play(200, calls / 200, leaves=0.0)
        gevent.sleep(2.0)
        return (_memory_kb(stage) - before) / (
            sum(server.established_calls for server in stage.servers) - established
        )
    finally:
        stage.close()


def main() -> None:
    """Measure all pairs and print one line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=150.0)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--turns", type=int, default=3)
    parser.add_argument("--standing", type=int, default=3000)
    arguments = parser.parse_args()
    costs: dict[tuple[str, str], list[float]] = {pair: [] for pair in PAIRS}
    for round_number in range(arguments.turns):
        for pair in PAIRS:
            costs[pair].append(
                cpu_ms_per_call(pair, arguments.rate, arguments.seconds, 10 * round_number + 1)
            )
    base = costs[PAIRS[0]]
    print(f"{'pair':18}{'ms per call':>12}{'lowest':>9}{'highest':>9}{'ratio':>8}{'KiB a call':>12}")
    for pair in PAIRS:
        ratio = median(cost / base_cost for cost, base_cost in zip(costs[pair], base, strict=True))
        memory = memory_kb_per_call(pair, arguments.standing, 5)
        name = " to ".join(pair)
        print(
            f"{name:18}{median(costs[pair]):12.3f}{min(costs[pair]):9.3f}{max(costs[pair]):9.3f}"
            f"{ratio:8.2f}{memory:12.2f}"
        )


if __name__ == "__main__":
    main()
