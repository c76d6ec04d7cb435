"""Rollouts in simulated time, for sizes that processes don't reach: the real tally, join and test.

A day is drawn call by call, second by second: every softswitch counts its own, and the evidence is judged
every two seconds as at the store. What ails all (surges, a lost zone) hits old and new alike; what ails the
new version alone is `worse`.
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
LOOK_S = 2
STAGE = stage_id(1, 0)
BAD = (CallOutcome.LATE, CallOutcome.REFUSED, CallOutcome.FAILED)


@dataclass(frozen=True, slots=True)
class Day:
    """What a day is drawn from; shares are of calls."""

    softswitches: int = 12
    inside: int = 1  # of the stage
    per_s: float = 10.0  # calls a softswitch
    base: tuple[float, float, float] = (0.01, 0.02, 0.005)  # late, refused, failed, under whatever rules
    worse: float = 0.0  # more failures under the new version, in one class
    surge: float = 0.0  # more refusals and late answers for some seconds, in all and more so in one zone
    burst: int = 0  # failures in one second at one softswitch of the stage
    bursts: int = 1
    lasts_s: int = 300
    busier: float = 1.0  # x the traffic of the stage's softswitches


@dataclass(frozen=True, slots=True)
class DayResult:
    """What came of it."""

    halted_s: float | None
    why: str
    calls: int  # under the new version, up to the halt or the end


class _Softswitch:
    def __init__(self, name: str, zone: str, version: str, busier: float, lasts_s: int) -> None:
        self.name, self.zone, self.version, self.busier = name, zone, version, busier
        self.tally = Tally(CLASSES, STAGE, 0.0, 1_000.0 * lasts_s / BUCKETS_PER_STAGE)
        self.calls = 0

    def told(self, now_ms: float, number: int) -> Evidence:
        return self.tally.evidence(1, number, self.zone, 0, now_ms)


def simulate_day(day: Day, seed: int, rate: float = 0.01, tolerance: float = 1.25) -> DayResult:
    """One day; a halt ends it."""
    random = Random(seed)
    names = {f"n{at}": ZONES[at % len(ZONES)] for at in range(day.softswitches)}
    inside = set(stages.order(names, seed + 1)[: day.inside])
    fleet = [
        _Softswitch(name, zone, "new" if name in inside else "old", day.busier if name in inside else 1.0,
                    day.lasts_s)
        for name, zone in names.items()
    ]  # fmt: skip
    surges = [(random.randrange(day.lasts_s), random.choice(ZONES)) for _ in range(3)]
    struck = {random.randrange(5, day.lasts_s) for _ in range(day.bursts)} if day.burst else set()
    for second in range(day.lasts_s):
        now = 1_000.0 * second
        sick = [zone for at, zone in surges if at <= second < at + 15]
        for one in fleet:
            _second(one, day, now, sick, random)
        if second in struck:
            first = next(one for one in fleet if one.version == "new")
            for _ in range(day.burst):
                _end(first, 0, CallOutcome.FAILED, now, random)
        if second % LOOK_S == LOOK_S - 1:
            told = {(one.name, 1): one.told(now + 999.0, second) for one in fleet}
            found = judge(told, "new", "old", tolerance)
            if found.has_regressed(rate) and found.worst is not None:
                return DayResult(second + 1.0, found.worst.describe(rate), found.calls_new)
    return DayResult(None, "", sum(one.calls for one in fleet if one.version == "new"))


def _second(one: _Softswitch, day: Day, now: float, sick: list[str], random: Random) -> None:
    more = day.surge * len(sick) * (2.0 if one.zone in sick else 1.0)
    wanted = day.per_s * one.busier * (1.0 + 0.5 * bool(sick))
    count = int(wanted) + (random.random() < wanted % 1.0)
    for _ in range(count):
        kind = int(random.random() < 0.25)
        late, refused, failed = day.base
        if kind == 1 and one.version == "new":
            failed += day.worse
        shares = (min(late + more / 4.0, 0.4), min(refused + more, 0.5), failed)
        _end(
            one, kind, random.choices((*BAD, CallOutcome.STOOD), (*shares, 1.0 - sum(shares)))[0], now, random
        )


def _end(one: _Softswitch, kind: int, end: CallOutcome, now: float, random: Random) -> None:
    at = now + random.uniform(0.0, 999.0)
    one.calls += 1
    one.tally.record_end(
        one.version, one.tally.arrival_mark(at), kind, end, random.lognormvariate(4.0, 0.5), at
    )


def count_false_halts(day: Day, days: int, rate: float, seed: int = 0) -> int:
    """How many of so many days without anything worse are halted all the same."""
    return sum(simulate_day(day, seed + at, rate).halted_s is not None for at in range(days))
