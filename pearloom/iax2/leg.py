"""The common part of outgoing and incoming legs between two IAX2 peers (RFC 5456, section 6).

A leg has no socket and no clock: its owner feeds frames, sends the datagrams of `take_datagrams` and calls
`tick` at `due_ms`. `out_leg.py` is the leg of a call that this side places, `in_leg.py` of one that it gets.
"""

from __future__ import annotations

import math

from pearloom.core.calls import Media, MediaKind
from pearloom.core.errors import Malformed
from pearloom.iax2.attempt_endings import CAUSE_TEMPORARY_FAILURE
from pearloom.iax2.events import (
    Event,
    HungUp,
    LegEnded,
    LegLost,
    MediaReceived,
)
from pearloom.iax2.frames import (
    UNNUMBERED,
    Element,
    Elements,
    FrameType,
    FullFrame,
    Iax,
    MiniFrame,
    decode_elements,
    encode_mini,
)
from pearloom.iax2.media_timestamps import MediaTimestamps
from pearloom.iax2.transport import Transport, Verdict

_IAX, _ACK = int(FrameType.IAX), int(Iax.ACK)
LINGER_MS = 4000.0  # maximum wait for the acknowledgement of a HANGUP or REJECT


class Leg:
    """Signalling and media that do not depend on which side placed the call."""

    def __init__(self, source: int, now_ms: float, destination: int = 0) -> None:
        """Start a leg with this side's call number `source`; `destination` 0: not known yet."""
        self.source = source  # this side's call number
        self.transport = Transport(source, now_ms, destination)
        self.is_ended = False
        self.closing_since_ms = math.inf  # when this side sent HANGUP or REJECT
        self._events: list[Event] = []
        self._timestamps = MediaTimestamps()

    @property
    def is_closing(self) -> bool:
        """Whether this side has sent its last frame and only waits for its acknowledgement."""
        return self.closing_since_ms < math.inf

    def take_datagrams(self) -> list[bytes]:
        """Return the datagrams to be sent, in order."""
        return self.transport.take_datagrams()

    def due_ms(self) -> float:
        """Return the time at which `tick` has to be called, or infinity."""
        return math.inf if self.is_ended else min(self.transport.due_ms(), self.closing_since_ms + LINGER_MS)

    def ping(self, now_ms: float) -> None:
        """Send a PING, to which a peer that no longer knows this leg replies with INVAL (6.7.2)."""
        self.transport.send(FrameType.IAX, Iax.PING, b"", now_ms)

    def transmit_media(self, media: Media, now_ms: float) -> None:
        """Send voice or a digit; full frames are dropped while too many are unacknowledged."""
        if self.is_closing or self.is_ended:
            return
        if media.kind is MediaKind.DIGIT:
            self.transport.send(FrameType.DTMF, media.payload[0], b"", now_ms)
            return
        timestamp, needs_full_frame = self._timestamps.to_leg_time(
            media, int(now_ms - self.transport.began_ms)
        )
        if needs_full_frame:
            self.transport.send(FrameType.VOICE, media.codec, media.payload, now_ms, timestamp=timestamp)
        else:
            self.transport.outgoing.append(encode_mini(MiniFrame(self.source, timestamp, media.payload)))

    def hang_up(self, cause: int, now_ms: float) -> None:
        """Send HANGUP; `LegEnded` follows once the peer acknowledges it, or after LINGER_MS."""
        self._close(Iax.HANGUP, [(Element.CAUSECODE, bytes((cause & 0x7F,)))], now_ms)

    def _close(self, subclass: Iax, elements: list[tuple[int, bytes]], now_ms: float) -> None:
        if self.is_closing or self.is_ended:
            return
        self.closing_since_ms = now_ms
        self.transport.prepare_close(now_ms)
        self.transport.send(FrameType.IAX, subclass, Elements(elements).encode(), now_ms, is_last=True)

    def feed(self, frame: FullFrame | MiniFrame, now_ms: float) -> list[Event]:
        """Process a received frame of this leg and return the events."""
        if self.is_ended:
            return []
        if isinstance(frame, MiniFrame):
            media = None if self.is_closing else self._timestamps.receive_mini(frame)
            if media is not None:
                self._events.append(MediaReceived(media))
        else:
            self._receive_full(frame, now_ms)
        self._check_completion(now_ms)
        return self._take_events()

    def tick(self, now_ms: float) -> list[Event]:
        """Retransmit frames that are due, detect timeouts, and return the events."""
        if not self.is_ended:
            self.transport.tick(now_ms)
            self._check_completion(now_ms)
        return self._take_events()

    def _take_events(self) -> list[Event]:
        events, self._events = self._events, []
        return events

    def _check_completion(self, now_ms: float) -> None:
        if self.is_ended:
            return
        if self.is_closing:
            lost = self.transport.lost or now_ms >= self.closing_since_ms + LINGER_MS
            if lost or not self.transport.unacknowledged:
                self._end()
        elif self.transport.lost or self.transport.stopped:
            self._on_delivery_failure(now_ms)

    def _end(self) -> None:
        self.is_ended = True
        self.transport.discard_unacknowledged()
        self._events.append(LegEnded())

    def _receive_full(self, frame: FullFrame, now_ms: float) -> None:
        verdict = self.transport.receive(frame, now_ms)
        iax = frame.subclass if frame.type == _IAX else 0
        if iax == _ACK and self.transport.destination:
            return  # nearly half of all frames; its sequence number has been processed
        if iax == Iax.INVAL:
            if self.is_closing:
                self._end()
            else:
                self._on_inval(now_ms)
            return
        if verdict is not Verdict.ACCEPT:
            # Guards against an end that waits for a missing earlier frame, which no longer matters.
            if verdict is Verdict.OUT_OF_ORDER and iax in (Iax.HANGUP, Iax.REJECT):
                self._receive_final(frame, has_gap=True)
            return
        if self.transport.destination == 0 and iax != Iax.CALLTOKEN:
            self.transport.destination = frame.source
        if iax in UNNUMBERED:
            self._receive_unnumbered(frame, now_ms)
            return
        self.transport.acknowledge(frame.timestamp)
        if iax:
            self._receive_iax(frame, now_ms)
        elif frame.type == FrameType.CONTROL:
            self._receive_control(frame, now_ms)
        elif frame.type == FrameType.VOICE and not self.is_closing:
            self._events.append(MediaReceived(self._timestamps.receive_full(frame)))
        elif frame.type == FrameType.DTMF and not self.is_closing and frame.subclass < 128:
            self._events.append(
                MediaReceived(Media(MediaKind.DIGIT, 0, frame.timestamp, bytes((frame.subclass,))))
            )

    def _receive_iax(self, frame: FullFrame, now_ms: float) -> None:
        match frame.subclass:
            case Iax.PING | Iax.POKE:
                self.transport.send(FrameType.IAX, Iax.PONG, b"", now_ms, timestamp=frame.timestamp)
            case Iax.LAGRQ:
                self.transport.send(FrameType.IAX, Iax.LAGRP, b"", now_ms, timestamp=frame.timestamp)
            case Iax.PONG | Iax.LAGRP | Iax.UNSUPPORT | Iax.TXREJ:
                pass
            case Iax.HANGUP | Iax.REJECT:
                self._receive_final(frame)
            case Iax.TXREQ:
                # Guards against a transfer that would take this process out of the signalling path.
                self.transport.send(FrameType.IAX, Iax.TXREJ, b"", now_ms)
            case _:
                if not self._receive_own_iax(frame, now_ms):
                    unknown = Elements([(Element.IAX_UNKNOWN, bytes((frame.subclass & 0xFF,)))])
                    self.transport.send(FrameType.IAX, Iax.UNSUPPORT, unknown.encode(), now_ms)

    def _receive_final(self, frame: FullFrame, has_gap: bool = False) -> None:
        # A frame with malformed elements still ends the leg, as a temporary failure.
        elements = decode_elements(frame.data)
        if isinstance(elements, Malformed):
            elements = Elements()
        cause = elements.number(Element.CAUSECODE, 1)
        self.transport.acknowledge(frame.timestamp)
        if not self.is_closing:
            self._on_peer_hang_up(CAUSE_TEMPORARY_FAILURE if cause is None else cause, elements, has_gap)
        self._end()

    def _receive_own_iax(self, frame: FullFrame, now_ms: float) -> bool:
        """Handle an IAX frame that only this kind of leg knows; return False for an unknown one."""
        return False

    def _receive_control(self, frame: FullFrame, now_ms: float) -> None:
        """Handle a control frame."""

    def _receive_unnumbered(self, frame: FullFrame, now_ms: float) -> None:
        """Handle a frame outside the sequence."""

    def _on_peer_hang_up(self, cause: int, elements: Elements, has_gap: bool) -> None:
        """Handle HANGUP or REJECT; `has_gap`: an earlier frame is missing."""
        self._events.append(HungUp(cause))

    def _on_inval(self, now_ms: float) -> None:
        """Handle INVAL: the peer does not know this leg."""
        self._events.append(LegLost("unknown there"))
        self._end()

    def _on_delivery_failure(self, now_ms: float) -> None:
        """Handle a frame that stays unacknowledged, or that may no longer be retransmitted."""
        self._events.append(LegLost("silent"))
        self.hang_up(CAUSE_TEMPORARY_FAILURE, now_ms)
