"""The directory of session servers: one trunk for each of them, in the protocol that it speaks."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from pearloom.core.calls import Media, SetUpAttempt
from pearloom.core.clock import Clock
from pearloom.core.config import Server
from pearloom.core.counters import Counters
from pearloom.core.errors import AttemptError, Progress
from pearloom.core.exchange import Exchange
from pearloom.core.logs import log_event, log_exception
from pearloom.core.turns import TurnQueue
from pearloom.interface import PoolState
from pearloom.servers.contact import ContactTracker
from pearloom.settings import read_report

WATCH_INTERVAL_MS = 100.0
MAX_LOGGED_CHARS = 60  # of a header that can't be read
SIP, IAX2 = "sip", "iax2"


class Trunk(Protocol):
    """This softswitch's calls and connections at one session server, in one protocol."""

    name: str
    server: Server

    @property
    def is_ready(self) -> bool:
        """May the server get new set-ups?"""

    @property
    def is_idle(self) -> bool:
        """Is the server gone, with nothing left to do for it?"""

    @property
    def dialling(self) -> bool:
        """Is a connection being opened?"""

    @property
    def connections(self) -> int:
        """The number of connections, open or being opened."""

    @property
    def contact_tracker(self) -> ContactTracker | None:
        """What an upgrade hands over of the contact with the server, if its calls are handed over."""

    def dial(self) -> None:
        """Open a connection, if the protocol has connections."""

    def update(self, server: Server) -> None:
        """Apply the server's new entry in the pool list."""

    def set_up(self, set_up: SetUpAttempt) -> None:
        """Send an attempt."""

    def give_up(self, call: str) -> Progress | None:
        """End an attempt. Returns how far it got, or None if its end is reported to the exchange later."""

    def withdraw_unsent(self) -> None:
        """End attempts of which no byte has been sent: the server may get no new set-up."""

    def release(self, call: str, number: str, cause: int) -> None:
        """Release an established call."""

    def send_media(self, call: str, media: Media) -> None:
        """Pass a caller's media on."""

    def watch(self) -> None:
        """Check whether a server that is to answer has fallen silent; runs periodically."""

    def finish(self) -> None:
        """Release the calls that can't outlive this process, which is about to end."""

    def close(self) -> None:
        """Close all connections of a server that is gone."""


TrunkFactory = Callable[["Directory", Server], Trunk]


