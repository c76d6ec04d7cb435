"""What passes between callers, the exchange and the session servers: offers, attempts, media, and both sides.

Values and protocols alone: it knows no socket and decides nothing.
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
    """A set-up as a caller brought it; the description is dropped once the answer has been given."""

    call: str
    class_index: int
    class_name: str
    number: str
    description: bytes
    patience_ms: float
    first_choice: int
    was_cut: bool = False
    tenant: int = -1  # its place in the settings; -1: the call is nobody's
    codec: int = 0  # what the caller's media are in, as RFC 5456 (8.7) numbers codecs; 0: none come this way


@dataclass(slots=True)
class SetUpAttempt:
    """One attempt to be sent; the offer goes on unchanged."""

    request: SetUpRequest
    attempt: int
    ring_limit_ms: float


class MediaKind(Enum):
    """What a piece of media is."""

    VOICE = "voice"
    DIGIT = "digit"


@dataclass(frozen=True, slots=True)
class Media:
    """One piece of what is said in a standing call, where a protocol carries that beside the signalling."""

    kind: MediaKind
    codec: int  # as RFC 5456 (8.7) numbers them
    timestamp_ms: int  # since its leg began
    payload: bytes


class Caller(Protocol):
    """Whoever brought a call and is owed its one final answer."""

    @property
    def is_connected(self) -> bool:
        """Is it still connected, as far as can be seen at this moment?"""

    def send_answer(self, call: str, description: bytes) -> None:
        """The call stands; pass the server's description on."""

    def send_refusal(self, call: str, stay_away_ms: float) -> None:
        """Turned away: trying again is harmless, after that time if it is above 0."""

    def send_failure(self, call: str) -> None:
        """Given up."""

    def send_media(self, call: str, media: Media) -> None:
        """The server's side says something in this standing call."""


class NullCaller:
    """Stands for the caller of an inherited call: who brought it is not known here."""

    is_connected = True

    def send_answer(self, call: str, description: bytes) -> None:
        """Nobody is told."""

    def send_refusal(self, call: str, stay_away_ms: float) -> None:
        """Nobody is told."""

    def send_failure(self, call: str) -> None:
        """Nobody is told."""

    def send_media(self, call: str, media: Media) -> None:
        """Nobody hears it."""


class CallerSide(Protocol):
    """All callers."""

    def release(self, call: str, cause: int, caller: Caller | None) -> None:
        """A call that stood is over; any caller may be told, best the one that brought it."""


class ServerSide(Protocol):
    """All session servers."""

    def update_servers(self, servers: Sequence[Server], whole: bool) -> None:
        """The pool list changed."""

    @property
    def discovered(self) -> int:
        """How many are in the list."""

    def withdraw_unsent(self) -> None:
        """End every attempt that has not left yet for a server that may get no new set-up."""

    def set_up(self, server: str, set_up: SetUpAttempt) -> None:
        """Send an attempt; its end or answer comes back to the exchange."""

    def give_up(self, server: str, call: str) -> Progress | None:
        """End the attempt that is out; no answer comes of it any more.

        Returns how far it had come. None: the server may still be at work on it; `Exchange.attempt_ended`
        follows within a second."""

    def release(self, server: str | None, call: str, number: str, cause: int) -> None:
        """Release a standing call; None where only a session server can know it."""

    def send_media(self, server: str, call: str, media: Media) -> None:
        """Pass on what a caller says in a standing call."""


@dataclass(slots=True)
class Call:
    """One call of this life, from its set-up until it is over."""

    request: SetUpRequest
    caller: Caller
    attempts: int = 0
    current: int = -1
    server: str = ""
    arrived_ms: float = 0.0
    sent_ms: float = 0.0
    timeout_ms: float = 0.0  # of the attempt that is out, from `sent_ms` on
    stood_ms: float = 0.0
    answered: bool = False  # the final answer was given, or none is owed
    stands: bool = False
    given_up: Ending | None = None  # the attempt that is out was given up, and its end is still to come
    way: CallRoute | None = None  # what the fleet's routing rules said of it at its arrival
