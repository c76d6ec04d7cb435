"""All session servers: one trunk each, whatever it speaks."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from pearloom.core.calls import Media, SetUpAttempt
from pearloom.core.clock import Clock
from pearloom.core.config import Server
from pearloom.core.counters import Counters
from pearloom.core.errors import AttemptError, Progress
from pearloom.core.exchange import Exchange
from pearloom.core.logs import log_exception
from pearloom.interface import PoolState

WATCH_MS = 100.0  # how often trunks are looked at
SIP, IAX2 = "sip", "iax2"


class Trunk(Protocol):
    """All that concerns one session server, in the protocol that it speaks."""

    name: str
    server: Server

    @property
    def is_ready(self) -> bool:
        """May it get new set-ups?"""

    @property
    def is_idle(self) -> bool:
        """Is it gone, with nothing left to do?"""

    @property
    def dialling(self) -> bool:
        """Is a connection under way?"""

    @property
    def connections(self) -> int:
        """How many descriptors it holds."""

    def dial(self) -> None:
        """Open a connection, where the protocol has such."""

    def update(self, server: Server) -> None:
        """The list says something new of this server."""

    def set_up(self, set_up: SetUpAttempt) -> None:
        """Send an attempt."""

    def give_up(self, call: str) -> Progress | None:
        """End an attempt. Returns how far it had come; None: its end is told to the exchange later."""

    def withdraw_unsent(self) -> None:
        """End what has not left yet: the server may get no new set-up."""

    def release(self, call: str, number: str, cause: int) -> None:
        """Release a standing call."""

    def send_media(self, call: str, media: Media) -> None:
        """Pass on what a caller says."""

    def watch(self) -> None:
        """Called now and then: has a server that owes something fallen silent?"""

    def finish(self) -> None:
        """This process is about to end: let go of calls that end with it."""

    def close(self) -> None:
        """The server is gone and owes nothing."""


TrunkFactory = Callable[["Directory", Server], Trunk]


class Directory:
    """All trunks; the exchange's server side."""

    def __init__(
        self,
        exchange: Exchange,
        clock: Clock,
        counters: Counters,
        makers: Mapping[str, TrunkFactory],
        most_connections: int,
    ) -> None:
        """Know no server yet; `makers` has what makes a trunk for each protocol.

        Beyond `most_connections` in all, a server that has a connection gets no second one."""
        self._most_connections = most_connections
        self.exchange = exchange
        self.clock = clock
        self.counters = counters
        self._makers = makers
        self.protocol_of: Callable[[str], str] = lambda server: SIP  # by a server's id, which protocol
        self._trunks: dict[str, Trunk] = {}

    def start(self) -> None:
        """Begin to watch."""
        self._watch()

    def _watch(self) -> None:
        try:
            for trunk in list(self._trunks.values()):
                trunk.watch()
                if trunk.is_idle:
                    trunk.close()
                    del self._trunks[trunk.name]
        except Exception:
            log_exception("watch_failed")
        self.exchange.after_ms(WATCH_MS, self._watch)

    @property
    def may_open_another(self) -> bool:
        """Are there descriptors for more than the first connection to each server?

        Guards against many connections to servers that leave none for coordinator, operators and callers."""
        return sum(trunk.connections for trunk in self._trunks.values()) < self._most_connections

    def address_taken(self, trunk: Trunk) -> bool:
        """Is a ready server of another id listed at this trunk's address?"""
        return any(
            other.is_ready and other.server.address == trunk.server.address
            for other in self._trunks.values()
            if other is not trunk
        )

    def _make(self, server: Server) -> Trunk:
        name = server.entry.server
        self._trunks[name] = trunk = self._makers[self.protocol_of(name)](self, server)
        return trunk

    # --- exchange.ServerSide
    def update_servers(self, servers: Sequence[Server], whole: bool) -> None:
        """Take the list over; each server that is new gets its connection at once."""
        named = {server.entry.server for server in servers}
        for server in servers:
            trunk = self._trunks.get(server.entry.server)
            if trunk is not None:
                trunk.update(server)
            elif server.entry.state is not PoolState.GONE:
                trunk = self._make(server)
                # A server also tells on its next connection what became of calls of before a restart.
                trunk.dial()
        for trunk in list(self._trunks.values()) if whole else ():
            if trunk.name not in named:
                trunk.update(gone(trunk.server))

    def listed_servers(self) -> list[Server]:
        """The list as it is now."""
        servers = [trunk.server for trunk in self._trunks.values()]
        return [server for server in servers if server.entry.state is not PoolState.GONE]

    @property
    def has_finished_dialling(self) -> bool:
        """Has each connection that was asked for come up, or failed?"""
        return not any(trunk.dialling for trunk in self._trunks.values())

    def dial_servers_with_calls(self) -> None:
        """Open a further connection to each server where anything stands."""
        for trunk in self._trunks.values():
            if self.exchange.established_at(trunk.name):
                trunk.dial()

    def finish(self) -> None:
        """This process is about to end."""
        for trunk in self._trunks.values():
            trunk.finish()

    @property
    def discovered(self) -> int:
        """How many are in the list."""
        return len(self.listed_servers())

    def withdraw_unsent(self) -> None:
        """End what has not begun to leave for a server that is not ready."""
        for trunk in list(self._trunks.values()):
            if not trunk.is_ready:
                trunk.withdraw_unsent()

    def set_up(self, server: str, set_up: SetUpAttempt) -> None:
        """Send an attempt."""
        trunk = self._trunks.get(server)
        if trunk is None or not trunk.is_ready:
            # The last guard before a server that drains or is gone.
            error = AttemptError(Progress.NOT_DIALLED, "server not ready")
            self.exchange.attempt_ended(set_up.request.call, set_up.attempt, error)
        else:
            trunk.set_up(set_up)

    def give_up(self, server: str, call: str) -> Progress | None:
        """End an attempt; None: its end is still to come."""
        trunk = self._trunks.get(server)
        return Progress.NOT_DIALLED if trunk is None else trunk.give_up(call)

    def release(self, server: str | None, call: str, number: str, cause: int) -> None:
        """Release a call; where nobody knows its server, all are told."""
        for trunk in list(self._trunks.values()):
            if server in (None, trunk.name):
                trunk.release(call, number, cause)

    def send_media(self, server: str, call: str, media: Media) -> None:
        """Pass on what a caller says."""
        trunk = self._trunks.get(server)
        if trunk is not None:
            trunk.send_media(call, media)


def gone(server: Server) -> Server:
    """The same server, gone."""
    entry = server.entry
    return Server(
        type(entry)(entry.server, entry.cell, PoolState.GONE, entry.started_us), server.address, server.zone
    )
