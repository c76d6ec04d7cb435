"""The sequential test: what it says of made-up days, and that looking often raises no false alarms."""

from __future__ import annotations

from math import comb, log

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearloom.core.outcomes import CallOutcome
from pearloom.fakes.fleet.days import Day, count_false_halts, simulate_day
from pearloom.rollout.evidence import Evidence, Tally, stage_id
from pearloom.rollout.judge import RATIOS, Stratum, bounds, judge, log_evidence

STAGE = stage_id(1, 0)
RATE, TOLERANCE = 0.01, 1.25


def test_one_stratum_is_the_mixed_likelihood_ratio_of_a_binomial() -> None:
    """Guards against a slip in the closed form: the same from the binomial itself, ratio by ratio."""
    bad, whole, new, old = 7, 9, 300, 900

    def likelihood(ratio: float) -> float:
        chance = ratio * new / (ratio * new + old)
        return comb(whole, bad) * chance**bad * (1 - chance) ** (whole - bad)

    mixed = sum(likelihood(TOLERANCE * ratio) / likelihood(TOLERANCE) for ratio in RATIOS) / len(RATIOS)
    found = log_evidence([Stratum(bad, new, whole - bad, old)], TOLERANCE)
    assert found == pytest.approx(log(mixed), rel=1e-9)


@given(st.lists(st.tuples(*[st.integers(0, 50)] * 4), max_size=6))
def test_more_good_calls_under_the_new_version_are_never_evidence_against_it(
    drawn: list[tuple[int, int, int, int]],
) -> None:
    strata = [Stratum(bad, bad + good, old_bad, old_bad + old) for bad, good, old_bad, old in drawn]
    better = [Stratum(one.bad_new, one.new + 10, one.bad_old, one.old) for one in strata]
    assert log_evidence(better, TOLERANCE) <= log_evidence(strata, TOLERANCE) + 1e-9
    assert log_evidence(strata, TOLERANCE, 4.0) <= max(log_evidence(strata, TOLERANCE), 0.0) + 1e-9


def test_bounds_hold_the_true_ratio_and_close_in() -> None:
    few, many = Stratum(5, 100, 10, 200), Stratum(500, 10_000, 1_000, 20_000)
    low, high = bounds([few], RATE, 1.0)
    assert low < 1.0 < high
    closer = bounds([many], RATE, 1.0)
    assert low < closer[0] < 1.0 < closer[1] < high
    assert bounds([], RATE, 1.0) == (0.0, float("inf"))


def test_one_in_twenty_of_one_class_is_found_and_named() -> None:
    day = Day(softswitches=12, inside=1, per_s=10.0, base=(0.002, 0.01, 0.001), worse=0.05, lasts_s=240)
    found = simulate_day(day, seed=1)
    assert found.halted_s is not None and "failed of class" in found.why


def test_what_befalls_all_alike_halts_nothing() -> None:
    """One call in 20 fails everywhere, in a surge of which one zone has more."""
    day = Day(softswitches=12, inside=1, per_s=10.0, base=(0.01, 0.02, 0.05), surge=0.3, lasts_s=240)
    assert simulate_day(day, seed=2).halted_s is None


def test_one_burst_at_the_stage_alone_is_no_regress() -> None:
    """A connection broke under ten calls of the one softswitch that has the new rules."""
    day = Day(softswitches=12, inside=1, per_s=10.0, base=(0.001, 0.001, 0.001), burst=10, lasts_s=120)
    assert [simulate_day(day, seed).halted_s for seed in range(3, 8)] == [None] * 5
    many = Day(softswitches=12, inside=1, per_s=10.0, base=(0.001, 0.001, 0.001), burst=10, bursts=20,
               lasts_s=120)  # fmt: skip
    assert simulate_day(many, seed=3).halted_s is not None, "but what goes on and on is"


def test_false_halts_stay_under_the_stated_rate_though_it_is_looked_at_every_two_seconds() -> None:
    day = Day(softswitches=8, inside=1, per_s=8.0, base=(0.02, 0.05, 0.01), surge=0.3, lasts_s=40)
    assert count_false_halts(day, 40, 0.05) <= 5


def told(name: str, zone: str, ends: dict[str, list[CallOutcome]]) -> tuple[tuple[str, int], Evidence]:
    tally = Tally(("a",), STAGE, 0.0, 1_000.0)
    for version, made in ends.items():
        for at, end in enumerate(made):
            now = 500.0 * at
            tally.record_end(version, tally.arrival_mark(now), 0, end, 10.0, now)
    return (name, 1), tally.evidence(1, 1, zone, 0, 30_000.0)


def test_a_zone_that_is_lost_is_compared_with_itself() -> None:
    """Guards against taking a lost zone for a bad rule: the stage's one softswitch stands in it."""
    lost, well = [CallOutcome.FAILED, CallOutcome.FAILED] * 30, [CallOutcome.STOOD] * 60
    others = [told(name, "b", {"old": well}) for name in ("n3", "n4", "n5")]
    held = dict([told("n1", "a", {"new": lost}), told("n2", "a", {"old": lost}), *others])
    assert not judge(held, "new", "old", TOLERANCE).has_regressed(RATE)
    alone = {key: one for key, one in held.items() if key[0] != "n2"}
    found = judge(alone, "new", "old", TOLERANCE)
    assert found.has_regressed(RATE), "where nobody else is in its zone, all others are what there is"
    assert found.worst is not None and found.worst.end is CallOutcome.FAILED


def test_seeds_play_the_same_day_again() -> None:
    day = Day(softswitches=4, inside=1, per_s=5.0, base=(0.02, 0.05, 0.01), lasts_s=20)
    assert simulate_day(day, 5) == simulate_day(day, 5)
