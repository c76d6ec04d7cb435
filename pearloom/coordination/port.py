"""What pearloom asks of a store, in values. No I/O: decisions see these types and never the store itself.

An attempt is an optimistic transaction: all compares hold, and then all deeds are done as one, or nothing is.
That no standing leader is needed rests on this: every softswitch may try the same step, and one wins.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

MAX_VALUE_BYTES = 64 * 1024  # of one key: a larger one was not written by pearloom and is refused unread


class StoreError(Exception):
    """The store gave no usable answer; `sent`: what was asked may have taken effect all the same."""

    def __init__(self, reason: str, sent: bool = True) -> None:
        """`reason` is one line."""
        super().__init__(reason)
        self.sent = sent


@dataclass(frozen=True, slots=True)
class Entry:
    """One key: its value, and the revisions at which it was created and last written."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All keys below the prefix, as they were at one revision of one store.

    `cluster` tells a store that was made anew from the one before, whose revisions mean nothing here."""

    cluster: int
    revision: int
    entries: tuple[Entry, ...]

    def find(self, key: str) -> Entry | None:
        """The entry of this key, if it is there."""
        return next((entry for entry in self.entries if entry.key == key), None)

    def with_prefix(self, prefix: str) -> tuple[Entry, ...]:
        """The entries whose keys begin so, by key."""
        return tuple(entry for entry in self.entries if entry.key.startswith(prefix))


@dataclass(frozen=True, slots=True)
class Compare:
    """The key was last written at this revision (0: it is not there), and holds this value, if one is told.

    The value matters where a store may come back without its last writes: it gives their revisions again, to
    other writes. A value that carries a tag of its own is told from whatever else got its revision."""

    key: str
    mod_revision: int
    value: bytes | None = None


@dataclass(frozen=True, slots=True)
class Write:
    """Put a value, or delete the key (`value` None); `lease`: the key ends with the own lease."""

    key: str
    value: bytes | None
    lease: bool = False


@dataclass(frozen=True, slots=True)
class Transaction:
    """One optimistic transaction; its marker tells later whether it took effect, where the reply was lost."""

    compares: tuple[Compare, ...]
    writes: tuple[Write, ...]


class Outcome(Enum):
    """How an attempt ended."""

    WON = "won"
    LOST = "lost"  # something was written in between: look again
    UNKNOWN = "unknown"  # no answer came, and the store could not be read since


@dataclass(frozen=True, slots=True)
class Changes:
    """What a watch told: the keys written (with their values), those deleted, and at which revision.

    `revision` is the newest change's, never the store's own of that moment, which may be ahead of what has
    been told; 0 where a line tells of no change."""

    cluster: int
    revision: int
    put: tuple[Entry, ...] = ()
    deleted: tuple[tuple[str, int], ...] = field(default=())


class Store(Protocol):
    """A store; each call blocks its greenlet alone, ends within the time-out, and raises StoreError."""

    def read(self) -> Snapshot:
        """All keys below the prefix."""

    def commit(self, attempt: Transaction, lease: int) -> bool:
        """Try it; False where a compare did not hold."""

    def grant(self, ttl_s: int) -> int:
        """A new lease."""

    def keep_alive(self, lease: int) -> bool:
        """Renew a lease; False where it is over."""

    def revoke(self, lease: int) -> None:
        """End a lease, and its keys."""

    def watch(self, after: int, told: Callable[[Changes], bool]) -> None:
        """Tell of every change after this revision until it breaks or `told` returns False."""


def apply_changes(snapshot: Snapshot, changes: Changes) -> Snapshot | None:
    """The snapshot with these changes, or None where they don't follow from it and all is to be read anew.

    Guards against a watch that goes on at another store, or at one that lost its last writes: its revisions
    are lower, and what they stand for is something else."""
    if changes.cluster != snapshot.cluster or changes.revision < snapshot.revision:
        return None
    held = {entry.key: entry for entry in snapshot.entries}
    for entry in changes.put:
        # What is not newer than the snapshot is in it already, or was deleted since.
        if entry.mod_revision > snapshot.revision:
            held[entry.key] = entry
    for key, mod in changes.deleted:
        if mod > snapshot.revision:
            held.pop(key, None)
    return Snapshot(changes.cluster, changes.revision, tuple(held[key] for key in sorted(held)))


def took_effect(attempt: Transaction, before: Sequence[Compare], now: Snapshot) -> bool | None:
    """Did an attempt whose reply was lost take effect? Read from what is there now.

    True: one of its values stands where it would have put it, under a newer revision than compared with.
    None: the key was written over since, so that both are possible; the caller looks at what is there and
    goes on from that, as after a loss. Values that must be told apart carry who wrote them and a number."""
    put = [write for write in attempt.writes if write.value is not None]
    if not put:
        gone = all(now.find(write.key) is None for write in attempt.writes)
        return True if gone else None
    compared = {compare.key: compare.mod_revision for compare in before}
    for write in put:
        entry = now.find(write.key)
        if (
            entry is not None
            and entry.value == write.value
            and entry.mod_revision > compared.get(write.key, 0)
        ):
            return True
    untouched = all(
        (entry.mod_revision if (entry := now.find(compare.key)) else 0) == compare.mod_revision
        for compare in before
    )
    return False if untouched else None
