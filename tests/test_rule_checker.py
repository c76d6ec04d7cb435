"""The rule checker finds a violation of each rule, so that a run without violations is meaningful."""

from __future__ import annotations

import pytest

from pearloom.fakes.journal import Entry, What
from pearloom.fakes.rules import check

ALLOWED = {"open-form": ["a", "b", "c", "d", "e"]}
FIELDS = {"kind": "open-form", "protocol": "iax2", "description": b"sdp", "number": "1"}


def entry(at_ms: float, what: What, party: str = "a", **more: object) -> Entry:
    fields: dict[str, object] = dict(FIELDS) if what in (What.OFFERED, What.SET_UP) else {}
    if what is What.OFFERED:
        fields["patience_ms"] = 3000.0
    if what in (What.ANSWERED, What.STANDS):
        fields["description"] = b"made"
    call = "" if what in (What.TOLD, What.DIED) else "1"
    return Entry(at_ms, what, party, call, **(fields | more))  # type: ignore[arg-type]


VALID = [
    entry(0, What.OFFERED, "caller"), entry(10, What.SET_UP), entry(20, What.ANSWERED),
    entry(30, What.STANDS, "caller"), entry(900, What.ENDED), entry(1000, What.RELEASED, "caller"),
]  # fmt: skip


def broken_rules(entries: list[Entry], ended_ms: float = 60_000.0) -> set[str]:
    return {violation.rule for violation in check(entries, ALLOWED, ended_ms).broken}


def test_a_valid_journal_breaks_no_rule() -> None:
    assert broken_rules(VALID) == set()


@pytest.mark.parametrize(
    ("rule", "entries"),
    [
        ("one final answer", VALID[:1]),
        ("one final answer", [*VALID, entry(1100, What.FAILED, "caller")]),
        ("no answer after a give-up", [VALID[0], entry(5, What.GAVE_UP, "caller"), *VALID[1:]]),
        ("answered in time", [VALID[0], entry(3100, What.FAILED, "caller")]),
        ("served only with what a server made", [*VALID[:3], entry(30, What.STANDS, "x", description=b"x")]),
        ("one attempt out", [*VALID[:2], entry(15, What.SET_UP, "b"), *VALID[2:]]),
        ("300 ms after doubt", [*VALID[:2], entry(500, What.WITHDRAWN), entry(700, What.SET_UP, "b")]),
        ("300 ms after doubt", [*VALID[:2], entry(500, What.DROPPED), entry(700, What.SET_UP, "b")]),
        ("four attempts at most", [VALID[0], *[item for n, name in enumerate("abcde") for item in
                                   (entry(n * 9, What.SET_UP, name), entry(n * 9 + 1, What.TURNED, name))]]),
        ("only pools of its class", [VALID[0], entry(5, What.SET_UP, "z")]),
        ("no changed description", [VALID[0], entry(5, What.SET_UP, description=b"sdq")]),
        ("drains honoured within 250 ms", [entry(-400, What.TOLD, kind="draining"), *VALID]),
        ("nothing sent for a call that is over", [VALID[0], entry(5, What.GAVE_UP, "caller"),
                                                  entry(300, What.SET_UP)]),
        ("releases passed on", [*VALID[:5], entry(2000, What.RELEASED, "caller")]),
        ("releases passed on", [*VALID[:4], entry(900, What.DIED), entry(9200, What.RELEASED, "caller")]),
        ("nothing left standing at a caller", VALID[:4]),
        ("nothing left standing at a server", VALID[:3]),
        ("no set-up that no caller sent", [entry(10, What.SET_UP)]),
    ],
)  # fmt: skip
def test_a_violation_of_each_rule_is_found(rule: str, entries: list[Entry]) -> None:
    assert rule in broken_rules(entries)


def test_a_dead_server_ends_its_attempts_and_calls() -> None:
    entries = [*VALID[:2], entry(100, What.DIED), entry(450, What.SET_UP, "b"), entry(460, What.TURNED, "b"),
             entry(470, What.REFUSED, "caller")]  # fmt: skip
    assert broken_rules(entries) == set()
    entries = [*VALID[:4], entry(900, What.DIED), entry(8000, What.RELEASED, "caller")]
    assert broken_rules(entries) == set()
