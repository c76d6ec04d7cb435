"""What an etcd v3 store holds, as a value machine: keys, revisions, leases, history. No sockets.

After the published API (etcd v3.5, `rpc.proto`: KV, Lease, Watch). Kept: one revision for each transaction,
create and mod revision and version of a key, compares on all of these and on the value, ranges, leases whose
end deletes their keys, history from any revision that is not compacted away. Left out: ranges at an old
revision, nested transactions, sorting by anything but the key, authentication, the cluster.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any


class Compacted(ValueError):
    """The revision asked for is no longer known (gRPC code 11, OUT_OF_RANGE)."""


class NotFound(ValueError):
    """No such lease (gRPC code 5, NOT_FOUND)."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One key's value and where it stands in history."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """One event: a key was put, or deleted (`held` is then without value, its `mod` the deletion's)."""

    held: KeyValue
    deleted: bool = False


@dataclass(slots=True)
class _Lease:
    ttl_s: int
    ends_ms: float
    keys: set[bytes] = field(default_factory=set)


_FIELDS: Mapping[str, tuple[str, Callable[[KeyValue], Any]]] = {
    # target -> the field of the compare that holds its value, and what it is compared with
    "VERSION": ("version", lambda held: held.version),
    "CREATE": ("create_revision", lambda held: held.create_revision),
    "MOD": ("mod_revision", lambda held: held.mod_revision),
    "VALUE": ("value", lambda held: held.value),
    "LEASE": ("lease", lambda held: held.lease),
}
_RESULTS: Mapping[str, Callable[[Any, Any], bool]] = {
    "EQUAL": lambda there, told: bool(there == told),
    "NOT_EQUAL": lambda there, told: bool(there != told),
    "GREATER": lambda there, told: bool(there > told),
    "LESS": lambda there, told: bool(there < told),
}


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Is the key in [start, end)? No end: the one key; an end of one zero byte: all from start on."""
    if not end:
        return key == start
    return key >= start and (end == b"\0" or key < end)


class KeyValueStore:
    """One store. Every call that may change it takes the time, in ms, so that leases end by that clock."""

    def __init__(self, cluster: int = 1) -> None:
        """Empty, at revision 1 as etcd is."""
        self.cluster = cluster
        self.revision = 1
        self.compacted = 0
        self._held: dict[bytes, KeyValue] = {}
        self._history: list[Change] = []  # in order of revision
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 7587 << 40
        self._saved: KeyValueStore | None = None

    # --- leases ---------------------------------------------------------------------------------------------
    def expire(self, now_ms: float) -> None:
        """End every lease whose time is over, and delete its keys."""
        for number in [number for number, lease in self._leases.items() if lease.ends_ms <= now_ms]:
            self.revoke(number)

    def grant(self, ttl_s: int, now_ms: float, number: int = 0) -> int:
        """A new lease; etcd takes the number that is asked for, if it is free."""
        if ttl_s < 1:
            raise ValueError("etcdserver: too small lease TTL")
        if not number:
            self._next_lease += 1
            number = self._next_lease
        if number in self._leases:
            raise ValueError("etcdserver: lease already exists")
        self._leases[number] = _Lease(ttl_s, now_ms + 1000.0 * ttl_s)
        return number

    def keep_alive(self, number: int, now_ms: float) -> int:
        """Renew; returns the seconds it has now, 0 for a lease that is over."""
        lease = self._leases.get(number)
        if lease is None:
            return 0
        lease.ends_ms = now_ms + 1000.0 * lease.ttl_s
        return lease.ttl_s

    def time_to_live(self, number: int, now_ms: float) -> tuple[int, int, list[bytes]]:
        """Whole seconds left (-1: over), those granted, and the lease's keys."""
        lease = self._leases.get(number)
        if lease is None:
            return -1, 0, []
        return int((lease.ends_ms - now_ms) // 1000), lease.ttl_s, sorted(lease.keys)

    def revoke(self, number: int) -> None:
        """End a lease: its keys go in one revision."""
        lease = self._leases.pop(number, None)
        if lease is None:
            raise NotFound("etcdserver: requested lease not found")
        if lease.keys:
            self.revision += 1
            for key in sorted(lease.keys):
                self._drop(key)

    # --- keys -----------------------------------------------------------------------------------------------
    def range(self, start: bytes, end: bytes = b"") -> list[KeyValue]:
        """What is there now, by key."""
        return [held for key, held in sorted(self._held.items()) if in_range(key, start, end)]

    def put(self, key: bytes, value: bytes, lease: int = 0) -> int:
        """Put one key; returns the store's revision."""
        self._check_lease(lease)
        self.revision += 1
        self._put(key, value, lease)
        return self.revision

    def delete(self, start: bytes, end: bytes = b"") -> int:
        """Delete a range; returns how many keys went. Nothing there: no revision is used."""
        keys = [held.key for held in self.range(start, end)]
        if keys:
            self.revision += 1
        for key in keys:
            self._drop(key)
        return len(keys)

    def holds(self, compare: Mapping[str, Any]) -> bool:
        """One compare of a transaction; a key that is not there has 0 for all revisions, and no value."""
        name, read = _FIELDS[str(compare.get("target", "VERSION"))]
        held = self._held.get(compare["key"])
        if held is None and name == "value":
            return False
        told = compare.get(name, b"" if name == "value" else 0)
        there = read(held or KeyValue(compare["key"], b"", 0, 0, 0))
        return _RESULTS[str(compare.get("result", "EQUAL"))](there, told)

    def transact(
        self,
        compares: Sequence[Mapping[str, Any]],
        success: Sequence[tuple[str, Mapping[str, Any]]],
        failure: Sequence[tuple[str, Mapping[str, Any]]],
    ) -> tuple[bool, list[tuple[str, Any]]]:
        """All or nothing: which branch ran, and what each of its operations gave. One revision for all puts
        and deletions."""
        succeeded = all(self.holds(compare) for compare in compares)
        branch = success if succeeded else failure
        for kind, told in branch:
            if kind == "put":
                self._check_lease(told.get("lease", 0))
        before = self.revision
        self.revision += 1
        changes, answers = len(self._history), list[tuple[str, Any]]()
        for kind, told in branch:
            if kind == "put":
                self._put(told["key"], told["value"], told.get("lease", 0))
                answers.append((kind, None))
            elif kind == "delete_range":
                keys = [held.key for held in self.range(told["key"], told.get("range_end", b""))]
                for key in keys:
                    self._drop(key)
                answers.append((kind, len(keys)))
            else:
                answers.append((kind, self.range(told["key"], told.get("range_end", b""))))
        if len(self._history) == changes:
            self.revision = before
        return succeeded, answers

    def _check_lease(self, lease: int) -> None:
        if lease and lease not in self._leases:
            raise NotFound("etcdserver: requested lease not found")

    def _put(self, key: bytes, value: bytes, lease: int) -> None:
        old = self._held.get(key)
        if old is not None and old.lease:
            self._leases[old.lease].keys.discard(key)
        if lease:
            self._leases[lease].keys.add(key)
        create = old.create_revision if old else self.revision
        held = KeyValue(key, value, create, self.revision, old.version + 1 if old else 1, lease)
        self._held[key] = held
        self._history.append(Change(held))

    def _drop(self, key: bytes) -> None:
        old = self._held.pop(key)
        if old.lease in self._leases:
            self._leases[old.lease].keys.discard(key)
        gone = replace(old, value=b"", create_revision=0, mod_revision=self.revision, version=0, lease=0)
        self._history.append(Change(gone, deleted=True))

    # --- history --------------------------------------------------------------------------------------------
    def since(self, revision: int, start: bytes, end: bytes = b"") -> list[Change]:
        """All changes of a range from this revision on; Compacted where they are no longer all known."""
        if revision <= self.compacted:
            raise Compacted("etcdserver: mvcc: required revision has been compacted")
        return [
            change
            for change in self._history
            if change.held.mod_revision >= revision and in_range(change.held.key, start, end)
        ]

    def compact(self, revision: int) -> None:
        """Forget the changes up to this revision."""
        if not self.compacted < revision <= self.revision:
            raise ValueError("etcdserver: mvcc: required revision is out of reach")
        self.compacted = revision
        self._history = [change for change in self._history if change.held.mod_revision > revision]

    # --- faults ---------------------------------------------------------------------------------------------
    def save(self) -> None:
        """What a restart without the last writes comes back with."""
        self._saved = copy.deepcopy(self)

    def restarted(self, without_last_writes: bool = False) -> KeyValueStore:
        """The store after a restart: as it is, or as it was when it was saved last (then older than told)."""
        if without_last_writes:
            if self._saved is None:
                raise ValueError("nothing was saved")
            return copy.deepcopy(self._saved)
        return self
