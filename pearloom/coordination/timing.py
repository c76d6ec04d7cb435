"""When to ask the store again, when to renew, and when what was read is too old to start anything on.

A decision: no I/O, time passed in as float ms, randomness passed in. Guards against a fleet that asks a store
in step after its restart (jitter over the whole of a pause), against one that asks a stalled store ever
faster, and against acting on a lease that may have ended while this process slept.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from random import Random

FIRST_PAUSE_MS = 100.0  # pause after the first failure
MAX_PAUSE_MS = 5_000.0  # longest pause: a store that is back is found within this and the time of one read
RENEWALS = 3.0  # in a lease's time: two may be lost
CONTENTION_STEP_MS, MAX_CONTENTION_DELAY_MS = (
    150.0,
    2_000.0,
)  # for each one before this softswitch in a step's order
MAX_CLOCK_DRIFT = 0.05  # of a lease's time: by so much the own clock may run slow beside the store's


class Backoff:
    """Pauses between calls that failed: doubled each time, and drawn from the whole of it ("full jitter")."""

    def __init__(self, random: Random) -> None:
        """Nothing has failed."""
        self._random = random
        self.failures = 0

    def record_failure(self) -> float:
        """One more failure; returns the ms to wait. Never under a tenth of the pause, so that it is one."""
        pause = min(FIRST_PAUSE_MS * 2.0 ** min(self.failures, 16), MAX_PAUSE_MS)
        self.failures += 1
        return pause * (0.1 + 0.9 * self._random.random())

    def reset(self) -> None:
        """The store answers again."""
        self.failures = 0


class LeaseState(Enum):
    """What a process may do on its own lease."""

    NONE = "none"  # there is none: ask for one, act on nothing
    HELD = "held"
    UNCERTAIN = "unsure"  # it may have ended: act on nothing until the store has said


@dataclass(slots=True)
class LocalLease:
    """The own lease by the own monotonic clock, which alone decides whether anything may be done on it."""

    ttl_ms: float
    lease_id: int = 0
    valid_until_ms: float = 0.0
    renew_at_ms: float = 0.0

    def granted(self, number: int, asked_ms: float) -> None:
        """A lease was granted, or renewed; its time counts from when it was asked for, not answered.

        Guards against an answer that was long on its way: the store's clock ran all the while."""
        self.lease_id = number
        self.valid_until_ms = max(self.valid_until_ms, asked_ms + self.ttl_ms * (1.0 - MAX_CLOCK_DRIFT))
        self.renew_at_ms = asked_ms + self.ttl_ms / RENEWALS

    def ended(self) -> None:
        """The store said that it is over."""
        self.lease_id, self.valid_until_ms, self.renew_at_ms = 0, 0.0, 0.0

    def state(self, now_ms: float) -> LeaseState:
        """May anything be done on it? Asked before every deed, since this process may have slept till now."""
        if not self.lease_id:
            return LeaseState.NONE
        return LeaseState.HELD if now_ms < self.valid_until_ms else LeaseState.UNCERTAIN


@dataclass(slots=True)
class Freshness:
    """How old what was last read is, by the own clock."""

    fresh_ms: float
    last_read_ms: float = float("-inf")
    gap_ms: float = 0.0  # the longest time without a sign since whoever asks for it set it back

    def record_read(self, asked_ms: float) -> None:
        """A read, or a sign of life of a watch, that was asked for (or came) at this time."""
        if self.last_read_ms > float("-inf"):
            self.gap_ms = max(self.gap_ms, asked_ms - self.last_read_ms)
        self.last_read_ms = max(self.last_read_ms, asked_ms)

    def is_fresh(self, now_ms: float) -> bool:
        """May something be started on it? What runs goes on in any case."""
        return now_ms - self.last_read_ms <= self.fresh_ms


def contention_delay_ms(step: str, own: str, acting: Sequence[str]) -> float:
    """How long to leave a step to others before trying it; the order differs from step to step.

    Guards against a whole fleet that tries the same transaction at once, of which all but one are lost."""
    if own not in acting:
        return MAX_CONTENTION_DELAY_MS
    return min(rank(step, own, acting) * CONTENTION_STEP_MS, MAX_CONTENTION_DELAY_MS)


def rank(step: str, own: str, acting: Sequence[str]) -> int:
    """How many others are before this softswitch in a step's own order; all of them, if it takes no part."""
    weights = {name: blake2b(f"{step} {name}".encode(), digest_size=8).digest() for name in acting}
    return sum(weight < weights[own] for weight in weights.values()) if own in weights else len(acting)
