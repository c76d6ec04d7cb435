"""The rule checker finds each broken rule, so that a run without any says something."""

from __future__ import annotations

import pytest

from pearloom.fakes.journal import Entry, What
from pearloom.fakes.rules import check

ALLOWED = {"open-form": ["a", "b", "c", "d", "e"]}
FIELDS = {"kind": "open-form", "protocol": "iax2", "description": b"sdp", "number": "1"}


def entry(at_ms: float, what: What, who: str = "a", **more: object) -> Entry:
    fields: dict[str, object] = dict(FIELDS) if what in (What.OFFERED, What.SET_UP) else {}
    if what is What.OFFERED:
        fields["patience_ms"] = 3000.0
    if what in (What.ANSWERED, What.STANDS):
        fields["description"] = b"made"
    call = "" if what in (What.TOLD, What.DIED) else "1"
    return Entry(at_ms, what, who, call, **(fields | more))  # type: ignore[arg-type]


GOOD = [
    entry(0, What.OFFERED, "caller"), entry(10, What.SET_UP), entry(20, What.ANSWERED),
    entry(30, What.STANDS, "caller"), entry(900, What.ENDED), entry(1000, What.RELEASED, "caller"),
]  # fmt: skip


def broken(story: list[Entry], ended_ms: float = 60_000.0) -> set[str]:
    return {one.rule for one in check(story, ALLOWED, ended_ms).broken}


def test_a_good_story_breaks_no_rule() -> None:
    assert broken(GOOD) == set()


@pytest.mark.parametrize(
    ("rule", "story"),
    [
        ("one final answer", GOOD[:1]),
        ("one final answer", [*GOOD, entry(1100, What.FAILED, "caller")]),
        ("no answer after a give-up", [GOOD[0], entry(5, What.GAVE_UP, "caller"), *GOOD[1:]]),
        ("answered in time", [GOOD[0], entry(3100, What.FAILED, "caller")]),
        ("served only with what a server made", [*GOOD[:3], entry(30, What.STANDS, "x", description=b"x")]),
        ("one attempt out", [*GOOD[:2], entry(15, What.SET_UP, "b"), *GOOD[2:]]),
        ("300 ms after doubt", [*GOOD[:2], entry(500, What.WITHDRAWN), entry(700, What.SET_UP, "b")]),
        ("300 ms after doubt", [*GOOD[:2], entry(500, What.DROPPED), entry(700, What.SET_UP, "b")]),
        ("four attempts at most", [GOOD[0], *[one for n, who in enumerate("abcde") for one in
                                   (entry(n * 9, What.SET_UP, who), entry(n * 9 + 1, What.TURNED, who))]]),
        ("only pools of its class", [GOOD[0], entry(5, What.SET_UP, "z")]),
        ("no changed description", [GOOD[0], entry(5, What.SET_UP, description=b"sdq")]),
        ("drains honoured within 250 ms", [entry(-400, What.TOLD, kind="draining"), *GOOD]),
        ("nothing sent for a call that is over", [GOOD[0], entry(5, What.GAVE_UP, "caller"),
                                                  entry(300, What.SET_UP)]),
        ("releases passed on", [*GOOD[:5], entry(2000, What.RELEASED, "caller")]),
        ("releases passed on", [*GOOD[:4], entry(900, What.DIED), entry(9200, What.RELEASED, "caller")]),
        ("nothing left standing at a caller", GOOD[:4]),
        ("nothing left standing at a server", GOOD[:3]),
        ("no set-up that no caller sent", [entry(10, What.SET_UP)]),
    ],
)  # fmt: skip
def test_each_broken_rule_is_found(rule: str, story: list[Entry]) -> None:
    assert rule in broken(story)


def test_a_dead_server_ends_its_attempts_and_calls() -> None:
    story = [*GOOD[:2], entry(100, What.DIED), entry(450, What.SET_UP, "b"), entry(460, What.TURNED, "b"),
             entry(470, What.REFUSED, "caller")]  # fmt: skip
    assert broken(story) == set()
    story = [*GOOD[:4], entry(900, What.DIED), entry(8000, What.RELEASED, "caller")]
    assert broken(story) == set()
