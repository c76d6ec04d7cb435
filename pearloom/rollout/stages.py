"""Which softswitches are in a stage, and how often each one tells. A decision: no I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from hashlib import blake2b
from math import ceil

TELL_EACH_MS = 20.0  # x the softswitches, between two values of one: the store takes 50 a second of all
SILENT_TELLS = 4.0  # so many values missed at least before one counts as silent


def order(names: Mapping[str, str], rollout: int) -> tuple[str, ...]:
    """All softswitches (name -> zone) in the order in which they come into the stages.

    Rendezvous hashing (Thaler, Ravishankar 1998) by the rollout's number: each stage is a beginning of this
    order and so contains the one before, another rollout begins elsewhere, one that comes or goes moves no
    other. Zones take turns, so that a stage is spread over them."""
    by_zone: dict[str, list[str]] = defaultdict(list)
    for name in sorted(names, key=lambda name: _weight(rollout, name)):
        by_zone[names[name]].append(name)
    zones = sorted(by_zone, key=lambda zone: _weight(rollout, by_zone[zone][0]))
    longest = max(map(len, by_zone.values()), default=0)
    return tuple(
        by_zone[zone][turn] for turn in range(longest) for zone in zones if turn < len(by_zone[zone])
    )


def _weight(rollout: int, name: str) -> bytes:
    return blake2b(f"{rollout} {name}".encode(), digest_size=8).digest()


def members(names: Mapping[str, str], rollout: int, share: float) -> tuple[str, ...]:
    """Those of a stage: this share of all (0: one), one at least, and never all, since one has to be compared
    with."""
    count = min(max(ceil(share * len(names)), 1), max(len(names) - 1, 1))
    return order(names, rollout)[:count]


def publish_interval_ms(least_ms: float, softswitches: int) -> float:
    """How long each softswitch waits between two values.

    Guards against a store that bears the square of the fleet: each value is told to every softswitch."""
    return max(least_ms, TELL_EACH_MS * softswitches)


def silent_ms(told_ms: float, least_ms: float, softswitches: int) -> float:
    """After so long without a value a softswitch has told nothing."""
    return max(told_ms, SILENT_TELLS * publish_interval_ms(least_ms, softswitches))
