"""A fake coordinator: the whole pool list first, then numbered changes, and an empty frame every second."""

from __future__ import annotations

import struct
from dataclasses import dataclass

import gevent
from gevent import socket

from pearloom.core.config import Address
from pearloom.fakes.journal import EntryKind, Journal

_FRAME = struct.Struct(">IQB")
_RECORD = struct.Struct(">IIHBBBHIQ")
STATES = ("ready", "draining", "gone")


@dataclass(frozen=True, slots=True)
class ListedServer:
    """One server of the pool list."""

    server: str
    address: Address
    cell: int
    state: str = "ready"
    started_ms: int = 0

    def record(self) -> bytes:
        """Return the server's record of 27 bytes on the wire."""
        host, port = self.address
        identity = int(self.server[2:], 16), int.from_bytes(socket.inet_aton(host), "big"), port
        return _RECORD.pack(*identity, STATES.index(self.state), 0, 0, self.cell, 1000, self.started_ms)


class FakeCoordinator:
    """Sends every softswitch that connects all events since the index that it asks from."""

    def __init__(self, journal: Journal, servers: list[ListedServer]) -> None:
        """Listen on loopback; the first event is the list of these servers."""
        self._journal = journal
        self._events: list[tuple[int, bytes]] = [(1, b"".join(server.record() for server in servers))]
        self.servers = {server.server: server for server in servers}
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(8)
        self.address: Address = self._listener.getsockname()
        self._peers: list[tuple[socket.socket, int]] = []
        self._accepting = gevent.spawn(self._accept)

    def cached_list(self) -> dict[str, object]:
        """Return the first list in the form of a softswitch's configuration."""
        hosts = [
            {"host": server.server, "dial": "{}:{}".format(*server.address), "block": server.cell,
             "health": "in_service", "born_ms": server.started_ms}
            for server in self.servers.values()
        ]  # fmt: skip
        return {"index": 1, "updates": [{"index": 1, "endpoints": {"seq": 1, "whole": True, "hosts": hosts}}]}

    def announce(self, listed: ListedServer) -> None:
        """Send a server's new state to all softswitches, and record it."""
        self.servers[listed.server] = listed
        self._events.append((2, listed.record()))
        self._journal.add(EntryKind.STATE_CHANGED, listed.server, label=listed.state)
        for sock, _ in self._peers:
            self._write(sock, len(self._events))

    def _write(self, sock: socket.socket, number: int) -> None:
        kind, payload = self._events[number - 1] if number else (0, b"")
        try:
            sock.sendall(_FRAME.pack(9 + len(payload), number, kind) + payload)
        except OSError:
            self._peers = [peer for peer in self._peers if peer[0] is not sock]

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        try:
            index = int.from_bytes(sock.recv(8), "big")
            for number in range(index + 1, len(self._events) + 1):
                self._write(sock, number)
            self._peers.append((sock, index))
            while True:
                gevent.sleep(1.0)
                self._write(sock, 0)
        except OSError:
            pass

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._accepting.kill()
        self._listener.close()
        for sock, _ in self._peers:
            sock.close()
