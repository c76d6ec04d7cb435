"""One softswitch's link to the store: keeps what is there at hand, its own lease alive, and tries steps.

Greenlets of its own ask the store; whoever needs something reads `snapshot`, which is as it was last heard.
What to do when is decided in `timing.py` and `port.py`; this file only waits and calls.
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
from pearloom.core.logs import crashed, note

KEEP_LOOK_S = 0.05
READ_BACK_TRIES = 3  # after a lost reply, before the outcome counts as unknown


def steady_ms() -> float:
    """Time that no setting of the wall clock moves; it goes on while the process is stopped."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class Link:
    """Starts with nothing known; `on_change` is called in a greenlet of the link after each change."""

    def __init__(
        self,
        store: Store,
        settings: StoreSettings,
        counters: Counters,
        random: Random,
        steady_ms: Callable[[], float] = steady_ms,
    ) -> None:
        """Nothing is asked before `start`."""
        self._store = store
        self._counters = counters
        self._now_ms = steady_ms
        self._read_pause, self._lease_pause = Backoff(random), Backoff(random)
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
        self._up = True
        self._greenlets: list[gevent.Greenlet[..., None]] = []

    def start(self) -> None:
        """Begin to read and to keep a lease."""
        self._greenlets = [gevent.spawn(self._follow), gevent.spawn(self._keep)]

    def close(self, release_s: float = 0.5) -> None:
        """Ask no more; the lease is given back if the store answers in that time."""
        gevent.killall(self._greenlets, timeout=0.1)
        if self.lease.lease_id:
            number = self.lease.lease_id
            self.lease.ended()
            gevent.spawn(self._quietly, lambda: self._store.revoke(number)).join(release_s)

    @property
    def is_fresh(self) -> bool:
        """May something new be started on what is at hand?"""
        return self.snapshot is not None and self.freshness.is_fresh(self._now_ms())

    def may_act(self) -> bool:
        """Is the own lease certainly alive at this moment? Asked directly before each deed."""
        return self.lease.state(self._now_ms()) is LeaseState.HELD

    def await_change(self, timeout_s: float) -> None:
        """Until something changed, or that long."""
        self._changed.wait(timeout_s)

    # --- reading --------------------------------------------------------------------------------------------
    def _follow(self) -> None:
        while True:
            try:
                self._read()
                self._read_pause.reset()
                self._told_up(True)
                self._watch()
            except StoreError as trouble:
                self._told_up(False, str(trouble))
                gevent.sleep(self._read_pause.record_failure() / 1000.0)
            except Exception:
                crashed("store_follow_failed")
                gevent.sleep(self._read_pause.record_failure() / 1000.0)

    def _read(self) -> None:
        asked, seen = self._now_ms(), self.newest_revision
        self._counters.add("store_reads")
        self._take(self._store.read(), asked, seen)

    def _watch(self) -> None:
        assert self.snapshot is not None
        self._store.watch(self.snapshot.revision, self._heard)

    def _heard(self, changes: Changes) -> bool:
        """Take a watch's changes over; False: they don't follow, so all is read anew."""
        assert self.snapshot is not None
        now = self._now_ms()
        if changes.cluster == self.snapshot.cluster and changes.revision <= self.snapshot.revision:
            self.freshness.record_read(now)
            return True  # a read of another greenlet had it already
        found = apply_changes(self.snapshot, changes)
        if found is None:
            note(logging.WARNING, "store_diverged", at=self.snapshot.revision, told=changes.revision)
            return False
        self._take(found, now, self.newest_revision)
        return True

    def _take(self, found: Snapshot, asked_ms: float, seen: tuple[int, int]) -> None:
        """Take a read over; `seen`: the newest that was known when it was asked for."""
        cluster, revision = seen
        if found.cluster == self.newest_revision[0] and revision <= found.revision < self.newest_revision[1]:
            return  # another greenlet's read has overtaken this one
        if (found.cluster, found.revision) < (cluster, revision) or (cluster and found.cluster != cluster):
            # Guards against a store that came back without its last writes and is obeyed silently.
            self._counters.add("store_diverged")
            note(
                logging.ERROR, "store_diverged", cluster=cluster, seen=revision, told_cluster=found.cluster,
                told=found.revision,
            )  # fmt: skip
        self.newest_revision = (
            max(self.newest_revision, (found.cluster, found.revision))
            if found.cluster == cluster
            else (found.cluster, found.revision)
        )
        before, self.snapshot = self.snapshot, found
        self.freshness.record_read(asked_ms)
        if before is None or before.entries != found.entries:
            for told in self.on_change:
                try:
                    told(found)
                except Exception:
                    crashed("store_change_failed")
            self._changed.set()
            self._changed.clear()

    def _told_up(self, up: bool, reason: str = "") -> None:
        if up == self._up and self.snapshot is not None:
            return
        if not up:
            self._counters.add("store_lost")
            note(logging.WARNING, "store_lost", reason=reason)
        elif not self._up:
            note(logging.INFO, "store_back", revision=self.snapshot.revision if self.snapshot else 0)
        self._up = up

    # --- the own lease --------------------------------------------------------------------------------------
    def _keep(self) -> None:
        while True:
            now = self._now_ms()
            if self.lease.lease_id and now < self.lease.renew_at_ms:
                gevent.sleep(KEEP_LOOK_S)
                continue
            try:
                # Guards against a lease that is kept alive by renewals whose answers never come: this process
                # may not act on it, and the others would take it for live. It is left to end.
                held = self.lease.state(now) is LeaseState.HELD
                if held and self._store.keep_alive(self.lease.lease_id):
                    self.lease.granted(self.lease.lease_id, now)
                else:
                    if self.lease.lease_id:
                        self._counters.add("store_lease_ended")
                        note(logging.WARNING, "store_lease_ended")
                    self.lease.ended()
                    self.lease.granted(self._store.grant(self._lease_s), now)
                    for told in self.on_lease_granted:
                        told()
                self._lease_pause.reset()
            except StoreError:
                gevent.sleep(self._lease_pause.record_failure() / 1000.0)
            except Exception:
                crashed("store_lease_failed")
                gevent.sleep(self._lease_pause.record_failure() / 1000.0)

    def read_again(self) -> None:
        """Read all now, where the watch may not have told yet; nothing where the store does not answer."""
        self._quietly(self._read)

    # --- steps ----------------------------------------------------------------------------------------------
    def commit(self, attempt: Transaction) -> Outcome:
        """Try one step. A lost reply is settled by reading back who won."""
        if not self.may_act() and any(write.lease for write in attempt.writes):
            return Outcome.LOST
        self._counters.add("store_attempts")
        try:
            won = self._store.commit(attempt, self.lease.lease_id)
        except StoreError as trouble:
            note(logging.WARNING, "store_reply_lost", reason=str(trouble))
            return self._read_back(attempt)
        return Outcome.WON if won else Outcome.LOST

    def _read_back(self, attempt: Transaction) -> Outcome:
        pause = Backoff(Random(0))
        for _ in range(READ_BACK_TRIES):
            try:
                asked, seen = self._now_ms(), self.newest_revision
                found = self._store.read()
            except StoreError:
                gevent.sleep(pause.record_failure() / 1000.0)
                continue
            self._take(found, asked, seen)
            took = took_effect(attempt, attempt.compares, found)
            self._counters.add("store_read_back")
            return Outcome.UNKNOWN if took is None else Outcome.WON if took else Outcome.LOST
        return Outcome.UNKNOWN

    def _quietly(self, write: Callable[[], None]) -> None:
        with contextlib.suppress(StoreError):
            write()
