"""The members of the fleet: each condition, incarnations, and unreadable values."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearloom.coordination.port import Entry, Snapshot
from pearloom.membership import (
    MEMBERS_PREFIX,
    ROSTER_PREFIX,
    Condition,
    MemberFacts,
    View,
    publish_facts,
    remove_member,
    update_view,
)
from pearloom.membership.view import RosterEntry, heartbeat_interval_ms, is_superseded

INTERVAL_MS = 1_000.0


def snapshot(*entries: tuple[str, bytes]) -> Snapshot:
    return Snapshot(1, 9, tuple(Entry(key, value, 1, 5) for key, value in entries))


def facts(beat: int = 1, incarnation: int = 1, leaving: bool = False, format_number: int = 1) -> bytes:
    return msgspec.json.encode(MemberFacts(format_number, incarnation, "a", beat, leaving))


def roster(incarnation: int = 1) -> tuple[str, bytes]:
    return ROSTER_PREFIX + "n1", msgspec.json.encode(RosterEntry(1, incarnation, "a"))


def published(value: bytes) -> Snapshot:
    return snapshot((MEMBERS_PREFIX + "n1", value), roster())


def condition(view: View) -> Condition:
    member = view.find("n1")
    assert member is not None
    return member.condition


@pytest.mark.parametrize(
    ("store", "expected"),
    [
        (published(facts()), Condition.LIVE),
        (published(facts(leaving=True)), Condition.LEAVING),
        (snapshot(roster()), Condition.AWAY),
        (published(facts(format_number=2)), Condition.UNREADABLE),
        (published(b"spoilt"), Condition.UNREADABLE),
        (published(b'{"format":1,"incarnation":1,"zone":"a","beat":1,"colour":"red"}'), Condition.UNREADABLE),
        (snapshot((MEMBERS_PREFIX + "n1", facts()), (ROSTER_PREFIX + "n1", b"?")), Condition.LIVE),
    ],
)
def test_each_condition(store: Snapshot, expected: Condition) -> None:
    view = update_view(store, View(), 0.0, INTERVAL_MS)
    assert condition(view) is expected
    assert view.missing == (("n1",) if expected in (Condition.AWAY, Condition.UNREADABLE) else ())
    assert [member.name for member in view.live_members] == (["n1"] if expected is Condition.LIVE else [])


def test_a_member_without_heartbeats_is_stalled_until_the_next_heartbeat() -> None:
    view = update_view(published(facts(1)), View(), 0.0, INTERVAL_MS)
    view = update_view(published(facts(1)), view, 3_000.0, INTERVAL_MS)
    assert condition(view) is Condition.LIVE
    view = update_view(published(facts(1)), view, 3_001.0, INTERVAL_MS)
    assert condition(view) is Condition.STALLED
    late = update_view(published(facts(0)), view, 3_002.0, INTERVAL_MS)
    assert condition(late) is Condition.STALLED, "a heartbeat that was read late does not count"
    assert condition(update_view(published(facts(2)), late, 3_003.0, INTERVAL_MS)) is Condition.LIVE
    assert (
        condition(update_view(published(facts(0, incarnation=2)), late, 9_000.0, INTERVAL_MS))
        is Condition.LIVE
    )


def test_the_view_revision_grows_only_with_changes() -> None:
    view = update_view(published(facts(1)), View(), 0.0, INTERVAL_MS)
    again = update_view(published(facts(2)), view, 10.0, INTERVAL_MS)
    assert again.revision == view.revision == 1
    assert update_view(published(facts(3, incarnation=2)), again, 20.0, INTERVAL_MS).revision == 2


def test_publishing_compares_revisions_and_removal_deletes_both_keys() -> None:
    own_facts = MemberFacts(1, 2, "a", 7)
    first = publish_facts(snapshot(), "n1", own_facts)
    assert [(compare.key, compare.mod_revision) for compare in first.compares] == [
        (MEMBERS_PREFIX + "n1", 0),
        (ROSTER_PREFIX + "n1", 0),
    ]
    again = publish_facts(snapshot((MEMBERS_PREFIX + "n1", facts()), roster(2)), "n1", own_facts)
    assert [(compare.key, compare.mod_revision) for compare in again.compares] == [
        (MEMBERS_PREFIX + "n1", 5)
    ], "the roster entry is unchanged"
    assert again.writes[0].lease
    removal = remove_member(published(facts()), "n1")
    assert removal is not None and {write.value for write in removal.writes} == {None}
    assert remove_member(snapshot(), "n1") is None


def test_a_later_incarnation_of_the_same_name_is_noticed() -> None:
    assert is_superseded(published(facts(incarnation=3)), "n1", 2)
    assert not is_superseded(published(facts(incarnation=2)), "n1", 2)
    assert not is_superseded(published(b"?"), "n1", 2)


@given(st.binary(max_size=200))
def test_any_stored_value_yields_a_view(value: bytes) -> None:
    update_view(
        snapshot((MEMBERS_PREFIX + "n1", value), (ROSTER_PREFIX + "n1", value)), View(), 0.0, INTERVAL_MS
    )


def test_the_heartbeat_rate_is_bounded_at_any_fleet_size() -> None:
    assert heartbeat_interval_ms(2_000.0, 16) == 2_000.0
    for fleet_size in (200, 1_000):
        assert fleet_size / heartbeat_interval_ms(2_000.0, fleet_size) * 1_000.0 <= 100.0
