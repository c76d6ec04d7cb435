"""The next step of a rollout, as an attempt at the store. A decision: no I/O, float ms of a steady clock.

| what is seen, first row that holds | step |
| --- | --- |
| no rollout, or it is halted, or what was read is old | none |
| nobody could write to the store for `away_ms` | halt |
| a softswitch of the stage went back by its own guard | halt |
| a decision broke under the new version | halt |
| a softswitch of the stage told nothing for `silent_ms` | halt |
| a bad end regressed (`judge.py`) | halt |
| `evidence_ms` is over, with fewer than `least_calls` under the new version | halt |
| `soak_ms` is over with enough calls, every one of the stage confirmed, a stage follows | widen |
| the same at the last stage | complete |

Every softswitch computes the same step and tries it; the compare on the head lets one through, and one that
slept holds an old head and is refused. The clocks here run from when this softswitch first saw the stage.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from pearloom.coordination.port import Transaction
from pearloom.rollout import stages
from pearloom.rollout.confirm import Confirmation
from pearloom.rollout.evidence import Evidence
from pearloom.rollout.judge import Judgement, judge
from pearloom.rules.head import HeadState, Operation, Request, Rollout, complete, halt, widen


@dataclass(frozen=True, slots=True)
class Seen:
    """What this softswitch sees of a stage; `since` is when it saw it begin.

    `heard_ms`: when each softswitch of the stage was last seen to tell something new, or could not have been
    seen to, as this one was cut off itself."""

    now_ms: float
    since_ms: float
    heard_ms: Mapping[str, float]
    told: Mapping[tuple[str, int], Evidence]
    said: Mapping[str, Confirmation]
    zones: Mapping[str, str]  # of all softswitches that are live, by name
    fresh: bool = True
    away_ms: float = 0.0  # how long nobody at all could write to the store, in this stage


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """One step to try: what it does, why, and the transaction."""

    did: Operation
    why: str
    attempt: Transaction


def next_step(there: HeadState, seen: Seen, asked: Request, number_seen: int) -> RolloutStep | None:
    """The one step to try now, or None. `number_seen`: the highest head that was ever obeyed here."""
    rollout = there.head.rollout
    if rollout is None or not rollout.goes_on or not there.readable or not seen.fresh:
        return None
    judged = judged_stage(rollout, there.head.version, seen.told)
    why = why_halt(rollout, seen, judged)
    if why:
        return RolloutStep(Operation.HALTED, why, halt(there, _because(asked, why), number_seen))
    if not _enough(rollout, seen, judged):
        return None
    why = f"{judged.calls_new} calls under the new version, nothing worse shown"
    if rollout.last:
        return RolloutStep(Operation.COMPLETED, why, complete(there, _because(asked, why), number_seen))
    wider = stages.members(seen.zones, rollout.id, rollout.stages[rollout.stage + 1])
    return RolloutStep(Operation.WIDENED, why, widen(there, wider, _because(asked, why), number_seen))


def judged_stage(rollout: Rollout, old: str, told: Mapping[tuple[str, int], Evidence]) -> Judgement:
    """What the evidence of a rollout's stage says, against the version in force."""
    return judge(told, rollout.version, old, rollout.terms.tolerance)


def _because(asked: Request, why: str) -> Request:
    return Request(asked.by, asked.tag, why, asked.author, asked.at_ms)


def stage_rate(rollout: Rollout) -> float:
    """The rate of false halts is shared out over the stages: over all of them it is `rate` at most."""
    return rollout.terms.rate / len(rollout.stages)


def why_halt(rollout: Rollout, seen: Seen, judged: Judgement) -> str:
    """The one reason to halt, with its figures; empty where there is none."""
    terms, lasted = rollout.terms, seen.now_ms - seen.since_ms
    if seen.away_ms > terms.away_ms:
        return f"nobody could write to the store for {seen.away_ms / 1000:.0f} s"
    for name in rollout.members:
        said = seen.said.get(name)
        if said is not None and said.left == rollout.id:
            return f"{name} went back by itself: {said.why}"
    for (name, _), one in sorted(seen.told.items()):
        if one.broken and name in rollout.members:
            return f"{one.broken} decisions broke at {name}"
    most = stages.silent_ms(terms.silent_ms, terms.tell_ms, len(seen.zones))
    for name in rollout.members:
        silent = seen.now_ms - max(seen.heard_ms.get(name, seen.since_ms), seen.since_ms)
        if silent > most:
            return f"{name} has told nothing for {silent / 1000:.1f} s"
    if judged.has_regressed(stage_rate(rollout)) and judged.worst is not None:
        return judged.worst.describe(stage_rate(rollout))
    if lasted > terms.evidence_ms and not _told_enough(rollout, judged):
        few = f"{judged.calls_new} calls under the new version in {lasted / 1000:.0f} s"
        return f"{few}, {terms.least_calls} wanted"
    return ""


def _told_enough(rollout: Rollout, judged: Judgement) -> bool:
    return judged.calls_new >= rollout.terms.least_calls


def _enough(rollout: Rollout, seen: Seen, judged: Judgement) -> bool:
    if seen.now_ms - seen.since_ms < rollout.terms.soak_ms or not _told_enough(rollout, judged):
        return False
    told = {name for name, _ in seen.told}
    return all(
        name in told and (said := seen.said.get(name)) is not None and said.version == rollout.version
        for name in rollout.members
    )


def nobody_wrote(before: Mapping[str, int], after: Mapping[str, int]) -> bool:
    """Could nobody write to the store between these two looks? `told` numbers of the others, by name.

    Guards against taking the own cut link for a lost store: then the others went on telling. One value each
    may have been on its way."""
    return all(after.get(name, told) <= told + 1 for name, told in before.items())
