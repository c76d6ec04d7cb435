"""Publishes this softswitch's heartbeat and keeps its view of the members. All I/O goes through the link.

Guards against two processes of one name that both publish: a process that sees a later incarnation of its
name stops its heartbeats.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

import gevent

from pearloom.coordination import Link, Outcome, Snapshot
from pearloom.core.counters import Counters
from pearloom.core.logs import log_event, log_exception
from pearloom.membership.view import (
    FORMAT,
    MemberFacts,
    View,
    heartbeat_interval_ms,
    is_superseded,
    next_facts,
    publish_facts,
    remove_member,
    update_view,
)

RETRY_S = 0.2  # after a heartbeat that was not written


class MemberHost:
    """This softswitch as a member of the fleet.

    `load` returns the limit of the gate to each server, and the number of set-ups that are outstanding."""

    def __init__(
        self,
        link: Link,
        counters: Counters,
        name: str,
        zone: str,
        incarnation: int,
        heartbeat_ms: float,
        load: Callable[[], tuple[Mapping[str, float], int]],
        now_ms: Callable[[], float],
    ) -> None:
        """Create the host; it joins the fleet in `start`."""
        self._link, self._counters, self.name = link, counters, name
        self._heartbeat_ms, self._load, self._now_ms = heartbeat_ms, load, now_ms
        self._facts = MemberFacts(FORMAT, incarnation, zone, 0)
        self.view = View()
        self._heartbeats: gevent.Greenlet[..., None] | None = None
        link.on_change.append(self._update_view)

    @property
    def incarnation(self) -> int:
        """The number of this process start; each later start has a higher one."""
        return self._facts.incarnation

    @property
    def _interval_ms(self) -> float:
        return heartbeat_interval_ms(self._heartbeat_ms, len(self.view.members))

    def start(self) -> None:
        """Join the fleet and start the heartbeats."""
        self._heartbeats = gevent.spawn(self._run_heartbeats)

    def _update_view(self, snapshot: Snapshot) -> None:
        before = self.view
        self.view = update_view(snapshot, before, self._now_ms(), self._interval_ms)
        if self.view.revision == before.revision:
            return
        conditions = {member.name: member.condition for member in before.members}
        for member in self.view.members:
            if conditions.get(member.name) is not member.condition:
                self._counters.add(f"member_{member.condition.value}")
                log_event(
                    logging.INFO if member.is_live else logging.WARNING, "member", member=member.name,
                    condition=member.condition.value, incarnation=member.incarnation, zone=member.zone,
                )  # fmt: skip

    def refresh_view(self) -> None:
        """Update the view by the local clock: a member can stall without any change in the store."""
        if self._link.snapshot is not None:
            self._update_view(self._link.snapshot)

    def _run_heartbeats(self) -> None:
        while True:
            try:
                gevent.sleep(self._interval_ms / 1000.0 if self._send_heartbeat() else RETRY_S)
            except Exception:
                log_exception("member_beat_failed")
                gevent.sleep(RETRY_S)

    def _send_heartbeat(self) -> bool:
        snapshot = self._link.snapshot
        if snapshot is None or not self._link.may_act():
            return False
        if is_superseded(snapshot, self.name, self.incarnation):
            self._counters.add("member_doubled")
            log_event(logging.ERROR, "member_doubled", member=self.name, incarnation=self.incarnation)
            return True
        self._facts = next_facts(self._facts, *self._load())
        outcome = self._link.commit(publish_facts(snapshot, self.name, self._facts))
        if outcome is Outcome.LOST:
            # Guards against a lasting wrong revision of this member's key: no other member writes it, so no
            # change from the watch would correct the snapshot.
            self._link.read_again()
        return outcome is Outcome.WON

    def finish(self) -> None:
        """Publish that this process is leaving, so that it does not count as failed; the roster keeps it."""
        if self._heartbeats is not None:
            self._heartbeats.kill()
        snapshot = self._link.snapshot
        if snapshot is not None and self._link.may_act():
            self._facts = next_facts(self._facts, {}, 0, leaving=True)
            self._link.commit(publish_facts(snapshot, self.name, self._facts))

    def remove(self, name: str) -> Outcome:
        """Remove a member that is away, on an operator's request, so that it no longer counts as missing."""
        snapshot = self._link.snapshot
        transaction = remove_member(snapshot, name) if snapshot is not None else None
        return Outcome.LOST if transaction is None else self._link.commit(transaction)
