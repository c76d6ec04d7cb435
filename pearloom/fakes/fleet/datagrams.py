"""A proxy for UDP on loopback, whose ways a test cuts, and on which datagrams are lost, doubled and late."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from functools import partial

import gevent
from gevent import socket

from pearloom.core.config import Address
from pearloom.fakes.script import Faults, LossyPath

LARGEST = 65_535


class DatagramProxy:
    """Listens on a port of its own for one target; each source has a socket of its own towards it."""

    def __init__(self, target: Address, seed: int) -> None:
        """Listen; nothing goes wrong before it is asked for."""
        self._target, self._seed = target, seed
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(("127.0.0.1", 0))
        self.address: Address = self._sock.getsockname()
        self._far: dict[Address, socket.socket] = {}
        self.cut_there = self.cut_back = False
        self.heal()
        self._running = [gevent.spawn(self._there_from)]

    def disturb(self, faults: Faults) -> None:
        """From now on this befalls datagrams on both ways; a run is its seed."""
        self._there, self._back = LossyPath(faults, self._seed), LossyPath(faults, self._seed + 1)

    def cut(self, there: bool = True, back: bool = True) -> None:
        """From now on nothing passes on these ways."""
        self.cut_there, self.cut_back = there, back

    def heal(self) -> None:
        """Everything passes again; what was lost stays lost."""
        self.cut_there = self.cut_back = False
        self.disturb(Faults())

    def _there_from(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                data, source = self._sock.recvfrom(LARGEST)
                far = self._far.get(source)
                if far is None:
                    far = self._far[source] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    far.connect(self._target)
                    self._running.append(gevent.spawn(partial(self._back_to, far, source)))
                if not self.cut_there:
                    self._there.carry(data, _quietly(far.send))

    def _back_to(self, far: socket.socket, source: Address) -> None:
        while True:
            try:
                data = far.recv(LARGEST)
            except ConnectionRefusedError:
                continue  # nobody listens at the target: to the source it is a lost datagram
            except OSError:
                return
            if not self.cut_back:
                self._back.carry(data, _quietly(lambda data: self._sock.sendto(data, source)))

    def close(self) -> None:
        """Carry nothing more."""
        gevent.killall(self._running, timeout=1)
        for sock in (self._sock, *self._far.values()):
            sock.close()


def _quietly(send: Callable[[bytes], object]) -> Callable[[bytes], None]:
    """A datagram that can't be sent is lost, as any may be."""

    def action(data: bytes) -> None:
        with contextlib.suppress(OSError):
            send(data)

    return action
