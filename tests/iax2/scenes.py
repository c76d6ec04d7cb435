"""What the tests of failures between IAX2 peers do again and again."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from pearloom.fakes.journal import EntryKind
from pearloom.fakes.script import ServerProfile
from pearloom.fakes.testbed import Testbed

SHORT = ServerProfile(mean_hold_ms=400.0)
LONG = ServerProfile(mean_hold_ms=60_000.0)


@contextmanager
def played(stage: Testbed, binary: int = 1, iax2: int = 1) -> Iterator[Testbed]:
    try:
        stage.start()
        stage.add_callers(binary, iax2)
        yield stage
        assert "Traceback" not in stage.log()
    finally:
        code = stage.close()
    assert code == 0


def count(stage: Testbed, what: EntryKind, who: str = "") -> int:
    return sum(one.kind is what and who in ("", one.party) for one in stage.journal.entries)


def settled(stage: Testbed, for_s: float = 20.0) -> None:
    assert stage.settle(for_s)
    report = stage.report()
    assert not report.violations, report.violations[:10]


def first_choice(stage: Testbed, caller: int, choice: int, patience_ms: float) -> None:
    offer = stage.next_set_up(patience_ms)
    offer.first_choice = choice
    stage.callers[caller].place(offer)
