"""Helpers of the tests that run the program with fake IAX2 peers."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from pearloom.fakes.journal import What
from pearloom.fakes.script import Manner
from pearloom.fakes.stage import Stage

SHORT = Manner(holds_ms=400.0)
LONG = Manner(holds_ms=60_000.0)


@contextmanager
def running_stage(stage: Stage, binary: int = 1, iax2: int = 1) -> Iterator[Stage]:
    try:
        stage.start()
        stage.add_callers(binary, iax2)
        yield stage
        assert "Traceback" not in stage.log()
    finally:
        code = stage.close()
    assert code == 0


def count(stage: Stage, what: What, party: str = "") -> int:
    return sum(entry.what is what and party in ("", entry.who) for entry in stage.journal.entries)


def assert_settled(stage: Stage, timeout_s: float = 20.0) -> None:
    assert stage.settle(timeout_s)
    report = stage.report()
    assert not report.broken, report.broken[:10]


def place_with_first_choice(stage: Stage, caller: int, choice: int, patience_ms: float) -> None:
    request = stage.offer(patience_ms)
    request.first_choice = choice
    stage.callers[caller].place(request)
