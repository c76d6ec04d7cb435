"""The order of reading and timers after this process was suspended or got no processor time."""

from __future__ import annotations

import gevent
import pytest

from tests.races.harness import Harness, harness

__all__ = ["harness"]


@pytest.mark.parametrize(("late_ms", "order"), [(60.0, "run sleep sleep run"), (10.0, "run sleep run sleep")])
def test_data_received_during_a_suspension_is_read_before_timers_run(
    harness: Harness, monkeypatch: pytest.MonkeyPatch, late_ms: float, order: str
) -> None:
    """Guards against another attempt that is sent before its caller's close is read."""
    steps: list[str] = []

    def sleep(seconds: float) -> None:
        steps.append("sleep")
        harness.clock.set_ms(harness.clock.now_ms() + late_ms)

    def run_due() -> None:
        steps.append("run")
        if len(steps) > 8:
            raise gevent.GreenletExit

    monkeypatch.setattr(gevent, "sleep", sleep)
    monkeypatch.setattr(harness.softswitch.exchange, "run_due", run_due)
    with pytest.raises(gevent.GreenletExit):
        harness.softswitch._keep_time()
    assert " ".join(steps).startswith(order)
