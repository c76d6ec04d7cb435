"""Events that a leg reports to its owner."""

from __future__ import annotations

from dataclasses import dataclass

from pearloom.core.calls import Media
from pearloom.iax2.attempt_endings import SetUpFailure, Stage
from pearloom.iax2.frames import (
    Elements,
)


@dataclass(frozen=True, slots=True)
class Progressed:
    """The set-up has progressed, without consequence for the call."""


@dataclass(frozen=True, slots=True)
class Answered:
    """The peer answered; the description is None if the ANSWER contained none."""

    description: bytes | None
    circuits: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The peer sent REJECT, or HANGUP before any answer, in this stage."""

    stage: Stage
    cause: int
    reason: str
    circuits: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The set-up ended without a cause from the peer."""

    stage: Stage
    failure: SetUpFailure
    reason: str = ""


@dataclass(frozen=True, slots=True)
class HungUp:
    """The peer sent HANGUP."""

    cause: int


@dataclass(frozen=True, slots=True)
class LegLost:
    """The leg of an established call was lost without a HANGUP."""

    reason: str


@dataclass(frozen=True, slots=True)
class SetUpReceived:
    """A set-up from a caller that has passed the token check and any challenge."""

    elements: Elements


@dataclass(frozen=True, slots=True)
class MediaReceived:
    """Media of the established call to be relayed."""

    media: Media


@dataclass(frozen=True, slots=True)
class LegEnded:
    """The leg has ended: nothing more is sent or accepted, and its call number may be released."""


Event = (
    Progressed | Answered | Rejected | Failed | HungUp | LegLost | SetUpReceived | MediaReceived | LegEnded
)
