"""Rollouts of routing rules over the fleet: stages, evidence, judgement, halts, each softswitch's guard.

Loaded only if the operator's file names a store.
"""

from pearloom.rollout.confirm import Confirmation, ConfirmationStatus, confirmation_status
from pearloom.rollout.evidence import Evidence, Tally
from pearloom.rollout.steps import RolloutStep, next_step

__all__ = [
    "Confirmation", "ConfirmationStatus", "Evidence", "RolloutStep", "Tally", "confirmation_status",
    "next_step",
]  # fmt: skip
