"""What a fake server does with each set-up, drawn from a seed; and a lossy path for datagrams."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

import gevent


class Behaviour(Enum):
    """What a session server does with a set-up."""

    ANSWER = "answer"
    REFUSE = "refuse with a cause"
    NO_ANSWER = "acknowledge and send nothing more"
    IGNORE = "send nothing at all"
    MALFORMED = "answer with a message that can't be used"


@dataclass(frozen=True, slots=True)
class Handling:
    """How one set-up is handled."""

    behaviour: Behaviour = Behaviour.ANSWER
    delay_ms: float = 20.0
    hold_ms: float = 2_000.0
    cause: int = 42  # Q.850, for REFUSE


@dataclass(frozen=True, slots=True)
class ServerProfile:
    """How a fake server behaves; shares are of all set-ups."""

    delay_ms: tuple[float, float] = (5.0, 40.0)
    mean_hold_ms: float = 2_000.0  # of an exponential distribution
    refused_share: float = 0.0
    causes: tuple[int, ...] = (42,)
    unanswered_share: float = 0.0
    ignored_share: float = 0.0
    malformed_share: float = 0.0
    description_bytes: int = 60

    def draw(self, random: Random) -> Handling:
        """Draw how the next set-up is handled."""
        delay, hold = random.uniform(*self.delay_ms), random.expovariate(1.0 / self.mean_hold_ms)
        drawn, cause = random.random(), random.choice(self.causes)
        for share, behaviour in (
            (self.refused_share, Behaviour.REFUSE),
            (self.unanswered_share, Behaviour.NO_ANSWER),
            (self.ignored_share, Behaviour.IGNORE),
            (self.malformed_share, Behaviour.MALFORMED),
        ):
            if drawn < share:
                return Handling(behaviour, delay, hold, cause)
            drawn -= share
        return Handling(Behaviour.ANSWER, delay, hold, cause)


@dataclass(frozen=True, slots=True)
class Faults:
    """What a path does to datagrams; shares are of all datagrams."""

    loss_share: float = 0.0
    duplicate_share: float = 0.0
    delay_share: float = 0.0  # delayed by up to `max_delay_ms`, and so overtaken by others
    max_delay_ms: float = 60.0


class LossyPath:
    """A path that draws its faults anew for each datagram."""

    def __init__(self, faults: Faults, seed: int) -> None:
        """Draw from `seed`, so that a run can be repeated."""
        self._faults, self._random = faults, Random(seed)

    def carry(self, data: bytes, deliver: Callable[[bytes], None]) -> None:
        """Deliver a datagram once, twice, later, or not at all."""
        faults, random = self._faults, self._random
        if random.random() < faults.loss_share:
            return
        for _ in range(2 if random.random() < faults.duplicate_share else 1):
            if random.random() < faults.delay_share:
                gevent.spawn_later(random.uniform(0.0, faults.max_delay_ms) / 1000.0, deliver, data)
            else:
                deliver(data)
