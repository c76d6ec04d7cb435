"""Follows the coordinator's stream of pool list events, and decodes it.

frame  = length:4 number:8 kind:1 payload      length counts the bytes after itself
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

CONNECT_TIMEOUT_S = 1.0
FRAME_TIMEOUT_S = 2.5  # for a whole frame: the coordinator sends a heartbeat each second
RECONNECT_DELAY_S = 0.1
MAX_FRAME_BYTES = 1 << 20
READ_BYTES = 64 * 1024
_FRAME = struct.Struct(">IQB")
_LENGTH_BYTES = 4
_RECORD = struct.Struct(">IIHBBBHIQ")
_HEARTBEAT, _WHOLE, _CHANGES = 0, 1, 2
_STATES = (api.PoolState.READY, api.PoolState.DRAINING, api.PoolState.GONE)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A frame without an event: the stream is alive."""


class Decoder:
    """Decodes the stream into events; the result doesn't depend on how reads split it."""

    def __init__(self, zones: Sequence[str] = ()) -> None:
        """Start at a frame boundary; `zones`: the zones' names in the order of the settings."""
        self._buffer = bytearray()
        self._zones = zones

    def feed(self, data: bytes) -> list[ListUpdate | Heartbeat | Malformed]:
        """Add bytes and return the events that they complete; a fatal `Malformed` is the last item."""
        self._buffer += data
        events: list[ListUpdate | Heartbeat | Malformed] = []
        while len(self._buffer) >= _LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:_LENGTH_BYTES], "big")
            if not _FRAME.size - _LENGTH_BYTES <= length <= MAX_FRAME_BYTES:
                events.append(Malformed(f"frame length {length}", fatal=True))
                break
            end = _LENGTH_BYTES + length
            if len(self._buffer) < end:
                break
            events.append(_decode_frame(bytes(self._buffer[:end]), self._zones))
            del self._buffer[:end]
        return events


def _decode_frame(frame: bytes, zones: Sequence[str]) -> ListUpdate | Heartbeat | Malformed:
    _, index, frame_type = _FRAME.unpack_from(frame)
    if frame_type == _HEARTBEAT:
        return Heartbeat()
    records = frame[_FRAME.size :]
    if frame_type not in (_WHOLE, _CHANGES):
        return Malformed(f"frame kind {frame_type}", fatal=False)
    if len(records) % _RECORD.size:
        return Malformed(f"event {index} has {len(records)} bytes of records", fatal=True)
    servers = []
    for server_id, address, port, state, zone, _, cell, _, started_ms in _RECORD.iter_unpack(records):
        if state >= len(_STATES):
            return Malformed(f"event {index} has a server in state {state}", fatal=True)
        entry = api.PoolEntry(f"s-{server_id:08x}", cell, _STATES[state], started_ms * 1000)
        zone_name = zones[zone] if zone < len(zones) else ""
        servers.append(Server(entry, (str(IPv4Address(address)), port), zone_name))
    return ListUpdate(index, frame_type == _WHOLE, tuple(servers))


def merge_updates(updates: tuple[ListUpdate, ...]) -> tuple[Server, ...]:
    """Return the servers listed after these events, without those that are gone."""
    servers: dict[str, Server] = {}
    for update in updates:
        if update.whole:
            servers.clear()
        for server in update.servers:
            servers[server.entry.server] = server
    return tuple(server for server in servers.values() if server.entry.state is not api.PoolState.GONE)


def _read_events(sock: socket.socket, decoder: Decoder) -> list[ListUpdate | Heartbeat | Malformed]:
    """Read until at least one frame is complete; raises TimeoutError, or ConnectionError at the stream's end.

    Guards against a stream that falls silent, in the middle of a frame or with only a byte now and then: the
    coordinator sends a whole frame each second."""
    with gevent.Timeout(FRAME_TIMEOUT_S, TimeoutError("no whole frame")):
        while True:
            data = sock.recv(READ_BYTES)
            if not data:
                raise ConnectionError("closed")
            if events := decoder.feed(data):
                return events


class Coordinator:
    """Follows the stream of pool list events, and reconnects when a connection ends."""

    def __init__(
        self, address: Address, index: int, pool_view: PoolView, counters: Counters, zones: Sequence[str]
    ) -> None:
        """Continue after event `index`; `zones`: the zones' names in the order of the settings."""
        self._zones = zones
        self._address = address
        self.index = index  # of the last event applied
        self._pool_view = pool_view
        self._counters = counters
        self._sock: socket.socket | None = None
        self._moved = False  # the connection was closed by `move`, not lost
        self.has_received = False  # has any frame come, if only a heartbeat?

    def start(self) -> None:
        """Start to follow the stream."""
        gevent.spawn(self._follow)

    def move(self, address: Address) -> None:
        """Continue the stream at another address, after the last event applied.

        Closes the old connection, which would end only seconds later."""
        self._address = address
        if self._sock is not None:
            self._moved = True
            self._sock.close()

    def _follow(self) -> None:
        while True:
            try:
                self._follow_connection()
            except OSError as error:
                if not self._moved:
                    log_event(logging.WARNING, "coordinator_lost", index=self.index, reason=str(error))
            except Exception:
                log_exception("coordinator_failed", index=self.index)
            if self._moved:
                # A move is no loss: there is no warning, and no delay before the next connection, which is
                # there to spare a coordinator that has just failed.
                host, port = self._address
                log_event(logging.INFO, "coordinator_moved", index=self.index, coordinator=f"{host}:{port}")
            else:
                gevent.sleep(RECONNECT_DELAY_S)

    def _follow_connection(self) -> None:
        """Follow one connection until it ends, or brings no frame for too long."""
        self._sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._moved = False
        try:
            sock.settimeout(CONNECT_TIMEOUT_S)
            sock.connect(self._address)
            sock.sendall(self.index.to_bytes(8, "big"))
            sock.settimeout(None)
            decoder = Decoder(self._zones)
            while True:
                for event in _read_events(sock, decoder):
                    self.apply_event(event)
        finally:
            sock.close()

    def apply_event(self, event: ListUpdate | Heartbeat | Malformed) -> None:
        """Apply one event unless it is old; raises ConnectionError if the stream can't be decoded further."""
        self.has_received = True
        if isinstance(event, Malformed):
            log_event(logging.WARNING, "coordinator_malformed", reason=event.reason)
            if event.fatal:
                raise ConnectionError("malformed")
        elif isinstance(event, ListUpdate) and event.index > self.index:
            self.index = event.index
            self._counters.add("list_events_in")
            states = ",".join(f"{server.entry.server}:{server.entry.state.value}" for server in event.servers)
            log_event(logging.INFO, "list", index=event.index, whole=event.whole, servers=states)
            kind = api.ListKind.COMPLETE if event.whole else api.ListKind.CHANGES
            self._pool_view.apply_event(kind, event.servers)
