"""A session server whose last connection has ended, and which refuses others: has its process ended?"""

from __future__ import annotations

import errno
from collections.abc import Callable

import gevent
import pytest
from gevent import socket

from pearloom.sip import dialler
from pearloom.sip.connecting import DialFailure, dial_failure
from pearloom.sip.dialler import REDIAL_DELAY_MS
from pearloom.sip.liveness import CONFIRM_WITHIN_MS
from tests.races.harness import CALL, SECOND, Harness, harness
from tests.races.test_outages import (
    RELEASE_DUE_MS,
    SERVER,
    STEP_MS,
    await_dials,
    drain,
    establish,
    reset_the_old_connection,
    send_bye,
    speak_on_the_old_connection,
    upgrade,
)

__all__ = ["harness"]
PHASE_MS = 20.0  # between dials that would begin a series each
FULL_MS = 5_000.0  # for how long the server refuses connections


def close_the_old_connection(harness: Harness) -> None:
    harness.peers["s1"].shutdown(socket.SHUT_WR)
    harness.play_steps(("log", "", f"server_closed server={SERVER} reason=closed by server"))


def refuse_until(harness: Harness, end_ms: float) -> None:
    while harness.clock.now_ms() < end_ms:
        await_dials(harness)
        harness.advance_ms(min(STEP_MS, end_ms - harness.clock.now_ms()))


def accept_again(harness: Harness, party: str) -> None:
    harness.listeners[party] = harness.listen(harness.addresses[party])
    with gevent.Timeout(5, TimeoutError("no new connection")):
        while not harness.softswitch.servers.has_finished_dialling:
            gevent.sleep(0.02)
        harness.advance_ms(STEP_MS)
        harness.peers["new"] = harness.listeners[party].accept()[0]


End = Callable[[Harness], None]


@pytest.mark.parametrize("end", [close_the_old_connection, reset_the_old_connection])
def test_calls_at_a_server_that_refuses_connections_for_good_are_released_within_8_s(
    harness: Harness, end: End
) -> None:
    """Guards against calls that stand for ever at a process that ended, and of which nothing else tells."""
    establish(harness, CALL)
    harness.stop_listening("s1")
    ended_ms = harness.clock.now_ms()
    end(harness)
    refuse_until(harness, ended_ms + RELEASE_DUE_MS)
    harness.play_steps(
        ("c1", "<", f"(0c {CALL} 2d(29))"),
        ("log", "", f"server_lost server={SERVER} reason=refused calls_cut=1"),
    )


def test_calls_at_a_full_server_that_closed_its_connections_are_kept(harness: Harness) -> None:
    """Guards against a refused connection that is taken for the end of the process."""
    establish(harness, CALL)
    harness.stop_listening("s1")
    close_the_old_connection(harness)
    refuse_until(harness, harness.clock.now_ms() + FULL_MS)
    accept_again(harness, "s1")
    refuse_until(harness, harness.clock.now_ms() + CONFIRM_WITHIN_MS + 1_000.0)
    harness.play_steps(("unseen", "server_lost", ""))
    send_bye(harness, "new", CALL)
    harness.play_steps(("c1", "<", f"(0c {CALL} 2d(10))"))


def test_calls_at_a_full_server_that_reset_its_connections_are_kept_if_it_releases_one(
    harness: Harness,
) -> None:
    """Guards against cutting calls of a process that shows, after it refused connections, that it lives."""
    establish(harness, CALL)
    establish(harness, SECOND)
    harness.stop_listening("s1")
    reset_the_old_connection(harness)
    refuse_until(harness, harness.clock.now_ms() + FULL_MS)
    accept_again(harness, "s1")
    send_bye(harness, "new", SECOND)
    harness.play_steps(("c1", "<", f"(0c {SECOND} 2d(10))"))
    refuse_until(harness, harness.clock.now_ms() + CONFIRM_WITHIN_MS + 1_000.0)
    assert harness.softswitch.exchange.is_established(CALL)


def test_calls_of_a_process_that_died_and_was_started_again_are_released_within_8_s(
    harness: Harness,
) -> None:
    """Guards against calls that stand since a new process listens where the one that had them was reset."""
    establish(harness, CALL)
    harness.stop_listening("s1")
    ended_ms = harness.clock.now_ms()
    reset_the_old_connection(harness)
    refuse_until(harness, ended_ms + FULL_MS)
    accept_again(harness, "s1")
    refuse_until(harness, ended_ms + RELEASE_DUE_MS)
    harness.play_steps(
        ("c1", "<", f"(0c {CALL} 2d(29))"),
        ("log", "", f"server_lost server={SERVER} reason=unconfirmed calls_cut=1"),
    )


def test_a_server_that_refuses_connections_is_dialled_at_one_pace_however_many_set_ups_come(
    harness: Harness,
) -> None:
    """Guards against a series of dials for each set-up, all at once, while calls stand there."""
    establish(harness, CALL)
    harness.stop_listening("s1")
    close_the_old_connection(harness)
    harness.play_steps(("log", "", f"dial_failed server={SERVER} refused=True"))
    for _ in range(10):
        harness.softswitch.servers._trunks[SERVER].dial()  # as each set-up for this server does
        await_dials(harness)
        harness.advance_ms(PHASE_MS)
    dials = harness.softswitch.counters.get("dials")
    for _ in range(int(4 * REDIAL_DELAY_MS / PHASE_MS)):
        await_dials(harness)
        harness.advance_ms(PHASE_MS)
    assert harness.softswitch.counters.get("dials") <= dials + 4


def test_calls_at_a_server_that_resets_new_connections_at_once_are_kept_while_an_old_one_is_open(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a full server that resets connections, as with a full queue, and looks lost."""

    def connect_and_meet_a_reset(address: tuple[str, int], timeout_s: float) -> DialFailure:
        return dial_failure(ConnectionResetError(errno.ECONNRESET, "Connection reset by peer"))

    establish(harness, CALL)
    with monkeypatch.context() as patch:
        patch.setattr(dialler, "connect", connect_and_meet_a_reset)
        refuse_until(harness, harness.clock.now_ms() + RELEASE_DUE_MS + STEP_MS)
    harness.play_steps(("log", "", f"dial_failed server={SERVER}"), ("unseen", "server_lost", ""))
    assert harness.softswitch.exchange.is_established(CALL)


def test_calls_at_a_draining_server_that_refuses_the_next_process_of_an_upgrade_are_kept(
    harness: Harness,
) -> None:
    """Guards against a process without a connection that takes its refused dial for the server's end.

    The previous process has a connection, and passes on that the server spoke there."""
    establish(harness, CALL)
    drain(harness)
    harness.stop_listening("s1")
    upgrade(harness)
    harness.play_steps(("log", "", f"dial_failed server={SERVER} refused=True"))
    tracker = harness.softswitch.servers.contact_trackers()[SERVER]
    for _ in range(3):
        refuse_until(harness, harness.clock.now_ms() + FULL_MS)
        speak_on_the_old_connection(harness)
        with gevent.Timeout(5, TimeoutError("the next process does not learn of the message")):
            while tracker.heard.at_ms < harness.clock.now_ms():
                gevent.sleep(0.01)
    assert harness.softswitch.exchange.is_established(CALL)
    harness.play_steps(("unseen", "server_lost", ""))
