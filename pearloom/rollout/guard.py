"""One softswitch's own guard: under a new version, cut off from the store, its own figures regress.

A decision: no I/O. It compares what it counted under the new version with what it counted itself under the
one before, since it hears of nobody else. So a surge that comes while it is cut off may send it back without
need: that costs a rollout, not a call. Guards against a bad rule that nobody can take back where it is.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import log

from pearloom.core.outcomes import CallOutcome
from pearloom.rollout.evidence import BAD, ENDS, BySecond
from pearloom.rollout.judge import Finding, Stratum, dispersion, log_evidence

HALVED_AT = 4_000  # calls of a class: what lies further back counts ever less


@dataclass(slots=True)
class _Counted:
    """Ends of one class under one version; each end by second, and how many seconds."""

    ends: list[float] = field(default_factory=lambda: [0.0] * len(ENDS))
    bursts: list[BySecond] = field(default_factory=lambda: [BySecond() for _ in ENDS])
    seconds: float = 0.0
    _second: int = -1

    def add(self, at: int, second: int) -> None:
        if second != self._second:
            self._second = second
            self.seconds += 1
        self.ends[at] += 1
        self.bursts[at].add(second)
        if sum(self.ends) > HALVED_AT:
            self.ends, self.seconds = [count / 2 for count in self.ends], self.seconds / 2
            for burst in self.bursts:
                burst.squares /= 2

    def spread(self, at: int) -> float:
        return dispersion(self.ends[at], self.bursts[at].squares, self.seconds)


@dataclass(slots=True)
class LocalGuard:
    """Ends of this softswitch's own calls, by version and class; kept over stages, bounded by forgetting."""

    classes: Sequence[str]
    _counts: dict[tuple[str, int], _Counted] = field(default_factory=dict)

    def ended(self, version: str, kind: int, end: CallOutcome, now_ms: float) -> None:
        """One more end."""
        if end not in ENDS:
            return
        counts = self._counts.get((version, kind))
        if counts is None:
            counts = self._counts[version, kind] = _Counted()
        counts.add(ENDS.index(end), int(now_ms / 1000.0))

    def keep(self, versions: Sequence[str]) -> None:
        """Forget all other versions."""
        self._counts = {key: counts for key, counts in self._counts.items() if key[0] in versions}

    def forget(self, version: str) -> None:
        """Begin this version anew: another rollout of it is another question."""
        self.keep([kept for kept, _ in self._counts if kept != version])

    def regressed(self, new: str, old: str, tolerance: float, rate: float) -> str:
        """Why to go back, with its figures; empty where nothing is shown."""
        findings = [
            found for kind, name in enumerate(self.classes) for end in BAD
            if (found := self._finding(name, kind, end, new, old, tolerance)) is not None
        ]  # fmt: skip
        worst = max(findings, key=lambda one: one.log_evidence, default=None)
        # The mean over all that was looked at has to be shown, of which the largest is a part (Bonferroni).
        need = log(len(self.classes) * len(BAD) / rate)
        return worst.describe(rate) if worst is not None and worst.log_evidence >= need else ""

    def _finding(
        self, name: str, kind: int, end: CallOutcome, new: str, old: str, tolerance: float
    ) -> Finding | None:
        under, before = self._counts.get((new, kind)), self._counts.get((old, kind))
        if under is None or before is None:
            return None
        at, whole = ENDS.index(end), 2 if end is CallOutcome.CUT else ENDS.index(CallOutcome.CUT)
        one = Stratum(
            int(under.ends[at]), int(sum(under.ends[:whole])),
            int(before.ends[at]), int(sum(before.ends[:whole])),
        )  # fmt: skip
        spread = max(under.spread(at), before.spread(at))
        evidence = log_evidence([one], tolerance, spread)
        return Finding(name, end, one.bad_new, one.new, one.bad_old, one.old, spread, evidence, (one,))
