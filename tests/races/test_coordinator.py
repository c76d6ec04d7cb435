"""A coordinator that falls silent, repeats list events, sends old ones or moves to another address."""

from __future__ import annotations

import errno

import gevent
import pytest
from gevent import socket as gevent_socket

from pearloom.servers import coordinator
from tests.player import encode
from tests.races.harness import Harness, harness, set_up

__all__ = ["harness"]
REQUEST_FROM_1 = "0000000000000001"
DRAINING_1 = "02 00000001 {a1} {p1} 01 00 00 0000 000003e8 0000000000000000"
READY_1 = "02 00000001 {a1} {p1} 00 00 00 0000 000003e8 0000000000000000"


def test_a_stream_that_never_completes_a_frame_is_requested_again(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against single bytes that make a silent stream look alive."""
    monkeypatch.setattr(coordinator, "FRAME_TIMEOUT_S", 0.2)
    harness.play_steps(("co", "opens", ""), ("co", "<", REQUEST_FROM_1), ("co", ">", "[0000000000000000 00]"))
    first_stream = harness.peers["co"]
    frame = encode(harness.substitute(f"[0000000000000002 {DRAINING_1}]"))

    def trickle() -> None:
        for byte in frame[:-1]:
            first_stream.send(bytes([byte]))
            gevent.sleep(0.05)

    with gevent.Timeout(5, TimeoutError("no second request")):
        sender = gevent.spawn(trickle)
        harness.step("co", "opens", "again")
        harness.step("again", "<", REQUEST_FROM_1)
        sender.kill()


def test_a_frame_that_comes_late_on_a_silent_stream_is_applied(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a slow coordinator that is never heard: each stream was closed before its frames came.

    The stream that brings a frame first is kept, and no other."""
    monkeypatch.setattr(coordinator, "FRAME_TIMEOUT_S", 0.2)
    harness.play_steps(("co", "opens", "first"), ("first", "<", REQUEST_FROM_1))
    harness.play_steps(("co", "opens", "second"), ("second", "<", REQUEST_FROM_1))
    monkeypatch.setattr(coordinator, "FRAME_TIMEOUT_S", 60.0)
    harness.play_steps(("first", ">", f"[0000000000000002 {DRAINING_1}]"), ("log", "", "list index=2"))
    harness.play_steps(("second", "closed", ""), ("first", ">", f"[0000000000000003 {READY_1}]"))
    harness.play_steps(("log", "", "list index=3"))


def test_a_silent_coordinator_has_four_streams_at_most(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against descriptors and load that grow for as long as the coordinator is silent."""
    monkeypatch.setattr(coordinator, "FRAME_TIMEOUT_S", 0.1)
    for number in range(coordinator.MAX_STREAMS + 1):
        harness.play_steps(("co", "opens", f"stream {number}"))
        harness.peers[f"stream {number}"].recv(8)
    harness.play_steps(("stream 0", "closed", ""))


def test_a_move_without_a_free_descriptor_is_taken_up_once_there_is_one(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a busy loop, in which nothing else runs, from a move until a descriptor is free."""

    def fail_without_descriptor(*arguments: int) -> None:
        raise OSError(errno.EMFILE, "Too many open files")

    harness.play_steps(("co", "opens", ""), ("co", "<", REQUEST_FROM_1))
    with monkeypatch.context() as patch:
        patch.setattr(gevent_socket, "socket", fail_without_descriptor)
        harness.step("sighup", "cp", "")
        harness.play_steps(("log", "", "coordinator_lost"))
    harness.play_steps(("cp", "opens", ""), ("cp", "<", REQUEST_FROM_1))


def test_a_frame_cut_by_a_move_of_the_coordinator_is_requested_again(harness: Harness) -> None:
    harness.play_steps(("co", "opens", ""), ("co", "<", REQUEST_FROM_1))
    frame = encode(harness.substitute(f"[0000000000000002 {DRAINING_1}]"))
    harness.peers["co"].sendall(frame[:20])
    harness.settle()
    harness.play_steps(("sighup", "cp", ""), ("cp", "opens", ""), ("cp", "<", REQUEST_FROM_1))
    harness.peers["cp"].sendall(frame)
    harness.play_steps(("log", "", "list index=2"))


@pytest.mark.parametrize("old_event", [READY_1, "01"])
def test_a_repeated_or_older_list_event_changes_nothing(harness: Harness, old_event: str) -> None:
    """Guards against new set-ups to a draining server because an old list event was repeated."""
    harness.play_steps(
        ("co", "opens", ""), ("co", ">", f"[0000000000000003 {DRAINING_1}]"), ("log", "", "list index=3")
    )
    for number in (1, 2, 3):
        harness.play_steps(("co", ">", f"[{number:016x} {old_event}]"))
    harness.play_steps(("co", ">", "[0000000000000000 00]"))
    harness.settle()
    harness.play_steps(("c1", ">", set_up()))
    harness.await_invite("s2")
    assert harness.softswitch.coordinator.index == 3
    assert harness.softswitch.counters.get("list_events_in") == 1


def test_with_an_empty_list_a_set_up_waits_until_the_next_list(harness: Harness) -> None:
    harness.play_steps(
        ("co", "opens", ""), ("co", ">", "[0000000000000002 01]"), ("log", "", "list index=2 whole=True")
    )
    harness.play_steps(("c1", ">", set_up()))
    assert b"INVITE " not in harness.received_by("s1") + harness.received_by("s2")
    harness.play_steps(("co", ">", f"[0000000000000003 {READY_1}]"), ("log", "", "list index=3"))
    harness.await_invite("s1")  # the set-up waited, and is sent at once
