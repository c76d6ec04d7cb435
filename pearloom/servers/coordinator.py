"""The coordinator's stream of changes to the pool list.

frame  = length:4 number:8 kind:1 payload      length counts all that follows it
record = id:4 address:4 port:2 state:1 zone:1 kind:1 cell:2 weight:4 started:8
"""

from __future__ import annotations

import logging
import struct
from collections.abc import Sequence
from dataclasses import dataclass
from ipaddress import IPv4Address

import gevent
from gevent import socket

from pearloom import interface as api
from pearloom.core.config import Address, ListUpdate, Server
from pearloom.core.counters import Counters
from pearloom.core.errors import Malformed
from pearloom.core.logs import log_event, log_exception
from pearloom.servers.discovery import PoolView

DIAL_S = 1.0
FRAME_TIMEOUT_S = 2.5  # an empty frame comes each second; with none whole for so long the connection is dead
REDIAL_S = 0.1
MOST_BYTES = 1 << 20
READ_BYTES = 64 * 1024
_FRAME = struct.Struct(">IQB")
_LENGTH_BYTES = 4
_RECORD = struct.Struct(">IIHBBBHIQ")
_HEARTBEAT, _WHOLE, _CHANGES = 0, 1, 2
_STATES = (api.PoolState.READY, api.PoolState.DRAINING, api.PoolState.GONE)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Nothing new: the stream is alive."""


class Decoder:
    """Cuts the stream into events, however the bytes are split over reads."""

    def __init__(self, zones: Sequence[str] = ()) -> None:
        """Start between two frames; `zones`: the names in the order of the settings."""
        self._buffer = bytearray()
        self._zones = zones

    def feed(self, data: bytes) -> list[ListUpdate | Heartbeat | Malformed]:
        """Take bytes and return what they complete; nothing follows a fatal value."""
        self._buffer += data
        found: list[ListUpdate | Heartbeat | Malformed] = []
        while len(self._buffer) >= _LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:_LENGTH_BYTES], "big")
            if not _FRAME.size - _LENGTH_BYTES <= length <= MOST_BYTES:
                found.append(Malformed(f"frame length {length}", fatal=True))
                break
            end = _LENGTH_BYTES + length
            if len(self._buffer) < end:
                break
            found.append(_update(bytes(self._buffer[:end]), self._zones))
            del self._buffer[:end]
        return found


def _update(frame: bytes, zones: Sequence[str]) -> ListUpdate | Heartbeat | Malformed:
    _, number, kind = _FRAME.unpack_from(frame)
    if kind == _HEARTBEAT:
        return Heartbeat()
    records = frame[_FRAME.size :]
    if kind not in (_WHOLE, _CHANGES):
        return Malformed(f"frame kind {kind}", fatal=False)
    if len(records) % _RECORD.size:
        return Malformed(f"event {number} has {len(records)} bytes of records", fatal=True)
    servers = []
    for host, address, port, state, zone, _, cell, _, started in _RECORD.iter_unpack(records):
        if state >= len(_STATES):
            return Malformed(f"event {number} has a server in state {state}", fatal=True)
        entry = api.PoolEntry(f"s-{host:08x}", cell, _STATES[state], started * 1000)
        zone_name = zones[zone] if zone < len(zones) else ""
        servers.append(Server(entry, (str(IPv4Address(address)), port), zone_name))
    return ListUpdate(number, kind == _WHOLE, tuple(servers))


def merge_updates(updates: tuple[ListUpdate, ...]) -> tuple[Server, ...]:
    """The list that the known events add up to."""
    servers: dict[str, Server] = {}
    for update in updates:
        if update.whole:
            servers.clear()
        for server in update.servers:
            servers[server.entry.server] = server
    return tuple(server for server in servers.values() if server.entry.state is not api.PoolState.GONE)


def _next_frames(sock: socket.socket, decoder: Decoder) -> list[ListUpdate | Heartbeat | Malformed]:
    """Read until at least one frame is whole.

    Guards against a stream that falls silent, be it in the middle of a frame or with a byte now and then: a
    whole frame is owed each second."""
    with gevent.Timeout(FRAME_TIMEOUT_S, TimeoutError("no whole frame")):
        while True:
            data = sock.recv(READ_BYTES)
            if not data:
                raise ConnectionError("closed")
            if frames := decoder.feed(data):
                return frames


class Coordinator:
    """Follows the stream, over as many connections as it takes."""

    def __init__(
        self, address: Address, index: int, listing: PoolView, counters: Counters, zones: Sequence[str]
    ) -> None:
        """Follow from event `index` on; `zones`: their names in the order of the settings."""
        self._zones = zones
        self._address = address
        self.index = index  # of the last event
        self._listing = listing
        self._counters = counters
        self._sock: socket.socket | None = None
        self._moved = False  # the connection at hand was closed by a move, not lost
        self.has_received = False  # has a coordinator told anything, if only that there is nothing new?

    def start(self) -> None:
        """Follow from now on."""
        gevent.spawn(self._follow)

    def move(self, address: Address) -> None:
        """Follow another address with the number of the last event; the old one tells nothing more.

        Guards against waiting for the old connection to end, which it does seconds later."""
        self._address = address
        if self._sock is not None:
            self._moved = True
            self._sock.close()

    def _follow(self) -> None:
        while True:
            try:
                self._connection()
            except OSError as trouble:
                if not self._moved:
                    log_event(logging.WARNING, "coordinator_lost", index=self.index, reason=str(trouble))
            except Exception:
                log_exception("coordinator_failed", index=self.index)
            if self._moved:
                # Guards against taking a move for a loss: it is no warning, and the new address is asked at
                # once, not after the pause that spares a coordinator that has just failed.
                host, port = self._address
                log_event(logging.INFO, "coordinator_moved", index=self.index, coordinator=f"{host}:{port}")
            else:
                gevent.sleep(REDIAL_S)

    def _connection(self) -> None:
        """One connection, until it ends; guards against one that stays open and brings nothing more."""
        self._sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._moved = False
        try:
            sock.settimeout(DIAL_S)
            sock.connect(self._address)
            sock.sendall(self.index.to_bytes(8, "big"))
            sock.settimeout(None)
            decoder = Decoder(self._zones)
            while True:
                for update in _next_frames(sock, decoder):
                    self.apply_event(update)
        finally:
            sock.close()

    def apply_event(self, update: ListUpdate | Heartbeat | Malformed) -> None:
        """One event; one that is known already changes nothing."""
        self.has_received = True
        if isinstance(update, Malformed):
            log_event(logging.WARNING, "coordinator_malformed", reason=update.reason)
            if update.fatal:
                raise ConnectionError("malformed")
        elif isinstance(update, ListUpdate) and update.index > self.index:
            self.index = update.index
            self._counters.add("list_events_in")
            states = ",".join(f"{one.entry.server}:{one.entry.state.value}" for one in update.servers)
            log_event(logging.INFO, "list", index=update.index, whole=update.whole, servers=states)
            kind = api.ListKind.COMPLETE if update.whole else api.ListKind.CHANGES
            self._listing.apply_event(kind, update.servers)
