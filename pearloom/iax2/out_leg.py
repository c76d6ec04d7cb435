"""Outgoing leg: a call that this side places. `TRANSITIONS` lists its stages (docs/iax2.md)."""

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
    """What the called peer may signal, apart from the end of the leg."""

    ACK = "ACK"
    TOKEN = "CALLTOKEN"
    CHALLENGE = "AUTHREQ"
    ACCEPT = "ACCEPT"
    PROGRESS = "RINGING, PROGRESS or PROCEEDING"
    ANSWER = "ANSWER"


# The next stage for each stage and signal; a pair without an entry changes nothing.
TRANSITIONS: dict[tuple[Stage, Signal], Stage] = {
    (Stage.SENT, Signal.ACK): Stage.ACKNOWLEDGED,
    (Stage.TOKEN_SENT, Signal.ACK): Stage.ACKNOWLEDGED,
    (Stage.AUTH_SENT, Signal.ACK): Stage.ACKNOWLEDGED,
    (Stage.SENT, Signal.TOKEN): Stage.TOKEN_ASKED,
    (Stage.SENT, Signal.CHALLENGE): Stage.CHALLENGED,
    (Stage.TOKEN_SENT, Signal.CHALLENGE): Stage.CHALLENGED,
    # The peer acknowledged the NEW first; its challenge shows that it has not started work.
    (Stage.ACKNOWLEDGED, Signal.CHALLENGE): Stage.CHALLENGED,
} | {
    (stage, signal): target
    for stage in (Stage.SENT, Stage.TOKEN_SENT, Stage.AUTH_SENT, Stage.ACKNOWLEDGED, Stage.ACCEPTED)
    for signal, target in (
        (Signal.ACCEPT, Stage.ACCEPTED),
        (Signal.PROGRESS, Stage.ACCEPTED),
        (Signal.ANSWER, Stage.ANSWERED),
    )
}


_AWAITING_ACK = tuple(stage for stage, signal in TRANSITIONS if signal is Signal.ACK)


