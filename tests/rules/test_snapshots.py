"""The head on disk: read whole or not at all."""

from __future__ import annotations

from hashlib import sha256
from pathlib import Path

import msgspec
import pytest

from pearloom.records import Fields, RecordError, parse
from pearloom.rules import RolloutSettings, RulesSettings, Terms, read_rules_settings
from pearloom.rules.head import Head
from pearloom.rules.records import FORMAT, Match, Prefer, Rule, RuleSet, version_of
from pearloom.rules.snapshots import SnapshotStore, StoredSnapshot

RULES = RuleSet(rules=(Rule("a", Prefer((1,)), Match()),))
VERSION = version_of(RULES)
HEAD = Head(number=3, version=VERSION)


def test_what_was_kept_is_read_again(tmp_path: Path) -> None:
    shelf = SnapshotStore(str(tmp_path / "rules"))
    assert shelf.read() is None
    shelf.write(HEAD, {VERSION: RULES})
    found = shelf.read()
    assert found is not None and (found.head, found.versions) == (HEAD, {VERSION: RULES})
    assert [path.name for path in tmp_path.iterdir()] == ["rules"], "nothing is left beside it"


def sealed(body: bytes) -> bytes:
    return sha256(body).hexdigest().encode() + b"\n" + body


WHOLE = msgspec.json.encode(StoredSnapshot(FORMAT, 1, HEAD, {VERSION: RULES}))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        WHOLE,
        sealed(WHOLE)[:-1],
        sealed(WHOLE).replace(b'"number":3', b'"number":4'),
        sealed(msgspec.json.encode(StoredSnapshot(FORMAT + 1, 1, HEAD, {}))),
        sealed(msgspec.json.encode(StoredSnapshot(FORMAT, 1, HEAD, {"f" * 32: RULES}))),
        sealed(b"{}"),
        sealed(b"x" * 5_000_000),
    ],
)
def test_a_file_that_is_torn_spoilt_or_of_a_newer_format_is_not_used(tmp_path: Path, data: bytes) -> None:
    path = tmp_path / "rules"
    path.write_bytes(data)
    assert SnapshotStore(str(path)).read() is None


def test_a_disk_that_fails_keeps_what_was_there(tmp_path: Path) -> None:
    shelf = SnapshotStore(str(tmp_path / "none" / "rules"))
    shelf.write(HEAD, {})
    assert shelf.read() is None and not list(tmp_path.iterdir())
    SnapshotStore("").write(HEAD, {})
    assert SnapshotStore("").read() is None


def read(text: str) -> RulesSettings:
    fields = Fields(parse(text, "file"), "file")
    found = read_rules_settings(fields)
    fields.reject_unknown()
    return found


def test_settings_as_the_operators_write_them() -> None:
    assert read("") == RulesSettings()
    found = read('snapshot: "/var/lib/pearloom/rules"\nstages: ["one", "0.25"]\nhalted: "stay"\nrate: 0.05')
    assert found.rollout == RolloutSettings((0.0, 0.25), Terms(rate=0.05), stay=True)


@pytest.mark.parametrize(
    ("text", "told"),
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
def test_settings_that_can_not_be_are_told_in_one_line(text: str, told: str) -> None:
    with pytest.raises(RecordError, match="file:") as raised:
        read(text)
    assert told in str(raised.value)
