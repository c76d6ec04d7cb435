"""A softswitch with fake peers on loopback, and means to block it so that events come in a chosen order."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from pearloom.sip import connecting, dialler
from tests.player import Player

CALL, SECOND = "9b1f03aa5c7e2d41", "1111111111111111"
OPTIONS = "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: 00000000000000ff\r\nCSeq: 7 OPTIONS\r\n"
OPTIONS_REPLY_END = b"CSeq: 7 OPTIONS\r\nContent-Length: 0\r\n\r\n"
RELEASE_MS = 365  # the settings' pause after an uncertain attempt, with the margin and the time step


def set_up(call: str = CALL, first_choice: int = 0, class_name: str = "open-form") -> str:
    """Return a set-up in the notation of recordings."""
    return (
        f'(01 {call} 03("{class_name}") 06("3000") 0f("7f3a9c21e0b4d655") '
        f'12("dest:{first_choice};width:1;via:-1") 30("sdp-c"))'
    )


class Harness(Player):
    """A player with methods for the steps that the race tests have in common."""

    def play_steps(self, *steps: tuple[str, str, str]) -> None:
        """Play steps as a recording does."""
        with gevent.Timeout(5, TimeoutError("no reply")):
            for party, verb, rest in steps:
                self.step(party, verb, rest)

    def await_invite(self, server: str) -> None:
        """Wait for an INVITE on this server's connection."""
        received = b""
        with gevent.Timeout(5, TimeoutError("no INVITE")):
            while not (b"INVITE " in received and received.endswith(b"sdp-c")):
                received += self.peers[server].recv(65536)

    def settle(self) -> None:
        """Wait until two test messages are answered, so that all data sent before has been processed."""
        for _ in range(2):
            self.play_steps(
                ("c2", ">", "(34 00000000000000ff 2d(00))"), ("c2", "<", "(35 00000000000000ff 2d(01))")
            )

    def received_by(self, server: str) -> bytes:
        """Return all that this server received, up to the reply to an OPTIONS request sent now.

        The reply follows everything that the softswitch has queued there, so no INVITE can be missed."""
        self.settle()
        sock = self.peers[server]
        sock.sendall(OPTIONS.encode() + b"Content-Length: 0\r\n\r\n")
        received = b""
        with gevent.Timeout(5, TimeoutError("no reply to OPTIONS")):
            while OPTIONS_REPLY_END not in received:
                received += sock.recv(65536)
        return received

    def advance_ms(self, elapsed_ms: float) -> None:
        """Advance the clock, run the timers that are due, and let all greenlets run."""
        self.step("clock", str(elapsed_ms), "")
        self.settle()


@pytest.fixture
def harness(tmp_path: Path) -> Iterator[Harness]:
    """Start a softswitch with two connected servers, two callers and no calls."""
    started = Harness(tmp_path)
    try:
        started.play_steps(("s1", "opens", ""), ("s2", "opens", ""), ("c1", "opens", ""), ("c2", "opens", ""))
        yield started
    finally:
        started.close()


@contextmanager
def connects_blocked(monkeypatch: pytest.MonkeyPatch) -> Iterator[Event]:
    """Block connects to servers until the event is set."""
    unblocked, connect = Event(), connecting.connect

    def blocked(address: tuple[str, int], timeout_s: float) -> object:
        unblocked.wait()
        return connect(address, timeout_s)

    with monkeypatch.context() as patch:
        patch.setattr(dialler, "connect", blocked)
        yield unblocked
        unblocked.set()


def leave(harness: Harness, how: str, call: str = CALL) -> None:
    """Let the caller c1 leave by giving up, a reset, a close or a half-close."""
    if how == "give up":
        harness.play_steps(("c1", ">", f"(0c {call} 2d(10))"))
    elif how == "reset":
        harness.play_steps(("c1", "resets", ""))
    else:
        sock: socket.socket = harness.peers["c1"]
        if how == "close":
            sock.close()
        else:
            sock.shutdown(socket.SHUT_WR)
