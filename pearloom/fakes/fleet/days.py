"""Rollouts in simulated time, for fleets too large for real processes: real tally, evidence and judgement.

A day is drawn call by call, second by second: every softswitch counts its own calls, and the evidence is
judged every two seconds as at the store. Surges and a lost zone hit the old and the new version alike;
`worse` hits the new version alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from pearloom.core.outcomes import CallOutcome
from pearloom.rollout import stages
from pearloom.rollout.evidence import BUCKETS_PER_STAGE, Evidence, Tally, stage_id
from pearloom.rollout.judge import judge

ZONES = ("a", "b", "c")
CLASSES = ("open-form", "save-answers")
JUDGE_INTERVAL_S = 2
STAGE = stage_id(1, 0)
FAULTY = (CallOutcome.LATE, CallOutcome.REFUSED, CallOutcome.FAILED)


@dataclass(frozen=True, slots=True)
class Day:
    """The parameters of a simulated day; shares are of calls."""

    softswitches: int = 12
    inside: int = 1  # the stage: softswitches under the new version
    per_s: float = 10.0  # calls of one softswitch
    base: tuple[float, float, float] = (0.01, 0.02, 0.005)  # late, refused, failed, under both versions
    worse: float = 0.0  # further failures under the new version, in one class
    surge: float = 0.0  # further refusals and late answers for 15 s, in all zones, doubled in one
    burst: int = 0  # failures in one second at one softswitch of the stage
    bursts: int = 1
    lasts_s: int = 300
    busier: float = 1.0  # factor on the traffic of the stage's softswitches


@dataclass(frozen=True, slots=True)
class DayResult:
    """The result of one simulated day."""

    halted_s: float | None
    why: str
    calls: int  # under the new version, until the halt or the end


class _Softswitch:
    def __init__(self, name: str, zone: str, version: str, busier: float, lasts_s: int) -> None:
        self.name, self.zone, self.version, self.busier = name, zone, version, busier
        self.tally = Tally(CLASSES, STAGE, 0.0, 1_000.0 * lasts_s / BUCKETS_PER_STAGE)
        self.calls = 0

    def evidence(self, now_ms: float, number: int) -> Evidence:
        return self.tally.evidence(1, number, self.zone, 0, now_ms)


def simulate_day(day: Day, seed: int, rate: float = 0.01, tolerance: float = 1.25) -> DayResult:
    """Simulate one day, which ends early at a halt."""
    random = Random(seed)
    names = {f"n{at}": ZONES[at % len(ZONES)] for at in range(day.softswitches)}
    inside = set(stages.order(names, seed + 1)[: day.inside])
    fleet = [
        _Softswitch(name, zone, "new" if name in inside else "old", day.busier if name in inside else 1.0,
                    day.lasts_s)
        for name, zone in names.items()
    ]  # fmt: skip
    surges = [(random.randrange(day.lasts_s), random.choice(ZONES)) for _ in range(3)]
    burst_seconds = {random.randrange(5, day.lasts_s) for _ in range(day.bursts)} if day.burst else set()
    for second in range(day.lasts_s):
        now = 1_000.0 * second
        surging = [zone for at, zone in surges if at <= second < at + 15]
        for softswitch in fleet:
            _simulate_second(softswitch, day, now, surging, random)
        if second in burst_seconds:
            first = next(softswitch for softswitch in fleet if softswitch.version == "new")
            for _ in range(day.burst):
                _end_call(first, 0, CallOutcome.FAILED, now, random)
        if second % JUDGE_INTERVAL_S == JUDGE_INTERVAL_S - 1:
            evidence = {
                (softswitch.name, 1): softswitch.evidence(now + 999.0, second) for softswitch in fleet
            }
            judgement = judge(evidence, "new", "old", tolerance)
            if judgement.has_regressed(rate) and judgement.worst is not None:
                return DayResult(second + 1.0, judgement.worst.describe(rate), judgement.calls_new)
    return DayResult(None, "", sum(softswitch.calls for softswitch in fleet if softswitch.version == "new"))


def _simulate_second(
    softswitch: _Softswitch, day: Day, now: float, surging: list[str], random: Random
) -> None:
    surge = day.surge * len(surging) * (2.0 if softswitch.zone in surging else 1.0)
    expected = day.per_s * softswitch.busier * (1.0 + 0.5 * bool(surging))
    count = int(expected) + (random.random() < expected % 1.0)
    for _ in range(count):
        class_index = int(random.random() < 0.25)
        late, refused, failed = day.base
        if class_index == 1 and softswitch.version == "new":
            failed += day.worse
        shares = (min(late + surge / 4.0, 0.4), min(refused + surge, 0.5), failed)
        _end_call(
            softswitch,
            class_index,
            random.choices((*FAULTY, CallOutcome.STOOD), (*shares, 1.0 - sum(shares)))[0],
            now,
            random,
        )


def _end_call(
    softswitch: _Softswitch, class_index: int, end: CallOutcome, now: float, random: Random
) -> None:
    at = now + random.uniform(0.0, 999.0)
    softswitch.calls += 1
    softswitch.tally.record_end(
        softswitch.version,
        softswitch.tally.arrival_mark(at),
        class_index,
        end,
        random.lognormvariate(4.0, 0.5),
        at,
    )


def count_false_halts(day: Day, days: int, rate: float, seed: int = 0) -> int:
    """Count the halted ones of `days` simulated days; without `worse` in `day`, each halt is false."""
    return sum(simulate_day(day, seed + at, rate).halted_s is not None for at in range(days))
