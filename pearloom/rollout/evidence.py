"""What each softswitch counts under each version, and how the counts of many are merged. A decision: no I/O.

Counts only grow within an incarnation, and each published value holds all of them. A merge keeps the latest
value of every incarnation, and the sums run over incarnations. Merging is commutative, associative and
idempotent: duplicate, late and reordered values do no harm, and a restart counts nothing twice. Counts that a
softswitch had not published when it died are lost (grow-only counters, Shapiro et al. 2011).

A call belongs to the stage and to the time bucket in which it arrived, whenever it ends; a call that arrived
before the stage is not counted. Both sides of a comparison are therefore counted over the same seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import msgspec
from hdrh.histogram import HdrHistogram

from pearloom.coordination.port import Snapshot
from pearloom.coordination.values import decode_record
from pearloom.core.outcomes import CallOutcome

EVIDENCE_PREFIX = "evidence/"
FORMAT = 1
BUCKETS_PER_STAGE = 32  # equal parts of a stage's maximum duration
COUNTED_OUTCOMES = (
    CallOutcome.STOOD,
    CallOutcome.LATE,
    CallOutcome.REFUSED,
    CallOutcome.FAILED,
    CallOutcome.CUT,
)
BAD_OUTCOMES = (CallOutcome.LATE, CallOutcome.REFUSED, CallOutcome.FAILED, CallOutcome.CUT)
MAX_DELAY_MS, DELAY_DIGITS = 60_000, 2
MAX_COUNT = 1 << 53
STAGE_IDS_PER_ROLLOUT = 64  # a stage id combines the rollout's id and the stage's index
MAX_FORMER_INCARNATIONS = 8  # kept per softswitch and stage

# In the order of COUNTED_OUTCOMES; a call that is cut was counted as stood or late before.
OutcomeCounts = tuple[int, int, int, int, int]
NO_OUTCOMES: OutcomeCounts = (0, 0, 0, 0, 0)


class Counts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The counts of one call class under one version."""

    ends: tuple[OutcomeCounts, ...] = ()  # outcomes by bucket
    squares: tuple[int, int, int, int] = (0, 0, 0, 0)  # by bad outcome: sum of squared counts per second
    delays: str = ""  # histogram of ms from arrival to the end of set-up, encoded by the histogram library


