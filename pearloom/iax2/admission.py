"""Admission of NEW frames: limits per source and in total on legs and token replies. The time is passed in.

Guards against a flood that exhausts the resources that all callers share. A source is an IP address without
its port. The stored state is bounded by the limits: leg counts of sources that have legs, and the sources
that most recently returned a valid token.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass
from enum import Enum

from pearloom.core.token_bucket import TokenBucket


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """The limits that the operator sets."""

    legs: int = 8_000  # in total
    legs_per_source: int = 2_000
    half_open: int = 500  # legs whose caller has not answered the challenge yet
    half_open_ms: float = 3_000.0
    tokens_per_s: float = 2_000.0  # token replies to sources that have not returned a valid token


class RefusalReason(Enum):
    """Why a NEW gets no leg; the values are logged."""

    TOO_MANY = "legs in all"
    TOO_MANY_OF_SOURCE = "legs of this source"
    TOO_MANY_HALF_OPEN = "legs that wait for the answer to a challenge"


MAX_PROVEN_SOURCES = 4096
PROVEN_SOURCE_MS = 120_000.0  # for this long after a valid token a source is exempt from the token rate
TOKEN_BURST_S = 0.25  # the burst of token replies, as seconds of tokens_per_s


class Admission:
    """Counts legs and token replies, and decides which may be added."""

    def __init__(self, limits: AdmissionLimits, now_ms: float) -> None:
        """Start without legs and with a full token budget."""
        self._limits = limits
        self._by_source: Counter[str] = Counter()
        self._half_open: OrderedDict[int, float] = OrderedDict()  # call number: opening time, ms
        self._proven: OrderedDict[str, float] = OrderedDict()
        burst = max(limits.tokens_per_s * TOKEN_BURST_S, 1.0)
        self._replies = TokenBucket(limits.tokens_per_s, burst, now_ms)
        self.legs = 0

    def may_reply(self, source: str, now_ms: float) -> bool:
        """Return whether a reply may be sent to this source, and count it.

        Guards against genuine callers crowded out by forged sources: a source that recently returned a valid
        token receives what is sent to its address, so it is not forged and is exempt from the rate."""
        proven_ms = self._proven.get(source)
        if proven_ms is not None and now_ms - proven_ms <= PROVEN_SOURCE_MS:
            return True
        return self._replies.take(now_ms)

    def record_valid_token(self, source: str, now_ms: float) -> None:
        """Record that this source returned a valid token."""
        self._proven[source] = now_ms
        self._proven.move_to_end(source)
        if len(self._proven) > MAX_PROVEN_SOURCES:
            self._proven.popitem(last=False)

    def refusal_reason(self, source: str, is_challenged: bool) -> RefusalReason | None:
        """Return why this source may not open a leg, or None if it may."""
        if self.legs >= self._limits.legs:
            return RefusalReason.TOO_MANY
        if self._by_source[source] >= self._limits.legs_per_source:
            return RefusalReason.TOO_MANY_OF_SOURCE
        if is_challenged and len(self._half_open) >= self._limits.half_open:
            return RefusalReason.TOO_MANY_HALF_OPEN
        return None

    def add_leg(self, source: str, leg: int, is_challenged: bool, now_ms: float) -> None:
        """Count a new leg; one with a challenge is half open."""
        self.legs += 1
        self._by_source[source] += 1
        if is_challenged:
            self._half_open[leg] = now_ms

    def record_challenge_answered(self, leg: int) -> None:
        """Record that the caller of a leg has answered the challenge."""
        self._half_open.pop(leg, None)

    def remove_leg(self, source: str, leg: int) -> None:
        """Stop counting a leg that has ended."""
        self.legs -= 1
        self._half_open.pop(leg, None)
        self._by_source[source] -= 1
        if self._by_source[source] <= 0:
            del self._by_source[source]

    def overdue(self, now_ms: float) -> list[int]:
        """Return the legs whose callers have not answered the challenge in time, the oldest first."""
        overdue = []
        for leg, opened_ms in self._half_open.items():
            if now_ms - opened_ms < self._limits.half_open_ms:
                break
            overdue.append(leg)
        return overdue

    @property
    def half_open(self) -> int:
        """The number of legs that wait for the answer to a challenge."""
        return len(self._half_open)
