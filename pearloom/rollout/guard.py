"""The local guard: leaves a rollout whose outcomes regress while the softswitch is cut off from the store.

A decision: no I/O. The guard compares this softswitch's own counts under the new version with its own counts
under the previous one, since it receives no other evidence. A surge while it is cut off may therefore end a
rollout without need, but loses no call. Guards against a bad rule that operators can't undo at a softswitch
that the store does not reach.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import log

from pearloom.core.outcomes import CallOutcome
from pearloom.rollout.evidence import BAD_OUTCOMES, COUNTED_OUTCOMES, SquaredCounts
from pearloom.rollout.judge import Finding, Stratum, dispersion, log_evidence

MAX_COUNTED_CALLS = 4_000  # by class and version; above it counts are halved, so older calls weigh less


@dataclass(slots=True)
class _DecayingCounts:
    """Outcomes of one class under one version, their squared counts per second, and the seconds counted."""

    outcomes: list[float] = field(default_factory=lambda: [0.0] * len(COUNTED_OUTCOMES))
    squares_by_outcome: list[SquaredCounts] = field(
        default_factory=lambda: [SquaredCounts() for _ in COUNTED_OUTCOMES]
    )
    seconds: float = 0.0
    _second: int = -1

    def add(self, index: int, second: int) -> None:
        if second != self._second:
            self._second = second
            self.seconds += 1
        self.outcomes[index] += 1
        self.squares_by_outcome[index].add(second)
        if sum(self.outcomes) > MAX_COUNTED_CALLS:
            self.outcomes, self.seconds = [count / 2 for count in self.outcomes], self.seconds / 2
            for counter in self.squares_by_outcome:
                counter.squares /= 2

    def dispersion(self, index: int) -> float:
        return dispersion(self.outcomes[index], self.squares_by_outcome[index].squares, self.seconds)


@dataclass(slots=True)
class LocalGuard:
    """Counts outcomes of this softswitch's own calls by version and class, over all stages of a rollout.

    Halving of counts and `retain` bound what is held."""

    classes: Sequence[str]
    _counts: dict[tuple[str, int], _DecayingCounts] = field(default_factory=dict)

    def record_outcome(self, version: str, class_index: int, outcome: CallOutcome, now_ms: float) -> None:
        """Count an outcome of a call that arrived under this version."""
        if outcome not in COUNTED_OUTCOMES:
            return
        counts = self._counts.get((version, class_index))
        if counts is None:
            counts = self._counts[version, class_index] = _DecayingCounts()
        counts.add(COUNTED_OUTCOMES.index(outcome), int(now_ms / 1000.0))

    def retain(self, versions: Sequence[str]) -> None:
        """Drop the counts of all other versions."""
        self._counts = {key: counts for key, counts in self._counts.items() if key[0] in versions}

    def forget(self, version: str) -> None:
        """Drop the counts of this version: a new rollout of it is judged by new counts."""
        self.retain([counted for counted, _ in self._counts if counted != version])

    def regression(self, new: str, old: str, tolerance: float, rate: float) -> str:
        """Return the reason to leave the rollout, with its figures; empty if no regression is shown."""
        findings = [
            finding for class_index, class_name in enumerate(self.classes) for outcome in BAD_OUTCOMES
            if (finding := self._finding(class_name, class_index, outcome, new, old, tolerance)) is not None
        ]  # fmt: skip
        worst = max(findings, key=lambda finding: finding.log_evidence, default=None)
        # The mean over all comparisons has to reach 1/rate; the largest is a part of it (Bonferroni).
        threshold = log(len(self.classes) * len(BAD_OUTCOMES) / rate)
        return worst.describe(rate) if worst is not None and worst.log_evidence >= threshold else ""

    def _finding(
        self, class_name: str, class_index: int, outcome: CallOutcome, new: str, old: str, tolerance: float
    ) -> Finding | None:
        new_counts, old_counts = self._counts.get((new, class_index)), self._counts.get((old, class_index))
        if new_counts is None or old_counts is None:
            return None
        index, calls = (
            COUNTED_OUTCOMES.index(outcome),
            2 if outcome is CallOutcome.CUT else COUNTED_OUTCOMES.index(CallOutcome.CUT),
        )
        stratum = Stratum(
            int(new_counts.outcomes[index]), int(sum(new_counts.outcomes[:calls])),
            int(old_counts.outcomes[index]), int(sum(old_counts.outcomes[:calls])),
        )  # fmt: skip
        max_dispersion = max(new_counts.dispersion(index), old_counts.dispersion(index))
        evidence = log_evidence([stratum], tolerance, max_dispersion)
        return Finding(
            class_name,
            outcome,
            stratum.bad_new,
            stratum.new,
            stratum.bad_old,
            stratum.old,
            max_dispersion,
            evidence,
            (stratum,),
        )
