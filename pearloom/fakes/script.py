"""What a fake does with each set-up, drawn from a seed; and a path that loses, doubles and reorders."""

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
    NO_ANSWER = "acknowledge and say nothing more"
    IGNORE = "take no notice at all"
    MALFORMED = "answer with something that can't be used"


@dataclass(frozen=True, slots=True)
class Handling:
    """One set-up's fate."""

    behaviour: Behaviour = Behaviour.ANSWER
    delay_ms: float = 20.0
    hold_ms: float = 2_000.0
    cause: int = 42  # Q.850, for TURN


@dataclass(frozen=True, slots=True)
class ServerProfile:
    """How a fake server behaves; shares are of all set-ups."""

    delay_ms: tuple[float, float] = (5.0, 40.0)
    mean_hold_ms: float = 2_000.0  # on average, exponential
    refused_share: float = 0.0
    causes: tuple[int, ...] = (42,)
    unanswered_share: float = 0.0
    ignored_share: float = 0.0
    malformed_share: float = 0.0
    description_bytes: int = 60

    def draw(self, random: Random) -> Handling:
        """The fate of the next set-up."""
        after, holds = random.uniform(*self.delay_ms), random.expovariate(1.0 / self.mean_hold_ms)
        luck, cause = random.random(), random.choice(self.causes)
        for share, behaviour in (
            (self.refused_share, Behaviour.REFUSE),
            (self.unanswered_share, Behaviour.NO_ANSWER),
            (self.ignored_share, Behaviour.IGNORE),
            (self.malformed_share, Behaviour.MALFORMED),
        ):
            if luck < share:
                return Handling(behaviour, after, holds, cause)
            luck -= share
        return Handling(Behaviour.ANSWER, after, holds, cause)


@dataclass(frozen=True, slots=True)
class Faults:
    """What a path does to datagrams; shares of them."""

    loss_share: float = 0.0
    duplicate_share: float = 0.0
    delay_share: float = 0.0  # by up to `by_ms`, and so past others
    max_delay_ms: float = 60.0


class LossyPath:
    """A lossy way, one draw for each datagram."""

    def __init__(self, faults: Faults, seed: int) -> None:
        """A run is its seed."""
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
