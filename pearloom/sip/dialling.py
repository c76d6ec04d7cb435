"""Decides when another connection to a session server is worth its hand-shake. No I/O; time is passed in.

One softswitch's hand-shakes cost little, but those of hundreds are a load that the servers bear. If the
settings put a price on hand-shakes, several set-ups therefore share a connection, and a server that closes
each new connection is not dialled in a loop. On the other hand, a connection that breaks takes all of its
set-ups along, so after such a break new set-ups are spread over more connections for a while.
"""

from __future__ import annotations

import math

SPREAD_LIMIT = 1  # unanswered set-ups on every connection at which another one is opened
SHARED_LIMIT = 4  # the same if hand-shakes have a price: 6 calls a second seldom have more set-ups unanswered
SPREAD_AFTER_BREAK_MS = 30_000.0  # a connection broke with unanswered set-ups: how long they are spread
# Between dials after closes, if hand-shakes have a price. A release that the closed connection may have lost
# is due at its caller within 1 s; the server repeats it on the next connection, which may be reset as well,
# several times.
REDIAL_INTERVAL_MS = 100.0


class DialPolicy:
    """Decides on further connections to one server, from what happened to the earlier ones."""

    def __init__(self, handshake_price: float) -> None:
        """`handshake_price`: points in the settings for a new connection, per first attempt; 0 for none."""
        self._has_price = handshake_price > 0
        self._last_break_ms = -math.inf
        self._last_dial_ms = -math.inf  # when the last dial after a close is due

    def record_break(self, now_ms: float) -> None:
        """A connection ended, or fell mute, with unanswered set-ups."""
        self._last_break_ms = now_ms

    def should_dial(self, least_unanswered: int, now_ms: float) -> bool:
        """Should another connection be opened if the least used one has so many unanswered set-ups?"""
        is_spread = not self._has_price or now_ms - self._last_break_ms < SPREAD_AFTER_BREAK_MS
        return least_unanswered >= (SPREAD_LIMIT if is_spread else SHARED_LIMIT)

    def delay_after_close_ms(self, now_ms: float) -> float | None:
        """The delay of the dial after a connection closed while others are open; None: one is already due."""
        if not self._has_price:
            return 0.0
        if self._last_dial_ms > now_ms:
            return None
        self._last_dial_ms = max(now_ms, self._last_dial_ms + REDIAL_INTERVAL_MS)
        return self._last_dial_ms - now_ms
