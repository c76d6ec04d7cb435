"""Which NEWs get a token, a leg, or nothing: limits by source and in all. Pure: the time is passed in.

Guards against a flood that takes what all callers share. A source is an address without its port. What is
kept is bounded by the limits themselves: counts for sources that hold legs, and the sources that showed a
good token last.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """What the operator allows."""

    legs: int = 8_000  # in all
    legs_per_source: int = 2_000
    half_open: int = 500  # legs whose caller has not answered its challenge
    half_open_ms: float = 3_000.0
    tokens_per_s: float = 2_000.0  # replies to sources that never showed one


class Turned(Enum):
    """Why a NEW gets no leg."""

    TOO_MANY = "legs in all"
    TOO_MANY_OF_SOURCE = "legs of this source"
    TOO_MANY_HALF_OPEN = "legs that wait for the answer to a challenge"


PROVED_KEPT = 4096  # sources
PROVED_MS = 120_000.0  # so long a source that showed a good token is known
TOKENS_AT_ONCE_S = 0.25  # x tokens_per_s: how far replies may run ahead


class Admission:
    """Counts what is held, and says what may be added."""

    def __init__(self, limits: AdmissionLimits, now_ms: float) -> None:
        """Nothing held."""
        self._limits = limits
        self._by_source: Counter[str] = Counter()
        self._half_open: OrderedDict[int, float] = OrderedDict()  # leg: since when
        self._proved: OrderedDict[str, float] = OrderedDict()
        self._tokens = self._tokens_most
        self._tokens_at = now_ms
        self.legs = 0

    @property
    def _tokens_most(self) -> float:
        return max(self._limits.tokens_per_s * TOKENS_AT_ONCE_S, 1.0)

    def may_reply(self, source: str, now_ms: float) -> bool:
        """May a token go to this source?

        Guards against honest callers that lose their place among forged ones: whoever showed a good token
        lately can hear, so it is not among the forged, and the rate does not bind it."""
        proved = self._proved.get(source)
        if proved is not None and now_ms - proved <= PROVED_MS:
            return True
        gained = (now_ms - self._tokens_at) * self._limits.tokens_per_s / 1000.0
        self._tokens = min(self._tokens + gained, self._tokens_most)
        self._tokens_at = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def showed(self, source: str, now_ms: float) -> None:
        """This source brought a good token back."""
        self._proved[source] = now_ms
        self._proved.move_to_end(source)
        if len(self._proved) > PROVED_KEPT:
            self._proved.popitem(last=False)

    def turns(self, source: str, challenged: bool) -> Turned | None:
        """Why a leg for this source is not to be kept, or None where it may be."""
        if self.legs >= self._limits.legs:
            return Turned.TOO_MANY
        if self._by_source[source] >= self._limits.legs_per_source:
            return Turned.TOO_MANY_OF_SOURCE
        if challenged and len(self._half_open) >= self._limits.half_open:
            return Turned.TOO_MANY_HALF_OPEN
        return None

    def opened(self, source: str, leg: int, challenged: bool, now_ms: float) -> None:
        """A leg is kept."""
        self.legs += 1
        self._by_source[source] += 1
        if challenged:
            self._half_open[leg] = now_ms

    def settled(self, leg: int) -> None:
        """Its caller has answered the challenge."""
        self._half_open.pop(leg, None)

    def closed(self, source: str, leg: int) -> None:
        """The leg is over."""
        self.legs -= 1
        self._half_open.pop(leg, None)
        self._by_source[source] -= 1
        if self._by_source[source] <= 0:
            del self._by_source[source]

    def overdue(self, now_ms: float) -> list[int]:
        """Legs whose callers have not answered their challenge in time, the oldest first."""
        late = []
        for leg, since in self._half_open.items():
            if now_ms - since < self._limits.half_open_ms:
                break
            late.append(leg)
        return late

    @property
    def half_open(self) -> int:
        """Legs that wait for the answer to a challenge."""
        return len(self._half_open)