class Evidence(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All counts of one incarnation of one softswitch in one stage."""

    format: int
    stage: int  # see `stage_id`
    incarnation: int
    told: int  # sequence number of the published value; increasing
    zone: str
    seconds: float  # since the stage began at this softswitch
    broken: int  # decisions that failed with an exception, under any version
    versions: dict[str, dict[str, Counts]]  # by version and class name


def stage_id(rollout: int, stage: int) -> int:
    """Return the id of a stage, unique over all rollouts."""
    return rollout * STAGE_IDS_PER_ROLLOUT + stage


def rollout_of_stage(stage_id: int) -> int:
    """Return the rollout's id of a stage id."""
    return stage_id // STAGE_IDS_PER_ROLLOUT


@dataclass(slots=True)
class SquaredCounts:
    """The sum of the squared numbers of events in each second."""

    squares: float = 0
    _second: int = -1
    _count: int = 0

    def add(self, second: int) -> None:
        """Count an event in this second."""
        self._count = self._count + 1 if second == self._second else 1
        self._second = second
        self.squares += 2 * self._count - 1  # count^2 - (count - 1)^2


class Tally:
    """Counts the outcomes of this softswitch's calls in one stage; times are ms of a monotonic clock."""

    def __init__(self, classes: Sequence[str], stage_id: int, start_ms: float, bucket_ms: float) -> None:
        """Start with empty counts; a stage id of 0 stands for no stage."""
        self._classes, self.stage_id, self._start_ms = classes, stage_id, start_ms
        self._bucket_ms = max(bucket_ms, 1.0)
        self._outcomes: dict[tuple[str, int], list[list[int]]] = {}
        self._delays: dict[tuple[str, int], HdrHistogram] = {}
        self._squares: dict[tuple[str, int, CallOutcome], SquaredCounts] = {}

    def arrival_mark(self, now_ms: float) -> int:
        """Return the stage and bucket of a call that arrives now, as a number to keep with the call."""
        return self.stage_id * BUCKETS_PER_STAGE + min(
            int((now_ms - self._start_ms) / self._bucket_ms), BUCKETS_PER_STAGE - 1
        )

    def record_end(
        self,
        version: str,
        mark: int,
        class_index: int,
        outcome: CallOutcome,
        duration_ms: float,
        now_ms: float,
    ) -> None:
        """Count an outcome of a call that arrived with this mark, if it arrived in this stage."""
        if mark // BUCKETS_PER_STAGE != self.stage_id or outcome not in COUNTED_OUTCOMES or not self.stage_id:
            return
        key, bucket = (version, class_index), mark % BUCKETS_PER_STAGE
        rows = self._outcomes.setdefault(key, [])
        while len(rows) <= bucket:
            rows.append([0] * len(COUNTED_OUTCOMES))
        rows[bucket][COUNTED_OUTCOMES.index(outcome)] += 1
        if outcome is not CallOutcome.CUT:
            histogram = self._delays.get(key)
            if histogram is None:
                histogram = self._delays[key] = HdrHistogram(1, MAX_DELAY_MS, DELAY_DIGITS)
            histogram.record_value(min(max(round(duration_ms), 1), MAX_DELAY_MS))
        if outcome in BAD_OUTCOMES:
            squares_key = (version, class_index, outcome)
            if squares_key not in self._squares:
                self._squares[squares_key] = SquaredCounts()
            self._squares[squares_key].add(int((now_ms - self._start_ms) / 1000.0))

    def _squares_of(self, version: str, class_index: int) -> tuple[int, int, int, int]:
        counters = (self._squares.get((version, class_index, outcome)) for outcome in BAD_OUTCOMES)
        late, refused, failed, cut = (
            int(counter.squares) if counter is not None else 0 for counter in counters
        )
        return late, refused, failed, cut

    def evidence(
        self, incarnation: int, sequence: int, zone: str, failed_decisions: int, now_ms: float
    ) -> Evidence:
        """Return all counts as a value to publish."""
        versions: dict[str, dict[str, Counts]] = {}
        for (version, class_index), rows in self._outcomes.items():
            delays = self._delays.get((version, class_index))
            versions.setdefault(version, {})[self._classes[class_index]] = Counts(
                tuple((row[0], row[1], row[2], row[3], row[4]) for row in rows),
                self._squares_of(version, class_index),
                delays.encode().decode("ascii") if delays is not None else "",
            )
        seconds = round((now_ms - self._start_ms) / 1000.0, 1)
        return Evidence(
            FORMAT, self.stage_id, incarnation, sequence, zone, seconds, failed_decisions, versions
        )


def evidence_key(name: str, incarnation: int) -> str:
    """Return the store's key for the evidence of an incarnation."""
    return f"{EVIDENCE_PREFIX}{name}/{incarnation}"


def encode(evidence: Evidence) -> bytes:
    """Encode evidence for the store."""
    return msgspec.json.encode(evidence)


def decode(value: bytes) -> Evidence | None:
    """Decode a published value; None if it is unreadable or out of range."""
    evidence = decode_record(value, Evidence, FORMAT)
    if evidence is None:
        return None
    rows = [
        row for classes in evidence.versions.values() for counts in classes.values()
        for row in (*counts.ends, counts.squares)
    ]  # fmt: skip
    is_valid = (
        evidence.told >= 0
        and 0 <= evidence.seconds < 1e9
        and all(0 <= count < MAX_COUNT for row in rows for count in row)
        and all(
            len(counts.ends) <= BUCKETS_PER_STAGE
            for by_class in evidence.versions.values()
            for counts in by_class.values()
        )
    )
    return evidence if is_valid else None


def read_evidence(
    snapshot: Snapshot, stage_id: int
) -> tuple[dict[tuple[str, int], Evidence], tuple[str, ...]]:
    """Return a stage's evidence by softswitch and incarnation, and the keys of unreadable values."""
    by_incarnation: dict[tuple[str, int], Evidence] = {}
    unreadable: list[str] = []
    for entry in snapshot.with_prefix(EVIDENCE_PREFIX):
        name, _, incarnation = entry.key.removeprefix(EVIDENCE_PREFIX).rpartition("/")
        evidence = decode(entry.value)
        if evidence is None or entry.key != evidence_key(name, evidence.incarnation):
            unreadable.append(entry.key)
        elif evidence.stage == stage_id:
            by_incarnation[name, int(incarnation)] = evidence
    return by_incarnation, tuple(unreadable)


def merge(first: Mapping[tuple[str, int], Evidence], *more: Mapping[tuple[str, int], Evidence]) -> dict[
    tuple[str, int], Evidence
]:  # fmt: skip
    """Keep the latest value of every incarnation."""
    merged = dict(first)
    for mapping in more:
        for key, evidence in mapping.items():
            if key not in merged or merged[key].told < evidence.told:
                merged[key] = evidence
    return merged


def sum_counts(rows: Iterable[Sequence[int]]) -> OutcomeCounts:
    """Sum the counts of each outcome over all rows."""
    sums = [sum(column) for column in zip(*rows, strict=True)] or [0] * len(COUNTED_OUTCOMES)
    return sums[0], sums[1], sums[2], sums[3], sums[4]


def merge_delays(encoded: Iterable[str]) -> HdrHistogram:
    """Add up encoded histograms of delays; unreadable ones are left out."""
    merged = HdrHistogram(1, MAX_DELAY_MS, DELAY_DIGITS)
    for histogram in encoded:
        try:
            merged.decode_and_add(histogram)
        except Exception:
            # The library raises various exceptions on corrupt input; delays are only shown to operators.
            continue
    return merged
