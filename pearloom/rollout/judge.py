"""Are ends worse under the new version than under the old one, over the same seconds? A decision: no I/O.

The test may be looked at as often as one likes. Take the calls of one class that arrived in one zone in one
bucket of time: `n1` under the new version, `n0` under the old one. Whatever ails both, a bad end falls to
the new version with the chance w*n1 / (w*n1 + n0) at most, where w is the ratio of rates that is still no
harm (the tolerance). Against a ratio r times as high the likelihood ratio of the bad ends seen so far is a
nonnegative supermartingale; so is its mean over several r and over all ends and classes. That it ever reaches
1/a has a chance of at most a (Ville's inequality), however often it is looked at. Source: Howard,
Ramdas, McAuliffe, Sekhon, "Time-uniform, nonparametric, nonasymptotic confidence sequences" (2021), section 3
(mixtures); Vovk and Wang, "E-values: calibration, combination and applications" (2021), for the mean.

Comparing within a zone and a bucket, a surge, a lost zone and a slow server that hit both sides tell nothing.
Bad ends that come in bursts (a connection that broke under ten calls) are not ten independent calls: the
evidence's logarithm is divided by how much more the counts by second vary than independent ones would.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import exp, log, log1p

from pearloom.core.outcomes import CallOutcome
from pearloom.rollout.evidence import BAD, ENDS, Ends, Evidence, added

RATIOS = (1.25, 1.6, 2.0, 3.0, 5.0, 10.0, 30.0, 100.0)  # of the tolerated rate: the alternatives mixed
MOST_RATIO = 1_000.0  # bounds of a ratio are looked for up to here
HALVINGS = 24


@dataclass(frozen=True, slots=True)
class Stratum:
    """One class in one zone in one bucket: bad ends and calls, under the new version and the old one."""

    bad_new: int
    new: int
    bad_old: int
    old: int


@dataclass(frozen=True, slots=True)
class Finding:
    """One bad end of one class, compared. `log_evidence`: natural logarithm; 0 says nothing."""

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
        """Between which the ratio of rates lies, new to old; costs some ms, so it is asked for when shown."""
        return bounds(self.strata, rate, self.dispersion)

    def describe(self, rate: float) -> str:
        """For the log and the operator."""
        low, high = self.ratio_bounds(rate)
        return (
            f"{self.end.value} of class {self.class_name}: {self.bad_new} of {self.new} new, {self.bad_old}"
            f" of {self.old} old, ratio from {low:.2f} to {high:.2f}"
        )


def _evidence(one: Finding) -> float:
    return one.log_evidence


@dataclass(frozen=True, slots=True)
class Judgement:
    """All that was compared; `log_mean`: the evidence for a regress of any of them."""

    findings: tuple[Finding, ...] = ()
    log_mean: float = 0.0
    calls_new: int = 0

    def has_regressed(self, rate: float) -> bool:
        """Is it shown, at this rate of false alarms?"""
        return self.log_mean >= -log(rate)

    @property
    def worst(self) -> Finding | None:
        """Where the evidence is strongest."""
        return max(self.findings, key=_evidence) if self.findings else None


def _log_mean(logs: Sequence[float]) -> float:
    if not logs:
        return 0.0
    most = max(logs)
    return most + log(sum(exp(one - most) for one in logs) / len(logs))


def log_evidence(strata: Iterable[Stratum], tolerance: float, dispersion: float = 1.0) -> float:
    """Logarithm of the evidence that the rate under the new version is over `tolerance` x that of the old."""
    told = [one for one in strata if one.new and one.old and one.bad_new + one.bad_old]
    if not told:
        return 0.0
    logs = []
    for ratio in RATIOS:
        whole = sum(one.bad_new for one in told) * log(ratio)
        for one in told:
            odds = tolerance * one.new / one.old
            whole -= (one.bad_new + one.bad_old) * (log1p(ratio * odds) - log1p(odds))
        logs.append(whole / dispersion)
    return _log_mean(logs)


def bounds(strata: Sequence[Stratum], rate: float, dispersion: float) -> tuple[float, float]:
    """Between which the ratio of rates lies, at this rate of errors, at every look: the test turned round."""
    mirrored = [Stratum(one.bad_old, one.old, one.bad_new, one.new) for one in strata]
    need = -log(rate / 2.0)
    low = _least_refuted(strata, need, dispersion)
    high = _least_refuted(mirrored, need, dispersion)
    return low, 1.0 / high if high > 0 else float("inf")


def _least_refuted(strata: Sequence[Stratum], need: float, dispersion: float) -> float:
    """The highest ratio that the strata refute; 0 where they refute none."""
    low, high = log(1.0 / MOST_RATIO), log(MOST_RATIO)
    if log_evidence(strata, exp(low), dispersion) < need:
        return 0.0
    for _ in range(HALVINGS):
        middle = (low + high) / 2.0
        if log_evidence(strata, exp(middle), dispersion) >= need:
            low = middle
        else:
            high = middle
    return exp(low)


def dispersion(bad: float, squares: float, seconds: float) -> float:
    """How much more one softswitch's bad ends by second vary than independent ones would; 1 at least."""
    if bad < 2 or seconds <= 0:
        return 1.0
    return max(1.0, squares / bad - bad / max(seconds, 1.0))


