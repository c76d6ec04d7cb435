"""The interface of the store, as values and a protocol. No I/O: decisions use these types, not the store.

A transaction is optimistic: if all compares hold, all writes are done as one, otherwise none is. The fleet
therefore needs no elected leader: every softswitch may try the same step, and one of them succeeds.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

MAX_VALUE_BYTES = 64 * 1024  # of one key; pearloom writes no larger value, so a larger one is not decoded


class StoreError(Exception):
    """The store gave no usable response; if `sent` is true, the request may have taken effect."""

    def __init__(self, reason: str, sent: bool = True) -> None:
        """`reason` is a single line."""
        super().__init__(reason)
        self.sent = sent


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value, the revisions at which it was created and last written, and its lease."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All keys with the configured prefix at one revision of the store.

    `cluster` distinguishes a newly created store from a former one, whose revisions can't be compared."""

    cluster: int
    revision: int
    entries: tuple[Entry, ...]

    def find(self, key: str) -> Entry | None:
        """The entry of this key, or None."""
        return next((entry for entry in self.entries if entry.key == key), None)

    def with_prefix(self, prefix: str) -> tuple[Entry, ...]:
        """The entries whose keys have this prefix, sorted by key."""
        return tuple(entry for entry in self.entries if entry.key.startswith(prefix))


@dataclass(frozen=True, slots=True)
class Compare:
    """The key was last written at this revision (0: it does not exist), and has this value if one is given.

    The value matters because a store may come back without its last writes and assign their revisions to
    other writes. A value with a unique tag can't be mistaken for another write with the same revision."""

    key: str
    mod_revision: int
    value: bytes | None = None


@dataclass(frozen=True, slots=True)
class Write:
    """Put a value, or delete the key (`value` None); `lease`: the key is deleted when the lease ends."""

    key: str
    value: bytes | None
    lease: bool = False


@dataclass(frozen=True, slots=True)
class Transaction:
    """An optimistic transaction; after a lost reply, its values show whether it took effect."""

    compares: tuple[Compare, ...]
    writes: tuple[Write, ...]


class Outcome(Enum):
    """Result of a transaction."""

    WON = "won"
    LOST = "lost"  # another write came first: read the state again
    UNKNOWN = "unknown"  # no reply, and reading the state did not settle it


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes received from a watch: the keys written, with their values, and the keys deleted.

    `revision` is that of the newest change, not the store's current one, which may be ahead of the changes
    received so far; 0 if there is no change."""

    cluster: int
    revision: int
    put: tuple[Entry, ...] = ()
    deleted: tuple[tuple[str, int], ...] = field(default=())


class Store(Protocol):
    """A store; each call blocks only its greenlet, ends within the time-out, and raises StoreError."""

    def read(self) -> Snapshot:
        """Read all keys with the configured prefix."""

    def commit(self, transaction: Transaction, lease: int) -> bool:
        """Try a transaction; returns False if a compare did not hold."""

    def grant(self, ttl_s: int) -> int:
        """Create a lease with this TTL in seconds; returns its id."""

    def keep_alive(self, lease: int) -> bool:
        """Renew a lease; returns False if it has ended."""

    def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""

    def watch(self, after: int, on_changes: Callable[[Changes], bool]) -> None:
        """Pass each change after this revision to `on_changes` until it returns False or the watch breaks."""


def apply_changes(snapshot: Snapshot, changes: Changes) -> Snapshot | None:
    """The snapshot with these changes, or None if they don't follow it, so that all keys must be read again.

    Guards against a watch that goes on at another store, or at one that lost its last writes: its revisions
    are lower, and stand for other writes."""
    if changes.cluster != snapshot.cluster or changes.revision < snapshot.revision:
        return None
    entries = {entry.key: entry for entry in snapshot.entries}
    for entry in changes.put:
        # A change that is not newer than the snapshot is part of it, or has been undone by a later deletion.
        if entry.mod_revision > snapshot.revision:
            entries[entry.key] = entry
    for key, mod in changes.deleted:
        if mod > snapshot.revision:
            entries.pop(key, None)
    return Snapshot(changes.cluster, changes.revision, tuple(entries[key] for key in sorted(entries)))


def took_effect(transaction: Transaction, before: Sequence[Compare], now: Snapshot) -> bool | None:
    """Whether a transaction whose reply was lost took effect, judged from the present state.

    True: a key has the transaction's value, at a newer revision than the compared one. False: all compared
    keys are unchanged. None: a key was overwritten since, so both are possible; the caller goes on from the
    present state, as after a lost transaction. Values that must be distinguished contain their writer and a
    number."""
    put = [write for write in transaction.writes if write.value is not None]
    if not put:
        all_deleted = all(now.find(write.key) is None for write in transaction.writes)
        return True if all_deleted else None
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
