"""Faults as typed steps with times; seed and script together determine a run."""

from __future__ import annotations

import signal
import time
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

import gevent

from pearloom.fakes.fleet.rig import Rig


class Fault(Enum):
    """What a step does to a softswitch, or to its connections to the store."""

    KILL = "kill"
    STOP = "stop"  # SIGSTOP
    WAKE = "wake"  # SIGCONT
    START = "start"
    CUT = "cut"  # no data passes between the softswitch and the store
    CUT_THERE = "cut there"  # no data from the softswitch reaches the store
    CUT_BACK = "cut back"  # no data from the store reaches the softswitch
    RESET = "reset"  # its connections to the store are reset
    HEAL = "heal"
    STORE_PAUSE = "pause the store"  # for the whole fleet; the step's name is not used
    STORE_GO = "the store goes on"


@dataclass(frozen=True, slots=True)
class Step:
    """One fault, `at_ms` after the script began, at the softswitch `name`."""

    at_ms: float
    act: Fault
    name: str = ""


def play(rig: Rig, steps: Sequence[Step]) -> None:
    """Run each step at its time, and return after the last."""
    began = time.monotonic()
    for step in sorted(steps, key=lambda step: step.at_ms):
        gevent.sleep(max(began + step.at_ms / 1000.0 - time.monotonic(), 0.0))
        _run_step(rig, step)


def _run_step(rig: Rig, step: Step) -> None:
    if step.act in (Fault.STORE_PAUSE, Fault.STORE_GO):
        rig.gateway.faults.paused = step.act is Fault.STORE_PAUSE
        return
    node = rig.nodes[step.name]
    match step.act:
        case Fault.KILL:
            rig.kill(step.name)
        case Fault.STOP:
            rig.exclude_calls(step.name)
            node.send(signal.SIGSTOP)
        case Fault.WAKE:
            node.send(signal.SIGCONT)
        case Fault.START:
            rig.start(step.name)
        case Fault.CUT:
            node.store.cut()
        case Fault.CUT_THERE:
            node.store.cut(back=False)
        case Fault.CUT_BACK:
            node.store.cut(there=False)
        case Fault.RESET:
            node.store.reset()
        case Fault.HEAL:
            node.store.heal()
