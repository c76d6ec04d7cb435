"""The times of what is said on a leg (RFC 5456, 8.1.2): whole ones from those of mini frames, and back."""

from __future__ import annotations

from pearloom.core.calls import Media, MediaKind
from pearloom.iax2.frames import (
    FullFrame,
    MiniFrame,
)

MINI_SPAN = 1 << 16  # ms that a mini frame's time tells apart


class Speech:
    """What is said on a leg: whole times of mini frames, and the full frame that each stretch begins with."""

    def __init__(self) -> None:
        """Nothing has been said."""
        self._codec_in = self._codec_out = 0
        self._stamp_in = 0
        self._stamp_out = 0
        self._shift: int | None = None

    def full_in(self, frame: FullFrame) -> Media:
        """A full frame of voice came."""
        self._codec_in, self._stamp_in = frame.subclass, frame.timestamp
        return Media(MediaKind.VOICE, frame.subclass, frame.timestamp, frame.data)

    def mini_in(self, frame: MiniFrame) -> Media | None:
        """Guards against voice whose codec nobody has told, and against a leap where 16 bits wrap."""
        if not self._codec_in:
            return None
        step = (frame.timestamp - self._stamp_in) % MINI_SPAN
        if step >= MINI_SPAN // 2:
            step -= MINI_SPAN  # late, not early by a minute
        stamp = max(self._stamp_in + step, 0)
        self._stamp_in = max(stamp, self._stamp_in)
        return Media(MediaKind.VOICE, self._codec_in, stamp, frame.data)

    def place(self, media: Media, now: int) -> tuple[int, bool]:
        """This leg's time for a piece that has another leg's, and whether it goes as a full frame."""
        if self._shift is None:
            self._shift = now - media.timestamp_ms
        stamp = max(media.timestamp_ms + self._shift, 0)
        whole = media.codec != self._codec_out or stamp // MINI_SPAN != self._stamp_out // MINI_SPAN
        self._codec_out, self._stamp_out = media.codec, stamp
        return stamp, whole
