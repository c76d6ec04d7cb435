"""The next step of a rollout, as a store transaction. A decision: no I/O; times are ms of a monotonic clock.

| condition; the first row that holds applies | step |
| --- | --- |
| no rollout, or it is halted, or the data read from the store is stale | none |
| nobody could write to the store for `away_ms` | halt |
| a member of the stage left the rollout by its own guard | halt |
| a decision failed at a member of the stage | halt |
| a member of the stage published nothing for `silent_ms` | halt |
| a bad outcome regressed (`judge.py`) | halt |
| `evidence_ms` has passed with fewer than `least_calls` calls under the new version | halt |
| `soak_ms` has passed with enough calls, all members confirmed, a further stage follows | widen |
| the same at the last stage | complete |

Every softswitch computes the same step and attempts it. The compare on the head lets only one attempt
succeed; a process that was suspended has an outdated head and is refused. Durations are measured from the
moment at which this softswitch first read the stage.
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
class StageObservation:
    """What this softswitch knows of a stage.

    `since_ms` is when it first read the stage. `last_published_ms` is when it last read a new value from each
    member of the stage, or when it last could not read any because it was itself cut off from the store."""

    now_ms: float
    since_ms: float
    last_published_ms: Mapping[str, float]
    evidence: Mapping[tuple[str, int], Evidence]
    confirmations: Mapping[str, Confirmation]
    zones: Mapping[str, str]  # by name of each live softswitch
    is_fresh: bool = True
    store_lost_ms: float = 0.0  # longest time in this stage in which nobody could write to the store


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """A step to attempt, with its reason and its transaction."""

    operation: Operation
    reason: str
    transaction: Transaction


def next_step(
    state: HeadState, observation: StageObservation, request: Request, highest_seen: int
) -> RolloutStep | None:
    """Return the step to attempt now, if any; `highest_seen` is the newest head's number applied here."""
    rollout = state.head.rollout
    if rollout is None or not rollout.is_active or not state.is_readable or not observation.is_fresh:
        return None
    judgement = judge_stage(rollout, state.head.version, observation.evidence)
    reason = halt_reason(rollout, observation, judgement)
    if reason:
        return RolloutStep(Operation.HALTED, reason, halt(state, _with_reason(request, reason), highest_seen))
    if not _is_passed(rollout, observation, judgement):
        return None
    reason = f"{judgement.calls_new} calls under the new version, no regression shown"
    if rollout.is_last_stage:
        return RolloutStep(
            Operation.COMPLETED, reason, complete(state, _with_reason(request, reason), highest_seen)
        )
    wider = stages.members(observation.zones, rollout.id, rollout.stages[rollout.stage + 1])
    return RolloutStep(
        Operation.WIDENED, reason, widen(state, wider, _with_reason(request, reason), highest_seen)
    )


def judge_stage(rollout: Rollout, old: str, evidence: Mapping[tuple[str, int], Evidence]) -> Judgement:
    """Judge the evidence of a rollout's stage against the version in force."""
    return judge(evidence, rollout.version, old, rollout.terms.tolerance)


def _with_reason(request: Request, reason: str) -> Request:
    return Request(request.by, request.tag, reason, request.author, request.at_ms)


def stage_rate(rollout: Rollout) -> float:
    """Return the probability of a false halt per stage; over all stages it is at most `rate`."""
    return rollout.terms.rate / len(rollout.stages)


def halt_reason(rollout: Rollout, observation: StageObservation, judgement: Judgement) -> str:
    """Return the reason to halt, with its figures; empty if there is none."""
    terms, elapsed_ms = rollout.terms, observation.now_ms - observation.since_ms
    if observation.store_lost_ms > terms.away_ms:
        return f"nobody could write to the store for {observation.store_lost_ms / 1000:.0f} s"
    for name in rollout.members:
        confirmation = observation.confirmations.get(name)
        if confirmation is not None and confirmation.left == rollout.id:
            return f"{name} went back by itself: {confirmation.why}"
    for (name, _), evidence in sorted(observation.evidence.items()):
        if evidence.broken and name in rollout.members:
            return f"{evidence.broken} decisions failed at {name}"
    limit_ms = stages.silence_limit_ms(terms.silent_ms, terms.tell_ms, len(observation.zones))
    for name in rollout.members:
        silent_ms = observation.now_ms - max(
            observation.last_published_ms.get(name, observation.since_ms), observation.since_ms
        )
        if silent_ms > limit_ms:
            return f"{name} has told nothing for {silent_ms / 1000:.1f} s"
    if judgement.has_regressed(stage_rate(rollout)) and judgement.worst is not None:
        return judgement.worst.describe(stage_rate(rollout))
    if elapsed_ms > terms.evidence_ms and not _has_enough_calls(rollout, judgement):
        too_few = f"{judgement.calls_new} calls under the new version in {elapsed_ms / 1000:.0f} s"
        return f"{too_few}, {terms.least_calls} required"
    return ""


def _has_enough_calls(rollout: Rollout, judgement: Judgement) -> bool:
    return judgement.calls_new >= rollout.terms.least_calls


def _is_passed(rollout: Rollout, observation: StageObservation, judgement: Judgement) -> bool:
    if observation.now_ms - observation.since_ms < rollout.terms.soak_ms or not _has_enough_calls(
        rollout, judgement
    ):
        return False
    publishers = {name for name, _ in observation.evidence}
    return all(
        name in publishers
        and (confirmation := observation.confirmations.get(name)) is not None
        and confirmation.version == rollout.version
        for name in rollout.members
    )


def nobody_published(before: Mapping[str, int], after: Mapping[str, int]) -> bool:
    """Whether nobody could write to the store between two reads; both hold sequence numbers by name.

    Guards against mistaking a broken link of this softswitch for a lost store: in that case the others kept
    publishing. One value of each softswitch may have been in transit."""
    return all(after.get(name, sequence) <= sequence + 1 for name, sequence in before.items())
