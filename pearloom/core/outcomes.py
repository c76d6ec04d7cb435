"""How calls end, in the words in which rules are judged. Values only: no I/O."""

from __future__ import annotations

from enum import Enum


class CallOutcome(Enum):
    """How a call's set-up ended, and after it stood the call itself."""

    STOOD = "stood"  # within its aim
    LATE = "late"  # stood after its aim
    REFUSED = "refused"
    FAILED = "failed"
    ENDED = "ended"  # a call that stood was released
    CUT = "cut"  # a call that stood was lost with its server or connection
