"""Times of calls to the store: back-off, lease renewal, age of a snapshot, delay before a contended step.

No I/O: times are passed in as milliseconds, and randomness is passed in. Guards against a fleet that calls a
restarted store in step (each pause is drawn over its whole length), against calling a stalled store ever more
often, and against acting on a lease that may have ended while this process was suspended.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from random import Random

FIRST_PAUSE_MS = 100.0  # pause after the first failure
MAX_PAUSE_MS = 5_000.0  # a store that is back is noticed within this and the time of one read
RENEWALS_PER_TTL = 3.0  # two renewals in a row may be lost
# The delay for each softswitch that is ranked before this one, and the longest delay.
CONTENTION_STEP_MS, MAX_CONTENTION_DELAY_MS = 150.0, 2_000.0
MAX_CLOCK_DRIFT = 0.05  # share of the lease's TTL by which the local clock may lag behind the store's


class Backoff:
    """Pauses between failed calls: doubled each time, with jitter over the whole pause ("full jitter")."""

    def __init__(self, random: Random) -> None:
        """Start without failures."""
        self._random = random
        self.failures = 0

    def record_failure(self) -> float:
        """Count a failure; returns the milliseconds to wait, never less than a tenth of the full pause."""
        pause = min(FIRST_PAUSE_MS * 2.0 ** min(self.failures, 16), MAX_PAUSE_MS)
        self.failures += 1
        return pause * (0.1 + 0.9 * self._random.random())

    def reset(self) -> None:
        """Start again with the shortest pause, after a call that succeeded."""
        self.failures = 0


class LeaseState(Enum):
    """What this process knows of its lease."""

    NONE = "none"  # no lease: request one, and don't act
    HELD = "held"
    UNCERTAIN = "unsure"  # the lease may have ended: don't act until the store has answered


@dataclass(slots=True)
class LocalLease:
    """This process's lease by its monotonic clock, which alone decides whether the process may act on it."""

    ttl_ms: float
    lease_id: int = 0
    valid_until_ms: float = 0.0
    renew_at_ms: float = 0.0

    def granted(self, lease_id: int, requested_ms: float) -> None:
        """Record a grant or a renewal; the TTL counts from the request, not from the response.

        Guards against a delayed response, during which the store's clock has already been running."""
        self.lease_id = lease_id
        self.valid_until_ms = max(self.valid_until_ms, requested_ms + self.ttl_ms * (1.0 - MAX_CLOCK_DRIFT))
        self.renew_at_ms = requested_ms + self.ttl_ms / RENEWALS_PER_TTL

    def ended(self) -> None:
        """Record that the lease has ended."""
        self.lease_id, self.valid_until_ms, self.renew_at_ms = 0, 0.0, 0.0

    def state(self, now_ms: float) -> LeaseState:
        """The state at this time; checked before every action, as the process may have been suspended."""
        if not self.lease_id:
            return LeaseState.NONE
        return LeaseState.HELD if now_ms < self.valid_until_ms else LeaseState.UNCERTAIN


@dataclass(slots=True)
class Freshness:
    """Age of the last state read from the store, by the local clock."""

    fresh_ms: float
    last_read_ms: float = float("-inf")
    gap_ms: float = 0.0  # longest time between two reads since the user of this field reset it

    def record_read(self, requested_ms: float) -> None:
        """Record a read that was requested, or a line of a watch that arrived, at this time."""
        if self.last_read_ms > float("-inf"):
            self.gap_ms = max(self.gap_ms, requested_ms - self.last_read_ms)
        self.last_read_ms = max(self.last_read_ms, requested_ms)

    def is_fresh(self, now_ms: float) -> bool:
        """Whether something new may start from the state; running operations go on in any case."""
        return now_ms - self.last_read_ms <= self.fresh_ms


def contention_delay_ms(step: str, own_name: str, live_names: Sequence[str]) -> float:
    """Milliseconds to wait before trying a step; the order of the softswitches differs from step to step.

    Guards against a fleet that tries the same transaction at once, so that all but one fail."""
    if own_name not in live_names:
        return MAX_CONTENTION_DELAY_MS
    return min(rank(step, own_name, live_names) * CONTENTION_STEP_MS, MAX_CONTENTION_DELAY_MS)


def rank(step: str, own_name: str, live_names: Sequence[str]) -> int:
    """Number of softswitches before this one in the step's order; all of them if this one is not live."""
    weights = {name: blake2b(f"{step} {name}".encode(), digest_size=8).digest() for name in live_names}
    return (
        sum(weight < weights[own_name] for weight in weights.values())
        if own_name in weights
        else len(live_names)
    )
