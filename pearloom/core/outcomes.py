"""Outcomes of calls, as the rollout of routing rules evaluates them."""

from __future__ import annotations

from enum import Enum


class CallOutcome(Enum):
    """How a call's set-up ended, and after an answer how the call itself ended."""

    STOOD = "stood"  # answered within the aim of its class
    LATE = "late"  # answered after the aim of its class
    REFUSED = "refused"
    FAILED = "failed"
    ENDED = "ended"  # an established call was released
    CUT = "cut"  # an established call was lost with its server or connection
