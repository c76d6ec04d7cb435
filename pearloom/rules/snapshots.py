"""A file with the head last applied and its rules, for a start at which the store does not answer.

The file is written under a temporary name and then renamed; it is used only if its checksum and format are
right. Guards against a file truncated by a crash, and against misreading the file of a newer pearloom.
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

MAX_BYTES = 4 * 1024 * 1024


class StoredSnapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The file's content: the head, the rules of the versions that it names, and the time of writing."""

    format: int
    at_ms: int
    head: Head
    versions: dict[str, RuleSet]


class SnapshotFile:
    """The snapshot file; an empty path disables it."""

    def __init__(self, path: str) -> None:
        """Store the path without reading the file."""
        self._path = path

    def read(self) -> StoredSnapshot | None:
        """Read the snapshot; None if missing or unusable. Its age, or the problem, is logged."""
        if not self._path:
            return None
        try:
            data = Path(self._path).read_bytes()
            snapshot = _decode(data)
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            log_event(logging.ERROR, "rules_snapshot_unusable", reason=str(error)[:200])
            return None
        age_s = time.time() - snapshot.at_ms / 1000.0
        log_event(logging.WARNING, "rules_from_snapshot", head=snapshot.head.number, age_s=age_s)
        return snapshot

    def write(self, head: Head, versions: dict[str, RuleSet]) -> None:
        """Replace the snapshot; if the write fails, the error is logged and the previous snapshot stays."""
        if not self._path:
            return
        body = msgspec.json.encode(StoredSnapshot(FORMAT, int(time.time() * 1000), head, versions))
        # Runs in a thread, so that a slow disk does not delay calls.
        error = gevent.get_hub().threadpool.apply(_replace_file, (self._path, body))
        if error:
            log_event(logging.ERROR, "rules_snapshot_failed", reason=error)


def _replace_file(path: str, body: bytes) -> str:
    temporary_path = f"{path}.{os.getpid()}"
    try:
        with open(temporary_path, "wb") as file:
            file.write(sha256(body).hexdigest().encode() + b"\n" + body)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary_path, path)
    except OSError as error:
        return str(error)[:200]
    return ""


def _decode(data: bytes) -> StoredSnapshot:
    if len(data) > MAX_BYTES:
        raise ValueError(f"{len(data)} bytes are more than a snapshot may have")
    checksum, _, body = data.partition(b"\n")
    if sha256(body).hexdigest().encode() != checksum:
        raise ValueError("the checksum does not match the content")
    snapshot: StoredSnapshot = msgspec.json.decode(body, type=StoredSnapshot)
    if snapshot.format != FORMAT:
        raise ValueError(f"the format is {snapshot.format}, only {FORMAT} can be read")
    if any(version_of(rules) != version for version, rules in snapshot.versions.items()):
        raise ValueError("the rules of a version don't match its name")
    return snapshot
