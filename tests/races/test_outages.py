"""A session server that was out of contact: are its established calls still there when it is back?"""

from __future__ import annotations

import struct
from collections.abc import Callable

import gevent
import pytest
from gevent import socket

from pearloom.sip.dialler import REDIAL_DELAY_MS
from pearloom.sip.liveness import CONFIRM_WITHIN_MS, OUTAGE_DIALS, SILENT_MS
from tests.player import encode
from tests.races.harness import CALL, OPTIONS, SECOND, Harness, harness, set_up

__all__ = ["harness"]
THIRD = "2222222222222222"
# From the end of a call, of which its server says nothing, to its release.
RELEASE_DUE_MS = 8_000.0
STEP_MS = 500.0  # of the clock: less than the time after which a silent caller is closed
SERVER = "s-00000001"


def establish(harness: Harness, call: str) -> None:
    harness.play_steps(("c1", ">", set_up(call)))
    harness.await_invite("s1")
    answer = f"SIP/2.0 200 OK\r\nCall-ID: {call}\r\nCSeq: 1 INVITE\r\nContent-Length: 5\r\n\r\nsdp-s"
    harness.peers["s1"].sendall(answer.encode())
    harness.play_steps(("c1", "<", f'(09 {call} 30("sdp-s"))'))


def send_bye(harness: Harness, peer: str, call: str) -> None:
    bye = f"BYE sip:x SIP/2.0\r\nCall-ID: {call}\r\nCSeq: 9 BYE\r\nContent-Length: 0\r\n\r\n"
    harness.peers[peer].sendall(bye.encode())


def advance_until(harness: Harness, end_ms: float) -> None:
    while (left_ms := end_ms - harness.clock.now_ms()) > 0:
        harness.advance_ms(min(STEP_MS, left_ms))


def lose_contact(harness: Harness) -> float:
    """Lose the server's machine until just enough dials have failed, so that none is in progress.

    Returns the time of its last message in ms."""
    lost_ms = harness.clock.now_ms()
    harness.play_steps(("s1", "mutes", ""))
    advance_until(harness, lost_ms + SILENT_MS + 100.0)
    for failed in range(1, OUTAGE_DIALS + 1):
        if failed > 1:
            harness.advance_ms(REDIAL_DELAY_MS)
        with gevent.Timeout(5, TimeoutError("the dial does not fail")):
            while sum("dial_failed" in line for line in harness.log.events) < failed:
                gevent.sleep(0.02)
    return lost_ms


def return_from_outage(harness: Harness) -> None:
    """Accept connections again; the new one is the peer `new`, the one from before stays `s1`."""
    with gevent.Timeout(5, TimeoutError("no new connection")):
        harness.listeners["s1"].accept()[0].close()  # the one that filled the queue
        harness.advance_ms(REDIAL_DELAY_MS)
        harness.peers["new"] = harness.listeners["s1"].accept()[0]
    harness.play_steps(("log", "", f"server_reconnected server={SERVER} failed_dials={OUTAGE_DIALS}"))


def say_nothing(harness: Harness) -> None:
    """The new process gives no sign."""


def answer_options_on_the_new_connection(harness: Harness) -> None:
    harness.peers["new"].sendall(OPTIONS.encode() + b"Content-Length: 0\r\n\r\n")


def reset_the_old_connection(harness: Harness) -> None:
    sock: socket.socket = harness.peers["s1"]
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
    harness.step("log", "", "server_closed")


def release_a_call_of_the_new_process(harness: Harness) -> None:
    send_bye(harness, "new", THIRD)
    harness.play_steps(("c1", "<", f"(0c {THIRD} 2d(10))"))


@pytest.mark.parametrize(
    "new_process",
    [
        say_nothing,
        answer_options_on_the_new_connection,
        reset_the_old_connection,
        release_a_call_of_the_new_process,
    ],
)
def test_calls_at_a_machine_that_returns_without_them_are_released_within_8_s(
    harness: Harness, new_process: Callable[[Harness], None]
) -> None:
    """Guards against calls that stand until the pool list tells that their server has a new process."""
    establish(harness, CALL)
    lost_ms = lose_contact(harness)
    return_from_outage(harness)
    new_process(harness)
    harness.settle()
    advance_until(harness, lost_ms + RELEASE_DUE_MS)
    harness.play_steps(
        ("c1", "<", f"(0c {CALL} 2d(29))"),
        ("log", "", f"server_lost server={SERVER} reason=unconfirmed calls_cut=1"),
    )


