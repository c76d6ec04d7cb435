"""Measures how soon the softswitch answers, to tell a stop of the machine from a late final answer."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
import pytest
from gevent import socket

from pearloom.binary import isup
from pearloom.binary.isup import Code, Message, Type
from pearloom.core.config import Address
from pearloom.fakes.reading import messages
from pearloom.fakes.rules import SLACK_MS

INTERVAL_S = 0.005
MAX_PLAYS = 5
TEST_MESSAGE = isup.encode(Message(Type.TEST, "00000000000000ff", {int(Code.CAUSE): b"\x00"}))


class RoundTrips:
    """Sends test messages one after another and keeps the longest time to a reply."""

    def __init__(self, address: Address) -> None:
        self._sock = socket.create_connection(address, timeout=5)
        self._sock.settimeout(None)
        self.longest_ms = 0.0
        self._running = gevent.spawn(self._measure)

    def _measure(self) -> None:
        replies = messages(self._sock, isup.Decoder())
        while True:
            begun_s = time.time()
            self._sock.sendall(TEST_MESSAGE)
            next(replies)
            gevent.sleep(INTERVAL_S)
            self.longest_ms = max(self.longest_ms, (time.time() - begun_s - INTERVAL_S) * 1000.0)

    def close(self) -> None:
        self._running.kill()
        self._sock.close()


@contextmanager
def measured_round_trips(address: Address) -> Iterator[RoundTrips]:
    round_trips = RoundTrips(address)
    try:
        yield round_trips
    finally:
        round_trips.close()


def play_without_a_stop(play: Callable[[], RoundTrips]) -> None:
    """Play until no round trip took as long as the slack of a time limit: the last play is then to be judged.

    A play with a longer one shows nothing of that limit, whatever its outcome."""
    if not any(play().longest_ms < SLACK_MS for _ in range(MAX_PLAYS)):
        pytest.fail("the machine stopped the softswitch or the fakes in each play")
