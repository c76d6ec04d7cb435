"""Log lines as key=value pairs, on standard error."""

from __future__ import annotations

import logging
import sys
from datetime import UTC, datetime

log = logging.getLogger("pearloom")
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


def _value(value: object) -> str:
    text = f"{value:.1f}" if isinstance(value, float) else str(value)
    if text and not any(char in text for char in ' "=\n\r\t'):
        return text
    return '"' + text.translate(_ESCAPES) + '"'


def note(level: int, event: str, **pairs: object) -> None:
    """Log one event with its pairs."""
    log.log(level, event, extra={"pairs": pairs})


def crashed(event: str, **pairs: object) -> None:
    """Log the exception at hand; the program goes on."""
    log.error(event, extra={"pairs": pairs}, exc_info=True)


def configure() -> None:
    """Send all lines to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    log.handlers[:] = [handler]
    log.setLevel(logging.INFO)
    log.propagate = False