def speak_on_the_old_connection(harness: Harness) -> None:
    harness.peers["s1"].sendall(OPTIONS.encode() + b"Content-Length: 0\r\n\r\n")


def release_another_call_on_the_new_connection(harness: Harness) -> None:
    send_bye(harness, "new", SECOND)


@pytest.mark.parametrize("proof", [speak_on_the_old_connection, release_another_call_on_the_new_connection])
def test_calls_at_a_server_that_was_only_cut_off_are_kept(
    harness: Harness, proof: Callable[[Harness], None]
) -> None:
    """Guards against cutting calls whose process has shown, after the outage, that it is the same."""
    establish(harness, CALL)
    establish(harness, SECOND)
    lose_contact(harness)
    return_from_outage(harness)
    proof(harness)
    harness.settle()
    advance_until(harness, harness.clock.now_ms() + CONFIRM_WITHIN_MS + 1000.0)
    assert harness.softswitch.exchange.is_established(CALL)
    harness.play_steps(("unseen", "server_lost", ""))


def test_a_mute_connection_from_before_an_outage_is_kept_until_it_is_clear_whether_calls_stand(
    harness: Harness,
) -> None:
    """Guards against closing the only connection on which a server that was cut off can show its calls."""
    establish(harness, CALL)
    harness.play_steps(("c1", ">", set_up(SECOND)))
    harness.await_invite("s1")
    harness.advance_ms(150)
    harness.play_steps(("c1", ">", f"(0c {SECOND} 2d(10))"), ("c1", "<", f"(10 {SECOND})"))
    lose_contact(harness)
    return_from_outage(harness)
    harness.advance_ms(200)
    harness.play_steps(("unseen", "server_closed", ""))
    speak_on_the_old_connection(harness)
    harness.settle()
    advance_until(harness, harness.clock.now_ms() + CONFIRM_WITHIN_MS + 1000.0)
    assert harness.softswitch.exchange.is_established(CALL)


def test_a_call_that_was_established_after_an_outage_is_kept_when_the_earlier_ones_are_cut(
    harness: Harness,
) -> None:
    """Guards against cutting the calls of the new process together with those of the old one."""
    establish(harness, CALL)
    lost_ms = lose_contact(harness)
    return_from_outage(harness)
    reset_the_old_connection(harness)
    harness.peers["s1"] = harness.peers["new"]
    establish(harness, SECOND)
    advance_until(harness, lost_ms + RELEASE_DUE_MS)
    harness.play_steps(("c1", "<", f"(0c {CALL} 2d(29))"))
    assert harness.softswitch.exchange.is_established(SECOND)


def await_dials(harness: Harness) -> None:
    with gevent.Timeout(5, TimeoutError("a dial does not end")):
        while not harness.softswitch.servers.has_finished_dialling:
            gevent.sleep(0.02)


def upgrade(harness: Harness) -> None:
    """Let the next process take over; the caller comes to it with a set-up of its own."""
    harness.play_steps(
        ("upgrade", "", ""), ("s2", "opens", ""), ("c1", "opens", ""), ("c2", "opens", ""),
        ("c1", ">", set_up(SECOND, first_choice=1)),
    )  # fmt: skip
    harness.await_invite("s2")


def accept_all(harness: Harness) -> None:
    """Accept connections again, from both processes of an upgrade, and keep them open without a message."""
    accepted: list[socket.socket] = []

    def accept() -> None:
        while True:
            accepted.append(harness.listeners["s1"].accept()[0])

    gevent.spawn(accept)


