"""A TCP proxy on loopback between two parts of the rig, whose ways a test cuts, slows and breaks.

Bytes are held back, never lost out of the middle of a stream: a cut way says nothing, as a lost link does.
New connections come up while a way is cut and hear nothing, as behind a dead switch.
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

LOOK_S = 0.01
PIECE = 16 * 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s


@dataclass(slots=True)
class LinkFaults:
    """What goes wrong on one way, until it is set back."""

    cut: bool = False
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_per_tick: int = 0  # trickle: so many bytes in 10 ms at most; 0: all at once

    def heal(self) -> None:
        """Nothing goes wrong any more."""
        self.cut, self.delay_ms, self.jitter_ms, self.bytes_per_tick = False, 0.0, 0.0, 0


@dataclass(slots=True)
class Proxy:
    """Listens on a port of its own for one target; `there` is the way to the target, `back` the other."""

    target: Callable[[], Address]
    random: Random
    there: LinkFaults = field(default_factory=LinkFaults)
    back: LinkFaults = field(default_factory=LinkFaults)
    address: Address = ("127.0.0.1", 0)
    _listener: socket.socket | None = None
    _pairs: list[tuple[socket.socket, socket.socket]] = field(default_factory=list)

    def start(self) -> Proxy:
        """Listen."""
        self._listener = socket.socket()
        self._listener.bind(self.address)
        self._listener.listen(64)
        self.address = self._listener.getsockname()
        gevent.spawn(self._accept, self._listener)
        return self

    def _accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, _ = listener.accept()
                gevent.spawn(self._join, near)

    def _join(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection(self.target(), timeout=2)
            far.settimeout(None)
        except OSError:
            near.close()
            return
        self._pairs.append((near, far))
        ways = [
            gevent.spawn(self._carry, near, far, self.there),
            gevent.spawn(self._carry, far, near, self.back),
        ]
        gevent.joinall(ways)
        near.close()
        far.close()
        self._pairs.remove((near, far))

    def _carry(self, source: socket.socket, sink: socket.socket, toxics: LinkFaults) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(PIECE):
                while data:
                    while toxics.cut:
                        gevent.sleep(LOOK_S)
                    pause = toxics.delay_ms + self.random.uniform(0.0, toxics.jitter_ms)
                    gevent.sleep(pause / 1000.0)
                    size = toxics.bytes_per_tick or len(data)
                    sink.sendall(data[:size])
                    data = data[size:]
                    if data:
                        gevent.sleep(LOOK_S)
            while toxics.cut:
                gevent.sleep(LOOK_S)
            sink.shutdown(socket.SHUT_WR)

    def cut(self, there: bool = True, back: bool = True) -> None:
        """From now on nothing passes on these ways."""
        self.there.cut, self.back.cut = there, back

    def heal(self) -> None:
        """Everything passes again; what was held back comes now."""
        self.there.heal()
        self.back.heal()

    def reset(self) -> None:
        """Break every connection that is open, in the middle of whatever is under way."""
        for pair in list(self._pairs):
            for sock in pair:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                    sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Listen no more, and end what is open."""
        if self._listener is not None:
            self._listener.close()
        self.heal()
        self.reset()
