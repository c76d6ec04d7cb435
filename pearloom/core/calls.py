"""Calls, set-ups, media, and the interfaces through which the exchange and its two sides call each other.

Data types and protocols only: nothing here uses a socket or makes a decision.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from pearloom.core.config import Server
from pearloom.core.errors import Progress
from pearloom.interface import Ending

if TYPE_CHECKING:
    from pearloom.core.routing import CallRoute


@dataclass(slots=True)
class SetUpRequest:
    """A set-up as its caller sent it; the description is dropped once the call has been answered."""

    call: str  # the call's id
    class_index: int  # of its call class in the settings
    class_name: str
    number: str  # called number
    description: bytes
    patience_ms: float  # for which the caller waits for the answer
    first_choice: int  # as the caller sent it; -1: none
    was_cut: bool = False  # the caller redials a call that was cut
    tenant: int = -1  # index in the settings; -1: the call belongs to no tenant
    codec: int = 0  # of the caller's media, as RFC 5456 (8.7) numbers codecs; 0: no media on this connection


@dataclass(slots=True)
class SetUpAttempt:
    """One attempt to set up a call at a session server; the caller's request is passed on unchanged."""

    request: SetUpRequest
    attempt: int
    ring_limit_ms: float


class MediaKind(Enum):
    """Type of a piece of media."""

    VOICE = "voice"
    DIGIT = "digit"


@dataclass(frozen=True, slots=True)
class Media:
    """One frame of media in an established call, for protocols that carry media beside the signalling."""

    kind: MediaKind
    codec: int  # as RFC 5456 (8.7) numbers them
    timestamp_ms: int  # since the start of its leg
    payload: bytes


class Caller(Protocol):
    """The sender of a set-up, which is owed one final answer."""

    @property
    def is_connected(self) -> bool:
        """Report whether the caller is still connected, as far as can be seen at this moment."""

    def send_answer(self, call: str, description: bytes) -> None:
        """Report that the call is established, with the server's description."""

    def send_refusal(self, call: str, stay_away_ms: float) -> None:
        """Refuse the call; the caller may redial, after `stay_away_ms` where that is above 0."""

    def send_failure(self, call: str) -> None:
        """Report that the call failed."""

    def send_media(self, call: str, media: Media) -> None:
        """Send media that came from the server of an established call."""


class NullCaller:
    """Takes the place of the caller of an inherited call, which is not known to this process."""

    is_connected = True

    def send_answer(self, call: str, description: bytes) -> None:
        """Do nothing."""

    def send_refusal(self, call: str, stay_away_ms: float) -> None:
        """Do nothing."""

    def send_failure(self, call: str) -> None:
        """Do nothing."""

    def send_media(self, call: str, media: Media) -> None:
        """Drop the media."""


class CallerSide(Protocol):
    """The part of the softswitch that is connected with the callers."""

    def release(self, call: str, cause: int, caller: Caller | None) -> None:
        """Send the release of an established call, to `caller` where possible, else to any other caller."""


class ServerSide(Protocol):
    """The part of the softswitch that is connected with the session servers."""

    def update_servers(self, servers: Sequence[Server], whole: bool) -> None:
        """Apply a pool list; `whole`: servers that it does not name are dropped."""

    @property
    def discovered(self) -> int:
        """Number of servers in the pool list."""

    def withdraw_unsent(self) -> None:
        """End every attempt that is not yet sent and whose server may get no new set-up."""

    def set_up(self, server: str, set_up: SetUpAttempt) -> None:
        """Send an attempt; its answer or its ending is reported to the exchange."""

    def give_up(self, server: str, call: str) -> Progress | None:
        """End the attempt in progress; no answer is reported for it any more.

        Returns how far it had come. None: the server may still be processing it;
        `Exchange.attempt_ended` is called within a second."""

    def release(self, server: str | None, call: str, number: str, cause: int) -> None:
        """Release an established call; `server` is None where only a session server can know the call."""

    def have_same_address(self, server: str, other: str) -> bool:
        """Report whether the connections to both servers lead to one process."""

    def send_media(self, server: str, call: str, media: Media) -> None:
        """Send media that came from the caller of an established call."""


@dataclass(slots=True)
class Call:
    """One call of this process, from its set-up until it is released. Times are Unix time in ms."""

    request: SetUpRequest
    caller: Caller
    attempts: int = 0  # so far
    current_attempt: int = -1  # number of the attempt in progress; -1: none
    server: str = ""  # of the latest attempt
    arrived_ms: float = 0.0
    sent_ms: float = 0.0
    timeout_ms: float = 0.0  # of the attempt in progress, counted from `sent_ms`
    established_ms: float = 0.0
    answered: bool = False  # the final answer was given, or none is owed
    is_established: bool = False
    abandoned_as: Ending | None = None  # set while an abandoned attempt's end is still to be reported
    call_route: CallRoute | None = None  # given by the fleet's routing rules when the call arrived
