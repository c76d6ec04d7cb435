"""Who is in the fleet: by lease, by incarnation, and by what each member last told of itself.

A decision: no I/O, time passed in as float ms. Two keys a softswitch: `members/NAME` hangs on its lease and
holds what it tells of itself; `roster/NAME` stays, so that one that is away is missed by name and not
forgotten. A restarted process is another incarnation: what was granted to the one before is not its own.

Guards against a restart that takes over a grant of its former life, against a member that lives but tells
nothing any more (its lease is kept, its work is not done), and against values that nobody can read.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

import msgspec

from pearloom.coordination.port import Compare, Entry, Snapshot, Transaction, Write
from pearloom.coordination.values import decode_record

MEMBERS_PREFIX, ROSTER_PREFIX = "members/", "roster/"
MAX_REPORTED_GATES = 512  # that one member tells of
FORMAT = 1  # of the values here; a higher one is of a newer pearloom and is not guessed at
BEAT_EACH_MS = 10.0  # x the fleet: the least period, so that the store takes 100 beats a second of all
BEATS_MISSED = 3.0  # x the period in which a member tells of itself: after so long it has stalled


class RosterEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What stays in the store of a softswitch that has ever joined and not been removed."""

    format: int
    incarnation: int
    zone: str


class MemberFacts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a softswitch tells of itself; `beat` only grows within an incarnation."""

    format: int
    incarnation: int
    zone: str
    beat: int
    leaving: bool = False
    limits: dict[str, float] = {}  # set-ups that its gate to each server allows out
    outstanding: int = 0  # set-ups that it has out


class Condition(Enum):
    """How a member is, as this softswitch sees it."""

    LIVE = "live"
    STALLED = "stalled"  # its lease is kept, but it tells nothing any more
    LEAVING = "leaving"  # it said that it is about to end
    AWAY = "away"  # its lease ended without a word: dead, stopped, cut off
    UNREADABLE = "unreadable"  # its value is of a newer format, or spoilt


@dataclass(frozen=True, slots=True)
class Member:
    """One softswitch of the fleet."""

    name: str
    condition: Condition
    incarnation: int
    zone: str
    facts: MemberFacts | None
    last_change_ms: (
        float  # when its beat was seen to change last, by the own clock; for one away, when it went
    )

    @property
    def is_live(self) -> bool:
        """Does it take part in what the fleet does?"""
        return self.condition is Condition.LIVE


@dataclass(frozen=True, slots=True)
class View:
    """All members by name, and a number that grows with each change of anyone's condition."""

    revision: int = 0
    members: tuple[Member, ...] = ()

    def find(self, name: str) -> Member | None:
        """The member of this name."""
        return next((member for member in self.members if member.name == name), None)

    @property
    def live_members(self) -> tuple[Member, ...]:
        """Those that take part."""
        return tuple(member for member in self.members if member.is_live)

    @property
    def missing(self) -> tuple[str, ...]:
        """The names of those that are away, stalled or can't be read."""
        gone = (Condition.AWAY, Condition.STALLED, Condition.UNREADABLE)
        return tuple(member.name for member in self.members if member.condition in gone)


def decode_facts(value: bytes) -> MemberFacts | None:
    """A member's value, or None where it can't be read."""
    facts = decode_record(value, MemberFacts, FORMAT)
    sound = (
        facts is not None
        and facts.beat >= 0
        and facts.outstanding >= 0
        and len(facts.limits) <= MAX_REPORTED_GATES
        and all(0.0 <= limit < 1e9 for limit in facts.limits.values())
    )
    return facts if sound else None


def decode_roster(value: bytes) -> RosterEntry | None:
    """A roster's value, or None where it can't be read."""
    return decode_record(value, RosterEntry, FORMAT)


def update_view(snapshot: Snapshot, before: View, now_ms: float, beat_ms: float) -> View:
    """The view that follows from the store as it is and from when the own clock saw what change."""
    told = {entry.key.removeprefix(MEMBERS_PREFIX): entry for entry in snapshot.with_prefix(MEMBERS_PREFIX)}
    roster = {entry.key.removeprefix(ROSTER_PREFIX): entry for entry in snapshot.with_prefix(ROSTER_PREFIX)}
    members = tuple(
        _member(name, told.get(name), roster.get(name), before.find(name), now_ms, beat_ms)
        for name in sorted({*told, *roster})
    )
    changed = [(one.name, one.condition, one.incarnation) for one in members] != [
        (one.name, one.condition, one.incarnation) for one in before.members
    ]
    return View(before.revision + changed, members)


