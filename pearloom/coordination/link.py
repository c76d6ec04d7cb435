"""One softswitch's link to the store: follows the stored keys, renews the lease, and commits transactions.

Two greenlets of the link call the store; other code reads `snapshot`, the state received last. The decisions
about times and transactions are in `timing.py` and `port.py`; this module only waits and does I/O.
"""

from __future__ import annotations

import contextlib
import logging
import time
from collections.abc import Callable
from random import Random

import gevent
from gevent.event import Event

from pearloom.coordination.port import (
    Changes,
    Outcome,
    Snapshot,
    Store,
    StoreError,
    Transaction,
    apply_changes,
    took_effect,
)
from pearloom.coordination.settings import StoreSettings
from pearloom.coordination.timing import Backoff, Freshness, LeaseState, LocalLease
from pearloom.core.counters import Counters
from pearloom.core.logs import log_event, log_exception

LEASE_POLL_S = 0.05  # between checks whether the lease is due for renewal
READ_BACK_TRIES = 3  # reads after a lost reply before the outcome counts as unknown


def steady_ms() -> float:
    """Milliseconds of a clock that no change of the wall clock affects, and that counts suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class Link:
    """Follows the store from `start` on; each change calls `on_change` in a greenlet of the link."""

    def __init__(
        self,
        store: Store,
        settings: StoreSettings,
        counters: Counters,
        random: Random,
        steady_ms: Callable[[], float] = steady_ms,
    ) -> None:
        """Create the link; the store is first called after `start`."""
        self._store = store
        self._counters = counters
        self._now_ms = steady_ms
        self._read_backoff, self._lease_backoff = Backoff(random), Backoff(random)
        self._lease_s = settings.lease_s
        self.lease = LocalLease(settings.lease_s * 1000.0)
        self.freshness = Freshness(settings.fresh_ms)
        self.snapshot: Snapshot | None = None
        # Cluster and revision of the newest snapshot that this process has read.
        self.newest_revision: tuple[int, int] = (0, 0)
        self.on_change: list[Callable[[Snapshot], None]] = []
        # Called after a new lease was granted; the keys bound to the lease before it are gone.
        self.on_lease_granted: list[Callable[[], None]] = []
        self._changed = Event()
        self._is_reachable = True
        self._greenlets: list[gevent.Greenlet[..., None]] = []

    def start(self) -> None:
        """Start following the store and holding a lease."""
        self._greenlets = [gevent.spawn(self._follow_store), gevent.spawn(self._hold_lease)]

    def close(self, release_s: float = 0.5) -> None:
        """Stop calling the store; the lease is revoked if the store answers within `release_s` seconds."""
        gevent.killall(self._greenlets, timeout=0.1)
        if self.lease.lease_id:
            lease_id = self.lease.lease_id
            self.lease.ended()
            gevent.spawn(self._ignore_store_error, lambda: self._store.revoke(lease_id)).join(release_s)

    @property
    def is_fresh(self) -> bool:
        """Whether the snapshot is recent enough to start something new from it."""
        return self.snapshot is not None and self.freshness.is_fresh(self._now_ms())

    def may_act(self) -> bool:
        """Whether the lease is certainly alive now. Callers check this directly before each action."""
        return self.lease.state(self._now_ms()) is LeaseState.HELD

    def await_change(self, timeout_s: float) -> None:
        """Wait for the next change, `timeout_s` seconds at most."""
        self._changed.wait(timeout_s)

    def _follow_store(self) -> None:
        while True:
            try:
                self._read()
                self._read_backoff.reset()
                self._log_reachability(True)
                self._watch()
            except StoreError as error:
                self._log_reachability(False, str(error))
                gevent.sleep(self._read_backoff.record_failure() / 1000.0)
            except Exception:
                log_exception("store_follow_failed")
                gevent.sleep(self._read_backoff.record_failure() / 1000.0)

    def _read(self) -> None:
        requested_ms, known = self._now_ms(), self.newest_revision
        self._counters.add("store_reads")
        self._apply_snapshot(self._store.read(), requested_ms, known)

    def _watch(self) -> None:
        assert self.snapshot is not None
        self._store.watch(self.snapshot.revision, self._apply_watch)

    def _apply_watch(self, changes: Changes) -> bool:
        """Apply the changes of a watch; returns False if all keys have to be read again."""
        assert self.snapshot is not None
        now = self._now_ms()
        if changes.cluster == self.snapshot.cluster and changes.revision <= self.snapshot.revision:
            self.freshness.record_read(now)
            return True  # another greenlet has already read this state
        updated = apply_changes(self.snapshot, changes)
        if updated is None:
            log_event(logging.WARNING, "store_diverged", at=self.snapshot.revision, told=changes.revision)
            return False
        self._apply_snapshot(updated, now, self.newest_revision)
        return True

    def _apply_snapshot(self, received: Snapshot, requested_ms: float, known: tuple[int, int]) -> None:
        """Make a received state the current one.

        `known` is the newest cluster and revision that this process knew when it requested the state."""
        cluster, revision = known
        if (
            received.cluster == self.newest_revision[0]
            and revision <= received.revision < self.newest_revision[1]
        ):
            return  # a newer read of another greenlet has already been applied
        if (received.cluster, received.revision) < (cluster, revision) or (
            cluster and received.cluster != cluster
        ):
            # Guards against silently using a store that came back without its last writes.
            self._counters.add("store_diverged")
            log_event(
                logging.ERROR, "store_diverged", cluster=cluster, seen=revision,
                told_cluster=received.cluster, told=received.revision,
            )  # fmt: skip
        self.newest_revision = (
            max(self.newest_revision, (received.cluster, received.revision))
            if received.cluster == cluster
            else (received.cluster, received.revision)
        )
        before, self.snapshot = self.snapshot, received
        self.freshness.record_read(requested_ms)
        if before is None or before.entries != received.entries:
            for callback in self.on_change:
                try:
                    callback(received)
                except Exception:
                    log_exception("store_change_failed")
            self._changed.set()
            self._changed.clear()

    def _log_reachability(self, is_reachable: bool, reason: str = "") -> None:
        if is_reachable == self._is_reachable and self.snapshot is not None:
            return
        if not is_reachable:
            self._counters.add("store_lost")
            log_event(logging.WARNING, "store_lost", reason=reason)
        elif not self._is_reachable:
            log_event(logging.INFO, "store_back", revision=self.snapshot.revision if self.snapshot else 0)
        self._is_reachable = is_reachable

    def _hold_lease(self) -> None:
        while True:
            now = self._now_ms()
            if self.lease.lease_id and now < self.lease.renew_at_ms:
                gevent.sleep(LEASE_POLL_S)
                continue
            try:
                # Guards against a lease that is kept alive by renewals whose responses never arrive: this
                # process may not act on it, yet the other members would see it as live. It is left to end.
                is_held = self.lease.state(now) is LeaseState.HELD
                if is_held and self._store.keep_alive(self.lease.lease_id):
                    self.lease.granted(self.lease.lease_id, now)
                else:
                    if self.lease.lease_id:
                        self._counters.add("store_lease_ended")
                        log_event(logging.WARNING, "store_lease_ended")
                    self.lease.ended()
                    self.lease.granted(self._store.grant(self._lease_s), now)
                    for callback in self.on_lease_granted:
                        callback()
                self._lease_backoff.reset()
            except StoreError:
                gevent.sleep(self._lease_backoff.record_failure() / 1000.0)
            except Exception:
                log_exception("store_lease_failed")
                gevent.sleep(self._lease_backoff.record_failure() / 1000.0)

    def read_again(self) -> None:
        """Read all keys now, ahead of the watch; does nothing if the store does not answer."""
        self._ignore_store_error(self._read)

    def commit(self, transaction: Transaction) -> Outcome:
        """Try one transaction. After a lost reply, the store is read to find out whether it took effect."""
        if not self.may_act() and any(write.lease for write in transaction.writes):
            return Outcome.LOST
        self._counters.add("store_attempts")
        try:
            won = self._store.commit(transaction, self.lease.lease_id)
        except StoreError as error:
            log_event(logging.WARNING, "store_reply_lost", reason=str(error))
            return self._read_back(transaction)
        return Outcome.WON if won else Outcome.LOST

    def _read_back(self, transaction: Transaction) -> Outcome:
        backoff = Backoff(Random(0))
        for _ in range(READ_BACK_TRIES):
            try:
                requested_ms, known = self._now_ms(), self.newest_revision
                snapshot = self._store.read()
            except StoreError:
                gevent.sleep(backoff.record_failure() / 1000.0)
                continue
            self._apply_snapshot(snapshot, requested_ms, known)
            has_taken_effect = took_effect(transaction, transaction.compares, snapshot)
            self._counters.add("store_read_back")
            return (
                Outcome.UNKNOWN
                if has_taken_effect is None
                else Outcome.WON
                if has_taken_effect
                else Outcome.LOST
            )
        return Outcome.UNKNOWN

    def _ignore_store_error(self, operation: Callable[[], None]) -> None:
        with contextlib.suppress(StoreError):
            operation()
