"""The fleet rig: several real softswitch processes, fakes of the systems around them, and injected faults."""

from pearloom.fakes.fleet.history import rule_violations, slot_violations
from pearloom.fakes.fleet.proxy import LinkFaults, Proxy
from pearloom.fakes.fleet.rig import Node, Rig
from pearloom.fakes.fleet.script import Fault, Step, play

__all__ = [
    "Fault",
    "Node",
    "Proxy",
    "Rig",
    "Step",
    "LinkFaults",
    "rule_violations",
    "slot_violations",
    "play",
]