def judge(told: Mapping[tuple[str, int], Evidence], new: str, old: str, tolerance: float) -> Judgement:
    """Compare all that was told of one stage."""
    rows: dict[tuple[str, str, int], list[list[Ends]]] = defaultdict(lambda: [[], []])
    zones = {
        side: {one.zone for one in told.values() if version in one.versions}
        for side, version in enumerate((new, old))
    }
    kinds: set[str] = set()
    for one in told.values():
        for side, version in enumerate((new, old)):
            for kind, counts in one.versions.get(version, {}).items():
                kinds.add(kind)
                # A zone in which one side has nobody can't be compared within: such zones are taken as one.
                zone = one.zone if one.zone in zones[0] and one.zone in zones[1] else ""
                for bucket, row in enumerate(counts.ends):
                    rows[kind, zone, bucket][side].append(row)
    findings = [
        _finding(kind, end, rows, told, (new, old), tolerance) for kind in sorted(kinds) for end in BAD
    ]
    calls = sum(sum(added(sides[0])[: ENDS.index(CallOutcome.CUT)]) for sides in rows.values())
    return Judgement(tuple(findings), _log_mean([one.log_evidence for one in findings]), calls)


def _finding(
    kind: str,
    end: CallOutcome,
    rows: Mapping[tuple[str, str, int], Sequence[Sequence[Ends]]],
    told: Mapping[tuple[str, int], Evidence],
    versions: tuple[str, str],
    tolerance: float,
) -> Finding:
    at, strata = ENDS.index(end), list[Stratum]()
    whole = (
        slice(0, 2) if end is CallOutcome.CUT else slice(0, ENDS.index(CallOutcome.CUT))
    )  # only what stood can be cut
    for (name, _, _), (under, before) in rows.items():
        if name == kind:
            new, old = list(added(under)), list(added(before))
            strata.append(Stratum(new[at], sum(new[whole]), old[at], sum(old[whole])))
    spread = max(_group_dispersion(told.values(), version, kind, at) for version in versions)
    return Finding(
        kind, end, sum(one.bad_new for one in strata), sum(one.new for one in strata),
        sum(one.bad_old for one in strata), sum(one.old for one in strata), spread,
        log_evidence(strata, tolerance, spread), tuple(strata),
    )  # fmt: skip


def _group_dispersion(told: Iterable[Evidence], version: str, kind: str, at: int) -> float:
    """Over softswitches, each by how much it has to tell."""
    weighed = whole = 0.0
    for one in told:
        counts = one.versions.get(version, {}).get(kind)
        if counts is not None and (bad := added(counts.ends)[at]):
            weighed += bad * dispersion(bad, counts.squares[BAD.index(ENDS[at])], one.seconds)
            whole += bad
    return weighed / whole if whole else 1.0
