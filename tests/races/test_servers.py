"""Session servers whose connections open late, end at the worst moment, or move while being dialled."""

from __future__ import annotations

import errno
import time

import gevent
import pytest
from gevent import select
from gevent import socket as gevent_socket

from pearloom.core import connection as core_connection
from pearloom.core.calls import NullCaller, SetUpRequest
from pearloom.core.connection import Connection, OutboundMessage
from pearloom.core.queue_budget import QueueBudget
from pearloom.core.turns import TurnQueue
from tests.player import START_MS, encode
from tests.races.harness import CALL, SECOND, Harness, connects_blocked, harness, set_up
from tests.races.test_outages import establish, send_bye

__all__ = ["harness"]
ANSWER = f"SIP/2.0 200 OK\r\nCall-ID: {CALL}\r\nCSeq: 1 INVITE\r\nContent-Length: 5\r\n\r\nsdp-s".encode()
NO_BODY = b"Content-Length: 0\r\n\r\n"
ESTABLISHED = f'(09 {CALL} 30("sdp-s"))'


def test_a_server_is_dialled_again_after_a_shortage_of_descriptors(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a server that is never dialled again after one socket could not be created."""
    harness.play_steps(("s1", "resets", ""), ("log", "", "server_closed"))

    def fail_without_descriptor(*arguments: int) -> None:
        raise OSError(errno.EMFILE, "Too many open files")

    with monkeypatch.context() as patch:
        patch.setattr(gevent_socket, "socket", fail_without_descriptor)
        harness.softswitch.servers._trunks["s-00000001"].dial()
        harness.play_steps(("log", "", "dial_failed"))
    harness.softswitch.servers._trunks["s-00000001"].dial()
    harness.play_steps(("s1", "opens", ""))


def test_a_server_that_moved_while_being_dialled_is_dialled_at_its_new_address(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The list gives server 1 the address of server 3.
    moved = "[0000000000000002 02 00000001 {a3} {p3} 00 00 00 0000 000003e8 0000000000000000]"
    harness.play_steps(("co", "opens", ""), ("s1", "resets", ""), ("log", "", "server_closed"))
    with connects_blocked(monkeypatch) as unblocked:
        harness.play_steps(("c1", ">", set_up()))
        harness.settle()
        harness.play_steps(("co", ">", moved), ("log", "", "list index=2"))
        unblocked.set()
        harness.play_steps(("s3", "opens", ""))
    harness.await_invite("s3")


def test_no_second_connection_to_a_server_when_descriptors_are_scarce(harness: Harness) -> None:
    """Guards against server connections that leave no descriptors for the coordinator and operators."""
    harness.softswitch.servers._most_connections = 2  # one for each server
    draining_2 = "[0000000000000002 02 00000002 {a2} {p2} 01 00 00 0001 000003e8 0000000000000000]"
    harness.play_steps(
        ("co", "opens", ""), ("co", ">", draining_2), ("log", "", "list index=2"), ("c1", ">", set_up())
    )
    harness.await_invite("s1")
    harness.play_steps(("c1", ">", set_up(SECOND, class_name="save-answers")))
    harness.await_invite("s1")
    harness.settle()
    assert [trunk.connections for trunk in harness.softswitch.servers._trunks.values()] == [1, 1]


def test_a_complete_list_without_a_server_leaves_its_open_attempt_running(harness: Harness) -> None:
    complete_list = "[0000000000000002 01 00000002 {a2} {p2} 00 00 00 0001 000003e8 0000000000000000]"
    harness.play_steps(("co", "opens", ""), ("c1", ">", set_up()))
    harness.await_invite("s1")
    harness.play_steps(("co", ">", complete_list), ("log", "", "list index=2 whole=True"))
    harness.peers["s1"].sendall(ANSWER)
    harness.play_steps(("c1", "<", ESTABLISHED))
    harness.play_steps(("c2", ">", set_up(SECOND)))
    harness.await_invite("s2")  # the first choice is no longer listed


def test_a_set_up_that_timed_out_while_a_connection_opened_is_not_sent(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a set-up that is sent before its time-out is checked, as after a suspension."""
    with connects_blocked(monkeypatch) as unblocked:
        harness.play_steps(("s1", "resets", ""), ("log", "", "server_closed"), ("c1", ">", set_up()))
        harness.settle()
        harness.clock.set_ms(harness.clock.now_ms() + 3000)  # no timer has run
        unblocked.set()
        harness.play_steps(("s1", "opens", ""))
    assert b"INVITE " not in harness.received_by("s1")


def test_a_set_up_for_a_connection_with_an_unread_close_is_sent_on_a_new_one_at_once(
    harness: Harness,
) -> None:
    """Guards against an uncertain attempt, and its pause, where the closed connection delivered nothing."""
    harness.peers["s1"].close()
    request = SetUpRequest(CALL, 0, "open-form", "7f3a9c21e0b4d655", b"sdp-c", 3000.0, 0)
    harness.softswitch.exchange.handle_set_up(request, NullCaller())  # no greenlet has run since the close
    harness.play_steps(("s1", "opens", ""))
    harness.await_invite("s1")


def test_an_idle_connection_is_closed_before_its_server_closes_it(harness: Harness) -> None:
    """Guards against set-ups that cross the server's close, which short idle times make frequent."""
    trunk = harness.softswitch.servers._trunks["s-00000001"]
    trunk._links._idle_ms = 2000.0  # type: ignore[attr-defined]
    harness.play_steps(("c1", ">", set_up()))
    harness.await_invite("s1")
    harness.advance_ms(1900)
    assert trunk.connections == 1, "an attempt is in progress on it"
    harness.peers["s1"].sendall(ANSWER)
    harness.play_steps(("c1", "<", ESTABLISHED), ("clock", "1900", ""))
    harness.peers["s1"].sendall(f"BYE sip:x SIP/2.0\r\nCall-ID: {CALL}\r\nCSeq: 9 BYE\r\n".encode() + NO_BODY)
    harness.play_steps(("c1", "<", f"(0c {CALL} 2d(10))"), ("clock", "1900", ""))
    harness.settle()
    assert trunk.connections == 1, "it was used less than 2 s ago"
    harness.advance_ms(200)
    harness.settle()
    assert trunk.connections == 0


def test_an_answer_followed_at_once_by_a_close_establishes_the_call(harness: Harness) -> None:
    harness.play_steps(("c1", ">", set_up()))
    harness.await_invite("s1")
    harness.peers["s1"].sendall(ANSWER)
    harness.peers["s1"].close()
    harness.play_steps(("c1", "<", ESTABLISHED))


def test_data_before_a_close_is_read_even_if_a_write_fails_first() -> None:
    """Guards against an answer lost because the next message failed on the close before it was read."""
    listener = gevent_socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    far = gevent_socket.create_connection(listener.getsockname())
    near, _ = listener.accept()
    read: list[bytes] = []
    closed: list[str] = []
    connection = Connection(
        near,
        read.append,
        lambda: None,
        lambda reason, _: closed.append(reason),
        QueueBudget(1.0),
        TurnQueue(),
    )
    connection.start()
    gevent.sleep(0)
    far.sendall(b"answer")
    far.close()
    near.send(b"x")  # the far end replies with a reset, which arrives while no greenlet runs here
    time.sleep(0.02)
    connection.send(OutboundMessage(b"y"))
    with gevent.Timeout(5):
        while not closed:
            gevent.sleep(0.01)
    assert read == [b"answer"]


def test_a_write_that_the_peer_never_accepts_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(core_connection, "WRITE_TIMEOUT_S", 0.1)
    listener = gevent_socket.socket()
    listener.setsockopt(gevent_socket.SOL_SOCKET, gevent_socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    far = gevent_socket.create_connection(listener.getsockname())
    near, _ = listener.accept()
    far.setsockopt(gevent_socket.SOL_SOCKET, gevent_socket.SO_SNDBUF, 4096)
    closed: list[str] = []
    connection = Connection(
        far,
        lambda data: None,
        lambda: None,
        lambda reason, _: closed.append(reason),
        QueueBudget(1.0),
        TurnQueue(),
    )
    connection.start()
    for _ in range(15):
        connection.send(OutboundMessage(b"x" * 8000))
    with gevent.Timeout(5):
        while not closed:
            gevent.sleep(0.01)
    assert closed == ["TimeoutError"]
    near.close()


@pytest.mark.parametrize("split_at", range(1, len(ANSWER), 7))
def test_an_answer_in_two_segments_is_one_answer(harness: Harness, split_at: int) -> None:
    harness.play_steps(("c1", ">", set_up()))
    harness.await_invite("s1")
    harness.peers["s1"].sendall(ANSWER[:split_at])
    harness.settle()
    harness.peers["s1"].sendall(ANSWER[split_at:] + ANSWER)  # followed by a duplicate in the same segment
    harness.play_steps(("c1", "<", ESTABLISHED))
    harness.settle()
    assert harness.softswitch.counters.get("answers_out") == 1


def test_a_set_up_in_segments_of_one_byte_is_one_set_up(harness: Harness) -> None:
    for byte in encode(set_up()):
        harness.peers["c1"].sendall(bytes([byte]))
        harness.settle()
    harness.await_invite("s1")
    assert harness.softswitch.counters.get("set_ups_in") == 1


def test_a_flood_of_set_ups_and_withdrawals_leaves_no_call_behind(harness: Harness) -> None:
    calls = [f"{number:016x}" for number in range(1, 200)]
    flood = "".join(set_up(call) for call in calls) + "".join(f"(0c {call} 2d(10))" for call in calls)
    harness.peers["c1"].sendall(encode(flood))
    with gevent.Timeout(5):
        while (
            harness.softswitch.counters.get("set_ups_in") < len(calls)
            or harness.softswitch.exchange.open_calls
        ):
            harness.settle()
    assert not harness.softswitch.exchange._calls


@pytest.mark.parametrize("released_ms", [0.0, 50.0, 700.0])
def test_a_release_that_is_lost_with_a_mute_connection_comes_within_1_s(
    harness: Harness, released_ms: float
) -> None:
    """Guards against a release that waits until the connection that lost it is closed.

    `released_ms`: from when the connection is mute; the server repeats the release on the next one."""
    harness.play_steps(("c1", ">", set_up()))
    harness.await_invite("s1")
    harness.peers["s1"].sendall(ANSWER)
    harness.play_steps(("c1", "<", ESTABLISHED), ("c1", ">", set_up(SECOND)))
    harness.await_invite("s1")
    harness.advance_ms(150.0)
    if not released_ms:
        released_at_ms = harness.clock.now_ms()
    harness.play_steps(("c1", ">", f"(0c {SECOND} 2d(10))"), ("c1", "<", f"(10 {SECOND})"))
    if released_ms:
        harness.advance_ms(0.0)
        harness.play_steps(("s1", "opens", "first"))
        harness.advance_ms(released_ms)
        released_at_ms = harness.clock.now_ms()
    with gevent.Timeout(5, TimeoutError("no new connection")):
        while not select.select([harness.listeners["s1"]], [], [], 0.05)[0]:
            assert harness.clock.now_ms() < released_at_ms + 1_000.0, "no new connection within 1 s"
            harness.advance_ms(50.0)
    harness.play_steps(("s1", "opens", "next"))
    bye = f"BYE sip:x SIP/2.0\r\nCall-ID: {CALL}\r\nCSeq: 9 BYE\r\n".encode() + NO_BODY
    harness.peers["next"].sendall(bye)
    harness.play_steps(("c1", "<", f"(0c {CALL} 2d(10))"))


def test_a_release_that_crosses_the_close_of_a_moved_calls_connection_comes_within_1_s(
    harness: Harness,
) -> None:
    """Guards against a release lost with the connections of a gone id, whose calls moved to the next."""
    establish(harness, CALL)
    gone_and_next = (
        "[0000000000000002 02 00000001 {a1} {p1} 02 00 00 0000 000003e8 0000000000000000 "
        f"00000009 {{a1}} {{p1}} 00 00 00 0000 000003e8 {int(START_MS) - 1:016x}]"
    )
    harness.play_steps(("co", "opens", ""), ("co", ">", gone_and_next), ("log", "", "list index=2"))
    harness.play_steps(("s1", "opens", "first of the next id"))
    harness.advance_ms(150.0)
    harness.play_steps(("log", "", "calls_moved"))
    while harness.peers["s1"].recv(65536):
        pass  # until the softswitch has closed it
    closed_ms = harness.clock.now_ms()
    with gevent.Timeout(5, TimeoutError("no new connection")):
        while not select.select([harness.listeners["s1"]], [], [], 0.05)[0]:
            assert harness.clock.now_ms() < closed_ms + 1_000.0, "no new connection within 1 s"
            harness.advance_ms(50.0)
    harness.play_steps(("s1", "opens", "next"))
    send_bye(harness, "next", CALL)
    harness.play_steps(("c1", "<", f"(0c {CALL} 2d(10))"))
