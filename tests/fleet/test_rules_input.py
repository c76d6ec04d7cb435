"""What operators may send to the rules of one softswitch, and what it makes of an unusable head."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from pearloom.fakes.fleet import Rig
from tests.fleet.test_rules import TIMES, rules_of


@pytest.fixture(scope="module")
def single() -> Iterator[Rig]:
    rig = Rig(43, 1, rules=TIMES)
    rig.start()
    rig.wait_until(lambda: rig.management_call("n1", "GET", "/v1/rules")[0] == 200)
    yield rig
    rig.close()


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "expected"),
    [
        ("POST", "/v1/rules", b"", 400, "truncated"),
        ("POST", "/v1/rules", b"\xff{", 400, ""),
        ("POST", "/v1/rules", b'{"rules": []}', 400, "expected"),
        ("POST", "/v1/rules", b'{"expected": "0", "rules": []}', 400, "$.expected"),
        ("POST", "/v1/rules", b'{"expected": 0, "rules": [{"name": "a"}]}', 400, "$.rules[0]"),
        ("POST", "/v1/rules", b'{"expected": 0, "rules": [], "at_once": true, "at": 1}', 400, "at"),
        ("POST", "/v1/rules", b'{"expected": 9, "rules": [], "at_once": true}', 409, "the head is 0"),
        ("POST", "/v1/rules", b'{"expected": 0, "rules": [], "at_once": true}', 409, "in force already"),
        ("POST", "/v1/rules", b'{"expected": 0, "rules": [], "stages": [0.5, 0.1]}', 400, "$.stages"),
        ("POST", "/v1/rules", b'{"expected": 0, "rules": [], "reason": "a\\nb"}', 400, "$.reason"),
        ("POST", "/v1/rules", b'{"expected": 0, "rules": []}', 409, "two live softswitches"),
        ("POST", "/v1/rules", b"[" * 40_000, 400, ""),
        ("POST", "/v1/rules", b"x" * 90_000, 413, ""),
        ("POST", "/v1/rules/undo", b"", 409, "no version before"),
        ("POST", "/v1/rules/undo", b'{"to": "ffff"}', 409, "'ffff' is not known"),
        ("POST", "/v1/rules/undo", b'{"to": 4}', 400, "$.to"),
        ("GET", "/v1/rules/" + "f" * 32, None, 404, "no version"),
        ("PUT", "/v1/rules", b"{}", 405, ""),
    ],
)
def test_invalid_input_is_refused_in_one_line_and_changes_nothing(
    single: Rig, method: str, path: str, body: bytes | None, status: int, expected: str
) -> None:
    before = single.gateway.store.range(b"/pearloom/rules/", b"/pearloom/rules0")
    got, text = single.management_call("n1", method, path, body)
    assert (got, text.count("\n")) == (status, 1) and expected in text, text
    assert single.gateway.store.range(b"/pearloom/rules/", b"/pearloom/rules0") == before


@pytest.mark.parametrize(
    "value",
    [b"", b"{}", b"[" * 5000, b'{"format": 99}', b"x" * 100_000, b"\xff", b'{"version": "../../etc"}',
     b'{"number": -4}', b'{"number": 3, "version": "0123456789abcdef0123456789abcdef"}'],
)  # fmt: skip
def test_an_unusable_head_is_reported_and_ignored(single: Rig, value: bytes) -> None:
    single.gateway.store.put(b"/pearloom/rules/head", value)
    for key in (b"rules/log/bad", b"rules/versions/bad", b"rules/at/bad", b"evidence/bad"):
        single.gateway.store.put(b"/pearloom/" + key, value)
    single.gateway._wake()
    if value != b"{}":  # this decodes to the default head, as before any edit
        single.wait_until(
            lambda: "diverged seen=" in rules_of(single, "n1"), 10.0, lambda: rules_of(single, "n1")
        )
    assert single.versions()["n1"] == "none" and single.nodes["n1"].is_running
    for key in (b"rules/head", b"rules/log/bad", b"rules/versions/bad", b"rules/at/bad", b"evidence/bad"):
        single.gateway.store.delete(b"/pearloom/" + key)
    single.gateway._wake()
    single.wait_until(lambda: "diverged" not in rules_of(single, "n1"))
