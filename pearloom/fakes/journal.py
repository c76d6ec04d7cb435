"""What the fakes saw and did, in one list: the rule checker reads this and nothing of the softswitch."""

from __future__ import annotations

import time
from dataclasses import dataclass
from enum import Enum


class EntryKind(Enum):
    """What an entry tells."""

    OFFERED = "a caller sent a set-up"
    ESTABLISHED = "a caller was told that its call stands"
    REFUSED = "a caller was refused"
    FAILED = "a caller was told that its set-up failed"
    GAVE_UP = "a caller gave its set-up up"
    CALLER_RELEASED = "a caller released its standing call"
    RELEASED = "a caller was told that its standing call is over"
    SET_UP = "a set-up reached a server whole"
    ANSWERED = "a server wrote its answer"
    DECLINED = "a server wrote its refusal"
    CANCELLED = "a server was told that a set-up is given up"
    DROPPED = "a server gave an unanswered set-up up by itself"
    RELEASE_RECEIVED = "a server was told that a standing call is over"
    SERVER_RELEASED = "a server released a standing call"
    DIED = "a server's process ended, and with it all that stood there"
    STATE_CHANGED = "the coordinator told of a server's state"


@dataclass(frozen=True, slots=True)
class Entry:
    """One thing that happened, at Unix ms."""

    at_ms: float
    kind: EntryKind
    party: str  # the server's id, or the caller's name
    call: str = ""
    label: str = ""  # the call's class; for TOLD the state
    protocol: str = ""
    description: bytes = b""
    number: str = ""
    patience_ms: float = 0.0


class Journal:
    """The list, in the order of time."""

    def __init__(self) -> None:
        """Empty."""
        self.entries: list[Entry] = []

    def add(
        self,
        kind: EntryKind,
        party: str,
        call: str = "",
        label: str = "",
        protocol: str = "",
        description: bytes = b"",
        number: str = "",
        patience_ms: float = 0.0,
    ) -> None:
        """Note what happened just now."""
        at = time.time() * 1000.0
        self.entries.append(Entry(at, kind, party, call, label, protocol, description, number, patience_ms))

    @property
    def is_quiet(self) -> bool:
        """Is every call over, and every answer that is owed given, as the callers were told?"""
        over = {EntryKind.ESTABLISHED: 1, EntryKind.RELEASED: -1, EntryKind.CALLER_RELEASED: -1}
        final = (EntryKind.ESTABLISHED, EntryKind.REFUSED, EntryKind.FAILED, EntryKind.GAVE_UP)
        held = sum(over.get(one.kind, 0) for one in self.entries)
        owed = sum((one.kind is EntryKind.OFFERED) - (one.kind in final) for one in self.entries)
        return held <= 0 and owed <= 0
