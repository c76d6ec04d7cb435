"""What this softswitch does with the others of its fleet: link, membership, turns, rules, their calls."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Callable, Mapping
from random import SystemRandom

import gevent

from pearloom.admin.maintenance import MaintenanceCalls
from pearloom.admin.management import MAX_REQUEST_BYTES, Routes
from pearloom.admin.members import MemberCalls
from pearloom.admin.rules import MAX_RULES_BYTES, RulesCalls
from pearloom.coordination import Link, StoreSettings
from pearloom.coordination.etcd import EtcdStore
from pearloom.coordination.link import steady_ms
from pearloom.core.config import Config
from pearloom.core.counters import Counters
from pearloom.core.exchange import Exchange
from pearloom.maintenance.host import MaintenanceCallbacks, MaintenanceHost
from pearloom.maintenance.settings import MaintenanceSettings
from pearloom.membership.host import MemberHost
from pearloom.rollout.host import RolloutHost
from pearloom.rules.check import KnownNames
from pearloom.rules.host import RulesHost
from pearloom.rules.settings import RulesSettings
from pearloom.rules.table import LocalContext
from pearloom.servers.discovery import PoolView

LOOK_S = 0.005


class FleetServices:
    """The parts, joined; nothing is asked of the store before `prepare`."""

    def __init__(
        self,
        store: StoreSettings,
        turns: MaintenanceSettings,
        rules: RulesSettings,
        config: Config,
        exchange: Exchange,
        counters: Counters,
        listing: PoolView,
        drain: Callable[[], object],
        activate: Callable[[], object],
    ) -> None:
        """An incarnation is the wall clock's ms at the start: it only has to grow from life to life."""
        self._listing, self._config = listing, config
        self._store = EtcdStore(store)
        self._link = Link(self._store, store, counters, SystemRandom(), steady_ms)
        self._member = MemberHost(
            self._link, counters, config.name, turns.zone, int(time.time() * 1000), turns.heartbeat_ms,
            lambda: (exchange.decider.limits, exchange.open_calls), steady_ms,
        )  # fmt: skip
        context = LocalContext(config.class_names, config.tenant_names, turns.zone, self._cells())
        self._rules = RulesHost(self._link, counters, config.name, context, rules, self._cells)
        self._rollout = RolloutHost(
            self._link,
            self._member,
            self._rules,
            counters,
            turns.zone,
            lambda: exchange.decider.failed_decisions,
            steady_ms,
        )
        hands = MaintenanceCallbacks(
            drain,
            activate,
            is_idle=lambda: not exchange.open_calls + exchange.established_calls,
            withhold=listing.withhold,
            servers=lambda: listing.listed.values(),
            halted=lambda: self._rollout.has_recent_halt,
        )
        self._turns = MaintenanceHost(self._link, self._member, counters, turns.limits, hands, steady_ms)
        self._work = MaintenanceCalls(self._turns, config.name)
        self._members = MemberCalls(self._member)
        self._asked = RulesCalls(
            self._link, self._member, self._rules, self._rollout, rules.rollout, self._known
        )
        self.max_request_bytes = MAX_RULES_BYTES + MAX_REQUEST_BYTES
        listing.on_list_event.append(self._rules.update_zone_cells)
        exchange.reporter.router = self._rules

    def _cells(self) -> Mapping[str, frozenset[int]]:
        cells: dict[str, set[int]] = defaultdict(set)
        for server in self._listing.listed.values():
            cells[server.zone].add(server.entry.cell)
        return {zone: frozenset(held) for zone, held in cells.items() if zone}

    def _known(self) -> KnownNames:
        zones = {*self._config.zone_names, *(one.zone for one in self._member.view.members if one.zone)}
        classes = self._config.settings.classes
        return KnownNames(
            tuple(self._config.class_names), tuple(self._config.tenant_names), tuple(sorted(zones)),
            tuple(kind.cells for kind in classes),
        )  # fmt: skip

    def routes(self) -> Routes:
        """What operators can ask."""
        return self._work.routes() | self._members.routes() | self._asked.routes()

    def prepare(self) -> None:
        """Before the first call: the rules in force, from the store if it answers in time, else from disk."""
        self._link.start()
        self._rules.prepare(self._await_store)

    def _await_store(self, most_ms: float) -> bool:
        until = steady_ms() + most_ms
        while self._link.snapshot is None and steady_ms() < until:
            gevent.sleep(LOOK_S)
        return self._link.snapshot is not None

    def start(self) -> None:
        """Take part from now on."""
        self._member.start()
        self._turns.start()
        self._rules.start()
        self._rollout.start()

    def finish(self) -> None:
        """This process ends: say so, and give the lease back."""
        self._member.finish()
        self._link.close()
        self._store.close()
