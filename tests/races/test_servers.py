"""Session servers whose connections come up late, end at the wrong instant or move while they are dialled."""

from __future__ import annotations

import errno
import time

import gevent
import pytest
from gevent import socket as gevent_socket

from pearloom.core import connection as core_connection
from pearloom.core.calls import NullCaller, SetUpRequest
from pearloom.core.connection import Connection, OutboundMessage
from tests.player import encode
from tests.races.scene import CALL, SECOND, Scene, dials_held, scene, set_up

__all__ = ["scene"]
ANSWER = f"SIP/2.0 200 OK\r\nCall-ID: {CALL}\r\nCSeq: 1 INVITE\r\nContent-Length: 5\r\n\r\nsdp-s".encode()
EMPTY = b"Content-Length: 0\r\n\r\n"
STANDS = f'(09 {CALL} 30("sdp-s"))'


def test_a_server_is_dialled_again_after_a_time_without_descriptors(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a server that is never dialled again since one socket could not be made."""
    scene.do(("s1", "resets", ""), ("log", "", "server_closed"))

    def no_descriptor(*kind: int) -> None:
        raise OSError(errno.EMFILE, "Too many open files")

    with monkeypatch.context() as patch:
        patch.setattr(gevent_socket, "socket", no_descriptor)
        scene.softswitch.servers._trunks["s-00000001"].dial()
        scene.do(("log", "", "dial_failed"))
    scene.softswitch.servers._trunks["s-00000001"].dial()
    scene.do(("s1", "opens", ""))


def test_a_server_that_moved_while_it_was_dialled_is_dialled_at_its_new_address(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Server 1 is told at the address of server 3.
    moved = "[0000000000000002 02 00000001 {a3} {p3} 00 00 00 0000 000003e8 0000000000000000]"
    scene.do(("co", "opens", ""), ("s1", "resets", ""), ("log", "", "server_closed"))
    with dials_held(monkeypatch) as gate:
        scene.do(("c1", ">", set_up()))
        scene.settle()
        scene.do(("co", ">", moved), ("log", "", "list index=2"))
        gate.set()
        scene.do(("s3", "opens", ""))
    scene.invited("s3")


def test_no_second_connection_to_a_server_where_descriptors_are_short(scene: Scene) -> None:
    """Guards against many connections to servers that leave nothing for the coordinator and operators."""
    scene.softswitch.servers._most_connections = 2  # one for each server
    drains_2 = "[0000000000000002 02 00000002 {a2} {p2} 01 00 00 0001 000003e8 0000000000000000]"
    scene.do(("co", "opens", ""), ("co", ">", drains_2), ("log", "", "list index=2"), ("c1", ">", set_up()))
    scene.invited("s1")
    scene.do(("c1", ">", set_up(SECOND, kind="save-answers")))
    scene.invited("s1")
    scene.settle()
    assert [trunk.connections for trunk in scene.softswitch.servers._trunks.values()] == [1, 1]


def test_a_whole_list_that_drops_a_server_leaves_the_call_that_is_out_there(scene: Scene) -> None:
    whole = "[0000000000000002 01 00000002 {a2} {p2} 00 00 00 0001 000003e8 0000000000000000]"
    scene.do(("co", "opens", ""), ("c1", ">", set_up()))
    scene.invited("s1")
    scene.do(("co", ">", whole), ("log", "", "list index=2 whole=True"))
    scene.peers["s1"].sendall(ANSWER)
    scene.do(("c1", "<", STANDS))
    scene.do(("c2", ">", set_up(SECOND)))
    scene.invited("s2")  # the first choice is gone


def test_a_set_up_whose_time_ran_out_while_a_connection_came_up_is_not_sent(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a set-up that leaves before its time-out is looked at, as after standing still."""
    with dials_held(monkeypatch) as gate:
        scene.do(("s1", "resets", ""), ("log", "", "server_closed"), ("c1", ">", set_up()))
        scene.settle()
        scene.clock.set_ms(scene.clock.now_ms() + 3000)  # no timer has had its turn
        gate.set()
        scene.do(("s1", "opens", ""))
    assert b"INVITE " not in scene.received_by("s1")


def test_a_set_up_that_meets_a_close_not_read_yet_goes_out_on_a_new_connection_at_once(scene: Scene) -> None:
    """Guards against doubt, and its pause, over a set-up that a closed connection can't have brought."""
    scene.peers["s1"].close()
    offer = SetUpRequest(CALL, 0, "open-form", "7f3a9c21e0b4d655", b"sdp-c", 3000.0, 0)
    scene.softswitch.exchange.handle_set_up(offer, NullCaller())  # nobody has had a turn since the close
    scene.do(("s1", "opens", ""))
    scene.invited("s1")


def test_an_idle_connection_is_closed_before_its_server_does(scene: Scene) -> None:
    """Guards against set-ups that cross the server's close, where settings make that frequent."""
    trunk = scene.softswitch.servers._trunks["s-00000001"]
    trunk._links._idle_ms = 2000.0  # type: ignore[attr-defined]
    scene.do(("c1", ">", set_up()))
    scene.invited("s1")
    scene.pass_ms(1900)
    assert trunk.connections == 1, "a set-up is open on it"
    scene.peers["s1"].sendall(ANSWER)
    scene.do(("c1", "<", STANDS), ("clock", "1900", ""))
    scene.peers["s1"].sendall(f"BYE sip:x SIP/2.0\r\nCall-ID: {CALL}\r\nCSeq: 9 BYE\r\n".encode() + EMPTY)
    scene.do(("c1", "<", f"(0c {CALL} 2d(10))"), ("clock", "1900", ""))
    scene.settle()
    assert trunk.connections == 1, "it was used since"
    scene.pass_ms(200)
    scene.settle()
    assert trunk.connections == 0


def test_an_answer_together_with_a_close_counts(scene: Scene) -> None:
    scene.do(("c1", ">", set_up()))
    scene.invited("s1")
    scene.peers["s1"].sendall(ANSWER)
    scene.peers["s1"].close()
    scene.do(("c1", "<", STANDS))


def test_what_came_before_a_close_is_read_though_a_write_fails_first() -> None:
    """Guards against an answer thrown away since the next message met the close before it was read."""
    listener = gevent_socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    far = gevent_socket.create_connection(listener.getsockname())
    near, _ = listener.accept()
    read: list[bytes] = []
    closed: list[str] = []
    connection = Connection(near, read.append, lambda: None, lambda reason, unsent: closed.append(reason))
    connection.start()
    gevent.sleep(0)
    far.sendall(b"answer")
    far.close()
    near.send(b"x")  # the far end answers it with a reset, which comes while nobody here has a turn
    time.sleep(0.02)
    connection.send(OutboundMessage(b"y"))
    with gevent.Timeout(5):
        while not closed:
            gevent.sleep(0.01)
    assert read == [b"answer"]


def test_a_write_that_the_peer_never_takes_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(core_connection, "WRITE_S", 0.1)
    listener = gevent_socket.socket()
    listener.setsockopt(gevent_socket.SOL_SOCKET, gevent_socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    far = gevent_socket.create_connection(listener.getsockname())
    near, _ = listener.accept()
    far.setsockopt(gevent_socket.SOL_SOCKET, gevent_socket.SO_SNDBUF, 4096)
    closed: list[str] = []
    connection = Connection(far, lambda data: None, lambda: None, lambda reason, _: closed.append(reason))
    connection.start()
    for _ in range(15):
        connection.send(OutboundMessage(b"x" * 8000))
    with gevent.Timeout(5):
        while not closed:
            gevent.sleep(0.01)
    assert closed == ["TimeoutError"]
    near.close()


@pytest.mark.parametrize("cut", range(1, len(ANSWER), 7))
def test_an_answer_in_two_pieces_is_one_answer(scene: Scene, cut: int) -> None:
    scene.do(("c1", ">", set_up()))
    scene.invited("s1")
    scene.peers["s1"].sendall(ANSWER[:cut])
    scene.settle()
    scene.peers["s1"].sendall(ANSWER[cut:] + ANSWER)  # and a second one together with the rest
    scene.do(("c1", "<", STANDS))
    scene.settle()
    assert scene.softswitch.counters.get("answers_out") == 1


def test_a_set_up_in_pieces_of_one_byte_is_one_set_up(scene: Scene) -> None:
    for byte in encode(set_up()):
        scene.peers["c1"].sendall(bytes([byte]))
        scene.settle()
    scene.invited("s1")
    assert scene.softswitch.counters.get("set_ups_in") == 1


def test_floods_of_set_ups_and_withdrawals_leave_nothing_behind(scene: Scene) -> None:
    calls = [f"{number:016x}" for number in range(1, 200)]
    flood = "".join(set_up(call) for call in calls) + "".join(f"(0c {call} 2d(10))" for call in calls)
    scene.peers["c1"].sendall(encode(flood))
    with gevent.Timeout(5):
        while (
            scene.softswitch.counters.get("set_ups_in") < len(calls) or scene.softswitch.exchange.open_calls
        ):
            scene.settle()
    assert not scene.softswitch.exchange._calls
