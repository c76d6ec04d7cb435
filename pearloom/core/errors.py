"""Errors as values: each says how far the attempt had come, and so what it proves."""

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
    """Why an attempt ended without a call that stands.

    `ending` is set where the session server itself said how; else how far it had come decides.
    """

    progress: Progress
    reason: str
    ending: Ending | None = None
    processor_full: bool = False
    no_line: bool = False
    line_only: bool = False  # its connection ended; that says nothing of the server

    def implied_ending(self) -> Ending:
        """The ending that this error stands for.

        A set-up that did not leave whole never ran; one that did may have, whatever befell its connection."""
        if self.ending is not None:
            return self.ending
        if self.progress is Progress.NOT_DIALLED:
            return Ending.NOT_SENT
        return Ending.UNREACHABLE if self.progress < Progress.SENT else Ending.RESET


@dataclass(frozen=True, slots=True)
class Malformed:
    """Bytes that the protocol does not allow; a `fatal` one leaves no way to find the next message."""

    reason: str
    fatal: bool
    call: str = ""  # the call that it was about, where that can be read
