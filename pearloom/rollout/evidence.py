"""What each softswitch counts under each version, and how the counts of many are joined. A decision: no I/O.

Counts only grow within an incarnation, and each told value holds all of them. The join keeps of every
incarnation the value that was told last, and adds incarnations up: it may be done in any order and as often
as one likes, so that doubled, late and reordered values do no harm, and a restart counts nothing twice; what
a softswitch had not told when it died is lost (grow-only counters, Shapiro et al. 2011).

A call belongs to the stage and to the piece of time (bucket) in which it arrived, whenever it ends; one that
arrived before the stage counts nowhere. So both sides of a comparison are counted over the same seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import msgspec
from hdrh.histogram import HdrHistogram

from pearloom.coordination.port import Snapshot
from pearloom.coordination.values import decode_record
from pearloom.core.outcomes import CallOutcome

EVIDENCE = "evidence/"
FORMAT = 1
BUCKETS_PER_STAGE = 32  # of a stage: its longest time is cut into so many
ENDS = (CallOutcome.STOOD, CallOutcome.LATE, CallOutcome.REFUSED, CallOutcome.FAILED, CallOutcome.CUT)
BAD = (CallOutcome.LATE, CallOutcome.REFUSED, CallOutcome.FAILED, CallOutcome.CUT)
MOST_DELAY_MS, DELAY_DIGITS = 60_000, 2
MOST_COUNT = 1 << 53
STAGES = 64  # of one rollout at most: its number and its stage are told in one number
KEPT_LIVES = 8  # of one softswitch in one stage

Ends = tuple[int, int, int, int, int]  # as in ENDS; CUT counts calls that STOOD or were LATE before
NOTHING: Ends = (0, 0, 0, 0, 0)


class Counts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One class under one version: ends by bucket; of each bad end the squares of its counts by second."""

    ends: tuple[Ends, ...] = ()
    squares: tuple[int, int, int, int] = (0, 0, 0, 0)
    delays: str = ""  # histogram of ms from arrival to the set-up's end, in the library's own form


