"""Evidence merges in any order, and a call counts in the stage and the bucket of its arrival."""

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
    merge,
    merge_delays,
    read_evidence,
    stage_id,
    sum_counts,
)

STAGE = stage_id(3, 1)


def publish(
    name: str, incarnation: int, outcomes: list[CallOutcome], sequence: int
) -> tuple[tuple[str, int], Evidence]:
    tally = Tally(("a", "b"), STAGE, 0.0, 100.0)
    for index, outcome in enumerate(outcomes):
        tally.record_end(
            "v", tally.arrival_mark(20.0 * index), index % 2, outcome, 10.0 + index, 20.0 * index
        )
    return (name, incarnation), tally.evidence(incarnation, sequence, "z", 0, 1_000.0)


def total_counts(published: dict[tuple[str, int], Evidence]) -> tuple[int, ...]:
    rows = [
        row
        for value in published.values()
        for by_class in value.versions.values()
        for counts in by_class.values()
        for row in counts.ends
    ]
    return sum_counts(rows)


@given(
    st.lists(st.lists(st.sampled_from(evidence.COUNTED_OUTCOMES), max_size=12), min_size=1, max_size=4),
    st.integers(0, 1 << 30),
)
def test_duplicate_late_and_reordered_values_merge_to_the_same_counts(
    incarnations: list[list[CallOutcome]], seed: int
) -> None:
    """Each incarnation publishes growing counts; in any order of arrival the sums are those of the latest."""
    values = [
        publish("n1", incarnation, outcomes[: last + 1], last)
        for incarnation, outcomes in enumerate(incarnations) for last in range(len(outcomes))
    ]  # fmt: skip
    expected: dict[tuple[str, int], Evidence] = {}
    for incarnation, outcomes in enumerate(incarnations):
        if outcomes:
            expected.update([publish("n1", incarnation, outcomes, len(outcomes))])
    random = Random(seed)
    arrived = values + random.choices(values, k=len(values)) if values else []
    random.shuffle(arrived)
    merged: dict[tuple[str, int], Evidence] = {}
    for value in arrived:
        merged = merge(merged, dict([value]))
    half = len(arrived) // 2
    parts = [merge({}, *(dict([entry]) for entry in part)) for part in (arrived[:half], arrived[half:])]
    assert merge(parts[0], parts[1]) == merge(parts[1], parts[0]) == merged
    assert merge(merged, merged) == merged
    assert total_counts(merged) == total_counts(expected)


def test_a_call_counts_in_the_stage_and_bucket_of_its_arrival_or_not_at_all() -> None:
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


def test_nothing_is_counted_without_an_active_rollout() -> None:
    """Guards against memory growth by counts of every version that was ever in force."""
    tally = Tally(("a",), 0, 0.0, 1_000.0)
    for version in range(100):
        tally.record_end(f"{version}", tally.arrival_mark(5.0), 0, CallOutcome.STOOD, 10.0, 5.0)
    assert tally.evidence(1, 1, "z", 0, 1_000.0).versions == {}


def test_squared_counts_distinguish_a_burst_from_spread_outcomes() -> None:
    burst, spread = Tally(("a",), STAGE, 0.0, 1_000.0), Tally(("a",), STAGE, 0.0, 1_000.0)
    for index in range(10):
        burst.record_end("v", burst.arrival_mark(0.0), 0, CallOutcome.FAILED, 1.0, 100.0 + index)
        spread.record_end("v", spread.arrival_mark(0.0), 0, CallOutcome.FAILED, 1.0, 1_000.0 * index)
    squares = [tally.evidence(1, 1, "", 0, 10_000.0).versions["v"]["a"].squares for tally in (burst, spread)]
    assert squares[0][evidence.BAD_OUTCOMES.index(CallOutcome.FAILED)] == 100
    assert squares[1][evidence.BAD_OUTCOMES.index(CallOutcome.FAILED)] == 10


def test_delays_are_merged_and_unreadable_ones_left_out() -> None:
    _, evidence_read = publish("n1", 1, [CallOutcome.STOOD] * 10, 1)
    encoded = [counts.delays for counts in evidence_read.versions["v"].values()]
    assert merge_delays(encoded).get_total_count() == 10
    assert merge_delays([*encoded, "HISTF", "", encoded[0][:-3]]).get_total_count() >= 10


VALID = publish("n1", 7, [CallOutcome.STOOD], 1)[1]


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b"{}",
        b"\xff",
        b"[" * 10_000,
        evidence.encode(msgspec.structs.replace(VALID, format=2)),
        evidence.encode(msgspec.structs.replace(VALID, told=-1)),
        evidence.encode(msgspec.structs.replace(VALID, seconds=-1.0)),
        evidence.encode(VALID).replace(b"[1,0,0,0,0]", b"[-1,0,0,0,0]"),
        evidence.encode(VALID).replace(b"[1,0,0,0,0]", b"[1,0,0,0]"),
        evidence.encode(VALID).replace(b'"zone"', b'"zome"'),
        evidence.encode(VALID).replace(b"[1,0,0,0,0]", b",".join([b"[1,0,0,0,0]"] * (BUCKETS_PER_STAGE + 1))),
    ],
)
def test_an_invalid_value_is_reported_and_not_counted(value: bytes) -> None:
    assert evidence.decode(value) is None
    entry = Entry("evidence/n1/7", value, 1, 1)
    assert read_evidence(Snapshot(1, 1, (entry,)), STAGE) == ({}, ("evidence/n1/7",))


def test_a_value_under_the_key_of_another_incarnation_is_reported() -> None:
    """Guards against counts that are attributed to another softswitch or counted twice."""
    entries = tuple(
        Entry(f"evidence/n1/{incarnation}", evidence.encode(VALID), 1, 1) for incarnation in (7, 8)
    )
    published, unreadable = read_evidence(Snapshot(1, 1, entries), STAGE)
    assert list(published) == [("n1", 7)] and unreadable == ("evidence/n1/8",)
    assert read_evidence(Snapshot(1, 1, entries), STAGE + 1)[0] == {}
