"""Reliable delivery of the full frames of one leg (RFC 5456, section 7): sequence, ACKs, retransmissions.

No socket and no clock: the caller passes received frames and the time in, and sends the datagrams that
`take_datagrams` returns. Both sequence numbers are octets that wrap; they are compared modulo 256, which is
valid while fewer than 128 frames are unacknowledged.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from pearloom.iax2.frames import FrameType, FullFrame, Iax, encode_full, mark_retransmitted

FIRST_RTT_MS = 60.0  # estimate before the first sample: two regions and some processing
MIN_RETRY_MS = 50.0
MAX_RETRY_MS = 1000.0
FIXED_INTERVAL_TRIES = 4  # of a leg's last frame, before its interval doubles: a release is due within 1 s
MAX_TRIES = 6  # sendings of a frame: at 0, 0.12, 0.36, 0.84, 1.8 and 2.8 s; given up 1 s later
MAX_CLOSING_TRIES = 10  # sendings of a leg's last frame: it reaches even a peer that was cut off for seconds
MAX_UNACKNOWLEDGED = 64  # frames: within the 127 that octets can order, and a bound on a leg's memory
RTT_GAIN = 0.125  # weight of a new sample in the smoothed round-trip time


class Verdict(Enum):
    """How a received frame is to be handled."""

    ACCEPT = "next in sequence, or outside the sequence"
    DUPLICATE = "received before"
    OUT_OF_ORDER = "an earlier frame is missing"


@dataclass(slots=True)
class _Sent:
    """A sent full frame that is not acknowledged yet."""

    oseq: int
    data: bytes
    sent_ms: float
    due_ms: float
    interval_ms: float
    tries: int
    may_retransmit: Callable[[], bool] | None
    is_last: bool = False  # the leg's last frame: its first intervals are equal


class Transport:
    """The sent and the received sequence of full frames of one leg."""

    def __init__(self, source: int, began_ms: float, destination: int = 0) -> None:
        """Start both sequences; `source` and `destination` are the two call numbers, 0: not known yet."""
        self.source, self.destination = source, destination
        self.began_ms = began_ms
        self.outgoing: list[bytes] = []  # datagrams to be sent, for `take_datagrams`
        self.lost = False  # a frame was not acknowledged after all its sendings
        self.stopped = False  # an unacknowledged frame may no longer be retransmitted
        self._oseq = self._iseq = 0
        self._pending: deque[_Sent] = deque()
        self._rtt_ms = FIRST_RTT_MS
        self._last_timestamp = -1
        self._vnak_sent_for = -1  # the missing sequence number that a VNAK asked for, -1: none
        self._ack_timestamp = -1  # timestamp for the ACK that is due, -1: none

    def next_timestamp(self, now_ms: float) -> int:
        """Return the timestamp of a new full frame: ms since the leg's start, always increasing (7.1.2)."""
        self._last_timestamp = max(int(now_ms - self.began_ms), self._last_timestamp + 1)
        return self._last_timestamp

    def send(
        self,
        frame_type: int,
        subclass: int,
        data: bytes,
        now_ms: float,
        may_retransmit: Callable[[], bool] | None = None,
        timestamp: int | None = None,
        is_last: bool = False,
    ) -> bool:
        """Send a frame in sequence; return False if too many frames are unacknowledged.

        `may_retransmit` is called before each retransmission: an unwanted frame is not sent again. `is_last`
        marks the last frame of the leg."""
        if len(self._pending) >= MAX_UNACKNOWLEDGED:
            return False
        own_timestamp = self.next_timestamp(now_ms) if timestamp is None else timestamp
        encoded = encode_full(
            FullFrame(
                self.source,
                self.destination,
                own_timestamp,
                self._oseq,
                self._iseq,
                frame_type,
                subclass,
                data,
            )
        )
        interval_ms = min(max(2 * self._rtt_ms, MIN_RETRY_MS), MAX_RETRY_MS)
        self._pending.append(
            _Sent(self._oseq, encoded, now_ms, now_ms + interval_ms, interval_ms, 1, may_retransmit, is_last)
        )
        self._oseq = (self._oseq + 1) & 0xFF
        self._ack_timestamp = -1
        self.outgoing.append(encoded)
        return True

    def take_datagrams(self) -> list[bytes]:
        """Return the datagrams to be sent, in order; one ACK covers all frames since the last call."""
        if self._ack_timestamp >= 0:
            self.send_unnumbered(Iax.ACK, self._ack_timestamp)
            self._ack_timestamp = -1
        datagrams, self.outgoing = self.outgoing, []
        return datagrams

    def acknowledge(self, timestamp: int) -> None:
        """Acknowledge all frames received so far, with the next frame in sequence or with an ACK."""
        self._ack_timestamp = timestamp

    def send_unnumbered(self, subclass: Iax, timestamp: int) -> None:
        """Send a frame outside the sequence, with the timestamp of the frame that it answers."""
        self.outgoing.append(
            encode_full(
                FullFrame(
                    self.source, self.destination, timestamp, self._oseq, self._iseq, FrameType.IAX, subclass
                )
            )
        )

    def restart(self) -> None:
        """Start the sequences again, as after a CALLTOKEN: the peer stored nothing of what it received."""
        self._pending.clear()
        self._oseq = self._iseq = 0
        self._vnak_sent_for = -1

    def discard_unacknowledged(self) -> None:
        """Stop retransmitting all frames sent so far."""
        self._pending.clear()

    def prepare_close(self, now_ms: float) -> None:
        """Prepare for the leg's last frame: reset the retransmission state, and start no more work.

        Guards against a gap in the sequence: a frame that may not be retransmitted is replaced by a PING with
        its sequence number, so that a peer that missed it can still accept the last frame."""
        self.lost = self.stopped = False
        for sent in self._pending:
            sent.tries, sent.due_ms = 1, now_ms + sent.interval_ms
            if sent.may_retransmit is not None:
                sent.may_retransmit = None
                timestamp = int.from_bytes(sent.data[4:8], "big")
                sent.data = encode_full(
                    FullFrame(
                        self.source,
                        self.destination,
                        timestamp,
                        sent.oseq,
                        self._iseq,
                        FrameType.IAX,
                        Iax.PING,
                    )
                )

    @property
    def unacknowledged(self) -> int:
        """The number of frames that wait for an acknowledgement."""
        return len(self._pending)

    def receive(self, frame: FullFrame, now_ms: float) -> Verdict:
        """Process the sequence numbers of a received full frame; `frame.iseq` acknowledges sent frames."""
        self._process_acknowledgement(frame, now_ms)
        if not frame.is_numbered:
            if frame.subclass == Iax.VNAK:
                self._retransmit_from(frame.iseq, now_ms)
            return Verdict.ACCEPT
        ahead = (frame.oseq - self._iseq) & 0xFF
        if ahead == 0:
            self._iseq = (self._iseq + 1) & 0xFF
            self._vnak_sent_for = -1
            return Verdict.ACCEPT
        if ahead >= 128:
            # Guards against a lost ACK: the peer retransmits until it receives one.
            self.acknowledge(frame.timestamp)
            return Verdict.DUPLICATE
        if self._vnak_sent_for != self._iseq:
            self._vnak_sent_for = self._iseq  # one VNAK per gap; the peer's own retransmissions do the rest
            self.send_unnumbered(Iax.VNAK, frame.timestamp)
        return Verdict.OUT_OF_ORDER

    def _process_acknowledgement(self, frame: FullFrame, now_ms: float) -> None:
        # Guards against a very old frame, whose number would acknowledge all pending frames.
        acknowledged = (frame.iseq - self._first_unacknowledged) & 0xFF
        if acknowledged > len(self._pending):
            return
        for _ in range(acknowledged):
            sent = self._pending.popleft()
            if sent.tries == 1:  # with several sendings it is unknown which one was acknowledged
                self._rtt_ms += RTT_GAIN * (now_ms - sent.sent_ms - self._rtt_ms)

    @property
    def _first_unacknowledged(self) -> int:
        return self._pending[0].oseq if self._pending else self._oseq

    def _retransmit_from(self, oseq: int, now_ms: float) -> None:
        for sent in self._pending:
            if (sent.oseq - oseq) & 0xFF < 128:
                self._retransmit(sent, now_ms)

    def _retransmit(self, sent: _Sent, now_ms: float) -> None:
        if sent.may_retransmit is not None and not sent.may_retransmit():
            self.stopped = True
            return
        sent.tries += 1
        if not sent.is_last or sent.tries > FIXED_INTERVAL_TRIES:
            sent.interval_ms = min(2 * sent.interval_ms, MAX_RETRY_MS)
        sent.due_ms = now_ms + sent.interval_ms
        self.outgoing.append(mark_retransmitted(sent.data, self._iseq))

    def due_ms(self) -> float:
        """Return the time of the next retransmission, or infinity if no frame is pending."""
        due = math.inf
        for sent in self._pending:
            if sent.due_ms < due:
                due = sent.due_ms
        return due

    def tick(self, now_ms: float) -> None:
        """Retransmit frames that are due; set `lost` or `stopped` when that is no longer possible."""
        for sent in self._pending:
            if sent.due_ms <= now_ms:
                if sent.tries >= (MAX_CLOSING_TRIES if sent.is_last else MAX_TRIES):
                    self.lost = True
                    return
                self._retransmit(sent, now_ms)
                if self.stopped:
                    return
