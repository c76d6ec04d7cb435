"""A new session server at the address of one that has gone, against the running program."""

from __future__ import annotations

import time

import gevent
import pytest

from pearloom.fakes.coordinator import ListedServer
from pearloom.fakes.journal import EntryKind
from pearloom.fakes.script import ServerProfile
from pearloom.fakes.sip_server import SipServer
from pearloom.fakes.testbed import Testbed
from tests.iax2.scenes import running_stage

CALL_INTERVAL_S = 0.05
HOLDS = ServerProfile(delay_ms=(5.0, 40.0), mean_hold_ms=2_500.0)


def place_until(stage: Testbed, end_s: float) -> None:
    number = 0
    while time.time() < end_s:
        number += 1
        stage.callers[number % len(stage.callers)].place(stage.next_set_up())
        gevent.sleep(CALL_INTERVAL_S)


def replace(stage: Testbed, outage_s: float, name: str) -> ListedServer:
    """End the first server's process, and start another at its address after `outage_s`; return its entry."""
    ended = stage.sip[0]
    ended.die()
    place_until(stage, time.time() + outage_s)
    started_ms = int(time.time() * 1000)
    stage.servers.append(SipServer(stage.journal, name, HOLDS, seed=7, address=ended.address))
    for servers in stage.allowed.values():
        servers.append(name)
    return ListedServer(name, ended.address, 0, "ready", started_ms)


def tell(stage: Testbed, replacement: ListedServer) -> None:
    """Let the coordinator tell of the replacement."""
    ended = stage.sip[0]
    if replacement.server != ended.server:
        stage.coordinator.announce(ListedServer(ended.server, ended.address, 0, "gone"))
    stage.coordinator.announce(replacement)


def calls_cut_at(stage: Testbed, server: str, since_ms: float) -> list[str]:
    """The calls that this server answered since then and whose callers heard of their end before it."""
    entries = stage.journal.entries
    answered = {
        entry.call
        for entry in entries
        if entry.kind is EntryKind.ANSWERED and entry.party == server and entry.at_ms >= since_ms
    }
    ended: set[str] = set()
    cut = []
    for entry in entries:
        if entry.kind in (EntryKind.SERVER_RELEASED, EntryKind.CALLER_RELEASED):
            ended.add(entry.call)
        elif entry.kind is EntryKind.RELEASED and entry.call in answered - ended:
            cut.append(entry.call)
    return cut


@pytest.mark.parametrize(("outage_s", "told_after_s"), [(0.0, 5.0), (1.0, 0.0)])
@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("name", ["s-00000001", "s-000000a1"])
def test_calls_at_the_new_process_at_an_old_address_are_its_own(
    name: str, resets: bool, outage_s: float, told_after_s: float
) -> None:
    """Guards against calls of the new process that end with what is known of the one before."""
    with running_stage(Testbed(53, sip=(HOLDS, HOLDS), iax2=()), binary=2, iax2=0) as stage:
        place_until(stage, time.time() + 2.0)
        replacement = replace(stage, outage_s, name)
        place_until(stage, time.time() + told_after_s)
        tell(stage, replacement)
        place_until(stage, time.time() + 1.0)
        if resets:
            replacing = stage.servers[-1]
            assert isinstance(replacing, SipServer)
            replacing.reset_connections()
        place_until(stage, time.time() + 3.0)
        settled = stage.settle(12.0)
        violations = stage.report().violations
        assert settled and not violations, (settled, len(violations), violations[:5], stage.log()[-2500:])
        cut = calls_cut_at(stage, name, replacement.started_ms)
        assert not cut, (len(cut), stage.log()[-2500:])
