"""A session server whose machine is lost for some seconds, against the running program."""

from __future__ import annotations

import time

import gevent
import pytest

from pearloom.fakes.journal import EntryKind
from pearloom.fakes.testbed import Testbed
from tests.iax2.scenes import LONG, running_stage

CALL_INTERVAL_S = 0.1
RELEASE_DUE_S = 8.05  # from the end of a call of which its server says nothing to its release, on sockets


def place_until(stage: Testbed, end_s: float) -> None:
    while time.time() < end_s:
        stage.callers[0].place(stage.next_set_up())
        gevent.sleep(CALL_INTERVAL_S)


@pytest.mark.parametrize("outage_s", [4.0, 6.0])
def test_calls_at_a_machine_that_is_lost_for_seconds_and_returns_cold_are_released_within_8_s(
    outage_s: float,
) -> None:
    """Guards against calls that stand since the connections of their server's new process look alive."""
    with running_stage(Testbed(41, sip=(LONG, LONG), iax2=()), iax2=0) as stage:
        place_until(stage, time.time() + 2.0)
        gevent.sleep(0.3)
        server = stage.sip[0]
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
        server.return_cold()
        place_until(stage, lost_s + RELEASE_DUE_S)
        released = {entry.call for entry in stage.journal.entries if entry.kind is EntryKind.RELEASED}
        assert not answered & established - released, stage.log()[-3000:]
