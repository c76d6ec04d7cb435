"""Helpers of the tests that run the program with fake IAX2 peers."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager

import gevent

from pearloom.fakes.journal import EntryKind
from pearloom.fakes.script import ServerProfile
from pearloom.fakes.testbed import Testbed

SHORT = ServerProfile(mean_hold_ms=400.0)
LONG = ServerProfile(mean_hold_ms=60_000.0)


@contextmanager
def running_stage(stage: Testbed, binary: int = 1, iax2: int = 1) -> Iterator[Testbed]:
    try:
        stage.start()
        stage.add_callers(binary, iax2)
        yield stage
        assert "Traceback" not in stage.log()
    finally:
        code = stage.close()
    assert code == 0


def count(stage: Testbed, what: EntryKind, party: str = "") -> int:
    return sum(entry.kind is what and party in ("", entry.party) for entry in stage.journal.entries)


def assert_settled(stage: Testbed, timeout_s: float = 20.0) -> None:
    assert stage.settle(timeout_s)
    report = stage.report()
    assert not report.violations, report.violations[:10]


def place_with_first_choice(stage: Testbed, caller: int, choice: int, patience_ms: float) -> None:
    request = stage.next_set_up(patience_ms)
    request.first_choice = choice
    stage.callers[caller].place(request)


def establish_calls(stage: Testbed, calls: int) -> None:
    """Place calls one after another from all callers in turn, each once the call before is established.

    Of calls placed at once most would wait for the gate, which refuses after half the aim."""
    for number in range(calls):
        request = stage.next_set_up()
        stage.callers[number % len(stage.callers)].place(request)
        deadline_s = time.time() + request.patience_ms / 1000.0
        while count(stage, EntryKind.ESTABLISHED) <= number and time.time() < deadline_s:
            gevent.sleep(0.005)
    assert count(stage, EntryKind.ESTABLISHED) == calls
