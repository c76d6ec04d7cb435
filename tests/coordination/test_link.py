"""The link to the store: stalls, lost replies, ended leases, and a store that comes back older."""

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


class StoreAndLink:
    """A fake store and a link to it."""

    def __init__(self) -> None:
        self.gateway = Gateway()
        self.gateway.start()
        settings = StoreSettings((self.gateway.address,), timeout_ms=300.0, lease_s=2, fresh_ms=500.0)
        self.counters = Counters()
        self.store = EtcdStore(settings)
        self.link = Link(self.store, settings, self.counters, Random(1))

    def start(self) -> StoreAndLink:
        self.link.start()
        wait_until(lambda: self.link.snapshot is not None and self.link.may_act())
        return self

    def put(self, key: str, value: bytes) -> Transaction:
        return Transaction((Compare(key, 0),), (Write(key, value),))


def wait_until(condition: Callable[[], bool], timeout_s: float = 8.0) -> None:
    with gevent.Timeout(timeout_s, AssertionError("the condition did not become true in time")):
        while not condition():
            gevent.sleep(0.01)


@pytest.fixture()
def pair() -> Iterator[StoreAndLink]:
    started = StoreAndLink()
    yield started
    started.link.close()
    started.store.close()
    started.gateway.close()


def test_a_write_by_another_client_reaches_the_snapshot(pair: StoreAndLink) -> None:
    link = pair.start().link
    pair.gateway.store.put(b"/pearloom/a", b"1")
    pair.gateway._wake()
    wait_until(lambda: link.snapshot is not None and link.snapshot.find("a") is not None)


def test_a_write_between_the_read_and_the_watch_reaches_the_snapshot(pair: StoreAndLink) -> None:
    """The first line of a watch carries the store's current revision, ahead of the changes that follow."""
    real_read, link = pair.store.read, pair.link

    def read_before_a_write() -> Snapshot:
        snapshot = real_read()
        pair.gateway.store.put(b"/pearloom/limits", b"1")
        return snapshot

    pair.store.read = read_before_a_write  # type: ignore[method-assign]
    link.start()
    wait_until(lambda: link.snapshot is not None and link.snapshot.find("limits") is not None, 3.0)
    assert pair.counters.get("store_reads") == 1, "the watch brought the change, not another read"


def test_a_committed_transaction_whose_reply_was_lost_counts_as_won(pair: StoreAndLink) -> None:
    link = pair.start().link
    pair.gateway.faults.lose_replies = 1
    assert link.commit(pair.put("turn", b"n1:7")) is Outcome.WON
    assert pair.counters.get("store_read_back") == 1
    assert link.commit(pair.put("turn", b"n1:8")) is Outcome.LOST


def test_the_link_stops_acting_before_its_lease_can_have_ended(pair: StoreAndLink) -> None:
    link = pair.start().link
    pair.gateway.faults.paused = True
    wait_until(lambda: not link.may_act())
    assert pair.gateway.store.time_to_live(link.lease.lease_id, pair.gateway._clock())[0] >= 0
    assert (
        link.commit(Transaction((), (Write("turn", b"x", lease=True),))) is Outcome.LOST
    ), "the transaction is not even tried"
    gevent.sleep(0.5)  # by now the lease has ended at the store
    pair.gateway.faults.paused = False
    wait_until(link.may_act)
    assert pair.counters.get("store_lease_ended") == 1


def test_a_lease_whose_renewals_get_no_response_is_left_to_end(pair: StoreAndLink) -> None:
    """As with a network that fails in one direction: renewals reach the store, but no response comes back."""
    link = pair.start().link
    first = link.lease.lease_id
    pair.gateway.faults.reply_delay_ms = 1_000.0
    wait_until(lambda: first not in pair.gateway.store._leases, 4.5)
    pair.gateway.faults.reply_delay_ms = 0.0
    wait_until(lambda: link.may_act() and link.lease.lease_id != first)


def test_an_older_store_is_counted_and_read_again(pair: StoreAndLink) -> None:
    pair.gateway.store.save()
    link = pair.start().link
    assert link.commit(pair.put("late", b"1")) is Outcome.WON
    wait_until(lambda: link.snapshot is not None and link.snapshot.find("late") is not None)
    pair.gateway.restart(without_last_writes=True)
    wait_until(lambda: pair.counters.get("store_diverged") > 0)
    assert link.snapshot is not None and link.snapshot.find("late") is None


def test_closing_the_link_revokes_its_lease(pair: StoreAndLink) -> None:
    lease_id = pair.start().link.lease.lease_id
    pair.link.close()
    assert pair.gateway.store.time_to_live(lease_id, pair.gateway._clock())[0] == -1


def test_a_lease_counts_from_the_request_and_is_uncertain_before_its_end() -> None:
    lease = LocalLease(10_000.0)
    assert lease.state(0.0) is LeaseState.NONE
    lease.granted(7, requested_ms=1_000.0)
    assert lease.state(10_499.0) is LeaseState.HELD
    assert lease.state(10_500.0) is LeaseState.UNCERTAIN
    lease.granted(
        7, requested_ms=500.0
    )  # a delayed response to an earlier request does not shorten the lease
    assert lease.state(10_499.0) is LeaseState.HELD
    lease.ended()
    assert lease.state(0.0) is LeaseState.NONE


@given(st.integers(0, 2**32), st.integers(1, 60))
def test_pauses_are_bounded_and_reset_by_success(seed: int, count: int) -> None:
    backoff = Backoff(Random(seed))
    pauses = [backoff.record_failure() for _ in range(count)]
    assert all(10.0 <= pause <= MAX_PAUSE_MS for pause in pauses)
    backoff.reset()
    assert backoff.record_failure() <= 100.0


def test_an_old_read_is_not_fresh() -> None:
    freshness = Freshness(3_000.0)
    assert not freshness.is_fresh(0.0)
    freshness.record_read(1_000.0)
    freshness.record_read(500.0)
    assert freshness.is_fresh(4_000.0) and not freshness.is_fresh(4_001.0)


def _snapshot(revision: int, *entries: Entry, cluster: int = 1) -> Snapshot:
    return Snapshot(cluster, revision, entries)


@pytest.mark.parametrize(
    ("now", "expected"),
    [
        (_snapshot(9, Entry("k", b"mine", 5, 8)), True),
        (_snapshot(9, Entry("k", b"old", 5, 5)), False),  # unchanged: the write never arrived
        (_snapshot(9, Entry("k", b"theirs", 5, 8)), None),  # the write may have been overwritten
        (_snapshot(9), None),
        (_snapshot(9, Entry("k", b"mine", 3, 5)), False),  # the same value, but of an earlier write
    ],
)
def test_the_effect_after_a_lost_reply_follows_from_the_state(now: Snapshot, expected: bool | None) -> None:
    transaction = Transaction((Compare("k", 5),), (Write("k", b"mine"),))
    assert took_effect(transaction, transaction.compares, now) is expected


def test_changes_that_do_not_follow_are_not_applied() -> None:
    snapshot = _snapshot(10, Entry("a", b"1", 3, 3))
    assert apply_changes(snapshot, Changes(1, 9)) is None
    assert apply_changes(snapshot, Changes(2, 11)) is None
    updated = apply_changes(snapshot, Changes(1, 12, (Entry("b", b"2", 12, 12),), (("a", 11),)))
    assert updated == _snapshot(12, Entry("b", b"2", 12, 12))
    assert apply_changes(snapshot, Changes(1, 12, (Entry("a", b"0", 1, 1),))) == _snapshot(
        12, *snapshot.entries
    )
