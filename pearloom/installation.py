"""What the operator's file adds to a softswitch: read, checked, and joined to the parts that every one has.

Loaded only where `PEARLOOM_FILE` names a file.
"""

from __future__ import annotations

import logging
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import gevent

from pearloom.admin.management import MOST_BYTES
from pearloom.binary.callers import Callers
from pearloom.coordination.settings import StoreSettings, read_store
from pearloom.core.calls import CallerSide
from pearloom.core.clock import Clock
from pearloom.core.config import Config, ConfigError
from pearloom.core.counters import Counters
from pearloom.core.exchange import Exchange
from pearloom.core.logs import log_event
from pearloom.core.set_up_validation import SetUpValidator
from pearloom.iax2.listener import CallerSides, IaxListener
from pearloom.iax2.settings import Iax2Settings, read_iax2
from pearloom.iax2.trunk import IaxTrunk
from pearloom.records import Fields, RecordError, parse
from pearloom.servers.directory import IAX2, SIP, Directory, TrunkFactory
from pearloom.servers.discovery import PoolView

if TYPE_CHECKING:
    from pearloom.admin.management import Routes
    from pearloom.admin.together import Together
    from pearloom.maintenance.settings import MaintenanceSettings
    from pearloom.rules.settings import RulesSettings

LISTEN_AGAIN_S = 0.05  # while the process before this one still has the address
LISTEN_FOR_S = 30.0
FAREWELL_S = 0.25  # for the last frames of legs that end with this process


def _read_turns(fields: Fields) -> MaintenanceSettings:
    """Loaded only where the file has the record: its library is none of the softswitch's own."""
    from pearloom.maintenance.settings import read_maintenance_settings

    return read_maintenance_settings(fields)


def _read_rules(fields: Fields) -> RulesSettings:
    from pearloom.rules.settings import read_rules_settings

    return read_rules_settings(fields)


class Installation:
    """The records of the operator's file, and what they brought about."""

    def __init__(self, path: str, config: Config) -> None:
        """Read the file; a ConfigError says in one line what is wrong and where."""
        self._config = config
        try:
            fields = Fields(parse(Path(path).read_text(encoding="utf-8"), path), path)
            self.iax2 = (
                fields.read("iax2", lambda inner: read_iax2(inner, config.class_names)) or Iax2Settings()
            )
            self.store: StoreSettings | None = fields.read("store", read_store)
            self.turns = fields.read("turns", _read_turns)
            self.rules = fields.read("rules", _read_rules)
            fields.done()
        except RecordError as trouble:
            raise ConfigError(str(trouble)) from None
        except (OSError, UnicodeDecodeError) as trouble:
            raise ConfigError(f"{path}: {trouble}") from None
        self.front: IaxListener | None = None
        self._exchange: Exchange | None = None
        self._counters = Counters()
        self.together: Together | None = None
        self._servers: Directory | None = None

    def join(
        self,
        exchange: Exchange,
        clock: Clock,
        counters: Counters,
        callers: Callers,
        servers: Directory,
        makers: dict[str, TrunkFactory],
    ) -> CallerSide:
        """Add the trunks and the listener; returns all callers' sides as one."""
        first = 1 + secrets.randbelow(0x7000)  # legs of a process before this one have other numbers
        makers[IAX2] = lambda side, server: IaxTrunk(
            side, server, self.iax2.server_secrets.get(server.entry.server, ""), first
        )
        servers.protocol_of = lambda server: IAX2 if self.iax2.uses_iax2(server) else SIP
        self._servers, self._exchange, self._counters = servers, exchange, counters
        if self.iax2.listen is None:
            return callers
        self.front = IaxListener(
            exchange,
            clock,
            counters,
            self.iax2,
            SetUpValidator(self._config),
            lambda: callers.is_in_service,
            lambda: callers.is_refusing,
        )
        return CallerSides(callers, self.front, counters)

    def routes(
        self, listing: PoolView, drain: Callable[[], object], activate: Callable[[], object]
    ) -> Routes:
        """What operators can ask beside what every softswitch answers; nothing without a store."""
        if self.store is None:
            return {}
        # Loaded only here: the store's client is none of the softswitch's own libraries.
        from pearloom.admin.together import Together
        from pearloom.maintenance.settings import MaintenanceSettings
        from pearloom.rules.settings import RulesSettings

        assert self._exchange is not None, "joined first"
        self.together = Together(
            self.store,
            self.turns or MaintenanceSettings(),
            self.rules or RulesSettings(),
            self._config,
            self._exchange,
            self._counters,
            listing,
            drain,
            activate,
        )
        return self.together.routes()

    @property
    def most_call(self) -> int:
        """Bytes of an operator's call at most."""
        return MOST_BYTES if self.together is None else self.together.most_call

    def prepare(self) -> None:
        """Before the first call is taken."""
        if self.together is not None:
            self.together.prepare()

    def start(self) -> None:
        """Begin all that the file asks for."""
        if self.together is not None:
            self.together.start()
        self._start_front()

    def _start_front(self) -> None:
        """Listen; where a process before this one still does, as soon as it has ended."""
        if self.front is None or self.iax2.listen is None:
            return
        try:
            self._listen(self.front)
        except OSError as trouble:
            log_event(logging.WARNING, "iax2_listen_waits", reason=str(trouble))
            gevent.spawn(self._listen_later, self.front)

    def _listen(self, front: IaxListener) -> None:
        assert self.iax2.listen is not None
        host, port = front.listen(self.iax2.listen)
        log_event(logging.INFO, "iax2_listening", listen=f"{host}:{port}")

    def _listen_later(self, front: IaxListener) -> None:
        for _ in range(int(LISTEN_FOR_S / LISTEN_AGAIN_S)):
            gevent.sleep(LISTEN_AGAIN_S)
            try:
                self._listen(front)
                return
            except OSError:
                continue
        log_event(logging.ERROR, "iax2_listen_failed")

    def finish(self) -> None:
        """This process is about to end."""
        if self.together is not None:
            self.together.finish()
        if self.front is not None:
            self.front.finish()
        if self._servers is not None:
            self._servers.finish()
        gevent.sleep(FAREWELL_S)
