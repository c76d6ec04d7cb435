"""The leg of a call that this side places. Which frame moves which stage stands in `MOVES` (docs/iax2.md)."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from pearloom.core.errors import Malformed
from pearloom.iax2.attempt_endings import CAUSE_NORMAL, NEVER_RAN, SetUpFailure, Stage, may_send
from pearloom.iax2.challenge import md5_result
from pearloom.iax2.events import (
    Answered,
    Event,
    Failed,
    HungUp,
    Rejected,
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
    join_description,
)
from pearloom.iax2.leg import Leg


class Signal(Enum):
    """What a peer that was called may say, beside the end of the leg."""

    ACK = "ACK"
    TOKEN = "CALLTOKEN"
    CHALLENGE = "AUTHREQ"
    ACCEPT = "ACCEPT"
    PROGRESS = "RINGING, PROGRESS or PROCEEDING"
    ANSWER = "ANSWER"


# From which stage to which each word of the peer leads; what has no entry changes nothing.
MOVES: dict[tuple[Stage, Signal], Stage] = {
    (Stage.SENT, Signal.ACK): Stage.ACKNOWLEDGED,
    (Stage.TOKEN_SENT, Signal.ACK): Stage.ACKNOWLEDGED,
    (Stage.AUTH_SENT, Signal.ACK): Stage.ACKNOWLEDGED,
    (Stage.SENT, Signal.TOKEN): Stage.TOKEN_ASKED,
    (Stage.SENT, Signal.CHALLENGE): Stage.CHALLENGED,
    (Stage.TOKEN_SENT, Signal.CHALLENGE): Stage.CHALLENGED,
    # The peer acknowledged the NEW first, and its challenge then shows that it has not begun.
    (Stage.ACKNOWLEDGED, Signal.CHALLENGE): Stage.CHALLENGED,
} | {
    (stage, signal): done
    for stage in (Stage.SENT, Stage.TOKEN_SENT, Stage.AUTH_SENT, Stage.ACKNOWLEDGED, Stage.ACCEPTED)
    for signal, done in (
        (Signal.ACCEPT, Stage.ACCEPTED),
        (Signal.PROGRESS, Stage.ACCEPTED),
        (Signal.ANSWER, Stage.ANSWERED),
    )
}


_UNHEARD = tuple(stage for stage, signal in MOVES if signal is Signal.ACK)


class OutLeg(Leg):
    """A leg on which this side places a call."""

    def __init__(
        self, source: int, elements: Elements, secret: str, now_ms: float, wanted: Callable[[], bool]
    ) -> None:
        """`wanted`: may new work still go to this peer? Asked before any frame that starts some."""
        super().__init__(source, now_ms)
        self.stage = Stage.NOTHING_SENT
        self._elements = elements.encode()  # sent twice where the peer asks for a token
        self._secret = secret
        self._wanted = wanted
        self._challenged = False

    def start(self, now_ms: float) -> None:
        """Send NEW, ready to bring a token back."""
        self._new(b"", Stage.SENT, now_ms)

    def _new(self, token: bytes, stage: Stage, now_ms: float) -> None:
        data = self._elements + Elements([(Element.CALLTOKEN, token)]).encode()
        self._begin(Iax.NEW, data, stage, now_ms)

    def _begin(self, kind: Iax, data: bytes, stage: Stage, now_ms: float) -> None:
        """Send a frame that starts work, unless its server's drain or the call's end stops it."""
        if not self._may_send():
            self._fail(SetUpFailure.WITHDRAWN, now_ms, "not wanted any more")
            return
        self.stage = stage
        self.transport.send(FrameType.IAX, kind, data, now_ms, self._may_send)

    def _may_send(self) -> bool:
        return may_send(self.stage, self._wanted(), not self.is_closing)

    @property
    def never_ran(self) -> bool:
        """Is it proven that nothing runs of this set-up?"""
        return self.stage in NEVER_RAN

    def _move(self, signal: Signal) -> bool:
        done = None if self.is_closing else MOVES.get((self.stage, signal))
        if done is None:
            return False
        self.stage = done
        return True

    def _full(self, frame: FullFrame, now_ms: float) -> None:
        before = self.transport.unconfirmed
        super()._full(frame, now_ms)
        if self.transport.unconfirmed < before and self.stage in _UNHEARD and not frame.is_iax(Iax.CALLTOKEN):
            self._move(Signal.ACK)

    def _unnumbered(self, frame: FullFrame, now_ms: float) -> None:
        if frame.is_iax(Iax.CALLTOKEN) and self._move(Signal.TOKEN):
            elements = decode_elements(frame.data)
            token = None if isinstance(elements, Malformed) else elements.get(Element.CALLTOKEN)
            if not token:
                self._fail(SetUpFailure.SPOILT, now_ms, "a CALLTOKEN without a token")
                return
            self.transport.restart()
            self._new(token, Stage.TOKEN_SENT, now_ms)

    def _own(self, frame: FullFrame, now_ms: float) -> bool:
        if frame.subclass == Iax.AUTHREQ:
            self._challenge(frame, now_ms)
        elif frame.subclass == Iax.ACCEPT:
            self._move(Signal.ACCEPT)
        else:
            return False
        return True

    def _challenge(self, frame: FullFrame, now_ms: float) -> None:
        # Guards against a peer that challenges without end, each time with a proof that nothing has begun.
        if self._challenged or not self._move(Signal.CHALLENGE):
            return
        self._challenged = True
        elements = decode_elements(frame.data)
        challenge = None if isinstance(elements, Malformed) else elements.text(Element.CHALLENGE)
        methods = 0 if isinstance(elements, Malformed) else elements.number(Element.AUTHMETHODS, 2) or 0
        if not challenge or not methods & AUTH_MD5 or not self._secret:
            self._fail(SetUpFailure.SPOILT, now_ms, "a challenge that can't be answered")
            return
        result = Elements([(Element.MD5_RESULT, md5_result(challenge, self._secret).encode())])
        self._begin(Iax.AUTHREP, result.encode(), Stage.AUTH_SENT, now_ms)

    def _control(self, frame: FullFrame, now_ms: float) -> None:
        match frame.subclass:
            case Control.ANSWER:
                self._answer(frame, now_ms)
            case Control.RINGING | Control.PROGRESS | Control.PROCEEDING:
                self._move(Signal.PROGRESS)
            case Control.HANGUP | Control.BUSY | Control.CONGESTION if not self.is_closing:
                # Their causes come with the HANGUP that follows.
                self._move(Signal.PROGRESS)

    def _answer(self, frame: FullFrame, now_ms: float) -> None:
        stage = self.stage
        if not self._move(Signal.ANSWER):
            return  # a second one, or one that crossed this side's HANGUP, changes nothing
        elements = decode_elements(frame.data)
        description = elements if isinstance(elements, Malformed) else join_description(elements)
        if isinstance(elements, Malformed) or isinstance(description, Malformed):
            # Guards against passing on what is not as the server made it.
            self.stage = stage
            self._fail(SetUpFailure.SPOILT, now_ms, getattr(description, "reason", "malformed"))
            return
        self._events.append(Answered(description, elements.text(Element.CIRCUITS) or ""))

    def _hung_up(self, cause: int, elements: Elements, early: bool) -> None:
        if self.stage is Stage.ANSWERED:
            self._events.append(HungUp(cause))
            return
        if early:
            # Guards against taking a call that stood for a moment for one that was turned away.
            self._events.append(Failed(self.stage, SetUpFailure.CUT))
            return
        why = elements.text(Element.CAUSE) or ""
        circuits = elements.text(Element.CIRCUITS) or ""
        self._events.append(Rejected(self.stage, cause, why, circuits))

    def _unknown_there(self, now_ms: float) -> None:
        if self.stage is Stage.ANSWERED:
            super()._unknown_there(now_ms)
        else:
            self._events.append(Failed(self.stage, SetUpFailure.UNKNOWN_THERE))
            self._end()

    def _given_up(self, now_ms: float) -> None:
        if self.stage is Stage.ANSWERED:
            super()._given_up(now_ms)
        else:
            self._fail(SetUpFailure.WITHDRAWN if self.transport.stopped else SetUpFailure.SILENT, now_ms, "")

    def fail(self, end: SetUpFailure, now_ms: float) -> list[Event]:
        """End the set-up for a reason that this side has; nothing where it is over or has its answer."""
        if not self.is_ended and not self.is_closing and self.stage is not Stage.ANSWERED:
            self._fail(end, now_ms, "")
        return self._taken()

    def _fail(self, end: SetUpFailure, now_ms: float, reason: str) -> None:
        self._events.append(Failed(self.stage, end, reason))
        self.hang_up(CAUSE_NORMAL, now_ms)
