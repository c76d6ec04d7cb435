"""The snapshot file is read completely or not at all; the record `rules` of the operator's file."""

from __future__ import annotations

from hashlib import sha256
from pathlib import Path

import msgspec
import pytest

from pearloom.records import Fields, RecordError, parse
from pearloom.rules import RolloutSettings, RolloutTerms, RulesSettings, read_rules_settings
from pearloom.rules.head import Head
from pearloom.rules.records import FORMAT, Match, Prefer, Rule, RuleSet, version_of
from pearloom.rules.snapshots import SnapshotFile, StoredSnapshot

RULES = RuleSet(rules=(Rule("a", Prefer((1,)), Match()),))
VERSION = version_of(RULES)
HEAD = Head(number=3, version=VERSION)


def test_a_written_snapshot_is_read_back(tmp_path: Path) -> None:
    file = SnapshotFile(str(tmp_path / "rules"))
    assert file.read() is None
    file.write(HEAD, {VERSION: RULES})
    snapshot = file.read()
    assert snapshot is not None and (snapshot.head, snapshot.versions) == (HEAD, {VERSION: RULES})
    assert [path.name for path in tmp_path.iterdir()] == ["rules"], "no temporary file is left"


def with_checksum(body: bytes) -> bytes:
    return sha256(body).hexdigest().encode() + b"\n" + body


ENCODED = msgspec.json.encode(StoredSnapshot(FORMAT, 1, HEAD, {VERSION: RULES}))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        ENCODED,
        with_checksum(ENCODED)[:-1],
        with_checksum(ENCODED).replace(b'"number":3', b'"number":4'),
        with_checksum(msgspec.json.encode(StoredSnapshot(FORMAT + 1, 1, HEAD, {}))),
        with_checksum(msgspec.json.encode(StoredSnapshot(FORMAT, 1, HEAD, {"f" * 32: RULES}))),
        with_checksum(b"{}"),
        with_checksum(b"x" * 5_000_000),
    ],
)
def test_a_truncated_corrupt_or_newer_file_is_not_used(tmp_path: Path, data: bytes) -> None:
    path = tmp_path / "rules"
    path.write_bytes(data)
    assert SnapshotFile(str(path)).read() is None


def test_a_failed_write_raises_nothing_and_leaves_no_file(tmp_path: Path) -> None:
    file = SnapshotFile(str(tmp_path / "none" / "rules"))
    file.write(HEAD, {})
    assert file.read() is None and not list(tmp_path.iterdir())
    SnapshotFile("").write(HEAD, {})
    assert SnapshotFile("").read() is None


def read_settings(text: str) -> RulesSettings:
    fields = Fields(parse(text, "file"), "file")
    settings = read_rules_settings(fields)
    fields.reject_unknown()
    return settings


def test_settings_are_read_from_the_operators_file() -> None:
    assert read_settings("") == RulesSettings()
    settings = read_settings(
        'snapshot: "/var/lib/pearloom/rules"\nstages: ["one", "0.25"]\nhalted: "stay"\nrate: 0.05'
    )
    assert settings.rollout == RolloutSettings((0.0, 0.25), RolloutTerms(rate=0.05), stay=True)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('stages: ["0.5", "0.1"]', "stages have to grow"),
        ('stages: ["1.5"]', "stages has '1.5', which is not 'one' or a share below 1"),
        ('halted: "no"', "halted has to be 'back' or 'stay'"),
        ("rate: 0.9", "rate has to be from 0.0001 to 0.2"),
        ('snapshot: "rules"', "snapshot has to be an absolute path"),
        ("tell_ms: 1000\nsilent_ms: 2000", "silent_ms has to be at least three times tell_ms"),
        ("soak: 1", "soak is not known; did you mean soak_ms?"),
    ],
)
def test_an_invalid_setting_is_reported_in_one_line(text: str, message: str) -> None:
    with pytest.raises(RecordError, match="file:") as raised:
        read_settings(text)
    assert message in str(raised.value)
