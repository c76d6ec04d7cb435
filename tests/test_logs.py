"""The log: one line for each event, limited in rate."""

from __future__ import annotations

import logging

from pearloom.core.logs import BURST_LINES, KeyValueFormatter, RateLimitFilter


def log_record(event: str, time_s: float) -> logging.LogRecord:
    record = logging.LogRecord("pearloom", logging.WARNING, "", 0, event, None, None)
    record.created = time_s
    return record


def test_a_flood_of_one_event_is_counted_and_other_events_are_written() -> None:
    limit = RateLimitFilter()
    assert sum(limit.filter(log_record("caller_malformed", 1000.0)) for _ in range(5000)) == BURST_LINES
    assert limit.filter(log_record("server_lost", 1000.0))
    later = log_record("caller_malformed", 1001.0)
    assert limit.filter(later)
    assert (
        KeyValueFormatter()
        .format(later)
        .endswith(f"event=caller_malformed left_out={5000 - BURST_LINES:.0f}")
    )
