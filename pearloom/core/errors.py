"""Errors as values: how far an attempt had come, and which ending follows from that."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from pearloom.interface import Ending


class Progress(IntEnum):
    """How far an attempt has come, in order."""

    NOT_DIALLED = 0
    CONNECTING = 1
    PARTLY_SENT = 2
    SENT = 3
    ANSWERED = 4


@dataclass(frozen=True, slots=True)
class AttemptError:
    """Why an attempt ended without establishing the call.

    `ending` is set where the session server itself reported one; otherwise `progress` decides.
    """

    progress: Progress
    reason: str
    ending: Ending | None = None
    processor_full: bool = False
    no_line: bool = False
    is_connection_fault: bool = False  # only its connection ended, which says nothing of the server's health

    def implied_ending(self) -> Ending:
        """Return the ending that this error proves.

        A set-up that was not sent completely never ran at the server; one that was may have run, whatever
        happened to its connection."""
        if self.ending is not None:
            return self.ending
        if self.progress is Progress.NOT_DIALLED:
            return Ending.NOT_SENT
        return Ending.UNREACHABLE if self.progress < Progress.SENT else Ending.RESET


@dataclass(frozen=True, slots=True)
class Malformed:
    """Received bytes that violate the protocol; after a `fatal` error the next message can't be found."""

    reason: str
    fatal: bool
    call: str = ""  # id of the call concerned, where it is readable
