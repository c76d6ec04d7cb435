"""Counts that merge in any order; marks that keep a call in the stage and the seconds of its arrival."""

from __future__ import annotations

from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearloom.coordination.port import Entry, Snapshot
from pearloom.core.outcomes import CallOutcome
from pearloom.rollout import evidence
from pearloom.rollout.evidence import (
    BUCKETS_PER_STAGE,
    Evidence,
    Tally,
    added,
    join,
    merge_delays,
    stage_id,
    told,
)

STAGE = stage_id(3, 1)


def counted(name: str, life: int, ends: list[CallOutcome], number: int) -> tuple[tuple[str, int], Evidence]:
    tally = Tally(("a", "b"), STAGE, 0.0, 100.0)
    for at, end in enumerate(ends):
        tally.record_end("v", tally.arrival_mark(20.0 * at), at % 2, end, 10.0 + at, 20.0 * at)
    return (name, life), tally.evidence(life, number, "z", 0, 1_000.0)


def sums(held: dict[tuple[str, int], Evidence]) -> tuple[int, ...]:
    rows = [
        row for one in held.values() for by in one.versions.values() for c in by.values() for row in c.ends
    ]
    return added(rows)


@given(
    st.lists(st.lists(st.sampled_from(evidence.ENDS), max_size=12), min_size=1, max_size=4),
    st.integers(0, 1 << 30),
)
def test_doubled_late_and_reordered_values_of_several_lives_merge_alike(
    lives: list[list[CallOutcome]], seed: int
) -> None:
    """Each life tells ever more of what it counted; whatever arrives when, the sums are those of the last."""
    values = [
        counted("n1", life, ends[: upto + 1], upto)
        for life, ends in enumerate(lives) for upto in range(len(ends))
    ]  # fmt: skip
    whole: dict[tuple[str, int], Evidence] = {}
    for life, ends in enumerate(lives):
        if ends:
            whole.update([counted("n1", life, ends, len(ends))])
    random = Random(seed)
    arrived = values + random.choices(values, k=len(values)) if values else []
    random.shuffle(arrived)
    merged: dict[tuple[str, int], Evidence] = {}
    for value in arrived:
        merged = join(merged, dict([value]))
    half = len(arrived) // 2
    parts = [join({}, *(dict([one]) for one in part)) for part in (arrived[:half], arrived[half:])]
    assert join(parts[0], parts[1]) == join(parts[1], parts[0]) == merged
    assert join(merged, merged) == merged
    assert sums(merged) == sums(whole)


def test_a_call_counts_in_its_stage_and_its_piece_of_time_or_nowhere() -> None:
    tally = Tally(("a",), STAGE, 0.0, 1_000.0)
    early, late = tally.arrival_mark(500.0), tally.arrival_mark(99_000.0)
    tally.record_end("v", early, 0, CallOutcome.STOOD, 10.0, 5_000.0)
    tally.record_end("v", early, 0, CallOutcome.CUT, 10.0, 9_000.0)
    tally.record_end("v", late, 0, CallOutcome.FAILED, 10.0, 99_100.0)
    tally.record_end(
        "v", Tally(("a",), STAGE + 1, 0.0, 1.0).arrival_mark(0.0), 0, CallOutcome.FAILED, 10.0, 99_100.0
    )
    tally.record_end("v", early, 0, CallOutcome.ENDED, 10.0, 99_100.0)
    counts = tally.evidence(1, 1, "z", 0, 100_000.0).versions["v"]["a"]
    assert counts.ends[0] == (1, 0, 0, 0, 1) and counts.ends[BUCKETS_PER_STAGE - 1] == (0, 0, 0, 1, 0)
    assert sum(map(sum, counts.ends)) == 3


def test_nothing_is_held_while_no_rollout_goes_on() -> None:
    """Guards against a process that holds counts of every version that it ever went by."""
    tally = Tally(("a",), 0, 0.0, 1_000.0)
    for version in range(100):
        tally.record_end(f"{version}", tally.arrival_mark(5.0), 0, CallOutcome.STOOD, 10.0, 5.0)
    assert tally.evidence(1, 1, "z", 0, 1_000.0).versions == {}


def test_squares_tell_a_burst_from_ends_spread_over_time() -> None:
    burst, spread = Tally(("a",), STAGE, 0.0, 1_000.0), Tally(("a",), STAGE, 0.0, 1_000.0)
    for at in range(10):
        burst.record_end("v", burst.arrival_mark(0.0), 0, CallOutcome.FAILED, 1.0, 100.0 + at)
        spread.record_end("v", spread.arrival_mark(0.0), 0, CallOutcome.FAILED, 1.0, 1_000.0 * at)
    found = [one.evidence(1, 1, "", 0, 10_000.0).versions["v"]["a"].squares for one in (burst, spread)]
    assert found[0][evidence.BAD.index(CallOutcome.FAILED)] == 100
    assert found[1][evidence.BAD.index(CallOutcome.FAILED)] == 10


def test_delays_are_added_up_and_spoilt_ones_left_out() -> None:
    _, one = counted("n1", 1, [CallOutcome.STOOD] * 10, 1)
    held = [counts.delays for counts in one.versions["v"].values()]
    assert merge_delays(held).get_total_count() == 10
    assert merge_delays([*held, "HISTF", "", held[0][:-3]]).get_total_count() >= 10


SOUND = counted("n1", 7, [CallOutcome.STOOD], 1)[1]


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b"{}",
        b"\xff",
        b"[" * 10_000,
        evidence.encode(msgspec.structs.replace(SOUND, format=2)),
        evidence.encode(msgspec.structs.replace(SOUND, told=-1)),
        evidence.encode(msgspec.structs.replace(SOUND, seconds=-1.0)),
        evidence.encode(SOUND).replace(b"[1,0,0,0,0]", b"[-1,0,0,0,0]"),
        evidence.encode(SOUND).replace(b"[1,0,0,0,0]", b"[1,0,0,0]"),
        evidence.encode(SOUND).replace(b'"zone"', b'"zome"'),
        evidence.encode(SOUND).replace(b"[1,0,0,0,0]", b",".join([b"[1,0,0,0,0]"] * (BUCKETS_PER_STAGE + 1))),
    ],
)
def test_a_value_that_cannot_be_true_is_named_and_not_counted(value: bytes) -> None:
    assert evidence.decode(value) is None
    entry = Entry("evidence/n1/7", value, 1, 1)
    assert told(Snapshot(1, 1, (entry,)), STAGE) == ({}, ("evidence/n1/7",))


def test_a_value_under_another_key_than_its_own_is_named() -> None:
    """Guards against one softswitch whose counts are taken for another's, or twice."""
    entries = tuple(Entry(f"evidence/n1/{life}", evidence.encode(SOUND), 1, 1) for life in (7, 8))
    found, unreadable = told(Snapshot(1, 1, entries), STAGE)
    assert list(found) == [("n1", 7)] and unreadable == ("evidence/n1/8",)
    assert told(Snapshot(1, 1, entries), STAGE + 1)[0] == {}
