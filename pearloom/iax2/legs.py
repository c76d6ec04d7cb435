"""The legs of one socket: their call numbers, their timers, and what is sent for them."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from pearloom.core.exchange import Exchange
from pearloom.iax2.call_numbers import CallNumbers
from pearloom.iax2.events import Event
from pearloom.iax2.frames import FrameType, FullFrame, Iax, encode_full
from pearloom.iax2.leg import Leg

NO_LEG = 0x7FFF  # this side's call number in what is answered without a leg
L = TypeVar("L", bound=Leg)


class Legs(Generic[L]):
    """Legs by this side's call number, each looked at when it has something to repeat."""

    def __init__(
        self,
        exchange: Exchange,
        now_ms: Callable[[], float],
        send: Callable[[L, bytes], None],
        on_event: Callable[[L, Event], None],
        first: int,
    ) -> None:
        """`first` is the call number that is given out first."""
        self._exchange, self._now_ms = exchange, now_ms
        self._send, self._on_event = send, on_event
        self._numbers = CallNumbers(first, NO_LEG - 1)
        self._legs: dict[int, L] = {}
        self._touched: dict[int, L] = {}  # legs with frames taken since the last flush
        self._timers: dict[int, float] = {}  # by call number: when its timer comes

    def __len__(self) -> int:
        """How many there are."""
        return len(self._legs)

    def get(self, number: int) -> L | None:
        """The leg under this side's call number."""
        return self._legs.get(number)

    def all(self) -> list[L]:
        """All legs."""
        return list(self._legs.values())

    def number(self) -> int | None:
        """A call number for a new leg; None where they have run out."""
        return self._numbers.allocate(self._now_ms())

    def add(self, leg: L) -> None:
        """Keep a leg until `gone`."""
        self._legs[leg.source] = leg

    def gone(self, leg: L) -> None:
        """It is over: its number rests."""
        if self._legs.pop(leg.source, None) is not None:
            self._timers.pop(leg.source, None)
            self._numbers.release(leg.source, self._now_ms())

    def ask(self, numbers: Iterable[int]) -> int:
        """Send a PING on each of these legs that is still there; returns on how many."""
        asked = [leg for number in numbers if (leg := self._legs.get(number)) is not None]
        for leg in asked:
            leg.ping(self._now_ms())
            self.flush(leg, [])
        return len(asked)

    def took(self, leg: L, events: list[Event]) -> None:
        """Tell what happened at a frame; what is to be sent for it goes with `flush_all`."""
        self._touched[leg.source] = leg
        for event in events:
            self._on_event(leg, event)

    def flush_all(self) -> None:
        """All that had come has been taken: send what it brought about, one acknowledgement for several."""
        while self._touched:
            self.flush(self._touched.popitem()[1], [])

    def flush(self, leg: L, events: list[Event]) -> None:
        """Tell what happened, send what the leg has to send, and look at it again in time."""
        for event in events:
            self._on_event(leg, event)
        for data in leg.take_datagrams():
            self._send(leg, data)
        self._arm(leg)

    def _arm(self, leg: L) -> None:
        due = leg.due_ms()
        if due < self._timers.get(leg.source, math.inf) and self._legs.get(leg.source) is leg:
            self._timers[leg.source] = due
            self._exchange.after_ms(due - self._now_ms(), lambda: self._look(leg, due))

    def _look(self, leg: L, due: float) -> None:
        if self._timers.get(leg.source) == due and self._legs.get(leg.source) is leg:
            del self._timers[leg.source]
            now = self._now_ms()
            if leg.due_ms() <= now:
                self.flush(leg, leg.tick(now))
            else:
                self._arm(leg)  # what was due has been confirmed since


def answer_without_leg(frame: FullFrame, kind: Iax, elements: bytes = b"") -> bytes:
    """A frame in answer to one that belongs to no leg, from the number that stands for none."""
    return encode_full(
        FullFrame(
            NO_LEG, frame.source, frame.timestamp, 0, (frame.oseq + 1) & 0xFF, FrameType.IAX, kind, elements
        )
    )
