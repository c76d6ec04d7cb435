"""Follows the head at one softswitch, and says each call's way by the version that it names.

What may be obeyed is decided in `head.py`, what a call is told in `table.py`. A change of version is one
assignment: calls that arrived before it keep what they were told. While the store is away the version stays.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import replace

import gevent
from gevent.event import Event

from pearloom.coordination import Link, Snapshot
from pearloom.core.calls import SetUpRequest
from pearloom.core.counters import Counters
from pearloom.core.logs import log_event
from pearloom.core.outcomes import CallOutcome
from pearloom.core.routing import CallRoute
from pearloom.rules.head import HEAD, Head, HeadState, follows, read_there, rules_of
from pearloom.rules.records import EMPTY, RuleSet
from pearloom.rules.settings import RulesSettings
from pearloom.rules.snapshots import SnapshotStore
from pearloom.rules.table import LocalContext, RoutingTable

SHELVE_AGAIN_S = 0.05  # between two writes at least
Tallied = Callable[
    [str, int, int, CallOutcome, float], None
]  # version, mark, class, end, ms since the arrival


class RulesHost:
    """The rules at one softswitch; `listed` gives the cells of each zone of session servers."""

    def __init__(
        self,
        link: Link,
        counters: Counters,
        name: str,
        context: LocalContext,
        settings: RulesSettings,
        listed: Callable[[], Mapping[str, frozenset[int]]],
    ) -> None:
        """No rules are in force before `prepare`."""
        self._link, self._counters, self.name = link, counters, name
        self.context, self._listed, self._settings = context, listed, settings
        self._snapshots = SnapshotStore(settings.snapshot)
        self._kept: dict[str, RuleSet] = {EMPTY: RuleSet()}
        self._table = RoutingTable(EMPTY, RuleSet(), context)
        self.applied_head: Head | None = None  # the newest head that was ever obeyed here
        self.left = 0  # the rollout that this softswitch left by itself
        self._mod = -1  # the head's revision, as last read
        self.divergence = ""  # what the store says instead of it, if it says less
        self.on_obeyed: list[Callable[[], None]] = []
        self.tallied: Tallied = lambda version, mark, kind, end, took_ms: None
        self.marked: Callable[[], int] = lambda: 0
        self._to_shelve = Event()
        link.on_change.append(self._changed)

    # --- what the exchange asks -----------------------------------------------------------------------------
    def route_for(self, offer: SetUpRequest) -> CallRoute:
        """The way that the rules of this moment give this call."""
        table = self._table
        return CallRoute(
            table.version, table.route(offer.class_index, offer.tenant, offer.first_choice), self.marked()
        )

    def record_outcome(self, way: CallRoute, kind: int, end: CallOutcome, took_ms: float) -> None:
        """One end of a call that arrived under these rules."""
        self.tallied(way.version, way.mark, kind, end, took_ms)

    # --- following the head ---------------------------------------------------------------------------------
    @property
    def version(self) -> str:
        """The version that new calls here arrive under."""
        return self._table.version

    @property
    def head_state(self) -> HeadState | None:
        """The head and its history, as last read of the store."""
        snapshot = self._link.snapshot
        return None if snapshot is None else read_there(snapshot)

    def rules_of(self, version: str) -> RuleSet | None:
        """A version's rules, where they are kept here or in the store."""
        found, snapshot = self._kept.get(version), self._link.snapshot
        return found if found is not None or snapshot is None else rules_of(snapshot, version)

    def prepare(self, wait: Callable[[float], bool]) -> None:
        """Before the first call: obey the head if the store answers in time, else what the shelf holds.

        The shelf is read in any case: a head that this softswitch obeyed in a former life is not left for an
        older one."""
        stored = self._snapshots.read()
        if stored is not None:
            self._kept |= stored.versions
            self.applied_head = stored.head
        answered = wait(self._settings.wait_ms)
        if answered and self._link.snapshot is not None:
            self._changed(self._link.snapshot)
        elif self.applied_head is not None:
            self._go_by(self.applied_head)
        log_event(
            logging.INFO if answered else logging.WARNING, "rules_ready", version=self.version,
            head=self.applied_head.number if self.applied_head else 0, store=answered,
        )  # fmt: skip

    def _changed(self, snapshot: Snapshot) -> None:
        entry = snapshot.find(HEAD)
        if entry is None and self.applied_head is None:
            self.divergence = ""  # there is nothing to obey, as before any edit
            return
        mod = entry.mod_revision if entry is not None else 0
        if mod == self._mod and not self.divergence:
            return  # something else changed: heads are read as they come, not with each count told
        self._mod = mod
        there = read_there(snapshot)
        if not there.readable:
            self._diverge("unreadable")
        elif not follows(there.head, self.applied_head):
            # Guards against a store that lost its last writes: its older head is named, not obeyed.
            self._diverge(str(there.head.number))
        elif (
            self.applied_head is None
            or there.head != self.applied_head
            or self.divergence
            or self.version != self._wanted()
        ):
            self._obey(there.head, snapshot)

    def _diverge(self, told: str) -> None:
        if told != self.divergence:
            self.divergence = told
            self._counters.add("rules_diverged")
            log_event(
                logging.ERROR,
                "rules_diverged",
                seen=self.applied_head.number if self.applied_head else 0,
                told=told,
            )
        if self.applied_head is not None and self.version != self._wanted():
            self._go_by(self.applied_head)

    def _obey(self, head: Head, snapshot: Snapshot) -> None:
        wanted = {head.version, head.before, *([head.rollout.version] if head.rollout else [])}
        kept = {name: found for name in wanted if (found := self._kept.get(name) or rules_of(snapshot, name))}
        missing = head.runs(self.name) not in kept
        if missing:
            # Guards against a head whose rules are spoilt or gone: what is in force stays, and it is named.
            self._diverge(f"{head.number} without its rules")
            return
        if self.divergence:
            log_event(logging.INFO, "rules_converged", head=head.number)
        self.divergence, self.applied_head, self._kept = "", head, {EMPTY: RuleSet(), **kept}
        if head.rollout is None or head.rollout.id != self.left:
            self.left = 0
        self._go_by(head)
        self._to_shelve.set()

    def start(self) -> None:
        """Keep what is obeyed on disk from now on."""
        gevent.spawn(self._shelve)

    def _shelve(self) -> None:
        """One writer, so that of two heads the newer one is what stays; nobody waits for the disk."""
        while True:
            self._to_shelve.wait()
            self._to_shelve.clear()
            if self.applied_head is not None:
                self._snapshots.write(self.applied_head, dict(self._kept))
            gevent.sleep(SHELVE_AGAIN_S)

    def _wanted(self) -> str:
        assert self.applied_head is not None
        return self.applied_head.version if self.left else self.applied_head.runs(self.name)

    def _go_by(self, head: Head) -> None:
        version = self._wanted()
        rules = self._kept.get(version)
        if rules is None:
            return
        if version != self._table.version:
            self._counters.add("rules_changed")
            log_event(logging.INFO, "rules", version=version, before=self._table.version, head=head.number)
        self._table = RoutingTable(version, rules, replace(self.context, cells=self._listed()))
        for told in self.on_obeyed:
            told()

    def update_zone_cells(self) -> None:
        """The pool list changed: what zones stand for may have."""
        cells = self._listed()
        if cells != self.context.cells:
            self.context = replace(self.context, cells=cells)
            if self._table.version != EMPTY:
                self._table = RoutingTable(self._table.version, self._kept[self._table.version], self.context)

    def leave(self, rollout: int) -> None:
        """Go back by itself from a version that is being rolled out, until the head says something else."""
        if (
            self.applied_head is not None
            and self.applied_head.rollout is not None
            and self.applied_head.rollout.id == rollout
        ):
            self.left = rollout
            self._go_by(self.applied_head)
