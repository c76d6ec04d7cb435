"""Reliable delivery of one leg's full frames (RFC 5456, section 7): order, acknowledgement, repeats.

Frames and the time go in, bytes and verdicts come out; it has no socket and no clock. Both numbers of the
order are octets and wrap; all comparisons are made modulo 256, which holds while fewer than 128 frames are
unconfirmed.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from pearloom.iax2.frames import FrameType, FullFrame, Iax, encode_full, mark_retransmitted

FIRST_RTT_MS = 60.0  # taken until the first sample: two regions and some work
LEAST_RETRY_MS = 50.0
MOST_RETRY_MS = 1000.0
STEADY_TRIES = 4  # of a leg's last frame, before its gaps double too: a release is owed within a second
MOST_TRIES = 6  # of one frame: 0, 0.12, 0.36, 0.84, 1.8 and 2.8 s after the start, given up 1 s after that
MOST_LAST_TRIES = 10  # of a leg's last frame: a peer that was cut off for seconds still hears of its end
MOST_UNCONFIRMED = 64  # frames: half of what octets can tell apart, and a bound on what one leg holds
RTT_GAIN = 0.125


class Verdict(Enum):
    """What is to be done with a frame that came."""

    TAKE = "take"
    AGAIN = "came before"
    EARLY = "something before it is missing"


@dataclass(slots=True)
class _Sent:
    """A full frame that is not confirmed yet."""

    oseq: int
    data: bytes
    sent_ms: float
    due_ms: float
    wait_ms: float
    tries: int
    may_repeat: Callable[[], bool] | None
    steady: bool = False  # its first gaps are alike


class Transport:
    """One leg's two streams of numbered frames."""

    def __init__(self, source: int, began_ms: float, destination: int = 0) -> None:
        """Nothing sent, nothing heard; `source` and `destination` are the two call numbers."""
        self.source, self.destination = source, destination
        self.began_ms = began_ms
        self.out: list[bytes] = []  # datagrams to be sent; the host takes them
        self.lost = False  # a frame was not confirmed after all its tries
        self.stopped = False  # a frame may not be repeated any more, and nobody confirmed it
        self._oseq = self._iseq = 0
        self._pending: deque[_Sent] = deque()
        self._rtt_ms = FIRST_RTT_MS
        self._stamp = -1
        self._vnak_of = -1  # the missing frame that has been asked for
        self._ack_of = -1  # the time of the frame to be acknowledged, unless a numbered one goes out first

    # --- sending -----------------------------------------------------------------------------------------
    def stamp(self, now_ms: float) -> int:
        """The time of a new full frame: ms since the leg began, each later than the one before (7.1.2)."""
        self._stamp = max(int(now_ms - self.began_ms), self._stamp + 1)
        return self._stamp

    def send(
        self,
        kind: int,
        subclass: int,
        data: bytes,
        now_ms: float,
        may_repeat: Callable[[], bool] | None = None,
        stamp: int | None = None,
        steady: bool = False,
    ) -> bool:
        """Send a numbered frame; False where too many are unconfirmed.

        `may_repeat` is asked before each repeat: a frame that became unwanted does not leave again."""
        if len(self._pending) >= MOST_UNCONFIRMED:
            return False
        told = self.stamp(now_ms) if stamp is None else stamp
        whole = encode_full(
            FullFrame(self.source, self.destination, told, self._oseq, self._iseq, kind, subclass, data)
        )
        wait = min(max(2 * self._rtt_ms, LEAST_RETRY_MS), MOST_RETRY_MS)
        self._pending.append(_Sent(self._oseq, whole, now_ms, now_ms + wait, wait, 1, may_repeat, steady))
        self._oseq = (self._oseq + 1) & 0xFF
        self._ack_of = -1
        self.out.append(whole)
        return True

    def take(self) -> list[bytes]:
        """The datagrams to be sent, in order; one acknowledgement stands for all that came since the last."""
        if self._ack_of >= 0:
            self.reply(Iax.ACK, self._ack_of)
            self._ack_of = -1
        out, self.out = self.out, []
        return out

    def acknowledge(self, stamp: int) -> None:
        """Confirm what has come so far, with the next numbered frame or by an ACK."""
        self._ack_of = stamp

    def reply(self, kind: Iax, stamp: int) -> None:
        """Send a frame outside the order: ACK and INVAL take the time of what they answer."""
        self.out.append(
            encode_full(
                FullFrame(self.source, self.destination, stamp, self._oseq, self._iseq, FrameType.IAX, kind)
            )
        )

    def restart(self) -> None:
        """Begin anew, as after a CALLTOKEN: the peer has kept nothing of what it was sent."""
        self._pending.clear()
        self._oseq = self._iseq = 0
        self._vnak_of = -1

    def forget(self) -> None:
        """Repeat nothing of what has been sent so far."""
        self._pending.clear()

    def wind_up(self, now_ms: float) -> None:
        """The leg's last frame follows: it gets all its tries, and no work is started any more.

        Guards against a hole in the order: the place of a frame that may not leave again is taken by a PING,
        so that the last frame can be heard by a peer that missed it."""
        self.lost = self.stopped = False
        for sent in self._pending:
            sent.tries, sent.due_ms = 1, now_ms + sent.wait_ms
            if sent.may_repeat is not None:
                sent.may_repeat = None
                stamp = int.from_bytes(sent.data[4:8], "big")
                sent.data = encode_full(
                    FullFrame(
                        self.source, self.destination, stamp, sent.oseq, self._iseq, FrameType.IAX, Iax.PING
                    )
                )

    @property
    def unconfirmed(self) -> int:
        """Frames that wait for their acknowledgement."""
        return len(self._pending)

    # --- receiving ---------------------------------------------------------------------------------------
    def heard(self, frame: FullFrame, now_ms: float) -> Verdict:
        """Take a full frame's numbers; `frame.iseq` confirms what the peer has."""
        self._confirm(frame, now_ms)
        if not frame.is_numbered:
            if frame.subclass == Iax.VNAK:
                self._repeat_from(frame.iseq, now_ms)
            return Verdict.TAKE
        ahead = (frame.oseq - self._iseq) & 0xFF
        if ahead == 0:
            self._iseq = (self._iseq + 1) & 0xFF
            self._vnak_of = -1
            return Verdict.TAKE
        if ahead >= 128:
            # Guards against a lost ACK: the peer repeats until it has one.
            self.acknowledge(frame.timestamp)
            return Verdict.AGAIN
        if self._vnak_of != self._iseq:
            self._vnak_of = self._iseq  # asked for once; the peer's own repeats do the rest
            self.reply(Iax.VNAK, frame.timestamp)
        return Verdict.EARLY

    def _confirm(self, frame: FullFrame, now_ms: float) -> None:
        # Guards against a frame of long ago whose number would confirm all that is out: it must lie within.
        confirmed = (frame.iseq - self._first_unconfirmed) & 0xFF
        if confirmed > len(self._pending):
            return
        for _ in range(confirmed):
            sent = self._pending.popleft()
            if sent.tries == 1:  # of a repeated frame it is not known which sending was confirmed
                self._rtt_ms += RTT_GAIN * (now_ms - sent.sent_ms - self._rtt_ms)

    @property
    def _first_unconfirmed(self) -> int:
        return self._pending[0].oseq if self._pending else self._oseq

    def _repeat_from(self, oseq: int, now_ms: float) -> None:
        for sent in self._pending:
            if (sent.oseq - oseq) & 0xFF < 128:
                self._repeat(sent, now_ms)

    def _repeat(self, sent: _Sent, now_ms: float) -> None:
        if sent.may_repeat is not None and not sent.may_repeat():
            self.stopped = True
            return
        sent.tries += 1
        if not sent.steady or sent.tries > STEADY_TRIES:
            sent.wait_ms = min(2 * sent.wait_ms, MOST_RETRY_MS)
        sent.due_ms = now_ms + sent.wait_ms
        self.out.append(mark_retransmitted(sent.data, self._iseq))

    # --- time --------------------------------------------------------------------------------------------
    def due_ms(self) -> float:
        """When `tick` has something to do; infinite where nothing waits."""
        due = math.inf
        for sent in self._pending:
            if sent.due_ms < due:
                due = sent.due_ms
        return due

    def tick(self, now_ms: float) -> None:
        """Repeat what is due; sets `lost` or `stopped` where that has come to its end."""
        for sent in self._pending:
            if sent.due_ms <= now_ms:
                if sent.tries >= (MOST_LAST_TRIES if sent.steady else MOST_TRIES):
                    self.lost = True
                    return
                self._repeat(sent, now_ms)
                if self.stopped:
                    return
