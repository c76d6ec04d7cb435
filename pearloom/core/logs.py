"""Log lines as key=value pairs on standard error."""

from __future__ import annotations

import logging
import sys
from datetime import UTC, datetime

log = logging.getLogger("pearloom")
BURST_LINES = 20.0  # of one event
LINES_PER_SECOND = 2.0  # of one event, after a burst
_ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": "\\r", "\t": "\\t"})


class KeyValueFormatter(logging.Formatter):
    """Formats a record as `time=… level=… event=… key=value …`, with quotes where a value needs them."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line, whatever the record contains."""
        pairs: dict[str, object] = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **getattr(record, "pairs", {}),
        }
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_formatted(value)}" for key, value in pairs.items())


class RateLimitFilter(logging.Filter):
    """Limits the lines of each event by a token bucket, and adds the number of dropped lines to the next one.

    Guards against a faulty caller or server that fills the log."""

    def __init__(self) -> None:
        """Start with a full bucket for each event."""
        super().__init__()
        self._buckets: dict[str, tuple[float, float, int]] = {}  # event: lines left, time in s, lines dropped

    def filter(self, record: logging.LogRecord) -> bool:
        """Report whether this line is written."""
        event = record.getMessage()
        left, updated_s, dropped = self._buckets.get(event, (BURST_LINES, record.created, 0))
        left = min(left + LINES_PER_SECOND * max(record.created - updated_s, 0.0), BURST_LINES)
        if left < 1:
            self._buckets[event] = (left, record.created, dropped + 1)
            return False
        self._buckets[event] = (left - 1, record.created, 0)
        if dropped:
            record.pairs = {**getattr(record, "pairs", {}), "left_out": dropped}
        return True


def _formatted(value: object) -> str:
    text = f"{value:.1f}" if isinstance(value, float) else str(value)
    if text and not any(char in text for char in ' "=\n\r\t'):
        return text
    return '"' + text.translate(_ESCAPES) + '"'


def log_event(level: int, event: str, **pairs: object) -> None:
    """Log one event with its key=value pairs."""
    log.log(level, event, extra={"pairs": pairs})


def log_exception(event: str, **pairs: object) -> None:
    """Log the exception being handled, as one event with its key=value pairs."""
    log.error(event, extra={"pairs": pairs}, exc_info=True)


def configure() -> None:
    """Send all log lines to standard error, formatted and limited in rate."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    handler.addFilter(RateLimitFilter())
    log.handlers[:] = [handler]
    log.setLevel(logging.INFO)
    log.propagate = False
