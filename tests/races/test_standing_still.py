"""The order of things after this process stood still: stopped, or without its part of a core."""

from __future__ import annotations

import gevent
import pytest

from tests.races.scene import Scene, scene

__all__ = ["scene"]


@pytest.mark.parametrize(("late_ms", "order"), [(60.0, "run sleep sleep run"), (10.0, "run sleep run sleep")])
def test_what_came_meanwhile_is_read_before_timers_act(
    scene: Scene, monkeypatch: pytest.MonkeyPatch, late_ms: float, order: str
) -> None:
    """Guards against a further attempt that leaves before the close of its caller is read."""
    did: list[str] = []

    def sleep(seconds: float) -> None:
        did.append("sleep")
        scene.clock.set_ms(scene.clock.now_ms() + late_ms)

    def run_due() -> None:
        did.append("run")
        if len(did) > 8:
            raise gevent.GreenletExit

    monkeypatch.setattr(gevent, "sleep", sleep)
    monkeypatch.setattr(scene.softswitch.exchange, "run_due", run_due)
    with pytest.raises(gevent.GreenletExit):
        scene.softswitch._keep_time()
    assert " ".join(did).startswith(order)
