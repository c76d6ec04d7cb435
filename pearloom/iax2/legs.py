"""The legs of one socket: their call numbers, timers and outgoing datagrams."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from pearloom.core.exchange import Exchange
from pearloom.iax2.call_numbers import CallNumbers
from pearloom.iax2.events import Event
from pearloom.iax2.frames import FrameType, FullFrame, Iax, encode_full
from pearloom.iax2.leg import Leg

NO_LEG = 0x7FFF  # this side's call number in replies that belong to no leg
L = TypeVar("L", bound=Leg)


class Legs(Generic[L]):
    """Legs by this side's call number, each with a timer for its retransmissions and timeouts."""

    def __init__(
        self,
        exchange: Exchange,
        now_ms: Callable[[], float],
        send: Callable[[L, bytes], None],
        on_event: Callable[[L, Event], None],
        first_number: int,
    ) -> None:
        """`first_number` is the first call number to be allocated."""
        self._exchange, self._now_ms = exchange, now_ms
        self._send, self._on_event = send, on_event
        self._numbers = CallNumbers(first_number, NO_LEG - 1)
        self._legs: dict[int, L] = {}
        self._touched: dict[int, L] = {}  # legs with frames received since the last flush
        self._timers: dict[int, float] = {}  # by call number: when its timer expires, ms

    def __len__(self) -> int:
        """The number of legs."""
        return len(self._legs)

    def get(self, number: int) -> L | None:
        """Return the leg with this side's call number, or None."""
        return self._legs.get(number)

    def all(self) -> list[L]:
        """Return all legs."""
        return list(self._legs.values())

    def allocate_number(self) -> int | None:
        """Return a call number for a new leg, or None if none is free."""
        return self._numbers.allocate(self._now_ms())

    def add(self, leg: L) -> None:
        """Add a leg."""
        self._legs[leg.source] = leg

    def remove(self, leg: L) -> None:
        """Remove a leg that has ended, and release its call number."""
        if self._legs.pop(leg.source, None) is not None:
            self._timers.pop(leg.source, None)
            self._numbers.release(leg.source, self._now_ms())

    def ping(self, numbers: Iterable[int]) -> int:
        """Send a PING on each of these legs that still exists; return their count."""
        pinged = [leg for number in numbers if (leg := self._legs.get(number)) is not None]
        for leg in pinged:
            leg.ping(self._now_ms())
            self.flush(leg, [])
        return len(pinged)

    def dispatch(self, leg: L, events: list[Event]) -> None:
        """Report the events of a received frame; its replies are sent by `flush_all`."""
        self._touched[leg.source] = leg
        for event in events:
            self._on_event(leg, event)

    def flush_all(self) -> None:
        """Send the replies to all received frames, with one acknowledgement for several."""
        while self._touched:
            self.flush(self._touched.popitem()[1], [])

    def flush(self, leg: L, events: list[Event]) -> None:
        """Report events, send the leg's datagrams, and schedule its timer."""
        for event in events:
            self._on_event(leg, event)
        for data in leg.take_datagrams():
            self._send(leg, data)
        self._schedule(leg)

    def _schedule(self, leg: L) -> None:
        due_ms = leg.due_ms()
        if due_ms < self._timers.get(leg.source, math.inf) and self._legs.get(leg.source) is leg:
            self._timers[leg.source] = due_ms
            self._exchange.after_ms(due_ms - self._now_ms(), lambda: self._on_timer(leg, due_ms))

    def _on_timer(self, leg: L, due_ms: float) -> None:
        if self._timers.get(leg.source) == due_ms and self._legs.get(leg.source) is leg:
            del self._timers[leg.source]
            now = self._now_ms()
            if leg.due_ms() <= now:
                self.flush(leg, leg.tick(now))
            else:
                self._schedule(leg)  # the due frame has been acknowledged since


def answer_without_leg(frame: FullFrame, subclass: Iax, elements: bytes = b"") -> bytes:
    """Return a reply to a frame that belongs to no leg.

    Its source is the call number that the frame was sent to, so that the peer finds its leg by both numbers;
    NO_LEG for a frame that names none."""
    return encode_full(
        FullFrame(
            frame.destination or NO_LEG,
            frame.source,
            frame.timestamp,
            0,
            (frame.oseq + 1) & 0xFF,
            FrameType.IAX,
            subclass,
            elements,
        )
    )
