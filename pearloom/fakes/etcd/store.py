"""The state of an etcd v3 store: keys, revisions, leases, history. No sockets.

After the published API (etcd v3.5, `rpc.proto`: KV, Lease, Watch). Implemented: one revision for each
transaction, create and mod revision and version of a key, compares on all of these and on the value, ranges,
leases that delete their keys when they end, history from any revision that is not compacted. Not implemented:
ranges at an old revision, nested transactions, sorting by anything but the key, authentication, the cluster.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any


class Compacted(ValueError):
    """The requested revision has been compacted (gRPC code 11, OUT_OF_RANGE)."""


class NotFound(ValueError):
    """The lease does not exist (gRPC code 5, NOT_FOUND)."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One key's value, revisions, version and lease."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """One event: a key was put, or deleted (`held` then has no value, and the deletion's `mod_revision`)."""

    held: KeyValue
    deleted: bool = False


@dataclass(slots=True)
class _Lease:
    ttl_s: int
    ends_ms: float
    keys: set[bytes] = field(default_factory=set)


_FIELDS: Mapping[str, tuple[str, Callable[[KeyValue], Any]]] = {
    # target -> the field of the compare with the expected value, and the actual value of a key
    "VERSION": ("version", lambda key_value: key_value.version),
    "CREATE": ("create_revision", lambda key_value: key_value.create_revision),
    "MOD": ("mod_revision", lambda key_value: key_value.mod_revision),
    "VALUE": ("value", lambda key_value: key_value.value),
    "LEASE": ("lease", lambda key_value: key_value.lease),
}
_RESULTS: Mapping[str, Callable[[Any, Any], bool]] = {
    "EQUAL": lambda actual, expected: bool(actual == expected),
    "NOT_EQUAL": lambda actual, expected: bool(actual != expected),
    "GREATER": lambda actual, expected: bool(actual > expected),
    "LESS": lambda actual, expected: bool(actual < expected),
}


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Whether the key is in [start, end). Empty end: only start; one zero byte as end: all from start on."""
    if not end:
        return key == start
    return key >= start and (end == b"\0" or key < end)


class KeyValueStore:
    """One store. Calls that need the time of leases take it in ms, so that the caller's clock decides."""

    def __init__(self, cluster: int = 1) -> None:
        """Start empty, at revision 1 as etcd does."""
        self.cluster = cluster
        self.revision = 1
        self.compacted = 0
        self._held: dict[bytes, KeyValue] = {}
        self._history: list[Change] = []  # in order of revision
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 7587 << 40
        self._saved: KeyValueStore | None = None

    def expire(self, now_ms: float) -> None:
        """Revoke every lease that has expired, and delete its keys."""
        for number in [number for number, lease in self._leases.items() if lease.ends_ms <= now_ms]:
            self.revoke(number)

    def grant(self, ttl_s: int, now_ms: float, number: int = 0) -> int:
        """Grant a lease, with the requested number if it is free, and return its number."""
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
        """Renew a lease; returns its time to live in s, 0 for a lease that does not exist."""
        lease = self._leases.get(number)
        if lease is None:
            return 0
        lease.ends_ms = now_ms + 1000.0 * lease.ttl_s
        return lease.ttl_s

    def time_to_live(self, number: int, now_ms: float) -> tuple[int, int, list[bytes]]:
        """Return the whole seconds left (-1: no such lease), those granted, and the lease's keys."""
        lease = self._leases.get(number)
        if lease is None:
            return -1, 0, []
        return int((lease.ends_ms - now_ms) // 1000), lease.ttl_s, sorted(lease.keys)

    def revoke(self, number: int) -> None:
        """End a lease, and delete its keys in one revision."""
        lease = self._leases.pop(number, None)
        if lease is None:
            raise NotFound("etcdserver: requested lease not found")
        if lease.keys:
            self.revision += 1
            for key in sorted(lease.keys):
                self._drop(key)

    def range(self, start: bytes, end: bytes = b"") -> list[KeyValue]:
        """Return the present key-values of a range, sorted by key."""
        return [key_value for key, key_value in sorted(self._held.items()) if in_range(key, start, end)]

    def put(self, key: bytes, value: bytes, lease: int = 0) -> int:
        """Put one key; returns the store's new revision."""
        self._check_lease(lease)
        self.revision += 1
        self._put(key, value, lease)
        return self.revision

    def delete(self, start: bytes, end: bytes = b"") -> int:
        """Delete a range; returns the number of deleted keys. An empty range uses no revision."""
        keys = [key_value.key for key_value in self.range(start, end)]
        if keys:
            self.revision += 1
        for key in keys:
            self._drop(key)
        return len(keys)

    def holds(self, compare: Mapping[str, Any]) -> bool:
        """Whether a compare of a transaction holds; a missing key has 0 for all revisions, and no value."""
        name, read = _FIELDS[str(compare.get("target", "VERSION"))]
        key_value = self._held.get(compare["key"])
        if key_value is None and name == "value":
            return False
        expected = compare.get(name, b"" if name == "value" else 0)
        actual = read(key_value or KeyValue(compare["key"], b"", 0, 0, 0))
        return _RESULTS[str(compare.get("result", "EQUAL"))](actual, expected)

    def transact(
        self,
        compares: Sequence[Mapping[str, Any]],
        success: Sequence[tuple[str, Mapping[str, Any]]],
        failure: Sequence[tuple[str, Mapping[str, Any]]],
    ) -> tuple[bool, list[tuple[str, Any]]]:
        """Run a transaction atomically; returns whether `success` ran, and the result of each operation.

        All puts and deletions share one revision."""
        succeeded = all(self.holds(compare) for compare in compares)
        branch = success if succeeded else failure
        for kind, operation in branch:
            if kind == "put":
                self._check_lease(operation.get("lease", 0))
        before = self.revision
        self.revision += 1
        changes, answers = len(self._history), list[tuple[str, Any]]()
        for kind, operation in branch:
            if kind == "put":
                self._put(operation["key"], operation["value"], operation.get("lease", 0))
                answers.append((kind, None))
            elif kind == "delete_range":
                keys = [
                    key_value.key
                    for key_value in self.range(operation["key"], operation.get("range_end", b""))
                ]
                for key in keys:
                    self._drop(key)
                answers.append((kind, len(keys)))
            else:
                answers.append((kind, self.range(operation["key"], operation.get("range_end", b""))))
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
        key_value = KeyValue(key, value, create, self.revision, old.version + 1 if old else 1, lease)
        self._held[key] = key_value
        self._history.append(Change(key_value))

    def _drop(self, key: bytes) -> None:
        old = self._held.pop(key)
        if old.lease in self._leases:
            self._leases[old.lease].keys.discard(key)
        deletion = replace(old, value=b"", create_revision=0, mod_revision=self.revision, version=0, lease=0)
        self._history.append(Change(deletion, deleted=True))

    def since(self, revision: int, start: bytes, end: bytes = b"") -> list[Change]:
        """Return all changes of a range from this revision on; Compacted where some have been compacted."""
        if revision <= self.compacted:
            raise Compacted("etcdserver: mvcc: required revision has been compacted")
        return [
            change
            for change in self._history
            if change.held.mod_revision >= revision and in_range(change.held.key, start, end)
        ]

    def compact(self, revision: int) -> None:
        """Discard the changes up to this revision."""
        if not self.compacted < revision <= self.revision:
            raise ValueError("etcdserver: mvcc: required revision is out of reach")
        self.compacted = revision
        self._history = [change for change in self._history if change.held.mod_revision > revision]

    def save(self) -> None:
        """Save the state for a restart without the last writes."""
        self._saved = copy.deepcopy(self)

    def restarted(self, without_last_writes: bool = False) -> KeyValueStore:
        """Return the store after a restart: as it is, or as last saved (then older than what clients saw)."""
        if without_last_writes:
            if self._saved is None:
                raise ValueError("no state was saved")
            return copy.deepcopy(self._saved)
        return self
