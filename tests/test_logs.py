"""The log: one line an event, and not too many of them."""

from __future__ import annotations

import logging

from pearloom.core.logs import BURST_LINES, KeyValueFormatter, RateLimitFilter


def line(event: str, at: float) -> logging.LogRecord:
    record = logging.LogRecord("pearloom", logging.WARNING, "", 0, event, None, None)
    record.created = at
    return record


def test_an_event_that_comes_by_the_thousand_is_counted_and_others_are_written() -> None:
    limit = RateLimitFilter()
    assert sum(limit.filter(line("caller_malformed", 1000.0)) for _ in range(5000)) == BURST_LINES
    assert limit.filter(line("server_lost", 1000.0))
    later = line("caller_malformed", 1001.0)
    assert limit.filter(later)
    assert (
        KeyValueFormatter()
        .format(later)
        .endswith(f"event=caller_malformed left_out={5000 - BURST_LINES:.0f}")
    )
