"""Follows the rules head at one softswitch and routes each call by the version that the head names.

`head.py` decides which head may be applied, `table.py` the route of a call. A change of version is a single
assignment: calls that arrived before it keep their route. While the store is unreachable the version stays.
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
from pearloom.rules.head import HEAD_KEY, Head, HeadState, may_apply, read_head_state, rules_of
from pearloom.rules.records import EMPTY_VERSION, RuleSet
from pearloom.rules.settings import RulesSettings
from pearloom.rules.snapshots import SnapshotFile
from pearloom.rules.table import LocalContext, RoutingTable

SNAPSHOT_INTERVAL_S = 0.05  # minimum time between two writes of the snapshot
# Called with the version, arrival mark, class index, outcome, and ms since the arrival.
OnOutcome = Callable[[str, int, int, CallOutcome, float], None]


class RulesHost:
    """Applies the rules at one softswitch; `zone_cells` returns the cells of each zone of session servers."""

    def __init__(
        self,
        link: Link,
        counters: Counters,
        name: str,
        context: LocalContext,
        settings: RulesSettings,
        zone_cells: Callable[[], Mapping[str, frozenset[int]]],
    ) -> None:
        """Start without rules; `prepare` puts the first version in force."""
        self._link, self._counters, self.name = link, counters, name
        self.context, self._zone_cells, self._settings = context, zone_cells, settings
        self._snapshot_file = SnapshotFile(settings.snapshot)
        self._rule_sets: dict[str, RuleSet] = {EMPTY_VERSION: RuleSet()}
        self._table = RoutingTable(EMPTY_VERSION, RuleSet(), context)
        self.applied_head: Head | None = None  # newest head ever applied here
        self.left_rollout = 0  # id of the rollout that this softswitch left by itself; 0: none
        self._head_revision = -1  # store revision of the head last read
        self.divergence = ""  # the store's head if it can't be applied: its number or the problem
        self.on_applied: list[Callable[[], None]] = []
        self.on_outcome: OnOutcome = lambda version, mark, class_index, outcome, duration_ms: None
        self.arrival_mark: Callable[[], int] = lambda: 0
        self._snapshot_due = Event()
        link.on_change.append(self._handle_change)

    def route_for(self, request: SetUpRequest) -> CallRoute:
        """Route a call by the version in force."""
        table = self._table
        return CallRoute(
            table.version,
            table.route(request.class_index, request.tenant, request.first_choice),
            self.arrival_mark(),
        )

    def record_outcome(
        self, call_route: CallRoute, class_index: int, outcome: CallOutcome, took_ms: float
    ) -> None:
        """Record an outcome of a call with this route; `took_ms` counts from the call's arrival."""
        self.on_outcome(call_route.version, call_route.mark, class_index, outcome, took_ms)

    @property
    def version(self) -> str:
        """The version by which new calls are routed here."""
        return self._table.version

    @property
    def head_state(self) -> HeadState | None:
        """The head and its history as last read from the store; None before the first read."""
        snapshot = self._link.snapshot
        return None if snapshot is None else read_head_state(snapshot)

    def rules_of(self, version: str) -> RuleSet | None:
        """Return a version's rules if this softswitch or the store has them."""
        found, snapshot = self._rule_sets.get(version), self._link.snapshot
        return found if found is not None or snapshot is None else rules_of(snapshot, version)

    def prepare(self, wait: Callable[[float], bool]) -> None:
        """Apply the stored head if the store answers in time, else the snapshot; runs before the first call.

        The snapshot is read in either case, so that a head applied by an earlier incarnation of this
        softswitch is not replaced by an older one. `wait` waits for the store, at most so many ms."""
        stored = self._snapshot_file.read()
        if stored is not None:
            self._rule_sets |= stored.versions
            self.applied_head = stored.head
        answered = wait(self._settings.wait_ms)
        if answered and self._link.snapshot is not None:
            self._handle_change(self._link.snapshot)
        elif self.applied_head is not None:
            self._activate(self.applied_head)
        log_event(
            logging.INFO if answered else logging.WARNING, "rules_ready", version=self.version,
            head=self.applied_head.number if self.applied_head else 0, store=answered,
        )  # fmt: skip

    def _handle_change(self, snapshot: Snapshot) -> None:
        entry = snapshot.find(HEAD_KEY)
        if entry is None and self.applied_head is None:
            self.divergence = ""  # no head has been written yet
            return
        revision = entry.mod_revision if entry is not None else 0
        if revision == self._head_revision and not self.divergence:
            return  # another key changed, such as published evidence: the head is not decoded again
        self._head_revision = revision
        state = read_head_state(snapshot)
        if not state.is_readable:
            self._report_divergence("unreadable")
        elif not may_apply(state.head, self.applied_head):
            # Guards against a store that lost its last writes: its older head is reported, not applied.
            self._report_divergence(str(state.head.number))
        elif (
            self.applied_head is None
            or state.head != self.applied_head
            or self.divergence
            or self.version != self._local_version()
        ):
            self._apply(state.head, snapshot)

    def _report_divergence(self, reported: str) -> None:
        if reported != self.divergence:
            self.divergence = reported
            self._counters.add("rules_diverged")
            log_event(
                logging.ERROR,
                "rules_diverged",
                seen=self.applied_head.number if self.applied_head else 0,
                told=reported,
            )
        if self.applied_head is not None and self.version != self._local_version():
            self._activate(self.applied_head)

    def _apply(self, head: Head, snapshot: Snapshot) -> None:
        needed = {head.version, head.before, *([head.rollout.version] if head.rollout else [])}
        available = {
            version: rules
            for version in needed
            if (rules := self._rule_sets.get(version) or rules_of(snapshot, version))
        }
        missing = head.version_at(self.name) not in available
        if missing:
            # Guards against a head whose rules are corrupt or missing: the version in force stays.
            self._report_divergence(f"{head.number} without its rules")
            return
        if self.divergence:
            log_event(logging.INFO, "rules_converged", head=head.number)
        self.divergence, self.applied_head, self._rule_sets = (
            "",
            head,
            {EMPTY_VERSION: RuleSet(), **available},
        )
        if head.rollout is None or head.rollout.id != self.left_rollout:
            self.left_rollout = 0
        self._activate(head)
        self._snapshot_due.set()

    def start(self) -> None:
        """Start writing each applied head to the snapshot."""
        gevent.spawn(self._write_snapshots)

    def _write_snapshots(self) -> None:
        """Write snapshots in a single greenlet: the newest head stays, and nothing waits for the disk."""
        while True:
            self._snapshot_due.wait()
            self._snapshot_due.clear()
            if self.applied_head is not None:
                self._snapshot_file.write(self.applied_head, dict(self._rule_sets))
            gevent.sleep(SNAPSHOT_INTERVAL_S)

    def _local_version(self) -> str:
        assert self.applied_head is not None
        return self.applied_head.version if self.left_rollout else self.applied_head.version_at(self.name)

    def _activate(self, head: Head) -> None:
        version = self._local_version()
        rules = self._rule_sets.get(version)
        if rules is None:
            return
        if version != self._table.version:
            self._counters.add("rules_changed")
            log_event(logging.INFO, "rules", version=version, before=self._table.version, head=head.number)
        self._table = RoutingTable(version, rules, replace(self.context, cells=self._zone_cells()))
        for on_applied in self.on_applied:
            on_applied()

    def update_zone_cells(self) -> None:
        """Recompile the table if a change of the pool list changed the cells of a zone."""
        cells = self._zone_cells()
        if cells != self.context.cells:
            self.context = replace(self.context, cells=cells)
            if self._table.version != EMPTY_VERSION:
                self._table = RoutingTable(
                    self._table.version, self._rule_sets[self._table.version], self.context
                )

    def leave_rollout(self, rollout: int) -> None:
        """Return to the version in force, out of this rollout, until the head has no or another rollout."""
        if (
            self.applied_head is not None
            and self.applied_head.rollout is not None
            and self.applied_head.rollout.id == rollout
        ):
            self.left_rollout = rollout
            self._activate(self.applied_head)
