"""Log lines as key=value pairs, on standard error."""

from __future__ import annotations

import logging
import sys
from datetime import UTC, datetime

log = logging.getLogger("pearloom")
LINES_AT_ONCE = 20.0  # of one event
LINES_A_SECOND = 2.0
_ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": "\\r", "\t": "\\t"})


class KeyValueFormatter(logging.Formatter):
    """`time=… level=… event=… key=value …`; a value with blanks or quotes is quoted."""

    def format(self, record: logging.LogRecord) -> str:
        """One line, whatever the record holds."""
        pairs: dict[str, object] = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **getattr(record, "pairs", {}),
        }
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_value(value)}" for key, value in pairs.items())


class Limit(logging.Filter):
    """Lets each event through a few times a second, and says on the next line how many were left out.

    Guards against a bad caller or server that fills the log."""

    def __init__(self) -> None:
        """Nothing has been seen."""
        super().__init__()
        self._left: dict[str, tuple[float, float, int]] = {}  # lines left, when, how many were left out

    def filter(self, record: logging.LogRecord) -> bool:
        """Is this line to be written?"""
        event = record.getMessage()
        left, then, skipped = self._left.get(event, (LINES_AT_ONCE, record.created, 0))
        left = min(left + LINES_A_SECOND * max(record.created - then, 0.0), LINES_AT_ONCE)
        if left < 1:
            self._left[event] = (left, record.created, skipped + 1)
            return False
        self._left[event] = (left - 1, record.created, 0)
        if skipped:
            record.pairs = {**getattr(record, "pairs", {}), "left_out": skipped}
        return True


def _value(value: object) -> str:
    text = f"{value:.1f}" if isinstance(value, float) else str(value)
    if text and not any(char in text for char in ' "=\n\r\t'):
        return text
    return '"' + text.translate(_ESCAPES) + '"'


def log_event(level: int, event: str, **pairs: object) -> None:
    """Log one event with its pairs."""
    log.log(level, event, extra={"pairs": pairs})


def log_exception(event: str, **pairs: object) -> None:
    """Log the exception at hand; the program goes on."""
    log.error(event, extra={"pairs": pairs}, exc_info=True)


def configure() -> None:
    """Send all lines to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    handler.addFilter(Limit())
    log.handlers[:] = [handler]
    log.setLevel(logging.INFO)
    log.propagate = False
