"""Sequential test whether outcomes are worse under the new version than under the old. A decision: no I/O.

The test may be evaluated at any time and any number of times. Take the calls of one class that arrived in
one zone and one time bucket: `n1` under the new version, `n0` under the old one. Whatever affects both
versions, a bad outcome falls to the new version with probability at most w*n1 / (w*n1 + n0), where w is the
highest harmless ratio of rates (the tolerance). Against the alternative of a ratio r times as high, the
likelihood ratio of the bad outcomes so far is a nonnegative supermartingale; so is its mean over several r
and over all outcomes and classes. The probability that it ever reaches 1/a is at most a (Ville's
inequality), however often it is evaluated. Source: Howard, Ramdas, McAuliffe, Sekhon, "Time-uniform,
nonparametric, nonasymptotic confidence sequences" (2021), section 3 (mixtures); Vovk and Wang, "E-values:
calibration, combination and applications" (2021), for the mean.

Because versions are compared within a zone and a bucket, a surge, a lost zone or a slow server that affects
both is no evidence. Bad outcomes in a burst (a connection that broke with ten calls) are not independent:
the logarithm of the evidence is divided by the dispersion, the ratio of the variance of the counts per second
to that of independent outcomes.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import exp, log, log1p

from pearloom.core.outcomes import CallOutcome
from pearloom.rollout.evidence import BAD_OUTCOMES, COUNTED_OUTCOMES, Evidence, OutcomeCounts, sum_counts

RATIOS = (1.25, 1.6, 2.0, 3.0, 5.0, 10.0, 30.0, 100.0)  # alternatives of the mixture, x the tolerance
MAX_RATIO = 1_000.0  # upper end of the search for the bounds of a ratio
BISECTION_STEPS = 24


@dataclass(frozen=True, slots=True)
class Stratum:
    """Bad outcomes and calls of one class, zone and bucket, under the new and the old version."""

    bad_new: int
    new: int  # calls under the new version
    bad_old: int
    old: int  # calls under the old version


@dataclass(frozen=True, slots=True)
class Finding:
    """The comparison of one bad outcome (`end`) of one class.

    `log_evidence` is the natural logarithm of the evidence for a regression; 0 is no evidence."""

    class_name: str
    end: CallOutcome
    bad_new: int
    new: int
    bad_old: int
    old: int
    dispersion: float
    log_evidence: float
    strata: tuple[Stratum, ...]

    def ratio_bounds(self, rate: float) -> tuple[float, float]:
        """Return bounds of the ratio of rates, new to old; takes some ms, so compute it only for display."""
        return ratio_bounds(self.strata, rate, self.dispersion)

    def describe(self, rate: float) -> str:
        """Describe the finding for the log and the operator."""
        low, high = self.ratio_bounds(rate)
        return (
            f"{self.end.value} of class {self.class_name}: {self.bad_new} of {self.new} new, {self.bad_old}"
            f" of {self.old} old, ratio from {low:.2f} to {high:.2f}"
        )


def _log_evidence_of(finding: Finding) -> float:
    return finding.log_evidence


@dataclass(frozen=True, slots=True)
class Judgement:
    """All comparisons; `log_mean` is the logarithm of the evidence that any of them regressed."""

    findings: tuple[Finding, ...] = ()
    log_mean: float = 0.0
    calls_new: int = 0

    def has_regressed(self, rate: float) -> bool:
        """Whether a regression is shown, at this probability of a false alarm."""
        return self.log_mean >= -log(rate)

    @property
    def worst(self) -> Finding | None:
        """The finding with the strongest evidence."""
        return max(self.findings, key=_log_evidence_of) if self.findings else None


def _log_mean(logs: Sequence[float]) -> float:
    if not logs:
        return 0.0
    largest = max(logs)
    return largest + log(sum(exp(log_value - largest) for log_value in logs) / len(logs))


def log_evidence(strata: Iterable[Stratum], tolerance: float, dispersion: float = 1.0) -> float:
    """Return the log evidence that the rate under the new version exceeds `tolerance` x that of the old."""
    informative = [
        stratum for stratum in strata if stratum.new and stratum.old and stratum.bad_new + stratum.bad_old
    ]
    if not informative:
        return 0.0
    logs = []
    for ratio in RATIOS:
        total = sum(stratum.bad_new for stratum in informative) * log(ratio)
        for stratum in informative:
            odds = tolerance * stratum.new / stratum.old
            total -= (stratum.bad_new + stratum.bad_old) * (log1p(ratio * odds) - log1p(odds))
        logs.append(total / dispersion)
    return _log_mean(logs)


def ratio_bounds(strata: Sequence[Stratum], rate: float, dispersion: float) -> tuple[float, float]:
    """Return a confidence interval of the ratio of rates by inverting the test.

    The interval contains the ratio at every evaluation, except with probability `rate`."""
    swapped = [Stratum(stratum.bad_old, stratum.old, stratum.bad_new, stratum.new) for stratum in strata]
    threshold = -log(rate / 2.0)
    low = _highest_refuted_ratio(strata, threshold, dispersion)
    high = _highest_refuted_ratio(swapped, threshold, dispersion)
    return low, 1.0 / high if high > 0 else float("inf")


def _highest_refuted_ratio(strata: Sequence[Stratum], threshold: float, dispersion: float) -> float:
    """Return the highest ratio that the strata refute, by bisection; 0 if they refute none."""
    low, high = log(1.0 / MAX_RATIO), log(MAX_RATIO)
    if log_evidence(strata, exp(low), dispersion) < threshold:
        return 0.0
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2.0
        if log_evidence(strata, exp(middle), dispersion) >= threshold:
            low = middle
        else:
            high = middle
    return exp(low)


def dispersion(bad: float, squares: float, seconds: float) -> float:
    """Return the variance of one softswitch's bad outcomes per second, relative to independent ones.

    At least 1; `squares` is the sum of the squared counts per second."""
    if bad < 2 or seconds <= 0:
        return 1.0
    return max(1.0, squares / bad - bad / max(seconds, 1.0))


def judge(published: Mapping[tuple[str, int], Evidence], new: str, old: str, tolerance: float) -> Judgement:
    """Compare the new with the old version by all published evidence of one stage."""
    rows: dict[tuple[str, str, int], list[list[OutcomeCounts]]] = defaultdict(lambda: [[], []])
    zones = {
        side: {evidence.zone for evidence in published.values() if version in evidence.versions}
        for side, version in enumerate((new, old))
    }
    class_names: set[str] = set()
    for evidence in published.values():
        for side, version in enumerate((new, old)):
            for class_name, counts in evidence.versions.get(version, {}).items():
                class_names.add(class_name)
                # A zone in which only one version runs allows no comparison: such zones are pooled.
                zone = evidence.zone if evidence.zone in zones[0] and evidence.zone in zones[1] else ""
                for bucket, row in enumerate(counts.ends):
                    rows[class_name, zone, bucket][side].append(row)
    findings = [
        _finding(class_name, outcome, rows, published, (new, old), tolerance)
        for class_name in sorted(class_names)
        for outcome in BAD_OUTCOMES
    ]
    calls = sum(
        sum(sum_counts(sides[0])[: COUNTED_OUTCOMES.index(CallOutcome.CUT)]) for sides in rows.values()
    )
    return Judgement(tuple(findings), _log_mean([finding.log_evidence for finding in findings]), calls)


def _finding(
    class_name: str,
    outcome: CallOutcome,
    rows: Mapping[tuple[str, str, int], Sequence[Sequence[OutcomeCounts]]],
    published: Mapping[tuple[str, int], Evidence],
    versions: tuple[str, str],
    tolerance: float,
) -> Finding:
    index, strata = COUNTED_OUTCOMES.index(outcome), list[Stratum]()
    # Only established calls can be cut; any other outcome is relative to all calls.
    calls = slice(0, 2) if outcome is CallOutcome.CUT else slice(0, COUNTED_OUTCOMES.index(CallOutcome.CUT))
    for (name, _, _), (new_rows, old_rows) in rows.items():
        if name == class_name:
            new, old = list(sum_counts(new_rows)), list(sum_counts(old_rows))
            strata.append(Stratum(new[index], sum(new[calls]), old[index], sum(old[calls])))
    group_dispersion = max(
        _group_dispersion(published.values(), version, class_name, index) for version in versions
    )
    return Finding(
        class_name, outcome,
        sum(stratum.bad_new for stratum in strata), sum(stratum.new for stratum in strata),
        sum(stratum.bad_old for stratum in strata), sum(stratum.old for stratum in strata),
        group_dispersion, log_evidence(strata, tolerance, group_dispersion), tuple(strata),
    )  # fmt: skip


def _group_dispersion(published: Iterable[Evidence], version: str, class_name: str, index: int) -> float:
    """Return the mean dispersion over softswitches, weighted by their numbers of bad outcomes."""
    weighted = total = 0.0
    for evidence in published:
        counts = evidence.versions.get(version, {}).get(class_name)
        if counts is not None and (bad := sum_counts(counts.ends)[index]):
            weighted += bad * dispersion(
                bad, counts.squares[BAD_OUTCOMES.index(COUNTED_OUTCOMES[index])], evidence.seconds
            )
            total += bad
    return weighted / total if total else 1.0
