"""The sequential test on simulated days, and its rate of false alarms under frequent evaluation."""

from __future__ import annotations

from math import comb, log

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearloom.core.outcomes import CallOutcome
from pearloom.fakes.fleet.days import Day, count_false_halts, simulate_day
from pearloom.rollout.evidence import Evidence, Tally, stage_id
from pearloom.rollout.judge import RATIOS, Stratum, judge, log_evidence, ratio_bounds

STAGE = stage_id(1, 0)
RATE, TOLERANCE = 0.01, 1.25


def test_one_stratum_gives_the_mixed_likelihood_ratio_of_a_binomial() -> None:
    """Guards against an error in the closed form: compares it with binomial likelihoods, ratio by ratio."""
    bad_new, bad_total, new, old = 7, 9, 300, 900

    def likelihood(ratio: float) -> float:
        probability = ratio * new / (ratio * new + old)
        return comb(bad_total, bad_new) * probability**bad_new * (1 - probability) ** (bad_total - bad_new)

    mixed = sum(likelihood(TOLERANCE * ratio) / likelihood(TOLERANCE) for ratio in RATIOS) / len(RATIOS)
    evidence = log_evidence([Stratum(bad_new, new, bad_total - bad_new, old)], TOLERANCE)
    assert evidence == pytest.approx(log(mixed), rel=1e-9)


@given(st.lists(st.tuples(*[st.integers(0, 50)] * 4), max_size=6))
def test_more_good_calls_under_the_new_version_are_never_evidence_against_it(
    drawn: list[tuple[int, int, int, int]],
) -> None:
    strata = [Stratum(bad, bad + good, old_bad, old_bad + old) for bad, good, old_bad, old in drawn]
    better = [Stratum(stratum.bad_new, stratum.new + 10, stratum.bad_old, stratum.old) for stratum in strata]
    assert log_evidence(better, TOLERANCE) <= log_evidence(strata, TOLERANCE) + 1e-9
    assert log_evidence(strata, TOLERANCE, 4.0) <= max(log_evidence(strata, TOLERANCE), 0.0) + 1e-9


def test_bounds_contain_the_true_ratio_and_narrow_with_more_calls() -> None:
    few_calls, many_calls = Stratum(5, 100, 10, 200), Stratum(500, 10_000, 1_000, 20_000)
    low, high = ratio_bounds([few_calls], RATE, 1.0)
    assert low < 1.0 < high
    narrower = ratio_bounds([many_calls], RATE, 1.0)
    assert low < narrower[0] < 1.0 < narrower[1] < high
    assert ratio_bounds([], RATE, 1.0) == (0.0, float("inf"))


def test_one_failure_in_twenty_calls_of_one_class_halts_with_the_class_named() -> None:
    day = Day(softswitches=12, inside=1, per_s=10.0, base=(0.002, 0.01, 0.001), worse=0.05, lasts_s=240)
    result = simulate_day(day, seed=1)
    assert result.halted_s is not None and "failed of class" in result.why


def test_failures_of_all_softswitches_alike_halt_nothing() -> None:
    """One call in 20 fails everywhere, during a surge that is stronger in one zone."""
    day = Day(softswitches=12, inside=1, per_s=10.0, base=(0.01, 0.02, 0.05), surge=0.3, lasts_s=240)
    assert simulate_day(day, seed=2).halted_s is None


def test_a_single_burst_at_the_stage_is_no_regression() -> None:
    """A connection with ten calls breaks at the only softswitch that has the new rules."""
    day = Day(softswitches=12, inside=1, per_s=10.0, base=(0.001, 0.001, 0.001), burst=10, lasts_s=120)
    assert [simulate_day(day, seed).halted_s for seed in range(3, 8)] == [None] * 5
    many = Day(softswitches=12, inside=1, per_s=10.0, base=(0.001, 0.001, 0.001), burst=10, bursts=20,
               lasts_s=120)  # fmt: skip
    assert simulate_day(many, seed=3).halted_s is not None, "but repeated bursts are a regression"


def test_false_halts_stay_under_the_stated_rate_when_judged_every_two_seconds() -> None:
    day = Day(softswitches=8, inside=1, per_s=8.0, base=(0.02, 0.05, 0.01), surge=0.3, lasts_s=40)
    assert count_false_halts(day, 40, 0.05) <= 5


def evidence_of(
    name: str, zone: str, outcomes: dict[str, list[CallOutcome]]
) -> tuple[tuple[str, int], Evidence]:
    tally = Tally(("a",), STAGE, 0.0, 1_000.0)
    for version, drawn in outcomes.items():
        for index, outcome in enumerate(drawn):
            now_ms = 500.0 * index
            tally.record_end(version, tally.arrival_mark(now_ms), 0, outcome, 10.0, now_ms)
    return (name, 1), tally.evidence(1, 1, zone, 0, 30_000.0)


def test_a_lost_zone_is_compared_within_itself() -> None:
    """Guards against blaming a bad rule for a lost zone that holds the only softswitch of the stage."""
    failed, good = [CallOutcome.FAILED, CallOutcome.FAILED] * 30, [CallOutcome.STOOD] * 60
    others = [evidence_of(name, "b", {"old": good}) for name in ("n3", "n4", "n5")]
    published = dict(
        [evidence_of("n1", "a", {"new": failed}), evidence_of("n2", "a", {"old": failed}), *others]
    )
    assert not judge(published, "new", "old", TOLERANCE).has_regressed(RATE)
    without_control = {key: evidence for key, evidence in published.items() if key[0] != "n2"}
    judgement = judge(without_control, "new", "old", TOLERANCE)
    assert judgement.has_regressed(RATE), "without a control group in its zone it is compared with all others"
    assert judgement.worst is not None and judgement.worst.end is CallOutcome.FAILED


def test_a_seed_reproduces_its_day() -> None:
    day = Day(softswitches=4, inside=1, per_s=5.0, base=(0.02, 0.05, 0.01), lasts_s=20)
    assert simulate_day(day, 5) == simulate_day(day, 5)