def _member(
    name: str, told: Entry | None, roster: Entry | None, before: Member | None, now_ms: float, beat_ms: float
) -> Member:
    stays = decode_roster(roster.value) if roster is not None else None
    if told is None:
        since = before.last_change_ms if before is not None and before.condition is Condition.AWAY else now_ms
        incarnation = stays.incarnation if stays else before.incarnation if before else 0
        zone = stays.zone if stays else before.zone if before else ""
        return Member(name, Condition.AWAY, incarnation, zone, None, since)
    facts = decode_facts(told.value)
    if facts is None:
        return Member(name, Condition.UNREADABLE, 0, "", None, now_ms)
    same = before is not None and before.facts is not None and before.incarnation == facts.incarnation
    beat = before.facts.beat if before is not None and before.facts is not None else -1
    # A beat that goes back within one incarnation was read late: it is no sign of life.
    since = before.last_change_ms if before is not None and same and facts.beat <= beat else now_ms
    condition = Condition.LIVE
    if facts.leaving:
        condition = Condition.LEAVING
    elif now_ms - since > BEATS_MISSED * beat_ms:
        condition = Condition.STALLED
    return Member(name, condition, facts.incarnation, facts.zone, facts, since)


def publish_facts(snapshot: Snapshot, name: str, facts: MemberFacts) -> Transaction:
    """Tell of oneself, at first and again: what was there of a former incarnation is written over.

    The compare is on what was read, so that of two processes under one name the later one sees the other."""
    member, roster = snapshot.find(MEMBERS_PREFIX + name), snapshot.find(ROSTER_PREFIX + name)
    stays = msgspec.json.encode(RosterEntry(FORMAT, facts.incarnation, facts.zone))
    writes = [Write(MEMBERS_PREFIX + name, msgspec.json.encode(facts), lease=True)]
    compares = [Compare(MEMBERS_PREFIX + name, member.mod_revision if member else 0)]
    if roster is None or roster.value != stays:
        compares.append(Compare(ROSTER_PREFIX + name, roster.mod_revision if roster else 0))
        writes.append(Write(ROSTER_PREFIX + name, stays))
    return Transaction(tuple(compares), tuple(writes))


def remove_member(snapshot: Snapshot, name: str) -> Transaction | None:
    """Leave for good: nobody misses it. None where nothing is there to be taken out."""
    keys = [
        entry
        for key in (MEMBERS_PREFIX + name, ROSTER_PREFIX + name)
        if (entry := snapshot.find(key)) is not None
    ]
    if not keys:
        return None
    return Transaction(
        tuple(Compare(entry.key, entry.mod_revision) for entry in keys),
        tuple(Write(entry.key, None) for entry in keys),
    )


def is_superseded(snapshot: Snapshot, name: str, incarnation: int) -> bool:
    """Does another, younger incarnation tell of itself under this name?"""
    entry = snapshot.find(MEMBERS_PREFIX + name)
    facts = decode_facts(entry.value) if entry is not None else None
    return facts is not None and facts.incarnation > incarnation


def heartbeat_interval_ms(beat_ms: float, members: int) -> float:
    """How often each member tells of itself, in a fleet of this size.

    Guards against a store that bears the square of the fleet: each beat is told to every softswitch."""
    return max(beat_ms, BEAT_EACH_MS * members)


def next_facts(
    facts: MemberFacts, limits: Mapping[str, float], outstanding: int, leaving: bool = False
) -> MemberFacts:
    """What to tell next; of the gates the widest ones, if there are more than one may tell of."""
    told = sorted(limits, key=lambda server: -limits[server])[:MAX_REPORTED_GATES]
    return MemberFacts(
        facts.format, facts.incarnation, facts.zone, facts.beat + 1, leaving,
        {server: round(limits[server], 2) for server in told}, outstanding,
    )  # fmt: skip
