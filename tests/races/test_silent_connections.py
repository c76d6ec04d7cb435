"""One connection of several to a session server falls silent, while the server speaks on the others."""

from __future__ import annotations

import pytest
from gevent import select

from pearloom.sip.dialler import REDIAL_DELAY_MS
from tests.races.harness import CALL, OPTIONS, SECOND, Harness, harness, set_up
from tests.races.test_outages import RELEASE_DUE_MS, SERVER, await_dials, establish, send_bye

__all__ = ["harness"]
DRAINING_2 = "[0000000000000002 02 00000002 {a2} {p2} 01 00 00 0001 000003e8 0000000000000000]"
SPEAKS_MS = 500.0  # between messages on the connection that is not silent


def establish_on_a_second_connection(harness: Harness) -> None:
    """Establish CALL on the peer `silent`, as SECOND has no answer on `s1` yet."""
    harness.play_steps(("co", "opens", ""), ("co", ">", DRAINING_2), ("log", "", "list index=2"))
    harness.softswitch.servers._trunks[SERVER].dial()
    harness.play_steps(("s1", "opens", "silent"), ("c3", "opens", ""), ("c3", ">", set_up(SECOND)))
    harness.await_invite("s1")
    harness.play_steps(("c1", ">", set_up(CALL, class_name="save-answers")))
    harness.await_invite("silent")
    for call, peer, caller in ((CALL, "silent", "c1"), (SECOND, "s1", "c3")):
        answer = f"SIP/2.0 200 OK\r\nCall-ID: {call}\r\nCSeq: 1 INVITE\r\nContent-Length: 5\r\n\r\nsdp-s"
        harness.peers[peer].sendall(answer.encode())
        harness.play_steps((caller, "<", f'(09 {call} 30("sdp-s"))'))
    send_bye(harness, "s1", SECOND)
    harness.play_steps(("c3", "<", f"(0c {SECOND} 2d(10))"))


def speak_until_dialled(harness: Harness, end_ms: float) -> bool:
    """Let the server speak on `s1` until a connection is opened; return whether that was before `end_ms`."""
    while harness.clock.now_ms() < end_ms:
        harness.peers["s1"].sendall(OPTIONS.encode() + b"Content-Length: 0\r\n\r\n")
        harness.settle()
        if select.select([harness.listeners["s1"]], [], [], 0.02)[0]:
            return True
        harness.advance_ms(SPEAKS_MS)
        await_dials(harness)
    return False


@pytest.mark.parametrize("released_after_ms", [0.0, 6_000.0, 9_000.0])
def test_a_release_on_a_silent_connection_of_several_reaches_its_caller_within_8_s(
    harness: Harness, released_after_ms: float
) -> None:
    """Guards against messages on one connection that hide the silence of another, with calls on it."""
    establish_on_a_second_connection(harness)
    silent_ms = harness.clock.now_ms()
    while speak_until_dialled(harness, silent_ms + released_after_ms):
        harness.play_steps(("s1", "opens", "before the release"))
    released_ms = harness.clock.now_ms()
    assert speak_until_dialled(harness, released_ms + RELEASE_DUE_MS - REDIAL_DELAY_MS)
    harness.play_steps(("s1", "opens", "next"))
    send_bye(harness, "next", CALL)
    harness.play_steps(("c1", "<", f"(0c {CALL} 2d(10))"))


def test_no_connection_is_opened_for_a_silent_one_without_calls(harness: Harness) -> None:
    """Guards against hand-shakes for connections that nothing is expected on."""
    establish_on_a_second_connection(harness)
    send_bye(harness, "silent", CALL)
    harness.play_steps(("c1", "<", f"(0c {CALL} 2d(10))"))
    establish(harness, "2222222222222222")
    assert not speak_until_dialled(harness, harness.clock.now_ms() + 2 * RELEASE_DUE_MS)
