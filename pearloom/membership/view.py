"""Derives the members of the fleet from leases, incarnations and published facts.

No I/O; times are passed in as milliseconds. Each softswitch has two keys: `members/NAME` is bound to its
lease and holds the facts that it publishes; `roster/NAME` stays, so that a member that is away is known by
name. A restarted process is a new incarnation and does not inherit what was granted to the one before.

Guards against a restarted process that uses a grant of its former incarnation, against a member that renews
its lease but publishes nothing (it no longer does its work), and against unreadable values.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

import msgspec

from pearloom.coordination.port import Compare, Entry, Snapshot, Transaction, Write
from pearloom.coordination.values import decode_record

MEMBERS_PREFIX, ROSTER_PREFIX = "members/", "roster/"
MAX_REPORTED_GATES = 512  # in the facts of one member
FORMAT = 1  # of the records here; a higher one belongs to a newer pearloom and is not decoded
# The shortest interval for each member of the fleet, so that the store gets at most 100 heartbeats a second.
INTERVAL_PER_MEMBER_MS = 10.0
STALL_INTERVALS = 3.0  # heartbeat intervals without a heartbeat after which a member has stalled


class RosterEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The lasting record of a softswitch that has joined the fleet and has not been removed."""

    format: int
    incarnation: int
    zone: str


class MemberFacts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The facts that a softswitch publishes of itself; `beat` counts the heartbeats of an incarnation."""

    format: int
    incarnation: int
    zone: str
    beat: int
    leaving: bool = False
    limits: dict[str, float] = {}  # set-ups that its gate to each server allows at once
    outstanding: int = 0  # its unanswered set-ups


class Condition(Enum):
    """State of a member as this softswitch sees it."""

    LIVE = "live"
    STALLED = "stalled"  # it renews its lease, but its heartbeats have stopped
    LEAVING = "leaving"  # it has published that it is shutting down
    AWAY = "away"  # its lease ended without notice: crashed, suspended or cut off
    UNREADABLE = "unreadable"  # its value has a newer format or is damaged


@dataclass(frozen=True, slots=True)
class Member:
    """One softswitch of the fleet."""

    name: str
    condition: Condition
    incarnation: int
    zone: str
    facts: MemberFacts | None
    # Local time at which its heartbeat last advanced; for a member that is away, when it was seen to go.
    last_change_ms: float

    @property
    def is_live(self) -> bool:
        """Whether it takes part in the fleet's decisions."""
        return self.condition is Condition.LIVE


@dataclass(frozen=True, slots=True)
class View:
    """All members by name, and a revision that grows with each change of a member's condition."""

    revision: int = 0
    members: tuple[Member, ...] = ()

    def find(self, name: str) -> Member | None:
        """The member of this name, or None."""
        return next((member for member in self.members if member.name == name), None)

    @property
    def live_members(self) -> tuple[Member, ...]:
        """The members that take part in the fleet's decisions."""
        return tuple(member for member in self.members if member.is_live)

    @property
    def missing(self) -> tuple[str, ...]:
        """The names of the members that are away, stalled or unreadable."""
        absent = (Condition.AWAY, Condition.STALLED, Condition.UNREADABLE)
        return tuple(member.name for member in self.members if member.condition in absent)


def decode_facts(value: bytes) -> MemberFacts | None:
    """Decode a member's value; None if it is unreadable or out of range."""
    facts = decode_record(value, MemberFacts, FORMAT)
    is_valid = (
        facts is not None
        and facts.beat >= 0
        and facts.outstanding >= 0
        and len(facts.limits) <= MAX_REPORTED_GATES
        and all(0.0 <= limit < 1e9 for limit in facts.limits.values())
    )
    return facts if is_valid else None


def decode_roster(value: bytes) -> RosterEntry | None:
    """Decode a roster entry; None if it is unreadable."""
    return decode_record(value, RosterEntry, FORMAT)


def update_view(snapshot: Snapshot, before: View, now_ms: float, interval_ms: float) -> View:
    """The view that follows from a snapshot, the view before it and the local time."""
    published = {
        entry.key.removeprefix(MEMBERS_PREFIX): entry for entry in snapshot.with_prefix(MEMBERS_PREFIX)
    }
    roster = {entry.key.removeprefix(ROSTER_PREFIX): entry for entry in snapshot.with_prefix(ROSTER_PREFIX)}
    members = tuple(
        _member(name, published.get(name), roster.get(name), before.find(name), now_ms, interval_ms)
        for name in sorted({*published, *roster})
    )
    has_changed = [(member.name, member.condition, member.incarnation) for member in members] != [
        (member.name, member.condition, member.incarnation) for member in before.members
    ]
    return View(before.revision + has_changed, members)


