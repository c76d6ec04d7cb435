"""The link: what it does when the store stalls, loses replies, ends leases, or comes back older."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearloom.coordination import Compare, Entry, Link, Outcome, Snapshot, StoreSettings, Transaction, Write
from pearloom.coordination.etcd import EtcdStore
from pearloom.coordination.port import Changes, apply_changes, took_effect
from pearloom.coordination.timing import MAX_PAUSE_MS, Backoff, Freshness, LeaseState, LocalLease
from pearloom.core.counters import Counters
from pearloom.fakes.etcd import Gateway


class Pair:
    """One store and one link to it."""

    def __init__(self) -> None:
        self.gateway = Gateway()
        self.gateway.start()
        settings = StoreSettings((self.gateway.address,), timeout_ms=300.0, lease_s=2, fresh_ms=500.0)
        self.counters = Counters()
        self.store = EtcdStore(settings)
        self.link = Link(self.store, settings, self.counters, Random(1))

    def start(self) -> Pair:
        self.link.start()
        until(lambda: self.link.snapshot is not None and self.link.may_act())
        return self

    def write(self, key: str, value: bytes) -> Transaction:
        return Transaction((Compare(key, 0),), (Write(key, value),))


def until(holds: Callable[[], bool], most_s: float = 8.0) -> None:
    with gevent.Timeout(most_s, AssertionError("it did not come about in time")):
        while not holds():
            gevent.sleep(0.01)


@pytest.fixture()
def pair() -> Iterator[Pair]:
    here = Pair()
    yield here
    here.link.close()
    here.store.close()
    here.gateway.close()


def test_what_is_written_anywhere_is_soon_at_hand(pair: Pair) -> None:
    link = pair.start().link
    pair.gateway.store.put(b"/pearloom/a", b"1")
    pair.gateway._wake()
    until(lambda: link.snapshot is not None and link.snapshot.find("a") is not None)


def test_what_is_written_between_the_read_and_the_watch_is_at_hand_too(pair: Pair) -> None:
    """A watch's first line tells the store's revision of that moment, before any change it has to tell."""
    reads, link = pair.store.read, pair.link

    def read_late() -> Snapshot:
        found = reads()
        pair.gateway.store.put(b"/pearloom/limits", b"1")
        return found

    pair.store.read = read_late  # type: ignore[method-assign]
    link.start()
    until(lambda: link.snapshot is not None and link.snapshot.find("limits") is not None, 3.0)
    assert pair.counters.get("store_reads") == 1, "by the watch, not by another read"


def test_a_winner_whose_reply_was_lost_learns_that_it_won(pair: Pair) -> None:
    link = pair.start().link
    pair.gateway.faults.lose_replies = 1
    assert link.commit(pair.write("turn", b"n1:7")) is Outcome.WON
    assert pair.counters.get("store_read_back") == 1
    assert link.commit(pair.write("turn", b"n1:8")) is Outcome.LOST


def test_a_link_stops_acting_before_its_lease_can_have_ended(pair: Pair) -> None:
    link = pair.start().link
    pair.gateway.faults.paused = True
    until(lambda: not link.may_act())
    assert pair.gateway.store.time_to_live(link.lease.lease_id, pair.gateway._clock())[0] >= 0
    assert link.commit(Transaction((), (Write("turn", b"x", lease=True),))) is Outcome.LOST, "not even tried"
    gevent.sleep(0.5)  # the lease ends at the store
    pair.gateway.faults.paused = False
    until(link.may_act)
    assert pair.counters.get("store_lease_ended") == 1


def test_a_lease_whose_renewals_are_never_answered_is_left_to_end(pair: Pair) -> None:
    """As behind a link that is cut one way: each renewal reaches the store, and no answer comes back."""
    link = pair.start().link
    first = link.lease.lease_id
    pair.gateway.faults.reply_delay_ms = 1_000.0
    until(lambda: first not in pair.gateway.store._leases, 4.5)
    pair.gateway.faults.reply_delay_ms = 0.0
    until(lambda: link.may_act() and link.lease.lease_id != first)


def test_an_older_store_is_named_and_read_anew(pair: Pair) -> None:
    pair.gateway.store.save()
    link = pair.start().link
    assert link.commit(pair.write("late", b"1")) is Outcome.WON
    until(lambda: link.snapshot is not None and link.snapshot.find("late") is not None)
    pair.gateway.restart(without_last_writes=True)
    until(lambda: pair.counters.get("store_diverged") > 0)
    assert link.snapshot is not None and link.snapshot.find("late") is None


def test_a_lease_is_given_back_at_the_end(pair: Pair) -> None:
    number = pair.start().link.lease.lease_id
    pair.link.close()
    assert pair.gateway.store.time_to_live(number, pair.gateway._clock())[0] == -1


# --- the decisions alone ------------------------------------------------------------------------------------
def test_a_lease_counts_from_the_asking_and_is_unsure_before_its_end() -> None:
    lease = LocalLease(10_000.0)
    assert lease.state(0.0) is LeaseState.NONE
    lease.granted(7, requested_ms=1_000.0)
    assert lease.state(10_499.0) is LeaseState.HELD
    assert lease.state(10_500.0) is LeaseState.UNCERTAIN
    lease.granted(7, requested_ms=500.0)  # an older answer that came later shortens nothing
    assert lease.state(10_499.0) is LeaseState.HELD
    lease.ended()
    assert lease.state(0.0) is LeaseState.NONE


@given(st.integers(0, 2**32), st.integers(1, 60))
def test_pauses_are_spread_bounded_and_forgotten(seed: int, count: int) -> None:
    backoff = Backoff(Random(seed))
    pauses = [backoff.record_failure() for _ in range(count)]
    assert all(10.0 <= pause <= MAX_PAUSE_MS for pause in pauses)
    backoff.reset()
    assert backoff.record_failure() <= 100.0


def test_what_was_read_long_ago_is_not_fresh() -> None:
    fresh = Freshness(3_000.0)
    assert not fresh.is_fresh(0.0)
    fresh.record_read(1_000.0)
    fresh.record_read(500.0)
    assert fresh.is_fresh(4_000.0) and not fresh.is_fresh(4_001.0)


def _snapshot(revision: int, *entries: Entry, cluster: int = 1) -> Snapshot:
    return Snapshot(cluster, revision, entries)


@pytest.mark.parametrize(
    ("now", "told"),
    [
        (_snapshot(9, Entry("k", b"mine", 5, 8)), True),
        (_snapshot(9, Entry("k", b"old", 5, 5)), False),  # untouched: it never came
        (_snapshot(9, Entry("k", b"theirs", 5, 8)), None),  # mine may have been written over
        (_snapshot(9), None),
        (_snapshot(9, Entry("k", b"mine", 3, 5)), False),  # that value, but of before
    ],
)
def test_a_lost_reply_is_settled_from_what_is_there(now: Snapshot, told: bool | None) -> None:
    attempt = Transaction((Compare("k", 5),), (Write("k", b"mine"),))
    assert took_effect(attempt, attempt.compares, now) is told


def test_changes_that_do_not_follow_are_not_applied() -> None:
    there = _snapshot(10, Entry("a", b"1", 3, 3))
    assert apply_changes(there, Changes(1, 9)) is None
    assert apply_changes(there, Changes(2, 11)) is None
    found = apply_changes(there, Changes(1, 12, (Entry("b", b"2", 12, 12),), (("a", 11),)))
    assert found == _snapshot(12, Entry("b", b"2", 12, 12))
    assert apply_changes(there, Changes(1, 12, (Entry("a", b"0", 1, 1),))) == _snapshot(12, *there.entries)
