"""Who is in the fleet: each condition, incarnations, and values that nobody can read."""

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

BEAT_MS = 1_000.0


def snapshot(*entries: tuple[str, bytes]) -> Snapshot:
    return Snapshot(1, 9, tuple(Entry(key, value, 1, 5) for key, value in entries))


def facts(beat: int = 1, incarnation: int = 1, leaving: bool = False, form: int = 1) -> bytes:
    return msgspec.json.encode(MemberFacts(form, incarnation, "a", beat, leaving))


def roster(incarnation: int = 1) -> tuple[str, bytes]:
    return ROSTER_PREFIX + "n1", msgspec.json.encode(RosterEntry(1, incarnation, "a"))


def told(value: bytes) -> Snapshot:
    return snapshot((MEMBERS_PREFIX + "n1", value), roster())


def condition(view: View) -> Condition:
    member = view.find("n1")
    assert member is not None
    return member.condition


@pytest.mark.parametrize(
    ("there", "wanted"),
    [
        (told(facts()), Condition.LIVE),
        (told(facts(leaving=True)), Condition.LEAVING),
        (snapshot(roster()), Condition.AWAY),
        (told(facts(form=2)), Condition.UNREADABLE),
        (told(b"spoilt"), Condition.UNREADABLE),
        (told(b'{"format":1,"incarnation":1,"zone":"a","beat":1,"colour":"red"}'), Condition.UNREADABLE),
        (snapshot((MEMBERS_PREFIX + "n1", facts()), (ROSTER_PREFIX + "n1", b"?")), Condition.LIVE),
    ],
)
def test_each_condition(there: Snapshot, wanted: Condition) -> None:
    view = update_view(there, View(), 0.0, BEAT_MS)
    assert condition(view) is wanted
    assert view.missing == (("n1",) if wanted in (Condition.AWAY, Condition.UNREADABLE) else ())
    assert [one.name for one in view.live_members] == (["n1"] if wanted is Condition.LIVE else [])


def test_one_that_tells_nothing_has_stalled_until_it_tells_again() -> None:
    view = update_view(told(facts(1)), View(), 0.0, BEAT_MS)
    view = update_view(told(facts(1)), view, 3_000.0, BEAT_MS)
    assert condition(view) is Condition.LIVE
    view = update_view(told(facts(1)), view, 3_001.0, BEAT_MS)
    assert condition(view) is Condition.STALLED
    older = update_view(told(facts(0)), view, 3_002.0, BEAT_MS)
    assert condition(older) is Condition.STALLED, "a beat that was read late is no sign of life"
    assert condition(update_view(told(facts(2)), older, 3_003.0, BEAT_MS)) is Condition.LIVE
    assert condition(update_view(told(facts(0, incarnation=2)), older, 9_000.0, BEAT_MS)) is Condition.LIVE


def test_the_view_s_number_grows_with_changes_alone() -> None:
    view = update_view(told(facts(1)), View(), 0.0, BEAT_MS)
    again = update_view(told(facts(2)), view, 10.0, BEAT_MS)
    assert again.revision == view.revision == 1
    assert update_view(told(facts(3, incarnation=2)), again, 20.0, BEAT_MS).revision == 2


def test_joining_compares_with_what_was_read_and_leaving_takes_both_keys_out() -> None:
    mine = MemberFacts(1, 2, "a", 7)
    first = publish_facts(snapshot(), "n1", mine)
    assert [(one.key, one.mod_revision) for one in first.compares] == [
        (MEMBERS_PREFIX + "n1", 0),
        (ROSTER_PREFIX + "n1", 0),
    ]
    again = publish_facts(snapshot((MEMBERS_PREFIX + "n1", facts()), roster(2)), "n1", mine)
    assert [(one.key, one.mod_revision) for one in again.compares] == [
        (MEMBERS_PREFIX + "n1", 5)
    ], "the roster is as it was"
    assert again.writes[0].lease
    gone = remove_member(told(facts()), "n1")
    assert gone is not None and {write.value for write in gone.writes} == {None}
    assert remove_member(snapshot(), "n1") is None


def test_a_younger_process_of_the_same_name_is_seen() -> None:
    assert is_superseded(told(facts(incarnation=3)), "n1", 2)
    assert not is_superseded(told(facts(incarnation=2)), "n1", 2)
    assert not is_superseded(told(b"?"), "n1", 2)


@given(st.binary(max_size=200))
def test_no_value_breaks_the_view(value: bytes) -> None:
    update_view(snapshot((MEMBERS_PREFIX + "n1", value), (ROSTER_PREFIX + "n1", value)), View(), 0.0, BEAT_MS)


def test_the_store_bears_the_same_number_of_beats_whatever_the_fleet() -> None:
    assert heartbeat_interval_ms(2_000.0, 16) == 2_000.0
    for fleet in (200, 1_000):
        assert fleet / heartbeat_interval_ms(2_000.0, fleet) * 1_000.0 <= 100.0
