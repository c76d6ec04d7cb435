"""Hostile clients at full speed beside a sound one, against the running program."""

from __future__ import annotations

import pytest

from pearloom.fakes.testbed import SETTINGS
from tests.hostile.harness import Outcome, play

GUARANTEES = SETTINGS["guarantees"]
assert isinstance(GUARANTEES, dict)
# The shortest time limit of the settings: later than that, a drain that was told is not kept either.
LONGEST_ANSWER_MS = GUARANTEES["drainGraceUs"] / 1000.0


def assert_sound_client_was_served(shown: Outcome, memory_mb: float) -> None:
    assert not shown.failures, shown.failures
    assert shown.established > 0 and not shown.refused, shown
    assert shown.worst_ms <= LONGEST_ANSWER_MS, shown
    assert shown.peak_mb <= memory_mb, shown


@pytest.mark.parametrize(
    "kind",
    ["tests", "unknown_types", "malformed", "unknown_classes", "unknown_releases", "withdrawn_set_ups"],
)
def test_one_client_at_full_speed_delays_no_other(kind: str) -> None:
    """Guards against a client that keeps the event loop from looking at the sockets of the others."""
    assert_sound_client_was_served(play(kind, seconds=2.0), memory_mb=192.0)


@pytest.mark.parametrize("kind", ["tests:unread", "unknown_types:unread", "short_fields"])
def test_hundreds_of_clients_at_full_speed_keep_within_the_memory(kind: str) -> None:
    """Guards against answers that queue up for clients which do not read them."""
    shown = play(kind, seconds=3.0, connections=400, memory_mb=64.0)
    assert_sound_client_was_served(shown, memory_mb=64.0)


@pytest.mark.parametrize("kind", ["http_short_fields", "http_short_fields:slow"])
def test_hundreds_of_operators_connections_delay_no_caller(kind: str) -> None:
    shown = play(kind, seconds=2.0, connections=200, memory_mb=64.0, at="management")
    assert_sound_client_was_served(shown, memory_mb=64.0)


@pytest.mark.parametrize("kind", ["large_set_ups:slow", "large_set_ups:stopped", "short_fields:stopped"])
def test_hundreds_of_clients_that_stop_half_way_keep_within_the_memory(kind: str) -> None:
    shown = play(kind, seconds=3.0, connections=600, memory_mb=64.0)
    assert_sound_client_was_served(shown, memory_mb=64.0)
