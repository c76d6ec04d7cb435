"""A UDP proxy on loopback, with cuts, loss, duplicates and delays for each direction."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from functools import partial

import gevent
from gevent import socket

from pearloom.core.config import Address
from pearloom.fakes.script import Faults, LossyPath

MAX_DATAGRAM_BYTES = 65_535


class DatagramProxy:
    """Listens on its own port for one target, and uses one socket towards the target for each source."""

    def __init__(self, target: Address, seed: int) -> None:
        """Listen, without faults."""
        self._target, self._seed = target, seed
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(("127.0.0.1", 0))
        self.address: Address = self._sock.getsockname()
        self._outgoing: dict[Address, socket.socket] = {}
        self.cut_there = self.cut_back = False
        self.heal()
        self._running = [gevent.spawn(self._carry_there)]

    def disturb(self, faults: Faults) -> None:
        """Apply these faults in both directions from now on, drawn from the seed."""
        self._there, self._back = LossyPath(faults, self._seed), LossyPath(faults, self._seed + 1)

    def cut(self, there: bool = True, back: bool = True) -> None:
        """Drop all datagrams in these directions, and carry them in the others."""
        self.cut_there, self.cut_back = there, back

    def heal(self) -> None:
        """Clear all faults; dropped datagrams stay lost."""
        self.cut_there = self.cut_back = False
        self.disturb(Faults())

    def _carry_there(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                data, source = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
                outgoing = self._outgoing.get(source)
                if outgoing is None:
                    outgoing = self._outgoing[source] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    outgoing.connect(self._target)
                    self._running.append(gevent.spawn(partial(self._carry_back, outgoing, source)))
                if not self.cut_there:
                    self._there.carry(data, _ignore_errors(outgoing.send))

    def _carry_back(self, outgoing: socket.socket, source: Address) -> None:
        while True:
            try:
                data = outgoing.recv(MAX_DATAGRAM_BYTES)
            except ConnectionRefusedError:
                continue  # no listener at the target: the source sees a lost datagram
            except OSError:
                return
            if not self.cut_back:
                self._back.carry(data, _ignore_errors(lambda data: self._sock.sendto(data, source)))

    def close(self) -> None:
        """Stop carrying datagrams and close all sockets."""
        gevent.killall(self._running, timeout=1)
        for sock in (self._sock, *self._outgoing.values()):
            sock.close()


def _ignore_errors(send: Callable[[bytes], object]) -> Callable[[bytes], None]:
    """Wrap `send` so that a datagram that can't be sent counts as lost."""

    def send_or_drop(data: bytes) -> None:
        with contextlib.suppress(OSError):
            send(data)

    return send_or_drop