class Directory:
    """Owns the trunks of all session servers; the exchange's server side."""

    def __init__(
        self,
        exchange: Exchange,
        clock: Clock,
        counters: Counters,
        factories: Mapping[str, TrunkFactory],
        max_connections: int,
    ) -> None:
        """Start without servers; `factories` makes the trunks, by protocol.

        Once all servers together have `max_connections`, only one without a connection gets a new one."""
        self._most_connections = max_connections
        self.exchange = exchange
        self.clock = clock
        self.counters = counters
        self._factories = factories
        self.protocol_of: Callable[[str], str] = lambda server: SIP  # from a server's id
        self.turns = TurnQueue()  # of the connections to all servers
        self._trunks: dict[str, Trunk] = {}

    def start(self) -> None:
        """Start the periodic checks of all trunks."""
        self._watch()

    def _watch(self) -> None:
        try:
            for trunk in list(self._trunks.values()):
                trunk.watch()
                if trunk.is_idle:
                    self._remove(trunk)
        except Exception:
            log_exception("watch_failed")
        self.exchange.after_ms(WATCH_INTERVAL_MS, self._watch)

    def _remove(self, trunk: Trunk) -> None:
        """Close the connections of a server that is gone.

        Guards against a release that crosses this close: calls of these connections may have moved to the
        server that has the address now, which repeats their releases on the next connection."""
        has_connections = trunk.connections > 0
        trunk.close()
        del self._trunks[trunk.name]
        successor = self.successor_of(trunk)
        if has_connections and successor is not None and self.exchange.established_at(successor.entry.server):
            self._trunks[successor.entry.server].dial()

    @property
    def may_open_another(self) -> bool:
        """May a server that has a connection get another one?

        Guards against many connections to servers that leave none for coordinator, operators and callers."""
        return sum(trunk.connections for trunk in self._trunks.values()) < self._most_connections

    def successor_of(self, trunk: Trunk) -> Server | None:
        """Return the ready server of another id at this trunk's address; None: there is none."""
        at_address = (
            candidate.server
            for candidate in self._trunks.values()
            if candidate is not trunk
            and candidate.is_ready
            and candidate.server.address == trunk.server.address
        )
        return next(at_address, None)

    def have_same_address(self, server: str, other: str) -> bool:
        """Are these servers listed at one address, so that the connections of both lead to one process?"""
        trunk, other_trunk = self._trunks.get(server), self._trunks.get(other)
        if trunk is None or other_trunk is None:
            return False
        return trunk.server.address == other_trunk.server.address

    def record_malformed(self, server: str, reason: str, closed: bool) -> None:
        """Count and log bytes of a server that can't be read; `closed`: what they came on has been ended."""
        self.counters.add("malformed_from_servers")
        log_event(logging.WARNING, "server_malformed", server=server, reason=reason, closed=closed)

    def handle_report(self, server: str, field: str, circuits: str) -> None:
        """Pass a server's report of its free lines on; `field` is where its message has it.

        Without reports a gate learns from refusals alone how few lines are free."""
        try:
            report = read_report(circuits)
        except ValueError:
            self.record_malformed(server, f"{field} {circuits[:MAX_LOGGED_CHARS]!r}", closed=False)
        else:
            self.exchange.handle_server_report(server, report)

    def _add_trunk(self, server: Server) -> Trunk:
        name = server.entry.server
        self._trunks[name] = trunk = self._factories[self.protocol_of(name)](self, server)
        return trunk

    def update_servers(self, servers: Sequence[Server], whole: bool) -> None:
        """Apply a list, or changes to it; a new server is dialled at once."""
        listed_ids = {server.entry.server for server in servers}
        for server in servers:
            trunk = self._trunks.get(server.entry.server)
            if trunk is not None:
                trunk.update(server)
            elif server.entry.state is not PoolState.GONE:
                trunk = self._add_trunk(server)
                # On its next connection a server also reports releases of calls from before a restart.
                trunk.dial()
        for trunk in list(self._trunks.values()) if whole else ():
            if trunk.name not in listed_ids:
                trunk.update(_with_state_gone(trunk.server))

    def listed_servers(self) -> list[Server]:
        """The servers that are listed now, without those that are gone."""
        servers = [trunk.server for trunk in self._trunks.values()]
        return [server for server in servers if server.entry.state is not PoolState.GONE]

    @property
    def has_finished_dialling(self) -> bool:
        """Has each connection that was being opened been established, or failed?"""
        return not any(trunk.dialling for trunk in self._trunks.values())

    def contact_trackers(self) -> dict[str, ContactTracker]:
        """What an upgrade hands over of the contact with the servers, by their ids."""
        trackers = {name: trunk.contact_tracker for name, trunk in self._trunks.items()}
        return {name: tracker for name, tracker in trackers.items() if tracker is not None}

    def dial_servers_with_calls(self) -> None:
        """Open another connection to each server that has established calls."""
        for trunk in self._trunks.values():
            if self.exchange.established_at(trunk.name):
                trunk.dial()

    def finish(self) -> None:
        """Let each trunk release the calls that can't outlive this process, which is about to end."""
        for trunk in self._trunks.values():
            trunk.finish()

    @property
    def discovered(self) -> int:
        """The number of listed servers."""
        return len(self.listed_servers())

    def withdraw_unsent(self) -> None:
        """End the attempts at servers that are not ready of which no byte has been sent."""
        for trunk in list(self._trunks.values()):
            if not trunk.is_ready:
                trunk.withdraw_unsent()

    def set_up(self, server: str, set_up: SetUpAttempt) -> None:
        """Send an attempt."""
        trunk = self._trunks.get(server)
        if trunk is None or not trunk.is_ready:
            # The last check that a draining server, or one that is gone, gets no set-up.
            error = AttemptError(Progress.NOT_DIALLED, "server not ready")
            self.exchange.attempt_ended(set_up.request.call, set_up.attempt, error)
        else:
            trunk.set_up(set_up)

    def give_up(self, server: str, call: str) -> Progress | None:
        """End an attempt. Returns how far it got, or None if its end is reported to the exchange later."""
        trunk = self._trunks.get(server)
        return Progress.NOT_DIALLED if trunk is None else trunk.give_up(call)

    def release(self, server: str | None, call: str, number: str, cause: int) -> None:
        """Release a call; if its server is unknown (None), release it at all servers."""
        for trunk in list(self._trunks.values()):
            if server in (None, trunk.name):
                trunk.release(call, number, cause)

    def send_media(self, server: str, call: str, media: Media) -> None:
        """Pass a caller's media on."""
        trunk = self._trunks.get(server)
        if trunk is not None:
            trunk.send_media(call, media)


def _with_state_gone(server: Server) -> Server:
    """Return a server's entry with the state `GONE`."""
    entry = server.entry
    return Server(
        type(entry)(entry.server, entry.cell, PoolState.GONE, entry.started_us), server.address, server.zone
    )
