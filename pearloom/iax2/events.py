"""What a leg tells its host."""

from __future__ import annotations

from dataclasses import dataclass

from pearloom.core.calls import Media
from pearloom.iax2.attempt_endings import SetUpFailure, Stage
from pearloom.iax2.frames import (
    Elements,
)


@dataclass(frozen=True, slots=True)
class Progressed:
    """The set-up has come further; it means nothing to the call."""


@dataclass(frozen=True, slots=True)
class Answered:
    """The call stands; the description is None where the peer sent none."""

    description: bytes | None
    circuits: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The peer turned the set-up away, or hung up before any answer, in this stage."""

    stage: Stage
    cause: int
    why: str
    circuits: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The set-up ended without a word of the peer on it."""

    stage: Stage
    failure: SetUpFailure
    reason: str = ""


@dataclass(frozen=True, slots=True)
class HungUp:
    """The peer ended the leg."""

    cause: int


@dataclass(frozen=True, slots=True)
class LegLost:
    """The leg of a call that stands is no more, without a HANGUP."""

    reason: str


@dataclass(frozen=True, slots=True)
class SetUpReceived:
    """A set-up that may be placed: its caller has shown what was asked of it."""

    elements: Elements


@dataclass(frozen=True, slots=True)
class MediaReceived:
    """Something of the standing call to be passed on."""

    media: Media


@dataclass(frozen=True, slots=True)
class LegEnded:
    """Nothing more is to come or to be sent; the call number may rest."""


Event = (
    Progressed | Answered | Rejected | Failed | HungUp | LegLost | SetUpReceived | MediaReceived | LegEnded
)
