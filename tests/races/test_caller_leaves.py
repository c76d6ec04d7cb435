"""No attempt starts for a caller that has closed, reset or given up, wherever its set-up waited."""

from __future__ import annotations

import contextlib
import time

import gevent
import pytest
from gevent import socket

from pearloom.core.connection import OutboundMessage
from tests.player import encode
from tests.races.harness import CALL, RELEASE_MS, Harness, connects_blocked, harness, leave, set_up

__all__ = ["harness"]
WAYS_TO_LEAVE = ["close", "reset", "give up", "half-close"]
INVITE = b"INVITE "
FULL_FOR_S = (
    2.0  # several probes of a full window: the first comes after 0.2 s, each interval is twice as long
)


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_no_attempt_on_a_server_connection_that_opens_after_the_caller_left(
    harness: Harness, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    with connects_blocked(monkeypatch) as unblocked:
        harness.play_steps(("s1", "resets", ""), ("s2", "resets", ""), ("log", "", "server_closed"))
        harness.play_steps(("c1", ">", set_up()))
        harness.settle()
        leave(harness, how)
        harness.settle()
        unblocked.set()
        harness.play_steps(("s1", "opens", ""))
    assert INVITE not in harness.received_by("s1")


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_no_second_attempt_for_a_caller_that_left_during_the_pause_before_it(
    harness: Harness, how: str
) -> None:
    harness.play_steps(("c1", ">", set_up()))
    harness.await_invite("s1")
    error_response = f"SIP/2.0 504 Broke\r\nCall-ID: {CALL}\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n"
    harness.peers["s1"].sendall(error_response.encode())
    assert INVITE not in harness.received_by("s1")
    leave(harness, how)
    harness.settle()
    harness.advance_ms(RELEASE_MS)
    assert INVITE not in harness.received_by("s1") + harness.received_by("s2")


def test_no_second_attempt_for_a_caller_whose_close_is_unread(harness: Harness) -> None:
    """Guards against a timer that runs before the close is read, as after a suspension of the process."""
    harness.play_steps(("c1", ">", set_up()))
    harness.await_invite("s1")
    error_response = f"SIP/2.0 504 Broke\r\nCall-ID: {CALL}\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n"
    harness.peers["s1"].sendall(error_response.encode())
    assert INVITE not in harness.received_by("s1")
    leave(harness, "close")
    harness.step("clock", str(RELEASE_MS), "")  # no greenlet has run since the close
    assert INVITE not in harness.received_by("s1") + harness.received_by("s2")


def test_a_close_after_pipelined_set_ups_is_noticed_before_they_are_sent(harness: Harness) -> None:
    calls = [f"{number:016x}" for number in range(1, 40)]
    harness.peers["c1"].sendall(b"".join(encode(set_up(call)) for call in calls))
    leave(harness, "close")
    assert INVITE not in harness.received_by("s1") + harness.received_by("s2")
    assert harness.softswitch.counters.get("attempts") == 0


def test_a_half_closed_caller_receives_the_answer_of_the_attempt_in_progress(harness: Harness) -> None:
    """A caller that closed only its sending half is owed an answer: that of the attempt in progress."""
    harness.play_steps(("c1", ">", set_up()))
    harness.await_invite("s1")
    leave(harness, "half-close")
    harness.settle()
    answer = f"SIP/2.0 200 OK\r\nCall-ID: {CALL}\r\nCSeq: 1 INVITE\r\nContent-Length: 5\r\n\r\nsdp-s"
    harness.peers["s1"].sendall(answer.encode())
    harness.play_steps(("c1", "<", f'(09 {CALL} 30("sdp-s"))'), ("c1", "closed", ""))


def test_a_half_closed_caller_whose_set_up_waits_for_a_server_is_refused_at_once(harness: Harness) -> None:
    empty_list = "[0000000000000002 01 ]"
    harness.play_steps(("co", "opens", ""), ("co", ">", empty_list), ("log", "", "list index=2"))
    harness.play_steps(("c1", ">", set_up()))
    harness.settle()
    leave(harness, "half-close")
    harness.play_steps(("c1", "<", f'(0c {CALL} 2d(2a) 15("1000"))'), ("c1", "closed", ""))


def test_set_ups_after_the_message_that_closed_the_connection_are_ignored(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against calls that nothing ends: their caller's connection was closed while they were read."""
    caller = next(iter(harness.softswitch.callers._connections))
    send = caller.connection.send

    def too_slow(message: OutboundMessage) -> None:
        send(message)
        caller.connection.close("reader too slow")

    monkeypatch.setattr(caller.connection, "send", too_slow)
    harness.peers["c1"].sendall(encode("(34 00000000000000ff 2d(00))" + set_up()))
    harness.play_steps(("c1", "closed", ""))
    assert harness.softswitch.exchange.open_calls == 0
    assert INVITE not in harness.received_by("s1") + harness.received_by("s2")


def fill_until_no_room_is_made(sock: socket.socket) -> int:
    """Send until the system takes nothing more; returns the number of bytes.

    The peer reads nothing, but its kernel makes more room when the sender's probes of a full window arrive:
    the connection counts as full once none was made for `FULL_FOR_S`."""
    filled = 0
    full_since_s = time.monotonic()
    with gevent.Timeout(30, TimeoutError("the system goes on to make room")):
        while time.monotonic() - full_since_s < FULL_FOR_S:
            with contextlib.suppress(BlockingIOError):
                while True:
                    filled += sock.send(b"\r\n" * 2000, 0, 0.0)  # type: ignore[call-arg]
                    full_since_s = time.monotonic()
            gevent.sleep(0.02)
    return filled


def test_a_set_up_queued_to_a_server_that_reads_nothing_is_withdrawn(harness: Harness) -> None:
    """Guards against a set-up sent when a blocked connection accepts bytes again, its caller long gone."""
    server = harness.peers["s1"]
    link = harness.softswitch.servers._trunks["s-00000001"]._links.newest()  # type: ignore[attr-defined]
    softswitch_end = link.connection._sock
    softswitch_end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    filled = fill_until_no_room_is_made(softswitch_end)
    harness.play_steps(("c1", ">", set_up()))
    harness.settle()
    leave(harness, "give up")
    harness.settle()
    with gevent.Timeout(5):
        while filled:
            filled -= len(server.recv(min(filled, 65536)))
    assert INVITE not in harness.received_by("s1")
