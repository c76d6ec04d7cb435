"""The head that was last obeyed, and its rules, in a file: for a start at which the store does not answer.

Written whole beside the old one and put in its place; read only where its checksum and its format are right.
Guards against a file that a crash tore, and against one of a newer pearloom that is guessed at.
"""

from __future__ import annotations

import logging
import os
import time
from hashlib import sha256
from pathlib import Path

import gevent
import msgspec

from pearloom.core.logs import log_event
from pearloom.rules.head import Head
from pearloom.rules.records import FORMAT, RuleSet, version_of

MOST_BYTES = 4 * 1024 * 1024


class StoredSnapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the file holds: the head, and the rules of each version that it may ask for here."""

    format: int
    at_ms: int
    head: Head
    versions: dict[str, RuleSet]


class SnapshotStore:
    """One file; an empty path keeps nothing."""

    def __init__(self, path: str) -> None:
        """Reads nothing yet."""
        self._path = path

    def read(self) -> StoredSnapshot | None:
        """What is there, if it can be used; the log says its age, or what is wrong with it."""
        if not self._path:
            return None
        try:
            data = Path(self._path).read_bytes()
            found = _read(data)
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as trouble:
            log_event(logging.ERROR, "rules_snapshot_unusable", reason=str(trouble)[:200])
            return None
        age_s = time.time() - found.at_ms / 1000.0
        log_event(logging.WARNING, "rules_from_snapshot", head=found.head.number, age_s=age_s)
        return found

    def write(self, head: Head, versions: dict[str, RuleSet]) -> None:
        """Keep this; a disk that fails is logged, and what was kept before stays."""
        if not self._path:
            return
        body = msgspec.json.encode(StoredSnapshot(FORMAT, int(time.time() * 1000), head, versions))
        # In a thread: a disk may take its time, and calls don't wait for it.
        trouble = gevent.get_hub().threadpool.apply(_put, (self._path, body))
        if trouble:
            log_event(logging.ERROR, "rules_snapshot_failed", reason=trouble)


def _put(path: str, body: bytes) -> str:
    beside = f"{path}.{os.getpid()}"
    try:
        with open(beside, "wb") as file:
            file.write(sha256(body).hexdigest().encode() + b"\n" + body)
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, path)
    except OSError as trouble:
        return str(trouble)[:200]
    return ""


def _read(data: bytes) -> StoredSnapshot:
    if len(data) > MOST_BYTES:
        raise ValueError(f"{len(data)} bytes are more than such a file may have")
    checksum, _, body = data.partition(b"\n")
    if sha256(body).hexdigest().encode() != checksum:
        raise ValueError("its checksum is wrong")
    found: StoredSnapshot = msgspec.json.decode(body, type=StoredSnapshot)
    if found.format != FORMAT:
        raise ValueError(f"it is of format {found.format}, {FORMAT} can be read")
    if any(version_of(rules) != version for version, rules in found.versions.items()):
        raise ValueError("a version's rules are not what its name says")
    return found
