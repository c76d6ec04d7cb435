"""One softswitch with its surroundings on loopback, and gates at which a test holds it to force an order."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from pearloom.sip import connecting, trunk
from tests.player import Player

CALL, SECOND = "9b1f03aa5c7e2d41", "1111111111111111"
OPTIONS = "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: 00000000000000ff\r\nCSeq: 7 OPTIONS\r\n"
FENCE = b"CSeq: 7 OPTIONS\r\nContent-Length: 0\r\n\r\n"
RELEASE_MS = 365  # the settings' pause after doubt, with the margin and the step of time


def set_up(call: str = CALL, first: int = 0, kind: str = "open-form") -> str:
    """A set-up in the notation of recordings."""
    return (
        f'(01 {call} 03("{kind}") 06("3000") 0f("7f3a9c21e0b4d655") '
        f'12("dest:{first};width:1;via:-1") 30("sdp-c"))'
    )


class Scene(Player):
    """A player with words for what the tests of races do again and again."""

    def do(self, *steps: tuple[str, str, str]) -> None:
        """Play steps as a recording would."""
        with gevent.Timeout(5, TimeoutError("nothing came")):
            for who, verb, rest in steps:
                self.step(who, verb, rest)

    def invited(self, server: str) -> None:
        """Wait for an INVITE on this server's connection."""
        got = b""
        with gevent.Timeout(5, TimeoutError("no INVITE")):
            while not (b"INVITE " in got and got.endswith(b"sdp-c")):
                got += self.peers[server].recv(65536)

    def settle(self) -> None:
        """Return once the softswitch has dealt with all that came to it before: it answers another's test."""
        for _ in range(2):
            self.do(("c2", ">", "(34 00000000000000ff 2d(00))"), ("c2", "<", "(35 00000000000000ff 2d(01))"))

    def received_by(self, server: str) -> bytes:
        """All that this server's connection has brought, up to the answer to a test sent now.

        What the softswitch has queued there goes ahead of that answer, so an INVITE can't hide behind it."""
        self.settle()
        sock = self.peers[server]
        sock.sendall(OPTIONS.encode() + b"Content-Length: 0\r\n\r\n")
        got = b""
        with gevent.Timeout(5, TimeoutError("no answer to a test")):
            while FENCE not in got:
                got += sock.recv(65536)
        return got

    def pass_ms(self, passed: float) -> None:
        """Let time go on and everybody have a turn."""
        self.step("clock", str(passed), "")
        self.settle()


@pytest.fixture
def scene(tmp_path: Path) -> Iterator[Scene]:
    """Two servers connected, one caller, nothing under way."""
    found = Scene(tmp_path)
    try:
        found.do(("s1", "opens", ""), ("s2", "opens", ""), ("c1", "opens", ""), ("c2", "opens", ""))
        yield found
    finally:
        found.close()


@contextmanager
def dials_held(monkeypatch: pytest.MonkeyPatch) -> Iterator[Event]:
    """Connections to servers come up only once the event is set."""
    gate, connect = Event(), connecting.connect

    def held(address: tuple[str, int], timeout_s: float) -> object:
        gate.wait()
        return connect(address, timeout_s)

    with monkeypatch.context() as patch:
        patch.setattr(trunk, "connect", held)
        yield gate
        gate.set()


def leave(scene: Scene, how: str, call: str = CALL) -> None:
    """The caller c1 goes, in one of the ways in which callers go."""
    if how == "give up":
        scene.do(("c1", ">", f"(0c {call} 2d(10))"))
    elif how == "reset":
        scene.do(("c1", "resets", ""))
    else:
        sock: socket.socket = scene.peers["c1"]
        if how == "close":
            sock.close()
        else:
            sock.shutdown(socket.SHUT_WR)
