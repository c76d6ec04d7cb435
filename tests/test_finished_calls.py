"""What is kept of ids that callers choose, and releases of calls that are not known."""

from __future__ import annotations

import pytest

from pearloom.core.counters import Counters
from pearloom.core.finished_calls import OTHER_PER_MB, FinishedCalls
from pearloom.core.unknown_releases import BURST, PER_S, UnknownReleases


def test_a_flood_of_unknown_ids_drives_out_no_attempted_call() -> None:
    """Guards against a set-up that runs twice since other ids have filled the memory of ids."""
    finished = FinishedCalls(memory_mb=32.0)
    finished.add("9b1f03aa5c7e2d41", was_attempted=True, now_ms=0.0)
    for number in range(int(3 * OTHER_PER_MB * 32)):
        finished.add(f"{number:016x}", was_attempted=False, now_ms=1.0)
        finished.add_unknown(f"f{number:015x}", now_ms=1.0)
    assert "9b1f03aa5c7e2d41" in finished
    assert "0000000000000000" not in finished and "f00000000000000" not in finished


def test_releases_of_unknown_calls_are_passed_on_once_and_at_a_limited_rate() -> None:
    finished, counters = FinishedCalls(192.0), Counters()
    unknown = UnknownReleases(finished, counters, now_ms=0.0)
    assert unknown.may_pass_on("9b1f03aa5c7e2d41", 0.0) and not unknown.may_pass_on("9b1f03aa5c7e2d41", 0.0)
    passed = sum(unknown.may_pass_on(f"{number:016x}", 0.0) for number in range(10_000))
    assert passed == BURST - 1 and counters.get("unknown_releases_dropped") == 10_000 - passed
    later = sum(unknown.may_pass_on(f"{number:016x}", 1000.0) for number in range(20_000, 30_000))
    assert later == pytest.approx(PER_S, abs=1)


def test_an_id_that_is_added_again_hides_no_new_one() -> None:
    """Guards against a hand-over that leaves out an id which must not run again."""
    finished = FinishedCalls(192.0)
    finished.add("000000000000000a", was_attempted=True, now_ms=0.0)
    _, position = finished.attempted_since(0)
    finished.add("000000000000000b", was_attempted=True, now_ms=1.0)
    finished.add_attempted(["000000000000000a"], now_ms=2.0)
    assert "000000000000000b" in finished.attempted_since(position)[0]
