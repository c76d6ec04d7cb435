"""A cold server under the set-ups of all processes together: no window exceeds its statistical bound."""

from __future__ import annotations

from dataclasses import replace

import pytest

from pearloom import interface as api
from pearloom.fakes.cold_start import Fleet, Window, play

CLASSES = (
    api.CallClass(aim_us=2_000_000, deadline_us=9_000_000, worth=1, late_worth=0.25),
    api.CallClass(aim_us=1_500_000, deadline_us=9_000_000, worth=3, late_worth=0.25),
)
SETTINGS = api.Settings(
    classes=CLASSES, answer_slack_us=20_000, cold_share=0.34, warm_after_us=14_000_000, fall_multiple=2.0,
    fall_us=1_500_000, release_us=300_000, max_attempts=4, may_cancel=True,
)  # fmt: skip
STEEP_SETTINGS = replace(
    SETTINGS, cold_share=0.2, warm_after_us=9_000_000, fall_multiple=1.6, fall_us=1_000_000
)
SIZES = ((6, 3, 7.0, 12), (20, 8, 4.0, 6), (30, 24, 4.5, 6), (60, 24, 4.5, 3), (200, 24, 4.5, 1))


def fullest_window(settings: api.Settings, processes: int, servers: int, per_s: float, draws: int) -> Window:
    fleet = Fleet(replace(settings, fleet_size=processes), processes, servers, per_s)
    return max(
        (window for seed in range(draws) for window in play(fleet, seed)), key=lambda window: window.fill
    )


@pytest.mark.parametrize(("processes", "servers", "per_s", "draws"), SIZES)
@pytest.mark.parametrize("settings", [SETTINGS, STEEP_SETTINGS], ids=["gentle", "steep"])
def test_no_window_exceeds_its_bound(
    settings: api.Settings, processes: int, servers: int, per_s: float, draws: int
) -> None:
    """Guards against small shares that are each rounded up and exceed the budget together."""
    worst = fullest_window(settings, processes, servers, per_s, draws)
    assert worst.sent <= worst.most, worst
    assert worst.sent >= 0.2 * worst.budget, "the fleet uses too little of a cold server's budget"
