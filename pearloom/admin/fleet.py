"""A softswitch's part in its fleet: store link, membership, maintenance, rules and their management calls."""

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

STORE_CHECK_S = 0.005


class FleetServices:
    """Joins these parts; nothing is read from the store before `prepare`."""

    def __init__(
        self,
        store: StoreSettings,
        maintenance: MaintenanceSettings,
        rules: RulesSettings,
        config: Config,
        exchange: Exchange,
        counters: Counters,
        pool_view: PoolView,
        drain: Callable[[], object],
        activate: Callable[[], object],
    ) -> None:
        """Build and join the parts.

        The incarnation is the wall clock's ms at the start: it only has to grow from start to start."""
        self._pool_view, self._config = pool_view, config
        self._store = EtcdStore(store)
        self._link = Link(self._store, store, counters, SystemRandom(), steady_ms)
        self._member = MemberHost(
            self._link, counters, config.name, maintenance.zone, int(time.time() * 1000),
            maintenance.heartbeat_ms, lambda: (exchange.decider.limits, exchange.open_calls), steady_ms,
        )  # fmt: skip
        context = LocalContext(config.class_names, config.tenant_names, maintenance.zone, self._cells())
        self._rules = RulesHost(self._link, counters, config.name, context, rules, self._cells)
        self._rollout = RolloutHost(
            self._link,
            self._member,
            self._rules,
            counters,
            maintenance.zone,
            lambda: exchange.decider.failed_decisions,
            steady_ms,
        )
        callbacks = MaintenanceCallbacks(
            drain,
            activate,
            is_idle=lambda: not exchange.open_calls + exchange.established_calls,
            withhold=pool_view.withhold,
            servers=lambda: pool_view.listed.values(),
            halted=lambda: self._rollout.has_recent_halt,
        )
        self._maintenance = MaintenanceHost(
            self._link, self._member, counters, maintenance.limits, callbacks, steady_ms
        )
        self._maintenance_calls = MaintenanceCalls(self._maintenance, config.name)
        self._member_calls = MemberCalls(self._member)
        self._rules_calls = RulesCalls(
            self._link, self._member, self._rules, self._rollout, rules.rollout, self._known
        )
        self.max_request_bytes = MAX_RULES_BYTES + MAX_REQUEST_BYTES
        pool_view.on_list_event.append(self._rules.update_zone_cells)
        exchange.reporter.router = self._rules

    def _cells(self) -> Mapping[str, frozenset[int]]:
        cells: dict[str, set[int]] = defaultdict(set)
        for server in self._pool_view.listed.values():
            cells[server.zone].add(server.entry.cell)
        return {zone: frozenset(numbers) for zone, numbers in cells.items() if zone}

    def _known(self) -> KnownNames:
        zones = {*self._config.zone_names, *(one.zone for one in self._member.view.members if one.zone)}
        classes = self._config.settings.classes
        return KnownNames(
            tuple(self._config.class_names), tuple(self._config.tenant_names), tuple(sorted(zones)),
            tuple(call_class.cells for call_class in classes),
        )  # fmt: skip

    def routes(self) -> Routes:
        """Return the handlers of all management calls of the fleet."""
        return self._maintenance_calls.routes() | self._member_calls.routes() | self._rules_calls.routes()

    def prepare(self) -> None:
        """Load the rules in force before the first call, from disk where the store answers too late."""
        self._link.start()
        self._rules.prepare(self._await_store)

    def _await_store(self, timeout_ms: float) -> bool:
        until = steady_ms() + timeout_ms
        while self._link.snapshot is None and steady_ms() < until:
            gevent.sleep(STORE_CHECK_S)
        return self._link.snapshot is not None

    def start(self) -> None:
        """Start membership, maintenance, rules and rollout."""
        self._member.start()
        self._maintenance.start()
        self._rules.start()
        self._rollout.start()

    def finish(self) -> None:
        """Announce the end of this process and release its lease."""
        self._member.finish()
        self._link.close()
        self._store.close()
