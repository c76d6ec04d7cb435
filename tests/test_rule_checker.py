"""The rule checker finds a violation of each rule, so that a run without violations is meaningful."""

from __future__ import annotations

import pytest

from pearloom.fakes.journal import Entry, EntryKind
from pearloom.fakes.rules import check

ALLOWED = {"open-form": ["a", "b", "c", "d", "e"]}
FIELDS = {"label": "open-form", "protocol": "iax2", "description": b"sdp", "number": "1"}


def entry(at_ms: float, kind: EntryKind, party: str = "a", **more: object) -> Entry:
    fields: dict[str, object] = dict(FIELDS) if kind in (EntryKind.OFFERED, EntryKind.SET_UP) else {}
    if kind is EntryKind.OFFERED:
        fields["patience_ms"] = 3000.0
    if kind in (EntryKind.ANSWERED, EntryKind.ESTABLISHED):
        fields["description"] = b"made"
    call = "" if kind in (EntryKind.STATE_CHANGED, EntryKind.DIED) else "1"
    return Entry(at_ms, kind, party, call, **(fields | more))  # type: ignore[arg-type]


VALID = [
    entry(0, EntryKind.OFFERED, "caller"), entry(10, EntryKind.SET_UP), entry(20, EntryKind.ANSWERED),
    entry(30, EntryKind.ESTABLISHED, "caller"), entry(900, EntryKind.SERVER_RELEASED),
    entry(1000, EntryKind.RELEASED, "caller"),
]  # fmt: skip


def broken_rules(entries: list[Entry], ended_ms: float = 60_000.0) -> set[str]:
    return {violation.rule for violation in check(entries, ALLOWED, ended_ms).violations}


def test_a_valid_journal_breaks_no_rule() -> None:
    assert broken_rules(VALID) == set()


@pytest.mark.parametrize(
    ("rule", "entries"),
    [
        ("one final answer", VALID[:1]),
        ("one final answer", [*VALID, entry(1100, EntryKind.FAILED, "caller")]),
        ("no answer after a give-up", [VALID[0], entry(5, EntryKind.GAVE_UP, "caller"), *VALID[1:]]),
        ("answered in time", [VALID[0], entry(3100, EntryKind.FAILED, "caller")]),
        ("served only with what a server made", [*VALID[:3],
                                                 entry(30, EntryKind.ESTABLISHED, "x", description=b"x")]),
        ("one attempt out", [*VALID[:2], entry(15, EntryKind.SET_UP, "b"), *VALID[2:]]),
        ("300 ms after doubt", [*VALID[:2], entry(500, EntryKind.CANCELLED),
                                entry(700, EntryKind.SET_UP, "b")]),
        ("300 ms after doubt", [*VALID[:2], entry(500, EntryKind.DROPPED),
                                entry(700, EntryKind.SET_UP, "b")]),
        ("four attempts at most", [VALID[0], *[item for n, name in enumerate("abcde") for item in
                                   (entry(n * 9, EntryKind.SET_UP, name),
                                    entry(n * 9 + 1, EntryKind.DECLINED, name))]]),
        ("only pools of its class", [VALID[0], entry(5, EntryKind.SET_UP, "z")]),
        ("no changed description", [VALID[0], entry(5, EntryKind.SET_UP, description=b"sdq")]),
        ("drains honoured within 250 ms", [entry(-400, EntryKind.STATE_CHANGED, label="draining"), *VALID]),
        ("nothing sent for a call that is over", [VALID[0], entry(5, EntryKind.GAVE_UP, "caller"),
                                                  entry(300, EntryKind.SET_UP)]),
        ("releases passed on", [*VALID[:5], entry(2000, EntryKind.RELEASED, "caller")]),
        ("releases passed on", [*VALID[:4], entry(900, EntryKind.DIED),
                                 entry(9200, EntryKind.RELEASED, "caller")]),
        ("nothing left standing at a caller", VALID[:4]),
        ("nothing left standing at a server", VALID[:3]),
        ("no set-up that no caller sent", [entry(10, EntryKind.SET_UP)]),
    ],
)  # fmt: skip
def test_a_violation_of_each_rule_is_found(rule: str, entries: list[Entry]) -> None:
    assert rule in broken_rules(entries)


def test_a_dead_server_ends_its_attempts_and_calls() -> None:
    entries = [*VALID[:2], entry(100, EntryKind.DIED), entry(450, EntryKind.SET_UP, "b"),
             entry(460, EntryKind.DECLINED, "b"),
             entry(470, EntryKind.REFUSED, "caller")]  # fmt: skip
    assert broken_rules(entries) == set()
    entries = [*VALID[:4], entry(900, EntryKind.DIED), entry(8000, EntryKind.RELEASED, "caller")]
    assert broken_rules(entries) == set()
