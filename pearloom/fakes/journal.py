"""The record of what the fakes sent and received; the rule checker reads only this, not the softswitch."""

from __future__ import annotations

import time
from dataclasses import dataclass
from enum import Enum


class EntryKind(Enum):
    """What a journal entry records."""

    OFFERED = "a caller sent a set-up"
    ESTABLISHED = "a caller received the answer to its set-up"
    REFUSED = "a caller received a refusal"
    FAILED = "a caller received the failure of its set-up"
    GAVE_UP = "a caller abandoned its set-up"
    CALLER_RELEASED = "a caller released its established call"
    RELEASED = "a caller received the release of its established call"
    SET_UP = "a server received a complete set-up"
    ANSWERED = "a server sent its answer"
    DECLINED = "a server sent its refusal"
    CANCELLED = "a server received the cancellation of a set-up"
    DROPPED = "a server discarded an unanswered set-up on its own"
    RELEASE_RECEIVED = "a server received the release of an established call"
    SERVER_RELEASED = "a server released an established call"
    DIED = "a server's process ended, with all its established calls"
    STATE_CHANGED = "the coordinator announced a server's state"


@dataclass(frozen=True, slots=True)
class Entry:
    """One recorded event, at a time in Unix ms."""

    at_ms: float
    kind: EntryKind
    party: str  # the server's id, or the caller's name
    call: str = ""
    label: str = ""  # the call's class; for STATE_CHANGED the state
    protocol: str = ""
    description: bytes = b""
    number: str = ""
    patience_ms: float = 0.0


class Journal:
    """All entries, in the order of time."""

    def __init__(self) -> None:
        """Start without entries."""
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
        """Append an entry with the present time."""
        at = time.time() * 1000.0
        self.entries.append(Entry(at, kind, party, call, label, protocol, description, number, patience_ms))

    @property
    def is_quiet(self) -> bool:
        """Whether, as seen by the callers, all calls have ended and all set-ups have their final answer."""
        changes = {EntryKind.ESTABLISHED: 1, EntryKind.RELEASED: -1, EntryKind.CALLER_RELEASED: -1}
        final = (EntryKind.ESTABLISHED, EntryKind.REFUSED, EntryKind.FAILED, EntryKind.GAVE_UP)
        established = sum(changes.get(entry.kind, 0) for entry in self.entries)
        unanswered = sum((entry.kind is EntryKind.OFFERED) - (entry.kind in final) for entry in self.entries)
        return established <= 0 and unanswered <= 0
