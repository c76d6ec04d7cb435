"""Incoming leg: a call that the peer places."""

from __future__ import annotations

import hmac

from pearloom.core.errors import Malformed
from pearloom.iax2.challenge import md5_result
from pearloom.iax2.events import (
    Event,
    SetUpReceived,
)
from pearloom.iax2.frames import (
    AUTH_MD5,
    Control,
    Element,
    Elements,
    FrameType,
    FullFrame,
    Iax,
    decode_elements,
)
from pearloom.iax2.leg import Leg


class InLeg(Leg):
    """A leg that the peer opened with a NEW."""

    def __init__(
        self, source: int, new: FullFrame, elements: Elements, secret: str, challenge: str, now_ms: float
    ):
        """`new` had a valid token; if `secret` is not empty, the caller has to answer the challenge first."""
        super().__init__(source, now_ms, new.source)
        self.is_set_up_reported = self.is_accepted = self.is_answered = False
        self._elements = elements
        self._secret, self._challenge = secret, challenge
        self._new = new

    def start(self, now_ms: float) -> list[Event]:
        """Acknowledge the NEW and report the set-up, or send the challenge."""
        self.transport.receive(self._new, now_ms)
        if not self._secret:
            self.transport.acknowledge(self._new.timestamp)
            return self._report_set_up()
        challenge = Elements(
            [
                (Element.AUTHMETHODS, AUTH_MD5.to_bytes(2, "big")),
                (Element.CHALLENGE, self._challenge.encode()),
                (Element.USERNAME, self._elements.get(Element.USERNAME) or b""),
            ]
        )
        self.transport.send(FrameType.IAX, Iax.AUTHREQ, challenge.encode(), now_ms)
        return []

    def _report_set_up(self) -> list[Event]:
        self.is_set_up_reported = True
        self._events.append(SetUpReceived(self._elements))
        return self._take_events()

    def _receive_own_iax(self, frame: FullFrame, now_ms: float) -> bool:
        if frame.subclass == Iax.AUTHREP and not self.is_set_up_reported:
            elements = decode_elements(frame.data)
            result = None if isinstance(elements, Malformed) else elements.get(Element.MD5_RESULT)
            expected = md5_result(self._challenge, self._secret).encode()
            if result is not None and hmac.compare_digest(result, expected):
                self.is_set_up_reported = True
                self._events.append(SetUpReceived(self._elements))
            else:
                self.reject(29, "wrong secret", 0.0, now_ms)  # Q.931: facility rejected
            return True
        return frame.subclass in (Iax.AUTHREP, Iax.NEW)

    def answer(self, codec: int, elements: list[tuple[int, bytes]], now_ms: float) -> None:
        """Answer the call: send ACCEPT with the codec, unless already sent, and ANSWER with the elements."""
        if self.is_closing or self.is_ended or self.is_answered:
            return
        self.is_answered = True
        self.accept(codec, now_ms)
        self.transport.send(FrameType.CONTROL, Control.ANSWER, Elements(elements).encode(), now_ms)

    def accept(self, codec: int, now_ms: float) -> None:
        """Send ACCEPT with the codec, once."""
        if not self.is_accepted and not self.is_closing and not self.is_ended:
            self.is_accepted = True
            accept = Elements([(Element.FORMAT, codec.to_bytes(4, "big"))])
            self.transport.send(FrameType.IAX, Iax.ACCEPT, accept.encode(), now_ms)

    def ring(self, now_ms: float) -> None:
        """Send RINGING."""
        self.transport.send(FrameType.CONTROL, Control.RINGING, b"", now_ms)

    def reject(self, cause: int, reason: str, stay_away_ms: float, now_ms: float) -> None:
        """Send REJECT; `stay_away_ms` above 0 is the time after which the caller may retry."""
        elements: list[tuple[int, bytes]] = [(Element.CAUSECODE, bytes((cause,)))]
        if reason:
            elements.append((Element.CAUSE, reason.encode("ascii")))
        if stay_away_ms > 0:
            elements.append((Element.STAY_AWAY_MS, round(stay_away_ms).to_bytes(4, "big")))
        self._close(Iax.REJECT, elements, now_ms)
