"""A TCP proxy on loopback between two parts of the rig, with faults for each direction.

Bytes are held back, never lost from the middle of a stream: a direction that is cut carries nothing and
reports no error, like a lost link. New connections are accepted while a direction is cut, but carry nothing,
as behind a failed switch.
"""

from __future__ import annotations

import contextlib
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import gevent
from gevent import socket

from pearloom.core.config import Address

POLL_S = 0.01
READ_BYTES = 16 * 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s


@dataclass(slots=True)
class LinkFaults:
    """The faults of one direction, in force until they are cleared."""

    cut: bool = False
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_per_tick: int = 0  # at most so many bytes in 10 ms; 0: no limit

    def heal(self) -> None:
        """Clear all faults."""
        self.cut, self.delay_ms, self.jitter_ms, self.bytes_per_tick = False, 0.0, 0.0, 0


@dataclass(slots=True)
class Proxy:
    """Listens on its own port for one target; `there` is the direction to the target, `back` the other."""

    target: Callable[[], Address]
    random: Random
    there: LinkFaults = field(default_factory=LinkFaults)
    back: LinkFaults = field(default_factory=LinkFaults)
    address: Address = ("127.0.0.1", 0)
    _listener: socket.socket | None = None
    _pairs: list[tuple[socket.socket, socket.socket]] = field(default_factory=list)

    def start(self) -> Proxy:
        """Listen, and return the proxy itself."""
        self._listener = socket.socket()
        self._listener.bind(self.address)
        self._listener.listen(64)
        self.address = self._listener.getsockname()
        gevent.spawn(self._accept, self._listener)
        return self

    def _accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                accepted, _ = listener.accept()
                gevent.spawn(self._connect, accepted)

    def _connect(self, accepted: socket.socket) -> None:
        try:
            outgoing = socket.create_connection(self.target(), timeout=2)
            outgoing.settimeout(None)
        except OSError:
            accepted.close()
            return
        self._pairs.append((accepted, outgoing))
        directions = [
            gevent.spawn(self._carry, accepted, outgoing, self.there),
            gevent.spawn(self._carry, outgoing, accepted, self.back),
        ]
        gevent.joinall(directions)
        accepted.close()
        outgoing.close()
        self._pairs.remove((accepted, outgoing))

    def _carry(self, source: socket.socket, sink: socket.socket, faults: LinkFaults) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                while data:
                    while faults.cut:
                        gevent.sleep(POLL_S)
                    pause = faults.delay_ms + self.random.uniform(0.0, faults.jitter_ms)
                    gevent.sleep(pause / 1000.0)
                    size = faults.bytes_per_tick or len(data)
                    sink.sendall(data[:size])
                    data = data[size:]
                    if data:
                        gevent.sleep(POLL_S)
            while faults.cut:
                gevent.sleep(POLL_S)
            sink.shutdown(socket.SHUT_WR)

    def cut(self, there: bool = True, back: bool = True) -> None:
        """Stop carrying data in these directions, and resume in the others."""
        self.there.cut, self.back.cut = there, back

    def heal(self) -> None:
        """Clear all faults; data that was held back is sent now."""
        self.there.heal()
        self.back.heal()

    def reset(self) -> None:
        """Reset every open connection, whatever is in transit."""
        for pair in list(self._pairs):
            for sock in pair:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                    sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Stop listening, and reset all open connections."""
        if self._listener is not None:
            self._listener.close()
        self.heal()
        self.reset()