class Evidence(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that one incarnation of one softswitch has counted in one stage."""

    format: int
    stage: int  # `stage_mark`
    incarnation: int
    told: int  # how often it was told: it only grows
    zone: str
    seconds: float
    broken: int  # decisions that broke, under whatever version
    versions: dict[str, dict[str, Counts]]  # by version, by class


def stage_id(rollout: int, stage: int) -> int:
    """One number for a stage of a rollout."""
    return rollout * STAGES + stage


def rollout_of(mark: int) -> int:
    """The rollout of a `stage_mark`."""
    return mark // STAGES


@dataclass(slots=True)
class BySecond:
    """The sum of the squares of how many came in each second."""

    squares: float = 0
    _second: int = -1
    _within: int = 0

    def add(self, second: int) -> None:
        """One more in this second."""
        self._within = self._within + 1 if second == self._second else 1
        self._second = second
        self.squares += 2 * self._within - 1  # the square grows by so much


class Tally:
    """What this softswitch counts in one stage; times are float ms of one steady clock."""

    def __init__(self, classes: Sequence[str], stage: int, began_ms: float, bucket_ms: float) -> None:
        """Nothing is counted yet. `stage`: its `stage_mark`."""
        self._classes, self.stage, self._began_ms = classes, stage, began_ms
        self._bucket_ms = max(bucket_ms, 1.0)
        self._ends: dict[tuple[str, int], list[list[int]]] = {}
        self._delays: dict[tuple[str, int], HdrHistogram] = {}
        self._bursts: dict[tuple[str, int, CallOutcome], BySecond] = {}

    def arrival_mark(self, now_ms: float) -> int:
        """To be kept with a call that arrives now."""
        return self.stage * BUCKETS_PER_STAGE + min(
            int((now_ms - self._began_ms) / self._bucket_ms), BUCKETS_PER_STAGE - 1
        )

    def record_end(
        self, version: str, mark: int, kind: int, end: CallOutcome, took_ms: float, now_ms: float
    ) -> None:
        """An end of a call that arrived with this mark. Stage 0 is none, and holds nothing."""
        if mark // BUCKETS_PER_STAGE != self.stage or end not in ENDS or not self.stage:
            return
        key, bucket = (version, kind), mark % BUCKETS_PER_STAGE
        rows = self._ends.setdefault(key, [])
        while len(rows) <= bucket:
            rows.append([0] * len(ENDS))
        rows[bucket][ENDS.index(end)] += 1
        if end is not CallOutcome.CUT:
            histogram = self._delays.get(key)
            if histogram is None:
                histogram = self._delays[key] = HdrHistogram(1, MOST_DELAY_MS, DELAY_DIGITS)
            histogram.record_value(min(max(round(took_ms), 1), MOST_DELAY_MS))
        if end in BAD:
            burst = (version, kind, end)
            if burst not in self._bursts:
                self._bursts[burst] = BySecond()
            self._bursts[burst].add(int((now_ms - self._began_ms) / 1000.0))

    def _squared(self, version: str, kind: int) -> tuple[int, int, int, int]:
        held = (self._bursts.get((version, kind, end)) for end in BAD)
        late, refused, failed, cut = (int(one.squares) if one is not None else 0 for one in held)
        return late, refused, failed, cut

    def evidence(self, incarnation: int, told: int, zone: str, broken: int, now_ms: float) -> Evidence:
        """All of it, to be told."""
        versions: dict[str, dict[str, Counts]] = {}
        for (version, kind), rows in self._ends.items():
            delays = self._delays.get((version, kind))
            versions.setdefault(version, {})[self._classes[kind]] = Counts(
                tuple((row[0], row[1], row[2], row[3], row[4]) for row in rows),
                self._squared(version, kind),
                delays.encode().decode("ascii") if delays is not None else "",
            )
        seconds = round((now_ms - self._began_ms) / 1000.0, 1)
        return Evidence(FORMAT, self.stage, incarnation, told, zone, seconds, broken, versions)


# --- in the store -------------------------------------------------------------------------------------------
def key_of(name: str, incarnation: int) -> str:
    """Where an incarnation tells."""
    return f"{EVIDENCE}{name}/{incarnation}"


def encode(evidence: Evidence) -> bytes:
    """As the store holds it."""
    return msgspec.json.encode(evidence)


def decode(value: bytes) -> Evidence | None:
    """A told value, or None where it can't be read or can't be true."""
    found = decode_record(value, Evidence, FORMAT)
    if found is None:
        return None
    rows = [
        row for classes in found.versions.values() for counts in classes.values()
        for row in (*counts.ends, counts.squares)
    ]  # fmt: skip
    sound = (
        found.told >= 0
        and 0 <= found.seconds < 1e9
        and all(0 <= count < MOST_COUNT for row in rows for count in row)
        and all(
            len(counts.ends) <= BUCKETS_PER_STAGE for by in found.versions.values() for counts in by.values()
        )
    )
    return found if sound else None


def told(snapshot: Snapshot, stage: int) -> tuple[dict[tuple[str, int], Evidence], tuple[str, ...]]:
    """What was told for this stage, by softswitch and incarnation; and the keys that can't be read."""
    found: dict[tuple[str, int], Evidence] = {}
    unreadable: list[str] = []
    for entry in snapshot.with_prefix(EVIDENCE):
        name, _, incarnation = entry.key.removeprefix(EVIDENCE).rpartition("/")
        one = decode(entry.value)
        if one is None or entry.key != key_of(name, one.incarnation):
            unreadable.append(entry.key)
        elif one.stage == stage:
            found[name, int(incarnation)] = one
    return found, tuple(unreadable)


def join(first: Mapping[tuple[str, int], Evidence], *more: Mapping[tuple[str, int], Evidence]) -> dict[
    tuple[str, int], Evidence
]:  # fmt: skip
    """Of every incarnation what was told last."""
    joined = dict(first)
    for others in more:
        for key, one in others.items():
            if key not in joined or joined[key].told < one.told:
                joined[key] = one
    return joined


def added(rows: Iterable[Sequence[int]]) -> Ends:
    """Sums, end by end."""
    sums = [sum(column) for column in zip(*rows, strict=True)] or [0] * len(ENDS)
    return sums[0], sums[1], sums[2], sums[3], sums[4]


def merge_delays(encoded: Iterable[str]) -> HdrHistogram:
    """Histograms added up; one that can't be read is left out."""
    whole = HdrHistogram(1, MOST_DELAY_MS, DELAY_DIGITS)
    for text in encoded:
        try:
            whole.decode_and_add(text)
        except Exception:
            # The library raises many kinds for what is spoilt; delays are shown, nothing rests on them.
            continue
    return whole
