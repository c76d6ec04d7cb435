"""What the operator's file adds to a softswitch: the file is read and checked, and its parts are joined.

This module is loaded only where `PEARLOOM_FILE` names a file.
"""

from __future__ import annotations

import logging
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import gevent

from pearloom.admin.management import MAX_REQUEST_BYTES
from pearloom.binary.callers import Callers
from pearloom.coordination.settings import StoreSettings, read_store
from pearloom.core.calls import CallerSide
from pearloom.core.clock import Clock
from pearloom.core.config import Config, ConfigError
from pearloom.core.counters import Counters
from pearloom.core.exchange import Exchange
from pearloom.core.logs import log_event
from pearloom.core.set_up_validation import SetUpValidator
from pearloom.iax2.listener import Front, Fronts
from pearloom.iax2.settings import Iax2, read_iax2
from pearloom.iax2.trunk import IaxTrunk
from pearloom.records import Fields, RecordError, parse
from pearloom.servers.directory import IAX2, SIP, Directory, TrunkFactory
from pearloom.servers.discovery import PoolView

if TYPE_CHECKING:
    from pearloom.admin.fleet import FleetServices
    from pearloom.admin.management import Routes
    from pearloom.maintenance.settings import MaintenanceSettings
    from pearloom.rules.settings import RulesSettings

LISTEN_RETRY_S = 0.05  # while the previous process still has the address
LISTEN_TIMEOUT_S = 30.0
LAST_FRAMES_S = 0.25  # for the last frames of legs that end with this process


def _read_maintenance(fields: Fields) -> MaintenanceSettings:
    """Read the record `turns`.

    The reader is loaded only where the file has the record: the plain softswitch does without its library."""
    from pearloom.maintenance.settings import read_maintenance_settings

    return read_maintenance_settings(fields)


def _read_rules(fields: Fields) -> RulesSettings:
    from pearloom.rules.settings import read_rules_settings

    return read_rules_settings(fields)


class Installation:
    """The records of the operator's file, and the parts that are built from them."""

    def __init__(self, path: str, config: Config) -> None:
        """Read the file; raise a ConfigError that says in one line what is wrong and where."""
        self._config = config
        try:
            fields = Fields(parse(Path(path).read_text(encoding="utf-8"), path), path)
            self.iax2 = fields.read("iax2", lambda inner: read_iax2(inner, config.class_names)) or Iax2()
            self.store: StoreSettings | None = fields.read("store", read_store)
            self.maintenance = fields.read("turns", _read_maintenance)
            self.rules = fields.read("rules", _read_rules)
            fields.reject_unknown()
        except RecordError as error:
            raise ConfigError(str(error)) from None
        except (OSError, UnicodeDecodeError) as error:
            raise ConfigError(f"{path}: {error}") from None
        self.front: Front | None = None
        self._exchange: Exchange | None = None
        self._counters = Counters()
        self.fleet: FleetServices | None = None
        self._servers: Directory | None = None

    def join(
        self,
        exchange: Exchange,
        clock: Clock,
        counters: Counters,
        callers: Callers,
        servers: Directory,
        factories: dict[str, TrunkFactory],
    ) -> CallerSide:
        """Add the IAX2 trunks and the IAX2 listener; return all callers' sides as one."""
        first_number = 1 + secrets.randbelow(0x7000)  # so that the previous process's legs have others
        factories[IAX2] = lambda side, server: IaxTrunk(
            side, server, self.iax2.server_secrets.get(server.entry.server, ""), first_number
        )
        servers.protocol_of = lambda server: IAX2 if self.iax2.speaks(server) else SIP
        self._servers, self._exchange, self._counters = servers, exchange, counters
        if self.iax2.listen is None:
            return callers
        self.front = Front(
            exchange,
            clock,
            counters,
            self.iax2,
            SetUpValidator(self._config),
            lambda: callers.is_in_service,
            lambda: callers.is_refusing,
        )
        return Fronts(callers, self.front, counters)

    def routes(
        self, pool_view: PoolView, drain: Callable[[], object], activate: Callable[[], object]
    ) -> Routes:
        """Return the handlers of the additional management calls; none without a store."""
        if self.store is None:
            return {}
        # Loaded only here: a softswitch without a store does without the client's library.
        from pearloom.admin.fleet import FleetServices
        from pearloom.maintenance.settings import MaintenanceSettings
        from pearloom.rules.settings import RulesSettings

        assert self._exchange is not None, "join comes first"
        self.fleet = FleetServices(
            self.store,
            self.maintenance or MaintenanceSettings(),
            self.rules or RulesSettings(),
            self._config,
            self._exchange,
            self._counters,
            pool_view,
            drain,
            activate,
        )
        return self.fleet.routes()

    @property
    def max_request_bytes(self) -> int:
        """The maximum size of a management call in bytes."""
        return MAX_REQUEST_BYTES if self.fleet is None else self.fleet.max_request_bytes

    def prepare(self) -> None:
        """Prepare the fleet services before the first call is accepted."""
        if self.fleet is not None:
            self.fleet.prepare()

    def start(self) -> None:
        """Start the fleet services and the IAX2 listener, as far as the file names them."""
        if self.fleet is not None:
            self.fleet.start()
        self._start_listening()

    def _start_listening(self) -> None:
        """Listen for IAX2; while the previous process still has the address, keep trying."""
        if self.front is None or self.iax2.listen is None:
            return
        try:
            self._listen(self.front)
        except OSError as error:
            log_event(logging.WARNING, "iax2_listen_waits", reason=str(error))
            gevent.spawn(self._listen_later, self.front)

    def _listen(self, front: Front) -> None:
        assert self.iax2.listen is not None
        host, port = front.listen(self.iax2.listen)
        log_event(logging.INFO, "iax2_listening", listen=f"{host}:{port}")

    def _listen_later(self, front: Front) -> None:
        for _ in range(int(LISTEN_TIMEOUT_S / LISTEN_RETRY_S)):
            gevent.sleep(LISTEN_RETRY_S)
            try:
                self._listen(front)
                return
            except OSError:
                continue
        log_event(logging.ERROR, "iax2_listen_failed")

    def finish(self) -> None:
        """End the fleet services, the legs and the trunks before this process ends."""
        if self.fleet is not None:
            self.fleet.finish()
        if self.front is not None:
            self.front.finish()
        if self._servers is not None:
            self._servers.finish()
        gevent.sleep(LAST_FRAMES_S)
