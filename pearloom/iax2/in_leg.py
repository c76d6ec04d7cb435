"""The leg of a call that the peer places."""

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
    """A leg on which this side was called."""

    def __init__(
        self, source: int, new: FullFrame, elements: Elements, secret: str, challenge: str, now_ms: float
    ):
        """`new` has shown a good token; with a secret set, its caller has to answer the challenge first."""
        super().__init__(source, now_ms, new.source)
        self.offered = self.accepted = self.answered = False
        self._elements = elements
        self._secret, self._challenge = secret, challenge
        self._new = new

    def start(self, now_ms: float) -> list[Event]:
        """Acknowledge the NEW: offer the set-up, or ask for the answer to a challenge."""
        self.transport.heard(self._new, now_ms)
        if not self._secret:
            self.transport.acknowledge(self._new.timestamp)
            return self._offer()
        wants = Elements(
            [
                (Element.AUTHMETHODS, AUTH_MD5.to_bytes(2, "big")),
                (Element.CHALLENGE, self._challenge.encode()),
                (Element.USERNAME, self._elements.get(Element.USERNAME) or b""),
            ]
        )
        self.transport.send(FrameType.IAX, Iax.AUTHREQ, wants.encode(), now_ms)
        return []

    def _offer(self) -> list[Event]:
        self.offered = True
        self._events.append(SetUpReceived(self._elements))
        return self._taken()

    def _own(self, frame: FullFrame, now_ms: float) -> bool:
        if frame.subclass == Iax.AUTHREP and not self.offered:
            elements = decode_elements(frame.data)
            told = None if isinstance(elements, Malformed) else elements.get(Element.MD5_RESULT)
            wanted = md5_result(self._challenge, self._secret).encode()
            if told is not None and hmac.compare_digest(told, wanted):
                self.offered = True
                self._events.append(SetUpReceived(self._elements))
            else:
                self.reject(29, "wrong secret", 0.0, now_ms)  # Q.931: facility rejected
            return True
        return frame.subclass in (Iax.AUTHREP, Iax.NEW)

    def answer(self, codec: int, elements: list[tuple[int, bytes]], now_ms: float) -> None:
        """The call stands: ACCEPT with the codec, where none has gone, and ANSWER with the description."""
        if self.is_closing or self.is_ended or self.answered:
            return
        self.answered = True
        self.accept(codec, now_ms)
        self.transport.send(FrameType.CONTROL, Control.ANSWER, Elements(elements).encode(), now_ms)

    def accept(self, codec: int, now_ms: float) -> None:
        """The set-up is being worked on."""
        if not self.accepted and not self.is_closing and not self.is_ended:
            self.accepted = True
            told = Elements([(Element.FORMAT, codec.to_bytes(4, "big"))])
            self.transport.send(FrameType.IAX, Iax.ACCEPT, told.encode(), now_ms)

    def ring(self, now_ms: float) -> None:
        """The set-up has come further."""
        self.transport.send(FrameType.CONTROL, Control.RINGING, b"", now_ms)

    def reject(self, cause: int, why: str, stay_away_ms: float, now_ms: float) -> None:
        """Turn the set-up away; the caller may come back after that time, if it is above 0."""
        elements: list[tuple[int, bytes]] = [(Element.CAUSECODE, bytes((cause,)))]
        if why:
            elements.append((Element.CAUSE, why.encode("ascii")))
        if stay_away_ms > 0:
            elements.append((Element.STAY_AWAY_MS, round(stay_away_ms).to_bytes(4, "big")))
        self._last(Iax.REJECT, elements, now_ms)