@pytest.mark.parametrize("returns", [False, True])
def test_calls_at_a_lost_machine_are_released_within_8_s_over_an_upgrade(
    harness: Harness, returns: bool
) -> None:
    """Guards against a silence or an outage that the next process counts anew from its start on."""
    establish(harness, CALL)
    lost_ms = lose_contact(harness)
    upgrade(harness)
    harness.previous_softswitches.clear()  # its timers do nothing any more, as if it had ended
    if returns:
        accept_all(harness)
    while harness.clock.now_ms() < lost_ms + RELEASE_DUE_MS:
        await_dials(harness)
        harness.advance_ms(STEP_MS)
    assert not harness.softswitch.exchange.is_established(CALL)
    harness.peers["c1"].settimeout(5)
    assert encode(f"(0c {CALL} 2d(29))") in harness.peers["c1"].recv(65536)


def test_a_message_to_the_previous_process_keeps_the_calls_of_a_server_that_was_cut_off(
    harness: Harness,
) -> None:
    """Guards against cutting calls whose process spoke on a connection that the previous process holds."""
    establish(harness, CALL)
    lose_contact(harness)
    upgrade(harness)
    accept_all(harness)
    tracker = harness.softswitch.servers.contact_trackers()[SERVER]
    with gevent.Timeout(10, TimeoutError("no outage is noted")):
        while not tracker.contact.outages:
            await_dials(harness)
            harness.advance_ms(REDIAL_DELAY_MS)
    speak_on_the_old_connection(harness)
    with gevent.Timeout(5, TimeoutError("the next process does not learn of the message")):
        while tracker.contact.outages:  # the processes tell each other in real time, whatever the clock says
            gevent.sleep(0.01)
    for _ in range(20):
        harness.advance_ms(STEP_MS)
    assert harness.softswitch.exchange.is_established(CALL)
    harness.play_steps(("unseen", "server_lost", ""))


def drain(harness: Harness) -> None:
    draining = "[0000000000000002 02 00000001 {a1} {p1} 01 00 00 0000 000003e8 0000000000000000]"
    harness.play_steps(("co", "opens", ""), ("co", ">", draining), ("log", "", "list index=2"))


def return_without_a_listener(harness: Harness) -> None:
    """Refuse connections; the connection from before the outage stays open."""
    harness.stop_listening("s1")
    harness.advance_ms(REDIAL_DELAY_MS)
    harness.play_steps(("log", "", f"dial_failed server={SERVER} refused=True"))


@pytest.mark.parametrize("is_draining", [True, False])
def test_calls_at_a_machine_that_returns_and_refuses_connections_are_released_within_8_s(
    harness: Harness, is_draining: bool
) -> None:
    """Guards against a refused connection that looks like a sign of the process that had the calls."""
    establish(harness, CALL)
    if is_draining:
        drain(harness)
    lost_ms = lose_contact(harness)
    return_without_a_listener(harness)
    advance_until(harness, lost_ms + RELEASE_DUE_MS)
    harness.play_steps(("c1", "<", f"(0c {CALL} 2d(29))"), ("log", "", f"server_lost server={SERVER}"))


@pytest.mark.parametrize("is_draining", [True, False])
def test_calls_at_a_server_that_was_cut_off_and_refuses_connections_are_kept(
    harness: Harness, is_draining: bool
) -> None:
    """Guards against cutting calls whose process speaks after an outage, but accepts no connection."""
    establish(harness, CALL)
    if is_draining:
        drain(harness)
    lose_contact(harness)
    return_without_a_listener(harness)
    speak_on_the_old_connection(harness)
    harness.settle()
    advance_until(harness, harness.clock.now_ms() + CONFIRM_WITHIN_MS + 1000.0)
    assert harness.softswitch.exchange.is_established(CALL)
    harness.play_steps(("unseen", "server_lost", ""))


@pytest.mark.parametrize("is_draining", [True, False])
def test_calls_at_a_silent_server_that_refuses_connections_are_kept_while_an_old_one_is_open(
    harness: Harness, is_draining: bool
) -> None:
    """Guards against refusals that count as failed dials: a full server is taken for a dead one."""
    establish(harness, CALL)
    if is_draining:
        drain(harness)
    harness.stop_listening("s1")
    for _ in range(30):
        harness.advance_ms(STEP_MS)
        await_dials(harness)
    harness.play_steps(
        ("log", "", f"dial_failed server={SERVER} refused=True"), ("unseen", "server_lost", "")
    )
    send_bye(harness, "s1", CALL)
    harness.play_steps(("c1", "<", f"(0c {CALL} 2d(10))"))
