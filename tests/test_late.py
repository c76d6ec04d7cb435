"""Late answers: guards against late answers that can't be traced in the log."""

from __future__ import annotations

import logging

import pytest

from pearloom import interface as api
from pearloom.core.calls import NullCaller, SetUpAttempt, SetUpRequest
from pearloom.core.clock import Clock
from pearloom.core.counters import Counters, Metrics
from pearloom.core.errors import Progress
from pearloom.core.exchange import Exchange
from tests.helpers import entry, settings


class _FakeClock(Clock):
    def __init__(self) -> None:
        self.at_ms = 1_000_000.0

    def now_ms(self) -> float:
        return self.at_ms


class _FakeServers:
    """A servers' side that accepts set-ups and does nothing else."""

    discovered = 1

    def set_up(self, server: str, set_up: SetUpAttempt) -> None:
        self.last_set_up = set_up

    def give_up(self, server: str, call: str) -> Progress | None:
        return Progress.NOT_DIALLED


@pytest.mark.parametrize(("took_ms", "late"), [(999.0, 0), (1_000.0, 0), (1_200.0, 1)])
def test_an_answer_after_the_aim_is_logged(
    took_ms: float, late: int, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, counters, servers = _FakeClock(), Counters(), _FakeServers()
    exchange = Exchange(clock, settings(), 7, counters, Metrics(("a", "b")), 1.0, 64.0)
    exchange.attach(None, servers)  # type: ignore[arg-type]  # nothing is sent to the callers' side here
    exchange._submit(api.PoolList(api.ListKind.CACHED, (entry("s-00000001", 0),)))
    monkeypatch.setattr(logging.getLogger("pearloom"), "propagate", True)
    with caplog.at_level(logging.INFO, "pearloom"):
        exchange.handle_set_up(SetUpRequest("c1", 0, "a", "1", b"x", 6_000.0, 0), NullCaller())
        clock.at_ms += took_ms
        assert exchange.handle_answer("c1", 0, b"y")
    records = [record for record in caplog.records if record.getMessage() == "answer_late"]
    assert len(records) == late == counters.get("answers_late")
    if records:
        pairs = vars(records[0])["pairs"]
        assert (pairs["call"], pairs["server"], pairs["attempts"]) == ("c1", "s-00000001", 1)
        assert (pairs["ms"], pairs["last_attempt_ms"]) == (took_ms, took_ms)
