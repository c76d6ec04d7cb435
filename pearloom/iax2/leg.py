"""What both ends of a leg of a call between two IAX2 peers (RFC 5456, section 6) have in common.

Frames and time in, datagrams, events out. It has no socket and no clock; the host feeds it, takes `out` and
calls `tick` at `due_ms`. `out_leg.py` places a call, `in_leg.py` is called.
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
from pearloom.iax2.media_timestamps import Speech
from pearloom.iax2.transport import Transport, Verdict

_IAX, _ACK = int(FrameType.IAX), int(Iax.ACK)
LINGER_MS = 4000.0  # at most for the acknowledgement of a HANGUP


class Leg:
    """What both ends of a leg have in common."""

    def __init__(self, source: int, now_ms: float, destination: int = 0) -> None:
        """A leg under this side's call number `source`."""
        self.source = source  # this side's call number
        self.transport = Transport(source, now_ms, destination)
        self.is_ended = False
        self.closing_since_ms = math.inf  # this side's HANGUP or REJECT has left
        self._events: list[Event] = []
        self._speech = Speech()

    @property
    def is_closing(self) -> bool:
        """Does only the acknowledgement of the last frame remain?"""
        return self.closing_since_ms < math.inf

    def take_datagrams(self) -> list[bytes]:
        """The datagrams to be sent, in order."""
        return self.transport.take()

    def due_ms(self) -> float:
        """When `tick` has something to do."""
        return math.inf if self.is_ended else min(self.transport.due_ms(), self.closing_since_ms + LINGER_MS)

    # --- what both may say -------------------------------------------------------------------------------
    def ping(self, now_ms: float) -> None:
        """Ask whether the peer still knows this leg (6.7.2)."""
        self.transport.send(FrameType.IAX, Iax.PING, b"", now_ms)

    def transmit_media(self, media: Media, now_ms: float) -> None:
        """Pass a piece of the call on; what the peer is too far behind for is dropped, as voice may be."""
        if self.is_closing or self.is_ended:
            return
        if media.kind is MediaKind.DIGIT:
            self.transport.send(FrameType.DTMF, media.payload[0], b"", now_ms)
            return
        stamp, whole = self._speech.place(media, int(now_ms - self.transport.began_ms))
        if whole:
            self.transport.send(FrameType.VOICE, media.codec, media.payload, now_ms, stamp=stamp)
        else:
            self.transport.out.append(encode_mini(MiniFrame(self.source, stamp, media.payload)))

    def hang_up(self, cause: int, now_ms: float) -> None:
        """End the leg; `Over` follows once the peer has it, or gives no word for long."""
        self._last(Iax.HANGUP, [(Element.CAUSECODE, bytes((cause & 0x7F,)))], now_ms)

    def _last(self, kind: Iax, elements: list[tuple[int, bytes]], now_ms: float) -> None:
        if self.is_closing or self.is_ended:
            return
        self.closing_since_ms = now_ms
        self.transport.wind_up(now_ms)
        self.transport.send(FrameType.IAX, kind, Elements(elements).encode(), now_ms, steady=True)

    # --- what comes --------------------------------------------------------------------------------------
    def feed(self, frame: FullFrame | MiniFrame, now_ms: float) -> list[Event]:
        """Take a frame that belongs to this leg."""
        if self.is_ended:
            return []
        if isinstance(frame, MiniFrame):
            media = None if self.is_closing else self._speech.mini_in(frame)
            if media is not None:
                self._events.append(MediaReceived(media))
        else:
            self._full(frame, now_ms)
        self._settle(now_ms)
        return self._taken()

    def tick(self, now_ms: float) -> list[Event]:
        """Repeat what is due, and end what has waited too long."""
        if not self.is_ended:
            self.transport.tick(now_ms)
            self._settle(now_ms)
        return self._taken()

    def _taken(self) -> list[Event]:
        events, self._events = self._events, []
        return events

    def _settle(self, now_ms: float) -> None:
        if self.is_ended:
            return
        if self.is_closing:
            lost = self.transport.lost or now_ms >= self.closing_since_ms + LINGER_MS
            if lost or not self.transport.unconfirmed:
                self._end()
        elif self.transport.lost or self.transport.stopped:
            self._given_up(now_ms)

    def _end(self) -> None:
        self.is_ended = True
        self.transport.forget()
        self._events.append(LegEnded())

    def _full(self, frame: FullFrame, now_ms: float) -> None:
        verdict = self.transport.heard(frame, now_ms)
        iax = frame.subclass if frame.type == _IAX else 0
        if iax == _ACK and self.transport.destination:
            return  # nearly half of all frames: its number is all that it says
        if iax == Iax.INVAL:
            if self.is_closing:
                self._end()
            else:
                self._unknown_there(now_ms)
            return
        if verdict is not Verdict.TAKE:
            # Guards against an end that waits for ever for a frame before it: nothing after it matters.
            if verdict is Verdict.EARLY and iax in (Iax.HANGUP, Iax.REJECT):
                self._peer_ended(frame, early=True)
            return
        if self.transport.destination == 0 and iax != Iax.CALLTOKEN:
            self.transport.destination = frame.source
        if iax in UNNUMBERED:
            self._unnumbered(frame, now_ms)
            return
        self.transport.acknowledge(frame.timestamp)
        if iax:
            self._iax(frame, now_ms)
        elif frame.type == FrameType.CONTROL:
            self._control(frame, now_ms)
        elif frame.type == FrameType.VOICE and not self.is_closing:
            self._events.append(MediaReceived(self._speech.full_in(frame)))
        elif frame.type == FrameType.DTMF and not self.is_closing and frame.subclass < 128:
            self._events.append(
                MediaReceived(Media(MediaKind.DIGIT, 0, frame.timestamp, bytes((frame.subclass,))))
            )

    def _iax(self, frame: FullFrame, now_ms: float) -> None:
        match frame.subclass:
            case Iax.PING | Iax.POKE:
                self.transport.send(FrameType.IAX, Iax.PONG, b"", now_ms, stamp=frame.timestamp)
            case Iax.LAGRQ:
                self.transport.send(FrameType.IAX, Iax.LAGRP, b"", now_ms, stamp=frame.timestamp)
            case Iax.PONG | Iax.LAGRP | Iax.UNSUPPORT | Iax.TXREJ:
                pass
            case Iax.HANGUP | Iax.REJECT:
                self._peer_ended(frame)
            case Iax.TXREQ:
                # Guards against a peer that would take this leg out of the path of its own signalling.
                self.transport.send(FrameType.IAX, Iax.TXREJ, b"", now_ms)
            case _:
                if not self._own(frame, now_ms):
                    unknown = Elements([(Element.IAX_UNKNOWN, bytes((frame.subclass & 0xFF,)))])
                    self.transport.send(FrameType.IAX, Iax.UNSUPPORT, unknown.encode(), now_ms)

    def _peer_ended(self, frame: FullFrame, early: bool = False) -> None:
        # One that can't be read still ends the leg: as a failure that says nothing more.
        elements = decode_elements(frame.data)
        if isinstance(elements, Malformed):
            elements = Elements()
        cause = elements.number(Element.CAUSECODE, 1)
        self.transport.acknowledge(frame.timestamp)
        if not self.is_closing:
            self._hung_up(CAUSE_TEMPORARY_FAILURE if cause is None else cause, elements, early)
        self._end()

    # --- what the two ends fill in -----------------------------------------------------------------------
    def _own(self, frame: FullFrame, now_ms: float) -> bool:
        """An IAX frame of this end's own; False where it means nothing here."""
        return False

    def _control(self, frame: FullFrame, now_ms: float) -> None:
        """A control frame."""

    def _unnumbered(self, frame: FullFrame, now_ms: float) -> None:
        """A frame outside the order."""

    def _hung_up(self, cause: int, elements: Elements, early: bool) -> None:
        """The peer's HANGUP or REJECT came; `early`: a frame before it did not."""
        self._events.append(HungUp(cause))

    def _unknown_there(self, now_ms: float) -> None:
        """INVAL came."""
        self._events.append(LegLost("unknown there"))
        self._end()

    def _given_up(self, now_ms: float) -> None:
        """The peer confirms nothing any more, or a repeat is not wanted."""
        self._events.append(LegLost("silent"))
        self.hang_up(CAUSE_TEMPORARY_FAILURE, now_ms)
