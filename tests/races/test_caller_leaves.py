"""No attempt begins for a caller that has closed, reset or given up, wherever its set-up waited."""

from __future__ import annotations

import contextlib

import gevent
import pytest
from gevent import socket

from pearloom.core.connection import OutboundMessage
from tests.player import encode
from tests.races.scene import CALL, RELEASE_MS, Scene, dials_held, leave, scene, set_up

__all__ = ["scene"]
WAYS = ["close", "reset", "give up", "half-close"]
INVITE = b"INVITE "


@pytest.mark.parametrize("how", WAYS)
def test_not_sent_on_a_connection_that_comes_up_after_the_caller_left(
    scene: Scene, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    with dials_held(monkeypatch) as gate:
        scene.do(("s1", "resets", ""), ("s2", "resets", ""), ("log", "", "server_closed"))
        scene.do(("c1", ">", set_up()))
        scene.settle()
        leave(scene, how)
        scene.settle()
        gate.set()
        scene.do(("s1", "opens", ""))
    assert INVITE not in scene.received_by("s1")


@pytest.mark.parametrize("how", WAYS)
def test_no_second_attempt_after_the_pause_for_a_caller_that_left_in_it(scene: Scene, how: str) -> None:
    scene.do(("c1", ">", set_up()))
    scene.invited("s1")
    broke = f"SIP/2.0 504 Broke\r\nCall-ID: {CALL}\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n"
    scene.peers["s1"].sendall(broke.encode())
    assert INVITE not in scene.received_by("s1")
    leave(scene, how)
    scene.settle()
    scene.pass_ms(RELEASE_MS)
    assert INVITE not in scene.received_by("s1") + scene.received_by("s2")


def test_no_second_attempt_for_a_caller_whose_close_is_not_read_yet(scene: Scene) -> None:
    """Guards against a timer that comes before the close is read, as after a time of standing still."""
    scene.do(("c1", ">", set_up()))
    scene.invited("s1")
    broke = f"SIP/2.0 504 Broke\r\nCall-ID: {CALL}\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n"
    scene.peers["s1"].sendall(broke.encode())
    assert INVITE not in scene.received_by("s1")
    leave(scene, "close")
    scene.step("clock", str(RELEASE_MS), "")  # nobody has had a turn since the close
    assert INVITE not in scene.received_by("s1") + scene.received_by("s2")


def test_a_close_behind_pipelined_set_ups_is_seen_before_they_are_sent(scene: Scene) -> None:
    calls = [f"{number:016x}" for number in range(1, 40)]
    scene.peers["c1"].sendall(b"".join(encode(set_up(call)) for call in calls))
    leave(scene, "close")
    assert INVITE not in scene.received_by("s1") + scene.received_by("s2")
    assert scene.softswitch.counters.get("attempts") == 0


def test_a_half_closed_caller_hears_of_the_attempt_that_is_out(scene: Scene) -> None:
    """A caller that only closed its sending half is owed an answer; it gets that of the attempt at work."""
    scene.do(("c1", ">", set_up()))
    scene.invited("s1")
    leave(scene, "half-close")
    scene.settle()
    good = f"SIP/2.0 200 OK\r\nCall-ID: {CALL}\r\nCSeq: 1 INVITE\r\nContent-Length: 5\r\n\r\nsdp-s"
    scene.peers["s1"].sendall(good.encode())
    scene.do(("c1", "<", f'(09 {CALL} 30("sdp-s"))'), ("c1", "closed", ""))


def test_a_half_closed_caller_that_waits_for_a_gate_is_refused_at_once(scene: Scene) -> None:
    empty = "[0000000000000002 01 ]"
    scene.do(("co", "opens", ""), ("co", ">", empty), ("log", "", "list index=2"))
    scene.do(("c1", ">", set_up()))
    scene.settle()
    leave(scene, "half-close")
    scene.do(("c1", "<", f'(0c {CALL} 2d(2a) 15("1000"))'), ("c1", "closed", ""))


def test_set_ups_behind_the_message_at_which_a_connection_was_closed_are_not_offered(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against calls that nobody can end: their caller's connection was closed while they were read."""
    caller = next(iter(scene.softswitch.callers._connections))
    send = caller.connection.send

    def too_slow(message: OutboundMessage) -> None:
        send(message)
        caller.connection.close("reader too slow")

    monkeypatch.setattr(caller.connection, "send", too_slow)
    scene.peers["c1"].sendall(encode("(34 00000000000000ff 2d(00))" + set_up()))
    scene.do(("c1", "closed", ""))
    assert scene.softswitch.exchange.open_calls == 0
    assert INVITE not in scene.received_by("s1") + scene.received_by("s2")


def test_a_set_up_that_waits_for_a_server_that_takes_nothing_is_withdrawn(scene: Scene) -> None:
    """Guards against a set-up sent on when a blocked connection takes bytes again, its caller long gone."""
    server = scene.peers["s1"]
    link = scene.softswitch.servers._trunks["s-00000001"]._links.newest()  # type: ignore[attr-defined]
    near = link.connection._sock
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    filled = 0
    for _ in range(20):  # the far end reads nothing, yet its system may make room once more
        with contextlib.suppress(BlockingIOError):
            while True:
                filled += near.send(b"\r\n" * 2000, 0, 0.0)
        scene.settle()
    scene.do(("c1", ">", set_up()))
    scene.settle()
    leave(scene, "give up")
    scene.settle()
    with gevent.Timeout(5):
        while filled:
            filled -= len(server.recv(min(filled, 65536)))
    assert INVITE not in scene.received_by("s1")
