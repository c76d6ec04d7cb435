"""Machines taken out for work, one after another, in an order that the softswitches settle among themselves.

Pure: from what the store holds and what one softswitch sees, the one next step and the reason of each wait.
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
