"""Follows the coordinator's stream of pool list events, and decodes it.

frame  = length:4 number:8 kind:1 payload      length counts the bytes after itself
record = id:4 address:4 port:2 state:1 zone:1 kind:1 cell:2 weight:4 started:8
"""

from __future__ import annotations

import logging
import struct
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from ipaddress import IPv4Address

import gevent
from gevent import socket
from gevent.event import Event

from pearloom import interface as api
from pearloom.core.config import Address, ListUpdate, Server
from pearloom.core.counters import Counters
from pearloom.core.errors import Malformed
from pearloom.core.logs import log_event, log_exception
from pearloom.servers.discovery import PoolView

CONNECT_TIMEOUT_S = 1.0
FRAME_TIMEOUT_S = 2.5  # for a whole frame: the coordinator sends a heartbeat each second
RECONNECT_DELAY_S = 0.1
# At once, while none brings a frame: what is this late is out of date, as events count as told after 7 s.
MAX_STREAMS = 4
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


class _Stream:
    """One connection to the coordinator."""

    def __init__(self, address: Address, index: int, zones: Sequence[str]) -> None:
        """Prepare to ask `address` for the events after `index`."""
        self._address, self._index = address, index
        self._decoder = Decoder(zones)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.silent_since_s = time.monotonic()  # its start, or its last whole frame
        self.is_abandoned = False  # closed by this side

    def frames(self) -> Iterator[list[ListUpdate | Heartbeat | Malformed]]:
        """Yield the events of whole frames as they come; raises OSError at the stream's end."""
        self._sock.settimeout(CONNECT_TIMEOUT_S)
        self._sock.connect(self._address)
        self._sock.sendall(self._index.to_bytes(8, "big"))
        self._sock.settimeout(None)
        while data := self._sock.recv(READ_BYTES):
            if events := self._decoder.feed(data):
                self.silent_since_s = time.monotonic()
                yield events
        raise ConnectionError("closed")

    def abandon(self) -> None:
        """Close the connection."""
        self.is_abandoned = True
        self._sock.close()


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
        self._streams: list[_Stream] = []  # the oldest first
        self._changed = Event()  # the newest stream ended
        self._moved = False  # the streams were closed by `move`, not lost
        self.has_received = False  # has any frame come, if only a heartbeat?

    def start(self) -> None:
        """Start to follow the stream."""
        gevent.spawn(self._follow)

    def move(self, address: Address) -> None:
        """Continue the stream at another address, after the last event applied.

        Closes the old connections, which would end only seconds later."""
        self._address = address
        self._moved = True
        for stream in self._streams:
            stream.abandon()
        self._streams.clear()
        self._changed.set()

    def _follow(self) -> None:
        while True:
            try:
                self._open_stream()
                self._await_end_or_silence()
            except OSError as error:  # no descriptor
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

    def _open_stream(self) -> None:
        """Open another connection. Those before it are kept: what is on its way there may only be late."""
        # Guards against a busy loop: without a free descriptor a move would be taken up again and again.
        self._moved = False
        self._changed.clear()
        if len(self._streams) >= MAX_STREAMS:
            self._streams.pop(0).abandon()
        stream = _Stream(self._address, self.index, self._zones)
        self._streams.append(stream)
        gevent.spawn(self._read, stream)

    def _await_end_or_silence(self) -> None:
        """Return once the newest stream has ended, or has brought no whole frame for too long.

        Guards against a stream that falls silent, in the middle of a frame or with only a byte now and then:
        the coordinator sends a whole frame each second."""
        while not self._changed.is_set():
            left_s = FRAME_TIMEOUT_S - (time.monotonic() - self._streams[-1].silent_since_s)
            if left_s <= 0:
                log_event(logging.WARNING, "coordinator_lost", index=self.index, reason="no whole frame")
                return
            self._changed.wait(left_s)

    def _read(self, stream: _Stream) -> None:
        """Apply what comes on a stream until it ends; the first one to bring a frame is kept alone."""
        try:
            for events in stream.frames():
                if stream.is_abandoned:
                    break
                self._abandon_others(stream)
                for event in events:
                    self.apply_event(event)
        except OSError as error:
            if not stream.is_abandoned:
                log_event(logging.WARNING, "coordinator_lost", index=self.index, reason=str(error))
        except Exception:
            log_exception("coordinator_failed", index=self.index)
        stream.abandon()
        if stream in self._streams:
            is_newest = stream is self._streams[-1]
            self._streams.remove(stream)
            if is_newest:
                self._changed.set()

    def _abandon_others(self, stream: _Stream) -> None:
        for other in self._streams:
            if other is not stream:
                other.abandon()
        self._streams = [stream]

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
