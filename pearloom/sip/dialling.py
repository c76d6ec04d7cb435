"""When one more connection to a session server is worth its hand-shake. A decision: no I/O, time passed in.

Guards against hand-shakes that are nothing in one softswitch and, over hundreds of them, a price and a load
that the servers bear: where the settings name a price, a connection is shared by several set-ups, and a
server that closes what is opened to it is not dialled in a loop. Against that stands what a connection takes
along when it breaks, so a server's set-ups are spread again for a while after it broke one that carried any.
"""

from __future__ import annotations

import math

SPREAD = 1  # set-ups open on each connection from which on another one is opened
SHARED = 4  # the same where a hand-shake has its price: half a dozen calls a second seldom have more out
BROKEN_KEPT_MS = 30_000.0  # so long a server that broke a connection under set-ups has them spread
# Between dials after closes, where they have a price: the release that a closed connection may have taken
# along is owed to its caller within 1 s, the server sends it again on the next one that is opened, and that
# one may be reset as well, several times.
AGAIN_MS = 100.0


class Dialling:
    """What one server's connections have shown, and what follows from it."""

    def __init__(self, handshake_price: float) -> None:
        """`handshake_price`: points that the settings take for a new connection a first try; 0 for none."""
        self._priced = handshake_price > 0
        self._broke_ms = -math.inf
        self._due_ms = -math.inf  # when the last dial after a close was due

    def broke(self, now_ms: float) -> None:
        """A connection ended, or fell mute, with set-ups open on it."""
        self._broke_ms = now_ms

    def wants_another(self, open_on_best: int, now_ms: float) -> bool:
        """Is another connection to be opened, where the least used one carries so many set-ups?"""
        spread = not self._priced or now_ms - self._broke_ms < BROKEN_KEPT_MS
        return open_on_best >= (SPREAD if spread else SHARED)

    def after_close(self, now_ms: float) -> float | None:
        """In how many ms to dial after a connection closed beside others; None: a dial waits already."""
        if not self._priced:
            return 0.0
        if self._due_ms > now_ms:
            return None
        self._due_ms = max(now_ms, self._due_ms + AGAIN_MS)
        return self._due_ms - now_ms