class OutLeg(Leg):
    """A leg that this side opens with a NEW."""

    def __init__(
        self, source: int, elements: Elements, secret: str, now_ms: float, is_wanted: Callable[[], bool]
    ) -> None:
        """`is_wanted` is called before each frame that starts work: may the peer get new work?"""
        super().__init__(source, now_ms)
        self.stage = Stage.NOTHING_SENT
        self._elements = elements.encode()  # sent again if the peer asks for a token
        self._secret = secret
        self._is_wanted = is_wanted
        self._was_challenged = False

    def start(self, now_ms: float) -> None:
        """Send NEW with an empty CALLTOKEN, which shows that this side supports call tokens."""
        self._send_new(b"", Stage.SENT, now_ms)

    def _send_new(self, token: bytes, stage: Stage, now_ms: float) -> None:
        data = self._elements + Elements([(Element.CALLTOKEN, token)]).encode()
        self._send_work(Iax.NEW, data, stage, now_ms)

    def _send_work(self, subclass: Iax, data: bytes, stage: Stage, now_ms: float) -> None:
        """Send a frame that starts work, unless the peer may get no new work."""
        if not self._may_send():
            self._fail(SetUpFailure.WITHDRAWN, now_ms, "no longer wanted")
            return
        self.stage = stage
        self.transport.send(FrameType.IAX, subclass, data, now_ms, self._may_send)

    def _may_send(self) -> bool:
        return may_send(self.stage, self._is_wanted(), not self.is_closing)

    @property
    def never_ran(self) -> bool:
        """Whether it is certain that the peer has not started this set-up."""
        return self.stage in NEVER_RAN

    def _transition(self, signal: Signal) -> bool:
        target = None if self.is_closing else TRANSITIONS.get((self.stage, signal))
        if target is None:
            return False
        self.stage = target
        return True

    def _receive_full(self, frame: FullFrame, now_ms: float) -> None:
        pending_before = self.transport.unacknowledged
        super()._receive_full(frame, now_ms)
        if (
            self.transport.unacknowledged < pending_before
            and self.stage in _AWAITING_ACK
            and not frame.is_iax(Iax.CALLTOKEN)
        ):
            self._transition(Signal.ACK)

    def _receive_unnumbered(self, frame: FullFrame, now_ms: float) -> None:
        if frame.is_iax(Iax.CALLTOKEN) and self._transition(Signal.TOKEN):
            elements = decode_elements(frame.data)
            token = None if isinstance(elements, Malformed) else elements.get(Element.CALLTOKEN)
            if not token:
                self._fail(SetUpFailure.SPOILT, now_ms, "a CALLTOKEN without a token")
                return
            self.transport.restart()
            self._send_new(token, Stage.TOKEN_SENT, now_ms)

    def _receive_own_iax(self, frame: FullFrame, now_ms: float) -> bool:
        if frame.subclass == Iax.AUTHREQ:
            self._answer_challenge(frame, now_ms)
        elif frame.subclass == Iax.ACCEPT:
            self._transition(Signal.ACCEPT)
        else:
            return False
        return True

    def _answer_challenge(self, frame: FullFrame, now_ms: float) -> None:
        # Guards against endless challenges, each of which would count as proof that no work has started.
        if self._was_challenged or not self._transition(Signal.CHALLENGE):
            return
        self._was_challenged = True
        elements = decode_elements(frame.data)
        challenge = None if isinstance(elements, Malformed) else elements.text(Element.CHALLENGE)
        methods = 0 if isinstance(elements, Malformed) else elements.number(Element.AUTHMETHODS, 2) or 0
        if not challenge or not methods & AUTH_MD5 or not self._secret:
            self._fail(SetUpFailure.SPOILT, now_ms, "a challenge that can't be answered")
            return
        result = Elements([(Element.MD5_RESULT, md5_result(challenge, self._secret).encode())])
        self._send_work(Iax.AUTHREP, result.encode(), Stage.AUTH_SENT, now_ms)

    def _receive_control(self, frame: FullFrame, now_ms: float) -> None:
        match frame.subclass:
            case Control.ANSWER:
                self._receive_answer(frame, now_ms)
            case Control.RINGING | Control.PROGRESS | Control.PROCEEDING:
                self._transition(Signal.PROGRESS)
            case Control.HANGUP | Control.BUSY | Control.CONGESTION if not self.is_closing:
                # The cause comes with the HANGUP that follows.
                self._transition(Signal.PROGRESS)

    def _receive_answer(self, frame: FullFrame, now_ms: float) -> None:
        stage = self.stage
        if not self._transition(Signal.ANSWER):
            return  # a repeated answer, or one that crossed this side's HANGUP
        elements = decode_elements(frame.data)
        description = elements if isinstance(elements, Malformed) else join_description(elements)
        if isinstance(elements, Malformed) or isinstance(description, Malformed):
            # Guards against passing on a malformed description.
            self.stage = stage
            self._fail(SetUpFailure.SPOILT, now_ms, getattr(description, "reason", "malformed"))
            return
        self._events.append(Answered(description, elements.text(Element.CIRCUITS) or ""))

    def _on_peer_hang_up(self, cause: int, elements: Elements, has_gap: bool) -> None:
        if self.stage is Stage.ANSWERED:
            self._events.append(HungUp(cause))
            return
        if has_gap:
            # Guards against treating a call that was answered for a moment as a rejected one.
            self._events.append(Failed(self.stage, SetUpFailure.CUT))
            return
        reason = elements.text(Element.CAUSE) or ""
        circuits = elements.text(Element.CIRCUITS) or ""
        self._events.append(Rejected(self.stage, cause, reason, circuits))

    def _on_inval(self, now_ms: float) -> None:
        if self.stage is Stage.ANSWERED:
            super()._on_inval(now_ms)
        else:
            self._events.append(Failed(self.stage, SetUpFailure.UNKNOWN_THERE))
            self._end()

    def _on_delivery_failure(self, now_ms: float) -> None:
        if self.stage is Stage.ANSWERED:
            super()._on_delivery_failure(now_ms)
        else:
            self._fail(SetUpFailure.WITHDRAWN if self.transport.stopped else SetUpFailure.SILENT, now_ms, "")

    def fail(self, failure: SetUpFailure, now_ms: float) -> list[Event]:
        """End the set-up for a local reason; no effect once it has ended or been answered."""
        if not self.is_ended and not self.is_closing and self.stage is not Stage.ANSWERED:
            self._fail(failure, now_ms, "")
        return self._take_events()

    def _fail(self, failure: SetUpFailure, now_ms: float, reason: str) -> None:
        self._events.append(Failed(self.stage, failure, reason))
        self.hang_up(CAUSE_NORMAL, now_ms)