def _member(
    name: str,
    published: Entry | None,
    roster: Entry | None,
    before: Member | None,
    now_ms: float,
    interval_ms: float,
) -> Member:
    roster_record = decode_roster(roster.value) if roster is not None else None
    if published is None:
        since = before.last_change_ms if before is not None and before.condition is Condition.AWAY else now_ms
        incarnation = roster_record.incarnation if roster_record else before.incarnation if before else 0
        zone = roster_record.zone if roster_record else before.zone if before else ""
        return Member(name, Condition.AWAY, incarnation, zone, None, since)
    facts = decode_facts(published.value)
    if facts is None:
        return Member(name, Condition.UNREADABLE, 0, "", None, now_ms)
    is_same_incarnation = (
        before is not None and before.facts is not None and before.incarnation == facts.incarnation
    )
    last_beat = before.facts.beat if before is not None and before.facts is not None else -1
    # A count that goes back within one incarnation was read late and does not show that the member is alive.
    since = (
        before.last_change_ms
        if before is not None and is_same_incarnation and facts.beat <= last_beat
        else now_ms
    )
    condition = Condition.LIVE
    if facts.leaving:
        condition = Condition.LEAVING
    elif now_ms - since > STALL_INTERVALS * interval_ms:
        condition = Condition.STALLED
    return Member(name, condition, facts.incarnation, facts.zone, facts, since)


def publish_facts(snapshot: Snapshot, name: str, facts: MemberFacts) -> Transaction:
    """The transaction that publishes this member's facts, replacing those of a former incarnation.

    It compares with the revision that was read, so that two processes of one name notice each other."""
    member, roster = snapshot.find(MEMBERS_PREFIX + name), snapshot.find(ROSTER_PREFIX + name)
    roster_record = msgspec.json.encode(RosterEntry(FORMAT, facts.incarnation, facts.zone))
    writes = [Write(MEMBERS_PREFIX + name, msgspec.json.encode(facts), lease=True)]
    compares = [Compare(MEMBERS_PREFIX + name, member.mod_revision if member else 0)]
    if roster is None or roster.value != roster_record:
        compares.append(Compare(ROSTER_PREFIX + name, roster.mod_revision if roster else 0))
        writes.append(Write(ROSTER_PREFIX + name, roster_record))
    return Transaction(tuple(compares), tuple(writes))


def remove_member(snapshot: Snapshot, name: str) -> Transaction | None:
    """The transaction that removes a member for good; None if the store has no key of it."""
    entries = [
        entry
        for key in (MEMBERS_PREFIX + name, ROSTER_PREFIX + name)
        if (entry := snapshot.find(key)) is not None
    ]
    if not entries:
        return None
    return Transaction(
        tuple(Compare(entry.key, entry.mod_revision) for entry in entries),
        tuple(Write(entry.key, None) for entry in entries),
    )


def is_superseded(snapshot: Snapshot, name: str, incarnation: int) -> bool:
    """Whether a later incarnation publishes under this name."""
    entry = snapshot.find(MEMBERS_PREFIX + name)
    facts = decode_facts(entry.value) if entry is not None else None
    return facts is not None and facts.incarnation > incarnation


def heartbeat_interval_ms(heartbeat_ms: float, members: int) -> float:
    """Milliseconds between the heartbeats of one member in a fleet of this size.

    Guards against a load on the store that grows with the square of the fleet: every softswitch receives each
    heartbeat."""
    return max(heartbeat_ms, INTERVAL_PER_MEMBER_MS * members)


def next_facts(
    facts: MemberFacts, limits: Mapping[str, float], outstanding: int, leaving: bool = False
) -> MemberFacts:
    """The facts to publish next, with the gates of the highest limits if there are too many to report."""
    reported = sorted(limits, key=lambda server: -limits[server])[:MAX_REPORTED_GATES]
    return MemberFacts(
        facts.format, facts.incarnation, facts.zone, facts.beat + 1, leaving,
        {server: round(limits[server], 2) for server in reported}, outstanding,
    )  # fmt: skip
