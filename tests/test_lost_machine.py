"""A session server whose machine is lost for some seconds, against the running program."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent
import pytest

from pearloom.fakes.journal import EntryKind
from pearloom.fakes.sip_server import SipServer
from pearloom.fakes.testbed import Testbed
from tests.iax2.scenes import LONG, running_stage

CALL_INTERVAL_S = 0.1
RELEASE_DUE_S = 8.05  # from the end of a call of which its server says nothing to its release, on sockets


def place_until(stage: Testbed, end_s: float) -> None:
    while time.time() < end_s:
        stage.callers[0].place(stage.next_set_up())
        gevent.sleep(CALL_INTERVAL_S)


def lose_machine(outage_s: float, come_back: Callable[[SipServer], None], drained_s: float) -> None:
    """Lose a machine with calls for `outage_s`, from `drained_s` after its drain (0: not drained) on.

    Each call that was answered there has to be released in time."""
    with running_stage(Testbed(41, sip=(LONG, LONG), iax2=()), iax2=0) as stage:
        place_until(stage, time.time() + 2.0)
        gevent.sleep(0.3)
        server = stage.sip[0]
        if drained_s:
            stage.drain(server)
            gevent.sleep(drained_s)
        entries = stage.journal.entries
        answered = {
            entry.call
            for entry in entries
            if entry.kind is EntryKind.ANSWERED and entry.party == server.server
        }
        established = {entry.call for entry in entries if entry.kind is EntryKind.ESTABLISHED}
        assert answered & established
        server.lose_machine()
        lost_s = time.time()
        place_until(stage, lost_s + outage_s)
        come_back(server)
        place_until(stage, lost_s + RELEASE_DUE_S)
        released = {entry.call for entry in stage.journal.entries if entry.kind is EntryKind.RELEASED}
        assert not answered & established - released, stage.log()[-3000:]


@pytest.mark.parametrize("outage_s", [4.0, 6.0])
def test_calls_at_a_machine_that_is_lost_for_seconds_and_returns_cold_are_released_within_8_s(
    outage_s: float,
) -> None:
    """Guards against calls that stand since the connections of their server's new process look alive."""
    lose_machine(outage_s, SipServer.return_cold, drained_s=0.0)


@pytest.mark.parametrize(("outage_s", "drained_s"), [(5.0, 0.1), (4.5, 0.1), (6.0, 0.5), (4.0, 0.0)])
def test_calls_at_a_machine_that_is_lost_for_seconds_and_returns_refusing_are_released_within_8_s(
    outage_s: float, drained_s: float
) -> None:
    """Guards against a machine that is back without its process, and whose refusals look alive."""
    lose_machine(outage_s, SipServer.return_without_process, drained_s)
