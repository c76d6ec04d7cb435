"""Maintenance slots: which machine may be out of service next, as the softswitches agree through the store.

The decisions do no I/O: the next step, and the reason for which each slot waits, follow from the stored slots
and one softswitch's view of the fleet. `host.py` runs them.
"""

from pearloom.maintenance.order import Fleet, Machine, WaitReason, queue, wait_reasons
from pearloom.maintenance.records import (
    Limits,
    MachineKind,
    MaintenanceError,
    Phase,
    Slot,
    read_slots,
    request_slots,
)
from pearloom.maintenance.steps import Step, cancel, mark_returned, next_step

__all__ = [
    "Fleet", "Limits", "Machine", "MachineKind", "MaintenanceError", "Phase", "Slot", "Step", "WaitReason",
    "cancel", "mark_returned", "next_step", "queue", "read_slots", "request_slots", "wait_reasons",
]  # fmt: skip
