"""A session server that lives and refuses new connections, against the running program."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import pytest

from pearloom.fakes.journal import EntryKind
from pearloom.fakes.script import ServerProfile
from pearloom.fakes.sip_server import SipServer
from pearloom.fakes.testbed import Testbed
from tests.iax2.scenes import establish_calls, running_stage

CALLS = 12
QUIET_S = 9.0  # longer than the time after which a dead server's calls are due
FULL_S = 5.0
CUT_OFF_S = 5.0
HOLDS = ServerProfile(mean_hold_ms=60_000.0)  # most calls outlast the test, some end while the server refuses


def drain_and_refuse(stage: Testbed, server: SipServer) -> None:
    stage.drain(server)
    server.refuse_connections()
    gevent.sleep(QUIET_S)


def refuse_while_full(stage: Testbed, server: SipServer) -> None:
    server.refuse_connections()
    gevent.sleep(QUIET_S)


def close_connections_while_full(stage: Testbed, server: SipServer) -> None:
    server.refuse_connections()
    server.close_connections()
    gevent.sleep(FULL_S)
    server.accept_connections()
    gevent.sleep(QUIET_S)


def be_cut_off_while_full(stage: Testbed, server: SipServer) -> None:
    server.cut_off()
    gevent.sleep(CUT_OFF_S)
    server.rejoin()
    server.refuse_connections()
    gevent.sleep(QUIET_S)


def be_cut_off_in_a_drain(stage: Testbed, server: SipServer) -> None:
    stage.drain(server)
    be_cut_off_while_full(stage, server)


@pytest.mark.parametrize(
    "refuse",
    [
        drain_and_refuse,
        refuse_while_full,
        close_connections_while_full,
        be_cut_off_while_full,
        be_cut_off_in_a_drain,
    ],
)
def test_no_call_at_a_living_server_that_refuses_connections_is_called_over(
    refuse: Callable[[Testbed, SipServer], None],
) -> None:
    """Guards against a refused connection, or a silence, taken for the end of a process that lives."""
    with running_stage(Testbed(57, sip=(HOLDS,), iax2=()), iax2=0) as stage:
        establish_calls(stage, CALLS)
        server = stage.sip[0]
        refuse(stage, server)
        entries = stage.journal.entries
        ended = {entry.call for entry in entries if entry.kind is EntryKind.SERVER_RELEASED}
        over = {entry.call for entry in entries if entry.kind is EntryKind.RELEASED}
        assert not over - ended, stage.log()[-3000:]
        assert server.established_calls + len(ended) == CALLS
