"""Media timestamps of one leg (RFC 5456, 8.1.2): 32-bit ones from the 16 bits of mini frames, and back."""

from __future__ import annotations

from pearloom.core.calls import Media, MediaKind
from pearloom.iax2.frames import (
    FullFrame,
    MiniFrame,
)

MINI_TIMESTAMP_RANGE_MS = 1 << 16  # the range of a mini frame's 16-bit timestamp


class MediaTimestamps:
    """Restores the timestamps of received mini frames, and decides which voice needs a full frame."""

    def __init__(self) -> None:
        """Start without a codec in either direction."""
        self._codec_in = self._codec_out = 0
        self._timestamp_in = 0
        self._timestamp_out = 0
        self._offset_ms: int | None = None

    def receive_full(self, frame: FullFrame) -> Media:
        """Return the voice of a full frame, whose codec and time hold for the mini frames that follow."""
        self._codec_in, self._timestamp_in = frame.subclass, frame.timestamp
        return Media(MediaKind.VOICE, frame.subclass, frame.timestamp, frame.data)

    def receive_mini(self, frame: MiniFrame) -> Media | None:
        """Return the voice of a mini frame with its full timestamp, or None before any full frame.

        Guards against voice of an unknown codec, and against a time jump where the 16 bits wrap."""
        if not self._codec_in:
            return None
        step = (frame.timestamp - self._timestamp_in) % MINI_TIMESTAMP_RANGE_MS
        if step >= MINI_TIMESTAMP_RANGE_MS // 2:
            step -= MINI_TIMESTAMP_RANGE_MS  # an earlier frame that arrives late, not one from a minute ahead
        timestamp = max(self._timestamp_in + step, 0)
        self._timestamp_in = max(timestamp, self._timestamp_in)
        return Media(MediaKind.VOICE, self._codec_in, timestamp, frame.data)

    def to_leg_time(self, media: Media, now_ms: int) -> tuple[int, bool]:
        """Return this leg's timestamp for media from another leg, and whether it needs a full frame."""
        if self._offset_ms is None:
            self._offset_ms = now_ms - media.timestamp_ms
        timestamp = max(media.timestamp_ms + self._offset_ms, 0)
        needs_full_frame = (
            media.codec != self._codec_out
            or timestamp // MINI_TIMESTAMP_RANGE_MS != self._timestamp_out // MINI_TIMESTAMP_RANGE_MS
        )
        self._codec_out, self._timestamp_out = media.codec, timestamp
        return timestamp, needs_full_frame
