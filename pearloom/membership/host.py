"""Keeps this softswitch's own place in the fleet, and its view of the others. I/O by the link alone.

Guards against a process that is told of under its name by a younger one and goes on telling: it stops.
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

AGAIN_S = 0.2  # after a beat that was not written


class MemberHost:
    """This softswitch as a member; `load`: what each of its gates allows out, how many set-ups are out."""

    def __init__(
        self,
        link: Link,
        counters: Counters,
        name: str,
        zone: str,
        incarnation: int,
        beat_ms: float,
        load: Callable[[], tuple[Mapping[str, float], int]],
        now_ms: Callable[[], float],
    ) -> None:
        """Not in the fleet before `start`."""
        self._link, self._counters, self.name = link, counters, name
        self._beat_ms, self._load, self._now_ms = beat_ms, load, now_ms
        self._facts = MemberFacts(FORMAT, incarnation, zone, 0)
        self.view = View()
        self._telling: gevent.Greenlet[..., None] | None = None
        link.on_change.append(self._look)

    @property
    def incarnation(self) -> int:
        """This life's number: a later one is higher."""
        return self._facts.incarnation

    @property
    def _period_ms(self) -> float:
        return heartbeat_interval_ms(self._beat_ms, len(self.view.members))

    def start(self) -> None:
        """Join, and tell of oneself from now on."""
        self._telling = gevent.spawn(self._tell)

    def _look(self, snapshot: Snapshot) -> None:
        before = self.view
        self.view = update_view(snapshot, before, self._now_ms(), self._period_ms)
        if self.view.revision == before.revision:
            return
        known = {member.name: member.condition for member in before.members}
        for member in self.view.members:
            if known.get(member.name) is not member.condition:
                self._counters.add(f"member_{member.condition.value}")
                log_event(
                    logging.INFO if member.is_live else logging.WARNING, "member", member=member.name,
                    condition=member.condition.value, incarnation=member.incarnation, zone=member.zone,
                )  # fmt: skip

    def refresh_view(self) -> None:
        """The view by the own clock: one that tells nothing has stalled, though the store says nothing."""
        if self._link.snapshot is not None:
            self._look(self._link.snapshot)

    def _tell(self) -> None:
        while True:
            try:
                gevent.sleep(self._period_ms / 1000.0 if self._beat() else AGAIN_S)
            except Exception:
                log_exception("member_beat_failed")
                gevent.sleep(AGAIN_S)

    def _beat(self) -> bool:
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
            # Guards against a picture of the own key that no change will ever mend: nobody else writes it.
            self._link.read_again()
        return outcome is Outcome.WON

    def finish(self) -> None:
        """This process ends: say so, so that nobody takes it for dead. It stays in the roster."""
        if self._telling is not None:
            self._telling.kill()
        snapshot = self._link.snapshot
        if snapshot is not None and self._link.may_act():
            self._facts = next_facts(self._facts, {}, 0, leaving=True)
            self._link.commit(publish_facts(snapshot, self.name, self._facts))

    def remove(self, name: str) -> Outcome:
        """An operator takes a softswitch that is away out of the roster: nobody misses it any more."""
        snapshot = self._link.snapshot
        attempt = remove_member(snapshot, name) if snapshot is not None else None
        return Outcome.LOST if attempt is None else self._link.commit(attempt)
