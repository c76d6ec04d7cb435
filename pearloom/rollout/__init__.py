"""Rollouts of routing rules over the fleet: stages, evidence, judgement, halts, each softswitch's guard.

Loaded only where the operator's file names a store.
"""

from pearloom.rollout.confirm import Confirmation, ConfirmationStatus, followed
from pearloom.rollout.evidence import Evidence, Tally
from pearloom.rollout.steps import RolloutStep, next_step

__all__ = ["Confirmation", "Evidence", "ConfirmationStatus", "RolloutStep", "Tally", "followed", "next_step"]
